//! What passes between nodes, and what is written to disk.

use bytes::Bytes;

/// What an entry is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum EntryKind {
    /// A new leader's first entry: what came before it is agreed with it.
    Begin = 0,
    /// A change of whoever uses the log.
    Change = 1,
    /// Who votes from here on: [`Entry::members`]; its payload says why, in words for the log.
    Members = 4,
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
pub struct Record {
    /// The term, with the vote in it (empty for none).
    #[prost(uint64, optional, tag = "1")]
    pub term: Option<u64>,
    /// Whom this node has voted for in that term.
    #[prost(string, tag = "2")]
    pub voted: String,
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
    pub settled: u64,
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
    #[prost(oneof = "What", tags = "2, 3, 4, 5, 6, 7, 8")]
    pub what: Option<What>,
}

/// What a message says.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum What {
    /// Asks for a vote.
    #[prost(message, tag = "2")]
    Ask(Ask),
    /// Answers that.
    #[prost(message, tag = "3")]
    Voted(Voted),
    /// The leader's entries, or none as a sign of life.
    #[prost(message, tag = "4")]
    Append(Append),
    /// Answers that.
    #[prost(message, tag = "5")]
    Appended(Appended),
    /// A part of a whole state, for a node that lacks entries which are folded already.
    #[prost(message, tag = "6")]
    Install(Install),
    /// The leader stops and asks the receiver to stand at once.
    #[prost(message, tag = "7")]
    Stand(Stand),
    /// A node that hears no leader would follow one.
    #[prost(message, tag = "8")]
    Join(Join),
}

/// A question for a vote.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Ask {
    /// Only whether it would be given.
    #[prost(bool, tag = "1")]
    pub would: bool,
    /// The asker's last entry.
    #[prost(uint64, tag = "2")]
    pub last_index: u64,
    /// That entry's term.
    #[prost(uint64, tag = "3")]
    pub last_term: u64,
}

/// The answer to a question for a vote.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Voted {
    /// Whether it was only asked.
    #[prost(bool, tag = "1")]
    pub would: bool,
    /// Yes or no.
    #[prost(bool, tag = "2")]
    pub granted: bool,
    /// The term that was asked for.
    #[prost(uint64, tag = "3")]
    pub asked: u64,
}

/// Entries of a leader.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Append {
    /// The entry before the first of these.
    #[prost(uint64, tag = "1")]
    pub prev_index: u64,
    /// Its term.
    #[prost(uint64, tag = "2")]
    pub prev_term: u64,
    /// The entries.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<Entry>,
    /// Up to where all is agreed.
    #[prost(uint64, tag = "4")]
    pub commit: u64,
    /// Number of the leader's round.
    #[prost(uint64, tag = "5")]
    pub round: u64,
    /// Number of the last [`Appended`] that has come from the receiver; 0 for none.
    #[prost(uint64, tag = "6")]
    pub echo: u64,
    /// How long ago, in milliseconds, a majority is proven to have followed this leader.
    #[prost(uint64, tag = "7")]
    pub age: u64,
    /// Whether the receiver is a member.
    #[prost(bool, tag = "8")]
    pub member: bool,
    /// The receiver, which leaves, may go: nothing rests on it.
    #[prost(bool, tag = "9")]
    pub left: bool,
}

/// How far a node has what a leader sent.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Appended {
    /// Whether the entry before was there.
    #[prost(bool, tag = "1")]
    pub fits: bool,
    /// Up to here its disk has what the leader has; where it does not fit, where to try next.
    #[prost(uint64, tag = "2")]
    pub matched: u64,
    /// Up to here it has received what the leader has.
    #[prost(uint64, tag = "3")]
    pub received: u64,
    /// The round that is answered.
    #[prost(uint64, tag = "4")]
    pub round: u64,
    /// Rises with each of these by one, from a number drawn at the start of the process.
    #[prost(uint64, tag = "6")]
    pub number: u64,
    /// What the sender would be.
    #[prost(message, optional, tag = "7")]
    pub wish: Option<Wish>,
    /// It answers an [`Install`] that is not whole yet, and nothing else.
    #[prost(message, optional, tag = "8")]
    pub taken: Option<Taken>,
}

/// What a node would be.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Wish {
    /// It would be a member.
    #[prost(bool, tag = "1")]
    pub counts: bool,
    /// It belongs to the first start of the whole system.
    #[prost(bool, tag = "2")]
    pub first: bool,
    /// It is about to stop.
    #[prost(bool, tag = "3")]
    pub leaving: bool,
}

/// A part of a whole state, or none of it: then it asks how much has come.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Install {
    /// Number of the leader's round.
    #[prost(uint64, tag = "2")]
    pub round: u64,
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
    pub length: u64,
    /// [`checksum`] of the whole state.
    #[prost(uint64, tag = "7")]
    pub whole: u64,
    /// Where this part begins in the state.
    #[prost(uint64, tag = "8")]
    pub offset: u64,
    /// The part.
    #[prost(bytes = "bytes", tag = "9")]
    pub part: Bytes,
    /// [`checksum`] of the part.
    #[prost(uint64, tag = "10")]
    pub sum: u64,
}

/// How much of a whole state has come.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Taken {
    /// [`Snapshot::index`].
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// [`Install::whole`].
    #[prost(uint64, tag = "2")]
    pub whole: u64,
    /// Bytes that are there, from the first on.
    #[prost(uint64, tag = "3")]
    pub bytes: u64,
}

/// FNV-1a, 64 bits.
pub fn checksum(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Stand at once.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Stand {}

/// A node that hears no leader. Its term deposes nobody.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Join {
    /// What it would be.
    #[prost(message, optional, tag = "1")]
    pub wish: Option<Wish>,
}
