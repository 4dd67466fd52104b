//! Connections to backends, for every program that forwards: pools, at what idle age kept connections hold, a request
//! written with caution, and what is known of it once its connection breaks.

mod carry;
mod clock;
mod pool;

pub use carry::{carry, Carried};
pub use clock::Clock;
pub use pool::{budget, client_budget, Connection, Line, NoConnection, Pools, Wire, BUFFER};
