//! Rule 3: once the drain grace after the notification that a node drains or was removed has
//! passed, a proxy sends nothing new to the node. A send counts from its first byte, complete or
//! not. A proxy counts as notified of a source's change after `Rules::notification_timeout_ms`,
//! even if the change was not delivered; an update with a lower version never cancels a drain with
//! a higher one.

use crate::rule_result::RuleResult;
use crate::trace_index::{Attempt, NodeUpdate, TraceIndex};
use maplefall_event_trace::{Health, Millis, ProxyState};
use std::collections::BTreeMap;

/// Time before a drain in which the proxy must have sent to the node for the drain to count as a
/// test.
const RECENT_TRAFFIC_WINDOW: Millis = 10_000.0;

/// A drain or removal in force: its start, the trace line of its notification, and the version of
/// the membership list.
#[derive(Clone, Copy)]
struct StopNotice {
    at: Millis,
    line: usize,
    version: u64,
}

/// Numbers of a proxy and of a node that the proxy sends to.
type Route = (u32, u32);

/// Drains in force by route and membership source. A source's drain stays in force, whatever other
/// sources report, until the same source cancels it or any source reports a newer instance of the
/// node.
type ActiveStops = BTreeMap<Route, BTreeMap<u32, StopNotice>>;

/// State of the check while notifications, restarts and sends are replayed in order of time.
struct Replay {
    active: ActiveStops,
    last_sent: BTreeMap<Route, Millis>,
    grace: Millis,
    result: RuleResult,
}

impl Replay {
    /// Drops the notifications of a proxy: a restarted proxy has lost them.
    fn restart(&mut self, proxy: u32) {
        self.active.retain(|(sender, _), _| *sender != proxy);
        self.last_sent.retain(|(sender, _), _| *sender != proxy);
    }

    fn sent_recently(&self, route: Route, now: Millis) -> bool {
        let last = self.last_sent.get(&route);
        last.is_some_and(|at| now - at < RECENT_TRAFFIC_WINDOW)
    }

    fn notify(&mut self, update: &NodeUpdate) {
        let route = (update.proxy, update.node);
        let recent = self.sent_recently(route, update.at);
        let stops = self.active.entry(route).or_default();
        let was_unrestricted = stops.is_empty();
        if update.health == Health::Up {
            // A source cancels its own drain; a newer instance of the node cancels all drains.
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
        if was_unrestricted && !stops.is_empty() {
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
            let elapsed = attempt.first_byte_at - stop.at;
            let grace = self.grace;
            self.result
                .record_margin(attempt.first_byte_at, grace - elapsed);
            if elapsed > grace {
                let description = format!(
                    "gateway {} sent to node {} {elapsed:.0} ms after the notification of its drain; {grace:.0} ms are allowed",
                    attempt.proxy, attempt.node
                );
                let lines = [stop.line, attempt.line];
                self.result.record_violation(
                    attempt.first_byte_at,
                    attempt.id,
                    &lines,
                    description,
                );
            }
        }
        self.last_sent.insert(route, attempt.first_byte_at);
    }

    /// Counts a notification after the last send as a test if the proxy had recently sent to the
    /// node.
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
    let tested_by = "drains and removals notified to a gateway that had recently sent to the node";
    let rules = index.trace.header.rules;
    let mut replay = Replay {
        active: BTreeMap::new(),
        last_sent: BTreeMap::new(),
        grace: rules.drain_grace_ms + rules.socket_slack_ms,
        result: RuleResult::new(3, "drains kept", tested_by, "ms of the drain grace left"),
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
                // A restart precedes the notifications that the proxy starts with.
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
