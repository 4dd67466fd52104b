//! Setup of a run: settings of the decision module, customers, backends, proxies and the first
//! events.
//!
//! Everything is drawn here in a fixed order; a change of the order changes every run of every
//! seed.

use super::event::RunEvent;
use super::proxy::Proxy;
use super::quota::customer;
use super::Run;
use crate::agent::{EndpointHistory, ProxyAgent};
use crate::backend::{Backend, BackendConfig};
use crate::balancer::{BaselinePolicy, DecisionPolicy};
use crate::metrics::{LatencyHistogram, Outcome};
use crate::queue::EventQueue;
use crate::random::{AliasTable, RandomSource};
use crate::world::{LoadBalancer, World};
use maplefall_policy as policy;
use maplefall_policy::{BackendEntry, Event, Idempotency};
use std::collections::BTreeMap;

/// Returns the decision module's settings for a world, before the plans are scaled.
fn settings(world: &World) -> policy::Settings {
    let class = |class: &crate::world::ClassSpec| policy::Class {
        latency_target: class.latency_target_ms,
        deadline: class.client_timeout_ms,
        value: class.value,
        late_value: 0.0,
        idempotency: World::effect(class).unwrap_or(Idempotency::NonIdempotent),
        streaming: false,
        ..policy::Class::default()
    };
    let plan = |plan: &crate::world::PlanSpec| policy::Plan {
        rate: plan.rate,
        burst: plan.burst,
        price: plan.price,
        over_quota_cost: 1.0,
        max_in_flight: plan.max_in_flight,
        rate_limit: None,
        ..policy::Plan::default()
    };
    policy::Settings {
        gateways: world.proxies as u32,
        tick: 2.0,
        classes: world.class.iter().map(class).collect(),
        plans: world.plan.iter().map(plan).collect(),
        max_units: world.max_units,
        meter_period: world.meter_ms,
        cross_zone_price: world.cross_zone_price,
        max_attempts: world.attempts,
        cancellation: true,
        retry_after: true,
        max_retry_after: 2000.0,
        drain_grace: world.drain_grace_ms,
        start_capacity: world.initial_capacity,
        warm_up: world.warm_up_ms,
        overload_factor: world.overload_factor,
        overload_window: world.overload_window_ms,
        ..policy::Settings::default()
    }
}

/// Draws each customer's demand group and demand, and scales all plans by one factor so that the
/// demand within quotas fits the world's load. Returns the client requests a second, and the group
/// of each customer.
fn scale_to_demand(
    world: &World,
    settings: &mut policy::Settings,
    weights: &mut [f64],
    plan_of: &[usize],
    random: &mut RandomSource,
) -> (f64, Vec<usize>) {
    let shares: Vec<f64> = world.demand.iter().map(|demand| demand.share).collect();
    let shares = AliasTable::new(&shares);
    let mut groups = Vec::new();
    let mut within = 0.0;
    for (weight, plan) in weights.iter_mut().zip(plan_of) {
        let group = shares.draw(random);
        let fraction = random.uniform_within(world.demand[group].fraction);
        *weight = fraction * world.plan[*plan].rate;
        within += fraction.min(1.0) * world.plan[*plan].rate;
        groups.push(group);
    }
    let factor = world.requests_per_second() * world.units / within.max(1e-9);
    for plan in &mut settings.plans {
        plan.burst = (plan.burst * factor).max(2.0 * world.max_units);
        plan.rate *= factor;
    }
    let rate = weights.iter().sum::<f64>() * factor / world.units;
    (rate, groups)
}

/// Scales each plan so that its customers use the world's `usage` of it on average; its burst keeps
/// its duration.
fn scale_to_usage(
    world: &World,
    settings: &mut policy::Settings,
    weights: &[f64],
    plan_of: &[usize],
) {
    let all: f64 = weights.iter().sum();
    let units = world.requests_per_second() * world.units;
    for (at, plan) in settings.plans.iter_mut().enumerate() {
        let of: Vec<f64> = weights
            .iter()
            .zip(plan_of)
            .filter(|(_, plan)| **plan == at)
            .map(|(weight, _)| *weight)
            .collect();
        let mean = of.iter().sum::<f64>() / of.len().max(1) as f64 / all * units;
        let span = plan.burst / plan.rate;
        plan.rate = (mean / world.usage).max(1e-3);
        plan.burst = (plan.rate * span).max(2.0 * world.max_units);
    }
}

/// Sets the hard rate limits as multiples of the scaled rates and bursts.
fn set_rate_limits(world: &World, settings: &mut policy::Settings) {
    for (plan, spec) in settings.plans.iter_mut().zip(&world.plan) {
        if spec.rate_limit_factor > 0.0 {
            let burst = (spec.rate_limit_factor * plan.burst).max(4.0 * world.max_units);
            let slack = (0.1 * burst).max(world.max_units);
            plan.rate_limit = Some(policy::RateLimit {
                rate: spec.rate_limit_factor * plan.rate,
                burst,
                slack,
            });
        }
    }
}

