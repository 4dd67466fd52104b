//! The front door over loopback sockets: each test names what it guards.

mod sockets;

use sockets::*;
use std::io::Read;
use std::process::ExitStatus;

/// Guards the way there and back: what must go on unchanged does, and the answer's body too.
#[test]
fn a_request_goes_on_unchanged_and_its_answer_comes_back() {
    let scene = Scene::new(1);
    let mut client = scene.program.client();
    client.write(request_of("id-1", "extend", "wide", LONG));
    let mut backend = scene.backends[0].accept();
    let sent = backend.read();
    assert_eq!(sent.first, "POST /extend/a?b=c HTTP/1.1");
    assert_eq!(sent.header("request-id"), Some("id-1"));
    assert_eq!(sent.header("idempotency-key"), Some("5c0f6e1a"));
    assert_eq!(sent.body, b"hello");
    let wait: f64 = sent
        .header("request-timeout")
        .expect("a time")
        .parse()
        .unwrap();
    assert!(wait > 0.0 && wait <= 8.0, "{wait}");
    backend.answer(200, "Api-Usage: 55\r\nApi-Charge: 2\r\n", "paid");
    let answer = client.read();
    assert_eq!(
        (answer.status(), answer.body.as_slice()),
        (200, &b"paid"[..])
    );
}

/// Guards against a new connection for every request: they cost the backend work.
#[test]
fn connections_on_both_sides_are_used_again() {
    let scene = Scene::new(1);
    let mut client = scene.program.client();
    client.write(request_of("id-1", "read", "wide", LONG));
    let mut backend = scene.backends[0].accept();
    for id in ["id-1", "id-2", "id-3"] {
        assert_eq!(backend.read().header("request-id"), Some(id));
        backend.answer(200, "", id);
        assert_eq!(client.read().body, id.as_bytes());
        if id != "id-3" {
            client.write(request_of(
                if id == "id-1" { "id-2" } else { "id-3" },
                "read",
                "wide",
                LONG,
            ));
        }
    }
    assert!(scene.nobody_called());
}

/// Guards the outcome table for a request that must not run twice: what may have run is not sent again, and
/// its answer is neither 200 nor a refusal.
#[test]
fn an_unsafe_request_that_may_have_run_fails_and_is_not_sent_again() {
    type Play = fn(&mut Wire);
    let plays: [(&str, Play); 6] = [
        ("500", |b| b.answer(500, "", "")),
        ("500 that claims not to have started", |b| {
            b.answer(500, "Not-Started: 1\r\n", "")
        }),
        ("503 without a word", |b| b.answer(503, "", "")),
        ("504 with another word", |b| {
            b.answer(504, "Not-Started: 0\r\n", "")
        }),
        ("end without an answer", |b| {
            b.reader
                .get_mut()
                .shutdown(std::net::Shutdown::Both)
                .unwrap()
        }),
        ("end within an answer", |b| {
            b.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
            b.reader
                .get_mut()
                .shutdown(std::net::Shutdown::Both)
                .unwrap();
        }),
    ];
    for (name, play) in plays {
        let scene = Scene::new(2);
        let mut client = scene.program.client();
        client.write(request_of("id-1", "charge", "wide", LONG));
        let (_, mut backend) = scene.accept_any();
        backend.read();
        play(&mut backend);
        let status = client.read().status();
        assert!(status >= 500 && status != 503, "{name}: {status}");
        assert!(scene.nobody_called(), "{name}: sent again");
    }
}

/// Guards the other half of the table: what never ran goes out again, an unsafe request too.
#[test]
fn an_unsafe_request_that_never_ran_is_sent_again() {
    for status in [503, 504] {
        let scene = Scene::new(2);
        let mut client = scene.program.client();
        client.write(request_of("id-1", "charge", "wide", LONG));
        let (first, mut backend) = scene.accept_any();
        backend.read();
        backend.answer(status, "Not-Started: 1\r\n", "");
        // The one that turned it away is shunned for a while.
        let mut backend = scene.backends[1 - first].accept();
        assert_eq!(backend.read().header("request-id"), Some("id-1"));
        backend.answer(200, "", "done");
        assert_eq!(client.read().status(), 200, "{status}");
    }
}

/// Guards the row for connections that are refused: an unsafe request never ran, so it may be refused.
#[test]
fn a_refused_connection_counts_as_never_run() {
    let discovery = Place::new();
    let (gone, _held) = refusing_place();
    let program = Program::start(
        settings(),
        discovery.address(),
        members(1, true, &[member("s", gone, "up")]),
    );
    let mut client = program.client();
    client.write(request_of("id-1", "charge", "wide", LONG));
    assert_eq!(client.read().status(), 429);
}

