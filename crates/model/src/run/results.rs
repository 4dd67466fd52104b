//! Results: converts the counters of a run to the figures of its [`Outcome`], as fractions of what
//! one proxy that sees all requests would admit.

use super::Run;
use crate::metrics::Outcome;

impl Run<'_> {
    /// Returns the outcome of the run; a figure whose reference is 0 is 0.
    pub(super) fn finish(mut self, seed: u64) -> Outcome {
        let mut outcome = std::mem::take(&mut self.outcome);
        (outcome.world, outcome.seed) = (self.world.name.clone(), seed);
        let fraction = |of: f64, all: f64| if all > 0.0 { of / all } else { 0.0 };
        outcome.served_value = fraction(self.served_value, self.offered_value);
        outcome.over_quota_value = fraction(
            outcome.over_quota_value_by_plan.iter().sum(),
            self.offered_value,
        );
        for (over_quota_value, offered) in outcome
            .over_quota_value_by_plan
            .iter_mut()
            .zip(&self.offered_value_by_plan)
        {
            *over_quota_value = fraction(*over_quota_value, *offered);
        }
        for (served_value, offered) in outcome
            .served_value_by_plan
            .iter_mut()
            .zip(&self.offered_value_by_plan)
        {
            *served_value = fraction(*served_value, *offered);
        }
        for (at, (served_value, units)) in self.offered_by_demand.iter().enumerate() {
            outcome.served_value_by_demand[at] =
                fraction(outcome.served_value_by_demand[at], *served_value);
            outcome.over_quota_units_by_demand[at] =
                fraction(outcome.over_quota_units_by_demand[at], *units);
        }
        outcome.over_quota_units = fraction(self.over_quota_units, self.offered_units);
        outcome.late = self
            .client_requests
            .iter()
            .filter(|request| request.admitted && !request.served)
            .count() as u64;
        outcome.cross_zone_attempts =
            fraction(self.cross_zone_attempts as f64, self.attempts_sent as f64);
        outcome.attempts = fraction(self.attempts_sent as f64, outcome.client_requests as f64);
        outcome.handshakes = fraction(self.handshakes as f64, self.attempts_sent as f64);
        (outcome.p50_ms, outcome.p99_ms) =
            (self.latencies.quantile(0.5), self.latencies.quantile(0.99));
        outcome.wait_ms = fraction(self.waits.0, self.waits.1 as f64);
        outcome.sojourn_ms = fraction(self.sojourn.0, self.sojourn.1 as f64);
        outcome.in_backends = fraction(self.occupancy_integral, self.occupancy_since);
        let loads: Vec<f64> = self
            .backends
            .iter()
            .map(|backend| backend.work / backend.speed)
            .collect();
        let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
        outcome.max_load = fraction(
            loads.iter().fold(0.0, |max: f64, load| max.max(*load)),
            mean,
        );
        outcome.min_load = fraction(
            loads
                .iter()
                .fold(f64::INFINITY, |min: f64, load| min.min(*load)),
            mean,
        );
        outcome
    }
}
