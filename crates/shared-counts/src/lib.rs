//! Usage counts of customers that gateways share by gossip, without a leader.
//!
//! A node is one gateway in the cluster. It counts the units that customers have *taken* and those
//! *returned* when requests ended, as two numbers that only grow, per incarnation of the node and
//! epoch of its uptime. A node that receives a count keeps the larger numbers ([`Count::join`]), so
//! lost, repeated and reordered datagrams only delay counts. Every node may forward the counts of
//! any other.
//!
//! | module | content |
//! | --- | --- |
//! | [`settings`] | operator settings and their validation |
//! | [`count`] | one count and its join |
//! | [`replica`] | the local copy of the counts of one incarnation, and deltas of it |
//! | [`admission`] | which customers of a node get a count of their own when there are too many |
//! | [`members`] | membership: heartbeats, incarnations, suspicion |
//! | [`remote_usage`] | usage at other nodes, as it is passed to the policy |
//! | [`wire`] | datagrams: format, limits, authenticator |
//! | [`node`] | the state machine: datagrams and the time in, datagrams out |
//! | [`status`] | the status for operators |
//!
//! Nothing here reads a clock or a socket. Times are milliseconds on the caller's monotonic clock.
//! Clocks of different nodes are not compared, and the date serves only to number the incarnations
//! of a node.

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

/// The key of the hash of names; part of the wire format.
const NAME_HASH_KEY: (u64, u64) = (0x6d61_706c_6566_616c, 0x6c63_6f75_6e74_7331);

/// The id of a node: a hash of its name, the same as long as the name is. `maplefall counts dump`
/// prints this type's name and that of [`Life`] and its fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize)]
pub struct DoorId(pub u64);

impl DoorId {
    /// Returns the id of the node with this name; it is the same in every process.
    pub fn of(name: &str) -> DoorId {
        use std::hash::Hasher;
        let mut hash = siphasher::sip::SipHasher24::new_with_keys(NAME_HASH_KEY.0, NAME_HASH_KEY.1);
        hash.write(name.as_bytes());
        DoorId(hash.finish())
    }
}

/// One incarnation of a node: one run of its process. An incarnation is numbered by the date of its
/// start, in milliseconds since 1970, or one above another incarnation that was seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize)]
pub struct Life {
    /// The node.
    pub door: DoorId,
    /// The incarnation number; later incarnations have larger numbers.
    pub incarnation: u64,
}

/// A period of an incarnation's uptime, numbered from its start. Each epoch has counts of its own.
pub type Epoch = u32;

/// Returns the epoch of an uptime in milliseconds.
pub(crate) fn epoch_at(uptime: u64, epoch_length: Millis) -> Epoch {
    (uptime as f64 / epoch_length.max(1.0)) as Epoch
}

/// The id of a quota: of one customer of one plan, made by [`quota`]. [`TAIL`] stands for all
/// customers without a count of their own.
pub type Customer = u64;

/// Bits of the customer number within a quota id.
const CUSTOMER_BITS: u32 = 48;

/// Returns the quota id of a customer of a plan. Both numbers are the same at every node; customer
/// numbers are below 2^48.
pub fn quota(plan: u16, customer: u64) -> Customer {
    u64::from(plan) << CUSTOMER_BITS | customer & ((1 << CUSTOMER_BITS) - 1)
}

/// Returns the plan and the customer of a quota id: the inverse of [`quota`].
pub fn plan_and_customer(quota: Customer) -> (u16, u64) {
    (
        (quota >> CUSTOMER_BITS) as u16,
        quota & ((1 << CUSTOMER_BITS) - 1),
    )
}

/// All customers of a node that have no count of their own, counted together.
pub const TAIL: Customer = u64::MAX;
