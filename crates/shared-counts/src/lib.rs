//! Usage of customers, counted by every front door for itself and told to all others by gossip, with no leader.
//!
//! A door tells what customers have *taken* and what was *returned* when units were settled, as two numbers that only
//! grow, under its own name, its incarnation and an epoch of its own clock. Whoever hears a number keeps the larger one
//! ([`count::Count::join`]), so that loss, repetition and order of datagrams change nothing but how late a number is.
//! Everybody may pass on what it has heard of anybody.
//!
//! | file | job |
//! | --- | --- |
//! | [`settings`] | what an operator may set, and what is wrong with it |
//! | [`count`] | one count and its join |
//! | [`replica`] | what one life of one door has counted, as known here; deltas of it |
//! | [`gate`] | which customers of a door get a count of their own when there are too many |
//! | [`members`] | who takes part, whose news is how old, who is suspected and who is gone |
//! | [`heard`] | what is used elsewhere, as it is handed to the decisions |
//! | [`wire`] | datagrams: form, bounds, authenticator |
//! | [`node`] | the state machine: datagrams and the time in, datagrams out |
//! | [`status`] | what operators are shown |
//!
//! Nothing here reads a clock or a socket. Times are milliseconds on the caller's clock, which never goes back; no two
//! doors' clocks are compared, and the date is used for nothing but to number a door's lives.

#![forbid(unsafe_code)]

pub mod count;
pub mod gate;
pub mod heard;
pub mod members;
pub mod node;
pub mod replica;
pub mod settings;
pub mod status;
pub mod wire;

pub use count::Count;
pub use heard::Fact;
pub use node::{Node, Output};
pub use settings::Settings;

/// Who a door is, for as long as its name stays the same: a hash of the name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize)]
pub struct DoorId(pub u64);

impl DoorId {
    /// The id of the door of this name, the same in every process.
    pub fn of(name: &str) -> DoorId {
        use std::hash::Hasher;
        let mut hash = siphasher::sip::SipHasher24::new_with_keys(
            0x6d61_706c_6566_616c,
            0x6c63_6f75_6e74_7331,
        );
        hash.write(name.as_bytes());
        DoorId(hash.finish())
    }
}

/// One life of one door. Lives are numbered by the date of their start, in milliseconds, or by one more than a life that
/// was heard of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize)]
pub struct Life {
    /// Whose life.
    pub door: DoorId,
    /// Its number: a later life has a larger one.
    pub incarnation: u64,
}

/// A stretch of a life's own time, counted from its start; counts of different epochs are different counts.
pub type Epoch = u32;

/// Whose quota is used: a customer of a plan, made by [`quota`]. [`TAIL`] stands for all that have no count of their own.
pub type Customer = u64;

/// Bits of a customer's own number.
const CUSTOMER_BITS: u32 = 48;

/// The quota of a customer of a plan, by their numbers, which are the same at every door. A customer's number is below 2^48.
pub fn quota(plan: u16, customer: u64) -> Customer {
    u64::from(plan) << CUSTOMER_BITS | customer & ((1 << CUSTOMER_BITS) - 1)
}

/// The plan and the customer whose quota it is.
pub fn whose(quota: Customer) -> (u16, u64) {
    (
        (quota >> CUSTOMER_BITS) as u16,
        quota & ((1 << CUSTOMER_BITS) - 1),
    )
}

/// All customers together that a door has no room to tell one by one.
pub const TAIL: Customer = u64::MAX;
