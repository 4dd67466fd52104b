//! The tenants whose leases are to be moved among all clients.
//!
//! Moving a tenant's leases looks at every client. Requests come from every client too, so that doing it with each request that
//! wants it makes the work grow with the square of the clients: with some ninety of them, it took the whole processor of a
//! controller (`docs/incidents/2026-12-acks-grown.md`). So the tenants that want it are collected, and rebalanced together: at most
//! once for every [`INTERVAL_PER_CLIENT`] and client, however many requests come. The work in a second is then that of 500 clients for
//! each tenant that wants it, whatever the number of clients.

use crate::{Millis, Pacer};
use std::collections::BTreeMap;

/// Time between two rebalances, for each client.
const INTERVAL_PER_CLIENT: Millis = 2.0;
/// Rebalances that were not needed are made up for later, as many as fit into this time: few clients wait for none.
const MAX_CREDIT: Millis = 200.0;

/// What is to be done for a tenant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct PendingRebalance {
    /// A client needs its target share, and there is not enough unleased quota for it: leases above their targets are decreased.
    pub(super) take_back: bool,
}

/// The tenants whose leases are to be moved next.
#[derive(Clone, Debug)]
pub(super) struct RebalanceQueue {
    pending: BTreeMap<String, PendingRebalance>,
    pacer: Pacer,
}

impl RebalanceQueue {
    pub(super) fn new(now: Millis) -> RebalanceQueue {
        RebalanceQueue {
            pending: BTreeMap::new(),
            pacer: Pacer::new(now, MAX_CREDIT),
        }
    }

    /// Has the tenant's leases moved next time.
    pub(super) fn add(&mut self, tenant: &str, take_back: bool) {
        if let Some(pending) = self.pending.get_mut(tenant) {
            pending.take_back |= take_back;
        } else {
            let pending = PendingRebalance { take_back };
            self.pending.insert(tenant.to_owned(), pending);
        }
    }

    /// All that is pending, if it is time for a rebalance among so many clients; nothing otherwise.
    pub(super) fn take_due(
        &mut self,
        now: Millis,
        client_count: usize,
    ) -> BTreeMap<String, PendingRebalance> {
        if self.pending.is_empty() || !self.pacer.is_due(now) {
            return BTreeMap::new();
        }
        self.pacer
            .charge(now, INTERVAL_PER_CLIENT * client_count as f64);
        std::mem::take(&mut self.pending)
    }
}
