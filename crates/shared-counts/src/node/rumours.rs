//! Rumours: recent changes of counts, which each node forwards a few times.

use super::Node;
use crate::replica::{Delta, VersionedCount};
use crate::wire::{count_bytes, Section, Writer, USUAL_COUNTS_HEAD_BYTES};
use crate::{Customer, Epoch, Life};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// The most rumours; changes of further counts spread by anti-entropy alone.
const MAX_RUMOURS: usize = 2048;
/// A rumour that is forwarded this much more often than the logarithm of the number of nodes misses a node about once in e^4 times.
const EXTRA_SENDS: u32 = 4;
/// The most datagrams that a rumour goes into.
const MAX_SENDS: u32 = 12;

/// Which count a rumour is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CountKey {
    source: Life,
    epoch: Epoch,
    customer: Customer,
}

#[derive(Clone, Copy, Debug)]
struct Rumour {
    /// How many datagrams it still goes into.
    sends_left: u32,
    /// How much the count has changed since the rumour began, in thousandths of a unit.
    amount: u64,
}

/// All rumours of a node.
#[derive(Debug, Default)]
pub(super) struct Rumours {
    by_count: BTreeMap<CountKey, Rumour>,
}

impl Rumours {
    /// Adds a change of a count, or begins its rumour again.
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

    /// All rumours, the largest change first.
    pub(super) fn by_amount(&self) -> Vec<CountKey> {
        let mut rumours: Vec<_> = self.by_count.iter().collect();
        rumours.sort_by_key(|(key, rumour)| (Reverse(rumour.amount), **key));
        rumours.into_iter().map(|(key, _)| *key).collect()
    }

    fn mark_sent(&mut self, key: &CountKey) {
        if let Some(rumour) = self.by_count.get_mut(key) {
            rumour.sends_left = rumour.sends_left.saturating_sub(1);
        }
    }

    /// Drops the rumours that were sent often enough.
    pub(super) fn drop_finished(&mut self) {
        self.by_count.retain(|_, rumour| rumour.sends_left > 0);
    }
}

impl Node {
    /// Notes a change of a count, in thousandths of a unit, for the next gossip rounds.
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

    /// Fills what is left of a datagram with rumours, one section for each incarnation.
    pub(super) fn write_rumours(&mut self, writer: &mut Writer, rumours: &[CountKey]) {
        let mut by_source: BTreeMap<Life, Vec<VersionedCount>> = BTreeMap::new();
        let mut remaining = writer.remaining();
        for key in rumours {
            let Some(versioned) = self.versioned_count(key) else {
                continue;
            };
            let mut bytes = count_bytes(&versioned);
            if !by_source.contains_key(&key.source) {
                bytes += USUAL_COUNTS_HEAD_BYTES;
            }
            if bytes > remaining {
                break;
            }
            remaining -= bytes;
            by_source.entry(key.source).or_default().push(versioned);
            self.rumours.mark_sent(key);
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
