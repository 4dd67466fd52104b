//! Tests of the fakes over loopback sockets: each behaves as the scripts and reports rely on. Tests
//! wait for events instead of fixed times where possible; a test fails after `TEST_TIMEOUT`.

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

const TEST_TIMEOUT: Duration = Duration::from_secs(30);

fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build()
        .expect("a runtime");
    let test = async {
        tokio::time::timeout(TEST_TIMEOUT, test)
            .await
            .expect("the test ends in time")
    };
    tokio::task::LocalSet::new().block_on(&runtime, test)
}

struct Fixture {
    recorder: Recorder,
    shared: Rc<SharedState>,
    slot: Rc<BackendSlot>,
}

const SPEC: BackendSpec = BackendSpec {
    number: 3,
    cores: 1,
    queue: 1,
    initial_capacity: 1.0,
    warmup_ms: 0.0,
    connections: 50,
};

fn fixture(work_ms: Millis, spec: BackendSpec) -> (Fixture, Rc<Backend>) {
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
    let shared = SharedState::new(deployment, recorder.clone(), Lateness::default());
    let slot = BackendSlot::over(Listeners::open(2).expect("ports"));
    let backend = Backend::start(&shared, spec);
    slot.set_backend(Some(backend.clone()));
    (
        Fixture {
            recorder,
            shared,
            slot,
        },
        backend,
    )
}

impl Fixture {
    async fn link(&self, gateway: usize) -> Link {
        Link::open(self.slot.address(gateway))
            .await
            .expect("the backend listens")
    }

    fn fault(&self, kind: FaultKind) {
        self.slot.add_fault(Fault {
            kind,
            share: 1.0,
            until: f64::INFINITY,
        });
    }

    /// Returns the events recorded since the last call, without their times.
    fn events(&self) -> Vec<EventKind> {
        self.recorder
            .take_events()
            .into_iter()
            .map(|event| event.kind)
            .collect()
    }
}

fn request(id: &str, class: &str, key: Option<&str>) -> String {
    let key = key
        .map(|key| format!("Idempotency-Key: {key}\r\n"))
        .unwrap_or_default();
    format!("POST /{class}/v1?k=1&u=2.5&p=0 HTTP/1.1\r\nHost: x\r\nRequest-Id: {id}\r\n{key}Content-Length: 2\r\n\r\nab")
}

async fn send(link: &mut Link, text: &str) -> Message {
    link.write(text.as_bytes())
        .await
        .expect("the backend reads");
    link.message().await.expect("a response")
}

fn received(event: &EventKind) -> Option<(&str, u32, bool)> {
    match event {
        EventKind::AttemptReceived {
            id,
            proxy,
            complete,
            ..
        } => Some((id, *proxy, *complete)),
        _ => None,
    }
}

