//! A store of units for each customer, as rules 5 and 7 have it: what all front doors together send on for one customer may not
//! pass what its store gives. The first attempt of a request takes its units when it has come whole to a node.

use crate::rule_result::RuleResult;
use crate::trace_index::TraceIndex;
use maplefall_event_trace::Plan;
use std::collections::BTreeMap;

/// Part of the store that must have been used for it to be a test.
const EXERCISED_FRACTION: f64 = 0.5;

/// What a customer's store gives.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BucketLimits {
    /// Units a second that refill it.
    pub rate: f64,
    /// Units that it holds at most, and at the start.
    pub burst: f64,
    /// Units below nought that are allowed.
    pub allowed_overdraft: f64,
}

struct TokenBucket {
    level: f64,
    updated_at: f64,
    tested: bool,
}

/// Judges all customers whose plan has such a store, called by its name in findings.
pub(crate) fn check(
    view: &TraceIndex<'_>,
    mut ruling: RuleResult,
    name: &str,
    gives: impl Fn(&Plan) -> Option<BucketLimits>,
) -> RuleResult {
    let mut stores: BTreeMap<u64, TokenBucket> = BTreeMap::new();
    for attempt in view.attempts.iter().filter(|attempt| attempt.complete) {
        let first = view
            .attempts_of(attempt.id)
            .next()
            .is_some_and(|first| first.number == attempt.number);
        let Some(one) = view.request(attempt.id).filter(|_| first) else {
            continue;
        };
        let Some(gives) = view.plan(one).and_then(&gives) else {
            continue;
        };
        let fresh = || TokenBucket {
            level: gives.burst,
            updated_at: attempt.received_at,
            tested: false,
        };
        let store = stores.entry(one.customer).or_insert_with(fresh);
        let gained = gives.rate * (attempt.received_at - store.updated_at) / 1000.0;
        store.level = (store.level + gained).min(gives.burst) - one.units;
        store.updated_at = attempt.received_at;
        if store.level < (1.0 - EXERCISED_FRACTION) * gives.burst && !store.tested {
            store.tested = true;
            ruling.tested += 1;
        }
        ruling.record_margin(attempt.received_at, store.level + gives.allowed_overdraft);
        if store.level < -gives.allowed_overdraft {
            let text = format!(
                "customer {:x}: the {name}'s store fell to {:.1} units; {:.1} below nought are allowed",
                one.customer, store.level, gives.allowed_overdraft
            );
            ruling.record_violation(attempt.received_at, one.id, &[one.line, attempt.line], text);
        }
    }
    ruling.finish()
}
