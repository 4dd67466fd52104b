//! The checks after every input. A violation panics with the node's name.

use super::node::Acknowledgement;
use super::{Cluster, QUORUM_CONTACT_TIMEOUT};
use maplefall_raft::{AppendEntriesResponse, Message, MessageBody, Raft, RequestVoteResponse};

impl Cluster {
    pub(super) fn check_after_input(&mut self, name: &str) {
        self.inputs += 1;
        if self.inputs % self.check_interval == 0 {
            self.check_state(name);
        }
        self.check_contact(name);
    }

    /// Checks election safety (paper, 5.2).
    pub(super) fn check_one_leader_per_term(&mut self, name: &str) {
        let node = &self.nodes[name];
        let Some(raft) = node.raft.as_ref().filter(|raft| raft.is_leader()) else {
            return;
        };
        let leader = self
            .leaders
            .entry(raft.term())
            .or_insert_with(|| name.to_owned());
        assert_eq!(leader, name, "two leaders in term {}", raft.term());
    }

    /// Checks that the state that a message implies is on the sender's disk, so that a restart
    /// would read it.
    pub(super) fn check_message_is_persisted(&mut self, name: &str, to: &str, message: &Message) {
        let Some(node) = self.nodes.get(name).filter(|node| node.raft.is_some()) else {
            return;
        };
        assert_eq!(
            node.disk.identity,
            Some(message.identity),
            "{name} sends an identity that is not on its disk"
        );
        match &message.body {
            Some(MessageBody::AppendEntriesResponse(response)) if response.success => {
                self.check_acknowledgement(name, message.term, response);
            }
            Some(MessageBody::RequestVoteResponse(vote)) if vote.granted && !vote.pre_vote => {
                self.check_vote(name, to, vote);
            }
            _ => {}
        }
    }

    fn check_acknowledgement(
        &mut self,
        name: &str,
        message_term: u64,
        response: &AppendEntriesResponse,
    ) {
        let node = self.node_mut(name);
        let Some(memory) = node.raft.as_ref().map(Raft::persistent_state) else {
            return;
        };
        let match_index = response.match_index;
        assert!(
            match_index <= node.disk.last_index(),
            "{name} acknowledges entry {match_index}, which is not on its disk"
        );
        for index in node.disk.snapshot.index..=match_index {
            let (on_disk, in_memory) = (node.disk.term_at(index), memory.term_at(index));
            let is_compacted = index < memory.snapshot.index;
            assert!(
                is_compacted || on_disk == in_memory,
                "{name} has term {in_memory:?} at {index} in memory and {on_disk:?} on disk"
            );
        }
        let acknowledgement = Acknowledgement {
            index: match_index,
            entry_term: node.disk.term_at(match_index).unwrap_or(0),
            message_term,
        };
        let is_latest = node.last_acknowledgement.is_none_or(|last| {
            (last.message_term, last.index) <= (acknowledgement.message_term, acknowledgement.index)
        });
        if is_latest {
            node.last_acknowledgement = Some(acknowledgement);
        }
    }

    fn check_vote(&self, name: &str, to: &str, vote: &RequestVoteResponse) {
        let disk = &self.nodes[name].disk;
        let is_on_disk = disk.term > vote.requested_term
            || (disk.term == vote.requested_term && disk.voted_for == to);
        assert!(
            is_on_disk,
            "{name} votes for {to} in term {}, and the vote is not on its disk",
            vote.requested_term
        );
    }

    /// Checks that the state in memory results from all updates, and that the disk still has the
    /// entries that the node has acknowledged.
    fn check_state(&self, name: &str) {
        let node = &self.nodes[name];
        if let Some(raft) = &node.raft {
            assert!(
                *raft.persistent_state() == node.written,
                "{name}: the state in memory differs from the one that a restart would read"
            );
        }
        if let Some(acknowledgement) = node.last_acknowledgement {
            let Acknowledgement {
                index, entry_term, ..
            } = acknowledgement;
            let disk = &node.disk;
            let is_persisted = index < disk.snapshot.index
                || disk.term_at(index) == Some(entry_term)
                || disk.term > acknowledgement.message_term;
            assert!(
                is_persisted,
                "{name} has acknowledged entry {index} of term {entry_term}, which is not on its disk"
            );
        }
    }

    /// Checks that a node that reports quorum contact at a time has committed all entries that were
    /// committed by then, and that a node that was partitioned off a second ago reports no contact.
    fn check_contact(&self, name: &str) {
        let node = &self.nodes[name];
        let Some(raft) = &node.raft else { return };
        let contact = raft.last_quorum_contact(self.now);
        let missing = self.first_missing(raft.commit_index(), contact);
        assert!(
            missing.is_none(),
            "{name} reports quorum contact at {contact} and lacks entry {missing:?}"
        );
        if !raft.has_quorum_contact(self.now) {
            return;
        }
        let missing = self.first_missing(raft.commit_index(), self.now - QUORUM_CONTACT_TIMEOUT);
        assert!(
            missing.is_none(),
            "{name} has quorum contact at {} and lacks entry {missing:?}",
            self.now
        );
        let is_partitioned = node
            .partition
            .is_some_and(|partition| self.now - partition.since >= QUORUM_CONTACT_TIMEOUT);
        assert!(
            !is_partitioned,
            "{name} was partitioned off for a second and reports quorum contact"
        );
    }

    /// Returns index and commit time of the first entry after `commit`, if it was committed before
    /// `time`.
    fn first_missing(&self, commit: u64, time: f64) -> Option<(u64, f64)> {
        let (index, known) = self.committed.range(commit + 1..).next()?;
        (known.committed_at < time).then_some((*index, known.committed_at))
    }

    /// Checks that a node that was frozen for a second neither leads nor reports quorum contact,
    /// whatever messages waited in its sockets.
    pub(super) fn check_has_no_contact(&self, name: &str) {
        let Some(raft) = &self.nodes[name].raft else {
            return;
        };
        assert!(!raft.is_leader(), "{name} resumes and is still leader");
        assert!(
            !raft.has_quorum_contact(self.now),
            "{name} resumes and reports quorum contact"
        );
    }
}
