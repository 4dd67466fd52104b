//! etcd v3's messages, as far as they are used here (etcd's `api/etcdserverpb/rpc.proto`, `api/mvccpb/kv.proto`).
//!
//! They are written out by hand for `prost`'s derive, tag by tag, so that a build needs no compiler of proto files. Fields
//! that neither side uses are left out: by the rules of protobuf they are skipped when read.

use prost::{Message, Oneof};

/// Paths of the calls (gRPC: `/package.Service/Method`).
pub mod path {
    /// Keys at a revision.
    pub const RANGE: &str = "/etcdserverpb.KV/Range";
    /// One key written.
    pub const PUT: &str = "/etcdserverpb.KV/Put";
    /// Keys removed.
    pub const DELETE_RANGE: &str = "/etcdserverpb.KV/DeleteRange";
    /// Several at one revision.
    pub const TXN: &str = "/etcdserverpb.KV/Txn";
    /// History dropped.
    pub const COMPACT: &str = "/etcdserverpb.KV/Compact";
    /// Changes as they come.
    pub const WATCH: &str = "/etcdserverpb.Watch/Watch";
    /// A lease begun.
    pub const LEASE_GRANT: &str = "/etcdserverpb.Lease/LeaseGrant";
    /// A lease ended.
    pub const LEASE_REVOKE: &str = "/etcdserverpb.Lease/LeaseRevoke";
    /// A lease renewed.
    pub const LEASE_KEEP_ALIVE: &str = "/etcdserverpb.Lease/LeaseKeepAlive";
    /// What is left of a lease.
    pub const LEASE_TIME_TO_LIVE: &str = "/etcdserverpb.Lease/LeaseTimeToLive";
    /// User and password for a token.
    pub const AUTHENTICATE: &str = "/etcdserverpb.Auth/Authenticate";
    /// How a member is; client libraries ask it first.
    pub const STATUS: &str = "/etcdserverpb.Maintenance/Status";
}

/// Texts by which etcd tells failures apart (etcd's `api/v3rpc/rpctypes/error.go`).
pub mod error {
    /// The revision asked for has been compacted; `OutOfRange`.
    pub const COMPACTED: &str = "etcdserver: mvcc: required revision has been compacted";
    /// The revision asked for is yet to come; `OutOfRange`.
    pub const FUTURE: &str = "etcdserver: mvcc: required revision is a future revision";
    /// The token is none, or has run out; `Unauthenticated`.
    pub const TOKEN: &str = "etcdserver: invalid auth token";
    /// Users or roles have changed since the token was given; `InvalidArgument`.
    pub const OLD_AUTH: &str = "etcdserver: revision of auth store is old";
    /// Authentication is off; `FailedPrecondition`.
    pub const NOT_ENABLED: &str = "etcdserver: authentication is not enabled";
    /// A lease of that number is there; `FailedPrecondition`.
    pub const LEASE_EXISTS: &str = "etcdserver: lease already exists";
    /// A key twice in one transaction; `InvalidArgument`.
    pub const DUPLICATE: &str = "etcdserver: duplicate key given in txn request";
    /// A call without a key; `InvalidArgument`.
    pub const EMPTY_KEY: &str = "etcdserver: key is not provided";
    /// No such user, or not its password; `InvalidArgument`.
    pub const PASSWORD: &str = "etcdserver: authentication failed, invalid user ID or password";
    /// The user may not; `PermissionDenied`.
    pub const DENIED: &str = "etcdserver: permission denied";
    /// A call without a user where one is needed; `InvalidArgument`.
    pub const NO_USER: &str = "etcdserver: user name is empty";
    /// No such lease; `NotFound`.
    pub const NO_LEASE: &str = "etcdserver: requested lease not found";
}

/// The end of the range of all keys that begin with `prefix`; empty for none.
pub fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < 0xff {
            end.push(last + 1);
            return end;
        }
    }
    // All bytes at their highest: every key from there on.
    vec![0]
}

/// Head of every answer.
#[derive(Clone, PartialEq, Message)]
pub struct ResponseHeader {
    /// Which cluster answered.
    #[prost(uint64, tag = "1")]
    pub cluster_id: u64,
    /// Which of its members.
    #[prost(uint64, tag = "2")]
    pub member_id: u64,
    /// The store's revision when it answered.
    #[prost(int64, tag = "3")]
    pub revision: i64,
    /// Raft's term.
    #[prost(uint64, tag = "4")]
    pub raft_term: u64,
}

