//! The claims of an item: the keys that no other item may have (host and path prefix, API keys) and
//! the services that it refers to.

use crate::error::ConfigError;
use crate::item::{Item, ItemKind};
use crate::model::{Route, Tenant};
use std::collections::BTreeSet;

/// The host and path prefix of a route; unique among the active routes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct RouteKey {
    /// The host, in lower case.
    pub(crate) host: String,
    pub(crate) path_prefix: String,
}

/// The claims of one version of an item; empty if that version removes the item.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Claims {
    /// The key of a route; `None` for other kinds of items.
    pub(crate) route_key: Option<RouteKey>,
    /// The services that a route refers to, sorted and without duplicates.
    pub(crate) services: Vec<String>,
    /// The API keys of a tenant, sorted and without duplicates.
    pub(crate) api_keys: Vec<String>,
}

impl Claims {
    /// Reads the claims of an item.
    pub(crate) fn from_item(item: &Item) -> Result<Claims, ConfigError> {
        if item.dropped {
            return Ok(Claims::default());
        }
        match item.kind() {
            ItemKind::Route => Ok(Claims::of_route(Route::from_item(item)?)),
            ItemKind::Tenant => Ok(Claims::of_tenant(Tenant::from_item(item)?)),
            ItemKind::Service | ItemKind::Limits => Ok(Claims::default()),
        }
    }

    fn of_route(route: Route) -> Claims {
        let services = route
            .destinations
            .into_iter()
            .map(|destination| destination.service);
        Claims {
            route_key: Some(RouteKey {
                host: route.host,
                path_prefix: route.prefix,
            }),
            services: sorted_unique(services),
            api_keys: Vec::new(),
        }
    }

    fn of_tenant(tenant: Tenant) -> Claims {
        Claims {
            api_keys: sorted_unique(tenant.keys.into_iter()),
            ..Claims::default()
        }
    }
}

fn sorted_unique(names: impl Iterator<Item = String>) -> Vec<String> {
    let names: BTreeSet<String> = names.collect();
    names.into_iter().collect()
}
