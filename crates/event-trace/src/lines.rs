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
    pub memory_ms: Millis,
    /// An answer within this earns its full worth.
    pub aim_ms: Millis,
    /// Worth of one unit.
    pub worth: f64,
    /// Part of the worth that an answer after the aim still earns.
    pub late_worth: f64,
    /// Whether it may pass where its caller cannot be checked.
    #[serde(default)]
    pub unchecked: bool,
}

/// A hard ceiling on what all front doors send on for one customer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ceiling {
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
    pub price: f64,
    /// The hard ceiling, if it has one.
    pub ceiling: Option<Ceiling>,
}

/// The figures of the rules.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// Time after a client's deadline in which a final answer still counts.
    pub answer_slack_ms: Millis,
    /// Time after a drain was told within which new work must stop.
    pub drain_grace_ms: Millis,
    /// Multiple of its present capacity that pushes a cold node over.
    pub overload_factor: f64,
    /// Window over which that multiple is taken.
    pub overload_window_ms: Millis,
    /// Work by which a cold node's budget may be passed by chance, in milliseconds of a warm core.
    pub cold_slack_ms: Millis,
    /// Most attempts of one request.
    pub most_attempts: u32,
    /// What every limit is widened by for the sockets (protocol page: 50 ms).
    pub socket_slack_ms: Millis,
    /// For how long after a credential is revoked its requests may go on: kept verdicts, and checks that are out.
    #[serde(default)]
    pub revoked_ms: Millis,
    /// How long after a source has something to tell it counts as told, whether or not it came (protocol page: 6 s).
    #[serde(default = "told_within_ms")]
    pub told_within_ms: Millis,
    /// Where front doors share counts: by how much of a quota's time use may pass it, beside its burst; 0 where they do not.
    #[serde(default)]
    pub shared_ms: Millis,
}

fn told_within_ms() -> Millis {
    6000.0
}

impl Rules {
    /// The figures of the platform (BRIEF, "The rules in figures"; PROTOCOL, "The rules on sockets"), with what chance may
    /// add to a cold node's budget in milliseconds of a warm core.
    pub fn platform(cold_slack_ms: Millis) -> Rules {
        Rules {
            answer_slack_ms: 8.0,
            drain_grace_ms: 500.0,
            overload_factor: 3.0,
            overload_window_ms: 1500.0,
            cold_slack_ms,
            most_attempts: 3,
            socket_slack_ms: 50.0,
            revoked_ms: 0.0,
            told_within_ms: told_within_ms(),
            shared_ms: 0.0,
        }
    }
}

/// What of a request must go on unchanged (protocol page, "Front doors to backends"): method, target, key and body, as one
/// figure (FNV-1a, each part ended by a byte that none of them holds).
pub fn form(method: &str, target: &str, key: Option<&str>, body: &[u8]) -> u64 {
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
    pub doors: u32,
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
pub enum DoorState {
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
        cold_from: f64,
        /// Time until it is warm, over which its capacity rises evenly.
        cold_ms: Millis,
    },
    /// It finishes what it has.
    Draining,
    /// Its process ended.
    Gone,
    /// It was pushed over while cold, and stays down.
    Fell,
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
pub enum End {
    /// Its 200 was written.
    Served,
    /// A 500 was written: it may have run.
    Error,
    /// A 503 with `Not-Started: 1` was written: it never ran.
    TurnedAway,
    /// The node broke the connection: it may have run.
    Reset,
    /// Something that is no answer was written: it may have run.
    Spoilt,
    /// The front door closed the connection or ended its sending.
    GivenUp,
}

/// Why a client's try has no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Lost {
    /// No connection came up, or it broke before the request was written whole: it was not taken.
    NotTaken,
    /// The connection ended with no byte of an answer.
    Closed,
    /// The connection ended within the answer.
    Cut,
    /// Nothing came within the client's time and the slack.
    Silent,
}

