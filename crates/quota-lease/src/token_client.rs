//! The token client of a proxy: requests single tokens of quotas that are too small to be leased to
//! every proxy.
//!
//! A token is taken out of a server's pool when the server handles the request, and expires
//! [`token_lifetime`] after the request was *sent*, by the client's clock. One request to a server
//! is in flight at a time. Tokens that are needed meanwhile are requested with the next one, so a
//! slow server gets fewer requests.

use crate::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Maximum number of [`TokenNeed`]s that are queued for one server; a server with a full queue is
/// not available.
const MAX_QUEUED_NEEDS: usize = 256;
/// Bounds of the time for which no tokens of a tenant are requested from a server that has denied
/// one.
const MIN_BACKOFF: Millis = 10.0;
const MAX_BACKOFF: Millis = 1_000.0;

/// Tokens of one tenant that are needed.
#[derive(Clone, Debug)]
struct TokenNeed {
    tenant: String,
    count: u32,
    /// Servers that have denied these tokens.
    denied_by: BTreeSet<String>,
}

/// A request without a response so far.
#[derive(Clone, Debug)]
struct PendingRequest {
    sequence: u64,
    sent_at: Millis,
    needs: Vec<TokenNeed>,
}

/// State of the client for one connected server.
#[derive(Clone, Debug, Default)]
struct TokenServer {
    /// Whether the server grants tokens; earlier releases do not.
    grants_tokens: bool,
    pending: Option<PendingRequest>,
    queued: VecDeque<TokenNeed>,
    /// Until when no tokens are requested from this server, by tenant.
    backoff_until: BTreeMap<String, Millis>,
}

impl TokenServer {
    fn is_available(&self, now: Millis, tenant: &str) -> bool {
        let is_backing_off = self
            .backoff_until
            .get(tenant)
            .is_some_and(|until| now < *until);
        self.grants_tokens && !is_backing_off && self.queued.len() < MAX_QUEUED_NEEDS
    }
}

/// Whether a token can be expected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TokenStatus {
    /// A token was requested, and the response is due within [`TokenClient::lifetime`].
    Requested,
    /// No server has a token now; one may be available after this time.
    Unavailable(Millis),
}

/// Single tokens of one incarnation of a proxy.
#[derive(Clone, Debug)]
pub struct TokenClient {
    /// How long a token may be spent after it was requested.
    lifetime: Millis,
    last_request: u64,
    /// The connected servers.
    servers: BTreeMap<String, TokenServer>,
    /// When each available token expires, by tenant.
    tokens: BTreeMap<String, VecDeque<Millis>>,
    /// Number of tokens that were requested and neither granted nor denied by all servers, by
    /// tenant.
    awaited: BTreeMap<String, u32>,
    /// Round-robin counter for the choice of a server.
    round_robin: usize,
}

impl TokenClient {
    /// A client without tokens. Each token may be spent for `lifetime` after it was requested (see
    /// [`token_lifetime`]).
    pub fn new(lifetime: Millis) -> TokenClient {
        TokenClient {
            lifetime,
            last_request: 0,
            servers: BTreeMap::new(),
            tokens: BTreeMap::new(),
            awaited: BTreeMap::new(),
            round_robin: 0,
        }
    }

    /// How long a token may be spent after it was requested, which is also how long a response to
    /// its request is useful.
    pub fn lifetime(&self) -> Millis {
        self.lifetime
    }

    /// Changes the lifetime of tokens whose grants arrive from now on.
    pub fn set_lifetime(&mut self, lifetime: Millis) {
        self.lifetime = lifetime;
    }

    /// Records a new connection to a server. Requests on an earlier connection get no response any
    /// more.
    pub fn connected(&mut self, server: &str) {
        self.disconnected(server);
        self.servers
            .insert(server.to_owned(), TokenServer::default());
    }

    /// Records the end of the connection to a server.
    pub fn disconnected(&mut self, server: &str) {
        let Some(server) = self.servers.remove(server) else {
            return;
        };
        let pending = server.pending.map(|pending| pending.needs);
        for need in pending.into_iter().flatten().chain(server.queued) {
            self.reduce_awaited(&need.tenant, need.count);
        }
    }

    /// Sets whether a server grants tokens.
    pub fn set_grants_tokens(&mut self, server: &str, grants_tokens: bool) {
        if let Some(server) = self.servers.get_mut(server) {
            server.grants_tokens = grants_tokens;
        }
    }

    /// Whether any connected server grants tokens.
    pub fn has_servers(&self) -> bool {
        self.servers.values().any(|server| server.grants_tokens)
    }

    /// Takes a token that may be spent now; returns whether one was available.
    pub fn take(&mut self, now: Millis, tenant: &str) -> bool {
        let Some(tokens) = self.tokens.get_mut(tenant) else {
            return false;
        };
        while tokens.front().is_some_and(|expiry| *expiry <= now) {
            tokens.pop_front();
        }
        let taken = tokens.pop_front().is_some();
        if tokens.is_empty() {
            self.tokens.remove(tenant);
        }
        taken
    }

    /// Queues the need for a token for an available lease server, whose next request includes the
    /// need; returns [`TokenStatus::Unavailable`] if no server is available.
    /// [`Self::next_requests`] returns the requests to be sent.
    pub fn request_token(&mut self, now: Millis, tenant: &str) -> TokenStatus {
        let need = TokenNeed {
            tenant: tenant.to_owned(),
            count: 1,
            denied_by: BTreeSet::new(),
        };
        if !self.queue(now, need) {
            return TokenStatus::Unavailable(self.remaining_backoff(now, tenant));
        }
        *self.awaited.entry(tenant.to_owned()).or_default() += 1;
        TokenStatus::Requested
    }

