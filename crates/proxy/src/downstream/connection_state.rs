//! The phase of a client's connection and its close deadline. No I/O; times are in milliseconds of
//! the proxy's clock.

use maplefall_gateway_config::Limits;
use maplefall_policy::Millis;

/// How a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseMode {
    /// The connection is closed after the pending response, or immediately if there is none.
    Graceful,
    /// The connection is closed immediately.
    Immediate,
}

/// When a connection is closed if nothing happens on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CloseDeadline {
    /// The time at which the connection is closed.
    pub at: Millis,
    /// How the connection is closed.
    pub mode: CloseMode,
}

/// The phase of a connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionState {
    /// When the connection was accepted, or when its last response was ready.
    idle_since: Millis,
    /// When the first byte of a request head arrived that is not complete yet.
    head_started_at: Option<Millis>,
    /// Whether a request's head has arrived and its response is not ready.
    response_pending: bool,
    /// Whether a complete head has ever arrived.
    has_requested: bool,
    closing: bool,
}

impl ConnectionState {
    /// Creates the state of a newly accepted connection.
    pub fn new(now: Millis) -> ConnectionState {
        ConnectionState {
            idle_since: now,
            head_started_at: None,
            response_pending: false,
            has_requested: false,
            closing: false,
        }
    }

    /// Records that bytes have arrived; returns whether they begin a head.
    pub fn bytes_received(&mut self, now: Millis) -> bool {
        let begins_head = !self.response_pending && self.head_started_at.is_none();
        if begins_head {
            self.head_started_at = Some(now);
        }
        begins_head
    }

    /// Records that a head is complete.
    pub fn head_received(&mut self) {
        self.response_pending = true;
        self.has_requested = true;
        self.head_started_at = None;
    }

    /// Records that the response is ready to be written.
    pub fn response_ready(&mut self, now: Millis) {
        self.response_pending = false;
        self.idle_since = now;
    }

    /// Returns when the connection is closed; `None` while a response is pending or once the
    /// connection is closing. Computed from the current limits on each call, since they may change
    /// while a connection is idle.
    pub fn close_deadline(&self, limits: &Limits) -> Option<CloseDeadline> {
        if self.response_pending || self.closing {
            return None;
        }
        if let Some(head_started_at) = self.head_started_at {
            return Some(CloseDeadline {
                at: head_started_at + limits.header_timeout,
                mode: CloseMode::Immediate,
            });
        }
        Some(CloseDeadline {
            at: self.idle_since + limits.idle_timeout,
            // A connection that never had a request has no response to wait for, so it is closed
            // immediately.
            mode: if self.has_requested {
                CloseMode::Graceful
            } else {
                CloseMode::Immediate
            },
        })
    }

    /// Returns since when the connection has been idle: no response is pending, no head has begun,
    /// and it is not closing. `None` if it is not idle.
    pub fn idle_since(&self) -> Option<Millis> {
        let is_idle = !self.response_pending && !self.closing && self.head_started_at.is_none();
        is_idle.then_some(self.idle_since)
    }

    /// Returns whether a request's head has arrived and its response is not ready.
    pub fn is_response_pending(&self) -> bool {
        self.response_pending
    }

    /// Returns whether nothing has been received on the connection.
    pub fn is_unused(&self) -> bool {
        !self.has_requested && self.head_started_at.is_none()
    }

    /// Records that closing the connection was requested.
    pub fn closing(&mut self) {
        self.closing = true;
    }
}
