//! An index of the backends of a proxy for the queries of its load balancer.
//!
//! A proxy in a large fleet prefers a few of its backends. Without an index each request would scan
//! all backends: to find the last preferred position, whether a backend is idle, which of the
//! backends that are warming up is due for a request, and which costs least. The index answers each
//! query from a sorted set that is updated whenever a backend changes. Properties that change with
//! time alone (health scores, slow start) cannot be indexed in this way: the index lists the few
//! backends that may be affected, and the caller, which has the clock, removes those that no longer
//! are.
//!
//! The index makes no decisions, reads no clock and does no I/O. It holds as many entries as its
//! caller inserts.

#![forbid(unsafe_code)]

mod table;

pub use table::{BackendTable, Candidate, Indexed, SearchResult};

use std::collections::{BTreeMap, BTreeSet};

/// Whether new requests may be sent to a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// New requests may be sent.
    Ready,
    /// No new requests may be sent, and attempts are still in flight.
    Draining,
    /// No new requests may be sent, and no attempt is in flight: the backend can be removed.
    Drained,
}

/// The indexed properties of one backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
    /// Whether new requests may be sent to the backend.
    pub state: State,
    /// Its position in the proxy's order of preference, the lowest first; not negative.
    pub position: f64,
    /// Since when the backend may be warming up; a new value lists it as warming up again.
    pub warming_since: Option<f64>,
    /// Since when its health may be suspect; a new value lists it as suspect again.
    pub suspect_since: Option<f64>,
    /// Whether any attempt of this proxy is in flight to the backend.
    pub in_use: bool,
    /// Its time per unit of load, if it was measured; not negative.
    pub time_per_unit: Option<f64>,
}

/// Backends by key, with a sorted set for each query.
#[derive(Clone, Debug)]
pub struct Index<K> {
    entries: BTreeMap<K, Entry>,
    /// Ready backends, in the order of their keys.
    ready: Vec<K>,
    /// Ready backends by position, and by time per unit of load.
    by_position: BTreeSet<(u64, K)>,
    by_time_per_unit: BTreeSet<(u64, K)>,
    /// Ready backends that may be warming up, and those that may be suspect.
    warming: BTreeSet<K>,
    suspects: BTreeSet<K>,
    /// Number of ready backends that are in use.
    in_use: usize,
    drained: BTreeSet<K>,
    /// Allocation that is reused for the next list of candidates.
    spare: Vec<K>,
    /// Whether each list of candidates contains all ready backends.
    exhaustive: bool,
    /// Number of candidates listed so far.
    examined: u64,
}

/// Returns a sort key: the bits of numbers that are not negative sort in the order of their values.
fn sort_key(number: f64) -> u64 {
    number.max(0.0).to_bits()
}

impl<K: Copy + Ord> Default for Index<K> {
    fn default() -> Self {
        Index {
            entries: BTreeMap::new(),
            ready: Vec::new(),
            by_position: BTreeSet::new(),
            by_time_per_unit: BTreeSet::new(),
            warming: BTreeSet::new(),
            suspects: BTreeSet::new(),
            in_use: 0,
            drained: BTreeSet::new(),
            spare: Vec::new(),
            exhaustive: false,
            examined: 0,
        }
    }
}

impl<K: Copy + Ord> Index<K> {
    /// Lists all ready backends as candidates from now on: a baseline for tests and benchmarks.
    pub fn make_exhaustive(&mut self) {
        self.exhaustive = true;
    }

    /// Sets the entry of a backend; `None` removes it.
    ///
    /// A backend that was removed from the list of warming or suspect backends is listed again only
    /// by an entry that differs from its previous one.
    pub fn set(&mut self, key: K, entry: Option<Entry>) {
        let previous = match entry {
            Some(entry) => self.entries.insert(key, entry),
            None => self.entries.remove(&key),
        };
        if previous == entry {
            return;
        }
        if let Some(previous) = previous {
            self.remove_from_lists(key, previous);
        }
        if let Some(entry) = entry {
            self.add_to_lists(key, entry);
        }
        self.set_ready(key, entry.is_some_and(|entry| entry.state == State::Ready));
    }

    /// Adds a backend to the ready ones or removes it; most changes of an entry need neither.
    fn set_ready(&mut self, key: K, is_ready: bool) {
        match (self.ready.binary_search(&key), is_ready) {
            (Err(at), true) => self.ready.insert(at, key),
            (Ok(at), false) => {
                self.ready.remove(at);
            }
            _ => {}
        }
    }