/// Guards against a request written to a connection that the backend closed while it was idle.
#[test]
fn a_closed_idle_connection_is_not_used_again() {
    let scene = Scene::new(1);
    let (mut client, mut backend) = scene.hold("id-1");
    backend.answer(200, "", "one");
    assert_eq!(client.read().body, b"one");
    backend
        .reader
        .get_mut()
        .shutdown(std::net::Shutdown::Write)
        .unwrap();
    // The front door has seen the end once it has closed its own side.
    backend.expect_end();
    client.write(request_of("id-2", "charge", "wide", LONG));
    let mut backend = scene.backends[0].accept();
    assert_eq!(backend.read().header("request-id"), Some("id-2"));
    backend.answer(200, "", "two");
    assert_eq!(client.read().body, b"two");
}

/// Guards the time limit: a silent backend is given up by closing its connection, and the client has its
/// answer before it stops waiting; a late answer goes nowhere, and the next request gets its own.
#[test]
fn a_silent_backend_is_given_up_in_time_and_its_late_answer_dropped() {
    let scene = Scene::new(1);
    let mut client = scene.program.client();
    let begun = std::time::Instant::now();
    client.write(request_of("id-1", "charge", "wide", "2.5"));
    let mut backend = scene.backends[0].accept();
    backend.read();
    let answer = client.read();
    assert!(
        answer.status() >= 500 && answer.status() != 503,
        "{}",
        answer.status()
    );
    assert!(begun.elapsed().as_secs_f64() >= 2.3, "given up early");
    // The answer crosses the end of the connection; either way the client must not see it.
    let _ = std::io::Write::write_all(
        backend.reader.get_mut(),
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate",
    );
    backend.expect_end();
    client.write(request_of("id-2", "charge", "wide", LONG));
    let mut backend = scene.backends[0].accept();
    assert_eq!(backend.read().header("request-id"), Some("id-2"));
    backend.answer(200, "", "own");
    assert_eq!(client.read().body, b"own");
}

/// Guards against a backend that lets one class hang and answers the others: the next of that class goes elsewhere,
/// though the other backend is the busier one, and the others go on being sent there.
#[test]
fn a_class_that_hangs_at_a_backend_is_sent_elsewhere() {
    let scene = Scene::new(2);
    let mut client = scene.program.client();
    client.write(request_of("id-1", "charge", "wide", "2"));
    let (hangs, mut backend) = scene.accept_any();
    backend.read();
    assert!(client.read().status() >= 500);
    let mut busy = scene.program.client();
    busy.write(request_of("id-2", "charge", "wide", LONG));
    let mut first = scene.backends[1 - hangs].accept();
    assert_eq!(first.read().header("request-id"), Some("id-2"));
    let mut backend: Option<Wire> = None;
    for i in 0..150 {
        client.write(request_of(&format!("read-{i}"), "read", "wide", LONG));
        let backend = backend.get_or_insert_with(|| scene.backends[hangs].accept());
        backend.read();
        backend.answer(200, "", "good");
        assert_eq!(client.read().body, b"good");
    }
    client.write(request_of("id-3", "charge", "wide", LONG));
    let mut second = scene.backends[1 - hangs].accept();
    assert_eq!(second.read().header("request-id"), Some("id-3"));
    second.answer(200, "", "done");
    assert_eq!(client.read().body, b"done");
}

/// Guards against work for nobody: when a client goes away its attempt is called off, long before its time.
#[test]
fn a_client_that_leaves_ends_its_attempt() {
    let mut settings = settings();
    for key in ["aim", "give_up"] {
        settings["grades"][0][key] = 600_000.0.into();
    }
    let scene = Scene::with(settings, 1);
    let mut client = scene.program.client();
    client.write(request_of("id-1", "read", "wide", "600"));
    let mut backend = scene.backends[0].accept();
    backend.read();
    drop(client);
    backend.expect_end();
    // The front door goes on serving.
    let mut client = scene.program.client();
    client.write(request_of("id-2", "read", "wide", LONG));
    let mut backend = scene.backends[0].accept();
    assert_eq!(backend.read().header("request-id"), Some("id-2"));
    backend.answer(200, "", "ok");
    assert_eq!(client.read().status(), 200);
}

/// Guards against two attempts out for one id: a copy that comes while the first is out is turned down.
#[test]
fn an_id_that_is_out_is_not_taken_twice() {
    let scene = Scene::new(1);
    let (mut client, mut backend) = scene.hold("id-1");
    let mut second = scene.program.client();
    second.write(request_of("id-1", "charge", "wide", LONG));
    assert_eq!(second.read().status(), 409);
    assert!(scene.nobody_called());
    backend.answer(200, "", "once");
    assert_eq!(client.read().body, b"once");
}

