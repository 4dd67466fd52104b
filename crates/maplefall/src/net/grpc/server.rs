//! The listener for gRPC: clients' connections over HTTP/2 without TLS, and the limits on
//! connections and calls.
//!
//! Invariant: connections and calls are counted for exactly as long as they are open. Beyond the
//! limit the connection that has been without a call longest is closed for a new one, which waits if
//! there is none; a call is reset with `REFUSED_STREAM` (RFC 9113, 8.7).

use super::settings::GrpcSettings;
use crate::net::auth::Auth;
use crate::net::driver::Driver;
use h2::server::{self, SendResponse};
use h2::{Reason, RecvStream};
use hyper::body::Bytes;
use hyper::Request;
use maplefall_downstream::{CloseNotification, ConnectionGuard, ConnectionTable};
use std::cell::Cell;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::time::Instant;

/// Maximum length of a call's metadata in bytes; the library rejects more.
const MAX_METADATA_BYTES: u32 = 16 * 1024;
/// Time limit for the HTTP/2 handshake of a connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay while the system has no descriptor for a new connection.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum time of a graceful shutdown beyond the longest deadline of a class.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(550);
/// How long calls are still accepted on open connections after the shutdown begins, until `GOAWAY`
/// has reached the clients.
const GOAWAY_GRACE: Duration = Duration::from_millis(50);

/// The server for clients of gRPC.
pub struct GrpcServer {
    pub(super) driver: Rc<Driver>,
    pub(super) auth: Option<Rc<Auth>>,
    pub(super) settings: GrpcSettings,
    connections: Rc<ConnectionTable<GrpcConnection>>,
    calls: Cell<usize>,
    stopping: watch::Sender<bool>,
}

impl GrpcServer {
    /// Creates a server for `driver`, which checks callers if there is `auth`.
    pub fn new(
        driver: Rc<Driver>,
        auth: Option<Rc<Auth>>,
        settings: GrpcSettings,
    ) -> Rc<GrpcServer> {
        Rc::new(GrpcServer {
            driver,
            auth,
            connections: ConnectionTable::new(settings.connections, CloseNotification::Remembered),
            settings,
            calls: Cell::new(0),
            stopping: watch::Sender::new(false),
        })
    }

