//! Rebalancing of one tenant's leases: the target share of each client, and the changes of leases
//! towards these targets.
//!
//! Invariant: a lease is only increased while the sum of the upper bounds stays within the server's
//! limit. A decrease frees nothing until it has been acknowledged.

use super::client_record::{ClientRecord, RequestEffect};
use super::rebalance_queue::PendingRebalance;
use super::{ChangedLeases, LeaseServer};
use crate::*;

/// Fraction of a quota that is distributed evenly, regardless of demand.
const EVEN_FRACTION: f64 = 0.25;
/// Requests per second that each client is assumed to have in addition to its reported demand.
/// Recent demand of this size or less hardly predicts the next request, and leases that followed it
/// would only oscillate.
const ASSUMED_DEMAND_RPS: f64 = 1.0;
/// Changes of a lease below this fraction of the server's limit are not granted.
const MIN_CHANGE_OF_LIMIT: f64 = 0.004;
/// Changes of a lease below this fraction of the lease itself are not granted.
const MIN_CHANGE_OF_LEASE: f64 = 0.08;

/// Target shares of one tenant's quota, from the demand at all clients.
struct TargetShares {
    limit: f64,
    client_count: f64,
    total_demand_rps: f64,
    /// Whether the quota is too small for leases: clients that can request tokens get no lease.
    is_pooled: bool,
}

impl TargetShares {
    /// The share that a client with this demand should have: an even share of [`EVEN_FRACTION`],
    /// and a share of the rest of the quota by demand.
    fn target_ppm(&self, demand_rps: f64) -> u32 {
        let even_share = 1.0 / self.client_count;
        let demand_share = (demand_rps + ASSUMED_DEMAND_RPS)
            / (self.total_demand_rps + ASSUMED_DEMAND_RPS * self.client_count);
        (self.limit * (EVEN_FRACTION * even_share + (1.0 - EVEN_FRACTION) * demand_share)) as u32
    }

    /// The share that this client should have.
    fn target_of(&self, record: &ClientRecord, tenant: &str) -> u32 {
        if self.is_pooled && record.uses_tokens {
            return 0;
        }
        self.target_ppm(f64::from(record.demand_milli_rps(tenant)) / 1000.0)
    }

    /// Whether a change of a lease is large enough to be granted.
    fn is_significant(&self, next_ppm: u32, granted_ppm: u32) -> bool {
        if self.is_pooled && next_ppm == 0 {
            return granted_ppm > 0;
        }
        let min_change = (MIN_CHANGE_OF_LIMIT * self.limit)
            .max(MIN_CHANGE_OF_LEASE * f64::from(granted_ppm.min(next_ppm)));
        f64::from(next_ppm.abs_diff(granted_ppm)) > min_change
    }
}

/// Target of a lease, in ppm.
struct TargetLease {
    target: u32,
    /// Share that may be leased in addition to the outstanding leases.
    unleased: u32,
}

