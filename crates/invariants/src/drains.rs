//! Rule 3: a proxy sends nothing new to a node later than the drain grace after it was notified that the node drains or was
//! removed. A send counts from its first byte, complete or not. A change that a source has counts as notified after
//! `Rules::notification_timeout_ms` even if undelivered; an update of a lower version never cancels a drain of a higher one.

use crate::rule_result::RuleResult;
use crate::trace_index::{Attempt, NodeUpdate, TraceIndex};
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

/// A proxy and a node that it may send to.
type Route = (u32, u32);

/// Drains in force by route and membership source. A source's drain is in force whatever other sources say, until the same
/// source cancels it.
type ActiveStops = BTreeMap<Route, BTreeMap<u32, StopNotice>>;

/// The state of the check while notifications, restarts and sends are replayed in the order of their times.
struct Replay {
    active: ActiveStops,
    last_sent: BTreeMap<Route, Millis>,
    grace: Millis,
    result: RuleResult,
}

impl Replay {
    /// A restarted proxy knows nothing of earlier notifications.
    fn restart(&mut self, proxy: u32) {
        self.active.retain(|(of, _), _| *of != proxy);
        self.last_sent.retain(|(of, _), _| *of != proxy);
    }

    fn sent_recently(&self, route: Route, now: Millis) -> bool {
        let last = self.last_sent.get(&route);
        last.is_some_and(|at| now - at < RECENT_TRAFFIC_WINDOW)
    }

    fn notify(&mut self, update: &NodeUpdate) {
        let route = (update.proxy, update.node);
        let recent = self.sent_recently(route, update.at);
        let stops = self.active.entry(route).or_default();
        let was_free = stops.is_empty();
        if update.health == Health::Up {
            // A source cancels its own drain; any source cancels by a newer instance of the node.
            stops.retain(|source, stop| {
                let older = update.version < stop.version;
                (*source != update.source || older)
                    && !update.started_at.is_some_and(|started| started > stop.at)
            });
        } else {
            let NodeUpdate {
                at, line, version, ..
            } = *update;
            let notice = StopNotice { at, line, version };
            let stop = stops.entry(update.source).or_insert(notice);
            stop.version = stop.version.max(version);
        }
        if was_free && !stops.is_empty() {
            self.result.tested += u64::from(recent);
        }
    }

    fn send(&mut self, attempt: &Attempt<'_>) {
        let route = (attempt.proxy, attempt.node);
        let earliest = self
            .active
            .get(&route)
            .and_then(|stops| stops.values().min_by(|a, b| a.at.total_cmp(&b.at)));
        if let Some(stop) = earliest {
            let after = attempt.first_byte_at - stop.at;
            let grace = self.grace;
            self.result
                .record_margin(attempt.first_byte_at, grace - after);
            if after > grace {
                let text = format!(
                    "front door {} sent to node {} {after:.0} ms after it was told to stop; {grace:.0} ms are allowed",
                    attempt.proxy, attempt.node
                );
                let lines = [stop.line, attempt.line];
                self.result
                    .record_violation(attempt.first_byte_at, attempt.id, &lines, text);
            }
        }
        self.last_sent.insert(route, attempt.first_byte_at);
    }

    /// Notifications after the last send are tests too, if the proxy had been sending there.
    fn notify_after_last_send(&mut self, update: &NodeUpdate) {
        let route = (update.proxy, update.node);
        let stopped_before = self
            .active
            .get(&route)
            .is_some_and(|stops| !stops.is_empty());
        let recent = self.sent_recently(route, update.at);
        self.result.tested += u64::from(recent && !stopped_before);
    }
}

/// Checks the rule.
pub fn check(index: &TraceIndex<'_>) -> RuleResult {
    let tested_by = "drains and removals told to a front door that had been sending there";
    let rules = index.trace.header.rules;
    let mut replay = Replay {
        active: BTreeMap::new(),
        last_sent: BTreeMap::new(),
        grace: rules.drain_grace_ms + rules.socket_slack_ms,
        result: RuleResult::new(3, "drains kept", tested_by, "ms before the last moment"),
    };
    let mut updates: Vec<_> = index.updates.iter().chain(&index.updates_due).collect();
    updates.sort_by(|a, b| a.at.total_cmp(&b.at));
    let mut updates = updates.into_iter().peekable();
    let starts = index
        .proxy_states
        .iter()
        .filter(|(_, _, state, _)| *state == ProxyState::Started);
    let mut starts = starts.peekable();
    let mut sends: Vec<_> = index.attempts.iter().collect();
    sends.sort_by(|a, b| a.first_byte_at.total_cmp(&b.first_byte_at));
    for attempt in sends {
        let until = attempt.first_byte_at;
        loop {
            let update = updates.next_if(|update| {
                // A restart precedes what the proxy starts with.
                let restart = starts.peek().filter(|start| start.0 <= until);
                update.at <= until && restart.is_none_or(|start| start.3 >= update.line)
            });
            if let Some(update) = update {
                replay.notify(update);
            } else if let Some((_, proxy, _, _)) = starts.next_if(|start| start.0 <= until) {
                replay.restart(*proxy);
            } else {
                break;
            }
        }
        replay.send(attempt);
    }
    for update in updates.filter(|update| update.health != Health::Up) {
        replay.notify_after_last_send(update);
    }
    replay.result.finish()
}
