//! The balance of a quota that several gateways draw on, by what they report to one another.

use crate::{clamp_or, EvictingMap, Millis};

/// What other gateways have drawn.
#[derive(Clone, Copy, Debug)]
pub struct UsageReport {
    /// Units that were not reported before; negative where more was returned than drawn.
    pub units: f64,
    /// Everything drawn until then is reported, except for `error`.
    pub as_of: Millis,
    /// Units at most that were drawn and are not reported.
    pub error: f64,
    /// Fraction of the gateways that the report covers, this one included.
    pub coverage: f64,
}

/// Units that a quota holds at least and at most.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BalanceBounds {
    /// It holds at least so much.
    pub min: f64,
    /// It holds at most so much.
    pub max: f64,
}

/// The balance of one shared quota, as one gateway knows it.
#[derive(Clone, Copy, Debug)]
pub struct SharedBalance {
    /// Units by all use that is known, as of `updated_at`; there may be less, never more.
    balance: f64,
    updated_at: Millis,
    /// Figures of the last report.
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

    /// Refills it up to `burst` with the reporting gateways' fraction of `rate` units a second.
    pub fn refill(&mut self, now: Millis, rate: f64, burst: f64) {
        let elapsed = (now - self.updated_at).max(0.0);
        let gained = rate * self.coverage * elapsed / 1000.0;
        self.balance = (self.balance + gained).min(burst);
        self.updated_at = now;
    }

    /// Takes in a report. Each gateway that it doesn't cover may use its own fraction of the rate.
    pub fn record(&mut self, now: Millis, burst: f64, report: UsageReport) {
        let units = clamp_or(report.units, -burst, 2.0 * burst, 0.0);
        self.balance = (self.balance - units).clamp(-burst, burst);
        self.coverage = clamp_or(report.coverage, 0.0, 1.0, 0.0);
        self.as_of = clamp_or(report.as_of, 0.0, now, 0.0);
        self.error = clamp_or(report.error, 0.0, f64::MAX, f64::MAX);
    }

    /// Takes `units` out of it, or returns them where negative.
    pub fn draw(&mut self, units: f64) {
        self.balance -= units;
    }

    /// The bounds of the balance; `None` where the last report is older than `max_age`.
    pub fn bounds(&self, now: Millis, max_age: Millis) -> Option<BalanceBounds> {
        (now - self.as_of <= max_age).then_some(BalanceBounds {
            min: self.balance - self.error,
            max: self.balance,
        })
    }
}

/// Shared balances by owner; empty where gateways report nothing to one another.
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
    /// Takes in a report on a quota of `rate` units a second and `burst` units at once.
    pub fn record(&mut self, now: Millis, key: Key, rate: f64, burst: f64, report: UsageReport) {
        let full = SharedBalance::full(now, burst);
        let balance = self.balances.entry(key).or_insert(full);
        balance.refill(now, rate, burst);
        balance.record(now, burst, report);
    }

    /// Takes `units` out of a balance, if there is one, or returns them where negative.
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

    /// How many balances there are.
    pub fn len(&self) -> usize {
        self.balances.len()
    }

    /// Whether there is no balance.
    pub fn is_empty(&self) -> bool {
        self.balances.is_empty()
    }
}
