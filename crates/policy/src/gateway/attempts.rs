//! Attempts and their timeouts, retries, and the final response of each request.

use super::*;
use Outcome::{ConnectFailed, Full, NotSent};

impl Gateway {
    /// Returns the latest time of the final response: the latency target if a later response has no
    /// value, else just before the client's deadline.
    pub(super) fn respond_by(&self, pending: &Pending) -> Millis {
        let class = self.settings.class(&pending.request);
        let last = pending.request.deadline - 2.0 * self.settings.tick;
        if class.late_value > 0.0 {
            return last;
        }
        last.min(pending.arrived_at + class.latency_target)
    }

    /// Returns when a response counts as slow: queues at backends fill up long before its timeout.
    pub(super) fn slow_at(&self, pending: &Pending) -> Millis {
        let size = (pending.request.units / self.typical_units.max(0.01)).max(1.0);
        pending.ready_at
            + (SLOW_TARGETS * size).min(1.0) * self.settings.class(&pending.request).latency_target
    }

    pub(super) fn send(&mut self, mut pending: Pending, to: BackendId) {
        let request = pending.request;
        let (id, class, units) = (request.id, request.class.0, request.units.max(0.01));
        let (now, prior) = (self.now, self.prior());
        let backend = self.backends.get(&to);
        let expected = backend.map_or(0.0, |b| b.estimator.expected_time(prior, units));
        let time_left = self.respond_by(&pending) - now;
        let timeout = self.attempt_timeout(&pending, expected).min(time_left);
        self.backends.update(to, |backend| {
            backend.estimator.start(now, id, class, units);
            backend.credit = (backend.credit - 1.0).max(0.0);
        });
        pending.start_attempt(to);
        self.requests.insert(pending);
        if let Some(customer) = self.customers.get_mut(&request.customer) {
            customer.attempts.in_flight += 1;
        }
        self.actions.push(Action::Send {
            request: id,
            backend: to,
            timeout: Some(timeout.max(self.settings.tick)),
            mode: self.send_mode(&request),
        });
    }

    /// Protects against connections that are broken unnoticed: a non-idempotent request sent on one
    /// can't be retried. Other requests can, so they are protected only for a while after a
    /// connection broke, because the protection costs each of them a round trip.
    fn send_mode(&self, request: &Request) -> SendMode {
        if self.settings.class(request).idempotency == Idempotency::NonIdempotent {
            SendMode::WithholdLastByteOnProvenConnection
        } else if self.now - self.connection_broke_at < WITHHOLD_AFTER_BREAK_TARGETS * self.target {
            SendMode::WithholdLastByte
        } else {
            SendMode::Immediate
        }
    }

