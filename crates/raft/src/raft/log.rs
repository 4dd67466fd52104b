//! The log: appending, committing, and tracking of persisted entries.
//!
//! Invariant: the state in memory changes only through [`Raft::write`], which applies the same
//! update that goes to disk, so that a restart reads the same state. State machine safety (paper,
//! 5.4.3) relies on committed entries never being replaced.

use super::{Entry, EntryKind, Member, PersistentUpdate, Raft, Ready};

/// A write of entries that is not known to be persisted.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingEntryWrite {
    /// Number of the write.
    write: u64,
    /// Index up to which the log is persisted once the write is; lowered when entries of the write
    /// are replaced.
    last_index: u64,
}

impl Raft {
    /// Appends one entry of the current term and returns its index.
    pub(super) fn append_entry(
        &mut self,
        kind: EntryKind,
        payload: Vec<u8>,
        members: Vec<Member>,
        ready: &mut Ready,
    ) -> u64 {
        let index = self.persistent.last_index() + 1;
        let entry = Entry {
            index,
            term: self.persistent.term,
            kind: kind.into(),
            payload,
            members,
        };
        self.append_entries(vec![entry], ready);
        index
    }

    /// Appends entries, replacing those in the log from the first one's index on.
    pub(super) fn append_entries(&mut self, entries: Vec<Entry>, ready: &mut Ready) {
        let (Some(first), Some(last)) = (entries.first(), entries.last()) else {
            return;
        };
        let (prev_index, last_index) = (first.index - 1, last.index);
        let is_membership = |entry: &Entry| entry.kind() == EntryKind::Membership;
        let mut changes_members = entries.iter().any(is_membership);
        if prev_index < self.persistent.last_index() {
            changes_members |= self.configuration.index > prev_index;
            self.lower_persisted_index(prev_index);
        }
        let update = PersistentUpdate {
            entries,
            ..PersistentUpdate::default()
        };
        self.write(update, ready);
        self.track_entry_write(last_index);
        if changes_members {
            self.refresh_configuration();
        }
    }

    /// Stops counting the entries after `index` as persisted, because they are replaced.
    fn lower_persisted_index(&mut self, index: u64) {
        self.persisted_index = self.persisted_index.min(index);
        for pending in &mut self.pending_entry_writes {
            pending.last_index = pending.last_index.min(index);
        }
    }

    /// Records that the last write contains the log up to `last_index`.
    pub(super) fn track_entry_write(&mut self, last_index: u64) {
        self.pending_entry_writes.push_back(PendingEntryWrite {
            write: self.last_write,
            last_index,
        });
    }

    /// Advances `persisted_index` once writes up to `persisted_write` are persisted.
    pub(super) fn update_persisted_index(&mut self) {
        while let Some(pending) = self.pending_entry_writes.front().copied() {
            if pending.write > self.persisted_write {
                break;
            }
            self.persisted_index = self.persisted_index.max(pending.last_index);
            self.pending_entry_writes.pop_front();
        }
    }

    /// Advances the commit index, and passes the newly committed entries to the caller.
    pub(super) fn commit_up_to(&mut self, index: u64, ready: &mut Ready) {
        if index <= self.commit_index {
            return;
        }
        let snapshot_index = self.persistent.snapshot.index;
        let first = (self.commit_index - snapshot_index) as usize;
        let end = (index.min(self.persistent.last_index()) - snapshot_index) as usize;
        let previous = self.persistent.members_at(self.commit_index).to_vec();
        self.commit_index = snapshot_index + end as u64;
        let entries: Vec<Entry> = self.persistent.log[first..end].to_vec();
        self.commit_membership(&entries, previous, ready);
        ready.committed_entries.extend(entries);
    }

    /// Passes an update to the caller for writing, and applies it in memory as a restart will.
    pub(super) fn write(&mut self, update: PersistentUpdate, ready: &mut Ready) {
        self.last_write += 1;
        self.compacted.before_update(&self.persistent, &update);
        self.persistent.apply(update.clone());
        self.log_size.after_update(&self.persistent, &update);
        ready.writes.push((self.last_write, update));
    }
}
