//! The backends of a door, indexed by the questions that a choice among them asks.
//!
//! A door of a large fleet prefers a few of its backends. Without an index each request walks all of them: to find the last
//! preferred place, to see whether one is idle, whose turn it is while cold, and which costs least. Here each of these is
//! kept by steps, whenever a backend changes. What fades with time (distrust, cold starts) cannot be kept so: the few it
//! may concern are listed, and the caller, who has the clock, strikes off those that it concerns no more.
//!
//! Nothing here decides, reads a clock or does I/O. An index holds as many entries as its caller puts in.

#![forbid(unsafe_code)]

use std::collections::{BTreeMap, BTreeSet};

/// Whether new work may go to a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Is {
    /// It may.
    Ready,
    /// It may not, and what is out there is waited for.
    Leaving,
    /// It may not, and nothing is waited for: it can be forgotten.
    Over,
}

/// What is known of one backend, as far as the index goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
    /// Whether new work may go there.
    pub is: Is,
    /// Its place in the door's preference, the lowest first; not below nought.
    pub place: f64,
    /// Since when it may be cold; another time puts it on that list again.
    pub cold: Option<f64>,
    /// Since when it may be distrusted, likewise.
    pub doubted: Option<f64>,
    /// Whether any attempt of this door is out there.
    pub busy: bool,
    /// Its own time per unit of load, where it has answered; not below nought.
    pub pace: Option<f64>,
}

/// Backends by key, and by the questions asked of them.
#[derive(Clone, Debug)]
pub struct Index<K> {
    standings: BTreeMap<K, Standing>,
    /// Those that are ready, in the order of their keys.
    ready: Vec<K>,
    places: BTreeSet<(u64, K)>,
    paces: BTreeSet<(u64, K)>,
    cold: BTreeSet<K>,
    doubted: BTreeSet<K>,
    busy: usize,
    over: BTreeSet<K>,
    /// Memory for who is looked at next.
    spare: Vec<K>,
    /// Whether all are looked at each time.
    walking: bool,
    /// How many were named in answers to who has the lowest places.
    looked_at: u64,
}

/// Figures that are not below nought sort by their bits as they sort by value.
fn bits(figure: f64) -> u64 {
    figure.max(0.0).to_bits()
}

impl<K: Copy + Ord> Default for Index<K> {
    fn default() -> Self {
        Index {
            standings: BTreeMap::new(),
            ready: Vec::new(),
            places: BTreeSet::new(),
            paces: BTreeSet::new(),
            cold: BTreeSet::new(),
            doubted: BTreeSet::new(),
            busy: 0,
            over: BTreeSet::new(),
            spare: Vec::new(),
            walking: false,
            looked_at: 0,
        }
    }
}

impl<K: Copy + Ord> Index<K> {
    /// One that names all that are ready wherever the lowest places are asked for: what an index is measured against.
    pub fn walking() -> Self {
        Index {
            walking: true,
            ..Index::default()
        }
    }

    /// Takes in what is known of a backend now; `None` forgets it. One that was struck off a list comes back to it only with
    /// a standing that differs from the last.
    pub fn set(&mut self, key: K, now: Option<Standing>) {
        let before = match now {
            Some(standing) => self.standings.insert(key, standing),
            None => self.standings.remove(&key),
        };
        if before == now {
            return;
        }
        let was_ready = before.is_some_and(|b| b.is == Is::Ready);
        let is_ready = now.is_some_and(|n| n.is == Is::Ready);
        if let Some(before) = before.filter(|_| was_ready) {
            self.places.remove(&(bits(before.place), key));
            self.paces.remove(&(before.pace.map_or(0, bits), key));
            self.cold.remove(&key);
            self.doubted.remove(&key);
            self.busy -= usize::from(before.busy);
        }
        if let Some(now) = now.filter(|_| is_ready) {
            self.places.insert((bits(now.place), key));
            if let Some(pace) = now.pace {
                self.paces.insert((bits(pace), key));
            }
            if now.cold.is_some() {
                self.cold.insert(key);
            }
            if now.doubted.is_some() {
                self.doubted.insert(key);
            }
            self.busy += usize::from(now.busy);
        }
        match now.is_some_and(|n| n.is == Is::Over) {
            true => self.over.insert(key),
            false => self.over.remove(&key),
        };
        match (was_ready, is_ready, self.ready.binary_search(&key)) {
            (false, true, Err(at)) => self.ready.insert(at, key),
            (true, false, Ok(at)) => {
                self.ready.remove(at);
            }
            _ => {}
        }
    }

