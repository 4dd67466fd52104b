//! The open client connections and the enforcement of the connection limit.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::futures::Notified;
use tokio::sync::Notify;

/// How long a connection may take to close before another one is selected to be closed.
pub const CLOSE_RESPONSE_TIMEOUT: Duration = Duration::from_millis(20);

/// Which waiters are notified when a connection closes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseNotification {
    /// Only those that are waiting at that moment.
    Waiting,
    /// Those that are waiting at that moment, and the next one to wait: one close is remembered, so
    /// that a loop of "check, then wait" misses none.
    Remembered,
}

/// The open connections, each with a state `T`. There are at most `max_connections` if every
/// [`insert`](Self::insert) follows a [`wait_for_capacity`](Self::wait_for_capacity).
pub struct ConnectionTable<T> {
    max_connections: usize,
    notification: CloseNotification,
    connections: RefCell<HashMap<u64, Rc<T>>>,
    last_id: Cell<u64>,
    closed: Notify,
    saturated: Cell<bool>,
}

impl<T> ConnectionTable<T> {
    /// Creates an empty table.
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

    /// Adds a connection, which counts until the guard is dropped.
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

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.connections.borrow().is_empty()
    }

    /// Returns whether a further connection is within the limit.
    pub fn has_capacity(&self) -> bool {
        self.len() < self.max_connections
    }

    /// Returns whether the limit is reached and no connection can be selected to be closed.
    /// Responses then close their connections.
    pub fn is_saturated(&self) -> bool {
        self.saturated.get()
    }

    /// Calls `visit` with the state of each open connection, in arbitrary order. `visit` must not
    /// open or close a connection.
    pub fn for_each(&self, visit: impl FnMut(&Rc<T>)) {
        self.connections.borrow().values().for_each(visit);
    }

    /// Waits until a further connection is within the limit; returns immediately if it is. `select`
    /// returns the most dispensable connection, and `close` requests that it is closed; after
    /// [`CLOSE_RESPONSE_TIMEOUT`] the next one is selected. While `select` returns `None`,
    /// [`is_saturated`](Self::is_saturated) is true.
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

/// An open connection, which counts until the guard is dropped. Must be dropped after the socket.
pub struct ConnectionGuard<T> {
    table: Rc<ConnectionTable<T>>,
    id: u64,
    state: Rc<T>,
}

impl<T> ConnectionGuard<T> {
    /// Returns the connection's state.
    pub fn state(&self) -> &Rc<T> {
        &self.state
    }
}

impl<T> Drop for ConnectionGuard<T> {
    fn drop(&mut self) {
        self.table.remove(self.id);
    }
}
