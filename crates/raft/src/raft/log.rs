//! The log, what is written and what is said.

use super::*;

impl Raft {
    pub(super) fn add(
        &mut self,
        kind: EntryKind,
        payload: Vec<u8>,
        members: Vec<Member>,
        out: &mut Ready,
    ) -> u64 {
        let index = self.disk.last_index() + 1;
        let entry = Entry {
            index,
            term: self.disk.term,
            kind: kind.into(),
            payload,
            members,
        };
        self.push(vec![entry], out);
        index
    }

    /// Appends entries; what stood at their places goes.
    pub(super) fn push(&mut self, entries: Vec<Entry>, out: &mut Ready) {
        let (Some(first), Some(last)) = (entries.first(), entries.last()) else {
            return;
        };
        let (before, last) = (first.index - 1, last.index);
        let mut members = entries
            .iter()
            .any(|entry| entry.kind() == EntryKind::Membership);
        if before < self.disk.last_index() {
            members |= self.sets.index > before;
            self.synced_index = self.synced_index.min(before);
            self.unsynced
                .iter_mut()
                .for_each(|(_, last)| *last = (*last).min(before));
        }
        self.write(
            PersistentUpdate {
                entries,
                ..PersistentUpdate::default()
            },
            out,
        );
        self.unsynced.push_back((self.persisted, last));
        if members {
            self.count_members();
        }
    }

    pub(super) fn agree(&mut self, commit: u64, out: &mut Ready) {
        if commit <= self.commit_index {
            return;
        }
        let from = (self.commit_index - self.disk.snapshot.index) as usize;
        let to = (commit.min(self.disk.last_index()) - self.disk.snapshot.index) as usize;
        let mut before = self.disk.members_at(self.commit_index).to_vec();
        self.commit_index = self.disk.snapshot.index + to as u64;
        let news: Vec<Entry> = self.disk.log[from..to].to_vec();
        let mut settled = 0;
        for entry in news
            .iter()
            .filter(|entry| entry.kind() == EntryKind::Membership)
        {
            self.note_members(entry, &before, out);
            before = entry.members.clone();
            settled = entry.index;
        }
        if settled > self.disk.members_committed {
            // On disk too: a start need not ask those that were taken out.
            self.write(
                PersistentUpdate {
                    members_committed: settled,
                    ..PersistentUpdate::default()
                },
                out,
            );
        }
        out.committed_entries.extend(news);
    }

    /// The one way to change what this node holds: the record that goes to disk is taken in here as a start will take it in.
    pub(super) fn write(&mut self, record: PersistentUpdate, out: &mut Ready) {
        self.persisted += 1;
        self.folding.before(&self.disk, &record);
        self.disk.apply(record.clone());
        self.folding.after(&self.disk, &record);
        out.writes.push((self.persisted, record));
    }

    pub(super) fn message(&self, what: MessageBody) -> Message {
        Message {
            term: self.disk.term,
            identity: self.me.identity,
            body: Some(what),
        }
    }

    /// Sends once the term that it is said in, and the mark of this disk, are on disk.
    pub(super) fn say(&mut self, to: &str, what: MessageBody, out: &mut Ready) {
        let message = self.message(what);
        let after = if self.term_write > self.synced {
            self.persisted
        } else {
            0
        };
        self.hold(after, to, message, out);
    }

    /// Sends once all that was written so far is on disk.
    pub(super) fn after_writes(&mut self, to: &str, message: Message, out: &mut Ready) {
        self.hold(self.persisted, to, message, out);
    }

    fn hold(&mut self, after: u64, to: &str, message: Message, out: &mut Ready) {
        if after <= self.synced {
            out.messages.push((to.to_owned(), message));
        } else if self.held.len() < MOST_HELD {
            self.held.push_back((after, to.to_owned(), message));
        }
    }
}
