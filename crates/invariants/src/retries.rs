//! Rule 2: no effect is applied twice. Attempts of a request never overlap; after an attempt that
//! may have run, an unsafe request is neither retried nor rejected, and a keyed one is retried only
//! within the deduplication window; a request has no more attempts than the settings allow; and
//! every attempt matches what a client sent.

use crate::rule_result::{RuleResult, ORDERING_TOLERANCE};
use crate::trace_index::{Attempt, ClientRequest, TraceIndex};
use maplefall_event_trace::{AttemptEnd, Class, Effect};

/// Checks the rule.
pub fn check(index: &TraceIndex<'_>) -> RuleResult {
    let tested_by = "requests with a failed attempt or with more than one attempt";
    let mut result = RuleResult::new(
        2,
        "repeats as the class permits",
        tested_by,
        "ms of the deduplication window left",
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

/// Reports attempts of a request that no client sent, such as one smuggled inside another request.
fn report_unknown_request(index: &TraceIndex<'_>, id: &str, result: &mut RuleResult) {
    for attempt in index.attempts_of(id) {
        let description = format!(
            "node {} received a request that no client sent",
            attempt.node
        );
        result.record_violation(attempt.received_at, id, &[attempt.line], description);
    }
}

/// Checks that every attempt matches what the client sent.
fn check_fingerprints(
    request: &ClientRequest<'_>,
    attempts: &[&Attempt<'_>],
    result: &mut RuleResult,
) {
    let changed = attempts
        .iter()
        .filter(|attempt| attempt.fingerprint != request.fingerprint);
    for attempt in changed {
        let description = format!(
            "the request that node {} received differs from what its client sent",
            attempt.node
        );
        let lines = [request.line, attempt.line];
        result.record_violation(attempt.received_at, attempt.id, &lines, description);
    }
}

/// Checks the complete attempts of one request; there is at least one.
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
        let description = format!(
            "{} attempts; {} are allowed",
            attempts.len(),
            rules.max_attempts
        );
        result.record_violation(attempts[0].received_at, id, &lines, description);
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

/// Checks that an attempt starts only after the previous one has ended.
fn check_overlap(id: &str, attempts: &[&Attempt<'_>], result: &mut RuleResult) {
    for (before, attempt) in attempts.iter().zip(&attempts[1..]) {
        let ended_at = before.end.map_or(f64::INFINITY, |(at, _, _)| at);
        if ended_at > attempt.received_at + ORDERING_TOLERANCE {
            let description = format!(
                "overlapping attempts: at node {} from {:.1} to {ended_at:.1} ms, at node {} from {:.1} ms",
                before.node, before.received_at, attempt.node, attempt.received_at
            );
            let lines = [before.line, attempt.line];
            result.record_violation(attempt.received_at, id, &lines, description);
        }
    }
}

/// Checks that an unsafe request is rejected only if no attempt may have run.
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
        let earlier = attempts
            .iter()
            .filter(|attempt| !attempt.never_ran())
            .find(|attempt| attempt.received_at <= response.at);
        if let Some(attempt) = earlier {
            let description = format!(
                "rejected with {} although it may have run at node {}",
                response.status, attempt.node
            );
            let lines = [attempt.line, response.line];
            result.record_violation(response.at, id, &lines, description);
        }
    }
}

/// Checks that an effect other than a safe one is applied at most once.
fn check_effects(id: &str, attempts: &[&Attempt<'_>], result: &mut RuleResult) {
    let mut effects = attempts.iter().flat_map(|attempt| &attempt.effects);
    if let (Some(first), Some(second)) = (effects.next(), effects.next()) {
        let description = format!(
            "its effect was applied at {:.1} ms and again at {:.1} ms",
            first.0, second.0
        );
        result.record_violation(second.0, id, &[first.1, second.1], description);
    }
}

/// Checks the attempts after the first one that may have run.
fn check_retries(
    effect: Effect,
    key_lifetime: f64,
    id: &str,
    attempts: &[&Attempt<'_>],
    result: &mut RuleResult,
) {
    let Some(first) = attempts.iter().position(|attempt| !attempt.never_ran()) else {
        return;
    };
    let earlier = attempts[first];
    for attempt in &attempts[first + 1..] {
        let age = attempt.received_at - earlier.received_at;
        let lines = [earlier.line, attempt.line];
        match effect {
            Effect::Safe => {}
            Effect::Unsafe => {
                let description = format!(
                    "sent to node {} although it may have run at node {}, {}",
                    attempt.node,
                    earlier.node,
                    earlier.end.map_or(
                        "where it is still in flight".into(),
                        |(_, end, _)| format!("which ended as {}", end_label(end))
                    )
                );
                result.record_violation(attempt.received_at, id, &lines, description);
            }
            Effect::Keyed => {
                result.record_margin(attempt.received_at, key_lifetime - age);
                if age > key_lifetime {
                    let description = format!(
                        "retried {age:.0} ms after it may have run; its key is deduplicated for {key_lifetime:.0} ms"
                    );
                    result.record_violation(attempt.received_at, id, &lines, description);
                }
            }
        }
    }
}

/// Returns the name of an attempt's end in violations. Reports print it, so it does not follow the
/// names of the variants.
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
