//! Each rule on traces built by hand: satisfied, violated, just on either side of the limit, and
//! not exercised.

mod trace_builder;

use maplefall_event_trace::{
    AttemptEnd, Event, EventKind, FailureReason, Health, NodeState, ProxyState, Trace,
};
use maplefall_invariants::Verdict::{NotExercised, Satisfied, Violated};
use trace_builder::*;

fn trace() -> TraceBuilder {
    TraceBuilder::default()
}

// ---- Rule 1 -------------------------------------------------------------------------------------

#[test]
fn an_empty_trace_exercises_no_rule() {
    let evaluation = trace().evaluate();
    assert!(evaluation
        .rules
        .iter()
        .all(|result| result.verdict == NotExercised));
    assert_eq!(evaluation.not_exercised(&[1, 3]), [1, 3]);
}

#[test]
fn a_served_request_satisfies_rule_one() {
    let result = trace().served(100.0, 1, "a", UNSAFE, 0).rule(1);
    assert_eq!((result.verdict, result.tested), (Satisfied, 1));
    assert_eq!(result.margin, Some(1000.0 + RESPONSE_SLACK - 52.0));
}

#[test]
fn a_response_counts_until_the_deadline_and_slack() {
    for (late, verdict) in [
        (RESPONSE_SLACK, Satisfied),
        (RESPONSE_SLACK + 0.5, Violated),
    ] {
        let result = trace()
            .request(0.0, "a", SAFE)
            .response(1000.0 + late, "a", 502, None)
            .rule(1);
        assert_eq!(result.verdict, verdict, "{late}");
    }
}

#[test]
fn a_request_without_a_response_is_a_violation() {
    let result = trace()
        .request(0.0, "a", SAFE)
        .failed(1100.0, "a", FailureReason::TimedOut)
        .rule(1);
    assert_eq!(
        (result.verdict, result.violations[0].trace_lines.clone()),
        (Violated, vec![2, 3])
    );
    assert_eq!(result.violations[0].request, "a");
    let result = trace()
        .request(0.0, "a", SAFE)
        .failed(300.0, "a", FailureReason::Truncated)
        .rule(1);
    assert_eq!(result.verdict, Violated);
}

#[test]
fn a_connection_closed_before_forwarding_is_not_a_violation() {
    let closed = |trace: TraceBuilder| {
        trace
            .request(0.0, "a", SAFE)
            .failed(300.0, "a", FailureReason::Closed)
    };
    assert_eq!(closed(trace()).rule(1).verdict, NotExercised);
    assert_eq!(
        closed(
            trace()
                .attempt(5.0, 1, "a", 0)
                .ended(290.0, 1, AttemptEnd::Cancelled)
        )
        .rule(1)
        .verdict,
        Violated
    );
}

#[test]
fn requests_pending_in_a_killed_proxy_are_no_violation() {
    let pending = |trace: TraceBuilder| {
        trace
            .request(0.0, "a", UNSAFE)
            .attempt(5.0, 1, "a", 0)
            .ended(300.0, 1, AttemptEnd::Cancelled)
            .failed(300.0, "a", FailureReason::Closed)
    };
    assert_eq!(
        pending(trace().proxy_state(299.0, ProxyState::Killed))
            .rule(1)
            .verdict,
        NotExercised
    );
    // A proxy that was asked to shut down owes its responses, and so does one that was killed after
    // the failure.
    assert_eq!(
        pending(trace().proxy_state(200.0, ProxyState::Terminated))
            .rule(1)
            .verdict,
        Violated
    );
    assert_eq!(
        pending(trace().proxy_state(400.0, ProxyState::Killed))
            .rule(1)
            .verdict,
        Violated
    );
}

