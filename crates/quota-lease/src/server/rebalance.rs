//! Rebalancing of one tenant's leases: the target share of each client, and which leases are moved towards it.
//!
//! Invariant: a lease is only increased while the sum of the upper bounds stays within the server's limit. A decrease frees nothing until
//! its acknowledgement has come.

use super::client_record::RequestEffect;
use super::{ChangedLeases, LeaseServer};
use crate::*;

/// Fraction of a quota that is shared out evenly, whatever the demand.
const EVEN_FRACTION: f64 = 0.25;
/// Requests per second that each client is assumed to have in addition to its reported demand. Where the demand is of this size or
/// less, the recent past says next to nothing about the next request, and leases that follow it would only be moved to and fro.
const ASSUMED_DEMAND_RPS: f64 = 1.0;
/// Changes below this fraction of the server's limit are not granted.
const MIN_CHANGE_OF_LIMIT: f64 = 0.004;
/// Changes below this fraction of the lease are not granted.
const MIN_CHANGE_OF_LEASE: f64 = 0.08;

/// Which lease is rebalanced, and why.
struct RebalanceRequest<'a> {
    /// The client whose request is being handled.
    client: &'a str,
    tenant: &'a str,
    /// Leases by earlier incarnations of the server may be outstanding: nothing new is leased.
    recovering: bool,
    /// The client has acknowledged a decrease: others may get what it gave back.
    freed: bool,
    /// The client needs its target share at once, also at the cost of others.
    urgent: bool,
}

impl RebalanceRequest<'_> {
    /// What may be leased in addition to what is outstanding, in ppm.
    fn unleased_ppm(&self, limit: u32, outstanding: u32) -> u32 {
        if self.recovering {
            0
        } else {
            limit.saturating_sub(outstanding)
        }
    }
}

/// Target shares of one tenant's quota, from the demand at all clients.
struct TargetShares {
    limit: f64,
    client_count: f64,
    total_demand_rps: f64,
}

impl TargetShares {
    /// The share that a client with this demand should have: an even share of [`EVEN_FRACTION`], the rest by demand.
    fn target_ppm(&self, demand_rps: f64) -> u32 {
        let even_share = 1.0 / self.client_count;
        let demand_share = (demand_rps + ASSUMED_DEMAND_RPS)
            / (self.total_demand_rps + ASSUMED_DEMAND_RPS * self.client_count);
        (self.limit * (EVEN_FRACTION * even_share + (1.0 - EVEN_FRACTION) * demand_share)) as u32
    }

    /// Whether a change of a lease is large enough to be granted.
    fn is_significant(&self, next_ppm: u32, granted_ppm: u32) -> bool {
        let min_change = (MIN_CHANGE_OF_LIMIT * self.limit)
            .max(MIN_CHANGE_OF_LEASE * f64::from(granted_ppm.min(next_ppm)));
        f64::from(next_ppm.abs_diff(granted_ppm)) > min_change
    }
}

