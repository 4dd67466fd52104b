//! Admission of customers: recent average, penalty box, slice of the quota and rate limit.

use super::*;

/// Why a request is rejected, and after how many milliseconds a retry may be admitted, if known.
struct Rejection(RejectReason, Option<Millis>);

type Verdict = Result<(), Rejection>;

/// An arriving request, validated, with everything that its admission depends on.
struct Arrival<'a> {
    now: Millis,
    request: &'a Request,
    plan: &'a Plan,
    quota: QuotaShare,
    /// Bounds on the units left of the quota, if other gateways report usage.
    balance: Option<BalanceBounds>,
    gateway_age: Millis,
    /// Whether there is no meter that reports the usage through all gateways.
    is_unmetered: bool,
    target: Millis,
    typical_units: f64,
    /// Service time, in seconds per unit.
    service_time: f64,
    backpressure: Backpressure,
    /// A random number from 0 to 1.
    draw: f64,
}

impl Gateway {
    pub(super) fn arrived(&mut self, request: Request) {
        let Some(request) = self.settings.validated(self.now, request) else {
            return self.reject(request.id, Rejection(RejectReason::Unknown, None));
        };
        let max_halflife = self.max_halflife();
        let max_idle = EVICT_HALFLIVES * max_halflife;
        self.evict(max_idle, max_halflife);
        let pending = Pending::new(self.now, request);
        match self.admit(&request, max_idle) {
            Ok(_) if pending.awaits_auth => {
                self.set_timer(request.id.into(), self.respond_by(&pending));
                self.actions.push(Action::Authorize(request.id));
                self.requests.insert(pending);
            }
            Ok(backend) => self.forward(pending, backend),
            Err(rejection) => self.reject(request.id, rejection),
        }
    }

    /// Sends the first attempt of a request.
    fn forward(&mut self, pending: Pending, backend: BackendId) {
        self.retries.earn(self.now, self.settings.retry_limits());
        let timer_at = self.slow_at(&pending).min(self.respond_by(&pending));
        self.set_timer(pending.request.id.into(), timer_at);
        self.send(pending, backend);
    }

    /// Forwards a request whose caller is allowed, as if it arrived now, except that its units are
    /// taken already and its deadline is unchanged. Otherwise gives its units back.
    pub(super) fn authorized(&mut self, id: RequestId, allowed: bool) {
        let Some(mut pending) = self.requests.remove_if(id, |p| p.awaits_auth) else {
            return;
        };
        pending.awaits_auth = false;
        pending.ready_at = self.now;
        let request = pending.request;
        let backend = allowed.then(|| self.backend_after_auth(&request));
        match backend.flatten() {
            Some(backend) => self.forward(pending, backend),
            None => {
                self.give_back(&request);
                if allowed {
                    self.reject(id, Rejection(RejectReason::NoBackend, None));
                }
            }
        }
    }

    fn backend_after_auth(&mut self, request: &Request) -> Option<BackendId> {
        let plan = &self.settings.plans[request.plan.0];
        let customer = self.customers.get_mut(&request.customer)?;
        if !customer.may_open(self.now, request, plan, self.target) {
            return None;
        }
        self.backend_with_capacity(request)
    }

    /// Gives back the units of a request that was never forwarded.
    pub(super) fn give_back(&mut self, request: &Request) {
        if let Some(customer) = self.customers.get_mut(&request.customer) {
            // The next refill clamps the slice and the rate limit share to their depths.
            customer.slice += request.units;
            customer.rate_limit_units += request.units;
        }
        self.shared_balances.draw(request.customer, -request.units);
    }

    /// Records usage at other gateways. With these reports a quota has one shared balance, known a
    /// little late: a request that is certainly covered is admitted, one that certainly is not is
    /// rejected, and the slice decides in between.
    pub(super) fn usage_reported(&mut self, report: &RemoteUsage) {
        let plan = self.settings.plans.get(report.plan.0);
        if let Some(plan) = plan.filter(|plan| plan.has_quota()) {
            let (rate, burst) = (plan.rate, plan.burst);
            self.shared_balances
                .record(self.now, report.customer, rate, burst, report.into());
        }
    }

