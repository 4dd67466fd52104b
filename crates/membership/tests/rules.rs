//! Each rule of the roster, by hand.

use maplefall_membership::{Event, Report, Roster, SourceSettings, Update};
use maplefall_protocol::{Health, Member, Members};
use Health::{Draining, Removed, Up};

const AGENT: usize = 0;
const ETCD: usize = 1;

fn node(host: &str, health: Health, born_ms: f64) -> Member {
    // An address of its own for each name, unless a test says otherwise.
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
        unread: Vec::new(),
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

fn two() -> Roster {
    Roster::new(vec![
        SourceSettings::trusted("agent"),
        SourceSettings::trusted("etcd"),
    ])
}

/// The changes of an update, as names with their states.
fn changes(update: &Update) -> Vec<(&str, Health)> {
    update
        .changes
        .iter()
        .map(|member| (member.host.as_str(), member.health))
        .collect()
}

fn state(roster: &Roster) -> Vec<(&str, Health)> {
    roster
        .members()
        .map(|member| (member.host.as_str(), member.health))
        .collect()
}

#[test]
fn one_trusted_source_is_handed_through() {
    let mut roster = Roster::new(vec![SourceSettings::trusted("agent")]);
    let update = roster.take(
        0.0,
        snapshot(AGENT, 1, &[node("a", Up, 0.0), node("b", Up, 0.0)]),
    );
    assert_eq!(changes(&update), [("a", Up), ("b", Up)]);
    let update = roster.take(1.0, change(AGENT, 2, &[node("b", Draining, 0.0)]));
    assert_eq!(changes(&update), [("b", Draining)]);
    let update = roster.take(
        2.0,
        change(AGENT, 3, &[node("b", Removed, 0.0), node("c", Up, 5.0)]),
    );
    assert_eq!(changes(&update), [("b", Removed), ("c", Up)]);
    let update = roster.take(3.0, snapshot(AGENT, 4, &[node("c", Up, 5.0)]));
    assert_eq!(changes(&update), [("a", Removed)]);
    assert_eq!(
        changes(&roster.take(4.0, snapshot(AGENT, 5, &[node("c", Up, 5.0)]))),
        []
    );
}

#[test]
fn what_comes_late_changes_nothing() {
    let mut roster = two();
    roster.take(0.0, snapshot(ETCD, 10, &[node("a", Up, 0.0)]));
    roster.take(1.0, change(ETCD, 12, &[node("a", Draining, 0.0)]));
    // An old event on a second stream, and a whole list of a member that lags.
    assert_eq!(
        changes(&roster.take(2.0, change(ETCD, 11, &[node("a", Up, 0.0)]))),
        []
    );
    assert_eq!(
        changes(&roster.take(2.0, change(ETCD, 12, &[node("a", Up, 0.0)]))),
        []
    );
    assert_eq!(changes(&roster.take(3.0, snapshot(ETCD, 9, &[]))), []);
    assert_eq!(state(&roster), [("a", Draining)]);
    // Another service under the same name counts anew.
    roster.take(4.0, Event::Reborn { source: ETCD });
    assert_eq!(
        changes(&roster.take(5.0, snapshot(ETCD, 3, &[node("a", Up, 0.0)]))),
        [("a", Up)]
    );
}

#[test]
fn a_drain_wins_whichever_comes_first_until_its_source_takes_it_back() {
    for order in [[AGENT, ETCD], [ETCD, AGENT]] {
        let mut roster = two();
        roster.take(0.0, snapshot(order[0], 1, &[node("a", Up, 7.0)]));
        roster.take(1.0, snapshot(order[1], 1, &[node("a", Draining, 7.0)]));
        assert_eq!(state(&roster), [("a", Draining)]);
        // The other one says up once more: it cannot undo what it did not tell.
        assert_eq!(
            changes(&roster.take(2.0, change(order[0], 2, &[node("a", Up, 7.0)]))),
            []
        );
        let update = roster.take(3.0, change(order[1], 2, &[node("a", Up, 7.0)]));
        assert_eq!(changes(&update), [("a", Up)]);
    }
}

#[test]
fn a_newer_life_is_free_of_older_stops() {
    let mut roster = two();
    roster.take(0.0, snapshot(AGENT, 1, &[node("a", Up, 7.0)]));
    roster.take(1.0, change(ETCD, 1, &[node("a", Removed, 7.0)]));
    assert_eq!(state(&roster), []);
    assert_eq!(
        changes(&roster.take(2.0, change(AGENT, 2, &[node("a", Up, 7.0)]))),
        [],
        "the same life"
    );
    assert_eq!(
        changes(&roster.take(3.0, change(AGENT, 3, &[node("a", Up, 9.0)]))),
        [("a", Up)]
    );
    // A stop that tells no start is for the lives known then, not for a later one.
    roster.take(4.0, change(ETCD, 2, &[node("a", Draining, 0.0)]));
    assert_eq!(state(&roster), [("a", Draining)]);
    roster.take(5.0, change(AGENT, 4, &[node("a", Up, 11.0)]));
    assert_eq!(state(&roster), [("a", Up)]);
}

#[test]
fn a_source_without_authority_only_adds() {
    let mut roster = Roster::new(vec![
        SourceSettings::trusted("agent"),
        SourceSettings {
            authoritative: false,
            ..SourceSettings::trusted("file")
        },
    ]);
    roster.take(0.0, snapshot(AGENT, 1, &[node("a", Up, 0.0)]));
    let update = roster.take(
        1.0,
        snapshot(1, 1, &[node("a", Draining, 0.0), node("b", Up, 0.0)]),
    );
    assert_eq!(changes(&update), [("b", Up)]);
    roster.take(2.0, change(AGENT, 2, &[node("b", Draining, 0.0)]));
    assert_eq!(state(&roster), [("a", Up), ("b", Draining)]);
}

#[test]
fn a_shrunken_list_is_doubted_for_its_time_and_then_believed() {
    let doubtful = SourceSettings {
        believed_part: 0.5,
        doubt: 1000.0,
        ..SourceSettings::trusted("etcd")
    };
    let mut roster = Roster::new(vec![doubtful]);
    let all: Vec<Member> = ["a", "b", "c", "d"].map(|host| node(host, Up, 0.0)).into();
    roster.take(0.0, snapshot(0, 1, &all));
    // Half may go at once; what is drained in the same list counts at once too.
    let update = roster.take(1.0, snapshot(0, 2, &[node("a", Draining, 0.0)]));
    assert_eq!(changes(&update), [("a", Draining)]);
    assert_eq!(
        update.reports,
        [Report::Doubted {
            source: "etcd".into(),
            missing: 3,
            of: 4
        }]
    );
    let update = roster.take(
        500.0,
        snapshot(0, 3, &[node("a", Up, 0.0), node("b", Up, 0.0)]),
    );
    assert_eq!(
        changes(&update),
        [("c", Removed), ("d", Removed), ("a", Up)],
        "half of what it had"
    );
    roster.take(600.0, snapshot(0, 4, &[]));
    assert_eq!(
        changes(&roster.take(1599.0, snapshot(0, 5, &[]))),
        [],
        "still doubted"
    );
    assert_eq!(roster.next_due(), Some(1600.0));
    // A source that watches does not say again what has not changed: the time alone decides.
    assert_eq!(
        changes(&roster.tick(1600.0)),
        [("a", Removed), ("b", Removed)]
    );
    assert_eq!(roster.next_due(), None);
    // Removals told one by one are believed at once, however many; people are told.
    roster.take(2000.0, snapshot(0, 7, &all));
    let gone: Vec<Member> = ["a", "b", "c"].map(|host| node(host, Removed, 0.0)).into();
    let update = roster.take(2001.0, change(0, 8, &gone));
    assert_eq!(update.changes.len(), 3);
    assert_eq!(
        update.reports,
        [Report::MassRemoval {
            source: "etcd".into(),
            removed: 3,
            of: 4
        }]
    );
}

#[test]
fn doubt_ends_with_the_nodes_return_and_waits_while_the_source_is_lost() {
    let doubtful = SourceSettings {
        believed_part: 0.5,
        doubt: 1000.0,
        ..SourceSettings::trusted("etcd")
    };
    let mut roster = Roster::new(vec![doubtful]);
    let all: Vec<Member> = ["a", "b", "c", "d"].map(|host| node(host, Up, 0.0)).into();
    roster.take(0.0, snapshot(0, 1, &all));
    roster.take(1.0, snapshot(0, 2, &[]));
    roster.take(2.0, change(0, 3, &[node("a", Up, 0.0)]));
    roster.take(500.0, Event::Lost { source: 0 });
    assert_eq!(roster.next_due(), None);
    assert_eq!(
        changes(&roster.tick(5000.0)),
        [],
        "nobody is there to confirm it"
    );
    let update = roster.take(5001.0, Event::Resumed { source: 0 });
    assert_eq!(
        changes(&update),
        [("b", Removed), ("c", Removed), ("d", Removed)]
    );
    assert_eq!(
        update.reports,
        [Report::MassRemoval {
            source: "etcd".into(),
            removed: 3,
            of: 4
        }]
    );
}

#[test]
fn a_later_life_recalls_each_sources_words_and_its_stops() {
    let mut first = two();
    first.take(
        0.0,
        snapshot(
            AGENT,
            1,
            &[node("a", Up, 7.0), node("b", Up, 0.0), node("c", Up, 3.0)],
        ),
    );
    first.take(
        0.0,
        snapshot(ETCD, 1, &[node("a", Draining, 7.0), node("c", Up, 3.0)]),
    );
    first.take(1.0, change(ETCD, 2, &[node("c", Removed, 0.0)]));
    let mut later = two();
    let words: Vec<Members> = first.words().map(|(_, members)| members).collect();
    for (source, members) in words.iter().enumerate() {
        later.recall(2.0, source, members);
    }
    assert_eq!(state(&later), [("a", Draining), ("b", Up)]);
    assert_eq!(state(&later), state(&first));
    // The agent speaks first: what etcd stopped stays stopped; a newer life is free of it.
    let update = later.take(
        3.0,
        snapshot(
            AGENT,
            1,
            &[node("a", Up, 7.0), node("b", Up, 0.0), node("c", Up, 3.0)],
        ),
    );
    assert_eq!(changes(&update), []);
    assert_eq!(
        changes(&later.take(4.0, change(AGENT, 2, &[node("c", Up, 4.0)]))),
        [("c", Up)]
    );
}

#[test]
fn nodes_in_doubt_do_not_draw_later_removals_into_doubt() {
    let doubtful = SourceSettings {
        believed_part: 0.5,
        doubt: 1000.0,
        ..SourceSettings::trusted("etcd")
    };
    let mut roster = Roster::new(vec![doubtful]);
    let many = |from: u32, to: u32| {
        (from..to)
            .map(|n| node(&format!("n{n}"), Up, 0.0))
            .collect::<Vec<_>>()
    };
    roster.take(0.0, snapshot(0, 1, &many(0, 10)));
    // Eight of ten vanish at once, and are doubted; of what is left and what came, one goes as usual.
    assert_eq!(
        changes(&roster.take(1.0, snapshot(0, 2, &many(8, 14)))).len(),
        4
    );
    let update = roster.take(2.0, snapshot(0, 3, &many(9, 14)));
    assert_eq!(changes(&update), [("n8", Removed)]);
    assert!(update.reports.is_empty(), "{:?}", update.reports);
    assert_eq!(roster.members().count(), 13);
    roster.tick(1001.0);
    assert_eq!(roster.members().count(), 5);
}

#[test]
fn all_sources_lost_for_a_minute_and_back_with_half_the_nodes_empties_nothing_at_once() {
    let etcd = SourceSettings {
        believed_part: 0.3,
        doubt: 10_000.0,
        keep: 5000.0,
        ..SourceSettings::trusted("etcd")
    };
    let mut roster = Roster::new(vec![
        SourceSettings {
            name: "agent".into(),
            ..etcd.clone()
        },
        etcd,
    ]);
    let all: Vec<Member> = ["a", "b", "c", "d"].map(|host| node(host, Up, 0.0)).into();
    for source in [AGENT, ETCD] {
        roster.take(0.0, snapshot(source, 1, &all));
    }
    for source in [AGENT, ETCD] {
        roster.take(1.0, Event::Lost { source });
    }
    assert_eq!(roster.next_due(), Some(5001.0));
    assert_eq!(
        changes(&roster.tick(60_000.0)),
        [],
        "with nobody there nothing ages"
    );
    // The first one back knows half of them; so does the second.
    assert_eq!(
        changes(&roster.take(61_000.0, snapshot(AGENT, 2, &all[..2]))),
        []
    );
    assert_eq!(
        changes(&roster.take(62_000.0, snapshot(ETCD, 2, &all[..2]))),
        []
    );
    assert_eq!(roster.members().count(), 4);
    assert_eq!(changes(&roster.tick(70_999.0)), []);
    assert_eq!(
        changes(&roster.tick(71_000.0)),
        [("c", Removed), ("d", Removed)]
    );
}

#[test]
fn an_entry_that_cannot_be_read_is_not_missing() {
    let mut roster = two();
    roster.take(
        0.0,
        snapshot(
            ETCD,
            1,
            &[
                node("a", Draining, 0.0),
                node("b", Up, 0.0),
                node("c", Up, 0.0),
            ],
        ),
    );
    let members = list(2, &[node("b", Up, 0.0)]);
    let update = roster.take(
        1.0,
        Event::Snapshot {
            source: ETCD,
            members,
            unread: vec!["a".into()],
        },
    );
    assert_eq!(changes(&update), [("c", Removed)]);
    assert_eq!(state(&roster), [("a", Draining), ("b", Up)]);
}

#[test]
fn a_lost_sources_nodes_age_only_while_another_is_there_and_come_back_with_it() {
    let keep = 1000.0;
    let mut roster = Roster::new(vec![
        SourceSettings::trusted("agent"),
        SourceSettings {
            keep,
            ..SourceSettings::trusted("etcd")
        },
    ]);
    roster.take(
        0.0,
        snapshot(
            ETCD,
            1,
            &[
                node("a", Up, 0.0),
                node("b", Up, 0.0),
                node("d", Draining, 0.0),
            ],
        ),
    );
    roster.take(0.0, Event::Lost { source: ETCD });
    // All are lost: nothing ages.
    assert_eq!(changes(&roster.tick(10_000.0)), []);
    roster.take(
        10_000.0,
        snapshot(AGENT, 1, &[node("b", Up, 0.0), node("d", Up, 0.0)]),
    );
    assert_eq!(
        state(&roster),
        [("b", Up), ("d", Draining)],
        "the stop of a lost source stands"
    );
    let update = roster.take(10_001.0, Event::Resumed { source: ETCD });
    assert_eq!(changes(&update), [("a", Up)]);
    roster.take(20_000.0, Event::Lost { source: ETCD });
    assert_eq!(roster.next_due(), Some(21_000.0));
    assert_eq!(changes(&roster.tick(20_999.0)), []);
    let update = roster.tick(21_000.0);
    assert_eq!(changes(&update), [("a", Removed)]);
    assert_eq!(update.reports, [Report::GivenUp { host: "a".into() }]);
    assert_eq!(roster.next_due(), None);
}

#[test]
fn one_address_holds_the_node_that_started_last() {
    let at = |host: &str, born| Member {
        dial: "127.0.0.1:9".parse().unwrap(),
        ..node(host, Up, born)
    };
    let mut roster = two();
    roster.take(0.0, snapshot(AGENT, 1, &[at("old", 5.0)]));
    let update = roster.take(1.0, change(AGENT, 2, &[at("new", 9.0)]));
    assert_eq!(
        changes(&update),
        [("old", Removed), ("new", Up)],
        "stops come first"
    );
    let shared = Report::SharedAddress {
        holder: "new".into(),
        other: "old".into(),
    };
    assert_eq!(update.reports, [shared]);
    assert_eq!(
        roster
            .take(2.0, change(AGENT, 3, &[at("new", 9.0)]))
            .reports,
        [],
        "reported once"
    );
    // The holder goes: the other is back.
    let update = roster.take(
        3.0,
        change(
            AGENT,
            4,
            &[Member {
                health: Removed,
                ..at("new", 9.0)
            }],
        ),
    );
    assert_eq!(changes(&update), [("new", Removed), ("old", Up)]);
}

#[test]
fn an_earlier_lifes_list_serves_until_a_source_speaks() {
    let mut roster = two();
    let update = roster.recall(
        0.0,
        AGENT,
        &list(41, &[node("a", Up, 0.0), node("b", Up, 0.0)]),
    );
    assert_eq!(changes(&update), [("a", Up), ("b", Up)]);
    // Its own first word goes before it, at any version.
    assert_eq!(
        changes(&roster.take(1.0, snapshot(AGENT, 2, &[node("b", Up, 0.0)]))),
        [("a", Removed)]
    );
}

#[test]
fn the_roster_is_bounded() {
    let mut roster = Roster::new(vec![SourceSettings::trusted("agent")]);
    let many: Vec<Member> = (0..maplefall_membership::MOST_NODES + 5)
        .map(|i| {
            let dial = format!("127.{}.{}.1:80", i / 250, i % 250).parse().unwrap();
            Member {
                dial,
                ..node(&format!("n{i}"), Up, 0.0)
            }
        })
        .collect();
    let update = roster.take(0.0, snapshot(AGENT, 1, &many));
    assert_eq!(
        update.reports,
        [Report::NoRoom {
            source: "agent".into(),
            left_out: 5
        }]
    );
    assert_eq!(roster.members().count(), maplefall_membership::MOST_NODES);
}

/// Guards a service in which ever new nodes come and go: they find room without end, the stops of late are remembered, and
/// the oldest are forgotten.
#[test]
fn old_stops_are_forgotten_and_those_of_late_are_not() {
    let mut roster = two();
    let ids = 10_000u64;
    for i in 0..ids {
        let host = format!("n{i}");
        let update = roster.take(0.0, change(ETCD, 2 * i + 1, &[node(&host, Up, 1.0)]));
        assert!(update.reports.is_empty(), "{i}: {:?}", update.reports);
        roster.take(0.0, change(ETCD, 2 * i + 2, &[node(&host, Removed, 1.0)]));
    }
    let last = format!("n{}", ids - 1);
    assert_eq!(
        changes(&roster.take(1.0, change(AGENT, 1, &[node(&last, Up, 1.0)]))),
        [],
        "stopped of late"
    );
    assert_eq!(
        changes(&roster.take(2.0, change(AGENT, 2, &[node("n0", Up, 1.0)]))),
        [("n0", Up)]
    );
    // One that came back meanwhile is not forgotten with its old stop.
    let mut roster = two();
    roster.take(0.0, change(ETCD, 1, &[node("kept", Removed, 1.0)]));
    roster.take(0.0, change(ETCD, 2, &[node("kept", Draining, 2.0)]));
    for i in 0..ids {
        roster.take(
            0.0,
            change(ETCD, 3 + i, &[node(&format!("n{i}"), Removed, 1.0)]),
        );
    }
    assert_eq!(state(&roster), [("kept", Draining)]);
}
