//! gRPC pass-through: a further listener for calls over HTTP/2 without TLS (`h2c` by prior knowledge). What a call, an
//! attempt and a status mean, `maplefall-grpc` decides; which backend, and whether once more, the decision module, as for
//! every request. The files here only carry.

mod back;
mod front;
mod passage;
mod settings;

pub use back::{AttemptContext, Backends};
pub use front::GrpcServer;
pub use passage::ProxiedCall;
pub use settings::{from_env, is_grpc_file, read, GrpcSettings};

/// Descriptors that connections for calls take, to clients, to backends and for the listener.
pub fn reserved_sockets(settings: Option<&GrpcSettings>) -> usize {
    settings.map_or(0, |settings| {
        settings.connections + settings.backend_connections + 1
    })
}
