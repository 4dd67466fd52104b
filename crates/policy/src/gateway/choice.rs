//! Choice of a backend, and the protection of backends that are warming up.

use super::*;
use maplefall_backend_index::SearchResult;

struct Search<'a> {
    request: &'a Request,
    reach: Reach,
    last_preferred: f64,
    prior: ServiceTimePrior,
    due: Option<BackendId>,
}

impl Gateway {
    /// Chooses the backend with the lowest expected cost, or one in slow start that is due.
    pub(super) fn choose(&mut self, request: &Request, reach: Reach) -> Option<Candidate> {
        let last_preferred = self.last_preferred();
        let is_limited = reach != Reach::Anywhere;
        let last = if is_limited { 1.0 } else { last_preferred };
        let mut ids = self.backends.index_mut().candidates(last);
        let search = Search {
            request,
            reach,
            last_preferred,
            prior: self.prior(),
            due: self.due_for_slow_start(last_preferred, &ids),
        };
        let mut found = self.search(&search, &ids);
        // Backends not in `ids` cost at least `UNPREFERRED_TARGETS` plus the least service time.
        let fastest = self.backends.index().least_time_per_unit();
        let common = search.prior.per_unit;
        let time = fastest.map_or(common, |own| own.min(common)) * request.units;
        let others = (UNPREFERRED_TARGETS * self.target + time) * (1.0 - 1e-9);
        let is_beaten = found.cheapest.is_none_or(|found| found.cost >= others);
        if is_beaten && ids.len() < self.backends.index().ready().len() {
            self.backends.index_mut().recycle(ids);
            ids = self.backends.index_mut().candidates(1.0);
            found = self.search(&search, &ids);
        }
        self.backends.index_mut().recycle(ids);
        self.rng = found.rng;
        // A backend due in slow start goes first, unless it is suspect or has too many requests.
        let max_detour = MAX_WAIT_TARGETS * self.target;
        match (found.due, found.cheapest) {
            (Some(due), Some(other)) if due.cost > other.cost + max_detour => Some(other),
            (due, cheapest) => due.or(cheapest),
        }
    }

    fn search(&self, search: &Search, ids: &[BackendId]) -> SearchResult<BackendId> {
        let slow_start = self.settings.slow_start();
        let is_eligible = |id, backend: &Backend| {
            let is_warm = backend.capacity(self.now, slow_start) >= 1.0;
            search.reach.includes(&backend.entry) && (is_warm || search.due == Some(id))
        };
        let evaluate = |id, backend: &Backend, draw| self.evaluate(search, id, backend, draw);
        self.backends
            .search(ids, search.due, &self.rng, is_eligible, evaluate)
    }

    /// Estimates the cost of sending a request to a backend, in milliseconds.
    fn evaluate(&self, search: &Search, id: BackendId, backend: &Backend, draw: f64) -> Candidate {
        let (now, target, request) = (self.now, self.target, search.request);
        let (plan, class, estimator) = (request.plan.0, request.class.0, &backend.estimator);
        let wait = estimator.wait(search.prior);
        let service_time = estimator.time_per_unit(search.prior) * request.units;
        // Overdue responses divert requests but reject none: they may be lost without any queue.
        let overdue = estimator.overdue(now, target, search.prior, class);
        let mut cost = wait.max(overdue) + service_time;
        let mut fault = estimator.health().fault_score(now, target, plan, class);
        if self.settings.class(request).idempotency == Idempotency::NonIdempotent {
            fault *= 2.0;
        }
        cost += (fault - HealthScore::HEALTHY).max(0.0) * target;
        if backend.entry.zone != self.settings.zone {
            cost += CROSS_ZONE_TARGETS * self.settings.cross_zone_price * target;
        }
        cost *= 1.0 + 0.05 * draw;
        if backend.position > search.last_preferred {
            cost += UNPREFERRED_TARGETS * target;
        }
        Candidate {
            key: id,
            cost,
            wait,
            response_time: wait + service_time,
        }
    }

    /// Returns the service time over all backends, as the prior for that of each.
    pub(super) fn prior(&self) -> ServiceTimePrior {
        self.service_time.prior(self.target / 10.0)
    }

    /// Returns the highest position of a preferred backend. A gateway prefers a few backends: where
    /// a hundred gateways have few requests each, nearly each request would need a new connection.
    /// Others replace preferred backends that are suspect or far slower.
    fn last_preferred(&mut self) -> f64 {
        let (now, target) = (self.now, self.target);
        self.backends
            .retain_suspects(|backend| backend.estimator.health().is_suspect(now, target));
        let healthy = self.backends.index().healthy_count();
        let gateways = f64::from(self.settings.gateways.max(1));
        let even = (GATEWAYS_PER_BACKEND * healthy as f64 / gateways).ceil() as usize;
        let preferred = even.max(MIN_PREFERRED_BACKENDS);
        if preferred >= healthy {
            return 1.0;
        }
        let last = self.backends.index().healthy_position(preferred);
        last.unwrap_or(1.0)
    }

    /// Returns the backend in slow start that is due for this request, if any. Each gets requests
    /// in proportion to its capacity and, where hardly any backend is warm, at most a fraction of
    /// the load that overloads it. Credit grows evenly from a random start: the proportions hold
    /// over the fleet though each gateway has few requests, and gateways do not act in step.
    fn due_for_slow_start(&mut self, last_preferred: f64, ids: &[BackendId]) -> Option<BackendId> {
        let (now, slow_start) = (self.now, self.settings.slow_start());
        let capacity = |backend: &Backend| backend.capacity(now, slow_start);
        let is_preferred = |backend: &Backend| backend.position <= last_preferred;
        self.backends
            .retain_warming(|backend| capacity(backend) < 1.0);
        if !self.backends.warming().any(is_preferred) {
            return None;
        }
        let (mut warm, mut size) = (0.0, 0.0);
        let preferred = ids.iter().filter_map(|id| self.backends.get(id));
        for backend in preferred.filter(|backend| is_preferred(backend)) {
            warm += backend.entry.size * capacity(backend);
            size += backend.entry.size;
        }
        if warm >= size {
            return None;
        }
        let max_overload = SLOW_START_OVERLOAD_FRACTION * self.settings.overload_factor;
        let per_weight = (1.0 / warm.max(0.01)).min(max_overload.max(1.0) / size);
        let mut due: Option<(f64, BackendId)> = None;
        self.backends.for_each_warming(|id, backend| {
            if !is_preferred(backend) {
                return;
            }
            let earned = capacity(backend) * backend.entry.size * per_weight;
            backend.credit = (backend.credit + earned).min(2.0);
            if backend.credit >= 1.0 && due.is_none_or(|(credit, _)| backend.credit > credit) {
                due = Some((backend.credit, id));
            }
        });
        due.map(|(_, id)| id)
    }
}
