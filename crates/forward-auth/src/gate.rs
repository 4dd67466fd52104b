//! The gate: requests that wait for a decision, checks in flight, and how both end.

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

/// Weight of a new sample in the average latency.
const LATENCY_WEIGHT: f64 = 0.1;
/// Time beyond its timeout during which an attempt that no request waits for may still complete, so
/// that its verdict is cached.
const ABANDONED_GRACE: Millis = 2000.0;

/// A request that waits for its decision.
#[derive(Debug)]
struct WaitingRequest {
    key: Key,
    class: usize,
    /// When the request is decided at the latest.
    decide_by: Millis,
}

/// A check that is in flight or queued.
#[derive(Debug)]
struct PendingCheck {
    key: Key,
    /// Requests that wait for the check, by the time at which they are decided at the latest.
    waiting: BTreeSet<(u64, RequestId)>,
    /// The attempt in flight; `None` while the check is queued.
    in_flight: Option<InFlight>,
    /// Attempts of the check sent so far.
    attempts: u32,
    /// Servers that an attempt of the check was sent to.
    tried_servers: BTreeSet<usize>,
    /// Whether an attempt of the check failed on a reused connection; the first such failure is not
    /// counted.
    reused_connection_failed: bool,
}

#[derive(Clone, Copy, Debug)]
struct InFlight {
    server: usize,
    sent_at: Millis,
    deadline: Millis,
}

/// Decides which callers are checked, and what follows from each verdict. `T` is the part of a
/// verdict that the gate does not interpret.
#[derive(Debug)]
pub struct Gate<T> {
    settings: Settings,
    requests: HashMap<RequestId, WaitingRequest>,
    /// Requests by the time at which they are decided at the latest, in whole microseconds.
    request_deadlines: BTreeSet<(u64, RequestId)>,
    checks: BTreeMap<CheckId, PendingCheck>,
    by_key: HashMap<Key, CheckId>,
    /// Queued checks, by the earliest deadline of the requests that wait for them.
    queued_checks: BTreeSet<(u64, CheckId)>,
    /// Checks in flight, by the time at which they are cancelled.
    check_timeouts: BTreeSet<(u64, CheckId)>,
    last_check: CheckId,
    servers: Vec<Server>,
    cache: Cache<T>,
    /// Moving average of the service's latency.
    average_latency: Option<Millis>,
    rng: Pcg32,
    outputs: VecDeque<Output<T>>,
    counts: Counts,
}

fn micros(at: Millis) -> u64 {
    (at.max(0.0) * 1000.0) as u64
}

impl<T> Gate<T> {
    /// A gate with an empty cache.
    pub fn new(settings: Settings) -> Gate<T> {
        Gate {
            requests: HashMap::new(),
            request_deadlines: BTreeSet::new(),
            checks: BTreeMap::new(),
            by_key: HashMap::new(),
            queued_checks: BTreeSet::new(),
            check_timeouts: BTreeSet::new(),
            last_check: 0,
            servers: vec![Server::default(); settings.servers],
            cache: Cache::new(settings.cache_bytes),
            average_latency: None,
            rng: Pcg32::seed_from_u64(settings.seed),
            outputs: VecDeque::new(),
            counts: Counts::default(),
            settings,
        }
    }

    /// Removes and returns the next output.
    pub fn output(&mut self) -> Option<Output<T>> {
        self.outputs.pop_front()
    }

