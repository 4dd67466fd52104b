//! Paths of the calls (gRPC: `/package.Service/Method`).

/// Reads keys at one revision.
pub const RANGE: &str = "/etcdserverpb.KV/Range";
/// Writes a key.
pub const PUT: &str = "/etcdserverpb.KV/Put";
/// Deletes keys.
pub const DELETE_RANGE: &str = "/etcdserverpb.KV/DeleteRange";
/// Applies several operations at one revision.
pub const TXN: &str = "/etcdserverpb.KV/Txn";
/// Compacts the history.
pub const COMPACT: &str = "/etcdserverpb.KV/Compact";
/// Streams changes.
pub const WATCH: &str = "/etcdserverpb.Watch/Watch";
/// Grants a lease.
pub const LEASE_GRANT: &str = "/etcdserverpb.Lease/LeaseGrant";
/// Revokes a lease.
pub const LEASE_REVOKE: &str = "/etcdserverpb.Lease/LeaseRevoke";
/// Renews leases, a stream.
pub const LEASE_KEEP_ALIVE: &str = "/etcdserverpb.Lease/LeaseKeepAlive";
/// Reads a lease's time to live.
pub const LEASE_TIME_TO_LIVE: &str = "/etcdserverpb.Lease/LeaseTimeToLive";
/// Exchanges user and password for a token.
pub const AUTHENTICATE: &str = "/etcdserverpb.Auth/Authenticate";
/// Reads a member's status; client libraries call it first.
pub const STATUS: &str = "/etcdserverpb.Maintenance/Status";
