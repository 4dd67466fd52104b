//! A token bucket per customer for rules 5 and 7: what all proxies together forward for a customer must fit into its bucket.
//! The first complete attempt of a request takes its units.

use crate::rule_result::RuleResult;
use crate::trace_index::TraceIndex;
use maplefall_event_trace::Plan;
use std::collections::BTreeMap;

/// Fraction of the bucket that must have been used to count as a test.
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

/// Checks all customers whose plan has such a bucket; `name` is its name in violations.
pub(crate) fn check(
    index: &TraceIndex<'_>,
    mut result: RuleResult,
    name: &str,
    gives: impl Fn(&Plan) -> Option<BucketLimits>,
) -> RuleResult {
    let mut stores: BTreeMap<u64, TokenBucket> = BTreeMap::new();
    for attempt in index.attempts.iter().filter(|attempt| attempt.complete) {
        let first = index
            .attempts_of(attempt.id)
            .next()
            .is_some_and(|first| first.number == attempt.number);
        let Some(request) = index.request(attempt.id).filter(|_| first) else {
            continue;
        };
        let Some(gives) = index.plan(request).and_then(&gives) else {
            continue;
        };
        let fresh = || TokenBucket {
            level: gives.burst,
            updated_at: attempt.received_at,
            tested: false,
        };
        let store = stores.entry(request.customer).or_insert_with(fresh);
        let gained = gives.rate * (attempt.received_at - store.updated_at) / 1000.0;
        store.level = (store.level + gained).min(gives.burst) - request.units;
        store.updated_at = attempt.received_at;
        if store.level < (1.0 - EXERCISED_FRACTION) * gives.burst && !store.tested {
            store.tested = true;
            result.tested += 1;
        }
        result.record_margin(attempt.received_at, store.level + gives.allowed_overdraft);
        if store.level < -gives.allowed_overdraft {
            let text = format!(
                "customer {:x}: the {name}'s store fell to {:.1} units; {:.1} below nought are allowed",
                request.customer, store.level, gives.allowed_overdraft
            );
            result.record_violation(
                attempt.received_at,
                request.id,
                &[request.line, attempt.line],
                text,
            );
        }
    }
    result.finish()
}
