//! The lines of a record, its header, and both as text.

use serde::{Deserialize, Serialize};

/// Version of the form of a record; another one is not read.
pub const VERSION: u32 = 1;

/// A point in time since the record began, or a span, in milliseconds.
pub type Millis = f64;

/// Whether a request may run more than once (protocol page, "Request classes").
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Repeating it is harmless.
    Safe,
    /// All nodes drop a repeat of its key for a time.
    Keyed,
    /// It must never run twice.
    Unsafe,
}

/// A class of requests as the judge needs it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Its name on the wire.
    pub name: String,
    /// Whether it may run again.
    pub effect: Effect,
    /// For how long a repeat of its key is dropped, from the first attempt that may have run.
    #[serde(rename = "memory_ms")]
    pub dedup_window_ms: Millis,
    /// An answer within this earns its full worth.
    #[serde(rename = "aim_ms")]
    pub latency_target_ms: Millis,
    /// Worth of one unit.
    #[serde(rename = "worth")]
    pub value: f64,
    /// Part of the worth that an answer after the aim still earns.
    #[serde(rename = "late_worth")]
    pub late_value_factor: f64,
    /// Whether it may pass where its caller cannot be checked.
    #[serde(default, rename = "unchecked")]
    pub auth_optional: bool,
}

/// A hard ceiling on what all front doors send on for one customer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RateLimit {
    /// Units a second that refill it.
    pub rate: f64,
    /// Units that it holds at most, and at the start.
    pub burst: f64,
    /// Units by which it may be overdrawn.
    pub slack: f64,
}

/// A plan as the judge needs it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Its name on the wire.
    pub name: String,
    /// Units a second of a customer's quota.
    pub rate: f64,
    /// Units that may be used at once.
    pub burst: f64,
    /// Factor on the worth.
    #[serde(rename = "price")]
    pub value_factor: f64,
    /// The hard ceiling, if it has one.
    #[serde(rename = "ceiling")]
    pub rate_limit: Option<RateLimit>,
}

/// The figures of the rules.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// Time after a client's deadline in which a final answer still counts.
    #[serde(rename = "answer_slack_ms")]
    pub response_slack_ms: Millis,
    /// Time after a drain was told within which new work must stop.
    pub drain_grace_ms: Millis,
    /// Multiple of its present capacity that pushes a cold node over.
    pub overload_factor: f64,
    /// Window over which that multiple is taken.
    pub overload_window_ms: Millis,
    /// Work by which a cold node's budget may be passed by chance, in milliseconds of a warm core.
    #[serde(rename = "cold_slack_ms")]
    pub warmup_slack_ms: Millis,
    /// Most attempts of one request.
    #[serde(rename = "most_attempts")]
    pub max_attempts: u32,
    /// What every limit is widened by for the sockets (protocol page: 50 ms).
    pub socket_slack_ms: Millis,
    /// For how long after a credential is revoked its requests may go on: kept verdicts, and checks that are out.
    #[serde(default, rename = "revoked_ms")]
    pub revocation_grace_ms: Millis,
    /// How long after a source has something to tell it counts as told, whether or not it came (protocol page: 6 s).
    #[serde(default = "default_notification_timeout_ms", rename = "told_within_ms")]
    pub notification_timeout_ms: Millis,
    /// Where front doors share counts: by how much of a quota's time use may pass it, beside its burst; 0 where they do not.
    #[serde(default, rename = "shared_ms")]
    pub sharing_delay_ms: Millis,
}

fn default_notification_timeout_ms() -> Millis {
    6000.0
}

impl Rules {
    /// The figures of the platform (BRIEF, "The rules in figures"; PROTOCOL, "The rules on sockets"), with what chance may
    /// add to a cold node's budget in milliseconds of a warm core.
    pub fn platform(warmup_slack_ms: Millis) -> Rules {
        Rules {
            response_slack_ms: 8.0,
            drain_grace_ms: 500.0,
            overload_factor: 3.0,
            overload_window_ms: 1500.0,
            warmup_slack_ms,
            max_attempts: 3,
            socket_slack_ms: 50.0,
            revocation_grace_ms: 0.0,
            notification_timeout_ms: default_notification_timeout_ms(),
            sharing_delay_ms: 0.0,
        }
    }
}

