//! Gossip rounds: selects peers and writes the datagrams to them.

use super::rumours::CountKey;
use super::{Node, Output};
use crate::members::MemberState;
use crate::random::{index_below, unit};
use crate::wire::{self, DigestEntry, Head, Kind, MemberInfo, Section, Writer};
use crate::{DoorId, Life};
use maplefall_policy::Millis;
use std::net::SocketAddr;

/// The maximum number of datagrams in the send queue. Further ones are dropped; peers handle that
/// like packet loss.
const MAX_OUTPUTS: usize = 512;
/// The maximum fraction of a gossip datagram used by the digest.
const DIGEST_FRACTION: f64 = 0.6;
/// The maximum number of members in a datagram, besides the sender.
pub(super) const MAX_MEMBERS_PER_DATAGRAM: usize = 8;
/// A node that is suspected or gone is contacted once in this many rounds on average.
const UNREACHABLE_CONTACT_ROUNDS: usize = 5;
/// A seed is contacted once in this many rounds on average, and in every round while no peer is
/// alive.
const SEED_CONTACT_ROUNDS: usize = 16;
/// The minimum time between rounds, in gossip intervals.
const MIN_ROUND_INTERVALS: f64 = 0.8;
/// The maximum jitter added to the time between rounds, in gossip intervals.
const ROUND_JITTER_INTERVALS: f64 = 0.4;
/// One in this many digest entries is drawn at random.
const RANDOM_ENTRY_EVERY: usize = 3;

/// An incarnation that may become an entry of a digest.
struct DigestCandidate {
    last_heartbeat: Millis,
    source: Life,
}

impl Node {
    /// Runs a gossip round if one is due.
    pub fn tick(&mut self, now: Millis) {
        if now < self.next_round {
            return;
        }
        // The jitter keeps nodes from synchronising their rounds. Missed rounds are not made up
        // for.
        let intervals = MIN_ROUND_INTERVALS + ROUND_JITTER_INTERVALS * unit(&mut self.rng);
        self.next_round = now + self.settings.interval * intervals;
        self.enter_epoch(now);
        for member in self.peers.values_mut() {
            member.update_state(now, self.settings.suspect_phi, self.settings.gone_after);
        }
        self.freshness = None;
        self.expire(now);
        let peers = self.choose_peers();
        let rumours = self.rumours.by_amount();
        for id in peers {
            self.gossip_to(now, id, &rumours);
        }
        self.contact_seed(now);
        self.rumours.drop_finished();
    }

    /// Selects the peers of this round: some that are alive, and occasionally one that is suspected
    /// or gone, since a partition may have healed.
    fn choose_peers(&mut self) -> Vec<DoorId> {
        // Unproven peers are contacted like those that are alive: they either respond or are soon
        // gone.
        let mut alive = Vec::new();
        let mut unreachable = Vec::new();
        for (id, member) in &self.peers {
            match member.state {
                MemberState::Alive | MemberState::Unproven => alive.push(*id),
                MemberState::Suspected | MemberState::Gone => unreachable.push(*id),
            }
        }
        let mut peers = Vec::new();
        for _ in 0..self.settings.fan_out.min(alive.len()) {
            let index = index_below(&mut self.rng, alive.len());
            peers.push(alive.swap_remove(index));
        }
        if !unreachable.is_empty() && index_below(&mut self.rng, UNREACHABLE_CONTACT_ROUNDS) == 0 {
            peers.push(unreachable[index_below(&mut self.rng, unreachable.len())]);
        }
        peers
    }

    /// Occasionally sends a hello to a seed, unless a peer that is alive has its address.
    fn contact_seed(&mut self, now: Millis) {
        let has_peer = self
            .peers
            .values()
            .any(|member| member.state == MemberState::Alive);
        if self.seeds.is_empty()
            || (has_peer && index_below(&mut self.rng, SEED_CONTACT_ROUNDS) != 0)
        {
            return;
        }
        let seed = self.seeds[index_below(&mut self.rng, self.seeds.len())];
        let is_known = self
            .peers
            .values()
            .any(|member| member.address == seed && member.state == MemberState::Alive);
        if !is_known {
            self.send_hello(now, seed, 0);
        }
    }

    fn gossip_to(&mut self, now: Millis, id: DoorId, rumours: &[CountKey]) {
        let Some(peer) = self.peers.get(&id) else {
            return;
        };
        let to = peer.address;
        let Some(echo) = peer.nonce else {
            return self.send_hello(now, to, 0);
        };
        let mut writer = self.begin_datagram(now, Kind::Gossip, echo);
        let digest_bytes = (writer.remaining() as f64 * DIGEST_FRACTION) as usize;
        writer.add(&Section::Digest(self.digest(now, digest_bytes)));
        self.write_rumours(&mut writer, rumours);
        self.write_members(now, &mut writer, MAX_MEMBERS_PER_DATAGRAM);
        self.send(now, to, writer);
    }

