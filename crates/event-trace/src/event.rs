//! Observations of a test run: one [`Event`] per observation of a client, a node, the discovery
//! agent or the test driver.
//!
//! The JSON names (`#[serde(rename)]`) are the trace file format: they stay when an identifier is
//! renamed, so that old traces remain readable.

use crate::header::Millis;
use serde::{Deserialize, Serialize};

/// A change of the state of a proxy's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum ProxyState {
    /// The process was started.
    Started,
    /// The process passed its readiness check.
    Ready,
    /// The process was killed on purpose.
    Killed,
    /// The process was sent the signal to shut down.
    Terminated,
    /// The process was sent the signal to reload its configuration.
    Reloaded,
    /// The process exited, on a signal or by itself.
    Ended {
        /// Exit code; `None` if a signal ended the process.
        code: Option<i32>,
    },
}

/// State of a backend node.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum NodeState {
    /// The node's process started.
    Up {
        /// Number of cores; a warm core does one millisecond of work per millisecond.
        cores: f64,
        /// Fraction of the full capacity at the start; 1 for a warm node.
        #[serde(rename = "cold_from")]
        initial_capacity: f64,
        /// Duration of the warm-up, over which the capacity rises linearly.
        #[serde(rename = "cold_ms")]
        warmup_ms: Millis,
    },
    /// The node accepts no new work and finishes requests in flight.
    Draining,
    /// The node's process ended.
    #[serde(rename = "gone")]
    Stopped,
    /// The node was overloaded while warming up, and stays down.
    #[serde(rename = "fell")]
    Overloaded,
}

/// State of a node as a proxy was notified of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// Requests may be sent to the node.
    Up,
    /// The node finishes its work; nothing new may be sent to it.
    Draining,
    /// The node is no longer a member.
    Removed,
}

/// How an attempt ended at a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptEnd {
    /// A 200 was written.
    Served,
    /// A 500 was written: the request may have run.
    Error,
    /// A 503 with `Not-Started: 1` was written: the request never ran.
    #[serde(rename = "turned_away")]
    Rejected,
    /// The node reset the connection: the request may have run.
    Reset,
    /// Bytes that are not a valid response were written: the request may have run.
    #[serde(rename = "spoilt")]
    Malformed,
    /// The proxy closed the connection or stopped sending.
    #[serde(rename = "given_up")]
    Cancelled,
}

/// Why a client's request has no complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureReason {
    /// No connection was established, or it broke before the request was written completely.
    #[serde(rename = "not_taken")]
    NotAccepted,
    /// The connection was closed before the first byte of a response.
    Closed,
    /// The connection was closed in the middle of the response.
    #[serde(rename = "cut")]
    Truncated,
    /// No response within the client's deadline and the slack.
    #[serde(rename = "silent")]
    TimedOut,
}

