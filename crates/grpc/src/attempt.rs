//! One attempt at a backend: what comes of it, by its status, its transport and the time, which may contradict each other.

use crate::frames::Frames;
use crate::status::{Code, Meaning, CANCEL, REFUSED_STREAM};
use crate::Shape;
use http::{HeaderMap, HeaderName};
use maplefall_policy::{Millis, Outcome};

/// The status.
pub const GRPC_STATUS: HeaderName = HeaderName::from_static("grpc-status");
/// Its text.
pub const GRPC_MESSAGE: HeaderName = HeaderName::from_static("grpc-message");
/// With a status that turns a call away: it has not run (protocol page, the same word as over HTTP).
pub const NOT_STARTED: HeaderName = HeaderName::from_static("not-started");

/// What became of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct End {
    /// As the decision module hears it.
    pub outcome: Outcome,
    /// As the client would hear it.
    pub code: Code,
    /// Why, where it is not the backend's own word.
    pub why: &'static str,
}

impl End {
    /// An end by this code, for this reason.
    pub fn new(outcome: Outcome, code: Code, why: &'static str) -> End {
        End { outcome, code, why }
    }

    /// Whether it is certain that nothing has run.
    pub fn never_ran(&self) -> bool {
        matches!(
            self.outcome,
            Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent
        )
    }
}

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Unsent,
    /// Its head has been handed to a live connection: from now on it may run.
    Sent,
    /// The answer's head is there.
    Answering,
    Over,
}

/// One attempt. Each of its methods tells an end once; what comes behind it is not listened to.
#[derive(Clone, Debug)]
pub struct Attempt {
    shape: Shape,
    /// When it is given up; when the client gives up.
    until: Millis,
    deadline: Millis,
    phase: Phase,
    frames: Frames,
}

impl Attempt {
    /// One that is given up at `until`, of a call whose client waits until `deadline`.
    pub fn new(shape: Shape, until: Millis, deadline: Millis) -> Attempt {
        Attempt {
            shape,
            until,
            deadline,
            phase: Phase::Unsent,
            frames: Frames::default(),
        }
    }

    /// Its head goes to a live connection.
    pub fn sent(&mut self) {
        if self.phase == Phase::Unsent {
            self.phase = Phase::Sent;
        }
    }

    /// Whole messages of the answer so far.
    pub fn messages(&self) -> u64 {
        self.frames.messages()
    }

    fn over(&mut self, outcome: Outcome, code: Code, why: &'static str) -> Option<End> {
        if self.phase == Phase::Over {
            return None;
        }
        self.phase = Phase::Over;
        Some(End { outcome, code, why })
    }

