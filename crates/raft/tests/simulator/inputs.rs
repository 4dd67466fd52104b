//! Inputs to a node, and the model of its application's state.

use super::Cluster;
use maplefall_raft::{Raft, Ready};

impl Cluster {
    /// Passes an input to a node, unless it is down or frozen, and carries out the resulting
    /// actions.
    pub fn input(&mut self, name: &str, input: impl FnOnce(&mut Raft, f64, &mut Ready)) {
        let (now, mut ready) = (self.now, Ready::default());
        let Some(raft) = self.running_raft(name) else {
            return;
        };
        input(raft, now, &mut ready);
        self.process_ready(name, ready);
    }

    fn running_raft(&mut self, name: &str) -> Option<&mut Raft> {
        let now = self.now;
        self.nodes
            .get_mut(name)
            .filter(|node| node.frozen_until <= now)?
            .raft
            .as_mut()
    }

    /// Proposes a command with a unique number.
    pub fn propose(&mut self, name: &str) {
        self.last_proposal += 1;
        let mut payload = self.last_proposal.to_be_bytes().to_vec();
        payload.resize(self.payload_bytes.max(8), 0);
        self.input(name, |raft, now, ready| {
            let _ = raft.propose(now, payload, ready);
        });
    }

    /// Requests a read, which must see all commands that were acknowledged before the request.
    pub fn read(&mut self, name: &str) {
        let min_index = self.acknowledged.last().copied().unwrap_or(0);
        let (now, mut ready) = (self.now, Ready::default());
        let Some(raft) = self.running_raft(name) else {
            return;
        };
        if let Some(id) = raft.read_index(now, &mut ready) {
            if let Some(node) = self.nodes.get_mut(name) {
                node.pending_reads.insert(id, min_index);
            }
        }
        self.process_ready(name, ready);
    }

    /// Compacts the log of a node.
    pub fn compact(&mut self, name: &str) {
        let commit = self.nodes[name].commit_index();
        let state = self.state_at(commit);
        self.input(name, |raft, _, ready| raft.compact(state, ready));
    }

    /// Returns the model's state after all entries up to `index`: `state_bytes_per_entry` bytes for
    /// each entry, with content that depends on `index`.
    pub fn state_at(&self, index: u64) -> Vec<u8> {
        let length = if index <= 1 {
            0
        } else {
            self.state_bytes_per_entry * index as usize
        };
        let mut value = index;
        let mut state = Vec::with_capacity(length + 8);
        while state.len() < length {
            value = value.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(1);
            state.extend_from_slice(&value.to_be_bytes());
        }
        state
    }
}
