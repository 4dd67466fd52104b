//! The tables of the driver: requests, the ids that clients chose, and the numbers that stand for backends in the decision
//! module.
//!
//! Invariant: a request is in the table for as long as it has no final answer or an attempt is in flight; its id stays known
//! from its arrival until [`REQUEST_ID_RETENTION`] after its deadline, so that one id is forwarded for one request only.

use super::timers::TimerQueue;
use crate::net::grpc::ProxiedCall;
use maplefall_policy::{BackendId, CustomerId, Gateway, Millis, PlanId, RequestId};
use maplefall_protocol::{FinalResponse, ForwardedRequest};
use maplefall_upstream::AttemptHandle;
use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;
use tokio::sync::oneshot;

/// How long after its deadline the id of a finished request is still rejected, in milliseconds. Every request has an id of
/// its own, a client's retry too: one that comes again belongs to another request, which would run a second time.
const REQUEST_ID_RETENTION: Millis = 5000.0;
/// Ids of finished requests that are kept at most; beyond it the oldest is dropped before its time.
const MAX_RETAINED_REQUEST_IDS: usize = 8192;

/// A request that has no final answer yet, or an attempt of which is in flight.
pub(super) struct PendingRequest {
    /// What its attempts send.
    pub(super) forwarded: Rc<ForwardedRequest>,
    pub(super) customer: CustomerId,
    pub(super) plan: PlanId,
    /// Units that its customer's quota was charged for at its arrival.
    pub(super) reserved_units: f64,
    pub(super) deadline: Millis,
    /// Present until the one final answer has been sent.
    pub(super) answer_sender: Option<oneshot::Sender<FinalResponse>>,
    pub(super) attempts_started: u32,
    pub(super) in_flight: Option<Attempt>,
    /// Whether the decision module waits for its caller's check.
    pub(super) awaits_check: bool,
    /// The call that it is, if it came over gRPC.
    pub(super) call: Option<Rc<ProxiedCall>>,
    /// Whether its response is on its way to the client: no other attempt can take its place.
    pub(super) response_started: bool,
}

/// An attempt in flight.
pub(super) struct Attempt {
    pub(super) number: u32,
    pub(super) backend: BackendId,
    pub(super) sent_at: Millis,
    pub(super) handle: AttemptHandle,
}

/// The decision module and the tables round it.
pub(super) struct State {
    pub(super) gateway: Gateway,
    pub(super) requests: HashMap<RequestId, PendingRequest>,
    /// Timers of requests, of attempts and of the decision module.
    pub(super) timers: TimerQueue,
    /// Ids on the wire of the requests in the table, and of those that finished less than [`REQUEST_ID_RETENTION`] ago.
    known_ids: HashSet<Rc<str>>,
    /// The latter with their deadlines, the oldest first; at most [`MAX_RETAINED_REQUEST_IDS`].
    retired_ids: VecDeque<(Millis, Rc<str>)>,
    last_request_number: u32,
    backend_ids: HashMap<String, BackendId>,
    last_backend_number: u32,
}

impl State {
    /// Empty tables round a decision module.
    pub(super) fn new(gateway: Gateway) -> State {
        State {
            gateway,
            requests: HashMap::new(),
            timers: TimerQueue::default(),
            known_ids: HashSet::new(),
            retired_ids: VecDeque::new(),
            last_request_number: 0,
            backend_ids: HashMap::new(),
            last_backend_number: 0,
        }
    }

    /// Marks an id as in use at `now`; `false` if it is in use or was a moment ago.
    pub(super) fn claim_request_id(&mut self, now: Millis, id: &Rc<str>) -> bool {
        self.expire_request_ids(now);
        self.known_ids.insert(id.clone())
    }

    fn expire_request_ids(&mut self, now: Millis) {
        while let Some((deadline, _)) = self.retired_ids.front() {
            if now - deadline < REQUEST_ID_RETENTION
                && self.retired_ids.len() <= MAX_RETAINED_REQUEST_IDS
            {
                return;
            }
            if let Some((_, id)) = self.retired_ids.pop_front() {
                self.known_ids.remove(&id);
            }
        }
    }

    /// Puts a request into the table, under a number that no other request in it has.
    pub(super) fn insert_request(&mut self, request: PendingRequest) -> RequestId {
        let id = self.allocate_request_id();
        self.requests.insert(id, request);
        id
    }

    fn allocate_request_id(&mut self) -> RequestId {
        loop {
            self.last_request_number = self.last_request_number.wrapping_add(1);
            let id = RequestId(self.last_request_number);
            if !self.requests.contains_key(&id) {
                return id;
            }
        }
    }

    /// Whether a request waits for its final answer.
    pub(super) fn is_unanswered(&self, id: RequestId) -> bool {
        self.requests
            .get(&id)
            .is_some_and(|request| request.answer_sender.is_some())
    }

    /// Takes the sender of a request's final answer; `None` if it has been answered.
    pub(super) fn take_answer_sender(
        &mut self,
        id: RequestId,
    ) -> Option<oneshot::Sender<FinalResponse>> {
        self.requests.get_mut(&id)?.answer_sender.take()
    }

    /// Removes a request that has been answered and has no attempt in flight.
    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        let finished = self
            .requests
            .get(&id)
            .is_some_and(|request| request.answer_sender.is_none() && request.in_flight.is_none());
        if !finished {
            return;
        }
        if let Some(request) = self.requests.remove(&id) {
            self.retired_ids
                .push_back((request.deadline, request.forwarded.id.clone()));
        }
    }

    /// Whether any backend is known.
    pub(super) fn has_backends(&self) -> bool {
        !self.backend_ids.is_empty()
    }

    /// The number of a backend, which gets one when it is first seen.
    pub(super) fn backend_id(&mut self, host: &str) -> BackendId {
        if let Some(id) = self.backend_ids.get(host) {
            return *id;
        }
        self.last_backend_number = self.last_backend_number.wrapping_add(1);
        let id = BackendId(self.last_backend_number);
        self.backend_ids.insert(host.to_owned(), id);
        id
    }

    /// Forgets a backend's number: one that comes back under its name gets another.
    pub(super) fn remove_backend(&mut self, host: &str) {
        self.backend_ids.remove(host);
    }
}
