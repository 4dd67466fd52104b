//! Anti-entropy: merges received counts and exchanges what digests show to be missing.
//!
//! Invariant: the complete version of a replica rises only by deltas that begin at or before it and
//! were merged in full, so no change is skipped when datagrams are lost, repeated or reordered.

use super::gossip::MAX_MEMBERS_PER_DATAGRAM;
use super::Node;
use crate::random::shuffle;
use crate::replica::{CapacityReached, Delta, Increase, VersionedCount};
use crate::wire::{
    count_bytes, DigestEntry, Kind, RejectReason, Section, Writer, TYPICAL_COUNTS_HEADER_BYTES,
    TYPICAL_DIGEST_ENTRY_BYTES,
};
use crate::{DoorId, Life, TAIL};
use maplefall_policy::Millis;
use std::collections::VecDeque;

/// The maximum number of datagrams sent in reply to one.
const MAX_REPLY_DATAGRAMS: usize = 3;

/// Counts that a peer is missing.
#[derive(Clone, Copy, Debug)]
pub(super) struct MissingCounts {
    source: Life,
    /// The version up to which the peer has the counts.
    after: u64,
}

/// The content of the reply to a datagram. No list is longer than the datagram had entries.
#[derive(Debug, Default)]
pub(super) struct Reply {
    /// Counts that the sender is missing.
    missing: Vec<MissingCounts>,
    /// Counts that are missing here.
    wanted: Vec<DigestEntry>,
    /// Members that the sender may not know.
    members: Vec<DoorId>,
    /// Whether the sender has just started; it is sent as many members as fit.
    sender_is_joining: bool,
}

impl Reply {
    pub(super) fn new(sender_is_joining: bool) -> Reply {
        Reply {
            sender_is_joining,
            ..Reply::default()
        }
    }

    fn is_empty(&self) -> bool {
        self.missing.is_empty()
            && self.wanted.is_empty()
            && self.members.is_empty()
            && !self.sender_is_joining
    }
}

impl Node {
    // ---- Digests --------------------------------------------------------------------------------

    /// Applies an entry of a digest: what either side is missing goes into the reply.
    pub(super) fn apply_digest_entry(
        &mut self,
        now: Millis,
        entry: &DigestEntry,
        reply: &mut Reply,
    ) {
        let Some(known_version) = self.compare_entry(now, entry, reply) else {
            return;
        };
        if entry.known_version > known_version || known_version == 0 {
            reply.wanted.push(DigestEntry {
                known_version,
                ..*entry
            });
        }
    }

    /// Applies an entry of a request for counts.
    pub(super) fn apply_wanted_entry(
        &mut self,
        now: Millis,
        entry: &DigestEntry,
        reply: &mut Reply,
    ) {
        self.compare_entry(now, entry, reply);
        // A peer without any counts of a node may not know the node either.
        if entry.known_version == 0 {
            reply.members.push(entry.heartbeat.source.door);
        }
    }

    /// Applies the heartbeat of an entry and notes counts that the sender is missing. Returns the
    /// version up to which the counts are known here; `None` if the incarnation has been forgotten.
    fn compare_entry(
        &mut self,
        now: Millis,
        entry: &DigestEntry,
        reply: &mut Reply,
    ) -> Option<u64> {
        let heartbeat = &entry.heartbeat;
        let source = heartbeat.source;
        if source.door == self.id {
            if source != self.incarnation() || heartbeat.uptime > self.uptime(now) {
                self.apply_own_heartbeat(now, heartbeat);
            }
        } else if let Some(peer) = self.peers.get_mut(&source.door) {
            peer.apply_heartbeat(heartbeat, now, self.settings.interval);
        } else {
            return Some(0);
        }
        let known_version = self
            .member(source.door)?
            .incarnation(source.incarnation)?
            .replica
            .complete_version();
        if known_version > entry.known_version {
            reply.missing.push(MissingCounts {
                source,
                after: entry.known_version,
            });
        }
        Some(known_version)
    }

    // ---- Merging --------------------------------------------------------------------------------

