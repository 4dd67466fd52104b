//! Messages of the `KV` service, and the key and event of `mvccpb`.

use prost::{Message, Oneof};

/// Header of every response.
#[derive(Clone, PartialEq, Message)]
pub struct ResponseHeader {
    /// Id of the cluster that responded.
    #[prost(uint64, tag = "1")]
    pub cluster_id: u64,
    /// Id of the member that responded.
    #[prost(uint64, tag = "2")]
    pub member_id: u64,
    /// Revision of the store when the member responded.
    #[prost(int64, tag = "3")]
    pub revision: i64,
    /// Raft term of the member.
    #[prost(uint64, tag = "4")]
    pub raft_term: u64,
}

/// A key and its value.
#[derive(Clone, PartialEq, Message)]
pub struct KeyValue {
    /// Key.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// Revision at which the key was created last.
    #[prost(int64, tag = "2")]
    pub create_revision: i64,
    /// Revision at which the key was modified last.
    #[prost(int64, tag = "3")]
    pub mod_revision: i64,
    /// Modifications since the creation, which counts as 1.
    #[prost(int64, tag = "4")]
    pub version: i64,
    /// Value.
    #[prost(bytes = "vec", tag = "5")]
    pub value: Vec<u8>,
    /// Lease that the key is attached to; 0 for none.
    #[prost(int64, tag = "6")]
    pub lease: i64,
}

/// A change of a key (`mvccpb.Event`).
#[derive(Clone, PartialEq, Message)]
pub struct Event {
    /// Kind of the change: [`Event::PUT`] or [`Event::DELETE`] (`type` in the published file).
    #[prost(int32, tag = "1")]
    pub kind: i32,
    /// The key after the change; for a deletion only its name and `mod_revision`.
    #[prost(message, optional, tag = "2")]
    pub kv: Option<KeyValue>,
    /// The key before the change, if it was requested.
    #[prost(message, optional, tag = "3")]
    pub prev_kv: Option<KeyValue>,
}

impl Event {
    /// A key was written.
    pub const PUT: i32 = 0;
    /// A key was removed.
    pub const DELETE: i32 = 1;
}

/// Reads a range of keys.
#[derive(Clone, PartialEq, Message)]
pub struct RangeRequest {
    /// First key of the range.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// End of the range, exclusive: empty for the single key, one zero byte for all keys from `key`
    /// on.
    #[prost(bytes = "vec", tag = "2")]
    pub range_end: Vec<u8>,
    /// Maximum number of keys; 0 for no limit.
    #[prost(int64, tag = "3")]
    pub limit: i64,
    /// Revision to read at; 0 for the current one.
    #[prost(int64, tag = "4")]
    pub revision: i64,
    /// Order of the keys: 0 unspecified, 1 ascending, 2 descending.
    #[prost(int32, tag = "5")]
    pub sort_order: i32,
    /// Field to order by; 0 for the key.
    #[prost(int32, tag = "6")]
    pub sort_target: i32,
    /// Whether the member may respond from its own state, which may be stale; otherwise the read
    /// is linearizable.
    #[prost(bool, tag = "7")]
    pub serializable: bool,
    /// Whether values are left out.
    #[prost(bool, tag = "8")]
    pub keys_only: bool,
    /// Whether the response has only the number of keys.
    #[prost(bool, tag = "9")]
    pub count_only: bool,
}

/// Keys of a range.
#[derive(Clone, PartialEq, Message)]
pub struct RangeResponse {
    /// Response header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// The keys.
    #[prost(message, repeated, tag = "2")]
    pub kvs: Vec<KeyValue>,
    /// Whether there are more keys than the limit.
    #[prost(bool, tag = "3")]
    pub more: bool,
    /// Number of keys in the range, whatever the limit.
    #[prost(int64, tag = "4")]
    pub count: i64,
}

/// Writes a key.
#[derive(Clone, PartialEq, Message)]
pub struct PutRequest {
    /// Key.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// Value.
    #[prost(bytes = "vec", tag = "2")]
    pub value: Vec<u8>,
    /// Lease to attach the key to; 0 for none.
    #[prost(int64, tag = "3")]
    pub lease: i64,
    /// Whether the response includes the previous key.
    #[prost(bool, tag = "4")]
    pub prev_kv: bool,
}

/// Response to a write.
#[derive(Clone, PartialEq, Message)]
pub struct PutResponse {
    /// Response header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// The previous key, if it was requested and existed.
    #[prost(message, optional, tag = "2")]
    pub prev_kv: Option<KeyValue>,
}

/// Deletes a range of keys.
#[derive(Clone, PartialEq, Message)]
pub struct DeleteRangeRequest {
    /// First key of the range.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// End of the range, as in [`RangeRequest::range_end`].
    #[prost(bytes = "vec", tag = "2")]
    pub range_end: Vec<u8>,
    /// Whether the response includes the deleted keys.
    #[prost(bool, tag = "3")]
    pub prev_kv: bool,
}

