//! One attempt at a backend. How it ended is derived from its status, the transport and the time,
//! which may contradict each other.
//!
//! The retry rules depend on [`End::never_ran`]. Invariant: an attempt whose head was sent counts
//! as possibly run unless the backend rules it out, by `REFUSED_STREAM` before a response (RFC
//! 9113, 8.7), by a `GOAWAY` whose last stream is an earlier one (RFC 9113, 6.8), or by a rejecting
//! status with `not-started: 1` before any message (protocol page). These are gRPC's cases of a
//! transparent retry (gRFC A6), and the gateway's own header.

use crate::frames::Frames;
use crate::headers::{is_grpc, GRPC_STATUS, NOT_STARTED};
use crate::status::{Code, StatusClass, CANCEL, REFUSED_STREAM};
use crate::Shape;
use http::{HeaderMap, StatusCode};
use maplefall_policy::{Millis, Outcome};

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct End {
    /// The outcome for the decision module.
    pub outcome: Outcome,
    /// The status code, from the backend or derived.
    pub code: Code,
    /// Why the attempt ended; empty if the status is the backend's own.
    pub reason: &'static str,
}

impl End {
    /// The end of an attempt with this outcome and status code, for this reason.
    pub fn new(outcome: Outcome, code: Code, reason: &'static str) -> End {
        End {
            outcome,
            code,
            reason,
        }
    }

    /// Whether the backend certainly did not start the call, so that a retry cannot run the call
    /// twice.
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
    /// Nothing of the attempt was sent.
    Unsent,
    /// The request head was handed to a live connection, so the call may run.
    Sent,
    /// The response head was received.
    Responding,
    /// The attempt's end was reported.
    Ended,
}

/// One attempt of a call. The methods handle events of the transport; the first event that ends the
/// attempt returns its [`End`], and all later ones return `None`.
#[derive(Clone, Debug)]
pub struct Attempt {
    shape: Shape,
    /// When the gateway cancels the attempt.
    attempt_deadline: Millis,
    /// When the client's deadline of the call passes.
    call_deadline: Millis,
    phase: Phase,
    frames: Frames,
}

impl Attempt {
    /// An attempt that is cancelled at `attempt_deadline`, of a call whose client waits until
    /// `call_deadline`. Both are times of the caller's clock, in milliseconds.
    pub fn new(shape: Shape, attempt_deadline: Millis, call_deadline: Millis) -> Attempt {
        Attempt {
            shape,
            attempt_deadline,
            call_deadline,
            phase: Phase::Unsent,
            frames: Frames::default(),
        }
    }

    /// Records that the request head was handed to a live connection.
    pub fn sent(&mut self) {
        if self.phase == Phase::Unsent {
            self.phase = Phase::Sent;
        }
    }

    /// Number of complete messages of the response so far.
    pub fn messages(&self) -> u64 {
        self.frames.messages()
    }

    /// Ends the attempt unless it has ended already.
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

    /// Handles the response head; `end_of_stream` if the stream ends with it.
    pub fn head(
        &mut self,
        now: Millis,
        status: u16,
        headers: &HeaderMap,
        end_of_stream: bool,
    ) -> Option<End> {
        if self.phase != Phase::Sent {
            return None;
        }
        // `Trailers-Only`: the gRPC status counts with any HTTP status, since it is more specific.
        if end_of_stream && headers.contains_key(GRPC_STATUS) {
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
        if end_of_stream {
            return self.ended_without_status();
        }
        self.phase = Phase::Responding;
        None
    }

    /// Ends the attempt by an HTTP status other than 200 without a gRPC status
    /// (`http-grpc-status-mapping.md`).
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

    /// Handles further bytes of the response's messages.
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
        let messages_begun = self.frames.messages() + u64::from(self.frames.in_message());
        if !self.shape.response_streams() && messages_begun > 1 {
            return self.end(
                Outcome::Reset,
                Code::Internal,
                "a unary answer has more than one message",
            );
        }
        None
    }

    /// Handles the trailers.
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
            // The client's deadline has passed: the client no longer waits, whatever the status.
            return self.end(
                Outcome::Timeout,
                Code::DeadlineExceeded,
                "the status came after the deadline",
            );
        }
        if self.frames.in_message() {
            // A truncated message overrides the status, even an `OK`.
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

    /// The outcome of an attempt whose status nothing contradicts.
    fn outcome_of(&self, code: Code, headers: &HeaderMap) -> Outcome {
        match code.class() {
            StatusClass::Responded => Outcome::Ok,
            StatusClass::Failed => Outcome::Error,
            StatusClass::TimedOut => Outcome::Timeout,
            // `not-started` counts only if no message was received.
            StatusClass::Rejected if is_not_started(headers) && self.frames.messages() == 0 => {
                Outcome::Full
            }
            StatusClass::Rejected => Outcome::Error,
        }
    }

    /// Handles the end of a response with neither trailers nor a reset.
    pub fn ended_without_status(&mut self) -> Option<End> {
        self.end(Outcome::Reset, Code::Unknown, "the answer has no status")
    }

    /// Handles a reset of the stream by the backend, with this HTTP/2 error code.
    pub fn reset(&mut self, now: Millis, error: u32) -> Option<End> {
        match error {
            // `REFUSED_STREAM` means that the stream was not processed, which a response head
            // contradicts.
            REFUSED_STREAM if self.phase != Phase::Responding => self.end(
                Outcome::Full,
                Code::Unavailable,
                "the backend refused the stream",
            ),
            // Servers reset a call with CANCEL when its `grpc-timeout` has expired.
            CANCEL if now >= self.attempt_deadline.min(self.call_deadline) => self.timed_out(),
            _ => self.end(
                Outcome::Reset,
                Code::from_reset_code(error),
                "the backend reset the stream",
            ),
        }
    }

    /// Handles a `GOAWAY` that names an earlier stream as the last one processed (RFC 9113, 6.8).
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

    /// Handles the loss of the connection.
    pub fn lost(&mut self) -> Option<End> {
        match self.phase {
            Phase::Unsent => self.unreachable(),
            _ => self.end(Outcome::Reset, Code::Unavailable, "the connection broke"),
        }
    }

    /// Handles a failure to connect.
    pub fn unreachable(&mut self) -> Option<End> {
        self.end(
            Outcome::ConnectFailed,
            Code::Unavailable,
            "no connection to the backend",
        )
    }

    /// Handles the attempt's timeout.
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
