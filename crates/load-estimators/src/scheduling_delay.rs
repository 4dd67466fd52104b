//! Recent scheduling delay of a process that shares its processor with others.

use crate::{Decaying, Millis};

/// Half-life of the largest delay, in milliseconds: a process that competes for a processor is
/// delayed repeatedly within this time.
const HALFLIFE: Millis = 1000.0;

/// The largest recent delay between the time at which a timer was due and the time at which it ran;
/// the delay decays.
#[derive(Clone, Copy, Debug, Default)]
pub struct SchedulingDelay {
    largest: Decaying,
}

impl SchedulingDelay {
    /// Records that a timer that was due at `due` runs at `now`.
    pub fn record(&mut self, now: Millis, due: Millis) {
        let delay = (now - due).max(0.0);
        if delay > self.current(now) {
            self.largest = Decaying {
                value: delay,
                set_at: now,
            };
        }
    }

    /// The delay to expect for the next timer.
    pub fn current(&self, now: Millis) -> Millis {
        self.largest.at(now, HALFLIFE)
    }
}
