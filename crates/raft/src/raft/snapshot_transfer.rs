//! Transfer of snapshots in chunks from a leader to one peer (paper, section 7).
//!
//! Invariant: a peer installs a state only if its checksum is the one that the leader computed, and
//! a transfer ends with the snapshot that it began with, even if the leader compacts its log
//! meanwhile. One chunk is in flight at a time; the receiver reports how much it has received.

use super::constants::*;
use super::event::{Event, SnapshotDefect};
use super::{checksum, InstallSnapshot, Raft, Ready, Snapshot, SnapshotProgress};
use bytes::Bytes;

/// Maximum bytes of a state in one message.
const SNAPSHOT_CHUNK_BYTES: usize = 256 << 10;
/// Maximum bytes of a state that a receiver accepts.
const MAX_SNAPSHOT_BYTES: u64 = 256 << 20;

/// A snapshot that a leader sends to one peer.
#[derive(Clone, Debug)]
pub(super) struct OutgoingSnapshot {
    snapshot: Snapshot,
    checksum: u64,
    /// Number of bytes that the peer has received.
    offset: usize,
    in_flight: Option<ChunkInFlight>,
    started_at: Millis,
}

/// A chunk that the peer has not acknowledged.
#[derive(Clone, Copy, Debug)]
struct ChunkInFlight {
    /// Offset of the byte after the chunk.
    end: usize,
    sent_at: Millis,
}

impl OutgoingSnapshot {
    pub fn new(snapshot: &Snapshot, now: Millis) -> OutgoingSnapshot {
        OutgoingSnapshot {
            snapshot: snapshot.clone(),
            checksum: checksum(&snapshot.state),
            offset: 0,
            in_flight: None,
            started_at: now,
        }
    }

    /// Returns the index of the last entry in the snapshot.
    pub fn index(&self) -> u64 {
        self.snapshot.index
    }

    /// Returns the size of the whole state in bytes.
    pub fn total_bytes(&self) -> usize {
        self.snapshot.state.len()
    }

    /// Returns the duration of the transfer so far.
    pub fn duration(&self, now: Millis) -> Millis {
        now - self.started_at
    }

    /// Records how much the peer has received. Returns whether to send the next chunk.
    pub fn acknowledge(&mut self, received: SnapshotProgress) -> bool {
        if (received.index, received.checksum) != (self.snapshot.index, self.checksum) {
            return false;
        }
        self.offset = (received.received_bytes as usize).min(self.snapshot.state.len());
        if self.in_flight.is_some_and(|chunk| self.offset >= chunk.end) {
            self.in_flight = None;
        }
        self.in_flight.is_none()
    }

    /// Returns the next message: the next chunk, or the same one again after [`RESEND_TIMEOUT`];
    /// while a chunk is in flight, an empty one as a heartbeat if one is due.
    pub fn next_message(
        &mut self,
        now: Millis,
        last_sent: Millis,
        sequence: u64,
    ) -> Option<InstallSnapshot> {
        let sends_chunk = self
            .in_flight
            .is_none_or(|chunk| now - chunk.sent_at > RESEND_TIMEOUT);
        let chunk = if sends_chunk {
            self.next_chunk(now)
        } else if now - last_sent >= HEARTBEAT_INTERVAL - TICK_TOLERANCE {
            Bytes::new()
        } else {
            return None;
        };
        Some(InstallSnapshot {
            sequence,
            index: self.snapshot.index,
            term: self.snapshot.term,
            members: self.snapshot.members.clone(),
            total_bytes: self.snapshot.state.len() as u64,
            checksum: self.checksum,
            offset: self.offset as u64,
            chunk_checksum: checksum(&chunk),
            chunk,
        })
    }

    fn next_chunk(&mut self, now: Millis) -> Bytes {
        let state = &self.snapshot.state;
        let end = (self.offset + SNAPSHOT_CHUNK_BYTES).min(state.len());
        self.in_flight = Some(ChunkInFlight { end, sent_at: now });
        state.slice(self.offset..end)
    }
}

/// A snapshot of which not all chunks have been received.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    index: u64,
    term: u64,
    checksum: u64,
    total_bytes: u64,
    received: Vec<u8>,
}

impl IncomingSnapshot {
    fn new(install: &InstallSnapshot) -> IncomingSnapshot {
        IncomingSnapshot {
            index: install.index,
            term: install.term,
            checksum: install.checksum,
            total_bytes: install.total_bytes,
            received: Vec::new(),
        }
    }

    /// Returns whether the chunk belongs to this snapshot.
    fn matches_chunk(&self, install: &InstallSnapshot) -> bool {
        (self.index, self.term, self.checksum, self.total_bytes)
            == (
                install.index,
                install.term,
                install.checksum,
                install.total_bytes,
            )
    }

    /// Appends the chunk if it is the next one. A repeated or early chunk is ignored.
    fn append(&mut self, install: &InstallSnapshot) -> Result<(), SnapshotDefect> {
        let is_next = install.offset == self.received.len() as u64
            && install.offset + install.chunk.len() as u64 <= self.total_bytes;
        if !is_next {
            return Ok(());
        }
        if checksum(&install.chunk) != install.chunk_checksum {
            let offset = install.offset;
            return Err(SnapshotDefect::Chunk { offset });
        }
        self.received.extend_from_slice(&install.chunk);
        Ok(())
    }

    fn progress(&self) -> SnapshotProgress {
        SnapshotProgress {
            index: self.index,
            checksum: self.checksum,
            received_bytes: self.received.len() as u64,
        }
    }
}

impl Raft {
    /// Processes a chunk. Returns the snapshot once it is complete, otherwise the progress. A
    /// corrupt chunk is ignored; a complete state with another checksum is dropped, and its
    /// transfer starts again from the beginning. Both are logged.
    pub(super) fn receive_snapshot_chunk(
        &mut self,
        from: &str,
        install: InstallSnapshot,
        ready: &mut Ready,
    ) -> Result<Snapshot, SnapshotProgress> {
        let index = install.index;
        let mut log_corrupt = |defect| {
            ready.log(&Event::SnapshotCorrupt {
                index,
                defect,
                from,
            })
        };
        let nothing_received = IncomingSnapshot::new(&install).progress();
        if install.total_bytes > MAX_SNAPSHOT_BYTES || index >= MAX_TERM_OR_INDEX {
            let bytes = install.total_bytes;
            log_corrupt(SnapshotDefect::Length { bytes });
            return Err(nothing_received);
        }
        let mut incoming = self
            .incoming_snapshot
            .take()
            .filter(|incoming| incoming.matches_chunk(&install))
            .unwrap_or_else(|| IncomingSnapshot::new(&install));
        if let Err(defect) = incoming.append(&install) {
            log_corrupt(defect);
        }
        let progress = incoming.progress();
        if progress.received_bytes < install.total_bytes {
            self.incoming_snapshot = Some(incoming);
            return Err(progress);
        }
        if checksum(&incoming.received) != install.checksum {
            let bytes = install.total_bytes;
            log_corrupt(SnapshotDefect::State { bytes });
            return Err(nothing_received);
        }
        Ok(Snapshot {
            index,
            term: install.term,
            members: install.members,
            state: incoming.received.into(),
        })
    }
}
