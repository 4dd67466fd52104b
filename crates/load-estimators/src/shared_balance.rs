//! The balance of a quota shared by several gateways, from the usage that they report to one
//! another.

use crate::{clamp_or, EvictingMap, Millis};

/// Usage of a quota by other gateways.
#[derive(Clone, Copy, Debug)]
pub struct UsageReport {
    /// Units drawn and not reported before; negative if more were returned than drawn.
    pub units: f64,
    /// Time up to which all drawn units are reported, except for at most `error` units.
    pub as_of: Millis,
    /// Maximum number of units that were drawn and are not reported.
    pub error: f64,
    /// Fraction of the gateways that the report covers, this one included.
    pub coverage: f64,
}

/// Lower and upper bound of the units that a quota holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BalanceBounds {
    /// Lower bound of the units that the quota holds.
    pub min: f64,
    /// Upper bound of the units that the quota holds.
    pub max: f64,
}

/// The balance of one shared quota, as one gateway knows it.
#[derive(Clone, Copy, Debug)]
pub struct SharedBalance {
    /// Units left after all known usage, as of `updated_at`; the quota may hold less, never more.
    balance: f64,
    updated_at: Millis,
    /// Time, error and coverage of the last report on usage.
    as_of: Millis,
    error: f64,
    coverage: f64,
}

impl SharedBalance {
    /// A full balance of `burst` units.
    pub fn full(now: Millis, burst: f64) -> Self {
        SharedBalance {
            balance: burst,
            updated_at: now,
            as_of: now,
            error: 0.0,
            coverage: 1.0,
        }
    }

    /// Refills the balance up to `burst`, with the reporting gateways' fraction of `rate` units a
    /// second.
    pub fn refill(&mut self, now: Millis, rate: f64, burst: f64) {
        let elapsed = (now - self.updated_at).max(0.0);
        let gained = rate * self.coverage * elapsed / 1000.0;
        self.balance = (self.balance + gained).min(burst);
        self.updated_at = now;
    }

    /// Applies a report. Each gateway that it does not cover may use its own fraction of the rate.
    pub fn record(&mut self, now: Millis, burst: f64, report: UsageReport) {
        let units = clamp_or(report.units, -burst, 2.0 * burst, 0.0);
        self.balance = (self.balance - units).clamp(-burst, burst);
        self.coverage = clamp_or(report.coverage, 0.0, 1.0, 0.0);
        self.as_of = clamp_or(report.as_of, 0.0, now, 0.0);
        self.error = clamp_or(report.error, 0.0, f64::MAX, f64::MAX);
    }

    /// Takes `units` out of the balance, or returns them if negative.
    pub fn draw(&mut self, units: f64) {
        self.balance -= units;
    }

    /// The bounds of the balance; `None` if the last report is older than `max_age`.
    pub fn bounds(&self, now: Millis, max_age: Millis) -> Option<BalanceBounds> {
        (now - self.as_of <= max_age).then_some(BalanceBounds {
            min: self.balance - self.error,
            max: self.balance,
        })
    }
}

/// Shared balances by owner; empty if gateways report nothing to one another.
#[derive(Clone, Debug)]
pub struct SharedBalances<Key> {
    balances: EvictingMap<Key, SharedBalance>,
}

impl<Key> Default for SharedBalances<Key> {
    fn default() -> Self {
        SharedBalances {
            balances: EvictingMap::default(),
        }
    }
}

impl<Key: Ord> SharedBalances<Key> {
    /// Applies a report on a quota of `rate` units a second and a burst of `burst` units.
    pub fn record(&mut self, now: Millis, key: Key, rate: f64, burst: f64, report: UsageReport) {
        let full = SharedBalance::full(now, burst);
        let balance = self.balances.entry(key).or_insert(full);
        balance.refill(now, rate, burst);
        balance.record(now, burst, report);
    }

    /// Takes `units` out of a balance, if there is one, or returns them if negative.
    pub fn draw(&mut self, key: Key, units: f64) {
        if let Some(balance) = self.balances.get_mut(&key) {
            balance.draw(units);
        }
    }

    /// The bounds of a balance after its refill; `None` without a report of at most `max_age`.
    pub fn bounds(
        &mut self,
        now: Millis,
        key: Key,
        rate: f64,
        burst: f64,
        max_age: Millis,
    ) -> Option<BalanceBounds> {
        let balance = self.balances.get_mut(&key)?;
        balance.refill(now, rate, burst);
        balance.bounds(now, max_age)
    }

    /// Evicts, once in `interval`, balances that were neither refilled nor reported on for
    /// `max_idle`.
    pub fn evict(&mut self, now: Millis, interval: Millis, max_idle: Millis) {
        self.balances
            .sweep(now, interval, |balance| now - balance.updated_at < max_idle);
    }

    /// The number of balances.
    pub fn len(&self) -> usize {
        self.balances.len()
    }

    /// Whether there is no balance.
    pub fn is_empty(&self) -> bool {
        self.balances.is_empty()
    }
}
