//! The services that a proxy routes to, each with one [`Gateway`] (the policy that selects
//! backends), and the backend instances of all services. An instance keeps its [`BackendId`] from
//! its first record until it is removed, and the ids of known instances are not reused.

use maplefall_gateway_config::Route;
use maplefall_node_settings::Bounds;
use maplefall_policy::{
    Availability, BackendEntry, BackendId, CellId, Class, ClassId, Gateway, Idempotency, Millis,
    Plan, Settings, ZoneId,
};
use maplefall_service_registry::{InstanceRecord, InstanceState};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

/// Duration of a backend's slow start.
const WARM_UP: Millis = 3000.0;
/// Minimum fraction of its capacity that a backend starts with.
const START_CAPACITY: f64 = 0.5;
/// Cost of a backend in another zone when a backend is selected, as a fraction of a request's
/// value: enough to decide between otherwise equal backends.
const CROSS_ZONE_PRICE: f64 = 0.002;
/// Fraction of its value that a request keeps beyond its latency target, since a late response is
/// still useful.
const LATE_VALUE: f64 = 0.1;
/// Largest `Retry-After`.
const MAX_RETRY_AFTER: Millis = 1000.0;
/// Fraction of the setting `RetrySlack` (additional retries allowed in a window) that all proxies
/// together may accumulate as unused retries.
const SAVED_RETRY_SLACK_FRACTION: f64 = 0.6;

/// A known backend instance.
#[derive(Clone, Debug)]
pub struct Backend {
    /// The instance id used on the wire.
    pub instance: Rc<str>,
    /// Index of the instance's service.
    pub service: usize,
    /// The address on which the instance listens.
    pub address: SocketAddr,
    entry: BackendEntry,
}

/// A service: its policy and the classes of its routes.
pub struct Service {
    /// The policy that selects backends, retries and rejects.
    pub gateway: Gateway,
    classes: Vec<Class>,
}

/// All services and their backends. Services are never removed; their number is bounded by the
/// service names that configurations have had since the start.
pub struct Services {
    bounds: Bounds,
    seed: u64,
    /// Number of proxies that share the retry budget, including this one.
    proxy_count: u32,
    zone: String,
    zones: BTreeMap<String, ZoneId>,
    services: Vec<Service>,
    indexes: HashMap<String, usize>,
    instances: HashMap<String, BackendId>,
    backends: HashMap<BackendId, Backend>,
    last_backend_id: u32,
}

/// A change of a backend's connection pool.
#[derive(Clone, Debug, PartialEq)]
pub enum PoolCommand {
    /// The backend accepts requests at this address.
    Open(BackendId, SocketAddr),
    /// The backend accepts no new requests.
    Drain(BackendId),
    /// The backend has been removed.
    Remove(BackendId),
}

/// The change of a backend that results from an instance record.
#[derive(Clone, Debug)]
pub struct BackendChange {
    /// Index of the backend's service.
    pub service: usize,
    /// The backend's new entry for the policy.
    pub entry: BackendEntry,
    /// The change of the backend's connection pool.
    pub pool: PoolCommand,
}

impl Services {
    /// Creates an empty set of services. `zone` is the proxy's own zone, `seed` the seed of the
    /// gateways' random number generators.
    pub fn new(bounds: Bounds, zone: &str, seed: u64) -> Services {
        Services {
            bounds,
            seed,
            proxy_count: 1,
            zone: zone.to_owned(),
            zones: BTreeMap::new(),
            services: Vec::new(),
            indexes: HashMap::new(),
            instances: HashMap::new(),
            backends: HashMap::new(),
            last_backend_id: 0,
        }
    }

    /// Returns whether any service has a backend.
    pub fn has_backends(&self) -> bool {
        !self.backends.is_empty()
    }

    /// Returns a backend by its id.
    pub fn backend(&self, id: BackendId) -> Option<&Backend> {
        self.backends.get(&id)
    }

    /// Returns a service by its index.
    pub fn get(&self, index: usize) -> Option<&Service> {
        self.services.get(index)
    }

    /// Returns a mutable reference to a service by its index.
    pub fn get_mut(&mut self, index: usize) -> Option<&mut Service> {
        self.services.get_mut(index)
    }

    /// Returns whether a service has a backend that accepts requests.
    pub fn has_ready_backend(&self, service: usize) -> bool {
        self.backends.values().any(|backend| {
            backend.service == service && backend.entry.availability == Availability::Ready
        })
    }

    /// Returns the index of a service. A new name adds a service.
    pub fn index_of(&mut self, name: &str) -> usize {
        if let Some(index) = self.indexes.get(name) {
            return *index;
        }
        let index = self.services.len();
        let zone = self.zone(&self.zone.clone());
        let seed = self.seed.wrapping_add(index as u64);
        let gateway = Gateway::new(self.gateway_settings(zone), seed);
        self.services.push(Service {
            gateway,
            classes: Vec::new(),
        });
        self.indexes.insert(name.to_owned(), index);
        index
    }

