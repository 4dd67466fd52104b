//! The lease client of a proxy: the quota shares that the proxy may spend, as granted by the lease
//! servers of all controllers.
//!
//! The client maintains the proxy's half of the invariant in the crate's docs: a share is valid
//! only for [`LEASE_DURATION`] from when the request that renewed it was sent, and grants by
//! another incarnation, for another connection or older than one already applied are ignored.

use crate::*;
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of unanswered requests to one server whose send times are kept. Beyond this
/// number the oldest send time is dropped, and a late grant for its request renews nothing.
const MAX_UNANSWERED_REQUESTS: usize = 64;

/// A request without a grant so far.
#[derive(Clone, Copy, Debug)]
struct UnansweredRequest {
    sequence: u64,
    sent_at: Millis,
}

/// State of the client for one server.
#[derive(Clone, Debug, Default)]
struct ServerRecord {
    /// Leased share of each tenant's quota, in ppm.
    leases: BTreeMap<String, u32>,
    expires_at: Millis,
    last_request: u64,
    /// Sequence number of the last grant applied.
    acknowledged: u64,
    /// Incarnation of the connected server; zero until its first grant on this connection.
    incarnation: u32,
    unanswered: VecDeque<UnansweredRequest>,
    /// Number of clients of the server.
    client_count: u32,
}

impl ServerRecord {
    fn drop_expired_leases(&mut self, now: Millis) {
        if now >= self.expires_at {
            self.leases.clear();
        }
    }

    /// When the request with this sequence number was sent; `None` if it was not sent on this
    /// connection, or if a grant for a later request was applied.
    fn sent_at(&self, sequence: u64) -> Option<Millis> {
        self.unanswered
            .iter()
            .find(|request| request.sequence == sequence)
            .map(|request| request.sent_at)
    }

    /// Whether the grant is by another incarnation than the first one on this connection, or no
    /// newer than the last one applied.
    fn is_stale(&self, grant: &LeaseGrant) -> bool {
        let other_incarnation = self.incarnation != 0
            && grant.server_incarnation != 0
            && self.incarnation != grant.server_incarnation;
        other_incarnation || grant.sequence <= self.acknowledged
    }

    /// Applies a grant for a request sent at `sent_at`.
    fn apply(&mut self, grant: &LeaseGrant, sent_at: Millis) -> GrantEffect {
        if grant.server_incarnation != 0 {
            self.incarnation = grant.server_incarnation;
        }
        self.unanswered
            .retain(|request| request.sequence >= grant.request);
        self.expires_at = self.expires_at.max(sent_at + LEASE_DURATION);
        self.acknowledged = grant.sequence;
        self.client_count = grant.client_count;
        let mut effect = GrantEffect::default();
        for lease in &grant.leases {
            let previous_ppm = self
                .leases
                .insert(lease.tenant.clone(), lease.ppm)
                .unwrap_or(0);
            effect.decreased |= lease.ppm < previous_ppm;
            effect.increased |= lease.ppm > previous_ppm;
        }
        effect
    }
}

/// How a grant has changed the client's leases. Both fields are false for a grant that was ignored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GrantEffect {
    /// Some share has decreased: the next request must be sent at once, because the server can
    /// lease the difference to others only after the acknowledgement.
    pub decreased: bool,
    /// Some share has increased: requests that wait for quota may be admitted.
    pub increased: bool,
}

/// All leases of one incarnation of a proxy.
#[derive(Clone, Debug)]
pub struct LeaseClient {
    incarnation: u64,
    servers: BTreeMap<String, ServerRecord>,
}

impl LeaseClient {
    /// A client without leases, for one incarnation of a proxy.
    pub fn new(incarnation: u64) -> LeaseClient {
        LeaseClient {
            incarnation,
            servers: BTreeMap::new(),
        }
    }

    /// Records a new connection to a server, which may be a new incarnation of it. Grants that are
    /// still in transit on earlier connections will be ignored.
    pub fn connected(&mut self, server: &str) {
        let server = self.servers.entry(server.to_owned()).or_default();
        server.unanswered.clear();
        (server.acknowledged, server.incarnation) = (0, 0);
    }

    /// Returns the next request for a server, to be sent now. All requests list all leases until
    /// the server's first grant on this connection: a single such request could be lost, since a
    /// server without a valid membership lease ignores requests.
    pub fn next_request(&mut self, now: Millis, server: &str, demand: Vec<Demand>) -> LeaseRequest {
        let server = self.servers.entry(server.to_owned()).or_default();
        server.drop_expired_leases(now);
        server.last_request += 1;
        if server.unanswered.len() >= MAX_UNANSWERED_REQUESTS {
            server.unanswered.pop_front();
        }
        server.unanswered.push_back(UnansweredRequest {
            sequence: server.last_request,
            sent_at: now,
        });
        let full = server.incarnation == 0;
        let leases = server.leases.iter().filter(|_| full);
        LeaseRequest {
            sequence: server.last_request,
            acknowledged: server.acknowledged,
            leases: leases
                .map(|(tenant, ppm)| Lease {
                    tenant: tenant.clone(),
                    ppm: *ppm,
                })
                .collect(),
            full,
            demand,
            release: false,
            server_incarnation: server.incarnation,
            uses_tokens: true,
        }
    }

    /// Applies a server's grant: the response to a request, or a later change of leases. The grant
    /// does not restore leases that have expired. A stale grant is ignored.
    pub fn handle_grant(&mut self, now: Millis, server: &str, grant: &LeaseGrant) -> GrantEffect {
        // Grants to an earlier incarnation of this proxy are ignored.
        let Some(server) = self
            .servers
            .get_mut(server)
            .filter(|_| grant.client_incarnation == self.incarnation)
        else {
            return GrantEffect::default();
        };
        server.drop_expired_leases(now);
        let Some(sent_at) = server.sent_at(grant.request) else {
            return GrantEffect::default();
        };
        if server.is_stale(grant) {
            return GrantEffect::default();
        }
        server.apply(grant, sent_at)
    }

    /// The fraction of a tenant's quota that this proxy may spend now, from 0 to 1: the sum of the
    /// unexpired leases from all servers.
    pub fn fraction(&self, now: Millis, tenant: &str) -> f64 {
        let valid = self
            .servers
            .values()
            .filter(|server| now < server.expires_at);
        let ppm: u32 = valid
            .filter_map(|server| server.leases.get(tenant))
            .fold(0, |sum, ppm| sum.saturating_add(*ppm));
        f64::from(ppm.min(FULL_QUOTA_PPM)) / f64::from(FULL_QUOTA_PPM)
    }

    /// The maximum number of clients reported by the servers, at least one.
    pub fn client_count(&self) -> u32 {
        self.servers
            .values()
            .map(|server| server.client_count)
            .max()
            .unwrap_or(0)
            .max(1)
    }
}
