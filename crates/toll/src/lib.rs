//! Shares of quotas. An exchange of n lends a part of one n-th of every quota to each door ([`Lender`]); a door adds up what
//! it holds of all ([`Purse`]).
//!
//! **The inequality.** For one lender and one tenant, what is *out* never adds up to more than [`Lender`]'s limit: a loan counts as out
//! at its highest value until the door has confirmed a lower one, until a new life of the door shows that the one that held it is over,
//! or until it has run out. A door's loan runs from when the door asked, the lender's from when it answers, which is
//! later. So at any moment, over all doors, living or cut off, what is held adds up to the whole at most.
//! A lender that starts anew does not know what it has lent: until every door that it lent to has come forward, or all has run out, it
//! lends nothing new, and confirms what doors say that they hold.
//!
//! Fractions are parts per million of the whole quota. Nothing here does I/O.

mod lender;
mod purse;

pub use lender::Lender;
pub use purse::Purse;

/// Milliseconds on the caller's steady clock.
pub type Millis = f64;

/// The whole of a quota.
pub const WHOLE: u32 = 1_000_000;
/// How long a loan lasts without news.
pub const LASTS: Millis = 12_000.0;

/// A fraction of a tenant's quota.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Loan {
    /// The tenant.
    #[prost(string, tag = "1")]
    pub tenant: String,
    /// Parts per million.
    #[prost(uint32, tag = "2")]
    pub parts: u32,
}

/// What a tenant asks of a door.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Demand {
    /// The tenant.
    #[prost(string, tag = "1")]
    pub tenant: String,
    /// Requests of late, in thousandths a second.
    #[prost(uint32, tag = "2")]
    pub rate: u32,
    /// Whether requests were turned away of late for lack of it.
    #[prost(bool, tag = "3")]
    pub short: bool,
}

/// A door's word to a lender.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Report {
    /// Number of this report, rising.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The last answer that was taken up.
    #[prost(uint64, tag = "2")]
    pub confirmed: u64,
    /// What is held of this lender: all of it, in the first report on a connection.
    #[prost(message, repeated, tag = "3")]
    pub held: Vec<Loan>,
    /// Whether `held` is told.
    #[prost(bool, tag = "4")]
    pub first: bool,
    /// What each tenant asks of late; tenants that ask nothing are left out.
    #[prost(message, repeated, tag = "5")]
    pub demand: Vec<Demand>,
    /// The door stops, and spends nothing more.
    #[prost(bool, tag = "6")]
    pub last: bool,
}

/// A lender's answer.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Lent {
    /// Number of this answer, rising.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The report that is answered: the loans last from when it was sent.
    #[prost(uint64, tag = "2")]
    pub report: u64,
    /// Loans that have changed since the answer that was confirmed.
    #[prost(message, repeated, tag = "3")]
    pub loans: Vec<Loan>,
    /// Doors that are known: a part of what is lent to nobody in particular falls to each.
    #[prost(uint32, tag = "4")]
    pub doors: u32,
    /// The life of the door that is meant.
    #[prost(uint64, tag = "5")]
    pub life: u64,
}
