//! Lease requests that wait to be answered.
//!
//! A lease lasts for many requests, so one that comes late does no harm, and a later request of the same proxy says all that an earlier
//! one says. Raft messages, pongs and calls have to be handled at once. So lease requests wait: one for each proxy, replaced by its
//! later ones, and answered one at a time when the driver has nothing more urgent to do. Whatever proxies ask, the work that waits is
//! bounded by their number, and each gets its turn (`docs/incidents/2026-12-acks-grown.md`).

use super::leasing::HolderState;
use super::writes::WritePurpose;
use super::{Core, Millis, Output};
use crate::store::StoreRecord;
use maplefall_control_messages::Frame;
use maplefall_quota_lease::{LeaseRequest, TokenRequest};
use std::collections::{BTreeMap, VecDeque};

/// Fraction of the time that is to go into lease requests at most, however many there are: the rest is left to Raft, liveness and calls.
pub const MAX_LEASE_LOAD: f64 = 0.5;
/// Time for which the driver may answer them without a pause after a while with fewer.
pub const MAX_LEASE_CREDIT: Millis = 20.0;

/// The last request of each connection that has one to be answered, of leases and of tokens. Their number is bounded by that of the
/// connections.
#[derive(Default)]
pub(super) struct LeaseRequests {
    leases: RequestQueue<LeaseRequest>,
    /// A proxy has one under way at a time; one that is replaced has had its time.
    tokens: RequestQueue<TokenRequest>,
}

impl LeaseRequests {
    fn is_empty(&self) -> bool {
        self.leases.by_connection.is_empty() && self.tokens.by_connection.is_empty()
    }

    /// A connection has ended.
    pub(super) fn remove(&mut self, connection: u64) {
        self.leases.remove(connection);
        self.tokens.remove(connection);
    }
}

/// One request for each connection.
struct RequestQueue<R> {
    by_connection: BTreeMap<u64, R>,
    /// The connections in the order in which they are answered; those without a request are passed over.
    turns: VecDeque<u64>,
}

impl<R> Default for RequestQueue<R> {
    fn default() -> RequestQueue<R> {
        RequestQueue {
            by_connection: BTreeMap::new(),
            turns: VecDeque::new(),
        }
    }
}

impl<R> RequestQueue<R> {
    /// Queues a request, in the place of an earlier one of its connection if that still waits.
    fn push(&mut self, connection: u64, request: R) {
        if self.by_connection.insert(connection, request).is_none() {
            self.turns.push_back(connection);
        }
    }

    fn pop(&mut self) -> Option<(u64, R)> {
        while let Some(connection) = self.turns.pop_front() {
            if let Some(request) = self.by_connection.remove(&connection) {
                return Some((connection, request));
            }
        }
        None
    }

    fn remove(&mut self, connection: u64) {
        if self.by_connection.remove(&connection).is_some() {
            self.turns.retain(|turn| *turn != connection);
        }
    }
}

impl Core {
    pub(super) fn lease_requests_mut(&mut self) -> &mut LeaseRequests {
        &mut self.leasing.requests
    }

    /// A proxy has sent a frame; only requests of leases and tokens are expected of one.
    pub fn receive_from_proxy(
        &mut self,
        now: Millis,
        connection: u64,
        frame: Frame,
        out: &mut Vec<Output>,
    ) {
        let request = match frame {
            Frame::LeaseRequest(request) => request,
            Frame::TokenRequest(request) => {
                return self.queue_request(connection, out, |requests| {
                    requests.tokens.push(connection, request);
                });
            }
            _ => return,
        };
        if request.release {
            // The proxy ends its connection behind it.
            self.lease_requests_mut().remove(connection);
            self.grant_leases(now, connection, &request, out);
        } else {
            self.queue_lease_request(connection, request, out);
        }
    }

    pub(super) fn queue_lease_request(
        &mut self,
        connection: u64,
        request: LeaseRequest,
        out: &mut Vec<Output>,
    ) {
        self.queue_request(connection, out, |requests| {
            requests.leases.push(connection, request);
        });
    }

    fn queue_request(
        &mut self,
        connection: u64,
        out: &mut Vec<Output>,
        push: impl FnOnce(&mut LeaseRequests),
    ) {
        if !self.proxies.contains_key(&connection) {
            return;
        }
        let requests = self.lease_requests_mut();
        if requests.is_empty() {
            out.push(Output::LeaseRequestsQueued);
        }
        push(requests);
    }

    /// Whether a lease request waits to be answered.
    pub fn has_lease_requests(&self) -> bool {
        !self.leasing.requests.is_empty()
    }

    /// Answers the request that has waited longest, one of tokens before one of leases; returns whether there was one.
    pub fn answer_lease_request(&mut self, now: Millis, out: &mut Vec<Output>) -> bool {
        if let Some((connection, request)) = self.lease_requests_mut().tokens.pop() {
            self.grant_tokens(now, connection, &request, out);
            return true;
        }
        let Some((connection, request)) = self.lease_requests_mut().leases.pop() else {
            return false;
        };
        let Some(proxy) = self.proxies.get_mut(&connection) else {
            return true;
        };
        let node = proxy.node.clone();
        match self.leasing.holders.record(&node) {
            HolderState::Recorded => self.grant_leases(now, connection, &request, out),
            HolderState::BeingRecorded => proxy.awaits_disk = Some(request),
            HolderState::Refused => {}
            HolderState::New => {
                proxy.awaits_disk = Some(request);
                let record = StoreRecord {
                    leased_to: vec![node.clone()],
                    ..StoreRecord::default()
                };
                self.writes
                    .write(record, WritePurpose::LeaseHolder(node), out);
            }
        }
        true
    }

    /// A proxy's name is on disk.
    pub(super) fn lease_holder_persisted(&mut self, node: &str, out: &mut Vec<Output>) {
        self.leasing.holders.recorded(node);
        let Some(connection) = self.latest_connection(node) else {
            return;
        };
        let waiting = self
            .proxies
            .get_mut(&connection)
            .and_then(|proxy| proxy.awaits_disk.take());
        if let Some(request) = waiting {
            self.queue_lease_request(connection, request, out);
        }
    }
}
