//! The decisions of a proxy, without I/O: each input comes with the current time, and what is to be
//! sent, forwarded and responded is returned as [`Output`]s. A request passes through `admit`
//! (route, deadline, service, quota), `send` (the policy selects a backend) and `attempt_ended`
//! (respond, retry or fail), and is removed once it has its response and no attempt is in flight.

mod admission;
mod attempts;
mod config;
mod instances;
mod messages;
mod quota_leases;
mod requests;
mod stats;
mod timers;
mod tokens;

pub use messages::{
    AdmittedRequest, AttemptEnd, IncomingRequest, LocalResponse, Output, Rejection,
};
pub use quota_leases::quota;

use crate::services::Services;
use crate::timer_queue::TimerQueue;
use maplefall_control_messages::Frame;
use maplefall_gateway_config::{ItemSet, Limits, RouteTable};
use maplefall_node_settings::{Bounds, Settings};
use maplefall_policy::{Millis, RequestId, Tenants};
use maplefall_quota_lease::{LeaseClient, Pacer, TokenClient};
use maplefall_service_registry::Registry;
use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use requests::PendingRequest;
use stats::Stats;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use timers::Timer;

/// Part of the client's remaining time that is reserved for the response to reach the client.
const RESPONSE_TRANSIT_TIME: Millis = 4.0;
/// Default `Retry-After`, as a fraction of the route's latency target.
const RETRY_AFTER_LATENCY_TARGET_FRACTION: f64 = 0.2;

/// The state of one proxy.
pub struct Core {
    bounds: Bounds,
    rng: Pcg32,
    /// The configuration as items, from which `route_table` is patched.
    items: ItemSet,
    config_index: u64,
    route_table: Rc<RouteTable>,
    tenants: Tenants<Rc<str>>,
    /// Interned tenant names. Names that are no longer referenced are dropped with each
    /// configuration.
    tenant_names: HashMap<String, Rc<str>>,
    lease_client: LeaseClient,
    token_client: TokenClient,
    /// Controllers with an established connection, by IP address.
    connected_controllers: BTreeSet<String>,
    /// Whether a connection to a controller has ended since the start, after which updates may be
    /// missing.
    may_have_missed_updates: bool,
    /// All known controllers, by IP address.
    controllers: BTreeSet<String>,
    /// When leases were last requested outside of a tick.
    last_urgent_request: Millis,
    /// Limits the rate of lease requests outside of a tick, over all tenants.
    urgent_request_pacer: Pacer,
    /// When more of a tenant's quota was last requested from the controllers.
    quota_requested_at: HashMap<Rc<str>, Millis>,
    /// When a tenant's bucket was last found empty.
    quota_rejected_at: HashMap<Rc<str>, Millis>,
    registry: Registry,
    services: Services,
    /// Pending requests, at most [`requests::MAX_PENDING_REQUESTS`].
    requests: HashMap<RequestId, PendingRequest>,
    last_request_id: u32,
    timers: TimerQueue<Timer>,
    shutting_down: bool,
    /// The latest time for a response: requests whose responses may come later are rejected.
    /// Infinite unless the proxy is about to exit.
    last_response_at: Millis,
    was_ready: bool,
    stats: Stats,
}

impl Core {
    /// Creates a proxy without configuration and backends. `seed` is its only source of randomness,
    /// and its incarnation.
    pub fn new(settings: &Settings, seed: u64) -> Core {
        Core {
            bounds: settings.bounds,
            rng: Pcg32::seed_from_u64(seed),
            items: ItemSet::default(),
            config_index: 0,
            route_table: Rc::default(),
            tenants: Tenants::new(settings.bootstrap),
            tenant_names: HashMap::new(),
            lease_client: LeaseClient::new(seed.max(1)),
            token_client: TokenClient::new(tokens::lifetime(&settings.bounds)),
            connected_controllers: BTreeSet::new(),
            may_have_missed_updates: false,
            controllers: seed_controllers(settings).collect(),
            last_urgent_request: 0.0,
            urgent_request_pacer: Pacer::new(0.0, quota_leases::MAX_URGENT_CREDIT),
            quota_requested_at: HashMap::new(),
            quota_rejected_at: HashMap::new(),
            registry: Registry::default(),
            services: Services::new(settings.bounds, &settings.zone, seed),
            requests: HashMap::new(),
            last_request_id: 0,
            timers: TimerQueue::default(),
            shutting_down: false,
            last_response_at: f64::INFINITY,
            was_ready: false,
            stats: Stats::default(),
        }
    }

    /// Returns the index of the applied configuration, or 0 before the first one.
    pub fn config_index(&self) -> u64 {
        self.config_index
    }

    /// Returns whether a connection to a controller has ended since the start.
    pub fn may_have_missed_updates(&self) -> bool {
        self.may_have_missed_updates
    }

    /// Returns the configured limits on clients' requests and connections.
    pub fn limits(&self) -> Limits {
        self.route_table.limits
    }

    /// Returns whether the proxy can serve new clients: it has a configuration and backends, and is
    /// not shutting down.
    pub fn ready(&self) -> bool {
        !self.shutting_down && self.config_index > 0 && self.services.has_backends()
    }

    /// Applies a changed settings file: bounds and additional seed addresses of controllers take
    /// effect, all other settings need a restart.
    pub fn reload(&mut self, settings: &Settings, out: &mut Vec<Output>) {
        self.bounds = settings.bounds;
        self.services.set_bounds(settings.bounds);
        let lifetime = tokens::lifetime(&settings.bounds);
        self.token_client.set_lifetime(lifetime);
        self.add_controllers(seed_controllers(settings), out);
    }

    /// Starts a graceful shutdown: the proxy is no longer ready.
    pub fn shut_down(&mut self) {
        self.shutting_down = true;
    }

    /// Sets the time at which the process ends: from now on a request that may take longer is
    /// rejected.
    pub fn set_end_time(&mut self, at: Millis) {
        self.last_response_at = at;
    }

    /// Returns the shortest timeout of any route, or 0 without routes.
    pub fn shortest_timeout(&self) -> Millis {
        self.route_table.shortest_timeout().unwrap_or(0.0)
    }

    /// Returns the known controllers, by IP address.
    pub fn controllers(&self) -> &BTreeSet<String> {
        &self.controllers
    }

    /// Handles a frame from a controller.
    pub fn receive(&mut self, now: Millis, controller: &str, frame: Frame, out: &mut Vec<Output>) {
        match frame {
            Frame::ConfigUpdate(update) => self.apply_config_update(now, update, out),
            Frame::InstanceUpdates(updates) => self.apply_instance_updates(now, updates, out),
            Frame::LeaseGrant(grant) => self.handle_lease_grant(now, controller, &grant, out),
            Frame::TokenGrant(grant) => self.handle_token_grant(now, controller, &grant, out),
            _ => {}
        }
    }

    /// Refreshes quotas and requests leases. Must be called every 500 ms.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.refresh_quotas(now);
        self.services
            .set_proxy_count(self.lease_client.client_count());
        self.request_leases(now, out);
        self.token_client.tick(now);
        if self.ready() != self.was_ready {
            self.was_ready = self.ready();
            out.push(Output::Log(format!(
                "event=ready ready={} index={}",
                self.was_ready, self.config_index
            )));
        }
    }
}

fn seed_controllers(settings: &Settings) -> impl Iterator<Item = String> + '_ {
    settings.seeds.iter().map(|seed| seed.ip().to_string())
}