/// Guards drains: once told, a draining backend gets nothing new and its idle connection is closed; with no
/// backend left a request is refused at once.
#[test]
fn a_draining_backend_gets_nothing_new() {
    let mut scene = Scene::new(1);
    let mut client = scene.program.client();
    client.write(request_of("id-1", "read", "wide", LONG));
    let mut backend = scene.backends[0].accept();
    backend.read();
    backend.answer(200, "", "ok");
    assert_eq!(client.read().status(), 200);
    let line = members(
        8,
        false,
        &[member("s-0", scene.backends[0].address(), "draining")],
    );
    scene.watch.line(&line.to_string());
    backend.expect_end();
    client.write(request_of("id-2", "read", "wide", LONG));
    assert_eq!(client.read().status(), 429);
    assert!(scene.nobody_called());
    // Told that it is back, the front door sends again; until the line has come, it refuses.
    scene
        .watch
        .line(&members(9, true, &[member("s-0", scene.backends[0].address(), "up")]).to_string());
    let mut backend = (3..)
        .find_map(|id| {
            client.write(request_of(&format!("id-{id}"), "read", "wide", LONG));
            let accepted = scene.backends[0].accept_or(&client);
            if accepted.is_none() {
                assert_eq!(client.read().status(), 429);
            }
            accepted
        })
        .expect("a connection");
    backend.read();
    backend.answer(200, "", "back");
    assert_eq!(client.read().body, b"back");
}

/// Guards drains while a connection is coming up: the list may change meanwhile, and it is looked at again
/// before the first byte is written. Nothing was sent, so the request is refused.
#[test]
fn a_backend_that_drains_while_it_is_dialled_gets_nothing() {
    let discovery = Place::new();
    let (backend, fillers) = crowded_place();
    let up = [member("s-0", backend.address(), "up")];
    let program = Program::start(settings(), discovery.address(), members(7, true, &up));
    let mut wire = discovery.accept();
    wire.read();
    let mut watch = Watch::begin(wire);
    let mut client = program.client();
    client.write(request_of("id-1", "charge", "wide", LONG));
    wait_for("a dial that hangs", || {
        dialling(backend.address()).then_some(())
    });
    watch.line(&members(8, false, &[member("s-0", backend.address(), "draining")]).to_string());
    watch.end();
    // Asking from 8 shows that the line has been taken in.
    discovery.asked("?watch=1&from=8");
    for _ in &fillers {
        backend.accept();
    }
    backend.accept().expect_end();
    assert_eq!(client.read().status(), 429);
}

/// Guards the watch: one that ends is resumed from the version last seen, and an unreadable line is answered
/// by asking for the whole list.
#[test]
fn a_watch_is_resumed_and_an_unreadable_line_asks_for_the_whole_list() {
    let mut scene = Scene::new(1);
    let hosts = [member("s-0", scene.backends[0].address(), "up")];
    scene.watch.line("");
    scene.watch.line(&members(12, false, &hosts).to_string());
    scene.watch.end();
    let wire = scene.discovery.asked("?watch=1&from=12");
    let mut watch = Watch::begin(wire);
    watch.line("{\"seq\":13,\"whole\":");
    let mut wire = scene.discovery.asked("");
    wire.answer(200, "", &members(20, true, &hosts).to_string());
    scene.discovery.asked("?watch=1&from=20");
}

/// Guards against a watch whose other end has vanished: it says nothing and does not end.
#[test]
fn a_silent_watch_is_opened_again() {
    let mut scene = Scene::new(1);
    scene.watch.fall_silent();
    scene.discovery.asked("?watch=1&from=7");
}

/// Guards the start: the front is told to come only when there is a list to serve from.
#[test]
fn health_waits_for_a_list() {
    let discovery = Place::new();
    let program = Program::start(settings(), discovery.address(), serde_json::Value::Null);
    let mut wire = discovery.asked("");
    let mut client = program.client();
    let health = "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n";
    client.write(health);
    assert_eq!(client.read().status(), 503);
    let backend = Place::new();
    wire.answer(
        200,
        "",
        &members(1, true, &[member("s-0", backend.address(), "up")]).to_string(),
    );
    // The watch that follows shows that the list has been taken in.
    discovery.asked("?watch=1&from=1");
    client.write(health);
    assert_eq!(client.read().status(), 200);
}

