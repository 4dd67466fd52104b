//! Queries about the whole cluster, and runs until a condition holds.

use super::node::Node;
use super::{AfterShutdown, Cluster};
use maplefall_raft::{Member, PersistentState, Raft};
use std::collections::BTreeSet;

impl Cluster {
    /// Returns the established leader of the highest term.
    pub fn leader(&self) -> Option<String> {
        let leaders = self
            .names
            .iter()
            .filter(|name| self.nodes[*name].is_leader());
        leaders
            .max_by_key(|name| self.nodes[*name].raft.as_ref().map(Raft::term))
            .cloned()
    }

    /// Returns the first machine that is not the leader.
    pub fn first_follower(&self) -> Option<String> {
        let leader = self.leader();
        let mut names = self.names.iter();
        names.find(|name| Some(*name) != leader.as_ref()).cloned()
    }

    pub fn has_quorum_contact(&self, name: &str) -> bool {
        let raft = self.nodes[name].raft.as_ref();
        raft.is_some_and(|raft| raft.has_quorum_contact(self.now))
    }

    /// Returns the index of the last entry that any node has committed; 0 if there is none.
    pub fn last_committed(&self) -> u64 {
        self.committed.keys().next_back().copied().unwrap_or(0)
    }

    /// Returns whether there is a leader, the configuration of every node contains exactly the
    /// running machines, and no machine is shutting down to be removed.
    pub fn is_healthy(&self) -> bool {
        let all: BTreeSet<String> = self.names.iter().cloned().collect();
        let is_converged = |node: &Node| {
            let is_being_removed = node
                .shutdown
                .is_some_and(|shutdown| shutdown.after == AfterShutdown::Remove);
            let raft = node.raft.as_ref();
            !is_being_removed
                && raft.is_some_and(|raft| {
                    raft.is_voter() && !raft.in_joint_configuration() && *raft.voters() == all
                })
        };
        self.leader().is_some() && self.nodes.values().all(is_converged)
    }

    pub fn run_until_healthy(&mut self, max_duration: f64) -> bool {
        let end = self.now + max_duration;
        while self.now < end && !self.is_healthy() {
            self.run(100.0);
        }
        self.is_healthy()
    }

    /// Proposes a command to every node and runs until one of them is acknowledged, for 40 ms at
    /// most.
    pub fn run_until_acknowledged(&mut self) {
        let before = self.acknowledged.len();
        for name in self.names.clone() {
            self.propose(&name);
        }
        for _ in 0..40 {
            if self.acknowledged.len() > before {
                break;
            }
            self.run(1.0);
        }
    }

    /// Returns whether, after any loss of `max_failures` members, the others could elect a leader
    /// that has all committed entries, judging by their disks.
    pub fn tolerates_next_failure(&self) -> bool {
        let running: Vec<&String> = self
            .names
            .iter()
            .filter(|name| self.nodes[*name].raft.is_some())
            .collect();
        let leader = self.leader();
        let leader = leader.and_then(|leader| self.nodes[&leader].raft.as_ref());
        let Some(members) = leader.map(Raft::voters) else {
            return false;
        };
        // Each loss is a bit set of positions in `running`.
        let is_lost = |loss: u32, position: usize| loss >> position & 1 == 1;
        (0..1_u32 << running.len())
            .filter(|loss| loss.count_ones() as usize == self.max_failures)
            .filter(|loss| {
                let mut positions = 0..running.len();
                positions.all(|n| !is_lost(*loss, n) || members.contains(running[n]))
            })
            .all(|loss| {
                let survivors: Vec<&String> = (0..running.len())
                    .filter(|n| !is_lost(loss, *n))
                    .map(|n| running[n])
                    .collect();
                survivors
                    .iter()
                    .any(|name| self.could_lead(name, &survivors))
            })
    }

    /// Returns whether these voters would elect the node, judging by their disks, and the node has
    /// all committed entries.
    fn could_lead(&self, name: &str, voters: &[&String]) -> bool {
        let disk = &self.nodes[name].disk;
        let has_all_committed = disk.last_index() >= self.last_committed();
        let grants_vote = |member: &&Member| {
            voters.iter().any(|voter| {
                let other = &self.nodes[*voter].disk;
                **voter == member.name
                    && other.identity == Some(member.identity)
                    && log_position(other) <= log_position(disk)
            })
        };
        let configuration = disk.configuration();
        let is_committed = configuration.index <= disk.members_committed.max(disk.snapshot.index);
        let has_majority =
            |set: &Vec<Member>| set.iter().filter(grants_vote).count() > set.len() / 2;
        let is_member = configuration
            .current
            .iter()
            .any(|member| member.name == name && Some(member.identity) == disk.identity);
        has_all_committed
            && is_member
            && has_majority(&configuration.current)
            && (is_committed || has_majority(&configuration.previous))
    }

    /// Prints the state of all nodes and the last log lines, for a failed test.
    pub fn print(&self) {
        for (name, node) in &self.nodes {
            let raft = node.raft.as_ref();
            println!(
                "{name}: starts {} term {:?} leader {:?} voter {:?} members {:?} joint {:?} commit {:?} last {:?} pending writes {} identity {:x?}",
                node.starts,
                raft.map(Raft::term),
                raft.and_then(Raft::leader),
                raft.map(Raft::is_voter),
                raft.map(Raft::voters),
                raft.map(Raft::in_joint_configuration),
                raft.map(Raft::commit_index),
                node.disk.log.last().map(|entry| (entry.index, entry.term)),
                node.pending_writes.len(),
                node.disk.identity,
            );
        }
        let first = self.log_lines.len().saturating_sub(30);
        for line in &self.log_lines[first..] {
            println!("  {line}");
        }
    }
}

/// Returns term and index of the last entry, by which logs are compared.
fn log_position(disk: &PersistentState) -> (Option<u64>, u64) {
    let last_index = disk.last_index();
    (disk.term_at(last_index), last_index)
}
