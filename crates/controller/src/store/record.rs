//! What is written to the log: numbered records, several to a frame.
//!
//! Records are numbered from 1 without a gap. The tags are fixed: disks hold what earlier versions wrote.

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
    /// Its number, one above that of the record before.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Change of the Raft state.
    #[prost(message, optional, tag = "2")]
    pub raft: Option<PersistentUpdate>,
    /// Proxies that may have a quota lease of this controller from here on.
    #[prost(string, repeated, tag = "3")]
    pub leased_to: Vec<String>,
    /// Records of backend instances, which replace earlier ones of the same instance.
    #[prost(message, repeated, tag = "4")]
    pub instances: Vec<InstanceRecord>,
    /// From here on `leased_to` names every proxy that may have a quota lease of this controller.
    #[prost(bool, tag = "8")]
    pub leased_to_complete: bool,
    /// Raft indices of the entries whose quota slots this controller has waited for before it leases them.
    #[prost(uint64, repeated, tag = "9")]
    pub waited_slots: Vec<u64>,
    /// Proxies that have no quota lease of this controller any more.
    #[prost(string, repeated, tag = "10")]
    pub released: Vec<String>,
}

/// The payload of one frame of a segment.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Batch {
    /// Format version: 2.
    #[prost(uint32, tag = "1")]
    pub format: u32,
    /// In order of their numbers.
    #[prost(message, repeated, tag = "2")]
    pub records: Vec<StoreRecord>,
}

impl Batch {
    /// A batch of the current format.
    pub(super) fn new(records: Vec<StoreRecord>) -> Batch {
        Batch {
            format: FORMAT_VERSION,
            records,
        }
    }

    /// The frame that holds it.
    pub(super) fn to_frame(&self) -> Frame {
        Frame::encode(self.encoded_len(), |bytes| self.encode_raw(bytes))
    }

    /// Number of its last record, 0 if it has none.
    pub(super) fn last_number(&self) -> u64 {
        self.records.last().map_or(0, |record| record.number)
    }

    /// Checks that its records follow the one of this number without a gap, before anything is written: a start takes a gap for lost
    /// records.
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
