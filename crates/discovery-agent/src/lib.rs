//! Follows the platform's discovery agent (protocol page, "Discovery").
//!
//! [`Follower`] decides, with the time as an input, which calls are made to which address, when a
//! call has timed out, and whether an update that is older than the applied list is used. The
//! caller opens the calls that the follower requests, splits the received bytes with
//! [`LineSplitter`] and passes the lines in; the events that the follower returns go to the
//! endpoint list. Nothing here does I/O or reads a clock.

mod backend_list;
mod follower;
mod interface;
mod line_splitter;
mod parse;

pub use follower::{
    Follower, CALL_TIMEOUT, FIRST_LINE_TIMEOUT, HEARTBEAT, HEARTBEAT_TIMEOUT,
    MAX_PROPAGATION_DELAY, MIN_RETRY_DELAY,
};
pub use interface::{
    CallEnd, CallEvent, CallId, Output, Report, RequestKind, Settings, TrustReason,
};
pub use line_splitter::{LineSplitter, MAX_LINE_BYTES};
pub use parse::{
    parse_line, Line, LineError, ListUpdate, PartialEntry, RejectedEntry, MAX_NAME_BYTES,
};
