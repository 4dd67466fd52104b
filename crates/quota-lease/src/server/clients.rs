//! All clients of a lease server, with the totals over them that every request needs.
//!
//! Invariant: the totals of a tenant are the sums of the upper bounds of all its leases and of the
//! demand at all clients. Every change of a lease, a demand or a client goes through [`Clients`],
//! so the cost of a request does not depend on the number of other clients.

use super::client_record::{ClientRecord, RequestEffect};
use super::ClientId;
use crate::*;
use std::collections::btree_map::{IterMut, Values, ValuesMut};
use std::collections::BTreeMap;

/// Sums over all clients for one tenant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct TenantTotals {
    /// Upper bound of the leased shares, in ppm.
    pub(super) outstanding_ppm: u32,
    /// Demand, in thousandths of a request per second.
    pub(super) demand_milli_rps: u64,
}

/// The clients by name.
#[derive(Clone, Debug)]
pub(super) struct Clients {
    records: BTreeMap<String, ClientRecord>,
    /// Tenants with a lease or a demand.
    totals: BTreeMap<String, TenantTotals>,
    /// No client expires before this time.
    earliest_expiry: Millis,
}

impl Default for Clients {
    fn default() -> Clients {
        Clients {
            records: BTreeMap::new(),
            totals: BTreeMap::new(),
            earliest_expiry: f64::INFINITY,
        }
    }
}

impl Clients {
    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    pub(super) fn get(&self, name: &str) -> Option<&ClientRecord> {
        self.records.get(name)
    }

    /// A client's record, for changes that leave leases and demand as they are.
    pub(super) fn get_mut(&mut self, name: &str) -> Option<&mut ClientRecord> {
        self.records.get_mut(name)
    }

    pub(super) fn values(&self) -> Values<'_, String, ClientRecord> {
        self.records.values()
    }

    /// All records, for changes that leave the upper bounds of leases and the demand as they are.
    pub(super) fn values_mut(&mut self) -> ValuesMut<'_, String, ClientRecord> {
        self.records.values_mut()
    }

    /// All records by name, for changes that leave the upper bounds of leases and the demand as
    /// they are.
    pub(super) fn iter_mut(&mut self) -> IterMut<'_, String, ClientRecord> {
        self.records.iter_mut()
    }

    pub(super) fn totals(&self, tenant: &str) -> TenantTotals {
        self.totals.get(tenant).copied().unwrap_or_default()
    }

    /// Adds a client without leases; its demand may be inherited from its previous incarnation.
    pub(super) fn insert(&mut self, name: &str, record: ClientRecord) {
        self.remove(name);
        for (tenant, milli_rps) in record.demand() {
            update_totals(&mut self.totals, tenant, |totals| {
                totals.demand_milli_rps += u64::from(*milli_rps);
            });
        }
        self.earliest_expiry = self.earliest_expiry.min(record.expires_at);
        self.records.insert(name.to_owned(), record);
    }

    /// Removes a client with all its leases.
    pub(super) fn remove(&mut self, name: &str) -> Option<ClientRecord> {
        let record = self.records.remove(name)?;
        for (tenant, lease) in &record.leases {
            update_totals(&mut self.totals, tenant, |totals| {
                totals.outstanding_ppm -= lease.upper_bound_ppm;
            });
        }
        for (tenant, milli_rps) in record.demand() {
            update_totals(&mut self.totals, tenant, |totals| {
                totals.demand_milli_rps -= u64::from(*milli_rps);
            });
        }
        Some(record)
    }

    /// Removes the clients whose leases have all expired.
    pub(super) fn expire(&mut self, now: Millis) {
        if now < self.earliest_expiry {
            return;
        }
        let is_expired = |record: &ClientRecord| now >= record.expires_at;
        let expired: Vec<String> = self
            .records
            .iter()
            .filter(|(_, record)| is_expired(record))
            .map(|(name, _)| name.clone())
            .collect();
        for name in &expired {
            self.remove(name);
        }
        let expiries = self.records.values().map(|record| record.expires_at);
        self.earliest_expiry = expiries.fold(f64::INFINITY, f64::min);
    }

    /// Applies a request of a registered client.
    pub(super) fn record_request(
        &mut self,
        now: Millis,
        client: ClientId<'_>,
        request: &LeaseRequest,
        server_incarnation: u32,
    ) -> Option<RequestEffect> {
        let record = self.records.get_mut(client.name)?;
        let effect = record.record_request(now, client.connection, request, server_incarnation);
        for (tenant, milli_rps) in &effect.previous_demand {
            update_totals(&mut self.totals, tenant, |totals| {
                totals.demand_milli_rps -= u64::from(*milli_rps);
            });
        }
        for (tenant, milli_rps) in record.demand() {
            update_totals(&mut self.totals, tenant, |totals| {
                totals.demand_milli_rps += u64::from(*milli_rps);
            });
        }
        for (tenant, ppm) in &effect.freed {
            update_totals(&mut self.totals, tenant, |totals| {
                totals.outstanding_ppm -= ppm
            });
        }
        Some(effect)
    }

    /// Records a lease that a client reports from an earlier incarnation of this server, or an
    /// increase of a lease.
    pub(super) fn raise_lease(&mut self, name: &str, tenant: &str, ppm: u32) {
        let Some(record) = self.records.get_mut(name) else {
            return;
        };
        let lease = record.lease_mut(tenant);
        let added = ppm.saturating_sub(lease.upper_bound_ppm);
        lease.granted_ppm = ppm;
        lease.upper_bound_ppm += added;
        update_totals(&mut self.totals, tenant, |totals| {
            totals.outstanding_ppm += added
        });
    }
}

/// Updates the totals of a tenant; entries without lease or demand are removed.
fn update_totals(
    totals: &mut BTreeMap<String, TenantTotals>,
    tenant: &str,
    update: impl FnOnce(&mut TenantTotals),
) {
    let mut updated = totals.get(tenant).copied().unwrap_or_default();
    update(&mut updated);
    if updated == TenantTotals::default() {
        totals.remove(tenant);
    } else if let Some(existing) = totals.get_mut(tenant) {
        *existing = updated;
    } else {
        totals.insert(tenant.to_owned(), updated);
    }
}
