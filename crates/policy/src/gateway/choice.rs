//! Choice of a backend, and the protection of cold ones.

use super::*;

impl Gateway {
    /// The backend with the least expected time, and the wait expected there.
    pub(super) fn choose(&mut self, now: Millis, live: &Live, reach: Reach) -> Option<(BackendId, Millis)> {
        let last = self.last_chosen(now);
        let mut of = self.index.placed_up_to(if reach == Reach::Anywhere { last } else { 1.0 });
        let by = (last, self.cold_turn(now, last, &of));
        let mut found = self.least(now, live, reach, by, &of);
        // Each of the others costs this at least: the detour, and the time of the fastest.
        let pace = self.index.least_pace().unwrap_or(f64::INFINITY).min(self.common_pace());
        let others = (STRANGE_AIMS * self.aim + pace * live.request.units) * (1.0 - 1e-9);
        if of.len() < self.index.ready().len() && found.1.is_none_or(|(cost, _, _)| cost >= others) {
            self.index.done_with(of);
            of = self.index.placed_up_to(1.0);
            found = self.least(now, live, reach, by, &of);
        }
        self.index.done_with(of);
        let (drawn, best, rng) = found;
        self.rng = rng;
        // A cold one in its turn goes first, unless it is distrusted or has too much of this gateway's own.
        let best = match (drawn, best) {
            (Some(cold), Some(warm)) if cold.0 > warm.0 + WAIT_LIMIT * self.aim => Some(warm),
            (drawn, best) => drawn.or(best),
        };
        best.map(|(_, id, wait)| (id, wait))
    }

    /// The cold one in its turn and the least cost of the others, among these backends in the order of ids.
    /// Chance is drawn for each that could be had, also where only some are looked at.
    pub(super) fn least(
        &self,
        now: Millis,
        live: &Live,
        reach: Reach,
        by: Chosen,
        of: &[BackendId],
    ) -> Found {
        let (last, cold) = by;
        let (mut drawn, mut best, mut rng): (_, Option<Cost>, _) = (None, None, self.rng.clone());
        let (first, span) = (self.set.start_capacity, self.set.warm_up);
        let some = of.len() < self.index.ready().len();
        let mut draws = 0;
        for (id, backend) in of.iter().filter_map(|id| Some((id, self.backends.get(id)?))) {
            let fits = match reach {
                Reach::Anywhere => true,
                Reach::Zone(zone) => backend.entry.zone == zone,
                Reach::Cell(cell) => backend.entry.cell == cell,
                Reach::Nowhere => false,
            };
            if !fits || (cold != Some(*id) && backend.warmth(now, first, span) < 1.0) {
                continue;
            }
            if some {
                let before = self.index.warm_before(*id, cold);
                rng.advance(before - draws);
                draws = before + 1;
            }
            let wait = self.wait(backend);
            let strange = if backend.place > last { STRANGE_AIMS * self.aim } else { 0.0 };
            let cost = self.cost(now, live, backend, wait) * (1.0 + 0.05 * chance(&mut rng)) + strange;
            if cold == Some(*id) {
                drawn = Some((cost, *id, wait));
            } else if best.is_none_or(|(least, _, _)| cost < least) {
                best = Some((cost, *id, wait));
            }
        }
        if some {
            rng.advance(self.index.warm(cold) - draws);
        }
        (drawn, best, rng)
    }

    /// What sending a request to a backend is expected to cost, as time.
    pub(super) fn cost(&self, now: Millis, live: &Live, backend: &Backend, wait: Millis) -> Millis {
        let unsafe_one = self.set.classes[live.request.class.0].effect == Effect::Unsafe;
        let overdue = self.overdue(now, backend, live.request.class);
        let mut cost = wait.max(overdue) + self.pace(backend) * live.request.units;
        let (plan, class) = (live.request.plan.0, live.request.class.0);
        let against = backend.trust.against(now, self.aim, plan, class);
        cost += (against * if unsafe_one { 2.0 } else { 1.0 } - Trust::FORGOTTEN).max(0.0) * self.aim;
        if backend.entry.zone != self.set.zone {
            cost += CROSSING_AIMS * self.set.cross_zone_price * self.aim;
        }
        cost
    }

    /// Time per unit of load at all backends.
    pub(super) fn common_pace(&self) -> f64 {
        self.pace.ratio().unwrap_or(self.aim / 10.0)
    }

    /// Time per unit of load at a backend; with few answers, nearer to that of all.
    pub(super) fn pace(&self, backend: &Backend) -> f64 {
        let common = self.common_pace();
        let mean = self.pace.load / PACE_MEMORY;
        let prior = if mean > 0.0 { mean } else { 1.0 };
        (backend.pace.time + prior * common) / (backend.pace.load + prior)
    }

