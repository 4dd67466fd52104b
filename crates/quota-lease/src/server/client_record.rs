//! State of a lease server for one client (proxy): its leases, its demand, and which of its
//! requests are stale.

use super::ClientId;
use crate::*;
use std::collections::{BTreeMap, BTreeSet};

/// How long a new incarnation of a client is assumed to have the demand of the previous one.
const DEMAND_INHERITANCE: Millis = 2_000.0;

/// The lease of one tenant's quota to one client, as the server counts it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct OutstandingLease {
    /// The share in the latest grant.
    pub(super) granted_ppm: u32,
    /// The highest share that the client may be spending: no lower grant has been acknowledged.
    pub(super) upper_bound_ppm: u32,
    /// Sequence number of the grant with `granted_ppm`.
    pub(super) grant_sequence: u64,
}

/// Demand of each tenant, in thousandths of a request per second.
type TenantDemand = BTreeMap<String, u32>;

/// Demand of the client's previous incarnation, which counts for [`DEMAND_INHERITANCE`].
#[derive(Clone, Debug)]
struct InheritedDemand {
    demand: TenantDemand,
    valid_until: Millis,
}

/// Changes that a request has made to the record of its client.
pub(super) struct RequestEffect {
    /// The client has no grant of this incarnation of the server yet: all its leases are rebalanced
    /// and granted again.
    pub(super) full: bool,
    /// The client's demand before this request.
    pub(super) previous_demand: TenantDemand,
    /// Tenants for which the client has rejected requests because its share was used up.
    pub(super) starved: BTreeSet<String>,
    /// Tenants of which a decrease was acknowledged, with the difference in ppm, which may be
    /// leased to others.
    pub(super) freed: BTreeMap<String, u32>,
}

/// One client of a lease server.
#[derive(Clone, Debug)]
pub(super) struct ClientRecord {
    pub(super) incarnation: u64,
    /// Number of the client's latest connection.
    connection: u64,
    /// Whether the client's last request names this incarnation of the server.
    names_server: bool,
    /// When all leases of the client have expired.
    pub(super) expires_at: Millis,
    pub(super) leases: BTreeMap<String, OutstandingLease>,
    /// Demand that counts for the client's target shares: its own, or that of the previous
    /// incarnation if that was higher and is still inherited.
    demand: TenantDemand,
    inherited: InheritedDemand,
    /// Sequence number of the last grant that the client has applied.
    acknowledged: u64,
    /// Sequence number of the client's last request.
    pub(super) last_request: u64,
    /// Number of clients when all leases of this client were last rebalanced; zero if its next
    /// request rebalances them.
    pub(super) rebalanced_client_count: usize,
    /// Whether the client requests single tokens.
    pub(super) uses_tokens: bool,
}

impl ClientRecord {
    /// A record of a new incarnation of a client, without leases. `previous` is the record of the
    /// previous incarnation.
    pub(super) fn new(now: Millis, client: ClientId<'_>, previous: Option<ClientRecord>) -> Self {
        let inherited = previous.map(|record| record.demand).unwrap_or_default();
        ClientRecord {
            incarnation: client.incarnation,
            connection: client.connection,
            names_server: false,
            expires_at: now,
            leases: BTreeMap::new(),
            demand: inherited.clone(),
            inherited: InheritedDemand {
                demand: inherited,
                valid_until: now + DEMAND_INHERITANCE,
            },
            acknowledged: 0,
            last_request: 0,
            rebalanced_client_count: 0,
            uses_tokens: false,
        }
    }

    /// Whether a request comes from an earlier incarnation or connection of the client, or is no
    /// newer than its last one: a controller process that was suspended may read old connections
    /// after new ones.
    pub(super) fn is_stale(&self, client: ClientId<'_>, request: &LeaseRequest) -> bool {
        let same_incarnation = self.incarnation == client.incarnation;
        client.connection < self.connection
            || (same_incarnation && request.sequence <= self.last_request)
            || (!same_incarnation && client.connection == self.connection)
    }

