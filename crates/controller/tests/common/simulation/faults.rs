//! Faults that can be injected into the simulated system, and their removal.

use super::{Event, Millis, Simulation};
use maplefall_controller::store::StoredState;

impl Simulation {
    /// Blocks the link from one controller to another; the other direction stays open.
    pub fn block_link(&mut self, from: &str, to: &str) {
        self.blocked_links.insert((from.to_owned(), to.to_owned()));
    }

    /// Blocks all links of a controller, in both directions.
    pub fn isolate(&mut self, name: &str) {
        for peer in self.names.clone() {
            self.block_link(name, &peer);
            self.block_link(&peer, name);
        }
    }

    /// Heals all links, makes all controllers reachable, and stops the loss of frames and
    /// responses.
    pub fn clear_faults(&mut self) {
        self.blocked_links.clear();
        self.unreachable.clear();
        (self.frame_loss, self.response_loss) = (0.0, 0.0);
    }

    /// Heals all links.
    pub fn heal(&mut self) {
        self.blocked_links.clear();
    }

    /// Ends the process at once, as a kill or a power loss does: of the writes that were not
    /// reported as persisted, a prefix may be on disk. The process starts again after `down`.
    pub fn crash(&mut self, name: &str, down: Millis) {
        let persisted = self.draw(4) as usize;
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        node.core = None;
        node.incarnation += 1;
        node.paused_until = 0.0;
        let pending_writes = std::mem::take(&mut node.pending_writes);
        // It is as likely that all pending writes are persisted as that none is.
        let persisted = if persisted == 3 {
            pending_writes.len()
        } else {
            persisted
        };
        pending_writes
            .into_iter()
            .take(persisted)
            .for_each(|record| node.disk.apply(record));
        node.disk_free_at = 0.0;
        let incarnation = node.incarnation;
        self.schedule(
            down,
            Event::Start {
                at: name.to_owned(),
                incarnation,
            },
        );
    }

    /// Ends the process as [`Simulation::crash`] does, and wipes its disk.
    pub fn wipe(&mut self, name: &str, down: Millis) {
        self.crash(name, down);
        if let Some(node) = self.nodes.get_mut(name) {
            node.disk = StoredState::default();
        }
    }

    /// Pauses the process; when it resumes it handles the frames that arrived meanwhile.
    pub fn pause(&mut self, name: &str, span: Millis) {
        let until = self.now + span;
        if let Some(node) = self.nodes.get_mut(name).filter(|node| node.core.is_some()) {
            node.paused_until = until;
        }
    }

    /// Stalls the disk: it persists nothing for `span`.
    pub fn stall_disk(&mut self, name: &str, span: Millis) {
        let until = self.now + span;
        if let Some(node) = self.nodes.get_mut(name) {
            node.disk_free_at = node.disk_free_at.max(until);
        }
    }

    /// Begins a graceful shutdown, in which the process hands over its leadership.
    pub fn stop(&mut self, name: &str) {
        self.drive(name, |core, now, out| core.shut_down(now, out));
    }
}
