//! What else a record tells: worth served, answers by kind, attempts, times, and what the front doors used.

use crate::view::{Try, View};
use hdrhistogram::Histogram;
use maplefall_event_trace::{Entry, Lost, Millis};
use serde::Serialize;
use std::collections::BTreeMap;

/// Percentiles of the time from a first try to its served answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Times {
    /// The median.
    pub p50_ms: Millis,
    /// The 90th percentile.
    pub p90_ms: Millis,
    /// The 99th percentile.
    pub p99_ms: Millis,
    /// The longest.
    pub most_ms: Millis,
}

/// The figures of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Figures {
    /// How long the record is.
    pub seconds: f64,
    /// First tries.
    pub requests: u64,
    /// Tries in all.
    pub tries: u64,
    /// Tries that were served.
    pub served: u64,
    /// Tries that were refused with a word on when to come back, and without.
    pub refused_with_advice: u64,
    /// Tries that were refused without one.
    pub refused: u64,
    /// Tries that failed, by status.
    pub failed: BTreeMap<u16, u64>,
    /// Tries that no front door took.
    pub not_taken: u64,
    /// Tries whose connection was closed with nothing sent on.
    pub closed_unsent: u64,
    /// Tries with no whole answer.
    pub unanswered: u64,
    /// Worth served in time, over the worth asked for inside the quotas.
    pub worth_share: f64,
    /// The same for each plan, by name.
    pub worth_by_plan: BTreeMap<String, f64>,
    /// Attempts that came whole, for each try that was sent on.
    pub attempts_per_sent: f64,
    /// Times to a served answer.
    pub times: Times,
    /// Processor time of the front doors for each try, in microseconds.
    pub cpu_us_per_try: f64,
    /// Most memory that a front door took, in KiB.
    pub memory_kib: u64,
    /// Clients that sent what cannot be used, and how many of them were left with nothing.
    pub rude: u64,
    /// Those.
    pub rude_neglected: u64,
    /// Lateness of the stand-ins at the 99th percentile.
    pub late_p99_ms: Millis,
    /// Lateness at most.
    pub late_most_ms: Millis,
    /// Actions of the stand-ins that were due at a time.
    pub actions: u64,
}

/// Counts them.
pub fn count(view: &View<'_>) -> Figures {
    let mut figures = Figures::default();
    let lines = &view.record.lines;
    figures.seconds = lines.last().map_or(0.0, |line| line.at / 1000.0);
    let mut cpu = 0.0;
    for line in lines {
        match &line.entry {
            Entry::Used {
                cpu_ms, memory_kib, ..
            } => {
                cpu += cpu_ms;
                figures.memory_kib = figures.memory_kib.max(*memory_kib);
            }
            Entry::Lateness {
                actions,
                p99_ms,
                most_ms,
                ..
            } => {
                (figures.actions, figures.late_p99_ms, figures.late_most_ms) =
                    (*actions, *p99_ms, *most_ms);
            }
            Entry::Unanswered {
                why: Lost::NotTaken,
                ..
            } => figures.not_taken += 1,
            Entry::Answered {
                status: 429 | 503,
                retry_after_ms,
                ..
            } => {
                let with = u64::from(retry_after_ms.is_some());
                figures.refused_with_advice += with;
                figures.refused += 1 - with;
            }
            Entry::Answered { status: 200, .. } => figures.served += 1,
            Entry::Answered { status, .. } => *figures.failed.entry(*status).or_default() += 1,
            _ => {}
        }
    }
    for one in &view.tries {
        match one.lost {
            Some((_, Lost::Closed, _)) if view.attempts_of(one.id).next().is_none() => {
                figures.closed_unsent += 1;
            }
            Some((_, Lost::Closed | Lost::Cut | Lost::Silent, _)) => figures.unanswered += 1,
            _ => {}
        }
    }
    figures.tries = view.tries.len() as u64;
    figures.rude = view.rude.len() as u64;
    figures.rude_neglected = view
        .rude
        .iter()
        .filter(|(_, _, _, neglected, _)| *neglected)
        .count() as u64;
    let whole = view.attempts.iter().filter(|attempt| attempt.whole).count();
    figures.attempts_per_sent = whole as f64 / view.whole_by_id.len().max(1) as f64;
    figures.cpu_us_per_try = cpu * 1000.0 / figures.tries.max(1) as f64;
    items(view, &mut figures);
    figures
}

/// Worth and times: a client's retries belong to its first try.
fn items(view: &View<'_>, figures: &mut Figures) {
    let mut items: BTreeMap<u64, Vec<&Try<'_>>> = BTreeMap::new();
    for one in &view.tries {
        items.entry(one.item).or_default().push(one);
    }
    figures.requests = items.len() as u64;
    let mut order: Vec<&Vec<&Try<'_>>> = items.values().collect();
    order.sort_by(|a, b| a[0].asked.total_cmp(&b[0].asked));
    let mut stores: BTreeMap<u64, (f64, Millis)> = BTreeMap::new();
    let mut worth: BTreeMap<usize, (f64, f64)> = BTreeMap::new();
    let denied = crate::callers::denied(view);
    // One figure of three digits is enough, and the table stays small.
    let mut times = Histogram::<u64>::new_with_bounds(1, 600_000_000, 3).ok();
    for tries in order {
        let first = tries[0];
        let (Some(class), Some(plan)) = (view.class(first), view.plan(first)) else {
            continue;
        };
        let served = tries
            .iter()
            .filter_map(|one| one.answer)
            .find(|answer| answer.status == 200);
        let took = served.map(|answer| answer.at - first.asked);
        if let (Some(took), Some(times)) = (took, &mut times) {
            times.saturating_record((took.max(0.0) * 1000.0) as u64);
        }
        // Nobody owes anything to a caller that does not pass.
        if denied
            .get(&first.customer)
            .is_some_and(|(from, _)| *from <= first.asked)
        {
            continue;
        }
        // Offered is what one front door that saw all first tries would let in.
        let (level, at) = stores
            .entry(first.customer)
            .or_insert((plan.burst, first.asked));
        *level = (*level + plan.rate * (first.asked - *at) / 1000.0).min(plan.burst);
        *at = first.asked;
        if *level < first.units {
            continue;
        }
        *level -= first.units;
        let full = class.worth * plan.price * first.units;
        let got = match took {
            Some(took) if took <= class.aim_ms => full,
            Some(_) => full * class.late_worth,
            None => 0.0,
        };
        let sums = worth.entry(first.plan).or_default();
        (sums.0, sums.1) = (sums.0 + got, sums.1 + full);
    }
    let sum = worth
        .values()
        .fold((0.0, 0.0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
    let share = |(got, full): (f64, f64)| if full > 0.0 { got / full } else { 0.0 };
    figures.worth_share = share(sum);
    for (plan, sums) in worth {
        figures
            .worth_by_plan
            .insert(view.record.header.plans[plan].name.clone(), share(sums));
    }
    if let Some(times) = times {
        let at = |part| times.value_at_quantile(part) as f64 / 1000.0;
        figures.times = Times {
            p50_ms: at(0.5),
            p90_ms: at(0.9),
            p99_ms: at(0.99),
            most_ms: times.max() as f64 / 1000.0,
        };
    }
}
