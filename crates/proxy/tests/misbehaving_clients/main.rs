//! A proxy process among clients that misbehave: it stays within the memory and the descriptors of
//! its machine, and ordinary requests are served while the crowd stands and afterwards. One test at
//! a time.
//!
//! Guards against the following failures: bodies held short of their end for as long as their
//! clients stated, and responses that nobody reads, held the memory for bodies for good; connections
//! that wait for such a client were never closed at the connection limit; long heads were in no
//! account; probes had no limit on descriptors.

#[path = "../common/mod.rs"]
mod common;
mod system;

use maplefall_test_servers::crowd::{Crowd, CrowdClient, Framing};
use maplefall_test_servers::measured_process::ProcessLimits;
use std::time::Duration;
use system::TestSystem;

const MIB: usize = 1 << 20;
const LIMITS: ProcessLimits = ProcessLimits {
    memory_mb: 64,
    descriptors: 1000,
};
/// Time between two clients that read no response.
const CLIENT_INTERVAL: Duration = Duration::from_millis(50);
/// Time for responses that nobody reads to fill the sockets of a crowd.
const FILLING_TIME: Duration = Duration::from_secs(3);
/// What the crowds state as their remaining time, in milliseconds: longer than any test waits.
const STATED_TIME: &str = "600000";
/// Number of tenants of the tests with many keys.
const TENANTS: usize = 20;

/// Routes to one service, without tenants.
const WITHOUT_KEYS: &str = r#"{"Upsert":{"RouteTable":{"ColumnNames":["Name","Host","PathPrefix","RouteKind","TimeoutS","SetpointS","MaxAttempts","Version","Service"],"DataRows":[["r1","h.example","/bulk/","nonidempotent",20,10,1,"00000001","one"]]},"Services":{"ColumnNames":["Name","HealthPath","Version"],"DataRows":[["one","/health","00000001"]]}}}"#;

