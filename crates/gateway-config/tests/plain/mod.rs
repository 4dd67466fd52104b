//! What a board has to decide, by a slow plain model: everything that was ever taken is kept in order, and all that would hold is
//! looked at for every call.

use maplefall_gateway_config::{Change, Item, ItemKind, Route, Tenant};
use std::collections::{BTreeMap, BTreeSet};

/// Everything that was ever taken.
#[derive(Clone, Debug, Default)]
pub struct Plain(pub Vec<Item>);

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Judgement {
    /// All of it was taken before.
    Taken,
    /// Something in it is new.
    New,
    /// 409.
    Conflict,
    /// 400.
    Invalid,
}

fn number(item: &Item) -> (ItemKind, String, u32) {
    (item.kind(), item.name.clone(), item.version)
}

impl Plain {
    /// Takes what is new of a change.
    pub fn take(&mut self, change: &Change) {
        for item in &change.items {
            if !self.0.iter().any(|known| number(known) == number(item)) {
                self.0.push(item.clone());
            }
        }
    }

    /// The highest version of each name, dropped ones too.
    pub fn held(&self) -> BTreeMap<(ItemKind, String), Item> {
        let mut held: BTreeMap<(ItemKind, String), Item> = BTreeMap::new();
        for item in &self.0 {
            let key = (item.kind(), item.name.clone());
            if held
                .get(&key)
                .is_none_or(|known| known.version < item.version)
            {
                held.insert(key, item.clone());
            }
        }
        held
    }

    /// What becomes of a call.
    pub fn judge(&self, change: &Change) -> Judgement {
        let known = |item: &Item| self.0.iter().find(|known| number(known) == number(item));
        if change
            .items
            .iter()
            .any(|item| known(item).is_some_and(|known| known != item))
        {
            return Judgement::Conflict;
        }
        let news: Vec<Item> = change
            .items
            .iter()
            .filter(|item| known(item).is_none())
            .cloned()
            .collect();
        if news.is_empty() {
            return Judgement::Taken;
        }
        let mut then = self.clone();
        then.take(&Change {
            items: news.clone(),
        });
        if then.sound(&news) {
            Judgement::New
        } else {
            Judgement::Invalid
        }
    }

    /// Whether all that stands goes together, and what these items ask for is there, even where they are late.
    pub fn sound(&self, asked: &[Item]) -> bool {
        let held = self.held();
        let standing = |kind: ItemKind| {
            held.values()
                .filter(move |item| item.kind() == kind && !item.dropped)
        };
        let services: BTreeSet<&str> = standing(ItemKind::Service)
            .map(|service| service.name.as_str())
            .collect();
        let asked = asked
            .iter()
            .filter(|item| item.kind() == ItemKind::Route && !item.dropped);
        for item in asked.chain(standing(ItemKind::Route)) {
            let Ok(route) = Route::of(item) else {
                return false;
            };
            if route
                .destinations
                .iter()
                .any(|(name, _)| !services.contains(name.as_str()))
            {
                return false;
            }
        }
        let mut places: BTreeSet<(String, String)> = BTreeSet::new();
        for item in standing(ItemKind::Route) {
            let Ok(route) = Route::of(item) else {
                return false;
            };
            if !places.insert((route.host, route.prefix)) {
                return false;
            }
        }
        let mut keys: BTreeMap<String, String> = BTreeMap::new();
        for item in standing(ItemKind::Tenant) {
            let Ok(tenant) = Tenant::of(item) else {
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
