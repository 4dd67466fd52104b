//! A leader's view of one peer: `nextIndex` and `matchIndex` (paper, figure 2), and more.
//!
//! Invariant: the disk with this `identity` has the leader's log at least up to `match_index`. A
//! peer that returns with another disk gets a new `Progress`, so acknowledgements of the lost disk
//! do not count for the new one.

use super::constants::{Millis, QUORUM_CONTACT_TIMEOUT};
use super::snapshot_transfer::OutgoingSnapshot;
use crate::message::{AppendEntriesResponse, Member, MembershipRequest};

/// Replication progress of one peer.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    /// [`Member::identity`] of the peer's disk.
    pub identity: u64,
    /// Index of the next entry to send.
    pub next_index: u64,
    /// The peer has persisted the leader's log up to this index.
    pub match_index: u64,
    /// When a message from the peer was last read.
    pub last_message_at: Millis,
    /// Send time of the latest message that the peer has responded to: proof that the peer followed
    /// this leader then.
    pub last_contact: Millis,
    /// When a message was last sent to the peer.
    pub last_sent: Millis,
    /// The highest sequence number that the peer has responded to.
    pub acknowledged_sequence: u64,
    /// Number of the peer's last response, which the leader echoes.
    pub last_response: u64,
    /// The role that the peer requests.
    pub membership_request: MembershipRequest,
    /// When the peer last caught up with all committed entries; reset when the peer responds after
    /// a gap of more than [`QUORUM_CONTACT_TIMEOUT`].
    pub caught_up_since: Option<Millis>,
    /// Commit index at which the peer, which is shutting down, was released: it does not count
    /// towards the commitment of later entries.
    pub released_at: Option<u64>,
    /// The snapshot that is being sent to the peer.
    pub outgoing_snapshot: Option<OutgoingSnapshot>,
}

impl Progress {
    /// Creates the progress of a peer whose log is unknown.
    pub fn new(identity: u64, next_index: u64, now: Millis) -> Progress {
        Progress {
            identity,
            next_index,
            match_index: 0,
            last_message_at: now,
            last_contact: f64::NEG_INFINITY,
            last_sent: f64::NEG_INFINITY,
            acknowledged_sequence: 0,
            last_response: 0,
            membership_request: MembershipRequest::default(),
            caught_up_since: None,
            released_at: None,
            outgoing_snapshot: None,
        }
    }

    /// Returns whether the progress is that of the member's disk.
    pub fn is_for(&self, member: &Member) -> bool {
        self.identity == member.identity
    }

    /// Returns the index up to which the peer counts towards commitment.
    pub fn committable_index(&self) -> u64 {
        self.released_at.map_or(self.match_index, |released_at| {
            released_at.min(self.match_index)
        })
    }

    /// Returns whether a message from the peer was read within [`QUORUM_CONTACT_TIMEOUT`].
    pub fn is_reachable(&self, now: Millis) -> bool {
        now - self.last_message_at < QUORUM_CONTACT_TIMEOUT
    }

    /// Records the fields that every response has. `sent_at` is the send time of the message that
    /// the peer responds to, if it is still known.
    pub fn record_response(
        &mut self,
        now: Millis,
        response: &AppendEntriesResponse,
        sent_at: Option<Millis>,
    ) {
        if now - self.last_message_at > QUORUM_CONTACT_TIMEOUT {
            self.caught_up_since = None;
        }
        self.last_message_at = now;
        if let Some(sent_at) = sent_at {
            self.last_contact = self.last_contact.max(sent_at);
            self.acknowledged_sequence = self.acknowledged_sequence.max(response.sequence);
        }
        self.last_response = response.number;
        self.membership_request = response.membership.unwrap_or_default();
        if !self.membership_request.stopping {
            self.released_at = None;
        }
    }

    /// Records that the peer's log matches the leader's up to `response.match_index` on disk and
    /// `response.received_index` in memory.
    pub fn record_match(&mut self, response: &AppendEntriesResponse, last_index: u64) {
        self.match_index = self.match_index.max(response.match_index.min(last_index));
        self.next_index = self
            .next_index
            .max(response.received_index.min(last_index) + 1);
    }

    /// Records that the peer lacks the entry before those that were sent. Returns whether earlier
    /// entries have to be sent; false for a rejection that was overtaken by a later response.
    pub fn record_rejection(&mut self, response: &AppendEntriesResponse, last_index: u64) -> bool {
        let is_current = response.sequence >= self.acknowledged_sequence
            || response.match_index.saturating_add(1) < self.next_index;
        if is_current {
            self.next_index = response.match_index.min(last_index) + 1;
        }
        is_current
    }
}
