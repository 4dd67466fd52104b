//! The operator's configuration as named items, each with a version of its own. Named after the numbering plan, which
//! tells where every number leads.
//!
//! [`read_call`] reads a call of the operator into a [`Change`]; a [`Board`] judges it against all that holds and was taken, joins it
//! and reads all back; a door keeps [`Items`], and looks requests up in a [`Plan`] of them. Nothing here does I/O.

mod amend;
mod history;
mod item;
mod item_set;
mod json;
mod model;
mod pending;
mod route_table;
mod state;

pub use amend::parse_amend;
pub use history::{ItemHistory, VersionHistory, MAX_VERSIONS, MAX_VERSIONS_PER_ITEM};
pub use item::{Change, ConfigError, Field, Item, ItemKind};
pub use item_set::ItemSet;
pub use json::{parse, quoted, Json};
pub use model::{Limits, Route, Service, Tenant};
pub use pending::PendingChanges;
pub use route_table::{RouteMatch, RouteTable};
pub use state::{ConfigState, Validation};
