//! The services of a door: for each, the decision module with its backends.

use maplefall_gateway_config::Route;
use maplefall_node_settings::Bounds;
use maplefall_policy::*;
use maplefall_service_registry::{InstanceRecord, InstanceState};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

/// Time after which a backend that started is warm, where it does not say.
const WARM_UP: Millis = 3000.0;
/// Part of its capacity that a backend starts with, at least.
const START_CAPACITY: f64 = 0.5;
/// Price of crossing zones for the choice among backends, as a part of the worth: enough to decide between equals.
const CROSSING: f64 = 0.002;
/// Part of the late worth that a request keeps: what is late is still worth an answer.
const LATE_WORTH: f64 = 0.1;
/// Longest advice to come back.
const LONGEST_ADVICE: Millis = 1000.0;
/// Part of the slack of the budget of repeats that all doors together may save up.
const SAVED: f64 = 0.6;

/// One life of a backend, as the door knows it.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Its id on the wire.
    pub instance: Rc<str>,
    /// Its service.
    pub service: usize,
    /// Where it listens.
    pub address: SocketAddr,
    entry: BackendEntry,
}

/// One service.
pub struct Service {
    /// Its decisions.
    pub gateway: Gateway,
    classes: Vec<Class>,
}

/// All services.
pub struct Services {
    bounds: Bounds,
    seed: u64,
    doors: u32,
    zone: String,
    zones: BTreeMap<String, ZoneId>,
    list: Vec<Service>,
    names: HashMap<String, usize>,
    lives: HashMap<String, BackendId>,
    backends: HashMap<BackendId, Backend>,
    last: u32,
}

/// What becomes of a backend's connections.
#[derive(Clone, Debug, PartialEq)]
pub enum PoolCommand {
    /// It may be sent to, at this address.
    Open(BackendId, SocketAddr),
    /// Nothing new.
    Drain(BackendId),
    /// It is gone.
    Remove(BackendId),
}

impl Services {
    /// No services yet.
    pub fn new(bounds: Bounds, zone: &str, seed: u64) -> Services {
        Services {
            bounds,
            seed,
            doors: 1,
            zone: zone.to_owned(),
            zones: BTreeMap::new(),
            list: Vec::new(),
            names: HashMap::new(),
            lives: HashMap::new(),
            backends: HashMap::new(),
            last: 0,
        }
    }

    /// Whether any service has a backend.
    pub fn any(&self) -> bool {
        !self.backends.is_empty()
    }

    /// A backend by its number.
    pub fn backend(&self, id: BackendId) -> Option<&Backend> {
        self.backends.get(&id)
    }

    /// A service by its place.
    pub fn get(&mut self, place: usize) -> Option<&mut Service> {
        self.list.get_mut(place)
    }

    /// Whether a service has a backend that takes requests.
    pub fn has_any(&self, place: usize) -> bool {
        let takes = |b: &Backend| b.service == place && b.entry.availability == Availability::Ready;
        self.backends.values().any(takes)
    }

    /// The place of a service; a name that is new gets one.
    pub fn place(&mut self, name: &str) -> usize {
        if let Some(place) = self.names.get(name) {
            return *place;
        }
        let place = self.list.len();
        let zone = self.zone(&self.zone.clone());
        let seed = self.seed.wrapping_add(place as u64);
        let gateway = Gateway::new(self.settings(zone), seed);
        self.list.push(Service {
            gateway,
            classes: Vec::new(),
        });
        self.names.insert(name.to_owned(), place);
        place
    }

    fn settings(&self, zone: ZoneId) -> Settings {
        Settings {
            gateways: self.doors,
            zone,
            tick: 1.0,
            plans: vec![Plan::default()],
            max_attempts: u32::MAX,
            retry_share: self.bounds.retry_budget_ratio,
            retry_start: 0.0,
            retry_depth: self.saved(),
            retry_after: true,
            max_retry_after: LONGEST_ADVICE,
            cross_zone_price: CROSSING,
            drain_grace: self.bounds.drain_s * 1000.0,
            start_capacity: START_CAPACITY,
            warm_up: WARM_UP,
            ..Settings::default()
        }
    }

