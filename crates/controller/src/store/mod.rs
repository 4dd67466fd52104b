//! The durable state of a controller: a write-ahead log in segments, and a state file that replaces old segments.
//!
//! Invariant: what is acknowledged is on the disk first. Whatever the controller has said that it holds (a vote, a log entry, a proxy's
//! lease, a backend instance), a start finds it, after a loss of power at any step too. `docs/design/control-disk.md` argues why.
//!
//! A thread of its own writes ([`Store::run`]): it takes records from a bounded queue ([`write_queue()`]), writes what has come in the
//! meantime as one frame, syncs it, and only then reports the records as written.
//!
//! | file | content |
//! | --- | --- |
//! | `log-N`, N from 1 upwards | a segment: frames, each with a [`Batch`] of records |
//! | `state-N` | one frame with a [`StateFile`]: all records up to number N, compacted |
//! | `fold` | a state file while it is written |
//! | `spoilt-*`, `setting-aside` | quarantined files, and the marker of a quarantine that is under way |
//!
//! **Bounds.** With S bytes of the longest state and B of the longest batch (4 MiB and one record), at most 4 S + 2 B + 192 KiB are on
//! the disk (two state files, the segments that are being compacted, those that are written meanwhile), and as much again in
//! quarantine. In memory: the state, and its encoded bytes while it is compacted.

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

/// Sizes that the store goes by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreLimits {
    /// Length of the log at which it is compacted; if the last state file is longer, its length counts instead. Default
    /// 192 KiB: the two syncs of a compaction are then few beside those of the writes.
    pub compact_after_bytes: u64,
    /// Segments above which the log is compacted, however short they are; each start that finds a log begins one. Default 16.
    pub max_segments: usize,
    /// Bytes of a state file that are written at a time, which a write may have to wait for; as long as the last batch if that is
    /// longer. Default 1 MiB.
    pub write_slice_bytes: usize,
    /// Bytes of records after which a frame gets no more of them. Default 4 MiB.
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

/// A disk that is open for writing.
pub struct Store<D: Disk> {
    disk: D,
    limits: StoreLimits,
    /// All that is on the disk.
    state: StoredState,
    log: SegmentLog<D::File>,
    compactor: Compactor<D::File>,
}

impl<D: Disk> Store<D> {
    /// Opens the directory and returns what is in it. All of that is durable, also if it was not before.
    ///
    /// # Errors
    ///
    /// [`Error::Io`], [`Error::Corrupt`] and [`Error::UnknownFormat`].
    pub fn open(disk: D) -> Result<(Store<D>, StoredState), Error> {
        Store::open_with(disk, StoreLimits::default())
    }

    /// Opens it with other sizes.
    ///
    /// # Errors
    ///
    /// Those of [`Store::open`].
    pub fn open_with(disk: D, limits: StoreLimits) -> Result<(Store<D>, StoredState), Error> {
        let recovered = RecoveredDirectory::read(&disk)?;
        let (mut store, mut last_frame) = Store::new(disk, limits, recovered);
        store.make_durable(last_frame.as_mut())?;
        Ok(store.into_opened())
    }

    /// Opens it as [`Store::open`] does, but retries until the disk returns no error. Corrupt content is
    /// quarantined, and the store is then empty: the controller has lost its disk ([`StoredState::quarantined`]).
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

    /// Makes what was recovered durable. It may have been read from the system's memory only: the last frame, if its sync failed or had
    /// not begun when the process ended, and names. That frame is written anew, as a second sync after one that failed may report
    /// success and write nothing.
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
    /// [`Error::OutOfOrder`] before anything is written. After [`Error::Io`] the records may be on the disk or not; the same ones may
    /// be written again, and nothing else.
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

    /// Whether [`Store::step`] has something to do.
    pub fn has_background_work(&self) -> bool {
        self.compactor.has_work(&self.limits, &self.log)
    }

    /// Takes one step of what can wait: compaction, a slice at a time, and removing what it made obsolete.
    ///
    /// # Errors
    ///
    /// [`Error::Io`], after which the compaction begins anew with a later step.
    pub fn step(&mut self) -> Result<(), Error> {
        self.compactor
            .step(&self.disk, &self.limits, &self.state, &mut self.log)
    }

    /// Takes all steps that are due and closes the store.
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

    /// Runs on a thread of its own until the queue is dropped: writes what comes, in order, and calls `written` with the number of the
    /// last record that is durable. While the disk returns errors, the same records are retried and nothing is reported. Ends too when
    /// `written` returns `false`, and after it was called with [`Error::OutOfOrder`].
    pub fn run(
        mut self,
        incoming: &WriteQueueReceiver,
        mut written: impl FnMut(Result<u64, Error>) -> bool,
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
                    if !written(result) || failed {
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

    /// Writes this record and those that wait behind it as one frame, with retries. Returns the number of the last.
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
