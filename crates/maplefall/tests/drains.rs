//! Drains told in awkward moments: the whole daemon over loopback sockets, with agents played by hand.

mod sockets;

use serde_json::json;
use sockets::*;

/// Guards the rest of a line against one entry that cannot be used, and stops against what else is spoilt in theirs.
#[test]
fn unusable_entry_is_skipped_and_its_stop_is_applied() {
    let mut scene = TestBed::new(3);
    let entry =
        |at: usize, health: &str| member(&format!("s-{at}"), scene.backends[at].address(), health);
    let mut spoilt = entry(1, "draining");
    spoilt["dial"] = json!("nowhere");
    let hosts = [
        json!({"host": "s-9", "health": "up"}),
        entry(0, "draining"),
        spoilt,
    ];
    scene.watch.line(&members(8, false, &hosts).to_string());
    let mut said = String::new();
    for _ in 0..2 {
        said += &scene.program.log_line();
    }
    assert!(
        said.contains("s-9: passed over: ") && said.contains("s-1: passed over: "),
        "{said}"
    );
    // Both drains are in force with that line: all goes to the third, and nothing when that drains too, by the same watch.
    let line = members(9, false, &[entry(2, "draining")]).to_string();
    let mut asking = OpenBackends::new(&scene.program, &scene.backends);
    assert!(
        asking.only(2).is_empty(),
        "a backend that was told to be leaving got a request"
    );
    scene.watch.line(&line);
    assert!(asking.refused().iter().all(|at| *at == 2));
}

/// Guards the last seconds of a front door: while it stops it still serves, so it follows discovery where that goes.
#[test]
fn draining_process_follows_discovery_and_applies_drains() {
    let mut scene = TestBed::new(1);
    let (mut client, mut backend) = scene.hold("id-1");
    scene.program.terminate();
    assert_eq!(scene.program.log_line(), "n0: stopping\n");
    let moved = Listener::new();
    let mut config = scene.program.config.clone();
    config["discovery"] = moved.address().to_string().into();
    scene.program.reload(&config.to_string());
    let wire = moved.asked("?watch=1&from=7");
    scene.watch.expect_end();
    let mut watch = AgentWatch::begin(wire);
    watch.line(
        &members(
            8,
            false,
            &[member("s-0", scene.backends[0].address(), "draining")],
        )
        .to_string(),
    );
    watch.end();
    // OpenBackends from 8 shows that the line has been taken in.
    moved.asked("?watch=1&from=8");
    // It still accepts for a while, and turns down what it may not send on. Where it has ceased to, there is nothing to say.
    if let Ok(stream) = std::net::TcpStream::connect(scene.program.address) {
        let mut late = Connection::new(stream);
        late.write(request_of("id-2", "read", "wide", LONG_TIMEOUT));
        wait_for("an answer or an end", || late.speaks().then_some(()));
        assert!(
            scene.nobody_called(),
            "a request went to a backend that is leaving"
        );
    }
    backend.answer(200, "", "kept");
    assert_eq!(client.read().body, b"kept");
    assert_eq!(scene.program.wait().code(), Some(0));
}

fn list(scene: &TestBed, seq: u64, whole: bool, states: &[&str]) -> String {
    let hosts = states
        .iter()
        .enumerate()
        .filter(|(_, state)| !state.is_empty());
    let hosts: Vec<_> = hosts
        .map(|(at, state)| member(&format!("s-{at}"), scene.backends[at].address(), state))
        .collect();
    members(seq, whole, &hosts).to_string()
}

/// Guards a drain against an agent that is behind the one that told it: asked from a version that it has not reached, it
/// gives its whole list, in which the backend still stands as up.
#[test]
fn stale_agent_does_not_revert_a_drain() {
    let mut scene = TestBed::new(2);
    let told = list(&scene, 9, false, &["draining"]);
    scene.watch.line(&told);
    // Once it is heard, all goes to the other.
    OpenBackends::new(&scene.program, &scene.backends).only(1);
    let moved = Listener::new();
    let mut config = scene.program.config.clone();
    config["discovery"] = moved.address().to_string().into();
    wait_for("the move, with the line taken in", || {
        scene.program.reload(&config.to_string());
        let mut wire = moved.accept();
        let first = wire.read().first;
        (first == "GET /catalog/members?watch=1&from=9 HTTP/1.1")
            .then(|| scene.watch = AgentWatch::begin(wire))
    });
    // What its list stops is stopped, which shows that it has been read; what it calls up is not.
    scene
        .watch
        .line(&list(&scene, 8, true, &["up", "draining"]));
    let lines = [
        list(&scene, 9, false, &["draining"]),
        list(&scene, 10, false, &["", "up"]),
        list(&scene, 11, false, &["up", "draining"]),
    ];
    let mut asking = OpenBackends::new(&scene.program, &scene.backends);
    assert!(
        !asking.refused().contains(&0),
        "a drain was taken back by an older list"
    );
    // It catches up with what the other agent had told, and passes it.
    scene.watch.line(&lines[0]);
    scene.watch.line(&lines[1]);
    assert!(
        !asking.only(1).contains(&0),
        "a drain was taken back on the way"
    );
    // A newer word takes it back.
    scene.watch.line(&lines[2]);
    asking.only(0);
}

