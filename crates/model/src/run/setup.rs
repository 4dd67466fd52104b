//! How a run starts.

use super::customer::customer;
use super::event::Happens;
use super::proxy::Door;
use super::Run;
use crate::agents::{Beside, History};
use crate::backend::{Backend, Shape};
use crate::chance::{Alias, Dice};
use crate::door::{Plain, Policy};
use crate::metrics::{Outcome, Times};
use crate::queue::Queue;
use crate::world::{Choice, World};
use maplefall_policy as policy;
use maplefall_policy::{BackendEntry, Effect, Event};
use std::collections::BTreeMap;

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
    pub(super) fn new(world: &'a World, seed: u64) -> Run<'a> {
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

    pub(super) fn policy(&mut self, door: usize) -> Box<dyn Policy> {
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

    pub(super) fn begin(&mut self) {
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
}
