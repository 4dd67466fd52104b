//! The gRPC side between played services that drop streams, delay trailers and contradict themselves, and played clients: every
//! call has one final status, and nothing runs more often than its class permits.

mod connections;
mod harness;
mod mixed_faults;
mod pass_through;
mod raw_backend;
mod retries;
mod slow_clients;

#[path = "../sockets/mod.rs"]
mod sockets;
