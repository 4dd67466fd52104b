//! The bounded queue from the controller to the disk thread.
//!
//! Invariant: records leave the queue in order and without a gap. The first record that exceeds the
//! capacity closes the queue permanently, because a later record on the disk would imply that all
//! records before it are there too.

use super::error::Error;
use super::record::{Batch, StoreRecord};
use prost::Message;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{mpsc, Arc};

/// Maximum number of queued records.
const MAX_QUEUED_RECORDS: usize = 65_536;
/// Maximum bytes of queued records; a single record may be longer. An eighth of the memory of a
/// controller's machine.
const MAX_QUEUED_BYTES: usize = 32 << 20;

/// The sending end. Dropping it ends [`Store::run`](super::Store::run) once all records are
/// written.
pub struct WriteQueue {
    sender: mpsc::SyncSender<StoreRecord>,
    queued_bytes: Arc<AtomicUsize>,
    closed: AtomicBool,
}

/// The receiving end, for [`Store::run`](super::Store::run).
pub struct WriteQueueReceiver {
    receiver: mpsc::Receiver<StoreRecord>,
    queued_bytes: Arc<AtomicUsize>,
}

/// Creates a queue of at most 65,536 records and 32 MiB; a single record may be longer.
pub fn write_queue() -> (WriteQueue, WriteQueueReceiver) {
    let (sender, receiver) = mpsc::sync_channel(MAX_QUEUED_RECORDS);
    let queued_bytes = Arc::new(AtomicUsize::new(0));
    (
        WriteQueue {
            sender,
            queued_bytes: queued_bytes.clone(),
            closed: AtomicBool::new(false),
        },
        WriteQueueReceiver {
            receiver,
            queued_bytes,
        },
    )
}

impl WriteQueue {
    /// Queues a record without waiting.
    ///
    /// # Errors
    ///
    /// [`Error::QueueFull`] if the queue has no capacity for the record, if the disk thread has
    /// ended, or once a record was rejected.
    pub fn push(&self, record: StoreRecord) -> Result<(), Error> {
        let (number, record_bytes) = (record.number, record.encoded_len());
        if self.closed.load(Ordering::Acquire) || !self.has_capacity(record_bytes) {
            return Err(self.close(number));
        }
        self.queued_bytes.fetch_add(record_bytes, Ordering::AcqRel);
        self.sender.try_send(record).map_err(|_| self.close(number))
    }

    fn has_capacity(&self, record_bytes: usize) -> bool {
        let queued_bytes = self.queued_bytes.load(Ordering::Acquire);
        queued_bytes == 0 || queued_bytes + record_bytes <= MAX_QUEUED_BYTES
    }

    fn close(&self, number: u64) -> Error {
        self.closed.store(true, Ordering::Release);
        Error::QueueFull { number }
    }
}

impl WriteQueueReceiver {
    /// Waits for the next record. Returns `Disconnected` once the sending end is dropped and all
    /// records are taken.
    pub(super) fn recv(&self) -> Result<StoreRecord, mpsc::TryRecvError> {
        self.receiver
            .recv()
            .map_err(|_| mpsc::TryRecvError::Disconnected)
    }

    /// Returns the next record, if there is one.
    pub(super) fn try_recv(&self) -> Result<StoreRecord, mpsc::TryRecvError> {
        self.receiver.try_recv()
    }

    /// Builds a batch from this record and those queued behind it, until it has `max_bytes`: the
    /// longer the disk takes, the more records share one sync.
    pub(super) fn batch_from(&self, first: StoreRecord, max_bytes: usize) -> Batch {
        let mut batch_bytes = first.encoded_len();
        let mut records = vec![first];
        while batch_bytes < max_bytes {
            let Ok(next) = self.receiver.try_recv() else {
                break;
            };
            batch_bytes += next.encoded_len();
            records.push(next);
        }
        Batch::new(records)
    }

    /// Frees the capacity taken by the records of a batch, once they are durable.
    pub(super) fn release(&self, batch: &Batch) {
        let batch_bytes = batch.records.iter().map(Message::encoded_len).sum();
        self.queued_bytes.fetch_sub(batch_bytes, Ordering::AcqRel);
    }
}