/// Guards the planned restart: what was taken is answered, connections go on coming for a while, answers
/// close theirs, and the program ends by itself with 0.
#[test]
fn sigterm_answers_what_was_taken_and_ends_well() {
    let mut scene = Scene::new(1);
    let mut idle = scene.program.client();
    idle.write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(idle.read().header("connection"), None);
    let mut unused = scene.program.client();
    let (mut client, mut backend) = scene.hold("id-1");
    scene.program.terminate();
    assert_eq!(scene.program.log_line(), "n0: stopping\n");
    let mut late = scene.program.client();
    late.write(request_of("id-2", "charge", "wide", LONG));
    let mut second = scene.backends[0].accept();
    assert_eq!(second.read().header("request-id"), Some("id-2"));
    let kept = |backend: &mut Wire, client: &mut Wire| {
        backend.answer(200, "", "kept");
        let answer = client.read();
        assert_eq!(
            (answer.status(), answer.body.as_slice()),
            (200, &b"kept"[..])
        );
        assert_eq!(answer.header("connection"), Some("close"));
        client.expect_end();
    };
    // One answer at once and one after idle connections have been closed: neither is lost.
    kept(&mut second, &mut late);
    idle.expect_end();
    kept(&mut backend, &mut client);
    // A connection that never carried a request does not hold the program up.
    let begun = std::time::Instant::now();
    assert_eq!(scene.program.wait().code(), Some(0));
    assert!(
        begun.elapsed().as_secs_f64() < 5.0,
        "held up until its last call"
    );
    unused.expect_end();
}

/// Guards against bad input: each gets one plain answer, and nothing of it reaches a backend.
#[test]
fn bad_requests_are_turned_down() {
    let scene = Scene::new(1);
    let good = request_of("id-1", "charge", "wide", LONG);
    let without = |name: &str| {
        let lines = good.split("\r\n").filter(|line| !line.starts_with(name));
        lines.collect::<Vec<_>>().join("\r\n")
    };
    let mut cases: Vec<(String, u16)> = [
        "Request-Id",
        "Request-Class",
        "Api-Plan",
        "Cookie",
        "Request-Timeout",
        "Api-Terms",
    ]
    .iter()
    .map(|name| (without(name), 400))
    .collect();
    for (from, to, status) in [
        ("Request-Class: charge", "Request-Class: refund", 400),
        ("POST /charge/", "POST /read/", 400),
        ("POST /charge/", "PUT /charge/", 400),
        ("POST /charge/", "GET /charge/", 400),
        (
            "Content-Length: 5",
            "Idempotency-Key: 1\r\nContent-Length: 5",
            400,
        ),
        ("Api-Plan: wide", "Api-Plan: broad", 400),
        ("client=00000000b4d65521", "client=b4d65521", 400),
        ("client=00000000b4d65521", "client=0000000200000000", 400),
        ("client=00000000b4d65521", "client=+0000000b4d65521", 400),
        ("client=00000000b4d65521", "other=1", 400),
        ("Request-Timeout: 8", "Request-Timeout: soon", 400),
        ("Request-Timeout: 8", "Request-Timeout: -1", 400),
        ("Request-Timeout: 8", "Request-Timeout: inf", 400),
        ("Request-Timeout: 8", "Request-Timeout: NaN", 400),
        ("units=1", "units=0", 400),
        ("units=1", "units=many", 400),
        ("units=1", "units=8.5", 400),
        ("units=1", "units=1,units=1", 400),
        ("spread=1", "spread=1e999", 400),
        ("spread=1", "spread=3", 400),
        ("spread=1", "spread=0", 400),
        ("spread=1", "spread=1.5", 400),
        (",first=0", "", 400),
        ("first=0", "first=2", 400),
        ("first=0", "first=-1", 400),
        ("first=0", "first=0.5", 400),
        ("Host: ser", "Host: other\r\nHost: ser", 400),
        ("Host: ser", "Host: s\u{e9}r", 400),
        ("Host: ser", "Request-Id: id-2\r\nHost: ser", 400),
        (
            "Host: ser",
            "Cookie: client=00000000b4d65521\r\nHost: ser",
            400,
        ),
        (
            "Host: ser",
            "Api-Terms: units=1,spread=1,first=0\r\nHost: ser",
            400,
        ),
        ("Request-Id: id-1", "Request-Id: id 1", 400),
        ("/charge/a", "/charge/\u{e9}", 400),
        ("/charge/a", "/charger/a", 400),
        ("/charge/a", "//charge/a", 400),
        ("Content-Length: 5", "Content-Length: -5", 400),
        ("Content-Length: 5", "Content-Length: 65537", 413),
        ("Content-Length: 5", "Content-Length: five", 400),
        ("HTTP/1.1", "HTTX/1.1", 400),
        ("Host: ser", "Host\0: ser", 400),
    ] {
        assert!(good.contains(from), "{from}");
        cases.push((good.replacen(from, to, 1), status));
    }
    for (text, status) in cases {
        let mut client = scene.program.client();
        client.write(&text);
        assert_eq!(client.read().status(), status, "{text}");
        client.expect_end();
    }
    assert!(scene.nobody_called());
    // A client that leaves within a request leaves nothing behind.
    let mut client = scene.program.client();
    client.write(&good[..good.len() - 2]);
    drop(client);
    let mut client = scene.program.client();
    client.write(&good);
    let mut backend = scene.backends[0].accept();
    backend.read();
    backend.answer(200, "", "fine");
    assert_eq!(client.read().status(), 200);
}

