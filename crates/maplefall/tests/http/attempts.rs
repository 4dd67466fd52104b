//! How attempts end, and which requests are retried.

use crate::sockets::*;
use std::io::Read;

/// A non-idempotent request that may have run is not sent again, and its response is neither 200
/// nor a rejection.
#[test]
fn non_idempotent_request_that_may_have_run_is_not_retried() {
    type Script = fn(&mut Connection);
    let scripts: [(&str, Script); 6] = [
        ("500", |b| b.respond(500, "", "")),
        ("500 that claims not to have started", |b| {
            b.respond(500, "Not-Started: 1\r\n", "")
        }),
        ("503 without Not-Started", |b| b.respond(503, "", "")),
        ("504 with another value of Not-Started", |b| {
            b.respond(504, "Not-Started: 0\r\n", "")
        }),
        ("end without a response", |b| {
            b.reader
                .get_mut()
                .shutdown(std::net::Shutdown::Both)
                .unwrap()
        }),
        ("end within a response", |b| {
            b.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
            b.reader
                .get_mut()
                .shutdown(std::net::Shutdown::Both)
                .unwrap();
        }),
    ];
    for (name, script) in scripts {
        let bed = TestBed::new(2);
        let mut client = bed.program.client();
        client.write(request_of("id-1", "charge", "wide", LONG_TIMEOUT));
        let (_, mut backend) = bed.accept_any();
        backend.read();
        script(&mut backend);
        let status = client.read().status();
        assert!(status >= 500 && status != 503, "{name}: {status}");
        assert!(bed.no_backend_connected(), "{name}: retried");
    }
}

/// A request that never ran is retried, also a non-idempotent one.
#[test]
fn non_idempotent_request_that_never_ran_is_retried() {
    for status in [503, 504] {
        let bed = TestBed::new(2);
        let mut client = bed.program.client();
        client.write(request_of("id-1", "charge", "wide", LONG_TIMEOUT));
        let (first, mut backend) = bed.accept_any();
        backend.read();
        backend.respond(status, "Not-Started: 1\r\n", "");
        // The backend that rejected the request gets no more requests for a while.
        let mut backend = bed.backends[1 - first].accept();
        assert_eq!(backend.read().header("request-id"), Some("id-1"));
        backend.respond(200, "", "done");
        assert_eq!(client.read().status(), 200, "{status}");
    }
}

/// A non-idempotent request whose connection was refused never ran, so it may be rejected.
#[test]
fn refused_connection_counts_as_never_run() {
    let discovery = Listener::new();
    let (refusing, _socket) = refusing_address();
    let program = Program::start(
        settings(),
        discovery.address(),
        members(1, true, &[member("s", refusing, "up")]),
    );
    let mut client = program.client();
    client.write(request_of("id-1", "charge", "wide", LONG_TIMEOUT));
    assert_eq!(client.read().status(), 429);
}

/// No request is written to a connection that the backend closed while it was idle.
#[test]
fn closed_idle_connection_is_not_reused() {
    let bed = TestBed::new(1);
    let (mut client, mut backend) = bed.hold_request("id-1");
    backend.respond(200, "", "one");
    assert_eq!(client.read().body, b"one");
    backend
        .reader
        .get_mut()
        .shutdown(std::net::Shutdown::Write)
        .unwrap();
    // The gateway has seen the end of the connection once it has closed its own side.
    backend.expect_end();
    client.write(request_of("id-2", "charge", "wide", LONG_TIMEOUT));
    let mut backend = bed.backends[0].accept();
    assert_eq!(backend.read().header("request-id"), Some("id-2"));
    backend.respond(200, "", "two");
    assert_eq!(client.read().body, b"two");
}

/// An attempt at a backend that does not respond is ended by closing its connection, and the client
/// has its response before its timeout; a late response is dropped, and the next request gets its
/// own.
#[test]
fn unresponsive_backend_times_out_and_its_late_response_is_dropped() {
    let bed = TestBed::new(1);
    let mut client = bed.program.client();
    let started = std::time::Instant::now();
    client.write(request_of("id-1", "charge", "wide", "2.5"));
    let mut backend = bed.backends[0].accept();
    backend.read();
    let response = client.read();
    assert!(
        response.status() >= 500 && response.status() != 503,
        "{}",
        response.status()
    );
    assert!(
        started.elapsed().as_secs_f64() >= 2.3,
        "the attempt ended early"
    );
    // The response may cross the close of the connection; the client must not see it in either
    // case.
    let _ = std::io::Write::write_all(
        backend.reader.get_mut(),
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate",
    );
    backend.expect_end();
    client.write(request_of("id-2", "charge", "wide", LONG_TIMEOUT));
    let mut backend = bed.backends[0].accept();
    assert_eq!(backend.read().header("request-id"), Some("id-2"));
    backend.respond(200, "", "own");
    assert_eq!(client.read().body, b"own");
}

