//! Backpressure: how short of capacity the backends of a gateway are.

use crate::Millis;

/// Time constant of the average pressure, in latency targets.
const PRESSURE_TARGETS: f64 = 2.0;
/// Step of the admitted fraction for a response that took no time, per latency target elapsed.
const FRACTION_STEP: f64 = 0.15;
/// Mean response time, as a fraction of its latency target, at which the admitted fraction is
/// stable.
const STABLE_LATENCY: f64 = 0.25;
/// Initial admitted fraction of a gateway in a very large fleet.
const INITIAL_FRACTION: f64 = 0.6;
/// Minimum admitted fraction: some responses are always needed to measure response times.
const MIN_FRACTION: f64 = 0.05;

/// Backpressure as measured by one gateway, from waits and from response times.
#[derive(Clone, Copy, Debug)]
pub struct Backpressure {
    /// Pressure by the waits behind the gateway's own attempts, from 0 to 1.
    pub pressure: f64,
    pressure_at: Millis,
    /// Fraction of the requests that the backends have capacity for, by response times.
    pub admitted_fraction: f64,
    response_at: Millis,
}

impl Backpressure {
    /// Initial state of one of `gateways` gateways. A gateway does not see how much all of them
    /// admit together, so it first admits a fraction of its requests; a single gateway admits all
    /// of them.
    pub fn new(gateways: u32) -> Self {
        let own_share = (1.0 - INITIAL_FRACTION) / f64::from(gateways.max(1));
        Backpressure {
            pressure: 0.0,
            pressure_at: 0.0,
            admitted_fraction: INITIAL_FRACTION + own_share,
            response_at: 0.0,
        }
    }

    /// The stronger of the two pressures, by waits and by response times, from 0 to 1.
    pub fn combined(&self) -> f64 {
        self.pressure.max(1.0 - self.admitted_fraction)
    }

    /// Records the waits at the backends if all of them are in use, no waits otherwise; `max_wait`
    /// is the maximum acceptable wait. The shortest wait counts; without any wait there is no
    /// pressure.
    pub fn record_waits(
        &mut self,
        now: Millis,
        target: Millis,
        max_wait: Millis,
        waits: impl Iterator<Item = Millis>,
    ) {
        let decay = (-(now - self.pressure_at) / (PRESSURE_TARGETS * target)).exp();
        let fraction = waits.fold(f64::INFINITY, f64::min) / max_wait;
        let wait = if fraction.is_finite() {
            fraction.min(1.0)
        } else {
            0.0
        };
        let pressure = (2.0 * wait - 1.0).clamp(0.0, 1.0);
        self.pressure = self.pressure * decay + pressure * (1.0 - decay);
        self.pressure_at = now;
    }

    /// Records a response that took `fraction` of its latency target.
    ///
    /// Response times reveal queues that other gateways fill: where many gateways share the
    /// backends, each has hardly any attempt in flight, and its own load shows nothing while all
    /// responses get slow. All gateways admit less by the same rule until the mean response time is
    /// stable.
    pub fn record_response(&mut self, now: Millis, target: Millis, gateways: u32, fraction: f64) {
        let step = FRACTION_STEP * ((now - self.response_at) / target).min(1.0);
        // With one or two gateways, each sees much of the queues in its own load, so a longer mean
        // response time is stable.
        let stable = STABLE_LATENCY * (1.0 + 1.0 / f64::from(gateways.max(1)).powi(2));
        let change = step * (1.0 - fraction / stable);
        self.admitted_fraction = (self.admitted_fraction + change).clamp(MIN_FRACTION, 1.0);
        self.response_at = now;
    }
}
