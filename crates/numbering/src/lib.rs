//! The operator's configuration as named items, each with a version of its own. Named after the numbering plan, which
//! tells where every number leads.
//!
//! [`read_call`] reads a call of the operator into a [`Change`]; a [`Board`] checks it against all that holds, joins it and
//! reads all back; a [`Plan`] is what a door looks requests up in. Nothing here does I/O.

mod board;
mod call;
mod item;
mod json;
mod plan;
mod typed;

pub use board::Board;
pub use call::read_call;
pub use item::{Change, Field, Item, Kind, Refusal};
pub use json::{parse, quoted, Json};
pub use plan::{Plan, Way};
pub use typed::{Limits, Route, Service, Tenant};
