//! Examples of each rule of the package.

use maplefall_membership::{EndpointList, Event, Report, SourceSettings, Update};
use maplefall_protocol::{Health, Member, Members};
use Health::{Draining, Removed, Up};

const AGENT: usize = 0;
const ETCD: usize = 1;

fn backend(host: &str, health: Health, born_ms: f64) -> Member {
    // Each name has its own address, unless a test sets one.
    let port = 1000
        + host.bytes().fold(0u16, |sum, byte| {
            sum.wrapping_mul(31).wrapping_add(u16::from(byte))
        }) % 50_000;
    let dial = format!("127.0.0.1:{port}").parse().unwrap();
    Member {
        host: host.into(),
        dial,
        site: "z".into(),
        block: 0,
        health,
        share: 1.0,
        born_ms,
    }
}

fn list(seq: u64, hosts: &[Member]) -> Members {
    Members {
        seq,
        whole: true,
        hosts: hosts.to_vec(),
    }
}

fn snapshot(source: usize, seq: u64, hosts: &[Member]) -> Event {
    Event::Snapshot {
        source,
        members: list(seq, hosts),
        unreadable: Vec::new(),
    }
}

fn change(source: usize, seq: u64, hosts: &[Member]) -> Event {
    Event::Change {
        source,
        members: Members {
            whole: false,
            ..list(seq, hosts)
        },
    }
}

fn agent_and_etcd() -> EndpointList {
    EndpointList::new(vec![
        SourceSettings::trusted("agent"),
        SourceSettings::trusted("etcd"),
    ])
}

/// Returns the names and states in an update.
fn changes(update: &Update) -> Vec<(&str, Health)> {
    update
        .changes
        .iter()
        .map(|member| (member.host.as_str(), member.health))
        .collect()
}

/// Returns the names and states of all backends.
fn states(endpoints: &EndpointList) -> Vec<(&str, Health)> {
    endpoints
        .members()
        .map(|member| (member.host.as_str(), member.health))
        .collect()
}

/// All events of a single trusted source are applied at once.
#[test]
fn events_of_a_single_trusted_source_are_applied() {
    let mut endpoints = EndpointList::new(vec![SourceSettings::trusted("agent")]);
    let update = endpoints.apply_event(
        0.0,
        snapshot(AGENT, 1, &[backend("a", Up, 0.0), backend("b", Up, 0.0)]),
    );
    assert_eq!(changes(&update), [("a", Up), ("b", Up)]);
    let update = endpoints.apply_event(1.0, change(AGENT, 2, &[backend("b", Draining, 0.0)]));
    assert_eq!(changes(&update), [("b", Draining)]);
    let update = endpoints.apply_event(
        2.0,
        change(
            AGENT,
            3,
            &[backend("b", Removed, 0.0), backend("c", Up, 5.0)],
        ),
    );
    assert_eq!(changes(&update), [("b", Removed), ("c", Up)]);
    let update = endpoints.apply_event(3.0, snapshot(AGENT, 4, &[backend("c", Up, 5.0)]));
    assert_eq!(changes(&update), [("a", Removed)]);
    assert_eq!(
        changes(&endpoints.apply_event(4.0, snapshot(AGENT, 5, &[backend("c", Up, 5.0)]))),
        []
    );
}

/// Rule 1: late events change nothing, and versions can restart.
#[test]
fn late_events_change_nothing() {
    let mut endpoints = agent_and_etcd();
    endpoints.apply_event(0.0, snapshot(ETCD, 10, &[backend("a", Up, 0.0)]));
    endpoints.apply_event(1.0, change(ETCD, 12, &[backend("a", Draining, 0.0)]));
    // An old event on a second stream, and a snapshot of a lagging replica, are ignored.
    assert_eq!(
        changes(&endpoints.apply_event(2.0, change(ETCD, 11, &[backend("a", Up, 0.0)]))),
        []
    );
    assert_eq!(
        changes(&endpoints.apply_event(2.0, change(ETCD, 12, &[backend("a", Up, 0.0)]))),
        []
    );
    assert_eq!(
        changes(&endpoints.apply_event(3.0, snapshot(ETCD, 9, &[]))),
        []
    );
    assert_eq!(states(&endpoints), [("a", Draining)]);
    // Another service under the same name restarts the versions.
    endpoints.apply_event(4.0, Event::Replaced { source: ETCD });
    assert_eq!(
        changes(&endpoints.apply_event(5.0, snapshot(ETCD, 3, &[backend("a", Up, 0.0)]))),
        [("a", Up)]
    );
}

