//! The phase of a client's connection, its time limit in that phase, and which connection is closed
//! first when the connection limit is reached. Times are in milliseconds of the process's clock.

use maplefall_downstream::{HasTransfer, Transfer};
use maplefall_memory_account::{charge, Direction, PoolId};
use maplefall_policy::Millis;
use std::cell::Cell;
use std::net::IpAddr;
use tokio::sync::Notify;

/// Time limit for a complete request, from its first byte; for the first request on a connection
/// from the connect.
pub(super) const REQUEST_READ_TIMEOUT: Millis = 2000.0;
/// Added to the time limit before a connection is closed without a response, so that an error
/// response can be sent first.
const ERROR_RESPONSE_TIME: Millis = 200.0;
/// How long a connection without a request is kept; typical clients send the next request sooner.
const IDLE_TIMEOUT: Millis = 6000.0;
/// Minimum age of an incomplete request that may be dropped when the connection limit is reached.
const MIN_SLOW_REQUEST_AGE: Millis = 250.0;

/// How to close a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseMode {
    /// The connection is closed after the pending response, or at once if there is none.
    Graceful,
    /// The connection is closed at once.
    Immediate,
}

/// Kinds of connections that may be closed to free capacity, in ascending priority for closing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ClosePriority {
    /// A response is being read slowly.
    SlowResponse,
    /// A request is being received slowly.
    SlowRequest,
    /// The connection is between two requests.
    Idle,
    /// The connection has not received any request.
    Unused,
}

/// The state of a client's connection, shared by its task, its socket and the accept loop.
#[derive(Debug)]
pub(super) struct ClientConnection {
    opened_at: Millis,
    pub address: IpAddr,
    /// What moves through the connection.
    pub transfer: Transfer,
    /// Arrival of the first byte of the request that is being read.
    first_byte_at: Cell<Option<Millis>>,
    /// Arrival of the last byte received so far.
    last_byte_at: Cell<Millis>,
    /// Whether a complete request has arrived whose response is not ready yet.
    response_pending: Cell<bool>,
    /// When the last response was ready; `None` before the first.
    idle_since: Cell<Option<Millis>>,
    close_mode: Cell<Option<CloseMode>>,
    close_requested: Notify,
}

impl ClientConnection {
    pub fn new(now: Millis, address: IpAddr) -> ClientConnection {
        ClientConnection {
            opened_at: now,
            address,
            transfer: Transfer::new(now),
            first_byte_at: Cell::default(),
            last_byte_at: Cell::new(now),
            response_pending: Cell::default(),
            idle_since: Cell::default(),
            close_mode: Cell::default(),
            close_requested: Notify::new(),
        }
    }

    pub fn bytes_received(&self, count: usize, now: Millis) {
        self.transfer.bytes_received(count);
        self.last_byte_at.set(now);
        self.first_byte_at
            .set(self.first_byte_at.get().or(Some(now)));
    }

    /// When the first byte of the request that is being read arrived. For a request that arrived in
    /// one read with the previous one, this is the time of that read.
    pub fn first_byte_at(&self) -> Millis {
        self.first_byte_at.get().unwrap_or(self.last_byte_at.get())
    }

    /// When the last byte received so far arrived.
    pub fn last_byte_at(&self) -> Millis {
        self.last_byte_at.get()
    }

    /// Records that a complete request has arrived: bytes read from now on belong to the next one.
    pub fn request_complete(&self) {
        self.response_pending.set(true);
        self.first_byte_at.set(None);
    }

    /// Records that a response is written from now on, with a body of this length.
    pub fn response_ready(&self, body_bytes: usize, now: Millis) {
        let pool = PoolId::for_charge(Direction::Response, charge(body_bytes));
        self.transfer
            .begin_sending((body_bytes > 0).then_some(pool), now);
        self.response_pending.set(false);
        self.idle_since.set(Some(now));
    }

    /// When the time limit of the present request began. The first request is timed from the
    /// connect, so that a client cannot first wait and then send slowly.
    pub fn read_started_at(&self) -> Millis {
        match (self.idle_since.get(), self.first_byte_at.get()) {
            (None, _) => self.opened_at,
            (Some(idle_since), Some(first_byte_at)) => first_byte_at.max(idle_since),
            (Some(idle_since), None) => idle_since,
        }
    }

    /// How the connection must be closed because its time limit is over; `None` before.
    pub fn overdue_close(&self, now: Millis) -> Option<CloseMode> {
        if self.transfer.is_send_blocked() {
            let is_stalled = self.transfer.is_stalled(now);
            return is_stalled.then_some(CloseMode::Immediate);
        }
        let is_reading = self.idle_since.get().is_none() || self.first_byte_at.get().is_some();
        let (timeout, mode) = if is_reading {
            (
                REQUEST_READ_TIMEOUT + ERROR_RESPONSE_TIME,
                CloseMode::Immediate,
            )
        } else {
            (IDLE_TIMEOUT, CloseMode::Graceful)
        };
        let is_overdue = now - self.read_started_at() > timeout;
        (!self.response_pending.get() && is_overdue).then_some(mode)
    }

    /// Priority for closing the connection: by kind, then by time in that state. `None` while a
    /// response is pending, or once a close has been requested.
    pub fn close_priority(&self, now: Millis) -> Option<(ClosePriority, Millis)> {
        if self.response_pending.get() || self.close_mode.get().is_some() {
            return None;
        }
        let age = now - self.read_started_at();
        if self.transfer.is_send_blocked() {
            let is_slow = self.transfer.is_slow(now);
            return is_slow.then_some((ClosePriority::SlowResponse, age));
        }
        match (self.idle_since.get(), self.first_byte_at.get()) {
            (None, None) => Some((ClosePriority::Unused, age)),
            (Some(_), None) => Some((ClosePriority::Idle, age)),
            (_, Some(_)) => {
                (age > MIN_SLOW_REQUEST_AGE).then_some((ClosePriority::SlowRequest, age))
            }
        }
    }

    /// Requests the close of the connection.
    pub fn close(&self, mode: CloseMode) {
        self.close_mode.set(Some(mode));
        self.close_requested.notify_one();
    }

    /// Completes once a close has been requested.
    pub async fn close_requested(&self) -> Option<CloseMode> {
        self.close_requested.notified().await;
        self.close_mode.get()
    }
}

impl HasTransfer for ClientConnection {
    fn transfer(&self) -> &Transfer {
        &self.transfer
    }
}