/// What of a request must go on unchanged (protocol page, "Front doors to backends"): method, target, key and body, as one
/// figure (FNV-1a, each part ended by a byte that none of them holds).
pub fn request_fingerprint(method: &str, target: &str, key: Option<&str>, body: &[u8]) -> u64 {
    let parts = [
        method.as_bytes(),
        target.as_bytes(),
        key.unwrap_or_default().as_bytes(),
        body,
    ];
    let bytes = parts
        .into_iter()
        .flat_map(|part| part.iter().copied().chain([0xff]));
    bytes.fold(0xcbf2_9ce4_8422_2325, |h, byte| {
        (h ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// What a record begins with.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// [`VERSION`].
    pub version: u32,
    /// Name of the scenario.
    pub scenario: String,
    /// The seed that its script was drawn from.
    pub seed: u64,
    /// Front doors.
    #[serde(rename = "doors")]
    pub proxies: u32,
    /// The classes, by number.
    pub classes: Vec<Class>,
    /// The plans, by number.
    pub plans: Vec<Plan>,
    /// The figures of the rules.
    pub rules: Rules,
}

/// State of a front door's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum ProxyState {
    /// The process was started.
    Started,
    /// It answered its readiness check.
    Ready,
    /// It was killed on purpose.
    Killed,
    /// It was told to stop.
    Terminated,
    /// It was told to read its configuration again.
    Reloaded,
    /// It ended, after it was told to or by itself.
    Ended {
        /// Its exit code; `None` if a signal ended it.
        code: Option<i32>,
    },
}

/// State of an api node.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum NodeState {
    /// Its process started.
    Up {
        /// Its cores, each doing one millisecond of work in a millisecond when warm.
        cores: f64,
        /// Part of its capacity that it starts with; 1 for a warm one.
        #[serde(rename = "cold_from")]
        initial_capacity: f64,
        /// Time until it is warm, over which its capacity rises evenly.
        #[serde(rename = "cold_ms")]
        warmup_ms: Millis,
    },
    /// It finishes what it has.
    Draining,
    /// Its process ended.
    #[serde(rename = "gone")]
    Stopped,
    /// It was pushed over while cold, and stays down.
    #[serde(rename = "fell")]
    Overloaded,
}

/// What a front door was told of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// May be sent to.
    Up,
    /// Finishes its work.
    Draining,
    /// Is gone.
    Removed,
}

/// How an attempt ended at a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptEnd {
    /// Its 200 was written.
    Served,
    /// A 500 was written: it may have run.
    Error,
    /// A 503 with `Not-Started: 1` was written: it never ran.
    #[serde(rename = "turned_away")]
    Rejected,
    /// The node broke the connection: it may have run.
    Reset,
    /// Something that is no answer was written: it may have run.
    #[serde(rename = "spoilt")]
    Malformed,
    /// The front door closed the connection or ended its sending.
    #[serde(rename = "given_up")]
    Cancelled,
}

/// Why a client's try has no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureReason {
    /// No connection came up, or it broke before the request was written whole: it was not taken.
    #[serde(rename = "not_taken")]
    NotAccepted,
    /// The connection ended with no byte of an answer.
    Closed,
    /// The connection ended within the answer.
    #[serde(rename = "cut")]
    Truncated,
    /// Nothing came within the client's time and the slack.
    #[serde(rename = "silent")]
    TimedOut,
}

