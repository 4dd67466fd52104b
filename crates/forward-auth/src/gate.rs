//! The gate: requests that ask to pass, questions that are out, and what becomes of both.

use crate::cache::Cache;
use crate::interface::{
    CheckId, Counts, Decision, Failure, Output, RejectReason, RequestId, Settings, Verdict,
};
use crate::key::Key;
use crate::server::Server;
use maplefall_policy::Millis;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// How much a new time counts in the usual one.
const NEW_TIME: f64 = 0.1;
/// How long a question that nobody waits for any more may still be answered, for the cache.
const LATE: Millis = 2000.0;

/// A request that waits.
#[derive(Debug)]
struct Waiting {
    key: Key,
    class: usize,
    /// When it is decided at the latest.
    until: Millis,
}

/// A question that is out, or waits to be.
#[derive(Debug)]
struct Check {
    key: Key,
    /// Who waits, by when each is decided at the latest.
    waiting: BTreeSet<(u64, RequestId)>,
    /// Whom it is put to, since when and until when; `None` while it waits for its turn.
    out: Option<Out>,
    /// Tries that were put to a server.
    tries: u32,
    /// Servers that it was put to.
    tried: BTreeSet<usize>,
    /// Whether a kept connection has died under it: once is nobody's fault.
    spared: bool,
}

#[derive(Clone, Copy, Debug)]
struct Out {
    server: usize,
    since: Millis,
    until: Millis,
}

/// Decides who is checked and what becomes of it. `T` is what goes with a verdict.
#[derive(Debug)]
pub struct Gate<T> {
    settings: Settings,
    requests: HashMap<RequestId, Waiting>,
    /// Requests by the time at which they are decided at the latest (whole microseconds, then their number).
    ends: BTreeSet<(u64, RequestId)>,
    checks: BTreeMap<CheckId, Check>,
    by_key: HashMap<Key, CheckId>,
    /// Questions that wait for their turn, the earliest end of those that wait for them first.
    turns: BTreeSet<(u64, CheckId)>,
    /// Questions that are out, by when they are given up.
    giving_up: BTreeSet<(u64, CheckId)>,
    last_check: CheckId,
    servers: Vec<Server>,
    cache: Cache<T>,
    /// How long an answer usually takes.
    usual: Option<Millis>,
    rng: Pcg32,
    out: VecDeque<Output<T>>,
    counts: Counts,
}

fn place(at: Millis) -> u64 {
    (at.max(0.0) * 1000.0) as u64
}

impl<T> Gate<T> {
    /// A gate with nothing kept.
    pub fn new(settings: Settings) -> Gate<T> {
        Gate {
            requests: HashMap::new(),
            ends: BTreeSet::new(),
            checks: BTreeMap::new(),
            by_key: HashMap::new(),
            turns: BTreeSet::new(),
            giving_up: BTreeSet::new(),
            last_check: 0,
            servers: vec![Server::default(); settings.servers],
            cache: Cache::new(settings.cache_bytes),
            usual: None,
            rng: Pcg32::seed_from_u64(settings.seed),
            out: VecDeque::new(),
            counts: Counts::default(),
            settings,
        }
    }

    /// What is to be done or told next.
    pub fn output(&mut self) -> Option<Output<T>> {
        self.out.pop_front()
    }

