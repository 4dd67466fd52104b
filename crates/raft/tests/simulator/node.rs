//! A simulated machine: a node, its disk, and the records that the checks need.

use maplefall_raft::{Entry, Message, PersistentState, PersistentUpdate, Raft};
use std::collections::{BTreeMap, VecDeque};

pub struct Node {
    /// The Raft node; `None` while the process is down.
    pub raft: Option<Raft>,
    /// State that a restart would read: the synced updates, applied one by one.
    pub disk: PersistentState,
    /// State with all updates since the start of the process applied, synced or not.
    pub written: PersistentState,
    /// The last acknowledgement that was sent to another node.
    pub last_acknowledgement: Option<Acknowledgement>,
    pub pending_writes: VecDeque<PendingWrite>,
    pub disk_stalled_until: f64,
    pub down_until: f64,
    pub frozen_since: f64,
    /// End of the freeze; 0 while the process is not frozen.
    pub frozen_until: f64,
    /// Messages that arrived during a freeze, with their senders.
    pub unread: Vec<(String, Message)>,
    /// Entries that this process has committed.
    pub committed: Vec<Entry>,
    pub starts: u64,
    /// Whether the next start belongs to the first start of the whole system.
    pub is_initial: bool,
    /// Pending reads by number, each with the minimum index that it must see.
    pub pending_reads: BTreeMap<u64, u64>,
    pub shutdown: Option<Shutdown>,
    pub partition: Option<Partition>,
}

/// An acknowledgement: the sender's disk has the log up to an entry.
#[derive(Clone, Copy)]
pub struct Acknowledgement {
    pub index: u64,
    /// Term of the last entry that is acknowledged.
    pub entry_term: u64,
    /// Term of the message that contains the acknowledgement.
    pub message_term: u64,
}

/// An update that is not synced yet.
pub struct PendingWrite {
    pub number: u64,
    pub update: PersistentUpdate,
    pub due: f64,
}

/// A graceful shutdown in progress.
#[derive(Clone, Copy)]
pub struct Shutdown {
    pub since: f64,
    pub after: AfterShutdown,
}

/// What happens to a machine after it has shut down.
#[derive(Clone, Copy, PartialEq)]
pub enum AfterShutdown {
    Restart,
    Remove,
}

/// A partition between a machine and all others.
#[derive(Clone, Copy)]
pub struct Partition {
    pub since: f64,
    pub direction: super::Direction,
}

impl Node {
    /// Creates a machine with an empty disk, which is not started yet.
    pub fn new(is_initial: bool) -> Node {
        Node {
            raft: None,
            disk: PersistentState::default(),
            written: PersistentState::default(),
            last_acknowledgement: None,
            pending_writes: VecDeque::new(),
            disk_stalled_until: 0.0,
            down_until: 0.0,
            frozen_since: 0.0,
            frozen_until: 0.0,
            unread: Vec::new(),
            committed: Vec::new(),
            starts: 0,
            is_initial,
            pending_reads: BTreeMap::new(),
            shutdown: None,
            partition: None,
        }
    }

    /// Resets the state of the last process before a new one starts.
    pub fn reset_process(&mut self) {
        self.starts += 1;
        self.committed.clear();
        self.pending_writes.clear();
        self.pending_reads.clear();
        self.shutdown = None;
        self.unread.clear();
        self.frozen_until = 0.0;
        self.written = self.disk.clone();
    }

    /// Removes and returns the next write that has reached the disk.
    pub fn take_due_write(&mut self, now: f64) -> Option<PendingWrite> {
        let is_due = self
            .pending_writes
            .front()
            .is_some_and(|write| write.due <= now && self.disk_stalled_until <= now);
        if is_due {
            self.pending_writes.pop_front()
        } else {
            None
        }
    }

    pub fn is_leader(&self) -> bool {
        self.raft.as_ref().is_some_and(Raft::is_leader)
    }

    pub fn commit_index(&self) -> u64 {
        self.raft.as_ref().map_or(0, Raft::commit_index)
    }
}
