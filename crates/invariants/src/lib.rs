//! Checks the platform's rules on the trace of a test run. For each rule it returns whether the run
//! satisfied it, violated it or did not exercise it. No I/O and no clock: the same trace always
//! gives the same result.
//!
//! The rules are specified in the platform's pages (BRIEF "The five rules", WIRE "Invariants",
//! PROTOCOL "The rules on sockets"): 1 [`responses`], 2 [`retries`], 3 [`drains`], 4 [`warm_up`], 5
//! [`rate_limits`]; with authentication of callers 6 [`credentials`]; with counts shared between
//! proxies 7 [`quotas`].

pub mod credentials;
pub mod drain_times;
pub mod drains;
pub mod metrics;
pub mod quotas;
pub mod rate_limits;
pub mod responses;
pub mod retries;
mod rule_result;
mod token_buckets;
pub mod trace_index;
pub mod warm_up;

pub use rule_result::{
    RuleResult, Verdict, Violation, MARGIN_INTERVAL, MAX_VIOLATIONS, ORDERING_TOLERANCE,
};

use maplefall_event_trace::{EventKind, Millis, Trace};
use metrics::Metrics;
use serde::Serialize;
use trace_index::TraceIndex;

/// Maximum lateness of the test servers at the 99th percentile; above it a run is invalid.
pub const MAX_LATENESS_P99: Millis = 15.0;
/// Maximum lateness of a single action of the test servers; above it a run is invalid.
pub const MAX_LATENESS: Millis = 250.0;

/// The result of all rules on a trace, with its metrics.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Evaluation {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the scenario.
    pub seed: u64,
    /// Why the run proves nothing about the proxies; `None` if it is valid.
    #[serde(rename = "void")]
    pub invalid_reason: Option<String>,
    /// Results of the rules, ordered by rule number.
    pub rules: Vec<RuleResult>,
    /// Metrics of the run.
    #[serde(rename = "figures")]
    pub metrics: Metrics,
}

impl Evaluation {
    /// Returns whether any rule was violated.
    pub fn has_violations(&self) -> bool {
        self.rules
            .iter()
            .any(|result| result.verdict == Verdict::Violated)
    }

    /// Returns those of the given rules that the run did not exercise.
    pub fn not_exercised(&self, rules: &[u32]) -> Vec<u32> {
        let not_exercised = self
            .rules
            .iter()
            .filter(|result| result.verdict == Verdict::NotExercised);
        not_exercised
            .map(|result| result.rule)
            .filter(|rule| rules.contains(rule))
            .collect()
    }
}

/// Checks all rules on a trace.
pub fn evaluate(trace: &Trace) -> Evaluation {
    let index = TraceIndex::new(trace);
    Evaluation {
        scenario: trace.header.scenario.clone(),
        seed: trace.header.seed,
        invalid_reason: invalid_reason(trace),
        rules: vec![
            responses::check(&index),
            retries::check(&index),
            drains::check(&index),
            warm_up::check(&index),
            rate_limits::check(&index),
            credentials::check(&index),
            quotas::check(&index),
        ],
        metrics: metrics::measure(&index),
    }
}

/// Returns why a run is invalid: the test servers were late, idle, or did not report their
/// lateness.
fn invalid_reason(trace: &Trace) -> Option<String> {
    let lateness = trace
        .events
        .iter()
        .rev()
        .find_map(|event| match event.kind {
            EventKind::Lateness {
                actions,
                p99_ms,
                max_ms,
                ..
            } => Some((actions, p99_ms, max_ms)),
            _ => None,
        });
    match lateness {
        None => Some("the trace holds no lateness of the test servers".to_owned()),
        Some((0, _, _)) => Some("the test servers performed no action".to_owned()),
        Some((_, p99, _)) if p99 > MAX_LATENESS_P99 => Some(format!(
            "the test servers were late: {p99:.1} ms at the 99th percentile, limit {MAX_LATENESS_P99} ms"
        )),
        Some((_, _, max)) if max > MAX_LATENESS => {
            Some(format!("an action of the test servers was {max:.0} ms late, limit {MAX_LATENESS} ms"))
        }
        Some(_) => None,
    }
}
