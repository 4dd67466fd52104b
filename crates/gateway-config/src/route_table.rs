//! Request lookup in a proxy: routes by host and path prefix, tenants by API key.
//!
//! Invariant: a table that is kept up to date by [`RouteTable::patch`] equals a table built from
//! the same items.

use crate::item::{Change, Item, ItemKind};
use crate::item_set::ItemSet;
use crate::model::{Limits, Route, Service, Tenant};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// The active routes, tenants, services and limits, indexed for request lookup.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    /// All routes by name.
    pub routes: BTreeMap<String, Arc<Route>>,
    /// All tenants by name.
    pub tenants: BTreeMap<String, Arc<Tenant>>,
    /// All services by name.
    pub services: BTreeMap<String, Service>,
    /// The limits on client requests.
    pub limits: Limits,
    /// The routes of each host, sorted by descending prefix length, then by name.
    hosts: HashMap<String, Vec<Arc<Route>>>,
    /// The tenant of each API key.
    keys: HashMap<String, Arc<Tenant>>,
    /// Whether the items include a tenant, removed ones included.
    requires_key: bool,
}

/// The result of a request lookup.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RouteMatch<'a> {
    /// The route of the request, and the tenant of its API key, if any.
    Matched(&'a Route, Option<&'a Tenant>),
    /// No route has this host and a prefix of this path.
    NoRoute,
    /// The route requires a known API key, which the request does not have.
    UnknownKey,
}

impl RouteTable {
    /// Builds the table of these items. Items that cannot be read are skipped; a validated
    /// configuration has none.
    pub fn from_items(items: &impl AsRef<ItemSet>) -> RouteTable {
        let mut table = RouteTable::default();
        for kind in ItemKind::ALL {
            for item in items.as_ref().active(kind) {
                table.insert(item);
            }
        }
        table.requires_key = items.as_ref().has_any(ItemKind::Tenant);
        table
    }

    /// Returns the shortest timeout of all routes, in milliseconds; `None` if there are no routes.
    pub fn shortest_timeout(&self) -> Option<f64> {
        let timeouts = self.routes.values().map(|route| route.timeout);
        timeouts.min_by(f64::total_cmp)
    }

    /// Updates the table after `changes` were applied to `items`. The cost grows with the changes,
    /// not with the items.
    pub fn patch<'a>(
        &mut self,
        items: &impl AsRef<ItemSet>,
        changes: impl Iterator<Item = &'a Change>,
    ) {
        let names: BTreeSet<(ItemKind, &str)> = changes
            .flat_map(|change| &change.items)
            .map(|item| (item.kind(), item.name.as_str()))
            .collect();
        for (kind, name) in names {
            self.remove(kind, name);
            if let Some(item) = items.as_ref().get(kind, name).filter(|item| !item.dropped) {
                self.insert(item);
            }
        }
        self.requires_key = items.as_ref().has_any(ItemKind::Tenant);
    }

    fn insert(&mut self, item: &Item) {
        match item.kind() {
            ItemKind::Route => {
                if let Ok(route) = Route::from_item(item) {
                    self.insert_route(Arc::new(route));
                }
            }
            ItemKind::Tenant => {
                if let Ok(tenant) = Tenant::from_item(item) {
                    self.insert_tenant(Arc::new(tenant));
                }
            }
            ItemKind::Service => {
                if let Ok(service) = Service::from_item(item) {
                    self.services.insert(service.name.clone(), service);
                }
            }
            ItemKind::Limits => self.limits = Limits::from_item(item).unwrap_or_default(),
        }
    }

    fn insert_route(&mut self, route: Arc<Route>) {
        if !self.hosts.contains_key(&route.host) {
            self.hosts.insert(route.host.clone(), Vec::new());
        }
        if let Some(routes) = self.hosts.get_mut(&route.host) {
            let order = |route: &Route| (Reverse(route.prefix.len()), route.name.clone());
            let index = routes.partition_point(|other| order(other) < order(&route));
            routes.insert(index, route.clone());
        }
        self.routes.insert(route.name.clone(), route);
    }

    fn insert_tenant(&mut self, tenant: Arc<Tenant>) {
        self.keys
            .extend(tenant.keys.iter().map(|key| (key.clone(), tenant.clone())));
        self.tenants.insert(tenant.name.clone(), tenant);
    }

    fn remove(&mut self, kind: ItemKind, name: &str) {
        match kind {
            ItemKind::Route => self.remove_route(name),
            ItemKind::Tenant => self.remove_tenant(name),
            ItemKind::Service => {
                self.services.remove(name);
            }
            ItemKind::Limits => self.limits = Limits::default(),
        }
    }

    fn remove_route(&mut self, name: &str) {
        let Some(route) = self.routes.remove(name) else {
            return;
        };
        let Some(routes) = self.hosts.get_mut(&route.host) else {
            return;
        };
        routes.retain(|other| other.name != name);
        if routes.is_empty() {
            self.hosts.remove(&route.host);
        }
    }

    fn remove_tenant(&mut self, name: &str) {
        let Some(tenant) = self.tenants.remove(name) else {
            return;
        };
        for key in &tenant.keys {
            // Another tenant in the same change may have the API key by now.
            if self.keys.get(key).is_some_and(|owner| owner.name == name) {
                self.keys.remove(key);
            }
        }
    }

    /// Returns the route of this host with the longest prefix of the path. The host may include a
    /// port and is compared case-insensitively.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, port)| {
            if port.bytes().all(|byte| byte.is_ascii_digit()) {
                name
            } else {
                host
            }
        });
        let routes = self.hosts.get(&host.to_ascii_lowercase())?;
        routes
            .iter()
            .map(|route| &**route)
            .find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the tenant with this API key.
    pub fn tenant(&self, key: &str) -> Option<&Tenant> {
        self.keys.get(key).map(|tenant| &**tenant)
    }

    /// Returns whether a request on a route that is not public needs a known API key: it does from
    /// the first tenant on, also once all tenants are removed, since a removal must not open routes.
    pub fn requires_key(&self) -> bool {
        self.requires_key
    }

    /// Looks up a request by host, path and API key.
    pub fn resolve(&self, host: &str, path: &str, key: Option<&str>) -> RouteMatch<'_> {
        let Some(route) = self.route(host, path) else {
            return RouteMatch::NoRoute;
        };
        let tenant = key.and_then(|key| self.tenant(key));
        match tenant {
            None if !route.public && self.requires_key() => RouteMatch::UnknownKey,
            tenant => RouteMatch::Matched(route, tenant),
        }
    }
}
