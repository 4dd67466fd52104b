//! Connections that proxies and other controllers open to this one.

use super::controller::Controller;
use super::load::InputKind;
use super::ACCEPT_RETRY_INTERVAL;
use bytes::Bytes;
use maplefall_control_messages::{Frame, Hello, PROTOCOL_VERSION};
use maplefall_control_transport::fencing::Admission;
use maplefall_control_transport::{
    run_connection, ConnectionError, Event, Handshake, OUTGOING_QUEUE_FRAMES,
};
use maplefall_downstream::{CloseNotification, ConnectionGuard, ConnectionTable};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Notify};

/// The process at the other end of a connection, identified by the address of its machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Remote {
    Controller(String),
    Proxy(String),
}

impl Remote {
    fn new(hello: &Hello) -> Remote {
        if hello.is_controller {
            Remote::Controller(hello.ip.clone())
        } else {
            Remote::Proxy(hello.ip.clone())
        }
    }
}

/// An open connection: whether its peer may be disconnected for another.
struct OpenConnection {
    accepted_at: Instant,
    /// Whether the peer has proven to be a process of the system.
    is_verified: Cell<bool>,
    close: Notify,
}

/// Accepts connections until the process ends. Beyond `max_connections` the oldest one whose peer
/// has not completed the handshake is closed for a further one.
pub(super) async fn accept(
    controller: Rc<Controller>,
    listener: TcpListener,
    max_connections: usize,
) {
    let connections = ConnectionTable::new(max_connections, CloseNotification::Waiting);
    loop {
        wait_for_capacity(&connections).await;
        match listener.accept().await {
            Ok((stream, from)) => {
                let guard = connections.insert(OpenConnection {
                    accepted_at: Instant::now(),
                    is_verified: Cell::new(false),
                    close: Notify::new(),
                });
                tokio::task::spawn_local(serve(controller.clone(), stream, from, guard));
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await,
        }
    }
}

async fn wait_for_capacity(connections: &ConnectionTable<OpenConnection>) {
    connections
        .wait_for_capacity(
            |open| {
                let unverified = open.filter(|connection| !connection.is_verified.get());
                unverified
                    .min_by_key(|connection| connection.accepted_at)
                    .cloned()
            },
            |connection| connection.close.notify_one(),
        )
        .await;
}

async fn serve(
    controller: Rc<Controller>,
    stream: TcpStream,
    from: SocketAddr,
    guard: ConnectionGuard<OpenConnection>,
) {
    let (sender, outgoing) = mpsc::channel(OUTGOING_QUEUE_FRAMES);
    let mut connection = InternalConnection {
        controller,
        from,
        token: 0,
        remote: None,
        queue: Some(sender),
    };
    let open = guard.state();
    let run = run_connection(stream, outgoing, Handshake::Acceptor, |event| {
        let is_kept = connection.handle(event);
        open.is_verified.set(connection.remote.is_some());
        is_kept
    });
    let error = tokio::select! {
        error = run => error,
        () = open.close.notified() => ConnectionError::Dropped,
    };
    connection.closed();
    log::debug!("event=connection_closed from={from} {error}");
    if let ConnectionError::Frame(frame_error) = error {
        log::warn!("event=bad_frame from={from} {frame_error}");
    }
}

/// An accepted connection.
struct InternalConnection {
    controller: Rc<Controller>,
    from: SocketAddr,
    /// The connection's number, in the order in which hellos were received.
    token: u64,
    /// The process at the other end, once it is verified.
    remote: Option<Remote>,
    /// The send queue; that of a proxy is moved to the controller.
    queue: Option<mpsc::Sender<Bytes>>,
}

impl InternalConnection {
    /// Handles an event; returns whether the connection is kept.
    fn handle(&mut self, event: Event) -> bool {
        match (event, &self.remote) {
            (Event::HelloReceived, None) => {
                self.token = self.controller.fence.borrow_mut().next_token();
                true
            }
            (Event::Verified(hello), None) => self.admit(&hello),
            (Event::Frame(frame), Some(remote)) => self.receive(remote, frame),
            _ => false,
        }
    }

    /// Admits the process at the other end, unless a later connection from its machine has been
    /// admitted.
    fn admit(&mut self, hello: &Hello) -> bool {
        if hello.version != PROTOCOL_VERSION || hello.incarnation == 0 {
            return false;
        }
        // A process may only present the address of its own machine.
        if hello.ip != self.from.ip().to_string() {
            return false;
        }
        let remote = Remote::new(hello);
        let admission = self
            .controller
            .fence
            .borrow_mut()
            .admit(&remote, self.token);
        if admission == Admission::Stale {
            log::info!(
                "event=stale_connection peer={} incarnation={}",
                hello.ip,
                hello.incarnation
            );
            return false;
        }
        match remote {
            Remote::Controller(_) => {
                if let Ok(ip) = hello.ip.parse() {
                    self.controller.connect_to_peer(ip);
                }
            }
            Remote::Proxy(_) => self.admit_proxy(hello, admission),
        }
        self.remote = Some(remote);
        true
    }

    fn admit_proxy(&mut self, hello: &Hello, admission: Admission) {
        let token = self.token;
        if let Admission::Replaces(earlier) = admission {
            self.controller.disconnect_proxy(earlier);
        }
        if let Some(queue) = self.queue.take() {
            self.controller.proxies.borrow_mut().insert(token, queue);
        }
        self.controller
            .drive(InputKind::Connection, |core, now, out| {
                core.proxy_connected(now, token, hello, out)
            });
    }

    fn receive(&self, remote: &Remote, frame: Frame) -> bool {
        let is_current = self
            .controller
            .fence
            .borrow()
            .is_current(remote, self.token);
        if !is_current {
            return false;
        }
        let kind = match remote {
            Remote::Controller(_) => InputKind::PeerFrame,
            Remote::Proxy(_) => InputKind::ProxyFrame,
        };
        self.controller.drive(kind, |core, now, out| match remote {
            Remote::Controller(ip) => core.receive_from_peer(now, ip, frame, out),
            Remote::Proxy(_) => core.receive_from_proxy(now, self.token, frame, out),
        });
        true
    }

    fn closed(&self) {
        let Some(remote) = &self.remote else {
            return;
        };
        self.controller
            .fence
            .borrow_mut()
            .disconnected(remote, self.token);
        if matches!(remote, Remote::Proxy(_)) {
            self.controller.disconnect_proxy(self.token);
        }
    }
}

impl Controller {
    pub(super) fn send_to_proxy(self: &Rc<Self>, connection: u64, bytes: Bytes) {
        let is_full = self
            .proxies
            .borrow()
            .get(&connection)
            .is_some_and(|queue| queue.try_send(bytes).is_err());
        if is_full {
            self.disconnect_proxy(connection);
        }
    }

    /// Drops a proxy's send queue, which closes its connection.
    fn disconnect_proxy(self: &Rc<Self>, connection: u64) {
        if self.proxies.borrow_mut().remove(&connection).is_some() {
            self.drive(InputKind::Connection, |core, _, out| {
                core.proxy_disconnected(connection, out)
            });
        }
    }
}
