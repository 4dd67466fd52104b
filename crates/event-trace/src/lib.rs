//! The trace of a test run: what clients, backend nodes, the discovery agent and the test driver
//! observed, in one order and on one clock. The test servers write the trace through a
//! [`Recorder`]; `maplefall-invariants` reads it. Neither depends on the other.
//!
//! A trace file holds one JSON object per line: first the [`Header`], then the [`Event`]s. Line
//! numbers in violations count from 1, the header being line 1.

mod event;
mod fingerprint;
mod header;
mod recorder;
mod trace;

pub use event::*;
pub use fingerprint::request_fingerprint;
pub use header::*;
pub use recorder::{Recorder, MAX_EVENTS};
pub use trace::{Trace, TraceError};