    fn admit(&mut self, request: &Request, max_idle: Millis) -> Result<BackendId, Rejection> {
        let now = self.now;
        let started_at = self.started_at.unwrap_or(now);
        // A customer may have used up its share of the rate limit just before it was evicted.
        let unseen_since = started_at.max(now - max_idle);
        let quota = self.quota_share(request);
        let service_time = self.prior().per_unit / 1000.0;
        self.measure_pressure();
        let plan = &self.settings.plans[request.plan.0];
        let max_age = REPORT_VALID_TARGETS * self.target;
        let balances = &mut self.shared_balances;
        let balance = balances.bounds(now, request.customer, plan.rate, plan.burst, max_age);
        self.typical_units += (request.units - self.typical_units) / TYPICAL_UNITS_WINDOW;
        let arrival = Arrival {
            now,
            request,
            plan,
            quota,
            balance,
            gateway_age: now - started_at,
            is_unmetered: self.settings.meter_period <= 0.0,
            target: self.target,
            typical_units: self.typical_units,
            service_time,
            backpressure: self.backpressure,
            draw: uniform(&mut self.rng),
        };
        let customer = self.customers.entry(request.customer);
        let customer = customer.or_insert_with(|| Customer::new(now, unseen_since, &quota));
        let usage = arrival.record(customer);
        if plan.has_quota() {
            arrival.check_penalty_box(customer, usage)?;
            arrival.check_balance()?;
            arrival.check_fraction(customer, usage)?;
            arrival.check_slice(customer)?;
        }
        if !customer.may_open(self.now, request, plan, self.target) {
            return Err(Rejection(RejectReason::InFlightLimit, None));
        }
        if plan.rate_limit.is_some() && customer.rate_limit_units < request.units {
            return Err(Rejection(RejectReason::RateLimit, None));
        }
        let backend = self.backend_with_capacity(request);
        let backend = backend.ok_or(Rejection(RejectReason::NoBackend, None))?;
        if let Some(customer) = self.customers.get_mut(&request.customer) {
            // A request that the shared balance covers may take more units than the slice holds.
            customer.slice = (customer.slice - request.units).max(0.0);
            customer.rate_limit_units -= request.units;
        }
        self.shared_balances.draw(request.customer, request.units);
        Ok(backend)
    }

    /// Returns the backend for a new request, if one is expected to respond in time. A client that
    /// gives up before the response retries, and the work done for it is wasted.
    fn backend_with_capacity(&mut self, request: &Request) -> Option<BackendId> {
        let candidate = self.choose(request, Reach::Anywhere)?;
        let too_slow = candidate.wait > MAX_WAIT_TARGETS * self.target;
        let too_late = DEADLINE_FACTOR * candidate.response_time > request.deadline - self.now;
        (!too_slow && !too_late).then_some(candidate.key)
    }

    fn max_halflife(&self) -> Millis {
        let plans = self.settings.plans_with_quota();
        plans.map(average_halflife).fold(1000.0, f64::max)
    }

    pub(super) fn quota_share(&self, request: &Request) -> QuotaShare {
        let plan = self.settings.plan(request);
        let known = self.customers.get(&request.customer);
        let largest = known.map_or(0.0, |c| c.largest_units).max(request.units);
        let halflife = if plan.has_quota() && plan.burst > 0.0 {
            average_halflife(plan)
        } else {
            self.settings.max_deadline()
        };
        let usage_lambda = LN_2 * AVERAGE_HALFLIFE_BURSTS / USAGE_HALFLIFE_BURSTS / halflife;
        let spare = 0.5 * USAGE_HALFLIFE_BURSTS * plan.burst.max(largest) / request.gateways;
        let min_depth = (largest + spare).min(MIN_SLICE_REQUESTS * largest);
        let is_sliver =
            request.gateways > 1.0 && plan.burst / request.gateways < self.typical_units;
        let (lambda, meter_lambda) = if is_sliver {
            // With a sliver's few requests, a long average can't tell a lasting flood from chance.
            (usage_lambda, usage_lambda)
        } else {
            (LN_2 / halflife, METER_DECAY_FACTOR * usage_lambda)
        };
        QuotaShare {
            lambda,
            usage_lambda,
            meter_lambda,
            even_rate: plan.rate / request.gateways,
            depth: (plan.burst / request.gateways).max(min_depth),
            is_sliver,
        }
    }

    /// Evicts idle customers whose entry has decayed to about that of a new customer.
    fn evict(&mut self, max_idle: Millis, max_halflife: Millis) {
        let (now, typical_units) = (self.now, self.typical_units);
        let interval = max_idle / 4.0;
        self.customers.sweep(now, interval, |customer| {
            let idle = now - customer.refilled_at;
            let average = customer.average.units * (-idle * LN_2 / max_halflife).exp();
            customer.attempts.in_flight > 0 || idle < max_idle || average > typical_units
        });
        self.shared_balances.evict(now, interval, max_idle);
    }

