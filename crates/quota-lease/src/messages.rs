//! Messages between the lease client of a proxy and the lease server of a controller. The prost
//! tags are the wire format and are never reused. Every message carries what its receiver needs to
//! detect a stale message: sequence numbers and the incarnations of both ends
//! (`docs/design/control-leases.md`, section on fencing).

/// A proxy's share of a tenant's quota.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Lease {
    /// Name of the tenant.
    #[prost(string, tag = "1")]
    pub tenant: String,
    /// The share, in parts per million of the full quota.
    #[prost(uint32, tag = "2")]
    pub ppm: u32,
}

/// A tenant's recent demand at one proxy.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Demand {
    /// Name of the tenant.
    #[prost(string, tag = "1")]
    pub tenant: String,
    /// Recent rate, in thousandths of a request per second.
    #[prost(uint32, tag = "2")]
    pub milli_rps: u32,
    /// Whether the proxy has recently rejected requests because its share of the quota was used up.
    #[prost(bool, tag = "3")]
    pub starved: bool,
}

/// Periodic message from a proxy to a controller: renews the proxy's leases, acknowledges grants
/// and reports demand.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct LeaseRequest {
    /// Sequence number of this request; it increases over all connections of one incarnation of the
    /// proxy.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Sequence number of the last grant that the proxy has applied.
    #[prost(uint64, tag = "2")]
    pub acknowledged: u64,
    /// All leases that the proxy has from this server; empty unless `full`.
    #[prost(message, repeated, tag = "3")]
    pub leases: Vec<Lease>,
    /// Whether `leases` is filled in: on every request of a connection until the first grant on it.
    #[prost(bool, tag = "4")]
    pub full: bool,
    /// Recent demand of each tenant; tenants without any are left out.
    #[prost(message, repeated, tag = "5")]
    pub demand: Vec<Demand>,
    /// The proxy shuts down: it releases all its leases and admits no further request.
    #[prost(bool, tag = "6")]
    pub release: bool,
    /// Incarnation of the server whose grants `acknowledged` counts; zero before the first grant on
    /// a connection.
    #[prost(fixed32, tag = "7")]
    pub server_incarnation: u32,
    /// The proxy requests single tokens, and needs no leases of quotas that are too small for
    /// leases.
    #[prost(bool, tag = "8")]
    pub uses_tokens: bool,
}

/// Message from a controller to a proxy: the response to a [`LeaseRequest`], or a later change of
/// leases.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct LeaseGrant {
    /// Sequence number of this grant; it increases over all clients and connections of one
    /// incarnation of the server.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Sequence number of the client's last request: the leases last from when that one was sent.
    #[prost(uint64, tag = "2")]
    pub request: u64,
    /// Leases that have changed since the last acknowledged grant.
    #[prost(message, repeated, tag = "3")]
    pub leases: Vec<Lease>,
    /// Number of clients of the server.
    #[prost(uint32, tag = "4")]
    pub client_count: u32,
    /// Incarnation of the proxy that the grant is for.
    #[prost(uint64, tag = "5")]
    pub client_incarnation: u64,
    /// Incarnation of the server; zero if the request already carries it.
    #[prost(fixed32, tag = "6")]
    pub server_incarnation: u32,
    /// The server handles [`TokenRequest`]s. Earlier releases close a connection on which they
    /// receive one.
    #[prost(bool, tag = "7")]
    pub grants_tokens: bool,
}

/// Tokens of one tenant.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct TokenCount {
    /// Name of the tenant.
    #[prost(string, tag = "1")]
    pub tenant: String,
    /// Number of tokens.
    #[prost(uint32, tag = "2")]
    pub count: u32,
}

/// Message from a proxy to a controller: requests tokens for pending requests.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct TokenRequest {
    /// Sequence number of this request; it increases over all servers and connections of one
    /// incarnation of the proxy.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// The requested tokens, by tenant.
    #[prost(message, repeated, tag = "2")]
    pub tokens: Vec<TokenCount>,
}

/// Tokens of one tenant that a controller grants.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct GrantedTokens {
    /// Name of the tenant.
    #[prost(string, tag = "1")]
    pub tenant: String,
    /// Tokens that the proxy may spend.
    #[prost(uint32, tag = "2")]
    pub count: u32,
    /// Milliseconds until the server has the next token.
    #[prost(uint32, tag = "3")]
    pub wait_ms: u32,
}

/// Message from a controller to a proxy, on the connection of the request: the response to a
/// [`TokenRequest`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct TokenGrant {
    /// Sequence number of the request.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// The granted tokens, in the order of the request.
    #[prost(message, repeated, tag = "2")]
    pub tokens: Vec<GrantedTokens>,
}
