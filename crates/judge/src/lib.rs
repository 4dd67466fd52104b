//! The judge of a rehearsal: reads one ordered record and decides rule by rule whether it was kept, broken, or never put
//! to the test. No I/O, no clock: a record that was kept can be judged again at any time.
//!
//! The rules are those of the platform's pages (BRIEF "The five rules", WIRE "Invariants", PROTOCOL "The rules on
//! sockets"). Each has a file: [`answers`], [`repeats`], [`drains`], [`cold`], [`ceilings`].

pub mod answers;
pub mod ceilings;
pub mod cold;
pub mod drains;
pub mod figures;
pub mod repeats;
pub mod view;

use figures::Figures;
use maplefall_record::{Entry, Millis, Record};
use serde::Serialize;
use view::View;

/// Findings that are kept for one rule; further ones are counted.
pub const MOST_FINDINGS: usize = 20;
/// Time within which two things seen by different threads, or in one turn of a thread, are not told apart.
pub const BLUR: Millis = 25.0;
/// Length of a stretch of time for which the least margin is told.
pub const STRETCH: Millis = 250.0;
/// Stretches that are looked back over for the one that a margin belongs to.
const NEAR: usize = 16;
/// Lateness of the stand-ins beyond which a run says nothing of the front doors.
pub const MOST_LATE_P99: Millis = 15.0;
/// Lateness of a single action beyond which it does not either.
pub const MOST_LATE: Millis = 250.0;

/// What a rule came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// It was put to the test and held.
    Kept,
    /// It was broken.
    Broken,
    /// Nothing in the record put it to the test.
    NotExercised,
}

/// One break of a rule and what proves it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Finding {
    /// What happened, with the times.
    pub text: String,
    /// Which request, by its id on the wire; empty where it is none.
    pub request: String,
    /// When.
    pub at: Millis,
    /// The lines of the record that prove it, from 1, the header being line 1.
    pub lines: Vec<usize>,
}

/// What the judge says of one rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Ruling {
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
    pub breaks: u64,
    /// The first of these.
    pub findings: Vec<Finding>,
}

impl Ruling {
    fn new(rule: u32, name: &'static str, tested_by: &'static str, margin_unit: &'static str) -> Ruling {
        Ruling {
            rule,
            name,
            verdict: Verdict::NotExercised,
            tested: 0,
            tested_by,
            margin: None,
            margin_unit,
            margin_at: 0.0,
            margins: Vec::new(),
            breaks: 0,
            findings: Vec::new(),
        }
    }

    fn margin(&mut self, at: Millis, margin: f64) {
        if self.margin.is_none_or(|least| margin < least) {
            (self.margin, self.margin_at) = (Some(margin), at);
        }
        let begin = (at / STRETCH).floor() * STRETCH;
        // Margins come nearly in the order of their times: the stretch is among the last few.
        match self.margins.iter_mut().rev().take(NEAR).find(|(known, _)| *known == begin) {
            Some((_, least)) => *least = least.min(margin),
            None => self.margins.push((begin, margin)),
        }
    }

    fn broken(&mut self, at: Millis, request: &str, lines: &[usize], text: String) {
        self.breaks += 1;
        if self.findings.len() < MOST_FINDINGS {
            let mut lines = lines.to_vec();
            lines.sort_unstable();
            lines.dedup();
            self.findings.push(Finding { text, request: request.to_owned(), at, lines });
        }
    }

    fn close(mut self) -> Ruling {
        self.margins.sort_by(|a, b| a.0.total_cmp(&b.0));
        self.margins.dedup_by(|next, kept| {
            let same = next.0 == kept.0;
            if same {
                kept.1 = kept.1.min(next.1);
            }
            same
        });
        self.verdict = match (self.breaks, self.tested) {
            (0, 0) => Verdict::NotExercised,
            (0, _) => Verdict::Kept,
            _ => Verdict::Broken,
        };
        self
    }
}

/// All that the judge says of a record.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Judgement {
    /// Name of the scenario.
    pub scenario: String,
    /// Its seed.
    pub seed: u64,
    /// Why the run says nothing of the front doors, if it does not.
    pub void: Option<String>,
    /// The five rules.
    pub rules: Vec<Ruling>,
    /// What else was measured.
    pub figures: Figures,
}

impl Judgement {
    /// Whether any rule was broken.
    pub fn broken(&self) -> bool {
        self.rules.iter().any(|ruling| ruling.verdict == Verdict::Broken)
    }

    /// Of these rules, those that the run never put to the test.
    pub fn untested(&self, rules: &[u32]) -> Vec<u32> {
        let untested = self.rules.iter().filter(|ruling| ruling.verdict == Verdict::NotExercised);
        untested.map(|ruling| ruling.rule).filter(|rule| rules.contains(rule)).collect()
    }
}

/// Judges a record.
pub fn judge(record: &Record) -> Judgement {
    let view = View::new(record);
    Judgement {
        scenario: record.header.scenario.clone(),
        seed: record.header.seed,
        void: void(record),
        rules: vec![
            answers::judge(&view),
            repeats::judge(&view),
            drains::judge(&view),
            cold::judge(&view),
            ceilings::judge(&view),
        ],
        figures: figures::count(&view),
    }
}

/// Why a run says nothing: its stand-ins were late, or did not say how late.
fn void(record: &Record) -> Option<String> {
    let told = record.lines.iter().rev().find_map(|line| match line.entry {
        Entry::Lateness { actions, p99_ms, most_ms, .. } => Some((actions, p99_ms, most_ms)),
        _ => None,
    });
    match told {
        None => Some("the record does not tell how late the stand-ins were".to_owned()),
        Some((0, _, _)) => Some("the stand-ins did nothing".to_owned()),
        Some((_, p99, _)) if p99 > MOST_LATE_P99 => Some(format!(
            "the stand-ins were late: {p99:.1} ms at the 99th percentile, {MOST_LATE_P99} ms at most"
        )),
        Some((_, _, most)) if most > MOST_LATE => {
            Some(format!("the stand-ins were late once by {most:.0} ms, {MOST_LATE} ms at most"))
        }
        Some(_) => None,
    }
}
