//! How a process's descriptors are divided between clients and backends.

/// Descriptors reserved for discovery, listeners and the runtime.
const RESERVED_SOCKETS: usize = 24;

/// Connections to backends that `sockets` descriptors allow. Clients use a third of the descriptors for requests at most, and a
/// request has one attempt in flight.
pub fn upstream_budget(sockets: usize) -> usize {
    sockets.saturating_sub(RESERVED_SOCKETS) * 2 / 5
}

/// Connections of clients that `sockets` descriptors allow besides, idle ones included.
pub fn downstream_budget(sockets: usize) -> usize {
    sockets.saturating_sub(RESERVED_SOCKETS) - upstream_budget(sockets)
}
