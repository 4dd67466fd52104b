//! Timers of pending requests: policy timers, waits for quota tokens and attempt timeouts.

use super::requests::PendingRequest;
use super::{Core, Output};
use maplefall_policy::{Event, Millis, RequestId, TimerId};
use std::collections::HashMap;

/// A timer of a request. A timer whose request or attempt has ended is obsolete and has no effect.
pub(super) enum Timer {
    /// A timer that the policy set for this request.
    Policy(RequestId),
    /// The request's quota token has become available.
    QuotaToken(RequestId),
    /// The attempt times out.
    AttemptTimeout { request: RequestId, attempt: u32 },
}

/// What happens to an attempt at its timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TimeoutResult {
    /// The attempt has already ended.
    Ignored,
    /// The attempt continues until its request's deadline.
    Extended,
    /// The attempt is cancelled.
    Cancelled,
}

impl Timer {
    fn is_obsolete(&self, requests: &HashMap<RequestId, PendingRequest>) -> bool {
        match self {
            Timer::Policy(id) | Timer::QuotaToken(id) => !requests.contains_key(id),
            Timer::AttemptTimeout { request, attempt } => !requests
                .get(request)
                .is_some_and(|pending| pending.is_in_flight(*attempt)),
        }
    }
}

impl Core {
    /// Returns when the next timer is due, or `None` if none is set.
    pub fn next_due(&mut self) -> Option<Millis> {
        let requests = &self.requests;
        self.timers.next_due(|timer| timer.is_obsolete(requests))
    }

    /// Runs the timers that are due, up to the first one that cancels an attempt: the effect of
    /// later timers depends on whether a retry follows, so the outputs have to be executed first.
    /// [`next_due`](Self::next_due) shows whether any are left.
    pub fn run_timers(&mut self, now: Millis, out: &mut Vec<Output>) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Policy(id) => self.run_policy_timer(now, id, out),
                Timer::QuotaToken(id) => self.quota_token_available(now, id, out),
                Timer::AttemptTimeout { request, attempt } => {
                    if self.attempt_timed_out(now, request, attempt, out)
                        == TimeoutResult::Cancelled
                    {
                        return;
                    }
                }
            }
        }
    }

    fn run_policy_timer(&mut self, now: Millis, id: RequestId, out: &mut Vec<Output>) {
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

    /// Handles the timeout of an attempt. Before its request's deadline, an attempt is cancelled
    /// only if a retry follows, and never during a graceful shutdown, so that a request on which a
    /// backend is working is not lost (users' rule LOST).
    fn attempt_timed_out(
        &mut self,
        now: Millis,
        request: RequestId,
        attempt: u32,
        out: &mut Vec<Output>,
    ) -> TimeoutResult {
        let pending = self.requests.get(&request);
        let Some(pending) = pending.filter(|pending| pending.is_in_flight(attempt)) else {
            return TimeoutResult::Ignored;
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
            return TimeoutResult::Extended;
        }
        self.stats.attempts_given_up += 1;
        out.push(Output::CancelAttempt(request, attempt));
        TimeoutResult::Cancelled
    }
}
