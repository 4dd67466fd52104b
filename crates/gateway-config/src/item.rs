//! Items and changes: the protobuf messages that are replicated, stored and sent to proxies.
//!
//! Field tags and enum numbers are part of the stored format and must not change.

/// The kind of an item; its number is also the index into arrays by kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum ItemKind {
    /// A route.
    Route = 0,
    /// A tenant.
    Tenant = 1,
    /// A service.
    Service = 2,
    /// The limits on client requests: a single item without a name.
    Limits = 3,
}

impl ItemKind {
    /// All kinds, in the order of their numbers.
    pub(crate) const ALL: [ItemKind; 4] = [
        ItemKind::Route,
        ItemKind::Tenant,
        ItemKind::Service,
        ItemKind::Limits,
    ];

    pub(crate) const COUNT: usize = ItemKind::ALL.len();

    /// Returns the name of the kind's list in an operator's call.
    pub fn list(self) -> &'static str {
        match self {
            ItemKind::Route => "RouteTable",
            ItemKind::Tenant => "Tenants",
            ItemKind::Service => "Services",
            ItemKind::Limits => "Limits",
        }
    }
}

/// A field of an item: its name and its value as JSON. Known and unknown fields are stored as sent,
/// so that the configuration reads back unchanged.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Field {
    /// The name of the field.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The field's value as JSON text.
    #[prost(string, tag = "2")]
    pub json: String,
}

/// One version of an item.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Item {
    /// The item's kind, an [`ItemKind`].
    #[prost(enumeration = "ItemKind", tag = "1")]
    pub kind: i32,
    /// The item's name; empty for `Limits`.
    #[prost(string, tag = "2")]
    pub name: String,
    /// The item's version; the highest version is in force.
    #[prost(uint32, tag = "3")]
    pub version: u32,
    /// Whether this version removes the item.
    #[prost(bool, tag = "4")]
    pub dropped: bool,
    /// All fields except name and version, sorted by name; empty if this version removes the item.
    #[prost(message, repeated, tag = "5")]
    pub fields: Vec<Field>,
}

/// The items that one call sets or removes.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Change {
    /// The items, in the order of the call.
    #[prost(message, repeated, tag = "1")]
    pub items: Vec<Item>,
}
