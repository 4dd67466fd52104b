//! What a gateway is told of its fleet may be nonsense: it goes on deciding, with figures that are numbers.

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

/// Plays requests that are all served, a tenth of a second apart; tells how many were sent on.
fn served(stage: &mut Stage, from: Millis, spread: f64) -> usize {
    let play = |i: &u32| {
        let now = from + f64::from(*i) * 100.0;
        let id = *i + from as u32;
        let Some(at) = stage.arrive(
            now,
            Request {
                gateways: spread,
                ..request(id, 0, now)
            },
        ) else {
            return false;
        };
        stage.settle(now + 20.0, id, 0, at, Outcome::Ok);
        true
    };
    (0..200).filter(play).count()
}

/// Guards divisions by what can be nought: no gateways, more than there can be, spreads that are no number.
#[test]
fn any_number_of_gateways_and_any_spread_leave_a_gateway_that_serves() {
    for gateways in [0, 1, 100, u32::MAX] {
        for spread in [f64::NAN, f64::INFINITY, -3.0, 0.0, 1.0, 1e300] {
            let list = (0..3).map(|id| ready(id, 0)).collect();
            let mut stage = Stage::new(settings(plan(), gateways), list);
            let sent = served(&mut stage, 0.0, spread);
            assert!(
                sent > 0,
                "{gateways} gateways, spread {spread}: nothing is sent on"
            );
            assert!(
                sent == 200 || gateways > 1,
                "{gateways} gateways, spread {spread}: {sent} of 200"
            );
        }
    }
}

/// Guards times and sizes of the cold start that make no sense.
#[test]
fn slow_start_with_nonsense_settings_still_ends() {
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
        let cold = (0..3)
            .map(|id| BackendEntry {
                started: Some(0.0),
                ..ready(id, 0)
            })
            .collect();
        let mut stage = Stage::new(set, cold);
        let late = if warm_up > 1e9 { 0.0 } else { 20_000.0 };
        assert!(
            served(&mut stage, late, 1.0) > 0,
            "{start_capacity} {warm_up} {overload_factor}"
        );
    }
}

/// Guards lists of any length: none, one, thousands, the same line many times; each request has its one answer.
#[test]
fn a_list_of_any_length_is_taken_in() {
    for backends in [0u32, 1, 5000] {
        let list: Vec<_> = (0..backends).map(|id| ready(id, 0)).collect();
        let mut stage = Stage::new(settings(plan(), 100), [list.clone(), list].concat());
        let sent = served(&mut stage, 0.0, 50.0);
        assert_eq!(sent > 0, backends > 0, "{backends} backends");
    }
}

/// Guards a gateway that begins with a list of the dead alone: they are gone through in turn, none again and again by
/// 100 requests in a second, and the living serve as soon as they are told of.
#[test]
fn a_list_of_dead_backends_is_tried_in_turn() {
    let wide = Plan {
        rate: 1000.0,
        burst: 1000.0,
        ..Plan::default()
    };
    let mut stage = Stage::new(
        settings(wide, 100),
        (0..60).map(|id| ready(id, 0)).collect(),
    );
    let mut tried = std::collections::BTreeMap::new();
    for i in 0..100u32 {
        let now = f64::from(i) * 10.0;
        let mut sent = stage.arrive(now, request(i, 0, now));
        let mut attempt = 0;
        while let Some(at) = sent {
            *tried.entry(at).or_insert(0) += 1;
            stage.settle(now, i, attempt, at, Outcome::ConnectFailed);
            attempt += 1;
            sent = stage.sent();
        }
    }
    let most = tried.values().max().copied().unwrap_or(0);
    assert!(
        tried.len() > 30 && most <= 3,
        "{} tried, one of them {most} times",
        tried.len()
    );
    let living: Vec<_> = (100..160).map(|id| ready(id, 0)).collect();
    stage.play(1000.0, Event::Backends(ListKind::Full, living));
    assert!(served(&mut stage, 5000.0, 1.0) > 0);
}
