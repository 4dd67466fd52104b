//! Proxies.

use super::event::Happens;
use super::request::{Attempt, First};
use super::Run;
use crate::agents::Beside;
use crate::backend::Backend;
use crate::door::Policy;
use crate::world::Choice;
use maplefall_policy as policy;
use maplefall_policy::{
    Action, BackendEntry, BackendId, ClassId, CustomerId, Event, PlanId, RequestId,
};
use std::collections::BTreeMap;

pub(super) struct Door {
    pub(super) policy: Box<dyn Policy>,
    pub(super) life: u32,
    pub(super) up: bool,
    /// When it was told that a backend drains or is gone, and by which version of the list.
    pub(super) told: BTreeMap<usize, (f64, u64)>,
    /// Up to which version of the list it counts as told.
    pub(super) told_until: u64,
    /// Its agent, where doors have some, and when something is next due there.
    pub(super) agent: Option<Beside>,
    pub(super) follow_at: f64,
    /// Whether it is stopping: it takes nothing new.
    pub(super) stopping: bool,
    /// By how much its agent is behind where it has moved to.
    pub(super) behind_ms: f64,
    /// The list as it has it.
    pub(super) list: BTreeMap<usize, BackendEntry>,
    /// When a connection to a backend was used last.
    pub(super) connected: BTreeMap<usize, f64>,
}

