//! Rule 7: where front doors share counts, all together let in no more for one customer than its quota and the stated error: one
//! more burst, and the quota of the time in which news may be missing.

use crate::rule_result::RuleResult;
use crate::token_buckets::{self, BucketLimits};
use crate::trace_index::TraceIndex;

/// Judges it.
pub fn check(view: &TraceIndex<'_>) -> RuleResult {
    let tested_by = "customers that used more than half of their quota's store";
    let ruling = RuleResult::new(
        7,
        "shared quotas",
        tested_by,
        "units left to the stated error's end",
    );
    let shared_ms = view.trace.header.rules.sharing_delay_ms;
    if shared_ms <= 0.0 {
        return ruling.finish();
    }
    token_buckets::check(view, ruling, "quota", |plan| {
        let slack = plan.burst + plan.rate * shared_ms / 1000.0;
        Some(BucketLimits {
            rate: plan.rate,
            burst: plan.burst,
            allowed_overdraft: slack,
        })
    })
}