/// Guards against a front door full of idle connections: a new client gets in all the same.
#[test]
fn idle_connections_make_room_for_new_clients() {
    let discovery = Place::new();
    let backend = Place::new();
    let known = members(1, true, &[member("s-0", backend.address(), "up")]);
    // Few enough descriptors that 60 connections are too many.
    let mut program = Program::start_within(64, settings(), discovery.address(), known);
    let mut held = Vec::new();
    for _ in 0..60 {
        let mut client = program.client();
        client.write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
        assert_eq!(client.read().status(), 200);
        held.push(client);
    }
    assert!(
        program.child.try_wait().unwrap().is_none(),
        "ended by itself"
    );
}

/// Guards against clients that begin a request and never end it: at the limit they make room too.
#[test]
fn stalled_requests_make_room_for_new_clients() {
    let discovery = Place::new();
    let backend = Place::new();
    let known = members(1, true, &[member("s-0", backend.address(), "up")]);
    let program = Program::start_within(64, settings(), discovery.address(), known);
    let stalled: Vec<Wire> = (0..40)
        .map(|_| {
            let mut client = program.client();
            client.write("GET /_health HTTP/1.1\r\nHo");
            client
        })
        .collect();
    let mut client = program.client();
    client.write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(client.read().status(), 200);
    drop(stalled);
}

/// Guards memory: a head that goes on and on is turned down, not kept.
#[test]
fn an_endless_head_is_turned_down() {
    let scene = Scene::new(1);
    let mut client = scene.program.client();
    let long = format!("X: {}\r\nHost: ser", "x".repeat(70_000));
    client.write(request_of("id-1", "charge", "wide", LONG).replacen("Host: ser", &long, 1));
    assert_eq!(client.read().status(), 431);
    assert!(scene.nobody_called());
}

/// Guards quotas: beyond its quota a customer is refused at once and told when to come back.
#[test]
fn a_customer_past_its_quota_is_refused_with_advice() {
    let scene = Scene::new(1);
    let mut client = scene.program.client();
    client.write(request_of("id-0", "read", "narrow", LONG));
    let mut backend = scene.backends[0].accept();
    let mut served = 0;
    for id in 1.. {
        assert!(id < 20, "never refused");
        backend.read();
        backend.answer(200, "", "ok");
        assert_eq!(client.read().status(), 200);
        served += 1;
        client.write(request_of(&format!("id-{id}"), "read", "narrow", LONG));
        if client.speaks_before(&backend) {
            break;
        }
    }
    assert!(served <= 2, "{served} units of a burst of 2");
    let answer = client.read();
    assert_eq!(answer.status(), 429);
    let advice: f64 = answer
        .header("retry-after")
        .expect("advice")
        .parse()
        .unwrap();
    assert!(advice > 0.0 && advice <= 2.0, "{advice}");
}

/// Guards the start: what cannot be used is told on one plain line, and the program ends.
#[test]
fn a_bad_configuration_is_one_line_and_an_exit_code() {
    let whole = serde_json::json!({
        "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1", "limits": {"sockets": 256}, "settings": {},
    });
    let with = |key: &str, value: serde_json::Value| {
        let mut config = whole.clone();
        config[key] = value;
        config.to_string()
    };
    let cases = [
        ("{".to_owned(), "EOF"),
        (with("listen", "nowhere".into()), "BALANCER_LISTEN"),
        (with("seed", "xyz".into()), "seed"),
        (with("limits", serde_json::json!({"sockets": 3})), "sockets"),
        (
            with("settings", serde_json::json!({"tick": "soon"})),
            "tick=soon",
        ),
    ];
    for (config, expected) in cases {
        let (mut child, _) = spawn(&config, &[]);
        let mut text = String::new();
        child
            .stderr
            .take()
            .unwrap()
            .read_to_string(&mut text)
            .unwrap();
        let status: ExitStatus = child.wait().unwrap();
        assert!(
            !status.success() && text.contains(expected) && text.lines().count() == 1,
            "{text}"
        );
    }
}

