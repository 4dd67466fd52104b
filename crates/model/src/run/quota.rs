//! Customers: their true quotas, and the use meter that proxies are shown.
//!
//! The buckets here are what the whole fleet has used. No proxy sees them; they are the reference for what is over a quota.

use super::Run;
use crate::balancer::TokenBucket;
use maplefall_policy as policy;

/// A customer; one-shot customers are added when they arrive.
pub(super) struct Customer {
    pub(super) plan: usize,
    /// The first proxy of its set.
    pub(super) home: usize,
    /// Offset of its busiest proxy in the set, and the time until which it is that.
    pub(super) busiest: usize,
    pub(super) busiest_until: f64,
    /// Proxies that a flood of it comes through; 0 for its whole set.
    pub(super) through: usize,
    /// What is left of its quota, and what one proxy that sees everything would have left.
    pub(super) bucket: TokenBucket,
    pub(super) ideal_bucket: TokenBucket,
    pub(super) ceiling: TokenBucket,
    /// Pending attempts.
    pub(super) open: u32,
    /// A period of the meter, and the units forwarded in it and in the periods before.
    pub(super) metered: (u64, [f64; 4]),
}

/// A customer with full token buckets.
pub(super) fn customer(
    settings: &policy::Settings,
    plan: usize,
    home: usize,
    now: f64,
) -> Customer {
    let (burst, rate_limit) = (settings.plans[plan].burst, settings.plans[plan].rate_limit);
    Customer {
        plan,
        home,
        busiest: 0,
        busiest_until: 0.0,
        through: 0,
        bucket: TokenBucket::full(burst, now),
        ideal_bucket: TokenBucket::full(burst, now),
        ceiling: TokenBucket::full(rate_limit.map_or(0.0, |limit| limit.burst), now),
        open: 0,
        metered: (0, [0.0; 4]),
    }
}

impl Customer {
    /// Counts units that were forwarded in a period.
    pub(super) fn meter(&mut self, period: u64, units: f64) {
        self.advance_to(period);
        self.metered.1[0] += units;
    }

    /// Advances the counts to a period: the first count is that period's, the next ones are those before it.
    pub(super) fn advance_to(&mut self, period: u64) {
        let (now, counts) = &mut self.metered;
        let on = (period.saturating_sub(*now) as usize).min(counts.len());
        counts.rotate_right(on);
        counts[..on].fill(0.0);
        *now = period.max(*now);
    }
}

impl Run<'_> {
    /// Whether the customer's true quota covers this many units now, and one more open attempt.
    pub(super) fn has_quota(&mut self, customer: usize, units: f64) -> bool {
        let one = &mut self.customers[customer];
        let plan = &self.settings.plans[one.plan];
        let fits = plan.max_in_flight == 0 || one.open < plan.max_in_flight;
        one.bucket.has(self.now, plan.rate, plan.burst, units) && fits
    }

    /// The use meter: units of the last period that it has reported, as a fraction of the rate.
    pub(super) fn quota_use(&mut self, customer: usize) -> Option<f64> {
        let period = self.world.meter_ms;
        if period <= 0.0 || self.now < period + self.meter_delay {
            return None;
        }
        let (now, notified) = (
            (self.now / period) as u64,
            ((self.now - self.meter_delay) / period) as u64 - 1,
        );
        let one = &mut self.customers[customer];
        one.advance_to(now);
        let used = one.metered.1.get((now - notified) as usize)?;
        Some(used / (self.settings.plans[one.plan].rate * period / 1000.0))
    }
}