/// One thing seen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "what")]
pub enum EventKind {
    /// Something happened to a front door's process.
    #[serde(rename = "door")]
    Proxy {
        /// Which.
        #[serde(rename = "door")]
        proxy: u32,
        /// What.
        #[serde(flatten)]
        state: ProxyState,
    },
    /// A source of the list wrote to a front door, a front door said that it had seen it, or started with it in its list.
    #[serde(rename = "told")]
    NodeUpdate {
        /// Which front door.
        #[serde(rename = "door")]
        proxy: u32,
        /// Which node.
        node: u32,
        /// What it was told.
        health: Health,
        /// When the node last started; `None` for long ago.
        #[serde(rename = "born")]
        started_at: Option<Millis>,
        /// By which source of the list: 0 for its agent, and what it was started with.
        #[serde(default)]
        source: u32,
        /// The version of that source's list; 0 where it is not known. A word of a lower one is older, whenever it comes.
        #[serde(default)]
        version: u64,
    },
    /// A front door's source has this to tell, whether or not it can: it counts as told some seconds later at the latest.
    #[serde(rename = "due")]
    NodeUpdateDue {
        /// Which front door.
        #[serde(rename = "door")]
        proxy: u32,
        /// Which node.
        node: u32,
        /// What there is to tell.
        health: Health,
        /// The version of the list.
        version: u64,
    },
    /// A change of a node's state was committed to a store that front doors watch, before any was told.
    Committed {
        /// Which node.
        node: u32,
        /// Its state from then on.
        health: Health,
    },
    /// Whether a customer's credential passes from now on, where callers are checked; one that nothing is said of does.
    Credential {
        /// Whose.
        customer: u64,
        /// Whether it passes.
        passes: bool,
    },
    /// The last byte of a client's request was written.
    #[serde(rename = "asked")]
    RequestSent {
        /// The request's id on the wire.
        id: String,
        /// Number of the first try that this one belongs to.
        #[serde(rename = "item")]
        original_request: u64,
        /// Tries before this one.
        retry: u32,
        /// Which front door.
        #[serde(rename = "door")]
        proxy: u32,
        /// Which of the client's connections.
        #[serde(rename = "link")]
        connection: u64,
        /// Whose request.
        customer: u64,
        /// Its plan, by number.
        plan: usize,
        /// Its class, by number.
        class: usize,
        /// Units that it counts.
        units: f64,
        /// When the client stops waiting.
        deadline: Millis,
        /// What it sent that must come to a node unchanged, as one figure ([`form`]).
        #[serde(rename = "form")]
        fingerprint: u64,
    },
    /// The last byte of its answer came.
    #[serde(rename = "answered")]
    ResponseReceived {
        /// Which request.
        id: String,
        /// On which connection.
        #[serde(rename = "link")]
        connection: u64,
        /// The status.
        status: u16,
        /// The attempt that a served body names.
        attempt: Option<u64>,
        /// The advice on when to come back.
        retry_after_ms: Option<Millis>,
    },
    /// It has no whole answer.
    #[serde(rename = "unanswered")]
    RequestFailed {
        /// Which request.
        id: String,
        /// Which front door.
        #[serde(rename = "door")]
        proxy: u32,
        /// On which connection; 0 where none came up.
        #[serde(rename = "link")]
        connection: u64,
        /// Why.
        #[serde(rename = "why")]
        reason: FailureReason,
    },
    /// Bytes came on a client's connection on which nothing was asked.
    #[serde(rename = "surplus")]
    UnexpectedBytes {
        /// Which front door.
        #[serde(rename = "door")]
        proxy: u32,
        /// On which connection.
        #[serde(rename = "link")]
        connection: u64,
        /// The last request on it.
        id: String,
    },
    /// An attempt came to a node, whole or in part.
    #[serde(rename = "came")]
    AttemptReceived {
        /// Its number.
        attempt: u64,
        /// Which node.
        node: u32,
        /// Which front door sent it.
        #[serde(rename = "door")]
        proxy: u32,
        /// The request's id on the wire; empty where it broke off before that could be read.
        id: String,
        /// Its key.
        key: Option<String>,
        /// What came of what must be unchanged, as one figure ([`form`]); 0 where it is not whole.
        #[serde(rename = "form")]
        fingerprint: u64,
        /// When its first byte was read.
        #[serde(rename = "first")]
        first_byte_at: Millis,
        /// Whether its last byte came.
        #[serde(rename = "whole")]
        complete: bool,
        /// Work that it is, in milliseconds of one warm core.
        work: Millis,
    },
    /// An attempt's effect ran.
    #[serde(rename = "ran")]
    EffectApplied {
        /// Which attempt.
        attempt: u64,
    },
    /// An attempt ended.
    #[serde(rename = "over")]
    AttemptEnded {
        /// Which attempt.
        attempt: u64,
        /// How.
        end: AttemptEnd,
    },
    /// Something happened to a node.
    Node {
        /// Which.
        node: u32,
        /// What.
        #[serde(flatten)]
        state: NodeState,
    },
    /// A failure by script begins or ends.
    #[serde(rename = "failure")]
    Fault {
        /// What it is called.
        name: String,
        /// Whether it begins.
        #[serde(rename = "begins")]
        is_start: bool,
    },
    /// What a client that sends what cannot be used was left with.
    #[serde(rename = "rude")]
    MalformedClient {
        /// What it sent.
        kind: String,
        /// The status that it was answered, 0 for a close without a word.
        status: Option<u16>,
        /// Whether it was left with neither an answer nor a close in its time.
        neglected: bool,
    },
    /// What a front door's process used, told when it ends.
    #[serde(rename = "used")]
    ResourceUsage {
        /// Which.
        #[serde(rename = "door")]
        proxy: u32,
        /// Processor time.
        cpu_ms: Millis,
        /// Largest resident memory seen, in KiB.
        memory_kib: u64,
    },
    /// How late the stand-ins themselves were, told at the end.
    Lateness {
        /// Actions that were due at a time.
        actions: u64,
        /// How late, at the median.
        p50_ms: Millis,
        /// How late, at the 99th percentile.
        p99_ms: Millis,
        /// How late at most.
        #[serde(rename = "most_ms")]
        max_ms: Millis,
    },
}

