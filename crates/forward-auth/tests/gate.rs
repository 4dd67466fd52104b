//! Single scenarios of the gate: each rule and its edge cases.

use maplefall_forward_auth::{
    Decision, Failure, Gate, Key, KeyHasher, Output, RejectReason, Settings, Verdict,
};
use maplefall_policy::Idempotency;
use std::rc::Rc;

fn key(caller: &str) -> Key {
    KeyHasher::new([1; 16]).key([Some(caller.as_bytes())])
}

fn settings() -> Settings {
    Settings {
        share: 0.5,
        reserved_time: 100.0,
        check_timeout: 400.0,
        ..Settings::defaults(2, 3)
    }
}

fn verdict(passes: bool, keep: f64) -> Verdict<&'static str> {
    Verdict {
        passes,
        response: Rc::new(if passes { "yes" } else { "no" }),
        bytes: 100,
        ttl: Some(keep),
    }
}

/// Outputs by kind: checks as (check, attempt, server, deadline), decisions as (request, decision),
/// and cancelled checks.
#[derive(Debug, Default)]
struct Outputs {
    checks: Vec<(u64, u32, usize, f64)>,
    decided: Vec<(u64, Decision<&'static str>)>,
    cancelled: Vec<u64>,
}

fn drain_outputs(gate: &mut Gate<&'static str>) -> Outputs {
    let mut found = Outputs::default();
    while let Some(output) = gate.output() {
        match output {
            Output::Check {
                check,
                attempt,
                server,
                deadline,
                ..
            } => {
                found.checks.push((check, attempt, server, deadline));
            }
            Output::Decided { request, decision } => found.decided.push((request, decision)),
            Output::Cancel { check } => found.cancelled.push(check),
        }
    }
    found
}

fn submit(
    gate: &mut Gate<&'static str>,
    now: f64,
    request: u64,
    caller: &str,
    deadline: f64,
) -> Outputs {
    gate.submit(now, request, key(caller), 0, deadline);
    drain_outputs(gate)
}

#[test]
fn verdict_is_cached_per_caller_for_its_ttl_up_to_the_maximum() {
    let mut gate = Gate::new(Settings {
        max_ttl: [1000.0, 200.0],
        ..settings()
    });
    let outputs = submit(&mut gate, 0.0, 1, "ana", 2000.0);
    assert_eq!(outputs.checks, [(1, 0, 0, 400.0)]);
    gate.verdict_received(10.0, 1, 0, verdict(true, 1e9));
    assert_eq!(
        drain_outputs(&mut gate).decided,
        [(1, Decision::Pass(Rc::new("yes")))]
    );
    assert_eq!(
        submit(&mut gate, 1009.0, 2, "ana", 9000.0).decided,
        [(2, Decision::Pass(Rc::new("yes")))]
    );
    assert_eq!(
        submit(&mut gate, 1009.0, 3, "eva", 9000.0).checks.len(),
        1,
        "another caller is checked"
    );
    assert_eq!(
        submit(&mut gate, 1010.0, 4, "ana", 9000.0).checks.len(),
        1,
        "the verdict has expired"
    );
    // Denials are cached for a shorter maximum time than passes; a verdict with a TTL of 0 is not
    // cached.
    gate.verdict_received(1020.0, 2, 0, verdict(false, 1e9));
    gate.verdict_received(1020.0, 3, 0, verdict(true, 0.0));
    assert_eq!(drain_outputs(&mut gate).decided.len(), 2);
    assert_eq!(
        submit(&mut gate, 1219.0, 5, "eva", 9000.0).decided,
        [(5, Decision::Deny(Rc::new("no")))]
    );
    assert_eq!(submit(&mut gate, 1220.0, 6, "eva", 9000.0).checks.len(), 1);
    assert_eq!(submit(&mut gate, 1220.0, 7, "ana", 9000.0).checks.len(), 1);
    gate.verdict_received(1230.0, 4, 0, verdict(true, 1e9));
    drain_outputs(&mut gate);
    gate.clear_cache();
    assert_eq!(
        submit(&mut gate, 1231.0, 8, "eva", 9000.0).checks.len(),
        1,
        "the cache was cleared"
    );
}

#[test]
fn requests_that_share_a_check_survive_a_failed_attempt_and_the_first_requests_cancellation() {
    let mut gate = Gate::new(settings());
    for request in 0..2000 {
        let outputs = submit(&mut gate, 0.0, request, "ana", 5000.0);
        assert_eq!(outputs.checks.len(), usize::from(request == 0));
    }
    gate.cancel(1.0, 0);
    assert!(drain_outputs(&mut gate).checks.is_empty());
    gate.check_failed(2.0, 1, 0, Failure::Server);
    let retried = drain_outputs(&mut gate);
    assert_eq!(
        (retried.checks[0].1, retried.checks[0].2),
        (1, 1),
        "retried at the other server"
    );
    // A verdict of the failed attempt is ignored.
    gate.verdict_received(3.0, 1, 0, verdict(false, 0.0));
    assert!(drain_outputs(&mut gate).decided.is_empty());
    gate.verdict_received(4.0, 1, 1, verdict(true, 0.0));
    let decided = drain_outputs(&mut gate).decided;
    assert_eq!(decided.len(), 1999);
    assert!(decided
        .iter()
        .all(|(_, decision)| matches!(decision, Decision::Pass(_))));
}

#[test]
fn request_with_too_little_time_is_rejected_at_once() {
    let mut gate = Gate::new(settings());
    assert_eq!(
        submit(&mut gate, 0.0, 1, "ana", 90.0).decided,
        [(1, Decision::Reject(RejectReason::TooLittleTime))]
    );
    submit(&mut gate, 0.0, 2, "ana", 5000.0);
    gate.verdict_received(300.0, 1, 0, verdict(true, 0.0));
    drain_outputs(&mut gate);
    // The average latency is 300 ms, so a request that may wait for half of its 500 ms is rejected
    // without waiting.
    assert_eq!(
        submit(&mut gate, 400.0, 3, "eva", 900.0).decided,
        [(3, Decision::Reject(RejectReason::TooLittleTime))]
    );
    assert_eq!(submit(&mut gate, 400.0, 4, "eva", 1100.0).checks.len(), 1);
    // A check of this caller is in flight, so a request may join it with less time than the average
    // latency.
    assert!(submit(&mut gate, 600.0, 5, "eva", 1000.0)
        .decided
        .is_empty());
}

#[test]
fn request_is_decided_when_its_budget_ends_and_a_late_verdict_is_cached() {
    let mut gate = Gate::new(Settings {
        max_attempts: 1,
        ..settings()
    });
    submit(&mut gate, 0.0, 1, "ana", 300.0);
    assert_eq!(
        gate.next_deadline(),
        Some(150.0),
        "half of the time until its deadline"
    );
    gate.tick(149.0);
    assert!(drain_outputs(&mut gate).decided.is_empty());
    gate.tick(150.0);
    assert_eq!(
        drain_outputs(&mut gate).decided,
        [(1, Decision::Reject(RejectReason::CheckFailed))]
    );
    gate.verdict_received(170.0, 1, 0, verdict(true, 5000.0));
    assert!(
        drain_outputs(&mut gate).decided.is_empty(),
        "the request is decided already"
    );
    assert_eq!(
        submit(&mut gate, 180.0, 2, "ana", 5000.0).decided,
        [(2, Decision::Pass(Rc::new("yes")))]
    );
}

#[test]
fn failure_on_a_reused_connection_is_retried_once_and_not_counted_against_the_server() {
    let mut gate = Gate::new(Settings {
        max_attempts: 1,
        failures: 1,
        servers: 1,
        ..settings()
    });
    submit(&mut gate, 0.0, 1, "ana", 5000.0);
    gate.check_failed(1.0, 1, 0, Failure::ReusedConnection);
    assert_eq!(
        drain_outputs(&mut gate).checks,
        [(1, 1, 0, 401.0)],
        "retried on another connection"
    );
    gate.check_failed(2.0, 1, 1, Failure::ReusedConnection);
    assert_eq!(
        drain_outputs(&mut gate).decided,
        [(1, Decision::Reject(RejectReason::CheckFailed))],
        "the second such failure counts"
    );
    assert_eq!(
        submit(&mut gate, 3.0, 2, "ana", 5000.0).checks.len(),
        1,
        "the server is not blocked"
    );
}

#[test]
fn failing_server_is_blocked_and_then_probed_by_one_check() {
    let mut gate = Gate::new(Settings {
        max_attempts: 1,
        failures: 2,
        servers: 1,
        backoff: [1000.0, 4000.0],
        ..settings()
    });
    for request in 1..=3 {
        submit(&mut gate, 0.0, request, &format!("c{request}"), 5000.0);
    }
    gate.check_failed(10.0, 1, 0, Failure::Server);
    gate.check_failed(10.0, 2, 0, Failure::Server);
    drain_outputs(&mut gate);
    // The server is blocked while the third check is in flight; the failure of this check does not
    // extend the backoff.
    assert_eq!(
        submit(&mut gate, 11.0, 4, "c4", 5000.0).decided,
        [(4, Decision::Reject(RejectReason::NoServer))]
    );
    gate.check_failed(300.0, 3, 0, Failure::Server);
    drain_outputs(&mut gate);
    let probed_at = (11..3000).find(|now| {
        let outputs = submit(
            &mut gate,
            f64::from(*now),
            1000 + *now as u64,
            "probe",
            f64::from(*now) + 5000.0,
        );
        !outputs.checks.is_empty()
    });
    let probed_at = probed_at.expect("the server is probed");
    assert!(
        (510..=1010).contains(&probed_at),
        "the backoff, with its jitter: {probed_at}"
    );
    let now = f64::from(probed_at);
    assert_eq!(
        submit(&mut gate, now, 5, "c5", now + 5000.0).decided,
        [(5, Decision::Reject(RejectReason::NoServer))]
    );
    let check = 4;
    gate.verdict_received(now + 5.0, check, 0, verdict(false, 0.0));
    drain_outputs(&mut gate);
    assert_eq!(
        submit(&mut gate, now + 6.0, 6, "c6", now + 5000.0)
            .checks
            .len(),
        1,
        "any verdict shows that the server is healthy"
    );
}

#[test]
fn server_that_never_responds_is_avoided() {
    let mut gate = Gate::new(Settings {
        failures: 3,
        check_timeout: 100.0,
        ..settings()
    });
    let mut sent_to_unresponsive = 0;
    for request in 0..40 {
        let now = f64::from(request) * 10.0;
        let outputs = submit(
            &mut gate,
            now,
            u64::from(request as u32),
            &format!("c{request}"),
            now + 5000.0,
        );
        for (check, attempt, server, _) in outputs.checks {
            sent_to_unresponsive += u32::from(server == 0);
            if server == 1 {
                gate.verdict_received(now + 1.0, check, attempt, verdict(true, 0.0));
            }
        }
        gate.tick(now + 9.0);
        for (check, attempt, server, _) in drain_outputs(&mut gate).checks {
            sent_to_unresponsive += u32::from(server == 0);
            if server == 1 {
                gate.verdict_received(now + 9.0, check, attempt, verdict(true, 0.0));
            }
        }
        drain_outputs(&mut gate);
    }
    // At most one check at a time hangs at server 0: further checks go to server 1, which has fewer
    // in flight.
    assert!(
        sent_to_unresponsive <= 4,
        "{sent_to_unresponsive} of 40 were sent to server 0"
    );
}

#[test]
fn earliest_deadline_is_sent_first_and_waiting_is_bounded() {
    let mut gate = Gate::new(Settings {
        max_in_flight: 1,
        max_waiting: 3,
        ..settings()
    });
    submit(&mut gate, 0.0, 1, "first", 5000.0);
    submit(&mut gate, 0.0, 2, "later", 4000.0);
    submit(&mut gate, 0.0, 3, "sooner", 3000.0);
    assert_eq!(
        submit(&mut gate, 0.0, 4, "more", 5000.0).decided,
        [(4, Decision::Reject(RejectReason::TooManyWaiting))]
    );
    gate.verdict_received(5.0, 1, 0, verdict(true, 0.0));
    assert_eq!(
        drain_outputs(&mut gate).checks[0].0,
        3,
        "the check with the earlier deadline"
    );
    // Check 2, with the later deadline, is sent last.
    gate.verdict_received(6.0, 3, 0, verdict(true, 0.0));
    assert_eq!(drain_outputs(&mut gate).checks[0].0, 2);
}

#[test]
fn failing_open_is_per_class_and_invalid_for_non_idempotent_classes() {
    let fail_open_settings = Settings {
        fail_open: vec![true, false, true],
        servers: 1,
        failures: 1,
        max_attempts: 1,
        ..settings()
    };
    let invalid = fail_open_settings.mistakes(&[
        Idempotency::Idempotent,
        Idempotency::Idempotent,
        Idempotency::NonIdempotent,
    ]);
    assert_eq!(
        invalid
            .iter()
            .map(|setting| setting.field.as_str())
            .collect::<Vec<_>>(),
        ["fail_open.2"]
    );
    assert_eq!(
        Settings {
            fail_open: vec![true, false, false],
            ..fail_open_settings.clone()
        }
        .mistakes(&[Idempotency::NonIdempotent; 0]),
        []
    );
    let mut gate = Gate::new(fail_open_settings);
    gate.submit(0.0, 1, key("ana"), 0, 5000.0);
    gate.submit(0.0, 2, key("ana"), 1, 5000.0);
    drain_outputs(&mut gate);
    gate.check_failed(1.0, 1, 0, Failure::Server);
    let decided = drain_outputs(&mut gate).decided;
    assert_eq!(
        decided[0],
        (1, Decision::PassUnchecked(RejectReason::CheckFailed))
    );
    assert_eq!(decided[1], (2, Decision::Reject(RejectReason::CheckFailed)));
    assert_eq!(gate.counts().unchecked, 1);
}

#[test]
fn cache_is_bounded_and_evicts_the_verdicts_that_expire_first() {
    let mut gate = Gate::new(Settings {
        cache_bytes: 600,
        max_in_flight: 100,
        ..settings()
    });
    for request in 0..4u64 {
        submit(&mut gate, 0.0, request, &format!("c{request}"), 5000.0);
    }
    for check in 1..=4u64 {
        gate.verdict_received(1.0, check, 0, verdict(true, 1000.0 * check as f64));
        assert!(gate.cached_bytes() <= 600);
    }
    drain_outputs(&mut gate);
    // Two entries of 260 bytes each fit into the cache, which keeps those that expire last.
    assert_eq!(submit(&mut gate, 2.0, 10, "c3", 5000.0).decided.len(), 1);
    assert_eq!(submit(&mut gate, 2.0, 11, "c2", 5000.0).decided.len(), 1);
    assert_eq!(submit(&mut gate, 2.0, 12, "c0", 5000.0).checks.len(), 1);
    // A verdict larger than the whole cache is not stored.
    gate.verdict_received(
        3.0,
        5,
        0,
        Verdict {
            bytes: 1000,
            ..verdict(true, 9000.0)
        },
    );
    drain_outputs(&mut gate);
    assert_eq!(submit(&mut gate, 4.0, 13, "c0", 5000.0).checks.len(), 1);
}