/// What was observed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "what")]
pub enum EventKind {
    /// The state of a proxy's process changed.
    #[serde(rename = "door")]
    Proxy {
        /// Number of the proxy.
        #[serde(rename = "door")]
        proxy: u32,
        /// The new state.
        #[serde(flatten)]
        state: ProxyState,
    },
    /// A proxy was notified of a node's state: a membership source wrote to the proxy, the proxy
    /// reported that it had seen the change, or it started with the node in its list.
    #[serde(rename = "told")]
    NodeUpdate {
        /// Number of the proxy.
        #[serde(rename = "door")]
        proxy: u32,
        /// Number of the node.
        node: u32,
        /// The node's state in the notification.
        health: Health,
        /// When the node last started; `None` if it started before the run.
        #[serde(rename = "born")]
        started_at: Option<Millis>,
        /// Number of the membership source; 0 for the discovery agent and for the list that the
        /// proxy was started with.
        #[serde(default)]
        source: u32,
        /// Version of the source's list; 0 if unknown. A lower version is older, whenever it
        /// arrives.
        #[serde(default)]
        version: u64,
    },
    /// A membership source has a change for a proxy, whether or not it can deliver it. The proxy
    /// counts as notified after
    /// [`Rules::notification_timeout_ms`](crate::Rules::notification_timeout_ms) at the latest.
    #[serde(rename = "due")]
    NodeUpdateDue {
        /// Number of the proxy.
        #[serde(rename = "door")]
        proxy: u32,
        /// Number of the node.
        node: u32,
        /// State that the proxy is to be notified of.
        health: Health,
        /// Version of the source's list.
        version: u64,
    },
    /// A change of a node's state was committed to a store that proxies watch, before any proxy was
    /// notified.
    Committed {
        /// Number of the node.
        node: u32,
        /// The committed state.
        health: Health,
    },
    /// A customer's credential became valid or invalid; a credential without such an event is
    /// valid.
    Credential {
        /// The customer.
        customer: u64,
        /// Whether the credential is valid from this time on.
        passes: bool,
    },
    /// A client wrote the last byte of a request.
    #[serde(rename = "asked")]
    RequestSent {
        /// The request's id on the wire.
        id: String,
        /// Number of the original request that this one retries; its own number if it is no retry.
        #[serde(rename = "item")]
        original_request: u64,
        /// Number of retries by the client before this request.
        retry: u32,
        /// Number of the proxy.
        #[serde(rename = "door")]
        proxy: u32,
        /// Number of the client's connection.
        #[serde(rename = "link")]
        connection: u64,
        /// The customer that sends the request.
        customer: u64,
        /// Index of the customer's plan in the header.
        plan: usize,
        /// Index of the request's class in the header.
        class: usize,
        /// Units that the request takes from the quota.
        units: f64,
        /// When the client stops waiting.
        deadline: Millis,
        /// Fingerprint of the parts that a proxy must forward unchanged
        /// ([`request_fingerprint`](crate::request_fingerprint)).
        #[serde(rename = "form")]
        fingerprint: u64,
    },
    /// A client read the last byte of a response.
    #[serde(rename = "answered")]
    ResponseReceived {
        /// The request's id.
        id: String,
        /// Number of the client's connection.
        #[serde(rename = "link")]
        connection: u64,
        /// The HTTP status.
        status: u16,
        /// Number of the attempt that a served body names.
        attempt: Option<u64>,
        /// Delay from the `Retry-After` header.
        retry_after_ms: Option<Millis>,
    },
    /// A request ended without a complete response.
    #[serde(rename = "unanswered")]
    RequestFailed {
        /// The request's id.
        id: String,
        /// Number of the proxy.
        #[serde(rename = "door")]
        proxy: u32,
        /// Number of the client's connection; 0 if none was established.
        #[serde(rename = "link")]
        connection: u64,
        /// Why there is no complete response.
        #[serde(rename = "why")]
        reason: FailureReason,
    },
    /// Bytes arrived on a client's connection with no request outstanding.
    #[serde(rename = "surplus")]
    UnexpectedBytes {
        /// Number of the proxy.
        #[serde(rename = "door")]
        proxy: u32,
        /// Number of the client's connection.
        #[serde(rename = "link")]
        connection: u64,
        /// Id of the last request on the connection.
        id: String,
    },
    /// An attempt reached a node, completely or in part.
    #[serde(rename = "came")]
    AttemptReceived {
        /// Number of the attempt.
        attempt: u64,
        /// Number of the node.
        node: u32,
        /// Number of the proxy that sent the attempt.
        #[serde(rename = "door")]
        proxy: u32,
        /// The request's id; empty if the attempt was cut off before the id could be read.
        id: String,
        /// The idempotency key.
        key: Option<String>,
        /// Fingerprint of the received request
        /// ([`request_fingerprint`](crate::request_fingerprint)); 0 if incomplete.
        #[serde(rename = "form")]
        fingerprint: u64,
        /// When the node read the first byte.
        #[serde(rename = "first")]
        first_byte_at: Millis,
        /// Whether the last byte arrived.
        #[serde(rename = "whole")]
        complete: bool,
        /// Work that the attempt causes, in milliseconds of one warm core.
        work: Millis,
    },
    /// The effect of an attempt was applied.
    #[serde(rename = "ran")]
    EffectApplied {
        /// Number of the attempt.
        attempt: u64,
    },
    /// An attempt ended.
    #[serde(rename = "over")]
    AttemptEnded {
        /// Number of the attempt.
        attempt: u64,
        /// How the attempt ended.
        end: AttemptEnd,
    },
    /// The state of a node changed.
    Node {
        /// Number of the node.
        node: u32,
        /// The new state.
        #[serde(flatten)]
        state: NodeState,
    },
    /// A scripted fault began or ended.
    #[serde(rename = "failure")]
    Fault {
        /// Name of the fault.
        name: String,
        /// Whether the fault began.
        #[serde(rename = "begins")]
        is_start: bool,
    },
    /// Outcome for a client that sent malformed input.
    #[serde(rename = "rude")]
    MalformedClient {
        /// The kind of malformed input.
        kind: String,
        /// The status of the response; 0 if the connection was closed without one.
        status: Option<u16>,
        /// Whether the client got neither a response nor a close before it stopped waiting.
        neglected: bool,
    },
    /// Resources that a proxy's process used, recorded when the process ends.
    #[serde(rename = "used")]
    ResourceUsage {
        /// Number of the proxy.
        #[serde(rename = "door")]
        proxy: u32,
        /// Processor time.
        cpu_ms: Millis,
        /// Maximum resident memory, in KiB.
        memory_kib: u64,
    },
    /// Lateness of the test servers' actions, recorded at the end of the run.
    Lateness {
        /// Number of scheduled actions.
        actions: u64,
        /// Median lateness.
        p50_ms: Millis,
        /// Lateness at the 99th percentile.
        p99_ms: Millis,
        /// Maximum lateness.
        #[serde(rename = "most_ms")]
        max_ms: Millis,
    },
}

/// One observation with its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// When it was observed.
    pub at: Millis,
    /// What was observed.
    #[serde(flatten)]
    pub kind: EventKind,
}
