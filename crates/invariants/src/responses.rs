//! Rule 1: every request that a running proxy accepted gets exactly one complete final response before its client stops
//! waiting; a served body comes from an attempt of that request; nothing is sent for it after the response. A proxy that was
//! killed on purpose owes nothing for its pending requests; one that exits by itself has crashed.

use crate::rule_result::{RuleResult, ORDERING_TOLERANCE};
use crate::trace_index::{ClientRequest, TraceIndex};
use maplefall_event_trace::{AttemptEnd, FailureReason, Millis, ProxyState};
use std::collections::BTreeMap;

/// Checks the rule.
pub fn check(index: &TraceIndex<'_>) -> RuleResult {
    let mut result = RuleResult::new(
        1,
        "one final answer",
        "requests taken",
        "ms before the last moment",
    );
    let rules = index.trace.header.rules;
    let slack = rules.response_slack_ms + rules.socket_slack_ms;
    let mut answers: BTreeMap<&str, Vec<(Millis, usize)>> = BTreeMap::new();
    for one in &index.requests {
        let end = one.deadline + slack;
        if let Some(answer) = one.response {
            result.tested += 1;
            result.record_margin(answer.at, end - answer.at);
            answers
                .entry(one.id)
                .or_default()
                .push((answer.at, answer.line));
            if answer.at > end {
                let late = answer.at - one.deadline;
                let text = format!(
                    "answered {late:.0} ms after the client's time; {slack:.0} ms are allowed"
                );
                result.record_violation(answer.at, one.id, &[one.line, answer.line], text);
            }
            if answer.status == 200 {
                check_served_response(
                    index,
                    one,
                    answer.at,
                    answer.attempt,
                    answer.line,
                    &mut result,
                );
            }
        }
        if let Some((at, why, line)) = one.failure {
            check_failure(index, one, at, why, line, &mut result);
        }
    }
    for (id, answers) in &answers {
        if let [first, second, ..] = answers[..] {
            let text = format!(
                "answered at {:.1} ms and again at {:.1} ms",
                first.0, second.0
            );
            result.record_violation(second.0, id, &[first.1, second.1], text);
        }
        // A proxy returns a response only after its last attempt has ended.
        let end = answers[0].0;
        for attempt in index
            .attempts_of(id)
            .filter(|attempt| attempt.first_byte_at > end + ORDERING_TOLERANCE)
        {
            let text = format!(
                "an attempt began {:.0} ms after the final answer, at node {}",
                attempt.first_byte_at - end,
                attempt.node
            );
            result.record_violation(
                attempt.first_byte_at,
                id,
                &[answers[0].1, attempt.line],
                text,
            );
        }
    }
    for (at, door, id, line) in &index.unexpected_bytes {
        let text = format!("front door {door} wrote on a connection on which nothing was asked");
        result.record_violation(*at, id, &[*line], text);
    }
    for (at, kind, status, _, line) in &index.malformed_clients {
        if *status == Some(200) {
            result.record_violation(
                *at,
                "",
                &[*line],
                format!("{kind}: served what cannot be a request"),
            );
        }
    }
    check_crashes(index, &mut result);
    result.finish()
}

/// A served body must name an attempt that a node served for this request.
fn check_served_response(
    index: &TraceIndex<'_>,
    one: &ClientRequest<'_>,
    at: Millis,
    names: Option<u64>,
    line: usize,
    result: &mut RuleResult,
) {
    let made = names.and_then(|number| {
        index
            .attempts_of(one.id)
            .find(|attempt| attempt.number == number)
    });
    match made {
        Some(attempt) if matches!(attempt.end, Some((_, AttemptEnd::Served, _))) => {}
        Some(attempt) => {
            let text = format!(
                "served with attempt {}, which no node served",
                attempt.number
            );
            result.record_violation(at, one.id, &[line, attempt.line], text);
        }
        None => {
            result.record_violation(
                at,
                one.id,
                &[one.line, line],
                "served with what no node made for it".into(),
            );
        }
    }
}

fn check_failure(
    index: &TraceIndex<'_>,
    one: &ClientRequest<'_>,
    at: Millis,
    why: FailureReason,
    line: usize,
    result: &mut RuleResult,
) {
    // Requests pending in a killed proxy are the client's to retry.
    if why == FailureReason::NotAccepted
        || index.was_killed_within(
            one.proxy,
            one.sent_at - ORDERING_TOLERANCE,
            at + ORDERING_TOLERANCE,
        )
    {
        return;
    }
    let sent = index
        .attempts_of(one.id)
        .find(|a| a.proxy == one.proxy && a.received_at <= at + ORDERING_TOLERANCE);
    match (why, sent) {
        // Closed with nothing forwarded for the request: the client retries and nothing is lost
        // (later-work page, "Score").
        (FailureReason::Closed, None) => {}
        (FailureReason::Closed, Some(attempt)) => {
            result.tested += 1;
            let text = format!(
                "its connection was closed without an answer, and node {} had it",
                attempt.node
            );
            result.record_violation(at, one.id, &[one.line, attempt.line, line], text);
        }
        (FailureReason::Truncated, _) => {
            result.tested += 1;
            result.record_violation(at, one.id, &[one.line, line], "its answer broke off".into());
        }
        (FailureReason::TimedOut, sent) => {
            result.tested += 1;
            let lines: Vec<usize> = [one.line, line]
                .into_iter()
                .chain(sent.map(|a| a.line))
                .collect();
            let text = format!(
                "no answer within the client's time, which ended at {:.1} ms",
                one.deadline
            );
            result.record_violation(at, one.id, &lines, text);
        }
        (FailureReason::NotAccepted, _) => {}
    }
}

/// Unrequested exits, and shutdowns with an exit code other than 0.
fn check_crashes(index: &TraceIndex<'_>, result: &mut RuleResult) {
    let mut told: BTreeMap<u32, (ProxyState, usize)> = BTreeMap::new();
    for (at, door, state, line) in &index.proxy_states {
        match state {
            ProxyState::Ended { code } => match told.remove(door) {
                Some((ProxyState::Killed, _)) => {}
                Some((ProxyState::Terminated, asked)) if *code != Some(0) => {
                    let text = format!(
                        "front door {door} was told to stop and ended with {code:?}, not 0"
                    );
                    result.record_violation(*at, "", &[asked, *line], text);
                }
                Some((ProxyState::Terminated, _)) => {}
                _ => {
                    result.record_violation(
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
