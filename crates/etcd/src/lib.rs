//! A membership source: reads the nodes under a key prefix of etcd v3 and follows them with a
//! watch.
//!
//! [`Follower`] makes all decisions and does no I/O: it takes inputs with the current time and
//! returns [`Output`]s, as in `quinn-proto`. [`client`] executes its commands over gRPC. [`value`]
//! parses keys and values; the messages are in `maplefall-etcd-wire`.

pub mod client;
mod follower;
mod interface;
mod text;
pub mod value;

pub use follower::Follower;
pub use interface::{
    Command, ConnectionId, Failure, Input, Output, Report, Settings, SourceUpdate,
};
pub use text::one_line;
