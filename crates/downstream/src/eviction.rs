//! Closes connections whose clients hold memory that others wait for and hardly move, and those
//! whose clients do not take their responses at all.

use crate::body_memory::BodyMemory;
use crate::connection_table::ConnectionTable;
use crate::transfer::Transfer;
use maplefall_memory_account::PoolId;
use maplefall_policy::Millis;
use std::rc::Rc;
use std::time::Duration;

/// Interval of the checks while others wait for memory.
const CONTENDED_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of the checks for stalled clients while nobody waits.
const STALL_CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of connections of one pool that a check closes, so that no more are closed than
/// those who wait need.
const MAX_EVICTIONS: usize = 16;

/// A connection with a [`Transfer`].
pub trait HasTransfer {
    /// Returns the transfers of the connection.
    fn transfer(&self) -> &Transfer;
}

/// Closes connections as described in the module, for as long as the process runs. `now` returns
/// the time of the transfers.
pub async fn evict_slow_transfers<T: HasTransfer>(
    connections: Rc<ConnectionTable<T>>,
    memory: Rc<BodyMemory>,
    now: impl Fn() -> Millis,
) {
    loop {
        // An error means that nobody waited in this time.
        let _ = tokio::time::timeout(STALL_CHECK_INTERVAL, memory.contention()).await;
        evict_stalled(&connections, now());
        for pool in memory.take_contended() {
            evict_slowest(&connections, pool, now());
        }
        tokio::time::sleep(CONTENDED_INTERVAL).await;
    }
}

fn evict_stalled<T: HasTransfer>(connections: &ConnectionTable<T>, now: Millis) {
    connections.for_each(|connection| {
        if connection.transfer().is_stalled(now) {
            connection.transfer().evict();
        }
    });
}

/// Closes connections that hold memory of this pool and hardly move, a few at a time.
pub fn evict_slowest<T: HasTransfer>(connections: &ConnectionTable<T>, pool: PoolId, now: Millis) {
    let mut evicted = 0;
    connections.for_each(|connection| {
        let transfer = connection.transfer();
        if evicted < MAX_EVICTIONS && transfer.holds(pool) && transfer.is_slow(now) {
            transfer.evict();
            evicted += 1;
        }
    });
}
