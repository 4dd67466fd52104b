//! What is made of the words of the platform's discovery agent (protocol page, "Discovery"). Nothing here does I/O or
//! reads a clock.

mod line;

pub use line::{line, Line, PassedOver, Spoilt, Unreadable, Word, LONGEST_NAME};
