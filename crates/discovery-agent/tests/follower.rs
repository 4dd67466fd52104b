//! Which calls a follower makes and what of the words holds, by hand.

use maplefall_discovery_agent::*;
use maplefall_membership::{Event, MOST_NODES};
use maplefall_policy::Millis;
use maplefall_protocol::Health::{self, Draining, Removed, Up};
use maplefall_protocol::{Member, Members};
use serde_json::json;
use std::net::SocketAddr;

fn place(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn node(host: &str, health: Health, born_ms: f64) -> Member {
    Member {
        host: host.into(),
        dial: place(9),
        site: "z".into(),
        block: 0,
        health,
        share: 1.0,
        born_ms,
    }
}

fn members(seq: u64, whole: bool, hosts: &[Member]) -> Members {
    Members {
        seq,
        whole,
        hosts: hosts.to_vec(),
    }
}

fn settings(own: bool, known: Option<Members>) -> Settings {
    Settings {
        source: 0,
        own,
        sharing: 300,
        stop_within: 500.0,
        seed: 1,
        places: vec![place(1)],
        known,
    }
}

/// A follower with the clock and the calls that it has open.
struct Played {
    follower: Follower,
    now: Millis,
    open: Vec<(CallId, SocketAddr, What)>,
    /// What the roster would hold.
    list: std::collections::BTreeMap<String, (Health, f64)>,
    reports: Vec<String>,
    lost: bool,
}

impl Played {
    fn new(settings: Settings, now: Millis) -> Played {
        let known = settings.known.iter().flat_map(|known| &known.hosts);
        let list = known
            .map(|m| (m.host.clone(), (m.health, m.born_ms)))
            .collect();
        let follower = Follower::new(settings, now);
        let mut played = Played {
            follower,
            now,
            open: Vec::new(),
            list,
            reports: Vec::new(),
            lost: false,
        };
        played.pass(0.0);
        played
    }

    fn carry_out(&mut self, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Ask { call, place, what } => self.open.push((call, place, what)),
                Output::HangUp(call) => self.open.retain(|open| open.0 != call),
                Output::Report(report) => self.reports.push(report.to_string()),
                Output::Tell(Event::Lost { .. }) => self.lost = true,
                Output::Tell(Event::Resumed { .. }) => self.lost = false,
                Output::Tell(Event::Snapshot {
                    members, unread, ..
                }) => {
                    self.lost = false;
                    self.list.retain(|host, _| unread.contains(host));
                    self.put(&members);
                }
                Output::Tell(Event::Change { members, .. }) => {
                    self.lost = false;
                    self.put(&members);
                }
                Output::Tell(other) => panic!("{other:?}"),
            }
        }
    }

    fn put(&mut self, members: &Members) {
        for member in &members.hosts {
            match member.health {
                Removed => self.list.remove(&member.host),
                health => self
                    .list
                    .insert(member.host.clone(), (health, member.born_ms)),
            };
        }
    }

    /// Lets time pass, with everything that comes due in it.
    fn pass(&mut self, by: Millis) {
        let end = self.now + by;
        while let Some(due) = self.follower.next_due().filter(|due| *due <= end) {
            self.now = self.now.max(due);
            let out = self.follower.tick(self.now);
            self.carry_out(out);
        }
        self.now = end;
    }

    fn hear(&mut self, call: CallId, heard: Heard) {
        let out = self.follower.heard_of(self.now, call, heard);
        self.carry_out(out);
    }

    fn say(&mut self, call: CallId, members: &Members) {
        let text = serde_json::to_vec(members).expect("a line");
        self.hear(call, Heard::Line(text));
    }

    fn beat(&mut self, call: CallId) {
        self.hear(call, Heard::Line(Vec::new()));
    }

    fn end(&mut self, call: CallId, end: End) {
        self.open.retain(|open| open.0 != call);
        self.hear(call, Heard::Ended(end));
    }

    fn moved(&mut self, to: SocketAddr) {
        let out = self.follower.moved(self.now, to);
        self.carry_out(out);
    }

    /// The only open call.
    fn call(&self) -> CallId {
        assert_eq!(self.open.len(), 1, "{:?}", self.open);
        self.open[0].0
    }

    fn asked(&self) -> Vec<(u16, What)> {
        self.open
            .iter()
            .map(|(_, place, what)| (place.port(), *what))
            .collect()
    }

    fn states(&self) -> Vec<(&str, Health)> {
        self.list
            .iter()
            .map(|(host, (health, _))| (host.as_str(), *health))
            .collect()
    }
}

