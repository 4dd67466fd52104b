//! A front door: the real decision module, or a plain policy beside it, behind one trait. A plain policy knows what the module
//! knows and nothing more.

use crate::chance::Dice;
use crate::world::{Admission, Choice};
use maplefall_policy::*;
use std::collections::BTreeMap;

/// What decides: events in, actions out, as the decision module has it.
pub trait Policy {
    /// Takes an event and appends what is to be done.
    fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>);
}

impl Policy for Gateway {
    fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        Gateway::handle(self, now, event, actions);
    }
}

/// A store of units.
#[derive(Clone, Copy, Debug)]
pub struct Store {
    /// Units in it, as of `at`.
    pub left: f64,
    /// See above.
    pub at: Millis,
}

impl Store {
    /// A full one.
    pub fn full(burst: f64, at: Millis) -> Store {
        Store { left: burst, at }
    }

    /// Fills it up to now; whether it holds so many units.
    pub fn holds(&mut self, now: Millis, rate: f64, burst: f64, units: f64) -> bool {
        self.left = (self.left + rate * (now - self.at) / 1000.0).min(burst);
        self.at = now;
        self.left >= units
    }
}

/// A textbook policy: one attempt each, to a backend chosen in one way, let in in another.
pub struct Plain {
    choice: Choice,
    admission: Admission,
    set: Settings,
    dice: Dice,
    ready: Vec<BackendId>,
    /// Attempts out at each.
    out: BTreeMap<BackendId, u32>,
    /// Where each request is.
    at: BTreeMap<RequestId, BackendId>,
    stores: BTreeMap<CustomerId, Store>,
    turn: usize,
}

impl Plain {
    /// One of these kinds.
    pub fn new(choice: Choice, admission: Admission, set: Settings, seed: u64) -> Plain {
        Plain {
            choice,
            admission,
            set,
            dice: Dice::new(seed),
            ready: Vec::new(),
            out: BTreeMap::new(),
            at: BTreeMap::new(),
            stores: BTreeMap::new(),
            turn: 0,
        }
    }

    fn lets_in(&mut self, now: Millis, request: &Request) -> bool {
        let Some(plan) = self.set.plans.get(request.plan.0) else {
            return false;
        };
        let parts = match self.admission {
            Admission::None => return true,
            Admission::Even => request.spread.max(1.0),
            Admission::Whole => 1.0,
        };
        // A part of the burst holds one of the largest requests at least: else nothing would ever be let in.
        let (rate, burst) = (
            plan.rate / parts,
            (plan.burst / parts).max(self.set.max_units),
        );
        let store = self
            .stores
            .entry(request.customer)
            .or_insert(Store::full(burst, now));
        let holds = store.holds(now, rate, burst, request.units);
        if holds {
            store.left -= request.units;
        }
        holds
    }

    fn choose(&mut self) -> Option<BackendId> {
        if self.ready.is_empty() {
            return None;
        }
        let out = |id: &BackendId| self.out.get(id).copied().unwrap_or(0);
        let count = self.ready.len();
        let chosen = match self.choice {
            Choice::Module | Choice::Oracle | Choice::Random => self.dice.below(count),
            Choice::RoundRobin => {
                self.turn = (self.turn + 1) % count;
                self.turn
            }
            Choice::LeastOut => {
                let from = self.dice.below(count);
                (0..count)
                    .map(|at| (at + from) % count)
                    .min_by_key(|at| out(&self.ready[*at]))
                    .unwrap_or(0)
            }
            Choice::TwoChoices => {
                let (one, other) = (self.dice.below(count), self.dice.below(count));
                if out(&self.ready[one]) <= out(&self.ready[other]) {
                    one
                } else {
                    other
                }
            }
            // The first few of an order that each door draws for itself, two of them at a time (Finagle's aperture, fixed).
            Choice::Aperture(width) => {
                let width = width.clamp(1, count);
                let (one, other) = (self.dice.below(width), self.dice.below(width));
                if out(&self.ready[one]) <= out(&self.ready[other]) {
                    one
                } else {
                    other
                }
            }
        };
        self.ready.get(chosen).copied()
    }

    fn hear(&mut self, kind: ListKind, entries: &[BackendEntry]) {
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            self.ready.clear();
        }
        for entry in entries {
            let at = self.ready.iter().position(|id| *id == entry.id);
            match (entry.availability, at) {
                (Availability::Ready, None) => {
                    let spot = self.dice.below(self.ready.len() + 1);
                    self.ready.insert(spot, entry.id);
                }
                (Availability::Draining | Availability::Gone, Some(at)) => {
                    self.ready.remove(at);
                }
                _ => {}
            }
        }
    }
}

impl Policy for Plain {
    fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Backends(kind, entries) => self.hear(kind, &entries),
            Event::Arrival(request) => {
                let let_in = self.lets_in(now, &request);
                let backend = if let_in { self.choose() } else { None };
                match backend {
                    Some(backend) => {
                        *self.out.entry(backend).or_default() += 1;
                        self.at.insert(request.id, backend);
                        let limit = Some(request.deadline - now);
                        actions.push(Action::Send {
                            request: request.id,
                            backend,
                            limit,
                            care: Care::Usual,
                        });
                    }
                    None => {
                        let reason = if let_in {
                            Reason::Backends
                        } else {
                            Reason::Slice
                        };
                        actions.push(Action::Refuse {
                            request: request.id,
                            reason,
                            retry_after: None,
                        });
                    }
                }
            }
            Event::Settled(settled) => {
                if let Some(backend) = self.at.remove(&settled.request) {
                    if let Some(out) = self.out.get_mut(&backend) {
                        *out = out.saturating_sub(1);
                    }
                }
                match settled.outcome {
                    _ if settled.closed => {}
                    Outcome::Ok => {}
                    Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent => {
                        actions.push(Action::Refuse {
                            request: settled.request,
                            reason: Reason::Attempts,
                            retry_after: None,
                        });
                    }
                    _ => actions.push(Action::Fail(settled.request)),
                }
            }
            _ => {}
        }
    }
}
