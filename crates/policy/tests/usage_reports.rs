//! Reports of usage at other gateways: units that are certainly left are admitted, units that are
//! certainly used up are rejected, and without a valid report a gateway decides by itself.

mod common;
use common::*;
use maplefall_policy::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// 10 units a second, 20 at once, over 50 gateways.
fn plan() -> Plan {
    Plan {
        rate: 10.0,
        burst: 20.0,
        ..Plan::default()
    }
}

fn stage() -> Stage {
    let set = Settings {
        retry_after: true,
        max_retry_after: 5000.0,
        max_units: 8.0,
        ..settings(plan(), 50)
    };
    Stage::new(set, (0..6).map(|id| ready(id, 0)).collect())
}

fn news(units: f64, as_of: Millis, error: f64) -> Event {
    let (customer, plan) = (CustomerId(1), PlanId(0));
    Event::RemoteUsage(RemoteUsage {
        customer,
        plan,
        units,
        as_of,
        error,
        reporting_fraction: 1.0,
    })
}

/// Plays so many requests of two units at once; how many are let in.
fn burst(stage: &mut Stage, now: Millis, first: u32, many: u32) -> usize {
    let play = |id: &u32| {
        let wanted = Request {
            units: 2.0,
            gateways: 50.0,
            ..request(*id, 0, now)
        };
        let Some(at) = stage.arrive(now, wanted) else {
            return false;
        };
        stage.settle(now + 1.0, *id, 0, at, Outcome::Ok);
        true
    };
    (first..first + many).filter(play).count()
}

#[test]
fn units_that_are_certainly_left_are_admitted_beyond_the_slice() {
    let without = burst(&mut stage(), 1.0, 0, 10);
    let mut with = stage();
    with.play(1.0, news(0.0, 1.0, 0.0));
    let (first, again) = (
        burst(&mut with, 1.0, 0, 10),
        burst(&mut with, 1001.0, 100, 10),
    );
    assert!(without <= 2, "{without}");
    assert_eq!(first, 10, "of 20 units that are left, two a request");
    assert_eq!(again, 5, "a second later ten more have come");
}

#[test]
fn units_that_are_certainly_used_up_are_rejected_with_a_retry_time() {
    let mut stage = stage();
    stage.play(1.0, news(25.0, 1.0, 0.0));
    stage.play(
        1.0,
        Event::Arrival(Request {
            units: 2.0,
            gateways: 50.0,
            ..request(1, 0, 1.0)
        }),
    );
    let refused = stage.actions.iter().find_map(|action| match action {
        Action::Reject { retry_after, .. } => Some(*retry_after),
        _ => None,
    });
    assert_eq!(
        refused,
        Some(Some(700.0)),
        "five units over, two wanted, ten a second"
    );
    assert_eq!(burst(&mut stage, 1001.0, 10, 1), 1, "and then it may");
}

#[test]
fn uncertain_requests_are_decided_by_the_slice() {
    let mut stage = stage();
    stage.play(1.0, news(0.0, 1.0, 1000.0));
    let mut without = self::stage();
    assert_eq!(
        burst(&mut stage, 1.0, 0, 10),
        burst(&mut without, 1.0, 0, 10)
    );
}

/// Guards two halves that each take themselves for the whole: each fills only its part of the store.
#[test]
fn gateways_that_do_not_report_keep_their_share() {
    let part = |reporting_fraction| {
        let mut stage = stage();
        let (customer, plan) = (CustomerId(1), PlanId(0));
        let told = RemoteUsage {
            customer,
            plan,
            units: 0.0,
            as_of: 0.0,
            error: 0.0,
            reporting_fraction,
        };
        let mut sent = 0;
        for step in 0..200u32 {
            let now = f64::from(step) * 100.0;
            stage.play(now, Event::RemoteUsage(RemoteUsage { as_of: now, ..told }));
            sent += burst(&mut stage, now, 10 * step, 1);
        }
        sent as f64
    };
    let (whole, half) = (part(1.0), part(0.5));
    // 20 s of ten units a second, two a request.
    assert!((85.0..=112.0).contains(&whole), "{whole}");
    assert!((0.4..0.65).contains(&(half / whole)), "{half} of {whole}");
}

