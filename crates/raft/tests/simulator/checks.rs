//! What is checked after every input. A violation panics with the node's name.

use super::node::DiskClaim;
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

    /// Election safety (paper, 5.2).
    pub(super) fn check_one_leader_per_term(&mut self, name: &str) {
        let node = &self.nodes[name];
        let Some(raft) = node.raft.as_ref().filter(|raft| raft.is_leader()) else {
            return;
        };
        let leader = self
            .leaders
            .entry(raft.term())
            .or_insert_with(|| name.to_owned());
        assert_eq!(leader, name, "two lead in term {}", raft.term());
    }

    /// What a message claims of its sender's disk is on it: a restart would read it.
    pub(super) fn check_claims(&mut self, name: &str, to: &str, message: &Message) {
        let Some(node) = self.nodes.get(name).filter(|node| node.raft.is_some()) else {
            return;
        };
        assert_eq!(
            node.disk.identity,
            Some(message.identity),
            "{name} sends an identity that a restart would not know"
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
            "{name} acknowledges {match_index}, and a restart has less"
        );
        for index in node.disk.snapshot.index..=match_index {
            let (on_disk, in_memory) = (node.disk.term_at(index), memory.term_at(index));
            let is_compacted = index < memory.snapshot.index;
            assert!(
                is_compacted || on_disk == in_memory,
                "{name} has {in_memory:?} at {index}, a restart {on_disk:?}"
            );
        }
        let claim = DiskClaim {
            index: match_index,
            entry_term: node.disk.term_at(match_index).unwrap_or(0),
            message_term,
        };
        let is_latest = node.last_claim.is_none_or(|last| {
            (last.message_term, last.index) <= (claim.message_term, claim.index)
        });
        if is_latest {
            node.last_claim = Some(claim);
        }
    }

    fn check_vote(&self, name: &str, to: &str, vote: &RequestVoteResponse) {
        let disk = &self.nodes[name].disk;
        let is_on_disk = disk.term > vote.requested_term
            || (disk.term == vote.requested_term && disk.voted_for == to);
        assert!(
            is_on_disk,
            "{name} votes for {to} in {}, and a restart would not know",
            vote.requested_term
        );
    }

    /// Memory is what all updates amount to, and the disk still has what the node has acknowledged.
    fn check_state(&self, name: &str) {
        let node = &self.nodes[name];
        if let Some(raft) = &node.raft {
            assert!(
                *raft.persistent_state() == node.written,
                "{name} has another state in memory than a restart would read"
            );
        }
        if let Some(claim) = node.last_claim {
            let DiskClaim {
                index, entry_term, ..
            } = claim;
            let disk = &node.disk;
            let is_kept = index < disk.snapshot.index
                || disk.term_at(index) == Some(entry_term)
                || disk.term > claim.message_term;
            assert!(
                is_kept,
                "{name} has acknowledged {index} of term {entry_term}, and a restart lacks it"
            );
        }
    }

    /// A node that reports quorum contact at a time has applied all that was committed by then; one that is cut off
    /// altogether reports none a second later.
    fn check_contact(&self, name: &str) {
        let node = &self.nodes[name];
        let Some(raft) = &node.raft else { return };
        let contact = raft.last_quorum_contact(self.now);
        let missing = self.first_missing(raft.commit_index(), contact);
        assert!(
            missing.is_none(),
            "{name} lacks {missing:?}, and reports quorum contact at {contact}"
        );
        if !raft.has_quorum_contact(self.now) {
            return;
        }
        let missing = self.first_missing(raft.commit_index(), self.now - QUORUM_CONTACT_TIMEOUT);
        assert!(
            missing.is_none(),
            "{name} has quorum contact at {} and lacks {missing:?}",
            self.now
        );
        let is_partitioned = node
            .partition
            .is_some_and(|partition| self.now - partition.since >= QUORUM_CONTACT_TIMEOUT);
        assert!(
            !is_partitioned,
            "{name} was cut off for a second and reports quorum contact"
        );
    }

    /// The first entry after `commit` if it was committed before `time`, with its index and time.
    fn first_missing(&self, commit: u64, time: f64) -> Option<(u64, f64)> {
        let (index, known) = self.committed.range(commit + 1..).next()?;
        (known.at < time).then_some((*index, known.at))
    }

    /// A node that was frozen for a second neither leads nor reports quorum contact, whatever waited in its sockets.
    pub(super) fn check_knows_nothing_of_now(&self, name: &str) {
        let Some(raft) = &self.nodes[name].raft else {
            return;
        };
        assert!(!raft.is_leader(), "{name} resumes and leads");
        assert!(
            !raft.has_quorum_contact(self.now),
            "{name} resumes and reports quorum contact"
        );
    }
}
