//! What passes between nodes, and what is written to disk.

use bytes::Bytes;

/// What an entry is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum EntryKind {
    /// A new leader's first entry: what came before it is agreed with it.
    NoOp = 0,
    /// A change of whoever uses the log.
    Command = 1,
    /// Who votes from here on: [`Entry::members`]; its payload says why, in words for the log.
    Membership = 4,
}

/// One that votes: an address, and the disk behind it. A node that comes back without its disk is another member.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, prost::Message)]
pub struct Member {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// What its disk was marked with when it was first written: 0 at the first start of the whole system, otherwise drawn by chance.
    #[prost(uint64, tag = "2")]
    pub identity: u64,
}

/// One entry of the log.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Entry {
    /// Its place, from 1.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The term of the leader that made it.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// What it is for.
    #[prost(enumeration = "EntryKind", tag = "3")]
    pub kind: i32,
    /// The change.
    #[prost(bytes = "vec", tag = "4")]
    pub payload: Vec<u8>,
    /// All that vote from here on, where it is [`EntryKind::Members`].
    #[prost(message, repeated, tag = "7")]
    pub members: Vec<Member>,
}

/// All up to an index, folded into one state.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Snapshot {
    /// The last entry in it.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// That entry's term.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Who votes.
    #[prost(message, repeated, tag = "5")]
    pub members: Vec<Member>,
    /// The state, as whoever uses the log writes it.
    #[prost(bytes = "bytes", tag = "4")]
    pub state: Bytes,
}

/// What is written to disk, in order. What is not there stays as it was.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct PersistentUpdate {
    /// The term, with the vote in it (empty for none).
    #[prost(uint64, optional, tag = "1")]
    pub term: Option<u64>,
    /// Whom this node has voted for in that term.
    #[prost(string, tag = "2")]
    pub voted_for: String,
    /// Entries; those written before at or after the first index are void.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<Entry>,
    /// A state that stands for all up to its index.
    #[prost(message, optional, tag = "4")]
    pub snapshot: Option<Snapshot>,
    /// The mark of this disk: [`Member::identity`].
    #[prost(uint64, optional, tag = "6")]
    pub identity: Option<u64>,
    /// Members up to this index are known to be agreed on.
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
    /// What it says.
    #[prost(oneof = "MessageBody", tags = "2, 3, 4, 5, 6, 7, 8")]
    pub body: Option<MessageBody>,
}

/// What a message says.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum MessageBody {
    /// Asks for a vote.
    #[prost(message, tag = "2")]
    RequestVote(RequestVote),
    /// Answers that.
    #[prost(message, tag = "3")]
    RequestVoteResponse(RequestVoteResponse),
    /// The leader's entries, or none as a sign of life.
    #[prost(message, tag = "4")]
    AppendEntries(AppendEntries),
    /// Answers that.
    #[prost(message, tag = "5")]
    AppendEntriesResponse(AppendEntriesResponse),
    /// A part of a whole state, for a node that lacks entries which are folded already.
    #[prost(message, tag = "6")]
    InstallSnapshot(InstallSnapshot),
    /// The leader stops and asks the receiver to stand at once.
    #[prost(message, tag = "7")]
    TimeoutNow(TimeoutNow),
    /// A node that hears no leader would follow one.
    #[prost(message, tag = "8")]
    JoinRequest(JoinRequest),
}

/// A question for a vote.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct RequestVote {
    /// Only whether it would be given.
    #[prost(bool, tag = "1")]
    pub pre_vote: bool,
    /// The asker's last entry.
    #[prost(uint64, tag = "2")]
    pub last_log_index: u64,
    /// That entry's term.
    #[prost(uint64, tag = "3")]
    pub last_log_term: u64,
}

/// The answer to a question for a vote.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct RequestVoteResponse {
    /// Whether it was only asked.
    #[prost(bool, tag = "1")]
    pub pre_vote: bool,
    /// Yes or no.
    #[prost(bool, tag = "2")]
    pub granted: bool,
    /// The term that was asked for.
    #[prost(uint64, tag = "3")]
    pub requested_term: u64,
}

