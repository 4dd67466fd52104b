//! Quota usage as reported by a meter.

use crate::Millis;

/// Units over a period of time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Units that were requested.
    pub requested: f64,
    /// Units that the quota allowed in the same time.
    pub allowed: f64,
}

impl Usage {
    /// Requested units as a multiple of the allowed ones.
    pub fn ratio(&self) -> f64 {
        self.requested / self.allowed
    }
}

/// Decaying sums of the usage that a meter has reported.
#[derive(Clone, Copy, Debug, Default)]
pub struct MeteredUsage {
    sum: Usage,
    updated_at: Millis,
}

impl MeteredUsage {
    /// Sums without any report; the first report covers the time from `now` on.
    pub fn new(now: Millis) -> Self {
        MeteredUsage {
            sum: Usage::default(),
            updated_at: now,
        }
    }

    /// Milliseconds since the last report.
    pub fn elapsed(&self, now: Millis) -> Millis {
        now - self.updated_at
    }

    /// Adds a report; `lambda` is ln 2 / half-life, per millisecond.
    pub fn record(&mut self, now: Millis, lambda: f64, usage: Usage) {
        let decayed = self.recent(now, lambda);
        self.sum = Usage {
            requested: decayed.requested + usage.requested,
            allowed: decayed.allowed + usage.allowed,
        };
        self.updated_at = now;
    }

    /// The sums of requested and allowed units at `now`; `lambda` is ln 2 / half-life, per
    /// millisecond.
    pub fn recent(&self, now: Millis, lambda: f64) -> Usage {
        let decay = (lambda * (self.updated_at - now)).exp();
        Usage {
            requested: self.sum.requested * decay,
            allowed: self.sum.allowed * decay,
        }
    }
}