/// Rule 2: a drain by one source holds against the other, whichever has precedence.
#[test]
fn a_drain_wins_until_its_source_takes_it_back() {
    for order in [[AGENT, ETCD], [ETCD, AGENT]] {
        let mut endpoints = agent_and_etcd();
        endpoints.apply_event(0.0, snapshot(order[0], 1, &[backend("a", Up, 7.0)]));
        endpoints.apply_event(1.0, snapshot(order[1], 1, &[backend("a", Draining, 7.0)]));
        assert_eq!(states(&endpoints), [("a", Draining)]);
        // The other source reports the backend as up again: that cannot revoke a drain of another
        // source.
        assert_eq!(
            changes(&endpoints.apply_event(2.0, change(order[0], 2, &[backend("a", Up, 7.0)]))),
            []
        );
        let update = endpoints.apply_event(3.0, change(order[1], 2, &[backend("a", Up, 7.0)]));
        assert_eq!(changes(&update), [("a", Up)]);
    }
}

/// Rule 2: a backend that was stopped and starts again is used again.
#[test]
fn a_stop_does_not_apply_to_a_newer_instance() {
    let mut endpoints = agent_and_etcd();
    endpoints.apply_event(0.0, snapshot(AGENT, 1, &[backend("a", Up, 7.0)]));
    endpoints.apply_event(1.0, change(ETCD, 1, &[backend("a", Removed, 7.0)]));
    assert_eq!(states(&endpoints), []);
    assert_eq!(
        changes(&endpoints.apply_event(2.0, change(AGENT, 2, &[backend("a", Up, 7.0)]))),
        [],
        "the same instance"
    );
    assert_eq!(
        changes(&endpoints.apply_event(3.0, change(AGENT, 3, &[backend("a", Up, 9.0)]))),
        [("a", Up)]
    );
    // A stop without a start applies to the instances known then, not to a later one.
    endpoints.apply_event(4.0, change(ETCD, 2, &[backend("a", Draining, 0.0)]));
    assert_eq!(states(&endpoints), [("a", Draining)]);
    endpoints.apply_event(5.0, change(AGENT, 4, &[backend("a", Up, 11.0)]));
    assert_eq!(states(&endpoints), [("a", Up)]);
}

/// Rule 2: a source without authority cannot drain a backend of another source.
#[test]
fn a_source_without_authority_only_adds() {
    let mut endpoints = EndpointList::new(vec![
        SourceSettings::trusted("agent"),
        SourceSettings {
            authoritative: false,
            ..SourceSettings::trusted("file")
        },
    ]);
    endpoints.apply_event(0.0, snapshot(AGENT, 1, &[backend("a", Up, 0.0)]));
    let update = endpoints.apply_event(
        1.0,
        snapshot(1, 1, &[backend("a", Draining, 0.0), backend("b", Up, 0.0)]),
    );
    assert_eq!(changes(&update), [("b", Up)]);
    endpoints.apply_event(2.0, change(AGENT, 2, &[backend("b", Draining, 0.0)]));
    assert_eq!(states(&endpoints), [("a", Up), ("b", Draining)]);
}

