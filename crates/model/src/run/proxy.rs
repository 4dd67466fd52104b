//! Proxies: they pass requests to their decision module, perform its actions, and are stopped and
//! started again.
//!
//! A proxy's `incarnation` is incremented with each stop, so that events in transit for an earlier
//! one (requests, timers, ends of attempts) can be told apart from those for the current one.

use super::event::RunEvent;
use super::request::ClientRequest;
use super::Run;
use crate::agent::ProxyAgent;
use crate::backend::Backend;
use crate::balancer::DecisionPolicy;
use crate::world::LoadBalancer;
use maplefall_policy as policy;
use maplefall_policy::{
    Action, BackendEntry, BackendId, ClassId, CustomerId, Event, PlanId, RequestId, TimerId,
};
use std::collections::BTreeMap;

pub(super) struct Proxy {
    pub(super) policy: Box<dyn DecisionPolicy>,
    pub(super) incarnation: u32,
    pub(super) up: bool,
    /// For each backend that drains or is gone, when the proxy was notified, and by which version
    /// of the list.
    pub(super) notified: BTreeMap<usize, (f64, u64)>,
    /// The version of the list up to which the proxy counts as notified.
    pub(super) notified_until: u64,
    /// The proxy's agent, in worlds with agents, and the time of its next scheduled event.
    pub(super) agent: Option<ProxyAgent>,
    pub(super) agent_due_at: f64,
    /// Whether the proxy is shutting down and accepts no new requests.
    pub(super) stopping: bool,
    /// How far its agent lags behind at the second address.
    pub(super) lag_ms: f64,
    /// The endpoint list as the proxy has it.
    pub(super) endpoints: BTreeMap<usize, BackendEntry>,
    /// When the connection to each backend was last used.
    pub(super) connection_last_used: BTreeMap<usize, f64>,
}

impl Run<'_> {
    pub(super) fn receive_request(&mut self, id: u32) {
        let Some(proxy_request) = self.proxy_requests.get(&id) else {
            return;
        };
        let (proxy, incarnation) = (proxy_request.proxy, proxy_request.incarnation);
        if !self.proxies[proxy].up || self.proxies[proxy].incarnation != incarnation {
            return self.lose_request(id);
        }
        let client_request = self.client_requests[proxy_request.client_request].clone();
        let request = policy::Request {
            id: RequestId(id),
            customer: CustomerId(client_request.customer as u64),
            plan: PlanId(self.customers[client_request.customer].plan),
            class: ClassId(client_request.class),
            units: client_request.units,
            deadline: proxy_request.deadline,
            authorized: true,
            gateways: self.spread(client_request.customer) as f64,
        };
        if self.world.load_balancer == LoadBalancer::Oracle {
            return self.decide_as_oracle(id, proxy, &client_request);
        }
        self.deliver_event(proxy, Event::Arrival(request));
    }

    /// Decides on a request by the true state of all backends and quotas.
    pub(super) fn decide_as_oracle(
        &mut self,
        id: u32,
        proxy: usize,
        client_request: &ClientRequest,
    ) {
        let now = self.now;
        let has_quota = self.has_quota(client_request.customer, client_request.units);
        let free = |backend: &Backend| {
            (backend.in_flight() as f64 + 1.0)
                / (backend.config.cores as f64 * backend.capacity_fraction(now) * backend.speed)
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
        let action = match best.filter(|_| has_quota) {
            Some(backend) => Action::Send {
                request: RequestId(id),
                backend: BackendId(backend as u32),
                timeout: None,
                mode: policy::SendMode::Immediate,
            },
            None => {
                let reason = if has_quota {
                    policy::RejectReason::NoBackend
                } else {
                    policy::RejectReason::QuotaExhausted
                };
                Action::Reject {
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
                timeout,
                ..
            } => self.send(proxy, request.0, backend.0 as usize, timeout),
            Action::Reject {
                request,
                reason,
                retry_after,
            } => self.complete_request(request.0, false, retry_after, Some(reason)),
            Action::Fail(request) => self.complete_request(request.0, false, None, None),
            Action::CancelAttempt { request, .. } => {
                let pending_attempt = self
                    .proxy_requests
                    .get(&request.0)
                    .and_then(|proxy_request| proxy_request.pending_attempt);
                if let Some(attempt) = pending_attempt {
                    self.end_attempt(attempt, policy::Outcome::Cancelled);
                }
            }
            Action::SetTimer { at, timer } => {
                let incarnation = self.proxies[proxy].incarnation;
                self.queue.push(
                    at.max(self.now),
                    RunEvent::PolicyTimer {
                        proxy,
                        incarnation,
                        timer,
                    },
                );
            }
            _ => {}
        }
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
            if entry.availability == policy::Availability::Removed {
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
        let pending: Vec<u32> = self
            .proxy_requests
            .iter()
            .filter(|(_, request)| request.proxy == proxy)
            .map(|(id, _)| *id)
            .collect();
        for id in pending {
            self.lose_request(id);
        }
    }

    pub(super) fn restart_proxy(&mut self, proxy: usize) {
        let policy = self.new_policy(proxy);
        let now = self.now;
        let old = &mut self.proxies[proxy];
        (old.policy, old.up) = (policy, true);
        old.connection_last_used.clear();
        if let Some(agent) = &mut old.agent {
            // The new incarnation counts as notified, when it starts, of all that an earlier one
            // was notified of: it has no earlier state.
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

    /// Delivers a timer to the incarnation that set it, if that still runs.
    pub(super) fn fire_timer(&mut self, proxy: usize, incarnation: u32, timer: TimerId) {
        if self.proxies[proxy].up && self.proxies[proxy].incarnation == incarnation {
            self.deliver_event(proxy, Event::Timer(timer));
        }
    }

    /// Begins a graceful shutdown: the proxy accepts no new requests and continues with its pending
    /// ones for `stop_ms`.
    pub(super) fn begin_proxy_stop(&mut self, proxy: usize, stop_ms: f64, down_ms: f64) {
        if self.proxies[proxy].up && !self.proxies[proxy].stopping {
            self.proxies[proxy].stopping = true;
            self.queue.push(
                self.now + stop_ms,
                RunEvent::ProxyStopped { proxy, down_ms },
            );
        }
    }

    /// Ends a graceful shutdown; the proxy starts again after `down_ms`.
    pub(super) fn end_proxy_stop(&mut self, proxy: usize, down_ms: f64) {
        if self.proxies[proxy].stopping {
            self.stop_proxy(proxy);
            self.queue
                .push(self.now + down_ms, RunEvent::ProxyRestart(proxy));
        }
    }
}
