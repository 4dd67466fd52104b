//! The listener for gRPC: clients' connections over HTTP/2 without TLS, and the limits on
//! connections and calls.
//!
//! Invariant: connections and calls are counted for exactly as long as they are open (`OpenGuard`).
//! Beyond the limit a connection waits in the kernel's backlog, and a call is reset with
//! `REFUSED_STREAM` (RFC 9113, 8.7).

use super::settings::GrpcSettings;
use crate::net::auth::Auth;
use crate::net::driver::Driver;
use h2::server::{self, SendResponse};
use h2::{Reason, RecvStream};
use hyper::body::Bytes;
use hyper::Request;
use std::cell::Cell;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};

/// Maximum length of a call's metadata in bytes; the library rejects more.
const MAX_METADATA_BYTES: u32 = 16 * 1024;
/// Time limit for the HTTP/2 handshake of a connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay while the system has no descriptor for a new connection, and while the limit on
/// connections is reached.
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
    connections: Cell<usize>,
    calls: Cell<usize>,
    closed: Notify,
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
            settings,
            connections: Cell::new(0),
            calls: Cell::new(0),
            closed: Notify::new(),
            stopping: watch::Sender::new(false),
        })
    }

    /// Accepts connections for as long as the process runs.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            // Beyond the limit on connections a new one waits in the kernel's backlog.
            while self.connections.get() >= self.settings.connections {
                tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
            }
            match listener.accept().await {
                Ok((stream, address)) => {
                    self.connections.set(self.connections.get() + 1);
                    let open = OpenGuard {
                        server: self.clone(),
                        kind: OpenKind::Connection,
                    };
                    tokio::task::spawn_local(self.clone().serve(stream, address.ip(), open));
                }
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await,
            }
        }
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
        while self.connections.get() > 0 {
            if tokio::time::timeout_at(end, self.closed.notified())
                .await
                .is_err()
            {
                eprintln!("stopped with {} calls without a status", self.calls.get());
                return;
            }
        }
    }

    /// Serves a connection until it is closed, idle for too long or drained.
    async fn serve(self: Rc<Self>, stream: TcpStream, peer: IpAddr, _open: OpenGuard) {
        // Without TCP_NODELAY calls are late, not wrong.
        let _ = stream.set_nodelay(true);
        let mut builder = server::Builder::new();
        builder
            .max_concurrent_streams(self.settings.streams)
            .max_header_list_size(MAX_METADATA_BYTES);
        let handshake =
            tokio::time::timeout(HANDSHAKE_TIMEOUT, builder.handshake::<_, Bytes>(stream)).await;
        // A peer that does not speak HTTP/2 gets no response.
        let Ok(Ok(mut connection)) = handshake else {
            return;
        };
        let idle =
            Duration::try_from_secs_f64(self.settings.idle / 1000.0).unwrap_or(HANDSHAKE_TIMEOUT);
        let active = Rc::new(Cell::new(0));
        let mut stopping = self.stopping.subscribe();
        let mut draining = false;
        loop {
            tokio::select! {
                call = connection.accept() => match call {
                    Some(Ok((request, respond))) => self.clone().start_call(request, respond, peer, &active),
                    // The connection and its calls have ended.
                    Some(Err(_)) | None => return,
                },
                _ = stopping.wait_for(|stopping| *stopping), if !draining => {
                    draining = true;
                    connection.graceful_shutdown();
                }
                () = tokio::time::sleep(idle) => {
                    if active.get() == 0 {
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
        active: &Rc<Cell<usize>>,
    ) {
        if self.calls.get() >= self.settings.calls {
            // The client may retry the call, here or elsewhere: none of it was processed (RFC 9113,
            // 8.7).
            respond.send_reset(Reason::REFUSED_STREAM);
            return;
        }
        self.calls.set(self.calls.get() + 1);
        let open = OpenGuard {
            server: self.clone(),
            kind: OpenKind::Call(active.clone()),
        };
        active.set(active.get() + 1);
        tokio::task::spawn_local(async move {
            let _open = open;
            self.handle_call(request, respond, peer).await;
        });
    }
}

/// Counts a connection, or a call, while it is open.
struct OpenGuard {
    server: Rc<GrpcServer>,
    kind: OpenKind,
}

/// The kind of an [`OpenGuard`].
enum OpenKind {
    Connection,
    /// A call, with the number of calls on its connection.
    Call(Rc<Cell<usize>>),
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        match &self.kind {
            OpenKind::Connection => {
                self.server
                    .connections
                    .set(self.server.connections.get() - 1);
                self.server.closed.notify_one();
            }
            OpenKind::Call(active) => {
                active.set(active.get() - 1);
                self.server.calls.set(self.server.calls.get() - 1);
            }
        }
    }
}
