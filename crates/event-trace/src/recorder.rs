//! The writer of a trace. It is the only place that takes timestamps, so all events share one order and one clock.

use crate::event::{Event, EventKind};
use crate::header::Millis;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Maximum events of a trace; later ones are dropped and counted ([`Recorder::dropped`]).
pub const MAX_EVENTS: usize = 4_000_000;

#[derive(Debug, Default)]
struct Inner {
    events: Vec<Event>,
    dropped: u64,
}

/// Appends events to a trace from any number of threads. Clones write to the same trace.
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
    /// An empty trace whose clock starts now.
    pub fn new() -> Recorder {
        Recorder {
            start: Instant::now(),
            inner: Arc::default(),
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        // A thread that panicked while it held the lock has left complete events behind: a push is its only write.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Milliseconds since the trace began.
    pub fn now(&self) -> Millis {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// The instant on the monotonic clock of a time of the trace.
    pub fn instant(&self, at: Millis) -> Instant {
        self.start + Duration::try_from_secs_f64(at / 1000.0).unwrap_or_default()
    }

    /// Appends an event that was observed now and returns its time.
    pub fn record(&self, kind: EventKind) -> Millis {
        let mut inner = self.inner();
        // Read under the lock: the order of the events is the order of their times.
        let at = self.now();
        if inner.events.len() < MAX_EVENTS {
            inner.events.push(Event { at, kind });
        } else {
            inner.dropped += 1;
        }
        at
    }

    /// Events that were dropped beyond [`MAX_EVENTS`].
    pub fn dropped(&self) -> u64 {
        self.inner().dropped
    }

    /// Events so far.
    pub fn len(&self) -> usize {
        self.inner().events.len()
    }

    /// Whether no event was recorded yet.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes the events so far; the clock goes on.
    pub fn take_events(&self) -> Vec<Event> {
        std::mem::take(&mut self.inner().events)
    }
}