impl LeaseServer {
    /// Rebalances every tenant whose leases a request of `client` may change. Returns the changed
    /// leases, with an entry for the client itself even if nothing has changed.
    ///
    /// The client's leases are increased towards their targets as far as there is unleased quota.
    /// Leases of other clients are changed through the [rebalance queue](super::rebalance_queue).
    pub(super) fn rebalance_tenants<'a>(
        &mut self,
        now: Millis,
        client: &str,
        effect: &RequestEffect,
        tenants: impl Iterator<Item = &'a str>,
    ) -> ChangedLeases {
        let client_count = self.clients.len();
        let client_count_changed = self
            .clients
            .get_mut(client)
            .is_some_and(|record| record.client_count_changed(client_count));
        let recovering = self.recovering(now);
        let mut changed = ChangedLeases::from([(client.to_owned(), Vec::new())]);
        for tenant in tenants {
            let Some(record) = self.clients.get(client) else {
                continue;
            };
            let has_demand = record.demand_milli_rps(tenant) > 0;
            let never_granted = !record.leases.contains_key(tenant);
            let freed = effect.freed.contains_key(tenant);
            let is_pooled = self.pools.is_pooled(tenant, client_count);
            let is_affected = effect.full
                || freed
                || effect.previous_demand.contains_key(tenant)
                || has_demand
                || never_granted
                || client_count_changed
                || is_pooled;
            if !is_affected {
                continue;
            }
            let is_urgent =
                effect.starved.contains(tenant) || client_count_changed || never_granted;
            let is_short = self.increase_own_lease(client, tenant, recovering, &mut changed);
            if freed || (is_urgent && is_short) {
                self.rebalance_queue.add(tenant, is_urgent && is_short);
            }
        }
        for (tenant, pending) in self.rebalance_queue.take_due(now, client_count) {
            self.rebalance_among_all(&tenant, pending, recovering, &mut changed);
        }
        changed
    }

    /// The share of a tenant's quota that may be leased in addition to the outstanding leases, in
    /// ppm. It is zero while leases by earlier incarnations of the server may be outstanding.
    fn unleased_ppm(&self, tenant: &str, recovering: bool) -> u32 {
        if recovering {
            0
        } else {
            self.limit.saturating_sub(self.outstanding(tenant))
        }
    }

    /// The unleased share as a fraction of the full quota.
    pub(super) fn unleased_fraction(&self, tenant: &str, recovering: bool) -> f64 {
        f64::from(self.unleased_ppm(tenant, recovering)) / f64::from(FULL_QUOTA_PPM)
    }

    fn target_shares(&self, tenant: &str) -> TargetShares {
        TargetShares {
            is_pooled: self.pools.is_pooled(tenant, self.clients.len()),
            limit: f64::from(self.limit),
            client_count: self.clients.len().max(1) as f64,
            total_demand_rps: self.clients.totals(tenant).demand_milli_rps as f64 / 1000.0,
        }
    }

    /// Increases the lease of one client towards its target as far as there is unleased quota.
    /// Returns whether the client needs more than the unleased quota.
    fn increase_own_lease(
        &mut self,
        client: &str,
        tenant: &str,
        recovering: bool,
        changed: &mut ChangedLeases,
    ) -> bool {
        let targets = self.target_shares(tenant);
        self.visited_clients += 1;
        let Some(record) = self.clients.get_mut(client) else {
            return false;
        };
        let target = targets.target_of(record, tenant);
        // `lease_mut` adds an empty lease if the client has none.
        let before = *record.lease_mut(tenant);
        if target == 0 && targets.is_significant(target, before.granted_ppm) {
            record.lease_mut(tenant).granted_ppm = target;
            add_change(changed, client, tenant, target);
        }
        let unleased = self.unleased_ppm(tenant, recovering);
        let is_short = targets.is_significant(target, before.granted_ppm)
            && target > before.upper_bound_ppm.saturating_add(unleased);
        let next = TargetLease { target, unleased };
        self.increase_lease(client, tenant, &targets, &next, changed);
        is_short
    }

    /// Increases a lease towards its target as far as there is unleased quota, if the change is
    /// significant.
    fn increase_lease(
        &mut self,
        client: &str,
        tenant: &str,
        targets: &TargetShares,
        next: &TargetLease,
        changed: &mut ChangedLeases,
    ) {
        let is_over_limit = self.outstanding(tenant) > self.limit;
        let Some(record) = self.clients.get(client) else {
            return;
        };
        let lease = record.lease(tenant);
        // While the outstanding shares exceed the server's limit, unacknowledged decreases are not
        // reverted.
        let reachable_ppm = if is_over_limit {
            lease.granted_ppm
        } else {
            lease.upper_bound_ppm
        };
        let next_ppm = next.target.min(reachable_ppm.saturating_add(next.unleased));
        if next_ppm > lease.granted_ppm && targets.is_significant(next_ppm, lease.granted_ppm) {
            self.clients.raise_lease(client, tenant, next_ppm);
            add_change(changed, client, tenant, next_ppm);
        }
    }

    /// Changes the leases of all clients towards their targets. Leases are decreased only if some
    /// client is short of quota that others have above their targets: a client loses the tokens in
    /// its bucket with its lease, and demand fluctuates.
    fn rebalance_among_all(
        &mut self,
        tenant: &str,
        pending: PendingRebalance,
        recovering: bool,
        changed: &mut ChangedLeases,
    ) {
        if pending.decrease {
            self.decrease_leases(tenant, changed);
        }
        self.increase_leases(tenant, recovering, changed);
    }

    /// Decreases the leases above their targets. They stay outstanding until the decrease has been
    /// acknowledged.
    fn decrease_leases(&mut self, tenant: &str, changed: &mut ChangedLeases) {
        let targets = self.target_shares(tenant);
        self.visited_clients += self.clients.len() as u64;
        for (name, record) in self.clients.iter_mut() {
            let target = targets.target_of(record, tenant);
            let Some(lease) = record.leases.get_mut(tenant) else {
                continue;
            };
            if target < lease.granted_ppm && targets.is_significant(target, lease.granted_ppm) {
                lease.granted_ppm = target;
                add_change(changed, name, tenant, target);
            }
        }
    }

    /// Increases leases below their targets as far as there is unleased quota.
    fn increase_leases(&mut self, tenant: &str, recovering: bool, changed: &mut ChangedLeases) {
        let targets = self.target_shares(tenant);
        self.visited_clients += self.clients.len() as u64;
        // A client without a lease of this tenant gets its first one when it sends a request.
        let below_target: Vec<(String, u32)> = self
            .clients
            .iter_mut()
            .filter_map(|(name, record)| {
                let lease = record.leases.get(tenant)?;
                let target = targets.target_of(record, tenant);
                (target > lease.granted_ppm).then(|| (name.clone(), target))
            })
            .collect();
        for (name, target) in below_target {
            let unleased = self.unleased_ppm(tenant, recovering);
            let next = TargetLease { target, unleased };
            self.increase_lease(&name, tenant, &targets, &next, changed);
        }
    }
}

/// Adds a changed lease. The last entry of a tenant counts: a request can change a lease twice, by
/// its own increase and by a rebalance among all clients.
fn add_change(changed: &mut ChangedLeases, client: &str, tenant: &str, ppm: u32) {
    let lease = Lease {
        tenant: tenant.to_owned(),
        ppm,
    };
    changed.entry(client.to_owned()).or_default().push(lease);
}
