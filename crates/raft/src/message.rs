//! Messages between nodes, and the updates that are written to disk.
//!
//! All types are protobuf messages with fixed tags and layout, since nodes of different versions
//! exchange them and read each other's files. Indexes start at 1, and 0 means none; durations are
//! in milliseconds.

use bytes::Bytes;

/// The kind of a log entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum EntryKind {
    /// The first entry of a new leader, which commits earlier entries along with it (paper, 5.4.2).
    NoOp = 0,
    /// An application command.
    Command = 1,
    /// A membership change: [`Entry::members`] are the members from this index on. The payload is
    /// the reason, for logging.
    Membership = 4,
}

/// A voting member: an address and the disk behind it. A node that restarts without its disk is a
/// different member, since it has lost its votes and its log.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, prost::Message)]
pub struct Member {
    /// Name of the node, which is also its address.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Identity of the node's disk, written before anything else: 0 if the disk was set up at the
    /// first start of the whole system, otherwise random.
    #[prost(uint64, tag = "2")]
    pub identity: u64,
}

/// A log entry.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Entry {
    /// Index of the entry.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term of the leader that appended the entry.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Kind of the entry, an [`EntryKind`].
    #[prost(enumeration = "EntryKind", tag = "3")]
    pub kind: i32,
    /// The command, or the reason for a membership change.
    #[prost(bytes = "vec", tag = "4")]
    pub payload: Vec<u8>,
    /// All members from this entry on, for the kind [`EntryKind::Membership`]; otherwise empty.
    #[prost(message, repeated, tag = "7")]
    pub members: Vec<Member>,
}

/// The application's state with all entries up to an index applied (paper, section 7).
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Snapshot {
    /// Index of the last entry that the snapshot covers.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term of the last entry that the snapshot covers.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Members at the snapshot's index.
    #[prost(message, repeated, tag = "5")]
    pub members: Vec<Member>,
    /// The application's encoded state.
    #[prost(bytes = "bytes", tag = "4")]
    pub state: Bytes,
}

/// An update of a node's [`PersistentState`](crate::PersistentState). Updates are written in order;
/// fields that an update does not set stay unchanged.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct PersistentUpdate {
    /// The new term, together with [`voted_for`](Self::voted_for).
    #[prost(uint64, optional, tag = "1")]
    pub term: Option<u64>,
    /// The candidate voted for in the new term; empty for none.
    #[prost(string, tag = "2")]
    pub voted_for: String,
    /// Entries to append; they replace all earlier entries from the first one's index on.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<Entry>,
    /// A snapshot that replaces the entries up to its index.
    #[prost(message, optional, tag = "4")]
    pub snapshot: Option<Snapshot>,
    /// [`Member::identity`] of the node's disk.
    #[prost(uint64, optional, tag = "6")]
    pub identity: Option<u64>,
    /// Membership entries up to this index are known to be committed; 0 leaves the index unchanged.
    #[prost(uint64, tag = "7")]
    pub members_committed: u64,
}

/// A message between nodes.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Message {
    /// The sender's term.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// The sender's [`Member::identity`].
    #[prost(uint64, tag = "9")]
    pub identity: u64,
    /// The content of the message.
    #[prost(oneof = "MessageBody", tags = "2, 3, 4, 5, 6, 7, 8")]
    pub body: Option<MessageBody>,
}

/// The content of a message.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum MessageBody {
    /// Request for a vote (paper, 5.2) or a pre-vote (dissertation, 9.6).
    #[prost(message, tag = "2")]
    RequestVote(RequestVote),
    /// Response to a [`RequestVote`].
    #[prost(message, tag = "3")]
    RequestVoteResponse(RequestVoteResponse),
    /// Entries of the leader, or none as a heartbeat (paper, 5.3).
    #[prost(message, tag = "4")]
    AppendEntries(AppendEntries),
    /// Response to an [`AppendEntries`] or an [`InstallSnapshot`].
    #[prost(message, tag = "5")]
    AppendEntriesResponse(AppendEntriesResponse),
    /// A chunk of a snapshot, for a node that lacks compacted entries (paper, section 7).
    #[prost(message, tag = "6")]
    InstallSnapshot(InstallSnapshot),
    /// Leadership transfer: the leader asks the receiver to start an election at once
    /// (dissertation, 3.10).
    #[prost(message, tag = "7")]
    TimeoutNow(TimeoutNow),
    /// Request of a node without a leader to receive the log.
    #[prost(message, tag = "8")]
    JoinRequest(JoinRequest),
}

/// A request for a vote or a pre-vote in the message's term.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct RequestVote {
    /// Whether a pre-vote is requested, for which no node enters the term.
    #[prost(bool, tag = "1")]
    pub pre_vote: bool,
    /// Index of the candidate's last entry.
    #[prost(uint64, tag = "2")]
    pub last_log_index: u64,
    /// Term of the candidate's last entry.
    #[prost(uint64, tag = "3")]
    pub last_log_term: u64,
}

/// Response to a [`RequestVote`].
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct RequestVoteResponse {
    /// Whether the response is to a pre-vote request.
    #[prost(bool, tag = "1")]
    pub pre_vote: bool,
    /// Whether the vote or pre-vote is granted.
    #[prost(bool, tag = "2")]
    pub granted: bool,
    /// Term of the [`RequestVote`].
    #[prost(uint64, tag = "3")]
    pub requested_term: u64,
}

