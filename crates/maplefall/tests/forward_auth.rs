//! The gateway with callers checked by a fake authentication service that injects faults on
//! request.

mod sockets;

use maplefall_test_servers::auth::{Auth, Fault};
use maplefall_test_servers::wire::{Link, Message};
use sockets::{member, members, settings, Program};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

const TEST_TIMEOUT: Duration = Duration::from_secs(120);

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        tokio::time::timeout(TEST_TIMEOUT, test)
            .await
            .expect("the test ends within its timeout");
    });
}

fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

/// The requests that backends received, by request id.
type Attempts = Rc<RefCell<BTreeMap<String, Vec<Message>>>>;

/// A backend that responds to every request with 200 and the body `ok`.
async fn backend(listener: TcpListener, attempts: Attempts) {
    listener.set_nonblocking(true).unwrap();
    let listener = tokio::net::TcpListener::from_std(listener).unwrap();
    while let Ok((stream, _)) = listener.accept().await {
        let attempts = attempts.clone();
        tokio::task::spawn_local(async move {
            let mut link = Link::over(stream);
            while let Ok(message) = link.message().await {
                let id = message.header("request-id").unwrap().to_owned();
                attempts.borrow_mut().entry(id).or_default().push(message);
                if link
                    .write(b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok")
                    .await
                    .is_err()
                {
                    return;
                }
            }
        });
    }
}

struct TestBed {
    auth: Rc<Auth>,
    attempts: Attempts,
    program: Program,
}

/// Starts a gateway with two backends and this many authentication servers, with these further
/// lines in its forward authentication file.
fn test_bed(servers: usize, lines: &str) -> TestBed {
    test_bed_with(servers, lines, settings())
}

fn test_bed_with(servers: usize, lines: &str, settings: serde_json::Value) -> TestBed {
    static NEXT_FILE: AtomicU32 = AtomicU32::new(0);
    let auth = Auth::new(7);
    let mut urls = Vec::new();
    for _ in 0..servers {
        let listener = listener();
        urls.push(format!(
            "\"http://{}/auth\"",
            listener.local_addr().unwrap()
        ));
        tokio::task::spawn_local(auth.clone().serve(listener));
    }
    let attempts = Attempts::default();
    let hosts: Vec<serde_json::Value> = (0..2)
        .map(|n| {
            let listener = listener();
            let host = member(&format!("s-{n}"), listener.local_addr().unwrap(), "up");
            tokio::task::spawn_local(backend(listener, attempts.clone()));
            host
        })
        .collect();
    let number = NEXT_FILE.fetch_add(1, Ordering::Relaxed);
    let path = format!(
        "{}/auth-{}-{number}.toml",
        env!("CARGO_TARGET_TMPDIR"),
        std::process::id()
    );
    let text = format!(
        "servers = [{}]\ncredentials = [\"authorization\"]\nonward = [\"remote-user\"]\n{lines}\n[classes]\n\
         read = \"open\"\nextend = \"closed\"\ncharge = \"closed\"\n",
        urls.join(", ")
    );
    std::fs::write(&path, text).unwrap();
    // No discovery agent listens at this address; the gateway needs only the list that it starts
    // with.
    let no_agent: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let variables = [("MAPLEFALL_FORWARD_AUTH", path.as_str())];
    let program = Program::start_with_variables(
        &variables,
        1024,
        settings,
        no_agent,
        members(7, true, &hosts),
    );
    TestBed {
        auth,
        attempts,
        program,
    }
}

fn request(id: &str, class: &str, credential: &str, timeout: &str) -> String {
    let plain = sockets::request_of(id, class, "wide", timeout);
    plain.replacen(
        "\r\n",
        &format!("\r\nAuthorization: {credential}\r\nRemote-User: forged\r\n"),
        1,
    )
}

async fn send_request(program: &Program, id: &str, class: &str, credential: &str) -> Message {
    let mut link = Link::open(program.address).await.unwrap();
    link.write(request(id, class, credential, "8").as_bytes())
        .await
        .unwrap();
    link.message().await.unwrap()
}

#[test]
fn allowed_caller_is_served_with_the_services_headers_and_denied_caller_gets_its_response() {
    run(async {
        let bed = test_bed(1, "");
        bed.auth.grant(
            "ana",
            &[
                "Remote-User: ana",
                "X-Other: 1",
                "Cache-Control: max-age=60",
            ],
        );
        assert_eq!(
            send_request(&bed.program, "a", "charge", "ana")
                .await
                .status,
            200
        );
        let sent = bed.attempts.borrow()["a"][0].clone();
        let users: Vec<&str> = sent
            .headers
            .iter()
            .filter(|(name, _)| name == "remote-user")
            .map(|(_, value)| value.as_str())
            .collect();
        assert_eq!(
            (users, sent.header("x-other"), sent.header("authorization")),
            (vec!["ana"], None, None)
        );
        let seen = &bed.auth.log()[0];
        assert_eq!(
            (seen.method.as_str(), seen.target.as_str()),
            ("GET", "/auth")
        );
        assert_eq!(seen.header("x-forwarded-method"), Some("POST"));
        assert_eq!(seen.header("x-forwarded-uri"), Some("/charge/a?b=c"));
        assert_eq!(seen.header("x-forwarded-for"), Some("127.0.0.1"));
        assert_eq!(seen.header("x-forwarded-host"), Some("service.internal"));
        assert_eq!(
            (seen.header("authorization"), seen.header("remote-user")),
            (Some("ana"), None)
        );
        // The verdict is cached for its caller only.
        assert_eq!(
            send_request(&bed.program, "b", "charge", "ana")
                .await
                .status,
            200
        );
        assert_eq!(bed.auth.checks(), 1);
        let denied = send_request(&bed.program, "c", "charge", "eva").await;
        assert_eq!(
            (denied.status, denied.header("www-authenticate").is_some()),
            (401, true)
        );
        bed.auth.deny_with(
            302,
            &["Location: https://login.example/?rd=%2F", "Set-Cookie: a=b"],
        );
        let denied = send_request(&bed.program, "d", "read", "tom").await;
        assert_eq!(
            (denied.status, denied.header("location")),
            (302, Some("https://login.example/?rd=%2F"))
        );
        assert_eq!(denied.header("set-cookie"), Some("a=b"));
        assert_eq!(
            bed.attempts.borrow().len(),
            2,
            "a request of a denied caller was forwarded"
        );
        // SIGHUP empties the cache of verdicts.
        let before = bed.auth.checks();
        bed.program.reload(&bed.program.config.to_string());
        let mut repeats = 0;
        while bed.auth.checks() == before {
            repeats += 1;
            assert_eq!(
                send_request(&bed.program, &format!("e{repeats}"), "charge", "ana")
                    .await
                    .status,
                200
            );
        }
    });
}

#[test]
fn flood_over_quota_is_not_forwarded_to_the_service() {
    run(async {
        let bed = test_bed(1, "");
        bed.auth.grant("ana", &["Cache-Control: no-store"]);
        let mut link = Link::open(bed.program.address).await.unwrap();
        let mut statuses: BTreeMap<u16, usize> = BTreeMap::new();
        for n in 0..200 {
            let text = request(&format!("f{n}"), "read", "ana", "8")
                .replace("Api-Plan: wide", "Api-Plan: narrow");
            link.write(text.as_bytes()).await.unwrap();
            *statuses
                .entry(link.message().await.unwrap().status)
                .or_default() += 1;
        }
        assert!(statuses[&429] >= 190, "{statuses:?}");
        assert!(bed.auth.checks() <= 10, "{} checks", bed.auth.checks());
        // Denied requests take nothing from the quota, but their checks count, and beyond three
        // times the quota requests are rejected unchecked: with a quota of 0.5 units/s, a burst of
        // 2 units and a half-life of sixteen bursts (64 s), checks made in one moment reach that
        // limit at 3 x 0.5 x 64 / ln 2 + 2 = 141 units.
        for n in 0..400 {
            let text = request(&format!("g{n}"), "read", &format!("c{n}"), "8");
            let text = text
                .replace("Api-Plan: wide", "Api-Plan: narrow")
                .replace("b4d65521", "b4d65522");
            link.write(text.as_bytes()).await.unwrap();
            link.message().await.unwrap();
        }
        assert!(bed.auth.checks() <= 160, "{} checks", bed.auth.checks());
    });
}

#[test]
fn unresponsive_service_is_detected_and_its_callers_get_a_response_at_once() {
    run(async {
        let bed = test_bed(
            1,
            "limit_ms = 200\ntries = 1\nfailures = 2\npause_ms = [60000, 60000]",
        );
        bed.auth.fault(Some((Fault::Stall, 1.0)));
        for n in 0..2 {
            let started = Instant::now();
            let response =
                send_request(&bed.program, &format!("s{n}"), "charge", &format!("c{n}")).await;
            assert_eq!(response.status, 503);
            assert!(response.header("retry-after").is_some());
            assert!(
                started.elapsed() >= Duration::from_millis(190),
                "responded before the check timed out"
            );
        }
        let started = Instant::now();
        assert_eq!(
            send_request(&bed.program, "s3", "charge", "c3")
                .await
                .status,
            503
        );
        assert_eq!(
            send_request(&bed.program, "s4", "read", "c3").await.status,
            200,
            "the class is set to fail open"
        );
        assert!(
            started.elapsed() < Duration::from_millis(150),
            "{:?}",
            started.elapsed()
        );
        assert!(!bed.attempts.borrow().contains_key("s3"));
    });
}

#[test]
fn pooled_connection_that_died_while_idle_causes_no_denial() {
    run(async {
        let bed = test_bed(1, "tries = 1\nfailures = 1");
        bed.auth.grant("ana", &[]);
        bed.auth.fault(Some((Fault::Close, 1.0)));
        for n in 0..20 {
            assert_eq!(
                send_request(&bed.program, &format!("k{n}"), "charge", "ana")
                    .await
                    .status,
                200,
                "{n}"
            );
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
}

#[test]
fn smuggling_or_endless_response_is_not_a_verdict() {
    run(async {
        for fault in [
            Fault::Splitting,
            Fault::Endless,
            Fault::HalfHead,
            Fault::Status(500),
        ] {
            let bed = test_bed(1, "limit_ms = 300\ntries = 1");
            bed.auth.grant("ana", &["Remote-User: ana"]);
            bed.auth.fault(Some((fault, 1.0)));
            let response = send_request(&bed.program, "x", "charge", "ana").await;
            assert_eq!(response.status, 503, "{fault:?}");
            assert!(response.header("injected").is_none() && bed.attempts.borrow().is_empty());
        }
    });
}

#[test]
fn request_that_waits_for_its_check_is_finished_on_sigterm() {
    run(async {
        let mut bed = test_bed(1, "limit_ms = 2000");
        bed.auth.grant("ana", &[]);
        bed.auth
            .fault(Some((Fault::Late(Duration::from_millis(600)), 1.0)));
        let mut link = Link::open(bed.program.address).await.unwrap();
        link.write(request("t", "charge", "ana", "8").as_bytes())
            .await
            .unwrap();
        while bed.auth.checks() == 0 {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        bed.program.terminate();
        assert_eq!(link.message().await.unwrap().status, 200);
        drop(link);
        assert!(tokio::task::spawn_blocking(move || bed.program.wait())
            .await
            .unwrap()
            .success());
    });
}

/// The outcome of one request.
struct Outcome {
    id: String,
    class: usize,
    allowed: bool,
    status: u16,
    took: Duration,
}

/// Over 10,000 requests of all classes, under faults that change all the time, each get exactly one
/// response in time; no request of a denied caller is forwarded, and none is forwarded twice.
#[test]
fn ten_thousand_requests_under_mixed_faults_have_one_response_and_no_extra_attempt() {
    const CLIENTS: usize = 60;
    const REQUESTS_PER_CLIENT: usize = 170;
    const CLASSES: [&str; 3] = ["read", "extend", "charge"];
    run(async {
        let lines = "limit_ms = 120\nfailures = 20\npause_ms = [20, 100]\nkeep_ms = [60, 20]\nmost_out = 64";
        let mut wide = settings();
        wide["plans"][0]["per_second"] = serde_json::json!(1e6);
        wide["plans"][0]["peak_units"] = serde_json::json!(1e6);
        let bed = test_bed_with(2, lines, wide);
        for caller in (0..20).step_by(2) {
            let user = format!("Remote-User: u{caller}");
            bed.auth
                .grant(&format!("c{caller}"), &[&user, "Cache-Control: max-age=1"]);
        }
        let stopped = Rc::new(std::cell::Cell::new(false));
        let (auth, done) = (bed.auth.clone(), stopped.clone());
        tokio::task::spawn_local(async move {
            let late = Fault::Late(Duration::from_millis(150));
            let faults = [
                None,
                Some((Fault::Stall, 0.2)),
                Some((Fault::ResetBefore, 1.0)),
                Some((Fault::ResetWithin, 0.5)),
                Some((Fault::ResetAfter, 0.5)),
                Some((Fault::HalfHead, 0.2)),
                Some((late, 0.5)),
                Some((Fault::Twice, 0.5)),
                Some((Fault::Endless, 0.1)),
                Some((Fault::Close, 0.5)),
                Some((Fault::Status(503), 0.7)),
                Some((Fault::Splitting, 0.3)),
            ];
            for fault in faults.iter().cycle() {
                if done.get() {
                    return;
                }
                auth.fault(*fault);
                tokio::time::sleep(Duration::from_millis(150)).await;
            }
        });
        let mut clients = tokio::task::JoinSet::new();
        for client in 0..CLIENTS {
            let address = bed.program.address;
            clients.spawn_local(async move {
                let mut seen = Vec::new();
                let mut link = Link::open(address).await.unwrap();
                for n in 0..REQUESTS_PER_CLIENT {
                    let (class, caller) = ((n + client) % 3, (client * 7 + n) % 20);
                    let id = format!("m{client}-{n}");
                    let started = Instant::now();
                    let text = request(&id, CLASSES[class], &format!("c{caller}"), "1.5");
                    link.write(text.as_bytes()).await.unwrap();
                    let response = link
                        .message()
                        .await
                        .unwrap_or_else(|error| panic!("{id}: {error:?}"));
                    let took = started.elapsed();
                    // A second response would arrive before the response to the next request.
                    assert_eq!(link.pending(), 0, "{id}: more than one response");
                    seen.push(Outcome {
                        id,
                        class,
                        allowed: caller % 2 == 0,
                        status: response.status,
                        took,
                    });
                    if response.closes() {
                        link = Link::open(address).await.unwrap();
                    }
                }
                seen
            });
        }
        let mut all = Vec::new();
        while let Some(seen) = clients.join_next().await {
            all.extend(seen.unwrap());
        }
        stopped.set(true);
        let mut statuses: BTreeMap<u16, usize> = BTreeMap::new();
        let mut unchecked = 0;
        let attempts = bed.attempts.borrow();
        for seen in &all {
            *statuses.entry(seen.status).or_default() += 1;
            let count = attempts.get(&seen.id).map_or(0, Vec::len);
            assert!(
                seen.took < Duration::from_millis(1500 + 58),
                "{} was late: {:?}",
                seen.id,
                seen.took
            );
            match seen.status {
                200 => {
                    assert!(
                        count >= 1 && (seen.class == 0 || count == 1),
                        "{}: {count} attempts",
                        seen.id
                    )
                }
                _ => assert_eq!(
                    count, 0,
                    "{} got {} and was forwarded",
                    seen.id, seen.status
                ),
            }
            assert!(
                count <= 1,
                "no backend failed: {} was forwarded {count} times",
                seen.id
            );
            match (seen.status, seen.allowed) {
                (401, true) => panic!("{} was denied although its caller is allowed", seen.id),
                (200, false) => {
                    // A denied caller is served only in the class that is set to fail open, and
                    // then without the caller's name.
                    assert_eq!(
                        seen.class, 0,
                        "{} was forwarded although its caller is denied",
                        seen.id
                    );
                    assert_eq!(attempts[&seen.id][0].header("remote-user"), None);
                    unchecked += 1;
                }
                (200 | 401 | 429 | 503, _) => {}
                (status, _) => panic!("{}: {status}", seen.id),
            }
            if let Some(user) = attempts
                .get(&seen.id)
                .and_then(|sent| sent[0].header("remote-user"))
            {
                let caller = seen.id.trim_start_matches('m').split_once('-').unwrap();
                let (client, n): (usize, usize) =
                    (caller.0.parse().unwrap(), caller.1.parse().unwrap());
                assert_eq!(
                    user,
                    format!("u{}", (client * 7 + n) % 20),
                    "{}: another caller's verdict",
                    seen.id
                );
            }
        }
        println!(
            "{} requests, {} checks, by status {statuses:?}, {unchecked} unchecked",
            all.len(),
            bed.auth.checks()
        );
        assert_eq!(all.len(), CLIENTS * REQUESTS_PER_CLIENT);
        assert!(all.len() >= 10_000);
        for status in [200, 401, 503] {
            assert!(
                statuses.get(&status).copied().unwrap_or(0) > 100,
                "{statuses:?}"
            );
        }
    });
}
