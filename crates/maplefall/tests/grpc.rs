//! The front door's gRPC side between a played service that drops streams, delays trailers and contradicts itself, and played
//! clients: every call has one final status, and nothing runs more often than its class permits.

mod sockets;

use maplefall_event_trace::Recorder;
use maplefall_test_servers::agent::{Agent, List};
use maplefall_test_servers::grpc::{framed, Call, Client, Fault, Final, Service};
use sockets::{member, members, settings, Program};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

const LIMIT: Duration = Duration::from_secs(120);
const READ: &str = "/lots.v1.Sessions/Balance";
const EXTEND: &str = "/lots.v1.Sessions/Extend";
const CHARGE: &str = "/lots.v1.Sessions/Charge";
const WATCH: &str = "/lots.v1.Sessions/Watch";
const WATCH_CHARGE: &str = "/lots.v1.Sessions/WatchCharge";
const REPORT: &str = "/lots.v1.Meters/Report";
const UPLOAD: &str = "/lots.v1.Meters/Upload";

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

struct Bed {
    services: Vec<Rc<Service>>,
    addresses: Vec<SocketAddr>,
    program: Program,
    /// Where calls are taken.
    grpc: SocketAddr,
}

impl Bed {
    fn attempts(&self, id: &str) -> usize {
        self.services
            .iter()
            .map(|service| service.attempts(id).len())
            .sum()
    }

    fn ran(&self, id: &str) -> usize {
        let seen = self
            .services
            .iter()
            .flat_map(|service| service.attempts(id));
        seen.filter(|seen| seen.ran).count()
    }

    fn faults(&self, faults: &[(Fault, f64)]) {
        self.services
            .iter()
            .for_each(|service| service.faults(faults));
    }

    async fn client(&self) -> Client {
        Client::open(self.grpc).await.unwrap()
    }
}

/// A front door over so many played services, with these further lines in its file.
fn bed(count: usize, lines: &str) -> Bed {
    bed_with(count, lines, &[], wide())
}

fn wide() -> serde_json::Value {
    let mut settings = settings();
    settings["plans"][0]["per_second"] = serde_json::json!(1e6);
    settings["plans"][0]["peak_units"] = serde_json::json!(1e6);
    settings
}

fn bed_with(count: usize, lines: &str, more: &[(&str, &str)], settings: serde_json::Value) -> Bed {
    let listeners: Vec<TcpListener> = (0..count).map(|_| listener()).collect();
    let addresses: Vec<SocketAddr> = listeners
        .iter()
        .map(|listener| listener.local_addr().unwrap())
        .collect();
    let services: Vec<Rc<Service>> = (0..count as u64).map(Service::new).collect();
    for (service, listener) in services.iter().zip(listeners) {
        tokio::task::spawn_local(service.clone().serve(listener));
    }
    let (program, grpc) = start(&addresses, lines, more, settings);
    Bed {
        services,
        addresses,
        program,
        grpc,
    }
}

fn start(
    addresses: &[SocketAddr],
    lines: &str,
    more: &[(&str, &str)],
    settings: serde_json::Value,
) -> (Program, SocketAddr) {
    let hosts: Vec<serde_json::Value> = addresses
        .iter()
        .enumerate()
        .map(|(n, address)| member(&format!("s-{n}"), *address, "up"))
        .collect();
    // Nobody answers there; the list that it is started with is all that it needs.
    let nobody: SocketAddr = "127.0.0.1:9".parse().unwrap();
    start_known(lines, more, settings, nobody, members(7, true, &hosts))
}

/// A front door with this list, and discovery there.
fn start_known(
    lines: &str,
    more: &[(&str, &str)],
    settings: serde_json::Value,
    discovery: SocketAddr,
    known: serde_json::Value,
) -> (Program, SocketAddr) {
    static FILES: AtomicU32 = AtomicU32::new(0);
    let number = FILES.fetch_add(1, Ordering::Relaxed);
    let path = format!(
        "{}/grpc-{}-{number}.toml",
        env!("CARGO_TARGET_TMPDIR"),
        std::process::id()
    );
    let mut text = format!("listen = \"127.0.0.1:0\"\n{lines}\n");
    let routes = [
        (READ, "read", "unary"),
        (EXTEND, "extend", "unary"),
        (CHARGE, "charge", "unary"),
        (WATCH, "read", "server-stream"),
        (WATCH_CHARGE, "charge", "server-stream"),
        (REPORT, "read", "bidi"),
        (UPLOAD, "read", "client-stream"),
        ("/etcdserverpb.KV/*", "read", "unary"),
        ("/etcdserverpb.Watch/*", "read", "bidi"),
    ];
    for (method, class, shape) in routes {
        text.push_str(&format!(
            "[[route]]\nmethod = \"{method}\"\nclass = \"{class}\"\nshape = \"{shape}\"\n"
        ));
    }
    std::fs::write(&path, text).unwrap();
    let mut variables = vec![("MAPLEFALL_GRPC", path.as_str())];
    variables.extend_from_slice(more);
    let mut program = Program::start_with(&variables, 1024, settings, discovery, known);
    let line = program.log_line();
    let grpc = line
        .trim()
        .rsplit(' ')
        .next()
        .and_then(|text| text.parse().ok());
    (
        program,
        grpc.unwrap_or_else(|| panic!("no address in {line:?}")),
    )
}

