//! Agreement among exchanges on one order of changes: a log with a leader, for a handful of nodes. Named after the tandem
//! exchange, which joins other exchanges.
//!
//! The rules are those of "In Search of an Understandable Consensus Algorithm" (Ongaro, Ousterhout 2014): terms, votes by
//! majority, entries that count once a majority has them on disk. Besides: a node asks whether it would be elected before
//! it stands; a leader that has no proof of late that a majority follows it steps down; a read is confirmed by a round of the leader;
//! members change by agreement, in one step that needs a majority of those before and of those after; and a node that has lost its
//! disk is a new member at an old address.
//!
//! [`Tandem`] does no I/O. It takes ticks, messages and the word that writes are on disk, and returns what to write, what to
//! send and what is agreed. What may be said only once something is on disk is held back in here.

mod message;
mod persistent_state;
mod raft;

pub use message::{
    checksum, AppendEntries, AppendEntriesResponse, Entry, EntryKind, InstallSnapshot, JoinRequest,
    Member, MembershipRequest, Message, MessageBody, PersistentUpdate, RequestVote,
    RequestVoteResponse, Snapshot, SnapshotProgress, TimeoutNow,
};
pub use persistent_state::{Configuration, PersistentState};
pub use raft::{Config, Raft, Ready, MAX_MEMBERS};
