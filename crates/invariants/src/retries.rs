//! Rule 2: no effect twice. Attempts of a request never overlap; after an attempt that may have run, an unsafe request is
//! neither retried nor rejected, and a keyed one is retried only within the deduplication window; no more attempts than the
//! settings allow; and every attempt matches what a client sent.

use crate::rule_result::{RuleResult, ORDERING_TOLERANCE};
use crate::trace_index::{Attempt, ClientRequest, TraceIndex};
use maplefall_event_trace::{AttemptEnd, Class, Effect};

/// Checks the rule.
pub fn check(index: &TraceIndex<'_>) -> RuleResult {
    let tested_by = "requests whose attempt failed, or that were sent on more than once";
    let mut result = RuleResult::new(
        2,
        "repeats as the class permits",
        tested_by,
        "ms of a key's memory left",
    );
    for id in index.complete_by_id.keys() {
        let Some(request) = index.request(id) else {
            report_unknown_request(index, id, &mut result);
            continue;
        };
        let attempts: Vec<&Attempt<'_>> = index.attempts_of(id).collect();
        check_fingerprints(request, &attempts, &mut result);
        if let Some(class) = index.class(request) {
            check_request(index, id, class, &attempts, &mut result);
        }
    }
    result.finish()
}

/// A request smuggled inside another one, or invented: an effect that no client requested.
fn report_unknown_request(index: &TraceIndex<'_>, id: &str, result: &mut RuleResult) {
    for attempt in index.attempts_of(id) {
        let text = format!(
            "node {} was sent a request that no client sent",
            attempt.node
        );
        result.record_violation(attempt.received_at, id, &[attempt.line], text);
    }
}

/// Every attempt is what the client sent.
fn check_fingerprints(
    request: &ClientRequest<'_>,
    attempts: &[&Attempt<'_>],
    result: &mut RuleResult,
) {
    let changed = attempts
        .iter()
        .filter(|attempt| attempt.fingerprint != request.fingerprint);
    for attempt in changed {
        let text = format!(
            "what came to node {} is not what its client sent",
            attempt.node
        );
        let lines = [request.line, attempt.line];
        result.record_violation(attempt.received_at, attempt.id, &lines, text);
    }
}

/// Checks the complete attempts of one request, of which there is at least one.
fn check_request(
    index: &TraceIndex<'_>,
    id: &str,
    class: &Class,
    attempts: &[&Attempt<'_>],
    result: &mut RuleResult,
) {
    let rules = index.trace.header.rules;
    let failed = attempts
        .iter()
        .any(|attempt| !matches!(attempt.end, Some((_, AttemptEnd::Served, _))));
    result.tested += u64::from(failed || attempts.len() > 1);
    if attempts.len() > rules.max_attempts as usize {
        let lines: Vec<usize> = attempts.iter().map(|attempt| attempt.line).collect();
        let text = format!(
            "{} attempts; {} are allowed",
            attempts.len(),
            rules.max_attempts
        );
        result.record_violation(attempts[0].received_at, id, &lines, text);
    }
    check_overlap(id, attempts, result);
    let key_lifetime = class.dedup_window_ms + rules.socket_slack_ms;
    check_retries(class.effect, key_lifetime, id, attempts, result);
    if class.effect == Effect::Unsafe {
        check_rejections(index, id, attempts, result);
    }
    if class.effect != Effect::Safe {
        check_effects(id, attempts, result);
    }
}

/// An attempt starts only after the previous one has ended.
fn check_overlap(id: &str, attempts: &[&Attempt<'_>], result: &mut RuleResult) {
    for (before, attempt) in attempts.iter().zip(&attempts[1..]) {
        let out_until = before.end.map_or(f64::INFINITY, |(at, _, _)| at);
        if out_until > attempt.received_at + ORDERING_TOLERANCE {
            let text = format!(
                "two attempts out: node {} had it from {:.1} to {out_until:.1} ms, node {} from {:.1} ms",
                before.node, before.received_at, attempt.node, attempt.received_at
            );
            let lines = [before.line, attempt.line];
            result.record_violation(attempt.received_at, id, &lines, text);
        }
    }
}

/// An unsafe request is rejected only if no attempt may have run.
fn check_rejections(
    index: &TraceIndex<'_>,
    id: &str,
    attempts: &[&Attempt<'_>],
    result: &mut RuleResult,
) {
    let responses = index.by_id[id]
        .iter()
        .filter_map(|position| index.requests[*position].response);
    for response in responses.filter(|response| response.is_rejection()) {
        let ran = attempts
            .iter()
            .filter(|attempt| !attempt.never_ran())
            .find(|attempt| attempt.received_at <= response.at);
        if let Some(attempt) = ran {
            let text = format!(
                "refused with {}, and it may have run at node {}",
                response.status, attempt.node
            );
            let lines = [attempt.line, response.line];
            result.record_violation(response.at, id, &lines, text);
        }
    }
}

/// An effect that is not safe is applied once.
fn check_effects(id: &str, attempts: &[&Attempt<'_>], result: &mut RuleResult) {
    let mut effects = attempts.iter().flat_map(|attempt| &attempt.effects);
    if let (Some(first), Some(second)) = (effects.next(), effects.next()) {
        let text = format!(
            "its effect ran at {:.1} ms and again at {:.1} ms",
            first.0, second.0
        );
        result.record_violation(second.0, id, &[first.1, second.1], text);
    }
}

/// Checks the attempts after the first one that may have run.
fn check_retries(
    effect: Effect,
    memory: f64,
    id: &str,
    attempts: &[&Attempt<'_>],
    result: &mut RuleResult,
) {
    let Some(first) = attempts.iter().position(|attempt| !attempt.never_ran()) else {
        return;
    };
    let ran = attempts[first];
    for attempt in &attempts[first + 1..] {
        let age = attempt.received_at - ran.received_at;
        let lines = [ran.line, attempt.line];
        match effect {
            Effect::Safe => {}
            Effect::Unsafe => {
                let text = format!(
                    "sent to node {} though it may have run at node {}, {}",
                    attempt.node,
                    ran.node,
                    ran.end
                        .map_or("and is still out".into(), |(_, end, _)| format!(
                            "which ended as {}",
                            end_label(end)
                        ))
                );
                result.record_violation(attempt.received_at, id, &lines, text);
            }
            Effect::Keyed => {
                result.record_margin(attempt.received_at, memory - age);
                if age > memory {
                    let text = format!(
                        "sent again {age:.0} ms after it may have run; its key is kept {memory:.0} ms"
                    );
                    result.record_violation(attempt.received_at, id, &lines, text);
                }
            }
        }
    }
}

/// How a violation names the end of an attempt; printed in reports, so it doesn't follow the names of the variants.
fn end_label(end: AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::Served => "Served",
        AttemptEnd::Error => "Error",
        AttemptEnd::Rejected => "TurnedAway",
        AttemptEnd::Reset => "Reset",
        AttemptEnd::Malformed => "Spoilt",
        AttemptEnd::Cancelled => "GivenUp",
    }
}
