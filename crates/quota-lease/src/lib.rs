//! Quota leases: how controllers share out tenants' quotas among proxies, so that each proxy can admit requests without asking anybody
//! (the users' rule QUOTA). Nothing here does I/O; time and messages are inputs, and what to send is returned.
//!
//! Every quota is cut into equal slots, and each slot is owned by at most one controller ([`Slots`], [`OwnedSlots`]). The controller's
//! [`LeaseServer`] leases parts of its slots to proxies, and a proxy's [`LeaseClient`] adds up the leases that it has from all controllers.
//!
//! **Invariant.** Let *outstanding* be an upper bound, kept by a lease server for each tenant, on the sum of the shares (in ppm of the quota)
//! that proxies may spend by its leases. Outstanding never grows beyond the server's limit, which is the sum of the slots it
//! may lease. A lease counts with the highest share granted until
//!
//! - the proxy has acknowledged a grant with a lower share,
//! - a new incarnation of the proxy shows that the one that had the lease has ended, or
//! - the lease has expired.
//!
//! A proxy's lease lasts [`LEASE_DURATION`] from when the proxy *sent* the request. The server counts it for [`LEASE_DURATION`] +
//! [`CLOCK_SKEW`] from when it *answers*, which is later. Therefore, at any moment, the leased shares of all proxies, connected or
//! partitioned, add up to the whole quota at most. A server that has restarted does not know what earlier incarnations have leased:
//! until every such proxy has reported its leases, or all of them have expired, it leases nothing new and only confirms the
//! reported leases within its limit.
//!
//! **Pools.** What a server has not leased of a quota is its own bucket, from which it grants single tokens ([`TokenClient`]); quotas too small
//! for leases to all clients ([`TenantQuota::is_pooled`]) are kept there whole.
//!
//! **Changes of owners.** A server answers only while [`membership_lease_valid`], and a new owner of a slot leases nothing of it for
//! [`TAKEOVER_DELAY`]. The proof is in `docs/design/control-leases.md`.

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

/// The whole of a quota, in parts per million.
pub const FULL_QUOTA_PPM: u32 = 1_000_000;
/// How long a lease lasts after the request that renewed it was sent: 12 s.
pub const LEASE_DURATION: Millis = 12_000.0;
/// By how much longer than [`LEASE_DURATION`] a server counts a lease as outstanding: monotonic clocks of two machines may drift apart by
/// 2%.
pub const CLOCK_SKEW: Millis = 250.0;
/// For how long a server goes on answering after the last moment at which it is known to have been a member that had applied all
/// committed entries: 9 s.
pub const MEMBERSHIP_LEASE: Millis = 9_000.0;
/// How much later than the last contact with a quorum a deposed leader may still have confirmed a member (a leader without a quorum
/// steps down within 1 s), and clock drift.
const CLOCK_MARGIN: Millis = 2_000.0;
/// How long a new owner leases nothing of a slot that another controller may have leased before: by then every lease by the earlier owner
/// has expired.
pub const TAKEOVER_DELAY: Millis = LEASE_DURATION + MEMBERSHIP_LEASE + CLOCK_MARGIN;

/// Whether a lease server may answer proxies. `last_contact` is the latest moment, by its own clock, at which it is known to have been a
/// member that had applied all committed entries.
pub fn membership_lease_valid(now: Millis, last_contact: Millis) -> bool {
    now - last_contact < MEMBERSHIP_LEASE
}