#[test]
fn a_second_response_is_a_violation() {
    let twice = trace().served(0.0, 1, "a", SAFE, 0);
    let twice = twice
        .request(60.0, "a", SAFE)
        .response(90.0, "a", 502, None);
    assert_eq!(twice.rule(1).verdict, Violated);
    let surplus = EventKind::UnexpectedBytes {
        proxy: 0,
        connection: 1,
        id: "a".into(),
    };
    assert_eq!(
        trace()
            .served(0.0, 1, "a", SAFE, 0)
            .event(80.0, surplus)
            .rule(1)
            .verdict,
        Violated
    );
}

#[test]
fn no_attempt_starts_after_the_final_response() {
    let after = |gap: f64| {
        let trace = trace()
            .request(0.0, "a", SAFE)
            .response(100.0, "a", 502, None);
        trace
            .attempt(100.0 + gap, 1, "a", 0)
            .ended(200.0 + gap, 1, AttemptEnd::Served)
            .rule(1)
            .verdict
    };
    // Different threads may record a response and an attempt of the same time in either order.
    assert_eq!(
        (
            after(maplefall_invariants::ORDERING_TOLERANCE),
            after(maplefall_invariants::ORDERING_TOLERANCE + 1.0)
        ),
        (Satisfied, Violated)
    );
}

#[test]
fn a_served_body_comes_from_an_attempt_of_its_request() {
    let served = |attempt| {
        let trace = trace()
            .served(0.0, 1, "other", SAFE, 0)
            .request(100.0, "a", SAFE);
        let trace = trace
            .attempt(102.0, 2, "a", 0)
            .ended(150.0, 2, AttemptEnd::Served);
        trace.response(160.0, "a", 200, attempt).rule(1).verdict
    };
    assert_eq!(
        [served(Some(2)), served(Some(1)), served(None)],
        [Satisfied, Violated, Violated]
    );
}

#[test]
fn an_unrequested_or_failed_exit_is_a_crash() {
    let ended = |first: Option<ProxyState>, code| {
        let trace = trace()
            .served(0.0, 1, "a", SAFE, 0)
            .proxy_state(0.0, ProxyState::Started);
        let trace = first
            .into_iter()
            .fold(trace, |trace, state| trace.proxy_state(500.0, state));
        trace
            .proxy_state(600.0, ProxyState::Ended { code })
            .rule(1)
            .verdict
    };
    assert_eq!(ended(Some(ProxyState::Terminated), Some(0)), Satisfied);
    assert_eq!(ended(Some(ProxyState::Killed), None), Satisfied);
    assert_eq!(ended(Some(ProxyState::Terminated), Some(70)), Violated);
    assert_eq!(ended(Some(ProxyState::Reloaded), Some(0)), Violated);
    assert_eq!(ended(None, Some(70)), Violated);
}

// ---- Rule 2 -------------------------------------------------------------------------------------

/// A request whose first attempt ends with `end` at 100 ms, and whose second one is received at
/// `second`.
fn retried(class: usize, end: AttemptEnd, second: f64) -> TraceBuilder {
    trace()
        .request(0.0, "a", class)
        .attempt(5.0, 1, "a", 0)
        .ended(100.0, 1, end)
        .attempt(second, 2, "a", 1)
        .ended(second + 40.0, 2, AttemptEnd::Served)
        .effect(second + 40.0, 2)
        .response(second + 42.0, "a", 200, Some(2))
}

#[test]
fn an_unsafe_request_is_retried_only_if_it_never_ran() {
    for (class, end, verdict) in [
        (SAFE, AttemptEnd::Reset, Satisfied),
        (SAFE, AttemptEnd::Rejected, Satisfied),
        (KEYED, AttemptEnd::Error, Satisfied),
        (UNSAFE, AttemptEnd::Rejected, Satisfied),
        (UNSAFE, AttemptEnd::Reset, Violated),
        (UNSAFE, AttemptEnd::Error, Violated),
        (UNSAFE, AttemptEnd::Malformed, Violated),
        (UNSAFE, AttemptEnd::Cancelled, Violated),
    ] {
        assert_eq!(
            retried(class, end, 120.0).rule(2).verdict,
            verdict,
            "{class} {end:?}"
        );
    }
    // A request served by its first attempt does not exercise the rule.
    assert_eq!(
        trace().served(0.0, 1, "a", UNSAFE, 0).rule(2).verdict,
        NotExercised
    );
}

