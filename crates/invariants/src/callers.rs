//! Rule 6: where callers are checked, nothing is sent on for one that does not pass: not before its verdict, not by another's,
//! and once its credential is revoked no longer than a verdict is kept. Who passes is not denied.

use crate::ruling::{Ruling, BLUR};
use crate::view::View;
use maplefall_event_trace::{Entry, Millis};
use std::collections::BTreeMap;

/// From when on each customer does not pass, and the line that says so.
pub fn denied(view: &View<'_>) -> BTreeMap<u64, (Millis, usize)> {
    let mut denied = BTreeMap::new();
    for (at, line) in view.record.lines.iter().enumerate() {
        if let Entry::Credential {
            customer,
            passes: false,
        } = line.entry
        {
            denied.entry(customer).or_insert((line.at, at + 2));
        }
    }
    denied
}

/// Judges it.
pub fn judge(view: &View<'_>) -> Ruling {
    let tested_by = "tries of callers that do not pass";
    let mut ruling = Ruling::new(
        6,
        "callers checked",
        tested_by,
        "ms of a revoked credential's time left",
    );
    let denied = denied(view);
    if !view
        .record
        .lines
        .iter()
        .any(|line| matches!(line.entry, Entry::Credential { .. }))
    {
        return ruling.close();
    }
    let rules = view.record.header.rules;
    // When each first asked: of one that asked before its credential was revoked a verdict may be kept.
    let mut first_asked: BTreeMap<u64, Millis> = BTreeMap::new();
    for one in &view.tries {
        let first = first_asked.entry(one.customer).or_insert(one.asked);
        *first = first.min(one.asked);
        let from = denied.get(&one.customer);
        let may_not = from.is_some_and(|(from, _)| *from <= one.asked);
        ruling.tested += u64::from(may_not);
        match (one.answer, from) {
            (Some(answer), None) if matches!(answer.status, 401 | 403) => {
                let text = format!(
                    "customer {:x} passes and was denied with {}",
                    one.customer, answer.status
                );
                ruling.broken(answer.at, one.id, &[one.line, answer.line], text);
            }
            _ => {}
        }
    }
    for attempt in view.attempts.iter().filter(|attempt| attempt.whole) {
        let Some(one) = view.try_of(attempt.id) else {
            continue;
        };
        let Some((from, line)) = denied.get(&one.customer) else {
            continue;
        };
        if view.class(one).is_some_and(|class| class.unchecked) || attempt.first < *from {
            continue;
        }
        // Nothing is kept of one that never passed.
        let known = first_asked
            .get(&one.customer)
            .is_some_and(|first| first < from);
        let kept = if known { rules.revoked_ms } else { 0.0 };
        let left = from + kept + rules.socket_slack_ms + BLUR - attempt.first;
        if kept > 0.0 {
            ruling.margin(attempt.first, left);
        }
        if left < 0.0 || kept == 0.0 {
            let text = format!(
                "customer {:x} does not pass since {from:.1} ms, and was sent on to node {} at {:.1} ms",
                one.customer, attempt.node, attempt.first
            );
            ruling.broken(
                attempt.first,
                one.id,
                &[*line, one.line, attempt.line],
                text,
            );
        }
    }
    ruling.close()
}
