//! Cache of verdicts, with an expiration time for each and a bound on the total size.

use crate::interface::Verdict;
use crate::key::Key;
use maplefall_policy::Millis;
use std::collections::{BTreeMap, HashMap};

/// Approximate size in bytes of an entry besides its response.
const ENTRY_OVERHEAD: usize = 160;

#[derive(Debug)]
pub(crate) struct Cache<T> {
    max_bytes: usize,
    bytes: usize,
    entries: HashMap<Key, Entry<T>>,
    /// Keys by expiration time and a sequence number, which tells entries of the same time apart.
    expirations: BTreeMap<(u64, u64), Key>,
    last_sequence: u64,
}

#[derive(Debug)]
struct Entry<T> {
    verdict: Verdict<T>,
    expires_at: Millis,
    expiration_key: (u64, u64),
    bytes: usize,
}

impl<T> Cache<T> {
    pub fn new(max_bytes: usize) -> Cache<T> {
        Cache {
            max_bytes,
            bytes: 0,
            entries: HashMap::new(),
            expirations: BTreeMap::new(),
            last_sequence: 0,
        }
    }

    pub fn get(&mut self, now: Millis, key: Key) -> Option<&Verdict<T>> {
        if self
            .entries
            .get(&key)
            .is_some_and(|entry| now >= entry.expires_at)
        {
            self.remove(key);
        }
        self.entries.get(&key).map(|entry| &entry.verdict)
    }

    /// Caches a verdict until `expires_at`, and evicts those that expire first to free the space. A
    /// verdict larger than the whole cache is not stored.
    pub fn put(&mut self, key: Key, verdict: Verdict<T>, expires_at: Millis) {
        self.remove(key);
        let bytes = verdict.bytes.saturating_add(ENTRY_OVERHEAD);
        if bytes > self.max_bytes {
            return;
        }
        while self.bytes + bytes > self.max_bytes {
            let Some((_, first)) = self.expirations.first_key_value() else {
                break;
            };
            let first = *first;
            self.remove(first);
        }
        self.last_sequence += 1;
        // Times are not negative, so their bit patterns sort in the order of the times.
        let expiration_key = (expires_at.max(0.0).to_bits(), self.last_sequence);
        self.expirations.insert(expiration_key, key);
        self.bytes += bytes;
        self.entries.insert(
            key,
            Entry {
                verdict,
                expires_at,
                expiration_key,
                bytes,
            },
        );
    }

    fn remove(&mut self, key: Key) {
        if let Some(entry) = self.entries.remove(&key) {
            self.expirations.remove(&entry.expiration_key);
            self.bytes -= entry.bytes;
        }
    }

    pub fn clear(&mut self) {
        (self.bytes, self.entries, self.expirations) = (0, HashMap::new(), BTreeMap::new());
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }
}
