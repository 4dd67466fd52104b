//! The data plane's proxy. [`Core`] decides without I/O: which route and tenant a request has, whether it is admitted, which backend
//! it goes to and what is responded. [`driver`] carries that out; [`downstream`] serves clients; [`controllers`] holds the
//! connections to the controllers; [`forward`] translates requests and responses; [`readiness`] answers the platform's probe.

pub mod controllers;
mod core;
pub mod downstream;
pub mod driver;
pub mod forward;
pub mod readiness;
mod services;
mod timer_queue;

pub use crate::core::{quota, AttemptEnd, Core, IncomingRequest, LocalResponse, Output, Rejection};
