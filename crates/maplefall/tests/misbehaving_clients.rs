//! The program in service among clients that misbehave: it stays within the memory and the
//! descriptors of its machine, and ordinary requests are served while the crowd stands and
//! afterwards. One test at a time.
//!
//! Guards against the following failures: a body in small pieces held a read buffer for each, and
//! responses that nobody reads held their memory and their connections for good, also at the
//! connection limit; idle connections for gRPC kept all others out.

#[allow(dead_code, reason = "one test uses some of it")]
#[path = "grpc/harness.rs"]
mod harness;
mod sockets;

use maplefall_test_servers::crowd::{Crowd, CrowdClient, Framing};
use maplefall_test_servers::measured_process::{
    open_descriptors, peak_resident_kib, send_until_answered, MeasuredProcess, ProcessLimits,
};
use serde_json::json;
use sockets::{member, members, settings, spawn, Listener, LONG_TIMEOUT};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Time for a crowd to write all that the program reads.
const SENDING_TIME: Duration = Duration::from_secs(10);
/// Time for responses that nobody reads to fill the sockets of a crowd.
const FILLING_TIME: Duration = Duration::from_secs(3);
/// Time between two clients that read no response: few enough at once that the backend is not
/// overloaded.
const CLIENT_INTERVAL: Duration = Duration::from_millis(50);
const MIB: usize = 1 << 20;
const LIMITS: ProcessLimits = ProcessLimits {
    memory_mb: 64,
    descriptors: 600,
};

/// Held by the test that runs.
static TURN: Mutex<()> = Mutex::new(());
/// Number of requests so far: each has an id and a customer of its own.
static REQUESTS: AtomicU32 = AtomicU32::new(0);

/// The program with a backend.
struct TestGateway {
    process: MeasuredProcess,
    limits: ProcessLimits,
    address: SocketAddr,
    _discovery: Listener,
    _turn: MutexGuard<'static, ()>,
}

impl TestGateway {
    fn start(limits: ProcessLimits) -> TestGateway {
        let turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
        let discovery = Listener::new();
        let host = member("s-0", start_backend(), "up");
        let config = json!({
            "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.address().to_string(), "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.descriptors},
            "known": members(1, true, &[host]), "settings": settings(),
        });
        let discovery_address = discovery.address().to_string();
        let (mut child, _) = spawn(
            &config.to_string(),
            &[("BALANCER_DISCOVERY", &discovery_address)],
        );
        let mut log = BufReader::new(child.stderr.take().expect("a pipe"));
        let process = MeasuredProcess::observe(child);
        let mut line = String::new();
        log.read_line(&mut line).expect("a log line");
        let address = line.trim().rsplit(' ').next().expect("an address");
        let gateway = TestGateway {
            process,
            limits,
            address: address.parse().expect("an address"),
            _discovery: discovery,
            _turn: turn,
        };
        // Later lines are read so that the pipe never fills.
        std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
        gateway
    }

    fn crowd(&self, clients: Vec<CrowdClient>) -> Crowd {
        let crowd = Crowd::start(self.address, clients);
        crowd.wait_until_sent(SENDING_TIME);
        crowd
    }

    /// Short and long requests and responses are served.
    fn check_ordinary_requests(&self) {
        for (body_bytes, response_bytes) in
            [(0, 0), (4096, 0), (60_000, 0), (0, 60_000), (0, 300_000)]
        {
            send_until_answered(self.address, 200, || {
                let mut request = head(body_bytes, response_bytes).into_bytes();
                request.resize(request.len() + body_bytes, b'o');
                request
            });
        }
    }

    /// Ordinary requests are served beside a crowd and after it, and the process is within its
    /// limits.
    fn check_beside_and_after(mut self, crowd: Crowd) {
        self.check_ordinary_requests();
        drop(crowd);
        self.check_ordinary_requests();
        self.process.assert_within(self.limits);
    }
}

/// The head of a request; the response's body has `response_bytes`.
fn head(body_bytes: usize, response_bytes: usize) -> String {
    let number = REQUESTS.fetch_add(1, Ordering::Relaxed);
    let (method, class) = if body_bytes == 0 {
        ("GET", "read")
    } else {
        ("POST", "charge")
    };
    let length = match body_bytes {
        0 => String::new(),
        length => format!("Content-Length: {length}\r\n"),
    };
    format!(
        "{method} /{class}/{response_bytes} HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: id-{number}\r\n\
         Request-Class: {class}\r\nApi-Plan: wide\r\nCookie: client={number:016x}\r\nRequest-Timeout: {LONG_TIMEOUT}\r\n\
         Api-Terms: units=1,spread=1,first=0\r\n{length}\r\n"
    )
}

/// Starts a backend that responds at once; the last part of a path is the length of the response.
fn start_backend() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || serve_backend_connection(stream));
        }
    });
    address
}

