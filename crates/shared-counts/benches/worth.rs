//! The benefit of shared counts: the same traffic through the policy of every node, with counts
//! shared by gossip, without shared counts, and with counts shared instantly. `cargo bench -p
//! maplefall-shared-counts --bench worth`; it takes a minute or two.
//!
//! Backends serve everything, so a request is rejected only because of its quota. A token bucket
//! for each customer that sees the requests of all nodes decides which rejections and which
//! admissions were right.

#[path = "../tests/simulation/mod.rs"]
mod simulation;

use maplefall_policy::*;
use maplefall_shared_counts::{Settings as SharedCountsSettings, UsageUpdate};
use simulation::*;
use std::collections::BTreeMap;

const CUSTOMERS: usize = 60;
const BACKENDS: u32 = 10;
const MAX_ATTEMPTS: u32 = 3;
/// The simulated duration of a run.
const RUN_MS: f64 = 40_000.0;
/// The simulated time between two steps.
const STEP_MS: f64 = 10.0;
/// The latency of every backend.
const LATENCY_MS: f64 = 80.0;
/// The deadline of a request.
const DEADLINE_MS: f64 = 2500.0;
/// The mean units of a request.
const MEAN_UNITS: f64 = 3.0;
/// The seeds of the runs of each table row.
const SEEDS: std::ops::Range<u64> = 0..2;

/// How nodes learn of usage at other nodes.
#[derive(Clone, Copy, PartialEq)]
enum Mode {
    Without,
    Gossip,
    /// Every use is known at all nodes at once.
    Perfect,
}

/// Totals of one run, in units.
#[derive(Default)]
struct Totals {
    /// Units that a single node that sees all requests would admit.
    ideal: f64,
    /// Units admitted within quotas.
    within_quota: f64,
    /// Units admitted beyond quotas.
    beyond_quota: f64,
}

/// The quota of one customer over all nodes.
#[derive(Clone, Copy)]
struct TokenBucket {
    tokens: f64,
    updated_at: f64,
}

impl TokenBucket {
    /// Refills the bucket; returns whether it holds this many units.
    fn has_units(&mut self, now: f64, plan: &Plan, units: f64) -> bool {
        let refill = plan.rate * (now - self.updated_at) / 1000.0;
        self.tokens = (self.tokens + refill).min(plan.burst);
        self.updated_at = now;
        self.tokens >= units
    }
}

fn main() {
    println!(
        "of what one node that sees all requests would admit: nodes, loss, counts, rejected %, admitted beyond quotas %"
    );
    for (nodes, loss) in [(4, 0.01), (20, 0.01), (20, 0.3), (100, 0.01)] {
        for (name, mode) in [
            ("without", Mode::Without),
            ("gossip", Mode::Gossip),
            ("perfect", Mode::Perfect),
        ] {
            let runs: Vec<Totals> = SEEDS.map(|seed| run(nodes, loss, mode, seed)).collect();
            let rejected = percentages(&runs, |run| 1.0 - run.within_quota / run.ideal);
            let beyond = percentages(&runs, |run| run.beyond_quota / run.ideal);
            println!("{nodes:>5} {loss:>5} {name:>8} {rejected:>14} {beyond:>14}");
        }
    }
}

/// Returns the mean of a ratio over the runs and the maximum deviation from it, in percent.
fn percentages(runs: &[Totals], ratio: fn(&Totals) -> f64) -> String {
    let percentages: Vec<f64> = runs.iter().map(|run| 100.0 * ratio(run)).collect();
    let mean = percentages.iter().sum::<f64>() / percentages.len() as f64;
    let distance = percentages
        .iter()
        .fold(0.0f64, |max, percentage| max.max((percentage - mean).abs()));
    format!("{mean:.1} +-{distance:.1}")
}

fn plan_of(customer: usize) -> usize {
    customer % 3
}

/// Returns the demand of a customer as a fraction of its quota: most are well below it, some use
/// all, some request several times as much.
fn demand(customer: usize) -> f64 {
    match customer % 10 {
        0..=5 => 0.35,
        6..=7 => 0.95,
        _ => 3.0,
    }
}

fn plans() -> Vec<Plan> {
    let plan = |rate: f64, burst_seconds: f64| Plan {
        rate,
        burst: rate * burst_seconds,
        ..Plan::default()
    };
    vec![plan(2.0, 5.0), plan(10.0, 2.0), plan(30.0, 2.0)]
}