/// A door that knows version 9, in which `a` is up and `b` drains, with its watch open.
fn known() -> Played {
    let hosts = [node("a", Up, 0.0), node("b", Draining, 0.0)];
    Played::new(settings(true, Some(members(9, true, &hosts))), 1e6)
}

/// Guards the rule on drains in a large fleet: a door that starts with an old list may send to no backend 500 ms after
/// the agent beside it has heard of the drain, so it cannot take turns with doors whose agents are their own.
#[test]
fn an_agent_of_its_own_is_asked_at_once_however_large_the_fleet() {
    for sharing in [1, 4, 100, 315, u32::MAX] {
        let first = |own, seed| {
            let known = Some(members(9, true, &[]));
            let settings = Settings {
                sharing,
                seed,
                ..settings(own, known)
            };
            Follower::new(settings, 0.0)
                .next_due()
                .expect("a first call")
        };
        assert!(
            (0..50).all(|seed| first(true, seed) == 0.0),
            "{sharing} doors"
        );
        let longest = (0..50).map(|seed| first(false, seed)).fold(0.0, f64::max);
        assert_eq!(longest > 1000.0, sharing >= 100, "{sharing} doors");
    }
}

#[test]
fn without_a_list_the_whole_is_asked_for_and_then_watched() {
    let mut played = Played::new(settings(true, None), 0.0);
    assert_eq!(played.asked(), [(1, What::Whole)]);
    let call = played.call();
    played.say(call, &members(4, true, &[node("a", Up, 0.0)]));
    played.end(call, End::Whole);
    assert_eq!(
        (played.asked(), played.states()),
        (vec![(1, What::Watch(4))], vec![("a", Up)])
    );
    assert!(!played.lost, "a list that ends is no outage");
}

/// Guards a discovery that has too much to do against being asked for more: turned away, a door goes on from the
/// version that it has; only where that is unknown is the whole list asked for.
#[test]
fn a_door_that_is_turned_away_asks_for_changes_again_and_not_for_the_whole_list() {
    let mut played = known();
    for (status, then) in [
        (503, What::Watch(9)),
        (503, What::Watch(9)),
        (404, What::Whole),
        (503, What::Whole),
    ] {
        let call = played.call();
        played.end(call, End::Status(status));
        assert!(played.open.is_empty() && played.lost);
        played.pass(MIN_RETRY_DELAY);
        assert_eq!(played.asked(), [(1, then)], "after {status}");
    }
    assert_eq!(
        played.reports,
        ["watch ended: status 503"],
        "once for an outage"
    );
}

#[test]
fn what_cannot_be_read_is_told_and_the_whole_list_is_asked_for() {
    let mut played = known();
    let call = played.call();
    played.hear(call, Heard::Line(b"{\"seq\":10,".to_vec()));
    assert!(
        played.reports[0].contains("unreadable line"),
        "{:?}",
        played.reports
    );
    played.pass(MIN_RETRY_DELAY);
    assert_eq!(played.asked(), [(1, What::Whole)]);
    // It turns out to be what is known; nothing has changed.
    let call = played.call();
    played.say(
        call,
        &members(9, true, &[node("a", Up, 0.0), node("b", Draining, 0.0)]),
    );
    assert_eq!(played.states(), [("a", Up), ("b", Draining)]);
}

/// Guards against silence: an agent that has missed a heartbeat is asked beside the open call, and whoever speaks first
/// goes on alone.
#[test]
fn a_missed_heartbeat_makes_a_second_call_and_the_first_word_wins() {
    for second_speaks in [true, false] {
        let mut played = known();
        let first = played.call();
        played.hear(first, Heard::Begun);
        played.beat(first);
        played.pass(HEARTBEAT_TIMEOUT - 1.0);
        assert_eq!(played.open.len(), 1, "not before one is missed");
        played.pass(1.0);
        assert_eq!(played.asked(), [(1, What::Watch(9)), (1, What::Watch(9))]);
        let second = played.open[1].0;
        // The head alone says nothing of the list.
        played.hear(second, Heard::Begun);
        assert_eq!(played.open.len(), 2);
        let (speaks, silent) = if second_speaks {
            (second, first)
        } else {
            (first, second)
        };
        played.say(speaks, &members(10, false, &[node("a", Draining, 0.0)]));
        assert_eq!(played.call(), speaks);
        assert_eq!(played.states(), [("a", Draining), ("b", Draining)]);
        // The other one was hung up: what it said meanwhile counts for nothing.
        played.say(silent, &members(11, true, &[node("a", Up, 0.0)]));
        assert_eq!(played.states(), [("a", Draining), ("b", Draining)]);
    }
}

