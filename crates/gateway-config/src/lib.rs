//! The operator's configuration: routes, tenants, services and limits as named items, each with its
//! own version.
//!
//! An operator's call is parsed into a [`Change`] by [`parse_amend`]. A controller keeps a
//! [`ConfigState`], which validates the change against all committed and pending changes, applies
//! it once it is committed, and returns the configuration for `config.read`. A proxy keeps an
//! [`ItemSet`] and looks up requests in a [`RouteTable`] built from it.
//!
//! Invariant: the highest version of each item wins, so applying the same changes in any order and
//! any number of times gives the same configuration. This crate does no I/O.

mod amend;
mod claims;
mod error;
mod field_reader;
mod history;
mod item;
mod item_set;
mod json;
mod model;
mod pending;
mod route_table;
mod state;
mod validation;

pub use amend::parse_amend;
pub use error::ConfigError;
pub use history::{ItemHistory, VersionHistory, MAX_VERSIONS, MAX_VERSIONS_PER_ITEM};
pub use item::{Change, Field, Item, ItemKind};
pub use item_set::ItemSet;
pub use json::{parse, quoted, Json};
pub use model::{Destination, Limits, Route, Service, Tenant};
pub use pending::PendingChanges;
pub use route_table::{RouteMatch, RouteTable};
pub use state::ConfigState;
pub use validation::Validation;
