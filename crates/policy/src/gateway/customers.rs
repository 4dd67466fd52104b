//! Admission of customers: the design's recent average, box and slice.

use super::*;

impl Gateway {
    pub(super) fn arrived(&mut self, now: Millis, mut request: Request, actions: &mut Vec<Action>) {
        if self.set.plans.get(request.plan.0).is_none() || self.set.classes.get(request.class.0).is_none() {
            actions.push(self.refusal(request.id, Reason::Unknown, None));
            return;
        }
        request.units = in_range(request.units, 0.0, self.set.max_units.max(1.0), 1.0);
        request.spread = in_range(request.spread, 1.0, f64::from(self.set.gateways.max(1)), 1.0).round();
        let class = &self.set.classes[request.class.0];
        request.deadline = in_range(request.deadline, now, now + class.deadline, now + class.deadline);
        self.evict(now);
        let live = Live {
            request,
            arrived: now,
            begun: now,
            held: !request.checked,
            sends: 0,
            out: None,
            may_have_run: None,
            started: false,
            answered: false,
            slow: false,
        };
        match self.admit(now, &live) {
            Ok(_) if live.held => {
                let alarm = AlarmId(u64::from(request.id.0));
                actions.push(Action::SetAlarm { at: self.cut(&live), alarm });
                actions.push(Action::Check(request.id));
                self.requests.insert(request.id, live);
            }
            Ok(backend) => self.begin(now, live, backend, actions),
            Err((reason, wait)) => actions.push(self.refusal(request.id, reason, wait)),
        }
    }

    /// Sends a request on for the first time.
    pub(super) fn begin(&mut self, now: Millis, live: Live, backend: BackendId, actions: &mut Vec<Action>) {
        self.retries = (self.retries + self.set.retry_share).min(self.set.retry_depth);
        let id = live.request.id;
        let alarm = AlarmId(u64::from(id.0));
        actions.push(Action::SetAlarm { at: self.slow_mark(&live).min(self.cut(&live)), alarm });
        self.requests.insert(id, live);
        self.send(now, id, backend, actions);
    }

    /// A held request goes on as if it came now, but for its quota, which it has, and its deadline, which has
    /// not moved.
    pub(super) fn checked(&mut self, now: Millis, id: RequestId, passes: bool, actions: &mut Vec<Action>) {
        if !self.requests.get(&id).is_some_and(|live| live.held) {
            return;
        }
        let Some(mut live) = self.requests.remove(&id) else { return };
        (live.held, live.begun) = (false, now);
        let request = live.request;
        let open = self.part(&request).open;
        let backend =
            if passes && self.open_room(now, &request, open) { self.room(now, &live) } else { None };
        match backend {
            Some(backend) => self.begin(now, live, backend, actions),
            None => {
                self.give_back(&request);
                if passes {
                    actions.push(self.refusal(id, Reason::Backends, None));
                }
            }
        }
    }

    /// What was never sent on takes nothing from its quota.
    pub(super) fn give_back(&mut self, request: &Request) {
        if let Some(customer) = self.customers.get_mut(&request.customer) {
            // More than they hold is taken off again before anybody uses it.
            customer.slice += request.units;
            customer.ceiling += request.units;
        }
        self.use_news(request.customer, -request.units);
    }

    // Where gateways tell one another what they let in, there is one store again, known a little late. What
    // it surely holds is let in, what it surely lacks is refused, and what is in doubt goes by the slice.

    /// Takes in what others have let in.
    pub(super) fn used_elsewhere(&mut self, now: Millis, told: &Elsewhere) {
        let Some(plan) = self.set.plans.get(told.plan.0).filter(|plan| plan.rate > 0.0) else { return };
        let news = self.news.entry(told.customer).or_insert_with(|| Store::full(now, plan.burst));
        news.refill(now, plan.rate, plan.burst);
        news.told(now, plan.burst, told.units, (told.as_of, told.error, told.heard));
    }

