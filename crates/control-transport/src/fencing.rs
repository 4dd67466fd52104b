//! Fencing of stale connections: of several connections from one peer only the latest is used, even
//! if data arrives late on older ones.
//!
//! Each connection is assigned a fencing token when its hello is read, and tokens increase.
//! [`crate::liveness`] proves that a verified connection is later than those with lower tokens.
//! Invariant: once a connection is admitted, no data from a connection with a lower token is
//! accepted.

use std::collections::BTreeMap;

/// Number of peers at which disconnected ones are evicted. An older connection is verified within
/// [`crate::liveness::PONG_TIMEOUT`] or never, so a disconnected peer need not be kept for long.
const PEER_EVICTION_THRESHOLD: usize = 16_384;

/// The latest admitted connection of a peer.
#[derive(Clone, Copy, Debug)]
struct LatestConnection {
    token: u64,
    connected: bool,
}

/// The decision on a verified connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The connection is used, and the peer has no other connection.
    New,
    /// The connection is used in place of the one with this token, which must be closed.
    Replaces(u64),
    /// The connection is not used, since a later one has been admitted.
    Stale,
}

/// The latest connection of each peer; `K` identifies a peer.
#[derive(Clone, Debug)]
pub struct ConnectionFence<K> {
    latest: BTreeMap<K, LatestConnection>,
    last_token: u64,
}

impl<K> Default for ConnectionFence<K> {
    fn default() -> Self {
        ConnectionFence {
            latest: BTreeMap::new(),
            last_token: 0,
        }
    }
}

impl<K: Ord + Clone> ConnectionFence<K> {
    /// Returns the token of a connection whose hello has just been read.
    pub fn next_token(&mut self) -> u64 {
        self.last_token += 1;
        self.last_token
    }

    /// Decides whether a connection that has just been verified is used.
    pub fn admit(&mut self, peer: &K, token: u64) -> Admission {
        if self.latest.len() >= PEER_EVICTION_THRESHOLD {
            self.latest.retain(|_, latest| latest.connected);
        }
        let admitted = LatestConnection {
            token,
            connected: true,
        };
        let Some(latest) = self.latest.get_mut(peer) else {
            self.latest.insert(peer.clone(), admitted);
            return Admission::New;
        };
        if latest.token > token {
            return Admission::Stale;
        }
        let previous = std::mem::replace(latest, admitted);
        if previous.connected {
            Admission::Replaces(previous.token)
        } else {
            Admission::New
        }
    }

    /// Returns whether the connection with this token is the one in use, so that messages received
    /// on it may be applied.
    pub fn is_current(&self, peer: &K, token: u64) -> bool {
        self.latest
            .get(peer)
            .is_some_and(|latest| latest.token == token)
    }

    /// Records that a connection has ended.
    pub fn disconnected(&mut self, peer: &K, token: u64) {
        if let Some(latest) = self.latest.get_mut(peer) {
            latest.connected &= latest.token != token;
        }
    }
}
