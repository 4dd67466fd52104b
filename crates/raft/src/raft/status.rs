//! What a caller can ask of a node without changing it.

use super::{Configuration, Entry, Member, PersistentState, Raft};
use std::collections::BTreeSet;

impl Raft {
    /// The leader, as far as this node knows.
    pub fn leader(&self) -> Option<&str> {
        self.leader_id.as_deref()
    }

    /// Whether this node is an established leader: elected, and with an entry of its own term committed (paper, section
    /// 8). A leader without recent quorum contact steps down at its next input, before it acts on it.
    pub fn is_leader(&self) -> bool {
        self.has_leader_role()
            && self.persistent.term_at(self.commit_index) == Some(self.persistent.term)
    }

    /// Whether this node is a member, by the last membership entry in its log.
    pub fn is_voter(&self) -> bool {
        self.configuration.current.contains(&self.local_member)
    }

    /// Names of the members, by the last membership entry in its log.
    pub fn voters(&self) -> &BTreeSet<String> {
        &self.voter_names
    }

    /// The members, by the last membership entry in its log.
    pub fn members(&self) -> &[Member] {
        &self.configuration.current
    }

    /// Whether the last change of members is not known to be committed, so that a quorum needs the members before it
    /// too.
    pub fn in_joint_configuration(&self) -> bool {
        let Configuration { index, .. } = self.configuration;
        let committed = self.commit_index.max(self.persistent.members_committed);
        index > committed && !self.skip_joint_quorum
    }

    /// [`Member::identity`] of this node's disk.
    pub fn identity(&self) -> u64 {
        self.local_member.identity
    }

    /// What a restart would read once all updates that were handed out so far are on disk.
    pub fn persistent_state(&self) -> &PersistentState {
        &self.persistent
    }

    /// The current term.
    pub fn term(&self) -> u64 {
        self.persistent.term
    }

    /// Index of the last entry that is known to be committed.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Entries that are not known to be committed.
    pub fn uncommitted(&self) -> impl Iterator<Item = &Entry> {
        let snapshot_index = self.persistent.snapshot.index;
        let first = self.commit_index.saturating_sub(snapshot_index) as usize;
        self.persistent.log.get(first..).unwrap_or_default().iter()
    }

    /// Number of entries after the snapshot.
    pub fn log_len(&self) -> usize {
        self.persistent.log.len()
    }
}