#[test]
fn a_key_is_retried_only_within_its_deduplication_window() {
    let at = |age: f64| {
        let trace = trace().event(
            0.0,
            EventKind::RequestSent {
                id: "a".into(),
                original_request: 1,
                retry: 0,
                proxy: 0,
                connection: 1,
                customer: 7,
                plan: 0,
                class: KEYED,
                units: 1.0,
                deadline: 9000.0,
                fingerprint: FINGERPRINT,
            },
        );
        trace
            .attempt(5.0, 1, "a", 0)
            .ended(100.0, 1, AttemptEnd::Reset)
            .attempt(5.0 + age, 2, "a", 1)
            .ended(4000.0, 2, AttemptEnd::Served)
    };
    assert_eq!(at(DEDUP_WINDOW).rule(2).verdict, Satisfied);
    let result = at(DEDUP_WINDOW + 1.0).rule(2);
    assert_eq!((result.verdict, result.margin), (Violated, Some(-1.0)));
}

#[test]
fn attempts_of_a_request_never_overlap() {
    let gap = |gap| {
        retried(SAFE, AttemptEnd::Cancelled, 100.0 - gap)
            .rule(2)
            .verdict
    };
    // The end of one attempt and the start of the next may be recorded in either order.
    assert_eq!(
        (
            gap(maplefall_invariants::ORDERING_TOLERANCE),
            gap(maplefall_invariants::ORDERING_TOLERANCE + 1.0)
        ),
        (Satisfied, Violated)
    );
    let never_ended = trace()
        .request(0.0, "a", SAFE)
        .attempt(5.0, 1, "a", 0)
        .attempt(400.0, 2, "a", 1);
    assert_eq!(never_ended.rule(2).verdict, Violated);
    // The end of a node's process ends its attempts.
    let removed = trace()
        .event(
            0.0,
            EventKind::Node {
                node: 0,
                state: NodeState::Up {
                    cores: 2.0,
                    initial_capacity: 1.0,
                    warmup_ms: 0.0,
                },
            },
        )
        .request(0.0, "a", SAFE)
        .attempt(5.0, 1, "a", 0)
        .event(
            50.0,
            EventKind::Node {
                node: 0,
                state: NodeState::Stopped,
            },
        )
        .attempt(60.0, 2, "a", 1)
        .ended(90.0, 2, AttemptEnd::Served);
    assert_eq!(removed.rule(2).verdict, Satisfied);
}

#[test]
fn a_rejected_unsafe_request_never_ran() {
    let rejected = |class, end, status| {
        let trace = trace()
            .request(0.0, "a", class)
            .attempt(5.0, 1, "a", 0)
            .ended(50.0, 1, end);
        trace.response(60.0, "a", status, None).rule(2).verdict
    };
    assert_eq!(rejected(UNSAFE, AttemptEnd::Rejected, 429), Satisfied);
    assert_eq!(rejected(UNSAFE, AttemptEnd::Error, 502), Satisfied);
    assert_eq!(rejected(UNSAFE, AttemptEnd::Error, 429), Violated);
    assert_eq!(rejected(UNSAFE, AttemptEnd::Cancelled, 503), Violated);
    assert_eq!(rejected(KEYED, AttemptEnd::Error, 429), Satisfied);
    assert_eq!(rejected(SAFE, AttemptEnd::Reset, 429), Satisfied);
}

