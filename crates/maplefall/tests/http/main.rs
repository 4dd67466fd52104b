//! The program between HTTP/1.1 sockets that a test plays: each test names what it guards.

mod attempts;
mod client_connections;
mod discovery;
mod process;
mod requests;
mod responses;

#[path = "../sockets/mod.rs"]
mod sockets;