    /// Joins received counts of one incarnation.
    pub(super) fn merge_counts(&mut self, now: Millis, source: Life, delta: &Delta) {
        // This node is the source of its current incarnation's counts; no other node has newer
        // ones.
        if source == self.incarnation() {
            return;
        }
        let max_counts = self.settings.max_counts;
        let mut count_len = self.count_len;
        let mut without_capacity = 0;
        let mut increased: Vec<(VersionedCount, Increase)> = Vec::new();
        let Some(incarnation) = self
            .member_mut(source.door)
            .and_then(|member| member.incarnation_mut(source.incarnation))
        else {
            return;
        };
        for received in &delta.counts {
            let len_before = incarnation.replica.len();
            match incarnation.replica.join(received, count_len < max_counts) {
                Ok(Some(increase)) => increased.push((*received, increase)),
                Ok(None) => {}
                Err(CapacityReached) => without_capacity += 1,
            }
            count_len += incarnation.replica.len() - len_before;
        }
        if without_capacity == 0 && delta.up_to > 0 {
            incarnation.replica.complete_up_to(delta.after, delta.up_to);
        }
        incarnation.update_complete_uptime();
        self.count_len = count_len;
        for _ in 0..without_capacity {
            self.reject(RejectReason::NoRoom);
        }
        self.freshness = None;
        let is_rumour = delta.up_to == 0;
        for (received, increase) in increased {
            self.report_increase(now, source, &received, increase, is_rumour);
        }
    }

    /// Adds an increase to the usage at other nodes, and forwards it as a rumour if it arrived as
    /// one.
    fn report_increase(
        &mut self,
        now: Millis,
        source: Life,
        received: &VersionedCount,
        increase: Increase,
        is_rumour: bool,
    ) {
        let Increase { taken, returned } = increase;
        if received.customer != TAIL {
            self.remote_usage
                .add(now, received.customer, taken, returned);
        }
        if is_rumour {
            self.add_rumour(source, received.epoch, received.customer, taken + returned);
        }
    }

    // ---- Replies --------------------------------------------------------------------------------

    /// Sends a peer the counts that it is missing, and requests those that are missing here.
    pub(super) fn send_reply(&mut self, now: Millis, to: DoorId, reply: Reply) {
        let Some(peer) = self.peers.get(&to) else {
            return;
        };
        let (address, Some(echo)) = (peer.address, peer.nonce) else {
            return;
        };
        if reply.is_empty() {
            return;
        }
        let mut missing = reply.missing;
        // A peer that is missing many counts of many nodes receives some of each over several
        // replies.
        shuffle(&mut self.rng, &mut missing);
        let mut missing = VecDeque::from(missing);
        for index in 0..MAX_REPLY_DATAGRAMS {
            let is_first = index == 0;
            let mut writer = self.begin_datagram(now, Kind::Gossip, echo);
            if is_first {
                write_wanted(&mut writer, &reply.wanted);
                self.write_requested_members(now, &mut writer, &reply.members);
            } else if missing.is_empty() {
                break;
            }
            self.write_missing_counts(&mut writer, &mut missing);
            if is_first && reply.sender_is_joining {
                self.write_members(now, &mut writer, usize::MAX);
            }
            self.send(now, address, writer);
        }
    }

    fn write_requested_members(&self, now: Millis, writer: &mut Writer, members: &[DoorId]) {
        let members = members
            .iter()
            .take(MAX_MEMBERS_PER_DATAGRAM)
            .filter_map(|id| self.peer_info(now, *id));
        for member in members {
            writer.add(&Section::Members(vec![member]));
        }
    }

    /// Fills the rest of a datagram with missing counts; those that do not fit stay in the list.
    fn write_missing_counts(&self, writer: &mut Writer, missing: &mut VecDeque<MissingCounts>) {
        while let Some(MissingCounts { source, after }) = missing.pop_front() {
            let incarnation = self
                .member(source.door)
                .and_then(|member| member.incarnation(source.incarnation));
            let Some(incarnation) = incarnation else {
                continue;
            };
            let replica = &incarnation.replica;
            let mut remaining = writer
                .remaining()
                .saturating_sub(TYPICAL_COUNTS_HEADER_BYTES);
            let delta = replica.delta(after, |count| {
                let bytes = count_bytes(count);
                let fits = bytes <= remaining;
                remaining = remaining.saturating_sub(bytes);
                fits
            });
            let up_to = delta.up_to;
            if up_to > after && writer.remaining() > TYPICAL_COUNTS_HEADER_BYTES {
                writer.add(&Section::Counts(source, delta));
            }
            if up_to != replica.complete_version() {
                missing.push_front(MissingCounts {
                    source,
                    after: up_to,
                });
                break;
            }
        }
    }
}

/// Requests missing counts, in at most half of the remaining bytes.
fn write_wanted(writer: &mut Writer, wanted: &[DigestEntry]) {
    let max_entries = writer.remaining() / 2 / TYPICAL_DIGEST_ENTRY_BYTES;
    let wanted = &wanted[..wanted.len().min(max_entries)];
    writer.add(&Section::Want(wanted.to_vec()));
}
