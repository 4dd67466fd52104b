//! The follower by hand: what it asks for, and whom it does not believe.

use maplefall_etcd::{Command, Failure, Follower, Input, Output, Report, Settings};
use maplefall_etcd_wire::{
    Event as Change, KeyValue, RangeResponse, ResponseHeader, WatchResponse,
};
use maplefall_membership::Event;

struct Hand {
    follower: Follower,
    now: f64,
}

/// What came out, by kind.
#[derive(Debug, Default)]
struct Out {
    commands: Vec<Command>,
    told: Vec<Event>,
    /// By how many revisions each of these was behind.
    behind: Vec<i64>,
    reports: Vec<Report>,
}

fn header(cluster_id: u64, revision: i64) -> Option<ResponseHeader> {
    Some(ResponseHeader {
        cluster_id,
        revision,
        ..Default::default()
    })
}

fn kv(id: &str, revision: i64, lease: i64) -> KeyValue {
    let value = br#"{"address":"127.0.0.1:80"}"#.to_vec();
    let key = format!("/p/members/{id}").into_bytes();
    KeyValue {
        key,
        value,
        mod_revision: revision,
        lease,
        ..Default::default()
    }
}

fn page(cluster: u64, revision: i64, kvs: Vec<KeyValue>) -> Input {
    Input::Page(RangeResponse {
        header: header(cluster, revision),
        kvs,
        ..Default::default()
    })
}

fn created(cluster: u64, revision: i64) -> Input {
    Input::WatchResponse(WatchResponse {
        header: header(cluster, revision),
        created: true,
        ..Default::default()
    })
}

fn put(id: &str, revision: i64) -> Change {
    Change {
        kind: Change::PUT,
        kv: Some(kv(id, revision, 0)),
        prev_kv: None,
    }
}

fn changes(events: Vec<Change>, fragment: bool) -> Input {
    Input::WatchResponse(WatchResponse {
        header: header(1, 99),
        events,
        fragment,
        ..Default::default()
    })
}

impl Hand {
    fn new(settings: Settings) -> Hand {
        Hand {
            follower: Follower::new(settings),
            now: 0.0,
        }
    }

    fn out(&mut self) -> Out {
        let mut out = Out::default();
        while let Some(output) = self.follower.poll_output() {
            match output {
                Output::Command(command) => out.commands.push(command),
                Output::Update(told) => {
                    out.behind.push(told.revisions_behind);
                    out.told.push(told.event);
                }
                Output::Report(report) => out.reports.push(report),
            }
        }
        out
    }

    /// Hands in something on the connection that was opened last, as the caller says.
    fn say(&mut self, connection: u64, input: Input) -> Out {
        self.follower.handle(self.now, connection, input);
        self.out()
    }

    /// Waits for what comes due.
    fn wait(&mut self) -> Out {
        self.now = self.follower.poll_timeout().expect("something comes due");
        self.follower.handle_timeout(self.now);
        self.out()
    }

    /// Up to a watch at revision 5 of cluster 1, on connection 1.
    fn watching(settings: Settings) -> Hand {
        let mut hand = Hand::new(settings);
        hand.wait();
        hand.say(1, Input::Opened);
        hand.say(1, page(1, 5, vec![kv("a", 3, 0)]));
        hand.say(1, created(1, 5));
        assert!(hand.follower.is_watching());
        hand
    }
}

fn watch_from(out: &Out) -> Option<i64> {
    out.commands.iter().find_map(|command| match command {
        Command::Watch { request, .. } => Some(request.start_revision),
        _ => None,
    })
}

