//! What a client's connection is at, and until when it may be.

use maplefall_gateway_config::Limits;
use maplefall_policy::Millis;

/// How a connection is to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseMode {
    /// With what it is owed, and at once if that is nothing.
    Graceful,
    /// At once.
    Immediate,
}

/// What a connection is at. Times are in milliseconds of the door's clock.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionState {
    /// Since when nothing is owed on it.
    since: Millis,
    /// When the first byte of a head came that is not whole yet.
    first: Option<Millis>,
    /// Whether a head has come whole and has no answer yet.
    owed: bool,
    /// Whether a head has ever come whole.
    asked: bool,
    left: bool,
}

impl ConnectionState {
    /// A connection that has just been made.
    pub fn new(now: Millis) -> ConnectionState {
        ConnectionState {
            since: now,
            first: None,
            owed: false,
            asked: false,
            left: false,
        }
    }

    /// Bytes have come; tells whether they begin a head.
    pub fn heard(&mut self, now: Millis) -> bool {
        let begins = !self.owed && self.first.is_none();
        if begins {
            self.first = Some(now);
        }
        begins
    }

    /// A head has come whole.
    pub fn asked(&mut self) {
        (self.owed, self.asked, self.first) = (true, true, None);
    }

    /// Its answer is ready.
    pub fn answered(&mut self, now: Millis) {
        (self.owed, self.since) = (false, now);
    }

    /// When it has had its time, and how it is to end then. It is told anew whenever it is asked: limits change while
    /// connections rest, and clients go by the newest.
    pub fn due(&self, limits: &Limits) -> Option<(Millis, CloseMode)> {
        match self.first {
            _ if self.owed || self.left => None,
            Some(first) => Some((first + limits.header_timeout, CloseMode::Immediate)),
            // One that has never asked anything has nothing to end with.
            None if !self.asked => Some((self.since + limits.idle_timeout, CloseMode::Immediate)),
            None => Some((self.since + limits.idle_timeout, CloseMode::Graceful)),
        }
    }

    /// Since when it has rested, if it does: nothing is owed on it, and nothing has begun to come.
    pub fn resting(&self) -> Option<Millis> {
        (!self.owed && !self.left && self.first.is_none()).then_some(self.since)
    }

    /// It has been asked to leave.
    pub fn leaves(&mut self) {
        self.left = true;
    }
}
