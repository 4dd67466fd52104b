//! Timers of pending requests: policy alarms, waits for quota tokens and attempt timeouts.

use super::requests::PendingRequest;
use super::{Core, Output};
use maplefall_policy::{Event, Millis, RequestId, TimerId};
use std::collections::HashMap;

/// What is due at a time. A timer whose request has ended is obsolete and does nothing.
pub(super) enum Timer {
    /// The policy asked to be woken for this request.
    Alarm(RequestId),
    /// The request's quota token has become available.
    QuotaToken(RequestId),
    /// The attempt has had its time.
    AttemptTimeout { request: RequestId, attempt: u32 },
}

/// What became of an attempt whose time is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Timeout {
    /// It has ended before.
    Ignored,
    /// It goes on until its client's time is over.
    Extended,
    /// It is given up.
    GivenUp,
}

impl Timer {
    fn is_obsolete(&self, requests: &HashMap<RequestId, PendingRequest>) -> bool {
        match self {
            Timer::Alarm(id) | Timer::QuotaToken(id) => !requests.contains_key(id),
            Timer::AttemptTimeout { request, attempt } => !requests
                .get(request)
                .is_some_and(|pending| pending.is_in_flight(*attempt)),
        }
    }
}

impl Core {
    /// When the next timer is due; `None` if none is set.
    pub fn next_due(&mut self) -> Option<Millis> {
        let requests = &self.requests;
        self.timers.next_due(|timer| timer.is_obsolete(requests))
    }

    /// Runs the timers that are due, up to the first that gives an attempt up: what the next ones do depends on whether a retry
    /// has followed, so the outputs have to be carried out first. [`next_due`](Self::next_due) tells whether any is left.
    pub fn run_timers(&mut self, now: Millis, out: &mut Vec<Output>) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Alarm(id) => self.policy_alarm(now, id, out),
                Timer::QuotaToken(id) => self.quota_token_available(now, id, out),
                Timer::AttemptTimeout { request, attempt } => {
                    if self.attempt_timed_out(now, request, attempt, out) == Timeout::GivenUp {
                        return;
                    }
                }
            }
        }
    }

    fn policy_alarm(&mut self, now: Millis, id: RequestId, out: &mut Vec<Output>) {
        let Some(service) = self.requests.get(&id).map(|pending| pending.service) else {
            return;
        };
        let timer = Event::Timer(TimerId(u64::from(id.0)));
        self.handle_policy_event(now, service, timer, out);
        self.remove_if_finished(id);
    }

    fn quota_token_available(&mut self, now: Millis, id: RequestId, out: &mut Vec<Output>) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        let service = pending.service;
        if let Some(request) = pending.waiting_for_token.take() {
            self.handle_policy_event(now, service, Event::Arrival(request), out);
        }
    }

    /// Guards requests whose backends are at work on them (the users' rule LOST): an attempt is given up before its client's time is
    /// over only if a retry follows, and never during a planned stop.
    fn attempt_timed_out(
        &mut self,
        now: Millis,
        request: RequestId,
        attempt: u32,
        out: &mut Vec<Output>,
    ) -> Timeout {
        let pending = self.requests.get(&request);
        let Some(pending) = pending.filter(|pending| pending.is_in_flight(attempt)) else {
            return Timeout::Ignored;
        };
        let deadline = pending.deadline;
        let would_retry = !self.shutting_down
            && self
                .services
                .get(pending.service)
                .is_some_and(|service| service.gateway.would_retry(now, request));
        if now < deadline && !would_retry {
            self.timers
                .set(deadline, Timer::AttemptTimeout { request, attempt });
            return Timeout::Extended;
        }
        self.stats.attempts_given_up += 1;
        out.push(Output::CancelAttempt(request, attempt));
        Timeout::GivenUp
    }
}