#[test]
fn it_reads_at_one_revision_page_by_page_and_watches_from_the_next() {
    let mut hand = Hand::new(Settings {
        page_size: 2,
        ..Settings::with_defaults(0, 1, "/p/")
    });
    assert!(matches!(
        hand.wait().commands[..],
        [Command::Open {
            connection: 1,
            endpoint: 0
        }]
    ));
    let out = hand.say(1, Input::Opened);
    let Command::Range { request, .. } = &out.commands[0] else {
        panic!("{out:?}")
    };
    assert_eq!(
        (request.key.as_slice(), request.range_end.as_slice()),
        (&b"/p/members/"[..], &b"/p/members0"[..])
    );
    assert_eq!(
        (request.limit, request.revision, request.serializable),
        (2, 0, false)
    );
    let first = RangeResponse {
        header: header(1, 8),
        kvs: vec![kv("a", 3, 0), kv("b", 4, 0)],
        more: true,
        ..Default::default()
    };
    let out = hand.say(1, Input::Page(first));
    assert!(
        out.told.is_empty(),
        "nothing is told until the reading is whole"
    );
    let Command::Range { request, .. } = &out.commands[0] else {
        panic!("{out:?}")
    };
    assert_eq!(
        (request.key.as_slice(), request.revision),
        (&b"/p/members/b\0"[..], 8)
    );
    // The store has gone on meanwhile; the reading is of revision 8 all the same.
    let out = hand.say(1, page(1, 12, vec![kv("c", 5, 0)]));
    let Event::Snapshot { members, .. } = &out.told[0] else {
        panic!("{out:?}")
    };
    assert_eq!((members.seq, members.hosts.len(), out.behind[0]), (8, 3, 4));
    assert_eq!(watch_from(&out), Some(9));
}

#[test]
fn pages_that_are_compacted_away_between_begin_the_reading_anew() {
    let mut hand = Hand::new(Settings::with_defaults(0, 1, "/p"));
    hand.wait();
    hand.say(1, Input::Opened);
    let first = RangeResponse {
        header: header(1, 8),
        kvs: vec![kv("a", 3, 0)],
        more: true,
        ..Default::default()
    };
    hand.say(1, Input::Page(first));
    let out = hand.say(1, Input::Failed(Failure::Compacted));
    assert!(out.told.is_empty() && out.reports.is_empty(), "{out:?}");
    hand.wait();
    let out = hand.say(2, Input::Opened);
    let Command::Range { request, .. } = &out.commands[0] else {
        panic!("{out:?}")
    };
    assert_eq!(
        (request.key.as_slice(), request.revision),
        (&b"/p/members/"[..], 0)
    );
}

/// How often it tries in a minute, if whatever `play` does on each connection ends it.
fn tries_in_a_minute(hand: &mut Hand, mut play: impl FnMut(&mut Hand, u64)) -> u64 {
    let begin = hand.now;
    let mut connection = 0;
    while hand.now < begin + 60_000.0 {
        for command in hand.wait().commands {
            if let Command::Open {
                connection: opened, ..
            } = command
            {
                connection = opened;
                play(hand, opened);
            }
        }
    }
    connection
}

#[test]
fn nothing_that_comes_again_and_again_makes_it_try_without_pause() {
    let settings = Settings {
        backoff: [50.0, 2000.0],
        ..Settings::with_defaults(0, 1, "/p")
    };
    // The history goes between the pages, every time.
    let mut hand = Hand::new(settings.clone());
    let tries = tries_in_a_minute(&mut hand, |hand, connection| {
        hand.say(connection, Input::Opened);
        hand.say(connection, Input::Failed(Failure::Compacted));
    });
    assert!((30..=60).contains(&tries), "compacted: {tries}");
    // Two clusters answer by turns, as behind one address.
    let mut hand = Hand::new(settings.clone());
    let tries = tries_in_a_minute(&mut hand, |hand, connection| {
        hand.say(connection, Input::Opened);
        hand.say(connection, page(connection % 2, 5, vec![]));
        hand.say(connection, created(connection % 2 + 1, 5));
    });
    assert!((30..=120).contains(&tries), "two clusters: {tries}");
    // The watch is compacted as soon as it has begun.
    let mut hand = Hand::new(settings);
    let tries = tries_in_a_minute(&mut hand, |hand, connection| {
        hand.say(connection, Input::Opened);
        hand.say(connection, page(1, 5, vec![]));
        hand.say(connection, created(1, 5));
        let compacted = WatchResponse {
            header: header(1, 9),
            canceled: true,
            compact_revision: 9,
            ..WatchResponse::default()
        };
        hand.say(connection, Input::WatchResponse(compacted));
    });
    assert!((30..=60).contains(&tries), "watch compacted: {tries}");
}