/// Guards new configurations: SIGHUP ends nothing, a file that cannot be used changes nothing, and a new address of
/// discovery is followed at once, from the version last seen, though the variable still tells the old one.
#[test]
fn a_new_configuration_moves_the_watch_and_a_bad_one_does_not() {
    let mut scene = Scene::new(1);
    let (mut client, mut backend) = scene.hold("id-1");
    let mut config = scene.program.config.clone();
    for bad in [
        "{",
        "{\"seed\":\"1\",\"limits\":{\"sockets\":256},\"settings\":{},\"discovery\":\"x\"}",
    ] {
        scene.program.reload(bad);
        let line = scene.program.log_line();
        assert!(line.contains("old configuration goes on"), "{line}");
    }
    // The old watch is still the one that counts.
    let moved = Place::new();
    let hosts = [member("s-0", moved.address(), "up")];
    scene.watch.line(&members(8, false, &hosts).to_string());
    let fresh = Place::new();
    config["discovery"] = fresh.address().to_string().into();
    wait_for("the line to be taken in", || {
        scene.program.reload(&config.to_string());
        let mut wire = fresh.accept();
        let first = wire.read().first;
        (first == "GET /catalog/members?watch=1&from=8 HTTP/1.1").then(|| scene.watch.expect_end())
    });
    // What was taken before is answered.
    backend.answer(200, "", "kept");
    assert_eq!(client.read().body, b"kept");
}

/// Guards against a request hidden in the body of another: what tells its length in chunks, beside a length or not,
/// is not served, and its connection is closed before anything behind it is read.
#[test]
fn chunks_beside_a_length_are_not_served_and_hide_nothing() {
    let scene = Scene::new(1);
    let hidden = request_of("id-2", "charge", "wide", LONG);
    let (length, chunks) = ("Content-Length: 5", "Transfer-Encoding: chunked");
    for framing in [
        format!("{length}\r\n{chunks}"),
        format!("{chunks}\r\n{length}"),
        chunks.to_owned(),
    ] {
        let good = request_of("id-1", "charge", "wide", LONG).replacen(length, &framing, 1);
        let head = good.strip_suffix("hello").unwrap();
        let mut client = scene.program.client();
        client.write(format!("{head}0\r\n\r\n{hidden}"));
        assert_eq!(client.read().status(), 411, "{framing}");
        client.expect_end();
    }
    assert!(scene.nobody_called());
}

/// Guards against clients that hold connections and never end a request: each is turned down or closed within 3 s
/// of its connect, whether it says nothing, half a head, a head without end or half a body; one that has been
/// served may stay.
#[test]
fn a_connection_without_a_whole_request_is_closed_in_time() {
    let scene = Scene::new(1);
    let mut usual = scene.program.client();
    let health = "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n";
    usual.write(health);
    usual.read();
    let good = request_of("id-1", "charge", "wide", LONG);
    let begun = std::time::Instant::now();
    let mut clients: Vec<Wire> = ["", &good[..40], &good[..good.len() - 2]]
        .iter()
        .map(|text| {
            let mut client = scene.program.client();
            client.write(text);
            client
        })
        .collect();
    let mut endless = scene.program.client();
    endless.write(&good[..good.len() - 9]);
    // It goes on saying a little, so that no pause gives it away.
    let end = wait_for("the end of a head without end", || {
        let wrote = std::io::Write::write_all(endless.reader.get_mut(), b"X: y\r\n");
        std::thread::sleep(std::time::Duration::from_millis(50));
        (wrote.is_err() || endless.speaks()).then(|| begun.elapsed().as_secs_f64())
    });
    assert!(end > 1.0, "closed after {end} s");
    let mut said = Vec::new();
    for client in &mut clients {
        let mut text = String::new();
        let _ = client.reader.read_to_string(&mut text);
        said.push(text.lines().next().unwrap_or_default().to_owned());
    }
    assert_eq!(said, ["", "", "HTTP/1.1 408 Request Timeout"]);
    // Generous for a busy machine: what it guards against is a connection that stays.
    assert!(begun.elapsed().as_secs_f64() < 8.0);
    usual.write(health);
    assert_eq!(usual.read().status(), 200);
    assert!(scene.nobody_called());
}

/// Guards usual clients in a crowd: to make room, those that never spoke go before one that did.
#[test]
fn the_silent_make_room_before_those_that_spoke() {
    let discovery = Place::new();
    let backend = Place::new();
    let known = members(1, true, &[member("s-0", backend.address(), "up")]);
    let program = Program::start_within(64, settings(), discovery.address(), known);
    let health = "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n";
    let mut usual: Vec<Wire> = (0..8).map(|_| program.client()).collect();
    let mut ask = |silent: usize| {
        for client in &mut usual {
            client.write(health);
            assert_eq!(client.read().status(), 200, "after {silent} silent ones");
        }
    };
    ask(0);
    let held: Vec<Wire> = (1..=60)
        .map(|number| {
            let client = program.client();
            ask(number);
            client
        })
        .collect();
    drop(held);
}

