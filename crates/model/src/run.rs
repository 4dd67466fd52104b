//! One run: the world's clock, the network, clients and troubles round the doors.

use crate::agents::{Beside, History};
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
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// How long after the last first try agents are followed, in milliseconds: longer than any client waits with its tries.
const AFTER: f64 = 20_000.0;

/// Something that happens.
#[derive(Clone, Debug)]
enum Happens {
    /// The next first try is made.
    Ask,
    /// A client tries again.
    Again {
        first: usize,
        number: u32,
        door: Option<usize>,
    },
    /// A try comes to its door.
    Come(u32),
    /// A client stops waiting for a try.
    GiveUp(u32),
    /// An attempt comes to its backend.
    Reach(u64),
    /// A backend has done a job.
    Done {
        backend: usize,
        life: u32,
        attempt: u64,
    },
    /// The end of an attempt comes to its door.
    Reply(u64, policy::Outcome),
    /// An attempt's limit is over.
    Limit(u64),
    /// An alarm of a door's.
    Alarm {
        door: usize,
        life: u32,
        alarm: AlarmId,
    },
    /// A door hears of backends.
    Hear {
        door: usize,
        entries: Vec<BackendEntry>,
    },
    /// A door's agent hears of a version at one of its places.
    Learn {
        door: usize,
        at: usize,
        version: u64,
    },
    /// What a door's agent has to tell counts as told.
    Told { door: usize, version: u64 },
    /// Something is due between a door and its agent.
    Follow { door: usize, at: f64 },
    /// A door is told that its agent has moved.
    Moved {
        door: usize,
        close_ms: f64,
        behind_ms: f64,
    },
    /// A door begins to stop; has stopped.
    Stop {
        door: usize,
        stop_ms: f64,
        down_ms: f64,
    },
    /// See above.
    Stopped { door: usize, down_ms: f64 },
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
    /// The next request of a flood's customer, or of one that comes once, until then.
    Flood {
        customer: usize,
        pause: f64,
        until: f64,
    },
    /// A customer's spike begins.
    Spike(usize),
    /// See above.
    OneShot { pause: f64, until: f64 },
    /// A partition ends.
    Heal,
    /// The backends of a zone start again.
    Revive(Vec<usize>),
}

/// A first try and what came of it.
#[derive(Clone, Debug)]
struct First {
    asked: f64,
    customer: usize,
    class: usize,
    /// What it is guessed to take, and what it takes in truth.
    units: f64,
    true_units: f64,
    work: f64,
    served: bool,
    /// Whether a try of it was let in within its quota.
    let_in: bool,
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

/// A customer as it is; those that come once are added as they come.
struct Customer {
    plan: usize,
    /// The first door of its set, the busiest one (counted from there), and until when it is that.
    home: usize,
    busiest: usize,
    until: f64,
    /// Doors that a flood of it comes through; 0 for its whole set.
    through: usize,
    /// What really is left of its quota, and what one door that sees all would have left.
    store: Store,
    ideal: Store,
    ceiling: Store,
    /// Attempts out.
    open: u32,
    /// Units sent on in the meter's period of this number, and in those before it.
    metered: (u64, [f64; 4]),
}

struct Door {
    policy: Box<dyn Policy>,
    life: u32,
    up: bool,
    /// When it was told that a backend drains or is gone, and by which version of the list.
    told: BTreeMap<usize, (f64, u64)>,
    /// Up to which version of the list it counts as told.
    told_until: u64,
    /// Its agent, where doors have some, and when something is next due there.
    agent: Option<Beside>,
    follow_at: f64,
    /// Whether it is stopping: it takes nothing new.
    stopping: bool,
    /// By how much its agent is behind where it has moved to.
    behind_ms: f64,
    /// The list as it has it.
    list: BTreeMap<usize, BackendEntry>,
    /// When a connection to a backend was used last.
    connected: BTreeMap<usize, f64>,
}

struct Run<'a> {
    world: &'a World,
    history: History,
    dice: Dice,
    now: f64,
    queue: Queue<Happens>,
    settings: policy::Settings,
    ranks: Alias,
    plans: Alias,
    customers: Vec<Customer>,
    classes: Alias,
    /// First tries a second, spikes and floods left out.
    rate: f64,
    /// The group of demand of each customer.
    groups: Vec<usize>,
    doors: Vec<Door>,
    backends: Vec<Backend>,
    lives: Vec<u32>,
    firsts: Vec<First>,
    tries: BTreeMap<u32, Try>,
    attempts: BTreeMap<u64, Attempt>,
    next_try: u32,
    next_attempt: u64,
    /// Doors and backends that do not reach each other.
    apart: Option<(BTreeSet<usize>, BTreeSet<usize>)>,
    crossings: u64,
    meter_late: f64,
    offered: f64,
    offered_by_plan: Vec<f64>,
    /// Worth and units.
    offered_by_demand: Vec<(f64, f64)>,
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

/// A first try, with what the rehearsal kit's clients know of one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ask {
    /// When it is made, in milliseconds from the start.
    pub at: f64,
    /// Whose it is.
    pub customer: u64,
    /// The customer's plan and the request's class, by number.
    pub plan: usize,
    /// See above.
    pub class: usize,
    /// Units that it counts.
    pub units: f64,
    /// Doors of the customer's set, in a row from `first`.
    pub spread: u32,
    /// See above.
    pub first: u32,
}

