//! One run: the world's clock, the network, clients and troubles round the doors.

use crate::backend::{Backend, Job, Shape, Taken};
use crate::chance::{Alias, Dice};
use crate::door::{Plain, Policy, Store};
use crate::metrics::{Outcome, Times};
use crate::queue::Queue;
use crate::world::{Choice, Trouble, World};
use maplefall_policy as policy;
use maplefall_policy::{
    Action, AlarmId, BackendEntry, BackendId, ClassId, CustomerId, Effect, Event, PlanId, RequestId,
};
use std::collections::BTreeMap;

/// Something that happens.
#[derive(Clone, Debug)]
enum Happens {
    /// The next first try is made.
    Ask,
    /// A client tries again.
    Again(usize, u32),
    /// A try comes to its door.
    Come(u32),
    /// A client stops waiting for a try.
    GiveUp(u32),
    /// An attempt comes to its backend.
    Reach(u64),
    /// A backend has done a job.
    Done { backend: usize, life: u32, attempt: u64 },
    /// The end of an attempt comes to its door.
    Reply(u64, policy::Outcome),
    /// An attempt's limit is over.
    Limit(u64),
    /// An alarm of a door's.
    Alarm { door: usize, life: u32, alarm: AlarmId },
    /// A door hears of backends.
    Hear { door: usize, entries: Vec<BackendEntry> },
    /// A trouble begins.
    Trouble(usize),
    /// A door comes back.
    Back(usize),
    /// A backend begins to drain; ends.
    Drain(usize),
    /// See above.
    End(usize),
    /// A backend's speed changes.
    Speed(usize, f64),
}

/// A first try and what came of it.
#[derive(Clone, Debug)]
struct First {
    asked: f64,
    customer: usize,
    class: usize,
    units: f64,
    work: f64,
    served: bool,
}

/// A try that is not over.
#[derive(Clone, Debug)]
struct Try {
    first: usize,
    number: u32,
    door: usize,
    life: u32,
    deadline: f64,
    answered: bool,
    sends: u32,
    out: Option<u64>,
    inside: bool,
    ran: u32,
}

/// An attempt that is not over.
#[derive(Clone, Debug)]
struct Attempt {
    id: u32,
    number: u32,
    backend: usize,
    door: usize,
    life: u32,
    sent: f64,
    first: usize,
    /// Whether its end has been told to its door.
    settled: bool,
    /// Whether it is in its backend, or on its way there.
    there: bool,
}

struct Door {
    policy: Box<dyn Policy>,
    life: u32,
    up: bool,
    /// When it was told that a backend drains or is gone.
    told: BTreeMap<usize, f64>,
    /// The list as it has it.
    list: BTreeMap<usize, BackendEntry>,
    /// When a connection to a backend was used last.
    connected: BTreeMap<usize, f64>,
}

struct Run<'a> {
    world: &'a World,
    dice: Dice,
    now: f64,
    queue: Queue<Happens>,
    settings: policy::Settings,
    customers: Alias,
    plan_of: Vec<usize>,
    rates: Vec<f64>,
    /// The first door of each customer's set.
    home: Vec<usize>,
    classes: Alias,
    doors: Vec<Door>,
    backends: Vec<Backend>,
    lives: Vec<u32>,
    firsts: Vec<First>,
    tries: BTreeMap<u32, Try>,
    attempts: BTreeMap<u64, Attempt>,
    next_try: u32,
    next_attempt: u64,
    /// What really is left of each quota, and what one door that sees all would have left.
    stores: BTreeMap<usize, Store>,
    ideal: BTreeMap<usize, Store>,
    offered: f64,
    offered_units: f64,
    beyond: f64,
    gained: f64,
    handshakes: u64,
    sent: u64,
    times: Times,
    waits: (f64, u64),
    sojourn: (f64, u64),
    held: f64,
    held_at: f64,
    holding: usize,
    outcome: Outcome,
    actions: Vec<Action>,
}