fn call(id: &str, path: &str, timeout: &str) -> Call {
    let call = Call::new(id, path, "wide", timeout);
    if path == EXTEND {
        call.with("idempotency-key", &format!("key-{id}"))
    } else {
        call
    }
}

async fn ask(bed: &Bed, id: &str, path: &str) -> Final {
    bed.client().await.call(&call(id, path, "8S")).await
}

#[test]
fn a_call_is_passed_through_whole_with_its_metadata_and_trailers() {
    run(async {
        let bed = bed(2, "");
        let client = bed.client().await;
        for (n, path) in [READ, EXTEND, CHARGE].iter().enumerate() {
            let id = format!("a{n}");
            let served = client
                .call(
                    &call(&id, path, "5S")
                        .with("lot", "7")
                        .with("trace-bin", "AAH/"),
                )
                .await;
            assert_eq!(
                (served.http, served.code(), served.reset),
                (200, Some(0), None),
                "{served:?}"
            );
            assert_eq!(served.messages, [id.as_bytes()]);
            assert_eq!(served.trailer("receipt-bin"), Some("AAEC"));
            assert_eq!(served.head.get("served-by").unwrap(), "stand-in");
            let attempts: Vec<_> = bed
                .services
                .iter()
                .flat_map(|service| service.attempts(&id))
                .collect();
            assert_eq!(attempts.len(), 1);
            let sent = &attempts[0];
            assert_eq!(
                (
                    sent.path.as_str(),
                    sent.header("lot"),
                    sent.header("trace-bin")
                ),
                (*path, Some("7"), Some("AAH/"))
            );
            assert_eq!(
                (sent.header("te"), sent.header("content-type")),
                (Some("trailers"), Some("application/grpc"))
            );
            assert_eq!(sent.header("grpc-previous-rpc-attempts"), None);
            // What is told on is less than what the client has, and not much less.
            let told = sent.header("grpc-timeout").unwrap();
            let (number, unit) = told.split_at(told.len() - 1);
            let micros = number.parse::<f64>().unwrap() * if unit == "u" { 1.0 } else { 1e-3 };
            assert!(
                matches!(unit, "u" | "n") && (2e6..5e6).contains(&micros),
                "{told}"
            );
        }
    });
}

#[test]
fn streams_go_message_by_message_either_way() {
    run(async {
        let bed = bed(1, "");
        let watched = ask(&bed, "w", WATCH).await;
        assert_eq!(
            (watched.code(), watched.messages.len()),
            (Some(0), 3),
            "{watched:?}"
        );
        // A message comes back before the next is sent: nothing waits for the end of a stream.
        let client = bed.client().await;
        let (answer, mut stream) = client.begin(&call("r", REPORT, "8S")).await.unwrap();
        stream.send_data(framed(b"one"), false).unwrap();
        let mut body = answer.await.unwrap().into_body();
        assert_eq!(body.data().await.unwrap().unwrap(), framed(b"one"));
        stream.send_data(framed(b"two"), true).unwrap();
        assert_eq!(body.data().await.unwrap().unwrap(), framed(b"two"));
        assert!(body.data().await.is_none());
        assert_eq!(body.trailers().await.unwrap().unwrap()["grpc-status"], "0");
        let mut upload = call("u", UPLOAD, "8S");
        upload.messages = (0..20u8).map(|n| vec![n; 1000]).collect();
        let uploaded = client.call(&upload).await;
        assert_eq!(
            (uploaded.code(), uploaded.messages),
            (Some(0), vec![vec![19; 1000]])
        );
        assert_eq!(bed.services[0].attempts("u")[0].messages, upload.messages);
    });
}

/// Guards bounded memory: a stream that is longer than what is held goes through all the same, both ways.
#[test]
fn a_stream_far_longer_than_what_is_held_goes_through() {
    run(async {
        let bed = bed(1, "held_bytes = 4096");
        let client = bed.client().await;
        let mut upload = call("u", UPLOAD, "8S");
        upload.messages = (0..200u8).map(|n| vec![n; 10_000]).collect();
        let uploaded = client.call(&upload).await;
        assert_eq!(
            (uploaded.code(), &uploaded.messages[..]),
            (Some(0), &[vec![199; 10_000]][..])
        );
        assert_eq!(bed.services[0].attempts("u")[0].messages, upload.messages);
        let mut report = call("r", REPORT, "8S");
        report.messages = upload.messages.clone();
        // All is sent before anything is read: what is on its way waits in windows, not in memory.
        let (answer, mut stream) = client.begin(&report).await.unwrap();
        let sent = report.messages.clone();
        let sender = tokio::task::spawn_local(async move {
            for message in &sent {
                let mut data = framed(message);
                while !data.is_empty() {
                    stream.reserve_capacity(data.len());
                    let room = match stream.capacity() {
                        0 => std::future::poll_fn(|cx| stream.poll_capacity(cx))
                            .await
                            .unwrap()
                            .unwrap(),
                        room => room,
                    };
                    stream
                        .send_data(data.split_to(room.min(data.len())), false)
                        .unwrap();
                }
            }
            stream.send_data(bytes::Bytes::new(), true).unwrap();
        });
        let mut seen = Final::default();
        maplefall_test_servers::grpc::read(answer, &mut seen)
            .await
            .unwrap();
        sender.await.unwrap();
        assert_eq!(
            (seen.code(), seen.messages == report.messages),
            (Some(0), true)
        );
    });
}

