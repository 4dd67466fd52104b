//! Attempts, what their ends tell, and the one final answer.

use super::*;

impl Gateway {
    /// When a request gets its final answer at the latest: with its aim where later is worth nothing.
    pub(super) fn cut(&self, live: &Live) -> Millis {
        let class = &self.set.classes[live.request.class.0];
        let last = live.request.deadline - 2.0 * self.set.tick;
        if class.late_worth > 0.0 {
            last
        } else {
            last.min(live.arrived + class.aim)
        }
    }

    /// When an answer is slow. It is felt at once: a time-out is news when queues have long filled.
    pub(super) fn slow_mark(&self, live: &Live) -> Millis {
        let size = (live.request.units / self.usual.max(0.01)).max(1.0);
        live.begun + (SLOW_AIMS * size).min(1.0) * self.set.classes[live.request.class.0].aim
    }

    pub(super) fn send(&mut self, now: Millis, id: RequestId, to: BackendId, actions: &mut Vec<Action>) {
        let (Some(live), Some(backend)) = (self.requests.get(&id), self.backends.get(&to)) else { return };
        let units = live.request.units.max(0.01);
        let load = Self::load_of(backend) + units;
        let left = self.cut(live) - now;
        let limit = self.patience(now, live, self.pace(backend) * load).min(left).max(self.set.tick);
        if let Some(backend) = self.backends.get_mut(&to) {
            backend.out.insert(id, Flight { at: now, class: live.request.class, load, units });
            backend.turn = (backend.turn - 1.0).max(0.0);
        }
        self.follow(to);
        let Some(live) = self.requests.get_mut(&id) else { return };
        live.sends += 1;
        live.out = Some(to);
        if let Some(customer) = self.customers.get_mut(&live.request.customer) {
            customer.cap.open += 1;
        }
        // Guards against connections that are dead unseen, in pools or in what lies between: a request that
        // must not run twice is lost with each. Others can be repeated and go without while none breaks,
        // since caution costs each request the time of a way there and back.
        let effect = self.set.classes[live.request.class.0].effect;
        let care = match effect {
            Effect::Unsafe => Care::Once,
            _ if now - self.broke_at < CAUTION_AIMS * self.aim => Care::Proof,
            _ => Care::Usual,
        };
        actions.push(Action::Send { request: id, backend: to, limit: Some(limit), care });
    }

    /// Most attempts for a request.
    pub(super) fn attempts(&self, live: &Live) -> u32 {
        self.set.max_attempts.min(self.set.classes[live.request.class.0].max_attempts)
    }

    /// How long an attempt is waited for that should take `expected`. Guards against one that hangs and eats
    /// the whole of its request's time: what may be repeated is given up while another attempt still has the
    /// time that this one had. The last attempt gets all that is left.
    pub(super) fn patience(&self, now: Millis, live: &Live, expected: Millis) -> Millis {
        let class = &self.set.classes[live.request.class.0];
        let again = match class.effect {
            Effect::Safe => true,
            Effect::Keyed { group: Group::All, memory } => memory > class.aim,
            _ => false,
        };
        let limit = (HUNG * expected).max(HUNG_AIMS * class.aim);
        let fits = 2.0 * limit <= self.cut(live) - now && live.sends + 1 < self.attempts(live);
        // Where answers are slow everywhere a repeat would only add to the queues.
        let calm = self.strain.opening > CALM && self.strain.pressure < 1.0 - CALM;
        if again && fits && calm && self.retries >= 1.0 {
            limit
        } else {
            f64::INFINITY
        }
    }

