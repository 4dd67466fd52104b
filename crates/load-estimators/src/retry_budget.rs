//! The part of a fleet's retry budget that one gateway may use without asking the others.

use crate::Millis;

/// The window is counted in so many slots.
const SLOTS: usize = 10;

/// How many retries a gateway earns and saves.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetryLimits {
    /// Retries earned with each request.
    pub share: f64,
    /// Retries that are saved at most, however old they are: this gateway's part of what the fleet may use without any request.
    pub depth: f64,
    /// The span over which the fleet's retries are counted, in milliseconds; 0 where retries are saved by `depth` alone.
    pub window: Millis,
}

impl RetryLimits {
    /// Retries that are earned with each request and may be used at any time, and those that are earned with it and expire with the
    /// window.
    ///
    /// A retry is whole. A gateway that may save less than one would never make any, so it saves what it has earned of late; in
    /// turn it earns half as much. Summed over a fleet, what is used in one window was earned in it or in the window before, that
    /// is `share / 2` of the requests of each, or is saved within `depth`: no more than `share` of the requests of the window that
    /// has more, and the sum of the depths.
    fn rates(&self) -> (f64, f64) {
        if self.depth >= 1.0 || self.window <= 0.0 {
            (self.share, 0.0)
        } else {
            (self.share / 2.0, self.share / 2.0)
        }
    }
}

/// A gateway's retry budget: retries that it has earned with requests and not used.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    saved: f64,
    /// As of the last request.
    limits: RetryLimits,
    recent: RecentCount,
}

impl RetryBudget {
    /// A budget that holds so many retries.
    pub fn new(saved: f64) -> RetryBudget {
        RetryBudget {
            saved,
            ..RetryBudget::default()
        }
    }

    /// A request is forwarded; the limits hold until the next one.
    pub fn earn(&mut self, now: Millis, limits: RetryLimits) {
        self.limits = limits;
        self.recent.add(now, limits.window);
        let (earned, _) = limits.rates();
        self.saved = (self.saved + earned).min(self.max_saved(now));
    }

    /// Whether there is a whole retry.
    pub fn has_retry(&self, now: Millis) -> bool {
        self.saved.min(self.max_saved(now)) >= 1.0
    }

    /// A retry is made.
    pub fn spend(&mut self, now: Millis) {
        self.saved = self.saved.min(self.max_saved(now)) - 1.0;
    }

    fn max_saved(&self, now: Millis) -> f64 {
        let (_, expiring) = self.limits.rates();
        self.limits.depth + expiring * self.recent.count(now, self.limits.window)
    }
}

/// Counts events of the last window: none that is older, and all but those of up to one slot that are younger.
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
        // The oldest of the slots that reach into the window has begun before it.
        let oldest = slot_number(now, window) - SLOTS as i64 + 1;
        let known = self.newest - SLOTS as i64 + 1;
        (oldest.max(known)..=self.newest)
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
