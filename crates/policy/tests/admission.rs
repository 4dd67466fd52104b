//! The design's recent average, penalty box and slice, against numbers computed by hand.

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
fn the_average_halves_in_a_halflife() {
    let mut average = Cewma::default();
    average.feed(0.0, 8.0, LAMBDA);
    let first = average.rate(0.0, LAMBDA);
    assert!((first - 8.0 * std::f64::consts::LN_2 / 2.0).abs() < 1e-9);
    assert!((average.rate(2000.0, LAMBDA) - first / 2.0).abs() < 1e-9);
}

#[test]
fn a_steady_rate_is_found() {
    let mut average = Cewma::default();
    (0..4000).for_each(|i| average.feed(f64::from(i) * 10.0, 1.0, LAMBDA));
    assert!((average.rate(39_990.0, LAMBDA) - 100.0).abs() < 0.5);
}

#[test]
fn usage_within_quota_and_burst_is_never_rejected() {
    let mut stage = Stage::new(settings(plan(), 1), vec![ready(1, 0), ready(2, 0)]);
    for i in 0..20 {
        assert!(
            stage.serve(f64::from(i) * 11.0, request(i, 0, 0.0)),
            "request {i} of the burst"
        );
    }
    for i in 20..200 {
        let now = 220.0 + f64::from(i - 19) * 100.0;
        assert!(
            stage.serve(now, request(i, 0, now)),
            "request {i} at the quota's rate"
        );
    }
}

#[test]
fn requests_beyond_the_slice_are_rejected_until_it_refills() {
    let mut stage = Stage::new(settings(plan(), 1), vec![ready(1, 0)]);
    let served = (0..40)
        .filter(|i| stage.serve(1.0 + f64::from(*i), request(*i, 0, 0.0)))
        .count();
    assert_eq!(served, 20);
    assert!(!stage.serve(50.0, request(100, 0, 50.0)));
    assert!(stage.serve(50.0 + 1000.0, request(101, 0, 1050.0)));
}

#[test]
fn rejected_arrivals_feed_the_penalty_box_and_it_opens_by_itself() {
    let mut stage = Stage::new(settings(plan(), 1), vec![ready(1, 0)]);
    // 4000 arrivals at once: with a halflife of sixteen bursts (32 s) the average stands at
    // 4000 ln 2 / 32 s = 87 a second; the limit is 30 + 20 ln 2 / 32 s = 30.4.
    (0..4000).for_each(|i| {
        stage.serve(1.0, request(i, 0, 1.0));
    });
    // The slice holds units again after a second, yet the box is shut for 32 s log2(87 / 30.4) = 48.3 s.
    assert!(!stage.serve(2000.0, request(5000, 0, 2000.0)));
    assert!(!stage.serve(48_000.0, request(5001, 0, 48_000.0)));
    assert!(stage.serve(49_500.0, request(5002, 0, 49_500.0)));
}

/// A spike of ten times the quota for three bursts' time does not shut the box (with a halflife of four it did); for sixteen it does.
#[test]
fn a_spike_leaves_the_penalty_box_open_and_a_lasting_flood_closes_it() {
    let boxed = |seconds: u32| {
        let mut stage = Stage::new(settings(plan(), 1), vec![ready(1, 0)]);
        for i in 0..seconds * 100 {
            let now = f64::from(i) * 10.0;
            stage.serve(now, request(i, 0, now));
        }
        let now = f64::from(seconds) * 1000.0 + 1500.0;
        stage.serve(now, request(1_000_000, 0, now));
        reason(&stage) == Some(RejectReason::PenaltyBox)
    };
    assert!(!boxed(6) && boxed(32));
}

/// What a young gateway has counted is taken over the time that it had: its slices rise to where the customer comes as soon as
/// those of an old one, and not a halflife later.
#[test]
fn a_young_gateway_follows_demand_as_soon_as_an_old_one() {
    let served = |from: u32| {
        let set = Settings {
            meter_period: 1000.0,
            ..settings(plan(), 4)
        };
        let mut stage = Stage::new(set, vec![ready(1, 0), ready(2, 0)]);
        let served = (0..150).filter(|i| {
            let now = f64::from(from + i) * 100.0;
            let request = Request {
                gateways: 4.0,
                ..request(*i, 0, now)
            };
            let Some(at) = stage.arrive(now, request) else {
                return false;
            };
            let end = AttemptEnded {
                metered_usage: Some(0.5),
                ..attempt_ended(*i, 0, at, Outcome::Ok)
            };
            stage.play(now + 10.0, Event::AttemptEnded(end));
            true
        });
        served.count()
    };
    // A quarter of the burst and of the rate alone would let in 5 + 15 s x 2.5 = 42 of 150.
    assert!(served(0) > 90, "{}", served(0));
}

