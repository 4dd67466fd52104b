//! Drains reported at difficult moments: the whole program over loopback sockets, with fake
//! discovery agents.

mod sockets;

use serde_json::json;
use sockets::*;

/// An entry that cannot be used does not invalidate the rest of its line, and its drain is applied
/// although its other fields are malformed.
#[test]
fn unusable_entry_is_skipped_but_its_drain_is_applied() {
    let mut bed = TestBed::new(3);
    let entry =
        |at: usize, health: &str| member(&format!("s-{at}"), bed.backends[at].address(), health);
    let mut malformed = entry(1, "draining");
    malformed["dial"] = json!("nowhere");
    let hosts = [
        json!({"host": "s-9", "health": "up"}),
        entry(0, "draining"),
        malformed,
    ];
    bed.watch.send_line(&members(8, false, &hosts).to_string());
    let mut log = String::new();
    for _ in 0..2 {
        log += &bed.program.log_line();
    }
    assert!(
        log.contains("s-9: passed over: ") && log.contains("s-1: passed over: "),
        "{log}"
    );
    // Both drains of the line apply: all requests go to the third backend, and are rejected once
    // the same watch reports that the third drains too.
    let line = members(9, false, &[entry(2, "draining")]).to_string();
    let mut probe = TrafficProbe::new(&bed.program, &bed.backends);
    assert!(
        probe.send_until_all_reach(2).is_empty(),
        "a draining backend got a request"
    );
    bed.watch.send_line(&line);
    assert!(probe.send_until_rejected().iter().all(|at| *at == 2));
}

/// A gateway that shuts down still serves requests, so it follows discovery to a new address and
/// applies drains from there.
#[test]
fn stopping_gateway_follows_discovery_and_applies_drains() {
    let mut bed = TestBed::new(1);
    let (mut client, mut backend) = bed.hold_request("id-1");
    bed.program.terminate();
    assert_eq!(bed.program.log_line(), "n0: stopping\n");
    let new_agent = Listener::new();
    let mut config = bed.program.config.clone();
    config["discovery"] = new_agent.address().to_string().into();
    bed.program.reload(&config.to_string());
    let connection = new_agent.accept_list_request("?watch=1&from=7");
    bed.watch.expect_end();
    let mut watch = AgentWatch::begin(connection);
    watch.send_line(
        &members(
            8,
            false,
            &[member("s-0", bed.backends[0].address(), "draining")],
        )
        .to_string(),
    );
    watch.end();
    // The gateway's request for changes from version 8 shows that it has applied the line.
    new_agent.accept_list_request("?watch=1&from=8");
    // The gateway still accepts connections for a while and rejects what it cannot forward. Once it
    // no longer accepts, there is nothing to check.
    if let Ok(stream) = std::net::TcpStream::connect(bed.program.address) {
        let mut late_client = Connection::new(stream);
        late_client.write(request_of("id-2", "read", "wide", LONG_TIMEOUT));
        wait_for("a response or the end of the connection", || {
            late_client.is_readable().then_some(())
        });
        assert!(
            bed.no_backend_connected(),
            "a request was forwarded to a draining backend"
        );
    }
    backend.respond(200, "", "kept");
    assert_eq!(client.read().body, b"kept");
    assert_eq!(bed.program.wait().code(), Some(0));
}

fn member_list(bed: &TestBed, seq: u64, whole: bool, states: &[&str]) -> String {
    let hosts = states
        .iter()
        .enumerate()
        .filter(|(_, state)| !state.is_empty());
    let hosts: Vec<_> = hosts
        .map(|(at, state)| member(&format!("s-{at}"), bed.backends[at].address(), state))
        .collect();
    members(seq, whole, &hosts).to_string()
}

/// A drain is kept when the gateway moves to an agent with an older list: asked for a version that
/// it has not reached, this agent sends its full list, in which the backend is still up.
#[test]
fn stale_agent_does_not_revert_a_drain() {
    let mut bed = TestBed::new(2);
    let drain = member_list(&bed, 9, false, &["draining"]);
    bed.watch.send_line(&drain);
    // Once the drain is applied, all requests go to the other backend.
    TrafficProbe::new(&bed.program, &bed.backends).send_until_all_reach(1);
    let new_agent = Listener::new();
    let mut config = bed.program.config.clone();
    config["discovery"] = new_agent.address().to_string().into();
    wait_for("the watch at the new agent, with the line applied", || {
        bed.program.reload(&config.to_string());
        let mut connection = new_agent.accept();
        let first_line = connection.read().first_line;
        (first_line == "GET /catalog/members?watch=1&from=9 HTTP/1.1")
            .then(|| bed.watch = AgentWatch::begin(connection))
    });
    // The older list's drain of the second backend is applied, which shows that the list has been
    // read; its `up` entry for the first backend is not.
    bed.watch
        .send_line(&member_list(&bed, 8, true, &["up", "draining"]));
    let lines = [
        member_list(&bed, 9, false, &["draining"]),
        member_list(&bed, 10, false, &["", "up"]),
        member_list(&bed, 11, false, &["up", "draining"]),
    ];
    let mut probe = TrafficProbe::new(&bed.program, &bed.backends);
    assert!(
        !probe.send_until_rejected().contains(&0),
        "an older list ended a drain"
    );
    // The second agent reaches the first agent's version and passes it.
    bed.watch.send_line(&lines[0]);
    bed.watch.send_line(&lines[1]);
    assert!(
        !probe.send_until_all_reach(1).contains(&0),
        "a drain ended while the agent caught up"
    );
    // A newer entry for the first backend ends its drain.
    bed.watch.send_line(&lines[2]);
    probe.send_until_all_reach(0);
}