impl<'a> Run<'a> {
    /// Draws the initial state of a run from its world and seed.
    pub(super) fn new(world: &'a World, seed: u64) -> Run<'a> {
        let mut random = RandomSource::new(seed);
        let mut weights: Vec<f64> = (0..world.customers)
            .map(|rank| 1.0 / (rank as f64 + 1.0).powf(world.zipf))
            .collect();
        let plans = AliasTable::new(&world.plan.iter().map(|plan| plan.share).collect::<Vec<_>>());
        let plan_of: Vec<usize> = weights.iter().map(|_| plans.draw(&mut random)).collect();
        let home: Vec<usize> = weights
            .iter()
            .map(|_| random.uniform_below(world.proxies))
            .collect();
        let mut settings = settings(world);
        let (mut rate, mut groups) = (world.requests_per_second(), Vec::new());
        if !world.demand.is_empty() {
            (rate, groups) =
                scale_to_demand(world, &mut settings, &mut weights, &plan_of, &mut random);
        } else if world.usage > 0.0 {
            scale_to_usage(world, &mut settings, &weights, &plan_of);
        }
        set_rate_limits(world, &mut settings);
        let customers = plan_of
            .iter()
            .zip(home)
            .map(|(plan, home)| customer(&settings, *plan, home, 0.0))
            .collect();
        let meter_delay = random.uniform_within(world.meter_delay_ms);
        let config = BackendConfig {
            cores: world.cores,
            queue: world.queue,
            initial_capacity: world.initial_capacity,
            warm_up_ms: world.warm_up_ms,
        };
        let backends: Vec<Backend> = (0..world.backends)
            .map(|_| Backend::new(config, random.log_normal(1.0, world.speed_cv), None))
            .collect();
        Run {
            world,
            history: EndpointHistory::default(),
            now: 0.0,
            queue: EventQueue::default(),
            settings,
            ranks: AliasTable::new(&weights),
            plans,
            customers,
            rate,
            groups,
            classes: AliasTable::new(
                &world
                    .class
                    .iter()
                    .map(|class| class.share)
                    .collect::<Vec<_>>(),
            ),
            proxies: Vec::new(),
            incarnations: vec![0; backends.len()],
            backends,
            client_requests: Vec::new(),
            proxy_requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            next_proxy_request: 0,
            next_attempt: 0,
            partition: None,
            cross_zone_attempts: 0,
            meter_delay,
            offered_value: 0.0,
            offered_value_by_plan: vec![0.0; world.plan.len()],
            offered_by_demand: vec![(0.0, 0.0); world.demand.len()],
            offered_units: 0.0,
            over_quota_units: 0.0,
            served_value: 0.0,
            handshakes: 0,
            attempts_sent: 0,
            latencies: LatencyHistogram::default(),
            waits: (0.0, 0),
            sojourn: (0.0, 0),
            occupancy_integral: 0.0,
            occupancy_since: 0.0,
            occupancy: 0,
            outcome: Outcome::default(),
            actions: Vec::new(),
            random,
        }
    }

    /// Creates a decision policy for a proxy.
    pub(super) fn new_policy(&mut self, proxy: usize) -> Box<dyn DecisionPolicy> {
        let zone = policy::ZoneId((proxy % self.world.zones) as u32);
        let (set, seed) = (
            policy::Settings {
                zone,
                ..self.settings.clone()
            },
            self.random.next_seed(),
        );
        match self.world.load_balancer {
            LoadBalancer::Module => Box::new(policy::Gateway::new(set, seed)),
            load_balancer => Box::new(BaselinePolicy::new(
                load_balancer,
                self.world.admission,
                set,
                seed,
            )),
        }
    }

    /// Starts the proxies with the full endpoint list and schedules the first events.
    pub(super) fn schedule_start(&mut self) {
        let entries: BTreeMap<usize, BackendEntry> = (0..self.backends.len())
            .map(|at| (at, self.backend_entry(at, None)))
            .collect();
        self.history
            .push(&entries.values().copied().collect::<Vec<_>>());
        for proxy in 0..self.world.proxies {
            let policy = self.new_policy(proxy);
            let endpoints = entries.clone();
            let (notified, connection_last_used) = (BTreeMap::new(), BTreeMap::new());
            let agent = self
                .world
                .agents
                .then(|| ProxyAgent::new(&self.history, proxy as u64, 0.0));
            self.proxies.push(Proxy {
                policy,
                incarnation: 0,
                up: true,
                notified,
                notified_until: 1,
                agent,
                agent_due_at: f64::INFINITY,
                stopping: false,
                lag_ms: 0.0,
                endpoints,
                connection_last_used,
            });
            self.schedule_agent(proxy);
        }
        for proxy in 0..self.proxies.len() {
            let endpoints = self.proxies[proxy].endpoints.values().copied().collect();
            self.deliver_event(proxy, Event::Backends(policy::ListKind::Full, endpoints));
        }
        self.queue.push(0.0, RunEvent::NextRequest);
        for (customer, group) in self.groups.clone().into_iter().enumerate() {
            let demand = &self.world.demand[group];
            if demand.spike > 0.0 {
                let at = self.random.uniform_within([0.0, demand.every_s * 1000.0]);
                self.queue.push(at, RunEvent::SpikeStart(customer));
            }
        }
        for (at, fault) in self.world.faults.iter().enumerate() {
            self.queue.push(fault.at_s() * 1000.0, RunEvent::Fault(at));
        }
        self.outcome.over_quota_value_by_plan = vec![0.0; self.world.plan.len()];
        self.outcome.served_value_by_plan = vec![0.0; self.world.plan.len()];
        self.outcome.served_value_by_demand = vec![0.0; self.world.demand.len()];
        self.outcome.over_quota_units_by_demand = vec![0.0; self.world.demand.len()];
        self.outcome.by_second = vec![0.0; self.world.seconds.ceil() as usize];
    }
}
