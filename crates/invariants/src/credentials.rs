//! Rule 6: where callers are checked, nothing is sent on for one that does not pass: not before its verdict, not by another's,
//! and once its credential is revoked no longer than a verdict is kept. Who passes is not denied.

use crate::rule_result::{RuleResult, ORDERING_TOLERANCE};
use crate::trace_index::TraceIndex;
use maplefall_event_trace::{EventKind, Millis};
use std::collections::BTreeMap;

/// From when on each customer does not pass, and the line that says so.
pub fn denied_customers(view: &TraceIndex<'_>) -> BTreeMap<u64, (Millis, usize)> {
    let mut denied = BTreeMap::new();
    for (at, line) in view.trace.events.iter().enumerate() {
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

/// Judges it.
pub fn check(view: &TraceIndex<'_>) -> RuleResult {
    let tested_by = "tries of callers that do not pass";
    let mut ruling = RuleResult::new(
        6,
        "callers checked",
        tested_by,
        "ms of a revoked credential's time left",
    );
    let denied = denied_customers(view);
    if !view
        .trace
        .events
        .iter()
        .any(|line| matches!(line.kind, EventKind::Credential { .. }))
    {
        return ruling.finish();
    }
    let rules = view.trace.header.rules;
    // When each first asked: of one that asked before its credential was revoked a verdict may be kept.
    let mut first_asked: BTreeMap<u64, Millis> = BTreeMap::new();
    for one in &view.requests {
        let first = first_asked.entry(one.customer).or_insert(one.sent_at);
        *first = first.min(one.sent_at);
        let from = denied.get(&one.customer);
        let may_not = from.is_some_and(|(from, _)| *from <= one.sent_at);
        ruling.tested += u64::from(may_not);
        match (one.response, from) {
            (Some(answer), None) if matches!(answer.status, 401 | 403) => {
                let text = format!(
                    "customer {:x} passes and was denied with {}",
                    one.customer, answer.status
                );
                ruling.record_violation(answer.at, one.id, &[one.line, answer.line], text);
            }
            _ => {}
        }
    }
    for attempt in view.attempts.iter().filter(|attempt| attempt.complete) {
        let Some(one) = view.request(attempt.id) else {
            continue;
        };
        let Some((from, line)) = denied.get(&one.customer) else {
            continue;
        };
        if view.class(one).is_some_and(|class| class.auth_optional) || attempt.first_byte_at < *from
        {
            continue;
        }
        // Nothing is kept of one that never passed.
        let known = first_asked
            .get(&one.customer)
            .is_some_and(|first| first < from);
        let kept = if known {
            rules.revocation_grace_ms
        } else {
            0.0
        };
        let left = from + kept + rules.socket_slack_ms + ORDERING_TOLERANCE - attempt.first_byte_at;
        if kept > 0.0 {
            ruling.record_margin(attempt.first_byte_at, left);
        }
        if left < 0.0 || kept == 0.0 {
            let text = format!(
                "customer {:x} does not pass since {from:.1} ms, and was sent on to node {} at {:.1} ms",
                one.customer, attempt.node, attempt.first_byte_at
            );
            ruling.record_violation(
                attempt.first_byte_at,
                one.id,
                &[*line, one.line, attempt.line],
                text,
            );
        }
    }
    ruling.finish()
}
