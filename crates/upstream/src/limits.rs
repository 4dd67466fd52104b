//! Division of a process's descriptors between clients and backends.

/// Descriptors reserved for discovery, listeners and the runtime.
const RESERVED_SOCKETS: usize = 24;

/// Returns how many connections to backends `sockets` descriptors allow. Clients use at most
/// three fifths of the descriptors, and a request has one attempt in flight.
pub fn upstream_budget(sockets: usize) -> usize {
    sockets.saturating_sub(RESERVED_SOCKETS) * 2 / 5
}

/// Returns how many client connections, including idle ones, `sockets` descriptors allow besides
/// the connections to backends.
pub fn downstream_budget(sockets: usize) -> usize {
    sockets.saturating_sub(RESERVED_SOCKETS) - upstream_budget(sockets)
}
