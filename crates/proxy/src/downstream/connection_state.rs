//! What phase a client's connection is in, and until when it may stay there. No I/O; times are in milliseconds of the proxy's
//! clock.

use maplefall_gateway_config::Limits;
use maplefall_policy::Millis;

/// How a connection is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseMode {
    /// After the pending response, or at once if there is none.
    Graceful,
    /// At once.
    Immediate,
}

/// When a connection is closed if nothing happens on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CloseDeadline {
    /// When.
    pub at: Millis,
    /// How.
    pub mode: CloseMode,
}

/// The phase of a connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionState {
    /// When it was accepted, or when its last response was ready.
    idle_since: Millis,
    /// When the first byte arrived of a head that is not complete yet.
    head_started_at: Option<Millis>,
    /// Whether a request's head has arrived and its response is not ready.
    response_pending: bool,
    /// Whether a complete head has ever arrived.
    has_requested: bool,
    closing: bool,
}

impl ConnectionState {
    /// A connection that was just accepted.
    pub fn new(now: Millis) -> ConnectionState {
        ConnectionState {
            idle_since: now,
            head_started_at: None,
            response_pending: false,
            has_requested: false,
            closing: false,
        }
    }

    /// Bytes have arrived; returns whether they begin a head.
    pub fn bytes_received(&mut self, now: Millis) -> bool {
        let begins_head = !self.response_pending && self.head_started_at.is_none();
        if begins_head {
            self.head_started_at = Some(now);
        }
        begins_head
    }

    /// A head is complete.
    pub fn head_received(&mut self) {
        self.response_pending = true;
        self.has_requested = true;
        self.head_started_at = None;
    }

    /// The response is ready to be written.
    pub fn response_ready(&mut self, now: Millis) {
        self.response_pending = false;
        self.idle_since = now;
    }

    /// When the connection is closed; `None` while a response is pending or once it is closing. It is computed from the present
    /// limits on each call, as they may change while a connection is idle.
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
            // On a connection without any request there is nothing to shut down gracefully.
            mode: if self.has_requested {
                CloseMode::Graceful
            } else {
                CloseMode::Immediate
            },
        })
    }

    /// Since when it has been idle, if it is: no response is pending, no head has begun, and it is not closing.
    pub fn idle_since(&self) -> Option<Millis> {
        let is_idle = !self.response_pending && !self.closing && self.head_started_at.is_none();
        is_idle.then_some(self.idle_since)
    }

    /// Whether nothing has been received on it.
    pub fn is_unused(&self) -> bool {
        !self.has_requested && self.head_started_at.is_none()
    }

    /// It was asked to close.
    pub fn closing(&mut self) {
        self.closing = true;
    }
}
