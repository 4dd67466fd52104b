//! Examples of the calls that a follower makes and the updates that it applies.

use maplefall_discovery_agent::*;
use maplefall_membership::{Event, MAX_BACKENDS};
use maplefall_policy::Millis;
use maplefall_protocol::Health::{self, Draining, Removed, Up};
use maplefall_protocol::{Member, Members};
use serde_json::json;
use std::net::SocketAddr;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn backend(host: &str, health: Health, born_ms: f64) -> Member {
    Member {
        host: host.into(),
        dial: address(9),
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

fn settings(is_local: bool, initial_list: Option<Members>) -> Settings {
    Settings {
        source: 0,
        is_local,
        process_count: 300,
        drain_grace_period: 500.0,
        seed: 1,
        addresses: vec![address(1)],
        initial_list,
    }
}

/// A follower with a clock, its open calls and the resulting endpoint list.
struct Harness {
    follower: Follower,
    now: Millis,
    open: Vec<(CallId, SocketAddr, RequestKind)>,
    /// The state and start of each backend in the endpoint list.
    list: std::collections::BTreeMap<String, (Health, f64)>,
    reports: Vec<String>,
    lost: bool,
}

impl Harness {
    fn new(settings: Settings, now: Millis) -> Harness {
        let initial = settings.initial_list.iter().flat_map(|list| &list.hosts);
        let list = initial
            .map(|m| (m.host.clone(), (m.health, m.born_ms)))
            .collect();
        let follower = Follower::new(settings, now);
        let mut harness = Harness {
            follower,
            now,
            open: Vec::new(),
            list,
            reports: Vec::new(),
            lost: false,
        };
        harness.advance(0.0);
        harness
    }

    fn apply_outputs(&mut self, out: Vec<Output>) {
        for output in out {
            match output {
                Output::OpenCall {
                    call,
                    address,
                    request,
                } => self.open.push((call, address, request)),
                Output::CloseCall(call) => self.open.retain(|open| open.0 != call),
                Output::Report(report) => self.reports.push(report.to_string()),
                Output::Event(Event::Lost { .. }) => self.lost = true,
                Output::Event(Event::Resumed { .. }) => self.lost = false,
                Output::Event(Event::Snapshot {
                    members,
                    unreadable,
                    ..
                }) => {
                    self.lost = false;
                    self.list.retain(|host, _| unreadable.contains(host));
                    self.apply_members(&members);
                }
                Output::Event(Event::Change { members, .. }) => {
                    self.lost = false;
                    self.apply_members(&members);
                }
                Output::Event(other) => panic!("{other:?}"),
            }
        }
    }

    fn apply_members(&mut self, members: &Members) {
        for member in &members.hosts {
            match member.health {
                Removed => self.list.remove(&member.host),
                health => self
                    .list
                    .insert(member.host.clone(), (health, member.born_ms)),
            };
        }
    }

    /// Advances the clock, and does everything that is due in this time.
    fn advance(&mut self, duration: Millis) {
        let end = self.now + duration;
        while let Some(due) = self.follower.next_due().filter(|due| *due <= end) {
            self.now = self.now.max(due);
            let out = self.follower.tick(self.now);
            self.apply_outputs(out);
        }
        self.now = end;
    }

    fn handle(&mut self, call: CallId, event: CallEvent) {
        let out = self.follower.handle_call_event(self.now, call, event);
        self.apply_outputs(out);
    }

    fn receive(&mut self, call: CallId, members: &Members) {
        let text = serde_json::to_vec(members).expect("members serialize");
        self.handle(call, CallEvent::Line(text));
    }

    fn receive_heartbeat(&mut self, call: CallId) {
        self.handle(call, CallEvent::Line(Vec::new()));
    }

    fn end(&mut self, call: CallId, end: CallEnd) {
        self.open.retain(|open| open.0 != call);
        self.handle(call, CallEvent::Ended(end));
    }

    fn move_to(&mut self, to: SocketAddr) {
        let out = self.follower.move_to(self.now, to);
        self.apply_outputs(out);
    }

    /// Returns the only open call.
    fn only_call(&self) -> CallId {
        assert_eq!(self.open.len(), 1, "{:?}", self.open);
        self.open[0].0
    }

    fn requests(&self) -> Vec<(u16, RequestKind)> {
        self.open
            .iter()
            .map(|(_, address, request)| (address.port(), *request))
            .collect()
    }

    fn states(&self) -> Vec<(&str, Health)> {
        self.list
            .iter()
            .map(|(host, (health, _))| (host.as_str(), *health))
            .collect()
    }
}

/// Returns a follower that has applied version 9, in which `a` is up and `b` is draining, with an
/// open watch.
fn watching() -> Harness {
    let hosts = [backend("a", Up, 0.0), backend("b", Draining, 0.0)];
    Harness::new(settings(true, Some(members(9, true, &hosts))), 1e6)
}

/// The rule on drains in a large fleet: a process that starts with an old list may forward nothing
/// to a backend 500 ms after its local agent has received the drain, so its first call is not
/// delayed.
#[test]
fn a_local_agent_is_called_at_once_in_a_fleet_of_any_size() {
    for process_count in [1, 4, 100, 315, u32::MAX] {
        let first_call_at = |is_local, seed| {
            let initial_list = Some(members(9, true, &[]));
            let settings = Settings {
                process_count,
                seed,
                ..settings(is_local, initial_list)
            };
            Follower::new(settings, 0.0)
                .next_due()
                .expect("a first call")
        };
        assert!(
            (0..50).all(|seed| first_call_at(true, seed) == 0.0),
            "{process_count} processes"
        );
        let latest = (0..50)
            .map(|seed| first_call_at(false, seed))
            .fold(0.0, f64::max);
        assert_eq!(
            latest > 1000.0,
            process_count >= 100,
            "{process_count} processes"
        );
    }
}

/// A process that starts without a list.
#[test]
fn without_a_list_the_complete_one_is_requested_and_then_watched() {
    let mut harness = Harness::new(settings(true, None), 0.0);
    assert_eq!(harness.requests(), [(1, RequestKind::CompleteList)]);
    let call = harness.only_call();
    harness.receive(call, &members(4, true, &[backend("a", Up, 0.0)]));
    harness.end(call, CallEnd::Complete);
    assert_eq!(
        (harness.requests(), harness.states()),
        (vec![(1, RequestKind::Watch(4))], vec![("a", Up)])
    );
    assert!(!harness.lost, "the end of a complete list is no outage");
}

/// An overloaded agent gets no expensive requests: after status 503 changes are requested again;
/// the complete list is requested only if the agent rejects the version with another status.
#[test]
fn after_an_overload_changes_are_requested_and_not_the_complete_list() {
    let mut harness = watching();
    for (status, request) in [
        (503, RequestKind::Watch(9)),
        (503, RequestKind::Watch(9)),
        (404, RequestKind::CompleteList),
        (503, RequestKind::CompleteList),
    ] {
        let call = harness.only_call();
        harness.end(call, CallEnd::Status(status));
        assert!(harness.open.is_empty() && harness.lost);
        harness.advance(MIN_RETRY_DELAY);
        assert_eq!(harness.requests(), [(1, request)], "after {status}");
    }
    assert_eq!(
        harness.reports,
        ["watch ended: status 503"],
        "reported once for an outage"
    );
}

/// A malformed line ends the call.
#[test]
fn a_malformed_line_is_reported_and_the_complete_list_requested() {
    let mut harness = watching();
    let call = harness.only_call();
    harness.handle(call, CallEvent::Line(b"{\"seq\":10,".to_vec()));
    assert!(
        harness.reports[0].contains("unreadable line"),
        "{:?}",
        harness.reports
    );
    harness.advance(MIN_RETRY_DELAY);
    assert_eq!(harness.requests(), [(1, RequestKind::CompleteList)]);
    // The list is equal to the applied one: nothing has changed.
    let call = harness.only_call();
    harness.receive(
        call,
        &members(
            9,
            true,
            &[backend("a", Up, 0.0), backend("b", Draining, 0.0)],
        ),
    );
    assert_eq!(harness.states(), [("a", Up), ("b", Draining)]);
}

/// A watch that goes silent: after a missed heartbeat a second call is made, and the call that
/// receives a line first continues alone.
#[test]
fn after_a_missed_heartbeat_the_first_of_two_calls_with_a_line_continues() {
    for second_is_first in [true, false] {
        let mut harness = watching();
        let first = harness.only_call();
        harness.handle(first, CallEvent::ResponseStarted);
        harness.receive_heartbeat(first);
        harness.advance(HEARTBEAT_TIMEOUT - 1.0);
        assert_eq!(harness.open.len(), 1, "not before a heartbeat is missed");
        harness.advance(1.0);
        assert_eq!(
            harness.requests(),
            [(1, RequestKind::Watch(9)), (1, RequestKind::Watch(9))]
        );
        let second = harness.open[1].0;
        // The head of a response is not a line.
        harness.handle(second, CallEvent::ResponseStarted);
        assert_eq!(harness.open.len(), 2);
        let (active, idle) = if second_is_first {
            (second, first)
        } else {
            (first, second)
        };
        harness.receive(active, &members(10, false, &[backend("a", Draining, 0.0)]));
        assert_eq!(harness.only_call(), active);
        assert_eq!(harness.states(), [("a", Draining), ("b", Draining)]);
        // The other call was closed: its line is ignored.
        harness.receive(idle, &members(11, true, &[backend("a", Up, 0.0)]));
        assert_eq!(harness.states(), [("a", Draining), ("b", Draining)]);
    }
}

/// The rule on drains with an agent that restarts and answers no call from before: what the agent
/// has received counts as reported from that moment, so a new call has to be answered within the
/// grace period.
#[test]
fn a_restarted_agent_is_received_within_the_grace_period() {
    for grace in [100.0, 300.0, 500.0, 1000.0] {
        for downtime in [400.0, 2300.0, 2349.0, 5555.0, 6500.0, 8123.0, 31_000.0] {
            let initial_list = Some(members(9, true, &[backend("a", Up, 0.0)]));
            let mut harness = Harness::new(
                Settings {
                    drain_grace_period: grace,
                    ..settings(true, initial_list)
                },
                1e6,
            );
            let first = harness.only_call();
            harness.receive_heartbeat(first);
            harness.advance(downtime);
            let last_call = harness.open.iter().map(|open| open.0 .0).max().unwrap_or(0);
            // From here on each new call is answered at once; those from before never are.
            let restarted_at = harness.now;
            let received_at = loop {
                harness.advance(1.0);
                assert!(harness.open.len() <= 2, "{:?}", harness.open);
                let new_call = harness
                    .open
                    .iter()
                    .find(|open| open.0 .0 > last_call)
                    .map(|open| open.0);
                if let Some(call) = new_call {
                    harness.receive(call, &members(10, false, &[backend("a", Draining, 0.0)]));
                    break harness.now;
                }
            };
            // An open watch may be silent until a heartbeat is missed.
            let latest = if downtime < HEARTBEAT_TIMEOUT {
                1e6 + HEARTBEAT_TIMEOUT
            } else {
                restarted_at
            } + grace;
            assert!(
                received_at <= latest,
                "grace {grace}, down for {downtime}: received after {}",
                received_at - restarted_at
            );
            assert_eq!(harness.states(), [("a", Draining)]);
        }
    }
}

/// An agent that sends the head of a response and nothing more is called again.
#[test]
fn the_head_of_a_response_does_not_count_as_a_line() {
    let mut harness = watching();
    let first = harness.only_call();
    harness.handle(first, CallEvent::ResponseStarted);
    harness.advance(250.0);
    let second = harness.open[1].0;
    harness.handle(second, CallEvent::ResponseStarted);
    harness.advance(250.0);
    assert!(
        harness.open.len() == 2 && harness.open[1].0 > second,
        "{:?}",
        harness.open
    );
    harness.receive(first, &members(10, false, &[backend("a", Draining, 0.0)]));
    assert_eq!(
        (harness.only_call(), harness.states()),
        (first, vec![("a", Draining), ("b", Draining)])
    );
}

/// An agent that is down is not flooded with calls: at most two are open.
#[test]
fn unanswered_second_calls_are_repeated_after_half_the_grace_period() {
    let mut harness = watching();
    let mut calls = 0;
    let mut last = 0;
    for _ in 0..120_000 {
        harness.advance(1.0);
        let newest = harness.open.iter().map(|open| open.0 .0).max().unwrap_or(0);
        calls += u64::from(newest > last);
        last = last.max(newest);
        assert!(harness.open.len() <= 2);
    }
    assert!((450..=490).contains(&calls), "{calls} calls in two minutes");
    assert_eq!(harness.reports, ["watch ended: no data before the timeout"]);
}

/// A second call that is refused is not repeated in a busy loop, as when a watch is silent while
/// its address accepts no connection.
#[test]
fn a_refused_second_call_is_made_again_after_a_delay() {
    let mut harness = watching();
    let first = harness.only_call();
    harness.receive_heartbeat(first);
    let mut calls = 0;
    for _ in 0..60 {
        harness.advance(100.0);
        for (call, _, _) in harness.open.clone() {
            if call != first {
                calls += 1;
                harness.end(call, CallEnd::ConnectionFailed("refused".into()));
                assert!(
                    harness
                        .follower
                        .next_due()
                        .is_none_or(|due| due > harness.now),
                    "due again at once"
                );
            }
        }
    }
    assert!(
        (8..=15).contains(&calls),
        "{calls} calls in six seconds, the first after a missed heartbeat"
    );
}

/// A shared agent is not called a second time while a call is open.
#[test]
fn a_shared_agent_is_called_again_only_after_a_timeout() {
    let mut harness = Harness::new(settings(false, Some(members(9, true, &[]))), 0.0);
    while harness.open.is_empty() {
        harness.advance(10.0);
    }
    let call = harness.only_call();
    harness.advance(CALL_TIMEOUT - 10.0);
    assert_eq!(harness.only_call(), call);
    harness.advance(11.0);
    assert!(harness.open.is_empty() && harness.lost);
}

/// A process that restarts after its agent has moved has two addresses; if one does not respond,
/// the other is called.
#[test]
fn after_an_address_that_is_silent_or_refuses_the_next_is_called() {
    let addresses = vec![address(1), address(2)];
    let mut harness = Harness::new(
        Settings {
            addresses: addresses.clone(),
            ..settings(true, None)
        },
        0.0,
    );
    let call = harness.only_call();
    harness.end(call, CallEnd::ConnectionFailed("refused".into()));
    harness.advance(MIN_RETRY_DELAY);
    assert_eq!(harness.requests(), [(2, RequestKind::CompleteList)]);
    // A call to a silent address stays open, and the other address is called beside it.
    let mut harness = Harness::new(
        Settings {
            addresses,
            ..settings(true, None)
        },
        0.0,
    );
    harness.advance(250.0);
    assert_eq!(
        harness.requests(),
        [
            (1, RequestKind::CompleteList),
            (2, RequestKind::CompleteList)
        ]
    );
}

// ---- Versions -----------------------------------------------------------------------------------

/// An agent that is behind revokes no drain: it sends its complete list, and then the changes one
/// by one.
#[test]
fn an_outdated_list_revokes_no_stop_and_removes_nothing() {
    let mut harness = watching();
    harness.move_to(address(2));
    assert_eq!(harness.requests(), [(2, RequestKind::Watch(9))]);
    let call = harness.only_call();
    // The agent has not received `a` yet, and still has `c`, which was removed.
    harness.receive(
        call,
        &members(6, true, &[backend("b", Up, 0.0), backend("c", Up, 0.0)]),
    );
    assert_eq!(harness.states(), [("a", Up), ("b", Draining)]);
    for (seq, change) in [
        (7, backend("c", Removed, 0.0)),
        (8, backend("a", Up, 0.0)),
        (9, backend("b", Draining, 0.0)),
    ] {
        harness.receive(call, &members(seq, false, &[change]));
        assert_eq!(harness.states(), [("a", Up), ("b", Draining)], "at {seq}");
    }
    // The agent has caught up: from here on its updates are applied.
    harness.receive(
        call,
        &members(10, false, &[backend("b", Up, 0.0), backend("d", Up, 0.0)]),
    );
    assert_eq!(harness.states(), [("a", Up), ("b", Up), ("d", Up)]);
    assert!(
        harness.reports[0].contains("version 6, but 9 has been applied"),
        "{:?}",
        harness.reports
    );
}

/// Stops in an outdated list are applied, except to later instances.
#[test]
fn stops_of_an_outdated_list_are_applied_but_not_to_a_later_instance() {
    let hosts = [
        backend("a", Up, 0.0),
        backend("b", Up, 50.0),
        backend("c", Up, 0.0),
    ];
    let mut harness = Harness::new(settings(true, Some(members(9, true, &hosts))), 1e6);
    let call = harness.only_call();
    let outdated = [
        backend("a", Draining, 0.0),
        backend("b", Draining, 40.0),
        backend("c", Removed, 0.0),
    ];
    harness.receive(call, &members(5, true, &outdated));
    assert_eq!(harness.states(), [("a", Draining), ("b", Up)]);
}

/// A change with a version below the applied one.
#[test]
fn after_an_outdated_change_the_complete_list_is_requested() {
    let mut harness = watching();
    let call = harness.only_call();
    harness.receive(
        call,
        &members(
            3,
            false,
            &[backend("a", Draining, 0.0), backend("b", Up, 0.0)],
        ),
    );
    assert_eq!(harness.states(), [("a", Draining), ("b", Draining)]);
    assert_eq!(harness.requests(), []);
    harness.advance(MIN_RETRY_DELAY);
    assert_eq!(harness.requests(), [(1, RequestKind::CompleteList)]);
    let call = harness.only_call();
    harness.receive(
        call,
        &members(3, true, &[backend("a", Up, 0.0), backend("b", Up, 0.0)]),
    );
    assert_eq!(harness.states(), [("a", Draining), ("b", Draining)]);
}

/// An agent that never sends its complete list is not called in a busy loop.
#[test]
fn an_agent_that_sends_outdated_changes_is_called_after_delays() {
    let mut harness = watching();
    for _ in 0..5 {
        let call = harness.only_call();
        harness.receive(call, &members(3, false, &[backend("b", Up, 0.0)]));
        assert!(harness.open.is_empty(), "{:?}", harness.open);
        assert!(harness
            .follower
            .next_due()
            .is_some_and(|due| due >= harness.now + MIN_RETRY_DELAY));
        harness.advance(MIN_RETRY_DELAY);
    }
    assert_eq!(harness.states(), [("a", Up), ("b", Draining)]);
}

/// Invalid entries in changes and complete lists: their stops are applied, otherwise the previous
/// entry stays, and each is reported once until it is valid again.
#[test]
fn an_invalid_entry_stops_or_keeps_its_backend_and_is_reported_once() {
    let hosts = [
        backend("a", Up, 0.0),
        backend("b", Up, 0.0),
        backend("c", Up, 0.0),
    ];
    for whole in [true, false] {
        let mut harness = Harness::new(settings(true, Some(members(9, true, &hosts))), 1e6);
        let call = harness.only_call();
        let invalid = |host: &str, health: &str| json!({"host": host, "health": health, "dial": 7});
        let valid = serde_json::to_value(backend("c", Up, 0.0)).expect("an entry");
        for seq in [10, 11] {
            let hosts = json!([invalid("a", "draining"), invalid("b", "up"), valid]);
            let text = json!({"seq": seq, "whole": whole, "hosts": hosts}).to_string();
            harness.handle(call, CallEvent::Line(text.into_bytes()));
            assert_eq!(
                harness.states(),
                [("a", Draining), ("b", Up), ("c", Up)],
                "whole: {whole}"
            );
        }
        assert_eq!(harness.reports.len(), 2, "{:?}", harness.reports);
        harness.receive(call, &members(12, false, &[backend("b", Draining, 0.0)]));
        let text = json!({"seq": 13, "whole": false, "hosts": [invalid("b", "up")]}).to_string();
        harness.handle(call, CallEvent::Line(text.into_bytes()));
        assert_eq!(
            (harness.states()[1], harness.reports.len()),
            (("b", Draining), 3),
            "it was valid in between"
        );
    }
    // An entry that stayed after a complete list can still be stopped by its name alone.
    let mut harness = Harness::new(settings(true, Some(members(9, true, &hosts))), 1e6);
    let call = harness.only_call();
    for (seq, health) in [(10, "up"), (11, "draining")] {
        let hosts = json!([{"host": "b", "health": health, "dial": 7}]);
        let text = json!({"seq": seq, "whole": true, "hosts": hosts}).to_string();
        harness.handle(call, CallEvent::Line(text.into_bytes()));
    }
    assert_eq!(harness.states(), [("b", Draining)]);
}

/// An endless list does not exhaust memory: the follower keeps no more backends than the endpoint
/// list.
#[test]
fn the_list_is_bounded_like_the_endpoint_list() {
    let mut harness = Harness::new(settings(true, None), 0.0);
    let call = harness.only_call();
    let nth_backend = |n: usize| backend(&format!("n{n:06}"), Up, 0.0);
    let backends: Vec<Member> = (0..MAX_BACKENDS + 5).map(nth_backend).collect();
    harness.receive(call, &members(1, true, &backends));
    harness.end(call, CallEnd::Complete);
    // A stop by name alone is only applied to a backend that was kept.
    let call = harness.only_call();
    let stop = |n: usize| json!({"host": format!("n{n:06}"), "health": "draining", "dial": 7});
    let text =
        json!({"seq": 2, "whole": false, "hosts": [stop(MAX_BACKENDS - 1), stop(MAX_BACKENDS)]})
            .to_string();
    harness.handle(call, CallEvent::Line(text.into_bytes()));
    let states: Vec<Health> = harness.states()[MAX_BACKENDS - 1..=MAX_BACKENDS]
        .iter()
        .map(|state| state.1)
        .collect();
    assert_eq!(states, [Draining, Up]);
}

/// An agent that restarts its numbering must not be distrusted forever.
#[test]
fn a_restarted_numbering_is_trusted_with_a_newer_instance_or_after_the_propagation_delay() {
    let restarted = [backend("a", Up, 0.0), backend("b", Up, 0.0)];
    let mut harness = watching();
    let call = harness.only_call();
    let born = harness.now + 1.0;
    harness.advance(100.0);
    harness.receive(
        call,
        &members(
            1,
            true,
            &[
                backend("a", Up, 0.0),
                backend("b", Up, 0.0),
                backend("d", Up, born),
            ],
        ),
    );
    assert_eq!(
        harness.states(),
        [("a", Up), ("b", Up), ("d", Up)],
        "an instance that started since"
    );
    // Without a newer instance the list is trusted once the agent must have all stops that were
    // reported before.
    let mut harness = watching();
    let call = harness.only_call();
    harness.receive(call, &members(1, true, &restarted));
    for _ in 0..3 {
        assert_eq!(
            harness.states(),
            [("a", Up), ("b", Draining)],
            "at {}",
            harness.now
        );
        harness.advance(HEARTBEAT);
        harness.receive_heartbeat(call);
    }
    assert_eq!(harness.states(), [("a", Up), ("b", Up)]);
    // A gap restarts that time.
    let mut harness = watching();
    let first = harness.only_call();
    harness.receive(first, &members(1, true, &restarted));
    harness.advance(HEARTBEAT * 2.0);
    let second = harness.open[1].0;
    harness.receive_heartbeat(second);
    assert_eq!(harness.only_call(), second);
    harness.advance(HEARTBEAT);
    harness.receive_heartbeat(second);
    assert_eq!(harness.states(), [("a", Up), ("b", Draining)]);
    for _ in 0..2 {
        harness.advance(HEARTBEAT);
        harness.receive_heartbeat(second);
    }
    assert_eq!(harness.states(), [("a", Up), ("b", Up)]);
}

/// A stop was applied from an outdated list, and the next agent is followed. Which of the two
/// agents is older is unknown, so neither the next agent's versions nor instances that started
/// before the stop revoke it.
#[test]
fn a_stop_from_an_abandoned_list_stays_until_the_next_agent_must_have_it() {
    let mut harness = watching();
    let call = harness.only_call();
    harness.advance(1000.0);
    let between = harness.now - 500.0;
    harness.receive(call, &members(1, true, &[backend("a", Draining, 0.0)]));
    harness.move_to(address(2));
    assert_eq!(harness.requests(), [(2, RequestKind::CompleteList)]);
    let call = harness.only_call();
    harness.receive(
        call,
        &members(
            12,
            true,
            &[backend("a", Up, 0.0), backend("d", Up, between)],
        ),
    );
    assert_eq!(harness.states(), [("a", Draining), ("b", Draining)]);
    harness.receive(call, &members(13, false, &[backend("e", Up, 0.0)]));
    assert_eq!(harness.states(), [("a", Draining), ("b", Draining)]);
    for _ in 0..3 {
        harness.advance(HEARTBEAT);
        harness.receive_heartbeat(call);
    }
    assert_eq!(harness.states(), [("a", Up), ("d", Up), ("e", Up)]);
}

/// A numbering was superseded, and the next agent still uses it.
#[test]
fn an_agent_with_a_superseded_numbering_is_outdated() {
    let mut harness = watching();
    let call = harness.only_call();
    let born = harness.now + 1.0;
    harness.advance(10.0);
    harness.receive(
        call,
        &members(
            1,
            true,
            &[backend("a", Draining, 0.0), backend("d", Up, born)],
        ),
    );
    assert_eq!(harness.states(), [("a", Draining), ("d", Up)]);
    harness.move_to(address(2));
    let call = harness.only_call();
    harness.receive(
        call,
        &members(
            12,
            true,
            &[backend("a", Up, 0.0), backend("b", Draining, 0.0)],
        ),
    );
    assert_eq!(harness.states(), [("a", Draining), ("d", Up)]);
    // A numbering that reaches the old one's versions step by step is not mistaken for it.
    harness.move_to(address(1));
    for seq in 2..12 {
        let call = harness.only_call();
        harness.receive(call, &members(seq, false, &[backend("f", Up, seq as f64)]));
    }
    assert_eq!(harness.states(), [("a", Draining), ("d", Up), ("f", Up)]);
}

/// The applied version is received again, with the same list and with another.
#[test]
fn a_repeated_version_changes_nothing_and_is_outdated_if_its_list_differs() {
    let mut harness = watching();
    let call = harness.only_call();
    harness.receive(call, &members(9, false, &[]));
    harness.receive(
        call,
        &members(
            9,
            true,
            &[backend("b", Draining, 0.0), backend("a", Up, 0.0)],
        ),
    );
    assert_eq!(
        (harness.states(), harness.reports.len()),
        (vec![("a", Up), ("b", Draining)], 0)
    );
    harness.receive(
        call,
        &members(9, true, &[backend("b", Up, 0.0), backend("a", Up, 0.0)]),
    );
    assert_eq!(
        (harness.states(), harness.reports.len()),
        (vec![("a", Up), ("b", Draining)], 1)
    );
}

/// Lines arrive in chunks of any length; the length of a line is bounded.
#[test]
fn chunks_are_joined_and_split_into_lines() {
    let mut lines = LineSplitter::default();
    let mut received: Vec<Vec<u8>> = Vec::new();
    for chunk in [&b"one\ntw"[..], b"", b"o\n\nthr", b"ee\n", b"rest"] {
        let consume = |line: &[u8]| {
            received.push(line.to_vec());
            Ok(())
        };
        lines.push(chunk, consume).expect("short lines");
    }
    assert_eq!(received, [&b"one"[..], b"two", b"", b"three"]);
    assert_eq!(lines.remainder(), b"rest");
    let mut lines = LineSplitter::default();
    assert!(lines.push(&vec![b'x'; MAX_LINE_BYTES], |_| Ok(())).is_ok());
    assert!(lines
        .push(b"x", |_| Ok(()))
        .unwrap_err()
        .to_string()
        .contains("4194304 bytes at most"));
}
