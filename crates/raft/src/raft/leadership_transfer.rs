//! Graceful shutdown: a leader transfers its leadership (dissertation, 3.10), a follower waits to
//! be released.
//!
//! Invariant: no committed entry depends on the disk of a node that may stop. Entries that it
//! helped to commit are by then on all other reachable disks, and it no longer counts towards the
//! commitment of further entries (`docs/design/control-membership.md`).

use super::constants::Millis;
use super::event::Event;
use super::progress::Progress;
use super::role::LeaderState;
use super::{Member, MessageBody, Raft, Ready, TimeoutNow};

/// A leader that is shutting down transfers its leadership after this time at the latest, whether
/// the other nodes have caught up or not.
const TRANSFER_TIMEOUT: Millis = 1500.0;

/// A reachable voter other than the leader.
type ReachablePeer<'a> = (&'a String, &'a Progress);

impl Raft {
    /// Begins a graceful shutdown. From now on this node votes and responds, but is not elected. A
    /// leader replicates its log up to the last entry and transfers its leadership; any other node
    /// asks its leader for permission to stop (release). [`Raft::may_stop`] returns true once the
    /// node may stop.
    pub fn shut_down(&mut self, now: Millis, ready: &mut Ready) {
        self.begin_input(now, ready);
        self.shutdown_since.get_or_insert(now);
        self.membership_request.stopping = true;
        if self.has_leader_role() {
            self.send_to_all(now, ready);
            self.transfer_leadership(now, ready);
        } else if let Some(leader) = self.leader_id.clone() {
            self.acknowledge(&leader, 0, ready);
        }
    }

    /// Returns whether this node is shutting down and may stop: no committed entry depends on it
    /// alone.
    pub fn may_stop(&self, _now: Millis) -> bool {
        let is_needed = self.is_active(&self.local_member) && !self.peer_names().is_empty();
        self.shutdown_since.is_some() && (self.released || !is_needed)
    }

    /// Transfers the leadership if this leader resigns; otherwise permits peers that are shutting
    /// down to stop (releases them).
    pub(super) fn transfer_leadership(&mut self, now: Millis, ready: &mut Ready) {
        let Some(leader) = self.leader_state() else {
            return;
        };
        let peers = self.reachable_peers(now, leader);
        if let Some(since) = self.resigning_since() {
            let transfer_target = self.transfer_target(&peers);
            if !transfer_target.caught_up && now - since < TRANSFER_TIMEOUT {
                return;
            }
            self.transfer_to(now, transfer_target, ready);
        } else {
            let names = self.releasable_peers(&peers);
            self.release_peers(now, names, ready);
        }
    }

    /// Returns the time since which this leader has been resigning; `None` if it is not. A leader
    /// that is not a member any more, by an entry of an earlier leader, resigns at once.
    fn resigning_since(&self) -> Option<Millis> {
        let is_removed = !self.in_joint_configuration() && !self.is_voter();
        self.shutdown_since
            .or(is_removed.then_some(f64::NEG_INFINITY))
    }

    fn reachable_peers<'a>(&self, now: Millis, leader: &'a LeaderState) -> Vec<ReachablePeer<'a>> {
        let is_voter = |name: &String, progress: &Progress| {
            self.is_active(&Member {
                name: name.clone(),
                identity: progress.identity,
            })
        };
        leader
            .progress
            .iter()
            .filter(|(name, progress)| progress.is_reachable(now) && is_voter(name, progress))
            .collect()
    }

    /// Returns the peer with the highest match index among those that are not shutting down.
    fn transfer_target(&self, peers: &[ReachablePeer]) -> TransferTarget {
        let last_index = self.persistent.last_index();
        let candidates = || peers.iter().filter(|(_, progress)| !is_stopping(progress));
        let best = candidates().max_by_key(|(_, progress)| progress.match_index);
        TransferTarget {
            name: best.map(|(name, _)| (*name).clone()),
            caught_up: candidates().all(|(_, progress)| progress.match_index >= last_index),
        }
    }

    fn transfer_to(&mut self, now: Millis, transfer_target: TransferTarget, ready: &mut Ready) {
        if let Some(name) = transfer_target.name {
            ready.log(&Event::LeadershipTransfer {
                to: &name,
                caught_up: transfer_target.caught_up,
                last_index: self.persistent.last_index(),
            });
            self.send_after_term(&name, MessageBody::TimeoutNow(TimeoutNow {}), ready);
        }
        self.become_follower(now, None, ready);
        self.released = self.shutdown_since.is_some();
    }

    /// Returns the names of the peers to release: they are shutting down and not released yet, and
    /// all committed entries are persisted on this node and on all other reachable voters that are
    /// not shutting down.
    fn releasable_peers(&self, peers: &[ReachablePeer]) -> Vec<String> {
        if self.persisted_index < self.commit_index {
            return Vec::new();
        }
        let has_committed = |progress: &Progress| progress.match_index >= self.commit_index;
        let others_have_committed = |released: &String| {
            peers.iter().all(|(name, progress)| {
                *name == released || is_stopping(progress) || has_committed(progress)
            })
        };
        peers
            .iter()
            .filter(|(_, progress)| is_stopping(progress) && progress.released_at.is_none())
            .filter(|(name, _)| others_have_committed(name))
            .map(|(name, _)| (*name).clone())
            .collect()
    }

    fn release_peers(&mut self, now: Millis, names: Vec<String>, ready: &mut Ready) {
        let commit_index = self.commit_index;
        for name in names {
            let leader = self.leader_state_mut();
            if let Some(progress) = leader.and_then(|leader| leader.progress.get_mut(&name)) {
                progress.released_at = Some(commit_index);
            }
            self.send_to(now, &name, ready);
        }
    }
}

/// The peer to which a leader transfers its leadership.
struct TransferTarget {
    /// Name of the peer; `None` if all reachable voters are shutting down.
    name: Option<String>,
    /// Whether all reachable voters that are not shutting down have persisted the whole log.
    caught_up: bool,
}

fn is_stopping(progress: &Progress) -> bool {
    progress.membership_request.stopping
}
