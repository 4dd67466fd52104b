//! gRPC pass-through, the decision logic: the route of a method, how an attempt ended, which part
//! of it the client may see, and the one final status of a call.
//!
//! A state machine without I/O: events with their time go in, outputs to send come out. It neither
//! chooses backends nor decides on retries; the decision module (`maplefall-policy`) does.
//!
//! Invariants:
//!
//! 1. **A call has one final status**, and nothing is sent after it. Late events of earlier
//!    attempts are ignored.
//! 2. **Nothing of an attempt is sent to the client before that attempt is certain to be the
//!    last.** A unary response waits for its status, a server stream commits its call with the
//!    first message, a bidirectional stream with the response head ([`Call`]). A committed call has
//!    no further attempt, whatever its class (gRFC A6, "When Retries are Valid").
//! 3. **An attempt may have run once its head was sent on a live connection.** The exceptions are
//!    `REFUSED_STREAM`, a `GOAWAY` that names an earlier stream, and a rejecting status with
//!    `not-started: 1` ([`Attempt`]).
//! 4. **Where status, transport and time contradict each other, the worse one counts**: a truncated
//!    message overrides an `OK`, an expired deadline overrides any status.
//! 5. **A failed call carries no status that client libraries retry**, and a pushback that forbids
//!    retries.
//! 6. **Deadlines shrink**: the timeout that a backend receives never exceeds the time that is left
//!    ([`timeout`]).
//!
//! Modules: [`routes`] (the route trie), [`timeout`] (deadlines), [`Code`] (status codes and the
//! mapping of HTTP and reset codes), [`Attempt`] (what may be retried), [`Call`] (what the client
//! sees), [`ResponseQueue`] (outputs that the client has not taken yet), [`Replay`] (the request,
//! buffered for retries), [`frames`] (message boundaries), [`percent_encoding`] (`grpc-message`).

mod attempt;
mod call;
pub mod frames;
mod headers;
pub mod percent_encoding;
mod replay;
mod response_queue;
pub mod routes;
mod status;
pub mod timeout;

pub use attempt::{Attempt, End};
pub use call::{status_trailers, Call, CallResult, Closed, Output};
pub use headers::{is_grpc, GRPC_MESSAGE, GRPC_STATUS, NOT_STARTED, RETRY_PUSHBACK};
pub use replay::{Next, Replay};
pub use response_queue::{NextOutput, ResponseQueue};
pub use status::{Code, StatusClass, CANCEL, REFUSED_STREAM};

/// Cardinality of a method's messages (gRPC's "Core concepts", "Service definition").
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// One request message, one response message.
    Unary,
    /// One request message, any number of response messages.
    ServerStream,
    /// Any number of request messages, one response message.
    ClientStream,
    /// Any number of messages both ways.
    Bidi,
}

impl Shape {
    /// Whether the client may send any number of messages.
    pub fn request_streams(self) -> bool {
        matches!(self, Shape::ClientStream | Shape::Bidi)
    }

    /// Whether the backend may send any number of messages.
    pub fn response_streams(self) -> bool {
        matches!(self, Shape::ServerStream | Shape::Bidi)
    }
}