/// Entries of a leader.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct AppendEntries {
    /// The entry before the first of these.
    #[prost(uint64, tag = "1")]
    pub prev_log_index: u64,
    /// Its term.
    #[prost(uint64, tag = "2")]
    pub prev_log_term: u64,
    /// The entries.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<Entry>,
    /// Up to where all is agreed.
    #[prost(uint64, tag = "4")]
    pub leader_commit: u64,
    /// Number of the leader's round.
    #[prost(uint64, tag = "5")]
    pub sequence: u64,
    /// Number of the last [`Appended`] that has come from the receiver; 0 for none.
    #[prost(uint64, tag = "6")]
    pub last_response: u64,
    /// How long ago, in milliseconds, a majority is proven to have followed this leader.
    #[prost(uint64, tag = "7")]
    pub quorum_age_ms: u64,
    /// Whether the receiver is a member.
    #[prost(bool, tag = "8")]
    pub is_voter: bool,
    /// The receiver, which leaves, may go: nothing rests on it.
    #[prost(bool, tag = "9")]
    pub released: bool,
}

/// How far a node has what a leader sent.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct AppendEntriesResponse {
    /// Whether the entry before was there.
    #[prost(bool, tag = "1")]
    pub success: bool,
    /// Up to here its disk has what the leader has; where it does not fit, where to try next.
    #[prost(uint64, tag = "2")]
    pub match_index: u64,
    /// Up to here it has received what the leader has.
    #[prost(uint64, tag = "3")]
    pub received_index: u64,
    /// The round that is answered.
    #[prost(uint64, tag = "4")]
    pub sequence: u64,
    /// Rises with each of these by one, from a number drawn at the start of the process.
    #[prost(uint64, tag = "6")]
    pub number: u64,
    /// What the sender would be.
    #[prost(message, optional, tag = "7")]
    pub membership: Option<MembershipRequest>,
    /// It answers an [`Install`] that is not whole yet, and nothing else.
    #[prost(message, optional, tag = "8")]
    pub snapshot_progress: Option<SnapshotProgress>,
}

/// What a node would be.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct MembershipRequest {
    /// It would be a member.
    #[prost(bool, tag = "1")]
    pub voter: bool,
    /// It belongs to the first start of the whole system.
    #[prost(bool, tag = "2")]
    pub initial: bool,
    /// It is about to stop.
    #[prost(bool, tag = "3")]
    pub stopping: bool,
}

/// A part of a whole state, or none of it: then it asks how much has come.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct InstallSnapshot {
    /// Number of the leader's round.
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
    /// Bytes of the whole state.
    #[prost(uint64, tag = "6")]
    pub total_bytes: u64,
    /// [`checksum`] of the whole state.
    #[prost(uint64, tag = "7")]
    pub checksum: u64,
    /// Where this part begins in the state.
    #[prost(uint64, tag = "8")]
    pub offset: u64,
    /// The part.
    #[prost(bytes = "bytes", tag = "9")]
    pub chunk: Bytes,
    /// [`checksum`] of the part.
    #[prost(uint64, tag = "10")]
    pub chunk_checksum: u64,
}

/// How much of a whole state has come.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct SnapshotProgress {
    /// [`Snapshot::index`].
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// [`Install::whole`].
    #[prost(uint64, tag = "2")]
    pub checksum: u64,
    /// Bytes that are there, from the first on.
    #[prost(uint64, tag = "3")]
    pub received_bytes: u64,
}

/// FNV-1a, 64 bits.
pub fn checksum(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Stand at once.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct TimeoutNow {}

/// A node that hears no leader. Its term deposes nobody.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct JoinRequest {
    /// What it would be.
    #[prost(message, optional, tag = "1")]
    pub membership: Option<MembershipRequest>,
}