/// The first tries that a world draws; which of them are asked does not go by what becomes of them.
pub fn load(world: &World, seed: u64) -> Vec<Ask> {
    let mut run = Run::new(world, seed);
    run.begin();
    run.go();
    let ask = |one: &First| Ask {
        at: one.asked,
        customer: one.customer as u64,
        plan: run.customers[one.customer].plan,
        class: one.class,
        units: one.units,
        spread: run.spread(one.customer) as u32,
        first: run.customers[one.customer].home as u32,
    };
    run.firsts.iter().map(ask).collect()
}

fn settings(world: &World) -> policy::Settings {
    let class = |class: &crate::world::ClassSpec| policy::Class {
        aim: class.aim_ms,
        deadline: class.give_up_ms,
        worth: class.worth,
        late_worth: 0.0,
        effect: World::effect(class).unwrap_or(Effect::Unsafe),
        streaming: false,
        ..policy::Class::default()
    };
    let plan = |plan: &crate::world::PlanSpec| policy::Plan {
        rate: plan.rate,
        burst: plan.burst,
        price: plan.price,
        over_cost: 1.0,
        max_open: plan.max_open,
        ceiling: None,
        ..policy::Plan::default()
    };
    policy::Settings {
        gateways: world.doors as u32,
        tick: 2.0,
        classes: world.class.iter().map(class).collect(),
        plans: world.plan.iter().map(plan).collect(),
        max_units: world.most_units,
        meter_period: world.meter_ms,
        cross_zone_price: world.cross_price,
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
        let mut weights: Vec<f64> = (0..world.customers)
            .map(|rank| 1.0 / (rank as f64 + 1.0).powf(world.zipf))
            .collect();
        let plans = Alias::new(&world.plan.iter().map(|plan| plan.share).collect::<Vec<_>>());
        let plan_of: Vec<usize> = weights.iter().map(|_| plans.draw(&mut dice)).collect();
        let home: Vec<usize> = weights.iter().map(|_| dice.below(world.doors)).collect();
        let mut settings = settings(world);
        let (mut rate, mut groups) = (world.requests_per_second(), Vec::new());
        if !world.demand.is_empty() {
            let shares = Alias::new(
                &world
                    .demand
                    .iter()
                    .map(|demand| demand.share)
                    .collect::<Vec<_>>(),
            );
            let mut within = 0.0;
            for (weight, plan) in weights.iter_mut().zip(&plan_of) {
                let group = shares.draw(&mut dice);
                let part = dice.within(world.demand[group].part);
                *weight = part * world.plan[*plan].rate;
                within += part.min(1.0) * world.plan[*plan].rate;
                groups.push(group);
            }
            let factor = rate * world.units / within.max(1e-9);
            rate = weights.iter().sum::<f64>() * factor / world.units;
            for plan in &mut settings.plans {
                plan.burst = (plan.burst * factor).max(2.0 * world.most_units);
                plan.rate *= factor;
            }
        } else if world.usage > 0.0 {
            // Each plan is as large as its customers' use asks for; its burst keeps its length in time.
            let all: f64 = weights.iter().sum();
            let units = world.requests_per_second() * world.units;
            for (at, plan) in settings.plans.iter_mut().enumerate() {
                let of: Vec<f64> = weights
                    .iter()
                    .zip(&plan_of)
                    .filter(|(_, plan)| **plan == at)
                    .map(|(w, _)| *w)
                    .collect();
                let mean = of.iter().sum::<f64>() / of.len().max(1) as f64 / all * units;
                let span = plan.burst / plan.rate;
                plan.rate = (mean / world.usage).max(1e-3);
                plan.burst = (plan.rate * span).max(2.0 * world.most_units);
            }
        }
        for (plan, spec) in settings.plans.iter_mut().zip(&world.plan) {
            if spec.ceiling > 0.0 {
                let burst = (spec.ceiling * plan.burst).max(4.0 * world.most_units);
                let slack = (0.1 * burst).max(world.most_units);
                plan.ceiling = Some(policy::Ceiling {
                    rate: spec.ceiling * plan.rate,
                    burst,
                    slack,
                });
            }
        }
        let customers = plan_of
            .iter()
            .zip(home)
            .map(|(plan, home)| customer(&settings, *plan, home, 0.0))
            .collect();
        let meter_late = dice.within(world.meter_late_ms);
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
            history: History::default(),
            now: 0.0,
            queue: Queue::default(),
            settings,
            ranks: Alias::new(&weights),
            plans,
            customers,
            rate,
            groups,
            classes: Alias::new(
                &world
                    .class
                    .iter()
                    .map(|class| class.share)
                    .collect::<Vec<_>>(),
            ),
            doors: Vec::new(),
            lives: vec![0; backends.len()],
            backends,
            firsts: Vec::new(),
            tries: BTreeMap::new(),
            attempts: BTreeMap::new(),
            next_try: 0,
            next_attempt: 0,
            apart: None,
            crossings: 0,
            meter_late,
            offered: 0.0,
            offered_by_plan: vec![0.0; world.plan.len()],
            offered_by_demand: vec![(0.0, 0.0); world.demand.len()],
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

    fn policy(&mut self, door: usize) -> Box<dyn Policy> {
        let zone = policy::ZoneId((door % self.world.zones) as u32);
        let (set, seed) = (
            policy::Settings {
                zone,
                ..self.settings.clone()
            },
            self.dice.seed(),
        );
        match self.world.choice {
            Choice::Module => Box::new(policy::Gateway::new(set, seed)),
            choice => Box::new(Plain::new(choice, self.world.admission, set, seed)),
        }
    }

    fn begin(&mut self) {
        let entries: BTreeMap<usize, BackendEntry> = (0..self.backends.len())
            .map(|at| (at, self.entry(at, None)))
            .collect();
        self.history
            .push(&entries.values().copied().collect::<Vec<_>>());
        for door in 0..self.world.doors {
            let policy = self.policy(door);
            let list = entries.clone();
            let (told, connected) = (BTreeMap::new(), BTreeMap::new());
            let agent = self
                .world
                .agents
                .then(|| Beside::new(&self.history, door as u64, 0.0));
            self.doors.push(Door {
                policy,
                life: 0,
                up: true,
                told,
                told_until: 1,
                agent,
                follow_at: f64::INFINITY,
                stopping: false,
                behind_ms: 0.0,
                list,
                connected,
            });
            self.wait_for_agent(door);
        }
        for door in 0..self.doors.len() {
            let list = self.doors[door].list.values().copied().collect();
            self.tell(door, Event::Backends(policy::ListKind::Full, list));
        }
        self.queue.push(0.0, Happens::Ask);
        for (customer, group) in self.groups.clone().into_iter().enumerate() {
            let demand = &self.world.demand[group];
            if demand.spike > 0.0 {
                let at = self.dice.within([0.0, demand.every_s * 1000.0]);
                self.queue.push(at, Happens::Spike(customer));
            }
        }
        for (at, trouble) in self.world.trouble.iter().enumerate() {
            self.queue
                .push(trouble.at_s() * 1000.0, Happens::Trouble(at));
        }
        self.outcome.over_by_plan = vec![0.0; self.world.plan.len()];
        self.outcome.worth_by_plan = vec![0.0; self.world.plan.len()];
        self.outcome.worth_by_demand = vec![0.0; self.world.demand.len()];
        self.outcome.beyond_by_demand = vec![0.0; self.world.demand.len()];
        self.outcome.by_second = vec![0.0; self.world.seconds.ceil() as usize];
    }

    fn go(&mut self) {
        while let Some((at, event)) = self.queue.pop() {
            self.now = at;
            self.outcome.events += 1;
            match event {
                Happens::Ask => self.ask(),
                Happens::Again {
                    first,
                    number,
                    door,
                } => self.begin_try(first, number, door),
                Happens::Come(id) => self.come(id),
                Happens::GiveUp(id) => self.give_up(id),
                Happens::Reach(attempt) => self.reach(attempt),
                Happens::Done {
                    backend,
                    life,
                    attempt,
                } => self.done(backend, life, attempt),
                Happens::Reply(attempt, outcome) => self.settle(attempt, outcome),
                Happens::Limit(attempt) => self.settle(attempt, policy::Outcome::Timeout),
                Happens::Alarm { door, life, alarm } => {
                    if self.doors[door].up && self.doors[door].life == life {
                        self.tell(door, Event::Alarm(alarm));
                    }
                }
                Happens::Hear { door, entries } => self.hear(door, entries),
                Happens::Learn { door, at, version } => self.learn(door, at, version),
                Happens::Told { door, version } => self.count_as_told(door, version),
                Happens::Follow { door, at } => {
                    // Of several for one door the one that was set last counts.
                    if self.doors[door].follow_at == at {
                        self.doors[door].follow_at = f64::INFINITY;
                        self.follow(door);
                    }
                }
                Happens::Moved {
                    door,
                    close_ms,
                    behind_ms,
                } => self.agent_moves(door, close_ms, behind_ms),
                Happens::Stop {
                    door,
                    stop_ms,
                    down_ms,
                } => {
                    if self.doors[door].up && !self.doors[door].stopping {
                        self.doors[door].stopping = true;
                        self.queue
                            .push(self.now + stop_ms, Happens::Stopped { door, down_ms });
                    }
                }
                Happens::Stopped { door, down_ms } => {
                    if self.doors[door].stopping {
                        self.goes_down(door);
                        self.queue.push(self.now + down_ms, Happens::Back(door));
                    }
                }
                Happens::Trouble(at) => self.trouble(at),
                Happens::Back(door) => self.back(door),
                Happens::Drain(backend) => self.drain(backend),
                Happens::End(backend) => self.end(backend),
                Happens::Speed(backend, factor) => self.backends[backend].speed *= factor,
                Happens::Flood {
                    customer,
                    pause,
                    until,
                } => {
                    if self.now < until {
                        let next = self.now + self.dice.exponential(pause);
                        self.queue.push(
                            next,
                            Happens::Flood {
                                customer,
                                pause,
                                until,
                            },
                        );
                        self.ask_for(customer);
                    } else {
                        self.customers[customer].through = 0;
                    }
                }
                Happens::Spike(customer) => self.spike(customer),
                Happens::OneShot { pause, until } => {
                    if self.now < until {
                        let next = self.now + self.dice.exponential(pause);
                        self.queue.push(next, Happens::OneShot { pause, until });
                        let plan = self.plans.draw(&mut self.dice);
                        let home = self.dice.below(self.world.doors);
                        let one = customer(&self.settings, plan, home, self.now);
                        self.customers.push(one);
                        self.ask_for(self.customers.len() - 1);
                    }
                }
                Happens::Heal => self.apart = None,
                Happens::Revive(backends) => self.revive(backends),
            }
        }
    }

    fn delay(&mut self) -> f64 {
        self.dice.within(self.world.delay_ms)
    }

    /// One way between a door and a backend.
    fn way(&mut self, door: usize, backend: usize) -> f64 {
        let cross = self.crosses(door, backend);
        self.delay()
            + if cross {
                self.dice.within(self.world.cross_ms)
            } else {
                0.0
            }
    }

    fn crosses(&self, door: usize, backend: usize) -> bool {
        door % self.world.zones != backend % self.world.zones
    }

    fn cut(&self, door: usize, backend: usize) -> bool {
        self.apart
            .as_ref()
            .is_some_and(|(doors, backends)| doors.contains(&door) && backends.contains(&backend))
    }

    // ---- Clients ------------------------------------------------------------------------------------

    fn ask(&mut self) {
        let end = self.world.seconds * 1000.0;
        if self.now >= end {
            return;
        }
        let pause = self.dice.exponential(1000.0 / self.rate);
        self.queue.push(self.now + pause, Happens::Ask);
        let customer = self.ranks.draw(&mut self.dice);
        self.ask_for(customer);
    }

    fn spike(&mut self, customer: usize) {
        let demand = self.world.demand[self.groups[customer]].clone();
        let rate = self.settings.plans[self.customers[customer].plan].rate;
        let pause = 1000.0 * self.world.units / (rate * demand.spike).max(1e-9);
        let end = self.world.seconds * 1000.0;
        let until = (self.now + demand.spike_s * 1000.0).min(end);
        self.queue.push(
            self.now + self.dice.exponential(pause),
            Happens::Flood {
                customer,
                pause,
                until,
            },
        );
        let next = self.now + demand.every_s * 1000.0 * self.dice.within([0.7, 1.3]);
        if next < end {
            self.queue.push(next, Happens::Spike(customer));
        }
    }

    /// A first try of a customer.
    fn ask_for(&mut self, customer: usize) {
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
        let true_units = units;
        if self.world.guess_cv > 0.0 {
            units = self
                .dice
                .log_normal(units, self.world.guess_cv)
                .round()
                .clamp(1.0, self.world.most_units);
        }
        let now = self.now;
        let plan = &self.settings.plans[self.customers[customer].plan];
        let ideal = &mut self.customers[customer].ideal;
        if ideal.holds(now, plan.rate, plan.burst, units) {
            ideal.left = (ideal.left - true_units).min(plan.burst);
            self.offered += spec.worth * plan.price * true_units;
            self.offered_by_plan[self.customers[customer].plan] +=
                spec.worth * plan.price * true_units;
            if let Some(group) = self.groups.get(customer) {
                self.offered_by_demand[*group].0 += spec.worth * plan.price * true_units;
                self.offered_by_demand[*group].1 += true_units;
            }
            self.offered_units += true_units;
        }
        self.outcome.first_tries += 1;
        let one = First {
            asked: now,
            customer,
            class,
            units,
            true_units,
            work,
            served: false,
            let_in: false,
        };
        self.firsts.push(one);
        self.begin_try(self.firsts.len() - 1, 0, None);
    }

    /// The door that a request of a customer comes to: the busiest of its set at present, or another.
    fn door_for(&mut self, customer: usize, kept: Option<usize>) -> Option<usize> {
        let (spread, doors, now) = (self.spread(customer), self.doors.len(), self.now);
        let shifts = self.world.shift_s[1] > 0.0 && self.world.uneven > 0.0;
        if self.world.uneven > 0.0 && now >= self.customers[customer].until {
            let busiest = self.dice.below(spread);
            let lasts = if shifts {
                self.dice.within(self.world.shift_s) * 1000.0
            } else {
                f64::INFINITY
            };
            let one = &mut self.customers[customer];
            (one.busiest, one.until) = (busiest, now + lasts.max(1.0));
        }
        let (home, busiest, through) = {
            let one = &self.customers[customer];
            (one.home, one.busiest, one.through)
        };
        let from = if through > 0 {
            self.dice.below(through.min(spread))
        } else if self.world.uneven > 0.0 && self.dice.one() < self.world.uneven {
            busiest
        } else {
            self.dice.below(spread)
        };
        // A door that is down takes nothing; its clients find another one of the customer's set.
        let set = (0..spread).map(|at| (home + (from + at) % spread) % doors);
        kept.into_iter()
            .chain(set)
            .find(|door| self.doors[*door].up && !self.doors[*door].stopping)
    }

    fn begin_try(&mut self, first: usize, number: u32, kept: Option<usize>) {
        let one = self.firsts[first].clone();
        let class = &self.world.class[one.class];
        let last = one.asked + class.give_up_ms;
        if self.now >= last {
            return;
        }
        let Some(door) = self.door_for(one.customer, kept) else {
            return self.come_back(first, number, None, None);
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

    /// Doors that a customer's requests come through. Where its plan has a ceiling no more than hold two of the largest requests
    /// each: else these could go through none of them.
    fn spread(&self, customer: usize) -> usize {
        let most = match self.world.spread {
            0 => self.doors.len(),
            spread => spread.min(self.doors.len()),
        };
        let ceiling = self.settings.plans[self.customers[customer].plan].ceiling;
        let fits = ceiling.map_or(usize::MAX, |c| {
            (c.burst / (2.0 * self.world.most_units)) as usize
        });
        most.min(fits.max(2)).min(self.doors.len())
    }

    /// A client whose try was turned away tries again, if it has tries and time left.
    fn come_back(&mut self, first: usize, number: u32, advised: Option<f64>, door: Option<usize>) {
        if number < self.world.retries {
            let follows = self.world.honour >= 1.0 || self.dice.one() < self.world.honour;
            let advised = advised.filter(|_| follows);
            let wait = advised.unwrap_or_else(|| self.dice.within(self.world.backoff_ms));
            let keeps = self.world.sticky > 0.0 && self.dice.one() < self.world.sticky;
            let again = Happens::Again {
                first,
                number: number + 1,
                door: door.filter(|_| keeps),
            };
            self.queue.push(self.now + wait, again);
        }
    }

    fn come(&mut self, id: u32) {
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
    fn by_truth(&mut self, id: u32, door: usize, first: &First) {
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

    /// A door was killed with a try in hand: its client notices and tries again.
    fn lose(&mut self, id: u32) {
        let Some(one) = self.tries.get_mut(&id).filter(|one| !one.answered) else {
            return;
        };
        one.answered = true;
        let (first, number) = (one.first, one.number);
        self.outcome.lost += 1;
        self.tries.remove(&id);
        self.come_back(first, number, None, None);
    }

    fn give_up(&mut self, id: u32) {
        let Some(one) = self.tries.get_mut(&id) else {
            return;
        };
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
        if self
            .tries
            .get(&id)
            .is_some_and(|one| one.answered && one.out.is_none())
        {
            self.tries.remove(&id);
        }
    }

    fn answer(
        &mut self,
        id: u32,
        served: bool,
        advised: Option<f64>,
        refused: Option<policy::Reason>,
    ) {
        let Some(one) = self.tries.get_mut(&id) else {
            return;
        };
        if one.answered {
            self.outcome.doubled += 1;
            return;
        }
        one.answered = true;
        let (first, number, inside, door) = (one.first, one.number, one.inside, one.door);
        if served {
            self.outcome.served += 1;
            let took = self.now - self.firsts[first].asked;
            self.times.add(took);
            let one = &mut self.firsts[first];
            let spec = &self.world.class[one.class];
            if inside && !one.served && took <= spec.aim_ms {
                let price = self.settings.plans[self.customers[one.customer].plan].price;
                let worth = spec.worth * price * one.true_units;
                self.gained += worth;
                self.outcome.worth_by_plan[self.customers[one.customer].plan] += worth;
                if let Some(group) = self.groups.get(one.customer) {
                    self.outcome.worth_by_demand[*group] += worth;
                }
                if let Some(second) = self
                    .outcome
                    .by_second
                    .get_mut((one.asked / 1000.0) as usize)
                {
                    *second += worth;
                }
            }
            one.served = true;
        } else if let Some(reason) = refused {
            self.outcome.refused += 1;
            *self.outcome.refusals.entry(reason.name()).or_default() += 1;
            let (customer, units) = (self.firsts[first].customer, self.firsts[first].units);
            if self.holds(customer, units) {
                *self
                    .outcome
                    .refused_with_room
                    .entry(reason.name())
                    .or_default() += 1;
            }
            self.come_back(first, number, advised, Some(door));
        } else {
            self.outcome.failed += 1;
        }
        self.forget(id);
    }

    // ---- Doors --------------------------------------------------------------------------------------

    fn tell(&mut self, door: usize, event: Event) {
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

    fn carry_out(&mut self, door: usize, action: Action) {
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

    fn send(&mut self, door: usize, id: u32, backend: usize, limit: Option<f64>) {
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
    fn settle(&mut self, attempt: u64, outcome: policy::Outcome) {
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

    fn hear(&mut self, door: usize, entries: Vec<BackendEntry>) {
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

    // ---- Agents -------------------------------------------------------------------------------------

    fn goes_down(&mut self, door: usize) {
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

    fn learn(&mut self, door: usize, at: usize, version: u64) {
        let now = self.now;
        let Some(agent) = &mut self.doors[door].agent else {
            return;
        };
        agent.learn(at, version);
        if at == agent.place() {
            // What an agent has counts as told; while it is silent, once it speaks or some seconds later.
            let told = agent.counts_as_told(now);
            self.queue.push(told, Happens::Told { door, version });
        }
        self.wait_for_agent(door);
    }

    /// From now on a door is held to all stops up to this version; a version in which a backend is up again takes its stop back.
    fn count_as_told(&mut self, door: usize, version: u64) {
        let now = self.now;
        for version in self.doors[door].told_until + 1..=version {
            for entry in self.history.change(version) {
                let at = entry.id.0 as usize;
                if entry.availability == policy::Availability::Ready {
                    self.doors[door].told.remove(&at);
                } else {
                    self.doors[door].told.entry(at).or_insert((now, version));
                }
            }
        }
        self.doors[door].told_until = self.doors[door].told_until.max(version);
    }

    fn agent_moves(&mut self, door: usize, close_ms: f64, behind_ms: f64) {
        let now = self.now;
        let up = self.doors[door].up;
        self.doors[door].behind_ms = behind_ms;
        let Some(agent) = &mut self.doors[door].agent else {
            return;
        };
        // It has what was known so long ago, and hears of the rest as late as of all that comes.
        let had = agent.version();
        let behind = had.saturating_sub((behind_ms / 100.0) as u64).max(1);
        agent.moved(now, behind, close_ms);
        let entries = if up {
            agent.told_of_move(now)
        } else {
            Vec::new()
        };
        for version in behind + 1..=had {
            let at = now + behind_ms * (version - behind) as f64 / (had - behind) as f64;
            self.queue.push(
                at,
                Happens::Learn {
                    door,
                    at: 1,
                    version,
                },
            );
        }
        self.list_heard(door, entries);
        self.wait_for_agent(door);
    }

    /// Lets a door and its agent go on.
    fn follow(&mut self, door: usize) {
        if self.doors[door].up {
            let (now, history) = (self.now, std::mem::take(&mut self.history));
            let entries = match &mut self.doors[door].agent {
                Some(agent) => agent.go_on(now, &history),
                None => Vec::new(),
            };
            self.history = history;
            self.list_heard(door, entries);
        }
        self.wait_for_agent(door);
    }

    fn wait_for_agent(&mut self, door: usize) {
        let now = self.now;
        let held = &mut self.doors[door];
        let due = held
            .agent
            .as_ref()
            .filter(|_| held.up)
            .and_then(|agent| agent.next_due(now));
        // Heartbeats alone would go on for ever: they end once the last request that the world draws must be over.
        let end = self.world.seconds * 1000.0 + AFTER;
        if let Some(at) = due.filter(|at| *at < held.follow_at && *at <= end) {
            held.follow_at = at;
            self.queue.push(at, Happens::Follow { door, at });
        }
    }

    /// What came out of a door's roster.
    fn list_heard(&mut self, door: usize, entries: Vec<BackendEntry>) {
        if entries.is_empty() {
            return;
        }
        for entry in &entries {
            let at = entry.id.0 as usize;
            if entry.availability == policy::Availability::Gone {
                self.doors[door].list.remove(&at);
            } else {
                self.doors[door].list.insert(at, *entry);
            }
        }
        self.tell(door, Event::Backends(policy::ListKind::Changes, entries));
    }

    // ---- Backends -----------------------------------------------------------------------------------

    /// Counts time by requests in backends, for Little's law.
    fn hold(&mut self, change: isize) {
        self.held += self.holding as f64 * (self.now - self.held_at);
        self.held_at = self.now;
        self.holding = self.holding.saturating_add_signed(change);
    }

    fn reach(&mut self, attempt: u64) {
        let Some(one) = self.attempts.get(&attempt).cloned() else {
            return;
        };
        let now = self.now;
        if self.cut(one.door, one.backend) {
            // Nothing comes of it: its door waits until its limit.
            return self.leave(attempt);
        }
        let delay = self.way(one.door, one.backend);
        let first = &self.firsts[one.first];
        let backend = &mut self.backends[one.backend];
        if !backend.up {
            self.outcome.dead += 1;
            self.leave(attempt);
            self.queue.push(
                now + delay,
                Happens::Reply(attempt, policy::Outcome::ConnectFailed),
            );
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
        match backend.take(
            Job {
                attempt,
                work,
                came: now,
            },
            now,
        ) {
            Taken::Begun(until) => {
                let life = self.lives[one.backend];
                self.queue.push(
                    until,
                    Happens::Done {
                        backend: one.backend,
                        life,
                        attempt,
                    },
                );
                self.waits.1 += 1;
                self.sojourn.0 += until - now;
                self.sojourn.1 += 1;
                self.hold(1);
            }
            Taken::Waits => self.hold(1),
            Taken::Full => {
                self.leave(attempt);
                self.queue
                    .push(now + delay, Happens::Reply(attempt, policy::Outcome::Full));
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
            let delay = self.way(one.door, one.backend);
            if !self.cut(one.door, one.backend) {
                self.queue.push(
                    self.now + delay,
                    Happens::Reply(attempt, policy::Outcome::Ok),
                );
            }
        }
        let now = self.now;
        if let Some((job, until)) = self.backends[backend].next(now) {
            self.waits.0 += now - job.came;
            self.waits.1 += 1;
            self.sojourn.0 += until - job.came;
            self.sojourn.1 += 1;
            self.queue.push(
                until,
                Happens::Done {
                    backend,
                    life,
                    attempt: job.attempt,
                },
            );
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
            self.queue.push(
                self.now + delay,
                Happens::Reply(attempt, policy::Outcome::Reset),
            );
        }
    }

    // ---- Troubles -----------------------------------------------------------------------------------

    fn some(&mut self, count: usize, part: f64) -> Vec<usize> {
        self.some_of(count, (part * count as f64).ceil() as usize)
    }

    fn some_of(&mut self, count: usize, many: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..count).collect();
        (0..many.min(count))
            .map(|_| all.swap_remove(self.dice.below(all.len())))
            .collect()
    }

    fn trouble(&mut self, at: usize) {
        match self.world.trouble[at].clone() {
            Trouble::RestartDoors { part, down_ms, .. } => {
                for door in self.some(self.doors.len(), part) {
                    // One that is down already, or has a time to come back at, is passed over.
                    if !self.doors[door].up || self.doors[door].stopping {
                        continue;
                    }
                    self.goes_down(door);
                    let down = self.dice.within(down_ms);
                    self.queue.push(self.now + down, Happens::Back(door));
                }
            }
            Trouble::RollDoors {
                over_s,
                stop_ms,
                down_ms,
                ..
            } => {
                for door in 0..self.doors.len() {
                    let when = self.now + self.dice.within([0.0, over_s * 1000.0]);
                    let down_ms = self.dice.within(down_ms);
                    self.queue.push(
                        when,
                        Happens::Stop {
                            door,
                            stop_ms,
                            down_ms,
                        },
                    );
                }
            }
            Trouble::MoveAgents {
                over_s,
                close_ms,
                behind_ms,
                ..
            } => {
                for door in 0..self.doors.len() {
                    let when = self.now + self.dice.within([0.0, over_s * 1000.0]);
                    let behind_ms = self.dice.within(behind_ms);
                    self.queue.push(
                        when,
                        Happens::Moved {
                            door,
                            close_ms,
                            behind_ms,
                        },
                    );
                }
            }
            Trouble::SilenceAgents {
                for_s, part, dead, ..
            } => {
                let (now, until) = (self.now, self.now + for_s * 1000.0);
                for door in self.some(self.doors.len(), part) {
                    if let Some(agent) = &mut self.doors[door].agent {
                        agent.silence(now, until, dead);
                    }
                    self.wait_for_agent(door);
                }
            }
            Trouble::ReplaceBackends { part, over_s, .. } => {
                let up: Vec<usize> = (0..self.backends.len())
                    .filter(|at| self.backends[*at].up)
                    .collect();
                for at in self.some(up.len(), part) {
                    let when = self.now + self.dice.within([0.0, over_s * 1000.0]);
                    self.queue.push(when, Happens::Drain(up[at]));
                }
            }
            Trouble::SlowBackends {
                part, speed, for_s, ..
            } => {
                for backend in self.some(self.backends.len(), part) {
                    self.backends[backend].speed *= speed;
                    self.queue.push(
                        self.now + for_s * 1000.0,
                        Happens::Speed(backend, 1.0 / speed),
                    );
                }
            }
            Trouble::Flood {
                for_s,
                customers,
                times,
                through,
                ..
            } => {
                let until = self.now + for_s * 1000.0;
                for customer in self.some_of(self.world.customers, customers) {
                    let rate = self.settings.plans[self.customers[customer].plan].rate;
                    let pause = 1000.0 * self.world.units / (rate * times).max(1e-9);
                    self.customers[customer].through = through;
                    let next = self.now + self.dice.exponential(pause);
                    self.queue.push(
                        next,
                        Happens::Flood {
                            customer,
                            pause,
                            until,
                        },
                    );
                }
            }
            Trouble::OneShots { for_s, share, .. } => {
                let pause = 1000.0 / (share * self.rate).max(1e-9);
                let until = self.now + for_s * 1000.0;
                self.queue
                    .push(self.now + pause, Happens::OneShot { pause, until });
            }
            Trouble::Partition {
                for_s,
                doors,
                backends,
                ..
            } => {
                let doors = self.some(self.doors.len(), doors).into_iter().collect();
                let backends = self
                    .some(self.backends.len(), backends)
                    .into_iter()
                    .collect();
                self.apart = Some((doors, backends));
                self.queue.push(self.now + for_s * 1000.0, Happens::Heal);
            }
            Trouble::LoseZone { for_s, zone, .. } => {
                let lost: Vec<usize> = (0..self.backends.len())
                    .filter(|at| at % self.world.zones == zone && self.backends[*at].up)
                    .collect();
                for backend in &lost {
                    self.die(*backend);
                    let gone = BackendEntry {
                        availability: policy::Availability::Gone,
                        ..self.entry(*backend, None)
                    };
                    self.spread_news(&[gone]);
                }
                self.queue
                    .push(self.now + for_s * 1000.0, Happens::Revive(lost));
            }
        }
    }

    fn revive(&mut self, backends: Vec<usize>) {
        for at in backends {
            let old = &self.backends[at];
            self.backends[at] = Backend::new(old.shape, old.speed, Some(self.now));
            let back = self.entry(at, Some(self.now));
            self.spread_news(&[back]);
        }
    }

    fn back(&mut self, door: usize) {
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

    fn spread_news(&mut self, entries: &[BackendEntry]) {
        let version = self.history.push(entries);
        for door in 0..self.doors.len() {
            let late = self.dice.within(self.world.notice_ms);
            if self.doors[door].agent.is_some() {
                self.queue.push(
                    self.now + late,
                    Happens::Learn {
                        door,
                        at: 0,
                        version,
                    },
                );
                let late = late + self.doors[door].behind_ms;
                self.queue.push(
                    self.now + late,
                    Happens::Learn {
                        door,
                        at: 1,
                        version,
                    },
                );
                continue;
            }
            self.queue.push(
                self.now + late,
                Happens::Hear {
                    door,
                    entries: entries.to_vec(),
                },
            );
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
            ..self.entry(backend, None)
        }]);
        self.queue
            .push(self.now + drain_ms.unwrap_or(0.0), Happens::End(backend));
    }

    /// A backend ends, and a cold one comes in its stead under a new number.
    fn end(&mut self, backend: usize) {
        self.die(backend);
        let gone = BackendEntry {
            availability: policy::Availability::Gone,
            ..self.entry(backend, None)
        };
        self.spread_news(&[gone]);
        let speed = self.dice.log_normal(1.0, self.world.speed_cv);
        let shape = self.backends[backend].shape;
        self.backends
            .push(Backend::new(shape, speed, Some(self.now)));
        self.lives.push(0);
        let fresh = self.entry(self.backends.len() - 1, Some(self.now));
        self.spread_news(&[fresh]);
    }

    fn entry(&self, backend: usize, started: Option<f64>) -> BackendEntry {
        BackendEntry {
            id: BackendId(backend as u32),
            zone: policy::ZoneId((backend % self.world.zones) as u32),
            cell: policy::CellId(0),
            availability: policy::Availability::Ready,
            started,
            size: 1.0,
        }
    }

    /// Whether a customer's quota really holds so many units now, and covers one more attempt.
    fn holds(&mut self, customer: usize, units: f64) -> bool {
        let one = &mut self.customers[customer];
        let plan = &self.settings.plans[one.plan];
        let fits = plan.max_open == 0 || one.open < plan.max_open;
        one.store.holds(self.now, plan.rate, plan.burst, units) && fits
    }

    /// What the meter says: use in the last period that it has added up, as a part of the rate.
    fn use_of_quota(&mut self, customer: usize) -> Option<f64> {
        let period = self.world.meter_ms;
        if period <= 0.0 || self.now < period + self.meter_late {
            return None;
        }
        let (now, told) = (
            (self.now / period) as u64,
            ((self.now - self.meter_late) / period) as u64 - 1,
        );
        let one = &mut self.customers[customer];
        one.turn(now);
        let used = one.metered.1.get((now - told) as usize)?;
        Some(used / (self.settings.plans[one.plan].rate * period / 1000.0))
    }

    fn close(mut self, seed: u64) -> Outcome {
        let mut outcome = std::mem::take(&mut self.outcome);
        (outcome.world, outcome.seed) = (self.world.name.clone(), seed);
        let part = |of: f64, all: f64| if all > 0.0 { of / all } else { 0.0 };
        outcome.worth = part(self.gained, self.offered);
        outcome.over = part(outcome.over_by_plan.iter().sum(), self.offered);
        for (over, offered) in outcome.over_by_plan.iter_mut().zip(&self.offered_by_plan) {
            *over = part(*over, *offered);
        }
        for (gained, offered) in outcome.worth_by_plan.iter_mut().zip(&self.offered_by_plan) {
            *gained = part(*gained, *offered);
        }
        for (at, (worth, units)) in self.offered_by_demand.iter().enumerate() {
            outcome.worth_by_demand[at] = part(outcome.worth_by_demand[at], *worth);
            outcome.beyond_by_demand[at] = part(outcome.beyond_by_demand[at], *units);
        }
        outcome.beyond = part(self.beyond, self.offered_units);
        outcome.late = self
            .firsts
            .iter()
            .filter(|one| one.let_in && !one.served)
            .count() as u64;
        outcome.crossings = part(self.crossings as f64, self.sent as f64);
        outcome.attempts = part(self.sent as f64, outcome.first_tries as f64);
        outcome.handshakes = part(self.handshakes as f64, self.sent as f64);
        (outcome.p50_ms, outcome.p99_ms) = (self.times.quantile(0.5), self.times.quantile(0.99));
        outcome.wait_ms = part(self.waits.0, self.waits.1 as f64);
        outcome.sojourn_ms = part(self.sojourn.0, self.sojourn.1 as f64);
        outcome.in_backends = part(self.held, self.held_at);
        let loads: Vec<f64> = self
            .backends
            .iter()
            .map(|backend| backend.work / backend.speed)
            .collect();
        let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
        outcome.most_loaded = part(
            loads.iter().fold(0.0, |most: f64, one| most.max(*one)),
            mean,
        );
        outcome.least_loaded = part(
            loads
                .iter()
                .fold(f64::INFINITY, |least: f64, one| least.min(*one)),
            mean,
        );
        outcome
    }
}

/// A customer with full stores.
fn customer(settings: &policy::Settings, plan: usize, home: usize, now: f64) -> Customer {
    let (burst, ceiling) = (settings.plans[plan].burst, settings.plans[plan].ceiling);
    Customer {
        plan,
        home,
        busiest: 0,
        until: 0.0,
        through: 0,
        store: Store::full(burst, now),
        ideal: Store::full(burst, now),
        ceiling: Store::full(ceiling.map_or(0.0, |ceiling| ceiling.burst), now),
        open: 0,
        metered: (0, [0.0; 4]),
    }
}

impl Customer {
    /// Counts units that were sent on in a period.
    fn meter(&mut self, period: u64, units: f64) {
        self.turn(period);
        self.metered.1[0] += units;
    }

    /// Moves the counts on to a period; the first is that period's, the next are those before it.
    fn turn(&mut self, period: u64) {
        let (now, counts) = &mut self.metered;
        let on = (period.saturating_sub(*now) as usize).min(counts.len());
        counts.rotate_right(on);
        counts[..on].fill(0.0);
        *now = period.max(*now);
    }
}
