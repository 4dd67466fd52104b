//! The record of one instance, as it is sent between processes and stored, and the order of two
//! records of the same instance.

/// The state of an instance. Later variants are further along in its life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum InstanceState {
    /// Accepts requests.
    Serving = 0,
    /// Accepts no new requests and completes those in flight.
    Draining = 1,
    /// No heartbeat arrived within the timeout. A later heartbeat makes the instance live again.
    Expired = 2,
    /// The instance has ended. This state is final.
    Deregistered = 3,
}

impl InstanceState {
    /// Returns whether the instance is serving or draining; otherwise its record is a tombstone.
    pub fn is_live(self) -> bool {
        matches!(self, InstanceState::Serving | InstanceState::Draining)
    }
}

/// The record of one instance. The prost tags are the wire and disk format.
///
/// Two records of one instance are ordered by their contents, not by when they arrive:
///
/// 1. a deregistration is later than everything else: an instance that has ended stays ended;
/// 2. otherwise the record with the higher `seq` is later, as the backend numbers its calls;
/// 3. with the same `seq`, the state that is further along is later: an instance expires after the
///    heartbeat with that `seq`.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct InstanceRecord {
    /// Id of the instance, unique to this start of the backend.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Name of its service; empty in a deregistration by a registry that does not know the
    /// instance.
    #[prost(string, tag = "2")]
    pub service: String,
    /// The IP address and port at which it accepts requests.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Its zone.
    #[prost(string, tag = "4")]
    pub zone: String,
    /// Number of requests that it processes concurrently.
    #[prost(uint32, tag = "5")]
    pub capacity: u32,
    /// Its [`InstanceState`].
    #[prost(enumeration = "InstanceState", tag = "6")]
    pub state: i32,
    /// Sequence number of the backend's call that this record comes from.
    #[prost(uint64, tag = "7")]
    pub seq: u64,
    /// Milliseconds until it has warmed up, counted from the sending of this record.
    #[prost(uint32, tag = "8")]
    pub warmup_left_ms: u32,
}

impl InstanceRecord {
    /// Returns the key by which two records of one instance are ordered.
    pub(crate) fn order(&self) -> RecordOrder {
        RecordOrder {
            deregistered: self.state() == InstanceState::Deregistered,
            seq: self.seq,
            state: self.state(),
        }
    }

    /// Returns whether proxies would treat the instance the same by either record: all fields
    /// except the sequence number and the warm-up time are equal.
    pub(crate) fn is_equivalent(&self, other: &InstanceRecord) -> bool {
        self.state == other.state
            && self.service == other.service
            && self.address == other.address
            && self.zone == other.zone
            && self.capacity == other.capacity
    }
}

/// Order of the records of one instance; see [`InstanceRecord`]. The order of the fields is the
/// order of comparison.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RecordOrder {
    deregistered: bool,
    seq: u64,
    state: InstanceState,
}
