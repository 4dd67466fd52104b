//! A door's planned stop, over sockets; and how long its connections may rest.

mod common;

use common::{answer, request, Front, Message, Odd, CONFIGURATION};
use maplefall_control_messages::{ConfigUpdate, Frame, InstanceUpdates};
use maplefall_gateway_config::{parse_amend, Limits};
use maplefall_node_settings::Settings;
use maplefall_proxy::downstream::connection_state::{CloseDeadline, CloseMode, ConnectionState};
use maplefall_proxy::{Core, IncomingRequest, Output};
use maplefall_service_registry::{InstanceRecord, InstanceState};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::Instant;

/// Longest time that anything may take here; only a fault uses it up.
const PATIENCE: Duration = Duration::from_secs(30);

/// A backend that answers those with `held` in their path once it is told to, and all others at once.
#[derive(Default)]
struct Backend {
    came: Cell<usize>,
    held: Notify,
    go: Notify,
}

async fn listen(backend: Rc<Backend>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let backend = backend.clone();
            tokio::task::spawn_local(async move {
                let (mut inbox, mut part) = (Vec::new(), [0_u8; 4096]);
                while let Ok(count @ 1..) = stream.read(&mut part).await {
                    inbox.extend_from_slice(&part[..count]);
                    let Ok((asked, end)) = request(&inbox, 0) else {
                        continue;
                    };
                    inbox.drain(..end);
                    backend.came.set(backend.came.get() + 1);
                    if asked.start.contains("held") {
                        backend.held.notify_one();
                        backend.go.notified().await;
                    }
                    let id = asked.single("x-attempt-id").unwrap_or_default();
                    let text = format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: s\r\nContent-Length: 2\r\n\r\nok");
                    let _ = stream.write_all(text.as_bytes()).await;
                }
            });
        }
    });
    address
}

async fn ask(stream: &mut TcpStream, path: &str) -> std::io::Result<Message> {
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a{path}\r\nContent-Length: 0\r\n\r\n"
    );
    stream.write_all(text.as_bytes()).await?;
    let (mut inbox, mut part) = (Vec::new(), [0_u8; 4096]);
    loop {
        match answer(&inbox, 0, "POST") {
            Ok((message, _)) => return Ok(message),
            Err(Odd::Bad(why)) => panic!("no answer: {why}"),
            Err(Odd::Short) => {}
        }
        match stream.read(&mut part).await? {
            0 => return Err(ErrorKind::UnexpectedEof.into()),
            count => inbox.extend_from_slice(&part[..count]),
        }
    }
}

fn on_one_thread(play: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let local = tokio::task::LocalSet::new();
    let played = local.run_until(async { tokio::time::timeout(PATIENCE, play).await });
    runtime.block_on(played).expect("it took too long");
}

/// Guards what comes in a door's last moments. Seen on the bench (LOST): all was answered, the door said its last words, still
/// accepted, and cut what it had taken. While something is owed, newcomers are served and told to go elsewhere; once all is
/// answered, they are refused, and nothing more comes to a backend.
#[test]
fn a_door_that_has_stopped_accepts_nothing() {
    on_one_thread(async {
        let backend = Rc::new(Backend::default());
        let front = Front::open(1, &[listen(backend.clone()).await]).await;
        let address = front.address;
        let owed = tokio::task::spawn_local(async move {
            let mut stream = TcpStream::connect(address).await.expect("a door");
            ask(&mut stream, "/once/held").await
        });
        backend.held.notified().await;
        let clients = front.clients.clone();
        let stop = tokio::task::spawn_local(async move {
            clients
                .shut_down_by(Duration::ZERO, Instant::now() + PATIENCE)
                .await;
        });
        // Until the stop has begun, connections are kept.
        loop {
            let mut stream = TcpStream::connect(address)
                .await
                .expect("it accepts while something is owed");
            let got = ask(&mut stream, "/once/more").await.expect("an answer");
            assert_eq!(got.status(), 200);
            if got.closes() {
                break;
            }
        }
        assert!(!stop.is_finished());
        backend.go.notify_one();
        let got = owed.await.expect("a client").expect("an answer");
        assert_eq!((got.status(), got.closes()), (200, true));
        stop.await.expect("a stop");
        // What follows are the last words to the exchanges: 20 ms in which nothing may be taken.
        let came = backend.came.get();
        for _ in 0..20 {
            let late = match TcpStream::connect(address).await {
                Ok(mut stream) => ask(&mut stream, "/once/late")
                    .await
                    .map(|message| message.start),
                Err(error) => Err(error),
            };
            assert_eq!(
                late.map_err(|error| error.kind()),
                Err(ErrorKind::ConnectionRefused)
            );
        }
        assert_eq!(backend.came.get(), came, "something was sent on");
    });
}