/// Guards against an effect twice: an id is good for one request, and one that comes again after its answer is
/// somebody else's. It guards memory too: no wait is longer than the class allows.
#[test]
fn an_id_is_good_once_and_no_wait_is_longer_than_its_class_allows() {
    let scene = Scene::new(1);
    let mut client = scene.program.client();
    client.write(request_of("id-1", "charge", "wide", "1e12"));
    let mut backend = scene.backends[0].accept();
    let wait: f64 = backend
        .read()
        .header("request-timeout")
        .expect("a time")
        .parse()
        .unwrap();
    assert!(wait > 0.0 && wait <= 8.0, "{wait}");
    backend.answer(200, "", "once");
    assert_eq!(client.read().status(), 200);
    client.write(request_of("id-1", "charge", "wide", LONG));
    assert_eq!(client.read().status(), 409);
    client.expect_end();
    assert!(scene.nobody_called());
}

/// Guards against a wrong answer: what a backend sends behind an answer, in one write with it or later, never becomes
/// the next request's. The good answer is served and the connection is not used again.
#[test]
fn what_comes_behind_an_answer_goes_to_nobody() {
    let copy = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong";
    for (behind, together) in [
        (copy, true),
        ("noise", true),
        (copy, false),
        ("noise", false),
    ] {
        let scene = Scene::new(1);
        let mut client = scene.program.client();
        client.write(request_of("id-1", "charge", "wide", LONG));
        let mut backend = scene.backends[0].accept();
        backend.read();
        let good = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none";
        if together {
            backend.write(format!("{good}{behind}"));
            assert_eq!(client.read().body, b"one");
        } else {
            backend.write(good);
            assert_eq!(client.read().body, b"one");
            backend.write(behind);
        }
        client.write(request_of("id-2", "charge", "wide", LONG));
        let mut second = scene.backends[0].accept();
        assert_eq!(second.read().header("request-id"), Some("id-2"));
        second.answer(200, "", "two");
        assert_eq!(client.read().body, b"two", "{behind} together: {together}");
        backend.expect_end();
    }
}

/// Guards against serving what cannot be told to be whole, and against waiting for what does not end: an unsafe
/// request fails at once, its connection is closed, and the next one is served on another.
#[test]
fn a_spoilt_answer_is_a_failure_at_once() {
    let endless = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n{}",
        "x".repeat(80_000)
    );
    let head = format!(
        "HTTP/1.1 200 OK\r\n{}",
        "X-Pad: pppppppppppp\r\n".repeat(4000)
    );
    let cases = [
        ("noise", "\u{83}\u{4}no\r\n\r\n"),
        (
            "no status",
            "HTTP/1.1 OK 200\r\nContent-Length: 2\r\n\r\nno",
        ),
        (
            "two lengths",
            "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 2\r\n\r\nno",
        ),
        (
            "no length",
            "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nno",
        ),
        (
            "bad chunks",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\nzz\r\n",
        ),
        (
            "another protocol",
            "HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n",
        ),
        ("an answer without end", endless.as_str()),
        ("a head without end", head.as_str()),
    ];
    for (name, text) in cases {
        let scene = Scene::new(1);
        let mut client = scene.program.client();
        client.write(request_of("id-1", "charge", "wide", LONG));
        let mut backend = scene.backends[0].accept();
        backend.read();
        let begun = std::time::Instant::now();
        // The front door may close before all is written.
        let _ = std::io::Write::write_all(backend.reader.get_mut(), text.as_bytes());
        assert_eq!(client.read().status(), 502, "{name}");
        assert!(
            begun.elapsed().as_secs_f64() < 3.0,
            "{name}: waited for more"
        );
        backend.expect_end();
        client.write(request_of("id-2", "charge", "wide", LONG));
        let mut second = scene.backends[0].accept();
        assert_eq!(second.read().header("request-id"), Some("id-2"));
        second.answer(200, "", "fine");
        assert_eq!(client.read().body, b"fine", "{name}");
    }
}

/// Guards good answers with odd company: 1xx ahead and figures that say nothing spoil nothing.
#[test]
fn a_good_answer_with_odd_figures_is_served() {
    let scene = Scene::new(1);
    let (mut client, mut backend) = scene.hold("id-1");
    backend.write("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n");
    backend.answer(
        200,
        "Api-Usage: %%%\r\nApi-Usage: 9e99\r\nApi-Charge: =,=\r\nApi-Charge: 1\r\n",
        "paid",
    );
    let answer = client.read();
    assert_eq!(
        (answer.status(), answer.body.as_slice()),
        (200, &b"paid"[..])
    );
}

