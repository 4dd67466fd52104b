//! Planned stops: a leader transfers its leadership (thesis, 3.10), a follower waits to be released.
//!
//! Invariant: nothing that is committed depends on the disk of a node that may stop. What was committed with its help
//! is by then on all other reachable disks, and nothing more is committed with it
//! (`docs/design/control-membership.md`).

use super::constants::Millis;
use super::event::Event;
use super::progress::Progress;
use super::role::LeaderState;
use super::{Member, MessageBody, Raft, Ready, TimeoutNow};

/// A leader that shuts down transfers its leadership after this at the latest, whether the others have caught up or
/// not.
const TRANSFER_TIMEOUT: Millis = 1500.0;

/// A reachable voter other than the leader.
type ReachablePeer<'a> = (&'a String, &'a Progress);

impl Raft {
    /// Begins a planned stop. From now on this node votes and responds, but is not elected. A leader brings the others
    /// up to its last entry and transfers its leadership; another node asks its leader to be released.
    /// [`Raft::may_stop`] tells when it is done.
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

    /// Whether this node, which is shutting down, may stop: nothing committed depends on it alone.
    pub fn may_stop(&self, _now: Millis) -> bool {
        let is_needed = self.is_active(&self.local_member) && !self.peer_names().is_empty();
        self.shutdown_since.is_some() && (self.released || !is_needed)
    }

    /// What a leader does for nodes that shut down, itself included.
    pub(super) fn transfer_leadership(&mut self, now: Millis, ready: &mut Ready) {
        let Some(leader) = self.leader_state() else {
            return;
        };
        let peers = self.reachable_peers(now, leader);
        if let Some(since) = self.resigns_since() {
            let successor = self.successor(&peers);
            if !successor.caught_up && now - since < TRANSFER_TIMEOUT {
                return;
            }
            self.transfer_to(now, successor, ready);
        } else {
            let names = self.releasable_peers(&peers);
            self.release_peers(now, names, ready);
        }
    }

    /// Since when this leader wants to give up its leadership. One that was removed, by an entry of an earlier leader,
    /// gives it up at once.
    fn resigns_since(&self) -> Option<Millis> {
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

    /// The peer with the most entries among those that do not shut down themselves.
    fn successor(&self, peers: &[ReachablePeer]) -> Successor {
        let last_index = self.persistent.last_index();
        let staying = || peers.iter().filter(|(_, progress)| !is_stopping(progress));
        let best = staying().max_by_key(|(_, progress)| progress.match_index);
        Successor {
            name: best.map(|(name, _)| (*name).clone()),
            caught_up: staying().all(|(_, progress)| progress.match_index >= last_index),
        }
    }

    fn transfer_to(&mut self, now: Millis, successor: Successor, ready: &mut Ready) {
        if let Some(name) = successor.name {
            ready.log(&Event::LeadershipTransfer {
                to: &name,
                caught_up: successor.caught_up,
                last_index: self.persistent.last_index(),
            });
            self.send_after_term(&name, MessageBody::TimeoutNow(TimeoutNow {}), ready);
        }
        self.become_follower(now, None, ready);
        self.released = self.shutdown_since.is_some();
    }

    /// Names of the peers that shut down and are not released yet, although all that is committed is on this disk and
    /// on those of all other reachable voters that stay.
    fn releasable_peers(&self, peers: &[ReachablePeer]) -> Vec<String> {
        if self.persisted_index < self.commit_index {
            return Vec::new();
        }
        let has_committed = |progress: &Progress| progress.match_index >= self.commit_index;
        let others_suffice = |released: &String| {
            peers.iter().all(|(name, progress)| {
                *name == released || is_stopping(progress) || has_committed(progress)
            })
        };
        peers
            .iter()
            .filter(|(_, progress)| is_stopping(progress) && progress.released_at.is_none())
            .filter(|(name, _)| others_suffice(name))
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

/// Whom a leader asks to take over.
struct Successor {
    /// `None` where no voter is reachable that stays.
    name: Option<String>,
    /// Whether all reachable voters that stay have the whole log.
    caught_up: bool,
}

fn is_stopping(progress: &Progress) -> bool {
    progress.membership_request.stopping
}