    /// Returns the status of tokens of a tenant that were requested before.
    pub fn status(&self, now: Millis, tenant: &str) -> TokenStatus {
        if self.awaited.contains_key(tenant) {
            TokenStatus::Requested
        } else {
            TokenStatus::Unavailable(self.remaining_backoff(now, tenant))
        }
    }

    /// Returns the requests to be sent now, by server.
    pub fn next_requests(&mut self, now: Millis) -> Vec<(String, TokenRequest)> {
        self.drop_unanswered(now);
        let mut requests = Vec::new();
        for (name, server) in &mut self.servers {
            if server.pending.is_some() || server.queued.is_empty() {
                continue;
            }
            self.last_request += 1;
            let needs: Vec<TokenNeed> = server.queued.drain(..).collect();
            let tokens = needs.iter().map(|need| TokenCount {
                tenant: need.tenant.clone(),
                count: need.count,
            });
            let request = TokenRequest {
                sequence: self.last_request,
                tokens: tokens.collect(),
            };
            server.pending = Some(PendingRequest {
                sequence: self.last_request,
                sent_at: now,
                needs,
            });
            requests.push((name.clone(), request));
        }
        requests
    }

    /// Applies a server's grant. Returns whether waiting requests may have an outcome now: tokens
    /// were granted, or some were denied by all available servers. Other tokens that this server
    /// has denied are requested from the next one.
    pub fn handle_grant(&mut self, now: Millis, name: &str, grant: &TokenGrant) -> bool {
        let Some(server) = self.servers.get_mut(name) else {
            return false;
        };
        let pending = server
            .pending
            .take_if(|pending| pending.sequence == grant.request);
        let Some(pending) = pending else {
            return false;
        };
        let expiry = pending.sent_at + self.lifetime;
        let mut has_outcome = false;
        for (position, mut need) in pending.needs.into_iter().enumerate() {
            let granted = grant
                .tokens
                .get(position)
                .filter(|granted| granted.tenant == need.tenant);
            let count = granted.map_or(0, |granted| granted.count).min(need.count);
            if count > 0 {
                has_outcome = true;
                self.reduce_awaited(&need.tenant, count);
                let tokens = self.tokens.entry(need.tenant.clone()).or_default();
                tokens.extend((0..count).map(|_| expiry));
            }
            need.count -= count;
            if need.count > 0 {
                let wait = granted.map_or(MAX_BACKOFF, |granted| f64::from(granted.wait_ms));
                self.back_off(now, name, &need.tenant, wait);
                need.denied_by.insert(name.to_owned());
                let (tenant, count) = (need.tenant.clone(), need.count);
                if !self.queue(now, need) {
                    has_outcome = true;
                    self.reduce_awaited(&tenant, count);
                }
            }
        }
        has_outcome
    }

    /// Removes expired requests, tokens and backoffs; called periodically.
    pub fn tick(&mut self, now: Millis) {
        self.drop_unanswered(now);
        self.tokens.retain(|_, tokens| {
            tokens.retain(|expiry| now < *expiry);
            !tokens.is_empty()
        });
        for server in self.servers.values_mut() {
            server.backoff_until.retain(|_, until| now < *until);
        }
    }

    /// Queues needed tokens for the next available server; returns whether one is available.
    fn queue(&mut self, now: Millis, need: TokenNeed) -> bool {
        let available: Vec<&String> = self
            .servers
            .iter()
            .filter(|(name, server)| {
                !need.denied_by.contains(*name) && server.is_available(now, &need.tenant)
            })
            .map(|(name, _)| name)
            .collect();
        if available.is_empty() {
            return false;
        }
        self.round_robin = self.round_robin.wrapping_add(1);
        let name = available[self.round_robin % available.len()].clone();
        let Some(server) = self.servers.get_mut(&name) else {
            return false;
        };
        let is_same = |queued: &&mut TokenNeed| {
            queued.tenant == need.tenant && queued.denied_by == need.denied_by
        };
        if let Some(queued) = server.queued.iter_mut().find(is_same) {
            queued.count += need.count;
        } else {
            server.queued.push_back(need);
        }
        true
    }

    /// Requests no tokens of a tenant from a server for `wait`.
    fn back_off(&mut self, now: Millis, server: &str, tenant: &str, wait: Millis) {
        if let Some(server) = self.servers.get_mut(server) {
            let until = now + wait.clamp(MIN_BACKOFF, MAX_BACKOFF);
            server.backoff_until.insert(tenant.to_owned(), until);
        }
    }

    /// Time until tokens of a tenant may be requested from some server again.
    fn remaining_backoff(&self, now: Millis, tenant: &str) -> Millis {
        self.servers
            .values()
            .filter(|server| server.grants_tokens)
            .map(|server| server.backoff_until.get(tenant).map_or(0.0, |at| at - now))
            .fold(MAX_BACKOFF, f64::min)
            .max(MIN_BACKOFF)
    }

    /// Drops requests without a response in time; their tokens are no longer awaited.
    fn drop_unanswered(&mut self, now: Millis) {
        let lifetime = self.lifetime;
        let mut dropped = Vec::new();
        for server in self.servers.values_mut() {
            let pending = server
                .pending
                .take_if(|pending| now >= pending.sent_at + lifetime);
            dropped.extend(pending.into_iter().flat_map(|pending| pending.needs));
        }
        for need in dropped {
            self.reduce_awaited(&need.tenant, need.count);
        }
    }

    fn reduce_awaited(&mut self, tenant: &str, count: u32) {
        if let Some(awaited) = self.awaited.get_mut(tenant) {
            *awaited = awaited.saturating_sub(count);
            if *awaited == 0 {
                self.awaited.remove(tenant);
            }
        }
    }
}
