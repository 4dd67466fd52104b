//! Requests that are pending until their callers have been checked.

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

fn harness() -> Harness {
    Harness::new(settings(plan(), 1), vec![ready(1, 0), ready(2, 0)])
}

fn unauthorized(id: u32, class: usize, now: Millis) -> Request {
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

fn authorized(harness: &mut Harness, now: Millis, id: u32, allowed: bool) -> Option<BackendId> {
    harness.handle(
        now,
        Event::Authorized {
            request: RequestId(id),
            allowed,
        },
    );
    harness.sent()
}

/// Returns how many of `count` simultaneous requests are served.
fn served(harness: &mut Harness, now: Millis, from: u32, count: u32) -> usize {
    (from..from + count)
        .filter(|id| harness.serve(now, request(*id, 0, now)))
        .count()
}

#[test]
fn a_request_is_forwarded_once_and_only_after_its_caller_is_allowed() {
    for class in 0..3 {
        let mut harness = harness();
        let actions = harness.handle(0.0, Event::Arrival(unauthorized(1, class, 0.0)));
        assert_eq!((checks(actions), harness.sent()), (1, None));
        let to = authorized(&mut harness, 50.0, 1, true);
        assert!(to.is_some());
        assert_eq!(
            authorized(&mut harness, 51.0, 1, true),
            None,
            "reported twice"
        );
        assert_eq!(authorized(&mut harness, 52.0, 1, false), None);
        let actions = harness.end_attempt(60.0, 1, 0, to.unwrap(), Outcome::Ok);
        assert!(actions.is_empty(), "{actions:?}");
    }
}

#[test]
fn a_request_of_a_denied_caller_takes_no_units_and_leads_to_no_action() {
    let quota = served(&mut harness(), 0.0, 1000, 40);
    assert!((6..40).contains(&quota), "{quota}");
    let mut harness = harness();
    for id in 0..30 {
        let mut check_count = 0;
        check_count += checks(harness.handle(0.0, Event::Arrival(unauthorized(id, 0, 0.0))));
        assert_eq!(check_count, 1, "{id}");
        authorized(&mut harness, 0.0, id, false);
        assert!(harness.actions.is_empty(), "{:?}", harness.actions);
    }
    assert_eq!(served(&mut harness, 0.0, 1000, 40), quota);
}

#[test]
fn a_flood_beyond_the_quota_is_rejected_before_any_check() {
    let mut harness = harness();
    let check_count: usize = (0..500)
        .map(|id| checks(harness.handle(0.0, Event::Arrival(unauthorized(id, 0, 0.0)))))
        .sum();
    let quota = served(&mut self::harness(), 0.0, 1000, 40);
    assert!(
        check_count <= quota,
        "{check_count} checks for a quota of {quota}"
    );
}

#[test]
fn units_are_given_back_if_the_client_disconnects_or_the_check_never_ends() {
    let quota = served(&mut harness(), 0.0, 1000, 40);
    let mut disconnected = harness();
    for id in 0..5 {
        disconnected.handle(0.0, Event::Arrival(unauthorized(id, 0, 0.0)));
        disconnected.handle(0.0, Event::ClientDisconnected(RequestId(id)));
        assert_eq!(authorized(&mut disconnected, 0.0, id, true), None);
    }
    assert_eq!(served(&mut disconnected, 0.0, 1000, 40), quota);
    // When the timer of a request fires, the request is rejected; the result of the check has no
    // effect afterwards.
    let mut late = harness();
    let actions = late
        .handle(0.0, Event::Arrival(unauthorized(1, 2, 0.0)))
        .to_vec();
    let timer = actions.iter().find_map(|action| match action {
        Action::SetTimer { at, timer } => Some((*at, *timer)),
        _ => None,
    });
    let (at, timer) = timer.expect("a timer");
    assert!(at < 3000.0, "after the client's deadline: {at}");
    let actions = late.handle(at, Event::Timer(timer));
    assert!(
        matches!(actions, [Action::Reject { .. }]),
        "a request that has not run must be rejected: {actions:?}"
    );
    assert_eq!(authorized(&mut late, at + 1.0, 1, true), None);
}

#[test]
fn a_slow_check_does_not_count_as_a_slow_response() {
    let unlimited = Plan {
        rate: 1000.0,
        burst: 1000.0,
        ..Plan::default()
    };
    let mut harness = Harness::new(settings(unlimited, 4), vec![ready(1, 0), ready(2, 0)]);
    let mut now = 0.0;
    for id in 0..300 {
        harness.handle(now, Event::Arrival(unauthorized(id, 0, now)));
        let to = authorized(&mut harness, now + 900.0, id, true);
        let to = to.unwrap_or_else(|| panic!("request {id} was rejected: {:?}", harness.actions));
        harness.end_attempt(now + 910.0, id, 0, to, Outcome::Ok);
        now += 950.0;
    }
    // If the delay of the checks counted as response time, a random fraction of these requests
    // would be rejected.
    assert!((1000..1200)
        .all(|id| harness.serve(now + f64::from(id), request(id, 0, now + f64::from(id)))));
}

#[test]
fn the_backend_is_chosen_after_the_check() {
    let mut harness = harness();
    harness.handle(0.0, Event::Arrival(unauthorized(1, 2, 0.0)));
    let drained = BackendEntry {
        availability: Availability::Draining,
        ..ready(1, 0)
    };
    harness.handle(10.0, Event::Backends(ListKind::Changes, vec![drained]));
    assert_eq!(authorized(&mut harness, 20.0, 1, true), Some(BackendId(2)));
    // Without any backend left, a request is rejected.
    harness.handle(30.0, Event::Arrival(unauthorized(2, 2, 30.0)));
    let removed = BackendEntry {
        availability: Availability::Removed,
        ..ready(2, 0)
    };
    harness.handle(40.0, Event::Backends(ListKind::Changes, vec![removed]));
    harness.handle(
        50.0,
        Event::Authorized {
            request: RequestId(2),
            allowed: true,
        },
    );
    assert!(
        matches!(harness.actions[..], [Action::Reject { .. }]),
        "{:?}",
        harness.actions
    );
}

#[test]
fn rate_limit_units_are_reserved_during_the_check_and_given_back_if_denied() {
    // The rate limit's bucket starts empty and is full after one second.
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
    let mut harness = Harness::new(settings(plan, 1), vec![ready(1, 0), ready(2, 0)]);
    let now = 5000.0;
    let waiting: Vec<u32> = (0..20)
        .filter(|id| checks(harness.handle(now, Event::Arrival(unauthorized(*id, 0, now)))) == 1)
        .collect();
    assert_eq!(
        waiting.len(),
        5,
        "no more requests are pending than the rate limit admits"
    );
    for id in &waiting {
        authorized(&mut harness, now, *id, false);
    }
    assert_eq!(served(&mut harness, now, 1000, 20), 5);
}
