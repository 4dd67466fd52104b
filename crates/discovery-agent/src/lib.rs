//! Follows the platform's discovery agent (protocol page, "Discovery").
//!
//! [`Follower`] decides, with the time as an input: which calls are made to which address, when an agent counts as silent, and what
//! becomes of an update that is older than what was applied. The caller opens the calls that it asks for, splits what is received with
//! [`Lines`] and passes the lines in; the events that come out go to the roster. Nothing here does I/O or reads a clock.

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
