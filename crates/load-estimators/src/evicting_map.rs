//! A map that evicts entries in periodic sweeps.

use crate::Millis;
use std::collections::BTreeMap;
use std::ops::{Deref, DerefMut};

/// A map whose entries are swept at intervals. It dereferences to the [`BTreeMap`] inside.
#[derive(Clone, Debug)]
pub struct EvictingMap<K, V> {
    entries: BTreeMap<K, V>,
    next_sweep: Millis,
}

impl<K, V> Default for EvictingMap<K, V> {
    fn default() -> Self {
        EvictingMap {
            entries: BTreeMap::new(),
            next_sweep: 0.0,
        }
    }
}

impl<K: Ord, V> EvictingMap<K, V> {
    /// Evicts the entries for which `keep` is false, if the last sweep was `interval` or longer
    /// ago; returns the number of evicted entries.
    pub fn sweep(&mut self, now: Millis, interval: Millis, keep: impl Fn(&V) -> bool) -> usize {
        if now < self.next_sweep {
            return 0;
        }
        self.next_sweep = now + interval;
        let before = self.entries.len();
        self.entries.retain(|_, value| keep(value));
        before - self.entries.len()
    }
}

impl<K, V> Deref for EvictingMap<K, V> {
    type Target = BTreeMap<K, V>;

    fn deref(&self) -> &Self::Target {
        &self.entries
    }
}

impl<K, V> DerefMut for EvictingMap<K, V> {
    fn deref_mut(&mut self) -> &mut Self::Target {
        &mut self.entries
    }
}
