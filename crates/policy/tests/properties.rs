//! Random valid sequences of events: the rules that hold for each single gateway always hold.

mod common;
use common::*;
use maplefall_policy::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;

struct RequestState {
    class: usize,
    deadline: f64,
    in_flight: Option<(u32, BackendId)>,
    sends: u32,
    sent_at: f64,
    /// Send time and zone of the first attempt that may have run.
    may_have_run_at: Option<(f64, u32)>,
    responded: bool,
}

/// Carries out the actions of a gateway, as a gateway process would, and checks each action against
/// the rules that hold for every gateway.
struct Checker {
    harness: Harness,
    zones: BTreeMap<BackendId, u32>,
    draining: BTreeMap<BackendId, bool>,
    requests: BTreeMap<u32, RequestState>,
    timers: Vec<(f64, TimerId)>,
}

impl Checker {
    fn handle(&mut self, now: f64, event: Event) {
        self.harness.handle(now, event);
        for action in std::mem::take(&mut self.harness.actions) {
            match action {
                Action::Send {
                    request, backend, ..
                } => self.sent(now, request.0, backend),
                Action::Reject { request, .. } => self.responded(now, request.0, true),
                Action::Fail(request) => self.responded(now, request.0, false),
                Action::SetTimer { at, timer } => self.timers.push((at, timer)),
                _ => {}
            }
        }
    }

    fn sent(&mut self, now: f64, id: u32, backend: BackendId) {
        let zone = self.zones[&backend];
        assert!(!self.draining[&backend], "sent to a draining backend");
        let state = self.requests.get_mut(&id).expect("a known request");
        assert!(
            !state.responded && state.in_flight.is_none(),
            "sent after its final response, or two attempts at a time"
        );
        assert!(state.sends < 4, "more attempts than the maximum");
        if let Some((since, ran_in)) = state.may_have_run_at {
            assert_ne!(
                state.class, 2,
                "a non-idempotent request that may have run is sent again"
            );
            let within = now - since < 2000.0 && zone == ran_in;
            assert!(
                state.class == 0 || within,
                "a keyed request is sent outside its scope or window"
            );
        }
        state.in_flight = Some((state.sends, backend));
        (state.sends, state.sent_at) = (state.sends + 1, now);
    }

    fn responded(&mut self, now: f64, id: u32, rejected: bool) {
        let state = self.requests.get_mut(&id).expect("a known request");
        assert!(!state.responded, "two final responses");
        assert!(
            now <= state.deadline,
            "a final response after the client's deadline"
        );
        let may_have_run = state.may_have_run_at.is_some() || state.in_flight.is_some();
        assert!(
            !rejected || state.class == 0 || !may_have_run,
            "rejected although it may have run"
        );
        state.responded = true;
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
    let draining = list.iter().map(|b| (b.id, false)).collect();
    let harness = Harness::new(settings(plan, 3), list);
    let mut checker = Checker {
        harness,
        zones,
        draining,
        requests: BTreeMap::new(),
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
        let (due, rest) = std::mem::take(&mut checker.timers)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        checker.timers = rest;
        for (at, timer) in Vec::<(f64, TimerId)>::from_iter(due) {
            checker.handle(at, Event::Timer(timer));
        }
        match pick(10) {
            0..=4 => {
                let class = pick(3) as usize;
                let deadline = now + 20.0 + f64::from(pick(3000));
                let customer = CustomerId(u64::from(pick(4)));
                let state = RequestState {
                    class,
                    deadline,
                    in_flight: None,
                    sends: 0,
                    sent_at: 0.0,
                    may_have_run_at: None,
                    responded: false,
                };
                checker.requests.insert(id, state);
                let arrival = Request {
                    customer,
                    deadline,
                    gateways: 2.0,
                    ..request(id, class, now)
                };
                checker.handle(now, Event::Arrival(arrival));
            }
            5..=8 => {
                let in_flight: Vec<u32> = checker
                    .requests
                    .iter()
                    .filter(|(_, o)| o.in_flight.is_some())
                    .map(|(id, _)| *id)
                    .collect();
                if in_flight.is_empty() {
                    continue;
                }
                let id = in_flight[pick(in_flight.len() as u32) as usize];
                let outcome = outcomes[pick(7) as usize];
                let state = checker.requests.get_mut(&id).expect("a known request");
                let (attempt, backend) = state.in_flight.take().expect("an attempt in flight");
                let cannot_have_run = matches!(outcome, Outcome::Full | Outcome::ConnectFailed);
                if !cannot_have_run {
                    state.may_have_run_at = state
                        .may_have_run_at
                        .or(Some((state.sent_at, checker.zones[&backend])));
                }
                let request_closed = state.responded || outcome == Outcome::Ok;
                state.responded = request_closed;
                let elapsed = now - state.sent_at;
                let end = AttemptEnded {
                    elapsed,
                    request_closed,
                    ..attempt_ended(id, attempt, backend, outcome)
                };
                checker.handle(now, Event::AttemptEnded(end));
            }
            _ => {
                let id = pick(backends);
                let is_draining = pick(2) == 0;
                let availability = if is_draining {
                    Availability::Draining
                } else {
                    Availability::Ready
                };
                checker.draining.insert(BackendId(id), is_draining);
                let entry = BackendEntry {
                    availability,
                    ..ready(id, id % 2)
                };
                checker.handle(now, Event::Backends(ListKind::Changes, vec![entry]));
            }
        }
    }
    while !checker.timers.is_empty() {
        for (at, timer) in std::mem::take(&mut checker.timers) {
            checker.handle(at.max(now), Event::Timer(timer));
        }
    }
    let without_response = checker
        .requests
        .values()
        .filter(|o| !o.responded && o.deadline > now)
        .count();
    assert_eq!(without_response, 0, "requests without a final response");
}

proptest! {
    #![proptest_config(Config {
        cases: 48,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn the_rules_hold_for_any_valid_sequence_of_events(
        seed in any::<u64>(),
        backends in 1u32..8,
        rate in 1.0f64..200.0,
        max_in_flight in 0u32..6,
    ) {
        run(seed, backends, rate, max_in_flight);
    }
}
