//! Long frames are sent in chunks, so that pings and pongs can go between them: a ping behind 64 MiB would come too late to prove
//! anything.
//!
//! Invariant: the receiver buffers at most one frame of [`MAX_FRAME_BYTES`], and chunks that do not add up to exactly one frame are an error.

use bytes::{Bytes, BytesMut};
use maplefall_control_messages::{
    decode_frame, encode_frame, Chunk, Frame, FrameError, LENGTH_PREFIX_BYTES, MAX_FRAME_BYTES,
};

/// Longest data of a chunk; longer frames are split.
const MAX_CHUNK_BYTES: usize = 64 << 10;

/// Whether an encoded frame is sent in chunks.
pub(crate) fn needs_chunking(encoded: &Bytes) -> bool {
    encoded.len() > MAX_CHUNK_BYTES
}

/// Splits an encoded frame. Each item is an encoded [`Frame::Chunk`]; their data are slices of the frame.
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

/// Puts the chunks of a connection together.
#[derive(Debug, Default)]
pub(crate) struct ChunkAssembler {
    buffer: BytesMut,
}

impl ChunkAssembler {
    /// Takes the next frame of a connection. Returns it, or the frame that it completes as the last chunk; `None` for a chunk before the
    /// last.
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
