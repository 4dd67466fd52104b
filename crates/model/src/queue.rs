//! The event queue, ordered by time; events of the same time leave in the order of insertion.
//!
//! A binary heap. `benches/structures.rs` measures a calendar queue (Brown 1988) against it.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// An event with its time and its sequence number, which breaks ties.
#[derive(Clone, Debug)]
struct Scheduled<E> {
    at: f64,
    sequence: u64,
    event: E,
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Scheduled<E> {}

impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Scheduled<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.at
            .total_cmp(&other.at)
            .then(self.sequence.cmp(&other.sequence))
    }
}

/// Pending events, ordered by time in milliseconds.
#[derive(Clone, Debug)]
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<Scheduled<E>>>,
    sequence: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        EventQueue {
            heap: BinaryHeap::new(),
            sequence: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// Schedules an event.
    pub fn push(&mut self, at: f64, event: E) {
        self.sequence += 1;
        self.heap.push(Reverse(Scheduled {
            at,
            sequence: self.sequence,
            event,
        }));
    }

    /// Removes and returns the next event and its time.
    pub fn pop(&mut self) -> Option<(f64, E)> {
        self.heap.pop().map(|Reverse(next)| (next.at, next.event))
    }

    /// Returns the number of pending events.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Whether no event is pending.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }
}
