//! The door of the system. [`Core`] decides and does no I/O: which route and tenant, whether it is let in, where it goes and what
//! is answered. [`door`] carries that out; [`clients`] reads requests and writes answers; [`links`] follows the exchanges.

pub mod clients;
mod core;
pub mod door;
pub mod forward;
pub mod links;
mod services;
mod timers;
pub mod visit;

pub use crate::core::{quota, Arrival, Core, Ended, Final, Not, Output};
