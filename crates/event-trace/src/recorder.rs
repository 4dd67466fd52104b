//! The writer of a trace. Only this module takes timestamps, so all events share one order and one
//! clock.

use crate::event::{Event, EventKind};
use crate::header::Millis;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Maximum number of events in a trace; later ones are dropped and counted ([`Recorder::dropped`]).
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
    /// Creates an empty trace whose clock starts now.
    pub fn new() -> Recorder {
        Recorder {
            start: Instant::now(),
            inner: Arc::default(),
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        // A thread that panicked while it held the lock has left only complete events: a push is
        // the only write.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the milliseconds since the trace began.
    pub fn now(&self) -> Millis {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// Converts a time of the trace to an instant on the monotonic clock.
    pub fn instant(&self, at: Millis) -> Instant {
        self.start + Duration::try_from_secs_f64(at / 1000.0).unwrap_or_default()
    }

    /// Appends an event that was observed now and returns its time.
    pub fn record(&self, kind: EventKind) -> Millis {
        let mut inner = self.inner();
        // The clock is read under the lock, so that events are stored in the order of their times.
        let at = self.now();
        if inner.events.len() < MAX_EVENTS {
            inner.events.push(Event { at, kind });
        } else {
            inner.dropped += 1;
        }
        at
    }

    /// Returns the number of events dropped beyond [`MAX_EVENTS`].
    pub fn dropped(&self) -> u64 {
        self.inner().dropped
    }

    /// Returns the number of stored events.
    pub fn len(&self) -> usize {
        self.inner().events.len()
    }

    /// Returns whether no event is stored.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Removes and returns the stored events; the clock continues.
    pub fn take_events(&self) -> Vec<Event> {
        std::mem::take(&mut self.inner().events)
    }
}
