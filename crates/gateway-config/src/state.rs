//! All that holds, what was taken before, and the judgement of calls.

use crate::history::{
    digest, Number, Overtaken, VersionHistory, MAX_VERSIONS, MAX_VERSIONS_PER_ITEM,
};
use crate::item::{Change, ConfigError, Item, ItemKind};
use crate::item_set::{snug, ItemSet, Named};
use crate::pending::{Claims, Over, PendingChanges};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// All items, each in its highest version; what was taken under lower numbers; and who claims which place, key and service. A
/// call is judged by what it changes: the work grows with the call and with what is ahead, not with the board.
#[derive(Clone, Debug)]
pub struct ConfigState {
    items: ItemSet,
    overtaken: Overtaken,
    /// The standing route of each host and prefix.
    places: HashMap<(String, String), Arc<Item>>,
    /// The standing tenant of each key.
    keys: HashMap<Box<str>, Arc<Item>>,
    /// The standing routes that name a service.
    users: HashMap<Box<str>, BTreeSet<Named>>,
}

/// What becomes of a call that is not refused.
#[derive(Clone, Debug, PartialEq)]
pub enum Validation {
    /// All of it was taken before, the last of it by the entry of this index; nought where the board holds it.
    AlreadyApplied(u64),
    /// These of its items are new.
    Accepted(Change),
    /// The number of this item is lower than any that is remembered: it may have been taken or not, with this content or another.
    HistoryEvicted(ItemKind, String, u32),
}

impl Default for ConfigState {
    fn default() -> ConfigState {
        ConfigState::with_history_limits(MAX_VERSIONS_PER_ITEM, MAX_VERSIONS)
    }
}

/// The indexes follow from the items.
impl PartialEq for ConfigState {
    fn eq(&self, other: &ConfigState) -> bool {
        self.items == other.items && self.overtaken == other.overtaken
    }
}

impl AsRef<ItemSet> for ConfigState {
    fn as_ref(&self) -> &ItemSet {
        &self.items
    }
}

impl ConfigState {
    /// An empty board that remembers this many overtaken numbers of each name, and of all together.
    pub fn with_history_limits(most_numbers: usize, most: usize) -> ConfigState {
        ConfigState {
            items: ItemSet::default(),
            overtaken: Overtaken::bounded(most_numbers, most),
            places: HashMap::new(),
            keys: HashMap::new(),
            users: HashMap::new(),
        }
    }

    /// A board of these items, of which no overtaken number is known.
    pub fn from_items(items: Vec<Item>) -> ConfigState {
        ConfigState::restore(items, VersionHistory::default())
    }

    /// The board whose [`items`](Board::items) and [`taken`](Board::taken) these are.
    pub fn restore(items: Vec<Item>, version_history: VersionHistory) -> ConfigState {
        let mut board = ConfigState::default();
        for item in items {
            board.put(snug(item));
        }
        board.overtaken.restore(version_history);
        board
    }

    /// What was taken under overtaken numbers.
    pub fn taken(&self) -> VersionHistory {
        self.overtaken.taken()
    }

