//! A tenant's whole quota, as the rule QUOTA bounds it over all proxies.

use crate::Millis;

/// Fraction of the overshoot by which leased buckets are refilled faster and hold more. The rest is kept for requests that wait for tokens.
const OVERSHOOT_FRACTION: f64 = 0.8;
/// The same for pools. The rest is kept for tokens that are spent up to [`token_lifetime`] after they were taken, and for clocks.
const POOL_OVERSHOOT_FRACTION: f64 = 0.5;
/// By how much a clock may be fast.
const CLOCK_DRIFT: f64 = 0.01;
/// Fraction of the slack that buckets hold.
const SLACK_FRACTION: f64 = 0.9;
/// Tokens that each client's share has to hold for leases to be of use: the design's bucket holds two of the largest requests at least.
const MIN_TOKENS_PER_CLIENT: f64 = 2.0;

/// The longest time for which a token may be spent after it was requested.
const MAX_TOKEN_LIFETIME: Millis = 100.0;

/// How long a token may be spent after it was requested, within the bounds `QuotaOvershoot` and `QuotaWindowS`: what runs in a window was
/// taken from pools within the window and this time. With an overshoot of 0.1 in a window of 5 s it is the longest, 100 ms.
pub fn token_lifetime(overshoot: f64, window_s: f64) -> Millis {
    let refilled = (1.0 + POOL_OVERSHOOT_FRACTION * overshoot) * (1.0 + CLOCK_DRIFT);
    let spare = (1.0 + overshoot) / refilled - 1.0;
    (1000.0 * window_s * spare).clamp(0.0, MAX_TOKEN_LIFETIME)
}

/// What a tenant may use over all proxies together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantQuota {
    /// Tokens a second that leased buckets are refilled with; 0 is no limit.
    pub rate: f64,
    /// The same for pools.
    pub pool_rate: f64,
    /// Tokens that all buckets may hold together.
    pub depth: f64,
}

impl TenantQuota {
    /// The quota of a tenant with this rate (requests a second) and burst, within the bounds `QuotaOvershoot` and `QuotaSlack`.
    pub fn new(rate: f64, burst: f64, overshoot: f64, slack: f64) -> TenantQuota {
        let over = 1.0 + OVERSHOOT_FRACTION * overshoot;
        TenantQuota {
            rate: over * rate,
            pool_rate: (1.0 + POOL_OVERSHOOT_FRACTION * overshoot) * rate,
            depth: over * burst + SLACK_FRACTION * slack,
        }
    }

    /// Whether the quota is too small to be cut into leases for so many clients: a share of less than a token admits no request, however
    /// little is used. Servers keep such a quota and grant single tokens of it.
    pub fn is_pooled(&self, client_count: usize) -> bool {
        self.rate > 0.0 && self.depth < MIN_TOKENS_PER_CLIENT * client_count as f64
    }
}
