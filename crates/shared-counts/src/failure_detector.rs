//! The phi accrual failure detector (Hayashibara et al., "The phi accrual failure detector", 2004).
//!
//! A silent node is suspected by its recent heartbeat intervals and not after a fixed timeout,
//! because the intervals depend on the number of nodes and on the packet loss.

use maplefall_policy::Millis;

/// The number of heartbeat intervals in the moving mean.
const MAX_SAMPLES: f64 = 32.0;
/// The assumed mean interval before the first heartbeat, in gossip intervals.
const INITIAL_INTERVALS: f64 = 4.0;
/// Heartbeat intervals longer than this many mean intervals are outages. They are clamped to this
/// length, since they carry no information on the usual intervals.
const MAX_INTERVALS: f64 = 20.0;

/// The mean interval between heartbeats of one incarnation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeartbeatIntervals {
    mean: Millis,
    samples: f64,
}

impl HeartbeatIntervals {
    pub(crate) fn new(gossip_interval: Millis) -> HeartbeatIntervals {
        HeartbeatIntervals {
            mean: INITIAL_INTERVALS * gossip_interval,
            samples: 1.0,
        }
    }

    /// Adds the interval between two heartbeats.
    pub(crate) fn add(&mut self, interval: Millis, gossip_interval: Millis) {
        let interval = interval.min(MAX_INTERVALS * self.mean.max(gossip_interval));
        self.samples = (self.samples + 1.0).min(MAX_SAMPLES);
        self.mean += (interval - self.mean) / self.samples;
    }

    /// Returns the suspicion level after this time without a heartbeat: minus the decimal logarithm
    /// of the probability that an interval between heartbeats is longer.
    ///
    /// Heartbeats that are forwarded at random arrive like a Poisson process, so intervals are
    /// assumed to be distributed exponentially, as in Cassandra, and not normally, as in the paper,
    /// by whose formula one of 100 nodes was suspected without cause every few seconds.
    pub(crate) fn phi(&self, silence: Millis) -> f64 {
        silence.max(0.0) / self.mean.max(1.0) * std::f64::consts::LOG10_E
    }
}