    /// What has happened so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.requests.len()
    }

    /// Questions that are out.
    pub fn checks_in_flight(&self) -> usize {
        self.giving_up.len()
    }

    /// Bytes of kept verdicts.
    pub fn cached_bytes(&self) -> usize {
        self.cache.bytes()
    }

    /// Forgets all verdicts.
    pub fn clear_cache(&mut self) {
        self.cache.clear();
    }

    // ---- Requests -----------------------------------------------------------------------------------

    /// A request asks to pass. Its decision comes out at once or later, once.
    pub fn submit(
        &mut self,
        now: Millis,
        request: RequestId,
        key: Key,
        class: usize,
        deadline: Millis,
    ) {
        if let Some(verdict) = self.cache.get(now, key) {
            let decision = decision(verdict);
            self.counts.cache_hits += 1;
            return self.out.push_back(Output::Decided { request, decision });
        }
        let left = deadline - now;
        let until = (now + left * self.settings.share).min(deadline - self.settings.reserved_time);
        // What is out already may be answered before long; a new question takes what it usually takes.
        let asked = self.by_key.get(&key).copied();
        let least = if asked.is_some() {
            0.0
        } else {
            self.usual.unwrap_or(0.0)
        };
        if until - now <= least {
            return self.turn_away(request, class, RejectReason::NoTime);
        }
        if self.requests.len() >= self.settings.max_waiting {
            return self.turn_away(request, class, RejectReason::Full);
        }
        if asked.is_none() && self.choose(now, &BTreeSet::new()).is_none() {
            return self.turn_away(request, class, RejectReason::NoServer);
        }
        self.requests.insert(request, Waiting { key, class, until });
        self.ends.insert((place(until), request));
        match asked {
            Some(check) => {
                self.counts.joined += 1;
                self.join(check, request, until);
            }
            None => {
                self.last_check += 1;
                let check = self.last_check;
                let waiting = BTreeSet::from([(place(until), request)]);
                let (tries, tried, spared) = (0, BTreeSet::new(), false);
                self.checks.insert(
                    check,
                    Check {
                        key,
                        waiting,
                        out: None,
                        tries,
                        tried,
                        spared,
                    },
                );
                self.by_key.insert(key, check);
                self.turns.insert((place(until), check));
                self.begin(now);
            }
        }
    }

    fn join(&mut self, check: CheckId, request: RequestId, until: Millis) {
        let Some(of) = self.checks.get_mut(&check) else {
            return;
        };
        let earliest = of.earliest();
        of.waiting.insert((place(until), request));
        match &mut of.out {
            // Whoever began it may have had less time: it is given what it may have at most.
            Some(out) => {
                self.giving_up
                    .remove(&(place(out.given_up(earliest.is_none())), check));
                out.until = out
                    .until
                    .max(until.min(out.since + self.settings.check_timeout));
                self.giving_up.insert((place(out.given_up(false)), check));
            }
            // Somebody with less time puts it forward.
            None => {
                if let Some(earliest) = earliest {
                    self.turns.remove(&(earliest, check));
                }
                self.turns
                    .insert((of.earliest().unwrap_or(place(until)), check));
            }
        }
    }

    /// A request's client has gone, or it was refused elsewhere: it gets no decision. Others lose nothing by it.
    pub fn cancel(&mut self, now: Millis, request: RequestId) {
        if self.take_out(request).is_some() {
            self.begin(now);
        }
    }

    /// Ends a request's wait; tells its class.
    fn take_out(&mut self, request: RequestId) -> Option<usize> {
        let Waiting { key, class, until } = self.requests.remove(&request)?;
        self.ends.remove(&(place(until), request));
        let Some(check) = self.by_key.get(&key).copied() else {
            return Some(class);
        };
        let Some(of) = self.checks.get_mut(&check) else {
            return Some(class);
        };
        let before = of.earliest();
        of.waiting.remove(&(place(until), request));
        match (&of.out, before, of.earliest()) {
            (None, Some(before), after) => {
                self.turns.remove(&(before, check));
                match after {
                    Some(after) => {
                        self.turns.insert((after, check));
                    }
                    // Nobody waits and nobody was asked.
                    None => self.drop_check(check),
                }
            }
            // Nobody waits any more: it may still be answered for a while.
            (Some(out), Some(_), None) => {
                self.giving_up.remove(&(place(out.given_up(false)), check));
                self.giving_up.insert((place(out.given_up(true)), check));
            }
            _ => {}
        }
        Some(class)
    }

    fn turn_away(&mut self, request: RequestId, class: usize, refusal: RejectReason) {
        let open = self.settings.fail_open.get(class).copied().unwrap_or(false);
        let decision = if open {
            self.counts.unchecked += 1;
            Decision::PassUnchecked(refusal)
        } else {
            self.counts.rejected += 1;
            Decision::Reject(refusal)
        };
        self.out.push_back(Output::Decided { request, decision });
    }

    fn drop_check(&mut self, check: CheckId) {
        if let Some(of) = self.checks.remove(&check) {
            self.by_key.remove(&of.key);
            if let Some(out) = of.out {
                self.giving_up
                    .remove(&(place(out.given_up(of.waiting.is_empty())), check));
                self.servers[out.server].dropped(check);
            }
        }
    }

    // ---- Questions ----------------------------------------------------------------------------------

    /// The server to ask: one that it was not put to yet, with the fewest questions out.
    fn choose(&self, now: Millis, tried: &BTreeSet<usize>) -> Option<usize> {
        let open = self
            .servers
            .iter()
            .enumerate()
            .filter(|(_, server)| server.open(now));
        open.min_by_key(|(at, server)| (tried.contains(at), server.out, *at))
            .map(|(at, _)| at)
    }

    /// Puts questions out, as many as may be.
    fn begin(&mut self, now: Millis) {
        while self.checks_in_flight() < self.settings.max_in_flight {
            let Some((turn, check)) = self.turns.first().copied() else {
                return;
            };
            let tried = self
                .checks
                .get(&check)
                .map(|of| of.tried.clone())
                .unwrap_or_default();
            let Some(server) = self.choose(now, &tried) else {
                self.turns.remove(&(turn, check));
                self.give_up(check, RejectReason::NoServer);
                continue;
            };
            self.turns.remove(&(turn, check));
            let Some(of) = self.checks.get_mut(&check) else {
                continue;
            };
            let latest = of
                .waiting
                .last()
                .and_then(|(_, request)| self.requests.get(request));
            let until = latest
                .map_or(now, |of| of.until.max(now))
                .min(now + self.settings.check_timeout);
            let (attempt, key) = (of.tries, of.key);
            of.tries += 1;
            of.tried.insert(server);
            let out = Out {
                server,
                since: now,
                until,
            };
            of.out = Some(out);
            self.giving_up.insert((place(out.given_up(false)), check));
            self.servers[server].ask(check);
            self.counts.attempts += 1;
            self.out.push_back(Output::Check {
                check,
                attempt,
                key,
                server,
                deadline: until,
            });
        }
    }

    /// All that wait for a question are turned away.
    fn give_up(&mut self, check: CheckId, refusal: RejectReason) {
        let waiting = self
            .checks
            .get(&check)
            .map(|of| of.waiting.clone())
            .unwrap_or_default();
        self.drop_check(check);
        for (_, request) in waiting {
            if let Some(class) = self.take_out(request) {
                self.turn_away(request, class, refusal);
            }
        }
    }

    /// Takes the try of a question that is out, if it is this one.
    fn settled(&mut self, check: CheckId, attempt: u32) -> Option<Out> {
        let of = self
            .checks
            .get_mut(&check)
            .filter(|of| of.tries == attempt + 1)?;
        let out = of.out.take()?;
        self.giving_up
            .remove(&(place(out.given_up(of.waiting.is_empty())), check));
        Some(out)
    }

    /// The service has said what it says; late or not, it may be kept.
    pub fn verdict_received(
        &mut self,
        now: Millis,
        check: CheckId,
        attempt: u32,
        verdict: Verdict<T>,
    ) {
        let Some(out) = self.settled(check, attempt) else {
            return;
        };
        self.servers[out.server].answered();
        let took = now - out.since;
        self.usual = Some(
            self.usual
                .map_or(took, |usual| usual + NEW_TIME * (took - usual)),
        );
        let Some(of) = self.checks.remove(&check) else {
            return;
        };
        self.by_key.remove(&of.key);
        let most = self.settings.max_ttl[usize::from(!verdict.passes)];
        let keep = verdict.ttl.unwrap_or(0.0).min(most);
        for (_, request) in of.waiting {
            if self.take_out(request).is_some() {
                let decision = decision(&verdict);
                self.out.push_back(Output::Decided { request, decision });
            }
        }
        if keep > 0.0 {
            self.cache.put(of.key, verdict, now + keep);
        }
        self.begin(now);
    }

    /// A try failed. It is asked again elsewhere while somebody's budget lasts.
    pub fn check_failed(&mut self, now: Millis, check: CheckId, attempt: u32, failure: Failure) {
        let Some(out) = self.settled(check, attempt) else {
            return;
        };
        self.counts.failed_attempts += 1;
        let spare = failure == Failure::ReusedConnection;
        match spare {
            true => self.servers[out.server].dropped(check),
            false => self.server_failed(now, check, out.server),
        }
        let Some(of) = self.checks.get_mut(&check) else {
            return;
        };
        let free = spare && !std::mem::replace(&mut of.spared, true);
        if free {
            of.tried.remove(&out.server);
        }
        let more = of.tries < self.settings.max_attempts + u32::from(of.spared);
        match of.earliest() {
            Some(earliest) if more => {
                self.turns.insert((earliest, check));
            }
            Some(_) => self.give_up(check, RejectReason::CheckFailed),
            None => self.drop_check(check),
        }
        self.begin(now);
    }

    fn server_failed(&mut self, now: Millis, check: CheckId, server: usize) {
        let [least, most] = self.settings.backoff;
        let jitter = 0.5 + 0.5 * f64::from(self.rng.next_u32()) / 4_294_967_296.0;
        let pause = |pauses: u32| (least * f64::from(1u32 << pauses.min(16))).min(most) * jitter;
        self.servers[server].failed(now, check, self.settings.failures, pause);
    }

    // ---- Time ---------------------------------------------------------------------------------------

    /// When [`Gate::pass_time`] has something to do next.
    pub fn next_deadline(&self) -> Option<Millis> {
        let request = self
            .ends
            .first()
            .and_then(|(_, request)| self.requests.get(request))
            .map(|of| of.until);
        let check = self
            .giving_up
            .first()
            .and_then(|(_, check)| self.checks.get(check))
            .and_then(Check::due);
        request.into_iter().chain(check).min_by(f64::total_cmp)
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Millis) {
        while let Some((_, request)) = self.ends.first().copied() {
            if self.requests.get(&request).is_some_and(|of| of.until > now) {
                break;
            }
            match self.take_out(request) {
                Some(class) => self.turn_away(request, class, RejectReason::CheckFailed),
                None => {
                    self.ends.pop_first();
                }
            }
        }
        while let Some((_, check)) = self.giving_up.first().copied() {
            let Some(of) = self.checks.get(&check) else {
                break;
            };
            if of.due().is_none_or(|due| due > now) {
                break;
            }
            let attempt = of.tries.saturating_sub(1);
            self.out.push_back(Output::Cancel { check });
            self.check_failed(now, check, attempt, Failure::Server);
        }
        self.begin(now);
    }
}

impl Check {
    /// The earliest end of those that wait.
    fn earliest(&self) -> Option<u64> {
        self.waiting.first().map(|(end, _)| *end)
    }

    /// When it is given up, if it is out.
    fn due(&self) -> Option<Millis> {
        self.out.map(|out| out.given_up(self.waiting.is_empty()))
    }
}

impl Out {
    /// When it is given up; one that nobody waits for may still be answered for a while.
    fn given_up(&self, unwanted: bool) -> Millis {
        self.until + if unwanted { LATE } else { 0.0 }
    }
}

fn decision<T>(verdict: &Verdict<T>) -> Decision<T> {
    match verdict.passes {
        true => Decision::Pass(verdict.response.clone()),
        false => Decision::Deny(verdict.response.clone()),
    }
}
