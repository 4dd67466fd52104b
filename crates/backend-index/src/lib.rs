//! An index of the backends of a proxy, by the questions that load balancing asks of them.
//!
//! A proxy in a large fleet prefers a few of its backends. Without an index each request walks all
//! of them: to find the last preferred position, to see whether one is idle, which of those that are
//! warming up is due, and which costs least. The index answers each question from a sorted set that
//! is updated whenever a backend changes. What changes with time alone (health scores, slow start)
//! can't be kept so: the index lists the few backends that may be concerned, and the caller, who has
//! the clock, removes those that no longer are.
//!
//! The index decides nothing, reads no clock and does no I/O. It holds as many entries as its caller
//! puts in.

#![forbid(unsafe_code)]

mod table;

pub use table::{BackendTable, Candidate, Indexed, SearchResult};

use std::collections::{BTreeMap, BTreeSet};

/// Whether new requests may be sent to a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// They may.
    Ready,
    /// They may not, and attempts are still in flight.
    Draining,
    /// They may not, and nothing is in flight: the backend can be removed.
    Drained,
}

/// What the index knows of one backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
    /// Whether new requests may be sent to it.
    pub state: State,
    /// Its position in the proxy's order of preference, the lowest first; not negative.
    pub position: f64,
    /// Since when it may be warming up; another time lists it as such again.
    pub warming_since: Option<f64>,
    /// Since when its health may be suspect, likewise.
    pub suspect_since: Option<f64>,
    /// Whether any attempt of this proxy is in flight to it.
    pub in_use: bool,
    /// Its time per unit of load, if it has answered; not negative.
    pub time_per_unit: Option<f64>,
}

/// Backends by key, and by the questions asked of them.
#[derive(Clone, Debug)]
pub struct Index<K> {
    entries: BTreeMap<K, Entry>,
    /// Those that are ready, in the order of their keys.
    ready: Vec<K>,
    /// Those that are ready, by position and by time per unit of load.
    by_position: BTreeSet<(u64, K)>,
    by_time_per_unit: BTreeSet<(u64, K)>,
    /// Those that are ready and may be warming up, suspect.
    warming: BTreeSet<K>,
    suspects: BTreeSet<K>,
    /// How many are ready and in use.
    in_use: usize,
    drained: BTreeSet<K>,
    /// Memory for the next list of candidates.
    spare: Vec<K>,
    /// Whether each list of candidates names all that are ready.
    exhaustive: bool,
    /// How many candidates were listed so far.
    examined: u64,
}

/// A sort key: numbers that are not negative sort by their bits as they sort by value.
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
    /// A backend that was removed from the list of those that are warming up or suspect is listed
    /// again only by an entry that differs from its last.
    pub fn set(&mut self, key: K, entry: Option<Entry>) {
        let before = match entry {
            Some(entry) => self.entries.insert(key, entry),
            None => self.entries.remove(&key),
        };
        if before == entry {
            return;
        }
        if let Some(before) = before {
            self.remove_from_lists(key, before);
        }
        if let Some(entry) = entry {
            self.add_to_lists(key, entry);
        }
        self.set_ready(key, entry.is_some_and(|entry| entry.state == State::Ready));
    }

    /// Adds a backend to the ready ones or removes it; most entries change without either.
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

    /// Those that are ready, in the order of their keys.
    pub fn ready(&self) -> &[K] {
        &self.ready
    }

    /// Those that can be removed, in the order of their keys.
    pub fn drained(&self) -> impl Iterator<Item = K> + '_ {
        self.drained.iter().copied()
    }

    /// Those that are ready, in the order of their keys, if all of them are in use; none otherwise.
    pub fn ready_if_all_in_use(&self) -> &[K] {
        if self.in_use == self.ready.len() {
            &self.ready
        } else {
            &[]
        }
    }

    /// Removes those that `is_warming` denies from the list of those that may be warming up.
    pub fn retain_warming(&mut self, mut is_warming: impl FnMut(K) -> bool) {
        self.warming.retain(|key| is_warming(*key));
    }

    /// Removes those that `is_suspect` denies from the list of those whose health may be suspect.
    pub fn retain_suspects(&mut self, mut is_suspect: impl FnMut(K) -> bool) {
        self.suspects.retain(|key| is_suspect(*key));
    }

    /// Those that are ready and may be warming up, in the order of their keys.
    pub fn warming(&self) -> impl Iterator<Item = K> + '_ {
        self.warming.iter().copied()
    }

    /// How many are ready and not listed as suspect.
    pub fn healthy_count(&self) -> usize {
        self.ready.len() - self.suspects.len()
    }

    /// The `n`-th lowest position, from 1, of those that are ready and not listed as suspect; `None`
    /// where there are fewer. Takes as many steps as there are lower positions.
    pub fn healthy_position(&self, n: usize) -> Option<f64> {
        let skipped = n.checked_sub(1)?;
        let mut healthy = self
            .by_position
            .iter()
            .filter(|(_, key)| !self.suspects.contains(key));
        let (position, _) = healthy.nth(skipped)?;
        Some(f64::from_bits(*position))
    }

    /// Those that are ready with a position up to `last`, in the order of their keys.
    ///
    /// [`Index::recycle`] takes the memory of the list back.
    pub fn candidates(&mut self, last: f64) -> Vec<K> {
        let mut found = std::mem::take(&mut self.spare);
        found.clear();
        let within = |(position, _): &&(u64, K)| f64::from_bits(*position) <= last;
        if self.exhaustive || self.by_position.last().as_ref().is_none_or(within) {
            found.extend_from_slice(&self.ready);
        } else {
            let lowest = self.by_position.iter().take_while(within);
            found.extend(lowest.map(|(_, key)| *key));
            found.sort_unstable();
        }
        self.examined += found.len() as u64;
        found
    }

    /// Keeps the memory of a list of candidates for the next.
    pub fn recycle(&mut self, candidates: Vec<K>) {
        self.spare = candidates;
    }

    /// How many candidates [`Index::candidates`] has listed so far.
    pub fn examined(&self) -> u64 {
        self.examined
    }

    /// How many have a lower key, of those that are ready and not listed as warming up, and of
    /// `one_more` that is.
    pub fn warm_rank(&self, key: K, one_more: Option<K>) -> u64 {
        let rank = self.ready.partition_point(|other| *other < key);
        let warm = rank - self.warming.range(..key).count();
        (warm + usize::from(one_more.is_some_and(|one| one < key))) as u64
    }

    /// How many are ready and not listed as warming up, with `one_more` that is.
    pub fn warm_count(&self, one_more: Option<K>) -> u64 {
        (self.ready.len() - self.warming.len() + usize::from(one_more.is_some())) as u64
    }

    /// The least time per unit of load of those that are ready and have answered.
    pub fn least_time_per_unit(&self) -> Option<f64> {
        let (time, _) = self.by_time_per_unit.first()?;
        Some(f64::from_bits(*time))
    }
}
