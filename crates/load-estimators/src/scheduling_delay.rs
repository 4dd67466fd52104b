//! How late a process acts of late, because others have the processor.

use crate::{Decaying, Millis};

/// Half-life of what is remembered, in milliseconds: a process that competes for a processor is late again and again within it.
const HALFLIFE: Millis = 1000.0;

/// The largest delay of late between the time that a timer was set for and the time that it ran; it decays.
#[derive(Clone, Copy, Debug, Default)]
pub struct SchedulingDelay {
    largest: Decaying,
}

impl SchedulingDelay {
    /// What was due at `due` runs at `now`.
    pub fn record(&mut self, now: Millis, due: Millis) {
        let delay = (now - due).max(0.0);
        if delay > self.current(now) {
            self.largest = Decaying {
                value: delay,
                set_at: now,
            };
        }
    }

    /// How late the next timer may run.
    pub fn current(&self, now: Millis) -> Millis {
        self.largest.at(now, HALFLIFE)
    }
}
