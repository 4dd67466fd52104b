//! A gateway that examines few backends for each choice takes the same actions as one with the same
//! seed that examines all of them.

mod common;
use common::*;
use maplefall_policy::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// One attempt that is out.
#[derive(Clone, Copy)]
struct Out {
    request: u32,
    attempt: u32,
    backend: BackendId,
    sent: Millis,
}

struct Twins {
    one: Gateway,
    other: Gateway,
    out: Vec<Out>,
    timers: Vec<(Millis, TimerId)>,
    sends: u64,
}

impl Twins {
    fn play(&mut self, now: Millis, event: Event) {
        let (mut actions, mut walked) = (Vec::new(), Vec::new());
        self.one.handle(now, event.clone(), &mut actions);
        self.other.handle(now, event, &mut walked);
        assert_eq!(actions, walked, "at {now}");
        for action in actions {
            match action {
                Action::Send {
                    request, backend, ..
                } => {
                    let attempt = self.sends_of(request.0);
                    self.out.push(Out {
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
        self.out.iter().filter(|out| out.request == request).count() as u32
    }
}

/// Plays a random history; tells how many attempts were sent.
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
    let (one, other) = (
        Gateway::new(set.clone(), seed),
        Gateway::new(set, seed).exhaustive(),
    );
    let mut twins = Twins {
        one,
        other,
        out: Vec::new(),
        timers: Vec::new(),
        sends: 0,
    };
    let list: Vec<_> = (0..backends).map(|id| ready(id, id % 3)).collect();
    twins.play(0.0, Event::Backends(ListKind::Cached, list));
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
    // Some backends are far faster than others, and some take nearly all requests' time.
    let pace = |id: BackendId| 2.0 + f64::from(id.0 * 7919 % 97);
    let mut now = 1.0;
    for id in 0..1200u32 {
        now += f64::from(pick(30));
        twins.timers.sort_by(|a, b| a.0.total_cmp(&b.0));
        while twins.timers.first().is_some_and(|(at, _)| *at <= now) {
            let (at, timer) = twins.timers.remove(0);
            twins.play(at.max(1.0), Event::Timer(timer));
        }
        match pick(16) {
            0..=6 => {
                let customer = CustomerId(u64::from(pick(40)));
                let units = f64::from(1 + pick(8));
                let asked = request(id, pick(3) as usize, now);
                let spread = f64::from(gateways.min(4));
                twins.play(
                    now,
                    Event::Arrival(Request {
                        customer,
                        units,
                        gateways: spread,
                        ..asked
                    }),
                );
            }
            7..=13 if !twins.out.is_empty() => {
                let at = pick(twins.out.len() as u32) as usize;
                let Out {
                    request,
                    attempt,
                    backend,
                    sent,
                } = twins.out[at];
                if twins
                    .out
                    .iter()
                    .any(|out| out.request == request && out.attempt > attempt)
                {
                    continue;
                }
                let outcome = outcomes[pick(10) as usize];
                let elapsed = (now - sent).max(pace(backend));
                let broken_connections = u32::from(pick(9) == 0);
                let end = attempt_ended(request, attempt, backend, outcome);
                twins.play(
                    now,
                    Event::AttemptEnded(AttemptEnded {
                        elapsed,
                        broken_connections,
                        ..end
                    }),
                );
                if !twins
                    .out
                    .iter()
                    .any(|out| out.request == request && out.attempt > attempt)
                {
                    twins.out.retain(|out| out.request != request);
                }
            }
            14 => {
                let draw = |at: u32| match at % 4 {
                    0 => Availability::Draining,
                    1 => Availability::Removed,
                    _ => Availability::Ready,
                };
                let lines: Vec<_> = (0..1 + pick(4))
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
                twins.play(now, Event::Backends(ListKind::Changes, lines));
            }
            _ if pick(30) == 0 => {
                let left = (0..backends)
                    .filter(|_| pick(5) > 0)
                    .map(|id| ready(id, id % 3))
                    .collect();
                twins.play(now, Event::Backends(ListKind::Full, left));
            }
            _ => {}
        }
    }
    twins.sends
}

/// Guards the index: a choice among few is the choice among all.
#[test]
fn every_action_is_that_of_a_gateway_that_looks_at_all_backends() {
    let mut sends = 0;
    for seed in 0..60 {
        for (gateways, backends) in [(1, 12), (3, 9), (40, 30), (300, 60), (100, 200)] {
            sends += run(seed, gateways, backends);
        }
    }
    println!("{sends} attempts");
    assert!(sends > 60_000, "{sends} attempts");
}

/// Backends that are looked at for a request, in steady traffic of one of 300 gateways.
fn backends_examined(backends: u32, walking: bool) -> f64 {
    const REQUESTS: u32 = 2000;
    let plan = Plan {
        rate: 1000.0,
        burst: 3000.0,
        ..Plan::default()
    };
    let gateway = Gateway::new(settings(plan, 300), 5);
    let gateway = if walking {
        gateway.exhaustive()
    } else {
        gateway
    };
    let mut stage = Stage {
        gateway,
        actions: Vec::new(),
    };
    let list: Vec<_> = (0..backends).map(|id| ready(id, 0)).collect();
    stage.play(0.0, Event::Backends(ListKind::Cached, list));
    let served = (0..REQUESTS)
        .filter(|id| {
            let now = f64::from(*id) * 20.0;
            let customer = CustomerId(u64::from(id % 50));
            stage.serve(
                now,
                Request {
                    customer,
                    ..request(*id, 0, now)
                },
            )
        })
        .count();
    assert!(served > REQUESTS as usize / 2, "{served} served");
    stage.gateway.stats().backends_examined as f64 / f64::from(REQUESTS)
}

/// Guards the cost of a request in a large fleet: it goes by the backends that a gateway prefers, not by those that there are.
#[test]
fn what_a_request_looks_at_does_not_grow_with_the_list() {
    let few = backends_examined(10, false);
    for backends in [60, 200, 1000] {
        let now = backends_examined(backends, false);
        println!("{backends} backends: {now} looked at for a request, {few} of 10");
        // Of 1,000 backends 54 are preferred, as each should be by some of the 300 gateways.
        let preferred = (16.0 * f64::from(backends) / 300.0).ceil().max(8.0);
        assert!(now <= preferred + 0.1, "{now} of {backends}");
    }
    assert!(
        backends_examined(1000, true) > 500.0,
        "the one that walks does"
    );
}
