//! Types that the gate and its caller exchange.

use crate::key::Key;
use maplefall_policy::{Idempotency, Millis};
use std::rc::Rc;

/// Number of a request, chosen by the gate's caller.
pub type RequestId = u64;
/// Number of a check.
pub type CheckId = u64;

/// How callers are checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of the service's servers.
    pub servers: usize,
    /// Fraction of the time until its deadline that a request may wait for its decision.
    pub share: f64,
    /// Time before the deadline that is reserved for the attempt at a backend; `room_ms` in the
    /// settings file.
    pub reserved_time: Millis,
    /// Timeout of one attempt at one server; `limit_ms` in the settings file.
    pub check_timeout: Millis,
    /// Maximum number of attempts of a check; `tries` in the settings file.
    pub max_attempts: u32,
    /// Maximum number of checks in flight; `most_out` in the settings file.
    pub max_in_flight: usize,
    /// Maximum number of waiting requests; `most_waiting` in the settings file.
    pub max_waiting: usize,
    /// Consecutive failures after which a server is blocked.
    pub failures: u32,
    /// Minimum and maximum time for which a server is blocked; `pause_ms` in the settings file.
    pub backoff: [Millis; 2],
    /// Maximum time for which a pass, and a denial, is cached, whatever the service allows;
    /// `keep_ms` in the settings file.
    pub max_ttl: [Millis; 2],
    /// Maximum bytes of cached verdicts.
    pub cache_bytes: usize,
    /// For each class, whether its requests pass where no verdict can be obtained.
    pub fail_open: Vec<bool>,
    /// Seed for the jitter of backoffs.
    pub seed: u64,
}

/// A setting that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSetting {
    /// The field, by the name that operators know.
    pub field: String,
    /// What was expected of the field's value.
    pub expected: &'static str,
}

impl Settings {
    /// The defaults for an operator who sets nothing but the servers.
    pub fn defaults(servers: usize, classes: usize) -> Settings {
        Settings {
            servers,
            share: 0.5,
            reserved_time: 100.0,
            check_timeout: 1000.0,
            max_attempts: 2,
            max_in_flight: 64,
            max_waiting: 2048,
            failures: 5,
            backoff: [250.0, 5000.0],
            max_ttl: [60_000.0, 2000.0],
            cache_bytes: 1 << 20,
            fail_open: vec![false; classes],
            seed: 0,
        }
    }

    /// All invalid settings. `classes` has the idempotency of each class: a non-idempotent class
    /// cannot be set to fail open.
    pub fn mistakes(&self, classes: &[Idempotency]) -> Vec<InvalidSetting> {
        let mut found = Vec::new();
        let mut require = |valid: bool, field: &str, expected| {
            if !valid {
                found.push(InvalidSetting {
                    field: field.to_owned(),
                    expected,
                });
            }
        };
        require(self.servers > 0, "servers", "at least one");
        require(
            self.share > 0.0 && self.share <= 1.0,
            "share",
            "more than 0 and 1 at most",
        );
        require(
            self.reserved_time >= 0.0 && self.reserved_time.is_finite(),
            "room",
            "0 or more",
        );
        require(
            self.check_timeout >= 1.0 && self.check_timeout.is_finite(),
            "limit",
            "1 or more",
        );
        require(self.max_attempts > 0, "tries", "1 or more");
        require(self.max_in_flight > 0, "most_out", "1 or more");
        require(self.max_waiting > 0, "most_waiting", "1 or more");
        require(self.failures > 0, "failures", "1 or more");
        let [shortest, longest] = self.backoff;
        require(
            shortest >= 1.0 && shortest <= longest && longest.is_finite(),
            "pause",
            "the shortest from 1, then the longest",
        );
        require(
            self.max_ttl.iter().all(|ttl| *ttl >= 0.0),
            "keep",
            "0 or more",
        );
        for (class, idempotency) in classes.iter().enumerate() {
            let fails_open = self.fail_open.get(class).copied().unwrap_or(false);
            let field = format!("fail_open.{class}");
            require(
                !fails_open || *idempotency != Idempotency::NonIdempotent,
                &field,
                "false: a class that must not run twice never fails open",
            );
        }
        found
    }
}

/// The service's decision on a caller. The gate knows its response only by size.
#[derive(Clone, Debug, PartialEq)]
pub struct Verdict<T> {
    /// Whether the caller may pass.
    pub passes: bool,
    /// The response: headers to add to the request, or the whole denial.
    pub response: Rc<T>,
    /// Size of the response in bytes.
    pub bytes: usize,
    /// For how long the service lets the verdict be cached; `None` if the response does not say.
    pub ttl: Option<Millis>,
}

/// Why an attempt of a check failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// A reused connection had been closed while idle, which is no sign of a fault of the server.
    ReusedConnection,
    /// Any failure other than [`ReusedConnection`](Self::ReusedConnection): connection refused or
    /// reset, malformed or too large response, timeout.
    Server,
}

/// Why a request has no verdict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The time for which the request may wait is shorter than the service's average latency.
    TooLittleTime,
    /// No server is available: each is blocked after failures, or being probed.
    NoServer,
    /// The limit of waiting requests is reached.
    TooManyWaiting,
    /// The time for which the request may wait has ended, or no attempt is left.
    CheckFailed,
}

/// The decision on a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision<T> {
    /// The request passes, with these headers of the service.
    Pass(Rc<T>),
    /// The request passes unchecked, because its class fails open.
    PassUnchecked(RejectReason),
    /// The request is denied with the service's response.
    Deny(Rc<T>),
    /// The request is rejected without a verdict.
    Reject(RejectReason),
}

/// An action for the gate's caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Output<T> {
    /// Send this check to a server.
    Check {
        /// The check's number.
        check: CheckId,
        /// Number of the attempt, from 0; results of earlier attempts are ignored.
        attempt: u32,
        /// The key of the check; the gate's caller has the headers of a request with this key.
        key: Key,
        /// Index of the server.
        server: usize,
        /// When the attempt is cancelled.
        deadline: Millis,
    },
    /// A request is decided.
    Decided {
        /// Number of the request.
        request: RequestId,
        /// The decision on the request.
        decision: Decision<T>,
    },
    /// Cancel the attempt in flight of this check: it has timed out.
    Cancel {
        /// The check's number.
        check: CheckId,
    },
}

/// Event counts since the start, for the metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests decided by a cached verdict.
    pub cache_hits: u64,
    /// Requests that joined the pending check of another request.
    pub joined: u64,
    /// Attempts sent to a server.
    pub attempts: u64,
    /// Attempts that failed.
    pub failed_attempts: u64,
    /// Requests that passed unchecked.
    pub unchecked: u64,
    /// Requests rejected without a verdict.
    pub rejected: u64,
}
