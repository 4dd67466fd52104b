//! A tenant's full quota, with the excess over it that requirement QUOTA allows all proxies
//! together: an overshoot (a fraction of the quota, within a window) and a slack (a number of
//! requests).

use crate::Millis;

/// Fraction of the allowed overshoot by which leased buckets are refilled faster and hold more than
/// the quota. The rest of the overshoot is reserved for requests that wait for tokens.
const OVERSHOOT_FRACTION: f64 = 0.8;
/// Fraction of the allowed overshoot by which pools are refilled faster than the quota. The rest of
/// the overshoot is reserved for tokens that are spent up to [`token_lifetime`] after they were
/// requested, and for clock drift.
const POOL_OVERSHOOT_FRACTION: f64 = 0.5;
/// Fraction by which a clock may run fast.
const CLOCK_DRIFT: f64 = 0.01;
/// Fraction of the allowed slack (`QuotaSlack`) that all buckets together hold on top of the burst.
const SLACK_FRACTION: f64 = 0.9;
/// Minimum number of tokens in each client's share for leases to be useful: a bucket must hold at
/// least two of the largest requests.
const MIN_TOKENS_PER_CLIENT: f64 = 2.0;

/// Maximum time for which a token may be spent after it was requested.
const MAX_TOKEN_LIFETIME: Millis = 100.0;

/// How long a token may be spent after it was requested, within the bounds `QuotaOvershoot` and
/// `QuotaWindowS`: the tokens spent in a window were taken from pools within the window or at most
/// this time before it. With an overshoot of 0.1 in a window of 5 s, the lifetime is at its maximum
/// of 100 ms.
pub fn token_lifetime(overshoot: f64, window_s: f64) -> Millis {
    let refilled = (1.0 + POOL_OVERSHOOT_FRACTION * overshoot) * (1.0 + CLOCK_DRIFT);
    let spare = (1.0 + overshoot) / refilled - 1.0;
    (1000.0 * window_s * spare).clamp(0.0, MAX_TOKEN_LIFETIME)
}

/// The quota of a tenant over all proxies together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantQuota {
    /// Refill rate of leased buckets, in tokens per second; 0 is no limit.
    pub rate: f64,
    /// Refill rate of pools, in tokens per second.
    pub pool_rate: f64,
    /// Maximum number of tokens in all buckets together.
    pub depth: f64,
}

impl TenantQuota {
    /// The quota of a tenant with this rate (requests per second) and burst, within the bounds
    /// `QuotaOvershoot` and `QuotaSlack`.
    pub fn new(rate: f64, burst: f64, overshoot: f64, slack: f64) -> TenantQuota {
        let over = 1.0 + OVERSHOOT_FRACTION * overshoot;
        TenantQuota {
            rate: over * rate,
            pool_rate: (1.0 + POOL_OVERSHOOT_FRACTION * overshoot) * rate,
            depth: over * burst + SLACK_FRACTION * slack,
        }
    }

    /// Whether the quota is too small to be divided into leases for this many clients: a share of
    /// less than a token admits no request, however low the usage is. Servers do not lease such a
    /// quota but grant single tokens of it.
    pub fn is_pooled(&self, client_count: usize) -> bool {
        self.rate > 0.0 && self.depth < MIN_TOKENS_PER_CLIENT * client_count as f64
    }
}