    /// Counts what this gateway lets in.
    pub(super) fn use_news(&mut self, customer: CustomerId, units: f64) {
        if let Some(news) = self.news.get_mut(&customer) {
            news.draw(units);
        }
    }

    /// Units that are left at least and at most, by news that are not old.
    pub(super) fn left(&mut self, now: Millis, request: &Request) -> Option<(f64, f64)> {
        let plan = &self.set.plans[request.plan.0];
        let news = self.news.get_mut(&request.customer)?;
        news.refill(now, plan.rate, plan.burst);
        news.left(now, NEWS_AIMS * self.aim)
    }

    /// Lets a request in and names its backend, or tells how long the reason to refuse it will last.
    pub(super) fn admit(&mut self, now: Millis, live: &Live) -> Result<BackendId, (Reason, Option<Millis>)> {
        let request = &live.request;
        let part = self.part(request);
        let born = self.born.unwrap_or(now);
        // Guards the ceiling of a customer that was forgotten: its part may have been empty when last seen.
        let unseen = born.max(now - EVICT_HALFLIVES * self.longest_halflife());
        let per_unit = self.common_pace() / 1000.0;
        self.feel_pressure(now);
        let left = self.left(now, request);
        let luck = chance(&mut self.rng);
        let plan = &self.set.plans[request.plan.0];
        let opening = self.strain.opening;
        let pressure = self.strain.pressure.max(1.0 - opening);
        self.usual += (request.units - self.usual) / USUAL_MEMORY;
        let usual = self.usual;
        let customer = self.customers.entry(request.customer).or_insert_with(|| Customer {
            depth: part.depth,
            slice: part.depth,
            t: unseen,
            flow: part.even,
            cap: Cap::new(now),
            metered: now,
            share: 1.0,
            ..Customer::default()
        });
        // Guards against a sliver that a small request came to first: it would have started with room for
        // this one, and hardly fills to it in a day. A slice that is a good part of the burst waits to fill.
        if part.sliver {
            customer.slice += (part.depth - customer.depth).max(0.0);
        }
        customer.depth = part.depth;
        customer.largest = customer.largest.max(request.units);
        let (asked, held) = customer.evidence(now, plan, &part, now - born, usual);
        let excess = asked / held;
        // Guards against slices that rise and are never told that they let in too much: no meter, no rise.
        let past_quota = excess > 1.0 || self.set.meter_period <= 0.0;
        customer.refill(now, plan, &part, pressure, past_quota, now - born);
        customer.average.feed(now, request.units, part.lambda);
        if plan.rate > 0.0 {
            // The box: beyond the limit everything is refused until the estimate has decayed.
            let rate = customer.average.rate(now, part.lambda);
            // For a sliver it shuts on all evidence, less what chance may add.
            let sure = (asked - BOX_DOUBT * (asked * usual).sqrt()) * plan.rate / held;
            let sure = if part.sliver && left.is_none() { sure } else { 0.0 };
            let rate = rate.max(sure);
            if rate > part.limit {
                return Err((Reason::Box, Some((rate / part.limit).ln() / part.lambda)));
            }
            let whole = left.is_some_and(|(least, _)| request.units <= least);
            if let Some((_, most)) = left.filter(|(_, most)| *most < request.units) {
                return Err((Reason::SoldOut, Some(1000.0 * (request.units - most) / plan.rate)));
            }
            // Guards against slices too small to tell use past the quota from a few requests that happen to
            // meet at one of many gateways: a sliver lets in by chance, by what all evidence says.
            let strain = match left {
                Some((_, most)) => 1.0 - most / plan.burst.max(request.units),
                None if part.sliver => excess,
                None => excess.min(1.0),
            };
            customer.share = opening / strain.max(opening);
            // By Little's law a cap on attempts out is a rate too: what others have out is not seen.
            let others = excess.min(1.0) * plan.rate * per_unit * (1.0 - 1.0 / part.spread);
            let spare = f64::from(plan.max_open) - f64::from(customer.cap.open);
            let fits = if part.open < 1.0 && others > 0.0 { spare / (others + others.sqrt()) } else { 1.0 };
            if luck > customer.share.min(fits) {
                return Err((Reason::Share, None));
            }
            // Under pressure a slice keeps a reserve: those nearest the end of their quotas give way first.
            let reserve = pressure * (part.depth - request.units).max(0.0);
            let short = request.units + reserve - customer.slice;
            if short > 0.0 && !whole {
                // Guards against advice that is of no use any more: the next try may come to another gateway,
                // whose slice holds it; this one cannot know, and the time to ask there is short.
                let elsewhere = if part.spread > 1.0 { ELSEWHERE_AIMS * self.aim } else { f64::INFINITY };
                return Err((Reason::Slice, Some((1000.0 * short / part.even).min(elsewhere))));
            }
        }
        let short_of_ceiling = plan.ceiling.is_some() && customer.ceiling < request.units;
        if !self.open_room(now, request, part.open) {
            return Err((Reason::Open, None));
        }
        if short_of_ceiling {
            return Err((Reason::Ceiling, None));
        }
        let backend = self.room(now, live).ok_or((Reason::Backends, None))?;
        if let Some(customer) = self.customers.get_mut(&request.customer) {
            // By news it may let in more than its slice holds.
            customer.slice = (customer.slice - request.units).max(0.0);
            customer.ceiling -= request.units;
        }
        self.use_news(request.customer, request.units);
        Ok(backend)
    }

