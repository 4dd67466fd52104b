//! Faults of single machines: crashes, lost disks, partitions, freezes, graceful shutdowns and
//! removals.

use super::node::{Partition, Shutdown};
use super::{AfterShutdown, Cluster, QUORUM_CONTACT_TIMEOUT};
use maplefall_raft::PersistentState;

/// How a process ends.
#[derive(Clone, Copy, PartialEq)]
pub enum CrashKind {
    /// The operating system still syncs the writes of the process.
    ProcessExit,
    /// Unsynced writes are lost, either all of them or those from some write on.
    PowerLoss,
    /// Unsynced writes are lost, and the disk is replaced by an empty one.
    DiskLoss,
}

/// The messages of a machine that a partition blocks.
#[derive(Clone, Copy, PartialEq)]
pub enum Direction {
    Both,
    Outgoing,
    Incoming,
}

impl Direction {
    pub fn blocks_outgoing(self) -> bool {
        self != Direction::Incoming
    }

    pub fn blocks_incoming(self) -> bool {
        self != Direction::Outgoing
    }
}

impl Cluster {
    /// Ends the process, which restarts after `down` milliseconds.
    pub fn crash(&mut self, name: &str, kind: CrashKind, down: f64) {
        let surviving_writes = self.draw(3);
        let now = self.now;
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        node.raft = None;
        node.down_until = now + down;
        // A machine that shuts down to be removed is still removed if its process crashes before.
        node.shutdown = node
            .shutdown
            .filter(|shutdown| shutdown.after == AfterShutdown::Remove);
        let applied_writes = match kind {
            CrashKind::ProcessExit => usize::MAX,
            _ if surviving_writes < 2 => surviving_writes as usize,
            _ => 0,
        };
        for write in node.pending_writes.drain(..).take(applied_writes) {
            node.disk.apply(write.update);
        }
        if kind == CrashKind::DiskLoss {
            node.disk = PersistentState::default();
            node.last_acknowledgement = None;
        }
    }

    /// Removes a machine for good.
    pub fn remove_machine(&mut self, name: &str) {
        self.crash(name, CrashKind::DiskLoss, f64::INFINITY);
        self.names.retain(|other| other != name);
        self.nodes.remove(name);
    }

    /// Begins a graceful shutdown.
    pub fn shut_down(&mut self, name: &str, after: AfterShutdown) {
        let since = self.now;
        self.input(name, |raft, now, ready| raft.shut_down(now, ready));
        if let Some(node) = self.nodes.get_mut(name) {
            node.shutdown = Some(Shutdown { since, after });
        }
    }

    /// Stops the process from running for `duration` milliseconds; messages wait in its sockets.
    pub fn freeze(&mut self, name: &str, duration: f64) {
        let now = self.now;
        if let Some(node) = self.nodes.get_mut(name) {
            (node.frozen_since, node.frozen_until) = (now, now + duration);
        }
    }

    /// Delays all writes of a machine to its disk for `duration` milliseconds.
    pub fn stall_disk(&mut self, name: &str, duration: f64) {
        let until = self.now + duration;
        if let Some(node) = self.nodes.get_mut(name) {
            node.disk_stalled_until = until;
        }
    }

    /// Partitions a machine off from all others.
    pub fn partition(&mut self, name: &str, direction: Direction) {
        for peer in self.names.clone() {
            if peer == name {
                continue;
            }
            if direction.blocks_outgoing() {
                self.block_one_direction(name, &peer);
            }
            if direction.blocks_incoming() {
                self.block_one_direction(&peer, name);
            }
        }
        let since = self.now;
        if let Some(node) = self.nodes.get_mut(name) {
            node.partition = Some(Partition { since, direction });
        }
    }

    /// Resumes a node whose freeze has ended: it receives the messages that arrived meanwhile and
    /// other inputs, in random order.
    pub(super) fn resume_if_frozen(&mut self, name: &str) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        if node.frozen_until == 0.0 || node.frozen_until > now {
            return;
        }
        node.frozen_until = 0.0;
        let was_long = now - node.frozen_since >= QUORUM_CONTACT_TIMEOUT && self.names.len() > 1;
        let unread = std::mem::take(&mut node.unread);
        let first_input = self.draw(if unread.is_empty() { 3 } else { 4 });
        match first_input {
            0 => self.input(name, |raft, now, ready| raft.tick(now, ready)),
            1 => self.read(name),
            2 => self.propose(name),
            _ => {}
        }
        for (position, (from, message)) in unread.into_iter().enumerate() {
            if position == 1 {
                self.read(name);
                self.propose(name);
            }
            self.input(name, |raft, now, ready| {
                raft.step(now, &from, message, ready);
            });
            if was_long {
                self.check_has_no_contact(name);
            }
        }
        if was_long {
            self.check_has_no_contact(name);
        }
    }
}
