//! The lease server of a controller: leases shares of its slots of every quota to clients
//! (proxies).
//!
//! The server maintains its half of the invariant in the crate's docs: for each tenant, the upper
//! bounds of all leases add up to at most the limit, except for a while after the limit was
//! lowered, during which no lease is increased.

mod client_record;
mod clients;
mod rebalance;
mod rebalance_queue;
mod token_pools;

use crate::*;
use client_record::ClientRecord;
use clients::Clients;
use rebalance_queue::RebalanceQueue;
use std::collections::{BTreeMap, BTreeSet};
use token_pools::TokenPools;

/// Maximum number of clients of one server. Further clients are granted nothing until another one
/// has expired.
const MAX_CLIENTS: usize = 2048;

/// Maximum number of tenants for which one request gets tokens.
const MAX_TENANTS_PER_TOKEN_REQUEST: usize = 1024;

/// Leases to be granted, by name of the client.
type ChangedLeases = BTreeMap<String, Vec<Lease>>;

/// The sender of a request.
#[derive(Clone, Copy, Debug)]
pub struct ClientId<'a> {
    /// Name of the proxy.
    pub name: &'a str,
    /// Incarnation of the proxy: a different one for each start of its process.
    pub incarnation: u64,
    /// Number of the proxy's connection to this incarnation of the server: later connections have
    /// higher numbers.
    pub connection: u64,
}

/// State of a server while leases by its earlier incarnations may be outstanding.
#[derive(Clone, Debug)]
struct Recovery {
    /// Clients that may have leases by earlier incarnations and have not sent a request yet.
    known_clients: BTreeSet<String>,
    /// Whether clients other than the known ones may have leases by earlier incarnations.
    unknown_clients: bool,
    /// When every lease by earlier incarnations has expired.
    ends_at: Millis,
    /// Whether the recovery was active when the last request was handled.
    was_active: bool,
}

impl Recovery {
    fn is_active(&self, now: Millis) -> bool {
        now < self.ends_at && (self.unknown_clients || !self.known_clients.is_empty())
    }
}

/// Leases shares of one controller's slots of every quota.
#[derive(Clone, Debug)]
pub struct LeaseServer {
    incarnation: u32,
    /// Sequence number of the last grant to any client.
    last_grant: u64,
    /// The share of each quota that this server may lease, in ppm.
    limit: u32,
    clients: Clients,
    rebalance_queue: RebalanceQueue,
    pools: TokenPools,
    recovery: Recovery,
    /// Number of client records visited so far.
    visited_clients: u64,
}

impl LeaseServer {
    /// A server that may lease `limit` ppm of every quota. `incarnation` is never zero and differs
    /// from those of earlier starts. `leased_to` are the clients with leases by earlier
    /// incarnations, or `None` if they are not known; the last of these incarnations ended before
    /// `now`.
    pub fn new(
        now: Millis,
        incarnation: u32,
        limit: u32,
        leased_to: Option<BTreeSet<String>>,
    ) -> LeaseServer {
        LeaseServer {
            incarnation,
            last_grant: 0,
            limit,
            clients: Clients::default(),
            rebalance_queue: RebalanceQueue::new(now),
            pools: TokenPools::default(),
            recovery: Recovery {
                unknown_clients: leased_to.is_none(),
                known_clients: leased_to.unwrap_or_default(),
                ends_at: now + LEASE_DURATION + CLOCK_SKEW,
                was_active: true,
            },
            visited_clients: 0,
        }
    }

    /// Changes the limit, in ppm. A higher limit takes effect with the next requests. A lower one
    /// decreases every lease in proportion at once, and the returned grants (by name of the client)
    /// carry the decreased shares. No later grant renews a lease above these.
    pub fn set_limit(&mut self, limit: u32) -> Vec<(String, LeaseGrant)> {
        let previous = std::mem::replace(&mut self.limit, limit);
        if limit > previous {
            self.rebalance_all_with_next_requests();
        }
        if limit >= previous {
            return Vec::new();
        }
        self.pools.empty();
        self.shrink_leases(previous)
    }

    /// Sets a tenant's quota, or removes it with `None`. Without a quota, no tokens of that tenant
    /// are granted, and its shares are leased to all clients, however small they are.
    pub fn set_quota(&mut self, now: Millis, tenant: &str, quota: Option<TenantQuota>) {
        self.pools.set_quota(now, tenant, quota);
        let unleased = self.unleased_fraction(tenant, self.recovering(now));
        self.pools.refill(now, tenant, unleased);
    }