/// One line of a record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// When it was seen.
    pub at: Millis,
    /// What was seen.
    #[serde(flatten)]
    pub kind: EventKind,
}

/// A whole record.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// What it begins with.
    pub header: Header,
    /// Its lines, in the order in which they were seen.
    pub events: Vec<Event>,
}

/// Why a text is no record.
#[derive(Debug, thiserror::Error)]
pub enum TraceError {
    /// There is no first line.
    #[error("line 1: a header was expected, and the record is empty")]
    Empty,
    /// The form is another.
    #[error("line 1: version {0} was written by another program; this one reads {VERSION}")]
    Version(u32),
    /// A line cannot be read.
    #[error("line {line}: {error}")]
    Event {
        /// Which, from 1.
        line: usize,
        /// Why.
        error: serde_json::Error,
    },
    /// Time goes back.
    #[error("line {0}: its time is before that of the line above")]
    Order(usize),
}

impl Trace {
    /// The record as text, one JSON object a line.
    ///
    /// # Errors
    /// Never for records made by a [`Recorder`](crate::Recorder): their figures are finite.
    pub fn to_text(&self) -> Result<String, serde_json::Error> {
        let mut text = serde_json::to_string(&self.header)?;
        text.push('\n');
        for line in &self.events {
            text.push_str(&serde_json::to_string(line)?);
            text.push('\n');
        }
        Ok(text)
    }

    /// Reads a record back.
    ///
    /// # Errors
    /// The first line that is not what it should be, by its number.
    pub fn from_text(text: &str) -> Result<Trace, TraceError> {
        let mut lines = text.lines();
        let first = lines.next().ok_or(TraceError::Empty)?;
        let header: Header =
            serde_json::from_str(first).map_err(|error| TraceError::Event { line: 1, error })?;
        if header.version != VERSION {
            return Err(TraceError::Version(header.version));
        }
        let mut record = Trace {
            header,
            events: Vec::new(),
        };
        for (at, text) in lines.enumerate() {
            let line: Event = serde_json::from_str(text).map_err(|error| TraceError::Event {
                line: at + 2,
                error,
            })?;
            if record.events.last().is_some_and(|last| line.at < last.at) {
                return Err(TraceError::Order(at + 2));
            }
            record.events.push(line);
        }
        Ok(record)
    }
}