    /// Applies a request: renews the leases, replaces the demand and applies the acknowledgement.
    pub(super) fn record_request(
        &mut self,
        now: Millis,
        connection: u64,
        request: &LeaseRequest,
        server_incarnation: u32,
    ) -> RequestEffect {
        self.expires_at = now + LEASE_DURATION + CLOCK_SKEW;
        self.connection = connection;
        self.last_request = request.sequence;
        self.uses_tokens = request.uses_tokens;
        self.names_server = request.server_incarnation == server_incarnation;
        // The sequence number of a grant by an earlier incarnation of the server does not
        // acknowledge any grant by this one.
        self.acknowledged = if self.names_server {
            request.acknowledged
        } else {
            0
        };
        RequestEffect {
            full: request.full,
            previous_demand: self.replace_demand(now, &request.demand),
            starved: starved_tenants(&request.demand),
            freed: self.apply_acknowledgement(),
        }
    }

    /// The demand that counts for the client's target shares, by tenant.
    pub(super) fn demand(&self) -> &BTreeMap<String, u32> {
        &self.demand
    }

    /// The demand that counts for the client's target share of a tenant, in thousandths of a
    /// request per second.
    pub(super) fn demand_milli_rps(&self, tenant: &str) -> u32 {
        self.demand.get(tenant).copied().unwrap_or(0)
    }

    /// The lease of a tenant; an empty one if there is none.
    pub(super) fn lease(&self, tenant: &str) -> OutstandingLease {
        self.leases.get(tenant).copied().unwrap_or_default()
    }

    /// The lease of a tenant, for changes; an empty one is added if there is none.
    pub(super) fn lease_mut(&mut self, tenant: &str) -> &mut OutstandingLease {
        self.leases.entry(tenant.to_owned()).or_default()
    }

    /// Whether all leases need rebalancing because the number of clients has changed; afterwards
    /// they count as rebalanced.
    pub(super) fn client_count_changed(&mut self, client_count: usize) -> bool {
        std::mem::replace(&mut self.rebalanced_client_count, client_count) != client_count
    }

    /// Shares by tenant of the leases whose grants the client has not acknowledged, or of all its
    /// leases.
    pub(super) fn leases_to_repeat(&self, all: bool) -> BTreeMap<String, u32> {
        self.leases
            .iter()
            .filter(|(_, lease)| all || lease.grant_sequence > self.acknowledged)
            .map(|(tenant, lease)| (tenant.clone(), lease.granted_ppm))
            .collect()
    }

    /// Builds a grant of these shares (ppm by tenant) and records its sequence number in their
    /// leases.
    pub(super) fn build_grant(
        &mut self,
        sequence: u64,
        server_incarnation: u32,
        client_count: u32,
        shares: BTreeMap<String, u32>,
    ) -> LeaseGrant {
        for tenant in shares.keys() {
            if let Some(lease) = self.leases.get_mut(tenant) {
                lease.grant_sequence = sequence;
            }
        }
        LeaseGrant {
            sequence,
            request: self.last_request,
            leases: shares
                .into_iter()
                .map(|(tenant, ppm)| Lease { tenant, ppm })
                .collect(),
            client_count,
            client_incarnation: self.incarnation,
            server_incarnation: if self.names_server {
                0
            } else {
                server_incarnation
            },
            grants_tokens: true,
        }
    }

    /// Replaces the client's demand, using that of its previous incarnation where that one is
    /// higher and still inherited; returns the replaced demand.
    fn replace_demand(&mut self, now: Millis, demand: &[Demand]) -> TenantDemand {
        let mut next: TenantDemand = demand
            .iter()
            .map(|demand| (demand.tenant.clone(), demand.milli_rps))
            .collect();
        if now >= self.inherited.valid_until {
            self.inherited.demand.clear();
        }
        for (tenant, milli_rps) in &self.inherited.demand {
            let own = next.entry(tenant.clone()).or_default();
            *own = (*own).max(*milli_rps);
        }
        std::mem::replace(&mut self.demand, next)
    }

    /// Lowers the upper bounds to the acknowledged shares. Returns the tenants whose bound has
    /// decreased, with the difference.
    fn apply_acknowledgement(&mut self) -> BTreeMap<String, u32> {
        let mut freed = BTreeMap::new();
        for (tenant, lease) in &mut self.leases {
            if lease.grant_sequence > self.acknowledged {
                continue;
            }
            if lease.upper_bound_ppm > lease.granted_ppm {
                let difference = lease.upper_bound_ppm - lease.granted_ppm;
                freed.insert(tenant.clone(), difference);
            }
            lease.upper_bound_ppm = lease.granted_ppm;
        }
        freed
    }
}

fn starved_tenants(demand: &[Demand]) -> BTreeSet<String> {
    demand
        .iter()
        .filter(|demand| demand.starved)
        .map(|demand| demand.tenant.clone())
        .collect()
}
