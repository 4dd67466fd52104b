//! The open connections of clients, and what happens at the connection limit.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::futures::Notified;
use tokio::sync::Notify;

/// How long a connection that was asked to close may take before another one is asked.
pub const CLOSE_RESPONSE_TIMEOUT: Duration = Duration::from_millis(20);

/// Who learns that a connection has closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseNotification {
    /// Only who waits at that moment.
    Waiting,
    /// Who waits at that moment; and one close is remembered for the next to wait, so that a loop of "check, then wait" misses
    /// none.
    Remembered,
}

/// The open connections, each with a state `T`. It holds `max_connections` at most if every [`insert`](Self::insert) comes after
/// a [`wait_for_capacity`](Self::wait_for_capacity).
pub struct ConnectionTable<T> {
    max_connections: usize,
    notification: CloseNotification,
    connections: RefCell<HashMap<u64, Rc<T>>>,
    last_id: Cell<u64>,
    closed: Notify,
    saturated: Cell<bool>,
}

impl<T> ConnectionTable<T> {
    /// An empty table.
    pub fn new(max_connections: usize, notification: CloseNotification) -> Rc<ConnectionTable<T>> {
        Rc::new(ConnectionTable {
            max_connections,
            notification,
            connections: RefCell::default(),
            last_id: Cell::new(0),
            closed: Notify::new(),
            saturated: Cell::new(false),
        })
    }

    /// Counts a new connection until the guard is dropped.
    pub fn insert(self: &Rc<Self>, state: T) -> ConnectionGuard<T> {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        let state = Rc::new(state);
        self.connections.borrow_mut().insert(id, state.clone());
        ConnectionGuard {
            table: self.clone(),
            id,
            state,
        }
    }

    /// How many connections are open.
    pub fn len(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.connections.borrow().is_empty()
    }

    /// Whether a further connection is within the limit.
    pub fn has_capacity(&self) -> bool {
        self.len() < self.max_connections
    }

    /// Whether the limit is reached and no connection can be asked to close. Responses then close their connections.
    pub fn is_saturated(&self) -> bool {
        self.saturated.get()
    }

    /// Calls `visit` with the state of each open connection, in no order. It must not open or close one.
    pub fn for_each(&self, visit: impl FnMut(&Rc<T>)) {
        self.connections.borrow().values().for_each(visit);
    }

    /// Waits until a further connection is within the limit; returns at once if it is. `select` picks the connection that is
    /// missed least, and `close` asks it to close; after [`CLOSE_RESPONSE_TIMEOUT`] the next is asked. While `select` finds none,
    /// [`is_saturated`](Self::is_saturated) holds.
    pub async fn wait_for_capacity<C>(
        &self,
        select: impl Fn(&mut dyn Iterator<Item = &Rc<T>>) -> Option<C>,
        close: impl Fn(C),
    ) {
        while !self.has_capacity() {
            let selected = select(&mut self.connections.borrow().values());
            match selected {
                Some(connection) => close(connection),
                None => self.saturated.set(true),
            }
            let _ = tokio::time::timeout(CLOSE_RESPONSE_TIMEOUT, self.closed()).await;
        }
        self.saturated.set(false);
    }

    /// Completes when a connection closes.
    pub fn closed(&self) -> Notified<'_> {
        self.closed.notified()
    }

    fn remove(&self, id: u64) {
        self.connections.borrow_mut().remove(&id);
        self.closed.notify_waiters();
        if self.notification == CloseNotification::Remembered {
            self.closed.notify_one();
        }
    }
}

/// An open connection; dropped, it no longer counts. To be dropped after the socket.
pub struct ConnectionGuard<T> {
    table: Rc<ConnectionTable<T>>,
    id: u64,
    state: Rc<T>,
}

impl<T> ConnectionGuard<T> {
    /// The connection's state.
    pub fn state(&self) -> &Rc<T> {
        &self.state
    }
}

impl<T> Drop for ConnectionGuard<T> {
    fn drop(&mut self) {
        self.table.remove(self.id);
    }
}
