//! The list of backends: drains, watches and readiness.

use crate::sockets::*;

/// A backend reported as draining gets nothing new and its idle connection is closed; with no
/// backend left a request is rejected at once.
#[test]
fn draining_backend_gets_nothing_new() {
    let mut bed = TestBed::new(1);
    let mut client = bed.program.client();
    client.write(request_of("id-1", "read", "wide", LONG_TIMEOUT));
    let mut backend = bed.backends[0].accept();
    backend.read();
    backend.respond(200, "", "ok");
    assert_eq!(client.read().status(), 200);
    let line = members(
        8,
        false,
        &[member("s-0", bed.backends[0].address(), "draining")],
    );
    bed.watch.send_line(&line.to_string());
    backend.expect_end();
    client.write(request_of("id-2", "read", "wide", LONG_TIMEOUT));
    assert_eq!(client.read().status(), 429);
    assert!(bed.no_backend_connected());
    // Once the backend is up again the gateway forwards to it; until the line has arrived, it
    // rejects.
    bed.watch.send_line(
        &members(9, true, &[member("s-0", bed.backends[0].address(), "up")]).to_string(),
    );
    let mut backend = (3..)
        .find_map(|id| {
            client.write(request_of(
                &format!("id-{id}"),
                "read",
                "wide",
                LONG_TIMEOUT,
            ));
            let accepted = bed.backends[0].accept_or_response(&client);
            if accepted.is_none() {
                assert_eq!(client.read().status(), 429);
            }
            accepted
        })
        .expect("a connection");
    backend.read();
    backend.respond(200, "", "back");
    assert_eq!(client.read().body, b"back");
}

/// The list may change while a connection is being established, so it is checked again before the
/// first byte is written. Nothing was sent, so the request is rejected.
#[test]
fn backend_that_drains_during_the_connect_gets_nothing() {
    let discovery = Listener::new();
    let (backend, fillers) = listener_with_full_backlog();
    let up = [member("s-0", backend.address(), "up")];
    let program = Program::start(settings(), discovery.address(), members(7, true, &up));
    let mut connection = discovery.accept();
    connection.read();
    let mut watch = AgentWatch::begin(connection);
    let mut client = program.client();
    client.write(request_of("id-1", "charge", "wide", LONG_TIMEOUT));
    wait_for("a dial that hangs", || {
        has_pending_connect(backend.address()).then_some(())
    });
    watch
        .send_line(&members(8, false, &[member("s-0", backend.address(), "draining")]).to_string());
    watch.end();
    // The gateway's request for changes from version 8 shows that it has applied the line.
    discovery.accept_list_request("?watch=1&from=8");
    for _ in &fillers {
        backend.accept();
    }
    backend.accept().expect_end();
    assert_eq!(client.read().status(), 429);
}

/// A watch that ends is resumed from the last version seen, and after an unreadable line the full
/// list is fetched.
#[test]
fn watch_is_resumed_and_an_unreadable_line_fetches_the_full_list() {
    let mut bed = TestBed::new(1);
    let hosts = [member("s-0", bed.backends[0].address(), "up")];
    bed.watch.send_line("");
    bed.watch.send_line(&members(12, false, &hosts).to_string());
    bed.watch.end();
    let connection = bed.discovery.accept_list_request("?watch=1&from=12");
    let mut watch = AgentWatch::begin(connection);
    watch.send_line("{\"seq\":13,\"whole\":");
    let mut connection = bed.discovery.accept_list_request("");
    connection.respond(200, "", &members(20, true, &hosts).to_string());
    bed.discovery.accept_list_request("?watch=1&from=20");
}

/// A watch whose peer has vanished sends nothing and does not end; it is reopened.
#[test]
fn watch_without_heartbeats_is_reopened() {
    let mut bed = TestBed::new(1);
    bed.watch.stop_sending();
    bed.discovery.accept_list_request("?watch=1&from=7");
}

/// The gateway reports readiness only once it has a list of backends.
#[test]
fn readiness_waits_for_a_list() {
    let discovery = Listener::new();
    let program = Program::start(settings(), discovery.address(), serde_json::Value::Null);
    let mut connection = discovery.accept_list_request("");
    let mut client = program.client();
    let health = "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n";
    client.write(health);
    assert_eq!(client.read().status(), 503);
    let backend = Listener::new();
    connection.respond(
        200,
        "",
        &members(1, true, &[member("s-0", backend.address(), "up")]).to_string(),
    );
    // The gateway's watch request shows that it has applied the list.
    discovery.accept_list_request("?watch=1&from=1");
    client.write(health);
    assert_eq!(client.read().status(), 200);
}
