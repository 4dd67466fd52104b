//! The memory that the heads of requests take beyond what every connection may have. The read
//! buffer of a connection grows with a long head and does not shrink before the connection closes.

use std::cell::Cell;
use std::rc::Rc;

/// Length of a head that is not counted: every connection has a buffer of this size, in bytes.
const FREE_HEAD_BYTES: usize = 8 << 10;

/// The memory for long heads of all connections of a process.
#[derive(Debug)]
pub struct HeadMemory {
    limit: usize,
    used: Cell<usize>,
}

impl HeadMemory {
    /// Creates an account of `limit` bytes, of which none are used.
    pub fn new(limit: usize) -> Rc<HeadMemory> {
        Rc::new(HeadMemory {
            limit,
            used: Cell::new(0),
        })
    }
}

/// What the heads of one connection take, released on drop.
#[derive(Debug)]
pub struct HeadCharge {
    memory: Rc<HeadMemory>,
    /// Length of the present head so far.
    head_bytes: Cell<usize>,
    /// What is counted: the excess of the longest head so far.
    charged: Cell<usize>,
}

impl HeadCharge {
    /// Creates the charge of a new connection.
    pub fn new(memory: Rc<HeadMemory>) -> HeadCharge {
        HeadCharge {
            memory,
            head_bytes: Cell::new(0),
            charged: Cell::new(0),
        }
    }

    /// Records that bytes of a head have arrived. Returns whether there is memory for them; if not,
    /// the connection has to be closed.
    pub fn head_bytes_received(&self, count: usize) -> bool {
        let head_bytes = self.head_bytes.get() + count;
        self.head_bytes.set(head_bytes);
        let excess = head_bytes.saturating_sub(FREE_HEAD_BYTES);
        let additional = excess.saturating_sub(self.charged.get());
        let used = self.memory.used.get() + additional;
        let available = used <= self.memory.limit;
        if available {
            self.memory.used.set(used);
            self.charged.set(self.charged.get() + additional);
        }
        available
    }

    /// Records that the present head is complete.
    pub fn head_complete(&self) {
        self.head_bytes.set(0);
    }
}

impl Drop for HeadCharge {
    fn drop(&mut self) {
        let used = self.memory.used.get();
        self.memory.used.set(used - self.charged.get());
    }
}
