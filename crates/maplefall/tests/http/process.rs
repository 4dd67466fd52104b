//! Start, reload, shutdown and the command line.

use crate::sockets::*;
use std::io::Read;
use std::process::ExitStatus;

/// On SIGTERM accepted requests are answered, connections are accepted for a while longer,
/// responses close their connections, and the program exits with 0.
#[test]
fn sigterm_answers_accepted_requests_and_exits_with_0() {
    let mut bed = TestBed::new(1);
    let mut idle = bed.program.client();
    idle.write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(idle.read().header("connection"), None);
    let mut unused = bed.program.client();
    let (mut client, mut backend) = bed.hold_request("id-1");
    bed.program.terminate();
    assert_eq!(bed.program.log_line(), "n0: stopping\n");
    let mut late = bed.program.client();
    late.write(request_of("id-2", "charge", "wide", LONG_TIMEOUT));
    let mut second = bed.backends[0].accept();
    assert_eq!(second.read().header("request-id"), Some("id-2"));
    let complete = |backend: &mut Connection, client: &mut Connection| {
        backend.respond(200, "", "kept");
        let response = client.read();
        assert_eq!(
            (response.status(), response.body.as_slice()),
            (200, &b"kept"[..])
        );
        assert_eq!(response.header("connection"), Some("close"));
        client.expect_end();
    };
    // One response is sent at once, the other after idle connections have been closed: both reach
    // their clients.
    complete(&mut second, &mut late);
    idle.expect_end();
    complete(&mut backend, &mut client);
    // A connection that never carried a request does not delay the exit.
    let started = std::time::Instant::now();
    assert_eq!(bed.program.wait().code(), Some(0));
    assert!(
        started.elapsed().as_secs_f64() < 5.0,
        "the exit waited for the unused connection"
    );
    unused.expect_end();
}

/// A configuration that cannot be used is reported on one line, and the program exits.
#[test]
fn bad_configuration_is_one_line_and_an_exit_code() {
    let valid = serde_json::json!({
        "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1", "limits": {"sockets": 256}, "settings": {},
    });
    let with = |key: &str, value: serde_json::Value| {
        let mut config = valid.clone();
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

/// SIGHUP interrupts nothing, a file that cannot be used changes nothing, and a new discovery
/// address is used at once, from the last version seen, although the variable still holds the old
/// one.
#[test]
fn new_configuration_moves_the_watch_and_a_bad_one_does_not() {
    let mut bed = TestBed::new(1);
    let (mut client, mut backend) = bed.hold_request("id-1");
    let mut config = bed.program.config.clone();
    for bad in [
        "{",
        "{\"seed\":\"1\",\"limits\":{\"sockets\":256},\"settings\":{},\"discovery\":\"x\"}",
    ] {
        bed.program.reload(bad);
        let line = bed.program.log_line();
        assert!(line.contains("old configuration goes on"), "{line}");
    }
    // After reloads of unusable files the old watch is still in use.
    let new_backend = Listener::new();
    let hosts = [member("s-0", new_backend.address(), "up")];
    bed.watch.send_line(&members(8, false, &hosts).to_string());
    let new_agent = Listener::new();
    config["discovery"] = new_agent.address().to_string().into();
    wait_for("the line to be applied", || {
        bed.program.reload(&config.to_string());
        let mut connection = new_agent.accept();
        let first_line = connection.read().first_line;
        (first_line == "GET /catalog/members?watch=1&from=8 HTTP/1.1")
            .then(|| bed.watch.expect_end())
    });
    // Requests accepted before the reload are answered.
    backend.respond(200, "", "kept");
    assert_eq!(client.read().body, b"kept");
}

/// The program prints its usage and version, reports all mistakes in a file, and rejects unknown
/// arguments instead of starting to serve.
#[test]
fn command_line_helps_and_checks() {
    let run = |arguments: &[&str]| {
        let output = std::process::Command::new(env!("CARGO_BIN_EXE_maplefall"))
            .args(arguments)
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
