//! The stand-ins over loopback sockets: each does what its scripts and reports rely on. Nothing waits for a time where
//! an event will do; what does not come within `PATIENCE` fails the test.

use maplefall_event_trace::{
    AttemptEnd, Effect, Event, EventKind, FailureReason, Millis, NodeState, Recorder,
};
use maplefall_protocol::{Health, Member};
use maplefall_test_servers::agent::{host, Agent, Lapse, List};
use maplefall_test_servers::backend::{
    Backend, BackendSlot, BackendSpec, Deployment, Fault, FaultKind, Listeners, Metering, Overload,
    SharedState, Work,
};
use maplefall_test_servers::client::{
    Ask, Backoff, ClientBehavior, ClientOptions, Clients, GatewayState, GatewayStates, RequestClass,
};
use maplefall_test_servers::counter::Counter;
use maplefall_test_servers::lateness::Lateness;
use maplefall_test_servers::malformed_client;
use maplefall_test_servers::wire::{Link, Message, NoMessage};
use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

const PATIENCE: Duration = Duration::from_secs(30);

fn play<T>(scene: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build()
        .expect("a runtime");
    let scene = async {
        tokio::time::timeout(PATIENCE, scene)
            .await
            .expect("the scene ends in time")
    };
    tokio::task::LocalSet::new().block_on(&runtime, scene)
}

struct Scene {
    recorder: Recorder,
    world: Rc<SharedState>,
    place: Rc<BackendSlot>,
}

const SPEC: BackendSpec = BackendSpec {
    number: 3,
    cores: 1,
    queue: 1,
    initial_capacity: 1.0,
    warmup_ms: 0.0,
    connections: 50,
};

fn scene(work_ms: Millis, spec: BackendSpec) -> (Scene, Rc<Backend>) {
    let recorder = Recorder::new();
    let work = |class: &str, effect| Work {
        class: class.into(),
        effect,
        memory_ms: 60_000.0,
        work_ms: [work_ms, work_ms],
    };
    let deployment = Deployment {
        seed: 1,
        work: vec![
            work("read", Effect::Safe),
            work("extend", Effect::Keyed),
            work("charge", Effect::Unsafe),
        ],
        metering: Metering {
            period_ms: 0.0,
            delay_ms: 0.0,
            rates: Vec::new(),
        },
        idle_ms: 60_000.0,
        overload: Overload {
            factor: 3.0,
            window_ms: 1500.0,
            slack_ms: 10.0,
        },
    };
    let world = SharedState::new(deployment, recorder.clone(), Lateness::default());
    let place = BackendSlot::over(Listeners::open(2).expect("ports"));
    let node = Backend::start(&world, spec);
    place.set_backend(Some(node.clone()));
    (
        Scene {
            recorder,
            world,
            place,
        },
        node,
    )
}

impl Scene {
    async fn link(&self, door: usize) -> Link {
        Link::open(self.place.address(door))
            .await
            .expect("the node listens")
    }

    fn fault(&self, kind: FaultKind) {
        self.place.add_fault(Fault {
            kind,
            share: 1.0,
            until: f64::INFINITY,
        });
    }

    /// What was recorded so far, without its times.
    fn seen(&self) -> Vec<EventKind> {
        self.recorder
            .take_events()
            .into_iter()
            .map(|line| line.kind)
            .collect()
    }
}

fn request(id: &str, class: &str, key: Option<&str>) -> String {
    let key = key
        .map(|key| format!("Idempotency-Key: {key}\r\n"))
        .unwrap_or_default();
    format!("POST /{class}/v1?k=1&u=2.5&p=0 HTTP/1.1\r\nHost: x\r\nRequest-Id: {id}\r\n{key}Content-Length: 2\r\n\r\nab")
}

async fn ask(link: &mut Link, text: &str) -> Message {
    link.write(text.as_bytes()).await.expect("the node reads");
    link.message().await.expect("an answer")
}

fn came(entry: &EventKind) -> Option<(&str, u32, bool)> {
    match entry {
        EventKind::AttemptReceived {
            id,
            proxy: door,
            complete: whole,
            ..
        } => Some((id, *door, *whole)),
        _ => None,
    }
}

