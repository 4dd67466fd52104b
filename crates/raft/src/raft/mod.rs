//! A Raft node: its state and its inputs.
//!
//! Invariants, each with the modules that maintain it:
//!
//! - election safety, at most one leader in a term (paper, 5.2): `election`;
//! - log matching (5.3): `follower`, `replication`;
//! - leader completeness (5.4): `election`, `quorum`;
//! - a message is sent only after the term, vote and identity in it are persisted: `outbox`;
//! - the state in memory is the one that a restart would read once all writes are persisted: `log`.

mod config;
mod constants;
mod election;
mod event;
mod follower;
mod join;
mod leadership_transfer;
mod log;
mod membership;
mod outbox;
mod progress;
mod quorum;
mod quorum_contact;
mod read_index;
mod replication;
mod role;
mod send_times;
mod snapshot;
mod snapshot_transfer;
mod status;
mod step;

use crate::message::*;
use crate::persistent_state::{Configuration, PersistentState};
pub use config::{Config, Ready};
use constants::*;
use log::PendingEntryWrite;
pub use membership::MAX_MEMBERS;
use outbox::DeferredMessage;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use role::Role;
use send_times::SendTimes;
use snapshot::{CompactedEntries, LogSize};
use snapshot_transfer::IncomingSnapshot;
use std::collections::{BTreeSet, VecDeque};

/// A Raft node that does no I/O.
///
/// Every input takes the time in milliseconds on the caller's monotonic clock, and appends the
/// resulting actions to a [`Ready`].
pub struct Raft {
    local_member: Member,
    rng: Pcg32,
    now: Millis,
    started_at: Millis,

    /// Term, vote, snapshot and log, including writes that are not persisted yet.
    persistent: PersistentState,
    log_size: LogSize,
    compacted: CompactedEntries,
    incoming_snapshot: Option<IncomingSnapshot>,

    configuration: Configuration,
    /// Names of the current members in `configuration`.
    voter_names: BTreeSet<String>,
    /// The role that this node requests from its leader.
    membership_request: MembershipRequest,
    max_failures: usize,
    interchangeable: bool,
    skip_joint_quorum: bool,

    role: Role,
    leader_id: Option<String>,
    /// When a message from a leader was last read, or this node was elected.
    last_leader_message_at: Millis,
    /// The last leader that sent a message; kept when a new election starts.
    last_leader: Option<LastLeader>,
    election_deadline: Millis,
    next_join_request: Millis,

    commit_index: u64,
    /// The log is known to match the current leader's up to this index.
    verified_index: u64,
    /// Numbers of the last write passed to the caller and of the last persisted one.
    last_write: u64,
    persisted_write: u64,
    pending_entry_writes: VecDeque<PendingEntryWrite>,
    /// The log is persisted up to this index.
    persisted_index: u64,
    /// Number of the write with the current term or this disk's identity: no message is sent before
    /// it is persisted.
    term_write: u64,
    deferred_messages: VecDeque<DeferredMessage>,

    last_read_id: u64,
    /// Numbers of this node's responses to leaders, with the time at which each was created.
    response_times: SendTimes,
    /// Time of the last proven contact with a quorum, as a voter or not; `last_quorum_contact`
    /// returns that of the next field instead.
    quorum_contact: Millis,
    /// Time of the last proven contact with a quorum whose leader counted this node as a voter.
    voter_quorum_contact: Millis,
    /// Whether `replica_lagging` has been logged since this node last caught up.
    is_lagging: bool,

    /// When this node began to shut down.
    shutdown_since: Option<Millis>,
    /// Whether this node may stop when it shuts down: no committed entry depends on its disk.
    released: bool,
}

/// A leader that has sent this node a message.
#[derive(Debug)]
struct LastLeader {
    name: String,
    last_message_at: Millis,
}

