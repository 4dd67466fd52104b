//! What processes of the system say to one another. A frame is four bytes of length, the highest first, and a [`Frame`] as
//! prost writes it. The first frame on a connection is a [`Hello`]; one that is none ends it.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use maplefall_gateway_config::{Change, Item};
use maplefall_quota_lease::{LeaseGrant, LeaseRequest};
use maplefall_service_registry::InstanceRecord;
use prost::Message;
use std::fmt;

/// Longest frame.
pub const MAX_FRAME_BYTES: usize = 64 << 20;
/// What a hello begins with: who does not speak this does not belong here.
pub const PROTOCOL_VERSION: u32 = 2;

/// Who opens a connection.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Hello {
    /// [`VERSION`].
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// The machine's address.
    #[prost(string, tag = "2")]
    pub ip: String,
    /// The machine's name.
    #[prost(string, tag = "3")]
    pub node: String,
    /// This life of the process; never nought.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Whether it is an exchange; otherwise it is a door.
    #[prost(bool, tag = "5")]
    pub is_controller: bool,
    /// A door's index of the configuration; nought for none.
    #[prost(uint64, tag = "6")]
    pub config_index: u64,
}

/// One change that is agreed on.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct IndexedChange {
    /// Its index.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The change.
    #[prost(message, optional, tag = "2")]
    pub change: Option<Change>,
}

/// The configuration: what has changed, or all.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ConfigUpdate {
    /// Where nought: `items` is all that stands at `index`. Otherwise `changes` are all after this index, up to `index`.
    #[prost(uint64, tag = "1")]
    pub after: u64,
    /// The index that holds with this.
    #[prost(uint64, tag = "2")]
    pub index: u64,
    /// The changes.
    #[prost(message, repeated, tag = "3")]
    pub changes: Vec<IndexedChange>,
    /// All items, dropped ones too.
    #[prost(message, repeated, tag = "4")]
    pub items: Vec<Item>,
    /// Exchanges there are, by address.
    #[prost(string, repeated, tag = "5")]
    pub controllers: Vec<String>,
}

/// Words about backends.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct InstanceUpdates {
    /// The words.
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<InstanceRecord>,
    /// Whether they are all that the exchange knows, and it has been listening for long enough to know all.
    #[prost(bool, tag = "2")]
    pub complete: bool,
    /// Where not nought: the receiver is to say [`Frame::Heard`] with this number.
    #[prost(uint64, tag = "3")]
    pub ack_number: u64,
}

/// A sign of life of a backend.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Heartbeat {
    /// Its id.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Number of its call.
    #[prost(uint64, tag = "2")]
    pub seq: u64,
}

/// Signs of life of backends.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Heartbeats {
    /// Whose.
    #[prost(message, repeated, tag = "1")]
    pub heartbeats: Vec<Heartbeat>,
}

/// The only message on the wire.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Envelope {
    /// What it holds.
    #[prost(oneof = "Frame", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11")]
    pub frame: Option<Frame>,
}

/// What is said.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum Frame {
    /// Who speaks.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// Between exchanges: agreement.
    #[prost(message, tag = "2")]
    Raft(maplefall_raft::Message),
    /// Words about backends.
    #[prost(message, tag = "3")]
    InstanceUpdates(InstanceUpdates),
    /// Between exchanges: words with this receipt have come.
    #[prost(uint64, tag = "4")]
    InstancesPersisted(u64),
    /// Between exchanges: signs of life.
    #[prost(message, tag = "5")]
    Heartbeats(Heartbeats),
    /// To a door: the configuration.
    #[prost(message, tag = "6")]
    ConfigUpdate(ConfigUpdate),
    /// From a door.
    #[prost(message, tag = "7")]
    LeaseRequest(LeaseRequest),
    /// To a door.
    #[prost(message, tag = "8")]
    LeaseGrant(LeaseGrant),
    /// The receiver is to say [`Frame::Echo`] with this number.
    #[prost(uint64, tag = "9")]
    Ping(u64),
    /// The ping of this number, and all before it, have been read.
    #[prost(uint64, tag = "10")]
    Pong(u64),
    /// Bytes of a long frame: pings go between its parts.
    #[prost(message, tag = "11")]
    Chunk(Chunk),
}

/// Bytes of a long frame as [`write`] gives them, in order.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Chunk {
    /// The bytes.
    #[prost(bytes = "bytes", tag = "1")]
    pub data: Bytes,
    /// Whether they are its last.
    #[prost(bool, tag = "2")]
    pub last: bool,
}

/// Why bytes are no frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// Longer than [`LONGEST`].
    TooLong(usize),
    /// Not what prost writes, or of a kind that is not known.
    Malformed,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::TooLong(length) => write!(f, "step=frame length={length}"),
            FrameError::Malformed => write!(f, "step=decode"),
        }
    }
}

impl std::error::Error for FrameError {}

/// A frame as it goes over the wire.
pub fn encode_frame(frame: Frame) -> Bytes {
    let envelope = Envelope { frame: Some(frame) };
    let length = envelope.encoded_len();
    let mut bytes = BytesMut::with_capacity(4 + length);
    bytes.put_u32(length as u32);
    // There is room for all of it.
    let _ = envelope.encode(&mut bytes);
    bytes.freeze()
}

/// Takes one whole frame off the front of what has come; `None` until there is one.
pub fn decode_frame(come: &mut BytesMut) -> Result<Option<Frame>, FrameError> {
    let Some(length) = come.get(..4).map(|mut head| head.get_u32() as usize) else {
        return Ok(None);
    };
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong(length));
    }
    if come.len() < 4 + length {
        return Ok(None);
    }
    come.advance(4);
    let bytes = come.split_to(length).freeze();
    let envelope = Envelope::decode(bytes).map_err(|_| FrameError::Malformed)?;
    envelope.frame.map(Some).ok_or(FrameError::Malformed)
}