    /// Repeats that one door may save up for one service: with all others as many, they stay within the slack.
    fn saved(&self) -> f64 {
        SAVED * self.bounds.retry_slack / f64::from(self.doors)
    }

    /// So many doors are known.
    pub fn set_doors(&mut self, doors: u32) {
        if doors != self.doors {
            self.doors = doors;
            self.amend();
        }
    }

    /// Goes by these bounds from now on.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
        self.amend();
    }

    fn amend(&mut self) {
        let (doors, saved, share) = (self.doors, self.saved(), self.bounds.retry_budget_ratio);
        for service in &mut self.list {
            service.gateway.amend(|set| {
                (set.gateways, set.retry_depth, set.retry_share) = (doors, saved, share);
            });
        }
    }

    /// The class of a route at a service: routes that say the same share one.
    pub fn class(&mut self, place: usize, route: &Route) -> ClassId {
        let class = Class {
            aim: route.latency_target,
            deadline: route.timeout,
            worth: 1.0,
            late_worth: LATE_WORTH,
            effect: if route.idempotent {
                Effect::Safe
            } else {
                Effect::Unsafe
            },
            streaming: false,
            max_attempts: route.max_attempts,
        };
        let Some(service) = self.list.get_mut(place) else {
            return ClassId(0);
        };
        if let Some(known) = service.classes.iter().position(|known| *known == class) {
            return ClassId(known);
        }
        service.classes.push(class);
        let classes = service.classes.clone();
        service.gateway.amend(|set| set.classes = classes);
        ClassId(service.classes.len() - 1)
    }

    /// Takes in a word about a backend: its service, what its decisions are to hear, and what becomes of its connections.
    pub fn hear(
        &mut self,
        now: Millis,
        word: &InstanceRecord,
    ) -> Option<(usize, BackendEntry, PoolCommand)> {
        let known = self.lives.get(&word.id).copied();
        let availability = match word.state() {
            InstanceState::Serving => Availability::Ready,
            InstanceState::Draining => Availability::Draining,
            InstanceState::Expired | InstanceState::Deregistered => Availability::Gone,
        };
        let id = match known {
            Some(id) => id,
            None if availability == Availability::Gone => return None,
            None => {
                let address = word.address.parse().ok()?;
                let zone = self.zone(&word.zone);
                let service = self.place(&word.service);
                self.last = self.last.wrapping_add(1);
                let id = BackendId(self.last);
                let cold = f64::from(word.warmup_left_ms);
                let entry = BackendEntry {
                    id,
                    zone,
                    cell: CellId(0),
                    availability,
                    started: (cold > 0.0).then(|| now - (WARM_UP - cold.min(WARM_UP))),
                    size: f64::from(word.capacity.max(1)),
                };
                self.lives.insert(word.id.clone(), id);
                let backend = Backend {
                    instance: word.id.as_str().into(),
                    service,
                    address,
                    entry,
                };
                self.backends.insert(id, backend);
                id
            }
        };
        let backend = self.backends.get_mut(&id)?;
        backend.entry.availability = availability;
        let (service, entry, address) = (backend.service, backend.entry, backend.address);
        let pool = match availability {
            Availability::Ready => PoolCommand::Open(id, address),
            Availability::Draining => PoolCommand::Drain(id),
            Availability::Gone => {
                self.lives.remove(&word.id);
                self.backends.remove(&id);
                PoolCommand::Remove(id)
            }
        };
        Some((service, entry, pool))
    }

    fn zone(&mut self, name: &str) -> ZoneId {
        let next = ZoneId(self.zones.len() as u32);
        *self.zones.entry(name.to_owned()).or_insert(next)
    }
}
