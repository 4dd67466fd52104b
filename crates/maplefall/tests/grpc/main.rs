//! The gRPC side between fake services, which drop streams, delay trailers and send contradictory
//! responses, and fake clients: every call gets one final status, and nothing runs more often than
//! its class permits.

mod connections;
mod harness;
mod mixed_faults;
mod pass_through;
mod raw_backend;
mod retries;
mod slow_clients;

#[path = "../sockets/mod.rs"]
mod sockets;
