//! Read-only methods of a node, which return its leader, members, term, indexes and log.

use super::{Configuration, Entry, Member, PersistentState, Raft};
use std::collections::BTreeSet;

impl Raft {
    /// Returns the name of the leader, if this node knows one.
    pub fn leader(&self) -> Option<&str> {
        self.leader_id.as_deref()
    }

    /// Returns whether this node is an established leader: elected, and with an entry of its own
    /// term committed (paper, section 8). A leader without recent quorum contact steps down at its
    /// next input, before it processes that input.
    pub fn is_leader(&self) -> bool {
        self.has_leader_role()
            && self.persistent.term_at(self.commit_index) == Some(self.persistent.term)
    }

    /// Returns whether this node is a voter, according to the last membership entry in its log.
    pub fn is_voter(&self) -> bool {
        self.configuration.current.contains(&self.local_member)
    }

    /// Returns the names of the members, according to the last membership entry in the log.
    pub fn voters(&self) -> &BTreeSet<String> {
        &self.voter_names
    }

    /// Returns the members, according to the last membership entry in the log.
    pub fn members(&self) -> &[Member] {
        &self.configuration.current
    }

    /// Returns whether the last membership change is not known to be committed, so that a quorum
    /// also needs a majority of the members before it.
    pub fn in_joint_configuration(&self) -> bool {
        let Configuration { index, .. } = self.configuration;
        let committed = self.commit_index.max(self.persistent.members_committed);
        index > committed && !self.skip_joint_quorum
    }

    /// Returns the [`Member::identity`] of this node's disk.
    pub fn identity(&self) -> u64 {
        self.local_member.identity
    }

    /// Returns the state that a restart would read once all updates so far are persisted.
    pub fn persistent_state(&self) -> &PersistentState {
        &self.persistent
    }

    /// Returns the current term.
    pub fn term(&self) -> u64 {
        self.persistent.term
    }

    /// Returns the index of the last entry that is known to be committed.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Returns the entries that are not known to be committed.
    pub fn uncommitted(&self) -> impl Iterator<Item = &Entry> {
        let snapshot_index = self.persistent.snapshot.index;
        let first = self.commit_index.saturating_sub(snapshot_index) as usize;
        self.persistent.log.get(first..).unwrap_or_default().iter()
    }

    /// Returns the number of entries after the snapshot.
    pub fn log_len(&self) -> usize {
        self.persistent.log.len()
    }
}
