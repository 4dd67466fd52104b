//! Log events of a node. `Display` formats the line that operators read: `event=...` and further
//! `key=value` pairs.

use super::constants::Millis;
use crate::message::Member;
use std::fmt;

/// An event that is logged for operators.
#[derive(Debug)]
pub(super) enum Event<'a> {
    /// This leader stepped down, without proof of recent contact with a quorum.
    LeaderSteppedDown { term: u64, last_contact_age: Millis },
    /// This node's log lacks the entry before those that the leader sent. Logged once until the
    /// node has caught up.
    ReplicaLagging {
        last_index: u64,
        leader: &'a str,
        leader_commit: u64,
    },
    /// A peer sent entries whose indexes are not consecutive.
    BadAppendEntries { peer: &'a str },
    /// A peer sent a snapshot that is too large or does not match its checksum.
    SnapshotCorrupt {
        index: u64,
        defect: SnapshotDefect,
        from: &'a str,
    },
    /// A complete snapshot was received.
    SnapshotReceived {
        index: u64,
        bytes: usize,
        from: &'a str,
    },
    /// A peer has received the whole snapshot from this leader.
    SnapshotSent {
        to: &'a str,
        index: u64,
        bytes: usize,
        duration: Millis,
    },
    /// This leader has asked a peer to start an election.
    LeadershipTransfer {
        to: &'a str,
        caught_up: bool,
        last_index: u64,
    },
    /// A committed membership change added this member.
    MemberAdded(MemberChange<'a>),
    /// A committed membership change removed this member.
    MemberRemoved(MemberChange<'a>),
}

/// The defect of a received snapshot.
#[derive(Debug)]
pub(super) enum SnapshotDefect {
    /// The snapshot's total length exceeds the maximum.
    Length { bytes: u64 },
    /// The chunk at this offset does not match its checksum.
    Chunk { offset: u64 },
    /// The complete state does not match its checksum.
    State { bytes: u64 },
}

/// A member that a committed membership change adds or removes.
#[derive(Debug)]
pub(super) struct MemberChange<'a> {
    pub member: &'a Member,
    /// The reason in the entry's payload, which may come from an older version of this program.
    pub why: &'a str,
    pub index: u64,
    pub member_count: usize,
}

impl fmt::Display for Event<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Event::LeaderSteppedDown {
                term,
                last_contact_age,
            } => write!(
                f,
                "event=leader_stepped_down term={term} last_contact_ms={last_contact_age:.0}"
            ),
            Event::ReplicaLagging {
                last_index,
                leader,
                leader_commit,
            } => write!(
                f,
                "event=replica_lagging last={last_index} leader={leader} leader_commit={leader_commit}"
            ),
            Event::BadAppendEntries { peer } => {
                write!(f, "event=bad_append_entries step=read field=index peer={peer}")
            }
            Event::SnapshotCorrupt { index, defect, from } => {
                write!(f, "event=snapshot_corrupt index={index} {defect} from={from}")
            }
            Event::SnapshotReceived { index, bytes, from } => write!(
                f,
                "event=snapshot_received index={index} bytes={bytes} from={from}"
            ),
            Event::SnapshotSent {
                to,
                index,
                bytes,
                duration,
            } => write!(
                f,
                "event=snapshot_sent to={to} index={index} bytes={bytes} ms={duration:.0}"
            ),
            Event::LeadershipTransfer {
                to,
                caught_up,
                last_index,
            } => write!(
                f,
                "event=leadership_transfer to={to} caught_up={caught_up} last={last_index}"
            ),
            Event::MemberAdded(change) => write!(f, "event=member_added {change}"),
            Event::MemberRemoved(change) => write!(f, "event=member_removed {change}"),
        }
    }
}

impl fmt::Display for SnapshotDefect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SnapshotDefect::Length { bytes } => write!(f, "field=length bytes={bytes}"),
            SnapshotDefect::Chunk { offset } => write!(f, "field=chunk offset={offset}"),
            SnapshotDefect::State { bytes } => write!(f, "field=state bytes={bytes}"),
        }
    }
}

impl fmt::Display for MemberChange<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Member { name, identity } = self.member;
        let (why, index, count) = (self.why, self.index, self.member_count);
        write!(
            f,
            "name={name} identity={identity:x} why={why} index={index} members={count}"
        )
    }
}
