//! The board as a door looks requests up in it.

use crate::item::{Change, Item, ItemKind};
use crate::item_set::ItemSet;
use crate::model::{Limits, Route, Service, Tenant};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// Routes by host and path, tenants by key. It follows its items change by change: see [`Plan::patch`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    /// All routes by name.
    pub routes: BTreeMap<String, Arc<Route>>,
    /// All tenants by name.
    pub tenants: BTreeMap<String, Arc<Tenant>>,
    /// All services by name.
    pub services: BTreeMap<String, Service>,
    /// What clients may send.
    pub limits: Limits,
    /// Routes of each host, the longest prefix first.
    hosts: HashMap<String, Vec<Arc<Route>>>,
    keys: HashMap<String, Arc<Tenant>>,
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RouteMatch<'a> {
    /// To this route; with the tenant whose key came, if one did.
    Matched(&'a Route, Option<&'a Tenant>),
    /// There is no route.
    NoRoute,
    /// The route asks for a key that is known.
    UnknownKey,
}

impl RouteTable {
    /// What these items say. What cannot be used is left out; no board that was checked holds any.
    pub fn from_items(items: &impl AsRef<ItemSet>) -> RouteTable {
        let (items, mut plan) = (items.as_ref(), RouteTable::default());
        for kind in [
            ItemKind::Route,
            ItemKind::Tenant,
            ItemKind::Service,
            ItemKind::Limits,
        ] {
            items.active(kind).for_each(|item| plan.put(item));
        }
        plan
    }

    /// Follows changes that these items have joined: only the names in them are looked at.
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
            // Two names may have swapped a key: what another holds by now is left.
            self.take_out(kind, name);
            if let Some(item) = items.as_ref().get(kind, name).filter(|item| !item.dropped) {
                self.put(item);
            }
        }
    }

    fn put(&mut self, item: &Item) {
        match item.kind() {
            ItemKind::Route => {
                let Ok(route) = Route::of(item).map(Arc::new) else {
                    return;
                };
                if !self.hosts.contains_key(&route.host) {
                    self.hosts.insert(route.host.clone(), Vec::new());
                }
                if let Some(routes) = self.hosts.get_mut(&route.host) {
                    let order =
                        |route: &Route| (std::cmp::Reverse(route.prefix.len()), route.name.clone());
                    let at = routes.partition_point(|other| order(other) < order(&route));
                    routes.insert(at, route.clone());
                }
                self.routes.insert(route.name.clone(), route);
            }
            ItemKind::Tenant => {
                let Ok(tenant) = Tenant::of(item).map(Arc::new) else {
                    return;
                };
                self.keys
                    .extend(tenant.keys.iter().map(|key| (key.clone(), tenant.clone())));
                self.tenants.insert(tenant.name.clone(), tenant);
            }
            ItemKind::Service => {
                if let Ok(service) = Service::of(item) {
                    self.services.insert(service.name.clone(), service);
                }
            }
            ItemKind::Limits => self.limits = Limits::of(item).unwrap_or_default(),
        }
    }

    fn take_out(&mut self, kind: ItemKind, name: &str) {
        match kind {
            ItemKind::Route => {
                let Some(route) = self.routes.remove(name) else {
                    return;
                };
                if let Some(routes) = self.hosts.get_mut(&route.host) {
                    routes.retain(|other| other.name != name);
                    if routes.is_empty() {
                        self.hosts.remove(&route.host);
                    }
                }
            }
            ItemKind::Tenant => {
                let Some(tenant) = self.tenants.remove(name) else {
                    return;
                };
                for key in &tenant.keys {
                    if self.keys.get(key).is_some_and(|holder| holder.name == name) {
                        self.keys.remove(key);
                    }
                }
            }
            ItemKind::Service => {
                self.services.remove(name);
            }
            ItemKind::Limits => self.limits = Limits::default(),
        }
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
        let routes = self.hosts.get(&host.to_ascii_lowercase())?;
        routes
            .iter()
            .map(|route| &**route)
            .find(|route| path.starts_with(&route.prefix))
    }

    /// The tenant that holds a key.
    pub fn tenant(&self, key: &str) -> Option<&Tenant> {
        self.keys.get(key).map(|tenant| &**tenant)
    }

    /// Where a request goes that came with this key. Without tenants no key is asked for.
    pub fn resolve(&self, host: &str, path: &str, key: Option<&str>) -> RouteMatch<'_> {
        let Some(route) = self.route(host, path) else {
            return RouteMatch::NoRoute;
        };
        let tenant = key.and_then(|key| self.tenant(key));
        match tenant {
            None if !route.public && !self.tenants.is_empty() => RouteMatch::UnknownKey,
            tenant => RouteMatch::Matched(route, tenant),
        }
    }
}
