//! Datagrams between nodes: format, limits and authenticator. The format is specified in
//! `docs/shared-counts-wire.md`.
//!
//! Invariant: a datagram that cannot be parsed in full is rejected with a reason and nothing of it
//! is applied. No list has more items than bytes, so a datagram allocates at most a small multiple
//! of its size.

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

/// The maximum size of a datagram in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// The maximum length of a node's name in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// The protocol version.
pub const VERSION: u8 = 1;
/// The size of the header in bytes.
pub const HEADER_BYTES: usize = 4 + 1 + 1 + 8 * 6;
/// The estimated size of a digest entry in bytes: node, incarnation, uptime, version, age and known
/// version at their typical lengths.
pub const TYPICAL_DIGEST_ENTRY_BYTES: usize = 8 + 7 + 5 + 5 + 4 + 5;
/// The estimated size of a counts section before its counts, in bytes: kind, length, node,
/// incarnation and two versions at their typical lengths.
pub const TYPICAL_COUNTS_HEADER_BYTES: usize = SECTION_HEADER_BYTES + 8 + 7 + 7 + 7;

const MAGIC: [u8; 4] = *b"MFSC";
/// The size of a section's kind and length in bytes.
const SECTION_HEADER_BYTES: usize = 1 + 2;
/// The size of the authenticator in bytes: HMAC-SHA-256 truncated to half (RFC 2104, section 5).
const TAG_BYTES: usize = 16;
/// The tag of an IPv4 address.
const IPV4: u8 = 4;
/// The tag of an IPv6 address.
const IPV6: u8 = 6;

/// The codes of the section kinds.
mod section_kind {
    pub(super) const MEMBERS: u8 = 1;
    pub(super) const DIGEST: u8 = 2;
    pub(super) const WANT: u8 = 3;
    pub(super) const COUNTS: u8 = 4;
    pub(super) const STATUS_TEXT: u8 = 5;
    pub(super) const STATUS_PART: u8 = 6;
}

/// The purpose of a datagram. `maplefall counts dump` prints the variants' names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Carries the sender's nonce and requests the receiver's.
    Hello,
    /// Carries gossip sections.
    Gossip,
    /// Requests a part of the status for an operator.
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

/// The header of a datagram. `maplefall counts dump` prints the names of the type and its fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// The purpose of the datagram.
    pub kind: Kind,
    /// The sender.
    pub from: Life,
    /// The number of the datagram among all of the sender's, from 1.
    pub number: u64,
    /// The value that the sender expects as `echo` in datagrams to it.
    pub nonce: u64,
    /// The receiver's nonce as last received by the sender; 0 if never.
    pub echo: u64,
}

/// A member entry: the name and address of a node, with a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberInfo {
    /// The last heartbeat of the node's current incarnation.
    pub heartbeat: Heartbeat,
    /// The address that the node listens on.
    pub address: SocketAddr,
    /// The node's name.
    pub name: String,
}

/// An entry of a digest: an incarnation's heartbeat, and the version up to which its counts are
/// known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DigestEntry {
    /// The heartbeat.
    pub heartbeat: Heartbeat,
    /// The version up to which the sender has all counts of the incarnation.
    pub known_version: u64,
}

/// A section of a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Section {
    /// Members of the cluster.
    Members(Vec<MemberInfo>),
    /// Versions that the sender has. The receiver sends counts that the sender is missing and
    /// requests those that it is missing itself.
    Digest(Vec<DigestEntry>),
    /// A request for counts that the sender is missing; the reply contains only counts and members.
    Want(Vec<DigestEntry>),
    /// Counts of one incarnation.
    Counts(Life, Delta),
    /// The number of parts of the status, and the text of one part.
    StatusText(u32, Vec<u8>),
    /// The index of the requested part of the status.
    StatusPart(u32),
}

/// The reason for rejecting a datagram or a part of it. The variants' names are part of the status.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum RejectReason {
    /// The datagram is longer than [`MAX_DATAGRAM_BYTES`].
    TooLong,
    /// The datagram is truncated, or bytes follow its end.
    Cut,
    /// The datagram is not of this protocol.
    Foreign,
    /// The datagram is of another version of the protocol.
    OtherVersion,
    /// The datagram is of another cluster.
    OtherCluster,
    /// The authenticator is wrong.
    Forged,
    /// The datagram was received before, or its sender's incarnation is outdated.
    Repeated,
    /// The sender does not echo the nonce of this process.
    Unproven,
    /// A value is malformed or out of range.
    Absurd,
    /// The rate limit is reached.
    TooMany,
    /// The sender is unknown and cannot be added: the maximum number of nodes is reached, or the
    /// sender is gone.
    NoMember,
    /// The maximum number of counts is reached.
    NoRoom,
}