/// Guards the one answer that a `cobro` may have: what may have run is not sent again, whatever says so, and the client is
/// told not to either.
#[test]
fn a_charge_that_may_have_run_is_never_sent_again() {
    run(async {
        let bed = bed(3, "");
        let faults = [
            (Fault::ResetUnanswered(8), 1),
            (Fault::ResetUnanswered(2), 13),
            (Fault::ResetWithin(0), 13),
            (Fault::ResetWithin(8), 1),
            (Fault::ResetWithin(7), 2),
            (Fault::CutMessage, 13),
            (Fault::NoStatus, 2),
            (Fault::NoMessage, 13),
            (Fault::Drop, 2),
            (Fault::Page(503), 2),
            (Fault::Page(200), 2),
            (Fault::Status(14), 2),
            (Fault::Status(8), 2),
            (Fault::Status(13), 13),
            (Fault::Status(2), 2),
        ];
        for (n, (fault, code)) in faults.iter().enumerate() {
            bed.faults(&[(*fault, 1.0)]);
            let id = format!("c{n}");
            let failed = ask(&bed, &id, CHARGE).await;
            assert_eq!(
                (failed.code(), failed.reset),
                (Some(*code), None),
                "{fault:?} {failed:?}"
            );
            assert_eq!(
                failed.trailer("grpc-retry-pushback-ms"),
                Some("-1"),
                "{fault:?}"
            );
            assert!(failed.messages.is_empty() && failed.cut == 0, "{fault:?}");
            assert_eq!((bed.attempts(&id), bed.ran(&id)), (1, 1), "{fault:?}");
        }
    });
}

#[test]
fn what_cannot_have_run_is_sent_elsewhere_whatever_its_class() {
    run(async {
        for fault in [Fault::Refused, Fault::TurnedAway(14), Fault::TurnedAway(8)] {
            let bed = bed(2, "");
            bed.services[0].faults(&[(fault, 1.0)]);
            let mut twice = 0;
            for n in 0..20 {
                let id = format!("t{n}");
                let served = ask(&bed, &id, CHARGE).await;
                assert_eq!(
                    (served.code(), bed.ran(&id)),
                    (Some(0), 1),
                    "{fault:?} {served:?}"
                );
                let again = bed.services[1].attempts(&id);
                if bed.attempts(&id) == 2 {
                    twice += 1;
                    assert_eq!(again[0].header("grpc-previous-rpc-attempts"), Some("1"));
                }
            }
            assert!(twice > 0, "{fault:?} befell nobody");
        }
    });
}

/// Guards refusals: where nothing can have run at all, the client hears so, and may come again.
#[test]
fn a_refusal_says_that_trying_again_is_harmless() {
    run(async {
        let bed = bed(1, "");
        bed.faults(&[(Fault::Refused, 1.0)]);
        let refused = ask(&bed, "r", CHARGE).await;
        assert_eq!((refused.code(), bed.ran("r")), (Some(14), 0), "{refused:?}");
        assert_ne!(refused.trailer("grpc-retry-pushback-ms"), Some("-1"));
        assert!(refused
            .trailer("grpc-message")
            .unwrap()
            .contains("harmless"));
        // Past quota, with advice when to come back.
        let client = bed.client().await;
        let mut advised = 0;
        for n in 0..50 {
            let refused = client
                .call(&call(&format!("q{n}"), READ, "8S").with("api-plan", "narrow"))
                .await;
            assert!(matches!(refused.code(), Some(0 | 14)), "{refused:?}");
            advised += usize::from(
                refused
                    .trailer("grpc-retry-pushback-ms")
                    .is_some_and(|wait| wait != "-1"),
            );
        }
        assert!(advised >= 40, "{advised}");
    });
}

