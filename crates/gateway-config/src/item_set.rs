//! Items by kind and name, each in its highest version.

use crate::item::{Change, Item, ItemKind};
use crate::json::quoted;
use std::borrow::Borrow;
use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::sync::Arc;

/// How many kinds there are.
pub(crate) const KINDS: usize = 4;

/// An item, found by its name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Named(pub(crate) Arc<Item>);

impl Borrow<str> for Named {
    fn borrow(&self) -> &str {
        &self.0.name
    }
}

impl PartialOrd for Named {
    fn partial_cmp(&self, other: &Named) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Named {
    fn cmp(&self, other: &Named) -> Ordering {
        self.0.name.cmp(&other.0.name)
    }
}

/// An item to keep: what was read from bytes has room left over.
pub(crate) fn snug(mut item: Item) -> Arc<Item> {
    item.fields.shrink_to_fit();
    Arc::new(item)
}

/// All items by kind and name, dropped ones too: a late call must not bring them back. This is what a door keeps; what an
/// exchange needs besides, to judge calls, is in [`Board`](crate::Board).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ItemSet {
    kinds: [BTreeSet<Named>; KINDS],
}

impl AsRef<ItemSet> for ItemSet {
    fn as_ref(&self) -> &ItemSet {
        self
    }
}

impl ItemSet {
    /// These items.
    pub fn from_items(items: Vec<Item>) -> ItemSet {
        let mut all = ItemSet::default();
        for item in items {
            all.offer(item);
        }
        all
    }

    /// Whether nothing was ever set.
    pub fn is_empty(&self) -> bool {
        self.kinds.iter().all(BTreeSet::is_empty)
    }

    /// All items, dropped ones too, by kind and name.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.kinds.iter().flatten().map(|named| &*named.0)
    }

    /// The item of this kind and name.
    pub fn get(&self, kind: ItemKind, name: &str) -> Option<&Arc<Item>> {
        self.kinds[kind as usize].get(name).map(|named| &named.0)
    }

    /// The items of a kind that stand, by name.
    pub fn active(&self, kind: ItemKind) -> impl Iterator<Item = &Item> {
        self.kinds[kind as usize]
            .iter()
            .map(|named| &*named.0)
            .filter(|item| !item.dropped)
    }

    /// Joins a change; items that are no higher than what holds change nothing. Tells whether anything was.
    pub fn apply(&mut self, change: &Change) -> bool {
        let mut changed = false;
        for item in &change.items {
            changed |= self.offer(item.clone());
        }
        changed
    }

    fn offer(&mut self, item: Item) -> bool {
        let higher = self
            .get(item.kind(), &item.name)
            .is_none_or(|held| item.version > held.version);
        if higher {
            self.put(snug(item));
        }
        higher
    }

    /// Puts an item in the place of what held under its name.
    pub(crate) fn put(&mut self, item: Arc<Item>) -> Option<Arc<Item>> {
        self.kinds[item.kind() as usize]
            .replace(Named(item))
            .map(|named| named.0)
    }

    /// The answer to `config.read`: all that stands, laid out as the operator's first call lays it out.
    pub fn read_back(&self) -> String {
        let mut text = String::from("{");
        for kind in [ItemKind::Route, ItemKind::Tenant, ItemKind::Service] {
            let columns: BTreeSet<&str> = self
                .active(kind)
                .flat_map(|item| item.fields.iter().map(|field| field.name.as_str()))
                .collect();
            let _ = write!(text, "{}:{{\"ColumnNames\":[\"Name\"", quoted(kind.list()));
            for column in &columns {
                let _ = write!(text, ",{}", quoted(column));
            }
            text.push_str(",\"Version\"],\"DataRows\":[");
            for (at, item) in self.active(kind).enumerate() {
                let _ = write!(
                    text,
                    "{}[{}",
                    if at > 0 { "," } else { "" },
                    quoted(&item.name)
                );
                for column in &columns {
                    let field = item.fields.iter().find(|field| field.name == *column);
                    let _ = write!(
                        text,
                        ",{}",
                        field.map_or("null", |field| field.json.as_str())
                    );
                }
                let _ = write!(text, ",\"{:08x}\"]", item.version);
            }
            text.push_str("]},");
        }
        match self.active(ItemKind::Limits).next() {
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
