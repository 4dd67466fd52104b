//! Socket writes with a limit on the time without progress.

use crate::liveness::PONG_TIMEOUT;
use crate::ConnectionError;
use bytes::Buf;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;

/// A write that makes no progress for this long ends the connection.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_millis(PONG_TIMEOUT as u64);

/// Writes all bytes; fails if a write makes no progress within [`WRITE_STALL_TIMEOUT`].
pub(crate) async fn write_all(
    stream: &mut OwnedWriteHalf,
    mut bytes: &[u8],
) -> Result<(), ConnectionError> {
    while !bytes.is_empty() {
        match tokio::time::timeout(WRITE_STALL_TIMEOUT, stream.write(bytes)).await {
            Ok(Ok(0)) => return Err(ConnectionError::Closed),
            Ok(Ok(written)) => bytes.advance(written),
            Ok(Err(error)) => return Err(ConnectionError::Io(error)),
            Err(_) => return Err(ConnectionError::WriteStalled),
        }
    }
    Ok(())
}