    pub(super) fn settled(&mut self, now: Millis, settled: &Settled, actions: &mut Vec<Action>) {
        let Some(mut live) = self.requests.remove(&settled.request) else { return };
        if live.out != Some(settled.backend) || settled.attempt + 1 != live.sends {
            self.requests.insert(settled.request, live);
            return;
        }
        live.out = None;
        if settled.outcome == Outcome::Ok && !live.slow {
            let mark = self.slow_mark(&live) - live.begun;
            self.strain.feel_answer(
                now,
                self.aim,
                self.set.gateways,
                (SLOW_AIMS * (now - live.begun) / mark).min(1.0),
            );
        }
        self.learn(now, &live.request, settled, actions);
        self.settle_quota(now, &live.request, settled);
        let over = settled.closed || live.answered || settled.outcome == Outcome::Ok;
        if over {
            return;
        }
        let proven = matches!(settled.outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent);
        if !proven && live.may_have_run.is_none() {
            let place = self.backends.get(&settled.backend).map(|b| (b.entry.zone, b.entry.cell));
            let (zone, cell) = place.unwrap_or((ZoneId(u32::MAX), CellId(u32::MAX)));
            live.may_have_run = Some((now - settled.elapsed.max(0.0), zone, cell));
        }
        let reach = self.reach(now, &live);
        let time_left = self.cut(&live) - now > self.set.tick;
        if !live.started && time_left && self.retries >= 1.0 && live.sends < self.attempts(&live) {
            if let Some((backend, _)) = self.choose(now, &live, reach) {
                self.retries -= 1.0;
                let id = live.request.id;
                self.requests.insert(id, live);
                self.send(now, id, backend, actions);
                return;
            }
        }
        actions.push(self.last_word(now, &live));
    }

    /// Where a request may be sent after what has happened to it.
    pub(super) fn reach(&self, now: Millis, live: &Live) -> Reach {
        let Some((since, zone, cell)) = live.may_have_run else { return Reach::Anywhere };
        match self.set.classes[live.request.class.0].effect {
            Effect::Safe => Reach::Anywhere,
            Effect::Unsafe => Reach::Nowhere,
            Effect::Keyed { memory, .. } if now - since >= memory - 2.0 * self.set.tick => Reach::Nowhere,
            Effect::Keyed { group: Group::All, .. } => Reach::Anywhere,
            Effect::Keyed { group: Group::Zone, .. } => Reach::Zone(zone),
            Effect::Keyed { group: Group::Cell, .. } => Reach::Cell(cell),
        }
    }

    /// The final answer for a request that will not be served: a refusal only where repeating is harmless.
    pub(super) fn last_word(&self, now: Millis, live: &Live) -> Action {
        let mut seen = live.clone();
        if let (None, Some(to)) = (seen.may_have_run, seen.out) {
            let flight = self.backends.get(&to).and_then(|b| b.out.get(&live.request.id));
            seen.may_have_run = Some((flight.map_or(0.0, |f| f.at), ZoneId(0), CellId(0)));
        }
        let safe = self.set.classes[live.request.class.0].effect == Effect::Safe;
        if safe || self.reach(now, &seen) == Reach::Anywhere {
            self.refusal(live.request.id, Reason::Attempts, None)
        } else {
            Action::Fail(live.request.id)
        }
    }

    pub(super) fn out_of_time(&mut self, now: Millis, name: u64, actions: &mut Vec<Action>) {
        let Ok(id) = u32::try_from(name).map(RequestId) else { return };
        let Some(live) = self.requests.get(&id) else { return };
        if live.answered || live.started {
            return;
        }
        let cut = self.cut(live);
        if live.held && now < cut {
            return;
        }
        if now < cut && !live.slow {
            actions.push(Action::SetAlarm { at: cut, alarm: AlarmId(name) });
            // What hangs is no sign of queues: a fallen opening would refuse what the backends have room for.
            let attempt = live.out.and_then(|to| self.backends.get(&to)).map(|b| (b, b.out.get(&id)));
            let hangs = matches!(attempt, Some((b, Some(flight))) if self.silent(now, b, flight, None) > 0.0);
            if !hangs {
                self.strain.feel_answer(now, self.aim, self.set.gateways, 1.0);
            }
            self.requests.entry(id).and_modify(|live| live.slow = true);
            return;
        }
        actions.push(self.last_word(now, live));
        self.abandon(id, actions);
    }

    /// Ends a request, calling off an attempt that is still out.
    pub(super) fn abandon(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(live) = self.requests.get_mut(&id) else { return };
        live.answered = true;
        if live.out.is_none() {
            let held = live.held;
            if let Some(live) = self.requests.remove(&id).filter(|_| held) {
                self.give_back(&live.request);
            }
        } else if self.set.cancel && !live.started {
            actions.push(Action::CallOff { request: id, attempt: live.sends - 1 });
        }
    }

