//! The state of the model: its nodes, and all messages and entries ever sent and committed.

use std::collections::BTreeSet;

pub type NodeId = u8;
pub type Members = BTreeSet<Member>;
pub type Log = Vec<Entry>;

/// An address, and the identity of the disk behind it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Member {
    pub node: NodeId,
    pub identity: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Entry {
    pub term: u8,
    pub payload: Payload,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Payload {
    NoOp,
    /// A command for the change that both operators propose, with the content of one of them.
    Command(u8),
    Membership(Members),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Node {
    pub up: bool,
    pub identity: u8,
    pub term: u8,
    pub voted_for: Option<NodeId>,
    pub log: Log,
    /// Length of the part of its log that the node knows to be committed.
    pub commit: usize,
    pub is_leader: bool,
    pub is_candidate: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SentMessage {
    RequestVote {
        term: u8,
        candidate: NodeId,
        last_log_term: u8,
        log_length: usize,
    },
    Vote {
        term: u8,
        candidate: NodeId,
        voter: Member,
    },
    /// Replication of a leader's whole log.
    Append {
        term: u8,
        leader: NodeId,
        log: Log,
        commit: usize,
    },
    /// Acknowledgement that the member has persisted the leader's log up to `length`.
    Acknowledge {
        term: u8,
        member: Member,
        length: usize,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub nodes: Vec<Node>,
    pub sent: BTreeSet<SentMessage>,
    /// All entries that were ever committed.
    pub committed: Log,
    /// Contents of commands that were acknowledged to an operator as committed.
    pub acknowledged: BTreeSet<u8>,
    /// Each leader that there was, with its term.
    pub leaders: BTreeSet<(u8, NodeId)>,
    pub crashes: u8,
    pub disk_losses: u8,
    pub replacements: u8,
    /// Whether there were two leaders in a term, or two entries were committed at an index.
    pub is_violated: bool,
}

impl Node {
    /// Creates a node with an empty disk.
    pub fn empty(up: bool, identity: u8) -> Node {
        Node {
            up,
            identity,
            term: 0,
            voted_for: None,
            log: Vec::new(),
            commit: 0,
            is_leader: false,
            is_candidate: false,
        }
    }

    /// Returns whether the last committed entry is of the node's current term, which a leader needs
    /// before it proposes.
    pub fn has_committed_own_term(&self) -> bool {
        let last = self.log.get(self.commit.wrapping_sub(1));
        last.is_some_and(|entry| entry.term == self.term)
    }

    pub fn last_log_term(&self) -> u8 {
        self.log.last().map_or(0, |entry| entry.term)
    }
}

impl State {
    pub fn node(&self, id: NodeId) -> &Node {
        &self.nodes[usize::from(id)]
    }

    pub fn node_mut(&mut self, id: NodeId) -> &mut Node {
        &mut self.nodes[usize::from(id)]
    }

    /// Returns the node with its current identity.
    pub fn member(&self, node: NodeId) -> Member {
        let identity = self.node(node).identity;
        Member { node, identity }
    }

    /// Returns the members that have acknowledged at least `min_length` entries of the log of a
    /// term's leader.
    pub fn acknowledged_by(&self, leader_term: u8, min_length: usize) -> Members {
        let acknowledgement = |message: &SentMessage| match message {
            SentMessage::Acknowledge {
                term,
                member,
                length,
            } if *term == leader_term && *length >= min_length => Some(*member),
            _ => None,
        };
        self.sent.iter().filter_map(acknowledgement).collect()
    }

    /// Returns the members that have voted for a candidate in a term.
    pub fn votes_for(&self, id: NodeId, in_term: u8) -> Members {
        let vote = |message: &SentMessage| match message {
            SentMessage::Vote {
                term,
                candidate,
                voter,
            } if *term == in_term && *candidate == id => Some(*voter),
            _ => None,
        };
        self.sent.iter().filter_map(vote).collect()
    }
}
