//! Proxies.

use super::event::RunEvent;
use super::request::{Attempt, ClientRequest};
use super::Run;
use crate::agent::ProxyAgent;
use crate::backend::Backend;
use crate::balancer::DecisionPolicy;
use crate::world::LoadBalancer;
use maplefall_policy as policy;
use maplefall_policy::{
    Action, BackendEntry, BackendId, ClassId, CustomerId, Event, PlanId, RequestId,
};
use std::collections::BTreeMap;

pub(super) struct Proxy {
    pub(super) policy: Box<dyn DecisionPolicy>,
    pub(super) incarnation: u32,
    pub(super) up: bool,
    /// When it was notified that a backend drains or is gone, and by which version of the list.
    pub(super) notified: BTreeMap<usize, (f64, u64)>,
    /// Up to which version of the list it counts as notified.
    pub(super) notified_until: u64,
    /// Its agent, where proxies have some, and when something is next due there.
    pub(super) agent: Option<ProxyAgent>,
    pub(super) agent_due_at: f64,
    /// Whether it is stopping: it takes nothing new.
    pub(super) stopping: bool,
    /// By how much its agent is behind where it has moved to.
    pub(super) lag_ms: f64,
    /// The list as it has it.
    pub(super) endpoints: BTreeMap<usize, BackendEntry>,
    /// When a connection to a backend was used last.
    pub(super) connected: BTreeMap<usize, f64>,
}

