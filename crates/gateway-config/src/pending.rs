//! Changes that are proposed but not yet applied, indexed by item and by claim.

use crate::claims::{Claims, RouteKey};
use crate::history::{digest, Digest};
use crate::item::{Change, Item, ItemKind};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A version of an item in a pending change.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingVersion {
    pub(crate) version: u32,
    pub(crate) digest: Digest,
    /// Index of the log entry that contains this version.
    pub(crate) index: u64,
}

/// An item that pending changes set or remove.
#[derive(Clone, Debug)]
pub(crate) struct PendingItem {
    /// The highest pending version of the item.
    pub(crate) latest: Arc<Item>,
    /// The claims of `latest`.
    pub(crate) claims: Claims,
    /// All pending versions of the item.
    pub(crate) versions: Vec<PendingVersion>,
}

impl PendingItem {
    pub(crate) fn find(&self, version: u32) -> Option<&PendingVersion> {
        self.versions.iter().find(|known| known.version == version)
    }
}

/// Names of items by a claim that any of their pending versions has. [`PendingItem::claims`] shows
/// whether the latest version still has the claim.
pub(crate) type ClaimIndex<K> = BTreeMap<K, BTreeSet<String>>;

/// Changes that follow a [`ConfigState`](crate::ConfigState) in the log, in log order. Some of them
/// may already be applied to that state.
#[derive(Clone, Debug, Default)]
pub struct PendingChanges {
    pub(crate) kinds: [BTreeMap<String, PendingItem>; ItemKind::COUNT],
    pub(crate) route_keys: ClaimIndex<RouteKey>,
    pub(crate) service_users: ClaimIndex<String>,
    pub(crate) api_keys: ClaimIndex<String>,
}

impl PendingChanges {
    /// Adds the validated change of the log entry with this index. An item that cannot be read has
    /// no claims.
    pub fn add(&mut self, index: u64, change: &Change) {
        for item in &change.items {
            let claims = Claims::from_item(item).unwrap_or_default();
            self.insert(index, item, claims);
        }
    }

    pub(crate) fn insert(&mut self, index: u64, item: &Item, claims: Claims) {
        self.index_claims(&item.name, &claims);
        let version = PendingVersion {
            version: item.version,
            digest: digest(item),
            index,
        };
        let items = &mut self.kinds[item.kind() as usize];
        let Some(pending) = items.get_mut(&item.name) else {
            let pending = PendingItem {
                latest: Arc::new(item.clone()),
                claims,
                versions: vec![version],
            };
            items.insert(item.name.clone(), pending);
            return;
        };
        // A repeated version is attributed to the first entry that contains it.
        if pending.find(item.version).is_none() {
            pending.versions.push(version);
        }
        if item.version > pending.latest.version {
            pending.latest = Arc::new(item.clone());
            pending.claims = claims;
        }
    }

    fn index_claims(&mut self, name: &str, claims: &Claims) {
        if let Some(route_key) = &claims.route_key {
            index_claim(&mut self.route_keys, route_key, name);
        }
        for service in &claims.services {
            index_claim(&mut self.service_users, service, name);
        }
        for api_key in &claims.api_keys {
            index_claim(&mut self.api_keys, api_key, name);
        }
    }

    pub(crate) fn get(&self, kind: ItemKind, name: &str) -> Option<&PendingItem> {
        self.kinds[kind as usize].get(name)
    }
}

fn index_claim<K: Clone + Ord>(index: &mut ClaimIndex<K>, claim: &K, name: &str) {
    index
        .entry(claim.clone())
        .or_default()
        .insert(name.to_owned());
}