    /// Returns the timeout of an attempt that is expected to take `expected`. An attempt without a
    /// response must not use up all the time of its request, so one that may be retried times out
    /// while a retry still has as much time left. The last attempt gets all the remaining time.
    fn attempt_timeout(&self, pending: &Pending, expected: Millis) -> Millis {
        let class = self.settings.class(&pending.request);
        let is_retryable = match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed { scope, window } => {
                scope == DedupScope::All && window > class.latency_target
            }
            Idempotency::NonIdempotent => false,
        };
        let timeout = ATTEMPT_TIMEOUT_FACTOR * expected;
        let timeout = timeout.max(MIN_ATTEMPT_TIMEOUT_TARGETS * class.latency_target);
        let has_time = 2.0 * timeout <= self.respond_by(pending) - self.now;
        let may_retry = pending.attempts + 1 < self.settings.attempt_limit(&pending.request);
        // If responses are slow at all backends, a retry would only lengthen the queues.
        let has_headroom = self.backpressure.admitted_fraction > RETRY_HEADROOM
            && self.backpressure.pressure < 1.0 - RETRY_HEADROOM
            && self.retries.has_retry(self.now);
        if is_retryable && has_time && may_retry && has_headroom {
            return timeout;
        }
        f64::INFINITY
    }

    pub(super) fn attempt_ended(&mut self, ended: &AttemptEnded) {
        let pending = self.requests.remove_if(ended.request, |pending| {
            pending.end_attempt(ended.backend, ended.attempt)
        });
        let Some(mut pending) = pending else {
            return;
        };
        let is_served = ended.outcome == Outcome::Ok;
        if is_served && !pending.known_slow {
            let elapsed = self.now - pending.ready_at;
            let slow_after = self.slow_at(&pending) - pending.ready_at;
            self.record_response_time((SLOW_TARGETS * elapsed / slow_after).min(1.0));
        }
        self.record_outcome(&pending.request, ended);
        self.settle_quota(&pending.request, ended);
        if ended.request_closed || pending.responded || is_served {
            return;
        }
        if !matches!(ended.outcome, Full | ConnectFailed | NotSent) {
            let sent_at = self.now - ended.elapsed.max(0.0);
            let exposure = Exposure::new(sent_at, self.backends.get(&ended.backend));
            pending.first_exposure.get_or_insert(exposure);
        }
        if let Some(backend) = self.backend_for_retry(&pending) {
            self.retries.spend(self.now);
            self.send(pending, backend);
        } else {
            self.actions.push(self.final_response(&pending));
        }
    }

    fn record_response_time(&mut self, fraction: f64) {
        let gateways = self.settings.gateways;
        self.backpressure
            .record_response(self.now, self.target, gateways, fraction);
    }

    /// Returns whether a retry would follow if the attempt timed out at `now`. The retry isn't
    /// reserved: several attempts may count on the same one.
    pub fn would_retry(&self, now: Millis, id: RequestId) -> bool {
        let pending = self.requests.get(id);
        pending.is_some_and(|pending| self.has_retry(now, pending))
    }

    fn has_retry(&self, now: Millis, pending: &Pending) -> bool {
        let is_open = !pending.stream_started && !self.backends.index().ready().is_empty();
        let has_time = self.respond_by(pending) - now > self.settings.tick;
        let may_retry = pending.attempts < self.settings.attempt_limit(&pending.request);
        is_open && has_time && may_retry && self.retries.has_retry(now)
    }

    fn backend_for_retry(&mut self, pending: &Pending) -> Option<BackendId> {
        if !self.has_retry(self.now, pending) {
            return None;
        }
        let reach = self.reach(&pending.request, pending.first_exposure);
        self.choose(&pending.request, reach).map(|found| found.key)
    }

    /// Returns the backends that a request may go to after its first attempt that may have run.
    fn reach(&self, request: &Request, exposure: Option<Exposure>) -> Reach {
        let Some(exposure) = exposure else {
            return Reach::Anywhere;
        };
        let age = self.now - exposure.sent_at;
        let margin = 2.0 * self.settings.tick;
        match self.settings.class(request).idempotency {
            Idempotency::Idempotent => Reach::Anywhere,
            Idempotency::NonIdempotent => Reach::Nowhere,
            Idempotency::Keyed { window, .. } if age >= window - margin => Reach::Nowhere,
            Idempotency::Keyed { scope, .. } => match scope {
                DedupScope::All => Reach::Anywhere,
                DedupScope::Zone => Reach::Zone(exposure.zone),
                DedupScope::Cell => Reach::Cell(exposure.cell),
            },
        }
    }

    fn attempt_in_flight(&self, pending: &Pending) -> Option<(&Backend, &Attempt)> {
        let backend = self.backends.get(&pending.in_flight_to?)?;
        Some((backend, backend.estimator.attempt(&pending.request.id)?))
    }

    /// Returns the final response for a request that will not be served: a rejection only if the
    /// client may safely retry.
    fn final_response(&self, pending: &Pending) -> Action {
        let in_flight = self.attempt_in_flight(pending);
        let in_flight = in_flight.map(|(b, attempt)| Exposure::new(attempt.sent_at, Some(b)));
        let exposure = pending.first_exposure.or(in_flight);
        match self.reach(&pending.request, exposure) {
            Reach::Anywhere => {
                self.rejection(pending.request.id, RejectReason::AttemptsFailed, None)
            }
            _ => Action::Fail(pending.request.id),
        }
    }

    pub(super) fn timer_fired(&mut self, timer: TimerId) {
        let request = timer.request();
        let Some(pending) = request.and_then(|id| self.requests.get(id)) else {
            return;
        };
        let id = pending.request.id;
        let respond_by = self.respond_by(pending);
        let is_early = self.now < respond_by;
        if pending.responded || pending.stream_started || (pending.awaits_auth && is_early) {
            return;
        }
        if !is_early || pending.known_slow {
            self.actions.push(self.final_response(pending));
            self.abandon(id);
            return;
        }
        // An attempt that is far overdue is no sign of queues, so it must not reduce admission.
        let attempt = self.attempt_in_flight(pending);
        let is_overdue = attempt.is_some_and(|(backend, attempt)| {
            let estimator = &backend.estimator;
            estimator.is_overdue(self.now, attempt, self.prior())
        });
        self.set_timer(timer, respond_by);
        if !is_overdue {
            self.record_response_time(1.0);
        }
        self.requests
            .update(id, |pending| pending.known_slow = true);
    }

    /// Ends a request and cancels an attempt that is still in flight.
    pub(super) fn abandon(&mut self, id: RequestId) {
        let Some(pending) = self.requests.update(id, |p| p.responded = true) else {
            return;
        };
        if pending.in_flight_to.is_some() {
            if self.settings.cancellation && !pending.stream_started {
                let (request, attempt) = (id, pending.attempts - 1);
                self.actions
                    .push(Action::CancelAttempt { request, attempt });
            }
            return;
        }
        let request = pending.request;
        if pending.awaits_auth {
            self.give_back(&request);
        }
        self.requests.remove(id);
    }

    fn settle_quota(&mut self, request: &Request, ended: &AttemptEnded) {
        let quota = self.quota_share(request);
        let plan = self.settings.plan(request);
        let Some(customer) = self.customers.get_mut(&request.customer) else {
            return;
        };
        let share = customers::in_flight_share(plan, request.gateways);
        customer.attempts.advance(self.now, share, self.target);
        customer.attempts.in_flight = customer.attempts.in_flight.saturating_sub(1);
        if let Some(true_units) = ended.true_units.filter(|units| units.is_finite()) {
            // The quota and the slice count the true units; the rate limit counts the estimate.
            customer.slice = (customer.slice + request.units - true_units).min(quota.depth);
            let balances = &mut self.shared_balances;
            balances.draw(request.customer, true_units - request.units);
        }
        if let Some(used) = ended.metered_usage.filter(|used| used.is_finite()) {
            let elapsed = customer.metered.elapsed(self.now);
            let allowed = plan.rate * (elapsed.min(self.settings.meter_period) / 1000.0);
            let requested = used * allowed / customer.admitted_fraction;
            let usage = Usage { requested, allowed };
            customer.metered.record(self.now, quota.meter_lambda, usage);
        }
    }

    /// Updates the estimates of a backend with the end of an attempt.
    fn record_outcome(&mut self, request: &Request, ended: &AttemptEnded) {
        let end = ended.attempt_end(request);
        let (now, target, prior) = (self.now, self.target, self.prior());
        let finished = self.backends.update(ended.backend, |backend| {
            let estimator = &mut backend.estimator;
            estimator.finish(now, target, prior, &request.id, end)
        });
        let Some(finished) = finished else {
            return;
        };
        if ended.broken_connections > 0 {
            self.connection_broke_at = now;
        }
        if let Some(load) = finished.measured_load {
            let others = self.backends.len() - 1;
            self.service_time.record(others, end.elapsed, load);
        }
        if finished.was_unresponsive && ended.outcome == Outcome::Timeout {
            self.actions.push(Action::CloseIdle(ended.backend));
        }
        let (id, outcome) = (ended.backend.0, ended.outcome);
        let change = finished.ejection.map(|change| match change {
            EjectionChange::Ejected => format!("backend {id} set aside: {outcome:?}"),
            EjectionChange::Restored => format!("backend {id} taken back"),
        });
        self.actions.extend(change.map(Action::Log));
    }
}
