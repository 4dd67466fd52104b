//! HTTP/2 connections to backends: many calls on each, and one limit on all connections.
//!
//! Invariant: there are never more connections than the budget (`ConnectionSlot`), and a connection
//! is closed with its last call or after the idle time.

use h2::client::{self, SendRequest};
use h2::{Ping, PingPong};
use hyper::body::Bytes;
use maplefall_policy::{BackendId, Millis};
use maplefall_settings::ConnectionTimeouts;
use maplefall_upstream::{ConnectError, Pools};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::task::AbortHandle;

/// Maximum length of the header list and of the trailers of a backend's response, in bytes.
const MAX_HEADER_BYTES: u32 = 32 * 1024;
/// Interval between sweeps for idle connections.
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// A connection that has received data within this time counts as alive for a non-idempotent call.
const LIVENESS_WINDOW: Duration = Duration::from_millis(20);

/// An HTTP/2 connection to a backend.
pub(super) struct Connection {
    sender: SendRequest<Bytes>,
    address: SocketAddr,
    /// Number of calls in flight.
    calls: Cell<usize>,
    idle_since: Cell<Instant>,
    last_activity: Cell<Instant>,
    ping: Mutex<Option<PingPong>>,
    task: AbortHandle,
    /// Whether the connection accepts no further calls.
    closed: Rc<Cell<bool>>,
    _slot: ConnectionSlot,
}

impl Drop for Connection {
    fn drop(&mut self) {
        // If calls are in flight, the connection's task runs until they end.
        if self.calls.get() == 0 {
            self.task.abort();
        }
    }
}

impl Connection {
    /// Maximum number of calls: the smaller of `streams` and the backend's own limit, as far as
    /// known.
    fn max_calls(&self, streams: usize) -> usize {
        streams.min(self.sender.current_max_send_streams())
    }

    /// Returns a handle that sends requests.
    pub(super) fn sender(&self) -> SendRequest<Bytes> {
        self.sender.clone()
    }

    /// Returns the backend's address.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Prevents further calls on the connection.
    pub(super) fn close_to_new_calls(&self) {
        self.closed.set(true);
    }

    /// Records that data has been received.
    pub(super) fn record_activity(&self) {
        self.last_activity.set(Instant::now());
    }

    /// Checks that the connection is alive, for non-idempotent calls: a connection that has
    /// received nothing within [`LIVENESS_WINDOW`] must respond to a `PING` (RFC 9113, 6.7) within
    /// `wait` milliseconds.
    pub(super) async fn is_alive(&self, wait: Millis) -> bool {
        if self.last_activity.get().elapsed() < LIVENESS_WINDOW {
            return true;
        }
        let wait = Duration::try_from_secs_f64(wait / 1000.0).unwrap_or_default();
        let pong = async {
            let mut ping = self.ping.lock().await;
            match ping.as_mut() {
                Some(ping) => ping.ping(Ping::opaque()).await.is_ok(),
                None => false,
            }
        };
        let alive = tokio::time::timeout(wait, pong).await == Ok(true);
        if alive {
            self.record_activity();
        }
        alive
    }
}

/// Counts a call on a connection while it is in flight.
pub(super) struct CallGuard(Rc<Connection>);

impl CallGuard {
    /// Adds a call to the connection's count.
    pub(super) fn new(connection: Rc<Connection>) -> CallGuard {
        connection.calls.set(connection.calls.get() + 1);
        CallGuard(connection)
    }

    /// Returns the connection.
    pub(super) fn connection(&self) -> &Connection {
        &self.0
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.0.calls.set(self.0.calls.get() - 1);
        self.0.idle_since.set(Instant::now());
    }
}

/// Counts a connection against the budget while it exists.
struct ConnectionSlot(Rc<Cell<usize>>);

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// HTTP/2 connections to all backends.
pub struct Backends {
    timeouts: ConnectionTimeouts,
    /// Maximum number of connections.
    budget: usize,
    /// Maximum number of calls on one connection.
    streams: usize,
    open: Rc<Cell<usize>>,
    /// Maximum units that a backend may charge for a call.
    pub(super) max_units: f64,
    connections: RefCell<HashMap<BackendId, Vec<Rc<Connection>>>>,
    /// A lock for each backend, held by the attempt that dials the backend; other attempts wait for
    /// its connection instead of dialing too.
    dialing: RefCell<HashMap<BackendId, Rc<Mutex<()>>>>,
}

impl Backends {
    /// Creates an empty set of at most `budget` connections with at most `streams` calls on each; a
    /// call is charged at most `max_units`.
    pub fn new(
        timeouts: ConnectionTimeouts,
        budget: usize,
        streams: usize,
        max_units: f64,
    ) -> Backends {
        Backends {
            timeouts,
            budget,
            streams,
            open: Rc::default(),
            max_units,
            connections: RefCell::default(),
            dialing: RefCell::default(),
        }
    }

