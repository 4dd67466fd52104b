//! All items that hold, each in its highest version.

use crate::item::{Change, Item, Kind, Refusal};
use crate::json::quoted;
use crate::typed::{Route, Tenant};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

/// All items by kind and name, dropped ones too: a late call must not bring them back.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Board {
    items: BTreeMap<(Kind, String), Item>,
}

impl Board {
    /// A board of these items.
    pub fn of(items: Vec<Item>) -> Board {
        let mut board = Board::default();
        board.join(&Change { items });
        board
    }

    /// Whether nothing was ever set.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// All items, dropped ones too.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.items.values()
    }

    /// What of a change is new: items of a higher version than the one that holds.
    pub fn news(&self, change: &Change) -> Change {
        let held = |item: &Item| self.items.get(&(item.kind(), item.name.clone())).map(|held| held.version);
        let new = |item: &&Item| held(item).is_none_or(|version| item.version > version);
        Change { items: change.items.iter().filter(new).cloned().collect() }
    }

    /// Whether a change may be joined: the same version with other content may not, nor may what would hold then be at
    /// odds with itself. Nothing is changed.
    pub fn check(&self, change: &Change) -> Result<(), Refusal> {
        for item in &change.items {
            let held = self.items.get(&(item.kind(), item.name.clone()));
            if held.is_some_and(|held| held.version == item.version && held != item) {
                return Err(Refusal::Conflict(item.kind(), item.name.clone(), item.version));
            }
        }
        let mut then = self.clone();
        then.join(change);
        then.sound(change)
    }

    /// Joins a change; items that are no higher than what holds change nothing. Tells whether anything was.
    pub fn join(&mut self, change: &Change) -> bool {
        let mut changed = false;
        for item in &change.items {
            let key = (item.kind(), item.name.clone());
            if self.items.get(&key).is_none_or(|held| item.version > held.version) {
                self.items.insert(key, item.clone());
                changed = true;
            }
        }
        changed
    }

    /// The items of a kind that stand.
    pub fn standing(&self, kind: Kind) -> impl Iterator<Item = &Item> {
        self.items.values().filter(move |item| item.kind() == kind && !item.dropped)
    }

    /// Whether all that stands goes together, and what a change asks for is there, even where it is late.
    fn sound(&self, change: &Change) -> Result<(), Refusal> {
        let services: BTreeSet<&str> =
            self.standing(Kind::Service).map(|service| service.name.as_str()).collect();
        let mut places: BTreeMap<(String, String), &str> = BTreeMap::new();
        let asked = change.items.iter().filter(|item| item.kind() == Kind::Route && !item.dropped);
        for item in asked.chain(self.standing(Kind::Route)) {
            let route = Route::of(item)?;
            if let Some((service, _)) = route.to.iter().find(|(name, _)| !services.contains(name.as_str())) {
                return Err(Refusal::UnknownService(route.name, service.clone()));
            }
        }
        for item in self.standing(Kind::Route) {
            let route = Route::of(item)?;
            if let Some(other) = places.insert((route.host, route.prefix), &item.name) {
                return Err(Refusal::SamePlace(route.name, other.to_owned()));
            }
        }
        let mut keys: BTreeMap<String, &str> = BTreeMap::new();
        for item in self.standing(Kind::Tenant) {
            for key in Tenant::of(item)?.keys {
                match keys.insert(key, &item.name) {
                    Some(other) if other != item.name => {
                        return Err(Refusal::SharedKey(item.name.clone(), other.to_owned()));
                    }
                    _ => {}
                }
            }
        }
        Ok(())
    }

    /// The answer to `config.read`: all that stands, laid out as the operator's first call lays it out.
    pub fn read_back(&self) -> String {
        let mut text = String::from("{");
        for kind in [Kind::Route, Kind::Tenant, Kind::Service] {
            let columns: BTreeSet<&str> = self
                .standing(kind)
                .flat_map(|item| item.fields.iter().map(|field| field.name.as_str()))
                .collect();
            let _ = write!(text, "{}:{{\"ColumnNames\":[\"Name\"", quoted(kind.list()));
            for column in &columns {
                let _ = write!(text, ",{}", quoted(column));
            }
            text.push_str(",\"Version\"],\"DataRows\":[");
            for (at, item) in self.standing(kind).enumerate() {
                let _ = write!(text, "{}[{}", if at > 0 { "," } else { "" }, quoted(&item.name));
                for column in &columns {
                    let field = item.fields.iter().find(|field| field.name == *column);
                    let _ = write!(text, ",{}", field.map_or("null", |field| field.json.as_str()));
                }
                let _ = write!(text, ",\"{:08x}\"]", item.version);
            }
            text.push_str("]},");
        }
        match self.standing(Kind::Limits).next() {
            None => {
                text.pop();
            }
            Some(limits) => {
                text.push_str("\"Limits\":{");
                for field in &limits.fields {
                    let _ = write!(text, "{}:{},", quoted(&field.name), field.json);
                }
                let _ = write!(text, "\"Version\":\"{:08x}\"}}", limits.version);
            }
        }
        text.push('}');
        text
    }
}
