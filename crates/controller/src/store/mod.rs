//! The durable state of a controller: a write-ahead log in segments, and a state file that replaces
//! old segments.
//!
//! Invariant: state is durable before it is acknowledged. Whatever the controller has acknowledged
//! (a vote, a log entry, a proxy's lease, a backend instance) is found at the next start, even
//! after a power loss at any step. The argument is in `docs/design/control-disk.md`.
//!
//! A dedicated thread writes ([`Store::run`]): it takes records from a bounded queue
//! ([`write_queue()`]), writes all records queued in the meantime as one frame, syncs it, and only
//! then reports the records as written.
//!
//! | file | content |
//! | --- | --- |
//! | `log-N`, N from 1 upwards | a segment: frames, each with a [`Batch`] of records |
//! | `state-N` | one frame with a [`StateFile`]: all records up to number N, compacted |
//! | `fold` | a state file that is being written |
//! | `spoilt-*`, `setting-aside` | quarantined files, and the marker of a quarantine that is in progress |
//!
//! **Bounds.** If the longest state has S bytes and the longest batch B (4 MiB and one record), the
//! files take at most 4 S + 2 B + 192 KiB on disk (two state files, the segments being compacted,
//! those written meanwhile), and quarantined files take as much again. In memory: the state, and
//! its encoded bytes while it is compacted.

mod compaction;
mod error;
mod files;
mod frame;
mod quarantine;
mod record;
mod recovery;
mod retry;
mod segment_log;
mod state;
mod state_file;
mod write_queue;

pub use error::{Error, Operation};
pub use record::{Batch, StoreRecord};
pub use state::StoredState;
pub use state_file::StateFile;
pub use write_queue::{write_queue, WriteQueue, WriteQueueReceiver};

use crate::disk::Disk;
use compaction::Compactor;
use frame::Frame;
use recovery::RecoveredDirectory;
use retry::Retry;
use segment_log::SegmentLog;
use std::sync::mpsc::TryRecvError;

/// Size limits of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreLimits {
    /// Length of the log at which the log is compacted; if the last state file is longer, that
    /// file's length is used instead. With the default of 192 KiB, the syncs of compactions (two
    /// each) are few compared with those of the writes.
    pub compact_after_bytes: u64,
    /// Number of segments above which the log is compacted, however short they are; each start that
    /// finds a log begins a new segment. Default 16.
    pub max_segments: usize,
    /// Bytes of a state file that one step of a compaction writes, which may delay a write of
    /// records; the length of the last batch if that is longer. Default 1 MiB.
    pub write_slice_bytes: usize,
    /// Bytes of records after which no more records are added to a frame. Default 4 MiB.
    pub max_batch_bytes: usize,
}

impl Default for StoreLimits {
    fn default() -> StoreLimits {
        StoreLimits {
            compact_after_bytes: 192 << 10,
            max_segments: 16,
            write_slice_bytes: 1 << 20,
            max_batch_bytes: 4 << 20,
        }
    }
}

/// A store that is open for writing.
pub struct Store<D: Disk> {
    disk: D,
    limits: StoreLimits,
    /// The state on the disk.
    state: StoredState,
    log: SegmentLog<D::File>,
    compactor: Compactor<D::File>,
}

impl<D: Disk> Store<D> {
    /// Opens the directory and returns the state in it. All of that state is durable afterwards,
    /// even if it was not before.
    ///
    /// # Errors
    ///
    /// [`Error::Io`], [`Error::Corrupt`] and [`Error::UnknownFormat`].
    pub fn open(disk: D) -> Result<(Store<D>, StoredState), Error> {
        Store::open_with(disk, StoreLimits::default())
    }

    /// Opens the directory with other limits.
    ///
    /// # Errors
    ///
    /// The same as [`Store::open`].
    pub fn open_with(disk: D, limits: StoreLimits) -> Result<(Store<D>, StoredState), Error> {
        let recovered = RecoveredDirectory::read(&disk)?;
        let (mut store, mut last_frame) = Store::new(disk, limits, recovered);
        store.make_durable(last_frame.as_mut())?;
        Ok(store.into_opened())
    }

    /// Opens the directory as [`Store::open`] does, but retries until the disk returns no error.
    /// Corrupt content is quarantined, and the store is then empty: the controller has lost its
    /// disk ([`StoredState::quarantined`]).
    ///
    /// # Errors
    ///
    /// [`Error::UnknownFormat`] only.
    pub fn open_with_retries(
        disk: D,
        limits: StoreLimits,
    ) -> Result<(Store<D>, StoredState), Error> {
        let recovered = recovery::read_with_retries(&disk)?;
        let (mut store, mut last_frame) = Store::new(disk, limits, recovered);
        store.retry_until_ok(|store| store.make_durable(last_frame.as_mut()));
        Ok(store.into_opened())
    }

