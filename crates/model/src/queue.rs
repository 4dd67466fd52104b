//! What happens next: a queue by time, first come first out at one time.
//!
//! A binary heap. A calendar queue (Brown 1988) was measured against it in `benches/structures.rs`.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// An event and when it is due.
#[derive(Clone, Debug)]
struct Due<E> {
    at: f64,
    order: u64,
    event: E,
}

impl<E> PartialEq for Due<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Due<E> {}

impl<E> PartialOrd for Due<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Due<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.at
            .total_cmp(&other.at)
            .then(self.order.cmp(&other.order))
    }
}

/// Events by their times, in milliseconds.
#[derive(Clone, Debug)]
pub struct Queue<E> {
    heap: BinaryHeap<Reverse<Due<E>>>,
    order: u64,
}

impl<E> Default for Queue<E> {
    fn default() -> Self {
        Queue {
            heap: BinaryHeap::new(),
            order: 0,
        }
    }
}

impl<E> Queue<E> {
    /// Adds an event.
    pub fn push(&mut self, at: f64, event: E) {
        self.order += 1;
        self.heap.push(Reverse(Due {
            at,
            order: self.order,
            event,
        }));
    }

    /// The next event and its time.
    pub fn pop(&mut self) -> Option<(f64, E)> {
        self.heap.pop().map(|Reverse(due)| (due.at, due.event))
    }

    /// Events that wait.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }
}
