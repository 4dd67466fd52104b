//! Results.

use super::Run;
use crate::metrics::Outcome;

impl Run<'_> {
    pub(super) fn close(mut self, seed: u64) -> Outcome {
        let mut outcome = std::mem::take(&mut self.outcome);
        (outcome.world, outcome.seed) = (self.world.name.clone(), seed);
        let part = |of: f64, all: f64| if all > 0.0 { of / all } else { 0.0 };
        outcome.worth = part(self.gained, self.offered);
        outcome.over = part(outcome.over_by_plan.iter().sum(), self.offered);
        for (over, offered) in outcome.over_by_plan.iter_mut().zip(&self.offered_by_plan) {
            *over = part(*over, *offered);
        }
        for (gained, offered) in outcome.worth_by_plan.iter_mut().zip(&self.offered_by_plan) {
            *gained = part(*gained, *offered);
        }
        for (at, (worth, units)) in self.offered_by_demand.iter().enumerate() {
            outcome.worth_by_demand[at] = part(outcome.worth_by_demand[at], *worth);
            outcome.beyond_by_demand[at] = part(outcome.beyond_by_demand[at], *units);
        }
        outcome.beyond = part(self.beyond, self.offered_units);
        outcome.late = self
            .firsts
            .iter()
            .filter(|one| one.let_in && !one.served)
            .count() as u64;
        outcome.crossings = part(self.crossings as f64, self.sent as f64);
        outcome.attempts = part(self.sent as f64, outcome.first_tries as f64);
        outcome.handshakes = part(self.handshakes as f64, self.sent as f64);
        (outcome.p50_ms, outcome.p99_ms) = (self.times.quantile(0.5), self.times.quantile(0.99));
        outcome.wait_ms = part(self.waits.0, self.waits.1 as f64);
        outcome.sojourn_ms = part(self.sojourn.0, self.sojourn.1 as f64);
        outcome.in_backends = part(self.held, self.held_at);
        let loads: Vec<f64> = self
            .backends
            .iter()
            .map(|backend| backend.work / backend.speed)
            .collect();
        let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
        outcome.most_loaded = part(
            loads.iter().fold(0.0, |most: f64, one| most.max(*one)),
            mean,
        );
        outcome.least_loaded = part(
            loads
                .iter()
                .fold(f64::INFINITY, |least: f64, one| least.min(*one)),
            mean,
        );
        outcome
    }
}
