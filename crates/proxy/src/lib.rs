//! The proxy of the data plane. [`Core`] decides without I/O which route and tenant a request has,
//! whether it is admitted, which backend it goes to and which response is sent. [`driver`] executes
//! these decisions; [`downstream`] serves clients; [`controllers`] maintains the connections to the
//! controllers; [`forward`] converts requests and responses; [`readiness`] responds to the platform's readiness probe.

pub mod controllers;
mod core;
pub mod downstream;
pub mod driver;
pub mod forward;
pub mod readiness;
mod response_body;
mod services;
mod timer_queue;

pub use crate::core::{quota, AttemptEnd, Core, IncomingRequest, LocalResponse, Output, Rejection};
