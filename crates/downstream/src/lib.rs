//! The client side of every program that serves clients: a table of open connections with a limit,
//! the memory for bodies and the end of connections that hold it for good, the phases of a graceful
//! shutdown, and the value of `Retry-After`. Single-threaded: for use on one `LocalSet`.

mod body_memory;
mod client_socket;
mod connection_table;
mod eviction;
mod head_memory;
mod request_body;
mod retry_after;
mod shutdown;
mod transfer;

pub use body_memory::{BodyMemory, MemoryTenant, Reservation, ReserveError};
pub use client_socket::{ClientSocket, SocketObserver};

pub use connection_table::{
    CloseNotification, ConnectionGuard, ConnectionTable, CLOSE_RESPONSE_TIMEOUT,
};
pub use eviction::{evict_slow_transfers, evict_slowest, HasTransfer};
pub use head_memory::{HeadCharge, HeadMemory};
pub use request_body::{read_request_body, BodyDeadlines, BodyError, BodyPolicy, RequestBody};
pub use retry_after::retry_after_value;
pub use shutdown::ShutdownPhase;
pub use transfer::{Transfer, SLOW_BYTES_PER_SECOND};
