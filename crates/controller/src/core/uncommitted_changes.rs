//! Decoded configuration changes from Raft's log that are not committed yet; calls are validated
//! against them.

use maplefall_gateway_config::{Change, PendingChanges};
use maplefall_raft::{EntryKind, Raft};
use prost::Message;

/// Uncommitted changes that this leader has proposed; each entry is decoded once per term.
#[derive(Default)]
pub(super) struct UncommittedChanges {
    term: u64,
    /// Log index after which the entries in `changes` begin; their last is at `last_index`.
    after: u64,
    last_index: u64,
    changes: PendingChanges,
}

impl UncommittedChanges {
    pub(super) fn changes(&self) -> &PendingChanges {
        &self.changes
    }

    /// Decodes the entries appended to Raft's log since the last call of this method; returns the
    /// index of the last entry.
    pub(super) fn catch_up(&mut self, raft: &Raft) -> u64 {
        self.discard_committed(raft.term(), raft.commit_index());
        for entry in raft.uncommitted() {
            if entry.index <= self.last_index {
                continue;
            }
            if entry.kind() == EntryKind::Command {
                if let Ok(change) = Change::decode(entry.payload.as_slice()) {
                    self.changes.add(entry.index, &change);
                }
            }
            self.last_index = entry.index;
        }
        self.last_index
    }

    /// Discards the decoded changes in a new term, or when more of their entries are committed than
    /// uncommitted. This bounds both how often an entry is decoded and how many committed changes
    /// are kept.
    fn discard_committed(&mut self, term: u64, commit: u64) {
        let committed = commit.saturating_sub(self.after);
        let uncommitted = self.last_index.saturating_sub(commit);
        if self.term != term || committed > uncommitted {
            *self = UncommittedChanges {
                term,
                after: commit,
                last_index: commit,
                changes: PendingChanges::default(),
            };
        }
    }

    /// Frees the memory of the decoded changes once all of them are committed, because the changes
    /// of a single call may be large.
    pub(super) fn release_if_committed(&mut self, commit: u64) {
        if self.last_index <= commit {
            *self = UncommittedChanges::default();
        }
    }
}
