//! Faults of single machines: crashes, lost disks, partitions, freezes, planned stops and removals.

use super::node::{Partition, Shutdown};
use super::{AfterShutdown, Cluster, QUORUM_CONTACT_TIMEOUT};
use maplefall_raft::PersistentState;

/// How a process ends.
#[derive(Clone, Copy, PartialEq)]
pub enum CrashKind {
    /// The operating system still writes what the process wrote.
    ProcessExit,
    /// What was not synced is lost, all of it or from some write on.
    PowerLoss,
    /// Power and disk are lost.
    DiskLoss,
}

/// Which messages of a machine a partition stops.
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
    /// The process ends, and starts again after `down` milliseconds.
    pub fn crash(&mut self, name: &str, kind: CrashKind, down: f64) {
        let torn = self.draw(3);
        let now = self.now;
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        node.raft = None;
        node.down_until = now + down;
        // A machine that is to be removed is removed all the same.
        node.shutdown = node
            .shutdown
            .filter(|shutdown| shutdown.after == AfterShutdown::Remove);
        let written = match kind {
            CrashKind::ProcessExit => usize::MAX,
            _ if torn < 2 => torn as usize,
            _ => 0,
        };
        for write in node.pending_writes.drain(..).take(written) {
            node.disk.apply(write.update);
        }
        if kind == CrashKind::DiskLoss {
            node.disk = PersistentState::default();
            node.last_claim = None;
        }
    }

    /// A machine is lost for good.
    pub fn remove_machine(&mut self, name: &str) {
        self.crash(name, CrashKind::DiskLoss, f64::INFINITY);
        self.names.retain(|other| other != name);
        self.nodes.remove(name);
    }

    /// A planned stop begins.
    pub fn shut_down(&mut self, name: &str, after: AfterShutdown) {
        let since = self.now;
        self.input(name, |raft, now, ready| raft.shut_down(now, ready));
        if let Some(node) = self.nodes.get_mut(name) {
            node.shutdown = Some(Shutdown { since, after });
        }
    }

    /// The process does not run for so many milliseconds; messages wait in its sockets.
    pub fn freeze(&mut self, name: &str, duration: f64) {
        let now = self.now;
        if let Some(node) = self.nodes.get_mut(name) {
            (node.frozen_since, node.frozen_until) = (now, now + duration);
        }
    }

    /// No write of this machine reaches the disk for so many milliseconds.
    pub fn stall_disk(&mut self, name: &str, duration: f64) {
        let until = self.now + duration;
        if let Some(node) = self.nodes.get_mut(name) {
            node.disk_stalled_until = until;
        }
    }

    /// Cuts a machine off from all others.
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

    /// A node that was frozen finds the messages of the meantime and gets other inputs, in any order.
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
                self.check_knows_nothing_of_now(name);
            }
        }
        if was_long {
            self.check_knows_nothing_of_now(name);
        }
    }
}
