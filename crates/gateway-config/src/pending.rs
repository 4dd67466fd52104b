//! Changes that come after a board and are not in it: those that are not agreed on yet, and one that is judged.

use crate::history::{digest, Digest};
use crate::item::{Change, ConfigError, Item, ItemKind};
use crate::item_set::KINDS;
use crate::model::{Route, Tenant};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// What an item claims or asks for, besides its own fields; nothing where it is dropped.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Claims {
    /// The host and prefix of a route.
    pub(crate) place: Option<(String, String)>,
    /// The services that a route names.
    pub(crate) services: Vec<String>,
    /// The keys of a tenant.
    pub(crate) keys: Vec<String>,
}

impl Claims {
    pub(crate) fn of(item: &Item) -> Result<Claims, ConfigError> {
        Ok(match item.kind() {
            _ if item.dropped => Claims::default(),
            ItemKind::Route => {
                let route = Route::of(item)?;
                let services: BTreeSet<String> = route
                    .destinations
                    .into_iter()
                    .map(|(name, _)| name)
                    .collect();
                Claims {
                    place: Some((route.host, route.prefix)),
                    services: services.into_iter().collect(),
                    keys: Vec::new(),
                }
            }
            ItemKind::Tenant => {
                let keys: BTreeSet<String> = Tenant::of(item)?.keys.into_iter().collect();
                Claims {
                    keys: keys.into_iter().collect(),
                    ..Claims::default()
                }
            }
            ItemKind::Service | ItemKind::Limits => Claims::default(),
        })
    }
}

/// A name that is changed ahead.
#[derive(Clone, Debug)]
pub(crate) struct Over {
    /// Its highest version ahead.
    pub(crate) top: Arc<Item>,
    /// What that claims.
    pub(crate) claims: Claims,
    /// All its numbers ahead: the digest of each, and the index of the entry that it is in.
    pub(crate) numbers: Vec<(u32, Digest, u64)>,
}

/// Names by what they claim, in any of their versions: whether one still does is looked up.
type Claimants<K> = BTreeMap<K, BTreeSet<String>>;

/// Changes that come after a board, in order, by name and by what they claim. It may hold some that are in the board by now.
#[derive(Clone, Debug, Default)]
pub struct PendingChanges {
    pub(crate) kinds: [BTreeMap<String, Over>; KINDS],
    pub(crate) places: Claimants<(String, String)>,
    pub(crate) users: Claimants<String>,
    pub(crate) keys: Claimants<String>,
}

impl PendingChanges {
    /// Adds the change in the entry of this index. It was judged; what cannot be read of it claims nothing.
    pub fn add(&mut self, index: u64, change: &Change) {
        for item in &change.items {
            let claims = Claims::of(item).unwrap_or_default();
            self.put(index, item, claims);
        }
    }

    pub(crate) fn put(&mut self, index: u64, item: &Item, claims: Claims) {
        let name = &item.name;
        if let Some(place) = &claims.place {
            self.places
                .entry(place.clone())
                .or_default()
                .insert(name.clone());
        }
        for service in &claims.services {
            self.users
                .entry(service.clone())
                .or_default()
                .insert(name.clone());
        }
        for key in &claims.keys {
            self.keys
                .entry(key.clone())
                .or_default()
                .insert(name.clone());
        }
        let number = (item.version, digest(item), index);
        match self.kinds[item.kind() as usize].get_mut(name) {
            None => {
                let over = Over {
                    top: Arc::new(item.clone()),
                    claims,
                    numbers: vec![number],
                };
                self.kinds[item.kind() as usize].insert(name.clone(), over);
            }
            Some(over) => {
                // The first entry with a number is the one that it is taken by.
                if over
                    .numbers
                    .iter()
                    .all(|(version, ..)| *version != item.version)
                {
                    over.numbers.push(number);
                }
                if item.version > over.top.version {
                    (over.top, over.claims) = (Arc::new(item.clone()), claims);
                }
            }
        }
    }

    pub(crate) fn get(&self, kind: ItemKind, name: &str) -> Option<&Over> {
        self.kinds[kind as usize].get(name)
    }
}