    /// Those that are ready, in the order of their keys.
    pub fn ready(&self) -> &[K] {
        &self.ready
    }

    /// Those that can be forgotten, in the order of their keys.
    pub fn over(&self) -> impl Iterator<Item = K> + '_ {
        self.over.iter().copied()
    }

    /// Those that are ready, in the order of their keys, where each of them is busy; nobody where one is idle.
    pub fn all_busy(&self) -> &[K] {
        match self.busy == self.ready.len() {
            true => &self.ready,
            false => &[],
        }
    }

    /// Strikes off those that are cold no more.
    pub fn keep_cold(&mut self, mut still: impl FnMut(K) -> bool) {
        self.cold.retain(|key| still(*key));
    }

    /// Strikes off those that are distrusted no more.
    pub fn keep_doubted(&mut self, mut still: impl FnMut(K) -> bool) {
        self.doubted.retain(|key| still(*key));
    }

    /// Those that are ready and may be cold, in the order of their keys.
    pub fn cold(&self) -> impl Iterator<Item = K> + '_ {
        self.cold.iter().copied()
    }

    /// How many are ready and not on the list of those that may be distrusted.
    pub fn trusted(&self) -> usize {
        self.ready.len() - self.doubted.len()
    }

    /// The `n`-th lowest place of those that are ready and not on the list of those that may be distrusted, from 1; `None` where
    /// there are not so many. Takes as many steps as there are lower places.
    pub fn place_of(&self, n: usize) -> Option<f64> {
        let trusted = self
            .places
            .iter()
            .filter(|(_, key)| !self.doubted.contains(key));
        trusted
            .skip(n.checked_sub(1)?)
            .map(|(place, _)| f64::from_bits(*place))
            .next()
    }

    /// Those that are ready with a place up to this one, in the order of their keys. The memory comes back with
    /// [`Index::done_with`].
    pub fn placed_up_to(&mut self, last: f64) -> Vec<K> {
        let mut found = std::mem::take(&mut self.spare);
        found.clear();
        if self.walking
            || self
                .places
                .last()
                .is_none_or(|(place, _)| f64::from_bits(*place) <= last)
        {
            found.extend_from_slice(&self.ready);
        } else {
            let lowest = self
                .places
                .iter()
                .take_while(|(place, _)| f64::from_bits(*place) <= last);
            found.extend(lowest.map(|(_, key)| *key));
            found.sort_unstable();
        }
        self.looked_at += found.len() as u64;
        found
    }

    /// How many were named by [`Index::placed_up_to`] so far.
    pub fn looked_at(&self) -> u64 {
        self.looked_at
    }

    /// Keeps the memory of an answer for the next.
    pub fn done_with(&mut self, found: Vec<K>) {
        self.spare = found;
    }

    /// How many have a lower key, of those that are ready and not on the list of those that may be cold, and of one that is.
    pub fn warm_before(&self, key: K, and: Option<K>) -> u64 {
        let rank = self.ready.partition_point(|other| *other < key);
        let warm = rank - self.cold.range(..key).count();
        (warm + usize::from(and.is_some_and(|one| one < key))) as u64
    }

    /// How many are ready and not on the list of those that may be cold, with one that is.
    pub fn warm(&self, and: Option<K>) -> u64 {
        (self.ready.len() - self.cold.len() + usize::from(and.is_some())) as u64
    }

    /// The least own time per unit of load of those that are ready and have answered.
    pub fn least_pace(&self) -> Option<f64> {
        self.paces.first().map(|(pace, _)| f64::from_bits(*pace))
    }
}
