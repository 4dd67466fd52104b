//! The configuration of a node, and the actions that it returns after each input.

use super::event::Event;
use crate::message::{Entry, Message, PersistentUpdate, Snapshot};

/// Configuration of a node.
#[derive(Clone, Copy, Debug, Default)]
pub struct Config<'a> {
    /// Names of the initial members, set only at the first start of the whole system. A node with
    /// an empty disk and without these names is either new or has lost its votes, and gets a random
    /// identity.
    pub initial_members: Option<&'a [String]>,
    /// Whether this node requests to be a voting member.
    pub voter: bool,
    /// Number of members that may fail at the same time.
    pub max_failures: usize,
    /// Whether any member may be replaced by any other node; false where members are spread over
    /// failure domains (zones or regions).
    pub interchangeable: bool,
    /// Fault injection for the simulator's tests, which must detect it: a majority of the new
    /// members alone commits a membership change.
    #[doc(hidden)]
    pub skip_joint_quorum: bool,
}

/// Actions that the caller has to carry out after an input.
#[derive(Debug, Default)]
pub struct Ready {
    /// Updates to write to disk in this order, each with its number.
    /// [`Raft::persisted`](super::Raft::persisted) with a number confirms all updates up to it.
    pub writes: Vec<(u64, PersistentUpdate)>,
    /// Messages to send, each with the receiver's name; an empty name means every known node.
    pub messages: Vec<(String, Message)>,
    /// Newly committed entries, in order.
    pub committed_entries: Vec<Entry>,
    /// An installed snapshot, which replaces all state applied before;
    /// [`committed_entries`](Self::committed_entries) follow it.
    pub installed_snapshot: Option<Snapshot>,
    /// Numbers, as returned by [`Raft::read_index`](super::Raft::read_index), of reads that may now
    /// be served from the committed state.
    pub confirmed_reads: Vec<u64>,
    /// Whether this node has stopped being the leader: its pending proposals may or may not be
    /// committed later.
    pub stepped_down: bool,
    /// Log lines: `event=...` and further `key=value` pairs.
    pub log_lines: Vec<String>,
}

impl Ready {
    pub(super) fn log(&mut self, event: &Event<'_>) {
        self.log_lines.push(event.to_string());
    }
}
