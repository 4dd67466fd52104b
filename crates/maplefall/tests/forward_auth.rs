//! The front door with callers checked by a played authentication service, which fails in every way on call.

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

const LIMIT: Duration = Duration::from_secs(120);

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        tokio::time::timeout(LIMIT, test).await.expect("in time");
    });
}

fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

/// What a backend was sent, by the request's id.
type Attempts = Rc<RefCell<BTreeMap<String, Vec<Message>>>>;

/// A backend that answers everything with 200 and its own name.
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

struct Bed {
    auth: Rc<Auth>,
    attempts: Attempts,
    program: Program,
}

/// A front door over two backends, with these lines in its file of forward authentication.
fn bed(servers: usize, lines: &str) -> Bed {
    bed_with(servers, lines, settings())
}

fn bed_with(servers: usize, lines: &str, settings: serde_json::Value) -> Bed {
    static FILES: AtomicU32 = AtomicU32::new(0);
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
    let number = FILES.fetch_add(1, Ordering::Relaxed);
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
    // Nobody answers there; the list that it is started with is all that it needs.
    let nobody: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let variables = [("MAPLEFALL_FORWARD_AUTH", path.as_str())];
    let program = Program::start_with(&variables, 1024, settings, nobody, members(7, true, &hosts));
    Bed {
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

async fn ask(program: &Program, id: &str, class: &str, credential: &str) -> Message {
    let mut link = Link::open(program.address).await.unwrap();
    link.write(request(id, class, credential, "8").as_bytes())
        .await
        .unwrap();
    link.message().await.unwrap()
}

#[test]
fn allowed_caller_is_served_with_the_services_headers_and_denied_caller_gets_its_response() {
    run(async {
        let bed = bed(1, "");
        bed.auth.grant(
            "ana",
            &[
                "Remote-User: ana",
                "X-Other: 1",
                "Cache-Control: max-age=60",
            ],
        );
        assert_eq!(ask(&bed.program, "a", "charge", "ana").await.status, 200);
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
        // Kept for its caller alone.
        assert_eq!(ask(&bed.program, "b", "charge", "ana").await.status, 200);
        assert_eq!(bed.auth.checks(), 1);
        let denied = ask(&bed.program, "c", "charge", "eva").await;
        assert_eq!(
            (denied.status, denied.header("www-authenticate").is_some()),
            (401, true)
        );
        bed.auth.deny_with(
            302,
            &["Location: https://login.example/?rd=%2F", "Set-Cookie: a=b"],
        );
        let denied = ask(&bed.program, "d", "read", "tom").await;
        assert_eq!(
            (denied.status, denied.header("location")),
            (302, Some("https://login.example/?rd=%2F"))
        );
        assert_eq!(denied.header("set-cookie"), Some("a=b"));
        assert_eq!(
            bed.attempts.borrow().len(),
            2,
            "nobody else's request went on"
        );
        // The operator's word empties what is kept.
        let before = bed.auth.checks();
        bed.program.reload(&bed.program.config.to_string());
        let mut again = 0;
        while bed.auth.checks() == before {
            again += 1;
            assert_eq!(
                ask(&bed.program, &format!("e{again}"), "charge", "ana")
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
        let bed = bed(1, "");
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
        // Those that are denied take nothing; but asking counts, and beyond three times the quota nobody is asked for: with a
        // halflife of sixteen bursts (64 s) the box shuts at 3 x 0.5 x 64 s / ln 2 and a burst of 2, 141 units in a moment.
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
fn dead_service_is_detected_and_its_callers_are_answered_at_once() {
    run(async {
        let bed = bed(
            1,
            "limit_ms = 200\ntries = 1\nfailures = 2\npause_ms = [60000, 60000]",
        );
        bed.auth.fault(Some((Fault::Stall, 1.0)));
        for n in 0..2 {
            let asked = Instant::now();
            let answer = ask(&bed.program, &format!("s{n}"), "charge", &format!("c{n}")).await;
            assert_eq!(answer.status, 503);
            assert!(answer.header("retry-after").is_some());
            assert!(asked.elapsed() >= Duration::from_millis(190), "waited for");
        }
        let asked = Instant::now();
        assert_eq!(ask(&bed.program, "s3", "charge", "c3").await.status, 503);
        assert_eq!(
            ask(&bed.program, "s4", "read", "c3").await.status,
            200,
            "it is set to fail open"
        );
        assert!(
            asked.elapsed() < Duration::from_millis(150),
            "{:?}",
            asked.elapsed()
        );
        assert!(!bed.attempts.borrow().contains_key("s3"));
    });
}

#[test]
fn pooled_connection_that_died_while_idle_causes_no_denial() {
    run(async {
        let bed = bed(1, "tries = 1\nfailures = 1");
        bed.auth.grant("ana", &[]);
        bed.auth.fault(Some((Fault::Close, 1.0)));
        for n in 0..20 {
            assert_eq!(
                ask(&bed.program, &format!("k{n}"), "charge", "ana")
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
fn response_that_smuggles_or_has_no_end_is_no_verdict() {
    run(async {
        for fault in [
            Fault::Splitting,
            Fault::Endless,
            Fault::HalfHead,
            Fault::Status(500),
        ] {
            let bed = bed(1, "limit_ms = 300\ntries = 1");
            bed.auth.grant("ana", &["Remote-User: ana"]);
            bed.auth.fault(Some((fault, 1.0)));
            let answer = ask(&bed.program, "x", "charge", "ana").await;
            assert_eq!(answer.status, 503, "{fault:?}");
            assert!(answer.header("injected").is_none() && bed.attempts.borrow().is_empty());
        }
    });
}

#[test]
fn request_that_waits_for_its_check_is_finished_on_sigterm() {
    run(async {
        let mut bed = bed(1, "limit_ms = 2000");
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

/// What became of one request.
struct Seen {
    id: String,
    class: usize,
    allowed: bool,
    status: u16,
    took: Duration,
}

/// Guards the one answer and the one attempt under everything at once: over 10,000 requests of all classes, with faults that
/// change all the time, each has exactly one answer in time; nobody's request goes on who may not, and none twice.
#[test]
fn ten_thousand_requests_under_mixed_faults_have_one_answer_and_no_attempt_too_many() {
    const CLIENTS: usize = 60;
    const EACH: usize = 170;
    const CLASSES: [&str; 3] = ["read", "extend", "charge"];
    run(async {
        let lines = "limit_ms = 120\nfailures = 20\npause_ms = [20, 100]\nkeep_ms = [60, 20]\nmost_out = 64";
        let mut wide = settings();
        wide["plans"][0]["per_second"] = serde_json::json!(1e6);
        wide["plans"][0]["peak_units"] = serde_json::json!(1e6);
        let bed = bed_with(2, lines, wide);
        for caller in (0..20).step_by(2) {
            let user = format!("Remote-User: u{caller}");
            bed.auth
                .grant(&format!("c{caller}"), &[&user, "Cache-Control: max-age=1"]);
        }
        let over = Rc::new(std::cell::Cell::new(false));
        let (auth, done) = (bed.auth.clone(), over.clone());
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
                for n in 0..EACH {
                    let (class, caller) = ((n + client) % 3, (client * 7 + n) % 20);
                    let id = format!("m{client}-{n}");
                    let asked = Instant::now();
                    let text = request(&id, CLASSES[class], &format!("c{caller}"), "1.5");
                    link.write(text.as_bytes()).await.unwrap();
                    let answer = link
                        .message()
                        .await
                        .unwrap_or_else(|why| panic!("{id}: {why:?}"));
                    let took = asked.elapsed();
                    // A second answer would come before the next request's.
                    assert_eq!(link.pending(), 0, "{id}: more than one answer");
                    seen.push(Seen {
                        id,
                        class,
                        allowed: caller % 2 == 0,
                        status: answer.status,
                        took,
                    });
                    if answer.closes() {
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
        over.set(true);
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
                    "{} was answered {} and went on",
                    seen.id, seen.status
                ),
            }
            assert!(
                count <= 1,
                "nothing failed at the backends: {} went on {count} times",
                seen.id
            );
            match (seen.status, seen.allowed) {
                (401, true) => panic!("{} was denied though its caller may", seen.id),
                (200, false) => {
                    // Only the class that is set to fail open, and then with nobody's name.
                    assert_eq!(
                        seen.class, 0,
                        "{} went on though its caller may not",
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
                    "{}: somebody else's verdict",
                    seen.id
                );
            }
        }
        println!(
            "{} requests, {} checks, by status {statuses:?}, {unchecked} unchecked",
            all.len(),
            bed.auth.checks()
        );
        assert_eq!(all.len(), CLIENTS * EACH);
        assert!(all.len() >= 10_000);
        for status in [200, 401, 503] {
            assert!(
                statuses.get(&status).copied().unwrap_or(0) > 100,
                "{statuses:?}"
            );
        }
    });
}
