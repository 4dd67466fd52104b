//! The accept loop. It accepts only while the connection limit allows; what waits meanwhile waits in the kernel's backlog.

use super::connection::ClientConnection;
use super::DownstreamServer;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// Pause after an accept that failed, as when the process has no descriptor left.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Connections that are accepted at most once the listener is to close: the system's default backlog.
const MAX_BACKLOG: usize = 4096;

impl DownstreamServer {
    /// Accepts connections in a task until [`close_listener`](Self::close_listener).
    pub fn serve(self: &Rc<Self>, listener: TcpListener) {
        let task = tokio::task::spawn_local(self.clone().accept_until_stopped(listener));
        *self.accept_task.borrow_mut() = Some(task);
    }

    /// Stops accepting; the listener is closed when the returned task has ended. `None` if it was stopped before.
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

    /// Accepts the connections that wait in the kernel's backlog, and closes the listener. Guards clients that have connected and
    /// sent a request: a listener that is closed resets what waits in its backlog.
    fn accept_backlog(self: &Rc<Self>, listener: TcpListener) {
        // The runtime knows only of connections up to its last poll; the system call tells of all.
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
            // One that cannot be watched is closed, as by the limit.
            if let Ok(stream) = stream {
                self.start_connection(stream);
            }
        }
    }

    fn start_connection(self: &Rc<Self>, stream: TcpStream) {
        let connection = ClientConnection::new(self.proxy.clock.now());
        let guard = self.connections.insert(connection);
        tokio::task::spawn_local(self.clone().serve_connection(stream, guard));
    }

    /// At the connection limit, asks the connection that has been idle longest to close: regular clients come again sooner.
    async fn wait_for_capacity(&self) {
        self.connections
            .wait_for_capacity(
                |connections| {
                    connections
                        .filter_map(|connection| Some((connection.idle_since()?, connection)))
                        .min_by(|a, b| a.0.total_cmp(&b.0))
                        .map(|(_, connection)| connection.clone())
                },
                |connection| connection.close_gracefully(),
            )
            .await;
    }
}
