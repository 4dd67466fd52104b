//! Invalid input about the fleet: the gateway keeps deciding, and none of its figures becomes NaN.

mod common;
use common::*;
use maplefall_policy::*;

fn plan() -> Plan {
    Plan {
        rate: 50.0,
        burst: 100.0,
        max_in_flight: 4,
        ..Plan::default()
    }
}

/// Plays 200 requests that are all served, 0.1 s apart; returns how many were forwarded.
fn served(harness: &mut Harness, from: Millis, customer_gateways: f64) -> usize {
    let is_served = |i: &u32| {
        let now = from + f64::from(*i) * 100.0;
        let id = *i + from as u32;
        let Some(at) = harness.arrive(
            now,
            Request {
                gateways: customer_gateways,
                ..request(id, 0, now)
            },
        ) else {
            return false;
        };
        harness.end_attempt(now + 20.0, id, 0, at, Outcome::Ok);
        true
    };
    (0..200).filter(is_served).count()
}

/// Guards against division by zero: no gateways, more than there can be, and numbers of a
/// customer's gateways that are 0, negative, infinite or NaN.
#[test]
fn a_gateway_serves_with_any_number_of_gateways_in_settings_and_requests() {
    for gateways in [0, 1, 100, u32::MAX] {
        for customer_gateways in [f64::NAN, f64::INFINITY, -3.0, 0.0, 1.0, 1e300] {
            let list = (0..3).map(|id| ready(id, 0)).collect();
            let mut harness = Harness::new(settings(plan(), gateways), list);
            let sent = served(&mut harness, 0.0, customer_gateways);
            assert!(
                sent > 0,
                "{gateways} gateways, {customer_gateways} for the customer: nothing forwarded"
            );
            assert!(
                sent == 200 || gateways > 1,
                "{gateways} gateways, {customer_gateways} for the customer: {sent} of 200 forwarded"
            );
        }
    }
}

/// Guards against invalid slow-start settings: times and capacities of 0, negative or huge ones.
#[test]
fn slow_start_with_invalid_settings_ends() {
    for (start_capacity, warm_up, overload_factor) in [
        (0.0, 0.0, 0.0),
        (0.0, 10_000.0, 3.0),
        (2.0, 1e12, 1e12),
        (1.0, -5.0, -1.0),
    ] {
        let set = Settings {
            start_capacity,
            warm_up,
            overload_factor,
            ..settings(plan(), 4)
        };
        let starting = (0..3)
            .map(|id| BackendEntry {
                started: Some(0.0),
                ..ready(id, 0)
            })
            .collect();
        let mut harness = Harness::new(set, starting);
        let late = if warm_up > 1e9 { 0.0 } else { 20_000.0 };
        assert!(
            served(&mut harness, late, 1.0) > 0,
            "{start_capacity} {warm_up} {overload_factor}"
        );
    }
}

/// Guards lists of any length: no entry, one, thousands, and each entry twice.
#[test]
fn a_list_of_any_length_is_accepted() {
    for backends in [0u32, 1, 5000] {
        let list: Vec<_> = (0..backends).map(|id| ready(id, 0)).collect();
        let mut harness = Harness::new(settings(plan(), 100), [list.clone(), list].concat());
        let sent = served(&mut harness, 0.0, 50.0);
        assert_eq!(sent > 0, backends > 0, "{backends} backends");
    }
}

/// Guards a gateway that starts with a list of failed backends only: 100 requests in one second try
/// them in turn, none more than three times, and new backends serve as soon as they are listed.
#[test]
fn failed_backends_are_tried_in_turn() {
    let wide = Plan {
        rate: 1000.0,
        burst: 1000.0,
        ..Plan::default()
    };
    let mut harness = Harness::new(
        settings(wide, 100),
        (0..60).map(|id| ready(id, 0)).collect(),
    );
    let mut tried = std::collections::BTreeMap::new();
    for i in 0..100u32 {
        let now = f64::from(i) * 10.0;
        let mut sent = harness.arrive(now, request(i, 0, now));
        let mut attempt = 0;
        while let Some(at) = sent {
            *tried.entry(at).or_insert(0) += 1;
            harness.end_attempt(now, i, attempt, at, Outcome::ConnectFailed);
            attempt += 1;
            sent = harness.sent();
        }
    }
    let max = tried.values().max().copied().unwrap_or(0);
    assert!(
        tried.len() > 30 && max <= 3,
        "{} backends tried, one of them {max} times",
        tried.len()
    );
    let new: Vec<_> = (100..160).map(|id| ready(id, 0)).collect();
    harness.handle(1000.0, Event::Backends(ListKind::Full, new));
    assert!(served(&mut harness, 5000.0, 1.0) > 0);
}
