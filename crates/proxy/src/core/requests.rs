//! Pending requests: from admission until the response is decided and no attempt is in flight. Each gets exactly one
//! response, and one that may have run gets no promise that it has not.

use super::{Core, LocalResponse, Output, RETRY_AFTER_LATENCY_TARGETS, RETURN_TIME};
use maplefall_policy::{BackendId, Event, Millis, RejectReason, Request, RequestId};
use std::rc::Rc;

/// Requests at most that are pending; beyond it a request is rejected with 503.
pub(super) const MAX_PENDING_REQUESTS: usize = 4096;

/// An attempt that has been sent and has not ended.
#[derive(Clone, Copy)]
pub(super) struct InFlightAttempt {
    pub number: u32,
    pub backend: BackendId,
    pub sent_at: Millis,
}

/// An admitted request.
pub(super) struct PendingRequest {
    /// Index of its service.
    pub service: usize,
    /// Whether it may run more than once (its route's kind).
    pub idempotent: bool,
    pub tenant: Option<Rc<str>>,
    /// The route's latency target.
    pub latency_target: Millis,
    /// When the client stops waiting, less the time that the response takes to reach it.
    pub deadline: Millis,
    /// Attempts started so far.
    pub attempts: u32,
    pub in_flight: Option<InFlightAttempt>,
    /// Whether an attempt may have reached a backend's handler.
    pub may_have_run: bool,
    /// Whether the response is decided, or the client has gone.
    pub responded: bool,
    /// Whether any attempt went to a backend.
    pub sent: bool,
    /// The request as the policy gets it once its quota token is available.
    pub waiting_for_token: Option<Request>,
}

impl PendingRequest {
    /// Whether the attempt of this number is in flight.
    pub fn is_in_flight(&self, number: u32) -> bool {
        self.in_flight
            .is_some_and(|attempt| attempt.number == number)
    }

    fn is_finished(&self) -> bool {
        self.responded && self.in_flight.is_none()
    }
}

impl Core {
    /// Whether any request has no response yet.
    pub fn has_pending_requests(&self) -> bool {
        self.requests.values().any(|pending| !pending.responded)
    }

    /// A client has gone away before its response. A request that still waits for its quota token returns it. Guards backends
    /// against work that nobody waits for (the users' rule GONE): an attempt that may be repeated is cancelled. One that may not is
    /// left to its backend once it is completely written, since it may be halfway through.
    pub fn client_disconnected(&mut self, now: Millis, id: RequestId, out: &mut Vec<Output>) {
        let Some(pending) = self
            .requests
            .get_mut(&id)
            .filter(|pending| !pending.responded)
        else {
            return;
        };
        pending.responded = true;
        let service = pending.service;
        let (idempotent, in_flight) = (pending.idempotent, pending.in_flight);
        if pending.waiting_for_token.take().is_some() {
            if let Some(tenant) = &pending.tenant {
                self.tenants.give_back(tenant, 1.0);
            }
        }
        self.handle_policy_event(now, service, Event::ClientDisconnected(id), out);
        if let Some(attempt) = in_flight {
            out.push(Output::AbandonAttempt {
                request: id,
                attempt: attempt.number,
                even_if_written: idempotent,
            });
        }
        self.remove_if_finished(id);
    }

    /// The policy has no backend for the request.
    pub(super) fn reject(
        &mut self,
        id: RequestId,
        reason: RejectReason,
        retry_after: Option<Millis>,
        out: &mut Vec<Output>,
    ) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        if !pending.responded {
            pending.responded = true;
            let in_flight = pending.in_flight.is_some();
            // An attempt in flight may have run, or may run yet: nothing is promised.
            let response = if pending.may_have_run || in_flight {
                self.stats.failed += 1;
                LocalResponse::may_have_run(if in_flight { 504 } else { 502 })
            } else {
                self.stats.no_backend += 1;
                let default = RETRY_AFTER_LATENCY_TARGETS * pending.latency_target;
                LocalResponse::not_run(503, retry_after.unwrap_or(default))
            };
            if let (Some(tenant), false, RejectReason::NoBackend) =
                (&pending.tenant, pending.sent, reason)
            {
                self.tenants.give_back(tenant, 1.0);
            }
            out.push(Output::Respond(id, response));
        }
        self.remove_if_finished(id);
    }

    /// The request failed and may have run.
    pub(super) fn fail(&mut self, now: Millis, id: RequestId, out: &mut Vec<Output>) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        if !pending.responded {
            pending.responded = true;
            self.stats.failed += 1;
            let timed_out = now + 2.0 * RETURN_TIME >= pending.deadline;
            let status = if timed_out { 504 } else { 502 };
            out.push(Output::Respond(id, LocalResponse::may_have_run(status)));
        }
        self.remove_if_finished(id);
    }

    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        if self
            .requests
            .get(&id)
            .is_some_and(PendingRequest::is_finished)
        {
            self.requests.remove(&id);
        }
    }

    pub(super) fn next_request_id(&mut self) -> RequestId {
        loop {
            self.last_request_id = self.last_request_id.wrapping_add(1);
            let id = RequestId(self.last_request_id);
            if !self.requests.contains_key(&id) {
                return id;
            }
        }
    }
}
