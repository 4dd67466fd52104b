//! The actions that are possible in a state.

use super::state::{NodeId, Payload, SentMessage, State};
use super::{starts_with, Configuration, ConsensusModel, Members, FAULTY, NODE_COUNT};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    StartElection(NodeId),
    Receive(NodeId, SentMessage),
    BecomeLeader(NodeId),
    Propose(NodeId, u8),
    SendAppend(NodeId),
    Commit(NodeId),
    ChangeMembers(NodeId, Members),
    Crash(NodeId),
    LoseDisk(NodeId),
    Replace(NodeId),
}

/// The command that the operator proposes to the first leader, and the one proposed to later
/// leaders.
const FIRST_COMMAND: u8 = 1;
const SECOND_COMMAND: u8 = 2;

impl ConsensusModel {
    pub(super) fn possible_actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.is_violated {
            return;
        }
        for id in 0..NODE_COUNT {
            if state.node(id).up {
                self.election_actions(state, id, actions);
                if state.node(id).is_leader {
                    self.leader_actions(state, id, actions);
                }
                self.fault_actions(state, id, actions);
                let messages = state.sent.iter();
                let effective = messages.filter(|message| has_effect(state, id, message));
                actions.extend(effective.map(|message| Action::Receive(id, message.clone())));
            }
        }
        let faulty = state.node(FAULTY);
        if state.replacements < self.max_replacements
            && faulty.up
            && !faulty.log.is_empty()
            && is_repaired(state)
        {
            actions.push(Action::Replace(FAULTY));
        }
    }

    fn election_actions(&self, state: &State, id: NodeId, actions: &mut Vec<Action>) {
        let node = state.node(id);
        let members = Configuration::of(&node.log).current;
        let is_member = members.contains(&state.member(id));
        if !node.is_leader && is_member && node.term < self.max_term {
            actions.push(Action::StartElection(id));
        }
        if node.is_candidate {
            actions.push(Action::BecomeLeader(id));
        }
    }

    fn leader_actions(&self, state: &State, id: NodeId, actions: &mut Vec<Action>) {
        let node = state.node(id);
        let mut entries = node.log.iter();
        let has_command = entries.any(|entry| matches!(entry.payload, Payload::Command(_)));
        if node.has_committed_own_term() && !has_command {
            let command = if node.term > 1 {
                SECOND_COMMAND
            } else {
                FIRST_COMMAND
            };
            actions.push(Action::Propose(id, command));
        }
        if !state.sent.contains(&self.append_message(node, id)) {
            actions.push(Action::SendAppend(id));
        }
        if self.committable_length(state, id).is_some() {
            actions.push(Action::Commit(id));
        }
        if let Some(members) = self.due_membership(state, id) {
            actions.push(Action::ChangeMembers(id, members));
        }
    }

    fn fault_actions(&self, state: &State, id: NodeId, actions: &mut Vec<Action>) {
        if state.crashes < self.max_crashes && state.node(id).is_leader {
            actions.push(Action::Crash(id));
        }
        if state.disk_losses < self.max_disk_losses && id == FAULTY && is_repaired(state) {
            actions.push(Action::LoseDisk(id));
        }
    }
}

/// Returns whether all crashes and losses of disks or machines so far are repaired: every member of
/// the committed configuration is up, has the disk with the right identity, and has all committed
/// entries.
fn is_repaired(state: &State) -> bool {
    let members = Configuration::of(&state.committed).current;
    members.iter().all(|member| {
        let node = state.node(member.node);
        node.up && node.identity == member.identity && starts_with(&node.log, &state.committed)
    })
}

/// Returns whether a message may change the state of a node. Most messages that were ever sent no
/// longer do.
fn has_effect(state: &State, id: NodeId, message: &SentMessage) -> bool {
    let (node, member) = (state.node(id), state.member(id));
    match message {
        SentMessage::RequestVote {
            term, candidate, ..
        } => {
            let vote = SentMessage::Vote {
                term: *term,
                candidate: *candidate,
                voter: member,
            };
            let may_vote = || *term == node.term && !node.is_leader && !state.sent.contains(&vote);
            *candidate != id && (*term > node.term || may_vote())
        }
        SentMessage::Append {
            term,
            leader,
            log,
            commit,
        } => {
            let acknowledgement = SentMessage::Acknowledge {
                term: *term,
                member,
                length: log.len(),
            };
            let is_known = !node.is_leader
                && !node.is_candidate
                && *commit <= node.commit
                && starts_with(&node.log, log);
            let is_new = || !(is_known && state.sent.contains(&acknowledgement));
            *leader != id && (*term > node.term || *term == node.term && is_new())
        }
        SentMessage::Vote { .. } | SentMessage::Acknowledge { .. } => false,
    }
}
