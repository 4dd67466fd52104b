//! What the judge says of one rule: how often it was tested, how near it came to breaking, and what proves each break.

use maplefall_event_trace::Millis;
use serde::Serialize;

/// Findings that are kept for one rule; further ones are counted.
pub const MAX_VIOLATIONS: usize = 20;
/// Time within which two things seen by different threads, or in one turn of a thread, are not told apart.
pub const ORDERING_TOLERANCE: Millis = 25.0;
/// Length of a stretch of time for which the least margin is told.
pub const MARGIN_INTERVAL: Millis = 250.0;
/// Stretches that are looked back over for the one that a margin belongs to.
const MARGIN_LOOKBACK: usize = 16;
/// What a rule came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// It was put to the test and held.
    #[serde(rename = "kept")]
    Satisfied,
    /// It was broken.
    #[serde(rename = "broken")]
    Violated,
    /// Nothing in the record put it to the test.
    NotExercised,
}

/// One break of a rule and what proves it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// What happened, with the times.
    #[serde(rename = "text")]
    pub description: String,
    /// Which request, by its id on the wire; empty where it is none.
    pub request: String,
    /// When.
    pub at: Millis,
    /// The lines of the record that prove it, from 1, the header being line 1.
    pub trace_lines: Vec<usize>,
}

/// What the judge says of one rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RuleResult {
    /// Its number.
    pub rule: u32,
    /// Its name.
    pub name: &'static str,
    /// The verdict.
    pub verdict: Verdict,
    /// How often it was put to the test.
    pub tested: u64,
    /// What was counted as a test.
    pub tested_by: &'static str,
    /// How near it came to being broken at the worst, below nought where it was; `None` where that is no figure.
    pub margin: Option<f64>,
    /// What the margin is in.
    pub margin_unit: &'static str,
    /// When the margin was least.
    pub margin_at: Millis,
    /// The least margin of each stretch of [`STRETCH`], as the time at which the stretch begins and the margin.
    pub margins: Vec<(Millis, f64)>,
    /// How often it was broken.
    #[serde(rename = "breaks")]
    pub violation_count: u64,
    /// The first of these.
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
        // Margins come nearly in the order of their times: the stretch is among the last few.
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
