//! Rule 5: where a plan has a hard rate limit, all proxies together never forward more for one customer than its token bucket
//! allows.

use crate::rule_result::RuleResult;
use crate::token_buckets::{self, BucketLimits};
use crate::trace_index::TraceIndex;

/// Maximum time on the sockets by which requests forwarded at a constant rate may bunch up (protocol page: 150 ms).
const MAX_SOCKET_DELAY_MS: f64 = 150.0;

/// Checks the rule.
pub fn check(index: &TraceIndex<'_>) -> RuleResult {
    let tested_by = "customers that used more than half of their ceiling's store";
    let result = RuleResult::new(
        5,
        "hard ceilings",
        tested_by,
        "units left to the slack's end",
    );
    token_buckets::check(index, result, "ceiling", |plan| {
        let ceiling = plan.rate_limit?;
        let slack = ceiling.slack + ceiling.rate * MAX_SOCKET_DELAY_MS / 1000.0;
        Some(BucketLimits {
            rate: ceiling.rate,
            burst: ceiling.burst,
            allowed_overdraft: slack,
        })
    })
}
