//! The decisions of a proxy, without I/O: inputs come with the time, and what to send, forward and respond is returned as
//! [`Output`]s. A request passes through the phases `admit` (route, deadline, service, quota), `send` (the policy selects a
//! backend), `attempt_ended` (respond, retry or fail) and is forgotten once it has its response and no attempt is in flight.

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

/// Kept free of a client's time for the response's way back.
const RETURN_TIME: Millis = 4.0;
/// `Retry-After` where nothing else is known, as a fraction of the route's latency target.
const RETRY_AFTER_LATENCY_TARGETS: f64 = 0.2;

/// The state of one proxy.
pub struct Core {
    bounds: Bounds,
    rng: Pcg32,
    /// The configuration as items, from which `route_table` is patched.
    items: ItemSet,
    config_index: u64,
    route_table: Rc<RouteTable>,
    tenants: Tenants<Rc<str>>,
    /// Interned names of tenants; names that nothing else refers to are dropped with each configuration.
    tenant_names: HashMap<String, Rc<str>>,
    lease_client: LeaseClient,
    token_client: TokenClient,
    /// Controllers with an established connection, by IP address.
    connected_controllers: BTreeSet<String>,
    /// All known controllers, by IP address.
    controllers: BTreeSet<String>,
    /// When leases were last requested outside of a tick.
    last_urgent_request: Millis,
    /// Spaces out the urgent requests of all tenants.
    urgent_requests: Pacer,
    /// When controllers were asked for more of a tenant's quota.
    more_requested_at: HashMap<Rc<str>, Millis>,
    /// When a tenant's bucket was last found empty.
    rejected_at: HashMap<Rc<str>, Millis>,
    registry: Registry,
    services: Services,
    /// At most [`requests::MAX_PENDING_REQUESTS`].
    requests: HashMap<RequestId, PendingRequest>,
    last_request_id: u32,
    timers: TimerQueue<Timer>,
    shutting_down: bool,
    /// Requests whose responses may come later than this are rejected; infinite unless the proxy is about to end.
    last_response_at: Millis,
    was_ready: bool,
    stats: Stats,
}

impl Core {
    /// A proxy without configuration and backends. `seed` is its only source of randomness, and its incarnation.
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
            controllers: seed_controllers(settings).collect(),
            last_urgent_request: 0.0,
            urgent_requests: Pacer::new(0.0, quota_leases::MAX_URGENT_CREDIT),
            more_requested_at: HashMap::new(),
            rejected_at: HashMap::new(),
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

    /// The index of the applied configuration; 0 before the first.
    pub fn config_index(&self) -> u64 {
        self.config_index
    }

    /// The configured limits of clients' requests and connections.
    pub fn limits(&self) -> Limits {
        self.route_table.limits
    }

    /// Whether the proxy can serve new clients: it has a configuration and backends, and is not shutting down.
    pub fn ready(&self) -> bool {
        !self.shutting_down && self.config_index > 0 && self.services.has_backends()
    }

    /// Applies a changed settings file: bounds and further seeds take effect, the rest takes a restart.
    pub fn reload(&mut self, settings: &Settings, out: &mut Vec<Output>) {
        self.bounds = settings.bounds;
        self.services.set_bounds(settings.bounds);
        let lifetime = tokens::lifetime(&settings.bounds);
        self.token_client.set_lifetime(lifetime);
        self.add_controllers(seed_controllers(settings), out);
    }

    /// Begins a planned stop: the proxy is no longer ready.
    pub fn shut_down(&mut self) {
        self.shutting_down = true;
    }

    /// The process ends at `at`: from now on a request that may take longer is rejected.
    pub fn end_at(&mut self, at: Millis) {
        self.last_response_at = at;
    }

    /// The shortest time that any route gives its requests; 0 without routes.
    pub fn shortest_timeout(&self) -> Millis {
        self.route_table.shortest_timeout().unwrap_or(0.0)
    }

    /// Known controllers, by IP address.
    pub fn controllers(&self) -> &BTreeSet<String> {
        &self.controllers
    }

    /// A frame from a controller.
    pub fn receive(&mut self, now: Millis, controller: &str, frame: Frame, out: &mut Vec<Output>) {
        match frame {
            Frame::ConfigUpdate(update) => self.apply_config_update(now, update, out),
            Frame::InstanceUpdates(updates) => self.apply_instance_updates(now, updates, out),
            Frame::LeaseGrant(grant) => self.handle_lease_grant(now, controller, &grant, out),
            Frame::TokenGrant(grant) => self.handle_token_grant(now, controller, &grant, out),
            _ => {}
        }
    }

    /// Refreshes quotas and requests leases; to be called every 500 ms.
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
