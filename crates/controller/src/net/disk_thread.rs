//! The thread that owns the store: writes block, and must not delay the controller.

use crate::disk::Directory;
use crate::store::{
    write_queue, Error as StoreError, Store, StoreLimits, StoreRecord, StoredState, WriteQueue,
};
use std::path::PathBuf;
use tokio::sync::{mpsc, oneshot};

/// The number up to which all records are on disk, or why the disk cannot be used any more.
pub(super) type WriteResult = Result<u64, StoreError>;

/// The ends of the disk's thread that the controller has.
pub(super) struct DiskThread {
    /// What the store has found, once it is open.
    pub(super) opening: oneshot::Receiver<Result<StoredState, StoreError>>,
    /// One for each batch that was written, so no more than there are batches.
    pub(super) results: mpsc::UnboundedReceiver<WriteResult>,
    pub(super) writer: DiskWriter,
}

/// Hands records to the disk's thread.
pub(super) struct DiskWriter {
    queue: WriteQueue,
    /// Weak: the thread has the only strong sender, so that its end is noticed.
    failures: mpsc::WeakUnboundedSender<WriteResult>,
}

impl DiskThread {
    /// Opens the store in this directory, on a thread that retries until it can.
    pub(super) fn start(data_dir: PathBuf) -> DiskThread {
        let (queue, records) = write_queue();
        let (sender, results) = mpsc::unbounded_channel();
        let (opened, opening) = oneshot::channel();
        let failures = sender.downgrade();
        std::thread::spawn(move || {
            match Store::open_with_retries(Directory::new(&data_dir), StoreLimits::default()) {
                Ok((store, stored)) => {
                    if opened.send(Ok(stored)).is_ok() {
                        store.run(&records, |result| sender.send(result).is_ok());
                    }
                }
                // Nobody receives it where the process ends meanwhile.
                Err(error) => drop(opened.send(Err(error))),
            }
        });
        DiskThread {
            opening,
            results,
            writer: DiskWriter { queue, failures },
        }
    }
}

impl DiskWriter {
    /// Queues a record. The queue is full only behind a disk that has stopped working: this ends the process, as a failed write does.
    pub(super) fn write(&self, record: StoreRecord) {
        if let Err(error) = self.queue.push(record) {
            log::error!("event=write_queue_full {error}");
            if let Some(failures) = self.failures.upgrade() {
                let _ = failures.send(Err(error));
            }
        }
    }
}
