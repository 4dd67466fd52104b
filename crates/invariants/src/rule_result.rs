//! The result of one rule: how often it was exercised, its smallest margin, and the evidence of each violation.

use maplefall_event_trace::Millis;
use serde::Serialize;

/// Maximum violations kept per rule; further ones are only counted.
pub const MAX_VIOLATIONS: usize = 20;
/// Tolerance in milliseconds within which the order of two events seen by different threads is unknown.
pub const ORDERING_TOLERANCE: Millis = 25.0;
/// Length in milliseconds of an interval for which the smallest margin is reported.
pub const MARGIN_INTERVAL: Millis = 250.0;
/// Intervals searched backwards for the one of a margin.
const MARGIN_LOOKBACK: usize = 16;
/// Whether a rule was kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// It was exercised and never violated.
    #[serde(rename = "kept")]
    Satisfied,
    /// It was violated.
    #[serde(rename = "broken")]
    Violated,
    /// Nothing in the trace exercised it.
    NotExercised,
}

/// One violation and its evidence.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// What happened, with the times.
    #[serde(rename = "text")]
    pub description: String,
    /// The request's id; empty if it concerns no request.
    pub request: String,
    /// Time in the trace.
    pub at: Millis,
    /// The trace lines that prove it; the header is line 1.
    #[serde(rename = "lines")]
    pub trace_lines: Vec<usize>,
}

/// The result of one rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RuleResult {
    /// Number of the rule, 1 to 7.
    pub rule: u32,
    /// Name of the rule in reports.
    pub name: &'static str,
    /// The verdict.
    pub verdict: Verdict,
    /// How often it was exercised.
    pub tested: u64,
    /// What counts as one test.
    pub tested_by: &'static str,
    /// The smallest margin, negative after a violation; `None` if none was measured.
    pub margin: Option<f64>,
    /// Unit of the margin.
    pub margin_unit: &'static str,
    /// Time of the smallest margin.
    pub margin_at: Millis,
    /// Start time and smallest margin of each interval of [`MARGIN_INTERVAL`], in order of time.
    pub margins: Vec<(Millis, f64)>,
    /// Number of violations.
    #[serde(rename = "breaks")]
    pub violation_count: u64,
    /// The first [`MAX_VIOLATIONS`] violations.
    #[serde(rename = "findings")]
    pub violations: Vec<Violation>,
}

impl RuleResult {
    pub(crate) fn new(
        rule: u32,
        name: &'static str,
        tested_by: &'static str,
        margin_unit: &'static str,
    ) -> RuleResult {
        RuleResult {
            rule,
            name,
            verdict: Verdict::NotExercised,
            tested: 0,
            tested_by,
            margin: None,
            margin_unit,
            margin_at: 0.0,
            margins: Vec::new(),
            violation_count: 0,
            violations: Vec::new(),
        }
    }

    pub(crate) fn record_margin(&mut self, at: Millis, margin: f64) {
        if self.margin.is_none_or(|least| margin < least) {
            (self.margin, self.margin_at) = (Some(margin), at);
        }
        let begin = (at / MARGIN_INTERVAL).floor() * MARGIN_INTERVAL;
        // Margins arrive nearly in order of time: the interval is among the last few.
        match self
            .margins
            .iter_mut()
            .rev()
            .take(MARGIN_LOOKBACK)
            .find(|(known, _)| *known == begin)
        {
            Some((_, least)) => *least = least.min(margin),
            None => self.margins.push((begin, margin)),
        }
    }

    pub(crate) fn record_violation(
        &mut self,
        at: Millis,
        request: &str,
        lines: &[usize],
        text: String,
    ) {
        self.violation_count += 1;
        if self.violations.len() < MAX_VIOLATIONS {
            let mut lines = lines.to_vec();
            lines.sort_unstable();
            lines.dedup();
            self.violations.push(Violation {
                description: text,
                request: request.to_owned(),
                at,
                trace_lines: lines,
            });
        }
    }

    pub(crate) fn finish(mut self) -> RuleResult {
        self.margins.sort_by(|a, b| a.0.total_cmp(&b.0));
        self.margins.dedup_by(|next, kept| {
            let same = next.0 == kept.0;
            if same {
                kept.1 = kept.1.min(next.1);
            }
            same
        });
        self.verdict = match (self.violation_count, self.tested) {
            (0, 0) => Verdict::NotExercised,
            (0, _) => Verdict::Satisfied,
            _ => Verdict::Violated,
        };
        self
    }
}
