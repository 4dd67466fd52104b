//! Messages of etcd's v3 API, as far as they are used here (etcd's `api/etcdserverpb/rpc.proto`,
//! `api/mvccpb/kv.proto`).
//!
//! They are written by hand for `prost`'s derive, so that a build needs no compiler of `.proto`
//! files. Fields that neither side uses are left out: protobuf skips unknown fields.
//!
//! Invariant: tags, types and field names are the published ones (`examples/dump.rs` prints every
//! message for a check against the published files). Where a Rust name differs, its doc names the
//! published one.

mod auth;
pub mod error;
mod kv;
mod lease;
pub mod path;
mod watch;

pub use auth::{AuthenticateRequest, AuthenticateResponse, StatusResponse};
pub use kv::{
    compare, request_op, response_op, CompactionRequest, Compare, DeleteRangeRequest,
    DeleteRangeResponse, Event, HeaderResponse, KeyValue, PutRequest, PutResponse, RangeRequest,
    RangeResponse, RequestOp, ResponseHeader, ResponseOp, TxnRequest, TxnResponse,
};
pub use lease::{LeaseGrantRequest, LeaseGrantResponse, LeaseRequest, LeaseResponse};
pub use watch::{
    watch_request, WatchCancelRequest, WatchCreateRequest, WatchProgressRequest, WatchRequest,
    WatchResponse,
};

/// Returns the `range_end` of all keys that begin with `prefix`: the prefix up to its last byte
/// below `0xff`, with that byte incremented. An empty prefix, or one of `0xff` bytes only, gives
/// one zero byte, which etcd reads as "no end".
pub fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < 0xff {
            end.push(last + 1);
            return end;
        }
    }
    // No greater prefix exists: the range has all keys from the prefix on.
    vec![0]
}

#[cfg(test)]
mod tests;
