//! One run of a world: the event loop and the state that all its parts share.
//!
//! | file | concern |
//! | --- | --- |
//! | `setup` | settings, customers, backends, first events |
//! | `event` | the events |
//! | `clients` | client requests, choice of a proxy, retries, answers |
//! | `quota` | true quotas of customers, the use meter |
//! | `proxy` | proxies: actions of the decision module, stops and starts |
//! | `attempt` | attempts at backends: quota, connection, end |
//! | `backends` | arrivals, jobs, drains, replacements |
//! | `discovery` | how changes of the endpoint list reach proxies |
//! | `faults` | what goes wrong |
//! | `network` | delays, zones, partitions |
//! | `results` | figures of the outcome |
//!
//! Invariant: a run is a function of its world and seed. All randomness comes from one generator, so the order of events and of
//! draws must not change without need: every published figure would.

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
use crate::metrics::{Outcome, Times};
use crate::queue::Queue;
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

/// How long agents run on after the last client request, in milliseconds; longer than any client goes on retrying.
const AGENT_TAIL_MS: f64 = 20_000.0;

struct Run<'a> {
    world: &'a World,
    history: EndpointHistory,
    random: RandomSource,
    now: f64,
    queue: Queue<RunEvent>,
    settings: policy::Settings,
    ranks: AliasTable,
    plans: AliasTable,
    customers: Vec<Customer>,
    classes: AliasTable,
    /// Client requests a second, spikes and floods left out.
    rate: f64,
    /// The group of demand of each customer.
    groups: Vec<usize>,
    proxies: Vec<Proxy>,
    backends: Vec<Backend>,
    incarnations: Vec<u32>,
    client_requests: Vec<ClientRequest>,
    proxy_requests: BTreeMap<u32, ProxyRequest>,
    attempts: BTreeMap<u64, Attempt>,
    next_proxy_request: u32,
    next_attempt: u64,
    /// Proxies and backends that do not reach each other.
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
    times: Times,
    waits: (f64, u64),
    sojourn: (f64, u64),
    /// Requests in backends now, since when, and their integral over time in milliseconds (for Little's law).
    occupancy_integral: f64,
    occupancy_since: f64,
    occupancy: usize,
    outcome: Outcome,
    actions: Vec<Action>,
}

/// Plays a world; the same world and seed always give the same outcome.
pub fn play(world: &World, seed: u64) -> Outcome {
    let mut run = Run::new(world, seed);
    run.schedule_start();
    run.run_events();
    run.finish(seed)
}

/// A client request as a load generator outside needs it; one line of `maplefall-model load`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GeneratedRequest {
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
    /// Proxies of the customer's set, in a row from `first`.
    pub spread: u32,
    /// See above.
    pub first: u32,
}

/// The client requests that a world draws; they depend on the seed alone, not on what becomes of them.
pub fn load(world: &World, seed: u64) -> Vec<GeneratedRequest> {
    let mut run = Run::new(world, seed);
    run.schedule_start();
    run.run_events();
    let generated = |one: &ClientRequest| GeneratedRequest {
        at: one.started_at,
        customer: one.customer as u64,
        plan: run.customers[one.customer].plan,
        class: one.class,
        units: one.units,
        spread: run.spread(one.customer) as u32,
        first: run.customers[one.customer].home as u32,
    };
    run.client_requests.iter().map(generated).collect()
}

impl Run<'_> {
    /// Handles events in the order of their times until none is left.
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
                RunEvent::Alarm {
                    proxy,
                    incarnation,
                    alarm,
                } => self.fire_alarm(proxy, incarnation, alarm),
                RunEvent::EndpointsChanged { proxy, entries } => {
                    self.update_endpoints(proxy, entries)
                }
                RunEvent::AgentUpdated { proxy, at, version } => {
                    self.update_agent(proxy, at, version)
                }
                RunEvent::Notified { proxy, version } => self.mark_notified(proxy, version),
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
                    pause,
                    until,
                } => self.continue_flood(customer, pause, until),
                RunEvent::SpikeStart(customer) => self.start_spike(customer),
                RunEvent::OneShotRequest { pause, until } => self.continue_one_shots(pause, until),
                RunEvent::PartitionHealed => self.partition = None,
                RunEvent::BackendsRestart(backends) => self.restart_backends(backends),
            }
        }
    }
}
