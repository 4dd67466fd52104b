//! Tracks whether, and since when, this controller is in contact with a quorum of the voters.
//!
//! A controller in a minority partition must neither send an outdated configuration to a proxy that
//! has none, nor declare backends lost whose heartbeats do not reach it.
//!
//! Without quorum contact:
//! - a proxy without a configuration is sent none (`Core::send_config`);
//! - no instance lists are sent to proxies (`Core::send_all_instances`), and complete ones only
//!   after contact has lasted for the instance timeout (`Core::has_all_instances`);
//! - no backend expires (`Core::expire_instances`) until contact has lasted that long;
//! - after `UNACKNOWLEDGED_AFTER`, or at once without connections to a majority, heartbeats and
//!   deregistrations are applied but get status 503 (`Core::acknowledge_instance`);
//! - operators' calls that need a commit or a confirmed read end with status 503 by their deadline
//!   (`Core::expire_calls`), unless they are redirected to a known leader (`Core::redirect`);
//! - quota leases and tokens are still granted until the membership lease ends (`Core::may_lease`).

use super::event::Event;
use super::{Core, Millis, Output};
use std::collections::{BTreeMap, BTreeSet};

/// The state of contact with the other controllers.
///
/// Exactly one of `since` and `lost_since` is set.
pub(super) struct QuorumContact {
    ip: String,
    started_at: Millis,
    /// Start of the current uninterrupted contact with a quorum.
    since: Option<Millis>,
    /// Start of the current period without contact with a quorum.
    lost_since: Option<Millis>,
    /// Peers to which there is a live connection.
    connected_peers: BTreeSet<String>,
    /// When each voter last sent a Raft message.
    last_raft_message: BTreeMap<String, Millis>,
}

impl QuorumContact {
    /// Creates the state of a controller at this address that starts now, without contact with a
    /// quorum.
    pub(super) fn new(ip: &str, now: Millis) -> QuorumContact {
        QuorumContact {
            ip: ip.to_owned(),
            started_at: now,
            since: None,
            lost_since: Some(now),
            connected_peers: BTreeSet::new(),
            last_raft_message: BTreeMap::new(),
        }
    }

    /// Returns whether there is contact with a quorum.
    pub(super) fn is_established(&self) -> bool {
        self.since.is_some()
    }

    /// Returns whether there has been uninterrupted contact with a quorum for longer than
    /// `duration`.
    pub(super) fn lasts_longer_than(&self, now: Millis, duration: Millis) -> bool {
        self.since.is_some_and(|since| now - since > duration)
    }

    /// Returns whether there has been no contact with a quorum for longer than `duration`.
    pub(super) fn lost_longer_than(&self, now: Millis, duration: Millis) -> bool {
        self.lost_since.is_some_and(|since| now - since > duration)
    }

    pub(super) fn peer_connected(&mut self, peer: &str) {
        self.connected_peers.insert(peer.to_owned());
    }

    pub(super) fn peer_disconnected(&mut self, peer: &str) {
        self.connected_peers.remove(peer);
    }

    pub(super) fn raft_message_from(&mut self, now: Millis, voter: &str) {
        self.last_raft_message.insert(voter.to_owned(), now);
    }

    /// Returns whether there are live connections to a majority of the voters, counting this
    /// controller.
    pub(super) fn is_connected_to_quorum(&self, voters: &BTreeSet<String>) -> bool {
        let reachable = voters
            .iter()
            .filter(|voter| **voter == self.ip || self.connected_peers.contains(*voter))
            .count();
        reachable > voters.len() / 2
    }

    /// Returns the time since a majority of the voters, counting this controller, had sent a Raft
    /// message.
    fn time_without_quorum(&self, now: Millis, voters: &BTreeSet<String>) -> Millis {
        let last_message = |voter: &String| {
            if *voter == self.ip {
                return now;
            }
            let last = self.last_raft_message.get(voter);
            last.copied().unwrap_or(self.started_at)
        };
        let mut times: Vec<Millis> = voters.iter().map(last_message).collect();
        times.sort_by(|a, b| b.total_cmp(a));
        let quorum_time = times.get(voters.len() / 2).copied();
        now - quorum_time.unwrap_or(self.started_at)
    }

    /// Records that contact with a quorum is restored; returns how long there was none.
    fn restore(&mut self, now: Millis) -> Millis {
        self.since = Some(now);
        self.lost_since.take().map_or(0.0, |since| now - since)
    }

    /// Records that contact with a quorum is lost; returns whether there was contact until now.
    fn lose(&mut self, now: Millis) -> bool {
        self.lost_since.get_or_insert(now);
        self.since.take().is_some()
    }
}

impl Core {
    /// Returns whether this controller is in contact with a quorum at this moment.
    ///
    /// `Raft::has_quorum_contact` alone is not enough: Raft may have regained contact that
    /// `update_quorum_contact` has not announced yet, also after a pause of the process, which
    /// counts as a loss of contact here but not in Raft. The announced state alone may be outdated:
    /// Raft's contact can end between two updates.
    pub(super) fn has_quorum_contact(&self, now: Millis) -> bool {
        self.contact.is_established() && self.raft.has_quorum_contact(now)
    }

    /// Checks whether contact with a quorum was lost or restored; when it is restored, sends the
    /// configuration and instances to the proxies.
    pub(super) fn update_quorum_contact(&mut self, now: Millis, out: &mut Vec<Output>) {
        if !self.raft.has_quorum_contact(now) {
            self.lose_quorum_contact(now, out);
            return;
        }
        if self.contact.is_established() {
            return;
        }
        let after = self.contact.restore(now);
        out.push(Event::QuorumRestored { after }.into());
        // The timeouts of backends restart, because heartbeats may not have reached this controller
        // while it had no quorum contact.
        self.registry.restart_timeouts(now);
        self.distribute_config(now, out);
        let connections = self.proxy_connections();
        self.send_all_instances(now, &connections, out);
    }

    /// Records and logs the loss of contact with a quorum, if there was contact until now. Also
    /// called after a pause of the process, during which heartbeats were not received: when contact
    /// is restored, the timeouts of backends restart.
    pub(super) fn lose_quorum_contact(&mut self, now: Millis, out: &mut Vec<Output>) {
        if !self.contact.lose(now) {
            return;
        }
        let voters = self.raft.voters();
        let event = Event::QuorumLost {
            time_without_messages: self.contact.time_without_quorum(now, voters),
            connected: self.contact.connected_peers.len(),
            voters: voters.len(),
        };
        out.push(event.into());
    }
}
