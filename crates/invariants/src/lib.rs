//! The judge of a rehearsal: reads one ordered record and decides rule by rule whether it was kept, broken, or never put
//! to the test. No I/O, no clock: a record that was kept can be judged again at any time.
//!
//! The rules are those of the platform's pages (BRIEF "The five rules", WIRE "Invariants", PROTOCOL "The rules on
//! sockets"), each in a file: [`answers`], [`repeats`], [`drains`], [`cold`], [`ceilings`]; and where callers are checked a
//! sixth, [`callers`]; where front doors share counts a seventh, [`quotas`].

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

/// Lateness of the stand-ins beyond which a run says nothing of the front doors.
pub const MAX_LATENESS_P99: Millis = 15.0;
/// Lateness of a single action beyond which it does not either.
pub const MAX_LATENESS: Millis = 250.0;

/// All that the judge says of a record.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Evaluation {
    /// Name of the scenario.
    pub scenario: String,
    /// Its seed.
    pub seed: u64,
    /// Why the run says nothing of the front doors, if it does not.
    #[serde(rename = "void")]
    pub invalid_reason: Option<String>,
    /// The rules.
    pub rules: Vec<RuleResult>,
    /// What else was measured.
    #[serde(rename = "figures")]
    pub metrics: Metrics,
}

impl Evaluation {
    /// Whether any rule was broken.
    pub fn has_violations(&self) -> bool {
        self.rules
            .iter()
            .any(|ruling| ruling.verdict == Verdict::Violated)
    }

    /// Of these rules, those that the run never put to the test.
    pub fn not_exercised(&self, rules: &[u32]) -> Vec<u32> {
        let not_exercised = self
            .rules
            .iter()
            .filter(|ruling| ruling.verdict == Verdict::NotExercised);
        not_exercised
            .map(|ruling| ruling.rule)
            .filter(|rule| rules.contains(rule))
            .collect()
    }
}

/// Judges a record.
pub fn evaluate(record: &Trace) -> Evaluation {
    let view = TraceIndex::new(record);
    Evaluation {
        scenario: record.header.scenario.clone(),
        seed: record.header.seed,
        invalid_reason: invalid_reason(record),
        rules: vec![
            responses::check(&view),
            retries::check(&view),
            drains::check(&view),
            warm_up::check(&view),
            rate_limits::check(&view),
            credentials::check(&view),
            quotas::check(&view),
        ],
        metrics: metrics::measure(&view),
    }
}

/// Why a run says nothing: its stand-ins were late, or did not say how late.
fn invalid_reason(record: &Trace) -> Option<String> {
    let told = record.events.iter().rev().find_map(|line| match line.kind {
        EventKind::Lateness {
            actions,
            p99_ms,
            max_ms: most_ms,
            ..
        } => Some((actions, p99_ms, most_ms)),
        _ => None,
    });
    match told {
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
