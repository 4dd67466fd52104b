//! One token bucket per customer for rules 5 and 7: all proxies together forward no more for a
//! customer than its bucket allows. Only the first complete attempt of a request takes units.

use crate::rule_result::RuleResult;
use crate::trace_index::TraceIndex;
use maplefall_event_trace::Plan;
use std::collections::BTreeMap;

/// Fraction of the bucket that a customer must have used to count as a test.
const EXERCISED_FRACTION: f64 = 0.5;

/// Parameters of a customer's token bucket.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BucketLimits {
    /// Refill rate, in units per second.
    pub rate: f64,
    /// Capacity, in units; the bucket starts full.
    pub burst: f64,
    /// Units by which the bucket may be overdrawn.
    pub allowed_overdraft: f64,
}

struct TokenBucket {
    level: f64,
    updated_at: f64,
    tested: bool,
}

/// Checks all customers for whose plan `limits_of` returns limits; `name` is the bucket's name in
/// violations.
pub(crate) fn check(
    index: &TraceIndex<'_>,
    mut result: RuleResult,
    name: &str,
    limits_of: impl Fn(&Plan) -> Option<BucketLimits>,
) -> RuleResult {
    let mut buckets: BTreeMap<u64, TokenBucket> = BTreeMap::new();
    for attempt in index.attempts.iter().filter(|attempt| attempt.complete) {
        let first = index
            .attempts_of(attempt.id)
            .next()
            .is_some_and(|first| first.number == attempt.number);
        let Some(request) = index.request(attempt.id).filter(|_| first) else {
            continue;
        };
        let Some(limits) = index.plan(request).and_then(&limits_of) else {
            continue;
        };
        let full_bucket = || TokenBucket {
            level: limits.burst,
            updated_at: attempt.received_at,
            tested: false,
        };
        let bucket = buckets.entry(request.customer).or_insert_with(full_bucket);
        let refill = limits.rate * (attempt.received_at - bucket.updated_at) / 1000.0;
        bucket.level = (bucket.level + refill).min(limits.burst) - request.units;
        bucket.updated_at = attempt.received_at;
        if bucket.level < (1.0 - EXERCISED_FRACTION) * limits.burst && !bucket.tested {
            bucket.tested = true;
            result.tested += 1;
        }
        result.record_margin(attempt.received_at, bucket.level + limits.allowed_overdraft);
        if bucket.level < -limits.allowed_overdraft {
            let description = format!(
                "customer {:x}: the {name}'s token bucket fell to {:.1} units; {:.1} below zero are allowed",
                request.customer, bucket.level, limits.allowed_overdraft
            );
            result.record_violation(
                attempt.received_at,
                request.id,
                &[request.line, attempt.line],
                description,
            );
        }
    }
    result.finish()
}
