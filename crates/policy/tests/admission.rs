//! Recent average, penalty box and slice, against numbers computed by hand.

mod common;
use common::*;
use maplefall_policy::*;

const LAMBDA: f64 = std::f64::consts::LN_2 / 2000.0;

fn plan() -> Plan {
    Plan {
        rate: 10.0,
        burst: 20.0,
        ..Plan::default()
    } // burst length: 2 s
}

#[test]
fn the_average_halves_in_one_half_life() {
    let mut average = Cewma::default();
    average.feed(0.0, 8.0, LAMBDA);
    let first = average.rate(0.0, LAMBDA);
    assert!((first - 8.0 * std::f64::consts::LN_2 / 2.0).abs() < 1e-9);
    assert!((average.rate(2000.0, LAMBDA) - first / 2.0).abs() < 1e-9);
}

#[test]
fn the_average_converges_to_a_steady_rate() {
    let mut average = Cewma::default();
    (0..4000).for_each(|i| average.feed(f64::from(i) * 10.0, 1.0, LAMBDA));
    assert!((average.rate(39_990.0, LAMBDA) - 100.0).abs() < 0.5);
}

#[test]
fn usage_within_quota_and_burst_is_never_rejected() {
    let mut harness = Harness::new(settings(plan(), 1), vec![ready(1, 0), ready(2, 0)]);
    for i in 0..20 {
        assert!(
            harness.serve(f64::from(i) * 11.0, request(i, 0, 0.0)),
            "request {i} of the burst"
        );
    }
    for i in 20..200 {
        let now = 220.0 + f64::from(i - 19) * 100.0;
        assert!(
            harness.serve(now, request(i, 0, now)),
            "request {i} at the quota's rate"
        );
    }
}

#[test]
fn requests_beyond_the_slice_are_rejected_until_it_refills() {
    let mut harness = Harness::new(settings(plan(), 1), vec![ready(1, 0)]);
    let served = (0..40)
        .filter(|i| harness.serve(1.0 + f64::from(*i), request(*i, 0, 0.0)))
        .count();
    assert_eq!(served, 20);
    assert!(!harness.serve(50.0, request(100, 0, 50.0)));
    assert!(harness.serve(50.0 + 1000.0, request(101, 0, 1050.0)));
}

#[test]
fn rejected_arrivals_count_and_the_penalty_box_reopens_by_itself() {
    let mut harness = Harness::new(settings(plan(), 1), vec![ready(1, 0)]);
    // 4000 arrivals at once: with a half-life of 16 burst lengths (32 s) the average is
    // 4000 ln 2 / 32 s = 87 a second; the limit is 30 + 20 ln 2 / 32 s = 30.4.
    (0..4000).for_each(|i| {
        harness.serve(1.0, request(i, 0, 1.0));
    });
    // The slice holds units again after one second, but the penalty box rejects all requests for
    // 32 s log2(87 / 30.4) = 48.3 s.
    assert!(!harness.serve(2000.0, request(5000, 0, 2000.0)));
    assert!(!harness.serve(48_000.0, request(5001, 0, 48_000.0)));
    assert!(harness.serve(49_500.0, request(5002, 0, 49_500.0)));
}

/// Ten times the quota for three burst lengths does not make the penalty box reject all requests
/// (with a half-life of four burst lengths it did); for sixteen burst lengths it does.
#[test]
fn a_lasting_flood_closes_the_penalty_box_and_a_spike_does_not() {
    let closes_box = |seconds: u32| {
        let mut harness = Harness::new(settings(plan(), 1), vec![ready(1, 0)]);
        for i in 0..seconds * 100 {
            let now = f64::from(i) * 10.0;
            harness.serve(now, request(i, 0, now));
        }
        let now = f64::from(seconds) * 1000.0 + 1500.0;
        harness.serve(now, request(1_000_000, 0, now));
        reason(&harness) == Some(RejectReason::PenaltyBox)
    };
    assert!(!closes_box(6) && closes_box(32));
}