    fn new(
        disk: D,
        limits: StoreLimits,
        recovered: RecoveredDirectory,
    ) -> (Store<D>, Option<Frame>) {
        let store = Store {
            disk,
            limits,
            state: recovered.state,
            log: SegmentLog::new(recovered.last_segment_id + 1, recovered.uncompacted),
            compactor: Compactor::new(recovered.state_file, recovered.obsolete_files),
        };
        (store, recovered.last_frame)
    }

    /// Makes the recovered state durable. Two parts of it may have been read from the system's page
    /// cache only: the last frame, if its sync failed or had not begun when the process ended, and
    /// file names. That frame is written again to another file, because a second sync after a
    /// failed one may report success without writing anything.
    fn make_durable(&mut self, last_frame: Option<&mut Frame>) -> Result<(), Error> {
        match last_frame {
            Some(frame) => self.log.append(&self.disk, frame),
            None => files::sync_directory(&self.disk),
        }
    }

    fn into_opened(self) -> (Store<D>, StoredState) {
        let state = self.state.clone();
        (self, state)
    }

    /// Writes records and waits until they are durable.
    ///
    /// # Errors
    ///
    /// [`Error::OutOfOrder`] before anything is written. After [`Error::Io`] the records may or may
    /// not be on the disk; the same records may be written again, but no others.
    pub fn write(&mut self, records: Vec<StoreRecord>) -> Result<(), Error> {
        let batch = Batch::new(records);
        batch.check_follows(self.state.number)?;
        self.log.append(&self.disk, &mut batch.to_frame())?;
        self.apply(batch);
        Ok(())
    }

    fn apply(&mut self, batch: Batch) {
        for record in batch.records {
            self.state.apply(record);
        }
    }

    /// Returns whether [`Store::step`] has work to do.
    pub fn has_background_work(&self) -> bool {
        self.compactor.has_work(&self.limits, &self.log)
    }

    /// Performs one step of background work: compaction, one slice at a time, and removal of the
    /// files that it made obsolete.
    ///
    /// # Errors
    ///
    /// [`Error::Io`], after which a later step restarts the compaction.
    pub fn step(&mut self) -> Result<(), Error> {
        self.compactor
            .step(&self.disk, &self.limits, &self.state, &mut self.log)
    }

    /// Performs all pending background work and closes the store.
    ///
    /// # Errors
    ///
    /// [`Error::Io`] of the first step that fails.
    pub fn close(mut self) -> Result<(), Error> {
        while self.has_background_work() {
            self.step()?;
        }
        Ok(())
    }

    /// Runs on a dedicated thread until the queue is dropped: writes the queued records in order,
    /// and calls `on_written` with the number of the last durable record. While the disk returns
    /// errors, the same records are retried and nothing is reported. Also ends when `on_written`
    /// returns `false`, and after calling it with [`Error::OutOfOrder`].
    pub fn run(
        mut self,
        incoming: &WriteQueueReceiver,
        mut on_written: impl FnMut(Result<u64, Error>) -> bool,
    ) {
        loop {
            let next = if self.has_background_work() {
                incoming.try_recv()
            } else {
                incoming.recv()
            };
            match next {
                Ok(first) => {
                    let result = self.write_queued(incoming, first);
                    let failed = result.is_err();
                    if !on_written(result) || failed {
                        return;
                    }
                }
                Err(TryRecvError::Empty) => {}
                Err(TryRecvError::Disconnected) => return,
            }
            if self.has_background_work() {
                self.retry_until_ok(Store::step);
            }
        }
    }

    /// Writes this record and those queued behind it as one frame, with retries. Returns the number
    /// of the last record.
    fn write_queued(
        &mut self,
        incoming: &WriteQueueReceiver,
        first: StoreRecord,
    ) -> Result<u64, Error> {
        let batch = incoming.batch_from(first, self.limits.max_batch_bytes);
        batch.check_follows(self.state.number)?;
        let last_number = batch.last_number();
        let mut frame = batch.to_frame();
        self.retry_until_ok(|store| store.log.append(&store.disk, &mut frame));
        incoming.release(&batch);
        self.apply(batch);
        Ok(last_number)
    }

    fn retry_until_ok(&mut self, mut operation: impl FnMut(&mut Store<D>) -> Result<(), Error>) {
        let mut retry = Retry::default();
        while let Err(error) = operation(self) {
            retry.failed(&self.disk, &error);
        }
        retry.succeeded(&self.disk);
    }
}
