//! Bounds on connections of clients.

use crate::sockets::*;
use std::io::Read;

/// Guards against a front door full of idle connections: a new client gets in all the same.
#[test]
fn idle_connections_are_closed_for_new_clients() {
    let discovery = Listener::new();
    let backend = Listener::new();
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
fn stalled_requests_are_closed_for_new_clients() {
    let discovery = Listener::new();
    let backend = Listener::new();
    let known = members(1, true, &[member("s-0", backend.address(), "up")]);
    let program = Program::start_within(64, settings(), discovery.address(), known);
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

/// Guards against clients that hold connections and never end a request: each is turned down or closed within 3 s
/// of its connect, whether it says nothing, half a head, a head without end or half a body; one that has been
/// served may stay.
#[test]
fn connection_without_a_complete_request_is_closed_in_time() {
    let scene = TestBed::new(1);
    let mut usual = scene.program.client();
    let health = "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n";
    usual.write(health);
    usual.read();
    let good = request_of("id-1", "charge", "wide", LONG_TIMEOUT);
    let begun = std::time::Instant::now();
    let mut clients: Vec<Connection> = ["", &good[..40], &good[..good.len() - 2]]
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
fn silent_connections_are_closed_before_used_ones() {
    let discovery = Listener::new();
    let backend = Listener::new();
    let known = members(1, true, &[member("s-0", backend.address(), "up")]);
    let program = Program::start_within(64, settings(), discovery.address(), known);
    let health = "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n";
    let mut usual: Vec<Connection> = (0..8).map(|_| program.client()).collect();
    let mut ask = |silent: usize| {
        for client in &mut usual {
            client.write(health);
            assert_eq!(client.read().status(), 200, "after {silent} silent ones");
        }
    };
    ask(0);
    let held: Vec<Connection> = (1..=60)
        .map(|number| {
            let client = program.client();
            ask(number);
            client
        })
        .collect();
    drop(held);
}
