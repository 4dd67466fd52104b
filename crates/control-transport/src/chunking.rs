//! Long frames are sent in chunks, so that pings and pongs can be sent between the chunks: a ping
//! queued behind 64 MiB would arrive too late to prove that the connection is alive.
//!
//! Invariant: the receiver buffers at most one frame of [`MAX_FRAME_BYTES`], and chunks that do not
//! add up to exactly one frame are an error.

use bytes::{Bytes, BytesMut};
use maplefall_control_messages::{
    decode_frame, encode_frame, Chunk, Frame, FrameError, LENGTH_PREFIX_BYTES, MAX_FRAME_BYTES,
};

/// Maximum size of a chunk's data in bytes; longer encoded frames are split.
const MAX_CHUNK_BYTES: usize = 64 << 10;

/// Returns whether an encoded frame is sent in chunks.
pub(crate) fn needs_chunking(encoded: &Bytes) -> bool {
    encoded.len() > MAX_CHUNK_BYTES
}

/// Splits an encoded frame into encoded [`Frame::Chunk`]s. Their data are slices of the frame.
pub(crate) fn split_into_chunks(mut encoded: Bytes) -> impl Iterator<Item = Bytes> {
    std::iter::from_fn(move || {
        if encoded.is_empty() {
            return None;
        }
        let data = encoded.split_to(encoded.len().min(MAX_CHUNK_BYTES));
        let last = encoded.is_empty();
        Some(encode_frame(Frame::Chunk(Chunk { data, last })))
    })
}

/// Reassembles the chunks of a connection into frames.
#[derive(Debug, Default)]
pub(crate) struct ChunkAssembler {
    buffer: BytesMut,
}

impl ChunkAssembler {
    /// Processes the next frame of a connection. Returns the frame itself if it is not a chunk, the
    /// reassembled frame if it is the last chunk, and `None` if it is an earlier chunk.
    pub(crate) fn push(&mut self, frame: Frame) -> Result<Option<Frame>, FrameError> {
        let Frame::Chunk(chunk) = frame else {
            return Ok(Some(frame));
        };
        let length = self.buffer.len() + chunk.data.len();
        if length > LENGTH_PREFIX_BYTES + MAX_FRAME_BYTES {
            return Err(FrameError::TooLong(length));
        }
        self.buffer.extend_from_slice(&chunk.data);
        if !chunk.last {
            return Ok(None);
        }
        self.take_frame().map(Some)
    }

    fn take_frame(&mut self) -> Result<Frame, FrameError> {
        let frame = decode_frame(&mut self.buffer)?.ok_or(FrameError::Malformed)?;
        let rest = std::mem::take(&mut self.buffer);
        if !rest.is_empty() || matches!(frame, Frame::Chunk(_)) {
            return Err(FrameError::Malformed);
        }
        Ok(frame)
    }
}

#[cfg(test)]
mod tests;
