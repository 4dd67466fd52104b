//! A reference model of validation: it keeps all versions that were ever accepted and checks the
//! whole configuration for every call.

use maplefall_gateway_config::{Change, Item, ItemKind, Route, Tenant};
use std::collections::{BTreeMap, BTreeSet};

/// All versions that were ever accepted, in the order of acceptance.
#[derive(Clone, Debug, Default)]
pub struct ReferenceModel(pub Vec<Item>);

/// The result of validating a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValidationOutcome {
    /// All items of the call exist already.
    AlreadyApplied,
    /// Some items of the call are new.
    Accepted,
    /// The call is rejected with HTTP status 409.
    Conflict,
    /// The call is rejected with HTTP status 400.
    Invalid,
}

fn version_key(item: &Item) -> (ItemKind, String, u32) {
    (item.kind(), item.name.clone(), item.version)
}

impl ReferenceModel {
    /// Adds the new items of a change.
    pub fn accept(&mut self, change: &Change) {
        for item in &change.items {
            if !self
                .0
                .iter()
                .any(|known| version_key(known) == version_key(item))
            {
                self.0.push(item.clone());
            }
        }
    }

    /// Returns the highest version of each item, including removed ones.
    pub fn latest(&self) -> BTreeMap<(ItemKind, String), Item> {
        let mut latest: BTreeMap<(ItemKind, String), Item> = BTreeMap::new();
        for item in &self.0 {
            let key = (item.kind(), item.name.clone());
            if latest
                .get(&key)
                .is_none_or(|known| known.version < item.version)
            {
                latest.insert(key, item.clone());
            }
        }
        latest
    }

    /// Validates a call against all accepted versions.
    pub fn validate(&self, change: &Change) -> ValidationOutcome {
        let known = |item: &Item| {
            self.0
                .iter()
                .find(|known| version_key(known) == version_key(item))
        };
        if change
            .items
            .iter()
            .any(|item| known(item).is_some_and(|known| known != item))
        {
            return ValidationOutcome::Conflict;
        }
        let new: Vec<Item> = change
            .items
            .iter()
            .filter(|item| known(item).is_none())
            .cloned()
            .collect();
        if new.is_empty() {
            return ValidationOutcome::AlreadyApplied;
        }
        let mut merged = self.clone();
        merged.accept(&Change { items: new.clone() });
        if merged.is_consistent(&new) {
            ValidationOutcome::Accepted
        } else {
            ValidationOutcome::Invalid
        }
    }

    /// Returns whether the active items are consistent, and the services exist to which the
    /// proposed items refer, even if those items are superseded.
    pub fn is_consistent(&self, proposed: &[Item]) -> bool {
        let latest = self.latest();
        let active = |kind: ItemKind| {
            latest
                .values()
                .filter(move |item| item.kind() == kind && !item.dropped)
        };
        let services: BTreeSet<&str> = active(ItemKind::Service)
            .map(|service| service.name.as_str())
            .collect();
        let proposed = proposed
            .iter()
            .filter(|item| item.kind() == ItemKind::Route && !item.dropped);
        for item in proposed.chain(active(ItemKind::Route)) {
            let Ok(route) = Route::from_item(item) else {
                return false;
            };
            if route
                .destinations
                .iter()
                .any(|destination| !services.contains(destination.service.as_str()))
            {
                return false;
            }
        }
        let mut route_keys: BTreeSet<(String, String)> = BTreeSet::new();
        for item in active(ItemKind::Route) {
            let Ok(route) = Route::from_item(item) else {
                return false;
            };
            if !route_keys.insert((route.host, route.prefix)) {
                return false;
            }
        }
        let mut keys: BTreeMap<String, String> = BTreeMap::new();
        for item in active(ItemKind::Tenant) {
            let Ok(tenant) = Tenant::from_item(item) else {
                return false;
            };
            for key in tenant.keys {
                if keys
                    .insert(key, item.name.clone())
                    .is_some_and(|other| other != item.name)
                {
                    return false;
                }
            }
        }
        true
    }
}