/// A new gateway averages its counts over its own age, so its slices rise to the demand as fast as
/// those of an old gateway, not one half-life later.
#[test]
fn a_new_gateway_follows_demand_as_fast_as_an_old_one() {
    let served = |from: u32| {
        let set = Settings {
            meter_period: 1000.0,
            ..settings(plan(), 4)
        };
        let mut harness = Harness::new(set, vec![ready(1, 0), ready(2, 0)]);
        let served = (0..150).filter(|i| {
            let now = f64::from(from + i) * 100.0;
            let request = Request {
                gateways: 4.0,
                ..request(*i, 0, now)
            };
            let Some(at) = harness.arrive(now, request) else {
                return false;
            };
            let end = AttemptEnded {
                metered_usage: Some(0.5),
                ..attempt_ended(*i, 0, at, Outcome::Ok)
            };
            harness.handle(now + 10.0, Event::AttemptEnded(end));
            true
        });
        served.count()
    };
    // With an even quarter of the burst and of the rate, the slice would admit only 5 + 15 s x 2.5
    // = 42 of 150 requests.
    assert!(served(0) > 90, "{}", served(0));
}

#[test]
fn a_slice_follows_local_demand_and_falls_back_when_the_meter_shows_usage_beyond_the_quota() {
    let served = |used: f64| {
        let set = Settings {
            meter_period: 1000.0,
            ..settings(plan(), 2)
        };
        let mut harness = Harness::new(set, vec![ready(1, 0), ready(2, 0)]);
        let mut served = 0;
        for i in 0..400 {
            let now = f64::from(i) * 100.0;
            let Some(at) = harness.arrive(
                now,
                Request {
                    gateways: 2.0,
                    ..request(i, 0, now)
                },
            ) else {
                continue;
            };
            served += u32::from(i >= 240); // the slice has had time to rise
            let end = AttemptEnded {
                metered_usage: Some(used),
                ..attempt_ended(i, 0, at, Outcome::Ok)
            };
            harness.handle(now + 10.0, Event::AttemptEnded(end));
        }
        served
    };
    let all = served(0.9); // all usage comes through this gateway, so its slice follows
    assert!((155..=160).contains(&all), "{all}");
    let even = served(2.0); // usage is over the quota: this gateway's even share is 5 a second
    assert!((75..=85).contains(&even), "{even}");
}

#[test]
fn true_units_correct_the_slice() {
    let mut harness = Harness::new(
        Settings {
            max_units: 20.0,
            ..settings(plan(), 1)
        },
        vec![ready(1, 0)],
    );
    let first = Request {
        units: 2.0,
        ..request(1, 0, 0.0)
    };
    let at = harness.arrive(1.0, first).unwrap();
    let end = AttemptEnded {
        true_units: Some(19.0),
        ..attempt_ended(1, 0, at, Outcome::Ok)
    };
    harness.handle(2.0, Event::AttemptEnded(end));
    assert!(harness.serve(3.0, request(2, 0, 3.0)));
    assert!(!harness.serve(4.0, request(3, 0, 4.0)));
}

#[test]
fn customers_seen_once_are_evicted_without_effect_on_admission() {
    let mut harness = Harness::new(settings(plan(), 1), vec![ready(1, 0)]);
    (0..20).for_each(|i| assert!(harness.serve(1.0 + f64::from(i), request(i, 0, 0.0))));
    for i in 0..3000u32 {
        let now = 1000.0 + f64::from(i) * 100.0;
        let once = Request {
            customer: CustomerId(u64::from(i) + 10),
            ..request(i + 100, 0, now)
        };
        assert!(harness.serve(now, once));
    }
    assert!(harness.gateway.stats().customers < 1000);
    // The first customer returns: its slice is full, as it would be without the eviction.
    let now = 302_000.0;
    let served = (0..40)
        .filter(|i| harness.serve(now + f64::from(*i), request(i + 9000, 0, now)))
        .count();
    assert_eq!(served, 20);
}

#[test]
fn the_share_of_a_rate_limit_starts_empty_and_holds_through_restarts() {
    let rate_limit = RateLimit {
        rate: 20.0,
        burst: 40.0,
        slack: 4.0,
    };
    let plan = Plan {
        rate: 10.0,
        burst: 2000.0,
        rate_limit: Some(rate_limit),
        ..Plan::default()
    };
    let mut sent = 0.0;
    // Two gateways share the rate limit; one is killed and restarted each second for a minute.
    for restarts in 0..60 {
        let mut harness = Harness::new(settings(plan.clone(), 2), vec![ready(1, 0)]);
        for i in 0..100 {
            let now = f64::from(i) * 10.0;
            sent += f64::from(u8::from(harness.serve(
                now,
                Request {
                    gateways: 2.0,
                    ..request(i, 0, now)
                },
            )));
        }
        assert!(
            sent <= 10.0 * f64::from(restarts + 1),
            "{sent} units after {restarts} restarts"
        );
    }
    assert!(sent > 400.0, "the share is hardly used: {sent}");
}

