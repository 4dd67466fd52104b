//! The tenants whose leases are waiting to be rebalanced among all clients.
//!
//! Rebalancing a tenant visits every client, and every client sends requests. Rebalancing with each
//! request that needs it makes the work grow with the square of the number of clients: with some
//! ninety clients, it took all of a controller's processor time
//! (`docs/incidents/2026-12-acks-grown.md`). Therefore the tenants that need rebalancing are
//! collected and rebalanced together, at most once per [`INTERVAL_PER_CLIENT`] and client, however
//! many requests arrive. The work per second is then that of visiting 500 clients for each of these
//! tenants, whatever the number of clients.

use crate::{Millis, Pacer};
use std::collections::BTreeMap;

/// Time between two rebalances, per client.
const INTERVAL_PER_CLIENT: Millis = 2.0;
/// Maximum time that accumulates while no rebalance is needed: with few clients, none has to wait
/// for a rebalance.
const MAX_CREDIT: Millis = 200.0;

/// Pending rebalance of one tenant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct PendingRebalance {
    /// Whether leases above their targets are decreased, because a client needs its target share
    /// and there is not enough unleased quota for it.
    pub(super) decrease: bool,
}

/// The tenants that the next rebalance includes.
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

    /// Adds a tenant to the next rebalance.
    pub(super) fn add(&mut self, tenant: &str, decrease: bool) {
        if let Some(pending) = self.pending.get_mut(tenant) {
            pending.decrease |= decrease;
        } else {
            let pending = PendingRebalance { decrease };
            self.pending.insert(tenant.to_owned(), pending);
        }
    }

    /// Takes all pending tenants if a rebalance among `client_count` clients is due; none
    /// otherwise.
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
