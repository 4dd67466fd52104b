//! What can be done to the simulated system.

use super::{Event, Millis, Simulation};
use maplefall_controller::store::StoredState;

impl Simulation {
    /// Cuts the direction from one controller to another; the other direction stays.
    pub fn cut_one_way(&mut self, from: &str, to: &str) {
        self.cut.insert((from.to_owned(), to.to_owned()));
    }

    /// Cuts a controller off from all others, in both directions.
    pub fn isolate(&mut self, name: &str) {
        for peer in self.names.clone() {
            self.cut_one_way(name, &peer);
            self.cut_one_way(&peer, name);
        }
    }

    /// Heals all connections, and no frames or responses get lost any more.
    pub fn clear_faults(&mut self) {
        self.cut.clear();
        self.unreachable.clear();
        (self.frame_loss, self.response_loss) = (0.0, 0.0);
    }

    /// Heals all connections.
    pub fn heal(&mut self) {
        self.cut.clear();
    }

    /// The process ends at once, by a kill or a loss of power: of what it wrote and was not reported as persisted, a prefix may be on
    /// disk. It starts again after `down`.
    pub fn crash(&mut self, name: &str, down: Millis) {
        let persisted = self.draw(4) as usize;
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        node.core = None;
        node.incarnation += 1;
        node.paused_until = 0.0;
        let pending_writes = std::mem::take(&mut node.pending_writes);
        // All of it is as probable as none.
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

    /// A crash with loss of the disk.
    pub fn wipe(&mut self, name: &str, down: Millis) {
        self.crash(name, down);
        if let Some(node) = self.nodes.get_mut(name) {
            node.disk = StoredState::default();
        }
    }

    /// The process is paused, and goes on with the frames that have come meanwhile.
    pub fn pause(&mut self, name: &str, span: Millis) {
        let until = self.now + span;
        if let Some(node) = self.nodes.get_mut(name).filter(|node| node.core.is_some()) {
            node.paused_until = until;
        }
    }

    /// The disk persists nothing for this long.
    pub fn hang_disk(&mut self, name: &str, span: Millis) {
        let until = self.now + span;
        if let Some(node) = self.nodes.get_mut(name) {
            node.disk_free_at = node.disk_free_at.max(until);
        }
    }

    /// A planned stop begins: the process hands over its leadership.
    pub fn stop(&mut self, name: &str) {
        self.drive(name, |core, now, out| core.shut_down(now, out));
    }
}
