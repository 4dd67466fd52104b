//! The thread that owns the store: writes block, and must not delay the controller.

use crate::disk::Directory;
use crate::store::{
    write_queue, Error as StoreError, Store, StoreLimits, StoreRecord, StoredState, WriteQueue,
};
use std::path::PathBuf;
use tokio::sync::{mpsc, oneshot};

/// The number up to which all records are persisted, or why the disk can no longer be used.
pub(super) type WriteResult = Result<u64, StoreError>;

/// The controller's ends of the channels to the disk thread.
pub(super) struct DiskThread {
    /// The state in the store, once the store is open.
    pub(super) open_result: oneshot::Receiver<Result<StoredState, StoreError>>,
    /// One result per written batch, so the number of results is bounded by that of the batches.
    pub(super) results: mpsc::UnboundedReceiver<WriteResult>,
    pub(super) writer: DiskWriter,
}

/// Queues records for the disk thread.
pub(super) struct DiskWriter {
    queue: WriteQueue,
    /// Sends to `results`. The sender is weak, because the disk thread owns the only strong one, so
    /// that the end of the thread closes the channel.
    failures: mpsc::WeakUnboundedSender<WriteResult>,
}

impl DiskThread {
    /// Starts a thread that opens the store in this directory, with retries until that succeeds.
    pub(super) fn start(data_dir: PathBuf) -> DiskThread {
        let (queue, records) = write_queue();
        let (sender, results) = mpsc::unbounded_channel();
        let (open_result_sender, open_result) = oneshot::channel();
        let failures = sender.downgrade();
        std::thread::spawn(move || {
            match Store::open_with_retries(Directory::new(&data_dir), StoreLimits::default()) {
                Ok((store, stored)) => {
                    if open_result_sender.send(Ok(stored)).is_ok() {
                        store.run(&records, |result| sender.send(result).is_ok());
                    }
                }
                // The receiver of the open result is gone if the process is ending.
                Err(error) => drop(open_result_sender.send(Err(error))),
            }
        });
        DiskThread {
            open_result,
            results,
            writer: DiskWriter { queue, failures },
        }
    }
}

impl DiskWriter {
    /// Queues a record. The queue is full only if the disk has stopped working; like a failed
    /// write, this ends the process.
    pub(super) fn write(&self, record: StoreRecord) {
        if let Err(error) = self.queue.push(record) {
            log::error!("event=write_queue_full {error}");
            if let Some(failures) = self.failures.upgrade() {
                let _ = failures.send(Err(error));
            }
        }
    }
}