#[test]
fn attempts_are_limited_and_no_effect_is_applied_twice() {
    let many = |count: u64| {
        let trace = (0..count).fold(trace().request(0.0, "a", SAFE), |trace, i| {
            let at = 10.0 + 100.0 * i as f64;
            trace
                .attempt(at, i, "a", 0)
                .ended(at + 20.0, i, AttemptEnd::Reset)
        });
        trace.rule(2).verdict
    };
    assert_eq!((many(3), many(4)), (Satisfied, Violated));
    let twice = retried(KEYED, AttemptEnd::Reset, 120.0).effect(99.0, 1);
    assert_eq!(twice.rule(2).verdict, Violated);
}

/// Guards against changed and invented requests: a node must receive what the client sent, and no
/// request that no client sent.
#[test]
fn a_node_receives_what_the_client_sent() {
    let received = |fingerprint| {
        let event = EventKind::AttemptReceived {
            attempt: 1,
            node: 0,
            proxy: 0,
            id: "a".into(),
            key: None,
            fingerprint,
            first_byte_at: 5.0,
            complete: true,
            work: 1.0,
        };
        let trace =
            trace()
                .request(0.0, "a", SAFE)
                .event(5.0, event)
                .ended(50.0, 1, AttemptEnd::Served);
        trace.response(52.0, "a", 200, Some(1)).rule(2)
    };
    assert_eq!(received(FINGERPRINT).verdict, NotExercised);
    let changed = received(FINGERPRINT + 1);
    assert_eq!(
        (changed.verdict, changed.violations[0].trace_lines.clone()),
        (Violated, vec![2, 3])
    );
    let unknown = trace()
        .served(0.0, 1, "a", SAFE, 0)
        .attempt(60.0, 2, "hidden", 0)
        .ended(70.0, 2, AttemptEnd::Served);
    assert_eq!(unknown.rule(2).verdict, Violated);
}

// ---- Rule 3 -------------------------------------------------------------------------------------

#[test]
fn sends_are_allowed_until_the_end_of_the_drain_grace() {
    let sent = |after: f64| {
        let trace =
            trace()
                .served(0.0, 1, "a", SAFE, 3)
                .notified(1000.0, 0, 3, Health::Draining, None);
        trace.served(1000.0 + after - 2.0, 2, "b", SAFE, 3).rule(3)
    };
    let last = sent(DRAIN_GRACE);
    assert_eq!(
        (last.verdict, last.margin, last.tested),
        (Satisfied, Some(0.0), 1)
    );
    assert_eq!(sent(DRAIN_GRACE + 1.0).verdict, Violated);
}

#[test]
fn a_drain_applies_to_the_notified_proxy_until_cancelled() {
    let drained = || {
        trace()
            .served(0.0, 1, "a", SAFE, 3)
            .notified(1000.0, 0, 3, Health::Draining, None)
    };
    let other = |trace: TraceBuilder| {
        trace
            .request(2000.0, "b", SAFE)
            .attempt_from(1, 2002.0, 2, "b", 3, 10.0)
            .ended(2050.0, 2, AttemptEnd::Served)
    };
    assert_eq!(other(drained()).rule(3).verdict, Satisfied);
    let elsewhere = drained().served(2000.0, 2, "b", SAFE, 4);
    assert_eq!(elsewhere.rule(3).verdict, Satisfied);
    // A removal after the drain does not start a new grace; an update to up cancels the drain.
    let removed = drained().notified(1500.0, 0, 3, Health::Removed, None);
    assert_eq!(
        removed.served(1700.0, 2, "b", SAFE, 3).rule(3).verdict,
        Violated
    );
    let up_again = drained().notified(1500.0, 0, 3, Health::Up, Some(1400.0));
    assert_eq!(
        up_again.served(1900.0, 2, "b", SAFE, 3).rule(3).verdict,
        Satisfied
    );
}

#[test]
fn a_send_counts_from_its_first_byte_complete_or_not() {
    let incomplete = |first_byte_at| {
        let event = EventKind::AttemptReceived {
            attempt: 2,
            node: 3,
            proxy: 0,
            id: String::new(),
            key: None,
            fingerprint: 0,
            first_byte_at,
            complete: false,
            work: 0.0,
        };
        trace()
            .served(0.0, 1, "a", SAFE, 3)
            .notified(1000.0, 0, 3, Health::Removed, None)
            .event(2000.0, event)
    };
    assert_eq!(incomplete(1540.0).rule(3).verdict, Satisfied);
    assert_eq!(incomplete(1560.0).rule(3).verdict, Violated);
}

