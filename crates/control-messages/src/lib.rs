//! What processes of the system say to one another. A frame is four bytes of length, the highest first, and a [`Frame`] as
//! prost writes it. The first frame on a connection is a [`Hello`]; one that is none ends it.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use maplefall_gateway_config::{Change, Item};
use maplefall_quota_lease::{Lent, Report};
use maplefall_service_registry::Word;
use prost::Message;
use std::fmt;

/// Longest frame.
pub const LONGEST: usize = 64 << 20;
/// What a hello begins with: who does not speak this does not belong here.
pub const VERSION: u32 = 2;

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
    pub life: u64,
    /// Whether it is an exchange; otherwise it is a door.
    #[prost(bool, tag = "5")]
    pub exchange: bool,
    /// A door's index of the configuration; nought for none.
    #[prost(uint64, tag = "6")]
    pub index: u64,
}

/// One change that is agreed on.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Numbered {
    /// Its index.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The change.
    #[prost(message, optional, tag = "2")]
    pub change: Option<Change>,
}

/// The configuration: what has changed, or all.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Plans {
    /// Where nought: `items` is all that stands at `index`. Otherwise `changes` are all after this index, up to `index`.
    #[prost(uint64, tag = "1")]
    pub after: u64,
    /// The index that holds with this.
    #[prost(uint64, tag = "2")]
    pub index: u64,
    /// The changes.
    #[prost(message, repeated, tag = "3")]
    pub changes: Vec<Numbered>,
    /// All items, dropped ones too.
    #[prost(message, repeated, tag = "4")]
    pub items: Vec<Item>,
    /// Exchanges there are, by address.
    #[prost(string, repeated, tag = "5")]
    pub exchanges: Vec<String>,
}

/// Words about backends.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Words {
    /// The words.
    #[prost(message, repeated, tag = "1")]
    pub words: Vec<Word>,
    /// Whether they are all that the exchange knows, and it has been listening for long enough to know all.
    #[prost(bool, tag = "2")]
    pub all: bool,
    /// Where not nought: the receiver is to say [`Frame::Heard`] with this number.
    #[prost(uint64, tag = "3")]
    pub receipt: u64,
}

/// A sign of life of a backend.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Seen {
    /// Its id.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Number of its call.
    #[prost(uint64, tag = "2")]
    pub seq: u64,
}

/// Signs of life of backends.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Alive {
    /// Whose.
    #[prost(message, repeated, tag = "1")]
    pub seen: Vec<Seen>,
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
    Tandem(maplefall_raft::Message),
    /// Words about backends.
    #[prost(message, tag = "3")]
    Words(Words),
    /// Between exchanges: words with this receipt have come.
    #[prost(uint64, tag = "4")]
    Heard(u64),
    /// Between exchanges: signs of life.
    #[prost(message, tag = "5")]
    Alive(Alive),
    /// To a door: the configuration.
    #[prost(message, tag = "6")]
    Plans(Plans),
    /// From a door.
    #[prost(message, tag = "7")]
    Report(Report),
    /// To a door.
    #[prost(message, tag = "8")]
    Lent(Lent),
    /// The receiver is to say [`Frame::Echo`] with this number.
    #[prost(uint64, tag = "9")]
    Ping(u64),
    /// The ping of this number, and all before it, have been read.
    #[prost(uint64, tag = "10")]
    Echo(u64),
    /// Bytes of a long frame: pings go between its parts.
    #[prost(message, tag = "11")]
    Part(Part),
}

/// Bytes of a long frame as [`write`] gives them, in order.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Part {
    /// The bytes.
    #[prost(bytes = "bytes", tag = "1")]
    pub bytes: Bytes,
    /// Whether they are its last.
    #[prost(bool, tag = "2")]
    pub last: bool,
}

/// Why bytes are no frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Broken {
    /// Longer than [`LONGEST`].
    TooLong(usize),
    /// Not what prost writes, or of a kind that is not known.
    Unreadable,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Broken::TooLong(length) => write!(f, "step=frame length={length}"),
            Broken::Unreadable => write!(f, "step=decode"),
        }
    }
}

impl std::error::Error for Broken {}

/// A frame as it goes over the wire.
pub fn write(frame: Frame) -> Bytes {
    let envelope = Envelope { frame: Some(frame) };
    let length = envelope.encoded_len();
    let mut bytes = BytesMut::with_capacity(4 + length);
    bytes.put_u32(length as u32);
    // There is room for all of it.
    let _ = envelope.encode(&mut bytes);
    bytes.freeze()
}

/// Takes one whole frame off the front of what has come; `None` until there is one.
pub fn read(come: &mut BytesMut) -> Result<Option<Frame>, Broken> {
    let Some(length) = come.get(..4).map(|mut head| head.get_u32() as usize) else {
        return Ok(None);
    };
    if length > LONGEST {
        return Err(Broken::TooLong(length));
    }
    if come.len() < 4 + length {
        return Ok(None);
    }
    come.advance(4);
    let bytes = come.split_to(length).freeze();
    let envelope = Envelope::decode(bytes).map_err(|_| Broken::Unreadable)?;
    envelope.frame.map(Some).ok_or(Broken::Unreadable)
}
