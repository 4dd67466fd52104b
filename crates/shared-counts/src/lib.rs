//! Usage of customers, counted by every node for itself and shared with all others by gossip, without a leader.
//!
//! A node counts what customers have *taken* and what was *returned* when units were settled, as two numbers that only grow, for
//! itself, its incarnation and an epoch of its own uptime. Whoever receives a count keeps the larger numbers ([`Count::join`]), so
//! loss, repetition and reordering of datagrams only make a count late. Every node may forward what it has received of any other.
//!
//! | module | job |
//! | --- | --- |
//! | [`settings`] | what an operator may set, and its validation |
//! | [`count`] | one count and its join |
//! | [`replica`] | the counts of one incarnation of a node, as known here, and deltas of them |
//! | [`admission`] | which customers of a node get a count of their own when there are too many |
//! | [`members`] | membership: heartbeats, incarnations, suspicion |
//! | [`remote_usage`] | usage at other nodes, as it is passed to the policy |
//! | [`wire`] | datagrams: format, bounds, authenticator |
//! | [`node`] | the state machine: datagrams and the time in, datagrams out |
//! | [`status`] | what operators are shown |
//!
//! Nothing here reads a clock or a socket. Times are milliseconds on the caller's clock, which never goes back. Clocks of different
//! nodes are not compared, and the date only numbers a node's incarnations.

#![forbid(unsafe_code)]

pub mod admission;
pub mod count;
mod failure_detector;
pub mod members;
pub mod node;
mod random;
pub mod remote_usage;
mod replay_window;
pub mod replica;
pub mod settings;
pub mod status;
pub mod wire;

pub use count::Count;
pub use node::{Node, Output};
pub use remote_usage::UsageUpdate;
pub use settings::Settings;

use maplefall_policy::Millis;

/// The key of the hash of names: part of the wire format.
const NAME_HASH_KEY: (u64, u64) = (0x6d61_706c_6566_616c, 0x6c63_6f75_6e74_7331);

/// Identifies a node as long as its name stays the same: a hash of the name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize)]
pub struct DoorId(pub u64);

impl DoorId {
    /// The id of the node with this name, the same in every process.
    pub fn of(name: &str) -> DoorId {
        use std::hash::Hasher;
        let mut hash = siphasher::sip::SipHasher24::new_with_keys(NAME_HASH_KEY.0, NAME_HASH_KEY.1);
        hash.write(name.as_bytes());
        DoorId(hash.finish())
    }
}

/// One incarnation of a node: one run of its process. Incarnations are numbered by the date of their start, in milliseconds since
/// 1970, or by one more than another incarnation that was seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize)]
pub struct Life {
    /// The node.
    pub door: DoorId,
    /// The number of the incarnation: a later one has a larger number.
    pub incarnation: u64,
}

/// A period of an incarnation's uptime, counted from its start. Counts of different epochs are different counts.
pub type Epoch = u32;

/// The epoch of an uptime in milliseconds, for epochs of this length.
pub(crate) fn epoch_at(uptime: u64, epoch_length: Millis) -> Epoch {
    (uptime as f64 / epoch_length.max(1.0)) as Epoch
}

/// Whose quota is used: a customer of a plan, made by [`quota`]. [`TAIL`] stands for all that have no count of their own.
pub type Customer = u64;

/// Bits of a customer's own number.
const CUSTOMER_BITS: u32 = 48;

/// The quota of a customer of a plan, by their numbers, which are the same at every node. A customer's number is below 2^48.
pub fn quota(plan: u16, customer: u64) -> Customer {
    u64::from(plan) << CUSTOMER_BITS | customer & ((1 << CUSTOMER_BITS) - 1)
}

/// The plan and the customer of a quota: the inverse of [`quota`].
pub fn plan_and_customer(quota: Customer) -> (u16, u64) {
    (
        (quota >> CUSTOMER_BITS) as u16,
        quota & ((1 << CUSTOMER_BITS) - 1),
    )
}

/// All customers together that have no count of their own at a node.
pub const TAIL: Customer = u64::MAX;
