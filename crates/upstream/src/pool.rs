//! Pools of connections to backends, one for each backend, within one limit on all of them.

use crate::attempt_handle::AttemptHandle;
use crate::connection::{ConnectError, Connection};
use crate::idle_age::IdleAgeStats;
use crate::socket::ConnectionPermit;
use maplefall_policy::{BackendId, SendMode};
use maplefall_settings::Links;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Fraction of the backends' idle timeout for which a connection is kept: one that the backend closes costs a request.
const MAX_IDLE_FRACTION: f64 = 0.6;
/// How often connections that have been idle too long are closed.
const CLOSE_IDLE_INTERVAL: Duration = Duration::from_millis(500);
/// A connection counts as quiescent this long after its last response: what a backend sends behind a response has arrived by
/// then.
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
    /// When the backend's process started, in Unix milliseconds; 0 if that is not known.
    started_ms: f64,
    accepts_requests: bool,
    /// The most recently used last. Bounded by the limit on all connections.
    idle: Vec<Connection>,
}

/// The connections to all backends, idle or in use: at most a fixed number, beyond which the connection that has been idle
/// longest is closed.
pub struct Pools {
    links: Links,
    max_connections: usize,
    open_connections: Rc<Cell<usize>>,
    pools: RefCell<HashMap<BackendId, Pool>>,
    idle_ages: RefCell<IdleAgeStats>,
}

impl Pools {
    /// No backends yet, and at most `max_connections` connections.
    pub fn new(links: Links, max_connections: usize) -> Pools {
        Pools {
            links,
            max_connections,
            open_connections: Rc::default(),
            pools: RefCell::default(),
            idle_ages: RefCell::default(),
        }
    }

    /// A backend takes requests. `started_ms` is when its process started; idle connections to another address or to an earlier
    /// process are closed.
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

    /// A backend takes no new requests.
    pub fn drain(&self, id: BackendId) {
        if let Some(pool) = self.pools.borrow_mut().get_mut(&id) {
            pool.accepts_requests = false;
            pool.idle.clear();
        }
    }

    /// A backend is gone.
    pub fn remove(&self, id: BackendId) {
        self.pools.borrow_mut().remove(&id);
    }

    /// Closes idle connections to a backend.
    pub fn close_idle(&self, id: BackendId) {
        if let Some(pool) = self.pools.borrow_mut().get_mut(&id) {
            pool.idle.clear();
        }
    }

    /// Whether a backend takes requests.
    pub fn accepts_requests(&self, id: BackendId) -> bool {
        self.pools
            .borrow()
            .get(&id)
            .is_some_and(|pool| pool.accepts_requests)
    }

    /// The address of a backend that takes requests.
    pub fn dial_address(&self, id: BackendId) -> Option<SocketAddr> {
        self.pools
            .borrow()
            .get(&id)
            .filter(|pool| pool.accepts_requests)
            .map(|pool| pool.address)
    }

    /// The most recently used idle connection that is still good, preferably one that is quiescent. For a request that must not run
    /// twice ([`SendMode::WithholdLastByteOnProvenConnection`]), none of an idle age at which
    /// connections broke recently; and none that carried an earlier attempt of the same request.
    pub fn take_idle(
        &self,
        id: BackendId,
        send_mode: SendMode,
        handle: &AttemptHandle,
    ) -> Option<Connection> {
        self.take(id, send_mode, Quiescence::Preferred, handle)
    }

    /// The same, but only a quiescent connection: bytes that were sent behind its last response have arrived and show, and cannot be
    /// taken for the response to the next request.
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
                && !self.idle_ages.borrow().survives(now, idle)
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

    /// Returns a connection whose last response is complete to the pool. It is closed if the backend takes no requests or has
    /// another address now.
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

    /// Makes idle connections older, for tests.
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

    /// Records whether a connection that had been idle so long broke under a request.
    pub fn record_reuse(&self, idle: Duration, broke: bool) {
        self.idle_ages
            .borrow_mut()
            .record(Instant::now(), idle, broke);
    }

    fn max_idle(&self) -> Duration {
        Duration::try_from_secs_f64(self.links.idle_close * MAX_IDLE_FRACTION / 1000.0)
            .unwrap_or_default()
    }

    /// Closes the connection that has been idle longest, of any backend; returns whether there was one.
    fn close_longest_idle(&self) -> bool {
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

    /// Establishes a connection. At the connection limit the one that has been idle longest is closed first. Errors:
    /// [`ConnectError::LocalLimit`] if none is idle, [`ConnectError::Unreachable`] also after the connect timeout.
    pub async fn connect(&self, address: SocketAddr) -> Result<Connection, ConnectError> {
        if self.open_connections.get() >= self.max_connections && !self.close_longest_idle() {
            return Err(ConnectError::LocalLimit);
        }
        let timeout =
            Duration::try_from_secs_f64(self.links.dial_timeout / 1000.0).unwrap_or_default();
        // Counted from now on: a connection that is being established takes a descriptor too.
        let permit = ConnectionPermit::acquire(&self.open_connections);
        tokio::time::timeout(timeout, Connection::establish(address, permit))
            .await
            .unwrap_or(Err(ConnectError::Unreachable))
    }
}
