//! Drains told in awkward moments: the whole daemon over loopback sockets, with agents played by hand.

mod sockets;

use serde_json::json;
use sockets::*;

/// Longer than any test waits for.
const LONG: &str = "8.000";

/// Guards the rest of a line against one entry that cannot be used, and stops against what else is spoilt in theirs.
#[test]
fn a_spoilt_entry_is_passed_over_and_its_stop_is_heard() {
    let mut scene = Scene::new(3);
    let entry = |at: usize, health: &str| member(&format!("s-{at}"), scene.backends[at].address(), health);
    let mut spoilt = entry(1, "draining");
    spoilt["dial"] = json!("nowhere");
    let hosts = [json!({"host": "s-9", "health": "up"}), entry(0, "draining"), spoilt];
    scene.watch.line(&members(8, false, &hosts).to_string());
    let mut said = String::new();
    for _ in 0..2 {
        said += &scene.program.log_line();
    }
    assert!(said.contains("s-9: passed over: ") && said.contains("s-1: passed over: "), "{said}");
    // Both drains are in force with that line: all goes to the third.
    let mut client = scene.program.client();
    for id in 0..10 {
        client.write(request_of(&format!("id-{id}"), "read", "wide", LONG));
        let mut backend = scene.backends[2].accept();
        backend.read();
        backend.answer(200, "Connection: close\r\n", "ok");
        assert_eq!(client.read().status(), 200);
    }
    assert!(scene.nobody_called(), "a backend that was told to be leaving got a request");
    // The watch is still the same one: nothing was asked anew.
    assert!(!scene.discovery.called());
}

/// Guards the last seconds of a front door: while it stops it still serves, so it follows discovery where that goes.
#[test]
fn a_door_that_is_stopping_follows_discovery_and_heeds_a_drain_told_there() {
    let mut scene = Scene::new(1);
    let mut client = scene.program.client();
    client.write(request_of("id-1", "charge", "wide", LONG));
    let mut backend = scene.backends[0].accept();
    backend.read();
    scene.program.terminate();
    assert_eq!(scene.program.log_line(), "n0: stopping\n");
    let moved = Place::new();
    let mut config = scene.program.config.clone();
    config["discovery"] = moved.address().to_string().into();
    scene.program.reload(&config.to_string());
    let mut wire = moved.accept();
    assert_eq!(wire.read().first, "GET /catalog/members?watch=1&from=7 HTTP/1.1");
    scene.watch.0.expect_end();
    let mut watch = Watch::begin(wire);
    watch.line(&members(8, false, &[member("s-0", scene.backends[0].address(), "draining")]).to_string());
    watch.0.write("0\r\n\r\n");
    drop(watch);
    // Asking from 8 shows that the line has been taken in.
    assert_eq!(moved.accept().read().first, "GET /catalog/members?watch=1&from=8 HTTP/1.1");
    // It still accepts for a while, and turns down what it may not send on. Where it has ceased to, there is nothing to say.
    if let Ok(stream) = std::net::TcpStream::connect(scene.program.address) {
        let mut late = Wire::new(stream);
        late.write(request_of("id-2", "read", "wide", LONG));
        wait_for("an answer or an end", || late.speaks().then_some(()));
        assert!(scene.nobody_called(), "a request went to a backend that is leaving");
    }
    backend.answer(200, "", "kept");
    assert_eq!(client.read().body, b"kept");
    assert_eq!(scene.program.wait().code(), Some(0));
}
