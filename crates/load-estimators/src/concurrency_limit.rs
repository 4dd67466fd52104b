//! A limit on concurrent attempts that is divided among gateways.

use crate::Millis;

/// Maximum share that counts: larger shares count as this one, so that the credit stays finite.
const MAX_SHARE: f64 = 1e6;

/// One gateway's share of a limit on concurrent attempts.
///
/// A share may be fractional: its fractional part allows one more attempt for that fraction of the
/// time. A share below one allows as many attempts as the total: dividing one attempt among
/// gateways is up to the caller.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConcurrencyLimit {
    /// Number of attempts in flight.
    pub in_flight: u32,
    /// Time for which one more attempt could have been in flight, as of `updated_at`; negative if
    /// the share was exceeded.
    credit: Millis,
    updated_at: Millis,
}

impl ConcurrencyLimit {
    /// A limit without attempts in flight.
    pub fn new(now: Millis) -> Self {
        ConcurrencyLimit {
            in_flight: 0,
            credit: 0.0,
            updated_at: now,
        }
    }

    /// Accounts for the time since the last call, with `share` as the limit; at most `max_credit`
    /// milliseconds are accumulated or owed.
    pub fn advance(&mut self, now: Millis, share: f64, max_credit: Millis) {
        let elapsed = (now - self.updated_at).max(0.0);
        let gained = (share.min(MAX_SHARE) - f64::from(self.in_flight)) * elapsed;
        self.credit = (self.credit + gained).clamp(-max_credit, max_credit);
        self.updated_at = now;
    }

    /// Whether one more attempt may start. A share below one is bounded by the `total` of all
    /// shares.
    pub fn has_capacity(
        &mut self,
        now: Millis,
        share: f64,
        total: f64,
        max_credit: Millis,
    ) -> bool {
        self.advance(now, share, max_credit);
        let next = f64::from(self.in_flight + 1);
        let limit = if share < 1.0 { total } else { share };
        next <= limit.ceil() && (next <= limit.floor() || self.credit > 0.0)
    }
}
