//! Datagrams between nodes: format, bounds and authenticator. The format is specified in `docs/shared-counts-wire.md`.
//!
//! Invariant: a datagram that cannot be read in full is rejected with a reason and nothing of it is applied. No list is longer than
//! its bytes, so no more is allocated than a small multiple of a datagram.

mod reader;
mod seal;
mod writer;

pub use reader::read;
pub use seal::Seal;
pub use writer::{count_bytes, digest_entry_bytes, Writer};

use crate::members::Heartbeat;
use crate::replica::Delta;
use crate::Life;
use std::net::SocketAddr;

/// The most bytes of a datagram.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// The most bytes of a node's name.
pub const MAX_NAME_BYTES: usize = 64;
/// The version of the protocol.
pub const VERSION: u8 = 1;
/// The bytes before the sections.
pub const HEAD_BYTES: usize = 4 + 1 + 1 + 8 * 6;
/// The bytes of a digest entry for estimates: the node, incarnation, uptime, version, age and known version at their usual sizes.
pub const USUAL_DIGEST_ENTRY_BYTES: usize = 8 + 7 + 5 + 5 + 4 + 5;
/// The bytes of a counts section before its counts, at their usual sizes: kind, length, node, incarnation, two versions.
pub const USUAL_COUNTS_HEAD_BYTES: usize = SECTION_HEAD_BYTES + 8 + 7 + 7 + 7;

const MAGIC: [u8; 4] = *b"MFSC";
/// The kind and the length of a section.
const SECTION_HEAD_BYTES: usize = 1 + 2;
/// The bytes of the authenticator: HMAC-SHA-256 truncated to half (RFC 2104, section 5).
const TAG_BYTES: usize = 16;
/// Marks an IPv4 address.
const IPV4: u8 = 4;
/// Marks an IPv6 address.
const IPV6: u8 = 6;

/// The kinds of sections.
mod section_kind {
    pub(super) const MEMBERS: u8 = 1;
    pub(super) const DIGEST: u8 = 2;
    pub(super) const WANT: u8 = 3;
    pub(super) const COUNTS: u8 = 4;
    pub(super) const STATUS_TEXT: u8 = 5;
    pub(super) const STATUS_PART: u8 = 6;
}

/// What a datagram is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Gives the sender's nonce and asks for the receiver's.
    Hello,
    /// Gossip: sections.
    Gossip,
    /// An operator's request for a part of the status.
    Ask,
    /// The response to [`Kind::Ask`].
    Told,
}

impl Kind {
    fn code(self) -> u8 {
        match self {
            Kind::Hello => 0,
            Kind::Gossip => 1,
            Kind::Ask => 2,
            Kind::Told => 3,
        }
    }

    fn from_code(code: u8) -> Option<Kind> {
        [Kind::Hello, Kind::Gossip, Kind::Ask, Kind::Told]
            .into_iter()
            .find(|kind| kind.code() == code)
    }
}

/// The header of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// What the datagram is for.
    pub kind: Kind,
    /// The sender.
    pub from: Life,
    /// Its number among all datagrams of the sender, from 1.
    pub number: u64,
    /// What the sender wants to see as `echo` in what it is sent.
    pub nonce: u64,
    /// The receiver's nonce as the sender last received it; 0 if never.
    pub echo: u64,
}

/// The name and address of a node, with a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberInfo {
    /// The last heartbeat of its current incarnation.
    pub heartbeat: Heartbeat,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Its name.
    pub name: String,
}

/// An entry of a digest: an incarnation's heartbeat, and the version up to which its counts are known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DigestEntry {
    /// The heartbeat.
    pub heartbeat: Heartbeat,
    /// The version up to which the sender has all its counts.
    pub known_version: u64,
}

/// A section of a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Section {
    /// Nodes that take part.
    Members(Vec<MemberInfo>),
    /// What the sender knows. The receiver sends what is missing there and requests what is missing here.
    Digest(Vec<DigestEntry>),
    /// What the sender is missing; the response has only counts.
    Want(Vec<DigestEntry>),
    /// Counts of one incarnation.
    Counts(Life, Delta),
    /// The number of parts of the status, and the text of one.
    StatusText(u32, Vec<u8>),
    /// The number of the requested part of the status.
    StatusPart(u32),
}

/// Why a datagram, or a part of it, is rejected. Operators see the variants' names.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum RejectReason {
    /// It is longer than [`MAX_DATAGRAM_BYTES`].
    TooLong,
    /// It is truncated, or there are bytes after its end.
    Cut,
    /// It is not of this protocol.
    Foreign,
    /// It is of another version of the protocol.
    OtherVersion,
    /// It is of another cluster.
    OtherCluster,
    /// Its authenticator is wrong.
    Forged,
    /// It was received before, or its sender's incarnation is outdated.
    Repeated,
    /// Its sender does not know the nonce of this process.
    Unproven,
    /// It has a value that is not possible.
    Absurd,
    /// The rate limit is reached.
    TooMany,
    /// Its sender is unknown and cannot be added: there are as many nodes as there may be, or it is gone.
    NoMember,
    /// There are as many counts as there may be.
    NoRoom,
}
