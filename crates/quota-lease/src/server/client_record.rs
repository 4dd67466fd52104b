//! What a lease server knows of one client (proxy): its leases, its demand, and which requests of it are stale.

use super::ClientId;
use crate::*;
use std::collections::{BTreeMap, BTreeSet};

/// For how long a new incarnation of a client is assumed to have the demand of the previous one.
const DEMAND_INHERITANCE: Millis = 2_000.0;

/// The lease of one tenant's quota to one client, as the server counts it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct OutstandingLease {
    /// The share in the latest grant.
    pub(super) granted_ppm: u32,
    /// The highest share that the client may be spending: no grant below it has been acknowledged.
    pub(super) upper_bound_ppm: u32,
    /// Sequence number of the grant with `granted_ppm`.
    pub(super) grant_sequence: u64,
}

/// Requests per second of each tenant.
type DemandRps = BTreeMap<String, f64>;

/// Demand of the client's previous incarnation, which counts for a short while.
#[derive(Clone, Debug)]
struct InheritedDemand {
    demand: DemandRps,
    valid_until: Millis,
}

/// What a request has changed in the record of its client.
pub(super) struct RequestEffect {
    /// The client does not know this incarnation of the server: all its leases are rebalanced and granted anew.
    pub(super) full: bool,
    /// The client's demand before this request.
    pub(super) previous_demand: DemandRps,
    /// Tenants that the client is starved of.
    pub(super) starved: BTreeSet<String>,
    /// Tenants of which a decrease was acknowledged, so that others can have the difference.
    pub(super) freed: BTreeSet<String>,
}

/// One client of a lease server.
#[derive(Clone, Debug)]
pub(super) struct ClientRecord {
    pub(super) incarnation: u64,
    /// Number of its latest connection.
    connection: u64,
    /// Whether its last request names this incarnation of the server.
    knows_server: bool,
    /// When all its leases have expired.
    pub(super) expires_at: Millis,
    pub(super) leases: BTreeMap<String, OutstandingLease>,
    demand: DemandRps,
    inherited: InheritedDemand,
    /// Sequence number of the last grant that the client has applied.
    acknowledged: u64,
    /// Sequence number of the client's last request.
    pub(super) last_request: u64,
    /// Number of clients when all leases of this one were rebalanced last; zero if they are to be rebalanced with its next request.
    pub(super) rebalanced_among: usize,
}

impl ClientRecord {
    /// A new incarnation of a client, without leases. `previous` is the record of the incarnation before.
    pub(super) fn new(now: Millis, client: ClientId<'_>, previous: Option<ClientRecord>) -> Self {
        ClientRecord {
            incarnation: client.incarnation,
            connection: client.connection,
            knows_server: false,
            expires_at: now,
            leases: BTreeMap::new(),
            demand: BTreeMap::new(),
            inherited: InheritedDemand {
                demand: previous.map(|record| record.demand).unwrap_or_default(),
                valid_until: now + DEMAND_INHERITANCE,
            },
            acknowledged: 0,
            last_request: 0,
            rebalanced_among: 0,
        }
    }

    /// Whether a request comes from an earlier incarnation or connection, or is no newer than the last one: a process that was frozen
    /// may read old connections after new ones.
    pub(super) fn is_stale(&self, client: ClientId<'_>, request: &LeaseRequest) -> bool {
        let same_incarnation = self.incarnation == client.incarnation;
        client.connection < self.connection
            || (same_incarnation && request.sequence <= self.last_request)
            || (!same_incarnation && client.connection == self.connection)
    }

    /// Takes in a request: renews the leases, replaces the demand and applies the acknowledgement.
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
        self.knows_server = request.server_incarnation == server_incarnation;
        // A sequence number of an earlier incarnation's grant acknowledges nothing of this one's.
        self.acknowledged = if self.knows_server {
            request.acknowledged
        } else {
            0
        };
        RequestEffect {
            full: request.full,
            previous_demand: self.replace_demand(&request.demand),
            starved: starved_tenants(&request.demand),
            freed: self.apply_acknowledgement(),
        }
    }

    /// The tenant's requests per second that count for its target share: its own, or the previous incarnation's while they are inherited.
    pub(super) fn demand_rps(&self, now: Millis, tenant: &str) -> f64 {
        let own = self.demand.get(tenant).copied().unwrap_or(0.0);
        let inherited = self
            .inherited
            .demand
            .get(tenant)
            .filter(|_| now < self.inherited.valid_until);
        own.max(inherited.copied().unwrap_or(0.0))
    }

    /// Whether all leases are to be rebalanced because clients have come or gone; from then on they count as rebalanced.
    pub(super) fn client_count_changed(&mut self, client_count: usize) -> bool {
        std::mem::replace(&mut self.rebalanced_among, client_count) != client_count
    }

    /// Shares by tenant of the grants that the client has not acknowledged, or of all its leases.
    pub(super) fn leases_to_repeat(&self, all: bool) -> BTreeMap<String, u32> {
        self.leases
            .iter()
            .filter(|(_, lease)| all || lease.grant_sequence > self.acknowledged)
            .map(|(tenant, lease)| (tenant.clone(), lease.granted_ppm))
            .collect()
    }

    /// Builds a grant of these shares (ppm by tenant) and notes its sequence number with their leases.
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
            server_incarnation: if self.knows_server {
                0
            } else {
                server_incarnation
            },
        }
    }

    fn replace_demand(&mut self, demand: &[Demand]) -> DemandRps {
        let demand = demand
            .iter()
            .map(|demand| (demand.tenant.clone(), f64::from(demand.milli_rps) / 1000.0));
        std::mem::replace(&mut self.demand, demand.collect())
    }

    /// Acknowledged shares are what the client spends at most. Returns the tenants whose bound has become smaller.
    fn apply_acknowledgement(&mut self) -> BTreeSet<String> {
        let mut freed = BTreeSet::new();
        for (tenant, lease) in &mut self.leases {
            if lease.grant_sequence > self.acknowledged {
                continue;
            }
            if lease.upper_bound_ppm > lease.granted_ppm {
                freed.insert(tenant.clone());
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