/// The agent may vanish without closing the watch just as a drain is reported: the gateway sends a
/// second request well before a reported drain must be applied, and continues with the connection
/// that responds first.
#[test]
fn agent_that_misses_a_heartbeat_gets_a_second_request() {
    let mut bed = TestBed::new(2);
    let started = std::time::Instant::now();
    bed.watch.send_line(&member_list(&bed, 8, false, &["up"]));
    bed.watch.stop_sending();
    let mut second_watch = AgentWatch::begin(bed.discovery.accept_list_request("?watch=1&from=8"));
    let reopened_after = started.elapsed();
    assert!(
        !bed.watch.has_ended(),
        "the first watch was closed before the second request"
    );
    second_watch.send_line(&member_list(&bed, 9, false, &["draining"]));
    bed.watch.expect_end();
    TrafficProbe::new(&bed.program, &bed.backends).send_until_all_reach(1);
    // The second request to the agent is not sent before a heartbeat was missed; its delay has no
    // upper bound, since the machine may be slow.
    assert!(
        reopened_after.as_secs_f64() > 2.0,
        "second request after {reopened_after:?}"
    );
}

/// A gateway restarted after discovery has moved, with a variable that still holds the old address,
/// uses the address in its configuration file.
#[test]
fn second_address_of_discovery_is_used_where_the_first_refuses() {
    let (refusing, _socket) = refusing_address();
    let discovery = Listener::new();
    let old = refusing.to_string();
    let known = serde_json::Value::Null;
    let variables = [("BALANCER_DISCOVERY", old.as_str())];
    let program =
        Program::start_with_variables(&variables, 256, settings(), discovery.address(), known);
    let mut connection = discovery.accept_list_request("");
    let backend = Listener::new();
    connection.respond(
        200,
        "",
        &members(4, true, &[member("s-0", backend.address(), "up")]).to_string(),
    );
    discovery.accept_list_request("?watch=1&from=4");
    drop(program);
}

/// A configuration file that was incomplete at SIGHUP is read again without a second signal.
#[test]
fn file_written_after_its_signal_is_reloaded() {
    let mut bed = TestBed::new(1);
    let new_agent = Listener::new();
    let mut config = bed.program.config.clone();
    config["discovery"] = new_agent.address().to_string().into();
    let text = config.to_string();
    bed.program.reload(&text[..text.len() / 2]);
    assert!(bed.program.log_line().contains("old configuration goes on"));
    bed.program.replace_config(&text);
    new_agent.accept_list_request("?watch=1&from=7");
    bed.watch.expect_end();
}

/// Lists of gateways and backends are not truncated: a fleet of 350 gateways and 2,048 backends, of
/// which all but one drain. The one that is up is last, both in the list that the gateway starts
/// with and in the agent's.
#[test]
fn list_of_two_thousand_backends_is_applied_to_its_last_entry() {
    const COUNT: usize = 2048;
    let backends = [Listener::new(), Listener::new()];
    // Nothing listens on these addresses, and no request may go to them.
    let unused_address =
        |n: usize| std::net::SocketAddr::from(([127, 9, (n >> 8) as u8, n as u8], 9));
    let hosts = |last: &Listener, health: &str| {
        let mut hosts: Vec<_> = (1..COUNT)
            .map(|n| member(&format!("a-{n}"), unused_address(n), "draining"))
            .collect();
        hosts.push(member("z", last.address(), health));
        hosts
    };
    let mut settings = settings();
    settings["fleet_size"] = json!(350);
    settings["me"] = json!(349);
    let discovery = Listener::new();
    let known = members(7, true, &hosts(&backends[0], "up"));
    let program = Program::start(settings, discovery.address(), known);
    let mut watch = AgentWatch::begin(discovery.accept_list_request("?watch=1&from=7"));
    let mut probe = TrafficProbe::new(&program, &backends);
    assert!(probe.send_until_all_reach(0).is_empty());
    let mut list = hosts(&backends[0], "draining");
    list.push(member("zz", backends[1].address(), "up"));
    watch.send_line(&members(8, true, &list).to_string());
    probe.send_until_all_reach(1);
    watch.send_line(
        &members(9, false, &[member("zz", backends[1].address(), "draining")]).to_string(),
    );
    assert!(probe.send_until_rejected().iter().all(|at| *at == 1));
}
