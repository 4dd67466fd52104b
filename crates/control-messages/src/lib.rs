//! The protocol between proxies and controllers, and among controllers: protobuf messages
//! ([`Frame`] is any of them) and their framing on a byte stream. This crate does no I/O;
//! connections are in `maplefall-control-transport`.
//!
//! **Invariant.** A connection begins with a [`Hello`] of the current [`PROTOCOL_VERSION`] from the
//! process that opened it; anything else ends the connection. Prost tags and the framing are the
//! wire format: tags are never reused, and unknown fields are ignored, so a field can be added
//! without a new protocol version.

mod framing;
mod messages;

pub use framing::{
    decode_frame, decode_frame_up_to, encode_frame, FrameError, LENGTH_PREFIX_BYTES,
    MAX_FRAME_BYTES,
};
pub use messages::{
    Chunk, ConfigUpdate, Envelope, Frame, Heartbeat, Heartbeats, Hello, IndexedChange,
    InstanceUpdates, PROTOCOL_VERSION,
};