impl Raft {
    /// Creates a node from the state `persistent` that was read from its disk. `seed` is its only
    /// source of randomness.
    pub fn new(
        name: &str,
        now: Millis,
        seed: u64,
        persistent: PersistentState,
        config: &Config,
        ready: &mut Ready,
    ) -> Raft {
        let mut rng = Pcg32::seed_from_u64(seed);
        let new_identity = rng.next_u64().max(1);
        let first_response = rng.next_u64() >> 2;
        let election_deadline = now + FIRST_PRE_VOTE_DELAY * (1.0 + 3.0 * uniform(&mut rng));
        let identity = persistent.identity;
        let mut node = Raft {
            local_member: Member {
                name: name.to_owned(),
                identity: identity.unwrap_or(new_identity),
            },
            rng,
            now,
            started_at: now,
            log_size: LogSize::of(&persistent),
            compacted: CompactedEntries::default(),
            incoming_snapshot: None,
            configuration: Configuration::default(),
            voter_names: BTreeSet::new(),
            membership_request: MembershipRequest {
                voter: config.voter,
                initial: config.initial_members.is_some(),
                stopping: false,
            },
            max_failures: config.max_failures,
            interchangeable: config.interchangeable,
            skip_joint_quorum: config.skip_joint_quorum,
            role: Role::Follower,
            leader_id: None,
            last_leader_message_at: f64::NEG_INFINITY,
            last_leader: None,
            election_deadline,
            next_join_request: now,
            commit_index: 0,
            verified_index: 0,
            last_write: 0,
            persisted_write: 0,
            pending_entry_writes: VecDeque::new(),
            persisted_index: persistent.last_index(),
            term_write: 0,
            deferred_messages: VecDeque::new(),
            last_read_id: 0,
            response_times: SendTimes::after(first_response),
            quorum_contact: f64::NEG_INFINITY,
            voter_quorum_contact: f64::NEG_INFINITY,
            is_lagging: false,
            shutdown_since: None,
            released: false,
            persistent,
        };
        if identity.is_none() {
            node.initialize_disk(config.initial_members, ready);
        }
        node.commit_index = node.persistent.snapshot.index;
        node.persisted_index = node.persisted_index.max(node.commit_index);
        node.refresh_configuration();
        node
    }

    /// Writes the identity of a new disk and, at the first start of the whole system, the initial
    /// members.
    fn initialize_disk(&mut self, initial_members: Option<&[String]>, ready: &mut Ready) {
        if initial_members.is_some() {
            self.local_member.identity = 0;
        }
        let update = PersistentUpdate {
            identity: Some(self.local_member.identity),
            snapshot: initial_members.map(initial_snapshot),
            ..PersistentUpdate::default()
        };
        self.write(update, ready);
        self.term_write = self.last_write;
    }

    /// Advances time; must be called about every 100 ms.
    pub fn tick(&mut self, now: Millis, ready: &mut Ready) {
        if self.begin_input(now, ready) {
            return;
        }
        if self.has_leader_role() {
            self.send_heartbeats(now, ready);
            self.propose_membership_change(now, ready);
            self.transfer_leadership(now, ready);
            return;
        }
        let is_promotable = self.is_promotable();
        if is_promotable && now >= self.election_deadline {
            self.start_pre_vote(now, ready);
        }
        self.request_to_join(now, is_promotable, ready);
    }

    /// Reports that all writes up to `number` are persisted.
    pub fn persisted(&mut self, now: Millis, number: u64, ready: &mut Ready) {
        self.begin_input(now, ready);
        self.persisted_write = self.persisted_write.max(number).min(self.last_write);
        self.update_persisted_index();
        self.release_deferred_messages(ready);
        if self.has_leader_role() {
            self.advance_commit(now, ready);
        } else if let Some(leader) = self.leader_id.clone() {
            self.acknowledge(&leader, 0, ready);
        }
    }

    /// Appends a command to the log and returns its index; `None` unless this node is the leader
    /// and not shutting down. The command is committed once its entry appears in
    /// [`Ready::committed_entries`].
    pub fn propose(&mut self, now: Millis, payload: Vec<u8>, ready: &mut Ready) -> Option<u64> {
        if self.begin_input(now, ready) || !self.is_leader() || self.shutdown_since.is_some() {
            return None;
        }
        let index = self.append_entry(EntryKind::Command, payload, Vec::new(), ready);
        self.send_to_all(now, ready);
        Some(index)
    }

    /// Starts every input: records the time, and makes a leader without recent quorum contact step
    /// down. Returns whether this node has stepped down.
    fn begin_input(&mut self, now: Millis, ready: &mut Ready) -> bool {
        self.now = now;
        let steps_down = self.has_leader_role() && self.leader_has_lost_quorum(now);
        if steps_down {
            self.step_down(now, ready);
        }
        steps_down
    }
}

/// Returns the snapshot with the initial members, whose identity is 0. Its index is 1, so that a
/// node with an empty log lacks it and receives it before any entry.
fn initial_snapshot(names: &[String]) -> Snapshot {
    let names: BTreeSet<&String> = names.iter().collect();
    let members = names.into_iter().map(|name| Member {
        name: name.clone(),
        identity: 0,
    });
    Snapshot {
        index: 1,
        members: members.collect(),
        ..Snapshot::default()
    }
}

/// Draws a number uniformly from 0 (inclusive) to 1 (exclusive).
fn uniform(rng: &mut Pcg32) -> f64 {
    f64::from(rng.next_u32()) / 4_294_967_296.0
}
