//! The platform's protocol as plain types: header names, requests, responses and endpoint lists, as
//! they pass between the modules of a gateway and between the gateway and the systems around it. No
//! I/O and no decisions.
//!
//! Invariant: JSON field names and header names are those of the protocol page; `tests/wire.rs`
//! checks the JSON form of endpoint lists.

pub mod headers;
mod members;
mod request;
mod response;

pub use members::{Health, Member, Members};
pub use request::{ForwardedRequest, Incoming};
pub use response::{EndedAttempt, FinalResponse};

/// Maximum length in bytes of a request's body, and of a response's body that is buffered without a
/// memory reservation.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
