//! Rule 5: where a plan has a hard ceiling, all front doors together never send on more for one customer than its store
//! gives.

use crate::rule_result::RuleResult;
use crate::token_buckets::{self, BucketLimits};
use crate::trace_index::TraceIndex;

/// Longest time on the sockets by which what is sent on at one rate may come closer together (protocol page: 150 ms).
const MAX_SOCKET_DELAY_MS: f64 = 150.0;

/// Judges it.
pub fn check(view: &TraceIndex<'_>) -> RuleResult {
    let tested_by = "customers that used more than half of their ceiling's store";
    let ruling = RuleResult::new(
        5,
        "hard ceilings",
        tested_by,
        "units left to the slack's end",
    );
    token_buckets::check(view, ruling, "ceiling", |plan| {
        let ceiling = plan.rate_limit?;
        let slack = ceiling.slack + ceiling.rate * MAX_SOCKET_DELAY_MS / 1000.0;
        Some(BucketLimits {
            rate: ceiling.rate,
            burst: ceiling.burst,
            allowed_overdraft: slack,
        })
    })
}
