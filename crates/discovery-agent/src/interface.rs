//! The inputs and outputs of a [`crate::Follower`].

use maplefall_membership::Event;
use maplefall_policy::Millis;
use maplefall_protocol::Members;
use std::net::SocketAddr;

/// How an agent is followed.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The agent's index among the roster's sources.
    pub source: usize,
    /// Whether the agent is local to this process: it answers at once and calls cost nothing. Otherwise it is shared by the fleet, and
    /// calls are delayed by a backoff.
    pub is_local: bool,
    /// How many processes share it; 1 for a local one.
    pub process_count: u32,
    /// The time within which requests to a draining backend have to stop, in milliseconds (the rule on drains).
    pub drain_grace_period: Millis,
    /// The seed of all random draws.
    pub seed: u64,
    /// The addresses at which it may be, the likeliest first; not empty.
    pub addresses: Vec<SocketAddr>,
    /// The list that the process was started with.
    pub initial_list: Option<Members>,
}

/// What a call requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// The complete list.
    CompleteList,
    /// The changes since this version, and a watch on further ones.
    Watch(u64),
}

impl RequestKind {
    /// The path of the request.
    pub fn path(self) -> String {
        match self {
            RequestKind::CompleteList => "/catalog/members".to_owned(),
            RequestKind::Watch(from) => format!("/catalog/members?watch=1&from={from}"),
        }
    }
}

/// Identifies a call; each number is used once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// What happened to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallEvent {
    /// The head of the response was received: status 200.
    ResponseStarted,
    /// A line was received, without its end.
    Line(Vec<u8>),
    /// The call has ended by itself.
    Ended(CallEnd),
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq)]
pub enum CallEnd {
    /// The response was complete.
    Complete,
    /// The connection was refused, was reset, or is not HTTP.
    ConnectionFailed(String),
    /// The response has another status than 200.
    Status(u16),
    /// A line cannot be parsed.
    MalformedLine(String),
}

/// What the caller is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Make a call.
    OpenCall {
        /// Its id.
        call: CallId,
        /// The address of the agent.
        address: SocketAddr,
        /// What it requests.
        request: RequestKind,
    },
    /// Close a call; nothing of it is passed in any more.
    CloseCall(CallId),
    /// Pass this to the roster.
    Event(Event),
    /// Log this.
    Report(Report),
}

/// Something for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Report {
    /// The watch has ended; reported once for an outage.
    WatchEnded(String),
    /// An entry cannot be used.
    EntryRejected {
        /// The backend, as far as it can be read.
        host: String,
        /// Why.
        reason: String,
    },
    /// The agent's list may be older than the applied one: only its stops are applied.
    ListOutdated {
        /// The agent's version.
        version: u64,
        /// The applied version.
        applied: u64,
    },
    /// The list is not older any more and is applied.
    ListTrusted {
        /// Why.
        reason: TrustReason,
        /// Its version.
        version: u64,
    },
}

/// Why a list that seemed to be older is applied.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TrustReason {
    /// Its version is above the applied one.
    CaughtUp,
    /// It has a backend that started after the applied version came.
    NewerInstance,
    /// Its agent was received without a gap for this long, so it has all stops that were reported before.
    ReceivedWithoutGap(Millis),
}

impl std::fmt::Display for Report {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Report::WatchEnded(reason) => write!(f, "watch ended: {reason}"),
            Report::EntryRejected { host, reason } => {
                write!(f, "{host}: passed over: {reason}")
            }
            Report::ListOutdated { version, applied } => {
                write!(
                    f,
                    "its list is of version {version}, and {applied} has been told: only its stops are taken"
                )
            }
            Report::ListTrusted {
                reason: TrustReason::CaughtUp,
                version,
            } => {
                write!(f, "it has caught up with version {version}")
            }
            Report::ListTrusted {
                reason: TrustReason::NewerInstance,
                version,
            } => {
                write!(
                    f,
                    "it counts anew: version {version} names a backend that started since"
                )
            }
            Report::ListTrusted {
                reason: TrustReason::ReceivedWithoutGap(ms),
                version,
            } => {
                write!(
                    f,
                    "it counts anew: heard for {ms:.0} ms, version {version} holds"
                )
            }
        }
    }
}
