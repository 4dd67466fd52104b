//! Unit tests of the follower: its commands, and the responses that it discards.

use maplefall_etcd::{Command, Failure, Follower, Input, Output, Report, Settings};
use maplefall_etcd_wire::{
    Event as Change, KeyValue, RangeResponse, ResponseHeader, WatchResponse,
};
use maplefall_membership::Event;

struct Harness {
    follower: Follower,
    now: f64,
}

/// Outputs of the follower by kind.
#[derive(Debug, Default)]
struct Out {
    commands: Vec<Command>,
    events: Vec<Event>,
    /// `revisions_behind` of each event.
    revisions_behind: Vec<i64>,
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

impl Harness {
    fn new(settings: Settings) -> Harness {
        Harness {
            follower: Follower::new(settings),
            now: 0.0,
        }
    }

    fn outputs(&mut self) -> Out {
        let mut out = Out::default();
        while let Some(output) = self.follower.poll_output() {
            match output {
                Output::Command(command) => out.commands.push(command),
                Output::Update(update) => {
                    out.revisions_behind.push(update.revisions_behind);
                    out.events.push(update.event);
                }
                Output::Report(report) => out.reports.push(report),
            }
        }
        out
    }

    /// Passes an input of a connection to the follower and returns its outputs.
    fn input(&mut self, connection: u64, input: Input) -> Out {
        self.follower.handle(self.now, connection, input);
        self.outputs()
    }

    /// Advances the time to the follower's next timeout and returns its outputs.
    fn advance(&mut self) -> Out {
        self.now = self.follower.poll_timeout().expect("a timeout is set");
        self.follower.handle_timeout(self.now);
        self.outputs()
    }