#[test]
fn a_page_that_is_too_large_is_asked_for_with_fewer_keys_and_a_watch_is_read_past() {
    let mut hand = Hand::new(Settings {
        page_size: 1000,
        ..Settings::with_defaults(0, 1, "/p")
    });
    let mut limits = Vec::new();
    for connection in 1..=12 {
        hand.wait();
        let out = hand.say(connection, Input::Opened);
        let Command::Range { request, .. } = &out.commands[0] else {
            panic!("{out:?}")
        };
        limits.push(request.limit);
        let out = hand.say(connection, Input::Failed(Failure::TooLarge));
        assert_eq!(
            out.reports.len(),
            usize::from(connection == 9),
            "told once, when one key is too much: {out:?}"
        );
    }
    assert_eq!(limits, [1000, 500, 250, 125, 62, 31, 15, 7, 3, 1, 1, 1]);
    let mut hand = Hand::watching(Settings::with_defaults(0, 1, "/p"));
    hand.say(1, Input::Failed(Failure::TooLarge));
    hand.wait();
    let out = hand.say(2, Input::Opened);
    assert!(
        matches!(out.commands[..], [Command::Range { .. }]),
        "{out:?}"
    );
    assert_eq!(watch_from(&hand.say(2, page(1, 9, vec![]))), Some(10));
}

#[test]
fn the_source_is_lost_whenever_there_is_no_connection() {
    let lost = |out: &Out| {
        out.told
            .iter()
            .filter(|event| matches!(event, Event::Lost { source: 0 }))
            .count()
    };
    // By a compaction, after which nobody answers.
    let mut hand = Hand::watching(Settings::with_defaults(0, 1, "/p"));
    let compacted = WatchResponse {
        header: header(1, 9),
        canceled: true,
        compact_revision: 9,
        ..Default::default()
    };
    assert_eq!(lost(&hand.say(1, Input::WatchResponse(compacted))), 1);
    hand.wait();
    assert_eq!(
        lost(&hand.say(2, Input::Failed(Failure::Unavailable("refused".into())))),
        0,
        "once"
    );
    // By another cluster, by a move to other endpoints, and between the reading and the watch.
    let mut hand = Hand::watching(Settings::with_defaults(0, 1, "/p"));
    assert_eq!(
        lost(&hand.say(1, page(1, 5, vec![]))),
        0,
        "an answer to nothing"
    );
    assert_eq!(lost(&hand.say(1, created(2, 5))), 1);
    let mut hand = Hand::watching(Settings::with_defaults(0, 1, "/p"));
    hand.follower
        .reconfigure(hand.now, Settings::with_defaults(0, 1, "/p"));
    assert_eq!(lost(&hand.out()), 1);
    let mut hand = Hand::new(Settings::with_defaults(0, 1, "/p"));
    hand.wait();
    hand.say(1, Input::Opened);
    hand.say(1, page(1, 5, vec![]));
    assert_eq!(
        lost(&hand.say(1, Input::Failed(Failure::Unavailable("reset".into())))),
        1
    );
}

/// Holds to etcd's own texts (`api/v3rpc/rpctypes/error.go`), as they come in a status and in the reason of a watch's end.
#[test]
fn etcds_texts_are_understood() {
    let text = |text: &str| Failure::from_message(text);
    assert_eq!(
        text("etcdserver: invalid auth token"),
        Some(Failure::InvalidToken)
    );
    assert_eq!(
        text("etcdserver: revision of auth store is old"),
        Some(Failure::InvalidToken)
    );
    let in_a_watch = "rpc error: code = Unauthenticated desc = etcdserver: invalid auth token";
    assert_eq!(text(in_a_watch), Some(Failure::InvalidToken));
    for denied in [
        "etcdserver: permission denied",
        "rpc error: code = PermissionDenied desc = etcdserver: permission denied",
        "etcdserver: authentication failed, invalid user ID or password",
        "etcdserver: user name is empty",
    ] {
        assert!(
            matches!(text(denied), Some(Failure::PermissionDenied(_))),
            "{denied}"
        );
    }
    let compacted = "etcdserver: mvcc: required revision has been compacted";
    assert_eq!(text(compacted), Some(Failure::Compacted));
    assert_eq!(
        text("etcdserver: mvcc: required revision is a future revision"),
        None
    );
    assert_eq!(text("etcdserver: no leader"), None);
}