    /// Accepts connections for as long as the process runs.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, address)) => {
                    // Only a client that is there makes others close.
                    self.wait_for_capacity().await;
                    let guard = self.connections.insert(GrpcConnection::new());
                    tokio::task::spawn_local(self.clone().serve(stream, address.ip(), guard));
                }
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await,
            }
        }
    }

    /// At the limit on connections, requests the closing of the one that has been without a call
    /// longest.
    async fn wait_for_capacity(&self) {
        self.connections
            .wait_for_capacity(
                |connections| {
                    connections
                        .filter(|connection| connection.is_dispensable())
                        .min_by_key(|connection| connection.idle_since.get())
                        .cloned()
                },
                |connection| connection.close(),
            )
            .await;
    }

    /// Stops accepting calls, and returns once those in flight have their status or the time limit
    /// is over.
    pub async fn stop(&self) {
        let max_deadline = self
            .driver
            .settings
            .classes
            .iter()
            .map(|class| class.deadline)
            .fold(0.0, f64::max);
        let max_deadline = Duration::try_from_secs_f64(max_deadline / 1000.0).unwrap_or_default();
        let end = tokio::time::Instant::now() + max_deadline + SHUTDOWN_GRACE;
        self.stopping.send_replace(true);
        tokio::time::sleep(GOAWAY_GRACE).await;
        while !self.connections.is_empty() {
            if tokio::time::timeout_at(end, self.connections.closed())
                .await
                .is_err()
            {
                eprintln!("stopped with {} calls without a status", self.calls.get());
                return;
            }
        }
    }

    /// Serves a connection until it is closed, idle for too long or drained.
    async fn serve(
        self: Rc<Self>,
        stream: TcpStream,
        peer: IpAddr,
        guard: ConnectionGuard<GrpcConnection>,
    ) {
        let state = guard.state();
        // Without TCP_NODELAY calls are late, not wrong.
        let _ = stream.set_nodelay(true);
        let mut builder = server::Builder::new();
        builder
            .max_concurrent_streams(self.settings.streams)
            .max_header_list_size(MAX_METADATA_BYTES);
        let handshake = builder.handshake::<_, Bytes>(stream);
        let handshake = tokio::select! {
            handshake = tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake) => handshake,
            () = state.close_requested.notified() => return,
        };
        // A peer that does not speak HTTP/2 gets no response.
        let Ok(Ok(mut connection)) = handshake else {
            return;
        };
        let idle =
            Duration::try_from_secs_f64(self.settings.idle / 1000.0).unwrap_or(HANDSHAKE_TIMEOUT);
        let mut stopping = self.stopping.subscribe();
        let mut draining = false;
        // When the connection is dropped if no call has begun after GOAWAY.
        let mut drop_at = None;
        loop {
            tokio::select! {
                call = connection.accept() => match call {
                    Some(Ok((request, respond))) => self.clone().start_call(request, respond, peer, state),
                    // The connection and its calls have ended.
                    Some(Err(_)) | None => return,
                },
                _ = stopping.wait_for(|stopping| *stopping), if !draining => {
                    draining = true;
                    connection.graceful_shutdown();
                }
                () = state.close_requested.notified() => {
                    draining = true;
                    connection.graceful_shutdown();
                    drop_at = Some(Instant::now() + GOAWAY_GRACE);
                }
                () = tokio::time::sleep_until(drop_at.unwrap_or_else(Instant::now)), if drop_at.is_some() => {
                    if state.calls.get() == 0 {
                        return;
                    }
                    drop_at = None;
                }
                () = tokio::time::sleep(idle) => {
                    if state.calls.get() == 0 {
                        // The connection of a client that does not close it after GOAWAY is
                        // dropped.
                        if draining {
                            return;
                        }
                        draining = true;
                        connection.graceful_shutdown();
                    }
                }
            }
        }
    }

    /// Starts the task of a call, or resets the call if the limit is reached.
    fn start_call(
        self: Rc<Self>,
        request: Request<RecvStream>,
        mut respond: SendResponse<Bytes>,
        peer: IpAddr,
        connection: &Rc<GrpcConnection>,
    ) {
        if self.calls.get() >= self.settings.calls {
            // The client may retry the call, here or elsewhere: none of it was processed (RFC 9113,
            // 8.7).
            respond.send_reset(Reason::REFUSED_STREAM);
            return;
        }
        self.calls.set(self.calls.get() + 1);
        let open = OpenCall {
            server: self.clone(),
            connection: connection.clone(),
        };
        connection.calls.set(connection.calls.get() + 1);
        tokio::task::spawn_local(async move {
            let _open = open;
            self.handle_call(request, respond, peer).await;
        });
    }
}

/// A client's connection.
struct GrpcConnection {
    /// Number of open calls.
    calls: Cell<usize>,
    /// When the connection was accepted or its last call ended.
    idle_since: Cell<Instant>,
    is_closing: Cell<bool>,
    close_requested: Notify,
}

impl GrpcConnection {
    fn new() -> GrpcConnection {
        GrpcConnection {
            calls: Cell::new(0),
            idle_since: Cell::new(Instant::now()),
            is_closing: Cell::new(false),
            close_requested: Notify::new(),
        }
    }

    fn is_dispensable(&self) -> bool {
        self.calls.get() == 0 && !self.is_closing.get()
    }

    fn close(&self) {
        self.is_closing.set(true);
        self.close_requested.notify_one();
    }
}

/// Counts a call while it is open.
struct OpenCall {
    server: Rc<GrpcServer>,
    connection: Rc<GrpcConnection>,
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        let calls = self.connection.calls.get() - 1;
        self.connection.calls.set(calls);
        self.connection.idle_since.set(Instant::now());
        self.server.calls.set(self.server.calls.get() - 1);
    }
}