#[test]
fn what_may_be_repeated_is_until_it_is_served() {
    run(async {
        let bed = bed(2, "");
        let half = [
            (Fault::ResetUnanswered(2), 0.06),
            (Fault::ResetWithin(2), 0.06),
            (Fault::CutMessage, 0.06),
            (Fault::Drop, 0.06),
            (Fault::Status(14), 0.06),
        ];
        bed.faults(&half);
        let (mut served, mut again) = (0, 0);
        for n in 0..60 {
            let (id, path) = (format!("s{n}"), if n % 2 == 0 { READ } else { EXTEND });
            let seen = ask(&bed, &id, path).await;
            served += usize::from(seen.code() == Some(0));
            again += usize::from(bed.attempts(&id) > 1);
            assert!(bed.attempts(&id) <= 3);
            if seen.code() == Some(0) {
                assert_eq!(
                    seen.messages,
                    [id.as_bytes()],
                    "one whole message, of the attempt that ended well"
                );
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        assert!(
            served >= 50 && again >= 3,
            "{served} served, {again} of them sent again"
        );
    });
}

/// Guards a stream that breaks halfway: what its client has seen of it can't be taken back, so nothing else takes its place,
/// whatever the class.
#[test]
fn a_stream_that_breaks_halfway_is_not_begun_again() {
    run(async {
        let bed = bed(2, "");
        bed.faults(&[(Fault::StreamCut(2), 1.0)]);
        for (n, path) in [WATCH, WATCH_CHARGE].iter().enumerate() {
            let id = format!("b{n}");
            let broken = ask(&bed, &id, path).await;
            assert_eq!(
                (broken.messages.len(), broken.reset, bed.attempts(&id)),
                (2, None, 1),
                "{broken:?}"
            );
            let (code, pushback) = if n == 0 { (14, None) } else { (1, Some("-1")) };
            assert_eq!(
                (broken.code(), broken.trailer("grpc-retry-pushback-ms")),
                (Some(code), pushback),
                "{path}"
            );
        }
        // Broken before the first message it may be, if its class may.
        bed.faults(&[(Fault::StreamCut(0), 0.4)]);
        let mut again = 0;
        for n in 0..20 {
            let id = format!("f{n}");
            let seen = ask(&bed, &id, WATCH).await;
            again += usize::from(bed.attempts(&id) > 1 && seen.code() == Some(0));
            assert!(
                matches!(
                    (seen.code(), seen.messages.len()),
                    (Some(0), 3) | (Some(14), 0)
                ),
                "{seen:?}"
            );
        }
        assert!(again > 0);
    });
}

/// Guards deadlines that expire on the way: the status may say `OK` by then, and the client has its own by the deadline.
#[test]
fn a_status_that_comes_after_the_deadline_is_none() {
    run(async {
        let late = Duration::from_millis(1500);
        let mut seen = tokio::task::JoinSet::new();
        for fault in [
            Fault::LateTrailers(late),
            Fault::LateHead(late),
            Fault::Silent,
        ] {
            for path in [CHARGE, WATCH] {
                // One front door for each: what has been late would be shunned.
                let bed = bed(1, "");
                seen.spawn_local(async move {
                    bed.faults(&[(fault, 1.0)]);
                    let seen = bed.client().await.call(&call("d", path, "1S")).await;
                    (fault, path, bed.attempts("d"), seen)
                });
            }
        }
        while let Some(seen) = seen.join_next().await {
            let (fault, path, attempts, seen) = seen.unwrap();
            // A refusal where it may run again, else no word that invites it.
            let fits = seen.code() == Some(4) || (path == WATCH && seen.code() == Some(14));
            assert!(fits && attempts == 1, "{fault:?} {path} {seen:?}");
            assert!(
                (900..1058).contains(&seen.took.as_millis()),
                "{fault:?} {path} {:?}",
                seen.took
            );
            let messages = if path == WATCH && fault == Fault::LateTrailers(late) {
                3
            } else {
                0
            };
            assert_eq!(seen.messages.len(), messages, "{fault:?} {path}");
        }
        // In time after all.
        let bed = bed(1, "");
        bed.faults(&[(Fault::LateTrailers(Duration::from_millis(60)), 1.0)]);
        assert_eq!(
            bed.client()
                .await
                .call(&call("ok", CHARGE, "2S"))
                .await
                .code(),
            Some(0)
        );
    });
}

/// The application's own word goes to the client as it is, once, with its trailers.
#[test]
fn an_answer_of_the_application_is_not_a_failure() {
    run(async {
        let bed = bed(2, "");
        for code in [3, 5, 6, 7, 9, 10, 11, 12, 16] {
            bed.faults(&[(Fault::Status(code), 1.0)]);
            let id = format!("w{code}");
            let seen = ask(&bed, &id, READ).await;
            assert_eq!(
                (seen.code(), bed.attempts(&id)),
                (Some(code), 1),
                "{seen:?}"
            );
            assert_eq!(seen.trailer("grpc-message"), Some("by the stand-in"));
            assert_eq!(
                (
                    seen.trailer("receipt-bin"),
                    seen.trailer("grpc-retry-pushback-ms")
                ),
                (Some("AAEC"), None)
            );
        }
    });
}

#[test]
fn what_is_malformed_is_turned_down_and_never_sent_on() {
    run(async {
        let bed = bed(1, "");
        let client = bed.client().await;
        let mut two = call("m0", CHARGE, "5S");
        two.messages.push(b"more".to_vec());
        let mut none = call("m1", CHARGE, "5S");
        none.messages.clear();
        let mut long = call("m2", CHARGE, "5S");
        long.messages = vec![vec![7; 70_000]];
        let odd = [
            (two, 3),
            (none, 3),
            (long, 8),
            (call("m3", CHARGE, "5"), 3),
            (call("m4", CHARGE, "5S").with("cookie", "client=xyz"), 3),
            (call("m5", CHARGE, "5S").with("api-plan", "none"), 3),
            (call("m6", CHARGE, "5S").with("api-terms", "units=0"), 3),
            (call("m7", CHARGE, "5S").with("idempotency-key", "k"), 3),
            (Call::new("m8", EXTEND, "wide", "5S"), 3),
            (call("m9", "/lots.v1.Sessions/Other", "5S"), 12),
            (call("a b", CHARGE, "5S"), 3),
        ];
        for (odd, code) in odd {
            let down = client.call(&odd).await;
            assert_eq!(
                (down.code(), down.http),
                (Some(code), 200),
                "{odd:?} {down:?}"
            );
        }
        let page = client
            .call(&call("p", CHARGE, "5S").with("content-type", "text/plain"))
            .await;
        assert!(page.http == 415 || page.code() == Some(3), "{page:?}");
        assert_eq!(
            client.call(&call("same", CHARGE, "5S")).await.code(),
            Some(0)
        );
        assert_eq!(
            client.call(&call("same", CHARGE, "5S")).await.code(),
            Some(6),
            "an id is good for one call"
        );
        assert_eq!((bed.services[0].seen(), bed.attempts("same")), (1, 1));
    });
}

#[test]
fn a_client_that_leaves_ends_its_attempt_and_nothing_follows() {
    run(async {
        let bed = bed(2, "");
        bed.faults(&[(Fault::Silent, 1.0)]);
        let client = bed.client().await;
        let (answer, mut stream) = client.begin(&call("gone", READ, "8S")).await.unwrap();
        stream.send_data(framed(b"x"), true).unwrap();
        while bed.attempts("gone") == 0 {
            tokio::task::yield_now().await;
        }
        drop((answer, stream));
        // The same connection serves others meanwhile, and nothing more comes of the one that left.
        bed.faults(&[]);
        for n in 0..30 {
            assert_eq!(
                client
                    .call(&call(&format!("o{n}"), READ, "8S"))
                    .await
                    .code(),
                Some(0)
            );
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(bed.attempts("gone"), 1);
    });
}

/// A backend written frame by frame: what the library would not do on call.
async fn raw_backend(listener: TcpListener, answer: impl Fn(usize) -> Vec<u8>) -> usize {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    listener.set_nonblocking(true).unwrap();
    let listener = tokio::net::TcpListener::from_std(listener).unwrap();
    let mut connections = 0;
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        let bytes = answer(connections);
        connections += 1;
        let mut got = Vec::new();
        // SETTINGS, empty; then whatever is called for, once the call has come whole (END_STREAM on its DATA).
        stream
            .write_all(&[0, 0, 0, 4, 0, 0, 0, 0, 0])
            .await
            .unwrap();
        let ended = loop {
            if stream.read_buf(&mut got).await.unwrap_or(0) == 0 {
                break false;
            }
            // A PING is answered.
            if let Some(at) = got.windows(9).position(|w| w[..5] == [0, 0, 8, 6, 0]) {
                if got.len() >= at + 17 {
                    let mut pong = got[at..at + 17].to_vec();
                    pong[4] = 1;
                    stream.write_all(&pong).await.unwrap();
                    got.drain(..at + 17);
                }
            }
            if got
                .windows(9)
                .any(|w| w[3] == 0 && w[4] & 1 == 1 && w[5..9] == [0, 0, 0, 1])
            {
                break true;
            }
        };
        if ended {
            stream.write_all(&bytes).await.unwrap();
        }
    }
}

fn go_away(last: u8) -> Vec<u8> {
    vec![0, 0, 8, 7, 0, 0, 0, 0, 0, 0, 0, 0, last, 0, 0, 0, 0]
}

/// Guards the two meanings of a `GOAWAY`: streams above its last were never looked at, those up to it may have run though the
/// connection ends behind it.
#[test]
fn a_goaway_tells_what_has_run_by_its_last_stream() {
    run(async {
        for (last, runs) in [(0, false), (1, true)] {
            let raw = listener();
            let well = listener();
            let addresses = [raw.local_addr().unwrap(), well.local_addr().unwrap()];
            tokio::task::spawn_local(raw_backend(raw, move |_| go_away(last)));
            let service = Service::new(1);
            tokio::task::spawn_local(service.clone().serve(well));
            let (program, grpc) = start(&addresses, "", &[], wide());
            let client = Client::open(grpc).await.unwrap();
            let (mut served, mut failed, mut refused) = (0, 0, 0);
            for n in 0..12 {
                let seen = client.call(&call(&format!("g{n}"), CHARGE, "5S")).await;
                match seen.code() {
                    Some(0) => served += 1,
                    Some(2) if seen.trailer("grpc-retry-pushback-ms") == Some("-1") => failed += 1,
                    // Turned away by both, or with no third attempt left.
                    Some(14) => refused += 1,
                    _ => panic!("{seen:?}"),
                }
                tokio::time::sleep(Duration::from_millis(30)).await;
            }
            let told =
                format!("last stream {last}: {served} served, {failed} failed, {refused} refused");
            assert!(served > 6 && (failed > 0) == runs, "{told}");
            drop(program);
        }
    });
}

/// Guards calls that must not run twice against connections that are dead unseen: they are asked before anything goes out.
#[test]
fn a_charge_takes_no_connection_that_does_not_answer() {
    run(async {
        let dead = listener();
        let well = listener();
        let addresses = [dead.local_addr().unwrap(), well.local_addr().unwrap()];
        // The system accepts for it; nobody ever answers.
        let service = Service::new(1);
        tokio::task::spawn_local(service.clone().serve(well));
        let (_program, grpc) = start(&addresses, "", &[], wide());
        let client = Client::open(grpc).await.unwrap();
        for n in 0..6 {
            let seen = client.call(&call(&format!("c{n}"), CHARGE, "2S")).await;
            assert_eq!(seen.code(), Some(0), "{seen:?}");
        }
        drop(dead);
    });
}

#[test]
fn a_backend_that_takes_few_calls_on_a_connection_is_given_more_connections_or_waits() {
    run(async {
        let bed = bed(1, "streams = 64");
        bed.services[0].streams(2);
        bed.services[0].work(Duration::from_millis(5));
        let client = bed.client().await;
        let calls = (0..40).map(|n| {
            let client = client.clone();
            tokio::task::spawn_local(async move {
                client.call(&call(&format!("n{n}"), READ, "8S")).await
            })
        });
        for seen in calls.collect::<Vec<_>>() {
            assert!(matches!(seen.await.unwrap().code(), Some(0 | 14)));
        }
    });
}

/// Guards drains where connections stay open for hundreds of calls: nothing new begins at a node that drains, and what it has
/// is finished.
#[test]
fn a_node_that_drains_is_sent_no_new_call_on_the_connections_that_it_has() {
    use maplefall_protocol::{Health, Member};
    run(async {
        let listeners = [listener(), listener()];
        let services: Vec<Rc<Service>> = (0..2).map(Service::new).collect();
        let members: Vec<Member> = listeners
            .iter()
            .enumerate()
            .map(|(n, listener)| Member {
                host: format!("node-{n}"),
                dial: listener.local_addr().unwrap(),
                site: "uio-1".to_owned(),
                block: 0,
                health: Health::Up,
                share: 1.0,
                born_ms: 0.0,
            })
            .collect();
        for (service, listener) in services.iter().zip(listeners) {
            service.work(Duration::from_millis(20));
            tokio::task::spawn_local(service.clone().serve(listener));
        }
        let place = listener();
        let discovery = place.local_addr().unwrap();
        place.set_nonblocking(true).unwrap();
        let list = List::new(members.clone());
        let known = serde_json::to_value(list.whole()).unwrap();
        let agent = Agent::new(0, list, Recorder::new(), 0.0);
        agent.listen(place, Duration::ZERO);
        let (_program, grpc) = start_known("", &[], wide(), discovery, known);
        let over = Rc::new(std::cell::Cell::new(false));
        let mut clients = tokio::task::JoinSet::new();
        for number in 0..16 {
            let over = over.clone();
            clients.spawn_local(async move {
                let client = Client::open(grpc).await.unwrap();
                let (mut served, mut asked) = (0, 0);
                while !over.get() {
                    let path = [READ, WATCH, CHARGE][asked % 3];
                    let seen = client
                        .call(&call(&format!("d{number}-{asked}"), path, "5S"))
                        .await;
                    // What was begun at the draining node is finished; some may be turned away.
                    assert!(matches!(seen.code(), Some(0 | 14)), "{seen:?}");
                    asked += 1;
                    served += usize::from(seen.code() == Some(0));
                }
                served
            });
        }
        while services[0].seen() < 100 {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        let told = Instant::now();
        agent.tell(&Member {
            health: Health::Draining,
            ..members[0].clone()
        });
        tokio::time::sleep(Duration::from_millis(900)).await;
        over.set(true);
        let mut calls = 0;
        while let Some(served) = clients.join_next().await {
            calls += served.unwrap();
        }
        let last = services[0].last().unwrap();
        let after = last.saturating_duration_since(told);
        let before = told.saturating_duration_since(last);
        println!("{calls} calls; the last new one {after:?} after the drain was told, or {before:?} before");
        assert!(after < Duration::from_millis(500), "{after:?}");
        assert!(
            before < Duration::from_millis(200),
            "{before:?}: it was not in use"
        );
        assert!(
            services[1].last().unwrap() > told + Duration::from_millis(700),
            "the other went on"
        );
    });
}

#[test]
fn calls_that_were_taken_are_carried_to_their_end_on_sigterm() {
    run(async {
        let mut bed = bed(1, "");
        bed.services[0].work(Duration::from_millis(300));
        let client = bed.client().await;
        let open = tokio::task::spawn_local({
            let client = client.clone();
            async move { client.call(&call("t", CHARGE, "5S")).await }
        });
        while bed.attempts("t") == 0 {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        bed.program.terminate();
        assert_eq!(open.await.unwrap().code(), Some(0));
        drop(client);
        assert!(tokio::task::spawn_blocking(move || bed.program.wait())
            .await
            .unwrap()
            .success());
        let _ = bed.addresses;
    });
}

/// Guards the gate: what is checked over HTTP is checked here too.
#[test]
fn callers_are_checked_as_over_http() {
    run(async {
        let auth = maplefall_test_servers::auth::Auth::new(7);
        auth.grant("ana", &["Remote-User: ana"]);
        let place = listener();
        let address = place.local_addr().unwrap();
        tokio::task::spawn_local(auth.clone().serve(place));
        let path = format!(
            "{}/grpc-auth-{}.toml",
            env!("CARGO_TARGET_TMPDIR"),
            std::process::id()
        );
        let text = format!(
            "servers = [\"http://{address}/auth\"]\ncredentials = [\"authorization\"]\nonward = [\"remote-user\"]\n\
             [classes]\nread = \"closed\"\ncharge = \"closed\"\n"
        );
        std::fs::write(&path, text).unwrap();
        let bed = bed_with(1, "", &[("MAPLEFALL_FORWARD_AUTH", &path)], wide());
        let client = bed.client().await;
        let of = |id: &str, who: &str| {
            call(id, CHARGE, "5S")
                .with("authorization", who)
                .with("remote-user", "forged")
        };
        assert_eq!(client.call(&of("a", "ana")).await.code(), Some(0));
        assert_eq!(
            bed.services[0].attempts("a")[0].header("remote-user"),
            Some("ana")
        );
        assert_eq!(client.call(&of("b", "eva")).await.code(), Some(16));
        auth.deny_with(403, &[]);
        assert_eq!(client.call(&of("c", "tom")).await.code(), Some(7));
        auth.fault(Some((
            maplefall_test_servers::auth::Fault::Status(500),
            1.0,
        )));
        assert_eq!(client.call(&of("d", "ina")).await.code(), Some(14));
        assert_eq!(
            (bed.attempts("b"), bed.attempts("c"), bed.attempts("d")),
            (0, 0, 0)
        );
    });
}

/// A client and a backend that this repository did not write, tonic's: calls of etcd's published protocol through the front door.
#[test]
fn a_foreign_client_reaches_a_foreign_backend() {
    use hyper::http::uri::PathAndQuery;
    use maplefall_etcd_wire::{
        path, watch_request, PutRequest, RangeRequest, RangeResponse, WatchCreateRequest,
    };
    use maplefall_etcd_wire::{PutResponse, WatchRequest, WatchResponse};
    use maplefall_test_servers::etcd::{store::Store, Etcd};
    use tonic::{Code, Request};
    use tonic_prost::ProstCodec;

    fn request<T>(id: &str, message: T) -> Request<T> {
        let mut request = Request::new(message);
        for (name, value) in [
            ("request-id", id),
            ("api-plan", "wide"),
            ("cookie", "client=00000000b4d65521"),
        ] {
            request.metadata_mut().insert(name, value.parse().unwrap());
        }
        request.set_timeout(Duration::from_secs(5));
        request
    }

    run(async {
        let etcd = Etcd::new(Store::new(1), |_| {});
        let member = etcd.member(0, listener()).unwrap();
        let (_program, grpc) = start(&[member.address], "", &[], wide());
        let channel = tonic::transport::Endpoint::from_shared(format!("http://{grpc}"))
            .unwrap()
            .connect()
            .await;
        let mut client = tonic::client::Grpc::new(channel.unwrap());
        client.ready().await.unwrap();
        let put = PutRequest {
            key: b"lot".to_vec(),
            value: b"7".to_vec(),
            ..Default::default()
        };
        let codec: ProstCodec<PutRequest, PutResponse> = ProstCodec::default();
        let done = client
            .unary(
                request("f1", put.clone()),
                PathAndQuery::from_static(path::PUT),
                codec,
            )
            .await;
        assert!(done.unwrap().into_inner().header.is_some());
        client.ready().await.unwrap();
        let range = RangeRequest {
            key: b"lot".to_vec(),
            ..Default::default()
        };
        let codec: ProstCodec<RangeRequest, RangeResponse> = ProstCodec::default();
        let found = client
            .unary(
                request("f2", range),
                PathAndQuery::from_static(path::RANGE),
                codec,
            )
            .await;
        assert_eq!(found.unwrap().into_inner().kvs[0].value, b"7");
        // The service's own refusal, with its own words.
        client.ready().await.unwrap();
        let codec: ProstCodec<PutRequest, PutResponse> = ProstCodec::default();
        let empty = PutRequest {
            key: Vec::new(),
            ..put.clone()
        };
        let no = client
            .unary(
                request("f3", empty),
                PathAndQuery::from_static(path::PUT),
                codec,
            )
            .await
            .unwrap_err();
        assert_eq!(no.code(), Code::InvalidArgument, "{no:?}");
        assert!(no.message().contains("key"), "{no:?}");
        // A method that has no route.
        client.ready().await.unwrap();
        let codec: ProstCodec<PutRequest, PutResponse> = ProstCodec::default();
        let path = PathAndQuery::from_static("/etcdserverpb.Lease/LeaseGrant");
        let no = client
            .unary(request("f4", put.clone()), path, codec)
            .await
            .unwrap_err();
        assert_eq!(no.code(), Code::Unimplemented, "{no:?}");
        // Both ways: a watch that is asked for, then changes as they come.
        client.ready().await.unwrap();
        let (ask, asked) = tokio::sync::mpsc::channel(4);
        let create = WatchCreateRequest {
            key: b"lot".to_vec(),
            ..Default::default()
        };
        let create = watch_request::Union::Create(create);
        ask.send(WatchRequest {
            union: Some(create),
        })
        .await
        .unwrap();
        let codec: ProstCodec<WatchRequest, WatchResponse> = ProstCodec::default();
        let asked = request("f5", tokio_stream::wrappers::ReceiverStream::new(asked));
        let mut watch = client
            .streaming(
                asked,
                PathAndQuery::from_static("/etcdserverpb.Watch/Watch"),
                codec,
            )
            .await
            .unwrap()
            .into_inner();
        assert!(watch.message().await.unwrap().unwrap().created);
        etcd.with(|store| {
            store
                .put(&PutRequest {
                    value: b"8".to_vec(),
                    ..put
                })
                .unwrap()
        });
        let change = watch.message().await.unwrap().unwrap();
        assert_eq!(change.events[0].kv.as_ref().unwrap().value, b"8");
        drop(ask);
    });
}

/// Guards the one status and the attempts of each call under everything at once: over 10,000 calls of all classes and shapes.
#[test]
fn ten_thousand_calls_under_mixed_faults_have_one_status_and_no_attempt_too_many() {
    const CLIENTS: usize = 40;
    const EACH: usize = 255;
    const PATHS: [&str; 6] = [READ, EXTEND, CHARGE, WATCH, WATCH_CHARGE, UPLOAD];
    run(async {
        // Backends that are wanted to answer within 200 ms: what takes longer than a client's time is refused unseen.
        let mut quick = wide();
        (0..3).for_each(|class| quick["grades"][class]["aim"] = serde_json::json!(200.0));
        let bed = bed_with(3, "connections = 64", &[], quick);
        let late = Duration::from_millis(700);
        bed.faults(&[
            (Fault::Status(14), 0.02),
            (Fault::Status(5), 0.02),
            (Fault::Status(13), 0.01),
            (Fault::TurnedAway(14), 0.02),
            (Fault::Refused, 0.02),
            (Fault::ResetUnanswered(2), 0.02),
            (Fault::ResetUnanswered(8), 0.01),
            (Fault::ResetWithin(2), 0.02),
            (Fault::CutMessage, 0.02),
            (Fault::NoStatus, 0.01),
            (Fault::NoMessage, 0.01),
            (Fault::LateTrailers(late), 0.003),
            (Fault::LateHead(late), 0.003),
            (Fault::Silent, 0.003),
            (Fault::Drop, 0.002),
            (Fault::Page(503), 0.01),
            (Fault::StreamCut(1), 0.01),
        ]);
        let began = Instant::now();
        let mut clients = tokio::task::JoinSet::new();
        for number in 0..CLIENTS {
            let address = bed.grpc;
            clients.spawn_local(async move {
                let client = Client::open(address).await.unwrap();
                let mut seen = Vec::new();
                for n in 0..EACH {
                    let (id, path) = (format!("m{number}-{n}"), PATHS[(n + number) % PATHS.len()]);
                    let answer = client.call(&call(&id, path, "600m")).await;
                    seen.push((id, path, answer));
                }
                seen
            });
        }
        let mut all = Vec::new();
        while let Some(seen) = clients.join_next().await {
            all.extend(seen.unwrap());
        }
        let mut codes: BTreeMap<u8, usize> = BTreeMap::new();
        let mut again = 0;
        for (id, path, seen) in &all {
            // One status, from the front door, in time: the reader would have told a reset or a second one.
            let code = seen
                .code()
                .unwrap_or_else(|| panic!("{id} {path}: no status: {seen:?}"));
            assert_eq!(seen.reset, None, "{id}: {seen:?}");
            assert!(
                seen.took < Duration::from_millis(600 + 58),
                "{id} {path} was late: {:?} {seen:?}",
                seen.took
            );
            *codes.entry(code).or_default() += 1;
            let (attempts, ran) = (bed.attempts(id), bed.ran(id));
            again += usize::from(attempts > 1);
            assert!(attempts <= 3, "{id}: {attempts} attempts");
            let unsafe_ = [CHARGE, WATCH_CHARGE].contains(path);
            if unsafe_ {
                assert!(ran <= 1, "{id} {path} ran {ran} times");
                // What is refused has not run.
                assert!(code != 14 || ran == 0, "{id} was refused and ran: {seen:?}");
            }
            match code {
                0 => {
                    // A stream may be empty, and is whole all the same.
                    let counts = if [WATCH, WATCH_CHARGE].contains(path) {
                        [0, 3]
                    } else {
                        [1, 1]
                    };
                    assert!(
                        counts.contains(&seen.messages.len()) && seen.cut == 0,
                        "{id}: {seen:?}"
                    );
                    assert!(
                        seen.messages.iter().all(|message| message == id.as_bytes()),
                        "{id}: {seen:?}"
                    );
                    assert!(ran >= 1, "{id} was served and did not run");
                }
                5 => assert_eq!(
                    seen.trailer("receipt-bin"),
                    Some("AAEC"),
                    "the application's own word: {seen:?}"
                ),
                14 => {}
                // A failure tells its client not to call again.
                _ => assert_eq!(
                    seen.trailer("grpc-retry-pushback-ms"),
                    Some("-1"),
                    "{id} {path}: {seen:?}"
                ),
            }
        }
        println!(
            "{} calls in {:.1} s, {} attempts, {again} calls sent again, by status {codes:?}",
            all.len(),
            began.elapsed().as_secs_f64(),
            bed.services
                .iter()
                .map(|service| service.seen())
                .sum::<usize>()
        );
        assert_eq!(all.len(), CLIENTS * EACH);
        assert!(all.len() >= 10_000 && again > 100, "{again}");
        assert!(codes[&0] > 7000, "{codes:?}");
    });
}
