//! The platform's protocol as plain types: header names, requests, responses and endpoint lists, as the modules of a proxy
//! pass them on and as the systems around it send them. No I/O and no decisions.
//!
//! Invariant: JSON field names and header names are those of the protocol page; `tests/wire.rs` reads its forms.

pub mod headers;
mod members;
mod request;
mod response;

pub use members::{Health, Member, Members};
pub use request::{ForwardedRequest, Incoming};
pub use response::{EndedAttempt, FinalResponse};

/// Length in bytes of a request's body at most, and of a response's body that is buffered without a memory reservation.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
