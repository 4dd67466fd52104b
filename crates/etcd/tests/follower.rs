//! The follower by hand: what it asks for, and whom it does not believe.

use maplefall_etcd::{Command, Failure, Follower, Input, Output, Report, Settings};
use maplefall_etcd_wire::{Event as Change, KeyValue, RangeResponse, ResponseHeader, WatchResponse};
use maplefall_roster::Event;

struct Hand {
    follower: Follower,
    now: f64,
}

/// What came out, by kind.
#[derive(Debug, Default)]
struct Out {
    commands: Vec<Command>,
    told: Vec<Event>,
    reports: Vec<Report>,
}

fn header(cluster_id: u64, revision: i64) -> Option<ResponseHeader> {
    Some(ResponseHeader { cluster_id, revision, ..Default::default() })
}

fn kv(id: &str, revision: i64, lease: i64) -> KeyValue {
    let value = br#"{"address":"127.0.0.1:80"}"#.to_vec();
    let key = format!("/p/members/{id}").into_bytes();
    KeyValue { key, value, mod_revision: revision, lease, ..Default::default() }
}

fn page(cluster: u64, revision: i64, kvs: Vec<KeyValue>) -> Input {
    Input::Page(RangeResponse { header: header(cluster, revision), kvs, ..Default::default() })
}

fn created(cluster: u64, revision: i64) -> Input {
    Input::Watched(WatchResponse { header: header(cluster, revision), created: true, ..Default::default() })
}

fn put(id: &str, revision: i64) -> Change {
    Change { kind: Change::PUT, kv: Some(kv(id, revision, 0)), prev_kv: None }
}

fn changes(events: Vec<Change>, fragment: bool) -> Input {
    Input::Watched(WatchResponse { header: header(1, 99), events, fragment, ..Default::default() })
}

impl Hand {
    fn new(settings: Settings) -> Hand {
        Hand { follower: Follower::new(settings), now: 0.0 }
    }

