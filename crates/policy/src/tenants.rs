//! Tenants of the system: the design's recent average, box and bucket, where doors are lent parts of a quota.

use crate::gateway::Cewma;
use crate::interface::Millis;
use std::collections::BTreeMap;
use std::f64::consts::LN_2;

/// Halflife of the recent average, in burst lengths (the design asks for one at least), and at least.
const HALFLIFE: (f64, Millis) = (4.0, 1000.0);
/// The box shuts at this many times the quota rate (and the burst's share on top): the design's figure.
const BOX_FACTOR: f64 = 3.0;
/// Halflife of the demand that lenders are told.
const DEMAND_HALFLIFE: Millis = 1500.0;
/// A tenant that has not been heard of for this long is forgotten: its average has decayed.
const EVICT: Millis = 60_000.0;

/// What a tenant may use, and what of it is held here.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Units a second over all doors; nought is no limit.
    pub rate: f64,
    /// Units on top.
    pub burst: f64,
    /// Units that all buckets may hold together.
    pub depth: f64,
    /// The part of all that this door holds, from nought to one.
    pub part: f64,
    /// Longest wait for tokens that are sure to come.
    pub wait: Millis,
}

/// Why a tenant's request is turned away, and how long that lasts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Turned {
    /// The box is shut.
    Box(Millis),
    /// This door's bucket is empty.
    Bucket(Millis),
}

#[derive(Clone, Copy, Debug, Default)]
struct Tenant {
    average: Cewma,
    demand: Cewma,
    tokens: f64,
    filled: Millis,
    flow: f64,
    heard: Millis,
}

/// All tenants that this door has heard of late. The key is whatever the caller knows them by.
#[derive(Clone, Debug)]
pub struct Tenants<K> {
    tenants: BTreeMap<K, Tenant>,
    /// Whether buckets start full: only where no earlier life of the door may have emptied them.
    full: bool,
    evict: Millis,
}

impl<K: Ord + Clone> Tenants<K> {
    /// Knows no tenant; `full` where the whole system starts for the first time.
    pub fn new(full: bool) -> Tenants<K> {
        Tenants { tenants: BTreeMap::new(), full, evict: 0.0 }
    }

    /// Holds this of a quota from now on. Guards QUOTA: what is lent bounds a bucket, and no loan fills it.
    pub fn hold(&mut self, now: Millis, who: &K, quota: Quota) {
        if now >= self.evict {
            self.evict = now + EVICT / 4.0;
            let before = self.tenants.len();
            self.tenants.retain(|_, tenant| now - tenant.heard < EVICT);
            self.full &= self.tenants.len() == before;
        }
        let tokens = if self.full { f64::INFINITY } else { 0.0 };
        let fresh = Tenant { tokens, filled: now, heard: now, ..Tenant::default() };
        let tenant = self.tenants.entry(who.clone()).or_insert(fresh);
        let flow = quota.rate * quota.part / 1000.0;
        let filled = tenant.flow.min(flow) * (now - tenant.filled).max(0.0);
        tenant.tokens = (tenant.tokens + filled).min(quota.depth * quota.part);
        (tenant.filled, tenant.flow) = (now, flow);
    }

    /// Counts an arrival of `units`, and takes them from the tenant's bucket or tells why not.
    pub fn arrived(&mut self, now: Millis, who: &K, units: f64, quota: Quota) -> Result<Millis, Turned> {
        self.hold(now, who, quota);
        let Some(tenant) = self.tenants.get_mut(who) else { return Ok(0.0) };
        let burst_length = 1000.0 * quota.burst / quota.rate.max(1e-9);
        let lambda = LN_2 / (HALFLIFE.0 * burst_length).clamp(HALFLIFE.1, EVICT / 4.0);
        // Every arrival feeds the average, refused ones too.
        tenant.average.feed(now, units, lambda);
        tenant.demand.feed(now, units, LN_2 / DEMAND_HALFLIFE);
        tenant.heard = now;
        let limit = BOX_FACTOR * quota.rate + 1000.0 * lambda * quota.burst;
        let rate = tenant.average.rate(now, lambda);
        if quota.rate > 0.0 && rate > limit {
            return Err(Turned::Box((rate / limit).ln() / lambda));
        }
        self.take(now, who, units, quota)
    }

    /// Takes from a bucket for a counted arrival, and tells when its tokens come: only the calm wait.
    pub fn take(&mut self, now: Millis, who: &K, units: f64, quota: Quota) -> Result<Millis, Turned> {
        self.hold(now, who, quota);
        let Some(tenant) = self.tenants.get_mut(who).filter(|_| quota.rate > 0.0) else { return Ok(0.0) };
        let wait = (units - tenant.tokens).max(0.0) / tenant.flow.max(1e-9);
        let calm = tenant.demand.rate(now, LN_2 / DEMAND_HALFLIFE) <= 1000.0 * tenant.flow;
        if wait > if calm { quota.wait } else { 0.0 } {
            return Err(Turned::Bucket(wait));
        }
        tenant.tokens -= units;
        Ok(wait)
    }

    /// Gives back what was taken for a request that was never sent on.
    pub fn give_back(&mut self, who: &K, units: f64) {
        self.tenants.entry(who.clone()).and_modify(|tenant| tenant.tokens += units);
    }

    /// What each tenant has asked of late, in units a second; those that ask next to nothing are left out.
    pub fn demand(&self, now: Millis) -> impl Iterator<Item = (&K, f64)> {
        let rate = move |tenant: &Tenant| tenant.demand.rate(now, LN_2 / DEMAND_HALFLIFE);
        self.tenants.iter().map(move |(who, tenant)| (who, rate(tenant))).filter(|(_, rate)| *rate > 0.02)
    }
}