    /// Whether nothing was ever set.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// All items, dropped ones too.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.items.items()
    }

    /// The items of a kind that stand.
    pub fn active(&self, kind: ItemKind) -> impl Iterator<Item = &Item> {
        self.items.active(kind)
    }

    /// The answer to `config.read`.
    pub fn read_back(&self) -> String {
        self.items.read_back()
    }

    /// Whether a change may be joined: see [`Board::judge`]. Nothing is changed.
    pub fn check(&self, change: &Change) -> Result<(), ConfigError> {
        self.validate(&PendingChanges::default(), change)
            .map(|_| ())
    }

    /// Judges a call against all that holds and all that is ahead. What was taken before is not judged again; a number that was
    /// taken with another content is refused; and what would hold with the new items may not be at odds with itself.
    pub fn validate(
        &self,
        ahead: &PendingChanges,
        change: &Change,
    ) -> Result<Validation, ConfigError> {
        let (mut news, mut after, mut forgotten) = (Vec::new(), 0, None);
        for item in &change.items {
            match self.number(ahead, item) {
                (Number::Other, _) => {
                    return Err(ConfigError::VersionConflict(
                        item.kind(),
                        item.name.clone(),
                        item.version,
                    ));
                }
                (Number::Same, index) => after = after.max(index),
                (Number::New, _) => news.push(item),
                (Number::Forgotten, _) => forgotten = Some(item),
            }
        }
        if let Some(item) = forgotten {
            return Ok(Validation::HistoryEvicted(
                item.kind(),
                item.name.clone(),
                item.version,
            ));
        }
        if news.is_empty() {
            return Ok(Validation::AlreadyApplied(after));
        }
        let (mut over, mut asked) = (PendingChanges::default(), Vec::new());
        for item in &news {
            let claims = Claims::of(item)?;
            asked.extend(
                claims
                    .services
                    .iter()
                    .map(|service| (*item, service.clone())),
            );
            over.put(u64::MAX, item, claims);
        }
        Then {
            board: self,
            ahead,
            over: &over,
        }
        .sound(&asked)?;
        Ok(Validation::Accepted(Change {
            items: news.into_iter().cloned().collect(),
        }))
    }

    /// What is known of an item's number, and the index of the entry ahead that has it.
    fn number(&self, ahead: &PendingChanges, item: &Item) -> (Number, u64) {
        let held = self.items.get(item.kind(), &item.name);
        let here = match held {
            Some(held) if held.version == item.version && **held == *item => Number::Same,
            Some(held) if held.version == item.version => Number::Other,
            Some(held) if held.version > item.version => self.overtaken.number(item),
            _ => Number::New,
        };
        let over = ahead
            .get(item.kind(), &item.name)
            .filter(|_| here == Number::New);
        match over.and_then(|over| {
            over.numbers
                .iter()
                .find(|(version, ..)| *version == item.version)
        }) {
            Some((_, known, index)) if *known == digest(item) => (Number::Same, *index),
            Some(_) => (Number::Other, 0),
            None => (here, 0),
        }
    }

    /// Joins a change; items that are no higher than what holds change nothing, but are remembered. Tells whether anything was
    /// changed.
    pub fn apply(&mut self, change: &Change) -> bool {
        let mut tops: BTreeMap<(ItemKind, &str), &Item> = BTreeMap::new();
        for item in &change.items {
            let key = (item.kind(), item.name.as_str());
            let held = self.items.get(key.0, key.1).cloned();
            let top = tops.get(&key).copied().or(held.as_deref());
            match top.map(|top| top.version) {
                Some(version) if item.version == version => {}
                Some(version) if item.version < version => self.overtaken.record(item),
                _ => {
                    if let Some(top) = top {
                        self.overtaken.record(top);
                    }
                    tops.insert(key, item);
                }
            }
        }
        // All old claims go before new ones come: within one change two names may swap what they claim.
        for (kind, name) in tops.keys() {
            if let Some(held) = self.items.get(*kind, name).cloned() {
                self.unclaim(&held);
            }
        }
        for item in tops.values() {
            self.put(Arc::new((*item).clone()));
        }
        !tops.is_empty()
    }

    fn put(&mut self, item: Arc<Item>) {
        let claims = Claims::of(&item).unwrap_or_default();
        if let Some(place) = claims.place {
            self.places.insert(place, item.clone());
        }
        for key in claims.keys {
            self.keys.insert(key.into(), item.clone());
        }
        for service in claims.services {
            self.users
                .entry(service.into())
                .or_default()
                .insert(Named(item.clone()));
        }
        self.items.put(item);
    }

    fn unclaim(&mut self, item: &Arc<Item>) {
        let claims = Claims::of(item).unwrap_or_default();
        if let Some(place) = claims.place {
            if self
                .places
                .get(&place)
                .is_some_and(|holder| holder.name == item.name)
            {
                self.places.remove(&place);
            }
        }
        for key in claims.keys {
            if self
                .keys
                .get(key.as_str())
                .is_some_and(|holder| holder.name == item.name)
            {
                self.keys.remove(key.as_str());
            }
        }
        for service in claims.services {
            if let Some(users) = self.users.get_mut(service.as_str()) {
                users.remove(item.name.as_str());
                if users.is_empty() {
                    self.users.remove(service.as_str());
                }
            }
        }
    }
}

/// What would hold: a board, what is ahead of it, and a call.
struct Then<'a> {
    board: &'a ConfigState,
    ahead: &'a PendingChanges,
    over: &'a PendingChanges,
}

