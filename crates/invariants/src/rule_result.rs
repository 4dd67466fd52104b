//! The result of one rule: how often it was exercised, its smallest margin, and the evidence of its
//! violations.

use maplefall_event_trace::Millis;
use serde::Serialize;

/// Maximum number of violations stored per rule; further ones are only counted.
pub const MAX_VIOLATIONS: usize = 20;
/// Time in milliseconds within which the order of two events that different threads recorded is
/// unknown.
pub const ORDERING_TOLERANCE: Millis = 25.0;
/// Length in milliseconds of an interval for which the smallest margin is reported.
pub const MARGIN_INTERVAL: Millis = 250.0;
/// Number of latest intervals that are searched for the interval of a margin.
const MARGIN_LOOKBACK: usize = 16;
/// Outcome of a rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The rule was exercised and never violated.
    #[serde(rename = "kept")]
    Satisfied,
    /// The rule was violated at least once.
    #[serde(rename = "broken")]
    Violated,
    /// Nothing in the trace exercised the rule.
    NotExercised,
}

/// One violation and its evidence.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// What happened, with times.
    #[serde(rename = "text")]
    pub description: String,
    /// Id of the request; empty if the violation concerns no request.
    pub request: String,
    /// Time in the trace.
    pub at: Millis,
    /// Numbers of the trace lines that prove the violation; the header is line 1.
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
    /// Whether the rule was satisfied, violated or not exercised.
    pub verdict: Verdict,
    /// How often the rule was exercised.
    pub tested: u64,
    /// What counts as one exercise of the rule.
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
        if self.margin.is_none_or(|smallest| margin < smallest) {
            (self.margin, self.margin_at) = (Some(margin), at);
        }
        let interval_start = (at / MARGIN_INTERVAL).floor() * MARGIN_INTERVAL;
        // Margins arrive nearly in order of time, so the interval is one of the latest.
        match self
            .margins
            .iter_mut()
            .rev()
            .take(MARGIN_LOOKBACK)
            .find(|(start, _)| *start == interval_start)
        {
            Some((_, smallest)) => *smallest = smallest.min(margin),
            None => self.margins.push((interval_start, margin)),
        }
    }

    pub(crate) fn record_violation(
        &mut self,
        at: Millis,
        request: &str,
        lines: &[usize],
        description: String,
    ) {
        self.violation_count += 1;
        if self.violations.len() < MAX_VIOLATIONS {
            let mut lines = lines.to_vec();
            lines.sort_unstable();
            lines.dedup();
            self.violations.push(Violation {
                description,
                request: request.to_owned(),
                at,
                trace_lines: lines,
            });
        }
    }

    pub(crate) fn finish(mut self) -> RuleResult {
        self.margins.sort_by(|a, b| a.0.total_cmp(&b.0));
        self.margins.dedup_by(|later, earlier| {
            let same_interval = later.0 == earlier.0;
            if same_interval {
                earlier.1 = earlier.1.min(later.1);
            }
            same_interval
        });
        self.verdict = match (self.violation_count, self.tested) {
            (0, 0) => Verdict::NotExercised,
            (0, _) => Verdict::Satisfied,
            _ => Verdict::Violated,
        };
        self
    }
}
