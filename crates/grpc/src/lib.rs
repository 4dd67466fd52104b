//! gRPC pass-through, the part that decides: which class a method belongs to, what an attempt's end means, what of it the
//! client may see, and the one final status of a call. No I/O and no clock: events with the time go in, what is to be sent
//! comes out. It chooses no backend and repeats nothing: that stays with the decision module.
//!
//! The rules:
//!
//! 1. **One final status for each call**, and nothing after it. Late words of attempts are not listened to.
//! 2. **Nothing of an attempt is seen before it is certain to be the last**: a unary answer waits for its status, a stream
//!    commits its call with its first message, one that goes both ways with its head ([`Call`]). A committed call has no further attempt, whatever its class.
//! 3. **An attempt may have run once its head has gone to a live connection.** That it has not is believed only of
//!    `REFUSED_STREAM`, a `GOAWAY` that names an earlier stream, and a status that turns away with `not-started: 1` ([`Attempt`]).
//! 4. **Where status, transport and time contradict each other the worse one counts**: a message that was cut goes before an
//!    `OK`, a deadline that is over before any status.
//! 5. **A failed call carries no status that client libraries answer by calling again**, and tells them not to.
//! 6. **Deadlines shrink**: what a backend is told is never longer than what is left.

mod attempt;
mod call;
pub mod frames;
mod replay;
pub mod routes;
mod status;
pub mod text;
pub mod timeout;

pub use attempt::{is_grpc, Attempt, End, GRPC_MESSAGE, GRPC_STATUS, NOT_STARTED};
pub use call::{status as status_trailers, Call, Closed, Output, Result, PUSHBACK};
pub use replay::{Next, Replay};
pub use status::{Code, Meaning, CANCEL, REFUSED_STREAM};

/// How the messages of a method go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// One there, one back.
    Unary,
    /// One there, many back.
    ServerStream,
    /// Many there, one back.
    ClientStream,
    /// Many both ways.
    Bidi,
}

impl Shape {
    /// Whether the client sends many messages.
    pub fn request_streams(self) -> bool {
        matches!(self, Shape::ClientStream | Shape::Bidi)
    }

    /// Whether the backend does.
    pub fn answer_streams(self) -> bool {
        matches!(self, Shape::ServerStream | Shape::Bidi)
    }
}
