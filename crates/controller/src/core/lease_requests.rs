//! The queue of pending lease and token requests.
//!
//! A lease lasts for many request intervals, so a late response does no harm, and a later request
//! of a proxy supersedes an earlier one. Raft messages, pongs and calls, however, have to be
//! handled at once. Lease requests are therefore queued: at most one per proxy, replaced by its
//! later ones, and processed one at a time when the driver has no more urgent input. The queued
//! work is bounded by the number of proxies regardless of their request rate, and every proxy gets
//! its turn (`docs/incidents/2026-12-acks-grown.md`).

use super::leasing::HolderState;
use super::writes::WritePurpose;
use super::{Core, Millis, Output};
use crate::store::StoreRecord;
use maplefall_control_messages::Frame;
use maplefall_quota_lease::{LeaseRequest, TokenRequest};
use std::collections::{BTreeMap, VecDeque};

/// Maximum fraction of the time that is spent on lease requests, however many are queued; the
/// remaining time is left to Raft messages, liveness messages and calls.
pub const MAX_LEASE_LOAD: f64 = 0.5;
/// Time for which the driver may process lease requests without interruption after a period in
/// which they took less than [`MAX_LEASE_LOAD`] of the time.
pub const MAX_LEASE_CREDIT: Millis = 20.0;

/// The latest pending lease request and token request of each connection. Their number is bounded
/// by that of the connections.
#[derive(Default)]
pub(super) struct LeaseRequests {
    leases: RequestQueue<LeaseRequest>,
    /// A proxy has one token request in flight at a time; a queued request that is replaced by a
    /// later one has timed out at the proxy.
    tokens: RequestQueue<TokenRequest>,
}

impl LeaseRequests {
    fn is_empty(&self) -> bool {
        self.leases.by_connection.is_empty() && self.tokens.by_connection.is_empty()
    }

    /// Removes the requests of a connection that has ended.
    pub(super) fn remove(&mut self, connection: u64) {
        self.leases.remove(connection);
        self.tokens.remove(connection);
    }
}

/// A FIFO queue with at most one request per connection.
struct RequestQueue<R> {
    by_connection: BTreeMap<u64, R>,
    /// Connections in the order in which they are served; those without a request are skipped.
    order: VecDeque<u64>,
}

impl<R> Default for RequestQueue<R> {
    fn default() -> RequestQueue<R> {
        RequestQueue {
            by_connection: BTreeMap::new(),
            order: VecDeque::new(),
        }
    }
}

impl<R> RequestQueue<R> {
    /// Queues a request, replacing a pending one of the same connection, whose position it takes.
    fn push(&mut self, connection: u64, request: R) {
        if self.by_connection.insert(connection, request).is_none() {
            self.order.push_back(connection);
        }
    }

    fn pop(&mut self) -> Option<(u64, R)> {
        while let Some(connection) = self.order.pop_front() {
            if let Some(request) = self.by_connection.remove(&connection) {
                return Some((connection, request));
            }
        }
        None
    }

    fn remove(&mut self, connection: u64) {
        if self.by_connection.remove(&connection).is_some() {
            self.order.retain(|queued| *queued != connection);
        }
    }
}

impl Core {
    pub(super) fn lease_requests_mut(&mut self) -> &mut LeaseRequests {
        &mut self.leasing.requests
    }

    /// Handles a frame from a proxy. Frames other than lease and token requests are ignored.
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
            // A proxy closes its connection after a request that releases its leases.
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

    /// Returns whether a lease or token request is pending.
    pub fn has_lease_requests(&self) -> bool {
        !self.leasing.requests.is_empty()
    }

    /// Responds to the first request in the queue of token requests or, if that is empty, in the
    /// queue of lease requests. Returns whether there was a request.
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
            HolderState::BeingRecorded => proxy.awaiting_disk = Some(request),
            HolderState::LimitReached => {}
            HolderState::New => {
                proxy.awaiting_disk = Some(request);
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

    /// Handles the notification that a proxy's name is persisted, and queues the request that
    /// waited for it.
    pub(super) fn lease_holder_persisted(&mut self, node: &str, out: &mut Vec<Output>) {
        self.leasing.holders.recorded(node);
        let Some(connection) = self.latest_connection(node) else {
            return;
        };
        let request = self
            .proxies
            .get_mut(&connection)
            .and_then(|proxy| proxy.awaiting_disk.take());
        if let Some(request) = request {
            self.queue_lease_request(connection, request, out);
        }
    }
}
