//! A source of the roster: nodes under a prefix of etcd v3, followed by its watch.
//!
//! [`Follower`] decides everything and does no I/O: inputs with the time go in, [`Output`]s come out, as in `quinn-proto`.
//! [`client`] carries its commands out over gRPC. What a value may say is in [`value`], the messages are in
//! `maplefall-etcd-wire`.

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
