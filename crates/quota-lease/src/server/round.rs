//! When leases are moved among all clients.
//!
//! Moving a tenant's leases looks at every client. Requests come from every client too, so that doing it with each request that
//! wants it makes the work grow with the square of the clients: with some ninety of them, it took the whole processor of a
//! controller (`docs/incidents/2026-12-acks-grown.md`). So what wants it is collected, and done in rounds: at most one for every
//! [`ROUND_INTERVAL_PER_CLIENT`] and client, however many requests come. The work in a second is then that of 500 clients for each
//! tenant that wants it, whatever the number of clients.

use crate::{Millis, Pacer};
use std::collections::BTreeMap;

/// Time between two rounds, for each client.
const ROUND_INTERVAL_PER_CLIENT: Millis = 2.0;
/// Rounds that were not needed are made up for later, as many as fit into this time: few clients wait for none.
const MAX_CREDIT: Millis = 200.0;

/// What a round is to do for a tenant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct TenantRound {
    /// A client needs its target share, and there is not enough unleased quota for it: leases above their targets are decreased.
    pub(super) take_back: bool,
}

/// The tenants whose leases are to be moved with the next round.
#[derive(Clone, Debug)]
pub(super) struct RebalanceRound {
    pending: BTreeMap<String, TenantRound>,
    pacer: Pacer,
}

impl RebalanceRound {
    pub(super) fn new(now: Millis) -> RebalanceRound {
        RebalanceRound {
            pending: BTreeMap::new(),
            pacer: Pacer::new(now, MAX_CREDIT),
        }
    }

    /// Has the tenant's leases moved with the next round.
    pub(super) fn add(&mut self, tenant: &str, take_back: bool) {
        match self.pending.get_mut(tenant) {
            Some(pending) => pending.take_back |= take_back,
            None => {
                self.pending
                    .insert(tenant.to_owned(), TenantRound { take_back });
            }
        }
    }

    /// Begins a round if there is something to do and it is time for one among so many clients.
    pub(super) fn begin(
        &mut self,
        now: Millis,
        client_count: usize,
    ) -> Option<BTreeMap<String, TenantRound>> {
        if self.pending.is_empty() || !self.pacer.is_due(now) {
            return None;
        }
        let interval = ROUND_INTERVAL_PER_CLIENT * client_count as f64;
        self.pacer.charge(now, interval);
        Some(std::mem::take(&mut self.pending))
    }
}
