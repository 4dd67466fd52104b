//! Tenants of the system: the design's recent average, box and bucket for each, where the doors are lent parts of a quota.

use crate::interface::Millis;
use crate::rules::Cewma;
use std::collections::BTreeMap;

/// Halflife of the recent average, in burst lengths: the design asks for one at least.
const HALFLIFE_BURSTS: f64 = 4.0;
/// Shortest halflife: a quota without a burst has one too.
const HALFLIFE_LEAST: Millis = 1000.0;
/// The box shuts at this many times the quota rate (and the burst's share on top): the design's figure.
const BOX_FACTOR: f64 = 3.0;
/// Halflife of the demand that lenders are told.
const DEMAND_HALFLIFE: Millis = 1500.0;
/// A tenant that has not been heard of for this many halflives is forgotten.
const EVICT_HALFLIVES: f64 = 12.0;

/// What a tenant may use, and what of it this door holds.
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
}

impl Quota {
    /// Units that this door's bucket gains in a millisecond.
    fn flow(&self) -> f64 {
        self.rate * self.part / 1000.0
    }
}

/// Why a tenant's request is turned away, and how long that lasts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Turned {
    /// The box is shut.
    Box(Millis),
    /// This door's bucket is empty.
    Bucket(Millis),
}

#[derive(Clone, Copy, Debug)]
struct Tenant {
    average: Cewma,
    demand: Cewma,
    tokens: f64,
    filled: Millis,
    quota: Quota,
    heard: Millis,
}

impl Tenant {
    /// Guards QUOTA: a bucket fills by what was held all the while, and holds no more than what is held now.
    fn fill(&mut self, now: Millis, quota: Quota) {
        let flow = self.quota.flow().min(quota.flow());
        self.tokens = (self.tokens + flow * (now - self.filled).max(0.0)).min(quota.depth * quota.part);
        (self.filled, self.quota) = (now, quota);
    }
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

    /// A door holds this of a tenant's quota from now on: what has filled its bucket until now did so by what it held before.
    pub fn hold(&mut self, now: Millis, who: &K, quota: Quota) {
        match self.tenants.get_mut(who) {
            Some(tenant) => tenant.fill(now, quota),
            None => {
                self.evict(now);
                let tokens = if self.full { f64::INFINITY } else { 0.0 };
                let (average, demand) = (Cewma::default(), Cewma::default());
                let mut tenant = Tenant { average, demand, tokens, filled: now, quota, heard: now };
                tenant.fill(now, quota);
                self.tenants.insert(who.clone(), tenant);
            }
        }
    }

    /// Counts an arrival of `units`, and takes them from the tenant's bucket or tells why not.
    pub fn arrived(&mut self, now: Millis, who: &K, units: f64, quota: Quota) -> Result<(), Turned> {
        self.hold(now, who, quota);
        let Some(tenant) = self.tenants.get_mut(who) else { return Ok(()) };
        let lambda = std::f64::consts::LN_2 / halflife(quota);
        // Every arrival feeds the average, refused ones too.
        tenant.average.feed(now, units, lambda);
        tenant.demand.feed(now, units, std::f64::consts::LN_2 / DEMAND_HALFLIFE);
        tenant.heard = now;
        if quota.rate <= 0.0 {
            return Ok(());
        }
        let limit = BOX_FACTOR * quota.rate + 1000.0 * lambda * quota.burst;
        let rate = tenant.average.rate(now, lambda);
        if rate > limit {
            return Err(Turned::Box((rate / limit).ln() / lambda));
        }
        if tenant.tokens < units {
            return Err(Turned::Bucket((units - tenant.tokens) / quota.flow().max(1e-9)));
        }
        tenant.tokens -= units;
        Ok(())
    }

    /// Gives back what was taken for a request that was never sent on.
    pub fn give_back(&mut self, who: &K, units: f64) {
        if let Some(tenant) = self.tenants.get_mut(who) {
            // What is more than the bucket holds is taken off again at the next arrival.
            tenant.tokens += units;
        }
    }

    /// What each tenant has asked of late, in units a second; those that ask next to nothing are left out.
    pub fn demand(&self, now: Millis) -> impl Iterator<Item = (&K, f64)> {
        let lambda = std::f64::consts::LN_2 / DEMAND_HALFLIFE;
        let rate = move |tenant: &Tenant| tenant.demand.rate(now, lambda);
        self.tenants.iter().map(move |(who, tenant)| (who, rate(tenant))).filter(|(_, rate)| *rate > 0.02)
    }

    /// Forgets tenants whose average has decayed. They come back with an empty bucket, which fills again from then on.
    fn evict(&mut self, now: Millis) {
        if now < self.evict {
            return;
        }
        let age = EVICT_HALFLIVES * 5000.0;
        self.evict = now + age / 4.0;
        let before = self.tenants.len();
        self.tenants.retain(|_, tenant| now - tenant.heard < age);
        self.full &= self.tenants.len() == before;
    }
}

/// Halflife of a quota's recent average.
fn halflife(quota: Quota) -> Millis {
    if quota.rate > 0.0 {
        (HALFLIFE_BURSTS * 1000.0 * quota.burst / quota.rate).max(HALFLIFE_LEAST)
    } else {
        HALFLIFE_LEAST
    }
}
