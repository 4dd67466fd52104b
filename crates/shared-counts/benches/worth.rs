//! What shared counts are worth: the same traffic through the decision module of every door, with news of the others by gossip,
//! without any, and with news that is always new. `cargo bench -p maplefall-shared-counts --bench worth`; some seconds.
//!
//! Backends serve everything, so what is refused is refused for quotas alone. A store for each customer that sees all doors
//! tells which refusals and which uses were right.

#[path = "../tests/simulation/mod.rs"]
mod simulation;

use maplefall_policy::*;
use maplefall_shared_counts::Settings as Sharing;
use simulation::*;
use std::collections::BTreeMap;

const CUSTOMERS: usize = 60;
const SECONDS: f64 = 40.0;

#[derive(Clone, Copy, PartialEq)]
enum Mode {
    Without,
    Gossip,
    Perfect,
}

#[derive(Default)]
struct Sum {
    /// Units that one door which sees all would let in, those let in here within quotas, and those beyond.
    sold: f64,
    within: f64,
    beyond: f64,
}

#[derive(Clone, Copy)]
struct Store {
    left: f64,
    t: f64,
}

impl Store {
    /// Whether it holds so many units now.
    fn holds(&mut self, now: f64, plan: &Plan, units: f64) -> bool {
        self.left = (self.left + plan.rate * (now - self.t) / 1000.0).min(plan.burst);
        self.t = now;
        self.left >= units
    }
}

fn main() {
    println!(
        "of what one door that sees all would let in: doors, loss, news, refused %, let in beyond quotas %"
    );
    for (doors, loss) in [(4, 0.01), (20, 0.01), (20, 0.3), (100, 0.01)] {
        for (name, mode) in [
            ("without", Mode::Without),
            ("gossip", Mode::Gossip),
            ("perfect", Mode::Perfect),
        ] {
            let mut rows = Vec::new();
            for seed in 0..2 {
                let sum = play(doors, loss, mode, seed);
                rows.push((
                    100.0 * (1.0 - sum.within / sum.sold),
                    100.0 * sum.beyond / sum.sold,
                ));
            }
            let show = |of: fn(&(f64, f64)) -> f64| {
                let list: Vec<f64> = rows.iter().map(of).collect();
                let mean = list.iter().sum::<f64>() / list.len() as f64;
                let span = list
                    .iter()
                    .fold(0.0f64, |most, one| most.max((one - mean).abs()));
                format!("{mean:.1} +-{span:.1}")
            };
            println!(
                "{doors:>5} {loss:>5} {name:>8} {:>14} {:>14}",
                show(|row| row.0),
                show(|row| row.1)
            );
        }
    }
}

fn plan_of(customer: usize) -> usize {
    customer % 3
}

/// How much of its quota a customer asks for: most well under it, some all, some several times.
fn demand(customer: usize) -> f64 {
    match customer % 10 {
        0..=5 => 0.35,
        6..=7 => 0.95,
        _ => 3.0,
    }
}