#[test]
fn a_lost_watch_goes_on_from_what_was_seen_at_the_next_endpoint() {
    let mut hand = Hand::watching(Settings::with_defaults(0, 2, "/p"));
    let out = hand.say(1, changes(vec![put("b", 7)], false));
    assert_eq!(out.told.len(), 1);
    let out = hand.say(1, Input::Failed(Failure::Unavailable("reset".into())));
    assert!(matches!(out.told[..], [Event::Lost { source: 0 }]));
    assert!(matches!(
        out.commands[..],
        [Command::Close { connection: 1 }]
    ));
    assert!(matches!(
        hand.wait().commands[..],
        [Command::Open {
            connection: 2,
            endpoint: 1
        }]
    ));
    assert_eq!(watch_from(&hand.say(2, Input::Opened)), Some(8));
    // What the old stream still says is not listened to, nor what has been told.
    assert!(hand
        .say(1, changes(vec![put("x", 9)], false))
        .told
        .is_empty());
    let out = hand.say(2, created(1, 9));
    assert!(matches!(out.told[..], [Event::Resumed { source: 0 }]));
    assert!(hand
        .say(2, changes(vec![put("b", 7)], false))
        .told
        .is_empty());
    let out = hand.say(
        2,
        changes(vec![put("b", 7), put("c", 8), put("d", 9)], false),
    );
    let [Event::Change { members, .. }] = &out.told[..] else {
        panic!("{out:?}")
    };
    assert_eq!(
        (members.seq, members.hosts.len(), out.behind[0]),
        (9, 2, 91),
        "the head is at 99, the oldest at 8"
    );
}

#[test]
fn an_answer_in_pieces_is_one_change_and_one_that_breaks_off_is_none() {
    let mut hand = Hand::watching(Settings::with_defaults(0, 1, "/p"));
    assert!(hand
        .say(1, changes(vec![put("b", 7)], true))
        .told
        .is_empty());
    let out = hand.say(1, changes(vec![put("c", 7)], false));
    let [Event::Change { members, .. }] = &out.told[..] else {
        panic!("{out:?}")
    };
    assert_eq!((members.seq, members.hosts.len()), (7, 2));
    assert!(hand
        .say(1, changes(vec![put("d", 8)], true))
        .told
        .is_empty());
    hand.say(1, Input::Failed(Failure::Unavailable("cut".into())));
    hand.wait();
    assert_eq!(
        watch_from(&hand.say(2, Input::Opened)),
        Some(8),
        "its first piece counts for nothing"
    );
}

#[test]
fn only_a_notice_to_the_watch_itself_says_that_all_was_told() {
    let mut hand = Hand::watching(Settings::with_defaults(0, 1, "/p"));
    let progress = |watch_id| {
        Input::WatchResponse(WatchResponse {
            header: header(1, 50),
            watch_id,
            ..Default::default()
        })
    };
    hand.say(1, progress(-1));
    assert_eq!(hand.follower.last_revision(), Some(5));
    hand.say(1, progress(0));
    assert_eq!(hand.follower.last_revision(), Some(50));
}

#[test]
fn a_watch_that_says_nothing_is_asked_and_then_left() {
    let mut hand = Hand::watching(Settings {
        watch_timeout: 1000.0,
        ..Settings::with_defaults(0, 1, "/p")
    });
    let out = hand.wait();
    assert_eq!((hand.now, out.commands.len()), (500.0, 1));
    assert!(matches!(
        out.commands[0],
        Command::RequestProgress { connection: 1 }
    ));
    hand.follower.handle_timeout(600.0);
    assert!(hand.out().commands.is_empty(), "asked once");
    // It answers: all is well, for as long again.
    hand.say(
        1,
        Input::WatchResponse(WatchResponse {
            header: header(1, 5),
            watch_id: -1,
            ..Default::default()
        }),
    );
    assert!(matches!(
        hand.wait().commands[..],
        [Command::RequestProgress { connection: 1 }]
    ));
    assert_eq!(hand.now, 1000.0);
    let out = hand.wait();
    assert_eq!(hand.now, 1500.0);
    assert!(
        matches!(out.commands[..], [Command::Close { connection: 1 }]),
        "{out:?}"
    );
    assert!(
        out.reports[0]
            .to_string()
            .contains("no watch response for 1000 ms"),
        "{}",
        out.reports[0]
    );
}

