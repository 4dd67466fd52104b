//! Connection pools, one for each backend, with a common limit on all connections.

use crate::attempt_handle::AttemptHandle;
use crate::connection::{ConnectError, Connection};
use crate::idle_age::IdleAgeStats;
use crate::socket::ConnectionPermit;
use maplefall_policy::{BackendId, SendMode};
use maplefall_settings::ConnectionTimeouts;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Fraction of the backends' idle timeout for which a connection is kept: a request on a connection
/// that the backend closes first may fail.
const MAX_IDLE_FRACTION: f64 = 0.6;
/// How often connections that have been idle too long are closed.
const CLOSE_IDLE_INTERVAL: Duration = Duration::from_millis(500);
/// A connection counts as quiescent this long after its last response: bytes that a backend sends
/// after a response have arrived by then.
const QUIESCENT_AFTER: Duration = Duration::from_millis(3);

/// Whether an idle connection has to be quiescent.
#[derive(Clone, Copy, PartialEq)]
enum Quiescence {
    Preferred,
    Required,
}

/// The idle connections to one backend.
struct Pool {
    address: SocketAddr,
    /// When the backend's process started, in Unix milliseconds; 0 if unknown.
    started_ms: f64,
    accepts_requests: bool,
    /// Idle connections, the most recently used last. Bounded by the limit on all connections.
    idle: Vec<Connection>,
}

/// The connections to all backends, idle or in use: at most a fixed number, beyond which the
/// connection that has been idle longest is closed.
pub struct Pools {
    timeouts: ConnectionTimeouts,
    max_connections: usize,
    open_connections: Rc<Cell<usize>>,
    pools: RefCell<HashMap<BackendId, Pool>>,
    idle_ages: RefCell<IdleAgeStats>,
}

impl Pools {
    /// Creates pools without backends, for at most `max_connections` connections.
    pub fn new(timeouts: ConnectionTimeouts, max_connections: usize) -> Pools {
        Pools {
            timeouts,
            max_connections,
            open_connections: Rc::default(),
            pools: RefCell::default(),
            idle_ages: RefCell::default(),
        }
    }

    /// Opens the pool of a backend that accepts requests. `started_ms` is when its process started;
    /// idle connections to another address or to an earlier process are closed.
    pub fn open(&self, id: BackendId, address: SocketAddr, started_ms: f64) {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.entry(id).or_insert_with(|| Pool {
            address,
            started_ms,
            accepts_requests: true,
            idle: Vec::new(),
        });
        if pool.address != address || pool.started_ms != started_ms {
            pool.address = address;
            pool.started_ms = started_ms;
            pool.idle.clear();
        }
        pool.accepts_requests = true;
    }

    /// Closes the idle connections to a backend that accepts no new requests, and keeps no further
    /// ones.
    pub fn drain(&self, id: BackendId) {
        if let Some(pool) = self.pools.borrow_mut().get_mut(&id) {
            pool.accepts_requests = false;
            pool.idle.clear();
        }
    }

    /// Removes the pool of a backend and closes its idle connections.
    pub fn remove(&self, id: BackendId) {
        self.pools.borrow_mut().remove(&id);
    }

    /// Closes the idle connections to a backend.
    pub fn close_idle(&self, id: BackendId) {
        if let Some(pool) = self.pools.borrow_mut().get_mut(&id) {
            pool.idle.clear();
        }
    }

    /// Returns whether a backend accepts requests.
    pub fn accepts_requests(&self, id: BackendId) -> bool {
        self.pools
            .borrow()
            .get(&id)
            .is_some_and(|pool| pool.accepts_requests)
    }

    /// Returns the address of a backend if it accepts requests.
    pub fn dial_address(&self, id: BackendId) -> Option<SocketAddr> {
        self.pools
            .borrow()
            .get(&id)
            .filter(|pool| pool.accepts_requests)
            .map(|pool| pool.address)
    }

    /// Takes the most recently used idle connection that is still usable, preferably a quiescent
    /// one. A connection that carried an earlier attempt of the same request is not taken. For a
    /// request that must not run twice ([`SendMode::WithholdLastByteOnProvenConnection`]), neither
    /// is one of an idle age at which connections broke recently.
    pub fn take_idle(
        &self,
        id: BackendId,
        send_mode: SendMode,
        handle: &AttemptHandle,
    ) -> Option<Connection> {
        self.take(id, send_mode, Quiescence::Preferred, handle)
    }

