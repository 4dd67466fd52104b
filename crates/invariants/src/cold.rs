//! Rule 4: all front doors together do not send a cold node more than a multiple of its present capacity over a window.
//! All work that reaches it counts, rejected work too; the rule is broken where two thirds of it came from front doors
//! that had been told of the start.

use crate::ruling::Ruling;
use crate::view::{Attempt, View};
use maplefall_event_trace::Health;

/// Attempts from which the cold stretch of a node is a test.
const LEAST_ATTEMPTS: usize = 5;
/// Part of the work that must come from front doors that knew.
const KNEW: f64 = 2.0 / 3.0;

/// Judges it.
pub fn judge(view: &View<'_>) -> Ruling {
    let tested_by = "cold nodes that were sent at least five attempts";
    let mut ruling = Ruling::new(
        4,
        "no cold node pushed over",
        tested_by,
        "of the budget left",
    );
    let rules = view.record.header.rules;
    for life in view
        .lives
        .iter()
        .filter(|life| life.cold_from < 1.0 && life.cold_ms > 0.0)
    {
        let cold_until = (life.from + life.cold_ms).min(life.to);
        let cold = |attempt: &&Attempt<'_>| {
            attempt.node == life.node
                && attempt.whole
                && (life.from..=cold_until).contains(&attempt.at)
        };
        let came: Vec<&Attempt<'_>> = view.attempts.iter().filter(cold).collect();
        ruling.tested += u64::from(came.len() >= LEAST_ATTEMPTS);
        let knew = |attempt: &Attempt<'_>| {
            view.tellings.iter().any(|telling| {
                telling.door == attempt.door
                    && telling.node == life.node
                    && telling.health == Health::Up
                    && telling.at <= attempt.at
                    && telling.born.is_some_and(|born| born >= life.from - 1.0)
            })
        };
        let mut first = 0;
        let mut broken = false;
        for (last, attempt) in came.iter().enumerate() {
            while attempt.at - came[first].at > rules.overload_window_ms {
                first += 1;
            }
            let window = &came[first..=last];
            let sum: f64 = window.iter().map(|attempt| attempt.work).sum();
            let capacity = life.cores * life.warmth(attempt.at) * rules.overload_window_ms;
            let budget = rules.overload_factor * capacity + rules.cold_slack_ms;
            ruling.margin(attempt.at, 1.0 - sum / budget);
            if sum > budget && !broken {
                let known: f64 = window
                    .iter()
                    .filter(|attempt| knew(attempt))
                    .map(|attempt| attempt.work)
                    .sum();
                if known >= KNEW * sum {
                    broken = true;
                    let text = format!(
                        "node {} was sent {sum:.0} ms of work within {:.0} ms, {:.0} ms after its start; its budget \
                         was {budget:.0} ms",
                        life.node,
                        rules.overload_window_ms,
                        attempt.at - life.from
                    );
                    let lines: Vec<usize> = [life.line, window[0].line, attempt.line]
                        .into_iter()
                        .collect();
                    ruling.broken(attempt.at, "", &lines, text);
                }
            }
        }
    }
    ruling.close()
}
