//! The token client of a proxy: requests single tokens of quotas that are too small to be leased to every proxy.
//!
//! A token is taken out of a server's pool when the request is answered and may be spent until [`token_lifetime`] after the request was
//! *sent*, by the client's clock: later than that it is void. One request to a server is under way at a time, and what is asked for
//! meanwhile goes with the next one, so a slow server is asked less often.

use crate::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Tenants at most that one server may be asked for at a time; beyond that a request is refused.
const MAX_QUEUED_ASKS: usize = 256;
/// Bounds of the time for which a server that has refused a token is not asked for that tenant.
const MIN_REFUSAL: Millis = 10.0;
const MAX_REFUSAL: Millis = 1_000.0;

/// Tokens of one tenant that are asked for.
#[derive(Clone, Debug)]
struct Ask {
    tenant: String,
    count: u32,
    /// Servers that have refused them.
    refused_by: BTreeSet<String>,
}

/// A request that has not been answered yet.
#[derive(Clone, Debug)]
struct PendingRequest {
    sequence: u64,
    sent_at: Millis,
    asks: Vec<Ask>,
}

/// What the client knows of one connected server.
#[derive(Clone, Debug, Default)]
struct TokenServer {
    /// Whether it grants tokens; earlier programs do not.
    grants_tokens: bool,
    pending: Option<PendingRequest>,
    queued: VecDeque<Ask>,
    /// Until when it is not asked, by tenant.
    refused_until: BTreeMap<String, Millis>,
}

impl TokenServer {
    fn may_be_asked(&self, now: Millis, tenant: &str) -> bool {
        let is_refused = self
            .refused_until
            .get(tenant)
            .is_some_and(|until| now < *until);
        self.grants_tokens && !is_refused && self.queued.len() < MAX_QUEUED_ASKS
    }
}

/// Whether a token can be expected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TokenStatus {
    /// One was asked for, and the answer is due within [`TokenClient::lifetime`].
    Requested,
    /// No server has one now; they may after this time.
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
    /// When the tokens that are there become void, by tenant.
    tokens: BTreeMap<String, VecDeque<Millis>>,
    /// Tokens that were asked for and neither granted nor refused, by tenant.
    awaited: BTreeMap<String, u32>,
    /// Number of asks so far: servers take turns.
    turn: usize,
}

impl TokenClient {
    /// A client without tokens, each of which may be spent for `lifetime` after it was requested (see [`token_lifetime`]).
    pub fn new(lifetime: Millis) -> TokenClient {
        TokenClient {
            lifetime,
            last_request: 0,
            servers: BTreeMap::new(),
            tokens: BTreeMap::new(),
            awaited: BTreeMap::new(),
            turn: 0,
        }
    }

    /// How long a token may be spent after it was requested: the answer to a request is worth waiting for that long.
    pub fn lifetime(&self) -> Millis {
        self.lifetime
    }

    /// Changes that for tokens that are requested from now on.
    pub fn set_lifetime(&mut self, lifetime: Millis) {
        self.lifetime = lifetime;
    }

    /// There is a new connection to a server: nothing that was asked on an earlier one is answered.
    pub fn connected(&mut self, server: &str) {
        self.disconnected(server);
        self.servers
            .insert(server.to_owned(), TokenServer::default());
    }

    /// The connection to a server has ended.
    pub fn disconnected(&mut self, server: &str) {
        let Some(server) = self.servers.remove(server) else {
            return;
        };
        let pending = server.pending.map(|pending| pending.asks);
        for ask in pending.into_iter().flatten().chain(server.queued) {
            self.no_longer_awaited(&ask.tenant, ask.count);
        }
    }

    /// A server grants tokens, or does not.
    pub fn set_grants_tokens(&mut self, server: &str, grants_tokens: bool) {
        if let Some(server) = self.servers.get_mut(server) {
            server.grants_tokens = grants_tokens;
        }
    }

    /// Whether any connected server grants tokens.
    pub fn has_servers(&self) -> bool {
        self.servers.values().any(|server| server.grants_tokens)
    }

    /// Takes a token that may be spent now; returns whether there was one.
    pub fn take(&mut self, now: Millis, tenant: &str) -> bool {
        let Some(tokens) = self.tokens.get_mut(tenant) else {
            return false;
        };
        while tokens.front().is_some_and(|void_at| *void_at <= now) {
            tokens.pop_front();
        }
        let taken = tokens.pop_front().is_some();
        if tokens.is_empty() {
            self.tokens.remove(tenant);
        }
        taken
    }

    /// Asks for a token, or tells that there is none to be had. What is to be sent comes with [`Self::next_requests`].
    pub fn request_token(&mut self, now: Millis, tenant: &str) -> TokenStatus {
        let ask = Ask {
            tenant: tenant.to_owned(),
            count: 1,
            refused_by: BTreeSet::new(),
        };
        if !self.queue(now, ask) {
            return TokenStatus::Unavailable(self.refusal_left(now, tenant));
        }
        *self.awaited.entry(tenant.to_owned()).or_default() += 1;
        TokenStatus::Requested
    }

