//! A set of items by kind and name, each in its highest version.
//!
//! Invariant: removed items are kept, so that a late call with an older version does not restore
//! them.

use crate::item::{Change, Item, ItemKind};
use crate::json::quoted;
use std::borrow::Borrow;
use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::sync::Arc;

/// An item that is ordered and looked up by its name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct NamedItem(pub(crate) Arc<Item>);

impl NamedItem {
    pub(crate) fn name(&self) -> &str {
        &self.0.name
    }
}

impl Borrow<str> for NamedItem {
    fn borrow(&self) -> &str {
        self.name()
    }
}

impl PartialOrd for NamedItem {
    fn partial_cmp(&self, other: &NamedItem) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for NamedItem {
    fn cmp(&self, other: &NamedItem) -> Ordering {
        self.name().cmp(other.name())
    }
}

/// Prepares an item for storage: releases the spare capacity that decoding leaves.
pub(crate) fn compact(mut item: Item) -> Arc<Item> {
    item.fields.shrink_to_fit();
    Arc::new(item)
}

/// All items by kind and name, including removed ones. A proxy keeps an item set; the
/// [`ConfigState`](crate::ConfigState) of a controller adds what is needed to validate calls.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ItemSet {
    kinds: [BTreeSet<NamedItem>; ItemKind::COUNT],
}

impl AsRef<ItemSet> for ItemSet {
    fn as_ref(&self) -> &ItemSet {
        self
    }
}

impl ItemSet {
    /// Creates a set with the highest version of each of these items.
    pub fn from_items(items: Vec<Item>) -> ItemSet {
        let mut set = ItemSet::default();
        for item in items {
            set.insert_if_newer(item);
        }
        set
    }

    /// Returns whether no item was ever set.
    pub fn is_empty(&self) -> bool {
        self.kinds.iter().all(BTreeSet::is_empty)
    }

    /// Returns whether an item of this kind was ever set or removed.
    pub fn has_any(&self, kind: ItemKind) -> bool {
        !self.kinds[kind as usize].is_empty()
    }

    /// Returns all items, including removed ones, in the order of kind and name.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.kinds.iter().flatten().map(|named| &*named.0)
    }

    /// Returns the item of this kind and name, which may be a removed one.
    pub fn get(&self, kind: ItemKind, name: &str) -> Option<&Arc<Item>> {
        self.kinds[kind as usize].get(name).map(|named| &named.0)
    }

    /// Returns the items of a kind that are not removed, in the order of their names.
    pub fn active(&self, kind: ItemKind) -> impl Iterator<Item = &Item> {
        self.kinds[kind as usize]
            .iter()
            .map(|named| &*named.0)
            .filter(|item| !item.dropped)
    }

    /// Applies a change. Items whose version is not higher than the current one are ignored.
    /// Returns whether any item changed.
    pub fn apply(&mut self, change: &Change) -> bool {
        let mut changed = false;
        for item in &change.items {
            changed |= self.insert_if_newer(item.clone());
        }
        changed
    }

    fn insert_if_newer(&mut self, item: Item) -> bool {
        let newer = self
            .get(item.kind(), &item.name)
            .is_none_or(|current| item.version > current.version);
        if newer {
            self.insert(compact(item));
        }
        newer
    }

    /// Inserts an item and returns the one that it replaces.
    pub(crate) fn insert(&mut self, item: Arc<Item>) -> Option<Arc<Item>> {
        self.kinds[item.kind() as usize]
            .replace(NamedItem(item))
            .map(|named| named.0)
    }

    /// Returns the body of the response to `config.read`: all items that are not removed, in the
    /// layout of an `Upsert`.
    pub fn read_back(&self) -> String {
        let mut text = String::from("{");
        for kind in [ItemKind::Route, ItemKind::Tenant, ItemKind::Service] {
            self.write_table(kind, &mut text);
            text.push(',');
        }
        match self.active(ItemKind::Limits).next() {
            Some(limits) => write_limits(limits, &mut text),
            None => {
                text.pop();
            }
        }
        text.push('}');
        text
    }

    /// Writes the items of a kind as `ColumnNames` and `DataRows`. Writing to a string cannot fail.
    fn write_table(&self, kind: ItemKind, text: &mut String) {
        let columns: BTreeSet<&str> = self
            .active(kind)
            .flat_map(|item| item.fields.iter().map(|field| field.name.as_str()))
            .collect();
        let _ = write!(text, "{}:{{\"ColumnNames\":[\"Name\"", quoted(kind.list()));
        for column in &columns {
            let _ = write!(text, ",{}", quoted(column));
        }
        text.push_str(",\"Version\"],\"DataRows\":[");
        for (index, item) in self.active(kind).enumerate() {
            if index > 0 {
                text.push(',');
            }
            write_row(item, &columns, text);
        }
        text.push_str("]}");
    }
}

fn write_row(item: &Item, columns: &BTreeSet<&str>, text: &mut String) {
    let _ = write!(text, "[{}", quoted(&item.name));
    for column in columns {
        let field = item.fields.iter().find(|field| field.name == *column);
        let json = field.map_or("null", |field| field.json.as_str());
        let _ = write!(text, ",{json}");
    }
    let _ = write!(text, ",\"{:08x}\"]", item.version);
}

fn write_limits(limits: &Item, text: &mut String) {
    text.push_str("\"Limits\":{");
    for field in &limits.fields {
        let _ = write!(text, "{}:{},", quoted(&field.name), field.json);
    }
    let _ = write!(text, "\"Version\":\"{:08x}\"}}", limits.version);
}
