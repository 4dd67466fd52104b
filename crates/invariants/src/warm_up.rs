//! Rule 4: within a window, all proxies together never send a warming node more work than a
//! multiple of its current capacity. All work that reaches the node counts, including rejected
//! work. Exceeding the budget is a violation if at least two thirds of the work came from proxies
//! that had been notified of the node's start.

use crate::rule_result::RuleResult;
use crate::trace_index::{Attempt, TraceIndex};
use maplefall_event_trace::Health;

/// Minimum number of attempts during a node's warm-up for the warm-up to count as a test.
const MIN_ATTEMPTS: usize = 5;
/// Minimum fraction of the work from notified proxies for a violation.
const MIN_INFORMED_FRACTION: f64 = 2.0 / 3.0;

/// Checks the rule.
pub fn check(index: &TraceIndex<'_>) -> RuleResult {
    let tested_by = "warming nodes that received at least five attempts";
    let mut result = RuleResult::new(
        4,
        "no cold node pushed over",
        tested_by,
        "fraction of the budget left",
    );
    let rules = index.trace.header.rules;
    for instance in index
        .instances
        .iter()
        .filter(|instance| instance.initial_capacity < 1.0 && instance.warmup_ms > 0.0)
    {
        let warmup_end = (instance.started_at + instance.warmup_ms).min(instance.ended_at);
        let during_warmup = |attempt: &&Attempt<'_>| {
            attempt.node == instance.node
                && attempt.complete
                && (instance.started_at..=warmup_end).contains(&attempt.received_at)
        };
        let received: Vec<&Attempt<'_>> = index.attempts.iter().filter(during_warmup).collect();
        result.tested += u64::from(received.len() >= MIN_ATTEMPTS);
        let was_notified = |attempt: &Attempt<'_>| {
            index.updates.iter().any(|update| {
                update.proxy == attempt.proxy
                    && update.node == instance.node
                    && update.health == Health::Up
                    && update.at <= attempt.received_at
                    && update
                        .started_at
                        .is_some_and(|started| started >= instance.started_at - 1.0)
            })
        };
        let mut first = 0;
        let mut violated = false;
        for (last, attempt) in received.iter().enumerate() {
            while attempt.received_at - received[first].received_at > rules.overload_window_ms {
                first += 1;
            }
            let window = &received[first..=last];
            let work_in_window: f64 = window.iter().map(|attempt| attempt.work).sum();
            let capacity = instance.cores
                * instance.capacity_factor(attempt.received_at)
                * rules.overload_window_ms;
            let budget = rules.overload_factor * capacity + rules.warmup_slack_ms;
            result.record_margin(attempt.received_at, 1.0 - work_in_window / budget);
            if work_in_window > budget && !violated {
                let work_of_notified: f64 = window
                    .iter()
                    .filter(|attempt| was_notified(attempt))
                    .map(|attempt| attempt.work)
                    .sum();
                if work_of_notified >= MIN_INFORMED_FRACTION * work_in_window {
                    violated = true;
                    let description = format!(
                        "node {} was sent {work_in_window:.0} ms of work within {:.0} ms, {:.0} ms after its start; its budget \
                         was {budget:.0} ms",
                        instance.node,
                        rules.overload_window_ms,
                        attempt.received_at - instance.started_at
                    );
                    let lines: Vec<usize> = [instance.line, window[0].line, attempt.line]
                        .into_iter()
                        .collect();
                    result.record_violation(attempt.received_at, "", &lines, description);
                }
            }
        }
    }
    result.finish()
}