    /// Returns a connection with capacity for one more call, and dials if there is none.
    ///
    /// # Errors
    /// `LocalLimit` if the backend accepts no requests or the budget is used up, `Unreachable` if
    /// the backend cannot be dialed in time.
    pub(super) async fn connection(
        &self,
        to: BackendId,
        pools: &Pools,
    ) -> Result<Rc<Connection>, ConnectError> {
        let Some(address) = pools.dial_address(to) else {
            return Err(ConnectError::LocalLimit);
        };
        if let Some(connection) = self.open_connection(to, address) {
            return Ok(connection);
        }
        let dialing = self.dialing.borrow_mut().entry(to).or_default().clone();
        let _dial_guard = dialing.lock().await;
        // The attempt that held the lock may have opened a connection with spare capacity.
        if let Some(connection) = self.open_connection(to, address) {
            return Ok(connection);
        }
        if self.open.get() >= self.budget && !self.close_oldest() {
            return Err(ConnectError::LocalLimit);
        }
        self.open.set(self.open.get() + 1);
        let slot = ConnectionSlot(self.open.clone());
        let limit =
            Duration::try_from_secs_f64(self.timeouts.dial_timeout / 1000.0).unwrap_or_default();
        let dialed = tokio::time::timeout(limit, dial_h2(address)).await;
        let Ok(Some((sender, mut connection))) = dialed else {
            return Err(ConnectError::Unreachable);
        };
        let ping = Mutex::new(connection.ping_pong());
        let closed = Rc::new(Cell::new(false));
        let ended = closed.clone();
        let task = tokio::task::spawn_local(async move {
            // The result is ignored: however the connection ends, the library notifies the calls on
            // it.
            let _ = connection.await;
            ended.set(true);
        });
        let now = Instant::now();
        let connection = Rc::new(Connection {
            sender,
            address,
            calls: Cell::new(0),
            idle_since: Cell::new(now),
            last_activity: Cell::new(now - LIVENESS_WINDOW),
            ping,
            task: task.abort_handle(),
            closed,
            _slot: slot,
        });
        self.connections
            .borrow_mut()
            .entry(to)
            .or_default()
            .push(connection.clone());
        Ok(connection)
    }

    /// Returns an open connection with capacity.
    fn open_connection(&self, to: BackendId, address: SocketAddr) -> Option<Rc<Connection>> {
        let mut connections = self.connections.borrow_mut();
        let known = connections.get_mut(&to)?;
        known.retain(|connection| !connection.closed.get() && connection.address == address);
        known
            .iter()
            .find(|connection| connection.calls.get() < connection.max_calls(self.streams))
            .cloned()
    }

    /// Closes the connection with the longest idle time; `false` if none is idle.
    fn close_oldest(&self) -> bool {
        let mut connections = self.connections.borrow_mut();
        let idle = connections.iter().flat_map(|(id, known)| {
            let idle = known
                .iter()
                .enumerate()
                .filter(|(_, connection)| connection.calls.get() == 0);
            idle.map(|(at, connection)| (connection.idle_since.get(), *id, at))
        });
        let Some((_, id, at)) = idle.min_by_key(|(since, _, _)| *since) else {
            return false;
        };
        connections
            .get_mut(&id)
            .map(|known| known.remove(at))
            .is_some()
    }

    /// Closes connections that have been idle for too long, or whose backend accepts no new
    /// requests, for as long as the process runs.
    pub async fn close_idle_connections(&self, pools: &Pools) {
        let max_idle =
            Duration::try_from_secs_f64(self.timeouts.idle_close / 1000.0).unwrap_or_default();
        loop {
            tokio::time::sleep(IDLE_SWEEP_INTERVAL).await;
            self.connections.borrow_mut().retain(|id, known| {
                let takes_new = pools.accepts_requests(*id);
                known.retain(|connection| {
                    let idle = connection.calls.get() == 0;
                    let old = connection.idle_since.get().elapsed() > max_idle;
                    !connection.closed.get() && !(idle && (old || !takes_new))
                });
                !known.is_empty()
            });
            let connections = self.connections.borrow();
            self.dialing
                .borrow_mut()
                .retain(|id, lock| connections.contains_key(id) || Rc::strong_count(lock) > 1);
        }
    }
}

/// Opens a connection; `None` if the backend cannot be reached or does not speak HTTP/2.
async fn dial_h2(
    address: SocketAddr,
) -> Option<(SendRequest<Bytes>, client::Connection<TcpStream, Bytes>)> {
    let stream = TcpStream::connect(address).await.ok()?;
    // Without TCP_NODELAY calls are late, not wrong.
    let _ = stream.set_nodelay(true);
    let mut builder = client::Builder::new();
    builder
        .enable_push(false)
        .max_header_list_size(MAX_HEADER_BYTES);
    builder.handshake(stream).await.ok()
}
