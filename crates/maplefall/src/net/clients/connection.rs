//! What phase a client's connection is in, until when it may stay there, and which connection is missed least where there is no
//! room. Times are in milliseconds of the process's clock.

use maplefall_policy::Millis;
use std::cell::Cell;
use std::net::IpAddr;
use tokio::sync::Notify;

/// Time for a complete request from its first byte, and for the first one on a connection from the connect.
pub(super) const REQUEST_READ_TIMEOUT: Millis = 2000.0;
/// What is added before a connection is closed without a response, so that a response can tell why.
const ERROR_RESPONSE_TIME: Millis = 200.0;
/// Time for which a connection without a request is kept: usual clients come again sooner.
const IDLE_TIMEOUT: Millis = 6000.0;
/// A request that has been coming for this long may be given up where there is no room.
const MIN_SLOW_REQUEST_AGE: Millis = 250.0;

/// How a connection is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseMode {
    /// After the pending response, or at once if there is none.
    Graceful,
    /// At once.
    Immediate,
}

/// A connection that may be closed to make room, the one most missed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ClosePriority {
    /// In the midst of a request that is slow in coming.
    SlowRequest,
    /// Between two requests.
    Idle,
    /// Nothing was ever received on it.
    Unused,
}

/// A client's connection, as shared between its task, its socket and the accept loop.
#[derive(Debug)]
pub(super) struct ClientConnection {
    opened_at: Millis,
    pub address: IpAddr,
    /// When the first and the last bytes arrived of the request that is being read.
    first_byte_at: Cell<Option<Millis>>,
    last_byte_at: Cell<Millis>,
    /// Whether a complete request has arrived whose response is not ready.
    response_pending: Cell<bool>,
    /// When its last response was ready; `None` before the first.
    idle_since: Cell<Option<Millis>>,
    close_mode: Cell<Option<CloseMode>>,
    close_requested: Notify,
}

impl ClientConnection {
    pub fn new(now: Millis, address: IpAddr) -> ClientConnection {
        ClientConnection {
            opened_at: now,
            address,
            first_byte_at: Cell::default(),
            last_byte_at: Cell::new(now),
            response_pending: Cell::default(),
            idle_since: Cell::default(),
            close_mode: Cell::default(),
            close_requested: Notify::new(),
        }
    }

    pub fn bytes_received(&self, now: Millis) {
        self.last_byte_at.set(now);
        self.first_byte_at
            .set(self.first_byte_at.get().or(Some(now)));
    }

    /// When the first byte arrived of the request that is being read. Of a request that arrived in one read with the one before it,
    /// only that read's time is known.
    pub fn first_byte_at(&self) -> Millis {
        self.first_byte_at.get().unwrap_or(self.last_byte_at.get())
    }

    /// When the last byte arrived so far.
    pub fn last_byte_at(&self) -> Millis {
        self.last_byte_at.get()
    }

    /// A complete request has arrived: what is read from now on belongs to the next one.
    pub fn request_complete(&self) {
        self.response_pending.set(true);
        self.first_byte_at.set(None);
    }

    pub fn response_ready(&self, now: Millis) {
        self.response_pending.set(false);
        self.idle_since.set(Some(now));
    }

    /// When the time began in which the present request has to arrive. A client's first is counted from the connect: it may not wait
    /// first and be slow then.
    pub fn read_started_at(&self) -> Millis {
        match (self.idle_since.get(), self.first_byte_at.get()) {
            (None, _) => self.opened_at,
            (Some(idle_since), Some(first_byte_at)) => first_byte_at.max(idle_since),
            (Some(idle_since), None) => idle_since,
        }
    }

    /// How it is to be closed because its time is over; `None` while it is not.
    pub fn overdue_close(&self, now: Millis) -> Option<CloseMode> {
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

    /// How little it would be missed: by kind, then by how long it has been so. `None` while a response is pending, or once it has
    /// been asked to close.
    pub fn close_priority(&self, now: Millis) -> Option<(ClosePriority, Millis)> {
        if self.response_pending.get() || self.close_mode.get().is_some() {
            return None;
        }
        let age = now - self.read_started_at();
        match (self.idle_since.get(), self.first_byte_at.get()) {
            (None, None) => Some((ClosePriority::Unused, age)),
            (Some(_), None) => Some((ClosePriority::Idle, age)),
            (_, Some(_)) => {
                (age > MIN_SLOW_REQUEST_AGE).then_some((ClosePriority::SlowRequest, age))
            }
        }
    }

    /// Asks it to close.
    pub fn close(&self, mode: CloseMode) {
        self.close_mode.set(Some(mode));
        self.close_requested.notify_one();
    }

    /// Completes when it has been asked to close.
    pub async fn close_requested(&self) -> Option<CloseMode> {
        self.close_requested.notified().await;
        self.close_mode.get()
    }
}
