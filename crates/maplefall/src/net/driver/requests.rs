//! Requests: from their arrival to the one final answer of each.
//!
//! Invariant: whoever takes a request's answer sender out of the table gives the final answer, so there is never a second
//! one.

use super::state::PendingRequest;
use super::timers::TimerEvent;
use super::Driver;
use crate::net::grpc::ProxiedCall;
use hyper::header::{HeaderName, HeaderValue};
use maplefall_policy::{Event, Millis, Outcome, RemoteUsage, Request, RequestId};
use maplefall_protocol::{Answer, Ended, Incoming, Order};
use std::rc::Rc;
use tokio::sync::oneshot;

impl Driver {
    /// Starts a request and gives its number and the receiver of its final answer; `None` if its id is in use or was a moment
    /// ago.
    pub fn start_request(
        self: &Rc<Self>,
        incoming: Incoming,
    ) -> Option<(RequestId, oneshot::Receiver<Answer>)> {
        self.start_call(incoming, None)
    }

    /// Starts a request that may have come over gRPC, as [`Driver::start_request`] does.
    pub fn start_call(
        self: &Rc<Self>,
        incoming: Incoming,
        call: Option<Rc<ProxiedCall>>,
    ) -> Option<(RequestId, oneshot::Receiver<Answer>)> {
        let (sender, receiver) = oneshot::channel();
        let id = {
            let mut state = self.state.borrow_mut();
            if !state.claim_request_id(incoming.at, &incoming.order.id) {
                return None;
            }
            state.insert_request(PendingRequest {
                forwarded: Rc::new(incoming.order),
                customer: incoming.customer,
                plan: incoming.plan,
                reserved_units: incoming.units,
                deadline: incoming.deadline,
                answer_sender: Some(sender),
                attempts_started: 0,
                in_flight: None,
                awaits_check: false,
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
            // What is known of the customer's usage at peers goes first, so that this request is decided by it.
            if let Some(usage) = counts.usage_elsewhere(incoming.at, request.customer, request.plan)
            {
                self.post(incoming.at, Event::RemoteUsage(usage));
            }
        }
        self.post(incoming.at, Event::Arrival(request));
        Some((id, receiver))
    }

    /// Records that peers have admitted more for a customer.
    pub fn record_usage_elsewhere(self: &Rc<Self>, at: Millis, usage: RemoteUsage) {
        self.post(at, Event::RemoteUsage(usage));
    }

    /// Whether a request waits for its caller's check.
    pub fn awaits_check(&self, id: RequestId) -> bool {
        self.state
            .borrow()
            .requests
            .get(&id)
            .is_some_and(|request| request.awaits_check)
    }

    /// The caller of a pending request has passed its check, which adds these headers for the backend. A request that has been
    /// answered stays as it is.
    pub fn check_passed(self: &Rc<Self>, id: RequestId, onward: &[(HeaderName, HeaderValue)]) {
        if let Some(request) = self
            .state
            .borrow_mut()
            .requests
            .get_mut(&id)
            .filter(|request| request.awaits_check)
        {
            request.awaits_check = false;
            if !onward.is_empty() {
                let forwarded = Order {
                    onward: onward.to_vec(),
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

    /// The caller of a pending request has failed its check, and the caller of this function answers it; `false` if the
    /// request has been answered already.
    pub fn check_denied(self: &Rc<Self>, id: RequestId) -> bool {
        let event = Event::Authorized {
            request: id,
            allowed: false,
        };
        self.end_unanswered(id, event)
    }

    /// The client of a request has disconnected; nothing happens if the request has been answered.
    pub fn client_disconnected(self: &Rc<Self>, id: RequestId) {
        self.end_unanswered(id, Event::ClientDisconnected(id));
    }

    /// Ends a request without an answer from here and posts the reason; `false` if it has been answered already.
    fn end_unanswered(self: &Rc<Self>, id: RequestId, event: Event) -> bool {
        let unanswered = self.state.borrow_mut().take_answer_sender(id).is_some();
        if unanswered {
            self.post(self.clock.now(), event);
            self.state.borrow_mut().remove_if_finished(id);
        }
        unanswered
    }

    /// The response to a call is on its way to its client: no further attempt can take the place of this one.
    pub fn response_started(self: &Rc<Self>, id: RequestId) {
        if let Some(request) = self.state.borrow_mut().requests.get_mut(&id) {
            request.response_started = true;
        }
        self.post(self.clock.now(), Event::StreamStarted(id));
    }

    /// Ends the attempt of a call whose client has disconnected, where the settings permit it.
    pub fn cancel_if_permitted(self: &Rc<Self>, id: RequestId) {
        let number = self
            .state
            .borrow()
            .requests
            .get(&id)
            .and_then(|request| Some(request.in_flight.as_ref()?.number));
        if let Some(number) = number.filter(|_| self.settings.cancellation) {
            self.finish_attempt(id, number, Ended::of(Outcome::Cancelled));
        }
    }

    /// Gives a request its final answer, unless it has one.
    pub(super) fn send_answer(&self, id: RequestId, answer: Answer) {
        let mut state = self.state.borrow_mut();
        if let Some(sender) = state.take_answer_sender(id) {
            // The client may have disconnected; then nobody receives it.
            let _ = sender.send(answer);
        }
        state.remove_if_finished(id);
    }

    /// Requests that have no final answer yet.
    pub fn unanswered(&self) -> usize {
        self.state
            .borrow()
            .requests
            .values()
            .filter(|request| request.answer_sender.is_some())
            .count()
    }
}
