//! A queue of timers. Of two timers that are due at the same time, the one that was set first comes
//! first, so that runs can be replayed.

use maplefall_policy::Millis;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

struct Entry<T> {
    due_at: Millis,
    /// Number of timers set so far, including this one.
    sequence: u64,
    timer: T,
}

impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.due_at
            .total_cmp(&other.due_at)
            .then(self.sequence.cmp(&other.sequence))
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

/// Timers by the time at which they are due. Their number is bounded by the caller: a few for each
/// pending request.
pub struct TimerQueue<T> {
    heap: BinaryHeap<Reverse<Entry<T>>>,
    timers_set: u64,
}

impl<T> Default for TimerQueue<T> {
    fn default() -> Self {
        TimerQueue {
            heap: BinaryHeap::new(),
            timers_set: 0,
        }
    }
}

impl<T> TimerQueue<T> {
    /// Sets a timer.
    pub fn set(&mut self, due_at: Millis, timer: T) {
        self.timers_set += 1;
        self.heap.push(Reverse(Entry {
            due_at,
            sequence: self.timers_set,
            timer,
        }));
    }

    /// Returns when the first timer is due that is not obsolete. Obsolete timers before it are
    /// dropped, so that they cause no wake-up.
    pub fn next_due(&mut self, is_obsolete: impl Fn(&T) -> bool) -> Option<Millis> {
        while let Some(Reverse(first)) = self.heap.peek() {
            if !is_obsolete(&first.timer) {
                return Some(first.due_at);
            }
            self.heap.pop();
        }
        None
    }

    /// Removes and returns the first timer if it is due.
    pub fn pop_due(&mut self, now: Millis) -> Option<T> {
        let is_due = self
            .heap
            .peek()
            .is_some_and(|Reverse(first)| first.due_at <= now);
        if !is_due {
            return None;
        }
        self.heap.pop().map(|Reverse(first)| first.timer)
    }
}