/// Guards everybody who has no news: a random day gives the same actions, with news that are old and without.
#[test]
fn without_reports_and_with_old_ones_all_actions_are_the_same() {
    for seed in 0..60u64 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut pick = |n: u32| rng.next_u32() % n;
        let (mut left, mut right) = (stage(), stage());
        let mut now = 100_000.0;
        let mut open: Vec<(u32, BackendId)> = Vec::new();
        for id in 0..400u32 {
            now += f64::from(pick(120));
            let event = if pick(3) > 0 || open.is_empty() {
                let customer = CustomerId(u64::from(pick(5)));
                let units = f64::from(1 + pick(8));
                let spread = f64::from(1 + pick(50));
                Event::Arrival(Request {
                    customer,
                    units,
                    gateways: spread,
                    ..request(id, pick(3) as usize, now)
                })
            } else {
                let (id, at) = open.swap_remove(pick(open.len() as u32) as usize);
                let outcome =
                    [Outcome::Ok, Outcome::Ok, Outcome::Error, Outcome::Full][pick(4) as usize];
                let metered_usage = Some(f64::from(pick(30)) / 10.0);
                Event::AttemptEnded(AttemptEnded {
                    metered_usage,
                    true_units: Some(2.0),
                    ..attempt_ended(id, 0, at, outcome)
                })
            };
            let old = RemoteUsage {
                customer: CustomerId(u64::from(pick(5))),
                plan: PlanId(0),
                units: f64::from(pick(40)),
                as_of: now - 50_000.0,
                error: 0.0,
                reporting_fraction: 1.0,
            };
            right.play(now, Event::RemoteUsage(old));
            assert!(right.actions.is_empty());
            left.play(now, event.clone());
            right.play(now, event);
            assert_eq!(left.actions, right.actions, "seed {seed}, event {id}");
            for action in &left.actions {
                if let Action::Send {
                    request, backend, ..
                } = action
                {
                    if open.iter().all(|(known, _)| *known != request.0) && request.0 == id {
                        open.push((id, *backend));
                    }
                }
            }
        }
    }
}

/// Guards the ceiling: no news makes it wider.
#[test]
fn a_ceiling_holds_whatever_is_reported() {
    let rate_limit = Some(RateLimit {
        rate: 12.0,
        burst: 10.0,
        slack: 0.0,
    });
    let plan = Plan {
        rate: 10.0,
        burst: 200.0,
        rate_limit,
        ..Plan::default()
    };
    let set = Settings {
        max_units: 8.0,
        ..settings(plan, 2)
    };
    let mut stage = Stage::new(set, (0..6).map(|id| ready(id, 0)).collect());
    let mut sent = 0.0;
    for step in 0..100u32 {
        let now = 1000.0 + f64::from(step) * 100.0;
        stage.play(now, news(-50.0, now, 0.0));
        for id in 0..5 {
            let wanted = Request {
                units: 2.0,
                gateways: 2.0,
                ..request(10 * step + id, 0, now)
            };
            if let Some(at) = stage.arrive(now, wanted) {
                sent += 2.0;
                stage.settle(now + 1.0, 10 * step + id, 0, at, Outcome::Ok);
            }
        }
    }
    assert!(
        sent <= 5.0 + 6.0 * 11.0,
        "{sent} units in ten seconds of six a second and five at once"
    );
    assert!(sent > 40.0, "{sent}");
}

#[test]
fn reports_that_are_not_numbers_do_no_harm() {
    for bad in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, 1e300, -1e300] {
        let mut stage = stage();
        let (customer, plan) = (CustomerId(1), PlanId(0));
        let told = RemoteUsage {
            customer,
            plan,
            units: bad,
            as_of: bad,
            error: bad,
            reporting_fraction: bad,
        };
        stage.play(1.0, Event::RemoteUsage(told));
        stage.play(
            1.0,
            Event::RemoteUsage(RemoteUsage {
                plan: PlanId(99),
                ..told
            }),
        );
        assert!(burst(&mut stage, 60_000.0, 0, 10) >= 1, "{bad}");
    }
}