/// Guards the rule on drains against an agent that comes back and answers no call that was made while it was away: what it
/// has counts as told from that moment, so whenever that is, a call has to be made and heard within the grace.
#[test]
fn an_agent_that_is_away_is_asked_so_often_that_its_return_is_heard_within_the_grace() {
    for grace in [100.0, 300.0, 500.0, 1000.0] {
        for back in [400.0, 2300.0, 2349.0, 5555.0, 6500.0, 8123.0, 31_000.0] {
            let known = Some(members(9, true, &[node("a", Up, 0.0)]));
            let mut played = Played::new(
                Settings {
                    stop_within: grace,
                    ..settings(true, known)
                },
                1e6,
            );
            let first = played.call();
            played.beat(first);
            played.pass(back);
            let before = played.open.iter().map(|open| open.0 .0).max().unwrap_or(0);
            // From here on each call that is made is answered at once; those from before never are.
            let returned = played.now;
            let heard = loop {
                played.pass(1.0);
                assert!(played.open.len() <= 2, "{:?}", played.open);
                let fresh = played
                    .open
                    .iter()
                    .find(|open| open.0 .0 > before)
                    .map(|open| open.0);
                if let Some(call) = fresh {
                    played.say(call, &members(10, false, &[node("a", Draining, 0.0)]));
                    break played.now;
                }
            };
            // A watch that has spoken may be silent for a heartbeat, and nothing is known before that is over.
            let latest = if back < HEARTBEAT_TIMEOUT {
                1e6 + HEARTBEAT_TIMEOUT
            } else {
                returned
            } + grace;
            assert!(
                heard <= latest,
                "grace {grace}, back after {back}: heard after {}",
                heard - returned
            );
            assert_eq!(played.states(), [("a", Draining)]);
        }
    }
}

/// Guards a start, and a call that is made anew, against an agent that writes a head and nothing more.
#[test]
fn a_head_without_a_line_is_no_answer() {
    let mut played = known();
    let first = played.call();
    played.hear(first, Heard::Begun);
    played.pass(250.0);
    let second = played.open[1].0;
    played.hear(second, Heard::Begun);
    played.pass(250.0);
    assert!(
        played.open.len() == 2 && played.open[1].0 > second,
        "{:?}",
        played.open
    );
    played.say(first, &members(10, false, &[node("a", Draining, 0.0)]));
    assert_eq!(
        (played.call(), played.states()),
        (first, vec![("a", Draining), ("b", Draining)])
    );
}

/// Guards an agent that is down against being asked without end: so many calls, two of them open at most.
#[test]
fn second_calls_that_nobody_answers_come_after_half_the_grace() {
    let mut played = known();
    let mut made = 0;
    let mut last = 0;
    for _ in 0..120_000 {
        played.pass(1.0);
        let newest = played.open.iter().map(|open| open.0 .0).max().unwrap_or(0);
        made += u64::from(newest > last);
        last = last.max(newest);
        assert!(played.open.len() <= 2);
    }
    assert!((450..=490).contains(&made), "{made} calls in two minutes");
    assert_eq!(played.reports, ["watch ended: silent"]);
}

/// Guards the processor: a second call that is refused at once is not made again at once. (A watch that is silent while its
/// place takes no new connection: the fleet model ran without end here.)
#[test]
fn a_second_call_that_is_refused_is_made_again_after_a_pause() {
    let mut played = known();
    let first = played.call();
    played.beat(first);
    let mut made = 0;
    for _ in 0..60 {
        played.pass(100.0);
        for (call, _, _) in played.open.clone() {
            if call != first {
                made += 1;
                played.end(call, End::Broken("refused".into()));
                assert!(
                    played
                        .follower
                        .next_due()
                        .is_none_or(|due| due > played.now),
                    "due again at once"
                );
            }
        }
    }
    assert!(
        (8..=15).contains(&made),
        "{made} calls in six seconds, the first after a missed heartbeat"
    );
}

/// Guards a discovery that all doors share: it is not asked a second time while a call is open.
#[test]
fn a_shared_agent_is_asked_again_only_once_its_call_is_given_up() {
    let mut played = Played::new(settings(false, Some(members(9, true, &[]))), 0.0);
    while played.open.is_empty() {
        played.pass(10.0);
    }
    let call = played.call();
    played.pass(CALL_TIMEOUT - 10.0);
    assert_eq!(played.call(), call);
    played.pass(11.0);
    assert!(played.open.is_empty() && played.lost);
}

