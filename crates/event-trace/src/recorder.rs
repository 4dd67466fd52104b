//! The one place that stamps what is seen, so that the record has one order and one clock.

use crate::lines::{Event, EventKind, Millis};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Lines that a record holds at most; what comes later is dropped and the record is void.
pub const MAX_EVENTS: usize = 4_000_000;

#[derive(Debug, Default)]
struct Inner {
    events: Vec<Event>,
    dropped: u64,
}

/// Writes a record from any number of threads. Clones write the same one.
#[derive(Clone, Debug)]
pub struct Recorder {
    start: Instant,
    inner: Arc<Mutex<Inner>>,
}

impl Default for Recorder {
    fn default() -> Self {
        Recorder::new()
    }
}

impl Recorder {
    /// An empty record that begins now.
    pub fn new() -> Recorder {
        Recorder {
            start: Instant::now(),
            inner: Arc::default(),
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        // A writer that panicked has left whole lines behind.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Milliseconds since the record began.
    pub fn now(&self) -> Millis {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// A time of the record on the system's monotonic clock.
    pub fn instant(&self, at: Millis) -> Instant {
        self.start + Duration::try_from_secs_f64(at / 1000.0).unwrap_or_default()
    }

    /// Appends what was seen just now; tells when that was.
    pub fn record(&self, entry: EventKind) -> Millis {
        let mut inner = self.inner();
        // Read under the lock: the order of the lines is the order of their times.
        let at = self.now();
        if inner.events.len() < MAX_EVENTS {
            inner.events.push(Event { at, kind: entry });
        } else {
            inner.dropped += 1;
        }
        at
    }

    /// Lines that found no room.
    pub fn dropped(&self) -> u64 {
        self.inner().dropped
    }

    /// Lines so far.
    pub fn len(&self) -> usize {
        self.inner().events.len()
    }

    /// Whether nothing has been seen yet.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Hands out the lines and begins an empty list on the same clock.
    pub fn take_events(&self) -> Vec<Event> {
        std::mem::take(&mut self.inner().events)
    }
}
