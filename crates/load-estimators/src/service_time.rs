//! Time per unit of load.

use crate::Millis;

/// Number of attempts over which the service time of one backend is averaged.
const WINDOW: f64 = 16.0;

/// Assumed service time of a backend before it is measured.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceTimePrior {
    /// Weight of the assumed time, in units of load.
    pub load: f64,
    /// Assumed time, in milliseconds per unit of load.
    pub per_unit: f64,
}

/// Decaying sums of time and of load over recent attempts; their ratio is the time per unit of
/// load.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTime {
    time: Millis,
    load: f64,
}

impl ServiceTime {
    /// Adds an attempt that took `time` at `load`, to the average over `backends` backends.
    pub fn record(&mut self, backends: usize, time: Millis, load: f64) {
        let decay = 1.0 - 1.0 / (WINDOW * backends.max(1) as f64);
        self.time = self.time * decay + time;
        self.load = self.load * decay + load;
    }

    /// Milliseconds per unit of load, if any attempt was recorded.
    pub fn per_unit(&self) -> Option<f64> {
        (self.load > 0.0).then(|| self.time / self.load)
    }

    /// This service time as a prior for that of a single backend, with the weight of one attempt;
    /// `default` milliseconds per unit of load if no attempt was recorded.
    pub fn prior(&self, default: f64) -> ServiceTimePrior {
        let mean_load = self.load / WINDOW;
        ServiceTimePrior {
            load: if mean_load > 0.0 { mean_load } else { 1.0 },
            per_unit: self.per_unit().unwrap_or(default),
        }
    }

    /// Milliseconds per unit of load; with few attempts, close to the prior.
    pub fn per_unit_with(&self, prior: ServiceTimePrior) -> f64 {
        (self.time + prior.load * prior.per_unit) / (self.load + prior.load)
    }
}
