//! The control plane: keeps the configuration and the service registry, replicates them among
//! controllers, and leases quota shares to proxies.
//!
//! [`Core`] contains the decision logic and does no I/O; [`net`] carries out its outputs; [`store`]
//! keeps its state on a [`disk`].

pub mod core;
pub mod disk;
pub mod net;
pub mod store;

pub use crate::core::{Call, CallResponse, Core, Output};
