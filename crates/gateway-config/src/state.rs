//! The committed configuration of a controller.
//!
//! Invariants: the highest version of each item is kept, including removed items, and the indexes
//! by claim are derived from the active items. Applying the same changes in the same order gives an
//! equal state at every controller.

use crate::claims::{Claims, RouteKey};
use crate::history::{SupersededVersions, VersionHistory, MAX_VERSIONS, MAX_VERSIONS_PER_ITEM};
use crate::item::{Change, Item, ItemKind};
use crate::item_set::{compact, ItemSet, NamedItem};
use std::borrow::Borrow;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::Hash;
use std::sync::Arc;

/// The highest version of each item, digests of superseded versions, and indexes of the items by
/// route key, API key and service.
#[derive(Clone, Debug)]
pub struct ConfigState {
    pub(crate) items: ItemSet,
    pub(crate) superseded: SupersededVersions,
    /// The active route of each host and path prefix.
    pub(crate) route_keys: HashMap<RouteKey, Arc<Item>>,
    /// The active tenant of each API key.
    pub(crate) api_keys: HashMap<Box<str>, Arc<Item>>,
    /// The active routes that refer to each service.
    pub(crate) service_users: HashMap<Box<str>, BTreeSet<NamedItem>>,
}

impl Default for ConfigState {
    fn default() -> ConfigState {
        ConfigState::with_history_limits(MAX_VERSIONS_PER_ITEM, MAX_VERSIONS)
    }
}

/// Compares the items and the version history, but not the indexes, which are derived from the
/// items.
impl PartialEq for ConfigState {
    fn eq(&self, other: &ConfigState) -> bool {
        self.items == other.items && self.superseded == other.superseded
    }
}

impl AsRef<ItemSet> for ConfigState {
    fn as_ref(&self) -> &ItemSet {
        &self.items
    }
}

impl ConfigState {
    /// Creates an empty state that keeps at most this many superseded versions of each item, and of
    /// all items together.
    pub fn with_history_limits(max_versions_per_item: usize, max_versions: usize) -> ConfigState {
        ConfigState {
            items: ItemSet::default(),
            superseded: SupersededVersions::with_limits(max_versions_per_item, max_versions),
            route_keys: HashMap::new(),
            api_keys: HashMap::new(),
            service_users: HashMap::new(),
        }
    }

    /// Creates a state with these items and no superseded versions.
    pub fn from_items(items: Vec<Item>) -> ConfigState {
        ConfigState::restore(items, VersionHistory::default())
    }

    /// Restores the state from a snapshot of [`items`](ConfigState::items) and
    /// [`version_history`](ConfigState::version_history).
    pub fn restore(items: Vec<Item>, version_history: VersionHistory) -> ConfigState {
        let mut state = ConfigState::default();
        for item in items {
            state.insert(compact(item));
        }
        state.superseded.restore(version_history);
        state
    }

    /// Returns the superseded versions, as stored in a snapshot.
    pub fn version_history(&self) -> VersionHistory {
        self.superseded.to_message()
    }

    /// Returns whether no item was ever set.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns all items, including removed ones.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.items.items()
    }

    /// Returns the items of a kind that are not removed.
    pub fn active(&self, kind: ItemKind) -> impl Iterator<Item = &Item> {
        self.items.active(kind)
    }

    /// Returns the body of the response to `config.read`.
    pub fn read_back(&self) -> String {
        self.items.read_back()
    }

    /// Applies a committed change. Versions below the current one are only recorded in the history.
    /// Returns whether any item changed.
    pub fn apply(&mut self, change: &Change) -> bool {
        let latest = self.select_latest(change);
        // All old claims are released before new ones are added, since one change may swap the
        // claims of two items.
        for (kind, name) in latest.keys() {
            if let Some(current) = self.items.get(*kind, name).cloned() {
                self.release_claims(&current);
            }
        }
        for item in latest.values() {
            self.insert(Arc::new((*item).clone()));
        }
        !latest.is_empty()
    }

    /// Returns the items of a change that supersede the current ones, each in its highest version.
    /// Records the superseded versions.
    fn select_latest<'a>(&mut self, change: &'a Change) -> BTreeMap<(ItemKind, &'a str), &'a Item> {
        let mut latest: BTreeMap<(ItemKind, &str), &Item> = BTreeMap::new();
        for item in &change.items {
            let key = (item.kind(), item.name.as_str());
            let current = self.items.get(key.0, key.1).cloned();
            let highest = latest.get(&key).copied().or(current.as_deref());
            match highest.map(|highest| highest.version) {
                Some(version) if item.version == version => {}
                Some(version) if item.version < version => self.superseded.record(item),
                _ => {
                    if let Some(highest) = highest {
                        self.superseded.record(highest);
                    }
                    latest.insert(key, item);
                }
            }
        }
        latest
    }

    fn insert(&mut self, item: Arc<Item>) {
        let claims = Claims::from_item(&item).unwrap_or_default();
        if let Some(route_key) = claims.route_key {
            self.route_keys.insert(route_key, item.clone());
        }
        for api_key in claims.api_keys {
            self.api_keys.insert(api_key.into(), item.clone());
        }
        for service in claims.services {
            self.service_users
                .entry(service.into())
                .or_default()
                .insert(NamedItem(item.clone()));
        }
        self.items.insert(item);
    }

    fn release_claims(&mut self, item: &Item) {
        let claims = Claims::from_item(item).unwrap_or_default();
        if let Some(route_key) = &claims.route_key {
            remove_if_owned(&mut self.route_keys, route_key, &item.name);
        }
        for api_key in &claims.api_keys {
            remove_if_owned(&mut self.api_keys, api_key.as_str(), &item.name);
        }
        for service in &claims.services {
            let Some(users) = self.service_users.get_mut(service.as_str()) else {
                continue;
            };
            users.remove(item.name.as_str());
            if users.is_empty() {
                self.service_users.remove(service.as_str());
            }
        }
    }
}

/// Removes a claim from an index unless another item has the claim by now.
fn remove_if_owned<K, Q>(index: &mut HashMap<K, Arc<Item>>, claim: &Q, name: &str)
where
    K: Borrow<Q> + Eq + Hash,
    Q: Eq + Hash + ?Sized,
{
    if index.get(claim).is_some_and(|owner| owner.name == name) {
        index.remove(claim);
    }
}
