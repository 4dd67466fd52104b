//! The records written to the log: numbered, with several to a frame.
//!
//! Records are numbered consecutively from 1. The protobuf tags are fixed, because disks contain
//! what earlier versions wrote.

use super::error::Error;
use super::frame::Frame;
use maplefall_raft::PersistentUpdate;
use maplefall_service_registry::InstanceRecord;
use prost::Message;

/// The format version that is written and read.
pub(super) const FORMAT_VERSION: u32 = 2;

/// One change of the durable state ([`StoredState`](super::StoredState)).
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct StoreRecord {
    /// The record's number, one above that of the previous record.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Change of the Raft state.
    #[prost(message, optional, tag = "2")]
    pub raft: Option<PersistentUpdate>,
    /// Proxies that may hold a quota lease of this controller from this record on.
    #[prost(string, repeated, tag = "3")]
    pub leased_to: Vec<String>,
    /// Records of backend instances, which replace earlier ones of the same instance.
    #[prost(message, repeated, tag = "4")]
    pub instances: Vec<InstanceRecord>,
    /// Whether `leased_to` contains every proxy that may hold a quota lease of this controller,
    /// from this record on.
    #[prost(bool, tag = "8")]
    pub leased_to_complete: bool,
    /// Raft indices of the entries whose quota slots this controller has waited for before leasing
    /// them.
    #[prost(uint64, repeated, tag = "9")]
    pub waited_slots: Vec<u64>,
    /// Proxies that no longer hold a quota lease of this controller.
    #[prost(string, repeated, tag = "10")]
    pub released: Vec<String>,
}

/// The payload of one frame of a segment.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Batch {
    /// Format version: 2.
    #[prost(uint32, tag = "1")]
    pub format: u32,
    /// The records, in order of their numbers.
    #[prost(message, repeated, tag = "2")]
    pub records: Vec<StoreRecord>,
}

impl Batch {
    /// Creates a batch in the current format.
    pub(super) fn new(records: Vec<StoreRecord>) -> Batch {
        Batch {
            format: FORMAT_VERSION,
            records,
        }
    }

    /// Encodes the batch as a frame.
    pub(super) fn to_frame(&self) -> Frame {
        Frame::encode(self.encoded_len(), |bytes| self.encode_raw(bytes))
    }

    /// Returns the number of the last record, 0 if there is none.
    pub(super) fn last_number(&self) -> u64 {
        self.records.last().map_or(0, |record| record.number)
    }

    /// Checks, before anything is written, that the records follow the record `number` without a
    /// gap, because recovery treats a gap as lost records.
    pub(super) fn check_follows(&self, number: u64) -> Result<(), Error> {
        for (expected, record) in (number + 1..).zip(&self.records) {
            if record.number != expected {
                return Err(Error::OutOfOrder {
                    expected,
                    actual: record.number,
                });
            }
        }
        Ok(())
    }
}
