//! The door of the system. [`Core`] decides and does no I/O: which route and tenant, whether it is let in, where it goes and what
//! is answered. [`door`] carries that out; [`clients`] reads requests and writes answers; [`links`] follows the exchanges.

pub mod clients;
pub mod connection_state;
pub mod controllers;
mod core;
pub mod driver;
pub mod forward;
mod services;
mod timer_queue;

pub use crate::core::{quota, AttemptEnd, Core, IncomingRequest, LocalResponse, Output, Rejection};