impl Run<'_> {
    pub(super) fn come(&mut self, id: u32) {
        let Some(one) = self.tries.get(&id) else {
            return;
        };
        let (door, life) = (one.door, one.life);
        if !self.doors[door].up || self.doors[door].life != life {
            return self.lose(id);
        }
        let first = self.firsts[one.first].clone();
        let request = policy::Request {
            id: RequestId(id),
            customer: CustomerId(first.customer as u64),
            plan: PlanId(self.customers[first.customer].plan),
            class: ClassId(first.class),
            units: first.units,
            deadline: one.deadline,
            checked: true,
            spread: self.spread(first.customer) as f64,
        };
        if self.world.choice == Choice::Oracle {
            return self.by_truth(id, door, &first);
        }
        self.tell(door, Event::Arrival(request));
    }

    /// Decides for a request by the true state of all backends and quotas.
    pub(super) fn by_truth(&mut self, id: u32, door: usize, first: &First) {
        let now = self.now;
        let room = self.holds(first.customer, first.units);
        let free = |backend: &Backend| {
            (backend.holds() as f64 + 1.0)
                / (backend.shape.cores as f64 * backend.warmth(now) * backend.speed)
        };
        let best = (0..self.backends.len())
            .filter(|at| {
                self.backends[*at].up
                    && self.backends[*at].drained.is_none()
                    && !self.cut(door, *at)
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
        self.carry_out(door, action);
    }

    pub(super) fn tell(&mut self, door: usize, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.doors[door]
            .policy
            .handle(self.now, event, &mut actions);
        let mut done: Vec<Action> = std::mem::take(&mut actions);
        for action in done.drain(..) {
            self.carry_out(door, action);
        }
        self.actions = done;
    }

    pub(super) fn carry_out(&mut self, door: usize, action: Action) {
        match action {
            Action::Send {
                request,
                backend,
                limit,
                ..
            } => self.send(door, request.0, backend.0 as usize, limit),
            Action::Refuse {
                request,
                reason,
                retry_after,
            } => self.answer(request.0, false, retry_after, Some(reason)),
            Action::Fail(request) => self.answer(request.0, false, None, None),
            Action::CallOff { request, .. } => {
                let out = self.tries.get(&request.0).and_then(|one| one.out);
                if let Some(attempt) = out {
                    self.settle(attempt, policy::Outcome::Cancelled);
                }
            }
            Action::SetAlarm { at, alarm } => {
                let life = self.doors[door].life;
                self.queue
                    .push(at.max(self.now), Happens::Alarm { door, life, alarm });
            }
            _ => {}
        }
    }

    pub(super) fn send(&mut self, door: usize, id: u32, backend: usize, limit: Option<f64>) {
        let now = self.now;
        let Some(one) = self.tries.get_mut(&id) else {
            return;
        };
        let number = one.sends;
        one.sends += 1;
        self.next_attempt += 1;
        let attempt = self.next_attempt;
        one.out = Some(attempt);
        let (first, life) = (one.first, one.life);
        let customer = self.firsts[first].customer;
        if number == 0 {
            let units = self.firsts[first].units;
            let inside = self.holds(customer, units);
            let plan = self.settings.plans[self.customers[customer].plan].clone();
            let period = if self.world.meter_ms > 0.0 {
                (now / self.world.meter_ms) as u64
            } else {
                0
            };
            let held = &mut self.customers[customer];
            if inside {
                held.store.left -= units;
                self.firsts[first].let_in = true;
            } else {
                self.beyond += units;
                let worth = self.world.class[self.firsts[first].class].worth * plan.price * units;
                self.outcome.over_by_plan[held.plan] += worth;
                if let Some(group) = self.groups.get(customer) {
                    self.outcome.beyond_by_demand[*group] += units;
                }
            }
            held.meter(period, units);
            if let Some(ceiling) = plan.ceiling {
                held.ceiling.holds(now, ceiling.rate, ceiling.burst, units);
                held.ceiling.left -= units;
                self.outcome.over_ceiling += u64::from(held.ceiling.left < -ceiling.slack);
            }
            if let Some(one) = self.tries.get_mut(&id) {
                one.inside = inside;
            }
        }
        self.customers[customer].open += 1;
        self.sent += 1;
        let late = self.doors[door]
            .told
            .get(&backend)
            .is_some_and(|told| now > told.0 + self.world.drain_grace_ms);
        self.outcome.late_sends += u64::from(late);
        let used = self.doors[door].connected.insert(backend, now);
        let mut dials = false;
        let mut delay = self.way(door, backend);
        self.crossings += u64::from(self.crosses(door, backend));
        if used.is_none_or(|used| now - used > self.world.idle_ms) {
            self.handshakes += 1;
            delay += self.world.handshake_ms;
            if self.cut(door, backend) {
                self.doors[door].connected.remove(&backend);
                dials = true;
            }
        }
        let there = true;
        let one = Attempt {
            id,
            number,
            backend,
            door,
            life,
            sent: now,
            first,
            settled: false,
            there,
        };
        self.attempts.insert(attempt, one);
        if dials {
            self.leave(attempt);
            let failed = Happens::Reply(attempt, policy::Outcome::ConnectFailed);
            self.queue.push(now + self.world.dial_ms, failed);
        } else {
            self.queue.push(now + delay, Happens::Reach(attempt));
        }
        if let Some(limit) = limit.filter(|limit| limit.is_finite()) {
            self.queue.push(now + limit, Happens::Limit(attempt));
        }
    }

    /// An attempt ends for its door, once.
    pub(super) fn settle(&mut self, attempt: u64, outcome: policy::Outcome) {
        let Some(one) = self.attempts.get_mut(&attempt) else {
            return;
        };
        let over = one.settled;
        one.settled = true;
        let one = one.clone();
        if !one.there {
            self.attempts.remove(&attempt);
        }
        if over {
            return;
        }
        let alive = self.doors[one.door].up && self.doors[one.door].life == one.life;
        let (customer, units, true_units) = {
            let first = &self.firsts[one.first];
            (first.customer, first.units, first.true_units)
        };
        let served = outcome == policy::Outcome::Ok;
        self.customers[customer].open = self.customers[customer].open.saturating_sub(1);
        if served
            && self
                .tries
                .get(&one.id)
                .is_some_and(|held| held.inside && !held.answered)
        {
            let burst = self.settings.plans[self.customers[customer].plan].burst;
            let store = &mut self.customers[customer].store;
            store.left = (store.left + units - true_units).min(burst);
        }
        let answers = matches!(
            outcome,
            policy::Outcome::Ok | policy::Outcome::Error | policy::Outcome::Full
        );
        let use_of_quota = if answers {
            self.use_of_quota(customer)
        } else {
            None
        };
        if let Some(held) = self.tries.get_mut(&one.id) {
            held.out = None;
        }
        if !alive {
            return self.forget(one.id);
        }
        if outcome == policy::Outcome::Ok
            && self.tries.get(&one.id).is_some_and(|held| !held.answered)
        {
            self.answer(one.id, true, None, None);
        }
        let closed = self.tries.get(&one.id).is_none_or(|held| held.answered);
        let settled = policy::Settled {
            request: RequestId(one.id),
            attempt: one.number,
            backend: BackendId(one.backend as u32),
            outcome,
            elapsed: self.now - one.sent,
            closed,
            use_of_quota,
            true_units: (served && self.world.guess_cv > 0.0).then_some(true_units),
            report: policy::Report::default(),
            broken: 0,
        };
        if self.world.choice == Choice::Oracle {
            if !closed {
                let full = (outcome == policy::Outcome::Full).then_some(policy::Reason::Attempts);
                self.answer(one.id, false, None, full);
            }
        } else {
            self.tell(one.door, Event::Settled(settled));
        }
        self.forget(one.id);
    }

    pub(super) fn hear(&mut self, door: usize, entries: Vec<BackendEntry>) {
        for entry in &entries {
            let at = entry.id.0 as usize;
            if entry.availability == policy::Availability::Ready {
                self.doors[door].told.remove(&at);
            } else {
                let now = self.now;
                self.doors[door].told.entry(at).or_insert((now, 0));
            }
            if entry.availability == policy::Availability::Gone {
                self.doors[door].list.remove(&at);
            } else {
                self.doors[door].list.insert(at, *entry);
            }
        }
        if self.doors[door].up {
            self.tell(door, Event::Backends(policy::ListKind::Changes, entries));
        }
    }

    pub(super) fn goes_down(&mut self, door: usize) {
        self.doors[door].up = false;
        self.doors[door].stopping = false;
        self.doors[door].life += 1;
        let held: Vec<u32> = self
            .tries
            .iter()
            .filter(|(_, one)| one.door == door)
            .map(|(id, _)| *id)
            .collect();
        for id in held {
            self.lose(id);
        }
    }

    pub(super) fn back(&mut self, door: usize) {
        let policy = self.policy(door);
        let now = self.now;
        let old = &mut self.doors[door];
        (old.policy, old.up) = (policy, true);
        old.connected.clear();
        if let Some(agent) = &mut old.agent {
            // What was told to an earlier life is told to this one when it starts: it knows nothing before.
            agent.restart(now as u64 ^ door as u64, now);
            let from = agent.counts_as_told(now);
            old.told.values_mut().for_each(|told| told.0 = from);
        }
        self.wait_for_agent(door);
        let old = &mut self.doors[door];
        let list = old.list.values().copied().collect();
        self.tell(door, Event::Backends(policy::ListKind::Cached, list));
    }
}