    // ---- Digests --------------------------------------------------------------------------------

    /// Builds a digest: this node first, then the incarnations with the newest heartbeats, but
    /// every third entry drawn at random. The newest spread like rumours; the random ones repair
    /// what rumours miss.
    fn digest(&mut self, now: Millis, max_bytes: usize) -> Vec<DigestEntry> {
        let mut entries = vec![DigestEntry {
            heartbeat: self.local_heartbeat(now),
            known_version: self.local.current.replica.complete_version(),
        }];
        let mut bytes = wire::digest_entry_bytes(&entries[0]);
        let mut candidates = self.digest_candidates();
        while !candidates.is_empty() {
            let newest = candidates.len() - 1;
            let index = if entries.len() % RANDOM_ENTRY_EVERY == 0 {
                index_below(&mut self.rng, candidates.len())
            } else {
                newest
            };
            let source = candidates.remove(index).source;
            let Some(entry) = self.digest_entry(now, source) else {
                continue;
            };
            bytes += wire::digest_entry_bytes(&entry);
            if bytes > max_bytes {
                break;
            }
            entries.push(entry);
        }
        entries
    }

    /// Returns all incarnations but the current one of this node, sorted by last heartbeat, the
    /// newest last.
    fn digest_candidates(&self) -> Vec<DigestCandidate> {
        let candidate = |id: DoorId, number: u64, last_heartbeat: Millis| DigestCandidate {
            last_heartbeat,
            source: Life {
                door: id,
                incarnation: number,
            },
        };
        let mut candidates = Vec::new();
        for (number, former) in &self.local.former {
            candidates.push(candidate(self.id, *number, former.last_heartbeat));
        }
        for (id, member) in &self.peers {
            // Other nodes need unproven and gone peers only for the counts of these peers.
            if !member.is_present() && member.count_len() == 0 {
                continue;
            }
            for (number, incarnation) in member.incarnations() {
                candidates.push(candidate(*id, number, incarnation.last_heartbeat));
            }
        }
        candidates.sort_by(|left, right| {
            left.last_heartbeat
                .total_cmp(&right.last_heartbeat)
                .then(left.source.door.cmp(&right.source.door))
        });
        candidates
    }

    fn digest_entry(&self, now: Millis, source: Life) -> Option<DigestEntry> {
        let incarnation = self.member(source.door)?.incarnation(source.incarnation)?;
        Some(DigestEntry {
            heartbeat: incarnation.heartbeat(source, now),
            known_version: incarnation.replica.complete_version(),
        })
    }

    // ---- Datagrams ------------------------------------------------------------------------------

    /// Builds the header of the next datagram.
    pub(super) fn next_head(&mut self, kind: Kind, echo: u64) -> Head {
        self.last_number += 1;
        Head {
            kind,
            from: self.incarnation(),
            number: self.last_number,
            nonce: self.nonce,
            echo,
        }
    }

    /// Begins a datagram with this node's name and address.
    pub(super) fn begin_datagram(&mut self, now: Millis, kind: Kind, echo: u64) -> Writer {
        let head = self.next_head(kind, echo);
        let mut writer = Writer::new(&self.seal, &head, self.settings.datagram_bytes);
        writer.add(&Section::Members(vec![MemberInfo {
            heartbeat: self.local_heartbeat(now),
            address: self.local.address,
            name: self.local.name.clone(),
        }]));
        writer
    }

    pub(super) fn send_hello(&mut self, now: Millis, to: SocketAddr, echo: u64) {
        let writer = self.begin_datagram(now, Kind::Hello, echo);
        self.send(now, to, writer);
    }

    /// Queues a datagram, or drops it if the rate limit is reached or the queue is full.
    pub(super) fn send(&mut self, now: Millis, to: SocketAddr, writer: Writer) {
        if !self.send_limit.take(now) || self.outputs.len() >= MAX_OUTPUTS {
            self.stats.unsent += 1;
            return;
        }
        let bytes = writer.seal(&self.seal);
        self.stats.sent.add(bytes.len());
        self.outputs.push_back(Output { to, bytes });
    }

    /// Fills the rest of a datagram with random peers, so that every node learns of all others.
    pub(super) fn write_members(&mut self, now: Millis, writer: &mut Writer, max_members: usize) {
        // Unproven peers are not forwarded, so a fabricated one reaches only the nodes that it was
        // sent to.
        let mut present: Vec<DoorId> = self
            .peers
            .iter()
            .filter(|(_, member)| member.is_present())
            .map(|(id, _)| *id)
            .collect();
        for _ in 0..max_members.min(present.len()) {
            let id = present.swap_remove(index_below(&mut self.rng, present.len()));
            let Some(member) = self.peer_info(now, id) else {
                continue;
            };
            if !writer.add(&Section::Members(vec![member])) {
                return;
            }
        }
    }
}
