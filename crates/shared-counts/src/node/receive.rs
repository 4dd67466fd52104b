//! Verification of datagrams and of their sections.
//!
//! Invariant: nothing of a datagram is applied unless its authenticator, its values and its sender
//! are accepted. The sender has to echo the nonce of this process, which rejects replayed datagrams
//! and senders that cannot receive at their address.

use super::anti_entropy::Reply;
use super::Node;
use crate::epoch_at;
use crate::members::Heartbeat;
use crate::replica::VersionedCount;
use crate::wire::{self, DigestEntry, Head, Kind, MemberInfo, RejectReason, Section};
use crate::Life;
use maplefall_policy::Millis;
use std::net::SocketAddr;

/// How far the start of an incarnation, or its start plus uptime, may be ahead of the local date,
/// in milliseconds. Clocks of nodes are assumed to differ by less.
const MAX_DATE_AHEAD: u64 = 86_400_000;
/// The exclusive upper limit of versions and ages.
const MAX_NUMBER: u64 = 1 << 48;
/// How many epochs a count may be ahead of the estimated uptime of its incarnation.
const MAX_EPOCHS_AHEAD: u32 = 4;
/// A sender that has sent at most this many datagrams has just started and is sent all members.
const JOINING_DATAGRAMS: u64 = 24;

impl Node {
    /// Receives a datagram. A rejected one changes nothing but [`Node::stats`]; it may cause a
    /// hello to its sender.
    pub fn receive(&mut self, now: Millis, from: SocketAddr, bytes: &[u8]) {
        if !self.receive_limit.take(now) {
            return self.reject(RejectReason::TooMany);
        }
        self.stats.received.add(bytes.len());
        let result = wire::read(&self.seal, bytes).and_then(|(head, sections)| {
            self.check_plausible(now, &head, &sections)?;
            self.handle(now, from, &head, sections)
        });
        if let Err(reason) = result {
            self.reject(reason);
        }
    }

    // ---- Plausibility ---------------------------------------------------------------------------

    /// Checks that the values of a datagram are within their limits.
    fn check_plausible(
        &self,
        now: Millis,
        head: &Head,
        sections: &[Section],
    ) -> Result<(), RejectReason> {
        let max_date = self
            .start_date
            .saturating_add(self.uptime(now))
            .saturating_add(MAX_DATE_AHEAD);
        let is_plausible = is_plausible_source(head.from, max_date)
            && sections
                .iter()
                .all(|section| self.is_plausible_section(now, section, max_date));
        if is_plausible {
            Ok(())
        } else {
            Err(RejectReason::Absurd)
        }
    }

    fn is_plausible_section(&self, now: Millis, section: &Section, max_date: u64) -> bool {
        let is_plausible_entry = |entry: &DigestEntry| {
            is_plausible_heartbeat(&entry.heartbeat, max_date) && entry.known_version < MAX_NUMBER
        };
        match section {
            Section::Members(members) => members
                .iter()
                .all(|member| is_plausible_heartbeat(&member.heartbeat, max_date)),
            Section::Digest(entries) | Section::Want(entries) => {
                entries.iter().all(is_plausible_entry)
            }
            Section::Counts(source, delta) => {
                is_plausible_source(*source, max_date)
                    && delta.up_to < MAX_NUMBER
                    && self.are_plausible_counts(now, *source, &delta.counts)
            }
            Section::StatusText(..) | Section::StatusPart(_) => true,
        }
    }

    fn are_plausible_counts(&self, now: Millis, source: Life, counts: &[VersionedCount]) -> bool {
        let incarnation = self
            .member(source.door)
            .and_then(|member| member.incarnation(source.incarnation));
        let Some(incarnation) = incarnation else {
            return true;
        };
        let uptime = if source == self.incarnation() {
            self.uptime(now)
        } else {
            incarnation.uptime_at(now)
        };
        let max_epoch = epoch_at(uptime, self.settings.epoch).saturating_add(MAX_EPOCHS_AHEAD);
        counts
            .iter()
            .all(|count| count.epoch <= max_epoch && count.version < MAX_NUMBER)
    }

    // ---- Sender ---------------------------------------------------------------------------------