#[test]
fn a_slice_follows_local_demand_and_falls_back_when_the_meter_shows_usage_beyond_the_quota() {
    let served = |used: f64| {
        let set = Settings {
            meter_period: 1000.0,
            ..settings(plan(), 2)
        };
        let mut stage = Stage::new(set, vec![ready(1, 0), ready(2, 0)]);
        let mut served = 0;
        for i in 0..400 {
            let now = f64::from(i) * 100.0;
            let Some(at) = stage.arrive(
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
            stage.play(now + 10.0, Event::AttemptEnded(end));
        }
        served
    };
    let all = served(0.9); // all of the quota comes through this gateway, so its slice follows
    assert!((155..=160).contains(&all), "{all}");
    let even = served(2.0); // the others use it up: 5 a second are this gateway's share
    assert!((75..=85).contains(&even), "{even}");
}

#[test]
fn true_units_settle_the_slice() {
    let mut stage = Stage::new(
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
    let at = stage.arrive(1.0, first).unwrap();
    let end = AttemptEnded {
        true_units: Some(19.0),
        ..attempt_ended(1, 0, at, Outcome::Ok)
    };
    stage.play(2.0, Event::AttemptEnded(end));
    assert!(stage.serve(3.0, request(2, 0, 3.0)));
    assert!(!stage.serve(4.0, request(3, 0, 4.0)));
}

#[test]
fn customers_seen_once_are_forgotten_and_forgetting_changes_nothing() {
    let mut stage = Stage::new(settings(plan(), 1), vec![ready(1, 0)]);
    (0..20).for_each(|i| assert!(stage.serve(1.0 + f64::from(i), request(i, 0, 0.0))));
    for i in 0..3000u32 {
        let now = 1000.0 + f64::from(i) * 100.0;
        let once = Request {
            customer: CustomerId(u64::from(i) + 10),
            ..request(i + 100, 0, now)
        };
        assert!(stage.serve(now, once));
    }
    assert!(stage.gateway.stats().customers < 1000);
    // The first customer is back: its slice is full, as it would have been.
    let now = 302_000.0;
    let served = (0..40)
        .filter(|i| stage.serve(now + f64::from(*i), request(i + 9000, 0, now)))
        .count();
    assert_eq!(served, 20);
}

#[test]
fn the_share_of_a_ceiling_starts_empty_and_holds_through_restarts() {
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
    // Two gateways share the ceiling; one is killed and started again each second for a minute.
    for life in 0..60 {
        let mut stage = Stage::new(settings(plan.clone(), 2), vec![ready(1, 0)]);
        for i in 0..100 {
            let now = f64::from(i) * 10.0;
            sent += f64::from(u8::from(stage.serve(
                now,
                Request {
                    gateways: 2.0,
                    ..request(i, 0, now)
                },
            )));
        }
        assert!(
            sent <= 10.0 * f64::from(life + 1),
            "{sent} units after {life} lives"
        );
    }
    assert!(sent > 400.0, "a part is there to be used: {sent}");
}

/// Guards a ceiling that fills more slowly than customers are forgotten: one that comes back would else find it full again.
#[test]
fn the_share_of_a_ceiling_is_no_fuller_for_a_customer_that_was_evicted() {
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
    let mut stage = Stage::new(settings(plan, 1), vec![ready(1, 0)]);
    let mut id = 0;
    let mut tries = |stage: &mut Stage, now: Millis, count: u32, customer: u64| {
        let sent = (0..count).filter(|i| {
            id += 1;
            let now = now + f64::from(*i) * 11.0;
            stage.serve(
                now,
                Request {
                    customer: CustomerId(customer),
                    ..request(id, 0, now)
                },
            )
        });
        sent.count()
    };
    // It uses all of its part, is forgotten while another comes, and comes back when six units have come in since.
    let first = tries(&mut stage, 200_000.0, 60, 1);
    (0..300u32).for_each(|i| _ = tries(&mut stage, 201_000.0 + f64::from(i) * 200.0, 1, 2));
    assert_eq!(stage.gateway.stats().customers, 1, "forgotten");
    let again = tries(&mut stage, 261_000.0, 60, 1);
    assert!(
        first <= 20 && again <= 6 && again > 0,
        "{first}, then {again}"
    );
}

#[test]
fn open_attempts_keep_to_the_share_of_this_gateway_rounded_up_while_time_is_saved() {
    let plan = Plan {
        max_in_flight: 3,
        ..plan()
    };
    let mut stage = Stage::new(
        settings(plan, 2),
        vec![ready(1, 0), ready(2, 0), ready(3, 0)],
    );
    assert!(stage.serve(
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
    let sent = (0..5).filter(|i| stage.arrive(2000.0, late(*i)).is_some());
    assert_eq!(sent.count(), 2);
}

#[test]
fn a_spike_does_not_raise_the_slice_before_the_meter_can_tell() {
    let mut stage = Stage::new(settings(plan(), 2), vec![ready(1, 0), ready(2, 0)]);
    // One and a half seconds at three times the quota: half a burst, the even refill, and little of a rise.
    let spike = |i: u32| 1.0 + f64::from(i) * 33.0;
    let served = (0..45).filter(|i| {
        stage.serve(
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
fn a_concurrency_limit_below_one_a_gateway_holds_for_the_sum_and_is_used() {
    // Twelve gateways, a cap of six and use that would keep twelve out: no gateway sees more than its own.
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
    let mut stages: Vec<Stage> = (0..12)
        .map(|seed| Stage::seeded(set.clone(), seed, backends()))
        .collect();
    let mut out: Vec<(usize, u32, BackendId, f64)> = Vec::new();
    let (mut time_out, mut alone) = (0.0, 0);
    for i in 0..3600u32 {
        let now = 1.0 + f64::from(i) * 10.0;
        let (due, rest) = out
            .into_iter()
            .partition(|(.., since)| now - since >= 100.0);
        out = rest;
        for (door, id, at, _) in Vec::<(usize, u32, BackendId, f64)>::from_iter(due) {
            let end = AttemptEnded {
                elapsed: 100.0,
                metered_usage: Some(0.8),
                ..attempt_ended(id, 0, at, Outcome::Ok)
            };
            stages[door].play(now, Event::AttemptEnded(end));
        }
        let door = (i as usize * 7) % 12;
        let asked = Request {
            gateways: 12.0,
            deadline: now + 3000.0,
            ..request(i, 0, now)
        };
        if let Some(at) = stages[door].arrive(now, asked) {
            alone += u32::from(out.is_empty());
            out.push((door, i, at, now));
        }
        time_out += if i >= 1200 {
            out.len() as f64 / 2400.0
        } else {
            0.0
        };
    }
    assert!((2.5..=6.5).contains(&time_out), "{time_out} out on average");
    assert!(alone < 600, "the cap is made use of");
}

#[test]
fn burst_and_quota_with_each_request_retried_once_do_not_close_the_penalty_box() {
    let mut stage = Stage::new(settings(plan(), 1), vec![ready(1, 0), ready(2, 0)]);
    let mut served = 0;
    (0..40).for_each(|i| {
        served += u32::from(stage.serve(1.0 + f64::from(i) * 11.0, request(i, 0, 0.0)))
    });
    assert!(served >= 20);
    // Ten a second are the quota; each comes twice, and every second one finds the slice empty at most.
    let mut later = 0;
    for i in 0..400u32 {
        let now = 500.0 + f64::from(i) * 50.0;
        later += u32::from(stage.serve(now, request(i + 100, 0, now)));
    }
    assert!((190..=210).contains(&later), "{later}");
}

/// A customer spread over a hundred gateways, whose part of the burst holds no request: a small request first, a large one next.
fn large_after_small(spread: f64, later: Millis, seed: u64) -> Option<RejectReason> {
    let plan = Plan {
        rate: 4.0,
        burst: 20.0,
        ..Plan::default()
    };
    let mut set = settings(plan, 100);
    set.max_units = 8.0;
    let mut stage = Stage::seeded(set, seed, vec![ready(1, 0)]);
    let small = Request {
        gateways: spread,
        ..request(1, 0, 0.0)
    };
    if !stage.serve(0.0, small) {
        return Some(RejectReason::Backpressure);
    }
    let large = Request {
        id: RequestId(2),
        units: 8.0,
        deadline: later + 3000.0,
        ..small
    };
    stage.serve(later, large);
    stage.actions.iter().find_map(|action| match action {
        Action::Reject { reason, .. } => Some(*reason),
        _ => None,
    })
}

/// Guards slices that were made for the first request: a larger one is let in or not by chance, never for want of a slice that
/// would have held it. Where the slice is a part of the burst worth the name, it must still wait for it.
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
    assert!(
        waits,
        "a slice of a quarter of the burst is none that grows"
    );
}

fn reason(stage: &Stage) -> Option<RejectReason> {
    stage.actions.iter().find_map(|action| match action {
        Action::Reject { reason, .. } => Some(*reason),
        _ => None,
    })
}

/// Each reason is told where it is the one, and each has a name of its own.
#[test]
fn a_rejection_states_its_reason() {
    let one = |plan: Plan| Stage::new(settings(plan, 1), vec![ready(1, 0)]);
    let mut stage = one(plan());
    stage.play(
        0.0,
        Event::Arrival(Request {
            plan: PlanId(7),
            ..request(0, 0, 0.0)
        }),
    );
    assert_eq!(reason(&stage), Some(RejectReason::Unknown));
    for id in 1..30 {
        stage.serve(1.0, request(id, 0, 1.0));
    }
    assert_eq!(reason(&stage), Some(RejectReason::Slice));
    for id in 30..4000 {
        stage.serve(1.0, request(id, 0, 1.0));
    }
    assert_eq!(reason(&stage), Some(RejectReason::PenaltyBox));
    let told = RemoteUsage {
        customer: CustomerId(1),
        plan: PlanId(0),
        units: 20.0,
        as_of: 0.0,
        error: 0.0,
        reporting_fraction: 1.0,
    };
    let mut stage = one(plan());
    stage.play(0.0, Event::RemoteUsage(told));
    stage.play(0.0, Event::Arrival(request(1, 0, 0.0)));
    assert_eq!(reason(&stage), Some(RejectReason::QuotaExhausted));
    let rate_limit = Some(RateLimit {
        rate: 1.0,
        burst: 3.0,
        slack: 0.0,
    });
    let mut stage = one(Plan {
        rate_limit,
        ..plan()
    });
    for id in 0..4 {
        stage.serve(0.0, request(id, 0, 0.0));
    }
    assert_eq!(reason(&stage), Some(RejectReason::RateLimit));
    let mut stage = one(Plan {
        max_in_flight: 1,
        ..plan()
    });
    for id in 0..2 {
        stage.arrive(0.0, request(id, 0, 0.0));
    }
    assert_eq!(reason(&stage), Some(RejectReason::InFlightLimit));
    let mut stage = Stage::new(settings(plan(), 1), vec![]);
    stage.play(0.0, Event::Arrival(request(1, 0, 0.0)));
    assert_eq!(reason(&stage), Some(RejectReason::NoBackend));
    let mut stage = one(plan());
    let at = stage.arrive(0.0, request(1, 0, 0.0)).expect("sent");
    stage.settle(10.0, 1, 0, at, Outcome::ConnectFailed);
    for attempt in 1..4 {
        let Some(again) = stage.sent() else { break };
        stage.settle(10.0, 1, attempt, again, Outcome::ConnectFailed);
    }
    assert_eq!(reason(&stage), Some(RejectReason::AttemptsFailed));
    let names: std::collections::BTreeSet<_> = RejectReason::ALL
        .iter()
        .map(|reason| reason.name())
        .collect();
    assert_eq!(names.len(), RejectReason::ALL.len());
}

/// Alone, a gateway tells when its slice will hold the request; one of several asks the client back while another one's may, and
/// an answer would still be in time.
#[test]
fn retry_times_are_short_where_another_gateway_may_have_room() {
    let advised = |spread: f64| {
        let set = Settings {
            retry_after: true,
            max_retry_after: 60_000.0,
            max_units: 8.0,
            ..settings(plan(), spread as u32)
        };
        let mut stage = Stage::new(set, vec![ready(1, 0)]);
        let ask = |id: u32| Request {
            gateways: spread,
            units: 8.0,
            ..request(id, 0, 1.0)
        };
        (0..9).find_map(|id| {
            stage.serve(1.0, ask(id));
            stage.actions.iter().find_map(|action| match action {
                Action::Reject {
                    reason: RejectReason::Slice,
                    retry_after,
                    ..
                } => *retry_after,
                _ => None,
            })
        })
    };
    // 20 units hold two requests of 8 and 4 units of a third; 4 more come within 400 ms.
    assert!(
        advised(1.0).is_some_and(|wait| (wait - 400.0).abs() < 2.0),
        "{:?}",
        advised(1.0)
    );
    // The aim is a second.
    assert!(
        advised(4.0).is_some_and(|wait| (wait - 300.0).abs() < 1.0),
        "{:?}",
        advised(4.0)
    );
}

/// Four times its quota through four gateways evenly, with nothing to tell them of each other: without a meter slices stay at their
/// even shares; with one that has not spoken yet they rise.
#[test]
fn without_a_meter_slices_do_not_rise() {
    let served = |meter_period: f64| {
        let set = Settings {
            meter_period,
            ..settings(plan(), 4)
        };
        let mut stage = Stage::new(set, vec![ready(1, 0), ready(2, 0)]);
        // At each gateway as much as the whole quota, for twenty seconds.
        (0..200)
            .filter(|i| {
                stage.serve(
                    f64::from(*i) * 100.0,
                    Request {
                        gateways: 4.0,
                        ..request(*i, 0, f64::from(*i) * 100.0)
                    },
                )
            })
            .count()
    };
    // A quarter of the burst and of the rate: 5 + 20 s x 2.5.
    assert!((50..=56).contains(&served(0.0)), "{}", served(0.0));
    assert!(served(500.0) > 100, "{}", served(500.0));
}