#[test]
fn a_node_serves_and_records_what_came_ran_and_ended() {
    let (status, body, seen) = play(async {
        let (scene, _) = scene(1.0, SPEC);
        let mut link = scene.link(1).await;
        let answer = ask(&mut link, &request("a", "charge", None)).await;
        (
            answer.status,
            String::from_utf8(answer.body).unwrap(),
            scene.seen(),
        )
    });
    assert_eq!((status, body.as_str()), (200, "a 1 3"));
    assert!(matches!(
        seen[0],
        EventKind::Node {
            node: 3,
            state: NodeState::Up { .. }
        }
    ));
    assert_eq!(came(&seen[1]), Some(("a", 1, true)));
    assert_eq!(
        seen[2..],
        [
            EventKind::EffectApplied { attempt: 1 },
            EventKind::AttemptEnded {
                attempt: 1,
                end: AttemptEnd::Served
            }
        ]
    );
}

#[test]
fn a_repeat_of_a_key_is_answered_and_does_not_run() {
    let seen = play(async {
        let (scene, _) = scene(1.0, SPEC);
        let mut link = scene.link(0).await;
        assert_eq!(
            ask(&mut link, &request("a", "extend", Some("k")))
                .await
                .status,
            200
        );
        assert_eq!(
            ask(&mut link, &request("b", "extend", Some("k")))
                .await
                .status,
            200
        );
        assert_eq!(
            ask(&mut link, &request("c", "extend", Some("l")))
                .await
                .status,
            200
        );
        scene.seen()
    });
    let ran = seen
        .iter()
        .filter(|entry| matches!(entry, EventKind::EffectApplied { .. }))
        .count();
    assert_eq!((ran, seen.iter().filter_map(came).count()), (2, 3));
}

/// Guards the judge against a stand-in that forgets: a key whose effect ran before its connection was reset is
/// remembered, and a repeat does not run.
#[test]
fn what_ran_before_a_reset_is_remembered() {
    let ran = play(async {
        let (scene, _) = scene(1.0, SPEC);
        let until = f64::INFINITY;
        scene.place.add_fault(Fault {
            kind: FaultKind::ResetAfter,
            share: 0.7,
            until,
        });
        for i in 0..40 {
            let mut link = scene.link(0).await;
            let _ = link
                .write(request(&format!("r{i}"), "extend", Some("k")).as_bytes())
                .await;
            let _ = link.message().await;
        }
        scene
            .seen()
            .iter()
            .filter(|entry| matches!(entry, EventKind::EffectApplied { .. }))
            .count()
    });
    assert_eq!(ran, 1);
}

#[test]
fn a_full_or_draining_node_turns_away_with_the_word_that_nothing_ran() {
    play(async {
        let (scene, node) = scene(600_000.0, SPEC);
        // One runs, one waits, the third finds no room.
        let mut links = [
            scene.link(0).await,
            scene.link(0).await,
            scene.link(0).await,
        ];
        links[0]
            .write(request("a", "read", None).as_bytes())
            .await
            .unwrap();
        links[1]
            .write(request("b", "read", None).as_bytes())
            .await
            .unwrap();
        while scene.recorder.len() < 3 {
            tokio::task::yield_now().await;
        }
        let answer = ask(&mut links[2], &request("c", "read", None)).await;
        assert_eq!(
            (answer.status, answer.header("not-started")),
            (503, Some("1"))
        );
        node.drain(false);
        let answer = ask(&mut links[2], &request("e", "read", None)).await;
        assert_eq!(answer.status, 503, "full as before");
        node.drain(true);
        let answer = ask(&mut links[2], &request("d", "read", None)).await;
        assert_eq!(
            (answer.status, answer.header("not-started")),
            (503, Some("1"))
        );
        // Its end resets what it had.
        node.stop();
        assert!(matches!(links[0].message().await, Err(NoMessage::Closed)));
    });
}

#[test]
fn work_goes_on_when_its_attempt_is_given_up() {
    play(async {
        let (scene, _) = scene(30.0, SPEC);
        let mut link = scene.link(0).await;
        link.write(request("a", "charge", None).as_bytes())
            .await
            .unwrap();
        while scene.recorder.len() < 2 {
            tokio::task::yield_now().await;
        }
        drop(link);
        while scene.recorder.len() < 4 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let seen = scene.seen();
        assert_eq!(
            seen[2..],
            [
                EventKind::AttemptEnded {
                    attempt: 1,
                    end: AttemptEnd::Cancelled
                },
                EventKind::EffectApplied { attempt: 1 }
            ]
        );
    });
}

