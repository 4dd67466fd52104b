//! What passes between the follower and whoever carries out its commands.

use maplefall_etcd_wire::{error, RangeRequest, RangeResponse, WatchCreateRequest, WatchResponse};
use maplefall_membership::Event;
use maplefall_policy::Millis;

/// Number of a connection. What an old one still says is not listened to.
pub type ConnectionId = u64;

/// How a prefix is followed.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Its place among the roster's sources.
    pub source: usize,
    /// How many endpoints there are.
    pub endpoint_count: usize,
    /// Keys are `PREFIX/members/ID`.
    pub prefix: String,
    /// Whether there is a user to sign in.
    pub authenticate: bool,
    /// Keys of one page of a whole reading.
    pub page_size: i64,
    /// A watch that says nothing for half of this is asked how far it is; after all of it, it is lost.
    pub watch_timeout: Millis,
    /// A call that is not answered within this has failed.
    pub call_timeout: Millis,
    /// Shortest and longest pause before another try.
    pub backoff: [Millis; 2],
    /// For the jitter of the pauses.
    pub seed: u64,
    /// Unix time in milliseconds at time 0 here.
    pub unix_start: Millis,
}

impl Settings {
    /// What an operator who names nothing but places gets.
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

/// What is to be done. Whatever comes of it is handed to [`crate::Follower::handle`] under the connection's number.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Open a connection to this endpoint.
    Open {
        /// Its number.
        connection: ConnectionId,
        /// Which endpoint.
        endpoint: usize,
    },
    /// Sign the user in; calls carry the token from then on.
    Authenticate {
        /// Where.
        connection: ConnectionId,
    },
    /// Read keys.
    Range {
        /// Where.
        connection: ConnectionId,
        /// What.
        request: RangeRequest,
    },
    /// Watch keys; once on a connection.
    Watch {
        /// Where.
        connection: ConnectionId,
        /// What.
        request: WatchCreateRequest,
    },
    /// Ask on the stream how far it is.
    RequestProgress {
        /// Where.
        connection: ConnectionId,
    },
    /// Ask what is left of a lease.
    LeaseTimeToLive {
        /// Where.
        connection: ConnectionId,
        /// Which.
        lease: i64,
    },
    /// Drop the connection and all that is out on it.
    Close {
        /// Which.
        connection: ConnectionId,
    },
}

/// What came of a command.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// The connection is open.
    Opened,
    /// The user is signed in.
    Authenticated,
    /// Keys.
    Page(RangeResponse),
    /// Something on the watch.
    WatchResponse(WatchResponse),
    /// What is left of a lease in seconds; -1 if it is gone, `None` if nobody could say.
    LeaseTimeToLive {
        /// Which.
        lease: i64,
        /// Seconds.
        ttl: Option<i64>,
    },
    /// A call, the stream or the connection failed.
    Failed(Failure),
}

/// Why something failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// Nobody answers there, or the answer broke off.
    #[error("{0}")]
    Unavailable(String),
    /// The token is not accepted any more.
    #[error("the token was refused")]
    InvalidToken,
    /// User or password are wrong, or the user may not read the prefix: trying again soon is of no use.
    #[error("not permitted: {0}")]
    PermissionDenied(String),
    /// The revision that was asked for is not kept any more.
    #[error("the revision asked for has been compacted")]
    Compacted,
    /// The answer is longer than is read.
    #[error("an answer longer than is read")]
    TooLarge,
}

impl Failure {
    /// What etcd's own text means (`rpctypes/error.go`), as it stands in a status or as the reason why a watch was ended;
    /// `None` for one that says no more than that it failed.
    pub fn from_message(text: &str) -> Option<Failure> {
        let is = |known: &str| text.contains(known);
        match () {
            () if is(error::TOKEN) || is(error::OLD_AUTH) => Some(Failure::InvalidToken),
            () if is(error::COMPACTED) => Some(Failure::Compacted),
            () if is(error::PASSWORD) || is(error::DENIED) || is(error::NO_USER) => {
                // Of the text only what is known of it: the rest is a peer's.
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

/// What the roster is to hear.
#[derive(Clone, Debug, PartialEq)]
pub struct SourceUpdate {
    /// What.
    pub event: Event,
    /// By how many revisions the member's store was ahead of the oldest change in it.
    pub revisions_behind: i64,
    /// How long ago the oldest change in it was written, in milliseconds, where a value says.
    pub delay: Option<Millis>,
}

/// What comes out.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// For whoever does the I/O.
    Command(Command),
    /// For the roster.
    Update(SourceUpdate),
    /// For people.
    Report(Report),
}

/// Something that people should know; each prints as one line. `endpoint` is its place in the settings.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Report {
    /// The watch is on.
    #[error("watching from revision {from} at endpoint {endpoint}")]
    Watching {
        /// Where.
        endpoint: usize,
        /// From where on.
        from: i64,
    },
    /// All keys were read.
    #[error(
        "read {nodes} nodes at revision {revision} from endpoint {endpoint}; {unreadable} values are unreadable"
    )]
    Read {
        /// Where.
        endpoint: usize,
        /// At which revision.
        revision: i64,
        /// Nodes.
        nodes: usize,
        /// Unreadable values.
        unreadable: usize,
    },
    /// An endpoint fails; told once for each kind of failure until the watch is on again.
    #[error("endpoint {endpoint}: {failure}")]
    Lost {
        /// Which.
        endpoint: usize,
        /// How.
        failure: Failure,
    },
    /// A member answers from before what has been seen: its word is not taken.
    #[error("endpoint {endpoint} is behind: at revision {revision}, {seen} was seen")]
    Behind {
        /// Which.
        endpoint: usize,
        /// Its revision.
        revision: i64,
        /// The one seen.
        seen: i64,
    },
    /// Another cluster answers: all is read anew, and what vanished is doubted by the roster's rules.
    #[error("another cluster answers: {current:x} instead of {previous:x}; reading all anew")]
    ClusterChanged {
        /// Before.
        previous: u64,
        /// Now.
        current: u64,
    },
    /// The history since what was seen is gone.
    #[error(
        "history from revision {requested} is compacted up to {compact_revision}; reading all anew"
    )]
    Compacted {
        /// Wanted from.
        requested: i64,
        /// Kept from; 0 if not told.
        compact_revision: i64,
    },
    /// A key or value that cannot be used; what was said of the node before stands. Told once for each.
    #[error("{key}: {reason}")]
    Unreadable {
        /// The key.
        key: String,
        /// Why.
        reason: String,
    },
    /// Nodes are gone since their lease ran out or was revoked, not by somebody's hand.
    #[error("gone with their lease {lease:x}: {} and {more} more", hosts.join(", "))]
    LeaseEnded {
        /// The lease.
        lease: i64,
        /// The nodes, the first of them.
        hosts: Vec<String>,
        /// How many more there are.
        more: usize,
    },
    /// One answer brought more than is held; all is read anew.
    #[error("an answer of over {0} changes, or too many bytes; reading all anew")]
    TooManyChanges(usize),
}
