//! A model of the consensus rules for exhaustive search: three members and a machine that may replace one, two
//! operators with different commands for the same change, a leader that crashes, a member that loses its disk, a member
//! that is replaced for good.
//!
//! It models the design (`docs/design/control.md`), not the code, which `safety.rs` runs in a simulator. Whatever was
//! sent stays in a set and may arrive at any time, any number of times or never: this covers loss, duplication and
//! reordering. Disk writes are part of the action that causes them; a crash loses only what is in memory.

mod actions;
pub mod properties;
mod state;
mod transitions;

use state::{Entry, Log, Member, Members, Node, NodeId, Payload, SentMessage, State};
use std::collections::BTreeSet;

/// Three initial members and one machine that may replace one.
const NODE_COUNT: u8 = 4;
const INITIAL_MEMBERS: u8 = 3;
/// The machine that comes in place of another.
const NEWCOMER: NodeId = NODE_COUNT - 1;
/// The member that loses its disk or is replaced.
const FAULTY: NodeId = 2;
/// Added to the identity of a disk that was lost, for the new one.
const NEW_IDENTITY_OFFSET: u8 = 10;

/// The right rules, and deliberately wrong ones that the search has to find.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    Right,
    /// What is on the leader's own disk is committed.
    CommitOnOneDisk,
    /// A member that has lost its disk returns with its old identity.
    WipedVotes,
    /// A change of members is committed by a majority of the new members alone.
    NewMajorityAlone,
}

/// The rules, and bounds on what may happen.
#[derive(Clone, Copy)]
pub struct ConsensusModel {
    pub variant: Variant,
    pub max_crashes: u8,
    pub max_disk_losses: u8,
    pub max_replacements: u8,
    pub max_term: u8,
}

/// Members as a log gives them.
struct Configuration {
    current: Members,
    previous: Members,
    /// Length of the log up to and with the last membership entry; 0 for none.
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
    /// Whether these members are a quorum for a node with this log, of which it knows so much to be committed.
    fn is_quorum(&self, log: &[Entry], commit: usize, present: &Members) -> bool {
        let configuration = Configuration::of(log);
        let is_joint = configuration.length > commit && self.variant != Variant::NewMajorityAlone;
        is_majority(&configuration.current, present)
            && (!is_joint || is_majority(&configuration.previous, present))
    }

    /// What a leader sends to all. Its commit length matters to others only where members change.
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

    /// The greatest length of its log that a leader may commit now.
    fn committable_length(&self, state: &State, leader: NodeId) -> Option<usize> {
        let node = state.node(leader);
        (node.commit + 1..=node.log.len()).rev().find(|length| {
            let mut present = state.acknowledged_by(node.term, *length);
            present.insert(state.member(leader));
            let has_quorum = self.variant == Variant::CommitOnOneDisk
                || self.is_quorum(&node.log, node.commit, &present);
            node.log[length - 1].term == node.term && has_quorum
        })
    }

    /// The members that a leader would change to: with a node that came back with another disk, or one that takes the
    /// place of one that is down, if that one has all that is committed.
    fn due_membership(&self, state: &State, leader: NodeId) -> Option<Members> {
        let node = state.node(leader);
        let configuration = Configuration::of(&node.log);
        if configuration.length > node.commit || !node.has_committed_own_term() {
            return None;
        }
        let members = configuration.current;
        let acknowledged = state.acknowledged_by(node.term, node.commit);
        for id in 0..NODE_COUNT {
            let newcomer = state.member(id);
            let may_join = state.node(id).up
                && id != leader
                && !members.contains(&newcomer)
                && acknowledged.contains(&newcomer);
            if !may_join {
                continue;
            }
            let is_replaceable = |member: &&Member| {
                member.node == id || (id == NEWCOMER && !state.node(member.node).up)
            };
            if let Some(replaced) = members.iter().find(is_replaceable).copied() {
                let mut changed: BTreeSet<Member> = members.clone();
                changed.remove(&replaced);
                changed.insert(newcomer);
                return Some(changed);
            }
        }
        None
    }
}

/// Whether a log has all of another at its beginning.
fn starts_with(log: &Log, prefix: &[Entry]) -> bool {
    log.starts_with(prefix)
}
