//! The program between HTTP/1.1 sockets that the test controls.

mod attempts;
mod client_connections;
mod discovery;
mod process;
mod requests;
mod responses;

#[path = "../sockets/mod.rs"]
mod sockets;