/// Guards a rate limit that refills more slowly than customers are evicted: a customer that returns
/// must not find its bucket full again.
#[test]
fn the_share_of_a_rate_limit_is_not_refilled_by_eviction() {
    let rate_limit = RateLimit {
        rate: 0.1,
        burst: 20.0,
        slack: 0.0,
    };
    let plan = Plan {
        rate: 1000.0,
        burst: 300.0,
        rate_limit: Some(rate_limit),
        ..Plan::default()
    };
    let mut harness = Harness::new(settings(plan, 1), vec![ready(1, 0)]);
    let mut id = 0;
    let mut served = |harness: &mut Harness, now: Millis, count: u32, customer: u64| {
        let sent = (0..count).filter(|i| {
            id += 1;
            let now = now + f64::from(*i) * 11.0;
            harness.serve(
                now,
                Request {
                    customer: CustomerId(customer),
                    ..request(id, 0, now)
                },
            )
        });
        sent.count()
    };
    // The customer uses all of its share of the rate limit, is evicted while another one sends
    // requests, and returns when six units have been refilled.
    let first = served(&mut harness, 200_000.0, 60, 1);
    (0..300u32).for_each(|i| _ = served(&mut harness, 201_000.0 + f64::from(i) * 200.0, 1, 2));
    assert_eq!(harness.gateway.stats().customers, 1, "not evicted");
    let again = served(&mut harness, 261_000.0, 60, 1);
    assert!(
        first <= 20 && again <= 6 && again > 0,
        "{first}, then {again}"
    );
}

#[test]
fn attempts_in_flight_stay_within_the_share_rounded_up_while_credit_lasts() {
    let plan = Plan {
        max_in_flight: 3,
        ..plan()
    };
    let mut harness = Harness::new(
        settings(plan, 2),
        vec![ready(1, 0), ready(2, 0), ready(3, 0)],
    );
    assert!(harness.serve(
        1.0,
        Request {
            gateways: 2.0,
            ..request(99, 0, 1.0)
        }
    ));
    let late = |i| Request {
        gateways: 2.0,
        ..request(i, 0, 2000.0)
    };
    let sent = (0..5).filter(|i| harness.arrive(2000.0, late(*i)).is_some());
    assert_eq!(sent.count(), 2);
}

#[test]
fn a_spike_does_not_raise_the_slice_before_the_meter_reports_it() {
    let mut harness = Harness::new(settings(plan(), 2), vec![ready(1, 0), ready(2, 0)]);
    // Of a spike of 1.5 s at three times the quota, the slice admits half the burst and the even
    // refill rate, with hardly any rise of that rate.
    let spike = |i: u32| 1.0 + f64::from(i) * 33.0;
    let served = (0..45).filter(|i| {
        harness.serve(
            spike(*i),
            Request {
                gateways: 2.0,
                ..request(*i, 0, 0.0)
            },
        )
    });
    let served = served.count();
    assert!((17..=20).contains(&served), "{served}");
}

#[test]
fn a_concurrency_limit_below_one_per_gateway_holds_in_total_and_is_used() {
    // Twelve gateways, a limit of six attempts in flight, and demand that would keep twelve
    // attempts in flight; each gateway sees only its own attempts.
    let plan = Plan {
        rate: 120.0,
        burst: 240.0,
        max_in_flight: 6,
        ..Plan::default()
    };
    let backends = || (1..=8).map(|id| ready(id, 0)).collect::<Vec<_>>();
    let set = Settings {
        meter_period: 1000.0,
        ..settings(plan, 12)
    };
    let mut harnesses: Vec<Harness> = (0..12)
        .map(|seed| Harness::with_seed(set.clone(), seed, backends()))
        .collect();
    let mut in_flight: Vec<(usize, u32, BackendId, f64)> = Vec::new();
    let (mut mean_in_flight, mut single_attempts) = (0.0, 0);
    for i in 0..3600u32 {
        let now = 1.0 + f64::from(i) * 10.0;
        let (due, rest) = in_flight
            .into_iter()
            .partition(|(.., since)| now - since >= 100.0);
        in_flight = rest;
        for (index, id, at, _) in Vec::<(usize, u32, BackendId, f64)>::from_iter(due) {
            let end = AttemptEnded {
                elapsed: 100.0,
                metered_usage: Some(0.8),
                ..attempt_ended(id, 0, at, Outcome::Ok)
            };
            harnesses[index].handle(now, Event::AttemptEnded(end));
        }
        let index = (i as usize * 7) % 12;
        let arrival = Request {
            gateways: 12.0,
            deadline: now + 3000.0,
            ..request(i, 0, now)
        };
        if let Some(at) = harnesses[index].arrive(now, arrival) {
            single_attempts += u32::from(in_flight.is_empty());
            in_flight.push((index, i, at, now));
        }
        mean_in_flight += if i >= 1200 {
            in_flight.len() as f64 / 2400.0
        } else {
            0.0
        };
    }
    assert!(
        (2.5..=6.5).contains(&mean_in_flight),
        "{mean_in_flight} in flight on average"
    );
    assert!(single_attempts < 600, "the limit is hardly used");
}

