//! Whether this controller is in contact with a quorum of the voters, and since when.
//!
//! A controller that is cut off must not hand an outdated configuration to a proxy that has none, nor declare backends lost
//! whose heartbeats do not reach it.

use super::event::Event;
use super::{Core, Millis, Output};
use std::collections::{BTreeMap, BTreeSet};

/// Contact with the other controllers.
///
/// Either `since` or `lost_since` is set, never both.
pub(super) struct QuorumContact {
    ip: String,
    started_at: Millis,
    /// Since when there is contact without a break.
    since: Option<Millis>,
    /// Since when there is none.
    lost_since: Option<Millis>,
    /// Peers to which there is a live connection.
    connected_peers: BTreeSet<String>,
    /// When each voter last sent a Raft message.
    last_raft_message: BTreeMap<String, Millis>,
}

impl QuorumContact {
    /// A controller with this address that starts now, without contact.
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

    /// Whether there is contact.
    pub(super) fn is_established(&self) -> bool {
        self.since.is_some()
    }

    /// Whether there has been contact without a break for longer than `span`.
    pub(super) fn lasts_longer_than(&self, now: Millis, span: Millis) -> bool {
        self.since.is_some_and(|since| now - since > span)
    }

    /// Whether there has been no contact for longer than `span`.
    pub(super) fn lost_longer_than(&self, now: Millis, span: Millis) -> bool {
        self.lost_since.is_some_and(|since| now - since > span)
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

    /// Whether there are live connections to a majority of the voters, this controller included.
    pub(super) fn is_connected_to_quorum(&self, voters: &BTreeSet<String>) -> bool {
        let reachable = voters
            .iter()
            .filter(|voter| **voter == self.ip || self.connected_peers.contains(*voter))
            .count();
        reachable > voters.len() / 2
    }

    /// For how long a majority of the voters has sent no Raft message.
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

    /// Notes that there is contact again; returns for how long there was none.
    fn restore(&mut self, now: Millis) -> Millis {
        self.since = Some(now);
        self.lost_since.take().map_or(0.0, |since| now - since)
    }

    /// Notes that there is none; returns whether there was until now.
    fn lose(&mut self, now: Millis) -> bool {
        self.lost_since.get_or_insert(now);
        self.since.take().is_some()
    }
}

impl Core {
    /// Whether this controller is in contact with a quorum at this moment.
    pub(super) fn has_quorum_contact(&self, now: Millis) -> bool {
        self.contact.is_established() && self.raft.has_quorum_contact(now)
    }

    /// Notes whether contact with a quorum was lost or restored, and serves the proxies that waited for it.
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
        // No heartbeat could be received in the meantime.
        self.registry.restart_timeouts(now);
        self.distribute_config(now, out);
        let connections = self.proxy_connections();
        self.send_all_instances(now, &connections, out);
    }

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