/// Guards requests that are under way when a door is told to stop: a backend's silence is then no reason to end them sooner than
/// their clients do, also where they may be repeated.
#[test]
fn a_door_that_stops_gives_no_attempt_up_before_its_deadline() {
    for stops in [false, true] {
        let text = "Node = \"edge\"\nIp = \"127.0.0.1\"\nInternalPorts = [1,1]\nSeedAddrs = [\"127.0.0.1:1\"]\nBootstrap = true\nZone = \"z\"\n[Bind]\nFrontHttp = \"127.0.0.1:1\"\nReadyProbe = \"127.0.0.1:1\"\n";
        let mut settings = Settings::read(text, Path::new("edge.toml")).expect("settings");
        settings.bounds.retry_budget_ratio = 50.0;
        let mut core = Core::new(&settings, 1);
        let items = parse_amend(CONFIGURATION.as_bytes())
            .expect("a configuration")
            .items;
        let word = |n: u32| InstanceRecord {
            id: format!("i-{n}"),
            service: "one".to_owned(),
            address: format!("127.0.0.1:{}", 1000 + n),
            zone: "z".to_owned(),
            capacity: 8,
            state: InstanceState::Serving as i32,
            seq: 1,
            warmup_left_ms: 0,
        };
        let mut out = Vec::new();
        let plans = ConfigUpdate {
            after: 0,
            index: 1,
            changes: Vec::new(),
            items,
            controllers: Vec::new(),
        };
        core.receive(0.0, "x", Frame::ConfigUpdate(plans), &mut out);
        let words = InstanceUpdates {
            records: vec![word(1), word(2)],
            complete: true,
            ack_number: 0,
        };
        core.receive(0.0, "x", Frame::InstanceUpdates(words), &mut out);
        let arrival = IncomingRequest {
            host: "h.example",
            path: "/safe/a",
            api_key: None,
            remaining: None,
            received_at: 10.0,
            is_retry: false,
        };
        core.admit(10.0, &arrival, &mut out).expect("it is let in");
        assert!(out.iter().any(|one| matches!(one, Output::Send { .. })));
        if stops {
            core.shut_down();
        }
        // The deadline is 20 s after the arrival.
        let mut given_up = None;
        for at in (20..19_000).step_by(10) {
            out.clear();
            core.run_timers(f64::from(at), &mut out);
            if out
                .iter()
                .any(|one| matches!(one, Output::CancelAttempt(..) | Output::Respond(..)))
            {
                given_up = given_up.or(Some(at));
            }
        }
        assert_eq!(given_up.is_none(), stops, "given up at {given_up:?} ms");
        if stops {
            core.run_timers(20_010.0, &mut out);
            assert!(
                out.iter()
                    .any(|one| matches!(one, Output::CancelAttempt(..))),
                "it outlasts its deadline"
            );
        }
    }
}

/// Guards clients that take up a connection which has rested for four fifths of `IdleS`, also after that time was changed; and
/// bounds what is slow in coming.
#[test]
fn a_connection_rests_as_long_as_the_newest_limits_say() {
    let limits = |idle: f64| Limits {
        idle_timeout: idle,
        header_timeout: 3000.0,
        ..Limits::default()
    };
    let closes = |at, mode| Some(CloseDeadline { at, mode });
    let mut state = ConnectionState::new(0.0);
    assert_eq!(
        state.close_deadline(&limits(15_000.0)),
        closes(15_000.0, CloseMode::Immediate)
    );
    assert!(state.bytes_received(1000.0) && !state.bytes_received(1500.0));
    assert_eq!(
        state.close_deadline(&limits(15_000.0)),
        closes(4000.0, CloseMode::Immediate)
    );
    state.head_received();
    assert!(!state.bytes_received(1600.0), "its body is no head");
    assert_eq!(
        (state.close_deadline(&limits(15_000.0)), state.idle_since()),
        (None, None)
    );
    state.response_ready(9000.0);
    assert_eq!(
        state.close_deadline(&limits(15_000.0)),
        closes(24_000.0, CloseMode::Graceful)
    );
    assert_eq!(
        state.close_deadline(&limits(40_000.0)),
        closes(49_000.0, CloseMode::Graceful)
    );
    assert_eq!(state.idle_since(), Some(9000.0));
    // It begins again after four fifths: its head has all its time.
    state.bytes_received(9000.0 + 0.8 * 15_000.0);
    assert_eq!(
        state.close_deadline(&limits(15_000.0)),
        closes(24_000.0, CloseMode::Immediate)
    );
    state.closing();
    assert_eq!(
        (state.close_deadline(&limits(15_000.0)), state.idle_since()),
        (None, None)
    );
}

/// Guards a full house: a newcomer gets the place of whoever has rested longest, and where nobody rests, the first answer's.
#[test]
fn a_full_house_asks_who_has_rested_longest_to_leave() {
    on_one_thread(async {
        let backend = Rc::new(Backend::default());
        // Descriptors for so many clients: see `client_budget`.
        let most = maplefall_upstream::downstream_budget(34);
        let front = Front::with(1, &[listen(backend.clone()).await], 34).await;
        let guests = RefCell::new(Vec::new());
        for _ in 0..most {
            let mut stream = TcpStream::connect(front.address).await.expect("a door");
            assert_eq!(
                ask(&mut stream, "/once/a")
                    .await
                    .expect("an answer")
                    .status(),
                200
            );
            guests.borrow_mut().push(stream);
        }
        let mut newcomer = TcpStream::connect(front.address).await.expect("a door");
        // Long before the others have rested for `IdleS`, 15 s.
        let got =
            tokio::time::timeout(Duration::from_secs(10), ask(&mut newcomer, "/once/b")).await;
        assert_eq!(got.expect("a place").expect("an answer").status(), 200);
        let mut guests = guests.take();
        assert_eq!(
            guests[0].read(&mut [0]).await.expect("an end"),
            0,
            "the first has rested longest"
        );
        assert_eq!(
            ask(&mut guests[most - 1], "/once/c")
                .await
                .expect("an answer")
                .status(),
            200
        );
    });
}
