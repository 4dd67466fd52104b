//! Why a connection ended, as `why=...` in the log.

use crate::liveness::LivenessError;
use maplefall_control_messages::FrameError;
use std::io;
use std::net::SocketAddr;

/// Why a connection ended.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// It could not be established.
    #[error("why=connect address={address} error={:?}", .error.kind())]
    Connect {
        /// The address of the other end.
        address: SocketAddr,
        /// What the system said, or [`io::ErrorKind::TimedOut`].
        error: io::Error,
    },
    /// Reading or writing failed.
    #[error("why=io error={:?}", .0.kind())]
    Io(io::Error),
    /// The other end has closed it.
    #[error("why=closed")]
    Closed,
    /// The other end did not prove in time that it is alive, or sent a message out of order.
    #[error(transparent)]
    Liveness(#[from] LivenessError),
    /// The other end accepts no more data: a write made no progress for [`PONG_TIMEOUT`](crate::liveness::PONG_TIMEOUT).
    #[error("why=write_stalled")]
    WriteStalled,
    /// The received bytes are not a frame.
    #[error("why=frame {0}")]
    Frame(#[from] FrameError),
    /// This end no longer wants it: its event handler said so, or the sender of its outgoing queue is gone.
    #[error("why=dropped")]
    Dropped,
}
