//! The effects of actions.

use super::actions::Action;
use super::state::{Entry, Log, Node, NodeId, Payload, SentMessage, State};
use super::{
    starts_with, Configuration, ConsensusModel, Variant, NEW_IDENTITY_OFFSET, REPLACEMENT,
};

impl ConsensusModel {
    /// Performs an action. Returns `None` if the action turns out to be impossible.
    pub(super) fn perform(&self, state: &mut State, action: Action) -> Option<()> {
        match action {
            Action::StartElection(id) => start_election(state, id),
            Action::BecomeLeader(id) => self.become_leader(state, id)?,
            Action::Propose(id, content) => append(state, id, Payload::Command(content)),
            Action::ChangeMembers(id, members) => append(state, id, Payload::Membership(members)),
            Action::SendAppend(id) => {
                let message = self.append_message(state.node(id), id);
                state.sent.insert(message);
            }
            Action::Commit(id) => self.commit(state, id)?,
            Action::Crash(id) => crash(state, id),
            Action::LoseDisk(id) => self.lose_disk(state, id),
            Action::Replace(id) => replace(state, id),
            Action::Receive(id, message) => receive(state, id, message)?,
        }
        Some(())
    }

    fn become_leader(&self, state: &mut State, id: NodeId) -> Option<()> {
        let term = state.node(id).term;
        let mut votes = state.votes_for(id, term);
        votes.insert(state.member(id));
        let node = state.node_mut(id);
        if !self.is_quorum(&node.log, node.commit, &votes) {
            return None;
        }
        (node.is_leader, node.is_candidate) = (true, false);
        append(state, id, Payload::NoOp);
        let mut leaders = state.leaders.iter();
        state.is_violated |= leaders.any(|(other, leader)| *other == term && *leader != id);
        state.leaders.insert((term, id));
        Some(())
    }

    fn commit(&self, state: &mut State, id: NodeId) -> Option<()> {
        let length = self.committable_length(state, id)?;
        let node = state.node_mut(id);
        node.commit = length;
        let entries = node.log[..length].to_vec();
        for (position, entry) in entries.into_iter().enumerate() {
            if let Payload::Command(content) = entry.payload {
                state.acknowledged.insert(content);
            }
            match state.committed.get(position) {
                Some(known) => state.is_violated |= *known != entry,
                None => state.committed.push(entry),
            }
        }
        Some(())
    }

    fn lose_disk(&self, state: &mut State, id: NodeId) {
        let identity = if self.variant == Variant::ReusedIdentity {
            id
        } else {
            id + NEW_IDENTITY_OFFSET
        };
        *state.node_mut(id) = Node::empty(true, identity);
        state.disk_losses += 1;
    }
}

fn append(state: &mut State, id: NodeId, payload: Payload) {
    let node = state.node_mut(id);
    let term = node.term;
    node.log.push(Entry { term, payload });
}

fn start_election(state: &mut State, id: NodeId) {
    let node = state.node_mut(id);
    node.term += 1;
    node.voted_for = Some(id);
    node.is_candidate = true;
    let request = SentMessage::RequestVote {
        term: node.term,
        candidate: id,
        last_log_term: node.last_log_term(),
        log_length: node.log.len(),
    };
    state.sent.insert(request);
}

fn crash(state: &mut State, id: NodeId) {
    let node = state.node_mut(id);
    (node.is_leader, node.is_candidate, node.commit) = (false, false, 0);
    state.crashes += 1;
}

/// Removes a machine for good, and starts its replacement.
fn replace(state: &mut State, id: NodeId) {
    let node = state.node_mut(id);
    (node.up, node.is_leader, node.is_candidate) = (false, false, false);
    (node.log, node.term, node.voted_for) = (Vec::new(), 0, None);
    state.node_mut(REPLACEMENT).up = true;
    state.replacements += 1;
}

/// Processes a message. Votes and acknowledgements are never received: candidates and leaders look
/// them up among the sent messages.
fn receive(state: &mut State, id: NodeId, message: SentMessage) -> Option<()> {
    match message {
        SentMessage::RequestVote {
            term,
            candidate,
            last_log_term,
            log_length,
        } if candidate != id && term >= state.node(id).term => {
            let candidate_log = (last_log_term, log_length);
            receive_request_vote(state, id, term, candidate, candidate_log);
        }
        SentMessage::Append {
            term,
            leader,
            log,
            commit,
        } if leader != id && term >= state.node(id).term => {
            receive_append(state, id, term, log, commit);
        }
        _ => return None,
    }
    Some(())
}

fn receive_request_vote(
    state: &mut State,
    id: NodeId,
    term: u8,
    candidate: NodeId,
    candidate_log: (u8, usize),
) {
    let member = state.member(id);
    let node = state.node_mut(id);
    if term > node.term {
        (node.term, node.voted_for) = (term, None);
        (node.is_leader, node.is_candidate) = (false, false);
    }
    let own_log = (node.last_log_term(), node.log.len());
    let is_member = Configuration::of(&node.log).current.contains(&member);
    let can_vote_for_candidate = node.voted_for.is_none() || node.voted_for == Some(candidate);
    if is_member && can_vote_for_candidate && !node.is_leader && candidate_log >= own_log {
        node.voted_for = Some(candidate);
        state.sent.insert(SentMessage::Vote {
            term,
            candidate,
            voter: member,
        });
    }
}

fn receive_append(state: &mut State, id: NodeId, term: u8, log: Log, commit: usize) {
    let member = state.member(id);
    let node = state.node_mut(id);
    if term > node.term {
        (node.term, node.voted_for) = (term, None);
    }
    (node.is_leader, node.is_candidate) = (false, false);
    let length = log.len();
    node.commit = node.commit.max(commit.min(length));
    if !starts_with(&node.log, &log) {
        node.log = log;
    }
    state.sent.insert(SentMessage::Acknowledge {
        term,
        member,
        length,
    });
}
