//! Messages of the `Auth` and `Maintenance` services.

use crate::kv::ResponseHeader;
use prost::Message;

/// Requests a token.
#[derive(Clone, PartialEq, Message)]
pub struct AuthenticateRequest {
    /// User.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Password.
    #[prost(string, tag = "2")]
    pub password: String,
}

/// Response with a token.
#[derive(Clone, PartialEq, Message)]
pub struct AuthenticateResponse {
    /// Response header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// Token, sent with every call as metadata `token`.
    #[prost(string, tag = "2")]
    pub token: String,
}

/// Status of a member.
#[derive(Clone, PartialEq, Message)]
pub struct StatusResponse {
    /// Response header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// Version of etcd.
    #[prost(string, tag = "2")]
    pub version: String,
    /// Member id of the leader; 0 for none.
    #[prost(uint64, tag = "4")]
    pub leader: u64,
}