    /// Updates the backpressure with the waits at the backends, if all of them are in use.
    fn measure_pressure(&mut self) {
        let prior = self.prior();
        let in_use = self.backends.ready_if_all_in_use();
        let waits = in_use.map(|backend| backend.estimator.wait(prior));
        let max_wait = MAX_WAIT_TARGETS * self.target;
        self.backpressure
            .record_waits(self.now, self.target, max_wait, waits);
    }

    fn reject(&mut self, request: RequestId, Rejection(reason, wait): Rejection) {
        self.actions.push(self.rejection(request, reason, wait));
    }

    pub(super) fn rejection(
        &self,
        id: RequestId,
        reason: RejectReason,
        wait: Option<Millis>,
    ) -> Action {
        let advised = wait.filter(|_| self.settings.retry_after);
        Action::Reject {
            request: id,
            reason,
            retry_after: advised.map(|wait| wait.clamp(0.0, self.settings.max_retry_after)),
        }
    }
}

fn average_halflife(plan: &Plan) -> Millis {
    AVERAGE_HALFLIFE_BURSTS * 1000.0 * plan.burst / plan.rate
}

/// Returns one gateway's share of the plan's limit on attempts in flight.
pub(super) fn in_flight_share(plan: &Plan, gateways: f64) -> f64 {
    match plan.max_in_flight {
        0 => f64::INFINITY,
        max_in_flight => f64::from(max_in_flight) / gateways,
    }
}

