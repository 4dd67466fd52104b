//! Admission of tenants at a proxy that holds leases on shares of their quotas: recent average and
//! penalty box (from the CEWMA paper), and token bucket.

use crate::gateway::{penalty_box_wait, Cewma};
use crate::interface::Millis;
use maplefall_load_estimators::{EvictingMap, TokenBucket};
use std::f64::consts::LN_2;

/// Half-life of the recent average, in burst lengths (at least 1 in the CEWMA paper).
const AVERAGE_HALFLIFE_BURSTS: f64 = 4.0;
const MIN_AVERAGE_HALFLIFE_MS: Millis = 1000.0;
const MAX_AVERAGE_HALFLIFE_MS: Millis = EVICT_AFTER_MS / 4.0;
/// Decay rate of the demand that is reported to lease servers: half-life 1.5 s, per millisecond.
const DEMAND_LAMBDA: f64 = LN_2 / 1500.0;
/// Minimum demand that is reported, in units a second.
const MIN_DEMAND: f64 = 0.02;
/// A tenant without requests for this long is evicted: its average has decayed.
const EVICT_AFTER_MS: Millis = 60_000.0;

/// A tenant's quota, and this proxy's share of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Quota in units a second, through all proxies; 0 for no limit.
    pub rate: f64,
    /// Units of the quota that may be used at once, in addition to its rate.
    pub burst: f64,
    /// Maximum number of units in the buckets of all proxies together.
    pub depth: f64,
    /// This proxy's share of the quota, from 0 to 1.
    pub share: f64,
    /// Maximum time that a request waits for its tokens, in milliseconds.
    pub max_wait: Millis,
}

/// Why a tenant's request is rejected, and after how many milliseconds a retry may be admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaRejection {
    /// All requests are rejected: the tenant's recent average rate is over the penalty box's limit.
    PenaltyBox(Millis),
    /// The wait for tokens exceeds `max_wait`, or is not 0 and the demand exceeds the refill rate.
    Bucket(Millis),
}

/// How many milliseconds a request waits for its tokens, or why it is rejected.
type Decision = Result<Millis, QuotaRejection>;

#[derive(Clone, Copy, Debug, Default)]
struct Tenant {
    average: Cewma,
    demand: Cewma,
    bucket: TokenBucket,
    last_arrival: Millis,
}

/// All tenants with recent requests at this proxy, by the caller's key.
#[derive(Clone, Debug)]
pub struct Tenants<K> {
    tenants: EvictingMap<K, Tenant>,
    /// Whether buckets start full: only if no earlier incarnation of the proxy may have used them.
    starts_full: bool,
}

impl<K: Ord + Clone> Tenants<K> {
    /// Creates an empty set of tenants; `full` if the whole system starts for the first time.
    pub fn new(full: bool) -> Tenants<K> {
        Tenants {
            tenants: EvictingMap::default(),
            starts_full: full,
        }
    }

    /// Applies a share of a quota from `now` on. It bounds the bucket and its refill rate; a larger
    /// share adds no tokens at once, so all proxies together stay within the quota.
    pub fn hold(&mut self, now: Millis, key: &K, quota: Quota) {
        self.refilled(now, key, quota);
    }

    fn refilled(&mut self, now: Millis, key: &K, quota: Quota) -> &mut Tenant {
        let evicted = self.tenants.sweep(now, EVICT_AFTER_MS / 4.0, |tenant| {
            now - tenant.last_arrival < EVICT_AFTER_MS
        });
        // After an eviction, buckets start empty: a returning tenant's may have been empty before.
        self.starts_full &= evicted == 0;
        let tokens = if self.starts_full { f64::INFINITY } else { 0.0 };
        let fresh = Tenant {
            bucket: TokenBucket::new(now, tokens),
            last_arrival: now,
            ..Tenant::default()
        };
        let tenant = self.tenants.entry(key.clone()).or_insert(fresh);
        let refill_rate = quota.rate * quota.share / 1000.0;
        tenant
            .bucket
            .refill(now, refill_rate, quota.depth * quota.share);
        tenant
    }

    /// Counts an arrival of `units`, and takes them from the tenant's bucket or rejects it.
    pub fn arrived(&mut self, now: Millis, key: &K, units: f64, quota: Quota) -> Decision {
        let tenant = self.refilled(now, key, quota);
        let burst_length = 1000.0 * quota.burst / quota.rate.max(1e-9);
        let halflife = AVERAGE_HALFLIFE_BURSTS * burst_length;
        let lambda = LN_2 / halflife.clamp(MIN_AVERAGE_HALFLIFE_MS, MAX_AVERAGE_HALFLIFE_MS);
        // Rejected arrivals count towards the recent average and the demand too.
        tenant.average.feed(now, units, lambda);
        tenant.demand.feed(now, units, DEMAND_LAMBDA);
        tenant.last_arrival = now;
        let recent = tenant.average.rate(now, lambda);
        match penalty_box_wait(recent, quota.rate, quota.burst, lambda) {
            Some(wait) if quota.rate > 0.0 => Err(QuotaRejection::PenaltyBox(wait)),
            _ => tenant.take(now, units, quota),
        }
    }

    /// Takes tokens for an arrival that is counted already; returns the wait for the tokens.
    pub fn take(&mut self, now: Millis, key: &K, units: f64, quota: Quota) -> Decision {
        self.refilled(now, key, quota).take(now, units, quota)
    }

    /// Gives back the tokens of a request that was never forwarded.
    pub fn give_back(&mut self, key: &K, units: f64) {
        let tenant = self.tenants.entry(key.clone());
        tenant.and_modify(|tenant| tenant.bucket.take(-units));
    }

    /// Returns the recent demand of each tenant, in units a second, where it exceeds `MIN_DEMAND`.
    pub fn demand(&self, now: Millis) -> impl Iterator<Item = (&K, f64)> {
        let tenants = self.tenants.iter();
        let demand =
            tenants.map(move |(key, tenant)| (key, tenant.demand.rate(now, DEMAND_LAMBDA)));
        demand.filter(|(_, rate)| *rate > MIN_DEMAND)
    }
}

impl Tenant {
    /// Takes tokens. Only a tenant whose demand is within its refill rate may wait for them.
    fn take(&mut self, now: Millis, units: f64, quota: Quota) -> Decision {
        if quota.rate <= 0.0 {
            return Ok(0.0);
        }
        let wait = self.bucket.wait(units);
        let is_within = self.demand.rate(now, DEMAND_LAMBDA) <= 1000.0 * self.bucket.refill_rate();
        let max_wait = if is_within { quota.max_wait } else { 0.0 };
        if wait > max_wait {
            return Err(QuotaRejection::Bucket(wait));
        }
        self.bucket.take(units);
        Ok(wait)
    }
}
