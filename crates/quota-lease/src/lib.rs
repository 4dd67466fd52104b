//! Shares of quotas. Every quota is cut into equal slots, each of which one exchange at most may lend ([`Slots`], [`Shares`]);
//! it lends parts of its slots to doors ([`Lender`]); a door adds up what it holds of all ([`Purse`]).
//!
//! **The inequality.** For one lender and one tenant, what is *out* never adds up to more than [`Lender`]'s limit: a loan counts as out
//! at its highest value until the door has confirmed a lower one, until a new life of the door shows that the one that held it is over,
//! or until it has run out. A door's loan runs from when the door asked, the lender's from when it answers, which is
//! later, and [`SKEW`] longer. So at any moment, over all doors, living or cut off, what is held adds up to the whole at most.
//! A lender that starts anew does not know what it has lent: until every door that it lent to has come forward, or all has run out, it
//! lends nothing new, and confirms what doors say that they hold.
//!
//! **Changes of owners.** A lender answers only while [`in_lease`]; whoever takes over a slot lends nothing of it for [`INHERITED`]
//! after it knows. The argument is in `docs/design/control-loans.md`.
//!
//! Fractions are parts per million of the whole quota. Nothing here does I/O.

mod client;
mod server;
mod slots;

pub use client::LeaseClient;
pub use server::{ClientId, LeaseServer};
pub use slots::{OwnedSlots, Slot, SlotEvent, Slots};

/// Milliseconds on the caller's steady clock.
pub type Millis = f64;

/// The whole of a quota.
pub const WHOLE_QUOTA_PPM: u32 = 1_000_000;
/// How long a loan lasts without news.
pub const LEASE_DURATION: Millis = 12_000.0;
/// By how much a lender counts a loan as out beyond [`LASTS`]: steady clocks may run apart by two in a hundred.
pub const CLOCK_SKEW: Millis = 250.0;
/// For how long a lender goes on after the last moment at which it is known to have been a member with all that was agreed.
pub const MEMBERSHIP_LEASE: Millis = 9_000.0;
/// How long after such a moment a leader that has been replaced may still have named it: a leader that hears no majority steps down
/// within one second. The rest is for clocks that run apart.
const CLOCK_MARGIN: Millis = 2_000.0;
/// How long a new owner of a slot lends nothing of it: by then nothing that an earlier owner has lent is out.
pub const TAKEOVER_DELAY: Millis = LEASE_DURATION + MEMBERSHIP_LEASE + CLOCK_MARGIN;

/// Whether a lender may answer doors. `contact` is the latest moment, by its own clock, at which it is known to have been a member
/// that had applied all that was agreed on.
pub fn membership_lease_valid(now: Millis, contact: Millis) -> bool {
    now - contact < MEMBERSHIP_LEASE
}

/// A fraction of a tenant's quota.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Lease {
    /// The tenant.
    #[prost(string, tag = "1")]
    pub tenant: String,
    /// Parts per million.
    #[prost(uint32, tag = "2")]
    pub ppm: u32,
}

/// What a tenant asks of a door.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Demand {
    /// The tenant.
    #[prost(string, tag = "1")]
    pub tenant: String,
    /// Requests of late, in thousandths a second.
    #[prost(uint32, tag = "2")]
    pub milli_rps: u32,
    /// Whether requests were turned away of late for lack of it.
    #[prost(bool, tag = "3")]
    pub starved: bool,
}

/// A door's word to a lender.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct LeaseRequest {
    /// Number of this report, rising.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// The last answer that was taken up.
    #[prost(uint64, tag = "2")]
    pub acknowledged: u64,
    /// What is held of this lender: all of it, in the reports on a connection until one is answered.
    #[prost(message, repeated, tag = "3")]
    pub leases: Vec<Lease>,
    /// Whether `held` is told.
    #[prost(bool, tag = "4")]
    pub full: bool,
    /// What each tenant asks of late; tenants that ask nothing are left out.
    #[prost(message, repeated, tag = "5")]
    pub demand: Vec<Demand>,
    /// The door stops, and spends nothing more.
    #[prost(bool, tag = "6")]
    pub release: bool,
    /// The life of the lender whose answers `confirmed` numbers; nought before the first on a connection.
    #[prost(fixed32, tag = "7")]
    pub server_incarnation: u32,
}

/// A lender's answer.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct LeaseGrant {
    /// Number of this answer, rising over all doors and connections of one life of a lender.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// The report that is answered: the loans last from when it was sent.
    #[prost(uint64, tag = "2")]
    pub request: u64,
    /// Loans that have changed since the answer that was confirmed.
    #[prost(message, repeated, tag = "3")]
    pub leases: Vec<Lease>,
    /// Doors that are known: a part of what is lent to nobody in particular falls to each.
    #[prost(uint32, tag = "4")]
    pub client_count: u32,
    /// The life of the door that is meant.
    #[prost(uint64, tag = "5")]
    pub client_incarnation: u64,
    /// The life of the lender; nought where the report that is answered names it.
    #[prost(fixed32, tag = "6")]
    pub server_incarnation: u32,
}
