//! A gateway that examines few backends for each choice takes the same actions as one with the same
//! seed that examines all of them.

mod common;
use common::*;
use maplefall_policy::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// An attempt in flight.
#[derive(Clone, Copy)]
struct InFlight {
    request: u32,
    attempt: u32,
    backend: BackendId,
    sent: Millis,
}

struct Comparison {
    indexed: Gateway,
    exhaustive: Gateway,
    in_flight: Vec<InFlight>,
    timers: Vec<(Millis, TimerId)>,
    sends: u64,
}

impl Comparison {
    fn handle(&mut self, now: Millis, event: Event) {
        let (mut actions, mut exhaustive_actions) = (Vec::new(), Vec::new());
        self.indexed.handle(now, event.clone(), &mut actions);
        self.exhaustive.handle(now, event, &mut exhaustive_actions);
        assert_eq!(actions, exhaustive_actions, "at {now}");
        for action in actions {
            match action {
                Action::Send {
                    request, backend, ..
                } => {
                    let attempt = self.sends_of(request.0);
                    self.in_flight.push(InFlight {
                        request: request.0,
                        attempt,
                        backend,
                        sent: now,
                    });
                    self.sends += 1;
                }
                Action::SetTimer { at, timer } => self.timers.push((at, timer)),
                _ => {}
            }
        }
    }

    fn sends_of(&self, request: u32) -> u32 {
        self.in_flight
            .iter()
            .filter(|one| one.request == request)
            .count() as u32
    }
}

/// Plays a random sequence of events to both gateways; returns the number of attempts.
fn run(seed: u64, gateways: u32, backends: u32) -> u64 {
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut pick = move |n: u32| rng.next_u32() % n.max(1);
    let plan = Plan {
        rate: 300.0,
        burst: 900.0,
        ..Plan::default()
    };
    let set = Settings {
        warm_up: 5000.0,
        start_capacity: 0.2,
        overload_factor: 3.0,
        cross_zone_price: 0.02,
        ..settings(plan, gateways)
    };
    let (indexed, exhaustive) = (
        Gateway::new(set.clone(), seed),
        Gateway::new(set, seed).exhaustive(),
    );
    let mut comparison = Comparison {
        indexed,
        exhaustive,
        in_flight: Vec::new(),
        timers: Vec::new(),
        sends: 0,
    };
    let list: Vec<_> = (0..backends).map(|id| ready(id, id % 3)).collect();
    comparison.handle(0.0, Event::Backends(ListKind::Cached, list));
    let outcomes = [
        Outcome::Ok,
        Outcome::Ok,
        Outcome::Ok,
        Outcome::Ok,
        Outcome::Error,
        Outcome::Full,
        Outcome::Timeout,
        Outcome::ConnectFailed,
        Outcome::Reset,
        Outcome::Cancelled,
    ];
    // The service times differ widely between backends.
    let service_time = |id: BackendId| 2.0 + f64::from(id.0 * 7919 % 97);
    let mut now = 1.0;
    for id in 0..1200u32 {
        now += f64::from(pick(30));
        comparison.timers.sort_by(|a, b| a.0.total_cmp(&b.0));
        while comparison.timers.first().is_some_and(|(at, _)| *at <= now) {
            let (at, timer) = comparison.timers.remove(0);
            comparison.handle(at.max(1.0), Event::Timer(timer));
        }
        match pick(16) {
            0..=6 => {
                let customer = CustomerId(u64::from(pick(40)));
                let units = f64::from(1 + pick(8));
                let arrival = request(id, pick(3) as usize, now);
                let customer_gateways = f64::from(gateways.min(4));
                comparison.handle(
                    now,
                    Event::Arrival(Request {
                        customer,
                        units,
                        gateways: customer_gateways,
                        ..arrival
                    }),
                );
            }
            7..=13 if !comparison.in_flight.is_empty() => {
                let at = pick(comparison.in_flight.len() as u32) as usize;
                let InFlight {
                    request,
                    attempt,
                    backend,
                    sent,
                } = comparison.in_flight[at];
                if comparison
                    .in_flight
                    .iter()
                    .any(|one| one.request == request && one.attempt > attempt)
                {
                    continue;
                }
                let outcome = outcomes[pick(10) as usize];
                let elapsed = (now - sent).max(service_time(backend));
                let broken_connections = u32::from(pick(9) == 0);
                let end = attempt_ended(request, attempt, backend, outcome);
                comparison.handle(
                    now,
                    Event::AttemptEnded(AttemptEnded {
                        elapsed,
                        broken_connections,
                        ..end
                    }),
                );
                if !comparison
                    .in_flight
                    .iter()
                    .any(|one| one.request == request && one.attempt > attempt)
                {
                    comparison.in_flight.retain(|one| one.request != request);
                }
            }
            14 => {
                let draw = |at: u32| match at % 4 {
                    0 => Availability::Draining,
                    1 => Availability::Removed,
                    _ => Availability::Ready,
                };
                let entries: Vec<_> = (0..1 + pick(4))
                    .map(|_| {
                        let id = pick(backends + 5);
                        let started = (pick(3) == 0).then_some(now - f64::from(pick(6000)));
                        BackendEntry {
                            availability: draw(pick(8)),
                            started,
                            ..ready(id, id % 3)
                        }
                    })
                    .collect();
                comparison.handle(now, Event::Backends(ListKind::Changes, entries));
            }
            _ if pick(30) == 0 => {
                let entries = (0..backends)
                    .filter(|_| pick(5) > 0)
                    .map(|id| ready(id, id % 3))
                    .collect();
                comparison.handle(now, Event::Backends(ListKind::Full, entries));
            }
            _ => {}
        }
    }
    comparison.sends
}

