//! A token bucket whose rate and depth may change at any time.

use crate::Millis;

/// Tokens that are refilled at a rate up to a depth. A larger rate or depth fills nothing at once, so buckets that share a quota stay
/// within it whenever the shares move, if each of them is refilled with its new rate and depth as they change.
#[derive(Clone, Copy, Debug, Default)]
pub struct TokenBucket {
    tokens: f64,
    refilled_at: Millis,
    /// Tokens a millisecond.
    refill_rate: f64,
}

impl TokenBucket {
    /// A bucket with these tokens; it is refilled from `now` on, once it knows its rate.
    pub fn new(now: Millis, tokens: f64) -> TokenBucket {
        TokenBucket {
            tokens,
            refilled_at: now,
            refill_rate: 0.0,
        }
    }

    /// Refills the bucket up to now, by the lower of its last rate and this one (tokens a millisecond); more than `depth` is lost.
    pub fn refill(&mut self, now: Millis, refill_rate: f64, depth: f64) {
        let elapsed = (now - self.refilled_at).max(0.0);
        let refilled = self.tokens + self.refill_rate.min(refill_rate) * elapsed;
        self.tokens = refilled.min(depth);
        self.refilled_at = now;
        self.refill_rate = refill_rate;
    }

    /// Empties the bucket. What it would have been refilled with until the next refill is lost too.
    pub fn clear(&mut self) {
        self.tokens = 0.0;
        self.refill_rate = 0.0;
    }

    /// The tokens that are there; below zero if some were taken in advance.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Tokens a millisecond, as of the last refill.
    pub fn refill_rate(&self) -> f64 {
        self.refill_rate
    }

    /// How long it takes until so many tokens are there; practically for ever if the bucket is not refilled.
    pub fn wait(&self, tokens: f64) -> Millis {
        (tokens - self.tokens).max(0.0) / self.refill_rate.max(1e-9)
    }

    /// Takes tokens, also ones that are not there yet; a negative number gives some back.
    pub fn take(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }
}
