//! What passes between the rooms of a front door, and between it and the systems round it: the platform's protocol
//! as plain types. Nothing here does I/O, and nothing here decides.

mod answer;
pub mod headers;
mod members;
mod request;

pub use answer::{Answer, Ended};
pub use members::{Health, Member, Members};
pub use request::{Incoming, Order};

/// Longest body of a request, and of an answer that is taken in without asking for room, in bytes.
pub const LONGEST_BODY: usize = 64 * 1024;
