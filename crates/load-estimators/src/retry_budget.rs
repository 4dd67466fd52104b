//! A gateway's share of its fleet's retry budget, used without coordination with the others.

use crate::Millis;

/// Number of time slots in which the events of a window are counted.
const SLOTS: usize = 10;

/// How many retries a gateway earns and accumulates.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetryLimits {
    /// Retries earned with each request.
    pub share: f64,
    /// Maximum number of retries that accumulate without expiring: this gateway's share of the
    /// retries that the fleet may use without any request.
    pub depth: f64,
    /// The window over which the fleet's retries are counted, in milliseconds; 0 if retries
    /// accumulate up to `depth` alone.
    pub window: Millis,
}

impl RetryLimits {
    /// Retries earned with each request: those that may be used at any time, and those that expire
    /// with the window.
    ///
    /// Only whole retries can be used. A gateway with a `depth` of less than one would never retry,
    /// so it also accumulates what it has earned recently, and earns half as much in return. Summed
    /// over a fleet, the retries that are used in one window were earned in it or in the window
    /// before, which is `share / 2` of the requests of each, or have accumulated within `depth`: at
    /// most `share` of the requests of the window with more requests, plus the sum of the depths.
    fn rates(&self) -> (f64, f64) {
        if self.depth >= 1.0 || self.window <= 0.0 {
            (self.share, 0.0)
        } else {
            (self.share / 2.0, self.share / 2.0)
        }
    }
}

/// A gateway's retry budget: the retries that it has earned with requests and not used yet.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    available: f64,
    /// Limits as of the last request.
    limits: RetryLimits,
    recent: RecentCount,
}

impl RetryBudget {
    /// A budget with `available` retries.
    pub fn new(available: f64) -> RetryBudget {
        RetryBudget {
            available,
            ..RetryBudget::default()
        }
    }

    /// Records a forwarded request; `limits` apply until the next one.
    pub fn earn(&mut self, now: Millis, limits: RetryLimits) {
        self.limits = limits;
        self.recent.add(now, limits.window);
        let (earned, _) = limits.rates();
        self.available = (self.available + earned).min(self.max_available(now));
    }

    /// Whether a whole retry is available.
    pub fn has_retry(&self, now: Millis) -> bool {
        self.available.min(self.max_available(now)) >= 1.0
    }

    /// Records a retry.
    pub fn spend(&mut self, now: Millis) {
        self.available = self.available.min(self.max_available(now)) - 1.0;
    }

    fn max_available(&self, now: Millis) -> f64 {
        let (_, expiring) = self.limits.rates();
        self.limits.depth + expiring * self.recent.count(now, self.limits.window)
    }
}

/// Counts the events of the last window. Older events are never counted; events of up to one slot
/// at the start of the window may be missing.
#[derive(Clone, Debug, Default)]
struct RecentCount {
    /// Events by slot; the slot with number `n` is at index `n % SLOTS`.
    slots: [f64; SLOTS],
    /// Number of the newest slot: slots since the start of the clock.
    newest: i64,
}

impl RecentCount {
    fn add(&mut self, now: Millis, window: Millis) {
        if window <= 0.0 {
            return;
        }
        let number = slot_number(now, window).max(self.newest);
        for skipped in (self.newest + 1..=number).rev().take(SLOTS) {
            self.slots[index(skipped)] = 0.0;
        }
        self.newest = number;
        self.slots[index(number)] += 1.0;
    }

    fn count(&self, now: Millis, window: Millis) -> f64 {
        if window <= 0.0 {
            return 0.0;
        }
        // The oldest slot that overlaps the window began before the window, and is not counted.
        let oldest = slot_number(now, window) - SLOTS as i64 + 1;
        let oldest_kept = self.newest - SLOTS as i64 + 1;
        (oldest.max(oldest_kept)..=self.newest)
            .map(|number| self.slots[index(number)])
            .sum()
    }
}

fn slot_number(now: Millis, window: Millis) -> i64 {
    (now * SLOTS as f64 / window).floor() as i64
}

fn index(number: i64) -> usize {
    number.rem_euclid(SLOTS as i64) as usize
}
