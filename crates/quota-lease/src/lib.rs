//! Quota leases: controllers distribute tenants' quotas among proxies, so that each proxy can admit
//! requests without a call to a controller and all proxies together stay within each quota
//! (requirement QUOTA). The crate does no I/O: time and messages are inputs, and messages to send
//! are returned.
//!
//! Every quota is divided into equal slots, and each slot is owned by at most one controller
//! ([`Slots`], [`OwnedSlots`]). The controller's [`LeaseServer`] leases shares of its slots to
//! proxies, and a proxy's [`LeaseClient`] adds up its leases from all controllers.
//!
//! **Invariant.** For each tenant, a lease server maintains *outstanding*, an upper bound on the
//! sum of the shares (in ppm of the quota) that proxies may spend by its leases. Outstanding never
//! grows beyond the server's limit, which is the sum of the slots that it may lease. A lease counts
//! with the highest share granted until
//!
//! - the proxy has acknowledged a grant with a lower share,
//! - a new incarnation of the proxy shows that the one with the lease has ended, or
//! - the lease has expired.
//!
//! A proxy's lease lasts [`LEASE_DURATION`] from when the proxy *sent* the request. The server
//! counts the lease for [`LEASE_DURATION`] + [`CLOCK_SKEW`] from when it *handles* the request,
//! which is later. Therefore, at any moment, the leased shares of all proxies, connected or
//! partitioned, add up to at most the full quota. A server that has restarted does not know the
//! leases by its earlier incarnations: until every proxy with such leases has reported them, or all
//! of them have expired, the server grants nothing new and only confirms reported leases within its
//! limit.
//!
//! **Pools.** The share of a quota that a server has not leased is in a token bucket of the server,
//! from which it grants single tokens ([`TokenClient`]). Quotas too small for leases to all clients
//! ([`TenantQuota::is_pooled`]) stay in that bucket entirely.
//!
//! **Changes of owners.** A server handles requests only while [`membership_lease_valid`], and a
//! new owner of a slot leases nothing of it for [`TAKEOVER_DELAY`]. The proof is in
//! `docs/design/control-leases.md`.

mod client;
mod messages;
mod owned_slots;
mod pacer;
mod server;
mod slots;
mod tenant_quota;
mod token_client;

pub use client::{GrantEffect, LeaseClient};
pub use messages::{
    Demand, GrantedTokens, Lease, LeaseGrant, LeaseRequest, TokenCount, TokenGrant, TokenRequest,
};
pub use owned_slots::{OwnedSlots, SlotEvent};
pub use pacer::Pacer;
pub use server::{ClientId, LeaseServer};
pub use slots::{Slot, Slots};
pub use tenant_quota::{token_lifetime, TenantQuota};
pub use token_client::{TokenClient, TokenStatus};

/// Milliseconds on the caller's monotonic clock.
pub type Millis = f64;

/// The full quota, in parts per million.
pub const FULL_QUOTA_PPM: u32 = 1_000_000;
/// Duration of a lease, from when the request that renewed it was sent: 12 s.
pub const LEASE_DURATION: Millis = 12_000.0;
/// How much longer than [`LEASE_DURATION`] a server counts a lease as outstanding: monotonic clocks
/// of two hosts may drift apart by 2%.
pub const CLOCK_SKEW: Millis = 250.0;
/// How long a server continues to handle requests after the last moment at which it is known to
/// have been a member that had applied all committed entries: 9 s.
pub const MEMBERSHIP_LEASE: Millis = 9_000.0;
/// How long after its last quorum contact a deposed leader may still have confirmed the membership
/// of a controller (a leader without a quorum steps down within 1 s), plus clock drift.
const CLOCK_MARGIN: Millis = 2_000.0;
/// How long a new owner leases nothing of a slot that another controller may have leased before:
/// afterwards every lease by the previous owner has expired.
pub const TAKEOVER_DELAY: Millis = LEASE_DURATION + MEMBERSHIP_LEASE + CLOCK_MARGIN;

/// Whether a lease server may handle requests of proxies. `last_contact` is the latest moment, by
/// the server's clock, at which it is known to have been a member that had applied all committed
/// entries.
pub fn membership_lease_valid(now: Millis, last_contact: Millis) -> bool {
    now - last_contact < MEMBERSHIP_LEASE
}
