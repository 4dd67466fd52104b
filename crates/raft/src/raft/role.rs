//! The roles of a node (paper, 5.1; pre-candidates are from the dissertation, 9.6).

use super::constants::Millis;
use super::progress::Progress;
use super::send_times::SendTimes;
use super::Raft;
use crate::message::Member;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The current role of a node.
#[derive(Debug)]
pub(super) enum Role {
    /// The node follows a leader, or waits for one.
    Follower,
    /// The node requests pre-votes for a term that it has not entered.
    PreCandidate { votes: BTreeSet<Member> },
    /// The node requests votes in its term; the requests date from `requested_at`.
    Candidate {
        votes: BTreeSet<Member>,
        requested_at: Millis,
    },
    /// The node leads the current term.
    Leader(Box<LeaderState>),
}

/// State that only a leader keeps.
#[derive(Debug)]
pub(super) struct LeaderState {
    /// Progress of voters and learners by name, without the leader itself.
    pub progress: BTreeMap<String, Progress>,
    /// Sequence numbers of heartbeats and of batches of reads.
    pub send_times: SendTimes,
    /// Reads that wait for confirmation, oldest first.
    pub pending_reads: VecDeque<PendingRead>,
}

/// A read that waits until a quorum has responded to a message of at least this sequence number.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingRead {
    pub id: u64,
    pub sequence: u64,
}

impl LeaderState {
    /// Returns the progress of a member, if it belongs to that member's own disk.
    pub fn progress_of(&self, member: &Member) -> Option<&Progress> {
        self.progress
            .get(&member.name)
            .filter(|progress| progress.is_for(member))
    }

    /// Returns the time since the last message from the member's address, 0 if the address is
    /// unknown. Messages from another disk at that address count too.
    pub fn time_since_last_message(&self, member: &Member, now: Millis) -> Millis {
        self.progress
            .get(&member.name)
            .map_or(0.0, |progress| now - progress.last_message_at)
    }
}

impl Raft {
    pub(super) fn leader_state(&self) -> Option<&LeaderState> {
        match &self.role {
            Role::Leader(leader) => Some(leader),
            _ => None,
        }
    }

    pub(super) fn leader_state_mut(&mut self) -> Option<&mut LeaderState> {
        match &mut self.role {
            Role::Leader(leader) => Some(leader),
            _ => None,
        }
    }

    /// Returns whether this node's role is leader, established or not: see [`Raft::is_leader`].
    pub(super) fn has_leader_role(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }
}
