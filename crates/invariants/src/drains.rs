//! Rule 3: a proxy sends nothing new to a node later than the drain grace after it was notified that the node drains or was
//! removed. A send counts from its first byte, complete or not. A change that a source has counts as notified after
//! `Rules::notification_timeout_ms` even if undelivered; an update of a lower version never cancels a drain of a higher one.

use crate::rule_result::RuleResult;
use crate::trace_index::{NodeUpdate, TraceIndex};
use maplefall_event_trace::{Health, Millis, ProxyState};
use std::collections::BTreeMap;

/// How recently a proxy must have sent to a node for the node's drain to count as a test.
const RECENT_TRAFFIC_WINDOW: Millis = 10_000.0;

/// A drain or removal in force: since when, the trace line of its notification, and the version of the membership list.
#[derive(Clone, Copy)]
struct StopNotice {
    at: Millis,
    line: usize,
    version: u64,
}

/// Drains in force by (proxy, node) and membership source. A source's drain is in force whatever other sources say, until the
/// same source cancels it.
type ActiveStops = BTreeMap<(u32, u32), BTreeMap<u32, StopNotice>>;

/// Checks the rule.
pub fn check(index: &TraceIndex<'_>) -> RuleResult {
    let tested_by = "drains and removals told to a front door that had been sending there";
    let mut result = RuleResult::new(3, "drains kept", tested_by, "ms before the last moment");
    let rules = index.trace.header.rules;
    let grace = rules.drain_grace_ms + rules.socket_slack_ms;
    let mut stopped: ActiveStops = BTreeMap::new();
    let mut sent: BTreeMap<(u32, u32), Millis> = BTreeMap::new();
    let mut told: Vec<_> = index.updates.iter().chain(&index.updates_due).collect();
    told.sort_by(|a, b| a.at.total_cmp(&b.at));
    let mut updates = told.into_iter().peekable();
    let starts = index
        .proxy_states
        .iter()
        .filter(|(_, _, state, _)| *state == ProxyState::Started);
    let mut starts = starts.peekable();
    let mut sends: Vec<_> = index.attempts.iter().collect();
    sends.sort_by(|a, b| a.first_byte_at.total_cmp(&b.first_byte_at));
    for attempt in sends {
        // Apply all notifications and proxy restarts up to this send; a restart precedes what the proxy starts with.
        // proxy starts with.
        loop {
            let told = updates
                .peek()
                .map(|t| (t.at, t.line))
                .filter(|(at, _)| *at <= attempt.first_byte_at);
            let start = starts
                .peek()
                .map(|s| (s.0, s.3))
                .filter(|(at, _)| *at <= attempt.first_byte_at);
            match (told, start) {
                (None, None) => break,
                (told, Some(start)) if told.is_none_or(|told| start.1 < told.1) => {
                    let Some((_, door, _, _)) = starts.next() else {
                        break;
                    };
                    stopped.retain(|(of, _), _| of != door);
                    sent.retain(|(of, _), _| of != door);
                }
                _ => {
                    let Some(update) = updates.next() else {
                        break;
                    };
                    let key = (update.proxy, update.node);
                    let entry = stopped.entry(key).or_default();
                    let first = entry.is_empty();
                    if update.health == Health::Up {
                        // A source cancels its own drain; any source cancels by a newer instance of the node.
                        entry.retain(|source, stop| {
                            let older = update.version < stop.version;
                            (*source != update.source || older)
                                && !update.started_at.is_some_and(|born| born > stop.at)
                        });
                    } else {
                        let NodeUpdate {
                            at, line, version, ..
                        } = *update;
                        let stop =
                            entry
                                .entry(update.source)
                                .or_insert(StopNotice { at, line, version });
                        stop.version = stop.version.max(version);
                    }
                    if first && !entry.is_empty() {
                        let recent = sent
                            .get(&key)
                            .is_some_and(|at| update.at - at < RECENT_TRAFFIC_WINDOW);
                        result.tested += u64::from(recent);
                    }
                }
            }
        }
        let key = (attempt.proxy, attempt.node);
        let earliest = stopped
            .get(&key)
            .and_then(|stops| stops.values().min_by(|a, b| a.at.total_cmp(&b.at)));
        if let Some(StopNotice {
            at: since, line, ..
        }) = earliest
        {
            let after = attempt.first_byte_at - since;
            result.record_margin(attempt.first_byte_at, grace - after);
            if after > grace {
                let text = format!(
                    "front door {} sent to node {} {after:.0} ms after it was told to stop; {grace:.0} ms are allowed",
                    attempt.proxy, attempt.node
                );
                result.record_violation(
                    attempt.first_byte_at,
                    attempt.id,
                    &[*line, attempt.line],
                    text,
                );
            }
        }
        sent.insert(key, attempt.first_byte_at);
    }
    // Notifications after the last send are tests too, if the proxy had been sending there.
    for update in updates.filter(|update| update.health != Health::Up) {
        let key = (update.proxy, update.node);
        let before = stopped.get(&key).is_some_and(|stops| !stops.is_empty());
        let recent = sent
            .get(&key)
            .is_some_and(|at| update.at - at < RECENT_TRAFFIC_WINDOW);
        result.tested += u64::from(recent && !before);
    }
    result.finish()
}
