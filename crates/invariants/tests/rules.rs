//! Each rule on records made by hand: kept, broken, just at the limit on either side, and not exercised.

mod tale;

use maplefall_event_trace::{
    AttemptEnd, Event, EventKind, FailureReason, Health, NodeState, ProxyState, Trace,
};
use maplefall_invariants::Verdict::{NotExercised, Satisfied, Violated};
use tale::*;

fn tale() -> Tale {
    Tale::default()
}

// ---- Rule 1 -------------------------------------------------------------------------------------------

#[test]
fn nothing_seen_is_nothing_kept() {
    let judgement = tale().judge();
    assert!(judgement
        .rules
        .iter()
        .all(|ruling| ruling.verdict == NotExercised));
    assert_eq!(judgement.not_exercised(&[1, 3]), [1, 3]);
}

#[test]
fn a_served_request_keeps_rule_one() {
    let ruling = tale().served(100.0, 1, "a", UNSAFE, 0).rule(1);
    assert_eq!((ruling.verdict, ruling.tested), (Satisfied, 1));
    assert_eq!(ruling.margin, Some(1000.0 + ANSWER_SLACK - 52.0));
}

#[test]
fn an_answer_counts_up_to_the_last_moment_and_no_longer() {
    for (late, verdict) in [(ANSWER_SLACK, Satisfied), (ANSWER_SLACK + 0.5, Violated)] {
        let ruling = tale()
            .asked(0.0, "a", SAFE)
            .answered(1000.0 + late, "a", 502, None)
            .rule(1);
        assert_eq!(ruling.verdict, verdict, "{late}");
    }
}

#[test]
fn a_request_without_an_answer_is_lost() {
    let ruling = tale()
        .asked(0.0, "a", SAFE)
        .lost(1100.0, "a", FailureReason::TimedOut)
        .rule(1);
    assert_eq!(
        (ruling.verdict, ruling.violations[0].trace_lines.clone()),
        (Violated, vec![2, 3])
    );
    assert_eq!(ruling.violations[0].request, "a");
    let ruling = tale()
        .asked(0.0, "a", SAFE)
        .lost(300.0, "a", FailureReason::Truncated)
        .rule(1);
    assert_eq!(ruling.verdict, Violated);
}

#[test]
fn a_connection_closed_with_nothing_sent_on_loses_nothing_and_with_something_all() {
    let closed = |tale: Tale| {
        tale.asked(0.0, "a", SAFE)
            .lost(300.0, "a", FailureReason::Closed)
    };
    assert_eq!(closed(tale()).rule(1).verdict, NotExercised);
    assert_eq!(
        closed(
            tale()
                .came(5.0, 1, "a", 0)
                .over(290.0, 1, AttemptEnd::Cancelled)
        )
        .rule(1)
        .verdict,
        Violated
    );
}

#[test]
fn what_a_killed_front_door_held_is_the_clients_to_repeat() {
    let held = |tale: Tale| {
        tale.asked(0.0, "a", UNSAFE)
            .came(5.0, 1, "a", 0)
            .over(300.0, 1, AttemptEnd::Cancelled)
            .lost(300.0, "a", FailureReason::Closed)
    };
    assert_eq!(
        held(tale().door(299.0, ProxyState::Killed)).rule(1).verdict,
        NotExercised
    );
    // One that was told to stop owes its answers; so does one that was killed before or after.
    assert_eq!(
        held(tale().door(200.0, ProxyState::Terminated))
            .rule(1)
            .verdict,
        Violated
    );
    assert_eq!(
        held(tale().door(400.0, ProxyState::Killed)).rule(1).verdict,
        Violated
    );
}

#[test]
fn two_answers_are_one_too_many() {
    let twice = tale().served(0.0, 1, "a", SAFE, 0);
    let twice = twice.asked(60.0, "a", SAFE).answered(90.0, "a", 502, None);
    assert_eq!(twice.rule(1).verdict, Violated);
    let surplus = EventKind::UnexpectedBytes {
        proxy: 0,
        connection: 1,
        id: "a".into(),
    };
    assert_eq!(
        tale()
            .served(0.0, 1, "a", SAFE, 0)
            .line(80.0, surplus)
            .rule(1)
            .verdict,
        Violated
    );
}

