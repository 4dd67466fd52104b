//! gRPC proxying: a separate listener for calls over HTTP/2 without TLS (`h2c` with prior
//! knowledge).
//!
//! `maplefall-grpc` implements the protocol logic of calls, attempts and statuses; the decision
//! module decides on backends and retries, as for every request. These files do the I/O: [`server`]
//! accepts connections and calls, [`validation`] validates their heads, [`call_handler`] runs each
//! call until it has its status, [`client_stream`] is the client's side, [`proxied_call`] the
//! queues in between, [`attempt`] and [`connections`] the backends' side, and [`settings`] the
//! settings file (`MAPLEFALL_GRPC`).

mod attempt;
mod call_handler;
mod client_stream;
mod connections;
mod proxied_call;
mod server;
mod settings;
mod validation;

pub use attempt::AttemptContext;
pub use connections::Backends;
pub use proxied_call::ProxiedCall;
pub use server::GrpcServer;
pub use settings::{from_env, is_grpc_file, read, GrpcSettings};

/// Descriptors of the listener for gRPC and of a client that waits for another's to close.
const LISTENER_SOCKETS: usize = 2;

/// Number of descriptors for gRPC: connections of clients and to backends, and the listener.
pub fn reserved_sockets(settings: Option<&GrpcSettings>) -> usize {
    settings.map_or(0, |settings| {
        settings.connections + settings.backend_connections + LISTENER_SOCKETS
    })
}
