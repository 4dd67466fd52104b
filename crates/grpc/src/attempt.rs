//! One attempt at a backend: how it ended, from its status, its transport and the time, which may contradict each other.
//!
//! The retry rules rest on [`End::never_ran`]. Invariant: an attempt whose head was sent counts as possibly run unless the
//! backend rules it out, by `REFUSED_STREAM` before a response (RFC 9113, 8.7), by a `GOAWAY` whose last stream is an earlier
//! one (RFC 9113, 6.8), or by a rejecting status with `not-started: 1` before any message (protocol page). These are gRPC's
//! cases of a transparent retry (gRFC A6), and the gateway's own header.

use crate::frames::Frames;
use crate::headers::{is_grpc, GRPC_STATUS, NOT_STARTED};
use crate::status::{Code, StatusClass, CANCEL, REFUSED_STREAM};
use crate::Shape;
use http::{HeaderMap, StatusCode};
use maplefall_policy::{Millis, Outcome};

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct End {
    /// The outcome that the decision module is given.
    pub outcome: Outcome,
    /// The status that the client would get.
    pub code: Code,
    /// The reason in words; empty if the status is the backend's own.
    pub reason: &'static str,
}

impl End {
    /// An end with this outcome and status, for this reason.
    pub fn new(outcome: Outcome, code: Code, reason: &'static str) -> End {
        End {
            outcome,
            code,
            reason,
        }
    }

    /// Whether it is certain that the backend did not start the call, so that a retry cannot run it twice.
    pub fn never_ran(&self) -> bool {
        matches!(
            self.outcome,
            Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent
        )
    }
}

/// Progress of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Nothing was sent.
    Unsent,
    /// The request head was handed to a live connection: from now on the call may run.
    Sent,
    /// The response head was received.
    Responding,
    /// The end was reported.
    Ended,
}

/// One attempt of a call. Its methods take the events of the transport; the first that ends the attempt returns its [`End`],
/// and all later ones return `None`.
#[derive(Clone, Debug)]
pub struct Attempt {
    shape: Shape,
    /// When the gateway gives up the attempt.
    attempt_deadline: Millis,
    /// When the client gives up the call.
    call_deadline: Millis,
    phase: Phase,
    frames: Frames,
}

impl Attempt {
    /// An attempt that is given up at `until`, of a call whose client waits until `deadline`. Both are times of the caller's
    /// clock, in milliseconds.
    pub fn new(shape: Shape, until: Millis, deadline: Millis) -> Attempt {
        Attempt {
            shape,
            attempt_deadline: until,
            call_deadline: deadline,
            phase: Phase::Unsent,
            frames: Frames::default(),
        }
    }

    /// The request head is handed to a live connection.
    pub fn sent(&mut self) {
        if self.phase == Phase::Unsent {
            self.phase = Phase::Sent;
        }
    }

    /// Complete messages of the response so far.
    pub fn messages(&self) -> u64 {
        self.frames.messages()
    }

    /// Ends the attempt unless it has ended.
    fn end(&mut self, outcome: Outcome, code: Code, reason: &'static str) -> Option<End> {
        if self.phase == Phase::Ended {
            return None;
        }
        self.phase = Phase::Ended;
        Some(End {
            outcome,
            code,
            reason,
        })
    }

    /// The response head was received; `ends` if the stream ends with it.
    pub fn head(
        &mut self,
        now: Millis,
        status: u16,
        headers: &HeaderMap,
        ends: bool,
    ) -> Option<End> {
        if self.phase != Phase::Sent {
            return None;
        }
        // `Trailers-Only`: the gRPC status counts with any HTTP status, since it says more.
        if ends && headers.contains_key(GRPC_STATUS) {
            return self.status(now, headers);
        }
        if status != StatusCode::OK.as_u16() {
            return self.http_error(status, headers);
        }
        if !headers
            .get(http::header::CONTENT_TYPE)
            .is_some_and(|content_type| is_grpc(content_type.as_bytes()))
        {
            return self.end(Outcome::Error, Code::Unknown, "the answer is no gRPC");
        }
        if ends {
            return self.ended_without_status();
        }
        self.phase = Phase::Responding;
        None
    }

    /// An HTTP status other than 200 without a gRPC status (`http-grpc-status-mapping.md`).
    fn http_error(&mut self, status: u16, headers: &HeaderMap) -> Option<End> {
        let code = Code::from_http_status(status);
        let rejected = code.class() == StatusClass::Rejected && is_not_started(headers);
        let outcome = if rejected {
            Outcome::Full
        } else {
            Outcome::Error
        };
        self.end(
            outcome,
            code,
            "the backend answered with an HTTP status of its own",
        )
    }

