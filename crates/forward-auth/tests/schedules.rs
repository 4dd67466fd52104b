//! Random schedules of requests, verdicts, failures, cancellations and time, checked against the
//! rules:
//!
//! - a verdict is used only for the credential that the service gave it for;
//! - each request is decided once, by the end of the time for which it may wait; a cancelled
//!   request is never decided;
//! - a key has one check in flight; checks in flight, waiting requests and cached bytes are
//!   bounded;
//! - only requests of a class that fails open pass unchecked.
//!
//! `AUTH_SCHEDULES=N` runs N schedules.

use maplefall_forward_auth::{Decision, Failure, Gate, Key, KeyHasher, Output, Settings, Verdict};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

const CALLERS: u32 = 6;
/// The class that fails open; class 0 fails closed.
const FAIL_OPEN_CLASS: usize = 1;

/// The response in a verdict: the caller that the verdict was given for.
type VerdictCaller = u32;

/// A fault that is built into the driver, to show that the checks find it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Defect {
    /// Keys leave the credential out.
    KeyWithoutCredential,
    /// The gate's time does not advance.
    TimeStopped,
    /// Verdicts are delivered twice, the second time for another check.
    DeliveredTwice,
}

struct World {
    gate: Gate<VerdictCaller>,
    rng: Pcg32,
    settings: Settings,
    defect: Option<Defect>,
    now: f64,
    /// Undecided requests: caller, class, deadline.
    open: BTreeMap<u64, (u32, usize, f64)>,
    /// Attempts in flight, as (check, attempt), with their keys.
    in_flight: BTreeMap<(u64, u32), Key>,
    keys: BTreeMap<Key, u32>,
    decided: u64,
}

impl World {
    fn new(seed: u64, defect: Option<Defect>) -> World {
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
        World {
            gate: Gate::new(settings.clone()),
            rng,
            settings,
            defect,
            now: 0.0,
            open: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            keys: BTreeMap::new(),
            decided: 0,
        }
    }

    fn below(&mut self, bound: u32) -> u32 {
        self.rng.next_u32() % bound
    }

    fn key(&self, caller: u32) -> Key {
        let caller = if self.defect == Some(Defect::KeyWithoutCredential) {
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
                let index = self.below(8) as usize;
                if let Some(request) = self.open.keys().nth(index).copied() {
                    self.open.remove(&request);
                    self.gate.cancel(self.now, request);
                }
            }
            5 | 6 => {
                let index = self.below(4) as usize;
                if let Some(((check, attempt), key)) = self
                    .in_flight
                    .iter()
                    .nth(index)
                    .map(|(id, key)| (*id, *key))
                {
                    let caller = self.keys[&key];
                    // Callers with odd numbers are denied.
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
                    if self.defect == Some(Defect::DeliveredTwice) {
                        // Delivers the verdict again, as if it were that of the next check.
                        self.gate.verdict_received(self.now, check + 1, 0, verdict);
                    }
                    // Sometimes the same verdict is delivered again later.
                    if self.below(3) > 0 {
                        self.in_flight.remove(&(check, attempt));
                    }
                }
            }
            7 => {
                let index = self.below(4) as usize;
                if let Some((check, attempt)) = self.in_flight.keys().nth(index).copied() {
                    let failure = if self.below(3) == 0 {
                        Failure::ReusedConnection
                    } else {
                        Failure::Server
                    };
                    self.in_flight.remove(&(check, attempt));
                    self.gate.check_failed(self.now, check, attempt, failure);
                }
            }
            8 if self.below(20) == 0 => self.gate.clear_cache(),
            _ => {
                let step = f64::from(self.below(40));
                self.advance(step);
            }
        }
        self.check_outputs()
    }

    fn advance(&mut self, time: f64) {
        self.now += time;
        if self.defect != Some(Defect::TimeStopped) {
            self.gate.tick(self.now);
        }
    }

    fn check_outputs(&mut self) -> Result<(), String> {
        while let Some(output) = self.gate.output() {
            match output {
                Output::Check {
                    check,
                    attempt,
                    key,
                    server,
                    deadline,
                } => {
                    if deadline < self.now || server >= self.settings.servers {
                        return Err(format!(
                            "check {check} at server {server} with deadline {deadline} at {}",
                            self.now
                        ));
                    }
                    self.in_flight.insert((check, attempt), key);
                }
                Output::Cancel { .. } => {}
                Output::Decided { request, decision } => {
                    let Some((caller, class, deadline)) = self.open.remove(&request) else {
                        return Err(format!(
                            "{request} is decided again, or was cancelled: {decision:?}"
                        ));
                    };
                    self.decided += 1;
                    // Time advances in steps, so a decision may be late by one step of at most 40
                    // ms.
                    if self.now > deadline + 40.0 {
                        return Err(format!(
                            "{request} is decided at {}, its deadline was {deadline}",
                            self.now
                        ));
                    }
                    let is_wrong = match &decision {
                        Decision::Pass(verdict_caller) => {
                            **verdict_caller != caller || caller % 2 != 0
                        }
                        Decision::Deny(verdict_caller) => {
                            **verdict_caller != caller || caller % 2 == 0
                        }
                        Decision::PassUnchecked(_) => class != FAIL_OPEN_CLASS,
                        Decision::Reject(_) => class == FAIL_OPEN_CLASS,
                    };
                    if is_wrong {
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
                "{} waiting of {} open, {} in flight",
                gate.waiting(),
                self.open.len(),
                gate.checks_in_flight()
            ));
        }
        Ok(())
    }
}

fn run_schedule(seed: u64, defect: Option<Defect>) -> Result<u64, String> {
    let mut world = World::new(seed, defect);
    for number in 0..200 {
        world.step(number)?;
        // No deadline that has passed is left unhandled.
        world.advance(0.0);
        world.check_outputs()?;
        let next_deadline = world.gate.next_deadline();
        if next_deadline.is_some_and(|due| due <= world.now) && defect.is_none() {
            return Err(format!(
                "deadline {next_deadline:?} is unhandled, now is {}",
                world.now
            ));
        }
    }
    for _ in 0..50 {
        world.advance(10.0);
        world.check_outputs()?;
    }
    match world.open.is_empty() {
        true => Ok(world.decided),
        false => Err(format!(
            "{:?} were never decided",
            world.open.keys().collect::<BTreeSet<_>>()
        )),
    }
}

#[test]
fn rules_hold_in_random_schedules() {
    let schedules = std::env::var("AUTH_SCHEDULES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(3000);
    let mut decided = 0;
    for seed in 0..schedules {
        decided +=
            run_schedule(seed, None).unwrap_or_else(|error| panic!("schedule {seed}: {error}"));
    }
    println!("{schedules} schedules, {decided} requests decided");
    assert!(decided > schedules * 10, "{decided}");
}

/// Guards against invariant checks that never fail: they must find every fault built into the
/// driver.
#[test]
fn every_defect_is_found() {
    for defect in [
        Defect::KeyWithoutCredential,
        Defect::TimeStopped,
        Defect::DeliveredTwice,
    ] {
        let found = (0..200).find(|seed| run_schedule(*seed, Some(defect)).is_err());
        println!("{defect:?}: found by schedule {found:?}");
        assert!(found.is_some(), "{defect:?} was not found");
    }
}