/// Rule 3: a snapshot that lacks too many backends does not remove them at once.
#[test]
fn backends_missing_from_a_shrunken_snapshot_stay_for_the_suspicion_timeout() {
    let etcd = SourceSettings {
        max_missing_fraction: 0.5,
        suspicion_timeout: 1000.0,
        ..SourceSettings::trusted("etcd")
    };
    let mut endpoints = EndpointList::new(vec![etcd]);
    let all: Vec<Member> = ["a", "b", "c", "d"]
        .map(|host| backend(host, Up, 0.0))
        .into();
    endpoints.apply_event(0.0, snapshot(0, 1, &all));
    // A snapshot can lack half of the backends; a drain in a snapshot that lacks more than half is
    // applied at once too.
    let update = endpoints.apply_event(1.0, snapshot(0, 2, &[backend("a", Draining, 0.0)]));
    assert_eq!(changes(&update), [("a", Draining)]);
    assert_eq!(
        update.reports,
        [Report::BackendsSuspected {
            source: "etcd".into(),
            missing: 3,
            total: 4
        }]
    );
    let update = endpoints.apply_event(
        500.0,
        snapshot(0, 3, &[backend("a", Up, 0.0), backend("b", Up, 0.0)]),
    );
    assert_eq!(
        changes(&update),
        [("c", Removed), ("d", Removed), ("a", Up)],
        "half of the source's backends"
    );
    endpoints.apply_event(600.0, snapshot(0, 4, &[]));
    assert_eq!(
        changes(&endpoints.apply_event(1599.0, snapshot(0, 5, &[]))),
        [],
        "still suspected"
    );
    assert_eq!(endpoints.next_due(), Some(1600.0));
    // A source with a watch does not repeat unchanged entries, so the timeout alone decides.
    assert_eq!(
        changes(&endpoints.tick(1600.0)),
        [("a", Removed), ("b", Removed)]
    );
    assert_eq!(endpoints.next_due(), None);
    // Removals by name are applied at once, however many, and reported.
    endpoints.apply_event(2000.0, snapshot(0, 7, &all));
    let removed: Vec<Member> = ["a", "b", "c"]
        .map(|host| backend(host, Removed, 0.0))
        .into();
    let update = endpoints.apply_event(2001.0, change(0, 8, &removed));
    assert_eq!(update.changes.len(), 3);
    assert_eq!(
        update.reports,
        [Report::MassRemoval {
            source: "etcd".into(),
            removed: 3,
            total: 4
        }]
    );
}

/// Rule 3: suspicion ends when the backend is listed again, and does not time out while the source
/// is lost.
#[test]
fn suspicion_ends_when_the_backend_returns_and_waits_for_a_lost_source() {
    let etcd = SourceSettings {
        max_missing_fraction: 0.5,
        suspicion_timeout: 1000.0,
        ..SourceSettings::trusted("etcd")
    };
    let mut endpoints = EndpointList::new(vec![etcd]);
    let all: Vec<Member> = ["a", "b", "c", "d"]
        .map(|host| backend(host, Up, 0.0))
        .into();
    endpoints.apply_event(0.0, snapshot(0, 1, &all));
    endpoints.apply_event(1.0, snapshot(0, 2, &[]));
    endpoints.apply_event(2.0, change(0, 3, &[backend("a", Up, 0.0)]));
    endpoints.apply_event(500.0, Event::Lost { source: 0 });
    assert_eq!(endpoints.next_due(), None);
    assert_eq!(
        changes(&endpoints.tick(5000.0)),
        [],
        "no source is connected to confirm it"
    );
    let update = endpoints.apply_event(5001.0, Event::Resumed { source: 0 });
    assert_eq!(
        changes(&update),
        [("b", Removed), ("c", Removed), ("d", Removed)]
    );
    assert_eq!(
        update.reports,
        [Report::MassRemoval {
            source: "etcd".into(),
            removed: 3,
            total: 4
        }]
    );
}