fn policy_settings(nodes: usize) -> Settings {
    let class = Class {
        latency_target: 600.0,
        deadline: DEADLINE_MS,
        idempotency: Idempotency::Idempotent,
        ..Class::default()
    };
    Settings {
        gateways: nodes as u32,
        tick: 2.0,
        classes: vec![class],
        plans: plans(),
        max_units: 8.0,
        max_attempts: MAX_ATTEMPTS,
        ..Settings::default()
    }
}

fn backends() -> Vec<BackendEntry> {
    let backend = |id| BackendEntry {
        id: BackendId(id),
        zone: ZoneId(0),
        cell: CellId(0),
        availability: Availability::Ready,
        started: None,
        size: 1.0,
    };
    (0..BACKENDS).map(backend).collect()
}

/// The nodes and their policies in one run.
struct Run {
    mode: Mode,
    nodes: usize,
    simulation: Simulation,
    plans: Vec<Plan>,
    gateways: Vec<Gateway>,
    actions: Vec<Action>,
    /// The quota of each customer, less the units that the nodes have admitted within it.
    quotas: Vec<TokenBucket>,
    /// The quota of each customer, less the units that a single node that sees all requests would
    /// admit.
    ideal_quotas: Vec<TokenBucket>,
    /// Pending responses of backends, by time and request: the node and the backend.
    responses: BTreeMap<(u64, u32), (usize, BackendId)>,
    last_request: u32,
    totals: Totals,
}

fn run(nodes: usize, loss: f64, mode: Mode, seed: u64) -> Totals {
    let mut run = Run::new(nodes, loss, mode, seed);
    let started_at = run.simulation.now;
    while run.simulation.now - started_at < RUN_MS {
        run.simulation.run(STEP_MS);
        if mode == Mode::Gossip {
            run.pass_usage_updates();
        }
        run.deliver_responses();
        for customer in 0..CUSTOMERS {
            run.maybe_request(customer);
        }
    }
    run.totals
}

impl Run {
    fn new(nodes: usize, loss: f64, mode: Mode, seed: u64) -> Run {
        let link = Link {
            loss,
            duplicated: 0.0,
            delay: (0.5, 20.0),
        };
        let settings = SharedCountsSettings {
            max_members: 1024,
            ..SharedCountsSettings::usual("quito", vec![7; 32])
        };
        let mut simulation = Simulation::new(nodes, settings, link, seed);
        if mode == Mode::Gossip {
            simulation.run_until_all_alive(120_000.0);
        }
        let mut actions = Vec::new();
        let policy_settings = policy_settings(nodes);
        let gateways = (0..nodes)
            .map(|node| {
                let mut gateway = Gateway::new(policy_settings.clone(), seed * 1000 + node as u64);
                let event = Event::Backends(ListKind::Full, backends());
                gateway.handle(simulation.clock(node), event, &mut actions);
                gateway
            })
            .collect();
        let plans = plans();
        let quotas: Vec<TokenBucket> = (0..CUSTOMERS)
            .map(|customer| TokenBucket {
                tokens: plans[plan_of(customer)].burst,
                updated_at: simulation.now,
            })
            .collect();
        Run {
            mode,
            nodes,
            simulation,
            plans,
            gateways,
            actions,
            ideal_quotas: quotas.clone(),
            quotas,
            responses: BTreeMap::new(),
            last_request: 0,
            totals: Totals::default(),
        }
    }

    /// Passes the usage that each node has received from others to its policy.
    fn pass_usage_updates(&mut self) {
        for node in 0..self.nodes {
            let now = self.simulation.clock(node);
            while let Some((customer, update)) = self.simulation.node(node).poll_usage_update(now) {
                self.pass_usage_update(now, node, customer as usize, update);
            }
        }
    }

    fn pass_usage_update(&mut self, now: f64, node: usize, customer: usize, update: UsageUpdate) {
        let alive = self.simulation.node(node).freshness(now).1;
        let event = usage_elsewhere(customer, update, alive as f64 / self.nodes as f64);
        self.gateways[node].handle(now, event, &mut self.actions);
    }