/// A backend hangs on one class and serves the others: the next request of that class goes to the
/// other backend, although that one is busier, and the other classes are still sent to the first.
#[test]
fn class_that_times_out_at_a_backend_is_sent_to_another() {
    let bed = TestBed::new(2);
    let mut client = bed.program.client();
    client.write(request_of("id-1", "charge", "wide", "2"));
    let (hung_index, mut backend) = bed.accept_any();
    backend.read();
    assert!(client.read().status() >= 500);
    let mut other_client = bed.program.client();
    other_client.write(request_of("id-2", "charge", "wide", LONG_TIMEOUT));
    let mut first = bed.backends[1 - hung_index].accept();
    assert_eq!(first.read().header("request-id"), Some("id-2"));
    let mut backend: Option<Connection> = None;
    for i in 0..150 {
        client.write(request_of(
            &format!("read-{i}"),
            "read",
            "wide",
            LONG_TIMEOUT,
        ));
        let backend = backend.get_or_insert_with(|| bed.backends[hung_index].accept());
        backend.read();
        backend.respond(200, "", "good");
        assert_eq!(client.read().body, b"good");
    }
    client.write(request_of("id-3", "charge", "wide", LONG_TIMEOUT));
    let mut second = bed.backends[1 - hung_index].accept();
    assert_eq!(second.read().header("request-id"), Some("id-3"));
    second.respond(200, "", "done");
    assert_eq!(client.read().body, b"done");
}

/// When a client disconnects, its attempt is cancelled long before its deadline.
#[test]
fn client_that_disconnects_ends_its_attempt() {
    let mut settings = settings();
    for key in ["aim", "give_up"] {
        settings["grades"][0][key] = 600_000.0.into();
    }
    let bed = TestBed::with(settings, 1);
    let mut client = bed.program.client();
    client.write(request_of("id-1", "read", "wide", "600"));
    let mut backend = bed.backends[0].accept();
    backend.read();
    drop(client);
    backend.expect_end();
    // The gateway still serves requests.
    let mut client = bed.program.client();
    client.write(request_of("id-2", "read", "wide", LONG_TIMEOUT));
    let mut backend = bed.backends[0].accept();
    assert_eq!(backend.read().header("request-id"), Some("id-2"));
    backend.respond(200, "", "ok");
    assert_eq!(client.read().status(), 200);
}

/// A gateway that is short of sockets does not blame its backends: without capacity for a further
/// connection a request is rejected at once, and no backend is ejected.
#[test]
fn own_shortage_of_sockets_does_not_eject_a_backend() {
    let discovery = Listener::new();
    let backend = Listener::new();
    let known = members(1, true, &[member("s-0", backend.address(), "up")]);
    // Sockets for three connections to backends.
    let mut program = Program::start_with_socket_limit(32, settings(), discovery.address(), known);
    let mut held = Vec::new();
    for id in 0..3 {
        let mut client = program.client();
        client.write(request_of(
            &format!("id-{id}"),
            "charge",
            "wide",
            LONG_TIMEOUT,
        ));
        let mut connection = backend.accept();
        connection.read();
        held.push((client, connection));
    }
    let mut client = program.client();
    client.write(request_of("id-3", "charge", "wide", LONG_TIMEOUT));
    assert_eq!(client.read().status(), 429);
    for (mut client, mut connection) in held {
        connection.respond(200, "", "ok");
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

/// An attempt that hangs does not use up its request's time: an idempotent one is ended by closing
/// its connection, and then another backend serves the request well before its client's timeout.
#[test]
fn hung_attempt_ends_in_time_for_a_retry() {
    let mut settings = settings();
    settings["fleet_size"] = 1.into();
    settings["grades"][0]["aim"] = 600.0.into();
    settings["grades"][0]["late_worth"] = 0.5.into();
    let bed = TestBed::with(settings, 2);
    let mut client = bed.program.client();
    client.write(request_of("id-1", "read", "wide", LONG_TIMEOUT));
    let (first, mut hung) = bed.accept_any();
    hung.read();
    let mut other = bed.backends[1 - first].accept();
    hung.expect_end();
    assert_eq!(other.read().header("request-id"), Some("id-1"));
    other.respond(200, "", "in time");
    assert_eq!(client.read().body, b"in time");
}