/// Plays a world; the same world and seed always give the same outcome.
pub fn play(world: &World, seed: u64) -> Outcome {
    let mut run = Run::new(world, seed);
    run.begin();
    run.go();
    run.close(seed)
}

fn settings(world: &World) -> policy::Settings {
    let class = |class: &crate::world::ClassSpec| policy::Class {
        aim: class.aim_ms,
        deadline: class.give_up_ms,
        worth: class.worth,
        late_worth: 0.0,
        effect: World::effect(class).unwrap_or(Effect::Unsafe),
        streaming: false,
    };
    let plan = |plan: &crate::world::PlanSpec| policy::Plan {
        rate: plan.rate,
        burst: plan.burst,
        price: plan.price,
        over_cost: 1.0,
        ..policy::Plan::default()
    };
    policy::Settings {
        gateways: world.doors as u32,
        tick: 2.0,
        classes: world.class.iter().map(class).collect(),
        plans: world.plan.iter().map(plan).collect(),
        max_units: world.most_units,
        max_attempts: world.attempts,
        cancel: true,
        retry_after: true,
        max_retry_after: 2000.0,
        drain_grace: world.drain_grace_ms,
        start_capacity: world.cold_from,
        warm_up: world.cold_ms,
        overload_factor: world.fall_multiple,
        overload_window: world.fall_ms,
        ..policy::Settings::default()
    }
}

