//! Reports of usage at other gateways: units that are certainly left are admitted, units that are
//! certainly used up are rejected, and without a valid report a gateway decides by itself.

mod common;
use common::*;
use maplefall_policy::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// A quota of 10 units a second and a burst of 20, over 50 gateways.
fn plan() -> Plan {
    Plan {
        rate: 10.0,
        burst: 20.0,
        ..Plan::default()
    }
}

fn harness() -> Harness {
    let set = Settings {
        retry_after: true,
        max_retry_after: 5000.0,
        max_units: 8.0,
        ..settings(plan(), 50)
    };
    Harness::new(set, (0..6).map(|id| ready(id, 0)).collect())
}

fn usage_report(units: f64, as_of: Millis, error: f64) -> Event {
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

/// Plays `count` requests of two units at once; returns how many are admitted.
fn burst(harness: &mut Harness, now: Millis, first: u32, count: u32) -> usize {
    let is_admitted = |id: &u32| {
        let arrival = Request {
            units: 2.0,
            gateways: 50.0,
            ..request(*id, 0, now)
        };
        let Some(at) = harness.arrive(now, arrival) else {
            return false;
        };
        harness.end_attempt(now + 1.0, *id, 0, at, Outcome::Ok);
        true
    };
    (first..first + count).filter(is_admitted).count()
}

#[test]
fn units_that_are_certainly_left_are_admitted_beyond_the_slice() {
    let without = burst(&mut harness(), 1.0, 0, 10);
    let mut with = harness();
    with.handle(1.0, usage_report(0.0, 1.0, 0.0));
    let (first, again) = (
        burst(&mut with, 1.0, 0, 10),
        burst(&mut with, 1001.0, 100, 10),
    );
    assert!(without <= 2, "{without}");
    assert_eq!(first, 10, "20 units are left, two for each request");
    assert_eq!(again, 5, "ten more units one second later");
}

#[test]
fn units_that_are_certainly_used_up_are_rejected_with_a_retry_time() {
    let mut harness = harness();
    harness.handle(1.0, usage_report(25.0, 1.0, 0.0));
    harness.handle(
        1.0,
        Event::Arrival(Request {
            units: 2.0,
            gateways: 50.0,
            ..request(1, 0, 1.0)
        }),
    );
    let retry_time = harness.actions.iter().find_map(|action| match action {
        Action::Reject { retry_after, .. } => Some(*retry_after),
        _ => None,
    });
    assert_eq!(
        retry_time,
        Some(Some(700.0)),
        "five units over the quota, two requested, ten a second"
    );
    assert_eq!(burst(&mut harness, 1001.0, 10, 1), 1, "after that time");
}

#[test]
fn uncertain_requests_are_decided_by_the_slice() {
    let mut harness = harness();
    harness.handle(1.0, usage_report(0.0, 1.0, 1000.0));
    let mut without = self::harness();
    assert_eq!(
        burst(&mut harness, 1.0, 0, 10),
        burst(&mut without, 1.0, 0, 10)
    );
}

/// Guards a partition into two halves, each without reports of the other: each half may use only
/// its share of the quota.
#[test]
fn gateways_that_do_not_report_keep_their_share() {
    let served_with = |reporting_fraction| {
        let mut harness = harness();
        let (customer, plan) = (CustomerId(1), PlanId(0));
        let report = RemoteUsage {
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
            harness.handle(
                now,
                Event::RemoteUsage(RemoteUsage {
                    as_of: now,
                    ..report
                }),
            );
            sent += burst(&mut harness, now, 10 * step, 1);
        }
        sent as f64
    };
    let (whole, half) = (served_with(1.0), served_with(0.5));
    // The quota allows ten units a second over 20 s, at two units for each request.
    assert!((85.0..=112.0).contains(&whole), "{whole}");
    assert!((0.4..0.65).contains(&(half / whole)), "{half} of {whole}");
}

/// Guards gateways without reports: a random sequence of events leads to the same actions without
/// reports and with reports that are too old.
#[test]
fn without_reports_and_with_old_ones_all_actions_are_the_same() {
    for seed in 0..60u64 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut pick = |n: u32| rng.next_u32() % n;
        let (mut without, mut with_old) = (harness(), harness());
        let mut now = 100_000.0;
        let mut in_flight: Vec<(u32, BackendId)> = Vec::new();
        for id in 0..400u32 {
            now += f64::from(pick(120));
            let event = if pick(3) > 0 || in_flight.is_empty() {
                let customer = CustomerId(u64::from(pick(5)));
                let units = f64::from(1 + pick(8));
                let customer_gateways = f64::from(1 + pick(50));
                Event::Arrival(Request {
                    customer,
                    units,
                    gateways: customer_gateways,
                    ..request(id, pick(3) as usize, now)
                })
            } else {
                let (id, at) = in_flight.swap_remove(pick(in_flight.len() as u32) as usize);
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
            with_old.handle(now, Event::RemoteUsage(old));
            assert!(with_old.actions.is_empty());
            without.handle(now, event.clone());
            with_old.handle(now, event);
            assert_eq!(without.actions, with_old.actions, "seed {seed}, event {id}");
            for action in &without.actions {
                if let Action::Send {
                    request, backend, ..
                } = action
                {
                    if in_flight.iter().all(|(known, _)| *known != request.0) && request.0 == id {
                        in_flight.push((id, *backend));
                    }
                }
            }
        }
    }
}

/// Guards the hard rate limit: no report raises it.
#[test]
fn the_rate_limit_holds_whatever_is_reported() {
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
    let mut harness = Harness::new(set, (0..6).map(|id| ready(id, 0)).collect());
    let mut sent = 0.0;
    for step in 0..100u32 {
        let now = 1000.0 + f64::from(step) * 100.0;
        harness.handle(now, usage_report(-50.0, now, 0.0));
        for id in 0..5 {
            let arrival = Request {
                units: 2.0,
                gateways: 2.0,
                ..request(10 * step + id, 0, now)
            };
            if let Some(at) = harness.arrive(now, arrival) {
                sent += 2.0;
                harness.end_attempt(now + 1.0, 10 * step + id, 0, at, Outcome::Ok);
            }
        }
    }
    assert!(
        sent <= 5.0 + 6.0 * 11.0,
        "{sent} units in ten seconds, with six a second and a burst of five"
    );
    assert!(sent > 40.0, "{sent}");
}

#[test]
fn reports_with_invalid_numbers_do_no_harm() {
    for bad in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, 1e300, -1e300] {
        let mut harness = harness();
        let (customer, plan) = (CustomerId(1), PlanId(0));
        let report = RemoteUsage {
            customer,
            plan,
            units: bad,
            as_of: bad,
            error: bad,
            reporting_fraction: bad,
        };
        harness.handle(1.0, Event::RemoteUsage(report));
        harness.handle(
            1.0,
            Event::RemoteUsage(RemoteUsage {
                plan: PlanId(99),
                ..report
            }),
        );
        assert!(burst(&mut harness, 60_000.0, 0, 10) >= 1, "{bad}");
    }
}