/// One key.
#[derive(Clone, PartialEq, Message)]
pub struct KeyValue {
    /// The key.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// Revision at which it was last made.
    #[prost(int64, tag = "2")]
    pub create_revision: i64,
    /// Revision at which it was last changed.
    #[prost(int64, tag = "3")]
    pub mod_revision: i64,
    /// Changes since it was made, from 1.
    #[prost(int64, tag = "4")]
    pub version: i64,
    /// The value.
    #[prost(bytes = "vec", tag = "5")]
    pub value: Vec<u8>,
    /// The lease that it hangs on; 0 for none.
    #[prost(int64, tag = "6")]
    pub lease: i64,
}

/// One change.
#[derive(Clone, PartialEq, Message)]
pub struct Event {
    /// [`Event::PUT`] or [`Event::DELETE`].
    #[prost(int32, tag = "1")]
    pub kind: i32,
    /// The key; after a removal only the key and the revision.
    #[prost(message, optional, tag = "2")]
    pub kv: Option<KeyValue>,
    /// The key as it was, where it was asked for.
    #[prost(message, optional, tag = "3")]
    pub prev_kv: Option<KeyValue>,
}

impl Event {
    /// A key was written.
    pub const PUT: i32 = 0;
    /// A key was removed.
    pub const DELETE: i32 = 1;
}

/// Asks for keys.
#[derive(Clone, PartialEq, Message)]
pub struct RangeRequest {
    /// The first.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// Behind the last; empty for the one key, one zero byte for all from it on.
    #[prost(bytes = "vec", tag = "2")]
    pub range_end: Vec<u8>,
    /// Most keys; 0 for all.
    #[prost(int64, tag = "3")]
    pub limit: i64,
    /// At which revision; 0 for now.
    #[prost(int64, tag = "4")]
    pub revision: i64,
    /// Order: 0 as they are, 1 rising, 2 falling.
    #[prost(int32, tag = "5")]
    pub sort_order: i32,
    /// What orders: 0 the key.
    #[prost(int32, tag = "6")]
    pub sort_target: i32,
    /// Whether the member may answer by itself, perhaps from the past.
    #[prost(bool, tag = "7")]
    pub serializable: bool,
    /// Without values.
    #[prost(bool, tag = "8")]
    pub keys_only: bool,
    /// Only how many.
    #[prost(bool, tag = "9")]
    pub count_only: bool,
}

/// Keys.
#[derive(Clone, PartialEq, Message)]
pub struct RangeResponse {
    /// The head.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// The keys.
    #[prost(message, repeated, tag = "2")]
    pub kvs: Vec<KeyValue>,
    /// Whether there are more than the limit.
    #[prost(bool, tag = "3")]
    pub more: bool,
    /// How many there are in all.
    #[prost(int64, tag = "4")]
    pub count: i64,
}

/// Writes a key.
#[derive(Clone, PartialEq, Message)]
pub struct PutRequest {
    /// The key.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// The value.
    #[prost(bytes = "vec", tag = "2")]
    pub value: Vec<u8>,
    /// The lease; 0 for none.
    #[prost(int64, tag = "3")]
    pub lease: i64,
    /// Whether the old one is wanted.
    #[prost(bool, tag = "4")]
    pub prev_kv: bool,
}

/// A key was written.
#[derive(Clone, PartialEq, Message)]
pub struct PutResponse {
    /// The head.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// The old one.
    #[prost(message, optional, tag = "2")]
    pub prev_kv: Option<KeyValue>,
}

/// Removes keys.
#[derive(Clone, PartialEq, Message)]
pub struct DeleteRangeRequest {
    /// The first.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// Behind the last, as in [`RangeRequest::range_end`].
    #[prost(bytes = "vec", tag = "2")]
    pub range_end: Vec<u8>,
    /// Whether the old ones are wanted.
    #[prost(bool, tag = "3")]
    pub prev_kv: bool,
}

/// Keys were removed.
#[derive(Clone, PartialEq, Message)]
pub struct DeleteRangeResponse {
    /// The head.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// How many.
    #[prost(int64, tag = "2")]
    pub deleted: i64,
    /// The old ones.
    #[prost(message, repeated, tag = "3")]
    pub prev_kvs: Vec<KeyValue>,
}