impl LeaseServer {
    /// Rebalances every tenant whose leases a request of `client` may change. Returns the changed leases, with an entry for the client
    /// itself even if nothing has changed.
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
            let record = self.clients.get(client);
            let has_demand = record.is_some_and(|record| record.demand_rps(now, tenant) > 0.0);
            let never_granted = record.is_some_and(|record| !record.leases.contains_key(tenant));
            let freed = effect.freed.contains(tenant);
            let is_affected = effect.full
                || freed
                || effect.previous_demand.contains_key(tenant)
                || has_demand
                || never_granted
                || client_count_changed;
            if !is_affected {
                continue;
            }
            let request = RebalanceRequest {
                client,
                tenant,
                recovering,
                freed,
                urgent: effect.starved.contains(tenant) || client_count_changed || never_granted,
            };
            self.rebalance(now, &request, &mut changed);
        }
        changed
    }

    /// Moves one tenant's leases towards their targets, and adds the changed ones to `changed`. The client of the request gets its
    /// target as far as there is unleased quota. Leases of others are decreased only where it lacks that: whatever a client's token
    /// bucket has saved up goes with its lease, and demand moves to and fro.
    fn rebalance(
        &mut self,
        now: Millis,
        request: &RebalanceRequest<'_>,
        changed: &mut ChangedLeases,
    ) {
        self.visited_clients += 2 * self.clients.len() as u64;
        let targets = self.target_shares(now, request.tenant);
        let outstanding = self.outstanding(request.tenant);
        if self.must_take_back(now, request, &targets, outstanding) {
            self.decrease_leases(now, request.tenant, &targets, changed);
        }
        self.increase_leases(now, request, &targets, outstanding, changed);
    }

    fn target_shares(&self, now: Millis, tenant: &str) -> TargetShares {
        TargetShares {
            limit: f64::from(self.limit),
            client_count: self.clients.len().max(1) as f64,
            total_demand_rps: self
                .clients
                .values()
                .map(|record| record.demand_rps(now, tenant))
                .sum(),
        }
    }

    /// Whether the client needs more than the unleased quota allows.
    fn must_take_back(
        &self,
        now: Millis,
        request: &RebalanceRequest<'_>,
        targets: &TargetShares,
        outstanding: u32,
    ) -> bool {
        self.clients.get(request.client).is_some_and(|record| {
            let lease = record
                .leases
                .get(request.tenant)
                .copied()
                .unwrap_or_default();
            let target = targets.target_ppm(record.demand_rps(now, request.tenant));
            let unleased = request.unleased_ppm(self.limit, outstanding);
            request.urgent
                && targets.is_significant(target, lease.granted_ppm)
                && target > lease.upper_bound_ppm.saturating_add(unleased)
        })
    }

    /// Decreases the leases above their targets. They stay outstanding until the decrease has been acknowledged.
    fn decrease_leases(
        &mut self,
        now: Millis,
        tenant: &str,
        targets: &TargetShares,
        changed: &mut ChangedLeases,
    ) {
        self.visited_clients += self.clients.len() as u64;
        for (name, record) in &mut self.clients {
            let target = targets.target_ppm(record.demand_rps(now, tenant));
            let Some(lease) = record.leases.get_mut(tenant) else {
                continue;
            };
            if target < lease.granted_ppm && targets.is_significant(target, lease.granted_ppm) {
                lease.granted_ppm = target;
                add_change(changed, name, tenant, target);
            }
        }
    }

    /// Increases leases below their targets as far as there is unleased quota: the one of the request's client, and those of all others
    /// if that client has given something back.
    fn increase_leases(
        &mut self,
        now: Millis,
        request: &RebalanceRequest<'_>,
        targets: &TargetShares,
        mut outstanding: u32,
        changed: &mut ChangedLeases,
    ) {
        let limit = self.limit;
        self.visited_clients += self.clients.len() as u64;
        for (name, record) in &mut self.clients {
            let target = targets.target_ppm(record.demand_rps(now, request.tenant));
            let is_requester = name == request.client;
            // A client that was never granted this tenant gets its first lease when it sends a request.
            if !is_requester && !record.leases.contains_key(request.tenant) {
                continue;
            }
            let lease = record.leases.entry(request.tenant.to_owned()).or_default();
            let unleased = request.unleased_ppm(limit, outstanding);
            // While more is outstanding than the limit, nobody gets back what is still to be acknowledged.
            let reachable_ppm = if outstanding > limit {
                lease.granted_ppm
            } else {
                lease.upper_bound_ppm
            };
            let next_ppm = target.min(reachable_ppm.saturating_add(unleased));
            if next_ppm > lease.granted_ppm
                && targets.is_significant(next_ppm, lease.granted_ppm)
                && (request.freed || is_requester)
            {
                outstanding += next_ppm.saturating_sub(lease.upper_bound_ppm);
                lease.granted_ppm = next_ppm;
                lease.upper_bound_ppm = lease.upper_bound_ppm.max(next_ppm);
                add_change(changed, name, request.tenant, next_ppm);
            }
        }
    }
}

fn add_change(changed: &mut ChangedLeases, client: &str, tenant: &str, ppm: u32) {
    let lease = Lease {
        tenant: tenant.to_owned(),
        ppm,
    };
    changed.entry(client.to_owned()).or_default().push(lease);
}
