//! Connections to backends, for every program that forwards requests: connection pools, the idle
//! age up to which connections are reused, single attempts of requests, and whether a request may
//! have run when its connection breaks.

mod attempt;
mod attempt_handle;
mod block_body;
mod clock;
mod connection;
mod idle_age;
mod limits;
mod pool;
mod socket;
mod written_bytes;

pub use attempt::{send_request, AttemptResult, ConnectionCounts, RequestOptions};
pub use attempt_handle::AttemptHandle;
pub use block_body::BlockBody;
pub use clock::Clock;
pub use connection::{ConnectError, Connection, MAX_BUFFER_BYTES};
pub use limits::{downstream_budget, upstream_budget};
pub use pool::Pools;
pub use socket::UpstreamSocket;
