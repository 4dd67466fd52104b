//! Attempts of proxies at backends: quota charge, connection, delivery to the backend, and the end
//! as the proxy sees it.
//!
//! A request charges its customer's quota once, with its first attempt. Each attempt ends once for
//! its proxy, by response, timeout or cancellation, whichever comes first.

use super::event::RunEvent;
use super::request::{Attempt, ClientRequest};
use super::Run;
use crate::world::LoadBalancer;
use maplefall_policy as policy;
use maplefall_policy::{BackendId, Event, RequestId};

/// Result of connecting a proxy to a backend.
enum Connection {
    /// A connection, kept or new: the attempt arrives after this delay, in milliseconds.
    Open { delay: f64 },
    /// The network is partitioned and there is no kept connection: connecting times out.
    Unreachable,
}

impl Run<'_> {
    /// Sends an attempt of a request from its proxy to a backend; `limit` is its timeout in
    /// milliseconds.
    pub(super) fn send(&mut self, proxy: usize, id: u32, backend: usize, limit: Option<f64>) {
        let now = self.now;
        let Some(request) = self.proxy_requests.get_mut(&id) else {
            return;
        };
        let number = request.attempts_sent;
        request.attempts_sent += 1;
        self.next_attempt += 1;
        let attempt = self.next_attempt;
        request.pending_attempt = Some(attempt);
        let (client_request, incarnation) = (request.client_request, request.incarnation);
        let customer = self.client_requests[client_request].customer;
        if number == 0 {
            self.charge_quota(id, client_request);
        }
        self.customers[customer].in_flight += 1;
        self.attempts_sent += 1;
        self.count_late_send(proxy, backend);
        let connection = self.connect(proxy, backend);
        let sent = Attempt {
            id,
            number,
            backend,
            proxy,
            incarnation,
            sent: now,
            client_request,
            reported: false,
            at_backend: true,
        };
        self.attempts.insert(attempt, sent);
        match connection {
            Connection::Open { delay } => self
                .queue
                .push(now + delay, RunEvent::BackendReceives(attempt)),
            Connection::Unreachable => {
                self.detach_from_backend(attempt);
                let failed = RunEvent::AttemptEnded(attempt, policy::Outcome::ConnectFailed);
                self.queue.push(now + self.world.connect_timeout_ms, failed);
            }
        }
        if let Some(limit) = limit.filter(|limit| limit.is_finite()) {
            self.queue
                .push(now + limit, RunEvent::AttemptTimeout(attempt));
        }
    }

    /// Charges a request's estimated units to its customer's quota, or counts them as over the
    /// quota.
    fn charge_quota(&mut self, id: u32, client_request: usize) {
        let ClientRequest {
            customer, units, ..
        } = self.client_requests[client_request];
        let within_quota = self.has_quota(customer, units);
        let plan = self.settings.plans[self.customers[customer].plan].clone();
        let period = if self.world.meter_ms > 0.0 {
            (self.now / self.world.meter_ms) as u64
        } else {
            0
        };
        let account = &mut self.customers[customer];
        if within_quota {
            account.bucket.tokens -= units;
            self.client_requests[client_request].admitted = true;
        } else {
            self.over_quota_units += units;
            let class = self.client_requests[client_request].class;
            let value = self.world.class[class].value * plan.price * units;
            self.outcome.over_quota_value_by_plan[account.plan] += value;
            if let Some(group) = self.groups.get(customer) {
                self.outcome.over_quota_units_by_demand[*group] += units;
            }
        }
        account.meter(period, units);
        if let Some(rate_limit) = plan.rate_limit {
            account.rate_limit_bucket.has_tokens(
                self.now,
                rate_limit.rate,
                rate_limit.burst,
                units,
            );
            account.rate_limit_bucket.tokens -= units;
            self.outcome.over_rate_limit +=
                u64::from(account.rate_limit_bucket.tokens < -rate_limit.slack);
        }
        if let Some(request) = self.proxy_requests.get_mut(&id) {
            request.within_quota = within_quota;
        }
    }

    /// Counts an attempt to a backend if the proxy was notified of the backend's drain longer ago
    /// than the grace period.
    fn count_late_send(&mut self, proxy: usize, backend: usize) {
        let late = self.proxies[proxy]
            .notified
            .get(&backend)
            .is_some_and(|notified| self.now > notified.0 + self.world.drain_grace_ms);
        self.outcome.late_sends += u64::from(late);
    }

    /// Uses a proxy's connection to a backend, or opens one.
    fn connect(&mut self, proxy: usize, backend: usize) -> Connection {
        let now = self.now;
        let used = self.proxies[proxy]
            .connection_last_used
            .insert(backend, now);
        let mut delay = self.network_delay(proxy, backend);
        self.cross_zone_attempts += u64::from(self.crosses_zones(proxy, backend));
        if used.is_none_or(|used| now - used > self.world.idle_ms) {
            self.handshakes += 1;
            delay += self.world.handshake_ms;
            if self.is_partitioned(proxy, backend) {
                self.proxies[proxy].connection_last_used.remove(&backend);
                return Connection::Unreachable;
            }
        }
        Connection::Open { delay }
    }

    /// Ends an attempt for its proxy, once; later ends of the same attempt are ignored.
    pub(super) fn end_attempt(&mut self, attempt: u64, outcome: policy::Outcome) {
        let Some(ended) = self.attempts.get_mut(&attempt) else {
            return;
        };
        let already_reported = ended.reported;
        ended.reported = true;
        let ended = ended.clone();
        if !ended.at_backend {
            self.attempts.remove(&attempt);
        }
        if already_reported {
            return;
        }
        let alive = self.proxies[ended.proxy].up
            && self.proxies[ended.proxy].incarnation == ended.incarnation;
        let served = outcome == policy::Outcome::Ok;
        let customer = self.client_requests[ended.client_request].customer;
        self.customers[customer].in_flight = self.customers[customer].in_flight.saturating_sub(1);
        if served {
            self.correct_quota(&ended);
        }
        let has_response = matches!(
            outcome,
            policy::Outcome::Ok | policy::Outcome::Error | policy::Outcome::Full
        );
        let metered_usage = if has_response {
            self.quota_use(customer)
        } else {
            None
        };
        if let Some(request) = self.proxy_requests.get_mut(&ended.id) {
            request.pending_attempt = None;
        }
        if !alive {
            return self.forget_request(ended.id);
        }
        if served && !self.is_completed(ended.id) {
            self.complete_request(ended.id, true, None, None);
        }
        self.report_end(&ended, outcome, metered_usage);
        self.forget_request(ended.id);
    }

    /// Replaces the estimated units by the true ones in the customer's quota, unless the request is
    /// already completed.
    fn correct_quota(&mut self, ended: &Attempt) {
        let uncompleted = self
            .proxy_requests
            .get(&ended.id)
            .is_some_and(|request| request.within_quota && !request.completed);
        if !uncompleted {
            return;
        }
        let ClientRequest {
            customer,
            units,
            true_units,
            ..
        } = self.client_requests[ended.client_request];
        let burst = self.settings.plans[self.customers[customer].plan].burst;
        let bucket = &mut self.customers[customer].bucket;
        bucket.tokens = (bucket.tokens + units - true_units).min(burst);
    }

    /// Whether a request at a proxy is completed; one that has been dropped is.
    fn is_completed(&self, id: u32) -> bool {
        self.proxy_requests
            .get(&id)
            .is_none_or(|request| request.completed)
    }

    /// Reports the end of an attempt to the proxy's decision module; under the oracle the request
    /// fails immediately.
    fn report_end(
        &mut self,
        ended: &Attempt,
        outcome: policy::Outcome,
        metered_usage: Option<f64>,
    ) {
        let closed = self.is_completed(ended.id);
        if self.world.load_balancer == LoadBalancer::Oracle {
            if !closed {
                let full = (outcome == policy::Outcome::Full)
                    .then_some(policy::RejectReason::AttemptsFailed);
                self.complete_request(ended.id, false, None, full);
            }
            return;
        }
        let served = outcome == policy::Outcome::Ok;
        let true_units = self.client_requests[ended.client_request].true_units;
        let report = policy::AttemptEnded {
            request: RequestId(ended.id),
            attempt: ended.number,
            backend: BackendId(ended.backend as u32),
            outcome,
            elapsed: self.now - ended.sent,
            request_closed: closed,
            metered_usage,
            true_units: (served && self.world.estimate_cv > 0.0).then_some(true_units),
            report: policy::Report::default(),
            broken_connections: 0,
        };
        self.deliver_event(ended.proxy, Event::AttemptEnded(report));
    }
}
