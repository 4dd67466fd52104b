//! The judge of a rehearsal: reads one ordered record and decides rule by rule whether it was kept, broken, or never put
//! to the test. No I/O, no clock: a record that was kept can be judged again at any time.
//!
//! The rules are those of the platform's pages (BRIEF "The five rules", WIRE "Invariants", PROTOCOL "The rules on
//! sockets"), each in a file: [`answers`], [`repeats`], [`drains`], [`cold`], [`ceilings`]; and where callers are checked a
//! sixth, [`callers`]; where front doors share counts a seventh, [`quotas`].

pub mod answers;
pub mod callers;
pub mod ceilings;
pub mod cold;
pub mod drain_times;
pub mod drains;
pub mod figures;
pub mod quotas;
pub mod repeats;
mod ruling;
mod stores;
pub mod view;

pub use ruling::{Finding, Ruling, Verdict, BLUR, MOST_FINDINGS, STRETCH};

use figures::Figures;
use maplefall_event_trace::{Entry, Millis, Record};
use serde::Serialize;
use view::View;

/// Lateness of the stand-ins beyond which a run says nothing of the front doors.
pub const MOST_LATE_P99: Millis = 15.0;
/// Lateness of a single action beyond which it does not either.
pub const MOST_LATE: Millis = 250.0;

/// All that the judge says of a record.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Judgement {
    /// Name of the scenario.
    pub scenario: String,
    /// Its seed.
    pub seed: u64,
    /// Why the run says nothing of the front doors, if it does not.
    pub void: Option<String>,
    /// The rules.
    pub rules: Vec<Ruling>,
    /// What else was measured.
    pub figures: Figures,
}

impl Judgement {
    /// Whether any rule was broken.
    pub fn broken(&self) -> bool {
        self.rules
            .iter()
            .any(|ruling| ruling.verdict == Verdict::Broken)
    }

    /// Of these rules, those that the run never put to the test.
    pub fn untested(&self, rules: &[u32]) -> Vec<u32> {
        let untested = self
            .rules
            .iter()
            .filter(|ruling| ruling.verdict == Verdict::NotExercised);
        untested
            .map(|ruling| ruling.rule)
            .filter(|rule| rules.contains(rule))
            .collect()
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
            callers::judge(&view),
            quotas::judge(&view),
        ],
        figures: figures::count(&view),
    }
}

/// Why a run says nothing: its stand-ins were late, or did not say how late.
fn void(record: &Record) -> Option<String> {
    let told = record.lines.iter().rev().find_map(|line| match line.entry {
        Entry::Lateness {
            actions,
            p99_ms,
            most_ms,
            ..
        } => Some((actions, p99_ms, most_ms)),
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
