//! Exponential decay of a single value.

use crate::Millis;
use std::f64::consts::LN_2;

/// A value that decays exponentially from the time it was set.
#[derive(Clone, Copy, Debug, Default)]
pub struct Decaying {
    /// The value at the time it was set.
    pub value: f64,
    /// When the value was set.
    pub set_at: Millis,
}

impl Decaying {
    /// The decayed value at `now`, with a half-life of `halflife` milliseconds.
    pub fn at(&self, now: Millis, halflife: Millis) -> f64 {
        if self.value == 0.0 {
            return 0.0;
        }
        self.value * (-((now - self.set_at) / halflife) * LN_2).exp()
    }
}