    fn gateway_settings(&self, zone: ZoneId) -> Settings {
        Settings {
            gateways: self.proxy_count,
            zone,
            tick: 1.0,
            plans: vec![Plan::default()],
            max_attempts: u32::MAX,
            retry_ratio: self.bounds.retry_budget_ratio,
            initial_retries: 0.0,
            max_saved_retries: self.max_saved_retries(),
            retry_window: self.bounds.retry_window_s * 1000.0,
            retry_after: true,
            max_retry_after: MAX_RETRY_AFTER,
            cross_zone_price: CROSS_ZONE_PRICE,
            drain_grace: self.bounds.drain_s * 1000.0,
            start_capacity: START_CAPACITY,
            warm_up: WARM_UP,
            ..Settings::default()
        }
    }

    /// Returns how many unused retries one proxy may accumulate for one service: if all proxies
    /// accumulate as many, their total is the fraction [`SAVED_RETRY_SLACK_FRACTION`] of the
    /// setting `RetrySlack`.
    fn max_saved_retries(&self) -> f64 {
        SAVED_RETRY_SLACK_FRACTION * self.bounds.retry_slack / f64::from(self.proxy_count)
    }

    /// Sets how many proxies share the retry budget.
    pub fn set_proxy_count(&mut self, proxies: u32) {
        if proxies != self.proxy_count {
            self.proxy_count = proxies;
            self.update_gateways();
        }
    }

    /// Applies the bounds of the settings file.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
        self.update_gateways();
    }

    fn update_gateways(&mut self) {
        let proxies = self.proxy_count;
        let max_saved_retries = self.max_saved_retries();
        let retry_window = self.bounds.retry_window_s * 1000.0;
        let retry_ratio = self.bounds.retry_budget_ratio;
        for service in &mut self.services {
            service.gateway.amend(|settings| {
                settings.gateways = proxies;
                settings.max_saved_retries = max_saved_retries;
                settings.retry_window = retry_window;
                settings.retry_ratio = retry_ratio;
            });
        }
    }

    /// Returns the policy's request class for a route (latency target, deadline, value, retries) at
    /// a service. Routes with equal settings share a class.
    pub fn class(&mut self, service: usize, route: &Route) -> ClassId {
        let class = Class {
            latency_target: route.latency_target,
            deadline: route.timeout,
            value: 1.0,
            late_value: LATE_VALUE,
            idempotency: if route.idempotent {
                Idempotency::Idempotent
            } else {
                Idempotency::NonIdempotent
            },
            streaming: false,
            max_attempts: route.max_attempts,
        };
        let Some(service) = self.services.get_mut(service) else {
            return ClassId(0);
        };
        if let Some(known) = service.classes.iter().position(|known| *known == class) {
            return ClassId(known);
        }
        service.classes.push(class);
        let classes = service.classes.clone();
        service.gateway.amend(|settings| settings.classes = classes);
        ClassId(service.classes.len() - 1)
    }

    /// Applies an instance's record. Returns `None` for an unknown instance that has already ended
    /// or has no valid address.
    pub fn apply_record(&mut self, now: Millis, record: &InstanceRecord) -> Option<BackendChange> {
        let availability = match record.state() {
            InstanceState::Serving => Availability::Ready,
            InstanceState::Draining => Availability::Draining,
            InstanceState::Expired | InstanceState::Deregistered => Availability::Removed,
        };
        let id = match self.instances.get(&record.id).copied() {
            Some(id) => id,
            None if availability == Availability::Removed => return None,
            None => self.add_backend(now, record, availability)?,
        };
        let backend = self.backends.get_mut(&id)?;
        backend.entry.availability = availability;
        let (service, entry, address) = (backend.service, backend.entry, backend.address);
        let pool = match availability {
            Availability::Ready => PoolCommand::Open(id, address),
            Availability::Draining => PoolCommand::Drain(id),
            Availability::Removed => {
                self.instances.remove(&record.id);
                self.backends.remove(&id);
                PoolCommand::Remove(id)
            }
        };
        Some(BackendChange {
            service,
            entry,
            pool,
        })
    }

    fn add_backend(
        &mut self,
        now: Millis,
        record: &InstanceRecord,
        availability: Availability,
    ) -> Option<BackendId> {
        let address = record.address.parse().ok()?;
        let zone = self.zone(&record.zone);
        let service = self.index_of(&record.service);
        self.last_backend_id = self.last_backend_id.wrapping_add(1);
        let id = BackendId(self.last_backend_id);
        let warm_up_left = f64::from(record.warmup_left_ms);
        let entry = BackendEntry {
            id,
            zone,
            cell: CellId(0),
            availability,
            started: (warm_up_left > 0.0).then(|| now - (WARM_UP - warm_up_left.min(WARM_UP))),
            size: f64::from(record.capacity.max(1)),
        };
        self.instances.insert(record.id.clone(), id);
        let backend = Backend {
            instance: record.id.as_str().into(),
            service,
            address,
            entry,
        };
        self.backends.insert(id, backend);
        Some(id)
    }

    fn zone(&mut self, name: &str) -> ZoneId {
        let next = ZoneId(self.zones.len() as u32);
        *self.zones.entry(name.to_owned()).or_insert(next)
    }
}
