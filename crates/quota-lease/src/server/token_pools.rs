//! The share of each quota that a lease server has not leased, as a token bucket from which it
//! grants single tokens.
//!
//! Invariant: a pool's share of the quota is at most the share that is not outstanding as leases.
//! Whenever this unleased share decreases, the pool is refilled with its new share in the same
//! step, which limits its tokens to the new depth. The buckets of all clients and all pools
//! together are therefore at most one bucket of the full quota, and a token that is spent within
//! [`token_lifetime`] of its request was in one of these buckets at most that long ago.

use crate::*;
use maplefall_load_estimators::TokenBucket;
use std::collections::BTreeMap;

/// How long a client waits before it requests tokens again of a tenant without a quota here.
const UNKNOWN_TENANT_WAIT: Millis = 1_000.0;

/// One tenant's pool.
#[derive(Clone, Debug)]
struct TokenPool {
    quota: TenantQuota,
    bucket: TokenBucket,
}

/// The pools of all tenants with a quota; their number is bounded by that of the configured
/// tenants.
#[derive(Clone, Debug, Default)]
pub(super) struct TokenPools {
    by_tenant: BTreeMap<String, TokenPool>,
}

impl TokenPools {
    /// Sets or removes a tenant's quota. A new pool is empty: another controller may have granted
    /// its tokens.
    pub(super) fn set_quota(&mut self, now: Millis, tenant: &str, quota: Option<TenantQuota>) {
        let Some(quota) = quota.filter(|quota| quota.rate > 0.0) else {
            self.by_tenant.remove(tenant);
            return;
        };
        if let Some(pool) = self.by_tenant.get_mut(tenant) {
            pool.quota = quota;
            return;
        }
        let bucket = TokenBucket::new(now, 0.0);
        self.by_tenant
            .insert(tenant.to_owned(), TokenPool { quota, bucket });
    }

    /// Whether a tenant's quota is too small for leases to this many clients.
    pub(super) fn is_pooled(&self, tenant: &str, client_count: usize) -> bool {
        self.by_tenant
            .get(tenant)
            .is_some_and(|pool| pool.quota.is_pooled(client_count))
    }

    /// Refills a tenant's pool. From now on, `unleased` is the fraction of the quota that is not
    /// leased.
    pub(super) fn refill(&mut self, now: Millis, tenant: &str, unleased: f64) {
        if let Some(pool) = self.by_tenant.get_mut(tenant) {
            pool.refill(now, unleased);
        }
    }

    /// Empties all pools, because the server may grant less of every quota than before and the
    /// difference is not known yet.
    pub(super) fn empty(&mut self) {
        for pool in self.by_tenant.values_mut() {
            pool.bucket.clear();
        }
    }

    /// Takes the available whole tokens, at most `count`.
    pub(super) fn take(
        &mut self,
        now: Millis,
        tenant: &str,
        unleased: f64,
        count: u32,
    ) -> GrantedTokens {
        let mut granted = GrantedTokens {
            tenant: tenant.to_owned(),
            count: 0,
            wait_ms: UNKNOWN_TENANT_WAIT as u32,
        };
        if let Some(pool) = self.by_tenant.get_mut(tenant) {
            pool.refill(now, unleased);
            // The cast truncates fractions and turns negative numbers into zero.
            granted.count = count.min(pool.bucket.tokens() as u32);
            pool.bucket.take(f64::from(granted.count));
            granted.wait_ms = pool.bucket.wait(1.0).ceil() as u32;
        }
        granted
    }
}

impl TokenPool {
    fn refill(&mut self, now: Millis, unleased: f64) {
        let rate_per_ms = self.quota.pool_rate * unleased / 1000.0;
        self.bucket
            .refill(now, rate_per_ms, self.quota.depth * unleased);
    }
}