    /// Takes the most recently used idle connection that is usable and quiescent: bytes that were
    /// sent after its last response have arrived and are detected, so they cannot be mistaken for
    /// the response to the next request.
    pub fn take_quiescent(&self, id: BackendId) -> Option<Connection> {
        let handle = AttemptHandle::default();
        self.take(id, SendMode::Immediate, Quiescence::Required, &handle)
    }

    fn take(
        &self,
        id: BackendId,
        send_mode: SendMode,
        quiescence: Quiescence,
        handle: &AttemptHandle,
    ) -> Option<Connection> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.get_mut(&id)?;
        let now = Instant::now();
        loop {
            let is_usable = |c: &Connection| !handle.was_sent_on(&c.socket);
            let quiescent = pool
                .idle
                .iter()
                .rposition(|c| c.idle(now) >= QUIESCENT_AFTER && is_usable(c));
            let any = pool
                .idle
                .iter()
                .rposition(is_usable)
                .filter(|_| quiescence == Quiescence::Preferred);
            let next = quiescent.or(any)?;
            let idle = pool.idle[next].idle(now);
            if send_mode == SendMode::WithholdLastByteOnProvenConnection
                && !self.idle_ages.borrow().allows_reuse(now, idle)
            {
                return None;
            }
            let connection = pool.idle.remove(next);
            if idle < self.max_idle()
                && !connection.sender.is_closed()
                && connection.socket.is_open_and_empty()
            {
                return Some(connection);
            }
        }
    }

    /// Returns a connection whose last response is complete to the pool. The connection is closed
    /// if the backend accepts no requests or now has another address.
    pub fn put_back(&self, id: BackendId, address: SocketAddr, mut connection: Connection) {
        connection.idle_since = Instant::now();
        let mut pools = self.pools.borrow_mut();
        let pool = pools
            .get_mut(&id)
            .filter(|pool| pool.accepts_requests && pool.address == address);
        if let Some(pool) = pool.filter(|_| !connection.sender.is_closed()) {
            pool.idle.push(connection);
        }
    }

    /// Increases the idle age of the idle connections, for tests.
    #[doc(hidden)]
    pub fn age_idle_connections(&self, by: Duration) {
        for connection in self
            .pools
            .borrow_mut()
            .values_mut()
            .flat_map(|pool| &mut pool.idle)
        {
            connection.idle_since -= by;
        }
    }

    /// Records whether a connection that had been idle for this long broke during a request.
    pub fn record_reuse(&self, idle: Duration, broke: bool) {
        self.idle_ages
            .borrow_mut()
            .record(Instant::now(), idle, broke);
    }

    fn max_idle(&self) -> Duration {
        Duration::try_from_secs_f64(self.timeouts.idle_close * MAX_IDLE_FRACTION / 1000.0)
            .unwrap_or_default()
    }

    /// Closes the connection, of any backend, that has been idle longest. Returns whether there was
    /// one.
    fn close_least_recently_used(&self) -> bool {
        let mut pools = self.pools.borrow_mut();
        let pool = pools
            .values_mut()
            .filter(|pool| !pool.idle.is_empty())
            .min_by_key(|pool| pool.idle[0].idle_since);
        pool.map(|pool| pool.idle.remove(0)).is_some()
    }

    /// Closes idle connections well before the backends do, for as long as it is polled.
    pub async fn close_idle_periodically(&self) {
        loop {
            tokio::time::sleep(CLOSE_IDLE_INTERVAL).await;
            let max_idle = self.max_idle();
            for pool in self.pools.borrow_mut().values_mut() {
                pool.idle
                    .retain(|c| !c.sender.is_closed() && c.idle_since.elapsed() < max_idle);
            }
        }
    }

    /// Establishes a connection. At the connection limit, the connection that has been idle longest
    /// is closed first.
    ///
    /// # Errors
    ///
    /// [`ConnectError::LocalLimit`] if the limit is reached and no connection is idle,
    /// [`ConnectError::Unreachable`] also after the connect timeout.
    pub async fn connect(&self, address: SocketAddr) -> Result<Connection, ConnectError> {
        if self.open_connections.get() >= self.max_connections && !self.close_least_recently_used()
        {
            return Err(ConnectError::LocalLimit);
        }
        let timeout =
            Duration::try_from_secs_f64(self.timeouts.dial_timeout / 1000.0).unwrap_or_default();
        // The connection counts towards the limit from here on, since one that is being established
        // also uses a descriptor.
        let permit = ConnectionPermit::acquire(&self.open_connections);
        tokio::time::timeout(timeout, Connection::establish(address, permit))
            .await
            .unwrap_or(Err(ConnectError::Unreachable))
    }
}
