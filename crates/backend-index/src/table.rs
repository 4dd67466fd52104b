//! A table of backends that updates its index with each change.

use crate::{Entry, Index};
use maplefall_load_estimators::RankedDraws;
use rand_pcg::Pcg32;
use std::collections::BTreeMap;

/// A backend that can be indexed.
pub trait Indexed {
    /// The backend's entry in the index.
    fn index_entry(&self) -> Entry;
}

/// A backend that a request could be sent to. All times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate<K> {
    /// Its key.
    pub key: K,
    /// Expected cost of sending the request to the backend, as time.
    pub cost: f64,
    /// Expected time until the backend starts to process the request.
    pub wait: f64,
    /// Expected time until the response.
    pub response_time: f64,
}

/// Result of [`BackendTable::search`].
#[derive(Clone, Debug)]
pub struct SearchResult<K> {
    /// The backend in slow start that is due for a request, if it is eligible.
    pub due: Option<Candidate<K>>,
    /// The cheapest of the other eligible backends.
    pub cheapest: Option<Candidate<K>>,
    /// The random number generator after all draws.
    pub rng: Pcg32,
}

/// Backends by key, with their index.
#[derive(Clone, Debug)]
pub struct BackendTable<K, V> {
    backends: BTreeMap<K, V>,
    index: Index<K>,
}

impl<K: Copy + Ord, V> Default for BackendTable<K, V> {
    fn default() -> Self {
        BackendTable {
            backends: BTreeMap::new(),
            index: Index::default(),
        }
    }
}

impl<K: Copy + Ord, V: Indexed> BackendTable<K, V> {
    /// The index.
    pub fn index(&self) -> &Index<K> {
        &self.index
    }

    /// The index, for taking lists of candidates from it and returning them.
    pub fn index_mut(&mut self) -> &mut Index<K> {
        &mut self.index
    }

    /// Number of backends, including those that are draining.
    pub fn len(&self) -> usize {
        self.backends.len()
    }

    /// Whether there is no backend.
    pub fn is_empty(&self) -> bool {
        self.backends.is_empty()
    }

    /// The backend with this key.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.backends.get(key)
    }

    /// Changes a backend, if it is in the table, and updates the index.
    pub fn update<R>(&mut self, key: K, change: impl FnOnce(&mut V) -> R) -> Option<R> {
        let backend = self.backends.get_mut(&key)?;
        let result = change(backend);
        self.index.set(key, Some(backend.index_entry()));
        Some(result)
    }

    /// Changes any number of backends at once and updates the index for the `changed` ones, or for
    /// all if that is `None`. Then removes the drained backends.
    pub fn update_many(&mut self, changed: Option<&[K]>, change: impl FnOnce(&mut BTreeMap<K, V>)) {
        change(&mut self.backends);
        match changed {
            Some(keys) => keys.iter().for_each(|key| self.reindex(key)),
            None => {
                for (key, backend) in &self.backends {
                    self.index.set(*key, Some(backend.index_entry()));
                }
            }
        }
        for key in self.index.drained().collect::<Vec<_>>() {
            self.backends.remove(&key);
            self.index.set(key, None);
        }
    }

    fn reindex(&mut self, key: &K) {
        let entry = self.backends.get(key).map(Indexed::index_entry);
        self.index.set(*key, entry);
    }

    /// Evaluates the eligible backends among `keys`, which are in order and contain either all
    /// ready backends or the preferred ones. `due` is a backend that is warming up and may be
    /// eligible nevertheless.
    ///
    /// Each eligible backend has its own random draw, which does not depend on whether all backends
    /// are searched or only some. A search of some therefore finds the same as a search of all,
    /// unless another backend is cheaper. If only some are searched, all ready backends that are
    /// not warming up must be eligible.
    pub fn search(
        &self,
        keys: &[K],
        due: Option<K>,
        rng: &Pcg32,
        is_eligible: impl Fn(K, &V) -> bool,
        evaluate: impl Fn(K, &V, f64) -> Candidate<K>,
    ) -> SearchResult<K> {
        let (mut found_due, mut cheapest) = (None, None::<Candidate<K>>);
        let mut draws = RankedDraws::new(rng);
        let is_partial = keys.len() < self.index.ready().len();
        for &key in keys {
            let backend = self.backends.get(&key);
            let Some(backend) = backend.filter(|backend| is_eligible(key, backend)) else {
                continue;
            };
            if is_partial {
                draws.skip_to(self.index.warm_rank(key, due));
            }
            let candidate = evaluate(key, backend, draws.next_uniform());
            if due == Some(key) {
                found_due = Some(candidate);
            } else if cheapest.is_none_or(|cheapest| candidate.cost < cheapest.cost) {
                cheapest = Some(candidate);
            }
        }
        if is_partial {
            draws.skip_to(self.index.warm_count(due));
        }
        SearchResult {
            due: found_due,
            cheapest,
            rng: draws.into_rng(),
        }
    }

    /// Ready backends if all of them are in use; none otherwise.
    pub fn ready_if_all_in_use(&self) -> impl Iterator<Item = &V> {
        let keys = self.index.ready_if_all_in_use();
        keys.iter().filter_map(|key| self.backends.get(key))
    }

    /// Ready backends that may be warming up.
    pub fn warming(&self) -> impl Iterator<Item = &V> {
        self.index
            .warming()
            .filter_map(|key| self.backends.get(&key))
    }

    /// Visits the ready backends that may be warming up. The index is not updated, so `visit` must
    /// not change the properties that it holds.
    pub fn for_each_warming(&mut self, mut visit: impl FnMut(K, &mut V)) {
        for key in self.index.warming() {
            if let Some(backend) = self.backends.get_mut(&key) {
                visit(key, backend);
            }
        }
    }

    /// Removes the backends for which `is_warming` is false from the list of warming backends.
    pub fn retain_warming(&mut self, is_warming: impl Fn(&V) -> bool) {
        let backends = &self.backends;
        self.index
            .retain_warming(|key| backends.get(&key).is_some_and(&is_warming));
    }

    /// Removes the backends for which `is_suspect` is false from the list of suspect backends.
    pub fn retain_suspects(&mut self, is_suspect: impl Fn(&V) -> bool) {
        let backends = &self.backends;
        self.index
            .retain_suspects(|key| backends.get(&key).is_some_and(&is_suspect));
    }
}
