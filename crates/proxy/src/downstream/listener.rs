//! The accept loop. It accepts only while the connection limit allows; what waits meanwhile waits in the kernel's backlog.

use super::connection::ClientConnection;
use super::DownstreamServer;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// Pause after an accept that failed, as when the process has no descriptor left.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

impl DownstreamServer {
    /// Accepts connections in a task until [`close_listener`](Self::close_listener).
    pub fn serve(self: &Rc<Self>, listener: TcpListener) {
        let task = tokio::task::spawn_local(self.clone().accept(listener));
        *self.accept_task.borrow_mut() = Some(task);
    }

    /// Stops accepting; the listener is closed when the returned task has ended. `None` if it was stopped before.
    pub fn close_listener(&self) -> Option<JoinHandle<()>> {
        self.accept_task
            .borrow_mut()
            .take()
            .inspect(|accept_task| accept_task.abort())
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            self.wait_for_capacity().await;
            match listener.accept().await {
                Ok((stream, _)) => {
                    let connection = ClientConnection::new(self.proxy.clock.now());
                    let guard = self.connections.insert(connection);
                    tokio::task::spawn_local(self.clone().serve_connection(stream, guard));
                }
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await,
            }
        }
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
