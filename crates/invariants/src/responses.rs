//! Rule 1: every request that a running proxy accepted gets exactly one complete final response before its client stops
//! waiting; a served body comes from an attempt of that request; nothing is sent for it after the response. A proxy that was
//! killed on purpose owes nothing for its pending requests; one that exits by itself has crashed.

use crate::rule_result::{RuleResult, ORDERING_TOLERANCE};
use crate::trace_index::{ClientRequest, Response, TraceIndex};
use maplefall_event_trace::{AttemptEnd, FailureReason, Millis, ProxyState};
use std::collections::BTreeMap;

/// Time and trace line of each complete response, by the request's id.
type ResponsesById<'r> = BTreeMap<&'r str, Vec<(Millis, usize)>>;

/// Checks the rule.
pub fn check(index: &TraceIndex<'_>) -> RuleResult {
    let mut result = RuleResult::new(
        1,
        "one final answer",
        "requests taken",
        "ms before the last moment",
    );
    let mut responses = ResponsesById::new();
    for request in &index.requests {
        if let Some(response) = request.response {
            let entry = responses.entry(request.id).or_default();
            entry.push((response.at, response.line));
            check_response(index, request, response, &mut result);
        }
        if let Some((at, reason, line)) = request.failure {
            check_failure(index, request, at, reason, line, &mut result);
        }
    }
    for (id, responses) in &responses {
        check_final_response(index, id, responses, &mut result);
    }
    check_unexpected_output(index, &mut result);
    check_crashes(index, &mut result);
    result.finish()
}

/// A response must arrive by the client's deadline and the slack; a served one must come from a node.
fn check_response(
    index: &TraceIndex<'_>,
    request: &ClientRequest<'_>,
    response: Response,
    result: &mut RuleResult,
) {
    let rules = index.trace.header.rules;
    let slack = rules.response_slack_ms + rules.socket_slack_ms;
    let end = request.deadline + slack;
    result.tested += 1;
    result.record_margin(response.at, end - response.at);
    if response.at > end {
        let late = response.at - request.deadline;
        let text =
            format!("answered {late:.0} ms after the client's time; {slack:.0} ms are allowed");
        let lines = [request.line, response.line];
        result.record_violation(response.at, request.id, &lines, text);
    }
    if response.status == 200 {
        check_served_response(
            index,
            request,
            response.at,
            response.attempt,
            response.line,
            result,
        );
    }
}

/// A request has one response, and no attempt starts after it.
fn check_final_response(
    index: &TraceIndex<'_>,
    id: &str,
    responses: &[(Millis, usize)],
    result: &mut RuleResult,
) {
    if let [first, second, ..] = responses {
        let text = format!(
            "answered at {:.1} ms and again at {:.1} ms",
            first.0, second.0
        );
        result.record_violation(second.0, id, &[first.1, second.1], text);
    }
    // A proxy returns a response only after its last attempt has ended.
    let (end, line) = responses[0];
    let late_attempts = index
        .attempts_of(id)
        .filter(|attempt| attempt.first_byte_at > end + ORDERING_TOLERANCE);
    for attempt in late_attempts {
        let text = format!(
            "an attempt began {:.0} ms after the final answer, at node {}",
            attempt.first_byte_at - end,
            attempt.node
        );
        result.record_violation(attempt.first_byte_at, id, &[line, attempt.line], text);
    }
}

/// Bytes without a request, and malformed requests that were served.
fn check_unexpected_output(index: &TraceIndex<'_>, result: &mut RuleResult) {
    for (at, proxy, id, line) in &index.unexpected_bytes {
        let text = format!("front door {proxy} wrote on a connection on which nothing was asked");
        result.record_violation(*at, id, &[*line], text);
    }
    for (at, kind, status, _, line) in &index.malformed_clients {
        if *status == Some(200) {
            let text = format!("{kind}: served what cannot be a request");
            result.record_violation(*at, "", &[*line], text);
        }
    }
}

/// A served body must name an attempt that a node served for this request.
fn check_served_response(
    index: &TraceIndex<'_>,
    request: &ClientRequest<'_>,
    at: Millis,
    names: Option<u64>,
    line: usize,
    result: &mut RuleResult,
) {
    let made = names.and_then(|number| {
        index
            .attempts_of(request.id)
            .find(|attempt| attempt.number == number)
    });
    match made {
        Some(attempt) if matches!(attempt.end, Some((_, AttemptEnd::Served, _))) => {}
        Some(attempt) => {
            let text = format!(
                "served with attempt {}, which no node served",
                attempt.number
            );
            result.record_violation(at, request.id, &[line, attempt.line], text);
        }
        None => {
            result.record_violation(
                at,
                request.id,
                &[request.line, line],
                "served with what no node made for it".into(),
            );
        }
    }
}

fn check_failure(
    index: &TraceIndex<'_>,
    request: &ClientRequest<'_>,
    at: Millis,
    reason: FailureReason,
    line: usize,
    result: &mut RuleResult,
) {
    // Requests pending in a killed proxy are the client's to retry.
    if reason == FailureReason::NotAccepted
        || index.was_killed_within(
            request.proxy,
            request.sent_at - ORDERING_TOLERANCE,
            at + ORDERING_TOLERANCE,
        )
    {
        return;
    }
    let sent = index
        .attempts_of(request.id)
        .find(|a| a.proxy == request.proxy && a.received_at <= at + ORDERING_TOLERANCE);
    match (reason, sent) {
        // Closed with nothing forwarded for the request: the client retries and nothing is lost
        // (later-work page, "Score").
        (FailureReason::Closed, None) => {}
        (FailureReason::Closed, Some(attempt)) => {
            result.tested += 1;
            let text = format!(
                "its connection was closed without an answer, and node {} had it",
                attempt.node
            );
            result.record_violation(at, request.id, &[request.line, attempt.line, line], text);
        }
        (FailureReason::Truncated, _) => {
            result.tested += 1;
            result.record_violation(
                at,
                request.id,
                &[request.line, line],
                "its answer broke off".into(),
            );
        }
        (FailureReason::TimedOut, sent) => {
            result.tested += 1;
            let lines: Vec<usize> = [request.line, line]
                .into_iter()
                .chain(sent.map(|a| a.line))
                .collect();
            let text = format!(
                "no answer within the client's time, which ended at {:.1} ms",
                request.deadline
            );
            result.record_violation(at, request.id, &lines, text);
        }
        (FailureReason::NotAccepted, _) => {}
    }
}

/// Unrequested exits, and shutdowns with an exit code other than 0.
fn check_crashes(index: &TraceIndex<'_>, result: &mut RuleResult) {
    let mut stopping: BTreeMap<u32, (ProxyState, usize)> = BTreeMap::new();
    for (at, door, state, line) in &index.proxy_states {
        match state {
            ProxyState::Ended { code } => match stopping.remove(door) {
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
                stopping.insert(*door, (*state, *line));
            }
            ProxyState::Started => {
                stopping.remove(door);
            }
            ProxyState::Ready | ProxyState::Reloaded => {}
        }
    }
}
