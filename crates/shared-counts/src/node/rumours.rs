//! Rumours: recent changes of counts, which each node forwards a few times.

use super::Node;
use crate::replica::{Delta, VersionedCount};
use crate::wire::{count_bytes, Section, Writer, TYPICAL_COUNTS_HEADER_BYTES};
use crate::{Customer, Epoch, Life};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// The maximum number of rumours; changes of further counts spread by anti-entropy alone.
const MAX_RUMOURS: usize = 2048;
/// Number of datagrams into which a node puts a rumour, beyond the binary logarithm of the number
/// of nodes. Random forwarding with this many extra sends misses a node about once in e^4 times.
const EXTRA_SENDS: u32 = 4;
/// The maximum number of datagrams into which a node puts a rumour.
const MAX_SENDS: u32 = 12;

/// The count that a rumour is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CountKey {
    source: Life,
    epoch: Epoch,
    customer: Customer,
}

#[derive(Clone, Copy, Debug)]
struct Rumour {
    /// The number of datagrams that the rumour is still put into.
    sends_left: u32,
    /// The change of the count since the rumour began, in thousandths of a unit.
    amount: u64,
}

/// All rumours of a node.
#[derive(Debug, Default)]
pub(super) struct Rumours {
    by_count: BTreeMap<CountKey, Rumour>,
}

impl Rumours {
    /// Adds a change of a count to the count's rumour, and resets the number of datagrams that the
    /// rumour is still put into.
    fn add(&mut self, key: CountKey, amount: u64, nodes: usize) {
        if self.by_count.len() >= MAX_RUMOURS && !self.by_count.contains_key(&key) {
            return;
        }
        let sends = ((nodes as f64).log2().ceil() as u32 + EXTRA_SENDS).min(MAX_SENDS);
        let rumour = self.by_count.entry(key).or_insert(Rumour {
            sends_left: sends,
            amount: 0,
        });
        rumour.sends_left = sends;
        rumour.amount = rumour.amount.saturating_add(amount);
    }

    /// Returns all rumours, the largest change first.
    pub(super) fn by_amount(&self) -> Vec<CountKey> {
        let mut rumours: Vec<_> = self.by_count.iter().collect();
        rumours.sort_by_key(|(key, rumour)| (Reverse(rumour.amount), **key));
        rumours.into_iter().map(|(key, _)| *key).collect()
    }

    fn record_send(&mut self, key: &CountKey) {
        if let Some(rumour) = self.by_count.get_mut(key) {
            rumour.sends_left = rumour.sends_left.saturating_sub(1);
        }
    }

    /// Drops the rumours without sends left.
    pub(super) fn drop_finished(&mut self) {
        self.by_count.retain(|_, rumour| rumour.sends_left > 0);
    }
}

impl Node {
    /// Adds a change of a count, in thousandths of a unit, to the next gossip rounds.
    pub(super) fn add_rumour(
        &mut self,
        source: Life,
        epoch: Epoch,
        customer: Customer,
        amount: u64,
    ) {
        let key = CountKey {
            source,
            epoch,
            customer,
        };
        self.rumours.add(key, amount, self.peers.len() + 1);
    }

    pub(super) fn drop_rumours_of_expired_counts(&mut self) {
        let mut rumours = std::mem::take(&mut self.rumours);
        rumours
            .by_count
            .retain(|key, _| self.versioned_count(key).is_some());
        self.rumours = rumours;
    }

    fn versioned_count(&self, key: &CountKey) -> Option<VersionedCount> {
        self.member(key.source.door)?
            .incarnation(key.source.incarnation)?
            .replica
            .get_versioned(key.epoch, key.customer)
    }

    /// Fills the rest of a datagram with rumours, one section per incarnation.
    pub(super) fn write_rumours(&mut self, writer: &mut Writer, rumours: &[CountKey]) {
        let mut by_source: BTreeMap<Life, Vec<VersionedCount>> = BTreeMap::new();
        let mut remaining = writer.remaining();
        for key in rumours {
            let Some(versioned) = self.versioned_count(key) else {
                continue;
            };
            let mut bytes = count_bytes(&versioned);
            if !by_source.contains_key(&key.source) {
                bytes += TYPICAL_COUNTS_HEADER_BYTES;
            }
            if bytes > remaining {
                break;
            }
            remaining -= bytes;
            by_source.entry(key.source).or_default().push(versioned);
            self.rumours.record_send(key);
        }
        for (source, counts) in by_source {
            let delta = Delta {
                after: 0,
                up_to: 0,
                counts,
            };
            writer.add(&Section::Counts(source, delta));
        }
    }
}
