//! Limits on client connections.

use crate::sockets::*;
use std::io::Read;

/// A gateway full of idle connections still accepts a new client.
#[test]
fn idle_connections_are_closed_for_new_clients() {
    let discovery = Listener::new();
    let backend = Listener::new();
    let known = members(1, true, &[member("s-0", backend.address(), "up")]);
    // Few enough descriptors that 60 connections exceed the limit.
    let mut program = Program::start_with_socket_limit(64, settings(), discovery.address(), known);
    let mut open = Vec::new();
    for _ in 0..60 {
        let mut client = program.client();
        client.write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
        assert_eq!(client.read().status(), 200);
        open.push(client);
    }
    assert!(
        program.child.try_wait().unwrap().is_none(),
        "the program exited"
    );
}

/// Connections with an incomplete request are closed for new clients at the limit, too.
#[test]
fn stalled_requests_are_closed_for_new_clients() {
    let discovery = Listener::new();
    let backend = Listener::new();
    let known = members(1, true, &[member("s-0", backend.address(), "up")]);
    let program = Program::start_with_socket_limit(64, settings(), discovery.address(), known);
    let stalled: Vec<Connection> = (0..40)
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

/// A connection without a complete request is rejected or closed within 3 s of its connect, whether
/// it sends nothing, half a head, an endless head or half a body; one that has been served may
/// stay.
#[test]
fn connection_without_a_complete_request_is_closed_in_time() {
    let bed = TestBed::new(1);
    let mut used = bed.program.client();
    let health = "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n";
    used.write(health);
    used.read();
    let good = request_of("id-1", "charge", "wide", LONG_TIMEOUT);
    let started = std::time::Instant::now();
    let mut clients: Vec<Connection> = ["", &good[..40], &good[..good.len() - 2]]
        .iter()
        .map(|text| {
            let mut client = bed.program.client();
            client.write(text);
            client
        })
        .collect();
    let mut endless = bed.program.client();
    endless.write(&good[..good.len() - 9]);
    // This client keeps sending, so that no idle timeout detects it.
    let end = wait_for("the end of a connection with an endless head", || {
        let wrote = std::io::Write::write_all(endless.reader.get_mut(), b"X: y\r\n");
        std::thread::sleep(std::time::Duration::from_millis(50));
        (wrote.is_err() || endless.is_readable()).then(|| started.elapsed().as_secs_f64())
    });
    assert!(end > 1.0, "closed after {end} s");
    let mut status_lines = Vec::new();
    for client in &mut clients {
        let mut text = String::new();
        let _ = client.reader.read_to_string(&mut text);
        status_lines.push(text.lines().next().unwrap_or_default().to_owned());
    }
    assert_eq!(status_lines, ["", "", "HTTP/1.1 408 Request Timeout"]);
    // A wide bound for a busy machine: the test guards against a connection that stays open.
    assert!(started.elapsed().as_secs_f64() < 8.0);
    used.write(health);
    assert_eq!(used.read().status(), 200);
    assert!(bed.no_backend_connected());
}

/// At the limit, connections without a request are closed before those that have had one.
#[test]
fn unused_connections_are_closed_before_used_ones() {
    let discovery = Listener::new();
    let backend = Listener::new();
    let known = members(1, true, &[member("s-0", backend.address(), "up")]);
    let program = Program::start_with_socket_limit(64, settings(), discovery.address(), known);
    let health = "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n";
    let mut used: Vec<Connection> = (0..8).map(|_| program.client()).collect();
    let mut check_health = |unused: usize| {
        for client in &mut used {
            client.write(health);
            assert_eq!(client.read().status(), 200, "after {unused} unused ones");
        }
    };
    check_health(0);
    let open: Vec<Connection> = (1..=60)
        .map(|number| {
            let client = program.client();
            check_health(number);
            client
        })
        .collect();
    drop(open);
}
