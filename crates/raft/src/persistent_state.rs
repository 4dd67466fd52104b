//! What a node holds, and the one fold that leads to it.

use crate::message::*;

/// What a node finds on its disk.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PersistentState {
    /// The term.
    pub term: u64,
    /// The vote in it.
    pub voted_for: String,
    /// All up to here is folded.
    pub snapshot: Snapshot,
    /// The entries after it.
    pub log: Vec<Entry>,
    /// The mark of this disk, once it has been written: [`Member::identity`].
    pub identity: Option<u64>,
    /// Members up to this index are known to be agreed on.
    pub members_committed: u64,
}

/// Who votes, as a log says it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// The last that the log names.
    pub current: Vec<Member>,
    /// Those before.
    pub previous: Vec<Member>,
    /// Where the last are named.
    pub index: u64,
}

impl PersistentState {
    /// Takes in one record, as they were written in order. Doing it twice changes nothing once all have been taken in. This is the
    /// only fold there is: a start reads the disk with it, and a running node changes what it holds with it and with nothing
    /// else, so that both agree at every moment.
    pub fn apply(&mut self, record: PersistentUpdate) {
        if let Some(term) = record.term {
            (self.term, self.voted_for) = (term, record.voted_for);
        }
        self.identity = record.identity.or(self.identity);
        self.members_committed = self.members_committed.max(record.members_committed);
        if let Some(snapshot) = record.snapshot.filter(|s| s.index >= self.snapshot.index) {
            // Entries after it stay where they follow it: also on a state that is there already, which has no entry of its own.
            let same = self.term_at(snapshot.index) == Some(snapshot.term);
            self.log
                .retain(|entry| same && entry.index > snapshot.index);
            self.snapshot = snapshot;
        }
        for entry in record.entries {
            if entry.index <= self.snapshot.index {
                continue;
            }
            let place = (entry.index - self.snapshot.index - 1) as usize;
            if place <= self.log.len() {
                self.log.truncate(place);
                self.log.push(entry);
            }
        }
    }

    /// Index of the last entry.
    pub fn last_index(&self) -> u64 {
        self.log
            .last()
            .map_or(self.snapshot.index, |entry| entry.index)
    }

    /// The term of the entry at an index, unless it is folded or not there.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        let place = index.checked_sub(self.snapshot.index + 1)?;
        self.log
            .get(usize::try_from(place).ok()?)
            .map(|entry| entry.term)
    }

    /// Who votes.
    pub fn configuration(&self) -> Configuration {
        let members = &self.snapshot.members;
        let mut sets = Configuration {
            current: members.clone(),
            previous: members.clone(),
            index: self.snapshot.index,
        };
        for entry in self
            .log
            .iter()
            .filter(|entry| entry.kind() == EntryKind::Membership)
        {
            sets.previous = std::mem::replace(&mut sets.current, entry.members.clone());
            sets.index = entry.index;
        }
        sets
    }

    /// Who votes by what is agreed on up to an index.
    pub fn members_at(&self, index: u64) -> &[Member] {
        let entries = self
            .log
            .iter()
            .rev()
            .filter(|entry| entry.kind() == EntryKind::Membership);
        let last = entries.into_iter().find(|entry| entry.index <= index);
        last.map_or(&self.snapshot.members, |entry| &entry.members)
    }

    /// Whether nothing was ever written.
    pub fn is_empty(&self) -> bool {
        *self == PersistentState::default()
    }
}