#[test]
fn each_trouble_strikes_as_it_is_called() {
    let ends = |trouble| {
        play(async move {
            let (scene, _) = scene(1.0, SPEC);
            scene.fault(trouble);
            let mut link = scene.link(0).await;
            // A reset may come before the write is over.
            let _ = link.write(request("a", "charge", None).as_bytes()).await;
            let answer = link.message().await;
            let seen = scene.seen();
            let whole = seen
                .iter()
                .filter_map(came)
                .map(|(_, _, whole)| whole)
                .next();
            let end = seen.iter().find_map(|entry| match entry {
                EventKind::AttemptEnded { end, .. } => Some(*end),
                _ => None,
            });
            (answer.map(|answer| answer.status).ok(), whole, end)
        })
    };
    assert_eq!(
        ends(FaultKind::FastError),
        (Some(500), Some(true), Some(AttemptEnd::Error))
    );
    assert_eq!(
        ends(FaultKind::Late(5.0)),
        (Some(200), Some(true), Some(AttemptEnd::Served))
    );
    assert_eq!(
        ends(FaultKind::Malformed),
        (None, Some(true), Some(AttemptEnd::Malformed))
    );
    assert_eq!(
        ends(FaultKind::Endless),
        (None, Some(true), Some(AttemptEnd::Malformed))
    );
    assert_eq!(
        ends(FaultKind::ResetAfter),
        (None, Some(true), Some(AttemptEnd::Reset))
    );
    assert_eq!(ends(FaultKind::ResetBefore), (None, None, None));
    // What was read before the reset was whole here, and is told so.
    assert_eq!(
        ends(FaultKind::ResetWithin),
        (None, Some(true), Some(AttemptEnd::Reset))
    );
}

#[test]
fn half_a_request_is_recorded_as_that() {
    let seen = play(async {
        let (scene, _) = scene(1.0, SPEC);
        let mut link = scene.link(0).await;
        let text = request("a", "charge", None);
        link.write(&text.as_bytes()[..text.len() - 1])
            .await
            .unwrap();
        while scene.recorder.is_empty() {
            tokio::task::yield_now().await;
        }
        drop(link);
        while scene.recorder.len() < 2 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        scene.seen()
    });
    assert_eq!(came(&seen[1]), Some(("", 0, false)));
}