#[test]
fn a_backend_serves_and_records_receipt_effect_and_end() {
    let (status, body, events) = run(async {
        let (fixture, _) = fixture(1.0, SPEC);
        let mut link = fixture.link(1).await;
        let response = send(&mut link, &request("a", "charge", None)).await;
        (
            response.status,
            String::from_utf8(response.body).unwrap(),
            fixture.events(),
        )
    });
    assert_eq!((status, body.as_str()), (200, "a 1 3"));
    assert!(matches!(
        events[0],
        EventKind::Node {
            node: 3,
            state: NodeState::Up { .. }
        }
    ));
    assert_eq!(received(&events[1]), Some(("a", 1, true)));
    assert_eq!(
        events[2..],
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
fn a_repeated_idempotency_key_gets_a_response_but_does_not_run() {
    let events = run(async {
        let (fixture, _) = fixture(1.0, SPEC);
        let mut link = fixture.link(0).await;
        assert_eq!(
            send(&mut link, &request("a", "extend", Some("k")))
                .await
                .status,
            200
        );
        assert_eq!(
            send(&mut link, &request("b", "extend", Some("k")))
                .await
                .status,
            200
        );
        assert_eq!(
            send(&mut link, &request("c", "extend", Some("l")))
                .await
                .status,
            200
        );
        fixture.events()
    });
    let ran = events
        .iter()
        .filter(|event| matches!(event, EventKind::EffectApplied { .. }))
        .count();
    assert_eq!((ran, events.iter().filter_map(received).count()), (2, 3));
}

/// A key whose effect ran before its connection was reset must be remembered, so that a repeat does
/// not run; otherwise the fake itself would violate the invariants that are checked with it.
#[test]
fn a_key_whose_effect_ran_before_a_reset_is_remembered() {
    let ran = run(async {
        let (fixture, _) = fixture(1.0, SPEC);
        let until = f64::INFINITY;
        fixture.slot.add_fault(Fault {
            kind: FaultKind::ResetAfter,
            share: 0.7,
            until,
        });
        for i in 0..40 {
            let mut link = fixture.link(0).await;
            let _ = link
                .write(request(&format!("r{i}"), "extend", Some("k")).as_bytes())
                .await;
            let _ = link.message().await;
        }
        fixture
            .events()
            .iter()
            .filter(|event| matches!(event, EventKind::EffectApplied { .. }))
            .count()
    });
    assert_eq!(ran, 1);
}

#[test]
fn a_full_or_draining_backend_rejects_and_marks_the_request_as_not_started() {
    run(async {
        let (fixture, backend) = fixture(600_000.0, SPEC);
        // One request runs, one is queued, and the third is rejected.
        let mut links = [
            fixture.link(0).await,
            fixture.link(0).await,
            fixture.link(0).await,
        ];
        links[0]
            .write(request("a", "read", None).as_bytes())
            .await
            .unwrap();
        links[1]
            .write(request("b", "read", None).as_bytes())
            .await
            .unwrap();
        while fixture.recorder.len() < 3 {
            tokio::task::yield_now().await;
        }
        let response = send(&mut links[2], &request("c", "read", None)).await;
        assert_eq!(
            (response.status, response.header("not-started")),
            (503, Some("1"))
        );
        backend.drain(false);
        let response = send(&mut links[2], &request("e", "read", None)).await;
        assert_eq!(response.status, 503, "still full");
        backend.drain(true);
        let response = send(&mut links[2], &request("d", "read", None)).await;
        assert_eq!(
            (response.status, response.header("not-started")),
            (503, Some("1"))
        );
        // Stopping the backend resets its connections.
        backend.stop();
        assert!(matches!(links[0].message().await, Err(NoMessage::Closed)));
    });
}

#[test]
fn a_cancelled_attempt_still_runs_to_its_end() {
    run(async {
        let (fixture, _) = fixture(30.0, SPEC);
        let mut link = fixture.link(0).await;
        link.write(request("a", "charge", None).as_bytes())
            .await
            .unwrap();
        while fixture.recorder.len() < 2 {
            tokio::task::yield_now().await;
        }
        drop(link);
        while fixture.recorder.len() < 4 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let events = fixture.events();
        assert_eq!(
            events[2..],
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
fn each_fault_acts_as_documented() {
    let outcome = |kind| {
        run(async move {
            let (fixture, _) = fixture(1.0, SPEC);
            fixture.fault(kind);
            let mut link = fixture.link(0).await;
            // The connection may be reset before the write completes.
            let _ = link.write(request("a", "charge", None).as_bytes()).await;
            let response = link.message().await;
            let events = fixture.events();
            let complete = events
                .iter()
                .filter_map(received)
                .map(|(_, _, complete)| complete)
                .next();
            let end = events.iter().find_map(|event| match event {
                EventKind::AttemptEnded { end, .. } => Some(*end),
                _ => None,
            });
            (response.map(|response| response.status).ok(), complete, end)
        })
    };
    assert_eq!(
        outcome(FaultKind::FastError),
        (Some(500), Some(true), Some(AttemptEnd::Error))
    );
    assert_eq!(
        outcome(FaultKind::Late(5.0)),
        (Some(200), Some(true), Some(AttemptEnd::Served))
    );
    assert_eq!(
        outcome(FaultKind::Malformed),
        (None, Some(true), Some(AttemptEnd::Malformed))
    );
    assert_eq!(
        outcome(FaultKind::Endless),
        (None, Some(true), Some(AttemptEnd::Malformed))
    );
    assert_eq!(
        outcome(FaultKind::ResetAfter),
        (None, Some(true), Some(AttemptEnd::Reset))
    );
    assert_eq!(outcome(FaultKind::ResetBefore), (None, None, None));
    // The bytes read before the reset are a complete request here and are recorded as such.
    assert_eq!(
        outcome(FaultKind::ResetWithin),
        (None, Some(true), Some(AttemptEnd::Reset))
    );
}

#[test]
fn a_truncated_request_is_recorded_as_incomplete() {
    let events = run(async {
        let (fixture, _) = fixture(1.0, SPEC);
        let mut link = fixture.link(0).await;
        let text = request("a", "charge", None);
        link.write(&text.as_bytes()[..text.len() - 1])
            .await
            .unwrap();
        while fixture.recorder.is_empty() {
            tokio::task::yield_now().await;
        }
        drop(link);
        while fixture.recorder.len() < 2 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        fixture.events()
    });
    assert_eq!(received(&events[1]), Some(("", 0, false)));
}

#[test]
fn a_slot_refuses_connections_for_a_time_and_listens_again() {
    run(async {
        let (fixture, _) = fixture(1.0, SPEC);
        fixture.slot.add_fault(Fault {
            kind: FaultKind::Refuse,
            share: 1.0,
            until: fixture.recorder.now() + 150.0,
        });
        let address = fixture.slot.address(0);
        let mut refused = false;
        // The slot refuses connections soon, and accepts them again later.
        loop {
            match Link::open(address).await {
                Err(_) => refused = true,
                Ok(_) if refused => break,
                Ok(_) => {}
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        let mut link = fixture.link(0).await;
        assert_eq!(
            send(&mut link, &request("a", "read", None)).await.status,
            200
        );
    });
}

#[test]
fn a_backend_fails_when_overloaded_during_warmup() {
    run(async {
        // Budget: 3 x 1 core x 0.1 x 1500 ms + 10 ms = 460 ms; each request is 100 ms of work.
        let warming_up = BackendSpec {
            initial_capacity: 0.1,
            warmup_ms: 600_000.0,
            queue: 0,
            ..SPEC
        };
        let (fixture, backend) = fixture(100.0, warming_up);
        let mut failed_at = 0;
        for i in 0..10 {
            let mut link = fixture.link(0).await;
            let text = request(&format!("r{i}"), "read", None);
            let _ = link.write(text.as_bytes()).await;
            let _ = tokio::time::timeout(Duration::from_millis(20), link.message()).await;
            let overloaded = |event: &EventKind| {
                matches!(
                    event,
                    EventKind::Node {
                        state: NodeState::Overloaded,
                        ..
                    }
                )
            };
            if fixture.events().iter().any(overloaded) {
                failed_at = i + 1;
                break;
            }
        }
        assert_eq!(failed_at, 5, "the fifth request exceeds the budget");
        // The backend stays down, also when it is told to drain, and connections are reset.
        backend.drain(true);
        let mut link = fixture.link(0).await;
        let _ = link.write(request("late", "read", None).as_bytes()).await;
        assert!(link.message().await.is_err());
        drop(fixture.shared);
    });
}

// ---- The agent ---------------------------------------------------------------------------------

fn member(backend: u32, health: Health) -> Member {
    Member {
        host: host(backend),
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

/// A watch that a gateway has opened.
struct Watch(Link);

impl Watch {
    async fn open(agent: SocketAddr, from: u64) -> Watch {
        let mut link = Link::open(agent).await.expect("the agent listens");
        let text = format!("GET /catalog/members?watch=1&from={from} HTTP/1.1\r\nHost: x\r\n\r\n");
        link.write(text.as_bytes()).await.unwrap();
        Watch(link)
    }

    /// Reads until the text contains all of `wanted`; returns `false` if the watch ends before.
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
fn an_agent_sends_the_list_and_its_changes_and_records_them() {
    run(async {
        let recorder = Recorder::new();
        let list = List::new([member(0, Health::Up), member(1, Health::Up)]);
        let agent = Agent::new(7, list, recorder.clone(), 0.0);
        let (here, address) = listener();
        agent.listen(here, Duration::ZERO);
        let mut link = Link::open(address).await.unwrap();
        let response = send(
            &mut link,
            "GET /catalog/members HTTP/1.1\r\nHost: x\r\n\r\n",
        )
        .await;
        let members: maplefall_protocol::Members = serde_json::from_slice(&response.body).unwrap();
        assert_eq!(
            (members.seq, members.whole, members.hosts.len()),
            (1, true, 2)
        );
        let mut watch = Watch::open(address, 1).await;
        agent.update(&member(1, Health::Draining));
        assert!(watch.reads(&["\"seq\":2", "node-1", "draining"]).await);
        agent.update(&member(1, Health::Removed));
        assert!(watch.reads(&["\"seq\":3", "removed"]).await);
        // A watch from an earlier version receives all later changes, one entry per backend.
        let mut late = Watch::open(address, 1).await;
        assert!(late.reads(&["\"seq\":3", "removed"]).await);
        assert!(!String::from_utf8_lossy(late.0.pending_bytes()).contains("draining"));
        let updates = recorder
            .take_events()
            .into_iter()
            .filter(|event| matches!(event.kind, EventKind::NodeUpdate { proxy: 7, .. }));
        assert_eq!(updates.count(), 2 + 1 + 1 + 1);
    });
}

#[test]
fn an_agent_can_be_silent_reset_its_watches_and_move() {
    run(async {
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
        assert!(heard.is_err(), "the silent agent sent something");
        agent.set_silent(false);
        assert!(watch.reads(&["draining"]).await);
        agent.break_off();
        assert!(!watch.reads(&["nothing more"]).await, "the watch ends");
        let mut kept = Watch::open(old, 2).await;
        assert!(kept.reads(&["200 OK"]).await);
        agent.listen(second, Duration::from_millis(20));
        assert!(
            !kept.reads(&["nothing more"]).await,
            "the agent closes connections at the old address"
        );
        assert!(
            Link::open(old).await.is_err(),
            "the old address accepts no connections"
        );
        let mut moved = Watch::open(new, 1).await;
        assert!(moved.reads(&["draining"]).await);
    });
}

/// A lagging agent must send an older full list, as the protocol allows for a version that it does
/// not know, and the changes as they become visible to it. On an open watch it must never go back.
#[test]
fn a_lagging_agent_sends_an_older_list_and_catches_up() {
    run(async {
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
        // A due update is recorded when it occurs, not when it is sent.
        let due = |event: &maplefall_event_trace::Event| {
            matches!(
                event.kind,
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
                .filter(|event| due(event))
                .count(),
            2
        );
    });
}

#[test]
fn an_agent_truncates_lists_sends_invalid_entries_and_abandons_connections() {
    run(async {
        let agent = Agent::new(0, List::new([member(0, Health::Up)]), Recorder::new(), 0.0);
        let (here, address) = listener();
        agent.listen(here, Duration::ZERO);
        agent.update(&member(0, Health::Draining));
        agent.set_lapse(Some(Lapse::Half));
        let mut half = Watch::open(address, 1).await;
        assert!(
            !half.reads(&["}]}"]).await,
            "the watch ends in the middle of a line"
        );
        let mut link = Link::open(address).await.unwrap();
        link.write(b"GET /catalog/members HTTP/1.1\r\nHost: x\r\n\r\n")
            .await
            .unwrap();
        assert!(
            link.message().await.is_err(),
            "the full list is truncated too"
        );
        agent.set_lapse(Some(Lapse::Spoilt));
        let mut invalid = Watch::open(address, 1).await;
        assert!(
            invalid
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
        // The abandoned watch would have received the change by now; it must not have ended either.
        let heard =
            tokio::time::timeout(Duration::from_millis(60), watch.reads(&["removed"])).await;
        assert!(
            heard.is_err(),
            "the abandoned watch received something or ended"
        );
    });
}

/// Totals must come in the order of the calls, also of pipelined ones, and a replaced counter must
/// start at zero.
#[test]
fn a_counter_returns_totals_and_limits_connections() {
    run(async {
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
        let mut responses = Vec::new();
        for _ in 0..3 {
            let response = link.message().await.unwrap();
            responses.push((response.status, String::from_utf8(response.body).unwrap()));
        }
        assert_eq!(
            responses,
            [(200, "2".into()), (200, "1.5".into()), (400, String::new())]
        );
        counter.replace();
        let response = send(&mut link, &call("1")).await;
        assert_eq!(response.body, b"1");
        // The counter accepts 32 open connections and resets the next one.
        let mut open = Vec::new();
        for _ in 1..32 {
            let mut link = Link::open(address).await.unwrap();
            assert_eq!(send(&mut link, &call("0")).await.status, 200);
            open.push(link);
        }
        let mut further = Link::open(address).await.unwrap();
        let _ = further.write(call("0").as_bytes()).await;
        assert!(further.message().await.is_err());
    });
}

// ---- Clients -----------------------------------------------------------------------------------

const BEHAVIOR: ClientBehavior = ClientBehavior {
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

/// Runs a client against a gateway that sends these responses, one per request; returns the
/// recorded events.
fn run_client(
    effect: Effect,
    give_up_ms: Millis,
    responses: &'static [&'static str],
) -> Vec<EventKind> {
    run(async move {
        let (here, address) = listener();
        let recorder = Recorder::new();
        let here = tokio::net::TcpListener::from_std(here).unwrap();
        let gateway = tokio::task::spawn_local(async move {
            let mut open: Option<Link> = None;
            for response in responses {
                let mut link = match open.take() {
                    Some(link) => link,
                    None => Link::over(here.accept().await.unwrap().0),
                };
                link.message().await.expect("a request");
                link.write(response.as_bytes()).await.unwrap();
                if response.contains("Content-Length") {
                    open = Some(link);
                }
            }
            open
        });
        let states = GatewayStates::new(1);
        states.set(
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
        let options = ClientOptions {
            seed: 5,
            kinds: vec![kind],
            plans: vec!["plan".into()],
            behavior: BEHAVIOR,
            gateways: vec![address],
            states,
            credentials: true,
        };
        let clients = Clients::new(options, recorder.clone(), Lateness::default());
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
        gateway.abort();
        recorder
            .take_events()
            .into_iter()
            .map(|event| event.kind)
            .collect()
    })
}

const SERVED: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const REFUSED: &str = "HTTP/1.1 429 X\r\nContent-Length: 0\r\n\r\n";
const FAILED: &str = "HTTP/1.1 502 X\r\nContent-Length: 0\r\n\r\n";

fn sent_requests(events: &[EventKind]) -> usize {
    events
        .iter()
        .filter(|event| matches!(event, EventKind::RequestSent { .. }))
        .count()
}

#[test]
fn clients_retry_as_the_class_allows_and_twice_at_most() {
    assert_eq!(
        sent_requests(&run_client(
            Effect::Safe,
            20_000.0,
            &[FAILED, REFUSED, SERVED]
        )),
        3
    );
    assert_eq!(
        sent_requests(&run_client(
            Effect::Safe,
            20_000.0,
            &[REFUSED, REFUSED, REFUSED]
        )),
        3
    );
    assert_eq!(
        sent_requests(&run_client(Effect::Keyed, 20_000.0, &[FAILED, SERVED])),
        2
    );
    assert_eq!(
        sent_requests(&run_client(Effect::Unsafe, 20_000.0, &[REFUSED, SERVED])),
        2
    );
    assert_eq!(
        sent_requests(&run_client(Effect::Unsafe, 20_000.0, &[FAILED])),
        1
    );
}

#[test]
fn clients_record_truncated_responses_timeouts_and_unexpected_bytes() {
    let failure = |events: &[EventKind]| {
        events.iter().find_map(|event| match event {
            EventKind::RequestFailed { reason, .. } => Some(*reason),
            _ => None,
        })
    };
    let truncated = run_client(Effect::Unsafe, 20_000.0, &["HTTP/1.1 200 OK\r\nContent-"]);
    assert_eq!(failure(&truncated), Some(FailureReason::Truncated));
    let timed_out = run_client(
        Effect::Unsafe,
        200.0,
        &["HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nha"],
    );
    assert_eq!(failure(&timed_out), Some(FailureReason::TimedOut));
    let twice: &[&str] = &["HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n"];
    let events = run_client(Effect::Safe, 20_000.0, twice);
    assert!(
        events
            .iter()
            .any(|event| matches!(event, EventKind::UnexpectedBytes { .. })),
        "{events:?}"
    );
}

// ---- Malformed clients -------------------------------------------------------------------------

/// A malformed client must receive an error or a close. A missing reaction must be recorded as
/// neglected, and a served request with its status.
#[test]
fn a_malformed_client_records_the_reaction() {
    let reaction = |response: Option<&'static str>| {
        run(async move {
            let (here, address) = listener();
            let here = tokio::net::TcpListener::from_std(here).unwrap();
            let gateway = tokio::task::spawn_local(async move {
                let mut link = Link::over(here.accept().await.unwrap().0);
                if let Some(response) = response {
                    let _ = link.write(response.as_bytes()).await;
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
            gateway.abort();
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
        reaction(Some("HTTP/1.1 400 X\r\nContent-Length: 0\r\n\r\n")),
        (Some(400), false)
    );
    assert_eq!(reaction(Some("")), (None, false));
    assert_eq!(reaction(Some(SERVED)), (Some(200), false));
    assert_eq!(reaction(None), (None, true));
}

/// Each kind of malformed request must have the fault in its name, and no two may be the same.
#[test]
fn malformed_requests_have_the_fault_in_their_name() {
    let text = |kind: malformed_client::Kind| {
        String::from_utf8_lossy(&kind.request("id-1", "read", "plan")).into_owned()
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
            "{:?} equals an earlier kind",
            malformed_client::ALL[i]
        );
    }
}