    fn deliver_responses(&mut self) {
        while let Some((&(due, request), &(node, backend))) = self.responses.first_key_value() {
            if due as f64 > self.simulation.now {
                return;
            }
            self.responses.remove(&(due, request));
            let ended = AttemptEnded {
                request: RequestId(request),
                attempt: 0,
                backend,
                outcome: Outcome::Ok,
                elapsed: LATENCY_MS,
                request_closed: true,
                metered_usage: None,
                true_units: None,
                report: Report::default(),
                broken_connections: 0,
            };
            let now = self.simulation.clock(node);
            self.gateways[node].handle(now, Event::AttemptEnded(ended), &mut self.actions);
            self.actions.clear();
        }
    }

    /// Draws whether a customer sends a request in this step, and to which node.
    fn maybe_request(&mut self, customer: usize) {
        let plan = &self.plans[plan_of(customer)];
        let requests_per_second = plan.rate * demand(customer) / MEAN_UNITS;
        if uniform(&mut self.simulation.rng) >= requests_per_second * 0.01 {
            return;
        }
        let units = 1.0 + (5.0 * uniform(&mut self.simulation.rng)).floor();
        // Some nodes are busier than others.
        let position = uniform(&mut self.simulation.rng).powf(1.5);
        let node = (position * self.nodes as f64) as usize;
        let is_within_quota = self.quotas[customer].has_units(self.simulation.now, plan, units);
        if self.ideal_quotas[customer].has_units(self.simulation.now, plan, units) {
            self.ideal_quotas[customer].tokens -= units;
            self.totals.ideal += units;
        }
        self.pass_usage_before_request(node, customer);
        let Some(backend) = self.send_request(node, customer, units) else {
            return;
        };
        if is_within_quota {
            self.totals.within_quota += units;
            self.quotas[customer].tokens -= units;
        } else {
            self.totals.beyond_quota += units;
        }
        let due = (self.simulation.now + LATENCY_MS) as u64;
        self.responses
            .insert((due, self.last_request), (node, backend));
        self.share_usage(node, customer, units);
    }

    fn pass_usage_before_request(&mut self, node: usize, customer: usize) {
        let now = self.simulation.clock(node);
        match self.mode {
            Mode::Without => {}
            Mode::Gossip => {
                if let Some(update) = self
                    .simulation
                    .node(node)
                    .usage_update(now, customer as u64)
                {
                    self.pass_usage_update(now, node, customer, update);
                }
            }
            Mode::Perfect => {
                let event = usage_elsewhere(customer, current_update(now, 0.0), 1.0);
                self.gateways[node].handle(now, event, &mut self.actions);
            }
        }
    }

    /// Sends a request to a node; returns the backend that it chooses, `None` if the request is
    /// rejected.
    fn send_request(&mut self, node: usize, customer: usize, units: f64) -> Option<BackendId> {
        let now = self.simulation.clock(node);
        self.last_request += 1;
        let request = Request {
            id: RequestId(self.last_request),
            customer: CustomerId(customer as u64),
            plan: PlanId(plan_of(customer)),
            class: ClassId(0),
            units,
            deadline: now + DEADLINE_MS,
            authorized: true,
            gateways: self.nodes as f64,
        };
        self.actions.clear();
        self.gateways[node].handle(now, Event::Arrival(request), &mut self.actions);
        self.actions.iter().find_map(|action| match action {
            Action::Send { backend, .. } => Some(*backend),
            _ => None,
        })
    }

    /// Shares usage at one node with the others.
    fn share_usage(&mut self, node: usize, customer: usize, units: f64) {
        match self.mode {
            Mode::Without => {}
            Mode::Gossip => self.simulation.record_usage(node, customer as u64, units),
            Mode::Perfect => {
                for other in (0..self.nodes).filter(|other| *other != node) {
                    let now = self.simulation.clock(other);
                    let event = usage_elsewhere(customer, current_update(now, units), 1.0);
                    self.gateways[other].handle(now, event, &mut self.actions);
                }
            }
        }
    }
}

/// Returns an update without delay or error.
fn current_update(now: f64, units: f64) -> UsageUpdate {
    UsageUpdate {
        units,
        as_of: now,
        error: 0.0,
    }
}

fn usage_elsewhere(customer: usize, update: UsageUpdate, alive_fraction: f64) -> Event {
    Event::RemoteUsage(RemoteUsage {
        customer: CustomerId(customer as u64),
        plan: PlanId(plan_of(customer)),
        units: update.units,
        as_of: update.as_of,
        error: update.error,
        reporting_fraction: alive_fraction,
    })
}
