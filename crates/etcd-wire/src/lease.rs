//! Messages of the `Lease` service.

use crate::kv::ResponseHeader;
use prost::Message;

/// Grants a lease.
#[derive(Clone, PartialEq, Message)]
pub struct LeaseGrantRequest {
    /// Time to live, in seconds (`TTL` in the published file).
    #[prost(int64, tag = "1")]
    pub ttl: i64,
    /// Id of the lease; 0 lets the member choose one (`ID` in the published file).
    #[prost(int64, tag = "2")]
    pub id: i64,
}

/// Response to a grant.
#[derive(Clone, PartialEq, Message)]
pub struct LeaseGrantResponse {
    /// Response header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// Id of the lease.
    #[prost(int64, tag = "2")]
    pub id: i64,
    /// Time to live, in seconds.
    #[prost(int64, tag = "3")]
    pub ttl: i64,
    /// Reason of a failure; empty for none.
    #[prost(string, tag = "4")]
    pub error: String,
}

/// Revokes or renews a lease, or requests its time to live (`LeaseRevokeRequest`,
/// `LeaseKeepAliveRequest`, `LeaseTimeToLiveRequest`).
#[derive(Clone, PartialEq, Message)]
pub struct LeaseRequest {
    /// Id of the lease.
    #[prost(int64, tag = "1")]
    pub id: i64,
}

/// Time to live of a lease (`LeaseKeepAliveResponse`, `LeaseTimeToLiveResponse`).
#[derive(Clone, PartialEq, Message)]
pub struct LeaseResponse {
    /// Response header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// Id of the lease.
    #[prost(int64, tag = "2")]
    pub id: i64,
    /// Remaining seconds; for a lease that does not exist -1, or 0 in response to a renewal.
    #[prost(int64, tag = "3")]
    pub ttl: i64,
}
