//! Rule 7: if proxies share counts, all of them together admit no more for a customer than its
//! quota plus the stated error: one more burst, and the quota of the time for which updates between
//! proxies may be missing.

use crate::rule_result::RuleResult;
use crate::token_buckets::{self, BucketLimits};
use crate::trace_index::TraceIndex;

/// Checks the rule.
pub fn check(index: &TraceIndex<'_>) -> RuleResult {
    let tested_by = "customers that used more than half of their quota's bucket";
    let result = RuleResult::new(
        7,
        "shared quotas",
        tested_by,
        "units of the stated error left",
    );
    let sharing_delay_ms = index.trace.header.rules.sharing_delay_ms;
    if sharing_delay_ms <= 0.0 {
        return result.finish();
    }
    token_buckets::check(index, result, "quota", |plan| {
        let slack = plan.burst + plan.rate * sharing_delay_ms / 1000.0;
        Some(BucketLimits {
            rate: plan.rate,
            burst: plan.burst,
            allowed_overdraft: slack,
        })
    })
}
