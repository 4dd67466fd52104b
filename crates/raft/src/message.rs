//! Messages between nodes, and what is written to disk.
//!
//! All of these are protobuf messages: tags and layout are fixed, since nodes of different versions exchange them and
//! read each other's files. Indexes count from 1, and 0 means none; durations are in milliseconds.

use bytes::Bytes;

/// The kind of a log entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum EntryKind {
    /// A new leader's first entry: earlier entries are committed with it (paper, 5.4.2).
    NoOp = 0,
    /// A command of the application.
    Command = 1,
    /// The members from here on: [`Entry::members`]. The payload is the reason, a word for the log.
    Membership = 4,
}

/// A voting member: an address and the disk behind it. A node that returns without its disk is another member, since it
/// has lost its votes and its log.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, prost::Message)]
pub struct Member {
    /// Name of the node, which is its address.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Identity of its disk, written first of all: 0 at the first start of the whole system, otherwise random.
    #[prost(uint64, tag = "2")]
    pub identity: u64,
}

/// A log entry.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Entry {
    /// Its index.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term of the leader that appended it.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// An [`EntryKind`].
    #[prost(enumeration = "EntryKind", tag = "3")]
    pub kind: i32,
    /// The command, or the reason of a membership change.
    #[prost(bytes = "vec", tag = "4")]
    pub payload: Vec<u8>,
    /// All members from here on, in an entry of kind [`EntryKind::Membership`]; otherwise empty.
    #[prost(message, repeated, tag = "7")]
    pub members: Vec<Member>,
}

/// The application's state with all entries up to an index applied (paper, section 7).
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Snapshot {
    /// Index of the last entry in it.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// That entry's term.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// The members at that index.
    #[prost(message, repeated, tag = "5")]
    pub members: Vec<Member>,
    /// The state as the application encodes it.
    #[prost(bytes = "bytes", tag = "4")]
    pub state: Bytes,
}

/// One update of a node's [`PersistentState`](crate::PersistentState). Updates are written in order; what one does not
/// contain stays as it was.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct PersistentUpdate {
    /// The new term, together with [`voted_for`](Self::voted_for).
    #[prost(uint64, optional, tag = "1")]
    pub term: Option<u64>,
    /// The vote in that term; empty for none.
    #[prost(string, tag = "2")]
    pub voted_for: String,
    /// Entries to append; earlier ones from the first of these indexes on are void.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<Entry>,
    /// A snapshot that replaces the entries up to its index.
    #[prost(message, optional, tag = "4")]
    pub snapshot: Option<Snapshot>,
    /// [`Member::identity`] of this disk.
    #[prost(uint64, optional, tag = "6")]
    pub identity: Option<u64>,
    /// Membership entries up to this index are known to be committed; 0 where nothing new is known.
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
    /// The content.
    #[prost(oneof = "MessageBody", tags = "2, 3, 4, 5, 6, 7, 8")]
    pub body: Option<MessageBody>,
}

/// The content of a message.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum MessageBody {
    /// Asks for a vote (paper, 5.2) or a pre-vote (thesis, 9.6).
    #[prost(message, tag = "2")]
    RequestVote(RequestVote),
    /// Answers a [`RequestVote`].
    #[prost(message, tag = "3")]
    RequestVoteResponse(RequestVoteResponse),
    /// The leader's entries, or none as a heartbeat (paper, 5.3).
    #[prost(message, tag = "4")]
    AppendEntries(AppendEntries),
    /// Answers an [`AppendEntries`] or an [`InstallSnapshot`].
    #[prost(message, tag = "5")]
    AppendEntriesResponse(AppendEntriesResponse),
    /// A chunk of a snapshot, for a node that lacks entries which are compacted (paper, section 7).
    #[prost(message, tag = "6")]
    InstallSnapshot(InstallSnapshot),
    /// The leader shuts down and asks the receiver to start an election at once (thesis, 3.10).
    #[prost(message, tag = "7")]
    TimeoutNow(TimeoutNow),
    /// A node that hears no leader asks to be sent the log.
    #[prost(message, tag = "8")]
    JoinRequest(JoinRequest),
}

/// Asks for a vote or a pre-vote in the message's term.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct RequestVote {
    /// Only asks whether a vote would be granted; nobody enters the term.
    #[prost(bool, tag = "1")]
    pub pre_vote: bool,
    /// Index of the candidate's last entry.
    #[prost(uint64, tag = "2")]
    pub last_log_index: u64,
    /// That entry's term.
    #[prost(uint64, tag = "3")]
    pub last_log_term: u64,
}

