//! How the platform's discovery agent is followed, and what of its words holds (protocol page, "Discovery").
//!
//! [`Follower`] decides, with the time handed in: which calls are made to which place, when an agent counts as silent, and
//! what becomes of a word that is older than what has been told. Whoever carries it out opens the calls that it asks for,
//! cuts what comes into [`Lines`] and hands them in; what comes out goes to the roster. Nothing here does I/O or reads a
//! clock.

mod follower;
mod interface;
mod line;
mod lines;
mod list;

pub use follower::{
    Follower, ANSWERS_WITHIN, GIVEN_UP, HEARTBEAT, MISSED, SHORTEST_PAUSE, TOLD_WITHIN,
};
pub use interface::{Believed, CallId, End, Heard, Output, Report, Settings, What};
pub use line::{line, Line, PassedOver, Spoilt, Unreadable, Word, LONGEST_NAME};
pub use lines::{Lines, LONGEST_LINE};
