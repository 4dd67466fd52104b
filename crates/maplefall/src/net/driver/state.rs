//! The driver's tables: requests, their ids on the wire, and the ids of backends in the decision
//! module.
//!
//! Invariant: a request is in the table until it has a final response and no attempt in flight. Its
//! id is kept from its arrival until [`REQUEST_ID_RETENTION`] after its deadline, so that only one
//! request with an id is forwarded.

use super::timers::TimerQueue;
use crate::net::grpc::ProxiedCall;
use maplefall_policy::{BackendId, CustomerId, Gateway, Millis, PlanId, RequestId};
use maplefall_protocol::{FinalResponse, ForwardedRequest};
use maplefall_upstream::AttemptHandle;
use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;
use tokio::sync::oneshot;

/// How long after its deadline the id of a finished request is still rejected, in milliseconds.
/// Clients give every request, also a retry, an id of its own; a request with a repeated id would
/// run a second time.
const REQUEST_ID_RETENTION: Millis = 5000.0;
/// Maximum number of ids of finished requests; beyond it the oldest is dropped early.
const MAX_RETAINED_REQUEST_IDS: usize = 8192;

/// A request that has no final response yet, or still has an attempt in flight.
pub(super) struct PendingRequest {
    /// The request that is forwarded to backends.
    pub(super) forwarded: Rc<ForwardedRequest>,
    pub(super) customer: CustomerId,
    pub(super) plan: PlanId,
    /// Units charged to the customer's quota on arrival.
    pub(super) reserved_units: f64,
    pub(super) deadline: Millis,
    /// `Some` until the final response has been sent.
    pub(super) response_sender: Option<oneshot::Sender<FinalResponse>>,
    pub(super) attempts_started: u32,
    pub(super) in_flight: Option<Attempt>,
    /// Whether the decision module waits for the authorization of the caller.
    pub(super) awaits_authorization: bool,
    /// The gRPC call, if the request arrived over gRPC.
    pub(super) call: Option<Rc<ProxiedCall>>,
    /// Whether the response is being sent to the client: no further attempt can replace the present
    /// one.
    pub(super) response_started: bool,
}

/// The attempt of a request that is in flight.
pub(super) struct Attempt {
    pub(super) number: u32,
    pub(super) backend: BackendId,
    pub(super) sent_at: Millis,
    pub(super) handle: AttemptHandle,
}

/// The decision module with the driver's tables.
pub(super) struct State {
    pub(super) gateway: Gateway,
    pub(super) requests: HashMap<RequestId, PendingRequest>,
    /// Timers of requests, of attempts and of the decision module.
    pub(super) timers: TimerQueue,
    /// Ids on the wire of the requests in the table and of those in `retired_ids`.
    known_ids: HashSet<Rc<str>>,
    /// Ids of requests that finished less than [`REQUEST_ID_RETENTION`] ago, with their deadlines,
    /// oldest first; at most [`MAX_RETAINED_REQUEST_IDS`].
    retired_ids: VecDeque<(Millis, Rc<str>)>,
    last_request_number: u32,
    backend_ids: HashMap<String, BackendId>,
    last_backend_number: u32,
}

impl State {
    /// Creates empty tables for a decision module.
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

    /// Marks an id as used at `now`; `false` if the id is in use or was used recently.
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

    /// Inserts a request under an unused id.
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

    /// Returns whether a request has no final response yet.
    pub(super) fn awaits_response(&self, id: RequestId) -> bool {
        self.requests
            .get(&id)
            .is_some_and(|request| request.response_sender.is_some())
    }

    /// Takes the sender of a request's final response; `None` if it has been sent.
    pub(super) fn take_response_sender(
        &mut self,
        id: RequestId,
    ) -> Option<oneshot::Sender<FinalResponse>> {
        self.requests.get_mut(&id)?.response_sender.take()
    }

    /// Removes a request that has its final response and no attempt in flight.
    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        let finished = self.requests.get(&id).is_some_and(|request| {
            request.response_sender.is_none() && request.in_flight.is_none()
        });
        if !finished {
            return;
        }
        if let Some(request) = self.requests.remove(&id) {
            self.retired_ids
                .push_back((request.deadline, request.forwarded.id.clone()));
        }
    }

    /// Returns whether any backend is known.
    pub(super) fn has_backends(&self) -> bool {
        !self.backend_ids.is_empty()
    }

    /// Returns the id of a backend, which is assigned when the backend is first seen.
    pub(super) fn backend_id(&mut self, host: &str) -> BackendId {
        if let Some(id) = self.backend_ids.get(host) {
            return *id;
        }
        self.last_backend_number = self.last_backend_number.wrapping_add(1);
        let id = BackendId(self.last_backend_number);
        self.backend_ids.insert(host.to_owned(), id);
        id
    }

    /// Removes a backend's id; a backend that comes back under the same name gets a new one.
    pub(super) fn remove_backend(&mut self, host: &str) {
        self.backend_ids.remove(host);
    }
}
