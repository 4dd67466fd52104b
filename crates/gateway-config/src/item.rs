//! Items and changes, as they are kept and passed on.

use std::fmt;

/// What an item is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum ItemKind {
    /// A route.
    Route = 0,
    /// A tenant.
    Tenant = 1,
    /// A service.
    Service = 2,
    /// The one item `Limits`.
    Limits = 3,
}

impl ItemKind {
    /// Its list on the wire.
    pub fn list(self) -> &'static str {
        match self {
            ItemKind::Route => "RouteTable",
            ItemKind::Tenant => "Tenants",
            ItemKind::Service => "Services",
            ItemKind::Limits => "Limits",
        }
    }
}

/// A field of an item: its name and its value as JSON. Kept as it was sent, so that it reads back the same, known or not.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Field {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its value.
    #[prost(string, tag = "2")]
    pub json: String,
}

/// One version of an item.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Item {
    /// What it is.
    #[prost(enumeration = "ItemKind", tag = "1")]
    pub kind: i32,
    /// Its name; empty for `Limits`.
    #[prost(string, tag = "2")]
    pub name: String,
    /// Its version: the highest holds.
    #[prost(uint32, tag = "3")]
    pub version: u32,
    /// Whether this version drops it.
    #[prost(bool, tag = "4")]
    pub dropped: bool,
    /// All but name and version, by name; empty where it is dropped.
    #[prost(message, repeated, tag = "5")]
    pub fields: Vec<Field>,
}

/// What one call changes.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Change {
    /// The items, in the order of the call.
    #[prost(message, repeated, tag = "1")]
    pub items: Vec<Item>,
}

/// Why a call is refused. What concerns an item tells its name and version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigError {
    /// The call cannot be read: what, and why.
    Malformed(&'static str, String),
    /// A field of an item says what cannot be.
    InvalidField(ItemKind, String, u32, &'static str, String),
    /// A route names a service that there is not.
    UnknownService(String, u32, String),
    /// Two routes have one host and prefix.
    DuplicateRoute(String, u32, String),
    /// Two tenants have one key.
    DuplicateKey(String, u32, String),
    /// Another content has this version already.
    VersionConflict(ItemKind, String, u32),
}

impl ConfigError {
    /// The status that tells it.
    pub fn status(&self) -> u16 {
        match self {
            ConfigError::VersionConflict(..) => 409,
            _ => 400,
        }
    }

    /// Whether the text of the call alone is reason enough. Otherwise it rests on what holds or is on its way.
    pub fn is_permanent(&self) -> bool {
        matches!(
            self,
            ConfigError::Malformed(..) | ConfigError::InvalidField(..)
        )
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigError::Malformed(what, why) => write!(f, "step=read field={what} why={why:?}"),
            ConfigError::InvalidField(kind, name, version, field, why) => {
                write!(
                    f,
                    "step=check list={} item={name:?} version={version:08x} ",
                    kind.list()
                )?;
                write!(f, "field={field} why={why:?}")
            }
            ConfigError::UnknownService(route, version, service) => {
                write!(
                    f,
                    "step=join list=RouteTable item={route:?} version={version:08x} field=Service "
                )?;
                write!(f, "unknown={service:?} why=\"unknown service\"")
            }
            ConfigError::DuplicateRoute(one, version, other) => {
                write!(f, "step=join list=RouteTable item={one:?} version={version:08x} field=PathPrefix ")?;
                write!(
                    f,
                    "same_as={other:?} why=\"host and prefix of another route\""
                )
            }
            ConfigError::DuplicateKey(one, version, other) => {
                write!(
                    f,
                    "step=join list=Tenants item={one:?} version={version:08x} field=ApiKeys "
                )?;
                write!(f, "same_as={other:?} why=\"key of another tenant\"")
            }
            ConfigError::VersionConflict(kind, name, version) => {
                write!(
                    f,
                    "step=join list={} item={name:?} version={version:08x} ",
                    kind.list()
                )?;
                write!(f, "why=\"taken with another content\"")
            }
        }
    }
}

impl std::error::Error for ConfigError {}
