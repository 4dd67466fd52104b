//! Linearizable reads without a log entry (read index; dissertation, 6.4).
//!
//! Invariant: a read is confirmed only after a quorum has responded to a message that this leader
//! sent after the read was requested, so that no later leader can have committed an entry before
//! the request. The state that serves the read must reflect the commit index at the time of the
//! request; the caller has applied the entries up to it by the time of the confirmation.

use super::constants::{Millis, MAX_PENDING_READS};
use super::role::{PendingRead, Role};
use super::{Raft, Ready};

impl Raft {
    /// Requests confirmation that this node is still the leader. Returns a number that appears in
    /// [`Ready::confirmed_reads`] once a quorum has confirmed it; `None` unless this node is the
    /// leader, and beyond 1024 pending reads.
    pub fn read_index(&mut self, now: Millis, ready: &mut Ready) -> Option<u64> {
        if self.begin_input(now, ready) || !self.is_leader() {
            return None;
        }
        let Role::Leader(leader) = &mut self.role else {
            return None;
        };
        if leader.pending_reads.len() >= MAX_PENDING_READS {
            return None;
        }
        self.last_read_id += 1;
        let id = self.last_read_id;
        let sequence = leader.send_times.next(now);
        leader.pending_reads.push_back(PendingRead { id, sequence });
        self.send_to_all(now, ready);
        self.confirm_reads(ready);
        Some(id)
    }

    /// Confirms the reads whose sequence number a quorum has responded to.
    pub(super) fn confirm_reads(&mut self, ready: &mut Ready) {
        let Some(leader) = self.leader_state() else {
            return;
        };
        let confirmed = self.quorum_value(0, |member| {
            if *member == self.local_member {
                return u64::MAX;
            }
            leader
                .progress_of(member)
                .map_or(0, |progress| progress.acknowledged_sequence)
        });
        let Some(leader) = self.leader_state_mut() else {
            return;
        };
        while let Some(read) = leader.pending_reads.front().copied() {
            if read.sequence > confirmed {
                break;
            }
            ready.confirmed_reads.push(read.id);
            leader.pending_reads.pop_front();
        }
    }
}