/// Guards backends against blame for the front door's own shortage: with no room for a further connection a request
/// is refused at once, and no backend is set aside.
#[test]
fn an_own_shortage_is_not_held_against_a_backend() {
    let discovery = Place::new();
    let backend = Place::new();
    let known = members(1, true, &[member("s-0", backend.address(), "up")]);
    // Room for three connections to backends.
    let mut program = Program::start_within(32, settings(), discovery.address(), known);
    let mut held = Vec::new();
    for id in 0..3 {
        let mut client = program.client();
        client.write(request_of(&format!("id-{id}"), "charge", "wide", LONG));
        let mut wire = backend.accept();
        wire.read();
        held.push((client, wire));
    }
    let mut client = program.client();
    client.write(request_of("id-3", "charge", "wide", LONG));
    assert_eq!(client.read().status(), 429);
    for (mut client, mut wire) in held {
        wire.answer(200, "", "ok");
        assert_eq!(client.read().status(), 200);
    }
    program.terminate();
    let mut log = String::new();
    program.log.read_to_string(&mut log).unwrap();
    assert!(
        log.contains("stopping") && !log.contains("set aside"),
        "{log}"
    );
}

/// Guards long answers: a good one far beyond the agreed 64 KiB is passed on whole, told by its length or in chunks, and
/// again and again: the room that each takes is given back.
#[test]
fn a_long_answer_is_passed_on_whole() {
    let scene = Scene::new(1);
    let mut client = scene.program.client();
    let long = "0123456789abcdef".repeat(25_000);
    client.write(request_of("id-0", "charge", "wide", LONG));
    let mut backend = scene.backends[0].accept();
    // More than the memory would hold together.
    for number in 1..=200 {
        backend.read();
        if number % 2 == 0 {
            backend.answer(200, "", &long);
        } else {
            let (head, length) = ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked", long.len());
            backend.write(format!("{head}\r\n\r\n{length:x}\r\n{long}\r\n0\r\n\r\n"));
        }
        let answer = client.read();
        assert_eq!(answer.status(), 200, "number {number}");
        assert!(
            answer.body == long.as_bytes(),
            "number {number}: {} bytes",
            answer.body.len()
        );
        client.write(request_of(&format!("id-{number}"), "charge", "wide", LONG));
    }
}

/// Guards against an attempt that hangs and eats its request's time: what may be repeated is given up, by closing its
/// connection first, and another backend serves it well before its client leaves.
#[test]
fn a_hung_attempt_leaves_time_for_another() {
    let mut settings = settings();
    settings["fleet_size"] = 1.into();
    settings["grades"][0]["aim"] = 600.0.into();
    settings["grades"][0]["late_worth"] = 0.5.into();
    let scene = Scene::with(settings, 2);
    let mut client = scene.program.client();
    client.write(request_of("id-1", "read", "wide", LONG));
    let (first, mut hung) = scene.accept_any();
    hung.read();
    let mut other = scene.backends[1 - first].accept();
    hung.expect_end();
    assert_eq!(other.read().header("request-id"), Some("id-1"));
    other.answer(200, "", "in time");
    assert_eq!(client.read().body, b"in time");
}

/// Guards people at a terminal: the program tells what it is, checks a file and all its mistakes, and turns down words that
/// it does not know rather than serve.
#[test]
fn the_command_line_helps_and_checks() {
    let run = |words: &[&str]| {
        let output = std::process::Command::new(env!("CARGO_BIN_EXE_maplefall"))
            .args(words)
            .env_remove("BALANCER_CONFIG")
            .output()
            .expect("the program starts");
        (
            output.status.code(),
            String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned(),
        )
    };
    let (code, text) = run(&["--help"]);
    assert!(
        code == Some(0) && text.contains("check") && text.contains("MAPLEFALL_SHARED_COUNTS"),
        "{text}"
    );
    assert_eq!(
        run(&["--version"]),
        (
            Some(0),
            format!("maplefall {}\n", env!("CARGO_PKG_VERSION"))
        )
    );
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/example.json");
    assert_eq!(
        run(&["check", example]),
        (Some(0), format!("{example}: no mistakes\n"))
    );
    let bad = format!("{}/bad.json", env!("CARGO_TARGET_TMPDIR"));
    std::fs::write(
        &bad,
        "{\"seed\": 5, \"limits\": {\"sockets\": 1}, \"settings\": {}}",
    )
    .expect("a file");
    let (code, text) = run(&["check", &bad]);
    assert_eq!((code, text.lines().count()), (Some(1), 4), "{text}");
    let (code, text) = run(&["chek", &bad]);
    assert!(
        code == Some(1) && text.contains("unrecognized subcommand"),
        "{text}"
    );
}
