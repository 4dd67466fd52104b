//! Kept verdicts: each for its time, all within so many bytes.

use crate::interface::Verdict;
use crate::key::Key;
use maplefall_policy::Millis;
use std::collections::{BTreeMap, HashMap};

/// Bytes that an entry takes besides its answer, roughly.
const ENTRY: usize = 160;

/// The verdicts that are kept.
#[derive(Debug)]
pub(crate) struct Cache<T> {
    max_bytes: usize,
    bytes: usize,
    entries: HashMap<Key, Entry<T>>,
    /// The same by the time of their end: the next to go are first. The number tells entries of one time apart.
    ends: BTreeMap<(u64, u64), Key>,
    last: u64,
}

#[derive(Debug)]
struct Entry<T> {
    verdict: Verdict<T>,
    until: Millis,
    place: (u64, u64),
    bytes: usize,
}

impl<T> Cache<T> {
    pub fn new(max_bytes: usize) -> Cache<T> {
        Cache {
            max_bytes,
            bytes: 0,
            entries: HashMap::new(),
            ends: BTreeMap::new(),
            last: 0,
        }
    }

    pub fn get(&mut self, now: Millis, key: Key) -> Option<&Verdict<T>> {
        if self
            .entries
            .get(&key)
            .is_some_and(|entry| now >= entry.until)
        {
            self.remove(key);
        }
        self.entries.get(&key).map(|entry| &entry.verdict)
    }

    /// Keeps a verdict until then; those that end soonest make room. One that is larger than all the room is not kept.
    pub fn put(&mut self, key: Key, verdict: Verdict<T>, until: Millis) {
        self.remove(key);
        let bytes = verdict.bytes.saturating_add(ENTRY);
        if bytes > self.max_bytes {
            return;
        }
        while self.bytes + bytes > self.max_bytes {
            let Some((_, first)) = self.ends.first_key_value() else {
                break;
            };
            let first = *first;
            self.remove(first);
        }
        self.last += 1;
        // Times are not negative: the order of their bits is theirs.
        let place = (until.max(0.0).to_bits(), self.last);
        self.ends.insert(place, key);
        self.bytes += bytes;
        self.entries.insert(
            key,
            Entry {
                verdict,
                until,
                place,
                bytes,
            },
        );
    }

    fn remove(&mut self, key: Key) {
        if let Some(entry) = self.entries.remove(&key) {
            self.ends.remove(&entry.place);
            self.bytes -= entry.bytes;
        }
    }

    pub fn clear(&mut self) {
        (self.bytes, self.entries, self.ends) = (0, HashMap::new(), BTreeMap::new());
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }
}