/// Guards the rule for sources that disagree: another source cancels a drain only with a newer
/// instance of the node.
#[test]
fn a_drain_is_not_cancelled_by_another_source() {
    let drained = || {
        trace()
            .served(0.0, 1, "a", SAFE, 3)
            .notified_by(1, 1000.0, 0, 3, Health::Draining, None)
    };
    let other = drained()
        .notified_by(0, 1200.0, 0, 3, Health::Up, None)
        .served(2000.0, 2, "b", SAFE, 3);
    assert_eq!(other.rule(3).verdict, Violated);
    let cancelled = drained()
        .notified_by(1, 1200.0, 0, 3, Health::Up, None)
        .served(2000.0, 2, "b", SAFE, 3);
    assert_eq!(cancelled.rule(3).verdict, Satisfied);
    let newer = drained()
        .notified_by(0, 1800.0, 0, 3, Health::Up, Some(1700.0))
        .served(2000.0, 2, "b", SAFE, 3);
    assert_eq!(newer.rule(3).verdict, Satisfied);
}

/// Guards the rule for an agent with an outdated list: an update with a lower version than the
/// drain's does not cancel the drain, one with a higher version does.
#[test]
fn a_drain_is_not_cancelled_by_an_older_version() {
    let notify = |trace: TraceBuilder, at, health, version| {
        trace.event(
            at,
            EventKind::NodeUpdate {
                proxy: 0,
                node: 3,
                health,
                started_at: None,
                source: 0,
                version,
            },
        )
    };
    let drained = || {
        notify(
            trace().served(0.0, 1, "a", SAFE, 3),
            1000.0,
            Health::Draining,
            9,
        )
    };
    let sent = |trace: TraceBuilder| trace.served(2000.0, 2, "b", SAFE, 3).rule(3).verdict;
    assert_eq!(sent(notify(drained(), 1200.0, Health::Up, 8)), Violated);
    assert_eq!(sent(notify(drained(), 1200.0, Health::Up, 10)), Satisfied);
    // After a repetition of the drain with a later version, only a version above that one cancels
    // it.
    let again = || notify(drained(), 1100.0, Health::Draining, 12);
    assert_eq!(sent(notify(again(), 1200.0, Health::Up, 11)), Violated);
}

/// Guards the rule for undelivered notifications: a proxy counts as notified of a source's change
/// after 6 s at the latest.
#[test]
fn an_undelivered_drain_counts_after_the_notification_timeout() {
    let due = |health, version| EventKind::NodeUpdateDue {
        proxy: 0,
        node: 3,
        health,
        version,
    };
    let drained = || {
        trace()
            .served(0.0, 1, "a", SAFE, 3)
            .event(1000.0, due(Health::Draining, 2))
    };
    let sent = |trace: TraceBuilder, after| {
        trace
            .served(7000.0 + after - 2.0, 2, "b", SAFE, 3)
            .rule(3)
            .verdict
    };
    assert_eq!(sent(drained(), DRAIN_GRACE), Satisfied);
    assert_eq!(sent(drained(), DRAIN_GRACE + 1.0), Violated);
    // A drain delivered earlier counts from its delivery; a delivered update to up cancels it.
    let notify = EventKind::NodeUpdate {
        proxy: 0,
        node: 3,
        health: Health::Draining,
        started_at: None,
        source: 0,
        version: 2,
    };
    assert_eq!(sent(drained().event(5000.0, notify), 0.0), Violated);
    let up_again = EventKind::NodeUpdate {
        proxy: 0,
        node: 3,
        health: Health::Up,
        started_at: None,
        source: 0,
        version: 3,
    };
    assert_eq!(
        sent(
            drained()
                .event(5000.0, due(Health::Up, 3))
                .event(7200.0, up_again),
            DRAIN_GRACE + 500.0
        ),
        Satisfied
    );
}