/// One thing seen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "what")]
pub enum Entry {
    /// Something happened to a front door's process.
    Door {
        /// Which.
        door: u32,
        /// What.
        #[serde(flatten)]
        state: DoorState,
    },
    /// A source of the list wrote to a front door, a front door said that it had seen it, or started with it in its list.
    Told {
        /// Which front door.
        door: u32,
        /// Which node.
        node: u32,
        /// What it was told.
        health: Health,
        /// When the node last started; `None` for long ago.
        born: Option<Millis>,
        /// By which source of the list: 0 for its agent, and what it was started with.
        #[serde(default)]
        source: u32,
        /// The version of that source's list; 0 where it is not known. A word of a lower one is older, whenever it comes.
        #[serde(default)]
        version: u64,
    },
    /// A front door's source has this to tell, whether or not it can: it counts as told some seconds later at the latest.
    Due {
        /// Which front door.
        door: u32,
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
    Asked {
        /// The request's id on the wire.
        id: String,
        /// Number of the first try that this one belongs to.
        item: u64,
        /// Tries before this one.
        retry: u32,
        /// Which front door.
        door: u32,
        /// Which of the client's connections.
        link: u64,
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
        form: u64,
    },
    /// The last byte of its answer came.
    Answered {
        /// Which request.
        id: String,
        /// On which connection.
        link: u64,
        /// The status.
        status: u16,
        /// The attempt that a served body names.
        attempt: Option<u64>,
        /// The advice on when to come back.
        retry_after_ms: Option<Millis>,
    },
    /// It has no whole answer.
    Unanswered {
        /// Which request.
        id: String,
        /// Which front door.
        door: u32,
        /// On which connection; 0 where none came up.
        link: u64,
        /// Why.
        why: Lost,
    },
    /// Bytes came on a client's connection on which nothing was asked.
    Surplus {
        /// Which front door.
        door: u32,
        /// On which connection.
        link: u64,
        /// The last request on it.
        id: String,
    },
    /// An attempt came to a node, whole or in part.
    Came {
        /// Its number.
        attempt: u64,
        /// Which node.
        node: u32,
        /// Which front door sent it.
        door: u32,
        /// The request's id on the wire; empty where it broke off before that could be read.
        id: String,
        /// Its key.
        key: Option<String>,
        /// What came of what must be unchanged, as one figure ([`form`]); 0 where it is not whole.
        form: u64,
        /// When its first byte was read.
        first: Millis,
        /// Whether its last byte came.
        whole: bool,
        /// Work that it is, in milliseconds of one warm core.
        work: Millis,
    },
    /// An attempt's effect ran.
    Ran {
        /// Which attempt.
        attempt: u64,
    },
    /// An attempt ended.
    Over {
        /// Which attempt.
        attempt: u64,
        /// How.
        end: End,
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
    Failure {
        /// What it is called.
        name: String,
        /// Whether it begins.
        begins: bool,
    },
    /// What a client that sends what cannot be used was left with.
    Rude {
        /// What it sent.
        kind: String,
        /// The status that it was answered, 0 for a close without a word.
        status: Option<u16>,
        /// Whether it was left with neither an answer nor a close in its time.
        neglected: bool,
    },
    /// What a front door's process used, told when it ends.
    Used {
        /// Which.
        door: u32,
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
        most_ms: Millis,
    },
}

/// One line of a record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// When it was seen.
    pub at: Millis,
    /// What was seen.
    #[serde(flatten)]
    pub entry: Entry,
}

/// A whole record.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// What it begins with.
    pub header: Header,
    /// Its lines, in the order in which they were seen.
    pub lines: Vec<Line>,
}

/// Why a text is no record.
#[derive(Debug, thiserror::Error)]
pub enum NoRecord {
    /// There is no first line.
    #[error("line 1: a header was expected, and the record is empty")]
    Empty,
    /// The form is another.
    #[error("line 1: version {0} was written by another program; this one reads {VERSION}")]
    Version(u32),
    /// A line cannot be read.
    #[error("line {line}: {error}")]
    Line {
        /// Which, from 1.
        line: usize,
        /// Why.
        error: serde_json::Error,
    },
    /// Time goes back.
    #[error("line {0}: its time is before that of the line above")]
    Order(usize),
}

impl Record {
    /// The record as text, one JSON object a line.
    ///
    /// # Errors
    /// Never for records made by a [`Recorder`](crate::Recorder): their figures are finite.
    pub fn to_text(&self) -> Result<String, serde_json::Error> {
        let mut text = serde_json::to_string(&self.header)?;
        text.push('\n');
        for line in &self.lines {
            text.push_str(&serde_json::to_string(line)?);
            text.push('\n');
        }
        Ok(text)
    }

    /// Reads a record back.
    ///
    /// # Errors
    /// The first line that is not what it should be, by its number.
    pub fn from_text(text: &str) -> Result<Record, NoRecord> {
        let mut lines = text.lines();
        let first = lines.next().ok_or(NoRecord::Empty)?;
        let header: Header =
            serde_json::from_str(first).map_err(|error| NoRecord::Line { line: 1, error })?;
        if header.version != VERSION {
            return Err(NoRecord::Version(header.version));
        }
        let mut record = Record {
            header,
            lines: Vec::new(),
        };
        for (at, text) in lines.enumerate() {
            let line: Line = serde_json::from_str(text).map_err(|error| NoRecord::Line {
                line: at + 2,
                error,
            })?;
            if record.lines.last().is_some_and(|last| line.at < last.at) {
                return Err(NoRecord::Order(at + 2));
            }
            record.lines.push(line);
        }
        Ok(record)
    }
}
