//! The messages and their senders. Each message carries what the receiver needs to recognise a
//! stale one: indexes, sequence numbers or incarnations (table in
//! `docs/design/control-connections.md`).

use bytes::Bytes;
use maplefall_gateway_config::{Change, Item};
use maplefall_quota_lease::{LeaseGrant, LeaseRequest, TokenGrant, TokenRequest};
use maplefall_service_registry::InstanceRecord;

/// Version of this protocol, sent in every [`Hello`]. A process with another version is rejected.
pub const PROTOCOL_VERSION: u32 = 2;

/// First message of a connection: identifies the process that opened it.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Hello {
    /// [`PROTOCOL_VERSION`].
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// IP address of the machine.
    #[prost(string, tag = "2")]
    pub ip: String,
    /// Name of the machine.
    #[prost(string, tag = "3")]
    pub node: String,
    /// Incarnation of the process: different for each start, never zero.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Whether the process is a controller; otherwise it is a proxy.
    #[prost(bool, tag = "5")]
    pub is_controller: bool,
    /// Index of the configuration that a proxy has applied; zero for none. The controller sends the
    /// changes after it.
    #[prost(uint64, tag = "6")]
    pub config_index: u64,
    /// Whether a connection of this incarnation of a proxy to any controller has ended: the proxy
    /// may have missed the ends of instances that it knows.
    #[prost(bool, tag = "7")]
    pub may_have_missed_updates: bool,
}

/// One committed change of the configuration.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct IndexedChange {
    /// Index of the change in the log.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The change.
    #[prost(message, optional, tag = "2")]
    pub change: Option<Change>,
}

/// Sent by a controller to a proxy: committed configuration, either the changes since the proxy's
/// index or everything.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ConfigUpdate {
    /// If zero, `items` is the complete configuration at `index`. Otherwise `changes` are all
    /// changes after this index, up to `index`.
    #[prost(uint64, tag = "1")]
    pub after: u64,
    /// Index of the configuration once this update has been applied.
    #[prost(uint64, tag = "2")]
    pub index: u64,
    /// The changes, in the order of their indexes.
    #[prost(message, repeated, tag = "3")]
    pub changes: Vec<IndexedChange>,
    /// All items, including removed ones.
    #[prost(message, repeated, tag = "4")]
    pub items: Vec<Item>,
    /// Addresses of all controllers that are voters.
    #[prost(string, repeated, tag = "5")]
    pub controllers: Vec<String>,
}

/// Sent by a controller to proxies and other controllers: records of instances.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct InstanceUpdates {
    /// The records.
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<InstanceRecord>,
    /// Whether the records are complete: they are all instances known to the controller, and it has
    /// received heartbeats for long enough to know every instance. The receiver may expire
    /// instances that are missing.
    #[prost(bool, tag = "2")]
    pub complete: bool,
    /// If not zero, the receiver responds with a [`Frame::InstancesPersisted`] of this number.
    #[prost(uint64, tag = "3")]
    pub ack_number: u64,
}

/// A backend's heartbeat, as received by a controller.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Heartbeat {
    /// Id of the instance.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Sequence number of the backend's call.
    #[prost(uint64, tag = "2")]
    pub seq: u64,
}

/// Sent between controllers: heartbeats that the sender has received, so that no other controller
/// expires these instances.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Heartbeats {
    /// The heartbeats.
    #[prost(message, repeated, tag = "1")]
    pub heartbeats: Vec<Heartbeat>,
}

/// The outermost message on the wire, which contains one [`Frame`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Envelope {
    /// The message.
    #[prost(oneof = "Frame", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13")]
    pub frame: Option<Frame>,
}

/// Any message of the protocol.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum Frame {
    /// From the process that opened the connection, before any other message.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// Between controllers: log replication and elections.
    #[prost(message, tag = "2")]
    Raft(maplefall_raft::Message),
    /// From a controller to proxies and other controllers: which instances of backends exist.
    #[prost(message, tag = "3")]
    InstanceUpdates(InstanceUpdates),
    /// Between controllers: the records with this [`InstanceUpdates::ack_number`] have been
    /// persisted. The sender of the records waits for these messages before it responds to a
    /// backend's deregistration.
    #[prost(uint64, tag = "4")]
    InstancesPersisted(u64),
    /// Between controllers: heartbeats of instances without any other change.
    #[prost(message, tag = "5")]
    Heartbeats(Heartbeats),
    /// From a controller to a proxy: the configuration.
    #[prost(message, tag = "6")]
    ConfigUpdate(ConfigUpdate),
    /// From a proxy to a controller: renews quota leases and reports demand.
    #[prost(message, tag = "7")]
    LeaseRequest(LeaseRequest),
    /// From a controller to a proxy: the proxy's quota leases.
    #[prost(message, tag = "8")]
    LeaseGrant(LeaseGrant),
    /// From either end: the receiver responds with a [`Frame::Pong`] of this number.
    #[prost(uint64, tag = "9")]
    Ping(u64),
    /// The response to the ping of this number: that ping and all before it have been read.
    #[prost(uint64, tag = "10")]
    Pong(u64),
    /// From either end: part of a long frame, so that pings can be sent between the parts.
    #[prost(message, tag = "11")]
    Chunk(Chunk),
    /// From a proxy to a controller that has announced that it grants tokens: asks for tokens for
    /// pending requests.
    #[prost(message, tag = "12")]
    TokenRequest(TokenRequest),
    /// From a controller to a proxy: the response to a token request.
    #[prost(message, tag = "13")]
    TokenGrant(TokenGrant),
}

/// Part of an encoded frame (see [`encode_frame`](crate::encode_frame)). The chunks of a frame are
/// sent in order, without other chunks between them.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Chunk {
    /// The bytes.
    #[prost(bytes = "bytes", tag = "1")]
    pub data: Bytes,
    /// Whether this is the last chunk of the frame.
    #[prost(bool, tag = "2")]
    pub last: bool,
}