    /// The head of the answer; `ends` if nothing follows it.
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
        // A status counts wherever it stands: `Trailers-Only` where the stream ends with it, and with a foreign HTTP
        // status the backend's own word still says more.
        if ends && headers.contains_key(GRPC_STATUS) {
            return self.status(now, headers);
        }
        if status != 200 {
            let code = Code::of_http(status);
            let turned_away = code.meaning() == Meaning::TurnedAway && not_started(headers);
            let outcome = if turned_away {
                Outcome::Full
            } else {
                Outcome::Error
            };
            return self.over(
                outcome,
                code,
                "the backend answered with an HTTP status of its own",
            );
        }
        if !headers
            .get(http::header::CONTENT_TYPE)
            .is_some_and(|kind| is_grpc(kind.as_bytes()))
        {
            return self.over(Outcome::Error, Code::Unknown, "the answer is no gRPC");
        }
        if ends {
            return self.over(Outcome::Reset, Code::Unknown, "the answer has no status");
        }
        self.phase = Phase::Answering;
        None
    }

    /// Some more of the answer's messages.
    pub fn data(&mut self, bytes: &[u8]) -> Option<End> {
        if self.phase != Phase::Answering {
            return None;
        }
        if self.frames.take(bytes).is_err() {
            return self.over(
                Outcome::Reset,
                Code::Internal,
                "the answer's messages cannot be told apart",
            );
        }
        if !self.shape.answer_streams()
            && self.frames.messages() + u64::from(self.frames.within()) > 1
        {
            return self.over(
                Outcome::Reset,
                Code::Internal,
                "a unary answer has more than one message",
            );
        }
        None
    }

    /// The trailers.
    pub fn trailers(&mut self, now: Millis, trailers: &HeaderMap) -> Option<End> {
        match self.phase {
            Phase::Answering => self.status(now, trailers),
            _ => None,
        }
    }

    /// What a status comes to, where time and transport may say otherwise.
    fn status(&mut self, now: Millis, headers: &HeaderMap) -> Option<End> {
        let Some(status) = headers.get(GRPC_STATUS) else {
            return self.over(Outcome::Reset, Code::Unknown, "the answer has no status");
        };
        let code = Code::from_wire(status.as_bytes());
        if now >= self.deadline {
            // Whatever it says, its client has gone by now.
            return self.over(
                Outcome::Timeout,
                Code::DeadlineExceeded,
                "the status came after the deadline",
            );
        }
        if self.frames.within() {
            // The status may say OK: a message was cut all the same.
            return self.over(
                Outcome::Reset,
                Code::Internal,
                "the answer was cut within a message",
            );
        }
        if code == Code::Ok && !self.shape.answer_streams() && self.frames.messages() != 1 {
            return self.over(
                Outcome::Error,
                Code::Internal,
                "a unary answer without a message",
            );
        }
        let outcome = match code.meaning() {
            Meaning::Answer => Outcome::Ok,
            Meaning::Fault => Outcome::Error,
            Meaning::Late => Outcome::Timeout,
            // Its own word that it has not run counts only where nothing of it has come.
            Meaning::TurnedAway if not_started(headers) && self.frames.messages() == 0 => {
                Outcome::Full
            }
            Meaning::TurnedAway => Outcome::Error,
        };
        self.over(outcome, code, "")
    }

    /// The answer ended with neither trailers nor a reset.
    pub fn ended_bare(&mut self) -> Option<End> {
        self.over(Outcome::Reset, Code::Unknown, "the answer has no status")
    }

    /// The backend reset the stream.
    pub fn reset(&mut self, now: Millis, error: u32) -> Option<End> {
        match error {
            // Only before an answer: afterwards the word contradicts what was seen.
            REFUSED_STREAM if self.phase != Phase::Answering => self.over(
                Outcome::Full,
                Code::Unavailable,
                "the backend refused the stream",
            ),
            // Servers reset with CANCEL what is past the time that they were told.
            CANCEL if now >= self.until.min(self.deadline) => self.timed_out(),
            _ => self.over(
                Outcome::Reset,
                Code::of_reset(error),
                "the backend reset the stream",
            ),
        }
    }

    /// The backend said that it never looked at this stream: its `GOAWAY` names an earlier one as the last.
    pub fn unprocessed(&mut self) -> Option<End> {
        match self.phase {
            Phase::Unsent | Phase::Sent => self.over(
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
            _ => self.over(Outcome::Reset, Code::Unavailable, "the connection broke"),
        }
    }

    /// No connection came up.
    pub fn unreachable(&mut self) -> Option<End> {
        self.over(
            Outcome::ConnectFailed,
            Code::Unavailable,
            "no connection to the backend",
        )
    }

    /// Its time is over.
    pub fn timed_out(&mut self) -> Option<End> {
        match self.phase {
            Phase::Unsent => self.over(
                Outcome::ConnectFailed,
                Code::DeadlineExceeded,
                "no connection in time",
            ),
            _ => self.over(
                Outcome::Timeout,
                Code::DeadlineExceeded,
                "no answer in time",
            ),
        }
    }
}

fn not_started(headers: &HeaderMap) -> bool {
    headers.get(NOT_STARTED).is_some_and(|value| value == "1")
}

/// Whether a content type is gRPC's: the bare one, or with a suffix or parameters.
pub fn is_grpc(kind: &[u8]) -> bool {
    const KIND: &[u8] = b"application/grpc";
    kind.len() >= KIND.len()
        && kind[..KIND.len()].eq_ignore_ascii_case(KIND)
        && kind
            .get(KIND.len())
            .is_none_or(|next| matches!(next, b'+' | b';' | b' '))
}
