//! The roles of a node (paper, 5.1; pre-candidates are from the thesis, 9.6).

use super::constants::Millis;
use super::progress::Progress;
use super::send_times::SendTimes;
use super::Raft;
use crate::message::Member;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What a node is at present.
#[derive(Debug)]
pub(super) enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether it would be elected, in a term that it has not entered.
    PreCandidate { votes: BTreeSet<Member> },
    /// Asks for votes in its term, since `requested_at`.
    Candidate {
        votes: BTreeSet<Member>,
        requested_at: Millis,
    },
    /// Leads its term.
    Leader(Box<LeaderState>),
}

/// What only a leader keeps.
#[derive(Debug)]
pub(super) struct LeaderState {
    /// Voters and learners by name, without the leader itself.
    pub progress: BTreeMap<String, Progress>,
    /// Sequence numbers of heartbeats and of batches of reads.
    pub send_times: SendTimes,
    /// Reads that wait for confirmation, oldest first.
    pub pending_reads: VecDeque<PendingRead>,
}

/// A read that waits until a quorum has answered a message of at least this sequence number.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingRead {
    pub id: u64,
    pub sequence: u64,
}

impl LeaderState {
    /// The progress of a member, if it is known for that member's own disk.
    pub fn progress_of(&self, member: &Member) -> Option<&Progress> {
        self.progress
            .get(&member.name)
            .filter(|progress| progress.is_for(member))
    }

    /// How long the member's address has been silent. An address that returned with another disk is not silent.
    pub fn time_since_heard(&self, member: &Member, now: Millis) -> Millis {
        self.progress
            .get(&member.name)
            .map_or(0.0, |progress| now - progress.last_heard)
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

    /// Whether this node's role is leader, established or not: see [`Raft::is_leader`].
    pub(super) fn has_leader_role(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }
}
