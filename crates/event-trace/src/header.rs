//! The header of a trace: the scenario, and the classes, plans and limits that the invariants are
//! checked against.
//!
//! The JSON names (`#[serde(rename)]`) are the trace file format: they stay when an identifier is
//! renamed, so that old traces remain readable.

use serde::{Deserialize, Serialize};

/// Version of the trace format; no other version is read.
pub const VERSION: u32 = 1;

/// A time since the trace began or a duration, in milliseconds.
pub type Millis = f64;

/// Whether a request may run more than once (protocol page, "Request classes").
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Running it more than once is harmless.
    Safe,
    /// Nodes deduplicate it by its idempotency key within a time window.
    Keyed,
    /// It must never run twice.
    Unsafe,
}

/// A class of requests, with the properties that the invariants need.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Name on the wire.
    pub name: String,
    /// Whether a request of the class may run more than once.
    pub effect: Effect,
    /// How long nodes deduplicate a key, counted from the first attempt that may have run.
    #[serde(rename = "memory_ms")]
    pub dedup_window_ms: Millis,
    /// Time within which a response earns the full value.
    #[serde(rename = "aim_ms")]
    pub latency_target_ms: Millis,
    /// Value of one unit.
    #[serde(rename = "worth")]
    pub value: f64,
    /// Fraction of the value that a response after the latency target earns.
    #[serde(rename = "late_worth")]
    pub late_value_factor: f64,
    /// Whether a request may be forwarded while its caller cannot be authenticated.
    #[serde(default, rename = "unchecked")]
    pub auth_optional: bool,
}

/// A hard rate limit on what all proxies forward for one customer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RateLimit {
    /// Refill rate of the token bucket, in units per second.
    pub rate: f64,
    /// Capacity of the token bucket, in units; it starts full.
    pub burst: f64,
    /// Units by which the bucket may be overdrawn.
    pub slack: f64,
}

/// A customer's plan, with the properties that the invariants need.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Name on the wire.
    pub name: String,
    /// Refill rate of a customer's quota, in units per second.
    pub rate: f64,
    /// Burst of the quota, in units.
    pub burst: f64,
    /// Factor on the value of the plan's requests.
    #[serde(rename = "price")]
    pub value_factor: f64,
    /// The hard rate limit, if the plan has one.
    #[serde(rename = "ceiling")]
    pub rate_limit: Option<RateLimit>,
}

/// The limits of the rules that the invariants check.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// Time after a client's deadline within which a final response still counts.
    #[serde(rename = "answer_slack_ms")]
    pub response_slack_ms: Millis,
    /// Time after the notification of a drain within which new work must stop.
    pub drain_grace_ms: Millis,
    /// Multiple of a warming node's current capacity above which the node is overloaded.
    pub overload_factor: f64,
    /// Window over which `overload_factor` applies.
    pub overload_window_ms: Millis,
    /// Work in milliseconds of a warm core by which a warming node's budget may be exceeded by
    /// chance.
    #[serde(rename = "cold_slack_ms")]
    pub warmup_slack_ms: Millis,
    /// Maximum attempts of one request.
    #[serde(rename = "most_attempts")]
    pub max_attempts: u32,
    /// Tolerance added to every limit for the sockets (protocol page: 50 ms).
    pub socket_slack_ms: Millis,
    /// How long requests may still be forwarded after their credential was revoked, for cached
    /// decisions and checks in flight.
    #[serde(default, rename = "revoked_ms")]
    pub revocation_grace_ms: Millis,
    /// Time after which a proxy counts as notified of a source's change, delivered or not (protocol
    /// page: 6 s).
    #[serde(default = "default_notification_timeout_ms", rename = "told_within_ms")]
    pub notification_timeout_ms: Millis,
    /// If proxies share counts, the milliseconds of a quota's rate by which use may exceed the
    /// quota in addition to one burst; otherwise 0.
    #[serde(default, rename = "shared_ms")]
    pub sharing_delay_ms: Millis,
}

fn default_notification_timeout_ms() -> Millis {
    6000.0
}

impl Rules {
    /// Returns the limits of the platform (BRIEF, "The rules in figures"; PROTOCOL, "The rules on
    /// sockets"). `warmup_slack_ms` is the work by which a warming node's budget may be exceeded by
    /// chance, in milliseconds of a warm core.
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

/// The first line of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// Format version, [`VERSION`].
    pub version: u32,
    /// Name of the scenario.
    pub scenario: String,
    /// The seed that the script was drawn from.
    pub seed: u64,
    /// Number of proxies.
    #[serde(rename = "doors")]
    pub proxies: u32,
    /// The classes; events refer to them by index.
    pub classes: Vec<Class>,
    /// The plans; events refer to them by index.
    pub plans: Vec<Plan>,
    /// The limits of the rules.
    pub rules: Rules,
}
