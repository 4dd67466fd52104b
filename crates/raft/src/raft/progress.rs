//! What a leader knows of one peer (`nextIndex` and `matchIndex` of the paper, figure 2, and more).
//!
//! Invariant: `match_index` is at most what the disk with this `identity` has of the leader's log. A peer that returns
//! with another disk gets a fresh `Progress`, so nothing that the lost disk acknowledged counts for the new one.

use super::constants::{Millis, QUORUM_CONTACT_TIMEOUT};
use super::snapshot_transfer::OutgoingSnapshot;
use crate::message::{AppendEntriesResponse, Member, MembershipRequest};

/// Replication progress of one peer.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    /// [`Member::identity`] of the disk that this is about.
    pub identity: u64,
    /// The entry to send next.
    pub next_index: u64,
    /// The peer's disk has the leader's log up to here.
    pub match_index: u64,
    /// When a message from the peer was last read.
    pub last_heard: Millis,
    /// When the latest message was sent that the peer has answered: proof that it followed this leader then.
    pub last_contact: Millis,
    /// When a message was last sent to it.
    pub last_sent: Millis,
    /// The highest sequence number that it has answered.
    pub answered_sequence: u64,
    /// Number of its last response, which the leader echoes.
    pub last_response: u64,
    /// The role that it asks for.
    pub membership_request: MembershipRequest,
    /// Since when it has had all committed entries, without being silent in between.
    pub caught_up_since: Option<Millis>,
    /// Set once a peer that shuts down was released: entries above this index do not count on its disk.
    pub released_at: Option<u64>,
    /// The snapshot that it is being sent.
    pub outgoing_snapshot: Option<OutgoingSnapshot>,
}

impl Progress {
    /// A peer of which nothing is known.
    pub fn new(identity: u64, next_index: u64, now: Millis) -> Progress {
        Progress {
            identity,
            next_index,
            match_index: 0,
            last_heard: now,
            last_contact: f64::NEG_INFINITY,
            last_sent: f64::NEG_INFINITY,
            answered_sequence: 0,
            last_response: 0,
            membership_request: MembershipRequest::default(),
            caught_up_since: None,
            released_at: None,
            outgoing_snapshot: None,
        }
    }

    /// Whether this is about the disk of that member.
    pub fn is_for(&self, member: &Member) -> bool {
        self.identity == member.identity
    }

    /// Up to where the peer's disk counts for commitment.
    pub fn committable_index(&self) -> u64 {
        self.released_at.map_or(self.match_index, |released_at| {
            released_at.min(self.match_index)
        })
    }

    /// Whether the peer was heard from within [`QUORUM_CONTACT_TIMEOUT`].
    pub fn is_reachable(&self, now: Millis) -> bool {
        now - self.last_heard < QUORUM_CONTACT_TIMEOUT
    }

    /// Takes in what every response says. `sent_at` is when the answered message was sent, if that is remembered.
    pub fn record_response(
        &mut self,
        now: Millis,
        response: &AppendEntriesResponse,
        sent_at: Option<Millis>,
    ) {
        if now - self.last_heard > QUORUM_CONTACT_TIMEOUT {
            self.caught_up_since = None;
        }
        self.last_heard = now;
        if let Some(sent_at) = sent_at {
            self.last_contact = self.last_contact.max(sent_at);
            self.answered_sequence = self.answered_sequence.max(response.sequence);
        }
        self.last_response = response.number;
        self.membership_request = response.membership.unwrap_or_default();
        if !self.membership_request.stopping {
            self.released_at = None;
        }
    }

    /// The peer's log matches the leader's up to `response.match_index` on disk and `response.received_index` in
    /// memory.
    pub fn record_match(&mut self, response: &AppendEntriesResponse, last_index: u64) {
        self.match_index = self.match_index.max(response.match_index.min(last_index));
        self.next_index = self
            .next_index
            .max(response.received_index.min(last_index) + 1);
    }

    /// The peer lacks the entry before those that were sent; whether that calls for sending from an earlier one. A
    /// rejection that was overtaken by a later response does not.
    pub fn record_rejection(&mut self, response: &AppendEntriesResponse, last_index: u64) -> bool {
        let is_current = response.sequence >= self.answered_sequence
            || response.match_index.saturating_add(1) < self.next_index;
        if is_current {
            self.next_index = response.match_index.min(last_index) + 1;
        }
        is_current
    }
}
