//! The attempts that are in flight to one backend.

use crate::Millis;
use std::collections::BTreeMap;

/// An attempt that is in flight.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// When the attempt was sent.
    pub sent_at: Millis,
    /// The index of the class of the attempt's request.
    pub class: usize,
    /// Units of the attempt's request.
    pub units: f64,
    /// Units in flight to the backend when the attempt was sent, those of this attempt included.
    pub load: f64,
}

/// The attempts in flight to one backend, by the key of their request.
#[derive(Clone, Debug)]
pub(crate) struct InFlight<Key> {
    attempts: BTreeMap<Key, Attempt>,
}

impl<Key> Default for InFlight<Key> {
    fn default() -> Self {
        InFlight {
            attempts: BTreeMap::new(),
        }
    }
}

impl<Key: Ord> InFlight<Key> {
    /// Adds an attempt.
    pub fn insert(&mut self, key: Key, attempt: Attempt) {
        self.attempts.insert(key, attempt);
    }

    /// Removes the attempt of a request.
    pub fn remove(&mut self, key: &Key) -> Option<Attempt> {
        self.attempts.remove(key)
    }

    /// The attempt of a request.
    pub fn get(&self, key: &Key) -> Option<&Attempt> {
        self.attempts.get(key)
    }

    /// All attempts, in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.values()
    }

    /// Whether no attempt is in flight.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Units in flight.
    pub fn load(&self) -> f64 {
        self.iter().map(|attempt| attempt.units).sum()
    }
}
