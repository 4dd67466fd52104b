//! Pacing of recurring work, to bound its rate.

use crate::Millis;

/// Spaces out work: each piece of it costs an interval. Unused time accumulates as credit, up to a
/// bound, so that occasional work never waits.
#[derive(Clone, Copy, Debug)]
pub struct Pacer {
    /// When the next piece of work may begin; at most `max_credit` in the past.
    due_at: Millis,
    max_credit: Millis,
}

impl Pacer {
    /// A pacer with a credit of `max_credit`.
    pub fn new(now: Millis, max_credit: Millis) -> Pacer {
        Pacer {
            due_at: now - max_credit,
            max_credit,
        }
    }

    /// Whether the next piece of work may begin.
    pub fn is_due(&self, now: Millis) -> bool {
        now >= self.due_at
    }

    /// Time until the next piece of work may begin.
    pub fn wait(&self, now: Millis) -> Millis {
        (self.due_at - now).max(0.0)
    }

    /// Records a piece of work that costs `interval`.
    pub fn charge(&mut self, now: Millis, interval: Millis) {
        self.due_at = self.due_at.max(now - self.max_credit) + interval;
    }
}