#[test]
fn calls_that_are_not_answered_have_failed() {
    let mut hand = Hand::new(Settings {
        call_timeout: 300.0,
        ..Settings::with_defaults(0, 1, "/p")
    });
    hand.wait();
    for step in 0..3 {
        let out = hand.wait();
        assert!(
            out.reports.len() <= 1 && matches!(out.commands[0], Command::Close { .. }),
            "{out:?}"
        );
        assert_eq!(
            out.reports.len(),
            usize::from(step == 0),
            "one line for an outage"
        );
        hand.wait();
    }
}

#[test]
fn a_member_that_is_behind_is_not_believed() {
    // Its watch: another may know more.
    let mut hand = Hand::watching(Settings::with_defaults(0, 2, "/p"));
    hand.say(1, Input::Failed(Failure::Unavailable("reset".into())));
    hand.wait();
    hand.say(2, Input::Opened);
    let out = hand.say(2, created(1, 3));
    assert!(
        matches!(
            out.reports[..],
            [Report::Behind {
                endpoint: 1,
                revision: 3,
                seen: 5
            }]
        ),
        "{out:?}"
    );
    assert!(!hand.follower.is_watching() && out.told.is_empty());
    // Its reading: a node that it does not know is not gone.
    let mut hand = Hand::watching(Settings::with_defaults(0, 1, "/p"));
    let compacted = WatchResponse {
        header: header(1, 9),
        canceled: true,
        compact_revision: 9,
        ..WatchResponse::default()
    };
    let out = hand.say(1, Input::WatchResponse(compacted));
    assert!(matches!(
        out.reports[..],
        [Report::Compacted {
            requested: 6,
            compact_revision: 9
        }]
    ));
    assert!(
        matches!(out.told[..], [Event::Lost { .. }]),
        "in between no node is taken for gone"
    );
    assert!(matches!(
        out.commands[..],
        [Command::Close { connection: 1 }]
    ));
    hand.wait();
    hand.say(2, Input::Opened);
    let out = hand.say(2, page(1, 4, vec![]));
    assert!(
        matches!(
            out.reports[..],
            [Report::Behind {
                endpoint: 0,
                revision: 4,
                seen: 5
            }]
        ),
        "{out:?}"
    );
    assert!(out.told.is_empty());
}

#[test]
fn another_cluster_makes_all_suspect() {
    let mut hand = Hand::watching(Settings::with_defaults(0, 1, "/p"));
    hand.say(1, Input::Failed(Failure::Unavailable("reset".into())));
    hand.wait();
    hand.say(2, Input::Opened);
    let out = hand.say(2, created(2, 900));
    assert!(matches!(
        out.reports[..],
        [Report::ClusterChanged {
            previous: 1,
            current: 2
        }]
    ));
    assert!(
        matches!(out.told[..], [Event::Reborn { source: 0 }]),
        "it was lost already: {out:?}"
    );
    hand.wait();
    hand.say(3, Input::Opened);
    let out = hand.say(3, page(2, 2, vec![kv("a", 2, 0)]));
    let [Event::Snapshot { members, .. }] = &out.told[..] else {
        panic!("{out:?}")
    };
    assert_eq!((members.seq, watch_from(&out)), (2, Some(3)));
}

#[test]
fn a_wrong_password_is_one_line_and_no_busy_loop() {
    let settings = Settings {
        authenticate: true,
        backoff: [50.0, 2000.0],
        ..Settings::with_defaults(0, 1, "/p")
    };
    let mut hand = Hand::new(settings);
    hand.wait();
    let (mut lines, mut tries) = (0, 0);
    while hand.now < 60_000.0 {
        tries += 1;
        hand.say(tries, Input::Opened);
        let out = hand.say(
            tries,
            Input::Failed(Failure::PermissionDenied(
                "invalid user ID or password".into(),
            )),
        );
        lines += out.reports.len();
        hand.wait();
    }
    assert_eq!(lines, 1);
    assert!((30..=60).contains(&tries), "{tries} tries in a minute");
}