/// Response to a deletion.
#[derive(Clone, PartialEq, Message)]
pub struct DeleteRangeResponse {
    /// Response header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// Number of keys deleted.
    #[prost(int64, tag = "2")]
    pub deleted: i64,
    /// The deleted keys, if they were requested.
    #[prost(message, repeated, tag = "3")]
    pub prev_kvs: Vec<KeyValue>,
}

/// An operation of a transaction.
#[derive(Clone, PartialEq, Message)]
pub struct RequestOp {
    /// The operation.
    #[prost(oneof = "request_op::Request", tags = "1, 2, 3")]
    pub request: Option<request_op::Request>,
}

/// The variants of [`RequestOp`].
pub mod request_op {
    /// An operation.
    #[derive(Clone, PartialEq, super::Oneof)]
    pub enum Request {
        /// Reads keys.
        #[prost(message, tag = "1")]
        Range(super::RangeRequest),
        /// Writes a key.
        #[prost(message, tag = "2")]
        Put(super::PutRequest),
        /// Deletes keys.
        #[prost(message, tag = "3")]
        DeleteRange(super::DeleteRangeRequest),
    }
}

/// The response to an operation of a transaction.
#[derive(Clone, PartialEq, Message)]
pub struct ResponseOp {
    /// The response.
    #[prost(oneof = "response_op::Response", tags = "1, 2, 3")]
    pub response: Option<response_op::Response>,
}

/// The variants of [`ResponseOp`].
pub mod response_op {
    /// The response to an operation.
    #[derive(Clone, PartialEq, super::Oneof)]
    pub enum Response {
        /// Response to a read.
        #[prost(message, tag = "1")]
        Range(super::RangeResponse),
        /// Response to a write.
        #[prost(message, tag = "2")]
        Put(super::PutResponse),
        /// Response to a deletion.
        #[prost(message, tag = "3")]
        DeleteRange(super::DeleteRangeResponse),
    }
}

/// A condition of a transaction.
#[derive(Clone, PartialEq, Message)]
pub struct Compare {
    /// Operator: 0 equal, 1 greater, 2 less, 3 not equal.
    #[prost(int32, tag = "1")]
    pub result: i32,
    /// What is compared: 0 version, 1 create revision, 2 mod revision, 3 value, 4 lease.
    #[prost(int32, tag = "2")]
    pub target: i32,
    /// Key whose field is compared.
    #[prost(bytes = "vec", tag = "3")]
    pub key: Vec<u8>,
    /// Value to compare with, of the target's type.
    #[prost(oneof = "compare::Union", tags = "4, 5, 6, 7, 8")]
    pub union: Option<compare::Union>,
}

/// The variants of [`Compare::union`].
pub mod compare {
    /// Value to compare with.
    #[derive(Clone, PartialEq, super::Oneof)]
    pub enum Union {
        /// Version.
        #[prost(int64, tag = "4")]
        Version(i64),
        /// Create revision (`create_revision`).
        #[prost(int64, tag = "5")]
        Create(i64),
        /// Mod revision (`mod_revision`).
        #[prost(int64, tag = "6")]
        Mod(i64),
        /// Value.
        #[prost(bytes, tag = "7")]
        Value(Vec<u8>),
        /// Lease.
        #[prost(int64, tag = "8")]
        Lease(i64),
    }
}

/// A transaction: operations that are applied at one revision.
#[derive(Clone, PartialEq, Message)]
pub struct TxnRequest {
    /// Conditions.
    #[prost(message, repeated, tag = "1")]
    pub compare: Vec<Compare>,
    /// Operations if all conditions are met.
    #[prost(message, repeated, tag = "2")]
    pub success: Vec<RequestOp>,
    /// Operations if a condition is not met.
    #[prost(message, repeated, tag = "3")]
    pub failure: Vec<RequestOp>,
}

/// Response to a transaction.
#[derive(Clone, PartialEq, Message)]
pub struct TxnResponse {
    /// Response header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// Whether all conditions were met.
    #[prost(bool, tag = "2")]
    pub succeeded: bool,
    /// Responses to the operations that were applied, in their order.
    #[prost(message, repeated, tag = "3")]
    pub responses: Vec<ResponseOp>,
}

/// Compacts the history: drops what is before a revision.
#[derive(Clone, PartialEq, Message)]
pub struct CompactionRequest {
    /// Oldest revision to keep.
    #[prost(int64, tag = "1")]
    pub revision: i64,
    /// Whether to respond only after the history is removed from the disk.
    #[prost(bool, tag = "2")]
    pub physical: bool,
}

/// A response that has only a header (`CompactionResponse`, `LeaseRevokeResponse`).
#[derive(Clone, PartialEq, Message)]
pub struct HeaderResponse {
    /// Response header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
}