/// [`WITHOUT_KEYS`] with [`TENANTS`] tenants without a quota, whose keys are `key-0` and so on.
fn with_keys() -> String {
    let rows: Vec<String> = (0..TENANTS)
        .map(|number| format!(r#"["t-{number}",["key-{number}"],"00000001"]"#))
        .collect();
    let tenants = format!(
        r#""Tenants":{{"ColumnNames":["Name","ApiKeys","Version"],"DataRows":[{}]}},"Services""#,
        rows.join(",")
    );
    WITHOUT_KEYS.replace(r#""Services""#, &tenants)
}

/// With [`LIMITS`] and a limit on heads far above the usual one.
fn with_long_heads() -> String {
    WITHOUT_KEYS.replace(
        r#""Services""#,
        r#""Limits":{"HeaderBytes":262144,"BodyBytes":67108864,"HeaderS":3,"IdleS":15,"Version":"00000001"},"Services""#,
    )
}

/// The head of a request; the response's body has `response_bytes`.
fn head(response_bytes: usize, key: Option<usize>, remaining: &str, framing: &str) -> String {
    let key = key.map_or_else(String::new, |key| {
        format!("Authorization: Token key-{key}\r\n")
    });
    format!(
        "POST /bulk/{response_bytes} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a\r\n{key}\
         X-Time-Remaining: {remaining}\r\n{framing}\r\n\r\n"
    )
}

/// A request of an ordinary client.
fn ordinary(body_bytes: usize, response_bytes: usize, key: Option<usize>) -> Vec<u8> {
    let length = format!("Content-Length: {body_bytes}");
    let mut request = head(response_bytes, key, "5000", &length).into_bytes();
    request.resize(request.len() + body_bytes, b'o');
    request
}

/// Short and long requests and responses.
fn ordinary_requests() -> Vec<Vec<u8>> {
    vec![
        ordinary(4096, 0, None),
        ordinary(300_000, 0, None),
        ordinary(0, 4096, None),
        ordinary(0, 300_000, None),
    ]
}

/// A client that announces a body and holds its last byte back.
fn held(body_bytes: usize, key: Option<usize>) -> CrowdClient {
    let length = format!("Content-Length: {body_bytes}");
    CrowdClient::new(head(0, key, STATED_TIME, &length)).with_content(body_bytes - 1)
}

#[test]
fn proxy_short_bodies_held_short_of_their_end_without_keys() {
    let system = TestSystem::start(LIMITS, WITHOUT_KEYS);
    let crowd = system.crowd(vec![held(60_000, None); 400]);
    system.check_beside_and_after(crowd, &ordinary_requests());
}

#[test]
fn proxy_short_bodies_held_short_of_their_end_with_one_key() {
    let system = TestSystem::start(LIMITS, &with_keys());
    let crowd = system.crowd(vec![held(60_000, Some(0)); 400]);
    let requests = [ordinary(4096, 0, Some(0)), ordinary(4096, 0, Some(1))];
    system.check_beside_and_after(crowd, &requests);
}

#[test]
fn proxy_short_bodies_held_short_of_their_end_with_many_keys() {
    let system = TestSystem::start(LIMITS, &with_keys());
    let clients = (0..400).map(|number| held(60_000, Some(number % (TENANTS - 1))));
    let crowd = system.crowd(clients.collect());
    let requests = [
        ordinary(4096, 0, Some(0)),
        ordinary(4096, 0, Some(TENANTS - 1)),
    ];
    system.check_beside_and_after(crowd, &requests);
}

#[test]
fn proxy_long_bodies_held_short_of_their_end() {
    let system = TestSystem::start(LIMITS, WITHOUT_KEYS);
    // In the calm, a single long body is served.
    system.check_served(&ordinary(20 * MIB, 0, None));
    let crowd = system.crowd(vec![held(4 * MIB, None); 30]);
    system.check_beside_and_after(crowd, &ordinary_requests());
}

#[test]
fn proxy_chunked_bodies_without_an_end() {
    let system = TestSystem::start(LIMITS, WITHOUT_KEYS);
    let chunked = CrowdClient::new(head(0, None, STATED_TIME, "Transfer-Encoding: chunked"));
    let short = chunked.clone().with_content(60_000).in_pieces(
        Framing::Chunked,
        500,
        Duration::from_millis(5),
    );
    let long = chunked
        .with_content(2 * MIB)
        .in_pieces(Framing::Chunked, 64 << 10, Duration::ZERO);
    let mut clients = vec![short; 350];
    clients.extend(vec![long; 50]);
    let crowd = system.crowd(clients);
    system.check_beside_and_after(crowd, &ordinary_requests());
}

#[test]
fn proxy_long_responses_that_nobody_reads() {
    let system = TestSystem::start(LIMITS, WITHOUT_KEYS);
    let client = CrowdClient::new(head(4 * MIB, None, STATED_TIME, "Content-Length: 0"));
    let mut clients = vec![client.clone(); 20];
    clients.extend(vec![client.reading_slowly(); 20]);
    let crowd = system.crowd(clients);
    system.check_beside_and_after(crowd, &ordinary_requests());
}

/// Clients that each send many requests at once and read none of the responses. They come one after
/// the other, so that the backend is not overloaded.
fn unread_pipelines(size: u32, requests: usize, response_bytes: usize) -> Vec<CrowdClient> {
    let request = head(response_bytes, None, STATED_TIME, "Content-Length: 0");
    let requests = request.repeat(requests);
    let client = |number| CrowdClient::new(requests.clone()).after(CLIENT_INTERVAL * number);
    (0..size).map(client).collect()
}

#[test]
fn proxy_short_responses_that_nobody_reads() {
    let system = TestSystem::start(LIMITS, WITHOUT_KEYS);
    let crowd = system.crowd(unread_pipelines(100, 100, 60_000));
    std::thread::sleep(FILLING_TIME);
    system.check_beside_and_after(crowd, &ordinary_requests());
}

#[test]
fn proxy_responses_that_nobody_reads_on_all_connections() {
    let limits = ProcessLimits {
        descriptors: 300,
        ..LIMITS
    };
    let system = TestSystem::start(limits, WITHOUT_KEYS);
    let crowd = system.crowd(unread_pipelines(100, 12, 250_000));
    std::thread::sleep(FILLING_TIME);
    system.check_beside_and_after(crowd, &ordinary_requests());
}

#[test]
fn proxy_bodies_held_on_all_connections() {
    let limits = ProcessLimits {
        descriptors: 300,
        ..LIMITS
    };
    let system = TestSystem::start(limits, WITHOUT_KEYS);
    let crowd = system.crowd(vec![held(1000, None); 100]);
    system.check_beside_and_after(crowd, &ordinary_requests());
}

#[test]
fn proxy_long_heads_without_an_end() {
    let system = TestSystem::start(LIMITS, &with_long_heads());
    let opening = "POST /bulk/0 HTTP/1.1\r\nHost: h.example\r\nX-Long: ";
    let crowd = system.crowd(vec![CrowdClient::new(opening).with_content(250_000); 400]);
    system.check_beside_and_after(crowd, &ordinary_requests());
}

#[test]
fn proxy_long_heads_of_held_bodies() {
    let system = TestSystem::start(LIMITS, &with_long_heads());
    let long_header = "h".repeat(250_000);
    let framing = format!("X-Long: {long_header}\r\nContent-Length: 60000");
    let client = CrowdClient::new(head(0, None, STATED_TIME, &framing)).with_content(100);
    let crowd = system.crowd(vec![client; 400]);
    system.check_beside_and_after(crowd, &ordinary_requests());
}

#[test]
fn proxy_more_idle_connections_than_descriptors() {
    let system = TestSystem::start(LIMITS, WITHOUT_KEYS);
    let crowd = system.crowd(vec![CrowdClient::new(""); 1500]);
    system.check_beside_and_after(crowd, &ordinary_requests());
}

#[test]
fn proxy_more_idle_probes_than_descriptors() {
    let limits = ProcessLimits {
        descriptors: 300,
        ..LIMITS
    };
    let system = TestSystem::start(limits, WITHOUT_KEYS);
    let crowd = Crowd::start(system.probe, vec![CrowdClient::new(""); 1500]);
    crowd.wait_until_sent(Duration::from_secs(10));
    system.check_beside_and_after(crowd, &ordinary_requests());
}
