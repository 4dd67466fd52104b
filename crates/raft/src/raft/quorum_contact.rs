//! The time of a node's last proven contact with a quorum.
//!
//! Invariant: the reported time is never later than the true one. A leader takes the time at which
//! it *sent* the messages that a quorum has responded to; a follower takes the time at which it
//! *sent* the response that the leader echoes, less the age of the leader's own proof
//! (`docs/design/control-connections.md`).

use super::constants::{Millis, QUORUM_CONTACT_TIMEOUT};
use super::event::Event;
use super::{Raft, Ready};

impl Raft {
    /// Returns the latest time, on this node's clock, at which a quorum is proven to have followed
    /// a leader that counted this node as a voter. This node has committed all entries that were
    /// committed by then. Negative infinity before the first contact. Unlike the field
    /// `quorum_contact`, it leaves out contact as a non-voter.
    pub fn last_quorum_contact(&self, now: Millis) -> Millis {
        if self.is_leader() && self.is_voter() {
            self.voter_quorum_contact.max(self.proven_contact(now))
        } else {
            self.voter_quorum_contact
        }
    }

    /// Returns whether this node, voter or not, had proven quorum contact within the last second,
    /// and so has committed all entries that were committed by then. False for a node that lags, is
    /// partitioned off, or follows a leader that is partitioned off.
    pub fn has_quorum_contact(&self, now: Millis) -> bool {
        let contact = if self.is_leader() {
            self.quorum_contact.max(self.proven_contact(now))
        } else {
            self.quorum_contact
        };
        now - contact < QUORUM_CONTACT_TIMEOUT
    }

    /// Returns the latest time at which a quorum is proven to have followed this leader.
    pub(super) fn proven_contact(&self, now: Millis) -> Millis {
        let Some(leader) = self.leader_state() else {
            return f64::NEG_INFINITY;
        };
        self.quorum_value(f64::NEG_INFINITY, |member| {
            if *member == self.local_member {
                return now;
            }
            leader
                .progress_of(member)
                .map_or(f64::NEG_INFINITY, |progress| progress.last_contact)
        })
    }

    /// Returns whether a leader has no proof that a quorum followed it within
    /// [`QUORUM_CONTACT_TIMEOUT`].
    pub(super) fn leader_has_lost_quorum(&self, now: Millis) -> bool {
        now - self.proven_contact(now) >= QUORUM_CONTACT_TIMEOUT
    }

    /// Makes a leader without quorum contact a follower without a known leader.
    pub(super) fn step_down(&mut self, now: Millis, ready: &mut Ready) {
        ready.log(&Event::LeaderSteppedDown {
            term: self.persistent.term,
            last_contact_age: now - self.proven_contact(now),
        });
        self.become_follower(now, None, ready);
    }

    /// Keeps the time of a leader's last proven contact with a quorum when the leader steps down.
    pub(super) fn retain_leader_contact(&mut self, now: Millis) {
        let proven = self.proven_contact(now);
        self.quorum_contact = self.quorum_contact.max(proven);
        self.voter_quorum_contact = self.voter_quorum_contact.max(proven);
    }

    /// Records the proof of contact in a leader's message, whose entries are in the log. The leader
    /// sent the message after it had received the echoed response, and a quorum followed the leader
    /// `quorum_age_ms` before the message. All entries committed by then must be known to be
    /// committed on this node.
    pub(super) fn record_echoed_contact(
        &mut self,
        last_response: u64,
        quorum_age_ms: u64,
        is_voter: bool,
    ) {
        let Some(sent_at) = self.response_times.sent_at(last_response) else {
            return;
        };
        let proven = sent_at - quorum_age_ms as f64;
        self.quorum_contact = self.quorum_contact.max(proven);
        if is_voter {
            self.voter_quorum_contact = self.voter_quorum_contact.max(proven);
        }
        self.is_lagging = false;
    }
}
