//! A token bucket whose rate and depth may change at any time.

use crate::Millis;

/// Tokens that are refilled at a rate, up to a depth. A larger rate or depth adds no tokens at
/// once, so buckets that share a quota stay within it when their shares change, provided that each
/// of them is refilled with its new rate and depth as they change.
#[derive(Clone, Copy, Debug, Default)]
pub struct TokenBucket {
    tokens: f64,
    refilled_at: Millis,
    /// Tokens per millisecond.
    refill_rate: f64,
}

impl TokenBucket {
    /// A bucket with `tokens` tokens. It is refilled from `now` on, once [`TokenBucket::refill`]
    /// has set its rate.
    pub fn new(now: Millis, tokens: f64) -> TokenBucket {
        TokenBucket {
            tokens,
            refilled_at: now,
            refill_rate: 0.0,
        }
    }

    /// Refills the bucket for the time until `now`, at the lower of its last rate and `refill_rate`
    /// (tokens per millisecond); tokens beyond `depth` are lost.
    pub fn refill(&mut self, now: Millis, refill_rate: f64, depth: f64) {
        let elapsed = (now - self.refilled_at).max(0.0);
        let refilled = self.tokens + self.refill_rate.min(refill_rate) * elapsed;
        self.tokens = refilled.min(depth);
        self.refilled_at = now;
        self.refill_rate = refill_rate;
    }

    /// Empties the bucket. The tokens that it would have gained until the next refill are lost too.
    pub fn clear(&mut self) {
        self.tokens = 0.0;
        self.refill_rate = 0.0;
    }

    /// Available tokens; negative if some were taken in advance.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Tokens per millisecond, as of the last refill.
    pub fn refill_rate(&self) -> f64 {
        self.refill_rate
    }

    /// Time until `tokens` tokens are available; practically infinite if the bucket is not
    /// refilled.
    pub fn wait(&self, tokens: f64) -> Millis {
        (tokens - self.tokens).max(0.0) / self.refill_rate.max(1e-9)
    }

    /// Takes tokens, also in advance; a negative number returns some.
    pub fn take(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }
}
