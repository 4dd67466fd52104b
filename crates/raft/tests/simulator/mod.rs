//! A simulated cluster of nodes, with its network, disks and faults, all from one seed.
//!
//! Messages are lost, delayed and reordered; links are cut, also in one direction; nodes crash, freeze and resume with
//! the messages of the meantime, lose power and with it what is not synced, lose their disks, shut down, and are
//! replaced by others for good. After every input the cluster is checked against a slow plain model: see
//! [`checks`](self::checks).
#![allow(dead_code)]

mod checks;
mod cluster;
mod effects;
mod faults;
mod health;
mod inputs;
mod network;
mod node;
pub mod scenarios;

pub use cluster::Cluster;
pub use faults::{CrashKind, Direction};
pub use node::AfterShutdown;

/// No node may report quorum contact for longer than this after its last contact, in milliseconds.
pub const QUORUM_CONTACT_TIMEOUT: f64 = 1000.0;
/// A machine that shuts down stops after this even if the node was not released, in milliseconds.
pub const MAX_SHUTDOWN_DURATION: f64 = 2500.0;

/// The right cluster, and deliberately wrong ones that the checks have to detect.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Variant {
    Right,
    /// A node that has lost its disk is a voter at once, with its old identity.
    WipedVotes,
    /// Writes count as persisted before they are on disk.
    Unsynced,
    /// A change of members is committed by a majority of the new members alone.
    NewMajorityAlone,
}
