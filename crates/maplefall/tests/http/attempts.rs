//! How attempts end, and which requests are retried.

use crate::sockets::*;
use std::io::Read;

/// Guards the outcome table for a request that must not run twice: what may have run is not sent again, and
/// its answer is neither 200 nor a refusal.
#[test]
fn non_idempotent_request_that_may_have_run_is_not_retried() {
    type Play = fn(&mut Connection);
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
        let scene = TestBed::new(2);
        let mut client = scene.program.client();
        client.write(request_of("id-1", "charge", "wide", LONG_TIMEOUT));
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
fn non_idempotent_request_that_never_ran_is_retried() {
    for status in [503, 504] {
        let scene = TestBed::new(2);
        let mut client = scene.program.client();
        client.write(request_of("id-1", "charge", "wide", LONG_TIMEOUT));
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
fn refused_connection_counts_as_never_run() {
    let discovery = Listener::new();
    let (gone, _held) = refusing_address();
    let program = Program::start(
        settings(),
        discovery.address(),
        members(1, true, &[member("s", gone, "up")]),
    );
    let mut client = program.client();
    client.write(request_of("id-1", "charge", "wide", LONG_TIMEOUT));
    assert_eq!(client.read().status(), 429);
}

/// Guards against a request written to a connection that the backend closed while it was idle.
#[test]
fn closed_idle_connection_is_not_reused() {
    let scene = TestBed::new(1);
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
    client.write(request_of("id-2", "charge", "wide", LONG_TIMEOUT));
    let mut backend = scene.backends[0].accept();
    assert_eq!(backend.read().header("request-id"), Some("id-2"));
    backend.answer(200, "", "two");
    assert_eq!(client.read().body, b"two");
}

/// Guards the time limit: a silent backend is given up by closing its connection, and the client has its
/// answer before it stops waiting; a late answer goes nowhere, and the next request gets its own.
#[test]
fn silent_backend_times_out_and_its_late_response_is_dropped() {
    let scene = TestBed::new(1);
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
    client.write(request_of("id-2", "charge", "wide", LONG_TIMEOUT));
    let mut backend = scene.backends[0].accept();
    assert_eq!(backend.read().header("request-id"), Some("id-2"));
    backend.answer(200, "", "own");
    assert_eq!(client.read().body, b"own");
}

/// Guards against a backend that lets one class hang and answers the others: the next of that class goes elsewhere,
/// though the other backend is the busier one, and the others go on being sent there.
#[test]
fn class_that_hangs_at_a_backend_is_sent_elsewhere() {
    let scene = TestBed::new(2);
    let mut client = scene.program.client();
    client.write(request_of("id-1", "charge", "wide", "2"));
    let (hangs, mut backend) = scene.accept_any();
    backend.read();
    assert!(client.read().status() >= 500);
    let mut busy = scene.program.client();
    busy.write(request_of("id-2", "charge", "wide", LONG_TIMEOUT));
    let mut first = scene.backends[1 - hangs].accept();
    assert_eq!(first.read().header("request-id"), Some("id-2"));
    let mut backend: Option<Connection> = None;
    for i in 0..150 {
        client.write(request_of(
            &format!("read-{i}"),
            "read",
            "wide",
            LONG_TIMEOUT,
        ));
        let backend = backend.get_or_insert_with(|| scene.backends[hangs].accept());
        backend.read();
        backend.answer(200, "", "good");
        assert_eq!(client.read().body, b"good");
    }
    client.write(request_of("id-3", "charge", "wide", LONG_TIMEOUT));
    let mut second = scene.backends[1 - hangs].accept();
    assert_eq!(second.read().header("request-id"), Some("id-3"));
    second.answer(200, "", "done");
    assert_eq!(client.read().body, b"done");
}

/// Guards against work for nobody: when a client goes away its attempt is called off, long before its time.
#[test]
fn client_that_disconnects_ends_its_attempt() {
    let mut settings = settings();
    for key in ["aim", "give_up"] {
        settings["grades"][0][key] = 600_000.0.into();
    }
    let scene = TestBed::with(settings, 1);
    let mut client = scene.program.client();
    client.write(request_of("id-1", "read", "wide", "600"));
    let mut backend = scene.backends[0].accept();
    backend.read();
    drop(client);
    backend.expect_end();
    // The front door goes on serving.
    let mut client = scene.program.client();
    client.write(request_of("id-2", "read", "wide", LONG_TIMEOUT));
    let mut backend = scene.backends[0].accept();
    assert_eq!(backend.read().header("request-id"), Some("id-2"));
    backend.answer(200, "", "ok");
    assert_eq!(client.read().status(), 200);
}

/// Guards backends against blame for the front door's own shortage: with no room for a further connection a request
/// is refused at once, and no backend is set aside.
#[test]
fn own_shortage_of_sockets_does_not_eject_a_backend() {
    let discovery = Listener::new();
    let backend = Listener::new();
    let known = members(1, true, &[member("s-0", backend.address(), "up")]);
    // Room for three connections to backends.
    let mut program = Program::start_within(32, settings(), discovery.address(), known);
    let mut held = Vec::new();
    for id in 0..3 {
        let mut client = program.client();
        client.write(request_of(
            &format!("id-{id}"),
            "charge",
            "wide",
            LONG_TIMEOUT,
        ));
        let mut wire = backend.accept();
        wire.read();
        held.push((client, wire));
    }
    let mut client = program.client();
    client.write(request_of("id-3", "charge", "wide", LONG_TIMEOUT));
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

/// Guards against an attempt that hangs and eats its request's time: what may be repeated is given up, by closing its
/// connection first, and another backend serves it well before its client leaves.
#[test]
fn hung_attempt_leaves_time_for_a_retry() {
    let mut settings = settings();
    settings["fleet_size"] = 1.into();
    settings["grades"][0]["aim"] = 600.0.into();
    settings["grades"][0]["late_worth"] = 0.5.into();
    let scene = TestBed::with(settings, 2);
    let mut client = scene.program.client();
    client.write(request_of("id-1", "read", "wide", LONG_TIMEOUT));
    let (first, mut hung) = scene.accept_any();
    hung.read();
    let mut other = scene.backends[1 - first].accept();
    hung.expect_end();
    assert_eq!(other.read().header("request-id"), Some("id-1"));
    other.answer(200, "", "in time");
    assert_eq!(client.read().body, b"in time");
}