    pub(super) fn settle_quota(&mut self, now: Millis, request: &Request, settled: &Settled) {
        let part = self.part(request);
        let plan = &self.set.plans[request.plan.0];
        let Some(customer) = self.customers.get_mut(&request.customer) else { return };
        customer.cap.pass_time(now, part.open, self.aim);
        customer.cap.open = customer.cap.open.saturating_sub(1);
        if let Some(true_units) = settled.true_units.filter(|u| u.is_finite()) {
            // The quota counts the true units, so the slice does; the ceiling goes by the guess.
            customer.slice = (customer.slice + request.units - true_units).min(part.depth);
            if let Some(news) = self.news.get_mut(&request.customer) {
                news.draw(true_units - request.units);
            }
        }
        if let Some(used) = settled.use_of_quota.filter(|u| u.is_finite()) {
            let span = (now - customer.metered).min(self.set.meter_period) / 1000.0;
            let keep = (part.recall * (customer.metered - now)).exp();
            let held = plan.rate * span;
            customer.held = customer.held * keep + held;
            customer.asked = customer.asked * keep + used * held / customer.share;
            customer.metered = now;
        }
    }

    /// What an outcome tells of its backend.
    pub(super) fn learn(
        &mut self,
        now: Millis,
        request: &Request,
        settled: &Settled,
        actions: &mut Vec<Action>,
    ) {
        let Some(mut backend) = self.backends.remove(&settled.backend) else { return };
        let flight = backend.out.remove(&request.id);
        let answered = matches!(settled.outcome, Outcome::Ok);
        // Nothing has come from there since this attempt went out: its other connections may be as dead.
        let silent = flight.is_some_and(|flight| flight.at >= backend.last_answer);
        if settled.outcome == Outcome::Timeout && silent {
            actions.push(Action::CloseIdle(settled.backend));
        }
        // Guards against a backend that lets one class hang and answers the others: it is held against it for
        // that class, whether the attempt timed out or was called off, and tells nothing of its pace. It also
        // covers one that hangs for all, and hurts, by a detour, where one answer alone was lost on the way.
        let hung = flight.is_some_and(|flight| self.silent(now, &backend, &flight, None) > 0.0);
        let answers = matches!(settled.outcome, Outcome::Ok | Outcome::Error | Outcome::Full);
        let slow = matches!(settled.outcome, Outcome::Timeout | Outcome::Cancelled);
        backend.trust.class(now, request.class.0, answers, slow && hung);
        backend.last_answer = now;
        if let Some(flight) = flight.filter(|_| answered || (slow && !hung)) {
            let keep = 1.0 - 1.0 / PACE_MEMORY;
            let elapsed = settled.elapsed.max(0.0);
            backend.pace.learn(keep, elapsed, flight.load);
            let keep = 1.0 - 1.0 / (PACE_MEMORY * self.backends.len().max(1) as f64);
            self.pace.learn(keep, elapsed, flight.load);
        }
        // Guards against trouble on the way taken for sick backends: where connections break everywhere, each
        // would be set aside in turn and the rest be crowded. It costs some requests at a backend that takes
        // connections and breaks every one; a process that died refuses the next one, and that tells enough.
        let broke = settled.broken > 0;
        if broke {
            self.broke_at = now;
        }
        let lesson = match settled.outcome {
            Outcome::Ok => Lesson::Good,
            Outcome::ConnectFailed | Outcome::Reset if broke => Lesson::Broke,
            Outcome::ConnectFailed => Lesson::Refused,
            Outcome::Full => Lesson::Full(request.plan.0),
            Outcome::Error | Outcome::Reset | Outcome::Timeout => Lesson::Bad,
            Outcome::Cancelled | Outcome::NotSent => Lesson::None,
        };
        match backend.trust.learn(now, self.aim, lesson) {
            Some(true) => actions
                .push(Action::Log(format!("backend {} set aside: {:?}", settled.backend.0, settled.outcome))),
            Some(false) => actions.push(Action::Log(format!("backend {} taken back", settled.backend.0))),
            None => {}
        }
        self.backends.insert(settled.backend, backend);
        self.follow(settled.backend);
    }

    /// Has the index follow a backend that has changed.
    pub(super) fn follow(&mut self, id: BackendId) {
        let standing = self.backends.get(&id).map(|b| Standing {
            is: match b.entry.availability {
                Availability::Ready => Is::Ready,
                Availability::Gone if b.out.is_empty() => Is::Over,
                _ => Is::Leaving,
            },
            place: b.place,
            cold: b.entry.started,
            doubted: b.trust.doubt(),
            busy: !b.out.is_empty(),
            pace: b.pace.ratio(),
        });
        self.index.set(id, standing);
    }
}
