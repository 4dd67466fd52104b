//! Decision policies of a proxy behind one trait: the real decision module, or a baseline policy,
//! which gets the same inputs as the module and no others.

use crate::random::RandomSource;
use crate::world::{Admission, LoadBalancer};
use maplefall_policy::*;
use std::collections::BTreeMap;

/// A policy that turns events into actions, with the decision module's interface.
pub trait DecisionPolicy {
    /// Handles an event and appends the actions to take.
    fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>);
}

impl DecisionPolicy for Gateway {
    fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        Gateway::handle(self, now, event, actions);
    }
}

/// A token bucket of quota units.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    /// Tokens at time `at`.
    pub tokens: f64,
    /// Time of the last refill.
    pub at: Millis,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn full(burst: f64, at: Millis) -> TokenBucket {
        TokenBucket { tokens: burst, at }
    }

    /// Refills the bucket up to `now` (`rate` in units a second) and returns whether it holds at
    /// least `units`.
    pub fn has_tokens(&mut self, now: Millis, rate: f64, burst: f64, units: f64) -> bool {
        self.tokens = (self.tokens + rate * (now - self.at) / 1000.0).min(burst);
        self.at = now;
        self.tokens >= units
    }
}

/// A textbook policy for comparison: one attempt per request, a [`LoadBalancer`] and an
/// [`Admission`] rule.
pub struct BaselinePolicy {
    load_balancer: LoadBalancer,
    admission: Admission,
    settings: Settings,
    random: RandomSource,
    ready: Vec<BackendId>,
    /// Attempts in flight at each backend.
    in_flight: BTreeMap<BackendId, u32>,
    /// The backend of each request.
    backend_of: BTreeMap<RequestId, BackendId>,
    buckets: BTreeMap<CustomerId, TokenBucket>,
    next_index: usize,
}

impl BaselinePolicy {
    /// Creates a policy without backends.
    pub fn new(
        load_balancer: LoadBalancer,
        admission: Admission,
        settings: Settings,
        seed: u64,
    ) -> BaselinePolicy {
        BaselinePolicy {
            load_balancer,
            admission,
            settings,
            random: RandomSource::new(seed),
            ready: Vec::new(),
            in_flight: BTreeMap::new(),
            backend_of: BTreeMap::new(),
            buckets: BTreeMap::new(),
            next_index: 0,
        }
    }

    fn admits(&mut self, now: Millis, request: &Request) -> bool {
        let Some(plan) = self.settings.plans.get(request.plan.0) else {
            return false;
        };
        let divisor = match self.admission {
            Admission::None => return true,
            Admission::EvenShare => request.gateways.max(1.0),
            Admission::FullQuota => 1.0,
        };
        // A gateway's slice of the burst holds at least one request of the largest size: otherwise
        // none of that size would ever be admitted.
        let (rate, burst) = (
            plan.rate / divisor,
            (plan.burst / divisor).max(self.settings.max_units),
        );
        let bucket = self
            .buckets
            .entry(request.customer)
            .or_insert(TokenBucket::full(burst, now));
        let has_units = bucket.has_tokens(now, rate, burst, request.units);
        if has_units {
            bucket.tokens -= request.units;
        }
        has_units
    }

    fn choose(&mut self) -> Option<BackendId> {
        if self.ready.is_empty() {
            return None;
        }
        let in_flight = |id: &BackendId| self.in_flight.get(id).copied().unwrap_or(0);
        let count = self.ready.len();
        let chosen = match self.load_balancer {
            LoadBalancer::Module | LoadBalancer::Oracle | LoadBalancer::Random => {
                self.random.uniform_below(count)
            }
            LoadBalancer::RoundRobin => {
                self.next_index = (self.next_index + 1) % count;
                self.next_index
            }
            LoadBalancer::LeastOutstanding => {
                let from = self.random.uniform_below(count);
                (0..count)
                    .map(|at| (at + from) % count)
                    .min_by_key(|at| in_flight(&self.ready[*at]))
                    .unwrap_or(0)
            }
            LoadBalancer::TwoChoices => {
                let (one, other) = (
                    self.random.uniform_below(count),
                    self.random.uniform_below(count),
                );
                if in_flight(&self.ready[one]) <= in_flight(&self.ready[other]) {
                    one
                } else {
                    other
                }
            }
            // Power of two choices among the first `width` backends, in an order that each proxy
            // draws for itself (Finagle's aperture, of fixed width).
            LoadBalancer::Aperture(width) => {
                let width = width.clamp(1, count);
                let (one, other) = (
                    self.random.uniform_below(width),
                    self.random.uniform_below(width),
                );
                if in_flight(&self.ready[one]) <= in_flight(&self.ready[other]) {
                    one
                } else {
                    other
                }
            }
        };
        self.ready.get(chosen).copied()
    }

    fn update_endpoints(&mut self, kind: ListKind, entries: &[BackendEntry]) {
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            self.ready.clear();
        }
        for entry in entries {
            let at = self.ready.iter().position(|id| *id == entry.id);
            match (entry.availability, at) {
                (Availability::Ready, None) => {
                    let position = self.random.uniform_below(self.ready.len() + 1);
                    self.ready.insert(position, entry.id);
                }
                (Availability::Draining | Availability::Removed, Some(at)) => {
                    self.ready.remove(at);
                }
                _ => {}
            }
        }
    }
}

impl DecisionPolicy for BaselinePolicy {
    fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Backends(kind, entries) => self.update_endpoints(kind, &entries),
            Event::Arrival(request) => {
                let admitted = self.admits(now, &request);
                let backend = if admitted { self.choose() } else { None };
                match backend {
                    Some(backend) => {
                        *self.in_flight.entry(backend).or_default() += 1;
                        self.backend_of.insert(request.id, backend);
                        let timeout = Some(request.deadline - now);
                        actions.push(Action::Send {
                            request: request.id,
                            backend,
                            timeout,
                            mode: SendMode::Immediate,
                        });
                    }
                    None => {
                        let reason = if admitted {
                            RejectReason::NoBackend
                        } else {
                            RejectReason::Slice
                        };
                        actions.push(Action::Reject {
                            request: request.id,
                            reason,
                            retry_after: None,
                        });
                    }
                }
            }
            Event::AttemptEnded(ended) => {
                if let Some(backend) = self.backend_of.remove(&ended.request) {
                    if let Some(in_flight) = self.in_flight.get_mut(&backend) {
                        *in_flight = in_flight.saturating_sub(1);
                    }
                }
                match ended.outcome {
                    _ if ended.request_closed => {}
                    Outcome::Ok => {}
                    Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent => {
                        actions.push(Action::Reject {
                            request: ended.request,
                            reason: RejectReason::AttemptsFailed,
                            retry_after: None,
                        });
                    }
                    _ => actions.push(Action::Fail(ended.request)),
                }
            }
            _ => {}
        }
    }
}