/// Guards the second place: a door that is started again after a move may be told two.
#[test]
fn a_place_that_says_nothing_or_refuses_is_followed_by_the_next() {
    let places = vec![place(1), place(2)];
    let mut played = Played::new(
        Settings {
            places: places.clone(),
            ..settings(true, None)
        },
        0.0,
    );
    let call = played.call();
    played.end(call, End::Broken("refused".into()));
    played.pass(MIN_RETRY_DELAY);
    assert_eq!(played.asked(), [(2, What::Whole)]);
    // One that hangs keeps its call, and the other is asked beside it.
    let mut played = Played::new(
        Settings {
            places,
            ..settings(true, None)
        },
        0.0,
    );
    played.pass(250.0);
    assert_eq!(played.asked(), [(1, What::Whole), (2, What::Whole)]);
}

// ---- Versions ---------------------------------------------------------------------------------------

/// Guards drains against an agent that is behind: asked from a version that it has not reached it gives its whole list, and
/// then what it hears, one by one.
#[test]
fn an_older_list_takes_no_stop_back_and_empties_nothing() {
    let mut played = known();
    played.moved(place(2));
    assert_eq!(played.asked(), [(2, What::Watch(9))]);
    let call = played.call();
    // It does not know `a` yet, and still has `c`, which is long gone.
    played.say(
        call,
        &members(6, true, &[node("b", Up, 0.0), node("c", Up, 0.0)]),
    );
    assert_eq!(played.states(), [("a", Up), ("b", Draining)]);
    for (seq, change) in [
        (7, node("c", Removed, 0.0)),
        (8, node("a", Up, 0.0)),
        (9, node("b", Draining, 0.0)),
    ] {
        played.say(call, &members(seq, false, &[change]));
        assert_eq!(played.states(), [("a", Up), ("b", Draining)], "at {seq}");
    }
    // It has caught up; from here on its words are the newest.
    played.say(
        call,
        &members(10, false, &[node("b", Up, 0.0), node("d", Up, 0.0)]),
    );
    assert_eq!(played.states(), [("a", Up), ("b", Up), ("d", Up)]);
    assert!(
        played.reports[0].contains("version 6, and 9 has been told"),
        "{:?}",
        played.reports
    );
}

#[test]
fn the_stops_of_an_older_list_hold_but_not_for_a_later_life() {
    let hosts = [node("a", Up, 0.0), node("b", Up, 50.0), node("c", Up, 0.0)];
    let mut played = Played::new(settings(true, Some(members(9, true, &hosts))), 1e6);
    let call = played.call();
    let older = [
        node("a", Draining, 0.0),
        node("b", Draining, 40.0),
        node("c", Removed, 0.0),
    ];
    played.say(call, &members(5, true, &older));
    assert_eq!(played.states(), [("a", Draining), ("b", Up)]);
}

#[test]
fn a_change_that_goes_back_asks_for_the_whole_list() {
    let mut played = known();
    let call = played.call();
    played.say(
        call,
        &members(3, false, &[node("a", Draining, 0.0), node("b", Up, 0.0)]),
    );
    assert_eq!(played.states(), [("a", Draining), ("b", Draining)]);
    assert_eq!(played.asked(), []);
    played.pass(MIN_RETRY_DELAY);
    assert_eq!(played.asked(), [(1, What::Whole)]);
    let call = played.call();
    played.say(
        call,
        &members(3, true, &[node("a", Up, 0.0), node("b", Up, 0.0)]),
    );
    assert_eq!(played.states(), [("a", Draining), ("b", Draining)]);
}

/// Guards the processor and the agent: one that goes back and never gives its whole list is asked after pauses.
#[test]
fn an_agent_that_never_gives_its_whole_list_is_asked_after_pauses() {
    let mut played = known();
    for _ in 0..5 {
        let call = played.call();
        played.say(call, &members(3, false, &[node("b", Up, 0.0)]));
        assert!(played.open.is_empty(), "{:?}", played.open);
        assert!(played
            .follower
            .next_due()
            .is_some_and(|due| due >= played.now + MIN_RETRY_DELAY));
        played.pass(MIN_RETRY_DELAY);
    }
    assert_eq!(played.states(), [("a", Up), ("b", Draining)]);
}

