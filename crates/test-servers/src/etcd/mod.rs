//! A played etcd v3 (etcd's API pages): real gRPC over a store with a true history, several members, and failures on call.

mod server;
pub mod store;

pub use server::{Cut, Etcd, Known, Member};
