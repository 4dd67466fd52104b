//! Rule 3: nothing new goes to a node later than the stated grace after the front door was told that it drains or is
//! gone. A send counts from its first byte, whole or not. What a source had to tell counts as told some seconds later, if it
//! was not told before; a word of a lower version than the stop's takes no stop back, whenever it comes.

use crate::rule_result::RuleResult;
use crate::trace_index::{NodeUpdate, TraceIndex};
use maplefall_event_trace::{Health, Millis, ProxyState};
use std::collections::BTreeMap;

/// How recently a front door must have sent to a node for its drain to be a test.
const RECENT_TRAFFIC_WINDOW: Millis = 10_000.0;

/// A stop that holds: since when a node is to be left alone, by which line, and by which version of the list.
#[derive(Clone, Copy)]
struct StopNotice {
    at: Millis,
    line: usize,
    version: u64,
}

/// What a front door knows of a node by each source. One source's drain holds whatever another says, until the one that
/// told it takes it back.
type ActiveStops = BTreeMap<(u32, u32), BTreeMap<u32, StopNotice>>;

/// Judges it.
pub fn check(view: &TraceIndex<'_>) -> RuleResult {
    let tested_by = "drains and removals told to a front door that had been sending there";
    let mut ruling = RuleResult::new(3, "drains kept", tested_by, "ms before the last moment");
    let rules = view.trace.header.rules;
    let grace = rules.drain_grace_ms + rules.socket_slack_ms;
    let mut stopped: ActiveStops = BTreeMap::new();
    let mut sent: BTreeMap<(u32, u32), Millis> = BTreeMap::new();
    let mut told: Vec<_> = view.updates.iter().chain(&view.updates_due).collect();
    told.sort_by(|a, b| a.at.total_cmp(&b.at));
    let mut tellings = told.into_iter().peekable();
    let starts = view
        .proxy_states
        .iter()
        .filter(|(_, _, state, _)| *state == ProxyState::Started);
    let mut starts = starts.peekable();
    let mut sends: Vec<_> = view.attempts.iter().collect();
    sends.sort_by(|a, b| a.first_byte_at.total_cmp(&b.first_byte_at));
    for attempt in sends {
        // All that was told, and every new life of a front door, up to this send; a start comes before what the
        // front door starts with.
        loop {
            let told = tellings
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
                    let Some(telling) = tellings.next() else {
                        break;
                    };
                    let key = (telling.proxy, telling.node);
                    let entry = stopped.entry(key).or_default();
                    let first = entry.is_empty();
                    if telling.health == Health::Up {
                        // Its own stop is taken back; anybody's, by a newer life of the node.
                        entry.retain(|source, stop| {
                            let older = telling.version < stop.version;
                            (*source != telling.source || older)
                                && !telling.started_at.is_some_and(|born| born > stop.at)
                        });
                    } else {
                        let NodeUpdate {
                            at, line, version, ..
                        } = *telling;
                        let stop =
                            entry
                                .entry(telling.source)
                                .or_insert(StopNotice { at, line, version });
                        stop.version = stop.version.max(version);
                    }
                    if first && !entry.is_empty() {
                        let recent = sent
                            .get(&key)
                            .is_some_and(|at| telling.at - at < RECENT_TRAFFIC_WINDOW);
                        ruling.tested += u64::from(recent);
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
            ruling.record_margin(attempt.first_byte_at, grace - after);
            if after > grace {
                let text = format!(
                    "front door {} sent to node {} {after:.0} ms after it was told to stop; {grace:.0} ms are allowed",
                    attempt.proxy, attempt.node
                );
                ruling.record_violation(
                    attempt.first_byte_at,
                    attempt.id,
                    &[*line, attempt.line],
                    text,
                );
            }
        }
        sent.insert(key, attempt.first_byte_at);
    }
    // What was told after the last send was a test too, if there had been sends.
    for telling in tellings.filter(|telling| telling.health != Health::Up) {
        let key = (telling.proxy, telling.node);
        let before = stopped.get(&key).is_some_and(|stops| !stops.is_empty());
        let recent = sent
            .get(&key)
            .is_some_and(|at| telling.at - at < RECENT_TRAFFIC_WINDOW);
        ruling.tested += u64::from(recent && !before);
    }
    ruling.finish()
}
