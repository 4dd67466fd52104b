//! Random schedules of requests, answers, failures, clients that leave and time, against what the rules promise:
//!
//! - a verdict is used for its own credential alone, and never one that the service did not give for it;
//! - each request that stays is decided once, by the end of its budget; one that has left, never;
//! - the same question is out once; questions out, requests waiting and kept bytes stay within their bounds;
//! - nothing passes unchecked but a class that may.
//!
//! `AUTH_SCHEDULES=N` plays more.

use maplefall_forward_auth::{Decision, Failure, Gate, Key, KeyHasher, Output, Settings, Verdict};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

const CALLERS: u32 = 6;
/// Classes: the first fails closed, the second open.
const OPEN: usize = 1;

/// What goes with a verdict: whom it was given for.
type Given = u32;

/// How the carrier is broken, to show that the checks find it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Broken {
    /// Keys leave the credential out.
    KeyWithoutCredential,
    /// Time never passes for the gate.
    NoTime,
    /// Answers are handed in twice over, the second time for another try.
    Twice,
}

struct Played {
    gate: Gate<Given>,
    rng: Pcg32,
    settings: Settings,
    broken: Option<Broken>,
    now: f64,
    /// Undecided requests: caller, class, deadline.
    open: BTreeMap<u64, (u32, usize, f64)>,
    /// Questions out: check and try, and for whom.
    out: BTreeMap<(u64, u32), Key>,
    keys: BTreeMap<Key, u32>,
    decided: u64,
}

impl Played {
    fn new(seed: u64, broken: Option<Broken>) -> Played {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut below = |bound: u32| rng.next_u32() % bound;
        let settings = Settings {
            share: 0.3 + f64::from(below(7)) / 10.0,
            reserved_time: f64::from(below(60)),
            check_timeout: f64::from(20 + below(200)),
            max_attempts: 1 + below(3),
            max_in_flight: 1 + below(4) as usize,
            max_waiting: 1 + below(12) as usize,
            failures: 1 + below(4),
            backoff: [10.0, 200.0],
            max_ttl: [f64::from(below(300)), f64::from(below(50))],
            cache_bytes: 200 * below(6) as usize,
            fail_open: vec![false, true],
            seed,
            ..Settings::defaults(1 + below(3) as usize, 2)
        };
        Played {
            gate: Gate::new(settings.clone()),
            rng,
            settings,
            broken,
            now: 0.0,
            open: BTreeMap::new(),
            out: BTreeMap::new(),
            keys: BTreeMap::new(),
            decided: 0,
        }
    }

    fn below(&mut self, bound: u32) -> u32 {
        self.rng.next_u32() % bound
    }

    fn key(&self, caller: u32) -> Key {
        let caller = if self.broken == Some(Broken::KeyWithoutCredential) {
            0
        } else {
            caller
        };
        KeyHasher::new([3; 16]).key([Some(&caller.to_be_bytes()[..])])
    }

    fn step(&mut self, number: u64) -> Result<(), String> {
        match self.below(10) {
            0..=3 => {
                let (caller, class) = (self.below(CALLERS), self.below(2) as usize);
                let deadline = self.now + f64::from(1 + self.below(400));
                let key = self.key(caller);
                self.keys.insert(key, caller);
                self.open.insert(number, (caller, class, deadline));
                self.gate.submit(self.now, number, key, class, deadline);
            }
            4 => {
                let lot = self.below(8) as usize;
                if let Some(request) = self.open.keys().nth(lot).copied() {
                    self.open.remove(&request);
                    self.gate.cancel(self.now, request);
                }
            }
            5 | 6 => {
                let lot = self.below(4) as usize;
                if let Some(((check, attempt), key)) =
                    self.out.iter().nth(lot).map(|(out, key)| (*out, *key))
                {
                    let caller = self.keys[&key];
                    // Callers of odd numbers are denied.
                    let passes = caller % 2 == 0;
                    let keep = Some(f64::from(self.below(400)));
                    let verdict = Verdict {
                        passes,
                        response: Rc::new(caller),
                        bytes: 10,
                        ttl: keep,
                    };
                    self.gate
                        .verdict_received(self.now, check, attempt, verdict.clone());
                    if self.broken == Some(Broken::Twice) {
                        // As if it were the answer to whatever was asked next.
                        self.gate.verdict_received(self.now, check + 1, 0, verdict);
                    }
                    // Now and then it is answered twice.
                    if self.below(3) > 0 {
                        self.out.remove(&(check, attempt));
                    }
                }
            }
            7 => {
                let lot = self.below(4) as usize;
                if let Some((check, attempt)) = self.out.keys().nth(lot).copied() {
                    let failure = if self.below(3) == 0 {
                        Failure::ReusedConnection
                    } else {
                        Failure::Server
                    };
                    self.out.remove(&(check, attempt));
                    self.gate.check_failed(self.now, check, attempt, failure);
                }
            }
            8 if self.below(20) == 0 => self.gate.clear_cache(),
            _ => {
                let step = f64::from(self.below(40));
                self.pass(step);
            }
        }
        self.look()
    }

