//! What a caller gives to a node at its start, and what a node gives back after each input.

use super::event::Event;
use crate::message::{Entry, Message, PersistentUpdate, Snapshot};

/// Configuration of a node.
#[derive(Clone, Copy, Debug, Default)]
pub struct Config<'a> {
    /// Names of the first members, at the first start of the whole system only. A node with an empty disk and without
    /// this is either new or has lost its votes, and gets a random identity.
    pub initial_members: Option<&'a [String]>,
    /// Whether this node asks to be a voting member.
    pub voter: bool,
    /// How many members may fail at once.
    pub max_failures: usize,
    /// Whether any member may be replaced by any other node; false where members are spread over zones or regions that
    /// may fail as one.
    pub interchangeable: bool,
    /// Fault injection for the simulator's tests, which have to detect it: a change of members is committed by a
    /// majority of the new members alone.
    #[doc(hidden)]
    pub skip_joint_quorum: bool,
}

/// What the caller has to do after an input.
#[derive(Debug, Default)]
pub struct Ready {
    /// Updates to write to disk in this order, each with its number. [`Raft::persisted`](super::Raft::persisted) with a
    /// number confirms all up to it.
    pub writes: Vec<(u64, PersistentUpdate)>,
    /// Messages to send, each with its receiver's name; an empty name means every known node.
    pub messages: Vec<(String, Message)>,
    /// Entries that have become committed, in order.
    pub committed_entries: Vec<Entry>,
    /// A snapshot that replaces all that was applied before; [`committed_entries`](Self::committed_entries) come after
    /// it.
    pub installed_snapshot: Option<Snapshot>,
    /// Reads that may be answered from the committed state, by the numbers that
    /// [`Raft::read_index`](super::Raft::read_index) gave.
    pub confirmed_reads: Vec<u64>,
    /// This node has ceased to be the leader: proposals without an outcome may or may not be committed later.
    pub stepped_down: bool,
    /// Lines for the log: `event=...` and further `key=value` pairs.
    pub log_lines: Vec<String>,
}

impl Ready {
    pub(super) fn log(&mut self, event: &Event<'_>) {
        self.log_lines.push(event.to_string());
    }
}
