//! Rule 6: if callers are authenticated, nothing is forwarded for a caller with an invalid
//! credential: nothing before its own check has passed, and after a revocation only while a cached
//! decision can last. A valid caller is never denied.

use crate::rule_result::{RuleResult, ORDERING_TOLERANCE};
use crate::trace_index::TraceIndex;
use maplefall_event_trace::{EventKind, Millis};
use std::collections::BTreeMap;

/// Returns the customers whose credential became invalid, each with the time and the trace line of
/// that event.
pub fn denied_customers(index: &TraceIndex<'_>) -> BTreeMap<u64, (Millis, usize)> {
    let mut denied = BTreeMap::new();
    for (position, event) in index.trace.events.iter().enumerate() {
        if let EventKind::Credential {
            customer,
            passes: false,
        } = event.kind
        {
            denied.entry(customer).or_insert((event.at, position + 2));
        }
    }
    denied
}

/// Checks the rule.
pub fn check(index: &TraceIndex<'_>) -> RuleResult {
    let tested_by = "requests of callers with an invalid credential";
    let mut result = RuleResult::new(
        6,
        "callers checked",
        tested_by,
        "ms of a revoked credential's grace left",
    );
    let denied = denied_customers(index);
    if !index
        .trace
        .events
        .iter()
        .any(|event| matches!(event.kind, EventKind::Credential { .. }))
    {
        return result.finish();
    }
    let rules = index.trace.header.rules;
    // Time of each customer's first request: a decision can be cached only for a customer that sent
    // a request before the revocation.
    let mut first_request_at: BTreeMap<u64, Millis> = BTreeMap::new();
    for request in &index.requests {
        let first = first_request_at
            .entry(request.customer)
            .or_insert(request.sent_at);
        *first = first.min(request.sent_at);
        let from = denied.get(&request.customer);
        let is_denied = from.is_some_and(|(from, _)| *from <= request.sent_at);
        result.tested += u64::from(is_denied);
        match (request.response, from) {
            (Some(response), None) if matches!(response.status, 401 | 403) => {
                let description = format!(
                    "customer {:x} has a valid credential and was denied with {}",
                    request.customer, response.status
                );
                result.record_violation(
                    response.at,
                    request.id,
                    &[request.line, response.line],
                    description,
                );
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
        // No decision is cached for a customer that sent no request before the revocation.
        let may_be_cached = first_request_at
            .get(&request.customer)
            .is_some_and(|first| first < from);
        let grace = if may_be_cached {
            rules.revocation_grace_ms
        } else {
            0.0
        };
        let remaining =
            from + grace + rules.socket_slack_ms + ORDERING_TOLERANCE - attempt.first_byte_at;
        if grace > 0.0 {
            result.record_margin(attempt.first_byte_at, remaining);
        }
        if remaining < 0.0 || grace == 0.0 {
            let description = format!(
                "customer {:x} has an invalid credential since {from:.1} ms, and its request was forwarded to node {} at {:.1} ms",
                request.customer, attempt.node, attempt.first_byte_at
            );
            result.record_violation(
                attempt.first_byte_at,
                request.id,
                &[*line, request.line, attempt.line],
                description,
            );
        }
    }
    result.finish()
}
