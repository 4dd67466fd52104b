//! Durations of drains: from the commit of a drain, and from its notification to each proxy, until
//! the last byte of new work that the proxy started to send to the node.

use crate::trace_index::TraceIndex;
use maplefall_event_trace::{Health, Millis, Trace};

/// One drain at one proxy; all durations in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DrainTime {
    /// Number of the proxy.
    pub proxy: u32,
    /// Number of the node.
    pub node: u32,
    /// From the commit to the notification; `None` if nothing was committed (the discovery agent
    /// notified without a commit).
    pub notification_delay: Option<Millis>,
    /// From the time at which the membership source had the change to the notification; `None` if
    /// the trace does not hold that time.
    pub watch_delay: Option<Millis>,
    /// From the commit to the last byte of new work; 0 without new work, `None` if nothing was
    /// committed.
    pub until_quiet_after_commit: Option<Millis>,
    /// From the notification to the last byte of new work; 0 without new work.
    pub until_quiet_after_notification: Millis,
}

/// Returns every drain that a proxy was notified of, in the order of the notifications. Repeated
/// notifications from a source count once per instance of the node.
pub fn drain_times(trace: &Trace) -> Vec<DrainTime> {
    let index = TraceIndex::new(trace);
    let mut drains = Vec::new();
    let mut stopped: std::collections::BTreeMap<(u32, u32, u32), bool> = Default::default();
    for update in &index.updates {
        let (key, source_key) = (
            (update.proxy, update.node),
            (update.proxy, update.node, update.source),
        );
        if update.health == Health::Up {
            stopped.insert(source_key, false);
            continue;
        }
        // Only the transition from up counts: a source can repeat the drain.
        if stopped.insert(source_key, true) != Some(false) {
            continue;
        }
        let of_node = |(_, node, _): &&(Millis, u32, Health)| *node == update.node;
        let next_up = index
            .committed
            .iter()
            .filter(of_node)
            .find(|(at, _, health)| *at > update.at && *health == Health::Up);
        let drain_end = next_up.map_or(f64::INFINITY, |(at, _, _)| *at);
        let commits = index
            .committed
            .iter()
            .filter(of_node)
            .filter(|(at, _, _)| *at <= update.at);
        // The first drain or removal since the node was last up.
        let mut commit = None;
        for (at, _, health) in commits {
            match health {
                Health::Up => commit = None,
                _ => {
                    commit.get_or_insert(*at);
                }
            }
        }
        let until_last_byte = |from: Millis| {
            let new_attempts = index.attempts.iter().filter(|attempt| {
                (attempt.proxy, attempt.node) == key
                    && attempt.first_byte_at > from
                    && attempt.first_byte_at < drain_end
            });
            new_attempts
                .map(|attempt| attempt.received_at - from)
                .fold(0.0, f64::max)
        };
        drains.push(DrainTime {
            proxy: update.proxy,
            node: update.node,
            watch_delay: index
                .updates_due
                .iter()
                .filter(|due| (due.proxy, due.node) == key && due.health != Health::Up)
                .map(|due| due.at - trace.header.rules.notification_timeout_ms)
                .rfind(|at| *at <= update.at)
                .map(|at| update.at - at),
            notification_delay: commit.map(|commit| update.at - commit),
            until_quiet_after_commit: commit.map(until_last_byte),
            until_quiet_after_notification: until_last_byte(update.at),
        });
    }
    drains
}
