//! Requests, from arrival to the single final response.
//!
//! Invariant: the code that takes a request's response sender out of the table sends the final
//! response, so there is never a second one.

use super::state::PendingRequest;
use super::timers::TimerEvent;
use super::Driver;
use crate::net::grpc::ProxiedCall;
use hyper::header::{HeaderName, HeaderValue};
use maplefall_policy::{Event, Millis, Outcome, RemoteUsage, Request, RequestId};
use maplefall_protocol::{EndedAttempt, FinalResponse, ForwardedRequest, Incoming};
use std::rc::Rc;
use tokio::sync::oneshot;

impl Driver {
    /// Starts a request and returns its id and the receiver of its final response; `None` if the
    /// client's request id is in use or was used recently.
    pub fn start_request(
        self: &Rc<Self>,
        incoming: Incoming,
    ) -> Option<(RequestId, oneshot::Receiver<FinalResponse>)> {
        self.start_call(incoming, None)
    }

    /// Like [`Driver::start_request`], for a request that may have arrived over gRPC.
    pub fn start_call(
        self: &Rc<Self>,
        incoming: Incoming,
        call: Option<Rc<ProxiedCall>>,
    ) -> Option<(RequestId, oneshot::Receiver<FinalResponse>)> {
        let (sender, receiver) = oneshot::channel();
        let id = {
            let mut state = self.state.borrow_mut();
            if !state.claim_request_id(incoming.at, &incoming.forwarded.id) {
                return None;
            }
            state.insert_request(PendingRequest {
                forwarded: Rc::new(incoming.forwarded),
                customer: incoming.customer,
                plan: incoming.plan,
                reserved_units: incoming.units,
                deadline: incoming.deadline,
                response_sender: Some(sender),
                attempts_started: 0,
                in_flight: None,
                awaits_authorization: false,
                call,
                response_started: false,
            })
        };
        self.set_timer(incoming.deadline, TimerEvent::Deadline(id));
        let request = Request {
            id,
            customer: incoming.customer,
            plan: incoming.plan,
            class: incoming.class,
            units: incoming.units,
            deadline: incoming.deadline,
            authorized: incoming.authorized,
            gateways: incoming.gateways,
        };
        if let Some(counts) = self.shared_counts.get() {
            // The customer's usage at peers goes first, so that it counts in the decision on this
            // request.
            if let Some(usage) = counts.usage_elsewhere(incoming.at, request.customer, request.plan)
            {
                self.post(incoming.at, Event::RemoteUsage(usage));
            }
        }
        self.post(incoming.at, Event::Arrival(request));
        Some((id, receiver))
    }

    /// Notifies the decision module that a customer's usage at peers has changed.
    pub fn record_usage_elsewhere(self: &Rc<Self>, at: Millis, usage: RemoteUsage) {
        self.post(at, Event::RemoteUsage(usage));
    }

    /// Returns whether a request waits for the authorization of its caller.
    pub fn awaits_authorization(&self, id: RequestId) -> bool {
        self.state
            .borrow()
            .requests
            .get(&id)
            .is_some_and(|request| request.awaits_authorization)
    }

    /// Records that the caller of a pending request is authorized; `onward` are headers for the
    /// backend. A request that has its response already is not changed.
    pub fn caller_authorized(self: &Rc<Self>, id: RequestId, onward: &[(HeaderName, HeaderValue)]) {
        if let Some(request) = self
            .state
            .borrow_mut()
            .requests
            .get_mut(&id)
            .filter(|request| request.awaits_authorization)
        {
            request.awaits_authorization = false;
            if !onward.is_empty() {
                let forwarded = ForwardedRequest {
                    added_headers: onward.to_vec(),
                    ..(*request.forwarded).clone()
                };
                request.forwarded = Rc::new(forwarded);
            }
        }
        let event = Event::Authorized {
            request: id,
            allowed: true,
        };
        self.post(self.clock.now(), event);
    }

    /// Records that the caller of a pending request is not authorized. Returns `true` if the caller
    /// of this function has to respond, `false` if the request has its response already.
    pub fn caller_denied(self: &Rc<Self>, id: RequestId) -> bool {
        let event = Event::Authorized {
            request: id,
            allowed: false,
        };
        self.end_without_response(id, event)
    }

    /// Records that the client of a request has disconnected. Does nothing if the request has its
    /// response already.
    pub fn client_disconnected(self: &Rc<Self>, id: RequestId) {
        self.end_without_response(id, Event::ClientDisconnected(id));
    }

    /// Ends a request without a response from the driver and posts the reason; `false` if the
    /// request has its response already.
    fn end_without_response(self: &Rc<Self>, id: RequestId, event: Event) -> bool {
        let was_pending = self.state.borrow_mut().take_response_sender(id).is_some();
        if was_pending {
            self.post(self.clock.now(), event);
            self.state.borrow_mut().remove_if_finished(id);
        }
        was_pending
    }

    /// Records that the response to a call is being sent to its client: no further attempt can
    /// replace the present one.
    pub fn response_started(self: &Rc<Self>, id: RequestId) {
        if let Some(request) = self.state.borrow_mut().requests.get_mut(&id) {
            request.response_started = true;
        }
        self.post(self.clock.now(), Event::StreamStarted(id));
    }

    /// Cancels the attempt of a call whose client has disconnected, if the settings permit
    /// cancellation.
    pub fn cancel_if_permitted(self: &Rc<Self>, id: RequestId) {
        let number = self
            .state
            .borrow()
            .requests
            .get(&id)
            .and_then(|request| Some(request.in_flight.as_ref()?.number));
        if let Some(number) = number.filter(|_| self.settings.cancellation) {
            self.finish_attempt(
                id,
                number,
                EndedAttempt::without_response(Outcome::Cancelled),
            );
        }
    }

    /// Sends a request its final response, unless it has one already.
    pub(super) fn send_response(&self, id: RequestId, answer: FinalResponse) {
        let mut state = self.state.borrow_mut();
        if let Some(sender) = state.take_response_sender(id) {
            // Sending fails if the client has disconnected.
            let _ = sender.send(answer);
        }
        state.remove_if_finished(id);
    }

    /// Returns the number of requests without a final response.
    pub fn requests_without_response(&self) -> usize {
        self.state
            .borrow()
            .requests
            .values()
            .filter(|request| request.response_sender.is_some())
            .count()
    }
}
