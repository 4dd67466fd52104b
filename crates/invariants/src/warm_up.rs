//! Rule 4: all front doors together do not send a cold node more than a multiple of its present capacity over a window.
//! All work that reaches it counts, rejected work too; the rule is broken where two thirds of it came from front doors
//! that had been told of the start.

use crate::rule_result::RuleResult;
use crate::trace_index::{Attempt, TraceIndex};
use maplefall_event_trace::Health;

/// Attempts from which the cold stretch of a node is a test.
const MIN_ATTEMPTS: usize = 5;
/// Part of the work that must come from front doors that knew.
const MIN_INFORMED_FRACTION: f64 = 2.0 / 3.0;

/// Judges it.
pub fn check(view: &TraceIndex<'_>) -> RuleResult {
    let tested_by = "cold nodes that were sent at least five attempts";
    let mut ruling = RuleResult::new(
        4,
        "no cold node pushed over",
        tested_by,
        "of the budget left",
    );
    let rules = view.trace.header.rules;
    for life in view
        .instances
        .iter()
        .filter(|life| life.initial_capacity < 1.0 && life.warmup_ms > 0.0)
    {
        let cold_until = (life.started_at + life.warmup_ms).min(life.ended_at);
        let cold = |attempt: &&Attempt<'_>| {
            attempt.node == life.node
                && attempt.complete
                && (life.started_at..=cold_until).contains(&attempt.received_at)
        };
        let came: Vec<&Attempt<'_>> = view.attempts.iter().filter(cold).collect();
        ruling.tested += u64::from(came.len() >= MIN_ATTEMPTS);
        let knew = |attempt: &Attempt<'_>| {
            view.updates.iter().any(|telling| {
                telling.proxy == attempt.proxy
                    && telling.node == life.node
                    && telling.health == Health::Up
                    && telling.at <= attempt.received_at
                    && telling
                        .started_at
                        .is_some_and(|born| born >= life.started_at - 1.0)
            })
        };
        let mut first = 0;
        let mut broken = false;
        for (last, attempt) in came.iter().enumerate() {
            while attempt.received_at - came[first].received_at > rules.overload_window_ms {
                first += 1;
            }
            let window = &came[first..=last];
            let sum: f64 = window.iter().map(|attempt| attempt.work).sum();
            let capacity =
                life.cores * life.capacity_factor(attempt.received_at) * rules.overload_window_ms;
            let budget = rules.overload_factor * capacity + rules.warmup_slack_ms;
            ruling.record_margin(attempt.received_at, 1.0 - sum / budget);
            if sum > budget && !broken {
                let known: f64 = window
                    .iter()
                    .filter(|attempt| knew(attempt))
                    .map(|attempt| attempt.work)
                    .sum();
                if known >= MIN_INFORMED_FRACTION * sum {
                    broken = true;
                    let text = format!(
                        "node {} was sent {sum:.0} ms of work within {:.0} ms, {:.0} ms after its start; its budget \
                         was {budget:.0} ms",
                        life.node,
                        rules.overload_window_ms,
                        attempt.received_at - life.started_at
                    );
                    let lines: Vec<usize> = [life.line, window[0].line, attempt.line]
                        .into_iter()
                        .collect();
                    ruling.record_violation(attempt.received_at, "", &lines, text);
                }
            }
        }
    }
    ruling.finish()
}
