//! Rule 5: if a plan has a hard rate limit, all proxies together never forward more for a customer
//! than its token bucket allows.

use crate::rule_result::RuleResult;
use crate::token_buckets::{self, BucketLimits};
use crate::trace_index::TraceIndex;

/// Maximum delay on the sockets, by which requests forwarded at a constant rate can arrive in a
/// burst (protocol page: 150 ms).
const MAX_SOCKET_DELAY_MS: f64 = 150.0;

/// Checks the rule.
pub fn check(index: &TraceIndex<'_>) -> RuleResult {
    let tested_by = "customers that used more than half of their rate limit's bucket";
    let result = RuleResult::new(5, "hard ceilings", tested_by, "units of the slack left");
    token_buckets::check(index, result, "rate limit", |plan| {
        let limit = plan.rate_limit?;
        let slack = limit.slack + limit.rate * MAX_SOCKET_DELAY_MS / 1000.0;
        Some(BucketLimits {
            rate: limit.rate,
            burst: limit.burst,
            allowed_overdraft: slack,
        })
    })
}
