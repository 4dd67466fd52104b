//! A simulated cluster of nodes, with its network, disks and faults, all determined by one seed.
//!
//! Messages are lost, delayed and reordered; links are blocked in one or both directions; nodes
//! crash, freeze and resume with the messages that arrived meanwhile, lose power and with it
//! unsynced writes, lose their disks, shut down, and are replaced by others for good. After every
//! input the cluster is checked against a simple, slow model: see [`checks`](self::checks).
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

/// Maximum time for which a node may report quorum contact after its last contact, in milliseconds.
pub const QUORUM_CONTACT_TIMEOUT: f64 = 1000.0;
/// Time after which a machine that is shutting down stops even if its node was not released, in
/// milliseconds.
pub const MAX_SHUTDOWN_DURATION: f64 = 2500.0;

/// The correct cluster, and deliberately incorrect ones that the checks must detect.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Variant {
    Correct,
    /// A node that has lost its disk is a voter at once, with its old identity.
    ReusedIdentity,
    /// Writes count as persisted before they are on disk.
    UnsyncedWrites,
    /// A membership change is committed by a majority of the new members alone.
    NewMajorityAlone,
}
