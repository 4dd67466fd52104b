//! Rule 1: every request that a running proxy accepted gets exactly one complete final response
//! before its client stops waiting; a served body comes from an attempt of the same request; no
//! attempt starts after the response. A proxy that was killed on purpose owes no response for its
//! pending requests; a proxy that exits unrequested has crashed.

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
        "accepted requests",
        "ms left of the deadline and its slack",
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

/// Checks that a response arrives by the client's deadline plus the slack, and that a served one
/// comes from a node.
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
        let description =
            format!("response {late:.0} ms after the client's deadline; {slack:.0} ms are allowed");
        let lines = [request.line, response.line];
        result.record_violation(response.at, request.id, &lines, description);
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

/// Checks that a request has one response, and that no attempt starts after the response.
fn check_final_response(
    index: &TraceIndex<'_>,
    id: &str,
    responses: &[(Millis, usize)],
    result: &mut RuleResult,
) {
    if let [first, second, ..] = responses {
        let description = format!(
            "response at {:.1} ms and again at {:.1} ms",
            first.0, second.0
        );
        result.record_violation(second.0, id, &[first.1, second.1], description);
    }
    // A proxy returns a response only after its last attempt has ended.
    let (end, line) = responses[0];
    let late_attempts = index
        .attempts_of(id)
        .filter(|attempt| attempt.first_byte_at > end + ORDERING_TOLERANCE);
    for attempt in late_attempts {
        let description = format!(
            "an attempt started {:.0} ms after the final response, at node {}",
            attempt.first_byte_at - end,
            attempt.node
        );
        result.record_violation(
            attempt.first_byte_at,
            id,
            &[line, attempt.line],
            description,
        );
    }
}

/// Reports bytes received with no request outstanding, and malformed requests that were served.
fn check_unexpected_output(index: &TraceIndex<'_>, result: &mut RuleResult) {
    for (at, proxy, id, line) in &index.unexpected_bytes {
        let description =
            format!("gateway {proxy} wrote to a connection without an outstanding request");
        result.record_violation(*at, id, &[*line], description);
    }
    for (at, kind, status, _, line) in &index.malformed_clients {
        if *status == Some(200) {
            let description = format!("{kind}: a malformed request was served");
            result.record_violation(*at, "", &[*line], description);
        }
    }
}

/// Checks that a served body names an attempt that a node served for the same request.
fn check_served_response(
    index: &TraceIndex<'_>,
    request: &ClientRequest<'_>,
    at: Millis,
    attempt_number: Option<u64>,
    line: usize,
    result: &mut RuleResult,
) {
    let named_attempt = attempt_number.and_then(|number| {
        index
            .attempts_of(request.id)
            .find(|attempt| attempt.number == number)
    });
    match named_attempt {
        Some(attempt) if matches!(attempt.end, Some((_, AttemptEnd::Served, _))) => {}
        Some(attempt) => {
            let description = format!(
                "served with the body of attempt {}, which no node served",
                attempt.number
            );
            result.record_violation(at, request.id, &[line, attempt.line], description);
        }
        None => {
            result.record_violation(
                at,
                request.id,
                &[request.line, line],
                "served with a body that no node sent for this request".into(),
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
    // The client retries requests that were pending in a killed proxy.
    if reason == FailureReason::NotAccepted
        || index.was_killed_within(
            request.proxy,
            request.sent_at - ORDERING_TOLERANCE,
            at + ORDERING_TOLERANCE,
        )
    {
        return;
    }
    let forwarded = index
        .attempts_of(request.id)
        .find(|a| a.proxy == request.proxy && a.received_at <= at + ORDERING_TOLERANCE);
    match (reason, forwarded) {
        // Closed before anything was forwarded: the client retries and nothing is lost
        // (later-work page, "Score").
        (FailureReason::Closed, None) => {}
        (FailureReason::Closed, Some(attempt)) => {
            result.tested += 1;
            let description = format!(
                "its connection was closed without a response after node {} had received it",
                attempt.node
            );
            result.record_violation(
                at,
                request.id,
                &[request.line, attempt.line, line],
                description,
            );
        }
        (FailureReason::Truncated, _) => {
            result.tested += 1;
            result.record_violation(
                at,
                request.id,
                &[request.line, line],
                "its response was truncated".into(),
            );
        }
        (FailureReason::TimedOut, forwarded) => {
            result.tested += 1;
            let lines: Vec<usize> = [request.line, line]
                .into_iter()
                .chain(forwarded.map(|a| a.line))
                .collect();
            let description = format!(
                "no response before the client's deadline at {:.1} ms",
                request.deadline
            );
            result.record_violation(at, request.id, &lines, description);
        }
        (FailureReason::NotAccepted, _) => {}
    }
}

/// Reports unrequested exits, and shutdowns with an exit code other than 0.
fn check_crashes(index: &TraceIndex<'_>, result: &mut RuleResult) {
    let mut stopping: BTreeMap<u32, (ProxyState, usize)> = BTreeMap::new();
    for (at, proxy, state, line) in &index.proxy_states {
        match state {
            ProxyState::Ended { code } => match stopping.remove(proxy) {
                Some((ProxyState::Killed, _)) => {}
                Some((ProxyState::Terminated, signal_line)) if *code != Some(0) => {
                    let description = format!(
                        "gateway {proxy} was asked to shut down and exited with {code:?}, not 0"
                    );
                    result.record_violation(*at, "", &[signal_line, *line], description);
                }
                Some((ProxyState::Terminated, _)) => {}
                _ => {
                    result.record_violation(
                        *at,
                        "",
                        &[*line],
                        format!("gateway {proxy} crashed ({code:?})"),
                    );
                }
            },
            ProxyState::Killed | ProxyState::Terminated => {
                stopping.insert(*proxy, (*state, *line));
            }
            ProxyState::Started => {
                stopping.remove(proxy);
            }
            ProxyState::Ready | ProxyState::Reloaded => {}
        }
    }
}
