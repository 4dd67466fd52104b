//! Lateness of the fakes themselves: a run in which they were late is no evidence about the
//! gateway.

use hdrhistogram::Histogram;
use maplefall_event_trace::{EventKind, Millis};
use std::sync::{Arc, Mutex, PoisonError};

/// Maximum lateness that the histogram distinguishes, in microseconds.
const MAX_US: u64 = 60_000_000;

/// A histogram of how late scheduled actions ran. Clones share one histogram.
#[derive(Clone, Debug)]
pub struct Lateness(Arc<Mutex<Histogram<u64>>>);

impl Default for Lateness {
    fn default() -> Self {
        // Two significant digits suffice to judge lateness, and the histogram stays at a few KB.
        let histogram = Histogram::new_with_bounds(1, MAX_US, 2).unwrap_or_else(|_| {
            // The bounds above are valid, so this fallback is not expected to be used.
            Histogram::new(1)
                .unwrap_or_else(|_| unreachable!("a histogram with one significant digit"))
        });
        Lateness(Arc::new(Mutex::new(histogram)))
    }
}

impl Lateness {
    /// Records that an action due at `due` was done at `done`.
    pub fn record(&self, due: Millis, done: Millis) {
        let late = ((done - due).max(0.0) * 1000.0) as u64;
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .saturating_record(late.clamp(1, MAX_US));
    }

    /// Returns the summary that ends an event trace.
    pub fn entry(&self) -> EventKind {
        let histogram = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let at = |part| histogram.value_at_quantile(part) as f64 / 1000.0;
        EventKind::Lateness {
            actions: histogram.len(),
            p50_ms: at(0.5),
            p99_ms: at(0.99),
            max_ms: histogram.max() as f64 / 1000.0,
        }
    }
}
