//! Connections between proxies and controllers, and among controllers: frames over TCP, with a
//! bounded queue for outgoing frames.
//!
//! **Invariant.** A connection that no longer carries data in both directions, or whose peer has
//! stopped, ends within 2.5 s at both ends, and no data that was sent longer ago is delivered
//! ([`liveness`]). Of several connections from one process only the latest is used ([`fencing`]).
//! Why both are needed: `docs/design/control-connections.md`.

mod chunking;
mod connect;
mod connection;
mod error;
pub mod fencing;
pub mod liveness;
mod write;

pub use connect::{connect, ReconnectBackoff};
pub use connection::{run_connection, Event, Handshake, OUTGOING_QUEUE_FRAMES};
pub use error::ConnectionError;
