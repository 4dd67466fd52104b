//! Start, reload, shutdown and the command line.

use crate::sockets::*;
use std::io::Read;
use std::process::ExitStatus;

/// Guards the planned restart: what was taken is answered, connections go on coming for a while, answers
/// close theirs, and the program ends by itself with 0.
#[test]
fn sigterm_answers_accepted_requests_and_exits_with_0() {
    let mut scene = TestBed::new(1);
    let mut idle = scene.program.client();
    idle.write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(idle.read().header("connection"), None);
    let mut unused = scene.program.client();
    let (mut client, mut backend) = scene.hold("id-1");
    scene.program.terminate();
    assert_eq!(scene.program.log_line(), "n0: stopping\n");
    let mut late = scene.program.client();
    late.write(request_of("id-2", "charge", "wide", LONG_TIMEOUT));
    let mut second = scene.backends[0].accept();
    assert_eq!(second.read().header("request-id"), Some("id-2"));
    let kept = |backend: &mut Connection, client: &mut Connection| {
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

/// Guards the start: what cannot be used is told on one plain line, and the program ends.
#[test]
fn bad_configuration_is_one_line_and_an_exit_code() {
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
fn new_configuration_moves_the_watch_and_a_bad_one_does_not() {
    let mut scene = TestBed::new(1);
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
    let moved = Listener::new();
    let hosts = [member("s-0", moved.address(), "up")];
    scene.watch.line(&members(8, false, &hosts).to_string());
    let fresh = Listener::new();
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

/// Guards people at a terminal: the program tells what it is, checks a file and all its mistakes, and turns down words that
/// it does not know rather than serve.
#[test]
fn command_line_helps_and_checks() {
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