impl<'a> Run<'a> {
    fn new(world: &'a World, seed: u64) -> Run<'a> {
        let mut dice = Dice::new(seed);
        let weights: Vec<f64> =
            (0..world.customers).map(|rank| 1.0 / (rank as f64 + 1.0).powf(world.zipf)).collect();
        let plans = Alias::new(&world.plan.iter().map(|plan| plan.share).collect::<Vec<_>>());
        let plan_of: Vec<usize> = weights.iter().map(|_| plans.draw(&mut dice)).collect();
        let home = weights.iter().map(|_| dice.below(world.doors)).collect();
        let mut settings = settings(world);
        if world.usage > 0.0 {
            // Each plan is as large as its customers' use asks for; its burst keeps its length in time.
            let all: f64 = weights.iter().sum();
            let units = world.requests_per_second() * world.units;
            for (at, plan) in settings.plans.iter_mut().enumerate() {
                let of: Vec<f64> =
                    weights.iter().zip(&plan_of).filter(|(_, plan)| **plan == at).map(|(w, _)| *w).collect();
                let mean = of.iter().sum::<f64>() / of.len().max(1) as f64 / all * units;
                let span = plan.burst / plan.rate;
                plan.rate = (mean / world.usage).max(1e-3);
                plan.burst = (plan.rate * span).max(2.0 * world.most_units);
            }
        }
        let rates = settings.plans.iter().map(|plan| plan.rate).collect();
        let shape = Shape {
            cores: world.cores,
            queue: world.queue,
            cold_from: world.cold_from,
            cold_ms: world.cold_ms,
        };
        let backends: Vec<Backend> = (0..world.backends)
            .map(|_| Backend::new(shape, dice.log_normal(1.0, world.speed_cv), None))
            .collect();
        Run {
            world,
            now: 0.0,
            queue: Queue::default(),
            settings,
            customers: Alias::new(&weights),
            plan_of,
            rates,
            home,
            classes: Alias::new(&world.class.iter().map(|class| class.share).collect::<Vec<_>>()),
            doors: Vec::new(),
            lives: vec![0; backends.len()],
            backends,
            firsts: Vec::new(),
            tries: BTreeMap::new(),
            attempts: BTreeMap::new(),
            next_try: 0,
            next_attempt: 0,
            stores: BTreeMap::new(),
            ideal: BTreeMap::new(),
            offered: 0.0,
            offered_units: 0.0,
            beyond: 0.0,
            gained: 0.0,
            handshakes: 0,
            sent: 0,
            times: Times::default(),
            waits: (0.0, 0),
            sojourn: (0.0, 0),
            held: 0.0,
            held_at: 0.0,
            holding: 0,
            outcome: Outcome::default(),
            actions: Vec::new(),
            dice,
        }
    }

    fn policy(&mut self) -> Box<dyn Policy> {
        let (set, seed) = (self.settings.clone(), self.dice.seed());
        match self.world.choice {
            Choice::Module => Box::new(policy::Gateway::new(set, seed)),
            choice => Box::new(Plain::new(choice, self.world.admission, set, seed)),
        }
    }

    fn begin(&mut self) {
        let entries: BTreeMap<usize, BackendEntry> =
            (0..self.backends.len()).map(|at| (at, entry(at, None))).collect();
        for _ in 0..self.world.doors {
            let policy = self.policy();
            let list = entries.clone();
            let (told, connected) = (BTreeMap::new(), BTreeMap::new());
            self.doors.push(Door { policy, life: 0, up: true, told, list, connected });
        }
        for door in 0..self.doors.len() {
            let list = self.doors[door].list.values().copied().collect();
            self.tell(door, Event::Backends(policy::ListKind::Full, list));
        }
        self.queue.push(0.0, Happens::Ask);
        for (at, trouble) in self.world.trouble.iter().enumerate() {
            let at_s = match trouble {
                Trouble::RestartDoors { at_s, .. }
                | Trouble::ReplaceBackends { at_s, .. }
                | Trouble::SlowBackends { at_s, .. } => *at_s,
            };
            self.queue.push(at_s * 1000.0, Happens::Trouble(at));
        }
        self.outcome.by_second = vec![0.0; self.world.seconds.ceil() as usize];
    }

    fn go(&mut self) {
        while let Some((at, event)) = self.queue.pop() {
            self.now = at;
            self.outcome.events += 1;
            match event {
                Happens::Ask => self.ask(),
                Happens::Again(first, number) => self.begin_try(first, number),
                Happens::Come(id) => self.come(id),
                Happens::GiveUp(id) => self.give_up(id),
                Happens::Reach(attempt) => self.reach(attempt),
                Happens::Done { backend, life, attempt } => self.done(backend, life, attempt),
                Happens::Reply(attempt, outcome) => self.settle(attempt, outcome),
                Happens::Limit(attempt) => self.settle(attempt, policy::Outcome::Timeout),
                Happens::Alarm { door, life, alarm } => {
                    if self.doors[door].up && self.doors[door].life == life {
                        self.tell(door, Event::Alarm(alarm));
                    }
                }
                Happens::Hear { door, entries } => self.hear(door, entries),
                Happens::Trouble(at) => self.trouble(at),
                Happens::Back(door) => self.back(door),
                Happens::Drain(backend) => self.drain(backend),
                Happens::End(backend) => self.end(backend),
                Happens::Speed(backend, factor) => self.backends[backend].speed *= factor,
            }
        }
    }

    fn delay(&mut self) -> f64 {
        self.dice.within(self.world.delay_ms)
    }

    // ---- Clients ------------------------------------------------------------------------------------

    fn ask(&mut self) {
        let end = self.world.seconds * 1000.0;
        if self.now >= end {
            return;
        }
        let pause = self.dice.exponential(1000.0 / self.world.requests_per_second());
        self.queue.push(self.now + pause, Happens::Ask);
        let customer = self.customers.draw(&mut self.dice);
        let class = self.classes.draw(&mut self.dice);
        // A geometric number of units with this mean, cut off at the most.
        let more = 1.0 - 1.0 / self.world.units;
        let mut units = 1.0;
        while units < self.world.most_units.floor() && self.dice.one() < more {
            units += 1.0;
        }
        let spec = &self.world.class[class];
        let mean = spec.work_ms * units / self.world.units;
        let work = if spec.cv <= 0.0 {
            mean
        } else if (spec.cv - 1.0).abs() < 1e-9 {
            self.dice.exponential(mean)
        } else {
            self.dice.log_normal(mean, spec.cv)
        };
        let (rate, burst, price) = self.quota(customer);
        let now = self.now;
        let ideal = self.ideal.entry(customer).or_insert(Store::full(burst, now));
        if ideal.holds(now, rate, burst, units) {
            ideal.left -= units;
            self.offered += spec.worth * price * units;
            self.offered_units += units;
        }
        self.outcome.first_tries += 1;
        self.firsts.push(First { asked: now, customer, class, units, work, served: false });
        self.begin_try(self.firsts.len() - 1, 0);
    }

    fn quota(&self, customer: usize) -> (f64, f64, f64) {
        let at = self.plan_of[customer];
        let plan = &self.settings.plans[at];
        (self.rates[at], plan.burst, plan.price)
    }

    fn begin_try(&mut self, first: usize, number: u32) {
        let one = self.firsts[first].clone();
        let class = &self.world.class[one.class];
        let last = one.asked + class.give_up_ms;
        if self.now >= last {
            return;
        }
        let spread = self.spread();
        // A door that is down takes nothing; its clients find another one of the customer's set.
        let from = self.dice.below(spread);
        let set = (0..spread).map(|at| (self.home[one.customer] + (from + at) % spread) % self.doors.len());
        let Some(door) = set.into_iter().find(|door| self.doors[*door].up) else {
            return self.come_back(first, number, None);
        };
        self.outcome.tries += 1;
        self.next_try += 1;
        let id = self.next_try;
        let life = self.doors[door].life;
        let one = Try {
            first,
            number,
            door,
            life,
            deadline: last,
            answered: false,
            sends: 0,
            out: None,
            inside: false,
            ran: 0,
        };
        self.tries.insert(id, one);
        let delay = self.delay();
        self.queue.push(self.now + delay, Happens::Come(id));
        self.queue.push(last, Happens::GiveUp(id));
    }

    fn spread(&self) -> usize {
        match self.world.spread {
            0 => self.doors.len(),
            spread => spread.min(self.doors.len()),
        }
    }

    /// A client whose try was turned away tries again, if it has tries and time left.
    fn come_back(&mut self, first: usize, number: u32, advised: Option<f64>) {
        if number < self.world.retries {
            let wait = advised.unwrap_or_else(|| self.dice.within(self.world.backoff_ms));
            self.queue.push(self.now + wait, Happens::Again(first, number + 1));
        }
    }

    fn come(&mut self, id: u32) {
        let Some(one) = self.tries.get(&id) else { return };
        let (door, life) = (one.door, one.life);
        if !self.doors[door].up || self.doors[door].life != life {
            return self.lose(id);
        }
        let first = self.firsts[one.first].clone();
        let request = policy::Request {
            id: RequestId(id),
            customer: CustomerId(first.customer as u64),
            plan: PlanId(self.plan_of[first.customer]),
            class: ClassId(first.class),
            units: first.units,
            deadline: one.deadline,
            checked: true,
            spread: self.spread() as f64,
        };
        if self.world.choice == Choice::Oracle {
            return self.by_truth(id, door, &first);
        }
        self.tell(door, Event::Arrival(request));
    }

    /// Decides for a request by the true state of all backends and quotas.
    fn by_truth(&mut self, id: u32, door: usize, first: &First) {
        let (rate, burst, _) = self.quota(first.customer);
        let now = self.now;
        let store = self.stores.entry(first.customer).or_insert(Store::full(burst, now));
        let room = store.holds(now, rate, burst, first.units);
        let free = |backend: &Backend| {
            (backend.holds() as f64 + 1.0)
                / (backend.shape.cores as f64 * backend.warmth(now) * backend.speed)
        };
        let best = (0..self.backends.len())
            .filter(|at| self.backends[*at].up && self.backends[*at].drained.is_none())
            .min_by(|one, other| free(&self.backends[*one]).total_cmp(&free(&self.backends[*other])));
        let action = match best.filter(|_| room) {
            Some(backend) => Action::Send {
                request: RequestId(id),
                backend: BackendId(backend as u32),
                limit: None,
                care: policy::Care::Usual,
            },
            None => Action::Refuse { request: RequestId(id), retry_after: None },
        };
        self.carry_out(door, action);
    }

    /// A door was killed with a try in hand: its client notices and tries again.
    fn lose(&mut self, id: u32) {
        let Some(one) = self.tries.get_mut(&id).filter(|one| !one.answered) else { return };
        one.answered = true;
        let (first, number) = (one.first, one.number);
        self.outcome.lost += 1;
        self.tries.remove(&id);
        self.come_back(first, number, None);
    }

    fn give_up(&mut self, id: u32) {
        let Some(one) = self.tries.get_mut(&id) else { return };
        if one.answered {
            self.forget(id);
            return;
        }
        one.answered = true;
        self.outcome.failed += 1;
        let (door, life) = (one.door, one.life);
        if self.doors[door].up && self.doors[door].life == life {
            self.tell(door, Event::ClientGone(RequestId(id)));
        }
        self.forget(id);
    }

    /// Lets go of a try that is answered and has no attempt out.
    fn forget(&mut self, id: u32) {
        if self.tries.get(&id).is_some_and(|one| one.answered && one.out.is_none()) {
            self.tries.remove(&id);
        }
    }

    fn answer(&mut self, id: u32, served: bool, advised: Option<f64>, refused: bool) {
        let Some(one) = self.tries.get_mut(&id) else { return };
        if one.answered {
            self.outcome.doubled += 1;
            return;
        }
        one.answered = true;
        let (first, number, inside) = (one.first, one.number, one.inside);
        if served {
            self.outcome.served += 1;
            let took = self.now - self.firsts[first].asked;
            self.times.add(took);
            let one = &mut self.firsts[first];
            let spec = &self.world.class[one.class];
            if inside && !one.served && took <= spec.aim_ms {
                let price = self.settings.plans[self.plan_of[one.customer]].price;
                let worth = spec.worth * price * one.units;
                self.gained += worth;
                if let Some(second) = self.outcome.by_second.get_mut((one.asked / 1000.0) as usize) {
                    *second += worth;
                }
            }
            one.served = true;
        } else if refused {
            self.outcome.refused += 1;
            self.come_back(first, number, advised);
        } else {
            self.outcome.failed += 1;
        }
        self.forget(id);
    }

    // ---- Doors --------------------------------------------------------------------------------------

    fn tell(&mut self, door: usize, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.doors[door].policy.handle(self.now, event, &mut actions);
        let mut done: Vec<Action> = std::mem::take(&mut actions);
        for action in done.drain(..) {
            self.carry_out(door, action);
        }
        self.actions = done;
    }

    fn carry_out(&mut self, door: usize, action: Action) {
        match action {
            Action::Send { request, backend, limit, .. } => {
                self.send(door, request.0, backend.0 as usize, limit)
            }
            Action::Refuse { request, retry_after } => self.answer(request.0, false, retry_after, true),
            Action::Fail(request) => self.answer(request.0, false, None, false),
            Action::CallOff { request, .. } => {
                let out = self.tries.get(&request.0).and_then(|one| one.out);
                if let Some(attempt) = out {
                    self.settle(attempt, policy::Outcome::Cancelled);
                }
            }
            Action::SetAlarm { at, alarm } => {
                let life = self.doors[door].life;
                self.queue.push(at.max(self.now), Happens::Alarm { door, life, alarm });
            }
            _ => {}
        }
    }

    fn send(&mut self, door: usize, id: u32, backend: usize, limit: Option<f64>) {
        let now = self.now;
        let Some(one) = self.tries.get_mut(&id) else { return };
        let number = one.sends;
        one.sends += 1;
        self.next_attempt += 1;
        let attempt = self.next_attempt;
        one.out = Some(attempt);
        let (first, life) = (one.first, one.life);
        if number == 0 {
            let (customer, units) = (self.firsts[first].customer, self.firsts[first].units);
            let (rate, burst, _) = self.quota(customer);
            let store = self.stores.entry(customer).or_insert(Store::full(burst, now));
            let inside = store.holds(now, rate, burst, units);
            if inside {
                store.left -= units;
            } else {
                self.beyond += units;
            }
            if let Some(one) = self.tries.get_mut(&id) {
                one.inside = inside;
            }
        }
        self.sent += 1;
        let late =
            self.doors[door].told.get(&backend).is_some_and(|told| now > told + self.world.drain_grace_ms);
        self.outcome.late_sends += u64::from(late);
        let used = self.doors[door].connected.insert(backend, now);
        let mut delay = self.delay();
        if used.is_none_or(|used| now - used > self.world.idle_ms) {
            self.handshakes += 1;
            delay += self.world.handshake_ms;
        }
        let there = true;
        let one = Attempt { id, number, backend, door, life, sent: now, first, settled: false, there };
        self.attempts.insert(attempt, one);
        self.queue.push(now + delay, Happens::Reach(attempt));
        if let Some(limit) = limit.filter(|limit| limit.is_finite()) {
            self.queue.push(now + limit, Happens::Limit(attempt));
        }
    }

    /// An attempt ends for its door, once.
    fn settle(&mut self, attempt: u64, outcome: policy::Outcome) {
        let Some(one) = self.attempts.get_mut(&attempt) else { return };
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
        if let Some(held) = self.tries.get_mut(&one.id) {
            held.out = None;
        }
        if !alive {
            return self.forget(one.id);
        }
        if outcome == policy::Outcome::Ok && self.tries.get(&one.id).is_some_and(|held| !held.answered) {
            self.answer(one.id, true, None, false);
        }
        let closed = self.tries.get(&one.id).is_none_or(|held| held.answered);
        let settled = policy::Settled {
            request: RequestId(one.id),
            attempt: one.number,
            backend: BackendId(one.backend as u32),
            outcome,
            elapsed: self.now - one.sent,
            closed,
            use_of_quota: None,
            true_units: None,
            report: policy::Report::default(),
            broken: 0,
        };
        if self.world.choice == Choice::Oracle {
            if !closed {
                self.answer(one.id, false, None, outcome == policy::Outcome::Full);
            }
        } else {
            self.tell(one.door, Event::Settled(settled));
        }
        self.forget(one.id);
    }

    fn hear(&mut self, door: usize, entries: Vec<BackendEntry>) {
        for entry in &entries {
            let at = entry.id.0 as usize;
            if entry.availability == policy::Availability::Ready {
                self.doors[door].told.remove(&at);
            } else {
                let now = self.now;
                self.doors[door].told.entry(at).or_insert(now);
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

    // ---- Backends -----------------------------------------------------------------------------------

    /// Counts time by requests in backends, for Little's law.
    fn hold(&mut self, change: isize) {
        self.held += self.holding as f64 * (self.now - self.held_at);
        self.held_at = self.now;
        self.holding = self.holding.saturating_add_signed(change);
    }

    fn reach(&mut self, attempt: u64) {
        let Some(one) = self.attempts.get(&attempt).cloned() else { return };
        let now = self.now;
        let delay = self.delay();
        let first = &self.firsts[one.first];
        let backend = &mut self.backends[one.backend];
        if !backend.up {
            self.outcome.dead += 1;
            self.leave(attempt);
            self.queue.push(now + delay, Happens::Reply(attempt, policy::Outcome::ConnectFailed));
            return;
        }
        let work = first.work;
        let slack = 2.0 * self.world.most_units / self.world.units * 80.0;
        let (multiple, window) = (self.world.fall_multiple, self.world.fall_ms);
        if backend.pushed_over(now, work, multiple, window, slack) {
            self.outcome.fell_over += 1;
            self.die(one.backend);
            return;
        }
        match backend.take(Job { attempt, work, came: now }, now) {
            Taken::Begun(until) => {
                let life = self.lives[one.backend];
                self.queue.push(until, Happens::Done { backend: one.backend, life, attempt });
                self.waits.1 += 1;
                self.sojourn.0 += until - now;
                self.sojourn.1 += 1;
                self.hold(1);
            }
            Taken::Waits => self.hold(1),
            Taken::Full => {
                self.leave(attempt);
                self.queue.push(now + delay, Happens::Reply(attempt, policy::Outcome::Full));
            }
        }
    }

    /// An attempt is no longer in its backend.
    fn leave(&mut self, attempt: u64) {
        if let Some(one) = self.attempts.get_mut(&attempt) {
            one.there = false;
            if one.settled {
                self.attempts.remove(&attempt);
            }
        }
    }

    fn done(&mut self, backend: usize, life: u32, attempt: u64) {
        if self.lives[backend] != life {
            return;
        }
        self.hold(-1);
        if let Some(one) = self.attempts.get(&attempt).cloned() {
            let class = &self.world.class[self.firsts[one.first].class];
            if let Some(held) = self.tries.get_mut(&one.id) {
                held.ran += 1;
                let twice = held.ran > 1 && World::effect(class) == Some(Effect::Unsafe);
                self.outcome.ran_twice += u64::from(twice);
            }
            self.leave(attempt);
            let delay = self.delay();
            self.queue.push(self.now + delay, Happens::Reply(attempt, policy::Outcome::Ok));
        }
        let now = self.now;
        if let Some((job, until)) = self.backends[backend].next(now) {
            self.waits.0 += now - job.came;
            self.waits.1 += 1;
            self.sojourn.0 += until - job.came;
            self.sojourn.1 += 1;
            self.queue.push(until, Happens::Done { backend, life, attempt: job.attempt });
        }
    }

    fn die(&mut self, backend: usize) {
        let held = self.backends[backend].die();
        self.hold(-(held as isize));
        self.lives[backend] += 1;
        // Those that it held, and those on their way: these find nobody.
        let lost: Vec<u64> = self
            .attempts
            .iter()
            .filter(|(_, one)| one.backend == backend && one.there)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in lost {
            self.leave(attempt);
            let delay = self.delay();
            self.queue.push(self.now + delay, Happens::Reply(attempt, policy::Outcome::Reset));
        }
    }

    // ---- Troubles -----------------------------------------------------------------------------------

    fn some(&mut self, count: usize, part: f64) -> Vec<usize> {
        let mut all: Vec<usize> = (0..count).collect();
        let many = (part * count as f64).ceil() as usize;
        (0..many.min(count)).map(|_| all.swap_remove(self.dice.below(all.len()))).collect()
    }

    fn trouble(&mut self, at: usize) {
        match self.world.trouble[at].clone() {
            Trouble::RestartDoors { part, down_ms, .. } => {
                for door in self.some(self.doors.len(), part) {
                    self.doors[door].up = false;
                    self.doors[door].life += 1;
                    let held: Vec<u32> =
                        self.tries.iter().filter(|(_, one)| one.door == door).map(|(id, _)| *id).collect();
                    for id in held {
                        self.lose(id);
                    }
                    let down = self.dice.within(down_ms);
                    self.queue.push(self.now + down, Happens::Back(door));
                }
            }
            Trouble::ReplaceBackends { part, over_s, .. } => {
                let up: Vec<usize> = (0..self.backends.len()).filter(|at| self.backends[*at].up).collect();
                for at in self.some(up.len(), part) {
                    let when = self.now + self.dice.within([0.0, over_s * 1000.0]);
                    self.queue.push(when, Happens::Drain(up[at]));
                }
            }
            Trouble::SlowBackends { part, speed, for_s, .. } => {
                for backend in self.some(self.backends.len(), part) {
                    self.backends[backend].speed *= speed;
                    self.queue.push(self.now + for_s * 1000.0, Happens::Speed(backend, 1.0 / speed));
                }
            }
        }
    }

    fn back(&mut self, door: usize) {
        let policy = self.policy();
        let old = &mut self.doors[door];
        (old.policy, old.up) = (policy, true);
        old.connected.clear();
        let list = old.list.values().copied().collect();
        self.tell(door, Event::Backends(policy::ListKind::Cached, list));
    }

    fn spread_news(&mut self, entries: &[BackendEntry]) {
        for door in 0..self.doors.len() {
            let late = self.dice.within(self.world.notice_ms);
            self.queue.push(self.now + late, Happens::Hear { door, entries: entries.to_vec() });
        }
    }

    fn drain(&mut self, backend: usize) {
        self.backends[backend].drained = Some(self.now);
        let drain_ms = self.world.trouble.iter().find_map(|trouble| match trouble {
            Trouble::ReplaceBackends { drain_ms, .. } => Some(*drain_ms),
            _ => None,
        });
        self.spread_news(&[BackendEntry {
            availability: policy::Availability::Draining,
            ..entry(backend, None)
        }]);
        self.queue.push(self.now + drain_ms.unwrap_or(0.0), Happens::End(backend));
    }

    /// A backend ends, and a cold one comes in its stead under a new number.
    fn end(&mut self, backend: usize) {
        self.die(backend);
        let gone = BackendEntry { availability: policy::Availability::Gone, ..entry(backend, None) };
        self.spread_news(&[gone]);
        let speed = self.dice.log_normal(1.0, self.world.speed_cv);
        let shape = self.backends[backend].shape;
        self.backends.push(Backend::new(shape, speed, Some(self.now)));
        self.lives.push(0);
        let fresh = entry(self.backends.len() - 1, Some(self.now));
        self.spread_news(&[fresh]);
    }

    fn close(mut self, seed: u64) -> Outcome {
        let mut outcome = std::mem::take(&mut self.outcome);
        (outcome.world, outcome.seed) = (self.world.name.clone(), seed);
        let part = |of: f64, all: f64| if all > 0.0 { of / all } else { 0.0 };
        outcome.worth = part(self.gained, self.offered);
        outcome.beyond = part(self.beyond, self.offered_units);
        outcome.attempts = part(self.sent as f64, outcome.first_tries as f64);
        outcome.handshakes = part(self.handshakes as f64, self.sent as f64);
        (outcome.p50_ms, outcome.p99_ms) = (self.times.quantile(0.5), self.times.quantile(0.99));
        outcome.wait_ms = part(self.waits.0, self.waits.1 as f64);
        outcome.sojourn_ms = part(self.sojourn.0, self.sojourn.1 as f64);
        outcome.in_backends = part(self.held, self.held_at);
        let loads: Vec<f64> = self.backends.iter().map(|backend| backend.work / backend.speed).collect();
        let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
        outcome.most_loaded = part(loads.iter().fold(0.0, |most: f64, one| most.max(*one)), mean);
        outcome.least_loaded =
            part(loads.iter().fold(f64::INFINITY, |least: f64, one| least.min(*one)), mean);
        outcome
    }
}

fn entry(backend: usize, started: Option<f64>) -> BackendEntry {
    BackendEntry {
        id: BackendId(backend as u32),
        zone: policy::ZoneId(0),
        cell: policy::CellId(0),
        availability: policy::Availability::Ready,
        started,
        size: 1.0,
    }
}