fn play(doors: usize, loss: f64, mode: Mode, seed: u64) -> Sum {
    let class = Class {
        aim: 600.0,
        deadline: 2500.0,
        effect: Effect::Safe,
        ..Class::default()
    };
    let plan = |rate: f64, span: f64| Plan {
        rate,
        burst: rate * span,
        ..Plan::default()
    };
    let plans = vec![plan(2.0, 5.0), plan(10.0, 2.0), plan(30.0, 2.0)];
    let set = Settings {
        gateways: doors as u32,
        tick: 2.0,
        classes: vec![class],
        plans: plans.clone(),
        max_units: 8.0,
        max_attempts: 3,
        ..Settings::default()
    };
    let link = Link {
        loss,
        duplicated: 0.0,
        delay: (0.5, 20.0),
    };
    let sharing = Sharing {
        most_members: 1024,
        ..Sharing::usual("quito", vec![7; 32])
    };
    let mut simulation = Simulation::new(doors, sharing, link, seed);
    if mode == Mode::Gossip {
        simulation.run_until_met(120_000.0);
    }
    let start = simulation.now;
    let entry = |id| BackendEntry {
        id: BackendId(id),
        zone: ZoneId(0),
        cell: CellId(0),
        availability: Availability::Ready,
        started: None,
        size: 1.0,
    };
    let list: Vec<BackendEntry> = (0..10).map(entry).collect();
    let mut actions = Vec::new();
    let mut gateways: Vec<Gateway> = (0..doors)
        .map(|at| {
            let mut gateway = Gateway::new(set.clone(), seed * 1000 + at as u64);
            gateway.handle(
                simulation.clock(at),
                Event::Backends(ListKind::Full, list.clone()),
                &mut actions,
            );
            gateway
        })
        .collect();
    let mut stores: Vec<Store> = (0..CUSTOMERS)
        .map(|c| Store {
            left: plans[plan_of(c)].burst,
            t: start,
        })
        .collect();
    let mut oracle = stores.clone();
    // Answers that are due: a request's door, number and backend.
    let mut due: BTreeMap<(u64, u32), (usize, BackendId)> = BTreeMap::new();
    let (mut sum, mut number) = (Sum::default(), 0u32);
    while simulation.now - start < SECONDS * 1000.0 {
        simulation.run(10.0);
        if mode == Mode::Gossip {
            for (door, gateway) in gateways.iter_mut().enumerate() {
                let now = simulation.clock(door);
                while let Some((customer, fact)) = simulation.node(door).poll_fact(now) {
                    let heard = simulation.node(door).news(now).1 as f64 / doors as f64;
                    let (units, as_of, error) = (fact.units, fact.as_of, fact.error);
                    let (whose, plan) = (CustomerId(customer), PlanId(plan_of(customer as usize)));
                    let told = Elsewhere {
                        customer: whose,
                        plan,
                        units,
                        as_of,
                        error,
                        heard,
                    };
                    gateway.handle(now, Event::Elsewhere(told), &mut actions);
                }
            }
        }
        while let Some((&(at, id), _)) = due
            .first_key_value()
            .filter(|((at, _), _)| *at as f64 <= simulation.now)
        {
            let (door, backend) = due.remove(&(at, id)).expect("it was there");
            let settled = Settled {
                request: RequestId(id),
                attempt: 0,
                backend,
                outcome: Outcome::Ok,
                elapsed: 80.0,
                closed: true,
                use_of_quota: None,
                true_units: None,
                report: Report::default(),
                broken: 0,
            };
            gateways[door].handle(
                simulation.clock(door),
                Event::Settled(settled),
                &mut actions,
            );
            actions.clear();
        }
        for customer in 0..CUSTOMERS {
            let plan = &plans[plan_of(customer)];
            // Requests of 3 units on average, drawn for each hundredth of a second.
            let rate = plan.rate * demand(customer) / 3.0;
            if uniform(&mut simulation.rng) >= rate * 0.01 {
                continue;
            }
            let units = 1.0 + (5.0 * uniform(&mut simulation.rng)).floor();
            // A few doors are busier than the others.
            let door = (uniform(&mut simulation.rng).powf(1.5) * doors as f64) as usize;
            let room = stores[customer].holds(simulation.now, plan, units);
            if oracle[customer].holds(simulation.now, plan, units) {
                oracle[customer].left -= units;
                sum.sold += units;
            }
            let now = simulation.clock(door);
            let told = |units, as_of, error, heard| {
                let (customer, plan) = (CustomerId(customer as u64), PlanId(plan_of(customer)));
                Event::Elsewhere(Elsewhere {
                    customer,
                    plan,
                    units,
                    as_of,
                    error,
                    heard,
                })
            };
            match mode {
                Mode::Without => {}
                Mode::Gossip => {
                    if let Some(fact) = simulation.node(door).fact(now, customer as u64) {
                        let heard = simulation.node(door).news(now).1 as f64 / doors as f64;
                        let event = told(fact.units, fact.as_of, fact.error, heard);
                        gateways[door].handle(now, event, &mut actions);
                    }
                }
                Mode::Perfect => gateways[door].handle(now, told(0.0, now, 0.0, 1.0), &mut actions),
            }
            number += 1;
            let request = Request {
                id: RequestId(number),
                customer: CustomerId(customer as u64),
                plan: PlanId(plan_of(customer)),
                class: ClassId(0),
                units,
                deadline: now + 2500.0,
                checked: true,
                spread: doors as f64,
            };
            actions.clear();
            gateways[door].handle(now, Event::Arrival(request), &mut actions);
            let sent = actions.iter().find_map(|action| match action {
                Action::Send { backend, .. } => Some(*backend),
                _ => None,
            });
            let Some(backend) = sent else { continue };
            if room {
                sum.within += units;
                stores[customer].left -= units;
            } else {
                sum.beyond += units;
            }
            due.insert(((simulation.now + 80.0) as u64, number), (door, backend));
            match mode {
                Mode::Without => {}
                Mode::Gossip => simulation.used(door, customer as u64, units),
                Mode::Perfect => {
                    for other in (0..doors).filter(|other| *other != door) {
                        let now = simulation.clock(other);
                        let (customer, plan) =
                            (CustomerId(customer as u64), PlanId(plan_of(customer)));
                        let told = Elsewhere {
                            customer,
                            plan,
                            units,
                            as_of: now,
                            error: 0.0,
                            heard: 1.0,
                        };
                        gateways[other].handle(now, Event::Elsewhere(told), &mut actions);
                    }
                }
            }
        }
    }
    sum
}