    fn out(&mut self) -> Out {
        let mut out = Out::default();
        while let Some(output) = self.follower.output() {
            match output {
                Output::Command(command) => out.commands.push(command),
                Output::Tell(told) => out.told.push(told.event),
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
        self.now = self.follower.due().expect("something comes due");
        self.follower.pass_time(self.now);
        self.out()
    }

    /// Up to a watch at revision 5 of cluster 1, on connection 1.
    fn watching(settings: Settings) -> Hand {
        let mut hand = Hand::new(settings);
        hand.wait();
        hand.say(1, Input::Opened);
        hand.say(1, page(1, 5, vec![kv("a", 3, 0)]));
        hand.say(1, created(1, 5));
        assert!(hand.follower.watching());
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
    let mut hand = Hand::new(Settings { page: 2, ..Settings::usual(0, 1, "/p/") });
    assert!(matches!(hand.wait().commands[..], [Command::Open { connection: 1, endpoint: 0 }]));
    let out = hand.say(1, Input::Opened);
    let Command::Range { request, .. } = &out.commands[0] else { panic!("{out:?}") };
    assert_eq!(
        (request.key.as_slice(), request.range_end.as_slice()),
        (&b"/p/members/"[..], &b"/p/members0"[..])
    );
    assert_eq!((request.limit, request.revision, request.serializable), (2, 0, false));
    let first = RangeResponse {
        header: header(1, 8),
        kvs: vec![kv("a", 3, 0), kv("b", 4, 0)],
        more: true,
        ..Default::default()
    };
    let out = hand.say(1, Input::Page(first));
    assert!(out.told.is_empty(), "nothing is told until the reading is whole");
    let Command::Range { request, .. } = &out.commands[0] else { panic!("{out:?}") };
    assert_eq!((request.key.as_slice(), request.revision), (&b"/p/members/b\0"[..], 8));
    // The store has gone on meanwhile; the reading is of revision 8 all the same.
    let out = hand.say(1, page(1, 12, vec![kv("c", 5, 0)]));
    let Event::Snapshot { members, .. } = &out.told[0] else { panic!("{out:?}") };
    assert_eq!((members.seq, members.hosts.len()), (8, 3));
    assert_eq!(watch_from(&out), Some(9));
}

#[test]
fn pages_that_are_compacted_away_between_begin_the_reading_anew() {
    let mut hand = Hand::new(Settings::usual(0, 1, "/p"));
    hand.wait();
    hand.say(1, Input::Opened);
    let first =
        RangeResponse { header: header(1, 8), kvs: vec![kv("a", 3, 0)], more: true, ..Default::default() };
    hand.say(1, Input::Page(first));
    let out = hand.say(1, Input::Failed(Failure::Compacted));
    let Command::Range { request, .. } = &out.commands[0] else { panic!("{out:?}") };
    assert_eq!((request.key.as_slice(), request.revision), (&b"/p/members/"[..], 0));
    assert!(out.told.is_empty());
}

#[test]
fn a_lost_watch_goes_on_from_what_was_seen_at_the_next_endpoint() {
    let mut hand = Hand::watching(Settings::usual(0, 2, "/p"));
    let out = hand.say(1, changes(vec![put("b", 7)], false));
    assert_eq!(out.told.len(), 1);
    let out = hand.say(1, Input::Failed(Failure::Broken("reset".into())));
    assert!(matches!(out.told[..], [Event::Lost { source: 0 }]));
    assert!(matches!(out.commands[..], [Command::Close { connection: 1 }]));
    assert!(matches!(hand.wait().commands[..], [Command::Open { connection: 2, endpoint: 1 }]));
    assert_eq!(watch_from(&hand.say(2, Input::Opened)), Some(8));
    // What the old stream still says is not listened to, nor what has been told.
    assert!(hand.say(1, changes(vec![put("x", 9)], false)).told.is_empty());
    let out = hand.say(2, created(1, 9));
    assert!(matches!(out.told[..], [Event::Resumed { source: 0 }]));
    assert!(hand.say(2, changes(vec![put("b", 7)], false)).told.is_empty());
    let out = hand.say(2, changes(vec![put("b", 7), put("c", 8), put("d", 9)], false));
    let [Event::Change { members, .. }] = &out.told[..] else { panic!("{out:?}") };
    assert_eq!((members.seq, members.hosts.len()), (9, 2));
}

#[test]
fn an_answer_in_pieces_is_one_change_and_one_that_breaks_off_is_none() {
    let mut hand = Hand::watching(Settings::usual(0, 1, "/p"));
    assert!(hand.say(1, changes(vec![put("b", 7)], true)).told.is_empty());
    let out = hand.say(1, changes(vec![put("c", 7)], false));
    let [Event::Change { members, .. }] = &out.told[..] else { panic!("{out:?}") };
    assert_eq!((members.seq, members.hosts.len()), (7, 2));
    assert!(hand.say(1, changes(vec![put("d", 8)], true)).told.is_empty());
    hand.say(1, Input::Failed(Failure::Broken("cut".into())));
    hand.wait();
    assert_eq!(watch_from(&hand.say(2, Input::Opened)), Some(8), "its first piece counts for nothing");
}

#[test]
fn only_a_notice_to_the_watch_itself_says_that_all_was_told() {
    let mut hand = Hand::watching(Settings::usual(0, 1, "/p"));
    let progress =
        |watch_id| Input::Watched(WatchResponse { header: header(1, 50), watch_id, ..Default::default() });
    hand.say(1, progress(-1));
    assert_eq!(hand.follower.seen(), Some(5));
    hand.say(1, progress(0));
    assert_eq!(hand.follower.seen(), Some(50));
}

#[test]
fn a_watch_that_says_nothing_is_asked_and_then_left() {
    let mut hand = Hand::watching(Settings { silence: 1000.0, ..Settings::usual(0, 1, "/p") });
    let out = hand.wait();
    assert_eq!((hand.now, out.commands.len()), (500.0, 1));
    assert!(matches!(out.commands[0], Command::AskProgress { connection: 1 }));
    // It answers: all is well, for as long again.
    hand.say(1, Input::Watched(WatchResponse { header: header(1, 5), watch_id: -1, ..Default::default() }));
    assert!(matches!(hand.wait().commands[..], [Command::AskProgress { connection: 1 }]));
    assert_eq!(hand.now, 1000.0);
    let out = hand.wait();
    assert_eq!(hand.now, 1500.0);
    assert!(matches!(out.commands[..], [Command::Close { connection: 1 }]), "{out:?}");
    assert!(out.reports[0].to_string().contains("silent for 1000 ms"), "{}", out.reports[0]);
}

#[test]
fn calls_that_are_not_answered_have_failed() {
    let mut hand = Hand::new(Settings { answer: 300.0, ..Settings::usual(0, 1, "/p") });
    hand.wait();
    for step in 0..3 {
        let out = hand.wait();
        assert!(out.reports.len() <= 1 && matches!(out.commands[0], Command::Close { .. }), "{out:?}");
        assert_eq!(out.reports.len(), usize::from(step == 0), "one line for an outage");
        hand.wait();
    }
}

#[test]
fn a_member_that_is_behind_is_not_believed() {
    // Its watch: another may know more.
    let mut hand = Hand::watching(Settings::usual(0, 2, "/p"));
    hand.say(1, Input::Failed(Failure::Broken("reset".into())));
    hand.wait();
    hand.say(2, Input::Opened);
    let out = hand.say(2, created(1, 3));
    assert!(matches!(out.reports[..], [Report::Behind { endpoint: 1, at: 3, seen: 5 }]), "{out:?}");
    assert!(!hand.follower.watching() && out.told.is_empty());
    // Its reading: a node that it does not know is not gone.
    let mut hand = Hand::watching(Settings::usual(0, 1, "/p"));
    let compacted = WatchResponse {
        header: header(1, 9),
        canceled: true,
        compact_revision: 9,
        ..WatchResponse::default()
    };
    let out = hand.say(1, Input::Watched(compacted));
    assert!(matches!(out.reports[..], [Report::Compacted { wanted: 6, kept: 9 }]));
    assert!(out.told.is_empty(), "in between no node is taken for gone");
    assert!(matches!(
        out.commands[..],
        [Command::Close { connection: 1 }, Command::Open { connection: 2, .. }]
    ));
    hand.say(2, Input::Opened);
    let out = hand.say(2, page(1, 4, vec![]));
    assert!(matches!(out.reports[..], [Report::Behind { endpoint: 0, at: 4, seen: 5 }]), "{out:?}");
    assert!(out.told.is_empty());
}

#[test]
fn another_cluster_makes_all_suspect() {
    let mut hand = Hand::watching(Settings::usual(0, 1, "/p"));
    hand.say(1, Input::Failed(Failure::Broken("reset".into())));
    hand.wait();
    hand.say(2, Input::Opened);
    let out = hand.say(2, created(2, 900));
    assert!(matches!(out.reports[..], [Report::OtherCluster { was: 1, is: 2 }]));
    assert!(matches!(out.told[..], [Event::Reborn { source: 0 }]));
    hand.say(3, Input::Opened);
    let out = hand.say(3, page(2, 2, vec![kv("a", 2, 0)]));
    let [Event::Snapshot { members, .. }] = &out.told[..] else { panic!("{out:?}") };
    assert_eq!((members.seq, watch_from(&out)), (2, Some(3)));
}

#[test]
fn a_wrong_password_is_one_line_and_no_busy_loop() {
    let settings = Settings { credentials: true, retry: [50.0, 2000.0], ..Settings::usual(0, 1, "/p") };
    let mut hand = Hand::new(settings);
    hand.wait();
    let (mut lines, mut tries) = (0, 0);
    while hand.now < 60_000.0 {
        tries += 1;
        hand.say(tries, Input::Opened);
        let out = hand.say(tries, Input::Failed(Failure::NotPermitted("invalid user ID or password".into())));
        lines += out.reports.len();
        hand.wait();
    }
    assert_eq!(lines, 1);
    assert!((30..=60).contains(&tries), "{tries} tries in a minute");
}

#[test]
fn a_token_that_has_run_out_is_renewed_without_a_word() {
    let mut hand = Hand::watching(Settings::usual(0, 2, "/p"));
    let out = hand.say(1, Input::Failed(Failure::TokenRefused));
    assert!(out.reports.is_empty(), "{out:?}");
    assert!(
        matches!(hand.wait().commands[..], [Command::Open { connection: 2, endpoint: 0 }]),
        "the same endpoint"
    );
    // Refused again at once, it is a failure like any other.
    hand.say(2, Input::Opened);
    assert_eq!(hand.say(2, Input::Failed(Failure::TokenRefused)).reports.len(), 1);
}

#[test]
fn pauses_grow_up_to_their_bound_and_begin_anew_after_a_good_watch() {
    let settings = Settings { retry: [50.0, 800.0], ..Settings::usual(0, 1, "/p") };
    let mut hand = Hand::watching(settings);
    let mut pauses = Vec::new();
    for connection in 1..12 {
        let before = hand.now;
        hand.say(connection, Input::Failed(Failure::Broken("x".into())));
        hand.wait();
        pauses.push(hand.now - before);
    }
    assert!((25.0..=50.0).contains(&pauses[0]), "{pauses:?}");
    assert!(pauses[6..].iter().all(|pause| (400.0..=800.0).contains(pause)), "{pauses:?}");
    hand.say(12, Input::Opened);
    hand.say(12, created(1, 5));
    hand.now += 5000.0;
    let before = hand.now;
    hand.say(12, Input::Failed(Failure::Broken("x".into())));
    hand.wait();
    assert!(hand.now - before <= 50.0);
}

#[test]
fn nodes_that_went_with_their_lease_are_told_from_those_removed_by_hand() {
    let mut hand = Hand::new(Settings::usual(0, 1, "/p"));
    hand.wait();
    hand.say(1, Input::Opened);
    hand.say(1, page(1, 5, vec![kv("a", 3, 77), kv("b", 3, 78), kv("c", 3, 0)]));
    hand.say(1, created(1, 5));
    let gone = |id: &str, revision| Change {
        kind: Change::DELETE,
        kv: Some(KeyValue { value: vec![], ..kv(id, revision, 0) }),
        prev_kv: None,
    };
    let out = hand.say(1, changes(vec![gone("a", 6), gone("b", 6), gone("c", 6)], false));
    // They are gone at once, whatever the reason is.
    assert_eq!(out.told.len(), 1);
    let asked = out.commands.iter().filter(|command| matches!(command, Command::LeaseLeft { .. }));
    assert_eq!(asked.count(), 2, "c hung on none");
    let out = hand.say(1, Input::LeaseLeft { lease: 77, ttl: Some(-1) });
    assert!(
        matches!(&out.reports[..], [Report::LeaseGone { lease: 77, hosts }] if hosts == &["a"]),
        "{out:?}"
    );
    assert!(hand.say(1, Input::LeaseLeft { lease: 78, ttl: Some(9) }).reports.is_empty(), "by hand");
}

#[test]
fn an_answer_without_end_is_not_held() {
    let mut hand = Hand::watching(Settings::usual(0, 1, "/p"));
    let mut read = false;
    for piece in 0..200 {
        let events = (0..1000).map(|n| put(&format!("n{n}"), 6 + piece)).collect();
        let out = hand.say(1, changes(events, true));
        assert!(out.told.is_empty());
        if out.reports.iter().any(|report| matches!(report, Report::TooMany(_))) {
            let out = hand.say(2, Input::Opened);
            read = out.commands.iter().any(|command| matches!(command, Command::Range { .. }));
            break;
        }
    }
    assert!(read, "all is read anew");
}

#[test]
fn an_unreadable_value_costs_no_other_and_is_told_of_once() {
    let mut hand = Hand::watching(Settings::usual(0, 1, "/p"));
    let spoilt = |revision| Change {
        kind: Change::PUT,
        kv: Some(KeyValue { value: b"{".to_vec(), ..kv("b", revision, 0) }),
        prev_kv: None,
    };
    let out = hand.say(1, changes(vec![spoilt(6), put("c", 6)], false));
    assert_eq!((out.told.len(), out.reports.len()), (1, 1));
    assert!(out.reports[0].to_string().starts_with("/p/members/b: "), "{}", out.reports[0]);
    assert!(hand.say(1, changes(vec![spoilt(7)], false)).reports.is_empty());
    // Readable for once, it is told of anew.
    hand.say(1, changes(vec![put("b", 8)], false));
    assert_eq!(hand.say(1, changes(vec![spoilt(9)], false)).reports.len(), 1);
}
