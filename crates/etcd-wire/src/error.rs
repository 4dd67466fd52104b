//! Error messages by which etcd's clients identify errors, with their gRPC codes (etcd's
//! `api/v3rpc/rpctypes/error.go`).

/// The requested revision was compacted; `OutOfRange`.
pub const COMPACTED: &str = "etcdserver: mvcc: required revision has been compacted";
/// The requested revision is in the future; `OutOfRange`.
pub const FUTURE: &str = "etcdserver: mvcc: required revision is a future revision";
/// The token is invalid or expired; `Unauthenticated`.
pub const TOKEN: &str = "etcdserver: invalid auth token";
/// Users or roles changed after the token was issued; `InvalidArgument`.
pub const OLD_AUTH: &str = "etcdserver: revision of auth store is old";
/// Authentication is disabled; `FailedPrecondition`.
pub const NOT_ENABLED: &str = "etcdserver: authentication is not enabled";
/// A lease with this id exists; `FailedPrecondition`.
pub const LEASE_EXISTS: &str = "etcdserver: lease already exists";
/// A transaction writes a key twice; `InvalidArgument`.
pub const DUPLICATE: &str = "etcdserver: duplicate key given in txn request";
/// The request has no key; `InvalidArgument`.
pub const EMPTY_KEY: &str = "etcdserver: key is not provided";
/// Unknown user or wrong password; `InvalidArgument`.
pub const PASSWORD: &str = "etcdserver: authentication failed, invalid user ID or password";
/// The user lacks the permission; `PermissionDenied`.
pub const DENIED: &str = "etcdserver: permission denied";
/// The request has no user and needs one; `InvalidArgument`.
pub const NO_USER: &str = "etcdserver: user name is empty";
/// The lease does not exist; `NotFound`.
pub const NO_LEASE: &str = "etcdserver: requested lease not found";