    /// Whether a customer may have one more attempt out: an open cap is held in parts, and what a part has
    /// beyond whole attempts is a share of the time.
    pub(super) fn open_room(&mut self, now: Millis, request: &Request, part: f64) -> bool {
        let (aim, most) = (self.aim, f64::from(self.set.plans[request.plan.0].max_open));
        let Some(customer) = self.customers.get_mut(&request.customer) else { return false };
        customer.cap.room(now, part, most, aim)
    }

    /// The backend for a request, if it has room: a client that leaves before an answer can be expected would
    /// come again after work done for nothing.
    pub(super) fn room(&mut self, now: Millis, live: &Live) -> Option<BackendId> {
        let (backend, wait) = self.choose(now, live, Reach::Anywhere)?;
        let pace = self.backends.get(&backend).map_or(0.0, |b| self.pace(b));
        let expected = wait + pace * live.request.units;
        let slow = wait > WAIT_LIMIT * self.aim;
        let late = PATIENCE * expected > live.request.deadline - now;
        (!slow && !late).then_some(backend)
    }

    /// Halflife of the recent average of a plan that has a rate.
    pub(super) fn halflife(plan: &Plan) -> Millis {
        HALFLIFE_BURSTS * 1000.0 * plan.burst / plan.rate
    }

    pub(super) fn longest_halflife(&self) -> Millis {
        let rated = self.set.plans.iter().filter(|p| p.rate > 0.0);
        rated.map(Self::halflife).fold(1000.0, f64::max)
    }

    pub(super) fn part(&self, request: &Request) -> Part {
        let plan = &self.set.plans[request.plan.0];
        let largest = self.customers.get(&request.customer).map_or(0.0, |c| c.largest).max(request.units);
        let halflife = if plan.rate > 0.0 && plan.burst > 0.0 {
            Self::halflife(plan)
        } else {
            HALFLIFE_DEADLINES * self.set.classes.iter().map(|c| c.deadline).fold(1000.0, f64::max)
        };
        let recent = std::f64::consts::LN_2 * HALFLIFE_BURSTS / RECENT_BURSTS / halflife;
        let least = (largest + 0.5 * RECENT_BURSTS * plan.burst.max(largest) / request.spread)
            .min(SLICE_LEAST * largest);
        let sliver = request.spread > 1.0 && plan.burst / request.spread < self.usual;
        // A sliver has too few requests to tell a lasting flood from chance by the long average alone.
        let lambda = if sliver { recent } else { std::f64::consts::LN_2 / halflife };
        Part {
            lambda,
            recent,
            recall: if sliver { recent } else { RECALL * recent },
            limit: BOX_FACTOR * plan.rate + 1000.0 * lambda * plan.burst,
            even: plan.rate / request.spread,
            sliver,
            depth: (plan.burst / request.spread).max(least),
            spread: request.spread,
            open: if plan.max_open > 0 { f64::from(plan.max_open) / request.spread } else { f64::INFINITY },
        }
    }

