//! One run: the world's clock, the network, clients and troubles round the doors.

mod backends;
mod clients;
mod customer;
mod discovery;
mod event;
mod faults;
mod network;
mod proxy;
mod request;
mod results;
mod setup;

use crate::agents::History;
use crate::backend::Backend;
use crate::chance::{Alias, Dice};
use crate::metrics::{Outcome, Times};
use crate::queue::Queue;
use crate::world::World;
use customer::{customer, Customer};
use event::Happens;
use maplefall_policy as policy;
use maplefall_policy::{Action, Event};
use proxy::Door;
use request::{Attempt, First, Try};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// How long after the last first try agents are followed, in milliseconds: longer than any client waits with its tries.
const AFTER: f64 = 20_000.0;

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

impl Run<'_> {
    pub(super) fn go(&mut self) {
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
}