#[test]
fn a_drain_of_an_unused_node_exercises_nothing() {
    assert_eq!(
        trace()
            .notified(1000.0, 0, 3, Health::Draining, None)
            .rule(3)
            .verdict,
        NotExercised
    );
    let unused =
        trace()
            .served(0.0, 1, "a", SAFE, 4)
            .notified(1000.0, 0, 3, Health::Draining, None);
    assert_eq!(
        unused.served(2000.0, 2, "b", SAFE, 4).rule(3).verdict,
        NotExercised
    );
    let last = trace()
        .served(0.0, 1, "a", SAFE, 3)
        .notified(1000.0, 0, 3, Health::Draining, None);
    assert_eq!(last.rule(3).verdict, Satisfied);
}

// ---- Rule 4 -------------------------------------------------------------------------------------

/// A node of two cores at a quarter of its capacity, with both proxies notified, and `count`
/// attempts of 100 ms of work at one time right after its start. Its budget is 3 x 0.5 x 1500 + 100
/// = 2350 ms.
fn warming_node(count: u64, from: impl Fn(u64) -> u32) -> TraceBuilder {
    let up = NodeState::Up {
        cores: 2.0,
        initial_capacity: 0.25,
        warmup_ms: 1e9,
    };
    let trace = trace()
        .event(1000.0, EventKind::Node { node: 5, state: up })
        .notified(1001.0, 0, 5, Health::Up, Some(1000.0))
        .notified(1001.0, 1, 5, Health::Up, Some(1000.0));
    (0..count).fold(trace, |trace, i| {
        let id = format!("c{i}");
        trace
            .request(1010.0, &id, SAFE)
            .attempt_from(from(i), 1100.0, 100 + i, &id, 5, 100.0)
            .ended(1200.0, 100 + i, AttemptEnd::Rejected)
    })
}

#[test]
fn work_above_the_budget_of_a_warming_node_is_a_violation() {
    assert_eq!(
        warming_node(23, |i| (i % 2) as u32).rule(4).verdict,
        Satisfied
    );
    assert_eq!(
        warming_node(24, |i| (i % 2) as u32).rule(4).verdict,
        Violated
    );
    // Too few attempts do not exercise the rule.
    assert_eq!(warming_node(4, |_| 0).rule(4).verdict, NotExercised);
}

#[test]
fn work_from_proxies_not_notified_is_no_violation() {
    // Proxy 2 was never notified; with more than a third of the work from it there is no violation.
    assert_eq!(
        warming_node(24, |i| if i % 2 == 0 { 2 } else { 0 })
            .rule(4)
            .verdict,
        Satisfied
    );
    assert_eq!(
        warming_node(30, |i| if i % 10 == 0 { 2 } else { 0 })
            .rule(4)
            .verdict,
        Violated
    );
}

#[test]
fn work_before_the_window_does_not_count() {
    let two = |gap: f64| {
        (0..15).fold(warming_node(15, |_| 0), |trace, i| {
            let id = format!("d{i}");
            let at = 1100.0 + gap;
            trace
                .request(at - 5.0, &id, SAFE)
                .attempt_from(0, at, 200 + i, &id, 5, 100.0)
                .ended(at + 10.0, 200 + i, AttemptEnd::Served)
        })
    };
    assert_eq!(two(1400.0).rule(4).verdict, Violated);
    assert_eq!(two(1600.0).rule(4).verdict, Satisfied);
}

// ---- Rule 5 -------------------------------------------------------------------------------------

