//! Folding the log into a state, and sending such a state in parts.

use super::*;

/// Entries after which the log is folded in any case.
const LONG_LOG: usize = 2000;
/// Bytes of entries after which it is folded, if the last state is no longer than that; otherwise as many as that state has, so that
/// folding costs no more than a fixed part of what is written anyhow.
const LONG_BYTES: usize = 64 << 10;
/// Bytes of folded entries that are kept in memory for those that lag a little.
const TAIL: usize = 1 << 20;
/// Bytes of a state in one message.
const PART: usize = 256 << 10;
/// Longest state that is taken.
const LONGEST: u64 = 256 << 20;

/// What an entry weighs, about: its payload and what stands around it.
pub(super) fn weight(entry: &Entry) -> usize {
    entry.payload.len() + 64 + entry.members.len() * 32
}

/// What is known of the log's size, and the last entries that were folded.
#[derive(Debug, Default)]
pub(super) struct Folding {
    /// The entries in the log, and their bytes.
    length: usize,
    bytes: usize,
    /// Folded entries, up to the one before the log's first.
    tail: VecDeque<Entry>,
    tail_bytes: usize,
}

impl Folding {
    pub fn of(disk: &PersistentState) -> Folding {
        let bytes = disk.log.iter().map(weight).sum();
        Folding {
            length: disk.log.len(),
            bytes,
            ..Folding::default()
        }
    }

    /// A record is about to be taken in.
    pub fn before(&mut self, disk: &PersistentState, record: &PersistentUpdate) {
        let Some(snapshot) = &record.snapshot else {
            return;
        };
        if disk.term_at(snapshot.index) != Some(snapshot.term) {
            // The state of another: what is here does not lead to it.
            (self.tail, self.tail_bytes) = (VecDeque::new(), 0);
            return;
        }
        for entry in disk
            .log
            .iter()
            .filter(|entry| entry.index <= snapshot.index)
        {
            self.tail_bytes += weight(entry);
            self.tail.push_back(entry.clone());
        }
        while self.tail_bytes > TAIL {
            self.tail_bytes -= self
                .tail
                .pop_front()
                .map_or(self.tail_bytes, |entry| weight(&entry));
        }
    }

    /// It has been taken in. Only what is appended where nothing stood is counted by itself.
    pub fn after(&mut self, disk: &PersistentState, record: &PersistentUpdate) {
        let length = self.length + record.entries.len();
        if record.snapshot.is_none() && length == disk.log.len() {
            self.bytes += record.entries.iter().map(weight).sum::<usize>();
        } else {
            self.bytes = disk.log.iter().map(weight).sum();
        }
        self.length = disk.log.len();
    }

    /// Whether the entries from an index on, up to the last that is folded, can be sent from here, with the term of the one before.
    pub fn has(&self, index: u64, folded: u64) -> bool {
        self.tail.front().is_some_and(|first| first.index < index)
            && self.tail.back().is_some_and(|last| last.index == folded)
    }

    /// Those entries, up to the last that is folded.
    pub fn from(&self, index: u64) -> impl Iterator<Item = &Entry> {
        let first = self.tail.front().map_or(index, |entry| entry.index);
        self.tail
            .range((index.saturating_sub(first) as usize).min(self.tail.len())..)
    }

    /// The term of a folded entry.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        let first = self.tail.front()?.index;
        self.tail
            .get(usize::try_from(index.checked_sub(first)?).ok()?)
            .map(|entry| entry.term)
    }
}

/// A state that a leader sends to one node: the one that it began with, also when it folds anew meanwhile.
#[derive(Clone, Debug)]
pub(super) struct Sending {
    snapshot: Snapshot,
    whole: u64,
    /// Bytes that the other has.
    offset: usize,
    /// Up to where it was sent, and when.
    flying: Option<(usize, Millis)>,
    since: Millis,
}

impl Sending {
    pub fn of(snapshot: &Snapshot, now: Millis) -> Sending {
        let whole = checksum(&snapshot.state);
        Sending {
            snapshot: snapshot.clone(),
            whole,
            offset: 0,
            flying: None,
            since: now,
        }
    }

    pub fn index(&self) -> u64 {
        self.snapshot.index
    }

    /// The other tells what it has; whether that calls for the next part.
    pub fn taken(&mut self, taken: SnapshotProgress) -> bool {
        if (taken.index, taken.checksum) != (self.snapshot.index, self.whole) {
            return false;
        }
        self.offset = (taken.received_bytes as usize).min(self.snapshot.state.len());
        if self.flying.is_some_and(|(end, _)| self.offset >= end) {
            self.flying = None;
        }
        self.flying.is_none()
    }