    fn pass(&mut self, time: f64) {
        self.now += time;
        if self.broken != Some(Broken::NoTime) {
            self.gate.tick(self.now);
        }
    }

    fn look(&mut self) -> Result<(), String> {
        while let Some(output) = self.gate.output() {
            match output {
                Output::Check {
                    check,
                    attempt,
                    key,
                    server,
                    deadline: until,
                } => {
                    if until < self.now || server >= self.settings.servers {
                        return Err(format!(
                            "check {check} at server {server} until {until} at {}",
                            self.now
                        ));
                    }
                    self.out.insert((check, attempt), key);
                }
                Output::Cancel { .. } => {}
                Output::Decided { request, decision } => {
                    let Some((caller, class, deadline)) = self.open.remove(&request) else {
                        return Err(format!(
                            "{request} is decided again, or has left: {decision:?}"
                        ));
                    };
                    self.decided += 1;
                    // Time is handed in by steps; a decision may come a step behind, the gate's own clock is exact.
                    if self.now > deadline + 40.0 {
                        return Err(format!(
                            "{request} is decided at {}, its deadline was {deadline}",
                            self.now
                        ));
                    }
                    let wrong = match &decision {
                        Decision::Pass(given) => **given != caller || caller % 2 != 0,
                        Decision::Deny(given) => **given != caller || caller % 2 == 0,
                        Decision::PassUnchecked(_) => class != OPEN,
                        Decision::Reject(_) => class == OPEN,
                    };
                    if wrong {
                        return Err(format!(
                            "{request} of caller {caller}, class {class}: {decision:?}"
                        ));
                    }
                }
            }
        }
        let gate = &self.gate;
        if gate.waiting() > self.settings.max_waiting
            || gate.checks_in_flight() > self.settings.max_in_flight
            || gate.cached_bytes() > self.settings.cache_bytes
            || gate.waiting() != self.open.len()
        {
            return Err(format!(
                "{} wait of {}, {} out",
                gate.waiting(),
                self.open.len(),
                gate.checks_in_flight()
            ));
        }
        Ok(())
    }
}

fn play(seed: u64, broken: Option<Broken>) -> Result<u64, String> {
    let mut played = Played::new(seed, broken);
    for number in 0..200 {
        played.step(number)?;
        // Nothing that has come due is left lying.
        played.pass(0.0);
        played.look()?;
        let due = played.gate.next_deadline();
        if due.is_some_and(|due| due <= played.now) && broken.is_none() {
            return Err(format!("due at {due:?}, it is {}", played.now));
        }
    }
    for _ in 0..50 {
        played.pass(10.0);
        played.look()?;
    }
    match played.open.is_empty() {
        true => Ok(played.decided),
        false => Err(format!(
            "{:?} were never decided",
            played.open.keys().collect::<BTreeSet<_>>()
        )),
    }
}

#[test]
fn whatever_comes_in_whatever_order_the_rules_hold() {
    let schedules = std::env::var("AUTH_SCHEDULES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(3000);
    let mut decided = 0;
    for seed in 0..schedules {
        decided += play(seed, None).unwrap_or_else(|error| panic!("schedule {seed}: {error}"));
    }
    println!("{schedules} schedules, {decided} requests decided");
    assert!(decided > schedules * 10, "{decided}");
}

/// Shows that the checks can fail.
#[test]
fn what_is_broken_is_found() {
    for broken in [Broken::KeyWithoutCredential, Broken::NoTime, Broken::Twice] {
        let found = (0..200).find(|seed| play(*seed, Some(broken)).is_err());
        println!("{broken:?}: found by schedule {found:?}");
        assert!(found.is_some(), "{broken:?} was not found");
    }
}
