//! Random legal sequences of events: whatever happens, the rules that a gateway keeps alone are kept.

mod common;
use common::*;
use maplefall_policy::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;

struct Open {
    class: usize,
    deadline: f64,
    out: Option<(u32, BackendId)>,
    sends: u32,
    sent_at: f64,
    /// Send time and zone of the first attempt that may have run.
    ran: Option<(f64, u32)>,
    answered: bool,
}

/// What a front door would see: it carries out the actions and checks each against the rules.
struct Door {
    stage: Stage,
    zones: BTreeMap<BackendId, u32>,
    leaving: BTreeMap<BackendId, bool>,
    open: BTreeMap<u32, Open>,
    timers: Vec<(f64, TimerId)>,
}

impl Door {
    fn play(&mut self, now: f64, event: Event) {
        self.stage.play(now, event);
        for action in std::mem::take(&mut self.stage.actions) {
            match action {
                Action::Send {
                    request, backend, ..
                } => self.sent(now, request.0, backend),
                Action::Reject { request, .. } => self.answered(now, request.0, true),
                Action::Fail(request) => self.answered(now, request.0, false),
                Action::SetTimer { at, timer } => self.timers.push((at, timer)),
                _ => {}
            }
        }
    }

    fn sent(&mut self, now: f64, id: u32, backend: BackendId) {
        let zone = self.zones[&backend];
        assert!(
            !self.leaving[&backend],
            "sent to a backend that was told to leave"
        );
        let open = self.open.get_mut(&id).expect("a known request");
        assert!(
            !open.answered && open.out.is_none(),
            "sent after its end or twice at a time"
        );
        assert!(open.sends < 4, "more attempts than permitted");
        if let Some((since, ran_in)) = open.ran {
            assert_ne!(
                open.class, 2,
                "an unsafe request that may have run is sent again"
            );
            let within = now - since < 2000.0 && zone == ran_in;
            assert!(
                open.class == 0 || within,
                "a keyed request out of its group or time"
            );
        }
        open.out = Some((open.sends, backend));
        (open.sends, open.sent_at) = (open.sends + 1, now);
    }

    fn answered(&mut self, now: f64, id: u32, refused: bool) {
        let open = self.open.get_mut(&id).expect("a known request");
        assert!(!open.answered, "two final answers");
        assert!(now <= open.deadline, "an answer after the client left");
        let may_have_run = open.ran.is_some() || open.out.is_some();
        assert!(
            !refused || open.class == 0 || !may_have_run,
            "refused though it may have run"
        );
        open.answered = true;
    }
}

fn run(seed: u64, backends: u32, rate: f64, max_in_flight: u32) {
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut pick = move |n: u32| rng.next_u32() % n;
    let plan = Plan {
        rate,
        burst: 2.0 * rate,
        max_in_flight,
        ..Plan::default()
    };
    let list: Vec<_> = (0..backends).map(|id| ready(id, id % 2)).collect();
    let zones = list.iter().map(|b| (b.id, b.zone.0)).collect();
    let leaving = list.iter().map(|b| (b.id, false)).collect();
    let stage = Stage::new(settings(plan, 3), list);
    let mut door = Door {
        stage,
        zones,
        leaving,
        open: BTreeMap::new(),
        timers: Vec::new(),
    };
    let outcomes = [
        Outcome::Ok,
        Outcome::Ok,
        Outcome::Error,
        Outcome::Full,
        Outcome::Timeout,
        Outcome::ConnectFailed,
        Outcome::Reset,
    ];
    let mut now = 1.0;
    for id in 0..1500u32 {
        now += f64::from(pick(40));
        let (due, rest) = std::mem::take(&mut door.timers)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        door.timers = rest;
        for (at, timer) in Vec::<(f64, TimerId)>::from_iter(due) {
            door.play(at, Event::Timer(timer));
        }
        match pick(10) {
            0..=4 => {
                let class = pick(3) as usize;
                let deadline = now + 20.0 + f64::from(pick(3000));
                let customer = CustomerId(u64::from(pick(4)));
                let open = Open {
                    class,
                    deadline,
                    out: None,
                    sends: 0,
                    sent_at: 0.0,
                    ran: None,
                    answered: false,
                };
                door.open.insert(id, open);
                let asked = Request {
                    customer,
                    deadline,
                    gateways: 2.0,
                    ..request(id, class, now)
                };
                door.play(now, Event::Arrival(asked));
            }
            5..=8 => {
                let waiting: Vec<u32> = door
                    .open
                    .iter()
                    .filter(|(_, o)| o.out.is_some())
                    .map(|(id, _)| *id)
                    .collect();
                if waiting.is_empty() {
                    continue;
                }
                let id = waiting[pick(waiting.len() as u32) as usize];
                let outcome = outcomes[pick(7) as usize];
                let open = door.open.get_mut(&id).expect("a known request");
                let (attempt, backend) = open.out.take().expect("an attempt that is out");
                let proven = matches!(outcome, Outcome::Full | Outcome::ConnectFailed);
                if !proven {
                    open.ran = open.ran.or(Some((open.sent_at, door.zones[&backend])));
                }
                let request_closed = open.answered || outcome == Outcome::Ok;
                open.answered = request_closed;
                let elapsed = now - open.sent_at;
                let end = AttemptEnded {
                    elapsed,
                    request_closed,
                    ..attempt_ended(id, attempt, backend, outcome)
                };
                door.play(now, Event::AttemptEnded(end));
            }
            _ => {
                let id = pick(backends);
                let gone = pick(2) == 0;
                let availability = if gone {
                    Availability::Draining
                } else {
                    Availability::Ready
                };
                door.leaving.insert(BackendId(id), gone);
                let line = BackendEntry {
                    availability,
                    ..ready(id, id % 2)
                };
                door.play(now, Event::Backends(ListKind::Changes, vec![line]));
            }
        }
    }
    while !door.timers.is_empty() {
        for (at, timer) in std::mem::take(&mut door.timers) {
            door.play(at.max(now), Event::Timer(timer));
        }
    }
    let unanswered = door
        .open
        .values()
        .filter(|o| !o.answered && o.deadline > now)
        .count();
    assert_eq!(unanswered, 0, "requests without a final answer");
}

proptest! {
    #![proptest_config(Config {
        cases: 48,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn the_rules_hold_through_any_legal_sequence(
        seed in any::<u64>(),
        backends in 1u32..8,
        rate in 1.0f64..200.0,
        max_in_flight in 0u32..6,
    ) {
        run(seed, backends, rate, max_in_flight);
    }
}