#[test]
fn nothing_goes_out_after_the_final_answer() {
    let after = |gap: f64| {
        let tale = tale().asked(0.0, "a", SAFE).answered(100.0, "a", 502, None);
        tale.came(100.0 + gap, 1, "a", 0)
            .over(200.0 + gap, 1, AttemptEnd::Served)
            .rule(1)
            .verdict
    };
    // Two threads see an answer and an attempt of one moment in either order.
    assert_eq!(
        (
            after(maplefall_invariants::ORDERING_TOLERANCE),
            after(maplefall_invariants::ORDERING_TOLERANCE + 1.0)
        ),
        (Satisfied, Violated)
    );
}

#[test]
fn what_is_served_was_made_by_a_node_for_that_request() {
    let served = |attempt| {
        let tale = tale()
            .served(0.0, 1, "other", SAFE, 0)
            .asked(100.0, "a", SAFE);
        let tale = tale
            .came(102.0, 2, "a", 0)
            .over(150.0, 2, AttemptEnd::Served);
        tale.answered(160.0, "a", 200, attempt).rule(1).verdict
    };
    assert_eq!(
        [served(Some(2)), served(Some(1)), served(None)],
        [Satisfied, Violated, Violated]
    );
}

#[test]
fn a_front_door_that_ends_by_itself_or_badly_has_crashed() {
    let ended = |first: Option<ProxyState>, code| {
        let tale = tale()
            .served(0.0, 1, "a", SAFE, 0)
            .door(0.0, ProxyState::Started);
        let tale = first
            .into_iter()
            .fold(tale, |tale, state| tale.door(500.0, state));
        tale.door(600.0, ProxyState::Ended { code }).rule(1).verdict
    };
    assert_eq!(ended(Some(ProxyState::Terminated), Some(0)), Satisfied);
    assert_eq!(ended(Some(ProxyState::Killed), None), Satisfied);
    assert_eq!(ended(Some(ProxyState::Terminated), Some(70)), Violated);
    assert_eq!(ended(Some(ProxyState::Reloaded), Some(0)), Violated);
    assert_eq!(ended(None, Some(70)), Violated);
}

// ---- Rule 2 -------------------------------------------------------------------------------------------

/// A request whose first attempt ends so at 100 ms, and whose second comes at `second`.
fn repeated(class: usize, end: AttemptEnd, second: f64) -> Tale {
    tale()
        .asked(0.0, "a", class)
        .came(5.0, 1, "a", 0)
        .over(100.0, 1, end)
        .came(second, 2, "a", 1)
        .over(second + 40.0, 2, AttemptEnd::Served)
        .ran(second + 40.0, 2)
        .answered(second + 42.0, "a", 200, Some(2))
}

#[test]
fn only_what_never_ran_is_repeated_whatever_its_class() {
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
            repeated(class, end, 120.0).rule(2).verdict,
            verdict,
            "{class} {end:?}"
        );
    }
    // A request that was served at once puts nothing to the test.
    assert_eq!(
        tale().served(0.0, 1, "a", UNSAFE, 0).rule(2).verdict,
        NotExercised
    );
}

#[test]
fn a_key_is_good_for_its_memory_and_no_longer() {
    let at = |age: f64| {
        let tale = tale().line(
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
                fingerprint: FORM,
            },
        );
        tale.came(5.0, 1, "a", 0)
            .over(100.0, 1, AttemptEnd::Reset)
            .came(5.0 + age, 2, "a", 1)
            .over(4000.0, 2, AttemptEnd::Served)
    };
    assert_eq!(at(MEMORY).rule(2).verdict, Satisfied);
    let ruling = at(MEMORY + 1.0).rule(2);
    assert_eq!((ruling.verdict, ruling.margin), (Violated, Some(-1.0)));
}