/// Guards stops and the rest of a list against entries that are spoilt: a stop is carried out all the same, in a change and in
/// a whole list, what was said of the others stands, and each is told of once until it is whole again.
#[test]
fn a_spoilt_entry_stops_or_stands_and_is_told_of_once() {
    let hosts = [node("a", Up, 0.0), node("b", Up, 0.0), node("c", Up, 0.0)];
    for whole in [true, false] {
        let mut played = Played::new(settings(true, Some(members(9, true, &hosts))), 1e6);
        let call = played.call();
        let spoilt = |host: &str, health: &str| json!({"host": host, "health": health, "dial": 7});
        let good = serde_json::to_value(node("c", Up, 0.0)).expect("an entry");
        for seq in [10, 11] {
            let hosts = json!([spoilt("a", "draining"), spoilt("b", "up"), good]);
            let text = json!({"seq": seq, "whole": whole, "hosts": hosts}).to_string();
            played.hear(call, Heard::Line(text.into_bytes()));
            assert_eq!(
                played.states(),
                [("a", Draining), ("b", Up), ("c", Up)],
                "whole: {whole}"
            );
        }
        assert_eq!(played.reports.len(), 2, "{:?}", played.reports);
        played.say(call, &members(12, false, &[node("b", Draining, 0.0)]));
        let text = json!({"seq": 13, "whole": false, "hosts": [spoilt("b", "up")]}).to_string();
        played.hear(call, Heard::Line(text.into_bytes()));
        assert_eq!(
            (played.states()[1], played.reports.len()),
            (("b", Draining), 3),
            "it was whole meanwhile"
        );
    }
    // What stands after a whole list can still be stopped by no more than its name.
    let mut played = Played::new(settings(true, Some(members(9, true, &hosts))), 1e6);
    let call = played.call();
    for (seq, health) in [(10, "up"), (11, "draining")] {
        let hosts = json!([{"host": "b", "health": health, "dial": 7}]);
        let text = json!({"seq": seq, "whole": true, "hosts": hosts}).to_string();
        played.hear(call, Heard::Line(text.into_bytes()));
    }
    assert_eq!(played.states(), [("b", Draining)]);
}

/// Guards memory against an agent that lists without end: the follower holds no more than the roster does.
#[test]
fn no_more_backends_are_held_than_the_roster_holds() {
    let mut played = Played::new(settings(true, None), 0.0);
    let call = played.call();
    let name = |n: usize| node(&format!("n{n:06}"), Up, 0.0);
    let some: Vec<Member> = (0..MOST_NODES + 5).map(name).collect();
    played.say(call, &members(1, true, &some));
    played.end(call, End::Whole);
    // Whether it holds the last one shows where its stop is taken from an entry that names no more than that.
    let call = played.call();
    let stop = |n: usize| json!({"host": format!("n{n:06}"), "health": "draining", "dial": 7});
    let text = json!({"seq": 2, "whole": false, "hosts": [stop(MOST_NODES - 1), stop(MOST_NODES)]})
        .to_string();
    played.hear(call, Heard::Line(text.into_bytes()));
    let states: Vec<Health> = played.states()[MOST_NODES - 1..=MOST_NODES]
        .iter()
        .map(|state| state.1)
        .collect();
    assert_eq!(states, [Draining, Up]);
}

/// Guards against an agent that counts anew and is believed late or never.
#[test]
fn an_agent_that_counts_anew_is_believed_by_a_newer_life_or_once_it_was_heard_for_long() {
    let anew = [node("a", Up, 0.0), node("b", Up, 0.0)];
    let mut played = known();
    let call = played.call();
    let born = played.now + 1.0;
    played.pass(100.0);
    played.say(
        call,
        &members(
            1,
            true,
            &[node("a", Up, 0.0), node("b", Up, 0.0), node("d", Up, born)],
        ),
    );
    assert_eq!(
        played.states(),
        [("a", Up), ("b", Up), ("d", Up)],
        "a life that began since"
    );
    // With nothing new in it, it is believed once it must have heard of all stops that had been told before it spoke.
    let mut played = known();
    let call = played.call();
    played.say(call, &members(1, true, &anew));
    for _ in 0..3 {
        assert_eq!(
            played.states(),
            [("a", Up), ("b", Draining)],
            "at {}",
            played.now
        );
        played.pass(HEARTBEAT);
        played.beat(call);
    }
    assert_eq!(played.states(), [("a", Up), ("b", Up)]);
    // A gap in what is heard begins that time anew.
    let mut played = known();
    let first = played.call();
    played.say(first, &members(1, true, &anew));
    played.pass(HEARTBEAT * 2.0);
    let second = played.open[1].0;
    played.beat(second);
    assert_eq!(played.call(), second);
    played.pass(HEARTBEAT);
    played.beat(second);
    assert_eq!(played.states(), [("a", Up), ("b", Draining)]);
    for _ in 0..2 {
        played.pass(HEARTBEAT);
        played.beat(second);
    }
    assert_eq!(played.states(), [("a", Up), ("b", Up)]);
}