/// `units` requests of one unit at once for a customer with a rate limit of 40 units burst and 20
/// units per second; 4 + 3 units below zero are allowed.
fn rate_limited(units: u64) -> TraceBuilder {
    (0..units).fold(trace(), |trace, i| {
        let id = format!("u{i}");
        trace
            .request_of(0.0, &id, SAFE, 1, 9, 1.0)
            .attempt_from((i % 2) as u32, 10.0, i, &id, 0, 1.0)
            .ended(20.0, i, AttemptEnd::Served)
    })
}

#[test]
fn a_rate_limit_applies_to_all_proxies_together_with_its_slack() {
    assert_eq!(rate_limited(15).rule(5).verdict, NotExercised);
    let last = rate_limited(47).rule(5);
    assert_eq!((last.verdict, last.margin), (Satisfied, Some(0.0)));
    assert_eq!(rate_limited(48).rule(5).verdict, Violated);
}

#[test]
fn a_rate_limit_refills_and_counts_each_request_once() {
    let later = |at: f64| {
        (0..20).fold(rate_limited(40), |trace, i| {
            let id = format!("v{i}");
            trace
                .request_of(at, &id, SAFE, 1, 9, 1.0)
                .attempt_from(0, at + 10.0, 100 + i, &id, 0, 1.0)
                .ended(at + 20.0, 100 + i, AttemptEnd::Served)
        })
    };
    assert_eq!(later(500.0).rule(5).verdict, Violated);
    assert_eq!(later(1000.0).rule(5).verdict, Satisfied);
    // A second attempt of a request takes no units.
    let again = (0..40).fold(rate_limited(40), |trace, i| {
        trace
            .attempt_from(0, 30.0, 300 + i, &format!("u{i}"), 0, 1.0)
            .ended(40.0, 300 + i, AttemptEnd::Served)
    });
    assert_eq!(again.rule(5).verdict, Satisfied);
}

// ---- The whole evaluation -----------------------------------------------------------------------

#[test]
fn late_test_servers_invalidate_a_run() {
    let invalid_reason_for = |p99_ms, max_ms| {
        let lateness = EventKind::Lateness {
            actions: 100,
            p50_ms: 0.5,
            p99_ms,
            max_ms,
        };
        let events = vec![Event {
            at: 1.0,
            kind: lateness,
        }];
        maplefall_invariants::evaluate(&Trace {
            header: header(),
            events,
        })
        .invalid_reason
    };
    assert_eq!(
        invalid_reason_for(
            maplefall_invariants::MAX_LATENESS_P99,
            maplefall_invariants::MAX_LATENESS
        ),
        None
    );
    assert!(invalid_reason_for(maplefall_invariants::MAX_LATENESS_P99 + 0.1, 20.0).is_some());
    assert!(invalid_reason_for(1.0, maplefall_invariants::MAX_LATENESS + 1.0).is_some());
    let without_lateness = maplefall_invariants::evaluate(&Trace {
        header: header(),
        events: Vec::new(),
    });
    assert!(without_lateness.invalid_reason.is_some());
}

#[test]
fn value_counts_within_the_quota_and_the_latency_target() {
    // The bucket holds 20 units: the 21st concurrent request exceeds the quota and offers no value.
    let trace = (0..21).fold(trace(), |trace, i| {
        let id = format!("w{i}");
        let trace = trace.request(0.0, &id, SAFE).attempt(5.0, i, &id, 0);
        if i < 10 {
            trace
                .ended(30.0, i, AttemptEnd::Served)
                .response(40.0, &id, 200, Some(i))
        } else {
            trace
                .ended(30.0, i, AttemptEnd::Rejected)
                .response(40.0, &id, 429, None)
        }
    });
    let metrics = trace.evaluate().metrics;
    assert_eq!(
        (
            metrics.requests,
            metrics.served,
            metrics.rejected_without_retry_after
        ),
        (21, 10, 11)
    );
    assert!(
        (metrics.value_share - 0.5).abs() < 1e-9,
        "{}",
        metrics.value_share
    );
}

// ---- Rule 6 -------------------------------------------------------------------------------------

