//! The service registry: which instances of backends exist and whether they take requests. Controllers and proxies keep
//! one each, fed by heartbeats and by each other's records. Nothing here does I/O; time is an input.
//!
//! Every start of a backend is an instance with an id of its own. **Invariant:** of two records of one instance the later one is kept, in
//! whatever order they arrive ([`InstanceRecord`] says which is later), so registries that have received the same records agree.
//!
//! An instance that sends no heartbeat for too long is [`InstanceState::Expired`], and a later heartbeat brings it back. One that has
//! ended is [`InstanceState::Deregistered`]: its record is a tombstone, which is kept for a minute so that late heartbeats
//! cannot bring it back.

mod record;
mod registry;

pub use record::{InstanceRecord, InstanceState};
pub use registry::{Applied, Registry};

/// Milliseconds on the caller's monotonic clock.
pub type Millis = f64;
