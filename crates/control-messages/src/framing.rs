//! Framing: a message is preceded by its length, four bytes in network byte order. A length above
//! [`MAX_FRAME_BYTES`] is rejected before any memory is allocated for it.

use crate::{Envelope, Frame};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use prost::Message;

/// Maximum size of a message in bytes, without its length prefix: 64 MiB.
pub const MAX_FRAME_BYTES: usize = 64 << 20;
/// Size of the length prefix of a frame in bytes.
pub const LENGTH_PREFIX_BYTES: usize = 4;

/// The reason why received bytes are not a frame. The connection must be closed, since the start of
/// the next frame is unknown.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The length in the prefix, given here in bytes, is above [`MAX_FRAME_BYTES`], or above what
    /// the peer may send.
    #[error("step=frame length={0}")]
    TooLong(usize),
    /// The bytes cannot be decoded, or the message is of an unknown kind.
    #[error("step=decode")]
    Malformed,
}

/// Encodes a message with its length prefix.
pub fn encode_frame(frame: Frame) -> Bytes {
    let envelope = Envelope { frame: Some(frame) };
    let length = envelope.encoded_len();
    let mut bytes = BytesMut::with_capacity(LENGTH_PREFIX_BYTES + length);
    bytes.put_u32(length as u32);
    // Encoding fails only for lack of capacity, which has been reserved.
    let _ = envelope.encode(&mut bytes);
    bytes.freeze()
}

/// Removes one complete frame from the front of the received bytes; `None` if more bytes are
/// needed.
///
/// # Errors
///
/// Returns [`FrameError`] if the bytes are not a frame of this protocol.
pub fn decode_frame(received: &mut BytesMut) -> Result<Option<Frame>, FrameError> {
    decode_frame_up_to(received, MAX_FRAME_BYTES)
}

/// As [`decode_frame`], for a peer that may send messages of at most `max_bytes`.
///
/// # Errors
///
/// Returns [`FrameError`] if the bytes are not a frame of this protocol, or one that is longer.
pub fn decode_frame_up_to(
    received: &mut BytesMut,
    max_bytes: usize,
) -> Result<Option<Frame>, FrameError> {
    let Some(length) = peek_length(received) else {
        return Ok(None);
    };
    if length > max_bytes {
        return Err(FrameError::TooLong(length));
    }
    if received.len() < LENGTH_PREFIX_BYTES + length {
        return Ok(None);
    }
    received.advance(LENGTH_PREFIX_BYTES);
    let message = received.split_to(length).freeze();
    let envelope = Envelope::decode(message).map_err(|_| FrameError::Malformed)?;
    envelope.frame.map(Some).ok_or(FrameError::Malformed)
}

fn peek_length(received: &BytesMut) -> Option<usize> {
    let mut prefix = received.get(..LENGTH_PREFIX_BYTES)?;
    Some(prefix.get_u32() as usize)
}
