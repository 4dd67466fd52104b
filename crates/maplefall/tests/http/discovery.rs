//! The list of backends: drains, watches and readiness.

use crate::sockets::*;

/// Guards drains: once told, a draining backend gets nothing new and its idle connection is closed; with no
/// backend left a request is refused at once.
#[test]
fn draining_backend_gets_nothing_new() {
    let mut scene = TestBed::new(1);
    let mut client = scene.program.client();
    client.write(request_of("id-1", "read", "wide", LONG_TIMEOUT));
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
    client.write(request_of("id-2", "read", "wide", LONG_TIMEOUT));
    assert_eq!(client.read().status(), 429);
    assert!(scene.nobody_called());
    // Told that it is back, the front door sends again; until the line has come, it refuses.
    scene
        .watch
        .line(&members(9, true, &[member("s-0", scene.backends[0].address(), "up")]).to_string());
    let mut backend = (3..)
        .find_map(|id| {
            client.write(request_of(
                &format!("id-{id}"),
                "read",
                "wide",
                LONG_TIMEOUT,
            ));
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
fn backend_that_drains_while_it_is_dialed_gets_nothing() {
    let discovery = Listener::new();
    let (backend, fillers) = listener_with_full_backlog();
    let up = [member("s-0", backend.address(), "up")];
    let program = Program::start(settings(), discovery.address(), members(7, true, &up));
    let mut wire = discovery.accept();
    wire.read();
    let mut watch = AgentWatch::begin(wire);
    let mut client = program.client();
    client.write(request_of("id-1", "charge", "wide", LONG_TIMEOUT));
    wait_for("a dial that hangs", || {
        has_pending_connect(backend.address()).then_some(())
    });
    watch.line(&members(8, false, &[member("s-0", backend.address(), "draining")]).to_string());
    watch.end();
    // OpenBackends from 8 shows that the line has been taken in.
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
fn watch_is_resumed_and_an_unreadable_line_fetches_the_full_list() {
    let mut scene = TestBed::new(1);
    let hosts = [member("s-0", scene.backends[0].address(), "up")];
    scene.watch.line("");
    scene.watch.line(&members(12, false, &hosts).to_string());
    scene.watch.end();
    let wire = scene.discovery.asked("?watch=1&from=12");
    let mut watch = AgentWatch::begin(wire);
    watch.line("{\"seq\":13,\"whole\":");
    let mut wire = scene.discovery.asked("");
    wire.answer(200, "", &members(20, true, &hosts).to_string());
    scene.discovery.asked("?watch=1&from=20");
}

/// Guards against a watch whose other end has vanished: it says nothing and does not end.
#[test]
fn silent_watch_is_reopened() {
    let mut scene = TestBed::new(1);
    scene.watch.fall_silent();
    scene.discovery.asked("?watch=1&from=7");
}

/// Guards the start: the front is told to come only when there is a list to serve from.
#[test]
fn readiness_waits_for_a_list() {
    let discovery = Listener::new();
    let program = Program::start(settings(), discovery.address(), serde_json::Value::Null);
    let mut wire = discovery.asked("");
    let mut client = program.client();
    let health = "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n";
    client.write(health);
    assert_eq!(client.read().status(), 503);
    let backend = Listener::new();
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
