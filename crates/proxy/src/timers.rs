//! What comes due at a time.

use maplefall_policy::Millis;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

struct Entry<T> {
    at: Millis,
    order: u64,
    due: T,
}

impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.at
            .total_cmp(&other.at)
            .then(self.order.cmp(&other.order))
    }
}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<T> Eq for Entry<T> {}

/// Times with what is due then; of two for one time, the one set first comes first. As many as requests have set.
pub struct Timers<T> {
    heap: BinaryHeap<Reverse<Entry<T>>>,
    set: u64,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Timers {
            heap: BinaryHeap::new(),
            set: 0,
        }
    }
}

impl<T> Timers<T> {
    /// Sets one.
    pub fn set(&mut self, at: Millis, due: T) {
        self.set += 1;
        self.heap.push(Reverse(Entry {
            at,
            order: self.set,
            due,
        }));
    }

    /// When the first is due that is not dead; dead ones before it are dropped, so that nobody wakes for them.
    pub fn next(&mut self, dead: impl Fn(&T) -> bool) -> Option<Millis> {
        while let Some(Reverse(first)) = self.heap.peek() {
            if !dead(&first.due) {
                return Some(first.at);
            }
            self.heap.pop();
        }
        None
    }

    /// Takes the first, if it is due.
    pub fn take(&mut self, now: Millis) -> Option<T> {
        if self
            .heap
            .peek()
            .is_some_and(|Reverse(first)| first.at <= now)
        {
            return self.heap.pop().map(|Reverse(first)| first.due);
        }
        None
    }
}
