//! The accept loop. Connections are accepted only within the connection limit; further ones wait in
//! the kernel's backlog.

use super::connection::ClientConnection;
use super::DownstreamServer;
use maplefall_downstream::evict_slow_transfers;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// Backoff after a failed accept, for example when the process has no descriptor left.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of connections accepted from the backlog when the listener is closed: the
/// system's default backlog.
const MAX_BACKLOG: usize = 4096;

/// A connection that is closed for a new one.
enum Dispensable {
    /// It has no request.
    Idle(Rc<ClientConnection>),
    /// Its client hardly moves a body or a response.
    Slow(Rc<ClientConnection>),
}

impl DownstreamServer {
    /// Accepts connections in a task until [`close_listener`](Self::close_listener).
    pub fn serve(self: &Rc<Self>, listener: TcpListener) {
        let clock = self.proxy.clock;
        tokio::task::spawn_local(evict_slow_transfers(
            self.connections.clone(),
            self.proxy.body_memory.clone(),
            move || clock.now(),
        ));
        let task = tokio::task::spawn_local(self.clone().accept_until_stopped(listener));
        *self.accept_task.borrow_mut() = Some(task);
    }

    /// Stops accepting; the listener is closed when the returned task has ended. Returns `None` if
    /// it was stopped before.
    pub fn close_listener(&self) -> Option<JoinHandle<()>> {
        self.stop_accepting.notify_one();
        self.accept_task.borrow_mut().take()
    }

    async fn accept_until_stopped(self: Rc<Self>, listener: TcpListener) {
        tokio::select! {
            () = self.accept(&listener) => {}
            () = self.stop_accepting.notified() => self.accept_backlog(listener),
        }
    }

    async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        loop {
            self.wait_for_capacity().await;
            match listener.accept().await {
                Ok((stream, _)) => self.start_connection(stream),
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await,
            }
        }
    }

    /// Accepts the connections that wait in the kernel's backlog, then closes the listener. Closing
    /// a listener resets the connections in its backlog, whose clients may already have sent a
    /// request.
    fn accept_backlog(self: &Rc<Self>, listener: TcpListener) {
        // The runtime knows only the connections that had arrived at its last poll; the system call
        // `accept` returns all of them.
        let Ok(listener) = listener.into_std() else {
            return;
        };
        for _ in 0..MAX_BACKLOG {
            if !self.connections.has_capacity() {
                return;
            }
            let Ok((stream, _)) = listener.accept() else {
                return;
            };
            let stream = stream
                .set_nonblocking(true)
                .and_then(|()| TcpStream::from_std(stream));
            // A connection that cannot be registered with the runtime is closed, like connections
            // beyond the connection limit.
            if let Ok(stream) = stream {
                self.start_connection(stream);
            }
        }
    }

    fn start_connection(self: &Rc<Self>, stream: TcpStream) {
        let connection = ClientConnection::new(self.proxy.clock, self.proxy.head_memory.clone());
        let guard = self.connections.insert(connection);
        tokio::task::spawn_local(self.clone().serve_connection(stream, guard));
    }

    /// At the connection limit, requests the closing of the connection that has been idle longest,
    /// since regular clients return sooner; if none is idle, of one whose client hardly moves a body
    /// or a response.
    async fn wait_for_capacity(&self) {
        self.connections
            .wait_for_capacity(
                |connections| {
                    let now = self.proxy.clock.now();
                    let mut slow = None;
                    let idle = connections
                        .filter_map(|connection| {
                            if connection.transfer.is_slow(now) {
                                slow = Some(connection.clone());
                            }
                            Some((connection.idle_since()?, connection))
                        })
                        .min_by(|a, b| a.0.total_cmp(&b.0));
                    let idle = idle.map(|(_, connection)| Dispensable::Idle(connection.clone()));
                    idle.or(slow.map(Dispensable::Slow))
                },
                |dispensable| match dispensable {
                    Dispensable::Idle(connection) => connection.close_gracefully(),
                    Dispensable::Slow(connection) => connection.transfer.evict(),
                },
            )
            .await;
    }
}
