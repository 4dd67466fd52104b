//! A limit on concurrent attempts that is divided among gateways.

use crate::Millis;

/// Share that is treated as unlimited, so that the saved time stays finite.
const MAX_SHARE: f64 = 1e6;

/// One gateway's share of a limit on what may be in flight at once.
///
/// A share need not be a whole number: the fraction beyond the whole ones is available for that
/// fraction of the time. A share below one allows as many as the total: to split one attempt among
/// gateways is up to the caller.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConcurrencyLimit {
    /// How many are in flight.
    pub in_flight: u32,
    /// Time for which one more could have been in flight, as of `updated_at`; negative if overused.
    saved: Millis,
    updated_at: Millis,
}

impl ConcurrencyLimit {
    /// A limit with nothing in flight.
    pub fn new(now: Millis) -> Self {
        ConcurrencyLimit {
            in_flight: 0,
            saved: 0.0,
            updated_at: now,
        }
    }

    /// Accounts for the time since the last call, with `share` as the limit; at most `max_saved`
    /// milliseconds are saved up or owed.
    pub fn advance(&mut self, now: Millis, share: f64, max_saved: Millis) {
        let elapsed = (now - self.updated_at).max(0.0);
        let gained = (share.min(MAX_SHARE) - f64::from(self.in_flight)) * elapsed;
        self.saved = (self.saved + gained).clamp(-max_saved, max_saved);
        self.updated_at = now;
    }

    /// Whether one more may be started. A share below one is bounded by the `total` of all shares.
    pub fn has_capacity(&mut self, now: Millis, share: f64, total: f64, max_saved: Millis) -> bool {
        self.advance(now, share, max_saved);
        let next = f64::from(self.in_flight + 1);
        let limit = if share < 1.0 { total } else { share };
        next <= limit.ceil() && (next <= limit.floor() || self.saved > 0.0)
    }
}
