//! The reasons why connections end, displayed as `why=...` in the log.

use crate::liveness::LivenessError;
use maplefall_control_messages::FrameError;
use std::io;
use std::net::SocketAddr;

/// The reason why a connection ended.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// The connection could not be established.
    #[error("why=connect address={address} error={:?}", .error.kind())]
    Connect {
        /// The address of the peer.
        address: SocketAddr,
        /// The error of the operating system, or [`io::ErrorKind::TimedOut`].
        error: io::Error,
    },
    /// Reading or writing failed.
    #[error("why=io error={:?}", .0.kind())]
    Io(io::Error),
    /// The peer closed the connection.
    #[error("why=closed")]
    Closed,
    /// The peer did not prove in time that it is alive, or sent a message out of order.
    #[error(transparent)]
    Liveness(#[from] LivenessError),
    /// The peer accepts no more data: a write made no progress for
    /// [`PONG_TIMEOUT`](crate::liveness::PONG_TIMEOUT).
    #[error("why=write_stalled")]
    WriteStalled,
    /// The received bytes are not a frame.
    #[error("why=frame {0}")]
    Frame(#[from] FrameError),
    /// This end dropped the connection: its event handler returned `false`, or the sender of its
    /// outgoing queue was dropped.
    #[error("why=dropped")]
    Dropped,
}
