//! Messages between the lease client of a proxy and the lease server of a controller. The prost tags are the wire format and are never
//! reused. Every message carries what the receiver needs to recognise a stale one: sequence numbers and the incarnations of both ends
//! (`docs/design/control-leases.md`, section on fencing).

/// A proxy's share of a tenant's quota.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Lease {
    /// Name of the tenant.
    #[prost(string, tag = "1")]
    pub tenant: String,
    /// The share, in parts per million of the whole quota.
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

/// Sent by a proxy to a controller at intervals: renews the proxy's leases, acknowledges grants and reports demand.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct LeaseRequest {
    /// Sequence number of this request; it rises over all connections of one incarnation of the proxy.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Sequence number of the last grant that the proxy has applied.
    #[prost(uint64, tag = "2")]
    pub acknowledged: u64,
    /// All leases that the proxy has from this server; empty unless `full`.
    #[prost(message, repeated, tag = "3")]
    pub leases: Vec<Lease>,
    /// Whether `leases` is filled in: on every request of a connection until one of them is answered.
    #[prost(bool, tag = "4")]
    pub full: bool,
    /// Recent demand of each tenant; tenants without any are left out.
    #[prost(message, repeated, tag = "5")]
    pub demand: Vec<Demand>,
    /// The proxy shuts down: it gives back all its leases and admits no further request.
    #[prost(bool, tag = "6")]
    pub release: bool,
    /// Incarnation of the server whose grants `acknowledged` counts; zero before the first grant on a connection.
    #[prost(fixed32, tag = "7")]
    pub server_incarnation: u32,
    /// The proxy requests single tokens, and needs no leases of quotas that are too small for them.
    #[prost(bool, tag = "8")]
    pub uses_tokens: bool,
}

/// Sent by a controller to a proxy: the answer to a [`LeaseRequest`], or a change of leases after it.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct LeaseGrant {
    /// Sequence number of this grant; it rises over all clients and connections of one incarnation of the server.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Sequence number of the request that is answered: the leases last from when that one was sent.
    #[prost(uint64, tag = "2")]
    pub request: u64,
    /// Leases that have changed since the grant that was acknowledged.
    #[prost(message, repeated, tag = "3")]
    pub leases: Vec<Lease>,
    /// Number of proxies that the server knows.
    #[prost(uint32, tag = "4")]
    pub client_count: u32,
    /// Incarnation of the proxy that the grant is for.
    #[prost(uint64, tag = "5")]
    pub client_incarnation: u64,
    /// Incarnation of the server; zero where the answered request already names it.
    #[prost(fixed32, tag = "6")]
    pub server_incarnation: u32,
    /// The server answers [`TokenRequest`]s. Earlier programs end a connection on which they get one.
    #[prost(bool, tag = "7")]
    pub grants_tokens: bool,
}

/// Tokens of one tenant.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct TokenCount {
    /// Name of the tenant.
    #[prost(string, tag = "1")]
    pub tenant: String,
    /// Their number.
    #[prost(uint32, tag = "2")]
    pub count: u32,
}

/// Sent by a proxy to a controller: requests that wait need tokens.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct TokenRequest {
    /// Sequence number of this request; it rises over all servers and connections of one incarnation of the proxy.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// What is needed.
    #[prost(message, repeated, tag = "2")]
    pub tokens: Vec<TokenCount>,
}

/// What a controller grants of one tenant's tokens.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct GrantedTokens {
    /// Name of the tenant.
    #[prost(string, tag = "1")]
    pub tenant: String,
    /// Tokens that the proxy may spend.
    #[prost(uint32, tag = "2")]
    pub count: u32,
    /// Milliseconds until the server has the next one.
    #[prost(uint32, tag = "3")]
    pub wait_ms: u32,
}

/// Sent by a controller to a proxy, on the connection of the request: the answer to a [`TokenRequest`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct TokenGrant {
    /// Sequence number of the request.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// What is granted, in the order of the request.
    #[prost(message, repeated, tag = "2")]
    pub tokens: Vec<GrantedTokens>,
}