/// Answers a [`RequestVote`].
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct RequestVoteResponse {
    /// Whether it answers a pre-vote.
    #[prost(bool, tag = "1")]
    pub pre_vote: bool,
    /// Whether the vote is granted.
    #[prost(bool, tag = "2")]
    pub granted: bool,
    /// The term of the request.
    #[prost(uint64, tag = "3")]
    pub requested_term: u64,
}

/// Entries of the message's term's leader.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct AppendEntries {
    /// Index of the entry before the first of these.
    #[prost(uint64, tag = "1")]
    pub prev_log_index: u64,
    /// Term of that entry.
    #[prost(uint64, tag = "2")]
    pub prev_log_term: u64,
    /// The entries, with consecutive indexes; none in a heartbeat.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<Entry>,
    /// The leader's commit index.
    #[prost(uint64, tag = "4")]
    pub leader_commit: u64,
    /// The leader's sequence number, which the response echoes.
    #[prost(uint64, tag = "5")]
    pub sequence: u64,
    /// Number of the last [`AppendEntriesResponse`] that came from the receiver; 0 for none, and from a leader that has
    /// not committed an entry of its own term.
    #[prost(uint64, tag = "6")]
    pub last_response: u64,
    /// Age in milliseconds of the leader's last proof of contact with a quorum.
    #[prost(uint64, tag = "7")]
    pub quorum_age_ms: u64,
    /// Whether the receiver is a member, in a joint configuration of both sets.
    #[prost(bool, tag = "8")]
    pub is_voter: bool,
    /// The receiver, which is shutting down, may stop: nothing committed depends on its disk.
    #[prost(bool, tag = "9")]
    pub released: bool,
}

/// How far a node's log matches its leader's.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct AppendEntriesResponse {
    /// Whether the entry before those sent was in the log.
    #[prost(bool, tag = "1")]
    pub success: bool,
    /// The disk has the leader's log up to here. Without `success`: the index after which to send next.
    #[prost(uint64, tag = "2")]
    pub match_index: u64,
    /// The log in memory matches the leader's up to here.
    #[prost(uint64, tag = "3")]
    pub received_index: u64,
    /// The leader's sequence number that is answered; 0 for none.
    #[prost(uint64, tag = "4")]
    pub sequence: u64,
    /// Rises by one with each response, from a random number at the start of the process.
    #[prost(uint64, tag = "6")]
    pub number: u64,
    /// The role that the sender asks for.
    #[prost(message, optional, tag = "7")]
    pub membership: Option<MembershipRequest>,
    /// Set where this answers a snapshot that is not complete yet; all other fields but the sequence are unset then.
    #[prost(message, optional, tag = "8")]
    pub snapshot_progress: Option<SnapshotProgress>,
}

/// The role that a node asks its leader for.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct MembershipRequest {
    /// Asks to be a voting member.
    #[prost(bool, tag = "1")]
    pub voter: bool,
    /// Belongs to the first start of the whole system.
    #[prost(bool, tag = "2")]
    pub initial: bool,
    /// Is shutting down.
    #[prost(bool, tag = "3")]
    pub stopping: bool,
}

/// A chunk of a snapshot; an empty one is a heartbeat that asks how much has come.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct InstallSnapshot {
    /// The leader's sequence number, which the response echoes.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// [`Snapshot::index`].
    #[prost(uint64, tag = "3")]
    pub index: u64,
    /// [`Snapshot::term`].
    #[prost(uint64, tag = "4")]
    pub term: u64,
    /// [`Snapshot::members`].
    #[prost(message, repeated, tag = "5")]
    pub members: Vec<Member>,
    /// Length of the complete state.
    #[prost(uint64, tag = "6")]
    pub total_bytes: u64,
    /// [`checksum`] of the complete state.
    #[prost(uint64, tag = "7")]
    pub checksum: u64,
    /// Offset of the chunk in the state.
    #[prost(uint64, tag = "8")]
    pub offset: u64,
    /// The chunk.
    #[prost(bytes = "bytes", tag = "9")]
    pub chunk: Bytes,
    /// [`checksum`] of the chunk.
    #[prost(uint64, tag = "10")]
    pub chunk_checksum: u64,
}

/// How much of a snapshot a node has received.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct SnapshotProgress {
    /// [`Snapshot::index`].
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// [`InstallSnapshot::checksum`].
    #[prost(uint64, tag = "2")]
    pub checksum: u64,
    /// Bytes received, from the start of the state without gaps.
    #[prost(uint64, tag = "3")]
    pub received_bytes: u64,
}

/// FNV-1a hash of 64 bits: detects damage, not tampering.
pub fn checksum(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Asks the receiver to start an election at once.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct TimeoutNow {}

/// Sent by a node that hears no leader. Its term deposes nobody.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct JoinRequest {
    /// The role that it asks for.
    #[prost(message, optional, tag = "1")]
    pub membership: Option<MembershipRequest>,
}