/// Guards a stop that was taken from an agent that is behind, or counts anew, against the agent that is asked next: nobody
/// knows which of the two is older, so neither the next one's versions nor lives that began before the stop show it.
#[test]
fn a_stop_from_a_list_that_was_left_holds_until_the_next_agent_must_know_it() {
    let mut played = known();
    let call = played.call();
    played.pass(1000.0);
    let between = played.now - 500.0;
    played.say(call, &members(1, true, &[node("a", Draining, 0.0)]));
    played.moved(place(2));
    assert_eq!(played.asked(), [(2, What::Whole)]);
    let call = played.call();
    played.say(
        call,
        &members(12, true, &[node("a", Up, 0.0), node("d", Up, between)]),
    );
    assert_eq!(played.states(), [("a", Draining), ("b", Draining)]);
    played.say(call, &members(13, false, &[node("e", Up, 0.0)]));
    assert_eq!(played.states(), [("a", Draining), ("b", Draining)]);
    for _ in 0..3 {
        played.pass(HEARTBEAT);
        played.beat(call);
    }
    assert_eq!(played.states(), [("a", Up), ("d", Up), ("e", Up)]);
}

/// Guards a numbering that has taken the place of another against an agent that still counts by the old one.
#[test]
fn an_agent_of_a_numbering_that_was_given_up_is_behind() {
    let mut played = known();
    let call = played.call();
    let born = played.now + 1.0;
    played.pass(10.0);
    played.say(
        call,
        &members(1, true, &[node("a", Draining, 0.0), node("d", Up, born)]),
    );
    assert_eq!(played.states(), [("a", Draining), ("d", Up)]);
    played.moved(place(2));
    let call = played.call();
    played.say(
        call,
        &members(12, true, &[node("a", Up, 0.0), node("b", Draining, 0.0)]),
    );
    assert_eq!(played.states(), [("a", Draining), ("d", Up)]);
    // A numbering that reaches the old one's versions by its own steps is not taken for it.
    played.moved(place(1));
    for seq in 2..12 {
        let call = played.call();
        played.say(call, &members(seq, false, &[node("f", Up, seq as f64)]));
    }
    assert_eq!(played.states(), [("a", Draining), ("d", Up), ("f", Up)]);
}

#[test]
fn a_list_of_the_version_that_is_known_changes_nothing_unless_it_differs() {
    let mut played = known();
    let call = played.call();
    played.say(call, &members(9, false, &[]));
    played.say(
        call,
        &members(9, true, &[node("b", Draining, 0.0), node("a", Up, 0.0)]),
    );
    assert_eq!(
        (played.states(), played.reports.len()),
        (vec![("a", Up), ("b", Draining)], 0)
    );
    played.say(
        call,
        &members(9, true, &[node("b", Up, 0.0), node("a", Up, 0.0)]),
    );
    assert_eq!(
        (played.states(), played.reports.len()),
        (vec![("a", Up), ("b", Draining)], 1)
    );
}

#[test]
fn long_lines_and_pieces_are_cut_as_they_come() {
    let mut lines = Lines::default();
    let mut heard: Vec<Vec<u8>> = Vec::new();
    for piece in [&b"one\ntw"[..], b"", b"o\n\nthr", b"ee\n", b"rest"] {
        let take = |line: &[u8]| {
            heard.push(line.to_vec());
            Ok(())
        };
        lines.push(piece, take).expect("short lines");
    }
    assert_eq!(heard, [&b"one"[..], b"two", b"", b"three"]);
    assert_eq!(lines.rest(), b"rest");
    let mut lines = Lines::default();
    assert!(lines.push(&vec![b'x'; MAX_LINE_BYTES], |_| Ok(())).is_ok());
    assert!(lines
        .push(b"x", |_| Ok(()))
        .unwrap_err()
        .to_string()
        .contains("4194304 bytes at most"));
}
