//! Customers: their true quotas, and the usage meter that proxies see.
//!
//! The buckets here count the usage of the whole fleet. No proxy sees them; they are the reference
//! for what is over a quota.

use super::Run;
use crate::balancer::TokenBucket;
use maplefall_policy as policy;

/// A customer; one-shot customers are added when they arrive.
pub(super) struct Customer {
    pub(super) plan: usize,
    /// The first proxy of the customer's set.
    pub(super) home: usize,
    /// Offset of the customer's busiest proxy in the set, and the time until which it stays the
    /// busiest.
    pub(super) busiest: usize,
    pub(super) busiest_until: f64,
    /// Number of proxies that a flood of this customer comes through; 0 for its whole set.
    pub(super) flood_spread: usize,
    /// Tokens left of the customer's quota, and those left if one proxy that sees all requests
    /// admitted them.
    pub(super) bucket: TokenBucket,
    pub(super) ideal_bucket: TokenBucket,
    pub(super) rate_limit_bucket: TokenBucket,
    /// Pending attempts.
    pub(super) in_flight: u32,
    /// A period of the meter, and the units forwarded in it and in the three periods before.
    pub(super) metered: (u64, [f64; 4]),
}

/// Creates a customer with full token buckets.
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
        flood_spread: 0,
        bucket: TokenBucket::full(burst, now),
        ideal_bucket: TokenBucket::full(burst, now),
        rate_limit_bucket: TokenBucket::full(rate_limit.map_or(0.0, |limit| limit.burst), now),
        in_flight: 0,
        metered: (0, [0.0; 4]),
    }
}

impl Customer {
    /// Counts units that were forwarded in a period.
    pub(super) fn meter(&mut self, period: u64, units: f64) {
        self.advance_to(period);
        self.metered.1[0] += units;
    }

    /// Advances the counts to a period: the first count is that period's, the next ones are those
    /// of the periods before it.
    pub(super) fn advance_to(&mut self, period: u64) {
        let (now, counts) = &mut self.metered;
        let on = (period.saturating_sub(*now) as usize).min(counts.len());
        counts.rotate_right(on);
        counts[..on].fill(0.0);
        *now = period.max(*now);
    }
}

impl Run<'_> {
    /// Whether the customer's true quota covers this many units now, and one more attempt in
    /// flight.
    pub(super) fn has_quota(&mut self, customer: usize, units: f64) -> bool {
        let account = &mut self.customers[customer];
        let plan = &self.settings.plans[account.plan];
        let fits = plan.max_in_flight == 0 || account.in_flight < plan.max_in_flight;
        account
            .bucket
            .has_tokens(self.now, plan.rate, plan.burst, units)
            && fits
    }

    /// Returns the reading of the usage meter: units of the last reported period, as a fraction of
    /// the rate.
    pub(super) fn quota_use(&mut self, customer: usize) -> Option<f64> {
        let period = self.world.meter_ms;
        if period <= 0.0 || self.now < period + self.meter_delay {
            return None;
        }
        let (now, notified) = (
            (self.now / period) as u64,
            ((self.now - self.meter_delay) / period) as u64 - 1,
        );
        let account = &mut self.customers[customer];
        account.advance_to(now);
        let used = account.metered.1.get((now - notified) as usize)?;
        Some(used / (self.settings.plans[account.plan].rate * period / 1000.0))
    }
}
