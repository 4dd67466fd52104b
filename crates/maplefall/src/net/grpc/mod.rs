//! gRPC pass-through: a further listener for calls over HTTP/2 without TLS (`h2c` by prior knowledge).
//!
//! `maplefall-grpc` decides what a call, an attempt and a status mean; the decision module decides on backends and retries, as
//! for every request. The files here do the I/O: [`server`] accepts connections and calls, [`validation`] reads their heads,
//! [`call_handler`] leads each to its status, [`client_stream`] is the client's side of it, [`proxied_call`] the queues between,
//! [`attempt`] and [`connections`] the backends' side, and [`settings`] the file (`MAPLEFALL_GRPC`).

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

/// Descriptors for gRPC: connections of clients and to backends, and the listener.
pub fn reserved_sockets(settings: Option<&GrpcSettings>) -> usize {
    settings.map_or(0, |settings| {
        settings.connections + settings.backend_connections + 1
    })
}