#[test]
fn burst_and_quota_with_each_request_retried_once_do_not_close_the_penalty_box() {
    let mut harness = Harness::new(settings(plan(), 1), vec![ready(1, 0), ready(2, 0)]);
    let mut served = 0;
    (0..40).for_each(|i| {
        served += u32::from(harness.serve(1.0 + f64::from(i) * 11.0, request(i, 0, 0.0)))
    });
    assert!(served >= 20);
    // The quota is ten requests a second. Each request is sent twice, which makes twenty a second,
    // so about every second one finds the slice empty.
    let mut later = 0;
    for i in 0..400u32 {
        let now = 500.0 + f64::from(i) * 50.0;
        later += u32::from(harness.serve(now, request(i + 100, 0, now)));
    }
    assert!((190..=210).contains(&later), "{later}");
}

/// Plays a small request and then a large one to one of `customer_gateways` gateways; returns
/// why one of them is rejected. With 100 gateways, the even share of the burst holds no request.
fn large_after_small(customer_gateways: f64, later: Millis, seed: u64) -> Option<RejectReason> {
    let plan = Plan {
        rate: 4.0,
        burst: 20.0,
        ..Plan::default()
    };
    let mut set = settings(plan, 100);
    set.max_units = 8.0;
    let mut harness = Harness::with_seed(set, seed, vec![ready(1, 0)]);
    let small = Request {
        gateways: customer_gateways,
        ..request(1, 0, 0.0)
    };
    if !harness.serve(0.0, small) {
        return Some(RejectReason::Backpressure);
    }
    let large = Request {
        id: RequestId(2),
        units: 8.0,
        deadline: later + 3000.0,
        ..small
    };
    harness.serve(later, large);
    harness.actions.iter().find_map(|action| match action {
        Action::Reject { reason, .. } => Some(*reason),
        _ => None,
    })
}

/// Guards slivers (slices whose even share of the burst is less than a request) that are only as
/// deep as the first request: a larger request is admitted or rejected at random, but never because
/// the sliver cannot hold it. A slice that is a real share of the burst must still refill first.
#[test]
fn a_sliver_grows_with_the_largest_request() {
    let reasons: Vec<_> = (0..60)
        .map(|seed| large_after_small(100.0, 20_000.0, seed))
        .collect();
    assert!(!reasons.contains(&Some(RejectReason::Slice)), "{reasons:?}");
    let served = reasons.iter().filter(|reason| reason.is_none()).count();
    assert!((5..60).contains(&served), "{served} of 60");
    let waits =
        (0..60).all(|seed| large_after_small(4.0, 100.0, seed) == Some(RejectReason::Slice));
    assert!(waits, "a slice of a quarter of the burst must not grow");
}

fn reason(harness: &Harness) -> Option<RejectReason> {
    harness.actions.iter().find_map(|action| match action {
        Action::Reject { reason, .. } => Some(*reason),
        _ => None,
    })
}