    /// Handles a request for single tokens: grants the available tokens of each tenant's unleased
    /// quota.
    pub fn grant_tokens(&mut self, now: Millis, request: &TokenRequest) -> TokenGrant {
        self.clients.expire(now);
        let recovering = self.recovering(now);
        let requested = request.tokens.iter().take(MAX_TENANTS_PER_TOKEN_REQUEST);
        let tokens = requested.map(|requested| {
            let unleased = self.unleased_fraction(&requested.tenant, recovering);
            let tenant = &requested.tenant;
            self.pools.take(now, tenant, unleased, requested.count)
        });
        TokenGrant {
            tokens: tokens.collect(),
            request: request.sequence,
        }
    }

    /// This server's incarnation.
    pub fn incarnation(&self) -> u32 {
        self.incarnation
    }

    /// The share of every quota that may be leased, in ppm.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Number of client records visited for requests since the start, a measure of the server's
    /// work.
    pub fn visited_clients(&self) -> u64 {
        self.visited_clients
    }

    /// Whether a client of this name may have a lease, by this incarnation or by an earlier one
    /// that has recorded its name.
    pub fn may_hold_lease(&self, now: Millis, name: &str) -> bool {
        let by_earlier_incarnation =
            now < self.recovery.ends_at && self.recovery.known_clients.contains(name);
        by_earlier_incarnation
            || self
                .clients
                .get(name)
                .is_some_and(|record| now < record.expires_at)
    }

    /// Whether leases by earlier incarnations may still be outstanding.
    pub fn recovering(&self, now: Millis) -> bool {
        self.recovery.is_active(now)
    }