    /// Event counts since the start, for the metrics.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.requests.len()
    }

    /// Number of checks in flight.
    pub fn checks_in_flight(&self) -> usize {
        self.check_timeouts.len()
    }

    /// Bytes of cached verdicts.
    pub fn cached_bytes(&self) -> usize {
        self.cache.bytes()
    }

    /// Drops all cached verdicts.
    pub fn clear_cache(&mut self) {
        self.cache.clear();
    }

    // ---- Requests
    // -----------------------------------------------------------------------------------

    /// Submits a request. Its decision is output exactly once, immediately or later.
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
            return self
                .outputs
                .push_back(Output::Decided { request, decision });
        }
        let time_left = deadline - now;
        let decide_by =
            (now + time_left * self.settings.share).min(deadline - self.settings.reserved_time);
        // A request that joins a pending check may get a verdict soon, so it needs no minimum time;
        // a new check is expected to take the average latency.
        let existing = self.by_key.get(&key).copied();
        let min_wait = if existing.is_some() {
            0.0
        } else {
            self.average_latency.unwrap_or(0.0)
        };
        if decide_by - now <= min_wait {
            return self.decide_without_verdict(request, class, RejectReason::TooLittleTime);
        }
        if self.requests.len() >= self.settings.max_waiting {
            return self.decide_without_verdict(request, class, RejectReason::TooManyWaiting);
        }
        if existing.is_none() && self.choose_server(now, &BTreeSet::new()).is_none() {
            return self.decide_without_verdict(request, class, RejectReason::NoServer);
        }
        self.requests.insert(
            request,
            WaitingRequest {
                key,
                class,
                decide_by,
            },
        );
        self.request_deadlines.insert((micros(decide_by), request));
        match existing {
            Some(check) => {
                self.counts.joined += 1;
                self.join_check(check, request, decide_by);
            }
            None => {
                self.last_check += 1;
                let check = self.last_check;
                let waiting = BTreeSet::from([(micros(decide_by), request)]);
                let (attempts, tried_servers, reused_connection_failed) =
                    (0, BTreeSet::new(), false);
                self.checks.insert(
                    check,
                    PendingCheck {
                        key,
                        waiting,
                        in_flight: None,
                        attempts,
                        tried_servers,
                        reused_connection_failed,
                    },
                );
                self.by_key.insert(key, check);
                self.queued_checks.insert((micros(decide_by), check));
                self.send_queued_checks(now);
            }
        }
    }

    fn join_check(&mut self, check: CheckId, request: RequestId, decide_by: Millis) {
        let Some(pending) = self.checks.get_mut(&check) else {
            return;
        };
        let earliest = pending.earliest_deadline();
        pending.waiting.insert((micros(decide_by), request));
        match &mut pending.in_flight {
            // The requests that joined the check earlier may have less time than this one: the
            // attempt's timeout is extended for this request, up to the limit of one attempt.
            Some(in_flight) => {
                self.check_timeouts
                    .remove(&(micros(in_flight.cancel_at(earliest.is_none())), check));
                in_flight.deadline = in_flight
                    .deadline
                    .max(decide_by.min(in_flight.sent_at + self.settings.check_timeout));
                self.check_timeouts
                    .insert((micros(in_flight.cancel_at(false)), check));
            }
            // A request that must be decided earlier than the others that wait for the check moves
            // the check forward in the queue.
            None => {
                if let Some(earliest) = earliest {
                    self.queued_checks.remove(&(earliest, check));
                }
                self.queued_checks.insert((
                    pending.earliest_deadline().unwrap_or(micros(decide_by)),
                    check,
                ));
            }
        }
    }

    /// Cancels a request whose client has disconnected or that was rejected elsewhere: it gets no
    /// decision. Other requests with the same key are not affected.
    pub fn cancel(&mut self, now: Millis, request: RequestId) {
        if self.remove_request(request).is_some() {
            self.send_queued_checks(now);
        }
    }

    /// Ends a request's wait and returns the request's class.
    fn remove_request(&mut self, request: RequestId) -> Option<usize> {
        let WaitingRequest {
            key,
            class,
            decide_by,
        } = self.requests.remove(&request)?;
        self.request_deadlines.remove(&(micros(decide_by), request));
        let Some(check) = self.by_key.get(&key).copied() else {
            return Some(class);
        };
        let Some(pending) = self.checks.get_mut(&check) else {
            return Some(class);
        };
        let before = pending.earliest_deadline();
        pending.waiting.remove(&(micros(decide_by), request));
        match (&pending.in_flight, before, pending.earliest_deadline()) {
            (None, Some(before), after) => {
                self.queued_checks.remove(&(before, check));
                match after {
                    Some(after) => {
                        self.queued_checks.insert((after, check));
                    }
                    // No request waits for the check any more, and no attempt is in flight.
                    None => self.remove_check(check),
                }
            }
            // No request waits for the check any more, but the attempt in flight may complete
            // during the grace time.
            (Some(in_flight), Some(_), None) => {
                self.check_timeouts
                    .remove(&(micros(in_flight.cancel_at(false)), check));
                self.check_timeouts
                    .insert((micros(in_flight.cancel_at(true)), check));
            }
            _ => {}
        }
        Some(class)
    }

    /// Rejects a request, or passes it unchecked if its class fails open.
    fn decide_without_verdict(&mut self, request: RequestId, class: usize, reason: RejectReason) {
        let fails_open = self.settings.fail_open.get(class).copied().unwrap_or(false);
        let decision = if fails_open {
            self.counts.unchecked += 1;
            Decision::PassUnchecked(reason)
        } else {
            self.counts.rejected += 1;
            Decision::Reject(reason)
        };
        self.outputs
            .push_back(Output::Decided { request, decision });
    }

    fn remove_check(&mut self, check: CheckId) {
        if let Some(pending) = self.checks.remove(&check) {
            self.by_key.remove(&pending.key);
            if let Some(in_flight) = pending.in_flight {
                self.check_timeouts.remove(&(
                    micros(in_flight.cancel_at(pending.waiting.is_empty())),
                    check,
                ));
                self.servers[in_flight.server].release_check(check);
            }
        }
    }

    // ---- Checks
    // -------------------------------------------------------------------------------------

    /// The server for a check: preferably one that the check was not sent to yet, then the one with
    /// the fewest checks in flight.
    fn choose_server(&self, now: Millis, tried_servers: &BTreeSet<usize>) -> Option<usize> {
        let available = self
            .servers
            .iter()
            .enumerate()
            .filter(|(_, server)| server.is_available(now));
        available
            .min_by_key(|(index, server)| (tried_servers.contains(index), server.in_flight, *index))
            .map(|(index, _)| index)
    }

    /// Sends queued checks until the limit of checks in flight is reached.
    fn send_queued_checks(&mut self, now: Millis) {
        while self.checks_in_flight() < self.settings.max_in_flight {
            let Some((queue_key, check)) = self.queued_checks.first().copied() else {
                return;
            };
            let tried_servers = self
                .checks
                .get(&check)
                .map(|pending| pending.tried_servers.clone())
                .unwrap_or_default();
            let Some(server) = self.choose_server(now, &tried_servers) else {
                self.queued_checks.remove(&(queue_key, check));
                self.abandon_check(check, RejectReason::NoServer);
                continue;
            };
            self.queued_checks.remove(&(queue_key, check));
            let Some(pending) = self.checks.get_mut(&check) else {
                continue;
            };
            let latest = pending
                .waiting
                .last()
                .and_then(|(_, request)| self.requests.get(request));
            let deadline = latest
                .map_or(now, |waiting| waiting.decide_by.max(now))
                .min(now + self.settings.check_timeout);
            let (attempt, key) = (pending.attempts, pending.key);
            pending.attempts += 1;
            pending.tried_servers.insert(server);
            let in_flight = InFlight {
                server,
                sent_at: now,
                deadline,
            };
            pending.in_flight = Some(in_flight);
            self.check_timeouts
                .insert((micros(in_flight.cancel_at(false)), check));
            self.servers[server].start_check(check);
            self.counts.attempts += 1;
            self.outputs.push_back(Output::Check {
                check,
                attempt,
                key,
                server,
                deadline,
            });
        }
    }

    /// Removes a check and decides all its waiting requests without a verdict.
    fn abandon_check(&mut self, check: CheckId, reason: RejectReason) {
        let waiting = self
            .checks
            .get(&check)
            .map(|pending| pending.waiting.clone())
            .unwrap_or_default();
        self.remove_check(check);
        for (_, request) in waiting {
            if let Some(class) = self.remove_request(request) {
                self.decide_without_verdict(request, class, reason);
            }
        }
    }

    /// Takes the attempt that is in flight; `None` if `attempt` is an earlier one.
    fn take_in_flight(&mut self, check: CheckId, attempt: u32) -> Option<InFlight> {
        let pending = self
            .checks
            .get_mut(&check)
            .filter(|pending| pending.attempts == attempt + 1)?;
        let in_flight = pending.in_flight.take()?;
        self.check_timeouts.remove(&(
            micros(in_flight.cancel_at(pending.waiting.is_empty())),
            check,
        ));
        Some(in_flight)
    }

    /// Handles a verdict of the service. It is cached even if no request waits for it any more.
    pub fn verdict_received(
        &mut self,
        now: Millis,
        check: CheckId,
        attempt: u32,
        verdict: Verdict<T>,
    ) {
        let Some(in_flight) = self.take_in_flight(check, attempt) else {
            return;
        };
        self.servers[in_flight.server].record_response();
        let latency = now - in_flight.sent_at;
        self.average_latency = Some(self.average_latency.map_or(latency, |average| {
            average + LATENCY_WEIGHT * (latency - average)
        }));
        let Some(pending) = self.checks.remove(&check) else {
            return;
        };
        self.by_key.remove(&pending.key);
        let max_ttl = self.settings.max_ttl[usize::from(!verdict.passes)];
        let ttl = verdict.ttl.unwrap_or(0.0).min(max_ttl);
        for (_, request) in pending.waiting {
            if self.remove_request(request).is_some() {
                let decision = decision(&verdict);
                self.outputs
                    .push_back(Output::Decided { request, decision });
            }
        }
        if ttl > 0.0 {
            self.cache.put(pending.key, verdict, now + ttl);
        }
        self.send_queued_checks(now);
    }

    /// Handles a failed attempt. The check is retried, preferably at another server, while a
    /// request waits for it and attempts are left.
    pub fn check_failed(&mut self, now: Millis, check: CheckId, attempt: u32, failure: Failure) {
        let Some(in_flight) = self.take_in_flight(check, attempt) else {
            return;
        };
        self.counts.failed_attempts += 1;
        let on_reused_connection = failure == Failure::ReusedConnection;
        match on_reused_connection {
            true => self.servers[in_flight.server].release_check(check),
            false => self.server_failed(now, check, in_flight.server),
        }
        let Some(pending) = self.checks.get_mut(&check) else {
            return;
        };
        let uncounted =
            on_reused_connection && !std::mem::replace(&mut pending.reused_connection_failed, true);
        if uncounted {
            pending.tried_servers.remove(&in_flight.server);
        }
        let attempts_left = pending.attempts
            < self.settings.max_attempts + u32::from(pending.reused_connection_failed);
        match pending.earliest_deadline() {
            Some(earliest) if attempts_left => {
                self.queued_checks.insert((earliest, check));
            }
            Some(_) => self.abandon_check(check, RejectReason::CheckFailed),
            None => self.remove_check(check),
        }
        self.send_queued_checks(now);
    }

    fn server_failed(&mut self, now: Millis, check: CheckId, server: usize) {
        let [min, max] = self.settings.backoff;
        let jitter = 0.5 + 0.5 * f64::from(self.rng.next_u32()) / 4_294_967_296.0;
        let backoff = |backoffs: u32| (min * f64::from(1u32 << backoffs.min(16))).min(max) * jitter;
        self.servers[server].record_failure(now, check, self.settings.failures, backoff);
    }

    // ---- Time
    // ---------------------------------------------------------------------------------------

    /// When [`Gate::tick`] has to be called next.
    pub fn next_deadline(&self) -> Option<Millis> {
        let request = self
            .request_deadlines
            .first()
            .and_then(|(_, request)| self.requests.get(request))
            .map(|waiting| waiting.decide_by);
        let check = self
            .check_timeouts
            .first()
            .and_then(|(_, check)| self.checks.get(check))
            .and_then(PendingCheck::cancel_at);
        request.into_iter().chain(check).min_by(f64::total_cmp)
    }

    /// Advances the time to `now`: decides requests that may wait no longer, and fails attempts
    /// that have timed out.
    pub fn tick(&mut self, now: Millis) {
        while let Some((_, request)) = self.request_deadlines.first().copied() {
            if self
                .requests
                .get(&request)
                .is_some_and(|waiting| waiting.decide_by > now)
            {
                break;
            }
            match self.remove_request(request) {
                Some(class) => {
                    self.decide_without_verdict(request, class, RejectReason::CheckFailed)
                }
                None => {
                    self.request_deadlines.pop_first();
                }
            }
        }
        while let Some((_, check)) = self.check_timeouts.first().copied() {
            let Some(pending) = self.checks.get(&check) else {
                break;
            };
            if pending.cancel_at().is_none_or(|cancel_at| cancel_at > now) {
                break;
            }
            let attempt = pending.attempts.saturating_sub(1);
            self.outputs.push_back(Output::Cancel { check });
            self.check_failed(now, check, attempt, Failure::Server);
        }
        self.send_queued_checks(now);
    }
}

impl PendingCheck {
    /// The earliest deadline of the waiting requests, in microseconds.
    fn earliest_deadline(&self) -> Option<u64> {
        self.waiting.first().map(|(decide_by, _)| *decide_by)
    }

    /// When the attempt in flight is cancelled; `None` while the check is queued.
    fn cancel_at(&self) -> Option<Millis> {
        self.in_flight
            .map(|in_flight| in_flight.cancel_at(self.waiting.is_empty()))
    }
}

impl InFlight {
    /// When the attempt is cancelled: at its deadline, or the grace time later if no request waits
    /// for it.
    fn cancel_at(&self, abandoned: bool) -> Millis {
        self.deadline + if abandoned { ABANDONED_GRACE } else { 0.0 }
    }
}

fn decision<T>(verdict: &Verdict<T>) -> Decision<T> {
    match verdict.passes {
        true => Decision::Pass(verdict.response.clone()),
        false => Decision::Deny(verdict.response.clone()),
    }
}
