//! The operator's configuration as named items, each with a version of its own. Named after the numbering plan, which
//! tells where every number leads.
//!
//! [`read_call`] reads a call of the operator into a [`Change`]; a [`Board`] judges it against all that holds and was taken, joins it
//! and reads all back; a door keeps [`Items`], and looks requests up in a [`Plan`] of them. Nothing here does I/O.

mod ahead;
mod board;
mod call;
mod item;
mod items;
mod json;
mod plan;
mod taken;
mod typed;

pub use ahead::Ahead;
pub use board::{Board, Verdict};
pub use call::read_call;
pub use item::{Change, Field, Item, Kind, Refusal};
pub use items::Items;
pub use json::{parse, quoted, Json};
pub use plan::{Plan, Way};
pub use taken::{Taken, TakenNumbers, MOST_NUMBERS, MOST_TAKEN};
pub use typed::{Limits, Route, Service, Tenant};