/// Each reason for a rejection is reported where it applies, and each has a name of its own.
#[test]
fn a_rejection_states_its_reason() {
    let single_gateway = |plan: Plan| Harness::new(settings(plan, 1), vec![ready(1, 0)]);
    let mut harness = single_gateway(plan());
    harness.handle(
        0.0,
        Event::Arrival(Request {
            plan: PlanId(7),
            ..request(0, 0, 0.0)
        }),
    );
    assert_eq!(reason(&harness), Some(RejectReason::Unknown));
    for id in 1..30 {
        harness.serve(1.0, request(id, 0, 1.0));
    }
    assert_eq!(reason(&harness), Some(RejectReason::Slice));
    for id in 30..4000 {
        harness.serve(1.0, request(id, 0, 1.0));
    }
    assert_eq!(reason(&harness), Some(RejectReason::PenaltyBox));
    let report = RemoteUsage {
        customer: CustomerId(1),
        plan: PlanId(0),
        units: 20.0,
        as_of: 0.0,
        error: 0.0,
        reporting_fraction: 1.0,
    };
    let mut harness = single_gateway(plan());
    harness.handle(0.0, Event::RemoteUsage(report));
    harness.handle(0.0, Event::Arrival(request(1, 0, 0.0)));
    assert_eq!(reason(&harness), Some(RejectReason::QuotaExhausted));
    let rate_limit = Some(RateLimit {
        rate: 1.0,
        burst: 3.0,
        slack: 0.0,
    });
    let mut harness = single_gateway(Plan {
        rate_limit,
        ..plan()
    });
    for id in 0..4 {
        harness.serve(0.0, request(id, 0, 0.0));
    }
    assert_eq!(reason(&harness), Some(RejectReason::RateLimit));
    let mut harness = single_gateway(Plan {
        max_in_flight: 1,
        ..plan()
    });
    for id in 0..2 {
        harness.arrive(0.0, request(id, 0, 0.0));
    }
    assert_eq!(reason(&harness), Some(RejectReason::InFlightLimit));
    let mut harness = Harness::new(settings(plan(), 1), vec![]);
    harness.handle(0.0, Event::Arrival(request(1, 0, 0.0)));
    assert_eq!(reason(&harness), Some(RejectReason::NoBackend));
    let mut harness = single_gateway(plan());
    let at = harness.arrive(0.0, request(1, 0, 0.0)).expect("sent");
    harness.end_attempt(10.0, 1, 0, at, Outcome::ConnectFailed);
    for attempt in 1..4 {
        let Some(again) = harness.sent() else { break };
        harness.end_attempt(10.0, 1, attempt, again, Outcome::ConnectFailed);
    }
    assert_eq!(reason(&harness), Some(RejectReason::AttemptsFailed));
    let names: std::collections::BTreeSet<_> = RejectReason::ALL
        .iter()
        .map(|reason| reason.name())
        .collect();
    assert_eq!(names.len(), RejectReason::ALL.len());
}

/// A single gateway advises the time at which its slice will hold the request. One of several
/// advises a shorter time: another gateway's slice may hold it, and the response would still be in
/// time.
#[test]
fn retry_times_are_short_if_another_gateway_may_admit() {
    let advised = |customer_gateways: f64| {
        let set = Settings {
            retry_after: true,
            max_retry_after: 60_000.0,
            max_units: 8.0,
            ..settings(plan(), customer_gateways as u32)
        };
        let mut harness = Harness::new(set, vec![ready(1, 0)]);
        let arrival = |id: u32| Request {
            gateways: customer_gateways,
            units: 8.0,
            ..request(id, 0, 1.0)
        };
        (0..9).find_map(|id| {
            harness.serve(1.0, arrival(id));
            harness.actions.iter().find_map(|action| match action {
                Action::Reject {
                    reason: RejectReason::Slice,
                    retry_after,
                    ..
                } => *retry_after,
                _ => None,
            })
        })
    };
    // A slice of 20 units holds two requests of 8 units and 4 units of a third; 4 more are refilled
    // in 400 ms.
    assert!(
        advised(1.0).is_some_and(|wait| (wait - 400.0).abs() < 2.0),
        "{:?}",
        advised(1.0)
    );
    // The latency target is one second, so the advised time is limited to 0.3 s.
    assert!(
        advised(4.0).is_some_and(|wait| (wait - 300.0).abs() < 1.0),
        "{:?}",
        advised(4.0)
    );
}

/// Four times the quota, evenly through four gateways without reports of each other: without a
/// meter, slices stay at their even shares; with a meter that has not reported yet, they rise.
#[test]
fn without_a_meter_slices_do_not_rise() {
    let served = |meter_period: f64| {
        let set = Settings {
            meter_period,
            ..settings(plan(), 4)
        };
        let mut harness = Harness::new(set, vec![ready(1, 0), ready(2, 0)]);
        // Demand at the whole quota rate reaches this gateway alone, for 20 s.
        (0..200)
            .filter(|i| {
                harness.serve(
                    f64::from(*i) * 100.0,
                    Request {
                        gateways: 4.0,
                        ..request(*i, 0, f64::from(*i) * 100.0)
                    },
                )
            })
            .count()
    };
    // Without a meter, the slice admits an even quarter of burst and rate: 5 + 20 s x 2.5.
    assert!((50..=56).contains(&served(0.0)), "{}", served(0.0));
    assert!(served(500.0) > 100, "{}", served(500.0));
}
