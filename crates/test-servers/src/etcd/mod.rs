//! A fake etcd v3 cluster (etcd's API pages): gRPC over a store with etcd's history, several
//! members, and failures on demand.

mod server;
pub mod store;

pub use server::{Cut, Etcd, Known, Member};