/// After a restart of this process the entries and the stops of each source are restored.
#[test]
fn a_later_incarnation_restores_entries_and_stops() {
    let mut first = agent_and_etcd();
    first.apply_event(
        0.0,
        snapshot(
            AGENT,
            1,
            &[
                backend("a", Up, 7.0),
                backend("b", Up, 0.0),
                backend("c", Up, 3.0),
            ],
        ),
    );
    first.apply_event(
        0.0,
        snapshot(
            ETCD,
            1,
            &[backend("a", Draining, 7.0), backend("c", Up, 3.0)],
        ),
    );
    first.apply_event(1.0, change(ETCD, 2, &[backend("c", Removed, 0.0)]));
    let mut later = agent_and_etcd();
    let saved: Vec<Members> = first.source_entries().map(|(_, members)| members).collect();
    for (source, members) in saved.iter().enumerate() {
        later.restore(2.0, source, members);
    }
    assert_eq!(states(&later), [("a", Draining), ("b", Up)]);
    assert_eq!(states(&later), states(&first));
    // The agent has precedence, but a stop by etcd stays in force until there is a newer instance.
    let update = later.apply_event(
        3.0,
        snapshot(
            AGENT,
            1,
            &[
                backend("a", Up, 7.0),
                backend("b", Up, 0.0),
                backend("c", Up, 3.0),
            ],
        ),
    );
    assert_eq!(changes(&update), []);
    assert_eq!(
        changes(&later.apply_event(4.0, change(AGENT, 2, &[backend("c", Up, 4.0)]))),
        [("c", Up)]
    );
}

/// Rule 3: backends already suspected are not counted for later snapshots, which would otherwise
/// never remove anything at once.
#[test]
fn suspected_backends_do_not_make_later_removals_suspect() {
    let etcd = SourceSettings {
        max_missing_fraction: 0.5,
        suspicion_timeout: 1000.0,
        ..SourceSettings::trusted("etcd")
    };
    let mut endpoints = EndpointList::new(vec![etcd]);
    let many = |from: u32, to: u32| {
        (from..to)
            .map(|n| backend(&format!("n{n}"), Up, 0.0))
            .collect::<Vec<_>>()
    };
    endpoints.apply_event(0.0, snapshot(0, 1, &many(0, 10)));
    // The second snapshot lacks eight of ten backends, which are suspected; the third lacks one of
    // the six that the second listed, which is removed at once.
    assert_eq!(
        changes(&endpoints.apply_event(1.0, snapshot(0, 2, &many(8, 14)))).len(),
        4
    );
    let update = endpoints.apply_event(2.0, snapshot(0, 3, &many(9, 14)));
    assert_eq!(changes(&update), [("n8", Removed)]);
    assert!(update.reports.is_empty(), "{:?}", update.reports);
    assert_eq!(endpoints.members().count(), 13);
    endpoints.tick(1001.0);
    assert_eq!(endpoints.members().count(), 5);
}

/// Rules 3 and 4: all sources are lost for a minute and return with half of the backends.
#[test]
fn an_outage_of_all_sources_removes_nothing_at_once() {
    let etcd = SourceSettings {
        max_missing_fraction: 0.3,
        suspicion_timeout: 10_000.0,
        expiry_timeout: 5000.0,
        ..SourceSettings::trusted("etcd")
    };
    let mut endpoints = EndpointList::new(vec![
        SourceSettings {
            name: "agent".into(),
            ..etcd.clone()
        },
        etcd,
    ]);
    let all: Vec<Member> = ["a", "b", "c", "d"]
        .map(|host| backend(host, Up, 0.0))
        .into();
    for source in [AGENT, ETCD] {
        endpoints.apply_event(0.0, snapshot(source, 1, &all));
    }
    for source in [AGENT, ETCD] {
        endpoints.apply_event(1.0, Event::Lost { source });
    }
    assert_eq!(endpoints.next_due(), Some(5001.0));
    assert_eq!(
        changes(&endpoints.tick(60_000.0)),
        [],
        "nothing expires while no source is connected"
    );
    // Both sources have half of the backends when they return.
    assert_eq!(
        changes(&endpoints.apply_event(61_000.0, snapshot(AGENT, 2, &all[..2]))),
        []
    );
    assert_eq!(
        changes(&endpoints.apply_event(62_000.0, snapshot(ETCD, 2, &all[..2]))),
        []
    );
    assert_eq!(endpoints.members().count(), 4);
    assert_eq!(changes(&endpoints.tick(70_999.0)), []);
    assert_eq!(
        changes(&endpoints.tick(71_000.0)),
        [("c", Removed), ("d", Removed)]
    );
}