impl Run<'_> {
    pub(super) fn receive_request(&mut self, id: u32) {
        let Some(one) = self.proxy_requests.get(&id) else {
            return;
        };
        let (proxy, incarnation) = (one.proxy, one.incarnation);
        if !self.proxies[proxy].up || self.proxies[proxy].incarnation != incarnation {
            return self.lose_request(id);
        }
        let client_request = self.client_requests[one.client_request].clone();
        let request = policy::Request {
            id: RequestId(id),
            customer: CustomerId(client_request.customer as u64),
            plan: PlanId(self.customers[client_request.customer].plan),
            class: ClassId(client_request.class),
            units: client_request.units,
            deadline: one.deadline,
            checked: true,
            spread: self.spread(client_request.customer) as f64,
        };
        if self.world.load_balancer == LoadBalancer::Oracle {
            return self.decide_as_oracle(id, proxy, &client_request);
        }
        self.deliver_event(proxy, Event::Arrival(request));
    }

    /// Decides for a request by the true state of all backends and quotas.
    pub(super) fn decide_as_oracle(
        &mut self,
        id: u32,
        proxy: usize,
        client_request: &ClientRequest,
    ) {
        let now = self.now;
        let room = self.has_quota(client_request.customer, client_request.units);
        let free = |backend: &Backend| {
            (backend.holds() as f64 + 1.0)
                / (backend.shape.cores as f64 * backend.capacity_fraction(now) * backend.speed)
        };
        let best = (0..self.backends.len())
            .filter(|at| {
                self.backends[*at].up
                    && self.backends[*at].drained.is_none()
                    && !self.is_partitioned(proxy, *at)
            })
            .min_by(|one, other| {
                free(&self.backends[*one]).total_cmp(&free(&self.backends[*other]))
            });
        let action = match best.filter(|_| room) {
            Some(backend) => Action::Send {
                request: RequestId(id),
                backend: BackendId(backend as u32),
                limit: None,
                care: policy::Care::Usual,
            },
            None => {
                let reason = if room {
                    policy::Reason::Backends
                } else {
                    policy::Reason::SoldOut
                };
                Action::Refuse {
                    request: RequestId(id),
                    reason,
                    retry_after: None,
                }
            }
        };
        self.perform(proxy, action);
    }

    pub(super) fn deliver_event(&mut self, proxy: usize, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.proxies[proxy]
            .policy
            .handle(self.now, event, &mut actions);
        let mut done: Vec<Action> = std::mem::take(&mut actions);
        for action in done.drain(..) {
            self.perform(proxy, action);
        }
        self.actions = done;
    }

    pub(super) fn perform(&mut self, proxy: usize, action: Action) {
        match action {
            Action::Send {
                request,
                backend,
                limit,
                ..
            } => self.send(proxy, request.0, backend.0 as usize, limit),
            Action::Refuse {
                request,
                reason,
                retry_after,
            } => self.answer_client(request.0, false, retry_after, Some(reason)),
            Action::Fail(request) => self.answer_client(request.0, false, None, None),
            Action::CallOff { request, .. } => {
                let pending_attempt = self
                    .proxy_requests
                    .get(&request.0)
                    .and_then(|one| one.pending_attempt);
                if let Some(attempt) = pending_attempt {
                    self.end_attempt(attempt, policy::Outcome::Cancelled);
                }
            }
            Action::SetAlarm { at, alarm } => {
                let incarnation = self.proxies[proxy].incarnation;
                self.queue.push(
                    at.max(self.now),
                    RunEvent::Alarm {
                        proxy,
                        incarnation,
                        alarm,
                    },
                );
            }
            _ => {}
        }
    }

    pub(super) fn send(&mut self, proxy: usize, id: u32, backend: usize, limit: Option<f64>) {
        let now = self.now;
        let Some(one) = self.proxy_requests.get_mut(&id) else {
            return;
        };
        let number = one.attempts_sent;
        one.attempts_sent += 1;
        self.next_attempt += 1;
        let attempt = self.next_attempt;
        one.pending_attempt = Some(attempt);
        let (client_request, incarnation) = (one.client_request, one.incarnation);
        let customer = self.client_requests[client_request].customer;
        if number == 0 {
            let units = self.client_requests[client_request].units;
            let within_quota = self.has_quota(customer, units);
            let plan = self.settings.plans[self.customers[customer].plan].clone();
            let period = if self.world.meter_ms > 0.0 {
                (now / self.world.meter_ms) as u64
            } else {
                0
            };
            let held = &mut self.customers[customer];
            if within_quota {
                held.bucket.tokens -= units;
                self.client_requests[client_request].admitted = true;
            } else {
                self.over_quota_units += units;
                let value = self.world.class[self.client_requests[client_request].class].value
                    * plan.price
                    * units;
                self.outcome.over_quota_value_by_plan[held.plan] += value;
                if let Some(group) = self.groups.get(customer) {
                    self.outcome.over_quota_units_by_demand[*group] += units;
                }
            }
            held.meter(period, units);
            if let Some(ceiling) = plan.ceiling {
                held.ceiling.holds(now, ceiling.rate, ceiling.burst, units);
                held.ceiling.tokens -= units;
                self.outcome.over_ceiling += u64::from(held.ceiling.tokens < -ceiling.slack);
            }
            if let Some(one) = self.proxy_requests.get_mut(&id) {
                one.within_quota = within_quota;
            }
        }
        self.customers[customer].open += 1;
        self.sent += 1;
        let late = self.proxies[proxy]
            .notified
            .get(&backend)
            .is_some_and(|notified| now > notified.0 + self.world.drain_grace_ms);
        self.outcome.late_sends += u64::from(late);
        let used = self.proxies[proxy].connected.insert(backend, now);
        let mut dials = false;
        let mut delay = self.network_delay(proxy, backend);
        self.cross_zone_attempts += u64::from(self.crosses_zones(proxy, backend));
        if used.is_none_or(|used| now - used > self.world.idle_ms) {
            self.handshakes += 1;
            delay += self.world.handshake_ms;
            if self.is_partitioned(proxy, backend) {
                self.proxies[proxy].connected.remove(&backend);
                dials = true;
            }
        }
        let at_backend = true;
        let one = Attempt {
            id,
            number,
            backend,
            proxy,
            incarnation,
            sent: now,
            client_request,
            reported: false,
            at_backend,
        };
        self.attempts.insert(attempt, one);
        if dials {
            self.detach_from_backend(attempt);
            let failed = RunEvent::AttemptEnded(attempt, policy::Outcome::ConnectFailed);
            self.queue.push(now + self.world.connect_timeout_ms, failed);
        } else {
            self.queue
                .push(now + delay, RunEvent::BackendReceives(attempt));
        }
        if let Some(limit) = limit.filter(|limit| limit.is_finite()) {
            self.queue
                .push(now + limit, RunEvent::AttemptTimeout(attempt));
        }
    }

    /// An attempt ends for its proxy, once.
    pub(super) fn end_attempt(&mut self, attempt: u64, outcome: policy::Outcome) {
        let Some(one) = self.attempts.get_mut(&attempt) else {
            return;
        };
        let over = one.reported;
        one.reported = true;
        let one = one.clone();
        if !one.at_backend {
            self.attempts.remove(&attempt);
        }
        if over {
            return;
        }
        let alive =
            self.proxies[one.proxy].up && self.proxies[one.proxy].incarnation == one.incarnation;
        let (customer, units, true_units) = {
            let client_request = &self.client_requests[one.client_request];
            (
                client_request.customer,
                client_request.units,
                client_request.true_units,
            )
        };
        let served = outcome == policy::Outcome::Ok;
        self.customers[customer].open = self.customers[customer].open.saturating_sub(1);
        if served
            && self
                .proxy_requests
                .get(&one.id)
                .is_some_and(|held| held.within_quota && !held.answered)
        {
            let burst = self.settings.plans[self.customers[customer].plan].burst;
            let bucket = &mut self.customers[customer].bucket;
            bucket.tokens = (bucket.tokens + units - true_units).min(burst);
        }
        let answers = matches!(
            outcome,
            policy::Outcome::Ok | policy::Outcome::Error | policy::Outcome::Full
        );
        let use_of_quota = if answers {
            self.quota_use(customer)
        } else {
            None
        };
        if let Some(held) = self.proxy_requests.get_mut(&one.id) {
            held.pending_attempt = None;
        }
        if !alive {
            return self.forget_request(one.id);
        }
        if outcome == policy::Outcome::Ok
            && self
                .proxy_requests
                .get(&one.id)
                .is_some_and(|held| !held.answered)
        {
            self.answer_client(one.id, true, None, None);
        }
        let closed = self
            .proxy_requests
            .get(&one.id)
            .is_none_or(|held| held.answered);
        let reported = policy::Settled {
            request: RequestId(one.id),
            attempt: one.number,
            backend: BackendId(one.backend as u32),
            outcome,
            elapsed: self.now - one.sent,
            closed,
            use_of_quota,
            true_units: (served && self.world.estimate_cv > 0.0).then_some(true_units),
            report: policy::Report::default(),
            broken: 0,
        };
        if self.world.load_balancer == LoadBalancer::Oracle {
            if !closed {
                let full = (outcome == policy::Outcome::Full).then_some(policy::Reason::Attempts);
                self.answer_client(one.id, false, None, full);
            }
        } else {
            self.deliver_event(one.proxy, Event::Settled(reported));
        }
        self.forget_request(one.id);
    }

    pub(super) fn update_endpoints(&mut self, proxy: usize, entries: Vec<BackendEntry>) {
        for entry in &entries {
            let at = entry.id.0 as usize;
            if entry.availability == policy::Availability::Ready {
                self.proxies[proxy].notified.remove(&at);
            } else {
                let now = self.now;
                self.proxies[proxy].notified.entry(at).or_insert((now, 0));
            }
            if entry.availability == policy::Availability::Gone {
                self.proxies[proxy].endpoints.remove(&at);
            } else {
                self.proxies[proxy].endpoints.insert(at, *entry);
            }
        }
        if self.proxies[proxy].up {
            self.deliver_event(proxy, Event::Backends(policy::ListKind::Changes, entries));
        }
    }

    pub(super) fn stop_proxy(&mut self, proxy: usize) {
        self.proxies[proxy].up = false;
        self.proxies[proxy].stopping = false;
        self.proxies[proxy].incarnation += 1;
        let held: Vec<u32> = self
            .proxy_requests
            .iter()
            .filter(|(_, one)| one.proxy == proxy)
            .map(|(id, _)| *id)
            .collect();
        for id in held {
            self.lose_request(id);
        }
    }

    pub(super) fn restart_proxy(&mut self, proxy: usize) {
        let policy = self.new_policy(proxy);
        let now = self.now;
        let old = &mut self.proxies[proxy];
        (old.policy, old.up) = (policy, true);
        old.connected.clear();
        if let Some(agent) = &mut old.agent {
            // What was notified to an earlier incarnation is notified to this one when it starts: it knows nothing before.
            agent.restart(now as u64 ^ proxy as u64, now);
            let from = agent.notified_at(now);
            old.notified
                .values_mut()
                .for_each(|notified| notified.0 = from);
        }
        self.schedule_agent(proxy);
        let old = &mut self.proxies[proxy];
        let endpoints = old.endpoints.values().copied().collect();
        self.deliver_event(proxy, Event::Backends(policy::ListKind::Cached, endpoints));
    }
}
