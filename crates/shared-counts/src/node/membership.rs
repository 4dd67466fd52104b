//! Members that this node gets to know, and its own incarnation.

use super::{first_heartbeat, Node};
use crate::members::{Heartbeat, Member};
use crate::wire::{Kind, MemberInfo, RejectReason, Section};
use crate::{DoorId, Life};
use maplefall_policy::Millis;
use std::net::SocketAddr;

/// How far a heartbeat of this incarnation may be ahead of its uptime, in milliseconds, before it is that of another process.
const MAX_UPTIME_AHEAD: u64 = 1000;

impl Node {
    /// Applies what a datagram says of a node.
    pub(super) fn apply_member_info(&mut self, now: Millis, member: &MemberInfo) {
        if member.heartbeat.source.door == self.id {
            self.apply_own_heartbeat(now, &member.heartbeat);
        } else if let Err(reason) = self.meet(now, member) {
            self.reject(reason);
        }
    }

    /// Adds a peer, or applies a heartbeat of it.
    pub(super) fn meet(&mut self, now: Millis, member: &MemberInfo) -> Result<(), RejectReason> {
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
        // A peer that was silent for this long is gone at every node; it would be forwarded from node to node for ever.
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

    /// A peer's name, address and heartbeat to forward.
    pub(super) fn peer_info(&self, now: Millis, id: DoorId) -> Option<MemberInfo> {
        let peer = self.peers.get(&id)?;
        Some(MemberInfo {
            heartbeat: peer.heartbeat(id, now),
            address: peer.address,
            name: peer.name.clone(),
        })
    }

    /// Sends what is known of a peer.
    pub(super) fn send_peer_info(&mut self, now: Millis, id: DoorId, to: SocketAddr, echo: u64) {
        let Some(peer) = self.peer_info(now, id) else {
            return;
        };
        let mut writer = self.begin_datagram(now, Kind::Gossip, echo);
        writer.add(&Section::Members(vec![peer]));
        self.send(now, to, writer);
    }

    /// Applies a heartbeat of an incarnation with this node's name. One that cannot be an earlier incarnation of this process makes it
    /// take a new number.
    pub(super) fn apply_own_heartbeat(&mut self, now: Millis, heartbeat: &Heartbeat) {
        let own = self.life();
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

    /// Takes an incarnation number above another process's. Either the date went back, so that an earlier incarnation has a larger
    /// number, or two processes have the same name. What was counted under the old number stays there and is still forwarded.
    fn renumber(&mut self, now: Millis, heartbeat: &Heartbeat) {
        // Two running processes with the same name would renumber each other for ever.
        let retention = self.settings.retention();
        if self.renumbered_at.is_some_and(|at| now - at < retention) {
            return;
        }
        self.renumbered_at = Some(now);
        let own = self.life();
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