/// Guards the index: examining few backends leads to the same choice as examining all.
#[test]
fn every_action_equals_that_of_a_gateway_that_examines_all_backends() {
    let mut sends = 0;
    for seed in 0..60 {
        for (gateways, backends) in [(1, 12), (3, 9), (40, 30), (300, 60), (100, 200)] {
            sends += run(seed, gateways, backends);
        }
    }
    println!("{sends} attempts");
    assert!(sends > 60_000, "{sends} attempts");
}

/// Returns the number of backends examined per request, in steady traffic at one of 300 gateways.
fn backends_examined(backends: u32, exhaustive: bool) -> f64 {
    const REQUESTS: u32 = 2000;
    let plan = Plan {
        rate: 1000.0,
        burst: 3000.0,
        ..Plan::default()
    };
    let gateway = Gateway::new(settings(plan, 300), 5);
    let gateway = if exhaustive {
        gateway.exhaustive()
    } else {
        gateway
    };
    let mut harness = Harness {
        gateway,
        actions: Vec::new(),
    };
    let list: Vec<_> = (0..backends).map(|id| ready(id, 0)).collect();
    harness.handle(0.0, Event::Backends(ListKind::Cached, list));
    let served = (0..REQUESTS)
        .filter(|id| {
            let now = f64::from(*id) * 20.0;
            let customer = CustomerId(u64::from(id % 50));
            harness.serve(
                now,
                Request {
                    customer,
                    ..request(*id, 0, now)
                },
            )
        })
        .count();
    assert!(served > REQUESTS as usize / 2, "{served} served");
    harness.gateway.stats().backends_examined as f64 / f64::from(REQUESTS)
}

/// Guards the cost of a request in a large fleet: it depends on the number of backends that a
/// gateway prefers, not on the number of all backends.
#[test]
fn backends_examined_per_request_do_not_grow_with_the_list() {
    let few = backends_examined(10, false);
    for backends in [60, 200, 1000] {
        let examined = backends_examined(backends, false);
        println!("{backends} backends: {examined} examined per request; 10 backends: {few}");
        // Of 1,000 backends 54 are preferred: each backend by 16 of the 300 gateways on average.
        let preferred = (16.0 * f64::from(backends) / 300.0).ceil().max(8.0);
        assert!(examined <= preferred + 0.1, "{examined} of {backends}");
    }
    assert!(
        backends_examined(1000, true) > 500.0,
        "an exhaustive gateway examines all backends"
    );
}