/// One step of a transaction.
#[derive(Clone, PartialEq, Message)]
pub struct RequestOp {
    /// Which.
    #[prost(oneof = "request_op::Request", tags = "1, 2, 3")]
    pub request: Option<request_op::Request>,
}

/// What a [`RequestOp`] may be.
pub mod request_op {
    /// The step.
    #[derive(Clone, PartialEq, super::Oneof)]
    pub enum Request {
        /// Reads.
        #[prost(message, tag = "1")]
        Range(super::RangeRequest),
        /// Writes.
        #[prost(message, tag = "2")]
        Put(super::PutRequest),
        /// Removes.
        #[prost(message, tag = "3")]
        DeleteRange(super::DeleteRangeRequest),
    }
}

/// What came of one step.
#[derive(Clone, PartialEq, Message)]
pub struct ResponseOp {
    /// Which.
    #[prost(oneof = "response_op::Response", tags = "1, 2, 3")]
    pub response: Option<response_op::Response>,
}

/// What a [`ResponseOp`] may be.
pub mod response_op {
    /// What came of it.
    #[derive(Clone, PartialEq, super::Oneof)]
    pub enum Response {
        /// Read.
        #[prost(message, tag = "1")]
        Range(super::RangeResponse),
        /// Written.
        #[prost(message, tag = "2")]
        Put(super::PutResponse),
        /// Removed.
        #[prost(message, tag = "3")]
        DeleteRange(super::DeleteRangeResponse),
    }
}

/// A condition of a transaction.
#[derive(Clone, PartialEq, Message)]
pub struct Compare {
    /// 0 equal, 1 greater, 2 less, 3 not equal.
    #[prost(int32, tag = "1")]
    pub result: i32,
    /// 0 version, 1 create, 2 mod, 3 value, 4 lease.
    #[prost(int32, tag = "2")]
    pub target: i32,
    /// Of which key.
    #[prost(bytes = "vec", tag = "3")]
    pub key: Vec<u8>,
    /// Compared with what.
    #[prost(oneof = "compare::Union", tags = "4, 5, 6, 7, 8")]
    pub union: Option<compare::Union>,
}

