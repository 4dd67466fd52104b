//! Types exchanged between the follower and the code that executes its commands.

use maplefall_etcd_wire::{error, RangeRequest, RangeResponse, WatchCreateRequest, WatchResponse};
use maplefall_membership::Event;
use maplefall_policy::Millis;

/// Number of a connection. Inputs of earlier connections are ignored.
pub type ConnectionId = u64;

/// Settings of a follower.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Index of this source among the sources of the membership.
    pub source: usize,
    /// Number of etcd endpoints.
    pub endpoint_count: usize,
    /// Prefix of the keys, which are `PREFIX/members/ID`.
    pub prefix: String,
    /// Whether each connection authenticates before other calls.
    pub authenticate: bool,
    /// Maximum number of keys in a page of a full read.
    pub page_size: i64,
    /// Time without a watch response after which the connection is closed. A progress notification
    /// is requested after half of it.
    pub watch_timeout: Millis,
    /// Time within which a call must get a response.
    pub call_timeout: Millis,
    /// Minimum and maximum backoff between connections, before jitter.
    pub backoff: [Millis; 2],
    /// Seed of the jitter of the backoff.
    pub seed: u64,
    /// Unix time in milliseconds at time 0 of the follower's clock.
    pub unix_start: Millis,
}

impl Settings {
    /// Returns the settings used where an operator sets only endpoints and a prefix.
    pub fn with_defaults(source: usize, endpoints: usize, prefix: &str) -> Settings {
        Settings {
            source,
            endpoint_count: endpoints,
            prefix: prefix.to_owned(),
            authenticate: false,
            page_size: 1000,
            watch_timeout: 6000.0,
            call_timeout: 3000.0,
            backoff: [50.0, 2000.0],
            seed: 0,
            unix_start: 0.0,
        }
    }
}

/// A command to execute. Its results go to [`crate::Follower::handle`] with the number of the
/// connection.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Opens a connection to an endpoint.
    Open {
        /// Number of the connection.
        connection: ConnectionId,
        /// Index of the endpoint.
        endpoint: usize,
    },
    /// Authenticates the user; later calls carry the token.
    Authenticate {
        /// The connection.
        connection: ConnectionId,
    },
    /// Reads a page of keys.
    Range {
        /// The connection.
        connection: ConnectionId,
        /// The request.
        request: RangeRequest,
    },
    /// Creates a watch; sent once per connection.
    Watch {
        /// The connection.
        connection: ConnectionId,
        /// The request.
        request: WatchCreateRequest,
    },
    /// Requests a progress notification on the watch stream.
    RequestProgress {
        /// The connection.
        connection: ConnectionId,
    },
    /// Reads the remaining time to live of a lease.
    LeaseTimeToLive {
        /// The connection.
        connection: ConnectionId,
        /// Id of the lease.
        lease: i64,
    },
    /// Closes the connection and cancels its calls.
    Close {
        /// The connection.
        connection: ConnectionId,
    },
}

/// A result of a command.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// The connection is open.
    Opened,
    /// The user is authenticated.
    Authenticated,
    /// A page of keys.
    Page(RangeResponse),
    /// A response on the watch stream.
    WatchResponse(WatchResponse),
    /// The remaining time to live of a lease.
    LeaseTimeToLive {
        /// Id of the lease.
        lease: i64,
        /// Remaining seconds; -1 if the lease does not exist, `None` if the call failed.
        ttl: Option<i64>,
    },
    /// A call, the stream or the connection failed.
    Failed(Failure),
}

/// Why a connection, a call or a watch failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// The connection, a call or the watch failed for a reason that no other variant names.
    #[error("{0}")]
    Unavailable(String),
    /// The token is invalid, expired, or older than the last change of users or roles.
    #[error("the token was rejected")]
    InvalidToken,
    /// The user or password is wrong, or the user has no permission to read the prefix. The next
    /// connection waits for the maximum backoff, since an early retry would fail too.
    #[error("not permitted: {0}")]
    PermissionDenied(String),
    /// The requested revision has been compacted.
    #[error("the requested revision has been compacted")]
    Compacted,
    /// The response is longer than the client's message limit.
    #[error("the response exceeds the message size limit")]
    TooLarge,
}

