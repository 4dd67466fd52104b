//! Requests that wait until their callers have been checked.

mod common;

use common::*;
use maplefall_policy::*;

fn plan() -> Plan {
    Plan {
        rate: 10.0,
        burst: 8.0,
        ..Plan::default()
    }
}

fn stage() -> Stage {
    Stage::new(settings(plan(), 1), vec![ready(1, 0), ready(2, 0)])
}

fn held(id: u32, class: usize, now: Millis) -> Request {
    Request {
        authorized: false,
        ..request(id, class, now)
    }
}

fn checks(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|action| matches!(action, Action::Authorize(_)))
        .count()
}

fn authorized(stage: &mut Stage, now: Millis, id: u32, allowed: bool) -> Option<BackendId> {
    stage.play(
        now,
        Event::Authorized {
            request: RequestId(id),
            allowed,
        },
    );
    stage.sent()
}

/// How many of `count` requests in one instant are served.
fn served(stage: &mut Stage, now: Millis, from: u32, count: u32) -> usize {
    (from..from + count)
        .filter(|id| stage.serve(now, request(*id, 0, now)))
        .count()
}

#[test]
fn it_is_forwarded_once_and_only_after_its_caller_passes() {
    for class in 0..3 {
        let mut stage = stage();
        let actions = stage.play(0.0, Event::Arrival(held(1, class, 0.0)));
        assert_eq!((checks(actions), stage.sent()), (1, None));
        let to = authorized(&mut stage, 50.0, 1, true);
        assert!(to.is_some());
        assert_eq!(authorized(&mut stage, 51.0, 1, true), None, "told twice");
        assert_eq!(authorized(&mut stage, 52.0, 1, false), None);
        let actions = stage.settle(60.0, 1, 0, to.unwrap(), Outcome::Ok);
        assert!(actions.is_empty(), "{actions:?}");
    }
}

#[test]
fn one_that_does_not_pass_takes_no_units_and_is_not_answered_here() {
    let quota = served(&mut stage(), 0.0, 1000, 40);
    assert!((6..40).contains(&quota), "{quota}");
    let mut stage = stage();
    for id in 0..30 {
        let mut asked = 0;
        asked += checks(stage.play(0.0, Event::Arrival(held(id, 0, 0.0))));
        assert_eq!(asked, 1, "{id}");
        authorized(&mut stage, 0.0, id, false);
        assert!(stage.actions.is_empty(), "{:?}", stage.actions);
    }
    assert_eq!(served(&mut stage, 0.0, 1000, 40), quota);
}

#[test]
fn a_flood_beyond_the_quota_is_rejected_before_any_check() {
    let mut stage = stage();
    let asked: usize = (0..500)
        .map(|id| checks(stage.play(0.0, Event::Arrival(held(id, 0, 0.0)))))
        .sum();
    let quota = served(&mut self::stage(), 0.0, 1000, 40);
    assert!(asked <= quota, "{asked} checks for a quota of {quota}");
}

#[test]
fn a_client_that_leaves_and_a_check_that_never_ends_give_back_their_units() {
    let quota = served(&mut stage(), 0.0, 1000, 40);
    let mut left = stage();
    for id in 0..5 {
        left.play(0.0, Event::Arrival(held(id, 0, 0.0)));
        left.play(0.0, Event::ClientDisconnected(RequestId(id)));
        assert_eq!(authorized(&mut left, 0.0, id, true), None);
    }
    assert_eq!(served(&mut left, 0.0, 1000, 40), quota);
    // The alarm that was asked for comes: it is refused at once, and a late word changes nothing.
    let mut late = stage();
    let actions = late.play(0.0, Event::Arrival(held(1, 2, 0.0))).to_vec();
    let timer = actions.iter().find_map(|action| match action {
        Action::SetTimer { at, timer } => Some((*at, *timer)),
        _ => None,
    });
    let (at, timer) = timer.expect("an alarm");
    assert!(at < 3000.0, "before its client gives up: {at}");
    let actions = late.play(at, Event::Timer(timer));
    assert!(
        matches!(actions, [Action::Reject { .. }]),
        "nothing has run: {actions:?}"
    );
    assert_eq!(authorized(&mut late, at + 1.0, 1, true), None);
}

#[test]
fn a_slow_check_does_not_count_as_a_slow_answer() {
    let open = Plan {
        rate: 1000.0,
        burst: 1000.0,
        ..Plan::default()
    };
    let mut stage = Stage::new(settings(open, 4), vec![ready(1, 0), ready(2, 0)]);
    let mut now = 0.0;
    for id in 0..300 {
        stage.play(now, Event::Arrival(held(id, 0, now)));
        let to = authorized(&mut stage, now + 900.0, id, true);
        let to = to.unwrap_or_else(|| panic!("request {id} was refused: {:?}", stage.actions));
        stage.settle(now + 910.0, id, 0, to, Outcome::Ok);
        now += 950.0;
    }
    // Were the checks' delay felt, a part of these would be refused by chance.
    assert!((1000..1200)
        .all(|id| stage.serve(now + f64::from(id), request(id, 0, now + f64::from(id)))));
}

#[test]
fn the_backend_is_chosen_after_the_check() {
    let mut stage = stage();
    stage.play(0.0, Event::Arrival(held(1, 2, 0.0)));
    let drained = BackendEntry {
        availability: Availability::Draining,
        ..ready(1, 0)
    };
    stage.play(10.0, Event::Backends(ListKind::Changes, vec![drained]));
    assert_eq!(authorized(&mut stage, 20.0, 1, true), Some(BackendId(2)));
    // With none left it is refused, and has taken nothing.
    stage.play(30.0, Event::Arrival(held(2, 2, 30.0)));
    let gone = BackendEntry {
        availability: Availability::Removed,
        ..ready(2, 0)
    };
    stage.play(40.0, Event::Backends(ListKind::Changes, vec![gone]));
    stage.play(
        50.0,
        Event::Authorized {
            request: RequestId(2),
            allowed: true,
        },
    );
    assert!(
        matches!(stage.actions[..], [Action::Reject { .. }]),
        "{:?}",
        stage.actions
    );
}

#[test]
fn a_ceiling_is_reserved_during_the_check_and_given_back_by_those_denied() {
    // It begins empty and is full after a second.
    let rate_limit = Some(RateLimit {
        rate: 5.0,
        burst: 5.0,
        slack: 0.0,
    });
    let plan = Plan {
        rate: 1000.0,
        burst: 1000.0,
        rate_limit,
        ..Plan::default()
    };
    let mut stage = Stage::new(settings(plan, 1), vec![ready(1, 0), ready(2, 0)]);
    let now = 5000.0;
    let waiting: Vec<u32> = (0..20)
        .filter(|id| checks(stage.play(now, Event::Arrival(held(*id, 0, now)))) == 1)
        .collect();
    assert_eq!(
        waiting.len(),
        5,
        "no more wait than the ceiling lets through"
    );
    for id in &waiting {
        authorized(&mut stage, now, *id, false);
    }
    assert_eq!(served(&mut stage, now, 1000, 20), 5);
}
