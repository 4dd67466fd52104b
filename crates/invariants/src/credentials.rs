//! Rule 6: where callers are authenticated, nothing is forwarded for a caller whose credential is invalid: not before its own
//! check has passed, and after a revocation only while a cached decision may last. A valid caller is never denied.

use crate::rule_result::{RuleResult, ORDERING_TOLERANCE};
use crate::trace_index::TraceIndex;
use maplefall_event_trace::{EventKind, Millis};
use std::collections::BTreeMap;

/// The customers whose credential became invalid: since when, and the trace line of the event.
pub fn denied_customers(index: &TraceIndex<'_>) -> BTreeMap<u64, (Millis, usize)> {
    let mut denied = BTreeMap::new();
    for (at, line) in index.trace.events.iter().enumerate() {
        if let EventKind::Credential {
            customer,
            passes: false,
        } = line.kind
        {
            denied.entry(customer).or_insert((line.at, at + 2));
        }
    }
    denied
}

/// Checks the rule.
pub fn check(index: &TraceIndex<'_>) -> RuleResult {
    let tested_by = "tries of callers that do not pass";
    let mut result = RuleResult::new(
        6,
        "callers checked",
        tested_by,
        "ms of a revoked credential's time left",
    );
    let denied = denied_customers(index);
    if !index
        .trace
        .events
        .iter()
        .any(|line| matches!(line.kind, EventKind::Credential { .. }))
    {
        return result.finish();
    }
    let rules = index.trace.header.rules;
    // First request of each customer: a decision may be cached only for one that asked before the revocation.
    let mut first_asked: BTreeMap<u64, Millis> = BTreeMap::new();
    for request in &index.requests {
        let first = first_asked
            .entry(request.customer)
            .or_insert(request.sent_at);
        *first = first.min(request.sent_at);
        let from = denied.get(&request.customer);
        let may_not = from.is_some_and(|(from, _)| *from <= request.sent_at);
        result.tested += u64::from(may_not);
        match (request.response, from) {
            (Some(answer), None) if matches!(answer.status, 401 | 403) => {
                let text = format!(
                    "customer {:x} passes and was denied with {}",
                    request.customer, answer.status
                );
                result.record_violation(answer.at, request.id, &[request.line, answer.line], text);
            }
            _ => {}
        }
    }
    for attempt in index.attempts.iter().filter(|attempt| attempt.complete) {
        let Some(request) = index.request(attempt.id) else {
            continue;
        };
        let Some((from, line)) = denied.get(&request.customer) else {
            continue;
        };
        if index
            .class(request)
            .is_some_and(|class| class.auth_optional)
            || attempt.first_byte_at < *from
        {
            continue;
        }
        // No decision is cached for a customer that never passed.
        let known = first_asked
            .get(&request.customer)
            .is_some_and(|first| first < from);
        let kept = if known {
            rules.revocation_grace_ms
        } else {
            0.0
        };
        let left = from + kept + rules.socket_slack_ms + ORDERING_TOLERANCE - attempt.first_byte_at;
        if kept > 0.0 {
            result.record_margin(attempt.first_byte_at, left);
        }
        if left < 0.0 || kept == 0.0 {
            let text = format!(
                "customer {:x} does not pass since {from:.1} ms, and was sent on to node {} at {:.1} ms",
                request.customer, attempt.node, attempt.first_byte_at
            );
            result.record_violation(
                attempt.first_byte_at,
                request.id,
                &[*line, request.line, attempt.line],
                text,
            );
        }
    }
    result.finish()
}
