//! Pending requests: from admission until the response is decided and no attempt is in flight. Each
//! request gets exactly one response, and one that may have run never gets a response which states
//! that it has not.

use super::{
    Core, LocalResponse, Output, RESPONSE_TRANSIT_TIME, RETRY_AFTER_LATENCY_TARGET_FRACTION,
};
use maplefall_policy::{BackendId, Event, Millis, RejectReason, Request, RequestId};
use std::rc::Rc;

/// Maximum number of pending requests; further requests are rejected with 503.
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
    /// Index of the request's service.
    pub service: usize,
    /// Whether the request may run more than once, as configured for its route.
    pub idempotent: bool,
    pub tenant: Option<Rc<str>>,
    /// The route's latency target.
    pub latency_target: Millis,
    /// When the client stops waiting, less the time that the response takes to reach it.
    pub deadline: Millis,
    /// Number of attempts started so far.
    pub attempts: u32,
    pub in_flight: Option<InFlightAttempt>,
    /// Whether an attempt may have reached a backend's handler.
    pub may_have_run: bool,
    /// Whether the response is decided, or the client has disconnected.
    pub responded: bool,
    /// Whether any attempt was sent to a backend.
    pub sent: bool,
    /// The request that is passed to the policy once its quota token is available.
    pub waiting_for_token: Option<Request>,
}

impl PendingRequest {
    /// Returns whether the attempt with this number is in flight.
    pub fn is_in_flight(&self, number: u32) -> bool {
        self.in_flight
            .is_some_and(|attempt| attempt.number == number)
    }

    fn is_finished(&self) -> bool {
        self.responded && self.in_flight.is_none()
    }
}

impl Core {
    /// Returns whether any request has no response yet.
    pub fn has_pending_requests(&self) -> bool {
        self.requests.values().any(|pending| !pending.responded)
    }

    /// Handles a client that disconnected before its response. A request that still waits for its
    /// quota token returns the token. Attempts of idempotent requests are cancelled, so that
    /// backends do no work that nobody waits for (users' rule GONE). An attempt of a non-idempotent
    /// request continues once it is completely written, since the backend may have run it halfway.
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

    /// Responds to a request that the policy rejects, for any reason. The request's quota token is
    /// given back only for [`RejectReason::NoBackend`], and if nothing was sent.
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
            // An attempt in flight may have run or may still run, so the response must not state
            // that the request has not run.
            let response = if pending.may_have_run || in_flight {
                self.stats.failed += 1;
                LocalResponse::may_have_run(if in_flight { 504 } else { 502 })
            } else {
                self.stats.no_backend += 1;
                let default = RETRY_AFTER_LATENCY_TARGET_FRACTION * pending.latency_target;
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

    /// Fails a request that may have run.
    pub(super) fn fail(&mut self, now: Millis, id: RequestId, out: &mut Vec<Output>) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        if !pending.responded {
            pending.responded = true;
            self.stats.failed += 1;
            let timed_out = now + 2.0 * RESPONSE_TRANSIT_TIME >= pending.deadline;
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
