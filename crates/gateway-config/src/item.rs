//! Items and changes, as they are kept and passed on.

use std::fmt;

/// What an item is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum Kind {
    /// A route.
    Route = 0,
    /// A tenant.
    Tenant = 1,
    /// A service.
    Service = 2,
    /// The one item `Limits`.
    Limits = 3,
}

impl Kind {
    /// Its list on the wire.
    pub fn list(self) -> &'static str {
        match self {
            Kind::Route => "RouteTable",
            Kind::Tenant => "Tenants",
            Kind::Service => "Services",
            Kind::Limits => "Limits",
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
    #[prost(enumeration = "Kind", tag = "1")]
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
pub enum Refusal {
    /// The call cannot be read: what, and why.
    Unreadable(&'static str, String),
    /// A field of an item says what cannot be.
    Field(Kind, String, u32, &'static str, String),
    /// A route names a service that there is not.
    UnknownService(String, u32, String),
    /// Two routes have one host and prefix.
    SamePlace(String, u32, String),
    /// Two tenants have one key.
    SharedKey(String, u32, String),
    /// Another content has this version already.
    Conflict(Kind, String, u32),
}

impl Refusal {
    /// The status that tells it.
    pub fn status(&self) -> u16 {
        match self {
            Refusal::Conflict(..) => 409,
            _ => 400,
        }
    }

    /// Whether the text of the call alone is reason enough. Otherwise it rests on what holds or is on its way.
    pub fn of_text_alone(&self) -> bool {
        matches!(self, Refusal::Unreadable(..) | Refusal::Field(..))
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::Unreadable(what, why) => write!(f, "step=read field={what} why={why:?}"),
            Refusal::Field(kind, name, version, field, why) => {
                write!(
                    f,
                    "step=check list={} item={name:?} version={version:08x} ",
                    kind.list()
                )?;
                write!(f, "field={field} why={why:?}")
            }
            Refusal::UnknownService(route, version, service) => {
                write!(
                    f,
                    "step=join list=RouteTable item={route:?} version={version:08x} field=Service "
                )?;
                write!(f, "unknown={service:?} why=\"unknown service\"")
            }
            Refusal::SamePlace(one, version, other) => {
                write!(f, "step=join list=RouteTable item={one:?} version={version:08x} field=PathPrefix ")?;
                write!(
                    f,
                    "same_as={other:?} why=\"host and prefix of another route\""
                )
            }
            Refusal::SharedKey(one, version, other) => {
                write!(
                    f,
                    "step=join list=Tenants item={one:?} version={version:08x} field=ApiKeys "
                )?;
                write!(f, "same_as={other:?} why=\"key of another tenant\"")
            }
            Refusal::Conflict(kind, name, version) => {
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

impl std::error::Error for Refusal {}