/// Rule 3: an entry that cannot be read does not count as missing.
#[test]
fn an_unreadable_entry_is_not_missing() {
    let mut endpoints = agent_and_etcd();
    endpoints.apply_event(
        0.0,
        snapshot(
            ETCD,
            1,
            &[
                backend("a", Draining, 0.0),
                backend("b", Up, 0.0),
                backend("c", Up, 0.0),
            ],
        ),
    );
    let members = list(2, &[backend("b", Up, 0.0)]);
    let update = endpoints.apply_event(
        1.0,
        Event::Snapshot {
            source: ETCD,
            members,
            unreadable: vec!["a".into()],
        },
    );
    assert_eq!(changes(&update), [("c", Removed)]);
    assert_eq!(states(&endpoints), [("a", Draining), ("b", Up)]);
}

/// Rule 4: backends of a lost source expire only while another source is connected.
#[test]
fn backends_of_a_lost_source_expire_only_while_another_is_connected_and_return_with_it() {
    let expiry_timeout = 1000.0;
    let mut endpoints = EndpointList::new(vec![
        SourceSettings::trusted("agent"),
        SourceSettings {
            expiry_timeout,
            ..SourceSettings::trusted("etcd")
        },
    ]);
    endpoints.apply_event(
        0.0,
        snapshot(
            ETCD,
            1,
            &[
                backend("a", Up, 0.0),
                backend("b", Up, 0.0),
                backend("d", Draining, 0.0),
            ],
        ),
    );
    endpoints.apply_event(0.0, Event::Lost { source: ETCD });
    // All sources are lost: nothing expires.
    assert_eq!(changes(&endpoints.tick(10_000.0)), []);
    endpoints.apply_event(
        10_000.0,
        snapshot(AGENT, 1, &[backend("b", Up, 0.0), backend("d", Up, 0.0)]),
    );
    assert_eq!(
        states(&endpoints),
        [("b", Up), ("d", Draining)],
        "the stop of a lost source stays in force"
    );
    let update = endpoints.apply_event(10_001.0, Event::Resumed { source: ETCD });
    assert_eq!(changes(&update), [("a", Up)]);
    endpoints.apply_event(20_000.0, Event::Lost { source: ETCD });
    assert_eq!(endpoints.next_due(), Some(21_000.0));
    assert_eq!(changes(&endpoints.tick(20_999.0)), []);
    let update = endpoints.tick(21_000.0);
    assert_eq!(changes(&update), [("a", Removed)]);
    assert_eq!(update.reports, [Report::Expired { host: "a".into() }]);
    assert_eq!(endpoints.next_due(), None);
}

/// Rule 5: of two backends at one address, the one that started last owns the address.
#[test]
fn the_backend_that_started_last_owns_an_address() {
    let at_shared_address = |host: &str, born| Member {
        dial: "127.0.0.1:9".parse().unwrap(),
        ..backend(host, Up, born)
    };
    let mut endpoints = agent_and_etcd();
    endpoints.apply_event(0.0, snapshot(AGENT, 1, &[at_shared_address("old", 5.0)]));
    let update = endpoints.apply_event(1.0, change(AGENT, 2, &[at_shared_address("new", 9.0)]));
    assert_eq!(
        changes(&update),
        [("old", Removed), ("new", Up)],
        "stops come first"
    );
    let shared = Report::SharedAddress {
        owner: "new".into(),
        displaced: "old".into(),
    };
    assert_eq!(update.reports, [shared]);
    assert_eq!(
        endpoints
            .apply_event(2.0, change(AGENT, 3, &[at_shared_address("new", 9.0)]))
            .reports,
        [],
        "reported once"
    );
    // The owner is removed: the other backend is used again.
    let update = endpoints.apply_event(
        3.0,
        change(
            AGENT,
            4,
            &[Member {
                health: Removed,
                ..at_shared_address("new", 9.0)
            }],
        ),
    );
    assert_eq!(changes(&update), [("new", Removed), ("old", Up)]);
}