impl Arrival<'_> {
    /// Counts the request, whether or not it will be admitted; returns the usage of the quota.
    fn record(&self, customer: &mut Customer) -> Usage {
        let quota = &self.quota;
        // A sliver is as deep as the requests so far need. If a larger request deepens it, the new
        // depth is filled at once: its slow refill would take a day. Other slices wait to refill.
        if quota.is_sliver {
            customer.slice += (quota.depth - customer.slice_depth).max(0.0);
        }
        customer.slice_depth = quota.depth;
        customer.largest_units = customer.largest_units.max(self.request.units);
        let usage = self.usage(customer);
        self.refill(customer, usage);
        let average = &mut customer.average;
        average.feed(self.now, self.request.units, quota.lambda);
        usage
    }

    /// Estimates usage of the quota through all gateways: by the meter and, for a sliver, by the
    /// local recent average. Both start with a prior, because a few requests prove nothing.
    fn usage(&self, customer: &Customer) -> Usage {
        let quota = &self.quota;
        let metered = customer.metered.recent(self.now, quota.meter_lambda);
        let mut usage = Usage {
            requested: PRIOR_REQUESTS * self.typical_units + metered.requested,
            allowed: 2.0 * PRIOR_REQUESTS * self.typical_units + metered.allowed,
        };
        if quota.is_sliver {
            let local = customer.average.decayed(self.now, quota.lambda);
            let memory = 1.0 - (-quota.lambda * self.gateway_age).exp();
            let burst = self.plan.burst / self.request.gateways;
            usage.requested = usage.requested + self.typical_units + local;
            usage.allowed += quota.even_rate / 1000.0 / quota.lambda * memory + burst;
        }
        usage
    }

    /// Refills the slice, at a rate that follows local demand, and the share of the rate limit.
    fn refill(&self, customer: &mut Customer, usage: Usage) {
        let quota = &self.quota;
        let elapsed = (self.now - customer.refilled_at).max(0.0) / 1000.0;
        // The average starts at 0, so in a new gateway it covers only a part of its time window.
        let covered = 1.0 - (-quota.lambda * self.gateway_age).exp();
        let recent = customer.average.rate(self.now, quota.lambda);
        let recent = recent / covered.max(MIN_AVERAGE_COVERAGE);
        let wanted = (REFILL_FACTOR * recent).min(self.plan.rate);
        let wanted = wanted.max(quota.even_rate);
        // Without a meter the rate stays even: nothing would show that all gateways admit too much.
        let target = if usage.ratio() > 1.0 || self.is_unmetered {
            quota.even_rate
        } else {
            quota.even_rate + (wanted - quota.even_rate) * (1.0 - self.backpressure.combined())
        };
        let speed = USAGE_HALFLIFE_BURSTS / REFILL_RISE_BURSTS / LN_2;
        let rise = 1.0 - (-quota.usage_lambda * 1000.0 * elapsed * speed).exp();
        let raised = customer.refill_rate + (target - customer.refill_rate).max(0.0) * rise;
        customer.refill_rate = target.min(raised).max(quota.even_rate);
        customer.slice = (customer.slice + customer.refill_rate * elapsed).min(quota.depth);
        if let Some(limit) = self.plan.rate_limit {
            let gateways = self.request.gateways;
            let depth = (limit.burst + RATE_LIMIT_SLACK_FRACTION * limit.slack) / gateways;
            customer.rate_limit_units =
                (customer.rate_limit_units + limit.rate / gateways * elapsed).min(depth);
        }
        customer.refilled_at = self.now;
    }

    /// Checks the penalty box: rejects a customer while its recent average is over the limit.
    fn check_penalty_box(&self, customer: &Customer, usage: Usage) -> Verdict {
        let quota = &self.quota;
        let mut rate = customer.average.rate(self.now, quota.lambda);
        // A sliver's usage through all gateways counts too, less the part that may be chance.
        if quota.is_sliver && self.balance.is_none() {
            let deviation = (usage.requested * self.typical_units).sqrt();
            let certain = usage.requested - PENALTY_BOX_DEVIATIONS * deviation;
            rate = rate.max(certain * self.plan.rate / usage.allowed);
        }
        let (plan, lambda) = (self.plan, quota.lambda);
        let wait = penalty_box_wait(rate, plan.rate, plan.burst, lambda);
        wait.map_or(Ok(()), |wait| {
            Err(Rejection(RejectReason::PenaltyBox, Some(wait)))
        })
    }

    fn check_balance(&self) -> Verdict {
        let missing = self.balance.map_or(0.0, |b| self.request.units - b.max);
        if missing > 0.0 {
            let wait = 1000.0 * missing / self.plan.rate;
            return Err(Rejection(RejectReason::QuotaExhausted, Some(wait)));
        }
        Ok(())
    }

    /// Admits a random fraction, by backpressure and by usage. A sliver is too small to distinguish
    /// usage beyond the quota from a few requests that arrive at one of many gateways by chance, so
    /// for a sliver the estimated usage through all gateways counts.
    fn check_fraction(&self, customer: &mut Customer, usage: Usage) -> Verdict {
        let excess = usage.ratio();
        let ratio = match self.balance {
            Some(balance) => 1.0 - balance.max / self.plan.burst.max(self.request.units),
            None if self.quota.is_sliver => excess,
            None => excess.min(1.0),
        };
        customer.admitted_fraction =
            self.backpressure.admitted_fraction / ratio.max(self.backpressure.admitted_fraction);
        let mut fraction = customer.admitted_fraction;
        // By Little's law, a limit on attempts in flight is a limit on the rate. The attempts in
        // flight of other gateways are not visible here, so they are estimated.
        let others_share = 1.0 - 1.0 / self.request.gateways;
        let others = excess.min(1.0) * self.plan.rate * self.service_time * others_share;
        if in_flight_share(self.plan, self.request.gateways) < 1.0 && others > 0.0 {
            let spare = f64::from(self.plan.max_in_flight) - f64::from(customer.attempts.in_flight);
            fraction = fraction.min(spare / (others + others.sqrt()));
        }
        if self.draw > fraction {
            return Err(Rejection(RejectReason::Backpressure, None));
        }
        Ok(())
    }

    /// Under backpressure a slice keeps a reserve: customers near their quota are rejected first.
    fn check_slice(&self, customer: &Customer) -> Verdict {
        let units = self.request.units;
        let reserve = self.backpressure.combined() * (self.quota.depth - units).max(0.0);
        let missing = units + reserve - customer.slice;
        let is_covered = self.balance.is_some_and(|balance| units <= balance.min);
        if missing > 0.0 && !is_covered {
            let mut wait = 1000.0 * missing / self.quota.even_rate;
            // The advised wait is limited: the retry may arrive at another gateway, whose slice may
            // cover it, and the longer the client waits, the less a response is worth.
            if self.request.gateways > 1.0 {
                wait = wait.min(MAX_SLICE_RETRY_TARGETS * self.target);
            }
            return Err(Rejection(RejectReason::Slice, Some(wait)));
        }
        Ok(())
    }
}

impl Customer {
    fn new(now: Millis, unseen_since: Millis, quota: &QuotaShare) -> Self {
        Customer {
            slice_depth: quota.depth,
            slice: quota.depth,
            refilled_at: unseen_since,
            refill_rate: quota.even_rate,
            attempts: ConcurrencyLimit::new(now),
            metered: MeteredUsage::new(now),
            admitted_fraction: 1.0,
            ..Customer::default()
        }
    }

    fn may_open(&mut self, now: Millis, request: &Request, plan: &Plan, target: Millis) -> bool {
        let (share, total) = (
            in_flight_share(plan, request.gateways),
            f64::from(plan.max_in_flight),
        );
        self.attempts.has_capacity(now, share, total, target)
    }
}
