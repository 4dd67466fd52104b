//! Durations of drains on a trace made by hand.

use maplefall_event_trace::{Event, EventKind, Header, Health, Millis, Rules, Trace, VERSION};
use maplefall_invariants::drain_times::{drain_times, DrainTime};

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
fn only_work_begun_after_the_commit_counts() {
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
