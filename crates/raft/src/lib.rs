//! Raft consensus among a handful of controllers: one order of changes, replicated in a log.
//!
//! The rules are those of "In Search of an Understandable Consensus Algorithm" (Ongaro and Ousterhout, 2014), with
//! these additions:
//!
//! - a pre-vote before each election (Ongaro's thesis, 9.6), so that a node that was cut off does not depose a working
//!   leader;
//! - a leader without proof of recent contact with a quorum steps down (thesis, 6.2);
//! - linearizable reads are confirmed by a heartbeat (read index; thesis, 6.4);
//! - members change by one log entry that needs a majority of the members before and of those after
//!   (`docs/design/control-membership.md`);
//! - a node that has lost its disk is a new member at an old address: see [`Member::identity`].
//!
//! [`Raft`] does no I/O. The caller feeds it ticks, messages and the numbers of writes that have reached the disk, and
//! carries out what [`Ready`] returns: what to write, what to send, and what is committed. A message that must not be
//! sent before a write is persisted is deferred inside [`Raft`].

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
