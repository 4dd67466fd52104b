//! How long drains take: from the moment at which one was committed, and from the moment at which each front door learned
//! of it, to the last byte of new work that the front door began at the node.

use crate::trace_index::TraceIndex;
use maplefall_event_trace::{Health, Millis, Trace};

/// One drain at one front door.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DrainTime {
    /// Which front door.
    pub proxy: u32,
    /// Which node.
    pub node: u32,
    /// From the commit to the front door's learning of it; `None` where nothing was committed (an agent tells by itself).
    pub notification_delay: Option<Millis>,
    /// From the moment at which its source had it to tell to the telling; `None` where that is not in the record.
    pub watch_delay: Option<Millis>,
    /// From the commit to the last byte of new work; 0 if there was none after it, `None` as above.
    pub until_quiet_after_commit: Option<Millis>,
    /// From learning to the last byte of new work; 0 if there was none after it.
    pub until_quiet_after_notification: Millis,
}

/// Every drain that a front door was told of, in the order of the telling. A front door that was told of a node twice
/// counts once for each life of the node.
pub fn drain_times(record: &Trace) -> Vec<DrainTime> {
    let view = TraceIndex::new(record);
    let mut found = Vec::new();
    let mut stopped: std::collections::BTreeMap<(u32, u32, u32), bool> = Default::default();
    for telling in &view.updates {
        let (key, by) = (
            (telling.proxy, telling.node),
            (telling.proxy, telling.node, telling.source),
        );
        if telling.health == Health::Up {
            stopped.insert(by, false);
            continue;
        }
        // Told of as up before, and not stopped since: this is where it stops.
        if stopped.insert(by, true) != Some(false) {
            continue;
        }
        let of_node = |(_, node, _): &&(Millis, u32, Health)| *node == telling.node;
        let up_again = view
            .committed
            .iter()
            .filter(of_node)
            .find(|(at, _, h)| *at > telling.at && *h == Health::Up);
        let until = up_again.map_or(f64::INFINITY, |(at, _, _)| *at);
        let commits = view
            .committed
            .iter()
            .filter(of_node)
            .filter(|(at, _, _)| *at <= telling.at);
        // The first stop since the node was last up.
        let mut commit = None;
        for (at, _, health) in commits {
            match health {
                Health::Up => commit = None,
                _ => {
                    commit.get_or_insert(*at);
                }
            }
        }
        let last = |from: Millis| {
            let new = view.attempts.iter().filter(|attempt| {
                (attempt.proxy, attempt.node) == key
                    && attempt.first_byte_at > from
                    && attempt.first_byte_at < until
            });
            new.map(|attempt| attempt.received_at - from)
                .fold(0.0, f64::max)
        };
        found.push(DrainTime {
            proxy: telling.proxy,
            node: telling.node,
            watch_delay: view
                .updates_due
                .iter()
                .filter(|due| (due.proxy, due.node) == key && due.health != Health::Up)
                .map(|due| due.at - record.header.rules.notification_timeout_ms)
                .rfind(|at| *at <= telling.at)
                .map(|at| telling.at - at),
            notification_delay: commit.map(|commit| telling.at - commit),
            until_quiet_after_commit: commit.map(last),
            until_quiet_after_notification: last(telling.at),
        });
    }
    found
}

#[cfg(test)]
mod tests {
    use super::*;
    use maplefall_event_trace::{Event, EventKind, Header, Rules, VERSION};

    fn came(attempt: u64, node: u32, first: Millis) -> EventKind {
        let (id, key) = (format!("r{attempt}"), None);
        EventKind::AttemptReceived {
            attempt,
            node,
            proxy: 0,
            id,
            key,
            fingerprint: 0,
            first_byte_at: first,
            complete: true,
            work: 1.0,
        }
    }

    #[test]
    fn new_work_after_the_commit_counts_and_work_begun_before_does_not() {
        let told = |health| EventKind::NodeUpdate {
            proxy: 0,
            node: 1,
            health,
            started_at: None,
            source: 1,
            version: 0,
        };
        let lines = [
            (0.0, told(Health::Up)),
            (
                100.0,
                EventKind::Committed {
                    node: 1,
                    health: Health::Draining,
                },
            ),
            (
                105.0,
                EventKind::NodeUpdateDue {
                    proxy: 0,
                    node: 1,
                    health: Health::Draining,
                    version: 2,
                },
            ),
            (130.0, told(Health::Draining)),
            (140.0, came(2, 1, 125.0)),
            (150.0, came(3, 1, 145.0)),
            (160.0, came(4, 2, 155.0)),
            // Begun before the commit: its last byte comes last of all and does not count.
            (165.0, came(1, 1, 99.0)),
            // The same drain told again is none.
            (170.0, told(Health::Removed)),
            // Up again: what comes now is no work of a drained node.
            (
                180.0,
                EventKind::Committed {
                    node: 1,
                    health: Health::Up,
                },
            ),
            (195.0, came(5, 1, 190.0)),
        ];
        let header = Header {
            version: VERSION,
            scenario: "x".into(),
            seed: 1,
            proxies: 1,
            classes: Vec::new(),
            plans: Vec::new(),
            rules: Rules::platform(1.0),
        };
        let lines = lines
            .into_iter()
            .map(|(at, entry)| Event { at, kind: entry })
            .collect();
        let found = drain_times(&Trace {
            header,
            events: lines,
        });
        let expected = DrainTime {
            proxy: 0,
            node: 1,
            notification_delay: Some(30.0),
            watch_delay: Some(25.0),
            until_quiet_after_commit: Some(50.0),
            until_quiet_after_notification: 20.0,
        };
        assert_eq!(found, [expected]);
    }
}