#[test]
fn a_token_that_has_run_out_is_renewed_without_a_word() {
    let mut hand = Hand::watching(Settings::with_defaults(0, 2, "/p"));
    let out = hand.say(1, Input::Failed(Failure::InvalidToken));
    assert!(out.reports.is_empty(), "{out:?}");
    assert!(
        matches!(
            hand.wait().commands[..],
            [Command::Open {
                connection: 2,
                endpoint: 0
            }]
        ),
        "the same endpoint"
    );
    // Refused again at once, it is a failure like any other.
    hand.say(2, Input::Opened);
    assert_eq!(
        hand.say(2, Input::Failed(Failure::InvalidToken))
            .reports
            .len(),
        1
    );
}

#[test]
fn pauses_grow_up_to_their_bound_and_begin_anew_after_a_good_watch() {
    let settings = Settings {
        backoff: [50.0, 800.0],
        ..Settings::with_defaults(0, 1, "/p")
    };
    let mut hand = Hand::watching(settings);
    let mut pauses = Vec::new();
    for connection in 1..12 {
        let before = hand.now;
        hand.say(connection, Input::Failed(Failure::Unavailable("x".into())));
        hand.wait();
        pauses.push(hand.now - before);
    }
    assert!((25.0..=50.0).contains(&pauses[0]), "{pauses:?}");
    assert!(
        pauses[6..]
            .iter()
            .all(|pause| (400.0..=800.0).contains(pause)),
        "{pauses:?}"
    );
    hand.say(12, Input::Opened);
    hand.say(12, created(1, 5));
    hand.now += 5000.0;
    let before = hand.now;
    hand.say(12, Input::Failed(Failure::Unavailable("x".into())));
    hand.wait();
    assert!(hand.now - before <= 50.0);
}

#[test]
fn no_two_front_doors_come_back_at_one_moment() {
    let pause = |seed| {
        let mut hand = Hand::watching(Settings {
            seed,
            ..Settings::with_defaults(0, 1, "/p")
        });
        hand.say(1, Input::Failed(Failure::Unavailable("x".into())));
        hand.wait();
        hand.now
    };
    let pauses: std::collections::BTreeSet<u64> =
        (0..20).map(|seed| (pause(seed) * 1000.0) as u64).collect();
    assert!(pauses.len() > 15, "{pauses:?}");
}

#[test]
fn a_watch_that_brings_something_begins_the_pauses_anew_however_soon_it_breaks() {
    let mut hand = Hand::watching(Settings {
        backoff: [50.0, 2000.0],
        ..Settings::with_defaults(0, 1, "/p")
    });
    for connection in 1..8 {
        hand.say(
            connection,
            Input::Failed(Failure::Unavailable("an outage".into())),
        );
        hand.wait();
    }
    hand.say(8, Input::Opened);
    hand.say(8, created(1, 9));
    hand.say(8, changes(vec![put("b", 9)], false));
    let before = hand.now;
    hand.say(8, Input::Failed(Failure::Unavailable("cut".into())));
    hand.wait();
    assert!(hand.now - before <= 50.0, "{}", hand.now - before);
}

#[test]
fn a_move_begins_at_the_first_endpoint_at_once() {
    let mut hand = Hand::watching(Settings::with_defaults(0, 3, "/p"));
    for connection in 1..6 {
        hand.say(connection, Input::Failed(Failure::Unavailable("x".into())));
        hand.wait();
    }
    assert_ne!(hand.follower.endpoint(), 0);
    hand.follower
        .reconfigure(hand.now, Settings::with_defaults(0, 2, "/p"));
    let out = hand.out();
    assert!(
        matches!(out.commands.last(), Some(Command::Open { endpoint: 0, .. })),
        "{out:?}"
    );
}