    /// Returns a harness with a watch at revision 5 of cluster 1, on connection 1.
    fn watching(settings: Settings) -> Harness {
        let mut harness = Harness::new(settings);
        harness.advance();
        harness.input(1, Input::Opened);
        harness.input(1, page(1, 5, vec![kv("a", 3, 0)]));
        harness.input(1, created(1, 5));
        assert!(harness.follower.is_watching());
        harness
    }
}

fn watch_from(out: &Out) -> Option<i64> {
    out.commands.iter().find_map(|command| match command {
        Command::Watch { request, .. } => Some(request.start_revision),
        _ => None,
    })
}

#[test]
fn reads_pages_at_one_revision_and_watches_from_the_next() {
    let mut harness = Harness::new(Settings {
        page_size: 2,
        ..Settings::with_defaults(0, 1, "/p/")
    });
    assert!(matches!(
        harness.advance().commands[..],
        [Command::Open {
            connection: 1,
            endpoint: 0
        }]
    ));
    let out = harness.input(1, Input::Opened);
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
    let out = harness.input(1, Input::Page(first));
    assert!(out.events.is_empty(), "no event until the read is complete");
    let Command::Range { request, .. } = &out.commands[0] else {
        panic!("{out:?}")
    };
    assert_eq!(
        (request.key.as_slice(), request.revision),
        (&b"/p/members/b\0"[..], 8)
    );
    // The store is at revision 12 by now, but the read is of revision 8.
    let out = harness.input(1, page(1, 12, vec![kv("c", 5, 0)]));
    let Event::Snapshot { members, .. } = &out.events[0] else {
        panic!("{out:?}")
    };
    assert_eq!(
        (members.seq, members.hosts.len(), out.revisions_behind[0]),
        (8, 3, 4)
    );
    assert_eq!(watch_from(&out), Some(9));
}

#[test]
fn compaction_between_pages_restarts_the_read() {
    let mut harness = Harness::new(Settings::with_defaults(0, 1, "/p"));
    harness.advance();
    harness.input(1, Input::Opened);
    let first = RangeResponse {
        header: header(1, 8),
        kvs: vec![kv("a", 3, 0)],
        more: true,
        ..Default::default()
    };
    harness.input(1, Input::Page(first));
    let out = harness.input(1, Input::Failed(Failure::Compacted));
    assert!(out.events.is_empty() && out.reports.is_empty(), "{out:?}");
    harness.advance();
    let out = harness.input(2, Input::Opened);
    let Command::Range { request, .. } = &out.commands[0] else {
        panic!("{out:?}")
    };
    assert_eq!(
        (request.key.as_slice(), request.revision),
        (&b"/p/members/"[..], 0)
    );
}

/// Returns the number of connections opened in a minute, if `run` makes each of them fail.
fn attempts_in_a_minute(harness: &mut Harness, mut run: impl FnMut(&mut Harness, u64)) -> u64 {
    let begin = harness.now;
    let mut connection = 0;
    while harness.now < begin + 60_000.0 {
        for command in harness.advance().commands {
            if let Command::Open {
                connection: opened, ..
            } = command
            {
                connection = opened;
                run(harness, opened);
            }
        }
    }
    connection
}

#[test]
fn repeated_failures_always_back_off() {
    let settings = Settings {
        backoff: [50.0, 2000.0],
        ..Settings::with_defaults(0, 1, "/p")
    };
    // Every full read fails because the history is compacted between its pages.
    let mut harness = Harness::new(settings.clone());
    let attempts = attempts_in_a_minute(&mut harness, |harness, connection| {
        harness.input(connection, Input::Opened);
        harness.input(connection, Input::Failed(Failure::Compacted));
    });
    assert!((30..=60).contains(&attempts), "compacted: {attempts}");
    // Two clusters respond in turn, as if behind one address.
    let mut harness = Harness::new(settings.clone());
    let attempts = attempts_in_a_minute(&mut harness, |harness, connection| {
        harness.input(connection, Input::Opened);
        harness.input(connection, page(connection % 2, 5, vec![]));
        harness.input(connection, created(connection % 2 + 1, 5));
    });
    assert!((30..=120).contains(&attempts), "two clusters: {attempts}");
    // Every watch is cancelled by a compaction as soon as it is created.
    let mut harness = Harness::new(settings);
    let attempts = attempts_in_a_minute(&mut harness, |harness, connection| {
        harness.input(connection, Input::Opened);
        harness.input(connection, page(1, 5, vec![]));
        harness.input(connection, created(1, 5));
        let compacted = WatchResponse {
            header: header(1, 9),
            canceled: true,
            compact_revision: 9,
            ..WatchResponse::default()
        };
        harness.input(connection, Input::WatchResponse(compacted));
    });
    assert!((30..=60).contains(&attempts), "watch compacted: {attempts}");
}

#[test]
fn page_size_is_halved_after_a_too_large_page_and_a_too_large_watch_response_causes_a_read() {
    let mut harness = Harness::new(Settings {
        page_size: 1000,
        ..Settings::with_defaults(0, 1, "/p")
    });
    let mut limits = Vec::new();
    for connection in 1..=12 {
        harness.advance();
        let out = harness.input(connection, Input::Opened);
        let Command::Range { request, .. } = &out.commands[0] else {
            panic!("{out:?}")
        };
        limits.push(request.limit);
        let out = harness.input(connection, Input::Failed(Failure::TooLarge));
        assert_eq!(
            out.reports.len(),
            usize::from(connection == 9),
            "reported once, when a single key is too large: {out:?}"
        );
    }
    assert_eq!(limits, [1000, 500, 250, 125, 62, 31, 15, 7, 3, 1, 1, 1]);
    let mut harness = Harness::watching(Settings::with_defaults(0, 1, "/p"));
    harness.input(1, Input::Failed(Failure::TooLarge));
    harness.advance();
    let out = harness.input(2, Input::Opened);
    assert!(
        matches!(out.commands[..], [Command::Range { .. }]),
        "{out:?}"
    );
    assert_eq!(watch_from(&harness.input(2, page(1, 9, vec![]))), Some(10));
}

#[test]
fn source_is_lost_whenever_there_is_no_connection() {
    let lost = |out: &Out| {
        out.events
            .iter()
            .filter(|event| matches!(event, Event::Lost { source: 0 }))
            .count()
    };
    // The source is lost after a compaction, with no endpoint reachable from then on.
    let mut harness = Harness::watching(Settings::with_defaults(0, 1, "/p"));
    let compacted = WatchResponse {
        header: header(1, 9),
        canceled: true,
        compact_revision: 9,
        ..Default::default()
    };
    assert_eq!(lost(&harness.input(1, Input::WatchResponse(compacted))), 1);
    harness.advance();
    assert_eq!(
        lost(&harness.input(2, Input::Failed(Failure::Unavailable("refused".into())))),
        0,
        "once"
    );
    // The source is lost after a change of the cluster, after a change of endpoints, and between
    // the read and the watch.
    let mut harness = Harness::watching(Settings::with_defaults(0, 1, "/p"));
    assert_eq!(
        lost(&harness.input(1, page(1, 5, vec![]))),
        0,
        "a page that was not requested"
    );
    assert_eq!(lost(&harness.input(1, created(2, 5))), 1);
    let mut harness = Harness::watching(Settings::with_defaults(0, 1, "/p"));
    harness
        .follower
        .reconfigure(harness.now, Settings::with_defaults(0, 1, "/p"));
    assert_eq!(lost(&harness.outputs()), 1);
    let mut harness = Harness::new(Settings::with_defaults(0, 1, "/p"));
    harness.advance();
    harness.input(1, Input::Opened);
    harness.input(1, page(1, 5, vec![]));
    assert_eq!(
        lost(&harness.input(1, Input::Failed(Failure::Unavailable("reset".into())))),
        1
    );
}

/// Checks the classification of etcd's error messages (`api/v3rpc/rpctypes/error.go`), as they
/// stand in a status and in the `cancel_reason` of a watch.
#[test]
fn error_messages_of_etcd_are_classified() {
    let text = |text: &str| Failure::from_message(text);
    assert_eq!(
        text("etcdserver: invalid auth token"),
        Some(Failure::InvalidToken)
    );
    assert_eq!(
        text("etcdserver: revision of auth store is old"),
        Some(Failure::InvalidToken)
    );
    let cancel_reason = "rpc error: code = Unauthenticated desc = etcdserver: invalid auth token";
    assert_eq!(text(cancel_reason), Some(Failure::InvalidToken));
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
fn lost_watch_resumes_after_the_last_revision_at_the_next_endpoint() {
    let mut harness = Harness::watching(Settings::with_defaults(0, 2, "/p"));
    let out = harness.input(1, changes(vec![put("b", 7)], false));
    assert_eq!(out.events.len(), 1);
    let out = harness.input(1, Input::Failed(Failure::Unavailable("reset".into())));
    assert!(matches!(out.events[..], [Event::Lost { source: 0 }]));
    assert!(matches!(
        out.commands[..],
        [Command::Close { connection: 1 }]
    ));
    assert!(matches!(
        harness.advance().commands[..],
        [Command::Open {
            connection: 2,
            endpoint: 1
        }]
    ));
    assert_eq!(watch_from(&harness.input(2, Input::Opened)), Some(8));
    // Inputs of the old connection and changes that were already reported are ignored.
    assert!(harness
        .input(1, changes(vec![put("x", 9)], false))
        .events
        .is_empty());
    let out = harness.input(2, created(1, 9));
    assert!(matches!(out.events[..], [Event::Resumed { source: 0 }]));
    assert!(harness
        .input(2, changes(vec![put("b", 7)], false))
        .events
        .is_empty());
    let out = harness.input(
        2,
        changes(vec![put("b", 7), put("c", 8), put("d", 9)], false),
    );
    let [Event::Change { members, .. }] = &out.events[..] else {
        panic!("{out:?}")
    };
    assert_eq!(
        (members.seq, members.hosts.len(), out.revisions_behind[0]),
        (9, 2, 91),
        "the store is at revision 99, the oldest change at 8"
    );
}

#[test]
fn fragments_make_one_change_and_an_incomplete_response_makes_none() {
    let mut harness = Harness::watching(Settings::with_defaults(0, 1, "/p"));
    assert!(harness
        .input(1, changes(vec![put("b", 7)], true))
        .events
        .is_empty());
    let out = harness.input(1, changes(vec![put("c", 7)], false));
    let [Event::Change { members, .. }] = &out.events[..] else {
        panic!("{out:?}")
    };
    assert_eq!((members.seq, members.hosts.len()), (7, 2));
    assert!(harness
        .input(1, changes(vec![put("d", 8)], true))
        .events
        .is_empty());
    harness.input(1, Input::Failed(Failure::Unavailable("cut".into())));
    harness.advance();
    assert_eq!(
        watch_from(&harness.input(2, Input::Opened)),
        Some(8),
        "the first fragment is discarded"
    );
}

#[test]
fn only_a_progress_notification_of_the_watch_advances_the_revision() {
    let mut harness = Harness::watching(Settings::with_defaults(0, 1, "/p"));
    let progress = |watch_id| {
        Input::WatchResponse(WatchResponse {
            header: header(1, 50),
            watch_id,
            ..Default::default()
        })
    };
    harness.input(1, progress(-1));
    assert_eq!(harness.follower.last_revision(), Some(5));
    harness.input(1, progress(0));
    assert_eq!(harness.follower.last_revision(), Some(50));
}

#[test]
fn progress_is_requested_on_an_idle_watch_before_it_is_closed() {
    let mut harness = Harness::watching(Settings {
        watch_timeout: 1000.0,
        ..Settings::with_defaults(0, 1, "/p")
    });
    let out = harness.advance();
    assert_eq!((harness.now, out.commands.len()), (500.0, 1));
    assert!(matches!(
        out.commands[0],
        Command::RequestProgress { connection: 1 }
    ));
    harness.follower.handle_timeout(600.0);
    assert!(harness.outputs().commands.is_empty(), "requested once");
    // A watch response restarts the timeout.
    harness.input(
        1,
        Input::WatchResponse(WatchResponse {
            header: header(1, 5),
            watch_id: -1,
            ..Default::default()
        }),
    );
    assert!(matches!(
        harness.advance().commands[..],
        [Command::RequestProgress { connection: 1 }]
    ));
    assert_eq!(harness.now, 1000.0);
    let out = harness.advance();
    assert_eq!(harness.now, 1500.0);
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
fn calls_without_a_response_time_out() {
    let mut harness = Harness::new(Settings {
        call_timeout: 300.0,
        ..Settings::with_defaults(0, 1, "/p")
    });
    harness.advance();
    for step in 0..3 {
        let out = harness.advance();
        assert!(
            out.reports.len() <= 1 && matches!(out.commands[0], Command::Close { .. }),
            "{out:?}"
        );
        assert_eq!(
            out.reports.len(),
            usize::from(step == 0),
            "one report per outage"
        );
        harness.advance();
    }
}

#[test]
fn responses_of_a_member_that_is_behind_are_discarded() {
    // A watch on a member that is behind is left: another endpoint can be further ahead.
    let mut harness = Harness::watching(Settings::with_defaults(0, 2, "/p"));
    harness.input(1, Input::Failed(Failure::Unavailable("reset".into())));
    harness.advance();
    harness.input(2, Input::Opened);
    let out = harness.input(2, created(1, 3));
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
    assert!(!harness.follower.is_watching() && out.events.is_empty());
    // A read from a member that is behind is discarded: nodes that the member lacks are not
    // removed.
    let mut harness = Harness::watching(Settings::with_defaults(0, 1, "/p"));
    let compacted = WatchResponse {
        header: header(1, 9),
        canceled: true,
        compact_revision: 9,
        ..WatchResponse::default()
    };
    let out = harness.input(1, Input::WatchResponse(compacted));
    assert!(matches!(
        out.reports[..],
        [Report::Compacted {
            requested: 6,
            compact_revision: 9
        }]
    ));
    assert!(
        matches!(out.events[..], [Event::Lost { .. }]),
        "no node is removed in between"
    );
    assert!(matches!(
        out.commands[..],
        [Command::Close { connection: 1 }]
    ));
    harness.advance();
    harness.input(2, Input::Opened);
    let out = harness.input(2, page(1, 4, vec![]));
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
    assert!(out.events.is_empty());
}

#[test]
fn another_cluster_causes_a_full_read() {
    let mut harness = Harness::watching(Settings::with_defaults(0, 1, "/p"));
    harness.input(1, Input::Failed(Failure::Unavailable("reset".into())));
    harness.advance();
    harness.input(2, Input::Opened);
    let out = harness.input(2, created(2, 900));
    assert!(matches!(
        out.reports[..],
        [Report::ClusterChanged {
            previous: 1,
            current: 2
        }]
    ));
    assert!(
        matches!(out.events[..], [Event::Replaced { source: 0 }]),
        "`Lost` was already sent: {out:?}"
    );
    harness.advance();
    harness.input(3, Input::Opened);
    let out = harness.input(3, page(2, 2, vec![kv("a", 2, 0)]));
    let [Event::Snapshot { members, .. }] = &out.events[..] else {
        panic!("{out:?}")
    };
    assert_eq!((members.seq, watch_from(&out)), (2, Some(3)));
}

#[test]
fn wrong_password_is_reported_once_and_backs_off() {
    let settings = Settings {
        authenticate: true,
        backoff: [50.0, 2000.0],
        ..Settings::with_defaults(0, 1, "/p")
    };
    let mut harness = Harness::new(settings);
    harness.advance();
    let (mut reports, mut attempts) = (0, 0);
    while harness.now < 60_000.0 {
        attempts += 1;
        harness.input(attempts, Input::Opened);
        let out = harness.input(
            attempts,
            Input::Failed(Failure::PermissionDenied(
                "invalid user ID or password".into(),
            )),
        );
        reports += out.reports.len();
        harness.advance();
    }
    assert_eq!(reports, 1);
    assert!(
        (30..=60).contains(&attempts),
        "{attempts} attempts in a minute"
    );
}

#[test]
fn expired_token_is_renewed_without_a_report() {
    let mut harness = Harness::watching(Settings::with_defaults(0, 2, "/p"));
    let out = harness.input(1, Input::Failed(Failure::InvalidToken));
    assert!(out.reports.is_empty(), "{out:?}");
    assert!(
        matches!(
            harness.advance().commands[..],
            [Command::Open {
                connection: 2,
                endpoint: 0
            }]
        ),
        "the same endpoint"
    );
    // A second rejection of the token in a row is reported like any other failure.
    harness.input(2, Input::Opened);
    assert_eq!(
        harness
            .input(2, Input::Failed(Failure::InvalidToken))
            .reports
            .len(),
        1
    );
}

#[test]
fn backoff_grows_to_its_maximum_and_resets_after_a_stable_watch() {
    let settings = Settings {
        backoff: [50.0, 800.0],
        ..Settings::with_defaults(0, 1, "/p")
    };
    let mut harness = Harness::watching(settings);
    let mut delays = Vec::new();
    for connection in 1..12 {
        let before = harness.now;
        harness.input(connection, Input::Failed(Failure::Unavailable("x".into())));
        harness.advance();
        delays.push(harness.now - before);
    }
    assert!((25.0..=50.0).contains(&delays[0]), "{delays:?}");
    assert!(
        delays[6..]
            .iter()
            .all(|delay| (400.0..=800.0).contains(delay)),
        "{delays:?}"
    );
    harness.input(12, Input::Opened);
    harness.input(12, created(1, 5));
    harness.now += 5000.0;
    let before = harness.now;
    harness.input(12, Input::Failed(Failure::Unavailable("x".into())));
    harness.advance();
    assert!(harness.now - before <= 50.0);
}

#[test]
fn backoff_differs_between_gateways() {
    let delay = |seed| {
        let mut harness = Harness::watching(Settings {
            seed,
            ..Settings::with_defaults(0, 1, "/p")
        });
        harness.input(1, Input::Failed(Failure::Unavailable("x".into())));
        harness.advance();
        harness.now
    };
    let delays: std::collections::BTreeSet<u64> =
        (0..20).map(|seed| (delay(seed) * 1000.0) as u64).collect();
    assert!(delays.len() > 15, "{delays:?}");
}

#[test]
fn watch_that_delivers_a_change_resets_the_backoff() {
    let mut harness = Harness::watching(Settings {
        backoff: [50.0, 2000.0],
        ..Settings::with_defaults(0, 1, "/p")
    });
    for connection in 1..8 {
        harness.input(
            connection,
            Input::Failed(Failure::Unavailable("an outage".into())),
        );
        harness.advance();
    }
    harness.input(8, Input::Opened);
    harness.input(8, created(1, 9));
    harness.input(8, changes(vec![put("b", 9)], false));
    let before = harness.now;
    harness.input(8, Input::Failed(Failure::Unavailable("cut".into())));
    harness.advance();
    assert!(harness.now - before <= 50.0, "{}", harness.now - before);
}

#[test]
fn reconfiguring_connects_to_the_first_endpoint_at_once() {
    let mut harness = Harness::watching(Settings::with_defaults(0, 3, "/p"));
    for connection in 1..6 {
        harness.input(connection, Input::Failed(Failure::Unavailable("x".into())));
        harness.advance();
    }
    assert_ne!(harness.follower.endpoint(), 0);
    harness
        .follower
        .reconfigure(harness.now, Settings::with_defaults(0, 2, "/p"));
    let out = harness.outputs();
    assert!(
        matches!(out.commands.last(), Some(Command::Open { endpoint: 0, .. })),
        "{out:?}"
    );
}

#[test]
fn memory_and_queries_caused_by_a_peer_are_bounded() {
    let mut harness = Harness::watching(Settings::with_defaults(0, 1, "/p"));
    let invalid = |n: i64| Change {
        kind: Change::PUT,
        kv: Some(KeyValue {
            value: b"{".to_vec(),
            ..kv(&format!("s{n}"), 6 + n, 0)
        }),
        prev_kv: None,
    };
    let out = harness.input(1, changes((0..1000).map(invalid).collect(), false));
    assert_eq!(out.reports.len(), 256, "keys that are reported");
    let leased = |n: i64| Change {
        kind: Change::PUT,
        kv: Some(kv(&format!("n{n}"), 2000 + n, 100 + n)),
        prev_kv: None,
    };
    harness.input(1, changes((0..200).map(leased).collect(), false));
    let deleted = |n: i64| Change {
        kind: Change::DELETE,
        kv: Some(KeyValue {
            value: vec![],
            ..kv(&format!("n{n}"), 3000 + n, 0)
        }),
        prev_kv: None,
    };
    let out = harness.input(1, changes((0..200).map(deleted).collect(), false));
    assert_eq!(out.commands.len(), 64, "lease queries in flight");
    // A full read has more nodes than the membership accepts.
    let mut harness = Harness::new(Settings::with_defaults(0, 1, "/p"));
    harness.advance();
    harness.input(1, Input::Opened);
    let max_nodes = maplefall_membership::MAX_BACKENDS;
    let out = harness.input(
        1,
        page(
            1,
            5,
            (0..max_nodes + 100)
                .map(|n| kv(&format!("n{n}"), 3, 0))
                .collect(),
        ),
    );
    let Event::Snapshot { members, .. } = &out.events[0] else {
        panic!("{out:?}")
    };
    // The snapshot has one node more than the maximum, so that the membership can report that the
    // list was truncated.
    assert_eq!(members.hosts.len(), max_nodes + 1);
}

#[test]
fn removals_by_an_expired_lease_are_reported_and_deletions_are_not() {
    let mut harness = Harness::new(Settings::with_defaults(0, 1, "/p"));
    harness.advance();
    harness.input(1, Input::Opened);
    harness.input(
        1,
        page(1, 5, vec![kv("a", 3, 77), kv("b", 3, 78), kv("c", 3, 0)]),
    );
    harness.input(1, created(1, 5));
    let deleted = |id: &str, revision| Change {
        kind: Change::DELETE,
        kv: Some(KeyValue {
            value: vec![],
            ..kv(id, revision, 0)
        }),
        prev_kv: None,
    };
    let out = harness.input(
        1,
        changes(
            vec![deleted("a", 6), deleted("b", 6), deleted("c", 6)],
            false,
        ),
    );
    // The nodes are removed at once, before the reason for the removal is known.
    assert_eq!(out.events.len(), 1);
    let queries = out
        .commands
        .iter()
        .filter(|command| matches!(command, Command::LeaseTimeToLive { .. }));
    assert_eq!(queries.count(), 2, "c has no lease");
    let out = harness.input(
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
        harness
            .input(
                1,
                Input::LeaseTimeToLive {
                    lease: 78,
                    ttl: Some(9)
                }
            )
            .reports
            .is_empty(),
        "deleted, not expired"
    );
}

#[test]
fn fragments_without_end_cause_a_full_read() {
    let mut harness = Harness::watching(Settings::with_defaults(0, 1, "/p"));
    let mut read_again = false;
    for fragment in 0..200 {
        let events = (0..1000)
            .map(|n| put(&format!("n{n}"), 6 + fragment))
            .collect();
        let out = harness.input(1, changes(events, true));
        assert!(out
            .events
            .iter()
            .all(|event| matches!(event, Event::Lost { .. })));
        if out
            .reports
            .iter()
            .any(|report| matches!(report, Report::TooManyChanges(_)))
        {
            harness.advance();
            let out = harness.input(2, Input::Opened);
            read_again = out
                .commands
                .iter()
                .any(|command| matches!(command, Command::Range { .. }));
            break;
        }
    }
    assert!(read_again, "all keys are read again");
}

#[test]
fn bytes_of_buffered_changes_are_bounded() {
    let mut harness = Harness::watching(Settings::with_defaults(0, 1, "/p"));
    let long = |n: i64| Change {
        kind: Change::PUT,
        kv: Some(KeyValue {
            value: vec![b'x'; 1 << 20],
            ..kv("a", n, 0)
        }),
        prev_kv: None,
    };
    let buffered = (0..64).take_while(|n| {
        harness
            .input(1, changes(vec![long(6 + n)], true))
            .reports
            .is_empty()
    });
    assert_eq!(buffered.count(), 15, "the limit is 16 MiB");
}

#[test]
fn remembered_leases_are_bounded_by_the_maximum_of_nodes() {
    let mut harness = Harness::watching(Settings::with_defaults(0, 1, "/p"));
    let on_a_lease = |n: i64| Change {
        kind: Change::PUT,
        kv: Some(kv(&format!("n{n}"), 6 + n, 77)),
        prev_kv: None,
    };
    let max_nodes = maplefall_membership::MAX_BACKENDS as i64;
    harness.input(1, changes((0..=max_nodes).map(on_a_lease).collect(), false));
    let deleted = |n: i64, revision| Change {
        kind: Change::DELETE,
        kv: Some(KeyValue {
            value: vec![],
            ..kv(&format!("n{n}"), revision, 0)
        }),
        prev_kv: None,
    };
    let out = harness.input(1, changes(vec![deleted(max_nodes, max_nodes + 100)], false));
    assert!(
        out.commands.is_empty(),
        "the lease of the node over the limit is unknown: {:?}",
        out.commands
    );
    let all: Vec<Change> = (0..max_nodes)
        .map(|n| deleted(n, max_nodes + 101 + n))
        .collect();
    assert_eq!(harness.input(1, changes(all, false)).commands.len(), 1);
    let out = harness.input(
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
fn report_of_an_invalid_value_is_one_line_of_bounded_length() {
    let mut harness = Harness::watching(Settings::with_defaults(0, 1, "/p"));
    let state = format!("up\\n{}", "x".repeat(10_000));
    let value = format!(r#"{{"address":"127.0.0.1:80","state":"{state}"}}"#).into_bytes();
    let key = format!("/p/members/a\n{}", "k".repeat(100_000)).into_bytes();
    let invalid = |kv| Change {
        kind: Change::PUT,
        kv: Some(kv),
        prev_kv: None,
    };
    let both = vec![
        invalid(KeyValue {
            value,
            ..kv("b", 6, 0)
        }),
        invalid(KeyValue {
            key,
            ..kv("a", 6, 0)
        }),
    ];
    let out = harness.input(1, changes(both, false));
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
fn invalid_value_affects_no_other_node_and_is_reported_once() {
    let mut harness = Harness::watching(Settings::with_defaults(0, 1, "/p"));
    let invalid = |revision| Change {
        kind: Change::PUT,
        kv: Some(KeyValue {
            value: b"{".to_vec(),
            ..kv("b", revision, 0)
        }),
        prev_kv: None,
    };
    let out = harness.input(1, changes(vec![invalid(6), put("c", 6)], false));
    assert_eq!((out.events.len(), out.reports.len()), (1, 1));
    assert!(
        out.reports[0].to_string().starts_with("/p/members/b: "),
        "{}",
        out.reports[0]
    );
    assert!(harness
        .input(1, changes(vec![invalid(7)], false))
        .reports
        .is_empty());
    // After a valid value, an invalid one is reported again.
    harness.input(1, changes(vec![put("b", 8)], false));
    assert_eq!(
        harness
            .input(1, changes(vec![invalid(9)], false))
            .reports
            .len(),
        1
    );
}
