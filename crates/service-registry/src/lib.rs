//! The service registry: which instances of backends exist and whether they accept requests. Every
//! controller and proxy keeps a registry, which is updated from heartbeats and from the records of
//! other processes. This crate does no I/O; time is an input.
//!
//! Every start of a backend is an instance with its own id. **Invariant:** of two records of one
//! instance the later one is kept, in whatever order they arrive ([`InstanceRecord`] defines which
//! is later), so registries that have received the same records agree.
//!
//! An instance that sends no heartbeat within the timeout is [`InstanceState::Expired`], and a
//! later heartbeat makes it live again. An instance that has ended is
//! [`InstanceState::Deregistered`]: its record is a tombstone, which is kept for a minute so that
//! late heartbeats cannot register the instance again.

mod record;
mod registry;

pub use record::{InstanceRecord, InstanceState};
pub use registry::{Applied, Reconciled, Registry};

/// Milliseconds on the caller's monotonic clock.
pub type Millis = f64;