    /// Load at a backend: the units this gateway has out there. Reports are not counted: they come late and
    /// every gateway reads the same ones; what others send shows in the time per unit.
    pub(super) fn load_of(backend: &Backend) -> f64 {
        backend.out.values().map(|f| f.units).sum()
    }

    /// Time until a request sent now would be begun, as far as own attempts tell.
    pub(super) fn wait(&self, backend: &Backend) -> Millis {
        self.pace(backend) * Self::load_of(backend)
    }

    /// Guards against a backend that has gone silent: how long its oldest attempt is overdue without news. It
    /// turns the choice elsewhere but refuses nothing: answers may be lost where there is no queue. A class
    /// that is known to hang there speaks only for itself.
    pub(super) fn overdue(&self, now: Millis, backend: &Backend, class: ClassId) -> Millis {
        let speaks =
            |flight: &&Flight| flight.class == class || !backend.trust.hangs(now, self.aim, flight.class.0);
        let silent = |flight: &Flight| {
            let answered = if flight.class == class { None } else { Some(backend.last_answer) };
            self.silent(now, backend, flight, answered)
        };
        backend.out.values().filter(speaks).map(silent).fold(0.0, f64::max)
    }

    /// How long an attempt is overdue without news of its class from its backend.
    pub(super) fn silent(
        &self,
        now: Millis,
        backend: &Backend,
        flight: &Flight,
        news: Option<Millis>,
    ) -> Millis {
        let answered = news.or_else(|| backend.trust.answered(flight.class.0)).unwrap_or(flight.at);
        now - flight.at.max(answered) - SILENCE * self.pace(backend) * flight.load
    }

    /// The last place of a backend that is among the chosen. Guards against a connection for each pair: where
    /// a hundred gateways have few requests each, nearly every one would pay for a handshake. Others stand in
    /// for those that are distrusted, or slower by far. All are chosen where there are few gateways.
    pub(super) fn last_chosen(&mut self, now: Millis) -> f64 {
        let (backends, aim) = (&self.backends, self.aim);
        let doubted = |b: &Backend| b.trust.doubted(now, aim);
        self.index.keep_doubted(|id| backends.get(&id).is_some_and(doubted));
        let trusted = self.index.trusted();
        let most = (CHOSEN_BY * trusted as f64 / f64::from(self.set.gateways.max(1))).ceil() as usize;
        let most = most.max(CHOSEN_LEAST);
        if most >= trusted {
            return 1.0;
        }
        self.index.place_of(most).unwrap_or(1.0)
    }

    /// The cold backend whose turn this request is, if it is one's. Guards cold backends: each gets its
    /// warmth of what a warm one gets, as the warmth of all allows, and where hardly any is warm no more than
    /// a part of the multiple that pushes it over. Turns come evenly from a drawn start: so shares hold
    /// over the fleet though each of hundreds of gateways has few requests for many backends, and no first
    /// requests come in step.
    pub(super) fn cold_turn(&mut self, now: Millis, last: f64, of: &[BackendId]) -> Option<BackendId> {
        let (first, span) = (self.set.start_capacity, self.set.warm_up);
        let backends = &self.backends;
        let cold = |id: &BackendId| backends.get(id).filter(|b| b.warmth(now, first, span) < 1.0);
        self.index.keep_cold(|id| cold(&id).is_some());
        if !self.index.cold().any(|id| cold(&id).is_some_and(|b| b.place <= last)) {
            return None;
        }
        let chosen = of.iter().filter_map(|id| backends.get(id)).filter(|b| b.place <= last);
        let weights = chosen.map(|b| (b.entry.size * b.warmth(now, first, span), b.entry.size));
        let (warm, size) = weights.fold((0.0, 0.0), |sum, (w, s)| (sum.0 + w, sum.1 + s));
        if warm >= size {
            return None;
        }
        let most = (COLD_PART * self.set.overload_factor).max(1.0);
        let per_weight = (1.0 / warm.max(0.01)).min(most / size);
        let mut next: Option<(f64, BackendId)> = None;
        for id in self.index.cold() {
            let Some(backend) = self.backends.get_mut(&id).filter(|b| b.place <= last) else { continue };
            let warmth = backend.warmth(now, first, span);
            backend.turn = (backend.turn + warmth * backend.entry.size * per_weight).min(2.0);
            if backend.turn >= 1.0 && next.is_none_or(|(turn, _)| backend.turn > turn) {
                next = Some((backend.turn, id));
            }
        }
        next.map(|(_, id)| id)
    }
}