#[test]
fn two_attempts_are_never_out_together() {
    let gap = |gap| {
        repeated(SAFE, AttemptEnd::Cancelled, 100.0 - gap)
            .rule(2)
            .verdict
    };
    // Both ends of one moment are seen in either order.
    assert_eq!(
        (
            gap(maplefall_invariants::ORDERING_TOLERANCE),
            gap(maplefall_invariants::ORDERING_TOLERANCE + 1.0)
        ),
        (Satisfied, Violated)
    );
    let never_ended = tale()
        .asked(0.0, "a", SAFE)
        .came(5.0, 1, "a", 0)
        .came(400.0, 2, "a", 1);
    assert_eq!(never_ended.rule(2).verdict, Violated);
    // A node whose process ended has let go of what it had.
    let gone = tale()
        .line(
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
        .asked(0.0, "a", SAFE)
        .came(5.0, 1, "a", 0)
        .line(
            50.0,
            EventKind::Node {
                node: 0,
                state: NodeState::Stopped,
            },
        )
        .came(60.0, 2, "a", 1)
        .over(90.0, 2, AttemptEnd::Served);
    assert_eq!(gone.rule(2).verdict, Satisfied);
}

#[test]
fn a_refusal_is_a_promise_that_an_unsafe_request_never_ran() {
    let refused = |class, end, status| {
        let tale = tale()
            .asked(0.0, "a", class)
            .came(5.0, 1, "a", 0)
            .over(50.0, 1, end);
        tale.answered(60.0, "a", status, None).rule(2).verdict
    };
    assert_eq!(refused(UNSAFE, AttemptEnd::Rejected, 429), Satisfied);
    assert_eq!(refused(UNSAFE, AttemptEnd::Error, 502), Satisfied);
    assert_eq!(refused(UNSAFE, AttemptEnd::Error, 429), Violated);
    assert_eq!(refused(UNSAFE, AttemptEnd::Cancelled, 503), Violated);
    assert_eq!(refused(KEYED, AttemptEnd::Error, 429), Satisfied);
    assert_eq!(refused(SAFE, AttemptEnd::Reset, 429), Satisfied);
}

#[test]
fn no_more_attempts_than_the_settings_allow_and_no_effect_twice() {
    let many = |count: u64| {
        let tale = (0..count).fold(tale().asked(0.0, "a", SAFE), |tale, i| {
            let at = 10.0 + 100.0 * i as f64;
            tale.came(at, i, "a", 0)
                .over(at + 20.0, i, AttemptEnd::Reset)
        });
        tale.rule(2).verdict
    };
    assert_eq!((many(3), many(4)), (Satisfied, Violated));
    let twice = repeated(KEYED, AttemptEnd::Reset, 120.0).ran(99.0, 1);
    assert_eq!(twice.rule(2).verdict, Violated);
}

/// Guards requests on their way: what comes to a node is what its client sent, and what nobody sent does not come.
#[test]
fn what_comes_to_a_node_is_what_its_client_sent() {
    let came = |form| {
        let entry = EventKind::AttemptReceived {
            attempt: 1,
            node: 0,
            proxy: 0,
            id: "a".into(),
            key: None,
            fingerprint: form,
            first_byte_at: 5.0,
            complete: true,
            work: 1.0,
        };
        let tale = tale()
            .asked(0.0, "a", SAFE)
            .line(5.0, entry)
            .over(50.0, 1, AttemptEnd::Served);
        tale.answered(52.0, "a", 200, Some(1)).rule(2)
    };
    assert_eq!(came(FORM).verdict, NotExercised);
    let changed = came(FORM + 1);
    assert_eq!(
        (changed.verdict, changed.violations[0].trace_lines.clone()),
        (Violated, vec![2, 3])
    );
    let nobodys = tale()
        .served(0.0, 1, "a", SAFE, 0)
        .came(60.0, 2, "hidden", 0)
        .over(70.0, 2, AttemptEnd::Served);
    assert_eq!(nobodys.rule(2).verdict, Violated);
}

// ---- Rule 3 -------------------------------------------------------------------------------------------

#[test]
fn a_drain_is_kept_to_its_last_moment() {
    let sent = |after: f64| {
        let tale = tale()
            .served(0.0, 1, "a", SAFE, 3)
            .told(1000.0, 0, 3, Health::Draining, None);
        tale.served(1000.0 + after - 2.0, 2, "b", SAFE, 3).rule(3)
    };
    let last = sent(DRAIN_GRACE);
    assert_eq!(
        (last.verdict, last.margin, last.tested),
        (Satisfied, Some(0.0), 1)
    );
    assert_eq!(sent(DRAIN_GRACE + 1.0).verdict, Violated);
}

#[test]
fn a_drain_binds_the_front_door_that_was_told_until_it_is_taken_back() {
    let drained = || {
        tale()
            .served(0.0, 1, "a", SAFE, 3)
            .told(1000.0, 0, 3, Health::Draining, None)
    };
    let other = |tale: Tale| {
        tale.asked(2000.0, "b", SAFE)
            .came_from(1, 2002.0, 2, "b", 3, 10.0)
            .over(2050.0, 2, AttemptEnd::Served)
    };
    assert_eq!(other(drained()).rule(3).verdict, Satisfied);
    let elsewhere = drained().served(2000.0, 2, "b", SAFE, 4);
    assert_eq!(elsewhere.rule(3).verdict, Satisfied);
    // Gone after draining does not begin a new grace; up again ends it.
    let gone = drained().told(1500.0, 0, 3, Health::Removed, None);
    assert_eq!(
        gone.served(1700.0, 2, "b", SAFE, 3).rule(3).verdict,
        Violated
    );
    let back = drained().told(1500.0, 0, 3, Health::Up, Some(1400.0));
    assert_eq!(
        back.served(1900.0, 2, "b", SAFE, 3).rule(3).verdict,
        Satisfied
    );
}

#[test]
fn a_send_counts_from_its_first_byte_whole_or_not() {
    let broken_off = |first| {
        let entry = EventKind::AttemptReceived {
            attempt: 2,
            node: 3,
            proxy: 0,
            id: String::new(),
            key: None,
            fingerprint: 0,
            first_byte_at: first,
            complete: false,
            work: 0.0,
        };
        tale()
            .served(0.0, 1, "a", SAFE, 3)
            .told(1000.0, 0, 3, Health::Removed, None)
            .line(2000.0, entry)
    };
    assert_eq!(broken_off(1540.0).rule(3).verdict, Satisfied);
    assert_eq!(broken_off(1560.0).rule(3).verdict, Violated);
}

/// Guards the rule on sources that disagree: what one says of a stop another cannot undo, but for a newer life.
#[test]
fn a_drain_holds_whatever_another_source_says() {
    let drained = || {
        tale()
            .served(0.0, 1, "a", SAFE, 3)
            .told_by(1, 1000.0, 0, 3, Health::Draining, None)
    };
    let other = drained()
        .told_by(0, 1200.0, 0, 3, Health::Up, None)
        .served(2000.0, 2, "b", SAFE, 3);
    assert_eq!(other.rule(3).verdict, Violated);
    let undone = drained()
        .told_by(1, 1200.0, 0, 3, Health::Up, None)
        .served(2000.0, 2, "b", SAFE, 3);
    assert_eq!(undone.rule(3).verdict, Satisfied);
    let newer = drained()
        .told_by(0, 1800.0, 0, 3, Health::Up, Some(1700.0))
        .served(2000.0, 2, "b", SAFE, 3);
    assert_eq!(newer.rule(3).verdict, Satisfied);
}

/// Guards the rule against an agent that is behind: a word of a lower version than the drain's takes it back as little as no
/// word, and one of a higher version takes it back.
#[test]
fn a_drain_is_not_taken_back_by_an_older_list() {
    let told = |tale: Tale, at, health, version| {
        tale.line(
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
        told(
            tale().served(0.0, 1, "a", SAFE, 3),
            1000.0,
            Health::Draining,
            9,
        )
    };
    let sent = |tale: Tale| tale.served(2000.0, 2, "b", SAFE, 3).rule(3).verdict;
    assert_eq!(sent(told(drained(), 1200.0, Health::Up, 8)), Violated);
    assert_eq!(sent(told(drained(), 1200.0, Health::Up, 10)), Satisfied);
    // Told again by a later version, it takes a word above that one.
    let again = || told(drained(), 1100.0, Health::Draining, 12);
    assert_eq!(sent(told(again(), 1200.0, Health::Up, 11)), Violated);
}

/// Guards what counts as told though it never came: what a source has to tell binds a front door 6 s later at the latest.
#[test]
fn what_there_is_to_tell_counts_as_told_in_the_end() {
    let due = |health, version| EventKind::NodeUpdateDue {
        proxy: 0,
        node: 3,
        health,
        version,
    };
    let drained = || {
        tale()
            .served(0.0, 1, "a", SAFE, 3)
            .line(1000.0, due(Health::Draining, 2))
    };
    let sent = |tale: Tale, after| {
        tale.served(7000.0 + after - 2.0, 2, "b", SAFE, 3)
            .rule(3)
            .verdict
    };
    assert_eq!(sent(drained(), DRAIN_GRACE), Satisfied);
    assert_eq!(sent(drained(), DRAIN_GRACE + 1.0), Violated);
    // Told earlier, it binds from then on; taken back before it counted, it never does.
    let told = EventKind::NodeUpdate {
        proxy: 0,
        node: 3,
        health: Health::Draining,
        started_at: None,
        source: 0,
        version: 2,
    };
    assert_eq!(sent(drained().line(5000.0, told), 0.0), Violated);
    let back = EventKind::NodeUpdate {
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
                .line(5000.0, due(Health::Up, 3))
                .line(7200.0, back),
            DRAIN_GRACE + 500.0
        ),
        Satisfied
    );
}

#[test]
fn a_drain_of_a_node_that_was_not_used_puts_nothing_to_the_test() {
    assert_eq!(
        tale()
            .told(1000.0, 0, 3, Health::Draining, None)
            .rule(3)
            .verdict,
        NotExercised
    );
    let unused = tale()
        .served(0.0, 1, "a", SAFE, 4)
        .told(1000.0, 0, 3, Health::Draining, None);
    assert_eq!(
        unused.served(2000.0, 2, "b", SAFE, 4).rule(3).verdict,
        NotExercised
    );
    let last = tale()
        .served(0.0, 1, "a", SAFE, 3)
        .told(1000.0, 0, 3, Health::Draining, None);
    assert_eq!(last.rule(3).verdict, Satisfied);
}

// ---- Rule 4 -------------------------------------------------------------------------------------------

/// A node of two cores at a quarter of its capacity, told to both front doors, and so many attempts of 100 ms of work
/// in one moment right after its start: its budget is 3 x 0.5 x 1500 + 100 = 2350 ms.
fn cold(count: u64, from: impl Fn(u64) -> u32) -> Tale {
    let up = NodeState::Up {
        cores: 2.0,
        initial_capacity: 0.25,
        warmup_ms: 1e9,
    };
    let tale = tale()
        .line(1000.0, EventKind::Node { node: 5, state: up })
        .told(1001.0, 0, 5, Health::Up, Some(1000.0))
        .told(1001.0, 1, 5, Health::Up, Some(1000.0));
    (0..count).fold(tale, |tale, i| {
        let id = format!("c{i}");
        tale.asked(1010.0, &id, SAFE)
            .came_from(from(i), 1100.0, 100 + i, &id, 5, 100.0)
            .over(1200.0, 100 + i, AttemptEnd::Rejected)
    })
}

#[test]
fn a_cold_node_bears_its_budget_and_no_more() {
    assert_eq!(cold(23, |i| (i % 2) as u32).rule(4).verdict, Satisfied);
    assert_eq!(cold(24, |i| (i % 2) as u32).rule(4).verdict, Violated);
    // Too few attempts are no test.
    assert_eq!(cold(4, |_| 0).rule(4).verdict, NotExercised);
}

#[test]
fn what_comes_from_front_doors_that_do_not_know_breaks_no_rule() {
    // Front door 2 was never told: with more than a third of the work from there, nobody could have known.
    assert_eq!(
        cold(24, |i| if i % 2 == 0 { 2 } else { 0 }).rule(4).verdict,
        Satisfied
    );
    assert_eq!(
        cold(30, |i| if i % 10 == 0 { 2 } else { 0 })
            .rule(4)
            .verdict,
        Violated
    );
}

#[test]
fn a_window_that_has_passed_does_not_count() {
    let two = |gap: f64| {
        (0..15).fold(cold(15, |_| 0), |tale, i| {
            let id = format!("d{i}");
            let at = 1100.0 + gap;
            tale.asked(at - 5.0, &id, SAFE)
                .came_from(0, at, 200 + i, &id, 5, 100.0)
                .over(at + 10.0, 200 + i, AttemptEnd::Served)
        })
    };
    assert_eq!(two(1400.0).rule(4).verdict, Violated);
    assert_eq!(two(1600.0).rule(4).verdict, Satisfied);
}

// ---- Rule 5 -------------------------------------------------------------------------------------------

/// So many units at once for one customer with a ceiling of 40 units and 20 a second; 4 + 3 below nought are allowed.
fn ceiling(units: u64) -> Tale {
    (0..units).fold(tale(), |tale, i| {
        let id = format!("u{i}");
        tale.asked_of(0.0, &id, SAFE, 1, 9, 1.0)
            .came_from((i % 2) as u32, 10.0, i, &id, 0, 1.0)
            .over(20.0, i, AttemptEnd::Served)
    })
}

#[test]
fn a_ceiling_holds_over_all_front_doors_with_its_slack() {
    assert_eq!(ceiling(15).rule(5).verdict, NotExercised);
    let last = ceiling(47).rule(5);
    assert_eq!((last.verdict, last.margin), (Satisfied, Some(0.0)));
    assert_eq!(ceiling(48).rule(5).verdict, Violated);
}

#[test]
fn a_ceilings_store_refills_and_counts_each_request_once() {
    let later = |at: f64| {
        (0..20).fold(ceiling(40), |tale, i| {
            let id = format!("v{i}");
            tale.asked_of(at, &id, SAFE, 1, 9, 1.0)
                .came_from(0, at + 10.0, 100 + i, &id, 0, 1.0)
                .over(at + 20.0, 100 + i, AttemptEnd::Served)
        })
    };
    assert_eq!(later(500.0).rule(5).verdict, Violated);
    assert_eq!(later(1000.0).rule(5).verdict, Satisfied);
    // A second attempt takes nothing.
    let again = (0..40).fold(ceiling(40), |tale, i| {
        tale.came_from(0, 30.0, 300 + i, &format!("u{i}"), 0, 1.0)
            .over(40.0, 300 + i, AttemptEnd::Served)
    });
    assert_eq!(again.rule(5).verdict, Satisfied);
}

// ---- The whole judgement ------------------------------------------------------------------------------

#[test]
fn late_stand_ins_void_a_run_and_blame_nobody() {
    let judge = |p99_ms, most_ms| {
        let lateness = EventKind::Lateness {
            actions: 100,
            p50_ms: 0.5,
            p99_ms,
            max_ms: most_ms,
        };
        let lines = vec![Event {
            at: 1.0,
            kind: lateness,
        }];
        maplefall_invariants::evaluate(&Trace {
            header: header(),
            events: lines,
        })
        .invalid_reason
    };
    assert_eq!(
        judge(
            maplefall_invariants::MAX_LATENESS_P99,
            maplefall_invariants::MAX_LATENESS
        ),
        None
    );
    assert!(judge(maplefall_invariants::MAX_LATENESS_P99 + 0.1, 20.0).is_some());
    assert!(judge(1.0, maplefall_invariants::MAX_LATENESS + 1.0).is_some());
    let silent = maplefall_invariants::evaluate(&Trace {
        header: header(),
        events: Vec::new(),
    });
    assert!(silent.invalid_reason.is_some());
}

#[test]
fn worth_counts_inside_the_quota_and_in_time() {
    // The store holds 20 units: the 21st request at once is beyond the quota and counts for nothing.
    let tale = (0..21).fold(tale(), |tale, i| {
        let id = format!("w{i}");
        let tale = tale.asked(0.0, &id, SAFE).came(5.0, i, &id, 0);
        if i < 10 {
            tale.over(30.0, i, AttemptEnd::Served)
                .answered(40.0, &id, 200, Some(i))
        } else {
            tale.over(30.0, i, AttemptEnd::Rejected)
                .answered(40.0, &id, 429, None)
        }
    });
    let figures = tale.judge().metrics;
    assert_eq!(
        (
            figures.requests,
            figures.served,
            figures.rejected_without_retry_after
        ),
        (21, 10, 11)
    );
    assert!(
        (figures.value_share - 0.5).abs() < 1e-9,
        "{}",
        figures.value_share
    );
}

// ---- Rule 6 -------------------------------------------------------------------------------------------

fn credential(tale: Tale, at: f64, customer: u64) -> Tale {
    tale.line(
        at,
        EventKind::Credential {
            customer,
            passes: false,
        },
    )
}

#[test]
fn where_nobody_is_checked_nothing_is_said_of_it() {
    assert_eq!(
        tale().served(100.0, 1, "a", UNSAFE, 0).rule(6).verdict,
        NotExercised
    );
}

#[test]
fn nothing_goes_on_for_who_does_not_pass() {
    let denied = credential(tale(), 0.0, 7)
        .asked(100.0, "a", UNSAFE)
        .answered(120.0, "a", 401, None)
        .rule(6);
    assert_eq!((denied.verdict, denied.tested), (Satisfied, 1));
    let sent = credential(tale(), 0.0, 7)
        .served(100.0, 1, "a", UNSAFE, 0)
        .rule(6);
    assert_eq!(
        (sent.verdict, sent.violations[0].request.as_str()),
        (Violated, "a")
    );
    // One that may pass where nobody can be asked.
    assert_eq!(
        credential(tale(), 0.0, 7)
            .served(100.0, 1, "a", SAFE, 0)
            .rule(6)
            .verdict,
        Satisfied
    );
    // Another's request goes on.
    assert_eq!(
        credential(tale(), 0.0, 8)
            .served(100.0, 1, "a", UNSAFE, 0)
            .rule(6)
            .verdict,
        NotExercised
    );
}

#[test]
fn a_revoked_credential_lives_on_for_as_long_as_verdicts_are_kept_and_no_longer() {
    // 500 ms, 50 ms of the sockets, 25 ms that are not told apart.
    for (late, verdict) in [(570.0, Satisfied), (580.0, Violated)] {
        let before = credential(tale().served(100.0, 1, "a", UNSAFE, 0), 1000.0, 7);
        let ruling = before
            .served(1000.0 + late - 2.0, 2, "b", UNSAFE, 0)
            .rule(6);
        assert_eq!(ruling.verdict, verdict, "{late}");
    }
    // Of one that never asked before nothing is kept.
    assert_eq!(
        credential(tale(), 1000.0, 7)
            .served(1100.0, 1, "a", UNSAFE, 0)
            .rule(6)
            .verdict,
        Violated
    );
}

#[test]
fn who_passes_is_not_denied() {
    let tale = credential(tale(), 0.0, 8)
        .asked(100.0, "a", SAFE)
        .answered(120.0, "a", 401, None);
    assert_eq!(tale.rule(6).verdict, Violated);
}

// ---- Rule 7 -------------------------------------------------------------------------------------------

/// So many units at once for one customer with a quota of 20 units, ten a second, where counts are shared and two seconds of the
/// quota may pass it: one more burst and 20 units below nought are allowed.
fn shared(units: u64) -> Tale {
    let mut tale = (0..units).fold(tale(), |tale, i| {
        let id = format!("q{i}");
        tale.asked(0.0, &id, SAFE)
            .came(20.0, i, &id, 0)
            .over(30.0, i, AttemptEnd::Served)
            .answered(40.0, &id, 200, Some(i))
    });
    tale.header.rules.sharing_delay_ms = 2000.0;
    tale
}

#[test]
fn a_shared_quota_holds_over_all_front_doors_with_its_stated_error() {
    let plan = header().plans[0].clone();
    let allowed = (2.0 * plan.burst + plan.rate * 2.0) as u64;
    assert_eq!(shared(1).rule(7).verdict, NotExercised);
    let last = shared(allowed).rule(7);
    assert_eq!((last.verdict, last.margin), (Satisfied, Some(0.0)));
    assert_eq!(shared(allowed + 1).rule(7).verdict, Violated);
    // Where counts are not shared nobody promised it.
    let mut alone = shared(allowed + 1);
    alone.header.rules.sharing_delay_ms = 0.0;
    assert_eq!(alone.rule(7).verdict, NotExercised);
}
