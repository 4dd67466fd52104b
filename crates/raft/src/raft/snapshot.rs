//! Log compaction (paper, section 7).
//!
//! Invariant: only committed entries are compacted. The most recent of them stay in memory, so that
//! a peer that lags a little receives entries rather than a snapshot.

use super::{Entry, PersistentState, PersistentUpdate, Raft, Ready, Snapshot};
use std::collections::VecDeque;

/// The log is compacted beyond this number of entries, whatever their size.
const MAX_LOG_ENTRIES: usize = 2000;
/// The log is compacted beyond this many bytes, or beyond the size of the last snapshot if that is
/// larger: compaction then writes no more than a fixed multiple of the other writes.
const MIN_COMPACTION_BYTES: usize = 64 << 10;
/// Maximum bytes of compacted entries in memory; the oldest are dropped first.
const MAX_COMPACTED_BYTES: usize = 1 << 20;
/// Approximate bytes of an entry without its payload and members, and of each member in an entry.
const ENTRY_OVERHEAD_BYTES: usize = 64;
const MEMBER_BYTES: usize = 32;

/// Returns the approximate size of an entry in bytes.
pub(super) fn entry_bytes(entry: &Entry) -> usize {
    entry.payload.len() + ENTRY_OVERHEAD_BYTES + entry.members.len() * MEMBER_BYTES
}

fn total_bytes(entries: &[Entry]) -> usize {
    entries.iter().map(entry_bytes).sum()
}

/// The size of the log, updated without a scan of the log at each write.
#[derive(Debug)]
pub(super) struct LogSize {
    entries: usize,
    bytes: usize,
}

impl LogSize {
    pub fn of(persistent: &PersistentState) -> LogSize {
        LogSize {
            entries: persistent.log.len(),
            bytes: total_bytes(&persistent.log),
        }
    }

    /// Updates the size after `update` was applied to `persistent`. The log is scanned unless
    /// entries were appended and none dropped.
    pub fn after_update(&mut self, persistent: &PersistentState, update: &PersistentUpdate) {
        let appended_only = update.snapshot.is_none()
            && self.entries + update.entries.len() == persistent.log.len();
        if appended_only {
            self.bytes += total_bytes(&update.entries);
        } else {
            self.bytes = total_bytes(&persistent.log);
        }
        self.entries = persistent.log.len();
    }
}

/// The most recent compacted entries, up to the one before the log's first.
#[derive(Debug, Default)]
pub(super) struct CompactedEntries {
    entries: VecDeque<Entry>,
    bytes: usize,
}

impl CompactedEntries {
    /// Takes over the entries that the snapshot in `update` replaces, before `update` is applied to
    /// `persistent`. A snapshot from another node that does not match the log invalidates all
    /// compacted entries.
    pub fn before_update(&mut self, persistent: &PersistentState, update: &PersistentUpdate) {
        let Some(snapshot) = &update.snapshot else {
            return;
        };
        if persistent.term_at(snapshot.index) != Some(snapshot.term) {
            *self = CompactedEntries::default();
            return;
        }
        for entry in &persistent.log {
            if entry.index <= snapshot.index {
                self.bytes += entry_bytes(entry);
                self.entries.push_back(entry.clone());
            }
        }
        self.drop_oldest();
    }

    fn drop_oldest(&mut self) {
        while self.bytes > MAX_COMPACTED_BYTES {
            let oldest = self.entries.pop_front();
            self.bytes -= oldest.map_or(self.bytes, |entry| entry_bytes(&entry));
        }
    }

    /// Returns whether the compacted entries include those from `index` up to the snapshot's last,
    /// and the one before them, whose term is sent with them.
    pub fn covers(&self, index: u64, snapshot_index: u64) -> bool {
        let first = self.entries.front();
        let last = self.entries.back();
        first.is_some_and(|entry| entry.index < index)
            && last.is_some_and(|entry| entry.index == snapshot_index)
    }

    /// Returns the compacted entries from `index` on.
    pub fn entries_from(&self, index: u64) -> impl Iterator<Item = &Entry> {
        let first = self.entries.front().map_or(index, |entry| entry.index);
        let position = index.saturating_sub(first) as usize;
        self.entries.range(position.min(self.entries.len())..)
    }

    /// Returns the term of a compacted entry.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        let first = self.entries.front()?.index;
        let position = usize::try_from(index.checked_sub(first)?).ok()?;
        self.entries.get(position).map(|entry| entry.term)
    }
}

impl Raft {
    /// Returns whether the log is so long that the caller should encode its state and call
    /// [`Raft::compact`].
    pub fn should_compact(&self) -> bool {
        let max_bytes = MIN_COMPACTION_BYTES.max(self.persistent.snapshot.state.len());
        let is_long =
            self.persistent.log.len() > MAX_LOG_ENTRIES || self.log_size.bytes > max_bytes;
        is_long && self.commit_index > self.persistent.snapshot.index
    }

    /// Replaces all committed entries with a snapshot. `state` is the caller's state with exactly
    /// these entries applied.
    pub fn compact(&mut self, state: Vec<u8>, ready: &mut Ready) {
        let index = self.commit_index;
        if index <= self.persistent.snapshot.index {
            return;
        }
        let Some(term) = self.persistent.term_at(index) else {
            return;
        };
        let snapshot = Snapshot {
            index,
            term,
            members: self.persistent.members_at(index).to_vec(),
            state: state.into(),
        };
        let update = PersistentUpdate {
            snapshot: Some(snapshot),
            ..PersistentUpdate::default()
        };
        self.write(update, ready);
        self.refresh_configuration();
    }
}
