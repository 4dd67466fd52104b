//! The state that a node keeps on disk (paper, figure 2, "persistent state"), and its updates.
//!
//! Invariant: [`PersistentState::apply`] is the only way to change the state. A restart reads the
//! disk with it, and a running node updates its memory with it, so both agree after every update.

use crate::message::*;

/// Term, vote, snapshot and log of a node.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PersistentState {
    /// The current term.
    pub term: u64,
    /// The candidate voted for in the current term; empty for none.
    pub voted_for: String,
    /// The snapshot, which replaces all entries up to its index; index 0 means there is none.
    pub snapshot: Snapshot,
    /// The entries after the snapshot, without gaps.
    pub log: Vec<Entry>,
    /// [`Member::identity`] of this disk; `None` until it is written.
    pub identity: Option<u64>,
    /// Membership entries up to this index are known to be committed.
    pub members_committed: u64,
}

/// The membership configuration given by a log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Members of the last membership entry or, without one, of the snapshot.
    pub current: Vec<Member>,
    /// Members before the last membership entry; the same as `current` if the log has no membership
    /// entry.
    pub previous: Vec<Member>,
    /// Index of the last membership entry, or of the snapshot.
    pub index: u64,
}

impl PersistentState {
    /// Applies one update. Updates must be applied in the order in which they were written;
    /// repeating some of them does not change the state once all have been applied.
    pub fn apply(&mut self, update: PersistentUpdate) {
        if let Some(term) = update.term {
            (self.term, self.voted_for) = (term, update.voted_for);
        }
        self.identity = update.identity.or(self.identity);
        self.members_committed = self.members_committed.max(update.members_committed);
        if let Some(snapshot) = update.snapshot {
            self.apply_snapshot(snapshot);
        }
        for entry in update.entries {
            self.apply_entry(entry);
        }
    }

    /// Replaces the snapshot and removes the entries up to its index. Later entries are kept only
    /// if the log matches the snapshot at that index. An older snapshot is ignored.
    fn apply_snapshot(&mut self, snapshot: Snapshot) {
        if snapshot.index < self.snapshot.index {
            return;
        }
        // True if the log matches the snapshot at its index; also if the same snapshot is applied
        // again, when its last entry is no longer in the log.
        let log_follows = self.term_at(snapshot.index) == Some(snapshot.term);
        self.log
            .retain(|entry| log_follows && entry.index > snapshot.index);
        self.snapshot = snapshot;
    }

    /// Replaces the log from the entry's index on with the entry. Ignores an entry that the
    /// snapshot covers, or that would leave a gap.
    fn apply_entry(&mut self, entry: Entry) {
        if entry.index <= self.snapshot.index {
            return;
        }
        let position = (entry.index - self.snapshot.index - 1) as usize;
        if position <= self.log.len() {
            self.log.truncate(position);
            self.log.push(entry);
        }
    }

    /// Returns the index of the last entry, which the snapshot may cover.
    pub fn last_index(&self) -> u64 {
        self.log
            .last()
            .map_or(self.snapshot.index, |entry| entry.index)
    }

    /// Returns the term of the entry at `index`; `None` before the last entry of the snapshot and
    /// after the end of the log.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        let position = index.checked_sub(self.snapshot.index + 1)?;
        self.log
            .get(usize::try_from(position).ok()?)
            .map(|entry| entry.term)
    }

    /// Returns the configuration given by the whole log, committed or not.
    pub fn configuration(&self) -> Configuration {
        let members = &self.snapshot.members;
        let mut configuration = Configuration {
            current: members.clone(),
            previous: members.clone(),
            index: self.snapshot.index,
        };
        for entry in self.log.iter().filter(|entry| is_membership(entry)) {
            let members = entry.members.clone();
            configuration.previous = std::mem::replace(&mut configuration.current, members);
            configuration.index = entry.index;
        }
        configuration
    }

    /// Returns the members given by the log up to `index`.
    pub fn members_at(&self, index: u64) -> &[Member] {
        let last = self
            .log
            .iter()
            .rev()
            .find(|entry| is_membership(entry) && entry.index <= index);
        last.map_or(&self.snapshot.members, |entry| &entry.members)
    }

    /// Returns whether nothing has been written yet.
    pub fn is_empty(&self) -> bool {
        *self == PersistentState::default()
    }
}

fn is_membership(entry: &Entry) -> bool {
    entry.kind() == EntryKind::Membership
}
