use super::*;
use crate::interface::{BackendId, ClassId, CustomerId, PlanId, Report};

fn settings() -> Settings {
    let class = |latency_target, deadline| Class {
        latency_target,
        deadline,
        max_attempts: 2,
        ..Class::default()
    };
    Settings {
        gateways: 4,
        classes: vec![class(500.0, 900.0), class(200.0, 4000.0)],
        plans: vec![Plan::default()],
        max_units: 8.0,
        max_attempts: 3,
        ..Settings::default()
    }
}

fn request() -> Request {
    Request {
        id: RequestId(7),
        customer: CustomerId(1),
        plan: PlanId(0),
        class: ClassId(0),
        units: 2.0,
        deadline: 600.0,
        authorized: true,
        gateways: 3.0,
    }
}

#[test]
fn min_target_and_max_deadline_cover_all_classes() {
    assert_eq!(settings().min_target(), 200.0);
    assert_eq!(settings().max_deadline(), 4000.0);
    assert_eq!(Settings::default().min_target(), DEFAULT_TARGET_MS);
    assert_eq!(Settings::default().max_deadline(), MIN_DEADLINE_MS);
}

#[test]
fn the_lower_attempt_limit_applies() {
    assert_eq!(settings().attempt_limit(&request()), 2);
}

#[test]
fn a_valid_request_is_unchanged() {
    assert_eq!(settings().validated(100.0, request()), Some(request()));
}

#[test]
fn values_out_of_range_are_clamped() {
    let invalid = Request {
        units: 99.0,
        gateways: f64::NAN,
        deadline: f64::INFINITY,
        ..request()
    };
    let request = settings()
        .validated(100.0, invalid)
        .expect("known plan and class");
    assert_eq!(request.units, 8.0);
    assert_eq!(request.gateways, 1.0);
    assert_eq!(request.deadline, 1000.0);
}

#[test]
fn unknown_plans_and_classes_are_invalid() {
    let plan = PlanId(1);
    let class = ClassId(2);
    assert_eq!(
        settings().validated(0.0, Request { plan, ..request() }),
        None
    );
    assert_eq!(
        settings().validated(0.0, Request { class, ..request() }),
        None
    );
}

#[test]
fn a_timer_id_converts_to_its_request() {
    let timer = TimerId::from(RequestId(7));
    assert_eq!(timer.request(), Some(RequestId(7)));
    assert_eq!(TimerId(u64::MAX).request(), None);
}

#[test]
fn a_reset_breaks_a_connection_only_if_one_was_established() {
    let ended = AttemptEnded {
        request: RequestId(7),
        attempt: 0,
        backend: BackendId(1),
        outcome: Outcome::Reset,
        elapsed: -5.0,
        request_closed: false,
        metered_usage: None,
        true_units: None,
        report: Report::default(),
        broken_connections: 1,
    };
    let end = ended.attempt_end(&request());
    assert_eq!(end.result, AttemptResult::ConnectionBroken);
    assert_eq!(end.elapsed, 0.0, "elapsed time is never negative");
    let other = AttemptEnded {
        broken_connections: 0,
        ..ended
    };
    let end = other.attempt_end(&request());
    assert_eq!(end.result, AttemptResult::ConnectionReset);
}
