//! One run of a world: the event loop and the state that all parts share.
//!
//! | module | concern |
//! | --- | --- |
//! | `setup` | settings, customers, backends, first events |
//! | `event` | the event types |
//! | `clients` | client requests, choice of a proxy, retries, responses |
//! | `quota` | true quotas of customers, the usage meter |
//! | `proxy` | proxies: actions of the decision module, stops and starts |
//! | `attempt` | attempts at backends: quota, connection, end |
//! | `backends` | arrivals, jobs, drains, replacements |
//! | `discovery` | how changes of the endpoint list reach proxies |
//! | `faults` | effects of faults |
//! | `network` | delays, zones, partitions |
//! | `results` | figures of the outcome |
//!
//! Invariant: a run is a function of its world and seed. All randomness comes from one generator,
//! so a change in the order of events or of draws changes every published figure.

mod attempt;
mod backends;
mod clients;
mod discovery;
mod event;
mod faults;
mod network;
mod proxy;
mod quota;
mod request;
mod results;
mod setup;

use crate::agent::EndpointHistory;
use crate::backend::Backend;
use crate::metrics::{LatencyHistogram, Outcome};
use crate::queue::EventQueue;
use crate::random::{AliasTable, RandomSource};
use crate::world::World;
use event::RunEvent;
use maplefall_policy as policy;
use maplefall_policy::Action;
use proxy::Proxy;
use quota::Customer;
use request::{Attempt, ClientRequest, ProxyRequest};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// How long agents keep running after the last client request, in milliseconds; longer than any
/// client keeps retrying.
const AGENT_TAIL_MS: f64 = 20_000.0;

struct Run<'a> {
    world: &'a World,
    history: EndpointHistory,
    random: RandomSource,
    now: f64,
    queue: EventQueue<RunEvent>,
    settings: policy::Settings,
    ranks: AliasTable,
    plans: AliasTable,
    customers: Vec<Customer>,
    classes: AliasTable,
    /// Client requests a second, without spikes and floods.
    rate: f64,
    /// The demand group of each customer.
    groups: Vec<usize>,
    proxies: Vec<Proxy>,
    backends: Vec<Backend>,
    incarnations: Vec<u32>,
    client_requests: Vec<ClientRequest>,
    proxy_requests: BTreeMap<u32, ProxyRequest>,
    attempts: BTreeMap<u64, Attempt>,
    next_proxy_request: u32,
    next_attempt: u64,
    /// Proxies and backends that cannot reach each other.
    partition: Option<(BTreeSet<usize>, BTreeSet<usize>)>,
    cross_zone_attempts: u64,
    meter_delay: f64,
    offered_value: f64,
    offered_value_by_plan: Vec<f64>,
    /// Value and units.
    offered_by_demand: Vec<(f64, f64)>,
    offered_units: f64,
    over_quota_units: f64,
    served_value: f64,
    handshakes: u64,
    attempts_sent: u64,
    latencies: LatencyHistogram,
    waits: (f64, u64),
    sojourn: (f64, u64),
    /// Integral of the number of requests in backends over time in milliseconds, the time of the
    /// last change, and the current number (for Little's law).
    occupancy_integral: f64,
    occupancy_since: f64,
    occupancy: usize,
    outcome: Outcome,
    actions: Vec<Action>,
}

/// Simulates a world; the same world and seed always give the same outcome.
pub fn simulate(world: &World, seed: u64) -> Outcome {
    let mut run = Run::new(world, seed);
    run.schedule_start();
    run.run_events();
    run.finish(seed)
}

/// A client request as an external load generator needs it; one line of `maplefall-model load`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GeneratedRequest {
    /// Time of the request, in milliseconds from the start.
    pub at: f64,
    /// Identifier of the customer.
    pub customer: u64,
    /// Index of the customer's plan.
    pub plan: usize,
    /// Index of the request's class.
    pub class: usize,
    /// Estimated units that the request counts.
    pub units: f64,
    /// Number of proxies in the customer's set, which is contiguous from `first`.
    pub spread: u32,
    /// Index of the first proxy of the set.
    pub first: u32,
}

/// Returns the client requests that a world draws, without retries; they depend on the world and
/// seed alone.
pub fn load(world: &World, seed: u64) -> Vec<GeneratedRequest> {
    let mut run = Run::new(world, seed);
    run.schedule_start();
    run.run_events();
    let generated = |request: &ClientRequest| GeneratedRequest {
        at: request.started_at,
        customer: request.customer as u64,
        plan: run.customers[request.customer].plan,
        class: request.class,
        units: request.units,
        spread: run.spread(request.customer) as u32,
        first: run.customers[request.customer].home as u32,
    };
    run.client_requests.iter().map(generated).collect()
}

impl Run<'_> {
    /// Handles events in order of time until none is left.
    fn run_events(&mut self) {
        while let Some((at, event)) = self.queue.pop() {
            self.now = at;
            self.outcome.events += 1;
            match event {
                RunEvent::NextRequest => self.schedule_next_request(),
                RunEvent::Retry {
                    client_request,
                    number,
                    proxy,
                } => self.send_to_proxy(client_request, number, proxy),
                RunEvent::ProxyReceives(id) => self.receive_request(id),
                RunEvent::ClientTimeout(id) => self.expire_request(id),
                RunEvent::BackendReceives(attempt) => self.receive_attempt(attempt),
                RunEvent::JobDone {
                    backend,
                    incarnation,
                    attempt,
                } => self.finish_job(backend, incarnation, attempt),
                RunEvent::AttemptEnded(attempt, outcome) => self.end_attempt(attempt, outcome),
                RunEvent::AttemptTimeout(attempt) => {
                    self.end_attempt(attempt, policy::Outcome::Timeout)
                }
                RunEvent::PolicyTimer {
                    proxy,
                    incarnation,
                    timer,
                } => self.fire_timer(proxy, incarnation, timer),
                RunEvent::EndpointsChanged { proxy, entries } => {
                    self.update_endpoints(proxy, entries)
                }
                RunEvent::AgentUpdated { proxy, at, version } => {
                    self.update_agent(proxy, at, version)
                }
                RunEvent::Notified { proxy, version } => self.record_notified(proxy, version),
                RunEvent::AgentDue { proxy, at } => self.run_agent_if_due(proxy, at),
                RunEvent::AgentMoved {
                    proxy,
                    close_ms,
                    lag_ms,
                } => self.move_agent(proxy, close_ms, lag_ms),
                RunEvent::ProxyStopping {
                    proxy,
                    stop_ms,
                    down_ms,
                } => self.begin_proxy_stop(proxy, stop_ms, down_ms),
                RunEvent::ProxyStopped { proxy, down_ms } => self.end_proxy_stop(proxy, down_ms),
                RunEvent::Fault(at) => self.inject_fault(at),
                RunEvent::ProxyRestart(proxy) => self.restart_proxy(proxy),
                RunEvent::BackendDrain(backend) => self.drain_backend(backend),
                RunEvent::BackendEnd(backend) => self.replace_backend(backend),
                RunEvent::BackendSpeed(backend, factor) => self.backends[backend].speed *= factor,
                RunEvent::FloodRequest {
                    customer,
                    mean_gap,
                    until,
                } => self.continue_flood(customer, mean_gap, until),
                RunEvent::SpikeStart(customer) => self.start_spike(customer),
                RunEvent::OneShotRequest { mean_gap, until } => {
                    self.continue_one_shots(mean_gap, until)
                }
                RunEvent::PartitionHealed => self.partition = None,
                RunEvent::BackendsRestart(backends) => self.restart_backends(backends),
            }
        }
    }
}