    /// Forgets customers whose entry says no more than a new one would.
    pub(super) fn evict(&mut self, now: Millis) {
        if now < self.evict_at {
            return;
        }
        let longest = self.longest_halflife();
        let age = EVICT_HALFLIVES * longest;
        self.evict_at = now + age / 4.0;
        let left = |c: &Customer| c.average.n * (-(now - c.t) * std::f64::consts::LN_2 / longest).exp();
        let usual = self.usual;
        self.customers.retain(|_, c| c.cap.open > 0 || now - c.t < age || left(c) > usual);
        self.news.retain(|_, news| now - news.at() < age);
    }

    /// Feels how long the best of the busy backends keeps a request waiting.
    pub(super) fn feel_pressure(&mut self, now: Millis) {
        let busy = self.index.all_busy().iter().filter_map(|id| self.backends.get(id));
        let best = busy.map(|b| self.wait(b)).fold(f64::INFINITY, f64::min);
        self.strain.feel_wait(now, self.aim, best / (WAIT_LIMIT * self.aim));
    }

    pub(super) fn refusal(&self, request: RequestId, reason: Reason, wait: Option<Millis>) -> Action {
        let advised = if self.set.retry_after { wait } else { None };
        Action::Refuse {
            request,
            reason,
            retry_after: advised.map(|w| w.clamp(0.0, self.set.max_retry_after)),
        }
    }
}

impl Customer {
    /// Units asked of all gateways and what the quota held meanwhile, as far as one of many can tell: by the
    /// meter and, for a sliver, by its own recent average. Both begin with a little: few prove nothing.
    pub(super) fn evidence(
        &self,
        now: Millis,
        plan: &Plan,
        part: &Part,
        age: Millis,
        usual: f64,
    ) -> (f64, f64) {
        let keep = (part.recall * (self.metered - now)).exp();
        let (asked, held) = (PRIOR * usual + self.asked * keep, 2.0 * PRIOR * usual + self.held * keep);
        if !part.sliver {
            return (asked, held);
        }
        let seen = self.average.n * (part.lambda * (self.average.t - now)).exp();
        let own =
            part.even / 1000.0 / part.lambda * (1.0 - (-part.lambda * age).exp()) + plan.burst / part.spread;
        (asked + usual + seen, held + own)
    }

    /// Brings slice and ceiling part up to now; their flow follows demand as the design says.
    pub(super) fn refill(
        &mut self,
        now: Millis,
        plan: &Plan,
        part: &Part,
        pressure: f64,
        past_quota: bool,
        age: Millis,
    ) {
        let span = (now - self.t).max(0.0) / 1000.0;
        // The average starts at nought, so what a young gateway has counted is taken over the time it had.
        let counted = (1.0 - (-part.lambda * age).exp()).max(COUNTED_LEAST);
        let recent = self.average.rate(now, part.lambda) / counted;
        let wanted = (RISE_FACTOR * recent).min(plan.rate).max(part.even);
        let target = if past_quota { part.even } else { part.even + (wanted - part.even) * (1.0 - pressure) };
        let rises = RECENT_BURSTS / RISE_BURSTS / std::f64::consts::LN_2;
        let rise = 1.0 - (-part.recent * 1000.0 * span * rises).exp();
        self.flow = target.min(self.flow + (target - self.flow).max(0.0) * rise).max(part.even);
        self.slice = (self.slice + self.flow * span).min(part.depth);
        if let Some(ceiling) = plan.ceiling {
            let depth = (ceiling.burst + SLACK_USED * ceiling.slack) / part.spread;
            self.ceiling = (self.ceiling + ceiling.rate / part.spread * span).min(depth);
        }
        self.t = now;
    }
}