    fn remove_from_lists(&mut self, key: K, entry: Entry) {
        match entry.state {
            State::Draining => {}
            State::Drained => {
                self.drained.remove(&key);
            }
            State::Ready => {
                self.by_position.remove(&(sort_key(entry.position), key));
                if let Some(time) = entry.time_per_unit {
                    self.by_time_per_unit.remove(&(sort_key(time), key));
                }
                self.warming.remove(&key);
                self.suspects.remove(&key);
                self.in_use -= usize::from(entry.in_use);
            }
        }
    }

    fn add_to_lists(&mut self, key: K, entry: Entry) {
        match entry.state {
            State::Draining => {}
            State::Drained => {
                self.drained.insert(key);
            }
            State::Ready => {
                self.by_position.insert((sort_key(entry.position), key));
                if let Some(time) = entry.time_per_unit {
                    self.by_time_per_unit.insert((sort_key(time), key));
                }
                if entry.warming_since.is_some() {
                    self.warming.insert(key);
                }
                if entry.suspect_since.is_some() {
                    self.suspects.insert(key);
                }
                self.in_use += usize::from(entry.in_use);
            }
        }
    }

    /// Ready backends, in the order of their keys.
    pub fn ready(&self) -> &[K] {
        &self.ready
    }

    /// Backends that can be removed, in the order of their keys.
    pub fn drained(&self) -> impl Iterator<Item = K> + '_ {
        self.drained.iter().copied()
    }

    /// Ready backends, in the order of their keys, if all of them are in use; none otherwise.
    pub fn ready_if_all_in_use(&self) -> &[K] {
        if self.in_use == self.ready.len() {
            &self.ready
        } else {
            &[]
        }
    }

    /// Removes the backends for which `is_warming` is false from the list of warming backends.
    pub fn retain_warming(&mut self, mut is_warming: impl FnMut(K) -> bool) {
        self.warming.retain(|key| is_warming(*key));
    }

    /// Removes the backends for which `is_suspect` is false from the list of suspect backends.
    pub fn retain_suspects(&mut self, mut is_suspect: impl FnMut(K) -> bool) {
        self.suspects.retain(|key| is_suspect(*key));
    }

    /// Ready backends that may be warming up, in the order of their keys.
    pub fn warming(&self) -> impl Iterator<Item = K> + '_ {
        self.warming.iter().copied()
    }

    /// Number of ready backends that are not listed as suspect.
    pub fn healthy_count(&self) -> usize {
        self.ready.len() - self.suspects.len()
    }

    /// The `n`-th lowest position, counted from 1, of the ready backends that are not listed as
    /// suspect; `None` if there are fewer. Takes as many steps as there are lower positions.
    pub fn healthy_position(&self, n: usize) -> Option<f64> {
        let skipped = n.checked_sub(1)?;
        let mut healthy = self
            .by_position
            .iter()
            .filter(|(_, key)| !self.suspects.contains(key));
        let (position, _) = healthy.nth(skipped)?;
        Some(f64::from_bits(*position))
    }

    /// Ready backends with a position up to `last`, in the order of their keys.
    ///
    /// [`Index::recycle`] takes the list back, to reuse its allocation.
    pub fn candidates(&mut self, last: f64) -> Vec<K> {
        let mut candidates = std::mem::take(&mut self.spare);
        candidates.clear();
        let within = |(position, _): &&(u64, K)| f64::from_bits(*position) <= last;
        if self.exhaustive || self.by_position.last().as_ref().is_none_or(within) {
            candidates.extend_from_slice(&self.ready);
        } else {
            let lowest = self.by_position.iter().take_while(within);
            candidates.extend(lowest.map(|(_, key)| *key));
            candidates.sort_unstable();
        }
        self.examined += candidates.len() as u64;
        candidates
    }

    /// Keeps the allocation of a list of candidates for the next one.
    pub fn recycle(&mut self, candidates: Vec<K>) {
        self.spare = candidates;
    }

    /// Number of candidates that [`Index::candidates`] has listed so far.
    pub fn examined(&self) -> u64 {
        self.examined
    }

    /// Number of backends with a lower key, among the ready ones that are not listed as warming up
    /// and `extra`, which is.
    pub fn warm_rank(&self, key: K, extra: Option<K>) -> u64 {
        let rank = self.ready.partition_point(|other| *other < key);
        let warm = rank - self.warming.range(..key).count();
        (warm + usize::from(extra.is_some_and(|extra| extra < key))) as u64
    }

    /// Number of ready backends that are not listed as warming up, and `extra`, which is.
    pub fn warm_count(&self, extra: Option<K>) -> u64 {
        (self.ready.len() - self.warming.len() + usize::from(extra.is_some())) as u64
    }

    /// The least time per unit of load of the ready backends for which it was measured.
    pub fn least_time_per_unit(&self) -> Option<f64> {
        let (time, _) = self.by_time_per_unit.first()?;
        Some(f64::from_bits(*time))
    }
}
