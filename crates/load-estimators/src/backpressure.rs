//! How short of capacity the backends behind a gateway are.

use crate::Millis;

/// Time constant of the average pressure, in latency targets.
const PRESSURE_TARGETS: f64 = 2.0;
/// Step of the admitted fraction for an answer that took no time, per latency target elapsed.
const FRACTION_STEP: f64 = 0.15;
/// Mean answer time, as a fraction of its latency target, at which the admitted fraction is stable.
const STABLE_LATENCY: f64 = 0.25;
/// The admitted fraction at the start of one of very many gateways.
const INITIAL_FRACTION: f64 = 0.6;
/// The least admitted fraction: some answers are always needed to measure by.
const MIN_FRACTION: f64 = 0.05;

/// Backpressure as one gateway measures it, by waits and by answer times.
#[derive(Clone, Copy, Debug)]
pub struct Backpressure {
    /// By the waits behind the gateway's own attempts, from 0 to 1.
    pub pressure: f64,
    pressure_at: Millis,
    /// Fraction of the requests that the backends can bear, by answer times.
    pub admitted_fraction: f64,
    answer_at: Millis,
}

impl Backpressure {
    /// The start of one of `gateways`. It doesn't see what all of them admit together, so it
    /// starts with a part of its requests; a single one with all.
    pub fn new(gateways: u32) -> Self {
        let own_share = (1.0 - INITIAL_FRACTION) / f64::from(gateways.max(1));
        Backpressure {
            pressure: 0.0,
            pressure_at: 0.0,
            admitted_fraction: INITIAL_FRACTION + own_share,
            answer_at: 0.0,
        }
    }

    /// The stronger of the two measures, from 0 to 1.
    pub fn combined(&self) -> f64 {
        self.pressure.max(1.0 - self.admitted_fraction)
    }

    /// Records the waits at the backends that are in use, where all of them are; `max_wait` is the
    /// longest acceptable one. The shortest wait counts; none at all is no pressure.
    pub fn record_waits(
        &mut self,
        now: Millis,
        target: Millis,
        max_wait: Millis,
        waits: impl Iterator<Item = Millis>,
    ) {
        let keep = (-(now - self.pressure_at) / (PRESSURE_TARGETS * target)).exp();
        let fraction = waits.fold(f64::INFINITY, f64::min) / max_wait;
        let wait = if fraction.is_finite() {
            fraction.min(1.0)
        } else {
            0.0
        };
        let pressure = (2.0 * wait - 1.0).clamp(0.0, 1.0);
        self.pressure = self.pressure * keep + pressure * (1.0 - keep);
        self.pressure_at = now;
    }

    /// Records an answer that took `fraction` of its latency target.
    ///
    /// It guards against queues that other gateways fill: where many share the backends, each has
    /// hardly any attempt in flight, and its own load shows nothing while all answers get slow. All
    /// gateways admit less by the same rule until the mean answer time is stable.
    pub fn record_response(&mut self, now: Millis, target: Millis, gateways: u32, fraction: f64) {
        let step = FRACTION_STEP * ((now - self.answer_at) / target).min(1.0);
        // One or two gateways see much of the queues themselves.
        let stable = STABLE_LATENCY * (1.0 + 1.0 / f64::from(gateways.max(1)).powi(2));
        let change = step * (1.0 - fraction / stable);
        self.admitted_fraction = (self.admitted_fraction + change).clamp(MIN_FRACTION, 1.0);
        self.answer_at = now;
    }
}