#[test]
fn what_a_peer_makes_it_remember_and_ask_is_bounded() {
    let mut hand = Hand::watching(Settings::with_defaults(0, 1, "/p"));
    let spoilt = |n: i64| Change {
        kind: Change::PUT,
        kv: Some(KeyValue {
            value: b"{".to_vec(),
            ..kv(&format!("s{n}"), 6 + n, 0)
        }),
        prev_kv: None,
    };
    let out = hand.say(1, changes((0..1000).map(spoilt).collect(), false));
    assert_eq!(out.reports.len(), 256, "keys that are told of");
    let on = |n: i64| Change {
        kind: Change::PUT,
        kv: Some(kv(&format!("n{n}"), 2000 + n, 100 + n)),
        prev_kv: None,
    };
    hand.say(1, changes((0..200).map(on).collect(), false));
    let gone = |n: i64| Change {
        kind: Change::DELETE,
        kv: Some(KeyValue {
            value: vec![],
            ..kv(&format!("n{n}"), 3000 + n, 0)
        }),
        prev_kv: None,
    };
    let out = hand.say(1, changes((0..200).map(gone).collect(), false));
    assert_eq!(
        out.commands.len(),
        64,
        "leases that are asked about at once"
    );
    // A reading of more nodes than the roster holds.
    let mut hand = Hand::new(Settings::with_defaults(0, 1, "/p"));
    hand.wait();
    hand.say(1, Input::Opened);
    let most = maplefall_membership::MOST_NODES;
    let out = hand.say(
        1,
        page(
            1,
            5,
            (0..most + 100)
                .map(|n| kv(&format!("n{n}"), 3, 0))
                .collect(),
        ),
    );
    let Event::Snapshot { members, .. } = &out.told[0] else {
        panic!("{out:?}")
    };
    // One more than are held, so that the roster can say that there was no room.
    assert_eq!(members.hosts.len(), most + 1);
}

#[test]
fn nodes_that_went_with_their_lease_are_told_from_those_removed_by_hand() {
    let mut hand = Hand::new(Settings::with_defaults(0, 1, "/p"));
    hand.wait();
    hand.say(1, Input::Opened);
    hand.say(
        1,
        page(1, 5, vec![kv("a", 3, 77), kv("b", 3, 78), kv("c", 3, 0)]),
    );
    hand.say(1, created(1, 5));
    let gone = |id: &str, revision| Change {
        kind: Change::DELETE,
        kv: Some(KeyValue {
            value: vec![],
            ..kv(id, revision, 0)
        }),
        prev_kv: None,
    };
    let out = hand.say(
        1,
        changes(vec![gone("a", 6), gone("b", 6), gone("c", 6)], false),
    );
    // They are gone at once, whatever the reason is.
    assert_eq!(out.told.len(), 1);
    let asked = out
        .commands
        .iter()
        .filter(|command| matches!(command, Command::LeaseTimeToLive { .. }));
    assert_eq!(asked.count(), 2, "c hung on none");
    let out = hand.say(
        1,
        Input::LeaseTimeToLive {
            lease: 77,
            ttl: Some(-1),
        },
    );
    assert!(
        matches!(&out.reports[..], [Report::LeaseEnded { lease: 77, hosts, more: 0 }] if hosts == &["a"]),
        "{out:?}"
    );
    assert!(
        hand.say(
            1,
            Input::LeaseTimeToLive {
                lease: 78,
                ttl: Some(9)
            }
        )
        .reports
        .is_empty(),
        "by hand"
    );
}

#[test]
fn an_answer_without_end_is_not_held() {
    let mut hand = Hand::watching(Settings::with_defaults(0, 1, "/p"));
    let mut read = false;
    for piece in 0..200 {
        let events = (0..1000)
            .map(|n| put(&format!("n{n}"), 6 + piece))
            .collect();
        let out = hand.say(1, changes(events, true));
        assert!(out
            .told
            .iter()
            .all(|event| matches!(event, Event::Lost { .. })));
        if out
            .reports
            .iter()
            .any(|report| matches!(report, Report::TooManyChanges(_)))
        {
            hand.wait();
            let out = hand.say(2, Input::Opened);
            read = out
                .commands
                .iter()
                .any(|command| matches!(command, Command::Range { .. }));
            break;
        }
    }
    assert!(read, "all is read anew");
}