    fn handle(
        &mut self,
        now: Millis,
        from: SocketAddr,
        head: &Head,
        sections: Vec<Section>,
    ) -> Result<(), RejectReason> {
        if head.from == self.incarnation() {
            return Err(RejectReason::Repeated);
        }
        let sender = find_sender(head, &sections);
        let reply_to = sender.as_ref().map_or(from, |sender| sender.address);
        match head.kind {
            Kind::Ask => return self.reply_to_status_request(now, from, head, &sections),
            Kind::Told => return Err(RejectReason::Absurd),
            Kind::Hello | Kind::Gossip => {}
        }
        if head.echo != self.nonce {
            self.send_hello(now, reply_to, head.nonce);
            return match head.kind {
                Kind::Hello => Ok(()),
                _ => Err(RejectReason::Unproven),
            };
        }
        self.accept_sender(now, head, sender.as_ref(), reply_to)?;
        let mut reply = Reply::new(head.number <= JOINING_DATAGRAMS);
        for section in sections {
            self.apply_section(now, section, &mut reply);
        }
        self.send_reply(now, head.from.door, reply);
        Ok(())
    }

    /// Checks that a datagram that echoes the nonce of this process is new and from the current
    /// incarnation of a peer.
    fn accept_sender(
        &mut self,
        now: Millis,
        head: &Head,
        sender: Option<&MemberInfo>,
        reply_to: SocketAddr,
    ) -> Result<(), RejectReason> {
        let id = head.from.door;
        if id == self.id {
            // The sender is another process with this node's name, or an earlier incarnation of
            // this one.
            if let Some(sender) = sender {
                self.apply_own_heartbeat(now, &sender.heartbeat);
            }
            return Err(RejectReason::Repeated);
        }
        if !self.peers.contains_key(&id) {
            self.add_or_update_peer(now, sender.ok_or(RejectReason::NoMember)?)?;
        }
        let interval = self.settings.interval;
        let peer = self.peers.get_mut(&id).ok_or(RejectReason::NoMember)?;
        if head.from.incarnation < peer.incarnation {
            // The sender's date went back, or the datagram is late. The reply names the later
            // incarnation.
            self.send_peer_info(now, id, reply_to, head.nonce);
            return Err(RejectReason::Repeated);
        }
        if let Some(sender) = sender {
            peer.apply_heartbeat(&sender.heartbeat, now, interval);
            peer.address = sender.address;
        }
        if head.from.incarnation != peer.incarnation {
            return Err(RejectReason::NoMember);
        }
        if !peer.accept_number(head.number) {
            return Err(RejectReason::Repeated);
        }
        peer.confirm_alive(now);
        peer.nonce = Some(head.nonce);
        self.freshness = None;
        Ok(())
    }

    // ---- Sections -------------------------------------------------------------------------------

    fn apply_section(&mut self, now: Millis, section: Section, reply: &mut Reply) {
        match section {
            Section::Members(members) => {
                for member in members {
                    self.apply_member_info(now, &member);
                }
            }
            Section::Digest(entries) => {
                for entry in entries {
                    self.apply_digest_entry(now, &entry, reply);
                }
            }
            Section::Want(entries) => {
                for entry in entries {
                    self.apply_wanted_entry(now, &entry, reply);
                }
            }
            Section::Counts(source, delta) => self.merge_counts(now, source, &delta),
            Section::StatusText(..) | Section::StatusPart(_) => {}
        }
    }
}

/// Returns the sender's own member entry in a datagram.
fn find_sender(head: &Head, sections: &[Section]) -> Option<MemberInfo> {
    sections.iter().find_map(|section| match section {
        Section::Members(members) => members
            .iter()
            .find(|member| member.heartbeat.source == head.from)
            .cloned(),
        _ => None,
    })
}

fn is_plausible_source(source: Life, max_date: u64) -> bool {
    source.incarnation > 0 && source.incarnation <= max_date
}

fn is_plausible_heartbeat(heartbeat: &Heartbeat, max_date: u64) -> bool {
    let date = heartbeat
        .source
        .incarnation
        .saturating_add(heartbeat.uptime);
    is_plausible_source(heartbeat.source, max_date)
        && date <= max_date
        && heartbeat.version < MAX_NUMBER
        && heartbeat.age < MAX_NUMBER
}