    /// Handles a request; `tenants` are all tenants with a quota. Returns grants by name of the
    /// client. The first one is the response to the request; the others decrease leases of other
    /// clients because this one is starved, or increase them by the share that it has released. A
    /// stale request is ignored, and a release gets no response.
    pub fn handle_request<'a>(
        &mut self,
        now: Millis,
        client: ClientId<'_>,
        request: &LeaseRequest,
        tenants: impl Iterator<Item = &'a str>,
    ) -> Vec<(String, LeaseGrant)> {
        self.clients.expire(now);
        if self.is_stale(client, request) {
            return Vec::new();
        }
        if request.release {
            self.release(client.name);
            return Vec::new();
        }
        if !self.is_registered(client) {
            if self.is_full_for(client.name) {
                return vec![(client.name.to_owned(), self.reject(client, request))];
            }
            self.register(now, client, request);
            self.refill_pools(now, request.leases.iter());
        }
        self.recovery.known_clients.remove(client.name);
        let effect = self
            .clients
            .record_request(now, client, request, self.incarnation);
        let Some(effect) = effect else {
            return Vec::new();
        };
        self.update_recovery(now);
        let changed = self.rebalance_tenants(now, client.name, &effect, tenants);
        self.refill_pools(now, changed.values().flatten());
        self.build_grants(client.name, request.full, changed)
    }

    /// Upper bound of the leased shares of a tenant's quota, in ppm, as of the last request.
    pub fn outstanding(&self, tenant: &str) -> u32 {
        self.clients.totals(tenant).outstanding_ppm
    }

    /// Upper bound of the leased shares of a tenant's quota, in ppm, without leases that have
    /// expired by `now`.
    pub fn outstanding_at(&self, now: Millis, tenant: &str) -> u32 {
        self.clients
            .values()
            .filter(|record| now < record.expires_at)
            .filter_map(|record| Some(record.leases.get(tenant)?.upper_bound_ppm))
            .sum()
    }

    /// Refills the pools of the tenants of changed leases with their new unleased shares.
    fn refill_pools<'a>(&mut self, now: Millis, leases: impl Iterator<Item = &'a Lease>) {
        let recovering = self.recovering(now);
        for lease in leases {
            let unleased = self.unleased_fraction(&lease.tenant, recovering);
            self.pools.refill(now, &lease.tenant, unleased);
        }
    }

    /// Decreases every lease in proportion to the limits, and builds a grant for each client.
    fn shrink_leases(&mut self, previous_limit: u32) -> Vec<(String, LeaseGrant)> {
        let limit = u64::from(self.limit);
        let client_count = self.clients.len() as u32;
        let mut grants = Vec::new();
        for (name, record) in self.clients.iter_mut() {
            self.last_grant += 1;
            let mut leases = Vec::new();
            for (tenant, lease) in &mut record.leases {
                lease.granted_ppm =
                    (u64::from(lease.granted_ppm) * limit / u64::from(previous_limit)) as u32;
                lease.grant_sequence = self.last_grant;
                leases.push(Lease {
                    tenant: tenant.clone(),
                    ppm: lease.granted_ppm,
                });
            }
            let grant = LeaseGrant {
                sequence: self.last_grant,
                request: record.last_request,
                leases,
                client_count,
                client_incarnation: record.incarnation,
                server_incarnation: self.incarnation,
                grants_tokens: true,
            };
            grants.push((name.clone(), grant));
        }
        grants
    }

    /// Rebalances all tenants with the next request of every client, because more may be leased
    /// than before.
    fn rebalance_all_with_next_requests(&mut self) {
        self.clients
            .values_mut()
            .for_each(|record| record.rebalanced_client_count = 0);
    }

    fn is_stale(&self, client: ClientId<'_>, request: &LeaseRequest) -> bool {
        self.clients
            .get(client.name)
            .is_some_and(|record| record.is_stale(client, request))
    }

    /// Removes a client that shuts down, with all its leases.
    fn release(&mut self, name: &str) {
        self.clients.remove(name);
        self.recovery.known_clients.remove(name);
    }

    fn is_registered(&self, client: ClientId<'_>) -> bool {
        self.clients
            .get(client.name)
            .is_some_and(|record| record.incarnation == client.incarnation)
    }

    fn is_full_for(&self, name: &str) -> bool {
        self.clients.len() >= MAX_CLIENTS && self.clients.get(name).is_none()
    }

    /// Returns an empty grant, for a client beyond [`MAX_CLIENTS`].
    fn reject(&mut self, client: ClientId<'_>, request: &LeaseRequest) -> LeaseGrant {
        self.last_grant += 1;
        LeaseGrant {
            sequence: self.last_grant,
            request: request.sequence,
            client_incarnation: client.incarnation,
            server_incarnation: self.incarnation,
            ..LeaseGrant::default()
        }
    }

    /// Registers a new incarnation of a client. The leases of the previous incarnation have ended
    /// with it; leases that the client reports are confirmed as far as they fit into the limit.
    fn register(&mut self, now: Millis, client: ClientId<'_>, request: &LeaseRequest) {
        let previous = self.clients.remove(client.name);
        self.clients
            .insert(client.name, ClientRecord::new(now, client, previous));
        for lease in request.leases.iter().filter(|_| request.full) {
            // The request may have been in transit for long: shares of leases that have expired
            // meanwhile may be leased to others.
            let available = self.limit.saturating_sub(self.outstanding(&lease.tenant));
            let ppm = lease.ppm.min(available);
            self.clients.raise_lease(client.name, &lease.tenant, ppm);
        }
    }

    /// Rebalances all tenants once the server has recovered.
    fn update_recovery(&mut self, now: Millis) {
        let is_active = self.recovery.is_active(now);
        let was_active = std::mem::replace(&mut self.recovery.was_active, is_active);
        if was_active && !is_active {
            self.rebalance_all_with_next_requests();
        }
    }

    /// Builds the grants for a request by `requester`: first the response, also if nothing has
    /// changed, then a grant for every other client whose leases have changed. With `full`, all
    /// leases of the requester are repeated, otherwise only unacknowledged ones.
    fn build_grants(
        &mut self,
        requester: &str,
        full: bool,
        changed: ChangedLeases,
    ) -> Vec<(String, LeaseGrant)> {
        let client_count = self.clients.len() as u32;
        let mut grants = Vec::new();
        for (name, changed_leases) in changed {
            let Some(record) = self.clients.get_mut(&name) else {
                continue;
            };
            let is_requester = name == requester;
            let mut shares = if is_requester {
                record.leases_to_repeat(full)
            } else {
                BTreeMap::new()
            };
            shares.extend(
                changed_leases
                    .into_iter()
                    .map(|lease| (lease.tenant, lease.ppm)),
            );
            if shares.is_empty() && !is_requester {
                continue;
            }
            self.last_grant += 1;
            let grant = record.build_grant(self.last_grant, self.incarnation, client_count, shares);
            if is_requester {
                grants.insert(0, (name, grant));
            } else {
                grants.push((name, grant));
            }
        }
        grants
    }
}