    /// What a request that has asked may expect now.
    pub fn status(&self, now: Millis, tenant: &str) -> TokenStatus {
        if self.awaited.contains_key(tenant) {
            TokenStatus::Requested
        } else {
            TokenStatus::Unavailable(self.refusal_left(now, tenant))
        }
    }

    /// The requests to be sent now, by server.
    pub fn next_requests(&mut self, now: Millis) -> Vec<(String, TokenRequest)> {
        self.drop_unanswered(now);
        let mut requests = Vec::new();
        for (name, server) in &mut self.servers {
            if server.pending.is_some() || server.queued.is_empty() {
                continue;
            }
            self.last_request += 1;
            let asks: Vec<Ask> = server.queued.drain(..).collect();
            let tokens = asks.iter().map(|ask| TokenCount {
                tenant: ask.tenant.clone(),
                count: ask.count,
            });
            let request = TokenRequest {
                sequence: self.last_request,
                tokens: tokens.collect(),
            };
            server.pending = Some(PendingRequest {
                sequence: self.last_request,
                sent_at: now,
                asks,
            });
            requests.push((name.clone(), request));
        }
        requests
    }

    /// Applies a server's answer. Returns whether requests that wait may have an outcome now: tokens have come, or some are refused by
    /// all servers. Others of those that this server has refused are asked for at the next one.
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
        let void_at = pending.sent_at + self.lifetime;
        let mut has_outcome = false;
        for (position, mut ask) in pending.asks.into_iter().enumerate() {
            let answer = grant
                .tokens
                .get(position)
                .filter(|answer| answer.tenant == ask.tenant);
            let count = answer.map_or(0, |answer| answer.count).min(ask.count);
            if count > 0 {
                has_outcome = true;
                self.no_longer_awaited(&ask.tenant, count);
                let tokens = self.tokens.entry(ask.tenant.clone()).or_default();
                tokens.extend((0..count).map(|_| void_at));
            }
            ask.count -= count;
            if ask.count > 0 {
                let wait = answer.map_or(MAX_REFUSAL, |answer| f64::from(answer.wait_ms));
                self.refused(now, name, &ask.tenant, wait);
                ask.refused_by.insert(name.to_owned());
                let (tenant, count) = (ask.tenant.clone(), ask.count);
                if !self.queue(now, ask) {
                    has_outcome = true;
                    self.no_longer_awaited(&tenant, count);
                }
            }
        }
        has_outcome
    }

    /// Forgets what has expired; to be called now and then.
    pub fn tick(&mut self, now: Millis) {
        self.drop_unanswered(now);
        self.tokens.retain(|_, tokens| {
            tokens.retain(|void_at| now < *void_at);
            !tokens.is_empty()
        });
        for server in self.servers.values_mut() {
            server.refused_until.retain(|_, until| now < *until);
        }
    }

    /// Queues an ask for the next server that may be asked; returns whether there is one.
    fn queue(&mut self, now: Millis, ask: Ask) -> bool {
        let may_be_asked: Vec<&String> = self
            .servers
            .iter()
            .filter(|(name, server)| {
                !ask.refused_by.contains(*name) && server.may_be_asked(now, &ask.tenant)
            })
            .map(|(name, _)| name)
            .collect();
        if may_be_asked.is_empty() {
            return false;
        }
        self.turn = self.turn.wrapping_add(1);
        let name = may_be_asked[self.turn % may_be_asked.len()].clone();
        let Some(server) = self.servers.get_mut(&name) else {
            return false;
        };
        let same =
            |queued: &&mut Ask| queued.tenant == ask.tenant && queued.refused_by == ask.refused_by;
        if let Some(queued) = server.queued.iter_mut().find(same) {
            queued.count += ask.count;
        } else {
            server.queued.push_back(ask);
        }
        true
    }

    /// A server has no token of a tenant for this long.
    fn refused(&mut self, now: Millis, server: &str, tenant: &str, wait: Millis) {
        if let Some(server) = self.servers.get_mut(server) {
            let until = now + wait.clamp(MIN_REFUSAL, MAX_REFUSAL);
            server.refused_until.insert(tenant.to_owned(), until);
        }
    }

    /// How long it takes until some server may be asked for this tenant again.
    fn refusal_left(&self, now: Millis, tenant: &str) -> Millis {
        self.servers
            .values()
            .filter(|server| server.grants_tokens)
            .map(|server| server.refused_until.get(tenant).map_or(0.0, |at| at - now))
            .fold(MAX_REFUSAL, f64::min)
            .max(MIN_REFUSAL)
    }

    /// Requests that were not answered in time bring no tokens any more.
    fn drop_unanswered(&mut self, now: Millis) {
        let lifetime = self.lifetime;
        let mut dropped = Vec::new();
        for server in self.servers.values_mut() {
            let pending = server
                .pending
                .take_if(|pending| now >= pending.sent_at + lifetime);
            dropped.extend(pending.into_iter().flat_map(|pending| pending.asks));
        }
        for ask in dropped {
            self.no_longer_awaited(&ask.tenant, ask.count);
        }
    }

    fn no_longer_awaited(&mut self, tenant: &str, count: u32) {
        if let Some(awaited) = self.awaited.get_mut(tenant) {
            *awaited = awaited.saturating_sub(count);
            if *awaited == 0 {
                self.awaited.remove(tenant);
            }
        }
    }
}