/// Log entries from the leader of the message's term.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct AppendEntries {
    /// Index of the entry that precedes `entries`.
    #[prost(uint64, tag = "1")]
    pub prev_log_index: u64,
    /// Term of the entry that precedes `entries`.
    #[prost(uint64, tag = "2")]
    pub prev_log_term: u64,
    /// Entries with consecutive indexes; empty in a heartbeat.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<Entry>,
    /// Commit index of the leader.
    #[prost(uint64, tag = "4")]
    pub leader_commit: u64,
    /// The leader's sequence number, which the response echoes.
    #[prost(uint64, tag = "5")]
    pub sequence: u64,
    /// Number of the last [`AppendEntriesResponse`] that the leader has received from the receiver
    /// of this message; 0 if there is none, or if the leader has not committed an entry of its own
    /// term.
    #[prost(uint64, tag = "6")]
    pub last_response: u64,
    /// Age of the leader's last proof of contact with a quorum, in milliseconds.
    #[prost(uint64, tag = "7")]
    pub quorum_age_ms: u64,
    /// Whether the receiver of the message is a member; in a joint configuration, of both member
    /// sets.
    #[prost(bool, tag = "8")]
    pub is_voter: bool,
    /// Whether the receiver, which is shutting down, may stop: no committed entry depends on its
    /// disk.
    #[prost(bool, tag = "9")]
    pub released: bool,
}

/// The index up to which a node's log matches its leader's.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct AppendEntriesResponse {
    /// Whether the responding node's log contained the entry before those that the leader sent.
    #[prost(bool, tag = "1")]
    pub success: bool,
    /// With `success`, the responding node has persisted the leader's log up to this index.
    /// Otherwise the leader continues to send after this index.
    #[prost(uint64, tag = "2")]
    pub match_index: u64,
    /// The responding node's log in memory matches the leader's up to this index.
    #[prost(uint64, tag = "3")]
    pub received_index: u64,
    /// The echoed sequence number of the leader; 0 for none.
    #[prost(uint64, tag = "4")]
    pub sequence: u64,
    /// Number of the response: increases by one with each response, from a random start value for
    /// each process.
    #[prost(uint64, tag = "6")]
    pub number: u64,
    /// The role that the sender requests.
    #[prost(message, optional, tag = "7")]
    pub membership: Option<MembershipRequest>,
    /// Progress of the snapshot transfer, set in response to a chunk of an incomplete snapshot.
    /// `success` and the indexes are unset then.
    #[prost(message, optional, tag = "8")]
    pub snapshot_progress: Option<SnapshotProgress>,
}

/// The role that a node requests from its leader.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct MembershipRequest {
    /// Whether the node requests to be a voting member.
    #[prost(bool, tag = "1")]
    pub voter: bool,
    /// Whether the node belongs to the first start of the whole system.
    #[prost(bool, tag = "2")]
    pub initial: bool,
    /// Whether the node is shutting down.
    #[prost(bool, tag = "3")]
    pub stopping: bool,
}

/// A chunk of a snapshot; an empty one is a heartbeat that requests the receiver's progress.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct InstallSnapshot {
    /// The leader's sequence number, which the response echoes.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// [`Snapshot::index`] of the snapshot that is sent.
    #[prost(uint64, tag = "3")]
    pub index: u64,
    /// [`Snapshot::term`] of the snapshot that is sent.
    #[prost(uint64, tag = "4")]
    pub term: u64,
    /// [`Snapshot::members`] of the snapshot that is sent.
    #[prost(message, repeated, tag = "5")]
    pub members: Vec<Member>,
    /// Length of the complete state in bytes.
    #[prost(uint64, tag = "6")]
    pub total_bytes: u64,
    /// [`checksum`] of the complete state.
    #[prost(uint64, tag = "7")]
    pub checksum: u64,
    /// Offset of the chunk in the state.
    #[prost(uint64, tag = "8")]
    pub offset: u64,
    /// Bytes of the chunk.
    #[prost(bytes = "bytes", tag = "9")]
    pub chunk: Bytes,
    /// [`checksum`] of the chunk.
    #[prost(uint64, tag = "10")]
    pub chunk_checksum: u64,
}

/// Progress of a node that is receiving a snapshot.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct SnapshotProgress {
    /// [`Snapshot::index`] of the snapshot that is received.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// [`InstallSnapshot::checksum`] of the snapshot that is received.
    #[prost(uint64, tag = "2")]
    pub checksum: u64,
    /// Number of bytes received, from the start of the state without gaps.
    #[prost(uint64, tag = "3")]
    pub received_bytes: u64,
}

/// Returns the 64-bit FNV-1a hash, which detects corruption, not tampering.
pub fn checksum(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// A request to the receiver to start an election at once.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct TimeoutNow {}

/// A request of a node without a leader to receive the log. Its term does not depose a leader.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct JoinRequest {
    /// The role that the sender requests.
    #[prost(message, optional, tag = "1")]
    pub membership: Option<MembershipRequest>,
}
