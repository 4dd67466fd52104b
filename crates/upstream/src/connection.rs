//! One connection to a backend.

use crate::block_body::BlockBody;
use crate::socket::{ConnectionPermit, SocketIo, UpstreamSocket};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Maximum number of bytes that a connection buffers in each direction; a request with a longer
/// head is rejected with 431.
pub const MAX_BUFFER_BYTES: usize = 32 * 1024;

/// An established connection to a backend, closed immediately on drop.
pub struct Connection {
    /// Sends requests on the connection.
    pub sender: SendRequest<BlockBody>,
    /// The connection's socket.
    pub socket: Rc<UpstreamSocket>,
    task: AbortHandle,
    pub(crate) idle_since: Instant,
}

impl Connection {
    /// Connects to a backend, and starts the task that drives the connection.
    pub(crate) async fn establish(
        address: SocketAddr,
        permit: ConnectionPermit,
    ) -> Result<Connection, ConnectError> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let socket = Rc::new(UpstreamSocket::new(stream, permit));
        let io = TokioIo::new(SocketIo(socket.clone()));
        let (sender, connection) = Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(io)
            .await
            .map_err(|_| ConnectError::Unreachable)?;
        let task_socket = socket.clone();
        let task = tokio::task::spawn_local(async move {
            // An attempt on the connection, if there is one, gets the error from `sender`.
            let _ = connection.await;
            task_socket.close();
        });
        Ok(Connection {
            sender,
            socket,
            task: task.abort_handle(),
            idle_since: Instant::now(),
        })
    }

    /// Returns how long the connection has been idle.
    pub fn idle(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.idle_since)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.socket.close();
        self.task.abort();
    }
}

/// The reason why a connection to a backend could not be established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectError {
    /// The connection limit is reached, or this process has no descriptor left. The backend is not
    /// at fault.
    LocalLimit,
    /// The backend refuses the connection, does not respond in time or cannot be reached.
    Unreachable,
}

impl From<io::Error> for ConnectError {
    fn from(error: io::Error) -> ConnectError {
        use io::ErrorKind::*;
        match error.kind() {
            ConnectionRefused | ConnectionReset | ConnectionAborted | TimedOut
            | HostUnreachable | NetworkUnreachable | BrokenPipe | NotConnected | UnexpectedEof
            | InvalidInput => ConnectError::Unreachable,
            _ => ConnectError::LocalLimit,
        }
    }
}
