//! Connections to backends, for every program that forwards: pools, at what idle age kept connections hold, a request
//! written with caution, and what is known of it once its connection breaks.

mod attempt;
mod clock;
mod pool;

pub use attempt::{send_request, AttemptResult, RequestOptions};
pub use clock::Clock;
pub use pool::{
    downstream_budget, upstream_budget, AttemptHandle, ConnectError, Connection, Pools,
    UpstreamSocket, MAX_BUFFER_BYTES,
};