/// What a [`Compare`] may be with.
pub mod compare {
    /// The other side.
    #[derive(Clone, PartialEq, super::Oneof)]
    pub enum Union {
        /// Version.
        #[prost(int64, tag = "4")]
        Version(i64),
        /// Revision at which the key was made.
        #[prost(int64, tag = "5")]
        Create(i64),
        /// Revision at which it was changed.
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

/// A transaction.
#[derive(Clone, PartialEq, Message)]
pub struct TxnRequest {
    /// The conditions.
    #[prost(message, repeated, tag = "1")]
    pub compare: Vec<Compare>,
    /// What is done if all hold.
    #[prost(message, repeated, tag = "2")]
    pub success: Vec<RequestOp>,
    /// What is done otherwise.
    #[prost(message, repeated, tag = "3")]
    pub failure: Vec<RequestOp>,
}

/// What came of a transaction.
#[derive(Clone, PartialEq, Message)]
pub struct TxnResponse {
    /// The head.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// Whether the conditions held.
    #[prost(bool, tag = "2")]
    pub succeeded: bool,
    /// What came of each step.
    #[prost(message, repeated, tag = "3")]
    pub responses: Vec<ResponseOp>,
}

/// Drops history.
#[derive(Clone, PartialEq, Message)]
pub struct CompactionRequest {
    /// What is older goes.
    #[prost(int64, tag = "1")]
    pub revision: i64,
    /// Whether to wait until it is gone from the disk.
    #[prost(bool, tag = "2")]
    pub physical: bool,
}

/// An answer that is only a head.
#[derive(Clone, PartialEq, Message)]
pub struct HeaderResponse {
    /// The head.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
}

/// What a client says on a watch.
#[derive(Clone, PartialEq, Message)]
pub struct WatchRequest {
    /// What.
    #[prost(oneof = "watch_request::Union", tags = "1, 2, 3")]
    pub union: Option<watch_request::Union>,
}

/// What a [`WatchRequest`] may be.
pub mod watch_request {
    /// What a client says.
    #[derive(Clone, PartialEq, super::Oneof)]
    pub enum Union {
        /// Begin.
        #[prost(message, tag = "1")]
        Create(super::WatchCreateRequest),
        /// End.
        #[prost(message, tag = "2")]
        Cancel(super::WatchCancelRequest),
        /// Say how far you are.
        #[prost(message, tag = "3")]
        Progress(super::WatchProgressRequest),
    }
}

/// Begins a watch.
#[derive(Clone, PartialEq, Message)]
pub struct WatchCreateRequest {
    /// The first key.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// Behind the last, as in [`RangeRequest::range_end`].
    #[prost(bytes = "vec", tag = "2")]
    pub range_end: Vec<u8>,
    /// From which revision; 0 for now.
    #[prost(int64, tag = "3")]
    pub start_revision: i64,
    /// Whether to say now and then that there is nothing new.
    #[prost(bool, tag = "4")]
    pub progress_notify: bool,
    /// Whether old values are wanted.
    #[prost(bool, tag = "6")]
    pub prev_kv: bool,
    /// A number for it; 0 lets the member choose.
    #[prost(int64, tag = "7")]
    pub watch_id: i64,
    /// Whether large answers may come in pieces.
    #[prost(bool, tag = "8")]
    pub fragment: bool,
}

/// Ends a watch.
#[derive(Clone, PartialEq, Message)]
pub struct WatchCancelRequest {
    /// Which.
    #[prost(int64, tag = "1")]
    pub watch_id: i64,
}

/// Asks how far the watches of the stream are.
#[derive(Clone, PartialEq, Message)]
pub struct WatchProgressRequest {}

/// What a member says on a watch.
#[derive(Clone, PartialEq, Message)]
pub struct WatchResponse {
    /// The head.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// Which watch; -1 for all of the stream, in answer to a [`WatchProgressRequest`].
    #[prost(int64, tag = "2")]
    pub watch_id: i64,
    /// It has begun.
    #[prost(bool, tag = "3")]
    pub created: bool,
    /// It has ended.
    #[prost(bool, tag = "4")]
    pub canceled: bool,
    /// It has ended since what it asks for is older than this, the oldest revision that is kept.
    #[prost(int64, tag = "5")]
    pub compact_revision: i64,
    /// Why it has ended.
    #[prost(string, tag = "6")]
    pub cancel_reason: String,
    /// Whether the answer goes on in the next one.
    #[prost(bool, tag = "7")]
    pub fragment: bool,
    /// The changes.
    #[prost(message, repeated, tag = "11")]
    pub events: Vec<Event>,
}

/// Begins a lease.
#[derive(Clone, PartialEq, Message)]
pub struct LeaseGrantRequest {
    /// For how many seconds.
    #[prost(int64, tag = "1")]
    pub ttl: i64,
    /// A number for it; 0 lets the member choose.
    #[prost(int64, tag = "2")]
    pub id: i64,
}

/// A lease has begun.
#[derive(Clone, PartialEq, Message)]
pub struct LeaseGrantResponse {
    /// The head.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// Its number.
    #[prost(int64, tag = "2")]
    pub id: i64,
    /// Its seconds.
    #[prost(int64, tag = "3")]
    pub ttl: i64,
    /// Why not.
    #[prost(string, tag = "4")]
    pub error: String,
}

/// Ends or renews a lease, or asks what is left of it.
#[derive(Clone, PartialEq, Message)]
pub struct LeaseRequest {
    /// Which.
    #[prost(int64, tag = "1")]
    pub id: i64,
}

/// What is left of a lease.
#[derive(Clone, PartialEq, Message)]
pub struct LeaseResponse {
    /// The head.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// Which.
    #[prost(int64, tag = "2")]
    pub id: i64,
    /// Seconds left; -1 (0 where it was renewed) if there is no such lease any more.
    #[prost(int64, tag = "3")]
    pub ttl: i64,
}

/// User and password.
#[derive(Clone, PartialEq, Message)]
pub struct AuthenticateRequest {
    /// The user.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The password.
    #[prost(string, tag = "2")]
    pub password: String,
}

/// A token.
#[derive(Clone, PartialEq, Message)]
pub struct AuthenticateResponse {
    /// The head.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// It goes with every call as metadata `token`.
    #[prost(string, tag = "2")]
    pub token: String,
}

/// How a member is.
#[derive(Clone, PartialEq, Message)]
pub struct StatusResponse {
    /// The head.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// Its version.
    #[prost(string, tag = "2")]
    pub version: String,
    /// The leader.
    #[prost(uint64, tag = "4")]
    pub leader: u64,
}

#[cfg(test)]
mod tests;