    /// Further bytes of the response's messages were received.
    pub fn data(&mut self, bytes: &[u8]) -> Option<End> {
        if self.phase != Phase::Responding {
            return None;
        }
        if self.frames.take(bytes).is_err() {
            return self.end(
                Outcome::Reset,
                Code::Internal,
                "the answer's messages cannot be told apart",
            );
        }
        let begun = self.frames.messages() + u64::from(self.frames.in_message());
        if !self.shape.response_streams() && begun > 1 {
            return self.end(
                Outcome::Reset,
                Code::Internal,
                "a unary answer has more than one message",
            );
        }
        None
    }

    /// The trailers were received.
    pub fn trailers(&mut self, now: Millis, trailers: &HeaderMap) -> Option<End> {
        match self.phase {
            Phase::Responding => self.status(now, trailers),
            _ => None,
        }
    }

    /// Ends the attempt by a gRPC status, unless the time or the messages contradict it.
    fn status(&mut self, now: Millis, headers: &HeaderMap) -> Option<End> {
        let Some(status) = headers.get(GRPC_STATUS) else {
            return self.ended_without_status();
        };
        let code = Code::from_wire(status.as_bytes());
        if now >= self.call_deadline {
            // The client has given up by now, whatever the status.
            return self.end(
                Outcome::Timeout,
                Code::DeadlineExceeded,
                "the status came after the deadline",
            );
        }
        if self.frames.in_message() {
            // A truncated message overrides an `OK`.
            return self.end(
                Outcome::Reset,
                Code::Internal,
                "the answer was cut within a message",
            );
        }
        if code == Code::Ok && !self.shape.response_streams() && self.frames.messages() != 1 {
            return self.end(
                Outcome::Error,
                Code::Internal,
                "a unary answer without a message",
            );
        }
        let outcome = self.outcome_of(code, headers);
        self.end(outcome, code, "")
    }

    /// The outcome of a status that nothing contradicts.
    fn outcome_of(&self, code: Code, headers: &HeaderMap) -> Outcome {
        match code.class() {
            StatusClass::Answered => Outcome::Ok,
            StatusClass::Failed => Outcome::Error,
            StatusClass::TimedOut => Outcome::Timeout,
            // `not-started` is believed only if no message was received.
            StatusClass::Rejected if is_not_started(headers) && self.frames.messages() == 0 => {
                Outcome::Full
            }
            StatusClass::Rejected => Outcome::Error,
        }
    }

    /// The response ended with neither trailers nor a reset.
    pub fn ended_without_status(&mut self) -> Option<End> {
        self.end(Outcome::Reset, Code::Unknown, "the answer has no status")
    }

    /// The backend reset the stream with this HTTP/2 error code.
    pub fn reset(&mut self, now: Millis, error: u32) -> Option<End> {
        match error {
            // After a response head the code contradicts what was received.
            REFUSED_STREAM if self.phase != Phase::Responding => self.end(
                Outcome::Full,
                Code::Unavailable,
                "the backend refused the stream",
            ),
            // Servers reset with CANCEL a call whose `grpc-timeout` has run out.
            CANCEL if now >= self.attempt_deadline.min(self.call_deadline) => self.timed_out(),
            _ => self.end(
                Outcome::Reset,
                Code::from_reset_code(error),
                "the backend reset the stream",
            ),
        }
    }

    /// The backend did not process the stream: its `GOAWAY` names an earlier one as the last (RFC 9113, 6.8).
    pub fn unprocessed(&mut self) -> Option<End> {
        match self.phase {
            Phase::Unsent | Phase::Sent => self.end(
                Outcome::Full,
                Code::Unavailable,
                "the backend left before the stream",
            ),
            _ => self.lost(),
        }
    }

    /// The connection broke.
    pub fn lost(&mut self) -> Option<End> {
        match self.phase {
            Phase::Unsent => self.unreachable(),
            _ => self.end(Outcome::Reset, Code::Unavailable, "the connection broke"),
        }
    }

    /// No connection could be made.
    pub fn unreachable(&mut self) -> Option<End> {
        self.end(
            Outcome::ConnectFailed,
            Code::Unavailable,
            "no connection to the backend",
        )
    }

    /// The attempt's time is over.
    pub fn timed_out(&mut self) -> Option<End> {
        match self.phase {
            Phase::Unsent => self.end(
                Outcome::ConnectFailed,
                Code::DeadlineExceeded,
                "no connection in time",
            ),
            _ => self.end(
                Outcome::Timeout,
                Code::DeadlineExceeded,
                "no answer in time",
            ),
        }
    }
}

/// Whether the backend states that it did not start the call.
fn is_not_started(headers: &HeaderMap) -> bool {
    headers.get(NOT_STARTED).is_some_and(|value| value == "1")
}