impl Failure {
    /// Classifies an error message of etcd (`rpctypes/error.go`), from a gRPC status or from the
    /// `cancel_reason` of a watch. Returns `None` for messages without a class of their own.
    pub fn from_message(text: &str) -> Option<Failure> {
        let is = |known: &str| text.contains(known);
        match () {
            () if is(error::TOKEN) || is(error::OLD_AUTH) => Some(Failure::InvalidToken),
            () if is(error::COMPACTED) => Some(Failure::Compacted),
            () if is(error::PASSWORD) || is(error::DENIED) || is(error::NO_USER) => {
                // Only the known part of the message is kept; the rest of the text comes from a
                // peer.
                let known = [error::PASSWORD, error::DENIED, error::NO_USER]
                    .into_iter()
                    .find(|known| is(known));
                Some(Failure::PermissionDenied(
                    known.unwrap_or_default().to_owned(),
                ))
            }
            () => None,
        }
    }
}

/// An event for the membership.
#[derive(Clone, Debug, PartialEq)]
pub struct SourceUpdate {
    /// The event.
    pub event: Event,
    /// Difference between the revision of the member's store and the oldest change in the event.
    pub revisions_behind: i64,
    /// Milliseconds since the oldest change in the event was written, if a value has a
    /// `written_ms`.
    pub delay: Option<Millis>,
}

/// An output of the follower.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// A command for the I/O.
    Command(Command),
    /// An event for the membership.
    Update(SourceUpdate),
    /// A message for the log.
    Report(Report),
}

/// A message for operators, printed as one line. `endpoint` is the index of an endpoint in the
/// settings.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Report {
    /// The watch was created.
    #[error("watching from revision {from} at endpoint {endpoint}")]
    Watching {
        /// The endpoint.
        endpoint: usize,
        /// First revision watched.
        from: i64,
    },
    /// A full read is complete.
    #[error(
        "read {nodes} nodes at revision {revision} from endpoint {endpoint}; {unreadable} values are unreadable"
    )]
    Read {
        /// The endpoint.
        endpoint: usize,
        /// Revision of the read.
        revision: i64,
        /// Number of nodes.
        nodes: usize,
        /// Number of invalid values.
        unreadable: usize,
    },
    /// An endpoint failed; reported once per kind of failure until a watch is created.
    #[error("endpoint {endpoint}: {failure}")]
    Lost {
        /// The endpoint.
        endpoint: usize,
        /// The failure.
        failure: Failure,
    },
    /// A member is behind the last revision seen; the next endpoint is tried.
    #[error("endpoint {endpoint} is behind: at revision {revision}, but {seen} was seen")]
    Behind {
        /// The endpoint.
        endpoint: usize,
        /// Revision of the member.
        revision: i64,
        /// The last revision seen.
        seen: i64,
    },
    /// The cluster id has changed: all keys are read again, and the membership suspects missing
    /// nodes by its own rules.
    #[error(
        "another cluster responds: {current:x} instead of {previous:x}; reading all keys again"
    )]
    ClusterChanged {
        /// Cluster id before.
        previous: u64,
        /// Cluster id now.
        current: u64,
    },
    /// The history after the last revision seen has been compacted.
    #[error(
        "history from revision {requested} is compacted up to {compact_revision}; reading all keys again"
    )]
    Compacted {
        /// First revision requested.
        requested: i64,
        /// First revision that can be watched.
        compact_revision: i64,
    },
    /// A key or value is invalid; the previous entry of the node stays. Reported once per key until
    /// the key is valid or deleted.
    #[error("{key}: {reason}")]
    Unreadable {
        /// The key.
        key: String,
        /// The reason.
        reason: String,
    },
    /// Nodes were removed because their lease expired or was revoked, not by a delete.
    #[error("removed with their lease {lease:x}: {} and {more} more", hosts.join(", "))]
    LeaseEnded {
        /// Id of the lease.
        lease: i64,
        /// The first of the nodes.
        hosts: Vec<String>,
        /// Number of further nodes.
        more: usize,
    },
    /// A watch response exceeds the limits; all keys are read again.
    #[error("a watch response of over {0} changes, or too many bytes; reading all keys again")]
    TooManyChanges(usize),
}
