//! What passes between the gate and whoever asks the service.

use crate::key::Key;
use maplefall_policy::{Idempotency, Millis};
use std::rc::Rc;

/// Number of a request, as whoever hands it in counts.
pub type RequestId = u64;
/// Number of a question that is out.
pub type CheckId = u64;

/// How callers are checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Servers of the service.
    pub servers: usize,
    /// Part of the time until its deadline that a request may wait for its verdict.
    pub share: f64,
    /// Time before the deadline that an attempt needs.
    pub reserved_time: Millis,
    /// Longest wait of one question at one server.
    pub check_timeout: Millis,
    /// Servers that a question is put to at most.
    pub max_attempts: u32,
    /// Questions out at once.
    pub max_in_flight: usize,
    /// Requests that wait at once.
    pub max_waiting: usize,
    /// Failures in a row after which a server is left alone.
    pub failures: u32,
    /// Shortest and longest pause before it is tried again.
    pub backoff: [Millis; 2],
    /// Longest time for which a pass is kept, whatever the service allows; and a denial.
    pub max_ttl: [Millis; 2],
    /// Bytes of kept verdicts.
    pub cache_bytes: usize,
    /// For each class, whether it passes where the service cannot be asked.
    pub fail_open: Vec<bool>,
    /// For the jitter of pauses.
    pub seed: u64,
}

/// Why settings cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSetting {
    /// The field.
    pub field: String,
    /// What was expected.
    pub expected: &'static str,
}

impl Settings {
    /// What an operator who names nothing but servers gets.
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

    /// Every mistake, for classes of these effects.
    pub fn mistakes(&self, classes: &[Idempotency]) -> Vec<InvalidSetting> {
        let mut found = Vec::new();
        let mut least = |held: bool, field: &str, expected| {
            if !held {
                found.push(InvalidSetting {
                    field: field.to_owned(),
                    expected,
                });
            }
        };
        least(self.servers > 0, "servers", "at least one");
        least(
            self.share > 0.0 && self.share <= 1.0,
            "share",
            "more than 0 and 1 at most",
        );
        least(
            self.reserved_time >= 0.0 && self.reserved_time.is_finite(),
            "room",
            "0 or more",
        );
        least(
            self.check_timeout >= 1.0 && self.check_timeout.is_finite(),
            "limit",
            "1 or more",
        );
        least(self.max_attempts > 0, "tries", "1 or more");
        least(self.max_in_flight > 0, "most_out", "1 or more");
        least(self.max_waiting > 0, "most_waiting", "1 or more");
        least(self.failures > 0, "failures", "1 or more");
        let [shortest, longest] = self.backoff;
        least(
            shortest >= 1.0 && shortest <= longest && longest.is_finite(),
            "pause",
            "the shortest from 1, then the longest",
        );
        least(
            self.max_ttl.iter().all(|ttl| *ttl >= 0.0),
            "keep",
            "0 or more",
        );
        for (at, idempotency) in classes.iter().enumerate() {
            let open = self.fail_open.get(at).copied().unwrap_or(false);
            let field = format!("fail_open.{at}");
            least(
                !open || *idempotency != Idempotency::NonIdempotent,
                &field,
                "false: a class that must not run twice never fails open",
            );
        }
        found
    }
}

/// What the service said of a caller. What its headers and body mean is the carrier's affair; here they have a size.
#[derive(Clone, Debug, PartialEq)]
pub struct Verdict<T> {
    /// Whether the caller may pass.
    pub passes: bool,
    /// The answer that goes with it: headers to add, or the whole denial.
    pub response: Rc<T>,
    /// Its size in bytes.
    pub bytes: usize,
    /// For how long the service lets it be kept; `None` if it does not say.
    pub ttl: Option<Millis>,
}

/// Why a check failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// A kept connection had died while idle: that says nothing of the server.
    ReusedConnection,
    /// Anything else: refused, reset, spoilt, too large, too late.
    Server,
}

/// Why a request is refused without a verdict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// There is not the time that the service usually takes.
    NoTime,
    /// No server is worth asking now.
    NoServer,
    /// Too many wait.
    Full,
    /// Its budget is over, or no server is left to ask.
    CheckFailed,
}

/// What becomes of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision<T> {
    /// It goes on.
    Pass(Rc<T>),
    /// It goes on unchecked, by the operator's explicit word.
    PassUnchecked(RejectReason),
    /// The service's own answer is its answer.
    Deny(Rc<T>),
    /// It is refused.
    Reject(RejectReason),
}

/// What comes out.
#[derive(Clone, Debug, PartialEq)]
pub enum Output<T> {
    /// Put this question to a server.
    Check {
        /// The question's number.
        check: CheckId,
        /// Which try of it, from 0: what comes of an earlier one is not listened to.
        attempt: u32,
        /// What is asked; the carrier has the request whose headers are sent.
        key: Key,
        /// Which server.
        server: usize,
        /// When it is given up.
        deadline: Millis,
    },
    /// A request is decided.
    Decided {
        /// Which.
        request: RequestId,
        /// How.
        decision: Decision<T>,
    },
    /// Nobody waits for this question any more, and its time is over.
    Cancel {
        /// Which.
        check: CheckId,
    },
}

/// What has happened so far, for the metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests decided by a kept verdict.
    pub cache_hits: u64,
    /// Requests that waited for a question of another.
    pub joined: u64,
    /// Questions put to a server, each try.
    pub attempts: u64,
    /// Tries that failed.
    pub failed_attempts: u64,
    /// Requests that passed unchecked.
    pub unchecked: u64,
    /// Requests refused without a verdict.
    pub rejected: u64,
}