impl<'a> Then<'a> {
    /// The highest version of a name ahead; `None` where the board's holds.
    fn over(&self, kind: ItemKind, name: &str) -> Option<&'a Over> {
        let held = self.board.items.get(kind, name).map(|item| item.version);
        let higher = |over: &&Over| held.is_none_or(|version| over.top.version > version);
        let tops = [self.ahead, self.over]
            .into_iter()
            .filter_map(|layer| layer.get(kind, name));
        tops.filter(higher).max_by_key(|over| over.top.version)
    }

    fn stands(&self, kind: ItemKind, name: &str) -> bool {
        let over = self.over(kind, name).map(|over| !over.top.dropped);
        over.unwrap_or_else(|| {
            self.board
                .items
                .get(kind, name)
                .is_some_and(|item| !item.dropped)
        })
    }

    /// The first of these names, other than `but`, that would claim this.
    fn claimant(
        &self,
        kind: ItemKind,
        layers: [Option<&'a BTreeSet<String>>; 2],
        held: impl Iterator<Item = &'a str>,
        but: &str,
        claims: impl Fn(&Claims) -> bool,
    ) -> Option<&'a str> {
        // Whoever is not changed ahead claims what the board's index says.
        let held = held.filter(|name| self.over(kind, name).is_none());
        let ahead = layers.into_iter().flatten().flatten().map(String::as_str);
        let ahead = ahead.filter(|name| {
            self.over(kind, name)
                .is_some_and(|over| claims(&over.claims))
        });
        held.chain(ahead).find(|name| *name != but)
    }

    fn version(&self, kind: ItemKind, name: &str) -> u32 {
        let held = || {
            self.board
                .items
                .get(kind, name)
                .map_or(0, |item| item.version)
        };
        self.over(kind, name)
            .map_or_else(held, |over| over.top.version)
    }

    /// The names whose highest version is one of the call's.
    fn changed(&self, kind: ItemKind) -> impl Iterator<Item = (&'a String, &'a Over)> + '_ {
        let names = self.over.kinds[kind as usize].iter();
        names.filter(move |(name, over)| {
            self.over(kind, name)
                .is_some_and(|top| top.top.version == over.top.version)
        })
    }

    /// Whether all that would stand goes together, and what the call's new items ask for is there, even where they are late.
    /// What held before goes together, so only what the call changes is looked at.
    fn sound(&self, asked: &[(&Item, String)]) -> Result<(), ConfigError> {
        for (route, service) in asked {
            if !self.stands(ItemKind::Service, service) {
                return Err(ConfigError::UnknownService(
                    route.name.clone(),
                    route.version,
                    service.clone(),
                ));
            }
        }
        for (service, _) in self
            .changed(ItemKind::Service)
            .filter(|(_, over)| over.top.dropped)
        {
            let held = self.board.users.get(service.as_str());
            let held = held
                .into_iter()
                .flatten()
                .map(|named| named.0.name.as_str());
            let layers = [self.ahead.users.get(service), self.over.users.get(service)];
            let claims = |claims: &Claims| claims.services.contains(service);
            if let Some(route) = self.claimant(ItemKind::Route, layers, held, "", claims) {
                let version = self.version(ItemKind::Route, route);
                return Err(ConfigError::UnknownService(
                    route.to_owned(),
                    version,
                    service.clone(),
                ));
            }
        }
        for (name, over) in self.changed(ItemKind::Route) {
            let Some(place) = &over.claims.place else {
                continue;
            };
            let held = self.board.places.get(place).map(|item| item.name.as_str());
            let layers = [self.ahead.places.get(place), self.over.places.get(place)];
            let claims = |claims: &Claims| claims.place.as_ref() == Some(place);
            if let Some(other) =
                self.claimant(ItemKind::Route, layers, held.into_iter(), name, claims)
            {
                return Err(ConfigError::DuplicateRoute(
                    name.clone(),
                    over.top.version,
                    other.to_owned(),
                ));
            }
        }
        for (name, over) in self.changed(ItemKind::Tenant) {
            for key in &over.claims.keys {
                let held = self
                    .board
                    .keys
                    .get(key.as_str())
                    .map(|item| item.name.as_str());
                let layers = [self.ahead.keys.get(key), self.over.keys.get(key)];
                let claims = |claims: &Claims| claims.keys.contains(key);
                if let Some(other) =
                    self.claimant(ItemKind::Tenant, layers, held.into_iter(), name, claims)
                {
                    return Err(ConfigError::DuplicateKey(
                        name.clone(),
                        over.top.version,
                        other.to_owned(),
                    ));
                }
            }
        }
        Ok(())
    }
}