#[test]
fn an_answer_of_few_but_long_values_is_not_held_either() {
    let mut hand = Hand::watching(Settings::with_defaults(0, 1, "/p"));
    let long = |n: i64| Change {
        kind: Change::PUT,
        kv: Some(KeyValue {
            value: vec![b'x'; 1 << 20],
            ..kv("a", n, 0)
        }),
        prev_kv: None,
    };
    let held = (0..64).take_while(|n| {
        hand.say(1, changes(vec![long(6 + n)], true))
            .reports
            .is_empty()
    });
    assert_eq!(held.count(), 15, "16 MiB at most");
}

#[test]
fn leases_are_remembered_within_the_bound_of_nodes() {
    let mut hand = Hand::watching(Settings::with_defaults(0, 1, "/p"));
    let on_a_lease = |n: i64| Change {
        kind: Change::PUT,
        kv: Some(kv(&format!("n{n}"), 6 + n, 77)),
        prev_kv: None,
    };
    let most = maplefall_membership::MOST_NODES as i64;
    hand.say(1, changes((0..=most).map(on_a_lease).collect(), false));
    let gone = |n: i64, revision| Change {
        kind: Change::DELETE,
        kv: Some(KeyValue {
            value: vec![],
            ..kv(&format!("n{n}"), revision, 0)
        }),
        prev_kv: None,
    };
    let out = hand.say(1, changes(vec![gone(most, most + 100)], false));
    assert!(
        out.commands.is_empty(),
        "the one beyond the bound: {:?}",
        out.commands
    );
    let all: Vec<Change> = (0..most).map(|n| gone(n, most + 101 + n)).collect();
    assert_eq!(hand.say(1, changes(all, false)).commands.len(), 1);
    let out = hand.say(
        1,
        Input::LeaseTimeToLive {
            lease: 77,
            ttl: Some(-1),
        },
    );
    let line = out.reports[0].to_string();
    assert!(
        line.ends_with("and 19990 more") && line.len() < 200,
        "{line}"
    );
}

#[test]
fn a_line_on_an_unreadable_value_is_one_line_of_bounded_length() {
    let mut hand = Hand::watching(Settings::with_defaults(0, 1, "/p"));
    let state = format!("up\\n{}", "x".repeat(10_000));
    let value = format!(r#"{{"address":"127.0.0.1:80","state":"{state}"}}"#).into_bytes();
    let key = format!("/p/members/a\n{}", "k".repeat(100_000)).into_bytes();
    let spoilt = |kv| Change {
        kind: Change::PUT,
        kv: Some(kv),
        prev_kv: None,
    };
    let both = vec![
        spoilt(KeyValue {
            value,
            ..kv("b", 6, 0)
        }),
        spoilt(KeyValue {
            key,
            ..kv("a", 6, 0)
        }),
    ];
    let out = hand.say(1, changes(both, false));
    assert_eq!(out.reports.len(), 2);
    for report in out.reports {
        let line = report.to_string();
        assert!(
            !line.contains('\n') && line.len() < 1200,
            "{} bytes: {line}",
            line.len()
        );
    }
}

#[test]
fn an_unreadable_value_costs_no_other_and_is_told_of_once() {
    let mut hand = Hand::watching(Settings::with_defaults(0, 1, "/p"));
    let spoilt = |revision| Change {
        kind: Change::PUT,
        kv: Some(KeyValue {
            value: b"{".to_vec(),
            ..kv("b", revision, 0)
        }),
        prev_kv: None,
    };
    let out = hand.say(1, changes(vec![spoilt(6), put("c", 6)], false));
    assert_eq!((out.told.len(), out.reports.len()), (1, 1));
    assert!(
        out.reports[0].to_string().starts_with("/p/members/b: "),
        "{}",
        out.reports[0]
    );
    assert!(hand
        .say(1, changes(vec![spoilt(7)], false))
        .reports
        .is_empty());
    // Readable for once, it is told of anew.
    hand.say(1, changes(vec![put("b", 8)], false));
    assert_eq!(
        hand.say(1, changes(vec![spoilt(9)], false)).reports.len(),
        1
    );
}
