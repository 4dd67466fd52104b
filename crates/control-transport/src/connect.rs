//! Opening a connection, and the backoff between attempts.

use crate::ConnectionError;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};

/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay after the first failed attempt.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// Maximum delay between two attempts.
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(400);

/// Exponential backoff between connection attempts: 50 ms after the first, doubled after each
/// further one, up to 400 ms. A new value must be used after a connection was established.
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

/// Opens a connection to `address` from the local address `local_ip`, by which the peer identifies
/// this machine.
///
/// # Errors
///
/// Returns [`ConnectionError::Connect`] if the connection is not established within 400 ms.
pub async fn connect(local_ip: IpAddr, address: SocketAddr) -> Result<TcpStream, ConnectionError> {
    let connect_error = |error| ConnectionError::Connect { address, error };
    let socket = if local_ip.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }
    .map_err(connect_error)?;
    socket
        .bind(SocketAddr::new(local_ip, 0))
        .map_err(connect_error)?;
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, socket.connect(address)).await;
    connected
        .map_err(|_| connect_error(io::ErrorKind::TimedOut.into()))?
        .map_err(connect_error)
}
