//! How late the stand-ins themselves are: a run in which they were late says nothing of the front door.

use hdrhistogram::Histogram;
use maplefall_event_trace::{EventKind, Millis};
use std::sync::{Arc, Mutex, PoisonError};

/// Longest lateness told apart, in microseconds.
const MOST_US: u64 = 60_000_000;

/// Gathers by how much each action that was due at a time came after it. Clones gather together.
#[derive(Clone, Debug)]
pub struct Lateness(Arc<Mutex<Histogram<u64>>>);

impl Default for Lateness {
    fn default() -> Self {
        // Two figures: a verdict on lateness needs no more, and the table stays at a few KB.
        let table = Histogram::new_with_bounds(1, MOST_US, 2).unwrap_or_else(|_| {
            // The bounds above are good ones; the smallest table stands in all the same.
            Histogram::new(1).unwrap_or_else(|_| unreachable!("a histogram of one figure"))
        });
        Lateness(Arc::new(Mutex::new(table)))
    }
}

impl Lateness {
    /// Notes that what was due at `due` was done at `done`.
    pub fn record(&self, due: Millis, done: Millis) {
        let late = ((done - due).max(0.0) * 1000.0) as u64;
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .saturating_record(late.clamp(1, MOST_US));
    }

    /// The summary that closes a record.
    pub fn entry(&self) -> EventKind {
        let table = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let at = |part| table.value_at_quantile(part) as f64 / 1000.0;
        EventKind::Lateness {
            actions: table.len(),
            p50_ms: at(0.5),
            p99_ms: at(0.99),
            max_ms: table.max() as f64 / 1000.0,
        }
    }
}
