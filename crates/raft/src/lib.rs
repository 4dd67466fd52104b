//! Raft consensus for a small group of controllers: a replicated log of changes in one order.
//!
//! Implements "In Search of an Understandable Consensus Algorithm" (Ongaro and Ousterhout, 2014)
//! with these additions, some of them from Ongaro's dissertation:
//!
//! - a pre-vote before each election (dissertation, 9.6), so that a node that was partitioned off
//!   does not depose a working leader;
//! - a leader without proof of recent contact with a quorum steps down (dissertation, 6.2);
//! - linearizable reads are confirmed by a round of heartbeats (read index; dissertation, 6.4);
//! - membership changes by a single log entry that needs a majority of the members before it and of
//!   those after it (`docs/design/control-membership.md`);
//! - a node that has lost its disk counts as a new member at the old address: see
//!   [`Member::identity`].
//!
//! [`Raft`] does no I/O. The caller passes in ticks, messages and the numbers of persisted writes,
//! and carries out the contents of [`Ready`]: updates to write, messages to send and committed
//! entries to apply. [`Raft`] itself defers messages that must not be sent before a write is
//! persisted.

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
