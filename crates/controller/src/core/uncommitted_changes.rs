//! The changes in raft's log that are not committed yet, as far as they were decoded: a call is validated against them.

use maplefall_gateway_config::{Change, PendingChanges};
use maplefall_raft::{EntryKind, Raft};
use prost::Message;

/// Changes that this leader has proposed; each entry is decoded once a term.
#[derive(Default)]
pub(super) struct UncommittedChanges {
    term: u64,
    /// Entries after this index, up to and with `last_index`, are in `changes`.
    after: u64,
    last_index: u64,
    changes: PendingChanges,
}

impl UncommittedChanges {
    pub(super) fn changes(&self) -> &PendingChanges {
        &self.changes
    }

    /// Decodes what was appended since; returns the index of the last entry.
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

    /// Starts over in a new term, or where more of the changes are committed than not: so none is decoded too often, and the
    /// committed ones that are kept meanwhile stay few.
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

    /// Frees the memory of a large call that is committed by now.
    pub(super) fn release_if_committed(&mut self, commit: u64) {
        if self.last_index <= commit {
            *self = UncommittedChanges::default();
        }
    }
}
