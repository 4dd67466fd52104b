//! The board as a door looks requests up in it.

use crate::item::Kind;
use crate::items::Items;
use crate::typed::{Limits, Route, Service, Tenant};
use std::collections::HashMap;

/// Routes by host and path, tenants by key.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// All routes, in the order of their names.
    pub routes: Vec<Route>,
    /// All tenants, in the order of their names.
    pub tenants: Vec<Tenant>,
    /// All services, in the order of their names.
    pub services: Vec<Service>,
    /// What clients may send.
    pub limits: Limits,
    /// Routes of each host, the longest prefix first.
    hosts: HashMap<String, Vec<usize>>,
    keys: HashMap<String, usize>,
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Way<'a> {
    /// To this route; with the tenant whose key came, if one did.
    Route(&'a Route, Option<&'a Tenant>),
    /// There is no route.
    Nowhere,
    /// The route asks for a key that is known.
    Stranger,
}

impl Plan {
    /// What these items say. What cannot be used is left out; no board that was checked holds any.
    pub fn of(items: &impl AsRef<Items>) -> Plan {
        let board = items.as_ref();
        let mut plan = Plan {
            routes: board.standing(Kind::Route).filter_map(|item| Route::of(item).ok()).collect(),
            tenants: board.standing(Kind::Tenant).filter_map(|item| Tenant::of(item).ok()).collect(),
            services: board.standing(Kind::Service).filter_map(|item| Service::of(item).ok()).collect(),
            limits: board
                .standing(Kind::Limits)
                .next()
                .and_then(|item| Limits::of(item).ok())
                .unwrap_or_default(),
            ..Plan::default()
        };
        for (place, route) in plan.routes.iter().enumerate() {
            plan.hosts.entry(route.host.clone()).or_default().push(place);
        }
        for places in plan.hosts.values_mut() {
            places.sort_by_key(|place| std::cmp::Reverse(plan.routes[*place].prefix.len()));
        }
        for (place, tenant) in plan.tenants.iter().enumerate() {
            plan.keys.extend(tenant.keys.iter().map(|key| (key.clone(), place)));
        }
        plan
    }

    /// The route of a host and path: the longest prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, port)| {
            if port.bytes().all(|byte| byte.is_ascii_digit()) {
                name
            } else {
                host
            }
        });
        let places = self.hosts.get(&host.to_ascii_lowercase())?;
        places.iter().map(|place| &self.routes[*place]).find(|route| path.starts_with(&route.prefix))
    }

    /// The tenant that holds a key.
    pub fn tenant(&self, key: &str) -> Option<&Tenant> {
        self.keys.get(key).map(|place| &self.tenants[*place])
    }

    /// Where a request goes that came with this key. Without tenants no key is asked for.
    pub fn way(&self, host: &str, path: &str, key: Option<&str>) -> Way<'_> {
        let Some(route) = self.route(host, path) else { return Way::Nowhere };
        let tenant = key.and_then(|key| self.tenant(key));
        match tenant {
            None if !route.public && !self.tenants.is_empty() => Way::Stranger,
            tenant => Way::Route(route, tenant),
        }
    }
}
