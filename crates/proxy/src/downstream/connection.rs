//! One connection of a client, from accept to close.

use super::connection_state::{CloseDeadline, CloseMode, ConnectionState};
use super::DownstreamServer;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use maplefall_downstream::{
    ClientSocket, ConnectionGuard, HasTransfer, HeadCharge, HeadMemory, ShutdownPhase,
    SocketObserver, Transfer,
};
use maplefall_memory_account::{charge, Direction, PoolId};
use maplefall_policy::Millis;
use maplefall_upstream::Clock;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Minimum number of bytes that a connection buffers in each direction, whatever the configured
/// limit on a head.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Maximum number of bytes that a connection buffers in each direction, whatever the configured
/// limit on a head.
const MAX_BUFFER_BYTES: usize = 1 << 20;
/// How long a connection on which nothing has been received stays open once idle connections are
/// closed.
pub(super) const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(250);

/// A client's connection, shared by its task, its socket and the accept loop.
pub(super) struct ClientConnection {
    clock: Clock,
    state: RefCell<ConnectionState>,
    /// What moves through the connection.
    pub transfer: Transfer,
    /// What its heads take.
    heads: HeadCharge,
    /// Whether closing the connection was requested.
    closing: Cell<bool>,
    /// Notified when the close deadline may have changed.
    deadline_changed: Notify,
}

impl ClientConnection {
    pub fn new(clock: Clock, head_memory: Rc<HeadMemory>) -> ClientConnection {
        let now = clock.now();
        ClientConnection {
            clock,
            state: RefCell::new(ConnectionState::new(now)),
            transfer: Transfer::new(now),
            heads: HeadCharge::new(head_memory),
            closing: Cell::new(false),
            deadline_changed: Notify::new(),
        }
    }

    /// Requests that the connection is closed once its pending response, if any, is written.
    pub fn close_gracefully(&self) {
        self.state.borrow_mut().closing();
        self.closing.set(true);
        self.deadline_changed.notify_one();
    }

    /// Returns since when the connection has been idle; `None` while a request is being read or
    /// processed, or its response written.
    pub fn idle_since(&self) -> Option<Millis> {
        let is_sending = self.transfer.is_send_blocked();
        self.state.borrow().idle_since().filter(|_| !is_sending)
    }

    /// Returns whether nothing has been received on the connection.
    pub fn is_unused(&self) -> bool {
        self.state.borrow().is_unused()
    }

    pub fn head_received(&self) {
        self.heads.head_complete();
        self.state.borrow_mut().head_received();
    }

    /// Records that a response is written from now on, with a body of this length.
    pub fn response_ready(&self, body_bytes: usize) {
        let now = self.clock.now();
        let pool = PoolId::for_charge(Direction::Response, charge(body_bytes));
        self.transfer
            .begin_sending((body_bytes > 0).then_some(pool), now);
        self.state.borrow_mut().response_ready(now);
        self.deadline_changed.notify_one();
    }
}

impl HasTransfer for ClientConnection {
    fn transfer(&self) -> &Transfer {
        &self.transfer
    }
}

impl SocketObserver for ClientConnection {
    fn bytes_received(&self, count: usize) -> io::Result<()> {
        self.transfer.bytes_received(count);
        if self.state.borrow_mut().bytes_received(self.clock.now()) {
            self.deadline_changed.notify_one();
        }
        let is_head = !self.state.borrow().is_response_pending();
        if is_head && !self.heads.head_bytes_received(count) {
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        Ok(())
    }

    fn bytes_sent(&self, count: usize) {
        self.transfer.bytes_sent(count);
    }

    fn send_blocked(&self) {
        self.transfer.send_blocked(self.clock.now());
    }
}

impl DownstreamServer {
    /// Serves a connection until it is closed by either side, its close deadline, or the shutdown.
    pub(super) async fn serve_connection(
        self: Rc<Self>,
        stream: TcpStream,
        guard: ConnectionGuard<ClientConnection>,
    ) {
        let connection = guard.state();
        // If `TCP_NODELAY` cannot be set, responses are late, not wrong.
        let _ = stream.set_nodelay(true);
        let max_head_bytes = self.proxy.with_core(|core| core.limits().header_bytes);
        let socket = ClientSocket::new(stream, connection.clone());
        let service = service_fn(|request| {
            let (server, connection) = (self.clone(), connection.clone());
            async move { Ok::<_, Infallible>(server.handle(request, &connection).await) }
        });
        let http = hyper::server::conn::http1::Builder::new()
            .max_buf_size(max_head_bytes.clamp(MIN_BUFFER_BYTES, MAX_BUFFER_BYTES))
            .serve_connection(TokioIo::new(socket), service);
        let mut http = std::pin::pin!(http);
        let mut phase = self.phase.subscribe();
        let mut closing_idle = false;
        // The first request of a client that has just connected may still be on its way when the
        // proxy shuts down, and the HTTP library would close a connection without a request
        // immediately. The response to that request closes the connection.
        let mut first_request_by = None;
        loop {
            let deadline = self
                .close_deadline(connection)
                .map(|deadline| self.proxy.clock.instant(deadline.at));
            tokio::select! {
                // Polled in this order, so that bytes that have arrived are read before a close
                // deadline takes effect.
                biased;
                // An error means that the client disconnected or did not send HTTP; the library has
                // responded to the latter.
                _ = http.as_mut() => return,
                () = connection.transfer.send_evicted() => return,
                _ = phase.wait_for(|phase| *phase == ShutdownPhase::ClosingIdle), if !closing_idle => {
                    closing_idle = true;
                    if connection.is_unused() {
                        first_request_by = Some(Instant::now() + FIRST_REQUEST_GRACE);
                        continue;
                    }
                }
                () = tokio::time::sleep_until(first_request_by.unwrap_or_else(Instant::now)), if first_request_by.is_some() => {
                    first_request_by = None;
                }
                () = tokio::time::sleep_until(deadline.unwrap_or_else(Instant::now)), if deadline.is_some() => {
                    match self.due_close_mode(connection) {
                        Some(CloseMode::Immediate) => return,
                        Some(CloseMode::Graceful) => connection.close_gracefully(),
                        None => continue,
                    }
                }
                () = connection.deadline_changed.notified() => {
                    if !connection.closing.get() {
                        continue;
                    }
                }
            }
            http.as_mut().graceful_shutdown();
        }
    }

    /// Returns when the connection is closed if nothing happens on it. The current limits are used,
    /// so that a configuration update also applies to idle connections.
    fn close_deadline(&self, connection: &ClientConnection) -> Option<CloseDeadline> {
        let limits = self.proxy.with_core(|core| core.limits());
        connection.state.borrow().close_deadline(&limits)
    }

    /// Returns how to close the connection now; `None` if the close deadline has moved since the
    /// timer was set, because bytes have arrived or the limits have changed.
    fn due_close_mode(&self, connection: &ClientConnection) -> Option<CloseMode> {
        self.close_deadline(connection)
            .filter(|deadline| deadline.at <= self.proxy.clock.now())
            .map(|deadline| deadline.mode)
    }
}
