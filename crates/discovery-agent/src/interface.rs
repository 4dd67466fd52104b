//! The inputs and outputs of a [`crate::Follower`].

use maplefall_membership::Event;
use maplefall_policy::Millis;
use maplefall_protocol::Members;
use std::net::SocketAddr;

/// The settings of a follower.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The agent's index among the sources of the endpoint list.
    pub source: usize,
    /// Whether the agent is local to this process: it responds at once and calls cost nothing.
    /// Otherwise it is shared by the fleet, and calls are delayed by a backoff.
    pub is_local: bool,
    /// The number of processes that share the agent; 1 for a local one.
    pub process_count: u32,
    /// The grace period of a drain (the rule on drains): the time within which requests to a
    /// draining backend have to stop, in milliseconds.
    pub drain_grace_period: Millis,
    /// The seed of all random draws.
    pub seed: u64,
    /// The possible addresses of the agent, the likeliest first; not empty.
    pub addresses: Vec<SocketAddr>,
    /// The list with which the process was started.
    pub initial_list: Option<Members>,
}

/// The request of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// The complete list.
    CompleteList,
    /// The changes since this version, and a watch for further ones.
    Watch(u64),
}

impl RequestKind {
    /// Returns the path of the request.
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

/// An event of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallEvent {
    /// The head of the response was received, with status 200.
    ResponseStarted,
    /// A line was received; the line end is not included.
    Line(Vec<u8>),
    /// The call has ended, not by [`Output::CloseCall`].
    Ended(CallEnd),
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq)]
pub enum CallEnd {
    /// The response was complete.
    Complete,
    /// The connection was refused or reset, or the response is not HTTP.
    ConnectionFailed(String),
    /// The response has a status other than 200.
    Status(u16),
    /// A line could not be parsed.
    MalformedLine(String),
}

/// An instruction to the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Make a call.
    OpenCall {
        /// The id of the call.
        call: CallId,
        /// The address of the agent.
        address: SocketAddr,
        /// The request.
        request: RequestKind,
    },
    /// Close a call; none of its events are passed in any more.
    CloseCall(CallId),
    /// Pass this event to the endpoint list.
    Event(Event),
    /// Log this report.
    Report(Report),
}

/// A condition to be logged.
#[derive(Clone, Debug, PartialEq)]
pub enum Report {
    /// The watch has ended; reported once per outage.
    WatchEnded(String),
    /// An entry is invalid.
    EntryRejected {
        /// The name of the backend, or a placeholder if it cannot be read.
        host: String,
        /// The reason.
        reason: String,
    },
    /// The agent's list may be older than the applied one: only its stops are applied.
    ListOutdated {
        /// The agent's version.
        version: u64,
        /// The applied version.
        applied: u64,
    },
    /// A list that seemed to be older is applied.
    ListTrusted {
        /// The reason.
        reason: TrustReason,
        /// The version of the list.
        version: u64,
    },
}

/// The reason why a list that seemed to be older is applied.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TrustReason {
    /// Its version is above the applied one.
    CaughtUp,
    /// It has a backend that started after the applied version was received.
    NewerInstance,
    /// Its agent's lines were received without a gap for this long, so it has all stops that were
    /// reported before.
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
                    "the list has version {version}, but {applied} has been applied: only its stops are used"
                )
            }
            Report::ListTrusted {
                reason: TrustReason::CaughtUp,
                version,
            } => {
                write!(f, "the agent has caught up at version {version}")
            }
            Report::ListTrusted {
                reason: TrustReason::NewerInstance,
                version,
            } => {
                write!(
                    f,
                    "versions have restarted: version {version} has a backend that started since"
                )
            }
            Report::ListTrusted {
                reason: TrustReason::ReceivedWithoutGap(ms),
                version,
            } => {
                write!(
                    f,
                    "versions have restarted: received for {ms:.0} ms, version {version} is applied"
                )
            }
        }
    }
}
