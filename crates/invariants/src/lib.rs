//! Checks the platform's rules on the trace of a test run. For each rule it returns whether it was kept, violated or not
//! exercised. No I/O and no clock: the same trace always gives the same result.
//!
//! The rules come from the platform's pages (BRIEF "The five rules", WIRE "Invariants", PROTOCOL "The rules on sockets"):
//! 1 [`responses`], 2 [`retries`], 3 [`drains`], 4 [`warm_up`], 5 [`rate_limits`]; where callers are authenticated
//! 6 [`credentials`]; where proxies share counts 7 [`quotas`].

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

/// Maximum lateness of the test servers at the 99th percentile; beyond it a run is invalid.
pub const MAX_LATENESS_P99: Millis = 15.0;
/// Maximum lateness of a single action; beyond it a run is invalid.
pub const MAX_LATENESS: Millis = 250.0;

/// The result of all rules on a trace, with its metrics.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Evaluation {
    /// Name of the scenario.
    pub scenario: String,
    /// Its seed.
    pub seed: u64,
    /// Why the run proves nothing about the proxies; `None` if it is valid.
    #[serde(rename = "void")]
    pub invalid_reason: Option<String>,
    /// The results of the rules, in order of their numbers.
    pub rules: Vec<RuleResult>,
    /// Metrics of the run.
    #[serde(rename = "figures")]
    pub metrics: Metrics,
}

impl Evaluation {
    /// Whether any rule was violated.
    pub fn has_violations(&self) -> bool {
        self.rules
            .iter()
            .any(|result| result.verdict == Verdict::Violated)
    }

    /// Those of the given rules that the run did not exercise.
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
pub fn evaluate(record: &Trace) -> Evaluation {
    let index = TraceIndex::new(record);
    Evaluation {
        scenario: record.header.scenario.clone(),
        seed: record.header.seed,
        invalid_reason: invalid_reason(record),
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

/// Why a run is invalid: the test servers were late, or did not report how late.
fn invalid_reason(record: &Trace) -> Option<String> {
    let lateness = record.events.iter().rev().find_map(|line| match line.kind {
        EventKind::Lateness {
            actions,
            p99_ms,
            max_ms: most_ms,
            ..
        } => Some((actions, p99_ms, most_ms)),
        _ => None,
    });
    match lateness {
        None => Some("the record does not tell how late the stand-ins were".to_owned()),
        Some((0, _, _)) => Some("the stand-ins did nothing".to_owned()),
        Some((_, p99, _)) if p99 > MAX_LATENESS_P99 => Some(format!(
            "the stand-ins were late: {p99:.1} ms at the 99th percentile, {MAX_LATENESS_P99} ms at most"
        )),
        Some((_, _, most)) if most > MAX_LATENESS => {
            Some(format!("the stand-ins were late once by {most:.0} ms, {MAX_LATENESS} ms at most"))
        }
        Some(_) => None,
    }
}
