//! Execution of a node's actions: its writes, messages, commits and confirmed reads.

use super::cluster::CommittedEntry;
use super::node::PendingWrite;
use super::{Cluster, Variant};
use maplefall_raft::{Entry, EntryKind, PersistentUpdate, Raft, Ready, Snapshot};

impl Cluster {
    /// Carries out the actions that result from an input, and checks the node afterwards.
    pub(super) fn process_ready(&mut self, name: &str, ready: Ready) {
        let now = self.now;
        let lines = ready.log_lines.iter();
        self.log_lines
            .extend(lines.map(|line| format!("{now} {name} {line}")));
        let mut last_write = None;
        for (number, update) in ready.writes {
            self.begin_write(name, number, update);
            last_write = Some(number);
        }
        for (to, message) in ready.messages {
            self.send(name, &to, &message);
        }
        if let Some(snapshot) = ready.installed_snapshot {
            self.install_snapshot(name, &snapshot);
        }
        for entry in ready.committed_entries {
            self.commit(name, entry);
        }
        for id in ready.confirmed_reads {
            self.complete_read(name, id);
        }
        if ready.stepped_down {
            self.node_mut(name).pending_reads.clear();
        }
        self.check_after_input(name);
        let raft = self.nodes[name].raft.as_ref();
        if raft.is_some_and(Raft::should_compact) {
            self.compactions += 1;
            self.compact(name);
        }
        self.check_one_leader_per_term(name);
        if let Some(number) = last_write.filter(|_| self.variant == Variant::UnsyncedWrites) {
            self.input(name, |raft, now, ready| raft.persisted(now, number, ready));
        }
    }

    pub(super) fn node_mut(&mut self, name: &str) -> &mut super::node::Node {
        self.nodes.get_mut(name).expect("a machine of this name")
    }

    fn begin_write(&mut self, name: &str, number: u64, update: PersistentUpdate) {
        let due = self.now + 2.0 + f64::from(self.draw(4));
        let node = self.node_mut(name);
        node.written.apply(update.clone());
        let due = due.max(node.disk_stalled_until);
        node.pending_writes.push_back(PendingWrite {
            number,
            update,
            due,
        });
    }

    /// Checks that the installed state is the model's state at the snapshot's index, and records
    /// the entries that it covers as committed on the node.
    fn install_snapshot(&mut self, name: &str, snapshot: &Snapshot) {
        assert!(
            self.state_at(snapshot.index) == snapshot.state,
            "{name} has installed a state that no node encoded"
        );
        let committed = self.committed.range(..=snapshot.index);
        let entries = committed.map(|(_, known)| known.entry.clone()).collect();
        self.node_mut(name).committed = entries;
    }

    /// Commits an entry on a node, and checks state machine safety (paper, 5.4.3): no two nodes
    /// commit different entries at an index.
    fn commit(&mut self, name: &str, entry: Entry) {
        let now = self.now;
        let known = self
            .committed
            .entry(entry.index)
            .or_insert_with(|| CommittedEntry {
                entry: entry.clone(),
                committed_at: now,
            });
        assert_eq!(
            known.entry, entry,
            "{name} commits a different entry at {}",
            entry.index
        );
        let (index, kind) = (entry.index, entry.kind());
        self.node_mut(name).committed.push(entry);
        if self.nodes[name].is_leader() && kind == EntryKind::Command {
            self.acknowledged.insert(index);
        }
    }

    /// Checks that a confirmed read sees all commands that were acknowledged before the read was
    /// requested.
    fn complete_read(&mut self, name: &str, id: u64) {
        let node = self.node_mut(name);
        let Some(min_index) = node.pending_reads.remove(&id) else {
            return;
        };
        let commit = node.commit_index();
        assert!(
            commit >= min_index,
            "{name} reads at {commit}, but {min_index} was acknowledged before the read was requested"
        );
        self.confirmed_reads += 1;
    }
}
