//! A tenant's whole quota, as the rule QUOTA bounds it over all proxies.

use crate::Millis;

/// Fraction of the overshoot by which tokens are refilled faster. The rest is kept for requests that run up to [`TOKEN_LIFETIME`] after
/// their token was taken.
const OVERSHOOT_FRACTION: f64 = 0.8;
/// Fraction of the slack that buckets hold.
const SLACK_FRACTION: f64 = 0.9;
/// Tokens that each client's share has to hold for leases to be of use: the design's bucket holds two of the largest requests at least.
const MIN_TOKENS_PER_CLIENT: f64 = 2.0;

/// How long a token may be spent after it was requested: with the deployments' bounds (an overshoot of 0.1 in a window of 5 s), the part of
/// the overshoot that is kept for it.
pub const TOKEN_LIFETIME: Millis = 100.0;

/// What a tenant may use over all proxies together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantQuota {
    /// Tokens a second; 0 is no limit.
    pub rate: f64,
    /// Tokens that all buckets may hold together.
    pub depth: f64,
}

impl TenantQuota {
    /// The quota of a tenant with this rate (requests a second) and burst, within the bounds `QuotaOvershoot` and `QuotaSlack`.
    pub fn new(rate: f64, burst: f64, overshoot: f64, slack: f64) -> TenantQuota {
        let over = 1.0 + OVERSHOOT_FRACTION * overshoot;
        TenantQuota {
            rate: over * rate,
            depth: over * burst + SLACK_FRACTION * slack,
        }
    }

    /// Whether the quota is too small to be cut into leases for so many clients: a share of less than a token admits no request, however
    /// little is used. Servers keep such a quota and grant single tokens of it.
    pub fn is_pooled(&self, client_count: usize) -> bool {
        self.rate > 0.0 && self.depth < MIN_TOKENS_PER_CLIENT * client_count as f64
    }
}
