//! The limit on datagrams per second: a token bucket with a burst of one second.

use maplefall_policy::Millis;

#[derive(Clone, Copy, Debug)]
pub(super) struct RateLimit {
    per_second: f64,
    tokens: f64,
    updated_at: Millis,
}

impl RateLimit {
    /// Creates a full bucket.
    pub(super) fn new(per_second: f64, now: Millis) -> RateLimit {
        RateLimit {
            per_second,
            tokens: per_second,
            updated_at: now,
        }
    }

    /// Takes a token; returns whether there was one.
    pub(super) fn take(&mut self, now: Millis) -> bool {
        let refill = self.per_second * (now - self.updated_at).max(0.0) / 1000.0;
        self.tokens = (self.tokens + refill).min(self.per_second);
        self.updated_at = now;
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}