/// After a restart of this process the restored list is superseded by the first event of its
/// source.
#[test]
fn a_restored_list_is_used_until_its_source_has_an_event() {
    let mut endpoints = agent_and_etcd();
    let update = endpoints.restore(
        0.0,
        AGENT,
        &list(41, &[backend("a", Up, 0.0), backend("b", Up, 0.0)]),
    );
    assert_eq!(changes(&update), [("a", Up), ("b", Up)]);
    // The first event of the source supersedes the list, at any version.
    assert_eq!(
        changes(&endpoints.apply_event(1.0, snapshot(AGENT, 2, &[backend("b", Up, 0.0)]))),
        [("a", Removed)]
    );
}

/// The number of backends is bounded.
#[test]
fn backends_beyond_the_limit_are_left_out() {
    let mut endpoints = EndpointList::new(vec![SourceSettings::trusted("agent")]);
    let many: Vec<Member> = (0..maplefall_membership::MAX_BACKENDS + 5)
        .map(|i| {
            let dial = format!("127.{}.{}.1:80", i / 250, i % 250).parse().unwrap();
            Member {
                dial,
                ..backend(&format!("n{i}"), Up, 0.0)
            }
        })
        .collect();
    let update = endpoints.apply_event(0.0, snapshot(AGENT, 1, &many));
    assert_eq!(
        update.reports,
        [Report::CapacityReached {
            source: "agent".into(),
            left_out: 5
        }]
    );
    assert_eq!(
        endpoints.members().count(),
        maplefall_membership::MAX_BACKENDS
    );
}

/// The number of stops is bounded while new backends keep coming and going: recent stops are kept,
/// the oldest are evicted.
#[test]
fn only_the_oldest_stops_are_evicted() {
    let mut endpoints = agent_and_etcd();
    let backend_count = 10_000u64;
    for i in 0..backend_count {
        let host = format!("n{i}");
        let update =
            endpoints.apply_event(0.0, change(ETCD, 2 * i + 1, &[backend(&host, Up, 1.0)]));
        assert!(update.reports.is_empty(), "{i}: {:?}", update.reports);
        endpoints.apply_event(
            0.0,
            change(ETCD, 2 * i + 2, &[backend(&host, Removed, 1.0)]),
        );
    }
    let last = format!("n{}", backend_count - 1);
    assert_eq!(
        changes(&endpoints.apply_event(1.0, change(AGENT, 1, &[backend(&last, Up, 1.0)]))),
        [],
        "stopped recently"
    );
    assert_eq!(
        changes(&endpoints.apply_event(2.0, change(AGENT, 2, &[backend("n0", Up, 1.0)]))),
        [("n0", Up)]
    );
    // The record of a backend that returned after a stop is not evicted with that stop.
    let mut endpoints = agent_and_etcd();
    endpoints.apply_event(0.0, change(ETCD, 1, &[backend("back", Removed, 1.0)]));
    endpoints.apply_event(0.0, change(ETCD, 2, &[backend("back", Draining, 2.0)]));
    for i in 0..backend_count {
        endpoints.apply_event(
            0.0,
            change(ETCD, 3 + i, &[backend(&format!("n{i}"), Removed, 1.0)]),
        );
    }
    assert_eq!(states(&endpoints), [("back", Draining)]);
}
