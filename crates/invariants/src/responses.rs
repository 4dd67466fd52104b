//! Rule 1: whatever a running front door has taken ends with one whole final answer while its client still waits; what
//! is served was made by a node for that request; after the answer nothing more goes out for it. A front door that was
//! killed on purpose owes nothing for what it held; one that ends by itself has crashed.

use crate::rule_result::{RuleResult, ORDERING_TOLERANCE};
use crate::trace_index::{ClientRequest, TraceIndex};
use maplefall_event_trace::{AttemptEnd, FailureReason, Millis, ProxyState};
use std::collections::BTreeMap;

/// Judges it.
pub fn check(view: &TraceIndex<'_>) -> RuleResult {
    let mut ruling = RuleResult::new(
        1,
        "one final answer",
        "requests taken",
        "ms before the last moment",
    );
    let rules = view.trace.header.rules;
    let slack = rules.response_slack_ms + rules.socket_slack_ms;
    let mut answers: BTreeMap<&str, Vec<(Millis, usize)>> = BTreeMap::new();
    for one in &view.requests {
        let end = one.deadline + slack;
        if let Some(answer) = one.response {
            ruling.tested += 1;
            ruling.record_margin(answer.at, end - answer.at);
            answers
                .entry(one.id)
                .or_default()
                .push((answer.at, answer.line));
            if answer.at > end {
                let late = answer.at - one.deadline;
                let text = format!(
                    "answered {late:.0} ms after the client's time; {slack:.0} ms are allowed"
                );
                ruling.record_violation(answer.at, one.id, &[one.line, answer.line], text);
            }
            if answer.status == 200 {
                check_served_response(
                    view,
                    one,
                    answer.at,
                    answer.attempt,
                    answer.line,
                    &mut ruling,
                );
            }
        }
        if let Some((at, why, line)) = one.failure {
            check_failure(view, one, at, why, line, &mut ruling);
        }
    }
    for (id, answers) in &answers {
        if let [first, second, ..] = answers[..] {
            let text = format!(
                "answered at {:.1} ms and again at {:.1} ms",
                first.0, second.0
            );
            ruling.record_violation(second.0, id, &[first.1, second.1], text);
        }
        // A front door hands an answer out after it has ended its last attempt.
        let end = answers[0].0;
        for attempt in view
            .attempts_of(id)
            .filter(|attempt| attempt.first_byte_at > end + ORDERING_TOLERANCE)
        {
            let text = format!(
                "an attempt began {:.0} ms after the final answer, at node {}",
                attempt.first_byte_at - end,
                attempt.node
            );
            ruling.record_violation(
                attempt.first_byte_at,
                id,
                &[answers[0].1, attempt.line],
                text,
            );
        }
    }
    for (at, door, id, line) in &view.unexpected_bytes {
        let text = format!("front door {door} wrote on a connection on which nothing was asked");
        ruling.record_violation(*at, id, &[*line], text);
    }
    for (at, kind, status, _, line) in &view.malformed_clients {
        if *status == Some(200) {
            ruling.record_violation(
                *at,
                "",
                &[*line],
                format!("{kind}: served what cannot be a request"),
            );
        }
    }
    check_crashes(view, &mut ruling);
    ruling.finish()
}

/// A served body must be that of an attempt that a node served for this very request.
fn check_served_response(
    view: &TraceIndex<'_>,
    one: &ClientRequest<'_>,
    at: Millis,
    names: Option<u64>,
    line: usize,
    ruling: &mut RuleResult,
) {
    let made = names.and_then(|number| {
        view.attempts_of(one.id)
            .find(|attempt| attempt.number == number)
    });
    match made {
        Some(attempt) if matches!(attempt.end, Some((_, AttemptEnd::Served, _))) => {}
        Some(attempt) => {
            let text = format!(
                "served with attempt {}, which no node served",
                attempt.number
            );
            ruling.record_violation(at, one.id, &[line, attempt.line], text);
        }
        None => {
            ruling.record_violation(
                at,
                one.id,
                &[one.line, line],
                "served with what no node made for it".into(),
            );
        }
    }
}

fn check_failure(
    view: &TraceIndex<'_>,
    one: &ClientRequest<'_>,
    at: Millis,
    why: FailureReason,
    line: usize,
    ruling: &mut RuleResult,
) {
    // What a killed front door held is the client's to repeat.
    if why == FailureReason::NotAccepted
        || view.was_killed_within(
            one.proxy,
            one.sent_at - ORDERING_TOLERANCE,
            at + ORDERING_TOLERANCE,
        )
    {
        return;
    }
    let sent = view
        .attempts_of(one.id)
        .find(|a| a.proxy == one.proxy && a.received_at <= at + ORDERING_TOLERANCE);
    match (why, sent) {
        // A connection that is closed with nothing sent on for its request: the client asks again, nothing is lost
        // (later-work page, "Score").
        (FailureReason::Closed, None) => {}
        (FailureReason::Closed, Some(attempt)) => {
            ruling.tested += 1;
            let text = format!(
                "its connection was closed without an answer, and node {} had it",
                attempt.node
            );
            ruling.record_violation(at, one.id, &[one.line, attempt.line, line], text);
        }
        (FailureReason::Truncated, _) => {
            ruling.tested += 1;
            ruling.record_violation(at, one.id, &[one.line, line], "its answer broke off".into());
        }
        (FailureReason::TimedOut, sent) => {
            ruling.tested += 1;
            let lines: Vec<usize> = [one.line, line]
                .into_iter()
                .chain(sent.map(|a| a.line))
                .collect();
            let text = format!(
                "no answer within the client's time, which ended at {:.1} ms",
                one.deadline
            );
            ruling.record_violation(at, one.id, &lines, text);
        }
        (FailureReason::NotAccepted, _) => {}
    }
}

/// Ends that nobody asked for, and stops that did not end well.
fn check_crashes(view: &TraceIndex<'_>, ruling: &mut RuleResult) {
    let mut told: BTreeMap<u32, (ProxyState, usize)> = BTreeMap::new();
    for (at, door, state, line) in &view.proxy_states {
        match state {
            ProxyState::Ended { code } => match told.remove(door) {
                Some((ProxyState::Killed, _)) => {}
                Some((ProxyState::Terminated, asked)) if *code != Some(0) => {
                    let text = format!(
                        "front door {door} was told to stop and ended with {code:?}, not 0"
                    );
                    ruling.record_violation(*at, "", &[asked, *line], text);
                }
                Some((ProxyState::Terminated, _)) => {}
                _ => {
                    ruling.record_violation(
                        *at,
                        "",
                        &[*line],
                        format!("front door {door} crashed ({code:?})"),
                    );
                }
            },
            ProxyState::Killed | ProxyState::Terminated => {
                told.insert(*door, (*state, *line));
            }
            ProxyState::Started => {
                told.remove(door);
            }
            ProxyState::Ready | ProxyState::Reloaded => {}
        }
    }
}