fn credential(trace: TraceBuilder, at: f64, customer: u64) -> TraceBuilder {
    trace.event(
        at,
        EventKind::Credential {
            customer,
            passes: false,
        },
    )
}

#[test]
fn without_authentication_rule_six_is_not_exercised() {
    assert_eq!(
        trace().served(100.0, 1, "a", UNSAFE, 0).rule(6).verdict,
        NotExercised
    );
}

#[test]
fn nothing_is_forwarded_with_an_invalid_credential() {
    let denied = credential(trace(), 0.0, 7)
        .request(100.0, "a", UNSAFE)
        .response(120.0, "a", 401, None)
        .rule(6);
    assert_eq!((denied.verdict, denied.tested), (Satisfied, 1));
    let sent = credential(trace(), 0.0, 7)
        .served(100.0, 1, "a", UNSAFE, 0)
        .rule(6);
    assert_eq!(
        (sent.verdict, sent.violations[0].request.as_str()),
        (Violated, "a")
    );
    // The class may be forwarded without authentication.
    assert_eq!(
        credential(trace(), 0.0, 7)
            .served(100.0, 1, "a", SAFE, 0)
            .rule(6)
            .verdict,
        Satisfied
    );
    // The request of another customer is forwarded.
    assert_eq!(
        credential(trace(), 0.0, 8)
            .served(100.0, 1, "a", UNSAFE, 0)
            .rule(6)
            .verdict,
        NotExercised
    );
}

#[test]
fn a_revoked_credential_is_forwarded_only_while_decisions_are_cached() {
    // The limit is 500 ms, plus 50 ms for the sockets, plus 25 ms of unknown order.
    for (late, verdict) in [(570.0, Satisfied), (580.0, Violated)] {
        let before = credential(trace().served(100.0, 1, "a", UNSAFE, 0), 1000.0, 7);
        let result = before
            .served(1000.0 + late - 2.0, 2, "b", UNSAFE, 0)
            .rule(6);
        assert_eq!(result.verdict, verdict, "{late}");
    }
    // Without an earlier request no decision is cached.
    assert_eq!(
        credential(trace(), 1000.0, 7)
            .served(1100.0, 1, "a", UNSAFE, 0)
            .rule(6)
            .verdict,
        Violated
    );
}

#[test]
fn a_valid_credential_is_not_denied() {
    let trace = credential(trace(), 0.0, 8)
        .request(100.0, "a", SAFE)
        .response(120.0, "a", 401, None);
    assert_eq!(trace.rule(6).verdict, Violated);
}

// ---- Rule 7 -------------------------------------------------------------------------------------

/// `units` requests of one unit at once for a customer with a quota of 20 units burst and 10 units
/// per second. Counts are shared with a delay of two seconds: one more burst and 20 units below
/// zero are allowed.
fn shared_quota(units: u64) -> TraceBuilder {
    let mut trace = (0..units).fold(trace(), |trace, i| {
        let id = format!("q{i}");
        trace
            .request(0.0, &id, SAFE)
            .attempt(20.0, i, &id, 0)
            .ended(30.0, i, AttemptEnd::Served)
            .response(40.0, &id, 200, Some(i))
    });
    trace.header.rules.sharing_delay_ms = 2000.0;
    trace
}

#[test]
fn a_shared_quota_applies_to_all_proxies_with_its_stated_error() {
    let plan = header().plans[0].clone();
    let allowed = (2.0 * plan.burst + plan.rate * 2.0) as u64;
    assert_eq!(shared_quota(1).rule(7).verdict, NotExercised);
    let last = shared_quota(allowed).rule(7);
    assert_eq!((last.verdict, last.margin), (Satisfied, Some(0.0)));
    assert_eq!(shared_quota(allowed + 1).rule(7).verdict, Violated);
    // Without shared counts the rule does not apply.
    let mut alone = shared_quota(allowed + 1);
    alone.header.rules.sharing_delay_ms = 0.0;
    assert_eq!(alone.rule(7).verdict, NotExercised);
}
