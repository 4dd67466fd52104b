//! A model of the consensus rules for exhaustive search, with three members and a machine that may
//! replace one of them. Two operators propose different commands for the same change, a leader
//! crashes, a member loses its disk, and a member is replaced for good.
//!
//! The model covers the design (`docs/design/control.md`), not the code, which `safety.rs` runs in
//! a simulator. Sent messages stay in a set and may arrive at any time, any number of times or
//! never, which covers loss, duplication and reordering. Disk writes are part of the action that
//! causes them; a crash loses only the state in memory.

mod actions;
pub mod properties;
mod state;
mod transitions;

use state::{Entry, Log, Member, Members, Node, NodeId, Payload, SentMessage, State};
use std::collections::BTreeSet;

/// Number of machines: the initial members, and one that may replace one of them.
const NODE_COUNT: u8 = 4;
const INITIAL_MEMBERS: u8 = 3;
/// The machine that replaces another one.
const REPLACEMENT: NodeId = NODE_COUNT - 1;
/// The member that loses its disk or is replaced.
const FAULTY: NodeId = 2;
/// Number that is added to the identity of a lost disk to give that of the new disk.
const NEW_IDENTITY_OFFSET: u8 = 10;

/// The correct rules, and deliberately incorrect ones in which the search must find a violation.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    Correct,
    /// Entries count as committed once they are on the leader's own disk.
    CommitWithoutQuorum,
    /// A member that has lost its disk restarts with its old identity.
    ReusedIdentity,
    /// A membership change is committed by a majority of the new members alone.
    NewMajorityAlone,
}

/// The rules, and bounds on the number of faults and terms.
#[derive(Clone, Copy)]
pub struct ConsensusModel {
    pub variant: Variant,
    pub max_crashes: u8,
    pub max_disk_losses: u8,
    pub max_replacements: u8,
    pub max_term: u8,
}

/// The configuration given by a log.
struct Configuration {
    current: Members,
    previous: Members,
    /// Length of the log up to and including the last membership entry; 0 if there is none.
    length: usize,
}

impl Configuration {
    fn of(log: &[Entry]) -> Configuration {
        let initial: Members = (0..INITIAL_MEMBERS)
            .map(|node| Member {
                node,
                identity: node,
            })
            .collect();
        let mut configuration = Configuration {
            current: initial.clone(),
            previous: initial,
            length: 0,
        };
        for (position, entry) in log.iter().enumerate() {
            if let Payload::Membership(members) = &entry.payload {
                let members = members.clone();
                configuration.previous = std::mem::replace(&mut configuration.current, members);
                configuration.length = position + 1;
            }
        }
        configuration
    }
}

fn is_majority(members: &Members, present: &Members) -> bool {
    members.intersection(present).count() > members.len() / 2
}

impl ConsensusModel {
    /// Returns whether the members `present` are a quorum for a node with this log, of which it
    /// knows the first `commit` entries to be committed.
    fn is_quorum(&self, log: &[Entry], commit: usize, present: &Members) -> bool {
        let configuration = Configuration::of(log);
        let is_joint = configuration.length > commit && self.variant != Variant::NewMajorityAlone;
        is_majority(&configuration.current, present)
            && (!is_joint || is_majority(&configuration.previous, present))
    }

    /// Returns the message that a leader sends to all nodes. The message contains the commit length
    /// only if the log changes the members, since a commit length has no effect otherwise.
    fn append_message(&self, node: &Node, leader: NodeId) -> SentMessage {
        let is_membership = |entry: &Entry| matches!(entry.payload, Payload::Membership(_));
        let changes_members = node.log.iter().any(is_membership);
        SentMessage::Append {
            term: node.term,
            leader,
            log: node.log.clone(),
            commit: if changes_members { node.commit } else { 0 },
        }
    }

    /// Returns the greatest length of its log that a leader may commit now.
    fn committable_length(&self, state: &State, leader: NodeId) -> Option<usize> {
        let node = state.node(leader);
        (node.commit + 1..=node.log.len()).rev().find(|length| {
            let mut present = state.acknowledged_by(node.term, *length);
            present.insert(state.member(leader));
            let has_quorum = self.variant == Variant::CommitWithoutQuorum
                || self.is_quorum(&node.log, node.commit, &present);
            node.log[length - 1].term == node.term && has_quorum
        })
    }

    /// Returns the members of the change that a leader would propose: it adds a node that has
    /// restarted with another disk, or the replacement for a node that is down, once the added node
    /// has all committed entries.
    fn due_membership(&self, state: &State, leader: NodeId) -> Option<Members> {
        let node = state.node(leader);
        let configuration = Configuration::of(&node.log);
        if configuration.length > node.commit || !node.has_committed_own_term() {
            return None;
        }
        let members = configuration.current;
        let acknowledged = state.acknowledged_by(node.term, node.commit);
        for id in 0..NODE_COUNT {
            let new_member = state.member(id);
            let may_join = state.node(id).up
                && id != leader
                && !members.contains(&new_member)
                && acknowledged.contains(&new_member);
            if !may_join {
                continue;
            }
            let is_replaceable = |member: &&Member| {
                member.node == id || (id == REPLACEMENT && !state.node(member.node).up)
            };
            if let Some(replaced) = members.iter().find(is_replaceable).copied() {
                let mut changed: BTreeSet<Member> = members.clone();
                changed.remove(&replaced);
                changed.insert(new_member);
                return Some(changed);
            }
        }
        None
    }
}

/// Returns whether a log starts with all entries of another.
fn starts_with(log: &Log, prefix: &[Entry]) -> bool {
    log.starts_with(prefix)
}