/// Guards against a watch whose other end has vanished without a word just when a drain is told: the agent is asked a second
/// time long before what it has to tell counts as told, and whoever speaks first goes on.
#[test]
fn agent_that_misses_a_heartbeat_is_polled_beside_the_open_call() {
    let mut scene = TestBed::new(2);
    let begun = std::time::Instant::now();
    scene.watch.line(&list(&scene, 8, false, &["up"]));
    scene.watch.fall_silent();
    let mut beside = AgentWatch::begin(scene.discovery.asked("?watch=1&from=8"));
    let asked = begun.elapsed();
    assert!(
        !scene.watch.has_ended(),
        "the first call was given up before the second was made"
    );
    beside.line(&list(&scene, 9, false, &["draining"]));
    scene.watch.expect_end();
    OpenBackends::new(&scene.program, &scene.backends).only(1);
    // Not before a heartbeat was missed; how soon after it, a slow machine may not tell.
    assert!(asked.as_secs_f64() > 2.0, "asked again after {asked:?}");
}

/// Guards a door that is started again after discovery has moved, with a variable that still tells the old place.
#[test]
fn second_address_of_discovery_is_used_where_the_first_refuses() {
    let (gone, _held) = refusing_address();
    let discovery = Listener::new();
    let old = gone.to_string();
    let known = serde_json::Value::Null;
    let variables = [("BALANCER_DISCOVERY", old.as_str())];
    let program = Program::start_with(&variables, 256, settings(), discovery.address(), known);
    let mut wire = discovery.asked("");
    let backend = Listener::new();
    wire.answer(
        200,
        "",
        &members(4, true, &[member("s-0", backend.address(), "up")]).to_string(),
    );
    discovery.asked("?watch=1&from=4");
    drop(program);
}

/// Guards a move whose file was not whole yet when the signal came: it is read again, with no second signal.
#[test]
fn file_written_after_its_signal_is_reloaded() {
    let mut scene = TestBed::new(1);
    let moved = Listener::new();
    let mut config = scene.program.config.clone();
    config["discovery"] = moved.address().to_string().into();
    let text = config.to_string();
    scene.program.reload(&text[..text.len() / 2]);
    assert!(scene
        .program
        .log_line()
        .contains("old configuration goes on"));
    scene.program.replace_config(&text);
    moved.asked("?watch=1&from=7");
    scene.watch.expect_end();
}

/// Guards size: no list of doors or backends is cut short. A fleet of 350 doors with 2,048 backends, of which all but one drain; the
/// one that is up stands last, in the list that the front door starts with and in the agent's.
#[test]
fn list_of_two_thousand_backends_is_applied_to_its_last_entry() {
    const COUNT: usize = 2048;
    let backends = [Listener::new(), Listener::new()];
    // Nobody listens there, and nobody is to be asked there.
    let elsewhere = |n: usize| std::net::SocketAddr::from(([127, 9, (n >> 8) as u8, n as u8], 9));
    let hosts = |last: &Listener, health: &str| {
        let mut hosts: Vec<_> = (1..COUNT)
            .map(|n| member(&format!("a-{n}"), elsewhere(n), "draining"))
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
    let mut watch = AgentWatch::begin(discovery.asked("?watch=1&from=7"));
    let mut asking = OpenBackends::new(&program, &backends);
    assert!(asking.only(0).is_empty());
    let mut list = hosts(&backends[0], "draining");
    list.push(member("zz", backends[1].address(), "up"));
    watch.line(&members(8, true, &list).to_string());
    asking.only(1);
    watch.line(&members(9, false, &[member("zz", backends[1].address(), "draining")]).to_string());
    assert!(asking.refused().iter().all(|at| *at == 1));
}
