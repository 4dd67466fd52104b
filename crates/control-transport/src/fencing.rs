//! Fencing of stale connections: of several connections by one peer only the latest is used, whatever arrives late on older ones.
//!
//! Each connection gets a fencing token when its hello is read, and tokens rise. [`crate::liveness`] proves that a connection with a higher
//! token that has been verified is the later one. Invariant: once a connection is admitted, nothing of one with a lower token is.

use std::collections::BTreeMap;

/// Number of peers beyond which disconnected ones are forgotten. An older connection is verified within
/// [`crate::liveness::PONG_TIMEOUT`] or never, so a disconnected peer need not be remembered for long.
const MAX_DISCONNECTED_PEERS: usize = 16_384;

/// The latest admitted connection of a peer.
#[derive(Clone, Copy, Debug)]
struct LatestConnection {
    token: u64,
    connected: bool,
}

/// Whether a verified connection is to be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Yes, and the peer has no other connection.
    New,
    /// Yes, in place of the connection with this token, which is to be closed.
    Replaces(u64),
    /// No: a later one has been admitted.
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
    /// The token of a connection whose hello has just been read.
    pub fn next_token(&mut self) -> u64 {
        self.last_token += 1;
        self.last_token
    }

    /// Decides whether a connection that has just been verified is to be used.
    pub fn admit(&mut self, peer: &K, token: u64) -> Admission {
        if self.latest.len() >= MAX_DISCONNECTED_PEERS {
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

    /// Whether the connection with this token is the one in use, so that what arrives on it may be applied.
    pub fn is_current(&self, peer: &K, token: u64) -> bool {
        self.latest
            .get(peer)
            .is_some_and(|latest| latest.token == token)
    }

    /// A connection has ended.
    pub fn disconnected(&mut self, peer: &K, token: u64) {
        if let Some(latest) = self.latest.get_mut(peer) {
            latest.connected &= latest.token != token;
        }
    }
}