#[test]
fn a_place_refuses_dials_for_a_time_and_listens_again() {
    play(async {
        let (scene, _) = scene(1.0, SPEC);
        scene.place.add_fault(Fault {
            kind: FaultKind::Refuse,
            share: 1.0,
            until: scene.recorder.now() + 150.0,
        });
        let address = scene.place.address(0);
        let mut refused = false;
        // It refuses soon, and then takes connections again.
        loop {
            match Link::open(address).await {
                Err(_) => refused = true,
                Ok(_) if refused => break,
                Ok(_) => {}
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        let mut link = scene.link(0).await;
        assert_eq!(
            ask(&mut link, &request("a", "read", None)).await.status,
            200
        );
    });
}

#[test]
fn a_cold_node_falls_when_it_is_sent_too_much() {
    play(async {
        // Budget: 3 x 1 core x 0.1 x 1500 ms + 10 ms = 460 ms; each request is 100 ms of work.
        let cold = BackendSpec {
            initial_capacity: 0.1,
            warmup_ms: 600_000.0,
            queue: 0,
            ..SPEC
        };
        let (scene, node) = scene(100.0, cold);
        let mut fell = 0;
        for i in 0..10 {
            let mut link = scene.link(0).await;
            let text = request(&format!("r{i}"), "read", None);
            let _ = link.write(text.as_bytes()).await;
            let _ = tokio::time::timeout(Duration::from_millis(20), link.message()).await;
            let down = |entry: &EventKind| {
                matches!(
                    entry,
                    EventKind::Node {
                        state: NodeState::Overloaded,
                        ..
                    }
                )
            };
            if scene.seen().iter().any(down) {
                fell = i + 1;
                break;
            }
        }
        assert_eq!(fell, 5, "the fifth passes the budget");
        // It stays down, also when it is told to drain: whoever connects is reset.
        node.drain(true);
        let mut link = scene.link(0).await;
        let _ = link.write(request("late", "read", None).as_bytes()).await;
        assert!(link.message().await.is_err());
        drop(scene.world);
    });
}

// ---- The agent ----------------------------------------------------------------------------------------

fn member(node: u32, health: Health) -> Member {
    Member {
        host: host(node),
        dial: "127.0.0.1:9".parse().unwrap(),
        site: "z".into(),
        block: 0,
        health,
        share: 1.0,
        born_ms: 0.0,
    }
}

fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.set_nonblocking(true).expect("a listener");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// A watch that a front door has opened.
struct Watch(Link);

impl Watch {
    async fn open(agent: SocketAddr, from: u64) -> Watch {
        let mut link = Link::open(agent).await.expect("the agent listens");
        let text = format!("GET /catalog/members?watch=1&from={from} HTTP/1.1\r\nHost: x\r\n\r\n");
        link.write(text.as_bytes()).await.unwrap();
        Watch(link)
    }

    /// Reads until the text so far holds all of this; tells whether it came before the end.
    async fn reads(&mut self, wanted: &[&str]) -> bool {
        loop {
            let text = String::from_utf8_lossy(self.0.pending_bytes()).into_owned();
            if wanted.iter().all(|part| text.contains(part)) {
                return true;
            }
            if !matches!(self.0.more().await, Ok(true)) {
                return false;
            }
        }
    }
}

#[test]
fn an_agent_tells_the_list_and_its_changes_and_records_what_it_told() {
    play(async {
        let recorder = Recorder::new();
        let list = List::new([member(0, Health::Up), member(1, Health::Up)]);
        let agent = Agent::new(7, list, recorder.clone(), 0.0);
        let (here, address) = listener();
        agent.listen(here, Duration::ZERO);
        let mut link = Link::open(address).await.unwrap();
        let whole = ask(
            &mut link,
            "GET /catalog/members HTTP/1.1\r\nHost: x\r\n\r\n",
        )
        .await;
        let members: maplefall_protocol::Members = serde_json::from_slice(&whole.body).unwrap();
        assert_eq!(
            (members.seq, members.whole, members.hosts.len()),
            (1, true, 2)
        );
        let mut watch = Watch::open(address, 1).await;
        agent.update(&member(1, Health::Draining));
        assert!(watch.reads(&["\"seq\":2", "node-1", "draining"]).await);
        agent.update(&member(1, Health::Removed));
        assert!(watch.reads(&["\"seq\":3", "removed"]).await);
        // A watch from an earlier version is told all that changed since, once for each node.
        let mut late = Watch::open(address, 1).await;
        assert!(late.reads(&["\"seq\":3", "removed"]).await);
        assert!(!String::from_utf8_lossy(late.0.pending_bytes()).contains("draining"));
        let told = recorder
            .take_events()
            .into_iter()
            .filter(|line| matches!(line.kind, EventKind::NodeUpdate { proxy: 7, .. }));
        assert_eq!(told.count(), 2 + 1 + 1 + 1);
    });
}

#[test]
fn an_agent_can_be_silent_break_off_and_move() {
    play(async {
        let recorder = Recorder::new();
        let agent = Agent::new(0, List::new([member(0, Health::Up)]), recorder.clone(), 0.0);
        let ((first, old), (second, new)) = (listener(), listener());
        agent.listen(first, Duration::from_millis(20));
        let mut watch = Watch::open(old, 1).await;
        assert!(watch.reads(&["200 OK"]).await);
        agent.set_silent(true);
        agent.update(&member(0, Health::Draining));
        let heard =
            tokio::time::timeout(Duration::from_millis(60), watch.reads(&["draining"])).await;
        assert!(heard.is_err(), "it spoke");
        agent.set_silent(false);
        assert!(watch.reads(&["draining"]).await);
        agent.break_off();
        assert!(!watch.reads(&["nothing more"]).await, "the watch ends");
        let mut kept = Watch::open(old, 2).await;
        assert!(kept.reads(&["200 OK"]).await);
        agent.listen(second, Duration::from_millis(20));
        assert!(
            !kept.reads(&["nothing more"]).await,
            "the old address lets go"
        );
        assert!(Link::open(old).await.is_err(), "and takes nobody new");
        let mut moved = Watch::open(new, 1).await;
        assert!(moved.reads(&["draining"]).await);
    });
}

/// Guards what an agent that is behind gives: a whole list that is older, as the protocol allows for a version that it does
/// not know, then what it comes to know; what it has told on an open watch it does not take back.
#[test]
fn an_agent_that_is_behind_gives_an_older_list_and_catches_up() {
    play(async {
        let recorder = Recorder::new();
        let list = List::new([member(0, Health::Up), member(1, Health::Up)]);
        let agent = Agent::new(0, list, recorder.clone(), 0.0);
        let (here, address) = listener();
        agent.listen(here, Duration::ZERO);
        let mut open = Watch::open(address, 1).await;
        agent.update(&member(1, Health::Draining));
        assert!(open.reads(&["\"seq\":2", "draining"]).await);
        agent.set_lapse(Some(Lapse::Behind(Duration::from_secs(3600))));
        let mut late = Watch::open(address, 2).await;
        assert!(
            late.reads(&["\"seq\":1", "\"whole\":true", "node-0", "node-1"])
                .await
        );
        assert!(!String::from_utf8_lossy(late.0.pending_bytes()).contains("draining"));
        agent.update(&member(0, Health::Removed));
        agent.set_lapse(Some(Lapse::Behind(Duration::ZERO)));
        assert!(
            late.reads(&["\"seq\":3", "\"whole\":false", "draining", "removed"])
                .await
        );
        assert!(open.reads(&["\"seq\":3", "removed"]).await);
        // What there is to tell stands in the record when it is there, not when it is told.
        let due = |line: &maplefall_event_trace::Event| {
            matches!(
                line.kind,
                EventKind::NodeUpdateDue {
                    proxy: 0,
                    version: 2..,
                    ..
                }
            )
        };
        assert_eq!(
            recorder
                .take_events()
                .iter()
                .filter(|line| due(line))
                .count(),
            2
        );
    });
}

#[test]
fn an_agent_breaks_lists_off_spoils_entries_and_vanishes() {
    play(async {
        let agent = Agent::new(0, List::new([member(0, Health::Up)]), Recorder::new(), 0.0);
        let (here, address) = listener();
        agent.listen(here, Duration::ZERO);
        agent.update(&member(0, Health::Draining));
        agent.set_lapse(Some(Lapse::Half));
        let mut half = Watch::open(address, 1).await;
        assert!(
            !half.reads(&["}]}"]).await,
            "it ends in the middle of a line"
        );
        let mut link = Link::open(address).await.unwrap();
        link.write(b"GET /catalog/members HTTP/1.1\r\nHost: x\r\n\r\n")
            .await
            .unwrap();
        assert!(link.message().await.is_err(), "so does the whole list");
        agent.set_lapse(Some(Lapse::Spoilt));
        let mut spoilt = Watch::open(address, 1).await;
        assert!(
            spoilt
                .reads(&["nobody", "\"dial\":\"nowhere\"", "draining"])
                .await
        );
        agent.set_lapse(None);
        let mut watch = Watch::open(address, 2).await;
        assert!(watch.reads(&["200 OK"]).await);
        agent.vanish();
        agent.update(&member(0, Health::Removed));
        let mut fresh = Watch::open(address, 2).await;
        assert!(fresh.reads(&["removed"]).await);
        // The other one would have been told by now, and has not ended either.
        let heard =
            tokio::time::timeout(Duration::from_millis(60), watch.reads(&["removed"])).await;
        assert!(heard.is_err(), "it spoke or ended");
    });
}

/// Guards the counter's protocol on its sockets: totals in the order of the calls, also of calls written one behind
/// another, and a fresh one in its place begins at nought.
#[test]
fn a_counter_counts_over_its_sockets() {
    play(async {
        let (here, address) = listener();
        let counter = Counter::new(Duration::ZERO);
        tokio::task::spawn_local(counter.clone().serve(here));
        let mut link = Link::open(address).await.unwrap();
        let call = |add: &str| {
            format!("POST /v1/count/a?add={add}&ttl_ms=4000 HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
        };
        link.write((call("2") + &call("-0.5") + &call("x")).as_bytes())
            .await
            .unwrap();
        let mut answers = Vec::new();
        for _ in 0..3 {
            let answer = link.message().await.unwrap();
            answers.push((answer.status, String::from_utf8(answer.body).unwrap()));
        }
        assert_eq!(
            answers,
            [(200, "2".into()), (200, "1.5".into()), (400, String::new())]
        );
        counter.replace();
        let answer = ask(&mut link, &call("1")).await;
        assert_eq!(answer.body, b"1");
        // It holds 32 connections of one front door and resets the next.
        let mut held = Vec::new();
        for _ in 1..32 {
            let mut link = Link::open(address).await.unwrap();
            assert_eq!(ask(&mut link, &call("0")).await.status, 200);
            held.push(link);
        }
        let mut further = Link::open(address).await.unwrap();
        let _ = further.write(call("0").as_bytes()).await;
        assert!(further.message().await.is_err());
    });
}

// ---- Clients ------------------------------------------------------------------------------------------

const HABITS: ClientBehavior = ClientBehavior {
    retries: 2,
    backoff: Backoff::AtOnce,
    honour: 0.0,
    max_wait_ms: 2000.0,
    patience: [1.0, 1.0],
    notice_ms: 1000.0,
    stop_ms: 300.0,
    busiest_ms: 8000.0,
    answer_slack_ms: 58.0,
};

/// What a client does whose front door answers so, one answer for each request; what was recorded.
fn client(effect: Effect, give_up_ms: Millis, answers: &'static [&'static str]) -> Vec<EventKind> {
    play(async move {
        let (here, address) = listener();
        let recorder = Recorder::new();
        let here = tokio::net::TcpListener::from_std(here).unwrap();
        let door = tokio::task::spawn_local(async move {
            let mut open: Option<Link> = None;
            for answer in answers {
                let mut link = match open.take() {
                    Some(link) => link,
                    None => Link::over(here.accept().await.unwrap().0),
                };
                link.message().await.expect("a request");
                link.write(answer.as_bytes()).await.unwrap();
                if answer.contains("Content-Length") {
                    open = Some(link);
                }
            }
            open
        });
        let board = GatewayStates::new(1);
        board.set(
            0,
            GatewayState {
                ready: true,
                left: None,
            },
        );
        let kind = RequestClass {
            name: "read".into(),
            effect,
            memory_ms: 2000.0,
            give_up_ms,
        };
        let crowd = ClientOptions {
            seed: 5,
            kinds: vec![kind],
            plans: vec!["plan".into()],
            behavior: HABITS,
            gateways: vec![address],
            states: board,
            credentials: true,
        };
        let clients = Clients::new(crowd, recorder.clone(), Lateness::default());
        let ask = Ask {
            at: 0.0,
            item: 1,
            customer: 9,
            plan: 0,
            class: 0,
            units: 1.0,
            spread: 1,
            first: 0,
        };
        clients.run([ask]).await;
        door.abort();
        recorder
            .take_events()
            .into_iter()
            .map(|line| line.kind)
            .collect()
    })
}

const SERVED: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const REFUSED: &str = "HTTP/1.1 429 X\r\nContent-Length: 0\r\n\r\n";
const FAILED: &str = "HTTP/1.1 502 X\r\nContent-Length: 0\r\n\r\n";

fn asked(seen: &[EventKind]) -> usize {
    seen.iter()
        .filter(|entry| matches!(entry, EventKind::RequestSent { .. }))
        .count()
}

#[test]
fn clients_try_again_as_the_class_allows_and_twice_at_most() {
    assert_eq!(
        asked(&client(Effect::Safe, 20_000.0, &[FAILED, REFUSED, SERVED])),
        3
    );
    assert_eq!(
        asked(&client(
            Effect::Safe,
            20_000.0,
            &[REFUSED, REFUSED, REFUSED]
        )),
        3
    );
    assert_eq!(
        asked(&client(Effect::Keyed, 20_000.0, &[FAILED, SERVED])),
        2
    );
    assert_eq!(
        asked(&client(Effect::Unsafe, 20_000.0, &[REFUSED, SERVED])),
        2
    );
    assert_eq!(asked(&client(Effect::Unsafe, 20_000.0, &[FAILED])), 1);
}

#[test]
fn clients_tell_a_cut_answer_a_silent_door_and_bytes_that_nobody_asked_for() {
    let lost = |seen: &[EventKind]| {
        seen.iter().find_map(|entry| match entry {
            EventKind::RequestFailed { reason: why, .. } => Some(*why),
            _ => None,
        })
    };
    let cut = client(Effect::Unsafe, 20_000.0, &["HTTP/1.1 200 OK\r\nContent-"]);
    assert_eq!(lost(&cut), Some(FailureReason::Truncated));
    let silent = client(
        Effect::Unsafe,
        200.0,
        &["HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nha"],
    );
    assert_eq!(lost(&silent), Some(FailureReason::TimedOut));
    let twice: &[&str] = &["HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n"];
    let seen = client(Effect::Safe, 20_000.0, twice);
    assert!(
        seen.iter()
            .any(|entry| matches!(entry, EventKind::UnexpectedBytes { .. })),
        "{seen:?}"
    );
}

// ---- Bad clients --------------------------------------------------------------------------------------

/// Guards the count of bad clients that are left with nothing: an error or a close is what each is owed, silence is
/// neglect, and being served is told as what it is.
#[test]
fn a_bad_client_tells_what_it_was_left_with() {
    let left_with = |answer: Option<&'static str>| {
        play(async move {
            let (here, address) = listener();
            let here = tokio::net::TcpListener::from_std(here).unwrap();
            let door = tokio::task::spawn_local(async move {
                let mut link = Link::over(here.accept().await.unwrap().0);
                if let Some(answer) = answer {
                    let _ = link.write(answer.as_bytes()).await;
                } else {
                    std::future::pending::<()>().await;
                }
            });
            let recorder = Recorder::new();
            malformed_client::run(
                &recorder,
                address,
                malformed_client::Kind::Units,
                1,
                "read",
                "plan",
            )
            .await;
            door.abort();
            match &recorder.take_events()[..] {
                [Event {
                    kind:
                        EventKind::MalformedClient {
                            kind,
                            status,
                            neglected,
                        },
                    ..
                }] => {
                    assert_eq!(kind, "Units");
                    (*status, *neglected)
                }
                other => panic!("{other:?}"),
            }
        })
    };
    assert_eq!(
        left_with(Some("HTTP/1.1 400 X\r\nContent-Length: 0\r\n\r\n")),
        (Some(400), false)
    );
    assert_eq!(left_with(Some("")), (None, false));
    assert_eq!(left_with(Some(SERVED)), (Some(200), false));
    assert_eq!(left_with(None), (None, true));
}

/// Guards the kinds of bad requests against being good ones: each but the silent and the cut is a whole text that differs
/// from what a usual client sends by what its name tells.
#[test]
fn bad_requests_are_what_they_are_called() {
    let text = |kind: malformed_client::Kind| {
        String::from_utf8_lossy(&kind.text("id-1", "read", "plan")).into_owned()
    };
    assert!(text(malformed_client::Kind::NegativeLength).contains("Content-Length: -5"));
    let two = text(malformed_client::Kind::TwoFramings);
    assert!(two.contains("Content-Length: 4") && two.contains("Transfer-Encoding: chunked"));
    assert!(!text(malformed_client::Kind::NoId).contains("Request-Id"));
    assert!(
        !text(malformed_client::Kind::EndlessHead).contains("\r\n\r\n")
            && text(malformed_client::Kind::EndlessHead).len() > 64 * 1024
    );
    assert!(
        text(malformed_client::Kind::Half).len() < 100
            && text(malformed_client::Kind::Silent).is_empty()
    );
    let texts: Vec<String> = malformed_client::ALL.into_iter().map(text).collect();
    for (i, one) in texts.iter().enumerate() {
        assert!(
            !texts[..i].contains(one),
            "{:?} is another's",
            malformed_client::ALL[i]
        );
    }
}