    /// What is to be said now: the next part; while that is on its way, from time to time how much has come; otherwise nothing.
    pub fn next(&mut self, now: Millis, sent: Millis, round: u64) -> Option<InstallSnapshot> {
        let state = &self.snapshot.state;
        let lost = self.flying.is_none_or(|(_, at)| now - at > RESEND);
        let part = if lost {
            let end = (self.offset + PART).min(state.len());
            self.flying = Some((end, now));
            state.slice(self.offset..end)
        } else if now - sent >= PULSE - 10.0 {
            Bytes::new()
        } else {
            return None;
        };
        Some(InstallSnapshot {
            sequence: round,
            index: self.snapshot.index,
            term: self.snapshot.term,
            members: self.snapshot.members.clone(),
            total_bytes: state.len() as u64,
            checksum: self.whole,
            offset: self.offset as u64,
            chunk_checksum: checksum(&part),
            chunk: part,
        })
    }

    /// A line for the log: all of it is there.
    pub fn note(&self, to: &str, now: Millis) -> String {
        let (index, bytes, ms) = (
            self.snapshot.index,
            self.snapshot.state.len(),
            now - self.since,
        );
        format!("event=snapshot_sent to={to} index={index} bytes={bytes} ms={ms:.0}")
    }
}

/// A state that is coming.
#[derive(Debug)]
pub(super) struct Taking {
    index: u64,
    term: u64,
    whole: u64,
    length: u64,
    bytes: Vec<u8>,
}

impl Raft {
    /// Whether the log is long enough to be folded.
    pub fn should_compact(&self) -> bool {
        let long = self.disk.log.len() > LONG_LOG
            || self.folding.bytes > LONG_BYTES.max(self.disk.snapshot.state.len());
        long && self.commit_index > self.disk.snapshot.index
    }

    /// Folds all that is agreed into a state.
    pub fn compact(&mut self, state: Vec<u8>, out: &mut Ready) {
        let index = self.commit_index;
        let Some(term) = self
            .disk
            .term_at(index)
            .filter(|_| index > self.disk.snapshot.index)
        else {
            return;
        };
        let members = self.disk.members_at(index).to_vec();
        let snapshot = Snapshot {
            index,
            term,
            members,
            state: state.into(),
        };
        self.write(
            PersistentUpdate {
                snapshot: Some(snapshot),
                ..PersistentUpdate::default()
            },
            out,
        );
        self.count_members();
    }

    /// Takes in a part; tells the whole once it is there, otherwise how much of it is. A part that is not what was sent is passed
    /// over, a whole that is not is begun again: from whom it came stands in the log.
    pub(super) fn take_part(
        &mut self,
        from: &str,
        install: InstallSnapshot,
        out: &mut Ready,
    ) -> Result<Snapshot, SnapshotProgress> {
        let InstallSnapshot {
            index,
            term,
            members,
            total_bytes: length,
            checksum: whole,
            offset,
            chunk: part,
            chunk_checksum: sum,
            ..
        } = install;
        let mut taken = SnapshotProgress {
            index,
            checksum: whole,
            received_bytes: 0,
        };
        if length > LONGEST || index >= HIGHEST {
            out.log_lines.push(format!(
                "event=snapshot_spoilt index={index} field=length bytes={length} from={from}"
            ));
            return Err(taken);
        }
        let same = |taking: &Taking| {
            (taking.index, taking.term, taking.whole, taking.length) == (index, term, whole, length)
        };
        let mut taking = match self.taking.take().filter(same) {
            Some(taking) => taking,
            None => Taking {
                index,
                term,
                whole,
                length,
                bytes: Vec::new(),
            },
        };
        let fits = offset == taking.bytes.len() as u64 && offset + part.len() as u64 <= length;
        if fits && checksum(&part) == sum {
            taking.bytes.extend_from_slice(&part);
        } else if fits {
            out.log_lines.push(format!(
                "event=snapshot_spoilt index={index} field=part offset={offset} from={from}"
            ));
        }
        taken.received_bytes = taking.bytes.len() as u64;
        if taken.received_bytes < length {
            self.taking = Some(taking);
            return Err(taken);
        }
        if checksum(&taking.bytes) != whole {
            out.log_lines.push(format!(
                "event=snapshot_spoilt index={index} field=whole bytes={length} from={from}"
            ));
            taken.received_bytes = 0;
            return Err(taken);
        }
        Ok(Snapshot {
            index,
            term,
            members,
            state: taking.bytes.into(),
        })
    }
}
