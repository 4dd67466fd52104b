//! The gate by hand: each rule, and the hard cases.

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

/// What came out: questions as (check, try, server, until), decisions as (request, decision), questions called off.
#[derive(Debug, Default)]
struct Out {
    checks: Vec<(u64, u32, usize, f64)>,
    decided: Vec<(u64, Decision<&'static str>)>,
    off: Vec<u64>,
}

fn out(gate: &mut Gate<&'static str>) -> Out {
    let mut found = Out::default();
    while let Some(output) = gate.output() {
        match output {
            Output::Check {
                check,
                attempt,
                server,
                deadline: until,
                ..
            } => {
                found.checks.push((check, attempt, server, until));
            }
            Output::Decided { request, decision } => found.decided.push((request, decision)),
            Output::Cancel { check } => found.off.push(check),
        }
    }
    found
}

fn ask(gate: &mut Gate<&'static str>, now: f64, request: u64, caller: &str, deadline: f64) -> Out {
    gate.submit(now, request, key(caller), 0, deadline);
    out(gate)
}

#[test]
fn a_verdict_is_kept_for_its_caller_and_its_time_within_the_upper_bound() {
    let mut gate = Gate::new(Settings {
        max_ttl: [1000.0, 200.0],
        ..settings()
    });
    let asked = ask(&mut gate, 0.0, 1, "ana", 2000.0);
    assert_eq!(asked.checks, [(1, 0, 0, 400.0)]);
    gate.verdict_received(10.0, 1, 0, verdict(true, 1e9));
    assert_eq!(
        out(&mut gate).decided,
        [(1, Decision::Pass(Rc::new("yes")))]
    );
    assert_eq!(
        ask(&mut gate, 1009.0, 2, "ana", 9000.0).decided,
        [(2, Decision::Pass(Rc::new("yes")))]
    );
    assert_eq!(
        ask(&mut gate, 1009.0, 3, "eva", 9000.0).checks.len(),
        1,
        "another caller is asked for"
    );
    assert_eq!(
        ask(&mut gate, 1010.0, 4, "ana", 9000.0).checks.len(),
        1,
        "its time is over"
    );
    // A denial is kept for shorter; what must not be stored is not.
    gate.verdict_received(1020.0, 2, 0, verdict(false, 1e9));
    gate.verdict_received(1020.0, 3, 0, verdict(true, 0.0));
    assert_eq!(out(&mut gate).decided.len(), 2);
    assert_eq!(
        ask(&mut gate, 1219.0, 5, "eva", 9000.0).decided,
        [(5, Decision::Deny(Rc::new("no")))]
    );
    assert_eq!(ask(&mut gate, 1220.0, 6, "eva", 9000.0).checks.len(), 1);
    assert_eq!(ask(&mut gate, 1220.0, 7, "ana", 9000.0).checks.len(), 1);
    gate.verdict_received(1230.0, 4, 0, verdict(true, 1e9));
    out(&mut gate);
    gate.clear_cache();
    assert_eq!(
        ask(&mut gate, 1231.0, 8, "eva", 9000.0).checks.len(),
        1,
        "forgotten at the operator's word"
    );
}

#[test]
fn two_thousand_wait_for_one_question_and_lose_nothing_when_its_server_resets_or_its_asker_leaves()
{
    let mut gate = Gate::new(settings());
    for request in 0..2000 {
        let asked = ask(&mut gate, 0.0, request, "ana", 5000.0);
        assert_eq!(asked.checks.len(), usize::from(request == 0));
    }
    gate.cancel(1.0, 0);
    assert!(out(&mut gate).checks.is_empty());
    gate.check_failed(2.0, 1, 0, Failure::Server);
    let again = out(&mut gate);
    assert_eq!(
        (again.checks[0].1, again.checks[0].2),
        (1, 1),
        "asked again, at the other server"
    );
    // What the first try still says is of no account.
    gate.verdict_received(3.0, 1, 0, verdict(false, 0.0));
    assert!(out(&mut gate).decided.is_empty());
    gate.verdict_received(4.0, 1, 1, verdict(true, 0.0));
    let decided = out(&mut gate).decided;
    assert_eq!(decided.len(), 1999);
    assert!(decided
        .iter()
        .all(|(_, decision)| matches!(decision, Decision::Pass(_))));
}

#[test]
fn too_short_a_time_is_refused_at_once() {
    let mut gate = Gate::new(settings());
    assert_eq!(
        ask(&mut gate, 0.0, 1, "ana", 90.0).decided,
        [(1, Decision::Reject(RejectReason::NoTime))]
    );
    ask(&mut gate, 0.0, 2, "ana", 5000.0);
    gate.verdict_received(300.0, 1, 0, verdict(true, 0.0));
    out(&mut gate);
    // The service usually takes 300 ms: half of 500 is not enough, and there is no use in waiting for that to show.
    assert_eq!(
        ask(&mut gate, 400.0, 3, "eva", 900.0).decided,
        [(3, Decision::Reject(RejectReason::NoTime))]
    );
    assert_eq!(ask(&mut gate, 400.0, 4, "eva", 1100.0).checks.len(), 1);
    // The question is out already: whoever comes may still profit.
    assert!(ask(&mut gate, 600.0, 5, "eva", 1000.0).decided.is_empty());
}

#[test]
fn a_request_is_decided_at_its_budgets_end_and_a_late_verdict_serves_those_to_come() {
    let mut gate = Gate::new(Settings {
        max_attempts: 1,
        ..settings()
    });
    ask(&mut gate, 0.0, 1, "ana", 300.0);
    assert_eq!(gate.next_deadline(), Some(150.0), "half of its time");
    gate.tick(149.0);
    assert!(out(&mut gate).decided.is_empty());
    gate.tick(150.0);
    assert_eq!(
        out(&mut gate).decided,
        [(1, Decision::Reject(RejectReason::CheckFailed))]
    );
    gate.verdict_received(170.0, 1, 0, verdict(true, 5000.0));
    assert!(out(&mut gate).decided.is_empty(), "it has its answer");
    assert_eq!(
        ask(&mut gate, 180.0, 2, "ana", 5000.0).decided,
        [(2, Decision::Pass(Rc::new("yes")))]
    );
}

#[test]
fn a_kept_connection_that_died_while_idle_costs_no_denial_and_no_trust() {
    let mut gate = Gate::new(Settings {
        max_attempts: 1,
        failures: 1,
        servers: 1,
        ..settings()
    });
    ask(&mut gate, 0.0, 1, "ana", 5000.0);
    gate.check_failed(1.0, 1, 0, Failure::ReusedConnection);
    assert_eq!(
        out(&mut gate).checks,
        [(1, 1, 0, 401.0)],
        "asked again on another connection"
    );
    gate.check_failed(2.0, 1, 1, Failure::ReusedConnection);
    assert_eq!(
        out(&mut gate).decided,
        [(1, Decision::Reject(RejectReason::CheckFailed))],
        "once, not for ever"
    );
    assert_eq!(
        ask(&mut gate, 3.0, 2, "ana", 5000.0).checks.len(),
        1,
        "its server is still trusted"
    );
}

#[test]
fn a_dead_service_is_left_alone_and_tried_again_by_one_question() {
    let mut gate = Gate::new(Settings {
        max_attempts: 1,
        failures: 2,
        servers: 1,
        backoff: [1000.0, 4000.0],
        ..settings()
    });
    for request in 1..=3 {
        ask(&mut gate, 0.0, request, &format!("c{request}"), 5000.0);
    }
    gate.check_failed(10.0, 1, 0, Failure::Server);
    gate.check_failed(10.0, 2, 0, Failure::Server);
    out(&mut gate);
    // It opens while the third is out: that one goes on, and says nothing new when it fails.
    assert_eq!(
        ask(&mut gate, 11.0, 4, "c4", 5000.0).decided,
        [(4, Decision::Reject(RejectReason::NoServer))]
    );
    gate.check_failed(300.0, 3, 0, Failure::Server);
    out(&mut gate);
    let from = (11..3000).find(|at| {
        let asked = ask(
            &mut gate,
            f64::from(*at),
            1000 + *at as u64,
            "trial",
            f64::from(*at) + 5000.0,
        );
        !asked.checks.is_empty()
    });
    let from = from.expect("it is tried again");
    assert!(
        (510..=1010).contains(&from),
        "the pause, with its jitter: {from}"
    );
    let at = f64::from(from);
    assert_eq!(
        ask(&mut gate, at, 5, "c5", at + 5000.0).decided,
        [(5, Decision::Reject(RejectReason::NoServer))]
    );
    let check = 4;
    gate.verdict_received(at + 5.0, check, 0, verdict(false, 0.0));
    out(&mut gate);
    assert_eq!(
        ask(&mut gate, at + 6.0, 6, "c6", at + 5000.0).checks.len(),
        1,
        "an answer of any kind shows that it lives"
    );
}

#[test]
fn one_server_that_is_a_black_hole_is_passed_over_for_the_other() {
    let mut gate = Gate::new(Settings {
        failures: 3,
        check_timeout: 100.0,
        ..settings()
    });
    let mut holes = 0;
    for request in 0..40 {
        let now = f64::from(request) * 10.0;
        let asked = ask(
            &mut gate,
            now,
            u64::from(request as u32),
            &format!("c{request}"),
            now + 5000.0,
        );
        for (check, attempt, server, _) in asked.checks {
            holes += u32::from(server == 0);
            if server == 1 {
                gate.verdict_received(now + 1.0, check, attempt, verdict(true, 0.0));
            }
        }
        gate.tick(now + 9.0);
        for (check, attempt, server, _) in out(&mut gate).checks {
            holes += u32::from(server == 0);
            if server == 1 {
                gate.verdict_received(now + 9.0, check, attempt, verdict(true, 0.0));
            }
        }
        out(&mut gate);
    }
    // One hangs there at a time, since the other has fewer out.
    assert!(holes <= 4, "{holes} of 40 went to the hole");
}

#[test]
fn the_earliest_deadline_goes_first_and_waiting_is_bounded() {
    let mut gate = Gate::new(Settings {
        max_in_flight: 1,
        max_waiting: 3,
        ..settings()
    });
    ask(&mut gate, 0.0, 1, "first", 5000.0);
    ask(&mut gate, 0.0, 2, "later", 4000.0);
    ask(&mut gate, 0.0, 3, "sooner", 3000.0);
    assert_eq!(
        ask(&mut gate, 0.0, 4, "more", 5000.0).decided,
        [(4, Decision::Reject(RejectReason::Full))]
    );
    gate.verdict_received(5.0, 1, 0, verdict(true, 0.0));
    assert_eq!(
        out(&mut gate).checks[0].0,
        3,
        "the one whose deadline is nearer"
    );
    // Whoever has less time puts the question that it shares forward.
    gate.verdict_received(6.0, 3, 0, verdict(true, 0.0));
    assert_eq!(out(&mut gate).checks[0].0, 2);
}

#[test]
fn failing_open_is_by_class_and_never_for_one_that_must_not_run_twice() {
    let open = Settings {
        fail_open: vec![true, false, true],
        servers: 1,
        failures: 1,
        max_attempts: 1,
        ..settings()
    };
    let wrong = open.mistakes(&[
        Idempotency::Idempotent,
        Idempotency::Idempotent,
        Idempotency::NonIdempotent,
    ]);
    assert_eq!(
        wrong
            .iter()
            .map(|wrong| wrong.field.as_str())
            .collect::<Vec<_>>(),
        ["fail_open.2"]
    );
    assert_eq!(
        Settings {
            fail_open: vec![true, false, false],
            ..open.clone()
        }
        .mistakes(&[Idempotency::NonIdempotent; 0]),
        []
    );
    let mut gate = Gate::new(open);
    gate.submit(0.0, 1, key("ana"), 0, 5000.0);
    gate.submit(0.0, 2, key("ana"), 1, 5000.0);
    out(&mut gate);
    gate.check_failed(1.0, 1, 0, Failure::Server);
    let decided = out(&mut gate).decided;
    assert_eq!(
        decided[0],
        (1, Decision::PassUnchecked(RejectReason::CheckFailed))
    );
    assert_eq!(decided[1], (2, Decision::Reject(RejectReason::CheckFailed)));
    assert_eq!(gate.counts().unchecked, 1);
}

#[test]
fn kept_verdicts_stay_within_their_bytes_and_the_soonest_to_end_make_room() {
    let mut gate = Gate::new(Settings {
        cache_bytes: 600,
        max_in_flight: 100,
        ..settings()
    });
    for request in 0..4u64 {
        ask(&mut gate, 0.0, request, &format!("c{request}"), 5000.0);
    }
    for check in 1..=4u64 {
        gate.verdict_received(1.0, check, 0, verdict(true, 1000.0 * check as f64));
        assert!(gate.cached_bytes() <= 600);
    }
    out(&mut gate);
    // Two of 260 bytes each fit: those that end last.
    assert_eq!(ask(&mut gate, 2.0, 10, "c3", 5000.0).decided.len(), 1);
    assert_eq!(ask(&mut gate, 2.0, 11, "c2", 5000.0).decided.len(), 1);
    assert_eq!(ask(&mut gate, 2.0, 12, "c0", 5000.0).checks.len(), 1);
    // One that is larger than all of it is not kept.
    gate.verdict_received(
        3.0,
        5,
        0,
        Verdict {
            bytes: 1000,
            ..verdict(true, 9000.0)
        },
    );
    out(&mut gate);
    assert_eq!(ask(&mut gate, 4.0, 13, "c0", 5000.0).checks.len(), 1);
}
