//! Discovery of members, and the incarnation of this node.

use super::{first_heartbeat, Node};
use crate::members::{Heartbeat, Member};
use crate::wire::{Kind, MemberInfo, RejectReason, Section};
use crate::{DoorId, Life};
use maplefall_policy::Millis;
use std::net::SocketAddr;

/// How far the uptime in a heartbeat of this incarnation may be ahead of the actual one, in
/// milliseconds. A larger lead proves another process with the same name.
const MAX_UPTIME_AHEAD: u64 = 1000;

impl Node {
    /// Applies a member entry of a datagram.
    pub(super) fn apply_member_info(&mut self, now: Millis, member: &MemberInfo) {
        if member.heartbeat.source.door == self.id {
            self.apply_own_heartbeat(now, &member.heartbeat);
        } else if let Err(reason) = self.add_or_update_peer(now, member) {
            self.reject(reason);
        }
    }

    /// Adds a peer, or applies a heartbeat of a known one.
    pub(super) fn add_or_update_peer(
        &mut self,
        now: Millis,
        member: &MemberInfo,
    ) -> Result<(), RejectReason> {
        let source = member.heartbeat.source;
        let interval = self.settings.interval;
        if let Some(peer) = self.peers.get_mut(&source.door) {
            let is_later = source.incarnation > peer.incarnation;
            peer.apply_heartbeat(&member.heartbeat, now, interval);
            if is_later {
                peer.address = member.address;
            }
            return Ok(());
        }
        // A peer silent for this long is gone at every node. Adding it again would let nodes
        // forward it to each other for ever.
        let max_age = self.settings.gone_after.max(self.settings.retention());
        let is_gone = member.heartbeat.age as f64 > max_age;
        if is_gone || self.peers.len() + 1 >= self.settings.max_members {
            return Err(RejectReason::NoMember);
        }
        let peer = Member::new(
            &member.name,
            member.address,
            &member.heartbeat,
            now,
            interval,
        );
        self.peers.insert(source.door, peer);
        Ok(())
    }

    /// Returns the name, address and heartbeat of a peer to forward.
    pub(super) fn peer_info(&self, now: Millis, id: DoorId) -> Option<MemberInfo> {
        let peer = self.peers.get(&id)?;
        Some(MemberInfo {
            heartbeat: peer.heartbeat(id, now),
            address: peer.address,
            name: peer.name.clone(),
        })
    }

    /// Sends the member entry of a peer.
    pub(super) fn send_peer_info(&mut self, now: Millis, id: DoorId, to: SocketAddr, echo: u64) {
        let Some(peer) = self.peer_info(now, id) else {
            return;
        };
        let mut writer = self.begin_datagram(now, Kind::Gossip, echo);
        writer.add(&Section::Members(vec![peer]));
        self.send(now, to, writer);
    }

    /// Applies a heartbeat of an incarnation with this node's name. One that cannot be of an
    /// earlier incarnation of this process makes this node take a new incarnation number.
    pub(super) fn apply_own_heartbeat(&mut self, now: Millis, heartbeat: &Heartbeat) {
        let own = self.incarnation();
        let other = heartbeat.source;
        let max_uptime = self.uptime(now).saturating_add(MAX_UPTIME_AHEAD);
        let is_another_process = other == own && heartbeat.uptime > max_uptime;
        if other.incarnation > own.incarnation || is_another_process {
            self.renumber(now, heartbeat);
        } else if other.incarnation < own.incarnation {
            self.local
                .apply_heartbeat(heartbeat, now, self.settings.interval);
        }
    }

    /// Takes an incarnation number above another process's. Either the date went back, so that an
    /// earlier incarnation has a larger number, or two processes have the same name. Counts under
    /// the old incarnation number keep that number and are still forwarded.
    fn renumber(&mut self, now: Millis, heartbeat: &Heartbeat) {
        // Without a minimum time between two new numbers, two running processes with the same name
        // would renumber each other for ever.
        let retention = self.settings.retention();
        if self.renumbered_at.is_some_and(|at| now - at < retention) {
            return;
        }
        self.renumbered_at = Some(now);
        let own = self.incarnation();
        let other = heartbeat.source;
        let interval = self.settings.interval;
        let last = self.local_heartbeat(now);
        self.local.apply_heartbeat(&last, now, interval);
        let first = first_heartbeat(Life {
            door: self.id,
            incarnation: other.incarnation + 1,
        });
        self.local.apply_heartbeat(&first, now, interval);
        self.started_at = now;
        self.epoch = 0;
        self.reset_admission();
        self.stats.renumbered += 1;
        if other.incarnation > own.incarnation {
            self.local.apply_heartbeat(heartbeat, now, interval);
        }
    }
}