/// Serves requests until the connection ends.
fn serve_backend_connection(mut stream: TcpStream) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        let mut first_line = String::new();
        reader.read_line(&mut first_line).ok()?;
        let response_bytes = first_line.split(' ').nth(1)?.rsplit('/').next()?;
        let mut body = vec![0; read_headers(&mut reader)?];
        reader.read_exact(&mut body).ok()?;
        let mut response =
            format!("HTTP/1.1 200 OK\r\nContent-Length: {response_bytes}\r\n\r\n").into_bytes();
        response.resize(response.len() + response_bytes.parse::<usize>().ok()?, b'r');
        stream.write_all(&response).ok()?;
    }
}

/// Reads the rest of a head; returns the length of the body.
fn read_headers(reader: &mut impl BufRead) -> Option<usize> {
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let Some((name, value)) = line.trim_end().split_once(':') else {
            return Some(length);
        };
        if name.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse().ok()?;
        }
    }
}

#[test]
fn gateway_bodies_in_small_pieces_held_short_of_their_end() {
    let gateway = TestGateway::start(LIMITS);
    let clients = (0..200).map(|_| {
        CrowdClient::new(head(60_000, 0))
            .with_content(59_999)
            .in_pieces(Framing::Plain, 300, Duration::from_millis(5))
    });
    let crowd = gateway.crowd(clients.collect());
    gateway.check_beside_and_after(crowd);
}

#[test]
fn gateway_bodies_held_short_of_their_end() {
    let gateway = TestGateway::start(LIMITS);
    let clients = (0..1200).map(|_| CrowdClient::new(head(65_000, 0)).with_content(64_999));
    let crowd = gateway.crowd(clients.collect());
    gateway.check_beside_and_after(crowd);
}

/// A client that sends many requests at once, `number * CLIENT_INTERVAL` after the first client, and
/// reads none of the responses.
fn unread_pipeline(number: u32, requests: usize, response_bytes: usize) -> CrowdClient {
    let heads: Vec<String> = (0..requests).map(|_| head(0, response_bytes)).collect();
    CrowdClient::new(heads.concat()).after(CLIENT_INTERVAL * number)
}

#[test]
fn gateway_long_responses_that_nobody_reads() {
    let gateway = TestGateway::start(LIMITS);
    let clients = (0..60).map(|number| {
        let client = unread_pipeline(number, 8, MIB);
        if number % 2 == 0 {
            client
        } else {
            client.reading_slowly()
        }
    });
    let crowd = gateway.crowd(clients.collect());
    std::thread::sleep(FILLING_TIME);
    gateway.check_beside_and_after(crowd);
}

#[test]
fn gateway_short_responses_that_nobody_reads_on_all_connections() {
    let limits = ProcessLimits {
        descriptors: 128,
        ..LIMITS
    };
    let gateway = TestGateway::start(limits);
    let clients = (0..100).map(|number| unread_pipeline(number, 48, 64_000));
    let crowd = gateway.crowd(clients.collect());
    std::thread::sleep(FILLING_TIME);
    gateway.check_beside_and_after(crowd);
}

#[test]
fn gateway_long_heads_without_an_end() {
    let gateway = TestGateway::start(LIMITS);
    let client = CrowdClient::new("GET /read/0 HTTP/1.1\r\nHost: service.internal\r\nX-Long: ")
        .with_content(31_000);
    let crowd = gateway.crowd(vec![client; 500]);
    gateway.check_beside_and_after(crowd);
}

#[test]
fn gateway_more_idle_connections_than_descriptors() {
    let gateway = TestGateway::start(LIMITS);
    let crowd = gateway.crowd(vec![CrowdClient::new(""); 1000]);
    gateway.check_beside_and_after(crowd);
}

/// The beginning of an HTTP/2 connection, with empty settings.
const HTTP2_PREFACE: &str = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";
/// Time for a call beside a crowd: reached only on a failure.
const CALL_TIMEOUT: Duration = Duration::from_secs(50);

#[test]
fn gateway_more_idle_grpc_connections_than_allowed() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    harness::run(async {
        let bed = harness::test_bed(1, "");
        let crowd = Crowd::start(bed.grpc, vec![CrowdClient::new(HTTP2_PREFACE); 100]);
        crowd.wait_until_sent(SENDING_TIME);
        let mut crowd = Some(crowd);
        for id in ["beside", "after"] {
            let call = harness::send_call(&bed, id, harness::READ);
            let ended = tokio::time::timeout(CALL_TIMEOUT, call).await;
            let ended = ended.expect("a call beside the crowd ends");
            assert_eq!(ended.code(), Some(0), "{id}");
            crowd.take();
        }
        let pid = bed.program.child.id();
        assert!(peak_resident_kib(pid) <= 192 * 1024 && peak_resident_kib(pid) > 0);
        assert!(open_descriptors(pid) <= 1024);
    });
}
