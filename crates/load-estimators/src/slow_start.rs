//! Slow start of backends.

use crate::Millis;

/// How the capacity of a backend grows after its start: linearly, from `initial` to 1 over
/// `duration`.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Fraction of its full capacity that a backend starts with.
    pub initial: f64,
    /// Time after which a backend is at its full capacity.
    pub duration: Millis,
}

impl SlowStart {
    /// Fraction of its full capacity that a backend has at `now`; 1 if it started long ago
    /// (`None`).
    pub fn capacity(&self, now: Millis, started_at: Option<Millis>) -> f64 {
        let Some(started_at) = started_at else {
            return 1.0;
        };
        let progress = ((now - started_at) / self.duration.max(1.0)).clamp(0.0, 1.0);
        self.initial + (1.0 - self.initial) * progress
    }
}
