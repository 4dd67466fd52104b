//! Durations of drains on a trace built by hand.

use maplefall_event_trace::{Event, EventKind, Header, Health, Millis, Rules, Trace, VERSION};
use maplefall_invariants::drain_times::{drain_times, DrainTime};

fn received(attempt: u64, node: u32, first_byte_at: Millis) -> EventKind {
    let (id, key) = (format!("r{attempt}"), None);
    EventKind::AttemptReceived {
        attempt,
        node,
        proxy: 0,
        id,
        key,
        fingerprint: 0,
        first_byte_at,
        complete: true,
        work: 1.0,
    }
}

#[test]
fn only_work_started_after_the_commit_counts() {
    let notified = |health| EventKind::NodeUpdate {
        proxy: 0,
        node: 1,
        health,
        started_at: None,
        source: 1,
        version: 0,
    };
    let events = [
        (0.0, notified(Health::Up)),
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
        (130.0, notified(Health::Draining)),
        (140.0, received(2, 1, 125.0)),
        (150.0, received(3, 1, 145.0)),
        (160.0, received(4, 2, 155.0)),
        // Started before the commit: does not count, although its last byte arrives after all
        // others.
        (165.0, received(1, 1, 99.0)),
        // A repeated notification of the same drain does not count.
        (170.0, notified(Health::Removed)),
        // Up again: later work does not belong to the drain.
        (
            180.0,
            EventKind::Committed {
                node: 1,
                health: Health::Up,
            },
        ),
        (195.0, received(5, 1, 190.0)),
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
    let events = events
        .into_iter()
        .map(|(at, kind)| Event { at, kind })
        .collect();
    let measured = drain_times(&Trace { header, events });
    let expected = DrainTime {
        proxy: 0,
        node: 1,
        notification_delay: Some(30.0),
        watch_delay: Some(25.0),
        until_quiet_after_commit: Some(50.0),
        until_quiet_after_notification: 20.0,
    };
    assert_eq!(measured, [expected]);
}
