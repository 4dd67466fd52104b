//! Rule 4: all proxies together never send a warming node more than a multiple of its present capacity within a window.
//! All work that reaches the node counts, also rejected work; the rule is violated if two thirds of it came from proxies that
//! had been notified of the node's start.

use crate::rule_result::RuleResult;
use crate::trace_index::{Attempt, TraceIndex};
use maplefall_event_trace::Health;

/// Minimum attempts during a node's warm-up for it to count as a test.
const MIN_ATTEMPTS: usize = 5;
/// Minimum fraction of the work that must come from notified proxies.
const MIN_INFORMED_FRACTION: f64 = 2.0 / 3.0;

/// Checks the rule.
pub fn check(index: &TraceIndex<'_>) -> RuleResult {
    let tested_by = "cold nodes that were sent at least five attempts";
    let mut result = RuleResult::new(
        4,
        "no cold node pushed over",
        tested_by,
        "of the budget left",
    );
    let rules = index.trace.header.rules;
    for life in index
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
        let came: Vec<&Attempt<'_>> = index.attempts.iter().filter(cold).collect();
        result.tested += u64::from(came.len() >= MIN_ATTEMPTS);
        let knew = |attempt: &Attempt<'_>| {
            index.updates.iter().any(|update| {
                update.proxy == attempt.proxy
                    && update.node == life.node
                    && update.health == Health::Up
                    && update.at <= attempt.received_at
                    && update
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
            result.record_margin(attempt.received_at, 1.0 - sum / budget);
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
                    result.record_violation(attempt.received_at, "", &lines, text);
                }
            }
        }
    }
    result.finish()
}
