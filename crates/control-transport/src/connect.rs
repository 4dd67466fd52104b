//! Opening a connection, and the backoff between attempts.

use crate::ConnectionError;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};

/// How long establishing a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Wait after the first failed attempt.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// Longest wait between two attempts.
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(400);

/// Exponential backoff between connection attempts: 50 ms after the first, twice as long after each further one, 400 ms at most. A
/// new one is to be used after a connection that was established.
#[derive(Clone, Copy, Debug)]
pub struct ReconnectBackoff {
    next_delay: Duration,
}

impl Default for ReconnectBackoff {
    fn default() -> ReconnectBackoff {
        ReconnectBackoff {
            next_delay: MIN_RECONNECT_DELAY,
        }
    }
}

impl ReconnectBackoff {
    /// Waits for the current delay, and doubles it.
    pub async fn wait(&mut self) {
        tokio::time::sleep(self.next_delay).await;
        self.next_delay = (self.next_delay * 2).min(MAX_RECONNECT_DELAY);
    }
}

/// Opens a connection to `address` from the local address `from`, by which the other end identifies this machine.
///
/// # Errors
///
/// [`ConnectionError::Connect`] if it is not established within 400 ms.
pub async fn connect(from: IpAddr, address: SocketAddr) -> Result<TcpStream, ConnectionError> {
    let failed = |error| ConnectionError::Connect { address, error };
    let socket = if from.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }
    .map_err(failed)?;
    socket.bind(SocketAddr::new(from, 0)).map_err(failed)?;
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, socket.connect(address)).await;
    connected
        .map_err(|_| failed(io::ErrorKind::TimedOut.into()))?
        .map_err(failed)
}
