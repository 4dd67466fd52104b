//! The client side of every program that serves clients: a table of open connections with a limit,
//! the phases of a graceful shutdown, and the value of `Retry-After`. Single-threaded: for use on
//! one `LocalSet`.

mod connection_table;
mod retry_after;
mod shutdown;

pub use connection_table::{
    CloseNotification, ConnectionGuard, ConnectionTable, CLOSE_RESPONSE_TIMEOUT,
};
pub use retry_after::retry_after_value;
pub use shutdown::ShutdownPhase;
