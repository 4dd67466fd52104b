//! Attempts over HTTP/1.1 against test servers.

use super::*;
use hyper::{Method, Uri};
use maplefall_settings::ConnectionTimeouts;
use socket2::SockRef;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Guards load reports: metrics named in the settings are read, whatever other fields are between
/// them.
#[test]
fn reads_a_load_report_by_its_names() {
    let names = vec!["depth".to_owned(), "load_share".to_owned()];
    let metrics = vec![Metric::Queue, Metric::Utilisation];
    let reader = ResponseReader {
        metric_names: names,
        metrics,
        max_units: 8.0,
        memory: ResponseMemory::new(0),
    };
    let report = reader.parse_report("other=3, depth=2,load_share=0.61,broken");
    assert_eq!((report.queue, report.in_flight), (Some(2.0), None));
    assert!((report.utilisation.unwrap() - 0.61).abs() < 1e-6);
}

const HEAD_END: &[u8] = b"\r\n\r\n";
const HEAD_BUT_LAST_BYTE: &[u8] = b"\r\n\r";
/// Length of a request body: more than the kernel buffers on the way to a backend that does not
/// read.
const LONG_BODY_BYTES: usize = 32 << 20;
/// Time limit of a scenario.
const SCENARIO_TIMEOUT: Duration = Duration::from_secs(20);

fn pools() -> (Pools, ResponseReader) {
    let timeouts = ConnectionTimeouts {
        dial_timeout: 20_000.0,
        idle_close: 600_000.0,
    };
    let reader = ResponseReader {
        metric_names: Vec::new(),
        metrics: Vec::new(),
        max_units: 8.0,
        memory: ResponseMemory::new(0),
    };
    (Pools::new(timeouts, 8), reader)
}

fn test_request() -> ForwardedRequest {
    let value = HeaderValue::from_static("id-1");
    ForwardedRequest {
        id: "id-1".into(),
        id_value: value.clone(),
        host: value,
        method: Method::POST,
        uri: Uri::from_static("/charge"),
        key: None,
        content_type: None,
        added_headers: Vec::new(),
        body: Bytes::from_static(b"hello"),
    }
}

/// Reads until the received bytes end with `end`.
async fn receive_until(stream: &mut TcpStream, end: &[u8]) {
    let mut received = Vec::new();
    while !received.ends_with(end) {
        assert!(
            stream.read_buf(&mut received).await.expect("a request") > 0,
            "the connection ended early"
        );
    }
}

/// Guards non-idempotent requests against connections, reused or new, that are dead without notice:
/// the connection is reset in response to the bytes before the last one of the head, so the request
/// has not run. In place of a dead reused connection another one is tried within the attempt; on a dead new
/// one the attempt ends as never run.
#[test]
fn request_lost_on_a_dead_connection_has_not_run() {
    let ends = run_scenario(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port");
        let address = listener.local_addr().expect("an address");
        let backend = tokio::task::spawn_local(async move {
            let (mut kept, _) = listener.accept().await.expect("a connection");
            serve(&mut kept, "one").await;
            receive_until(&mut kept, HEAD_BUT_LAST_BYTE).await;
            reset(kept);
            let (mut fresh, _) = listener.accept().await.expect("a replacement connection");
            serve(&mut fresh, "two").await;
            receive_until(&mut fresh, HEAD_BUT_LAST_BYTE).await;
            reset(fresh);
            let (mut fresh, _) = listener.accept().await.expect("a replacement connection");
            receive_until(&mut fresh, HEAD_BUT_LAST_BYTE).await;
            reset(fresh);
        });
        let ((pools, reader), test_request, id) = (pools(), test_request(), BackendId(1));
        pools.open(id, address, 0.0);
        let mut ends = Vec::new();
        for _ in 0..3 {
            ends.push(
                send_attempt(
                    &pools,
                    &reader,
                    id,
                    &test_request,
                    20_000.0,
                    SendMode::WithholdLastByteOnProvenConnection,
                    &AttemptHandle::default(),
                )
                .await,
            );
        }
        backend
            .await
            .expect("a backend that received the expected bytes");
        ends
    });
    let outcomes: Vec<_> = ends
        .iter()
        .map(|end| (end.outcome, end.body.as_ref(), end.broken_connections))
        .collect();
    assert_eq!(
        outcomes,
        [
            (Outcome::Ok, &b"one"[..], 0),
            (Outcome::Ok, b"two", 1),
            (Outcome::ConnectFailed, b"", 2)
        ]
    );
}

/// Guards against a second run: a connection that breaks after the complete head, even a reused one,
/// or a response of which it is uncertain that it belongs to the request, says nothing about
/// whether the backend has begun to work on it.
#[test]
fn request_is_not_sent_again_after_its_head() {
    for responds in [false, true] {
        let (end, connections) = run_scenario(async move {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
                .await
                .expect("a port");
            let address = listener.local_addr().expect("an address");
            let connections = Rc::new(Cell::new(0));
            let accepted = connections.clone();
            tokio::task::spawn_local(async move {
                let (mut kept, _) = listener.accept().await.expect("a connection");
                accepted.set(1);
                serve(&mut kept, "one").await;
                receive_head(&mut kept).await;
                if responds {
                    let response = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo";
                    kept.write_all(response).await.expect("a response");
                } else {
                    reset(kept);
                }
                while listener.accept().await.is_ok() {
                    accepted.set(accepted.get() + 1);
                }
            });
            let ((pools, reader), id) = (pools(), BackendId(1));
            pools.open(id, address, 0.0);
            let long_request = ForwardedRequest {
                body: Bytes::from(vec![b'b'; LONG_BODY_BYTES]),
                ..test_request()
            };
            let mut ends = Vec::new();
            for request in [&test_request(), &long_request] {
                let mode = SendMode::WithholdLastByteOnProvenConnection;
                let handle = AttemptHandle::default();
                let end = send_attempt(&pools, &reader, id, request, 20_000.0, mode, &handle);
                ends.push(end.await.outcome);
            }
            (ends, connections.get())
        });
        let expected = (vec![Outcome::Ok, Outcome::Reset], 1);
        assert_eq!((end, connections), expected, "responds={responds}");
    }
}

/// Guards non-idempotent requests against connections that only look alive: if reused connections
/// of some idle age have taken a request and broken, a non-idempotent request gets a new
/// connection, and other requests still reuse old ones.
#[test]
fn non_idempotent_request_avoids_connections_of_an_age_that_fails() {
    let old = Duration::from_millis(300);
    run_scenario(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port");
        let address = listener.local_addr().expect("an address");
        let backend = tokio::task::spawn_local(async move {
            for _ in 0..3 {
                let (mut failing, _) = listener.accept().await.expect("a connection");
                serve(&mut failing, "good").await;
                receive_until(&mut failing, b"hello").await;
                reset(failing);
            }
            let (mut old, _) = listener.accept().await.expect("a connection");
            serve(&mut old, "first").await;
            let (mut new, _) = listener.accept().await.expect("a new connection");
            serve(&mut new, "on a new one").await;
            serve(&mut new, "on a kept one").await;
            drop(old);
        });
        let ((pools, reader), test_request, id, handle) = (
            pools(),
            test_request(),
            BackendId(1),
            AttemptHandle::default(),
        );
        pools.open(id, address, 0.0);
        let send = |send_mode| {
            send_attempt(
                &pools,
                &reader,
                id,
                &test_request,
                20_000.0,
                send_mode,
                &handle,
            )
        };
        for _ in 0..3 {
            assert_eq!(send(SendMode::Immediate).await.outcome, Outcome::Ok);
            pools.age_idle_connections(old);
            assert_eq!(send(SendMode::Immediate).await.outcome, Outcome::Reset);
        }
        assert_eq!(send(SendMode::Immediate).await.body, "first");
        pools.age_idle_connections(old);
        assert_eq!(
            send(SendMode::WithholdLastByteOnProvenConnection)
                .await
                .body,
            "on a new one"
        );
        pools.age_idle_connections(old);
        assert_eq!(send(SendMode::Immediate).await.body, "on a kept one");
        backend
            .await
            .expect("a backend that received the expected bytes");
    });
}

/// Guards drains against a dial that outlasts the instance of the backend: when the connection is
/// up, the backend has drained and has come back at another address, and the server at the old
/// address must receive nothing.
#[test]
fn connection_dialed_for_an_earlier_instance_is_not_used() {
    run_scenario(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port");
        let address = listener.local_addr().expect("an address");
        let ((pools, reader), test_request, id, handle) = (
            pools(),
            test_request(),
            BackendId(1),
            AttemptHandle::default(),
        );
        pools.open(id, address, 0.0);
        let send = send_attempt(
            &pools,
            &reader,
            id,
            &test_request,
            20_000.0,
            SendMode::Immediate,
            &handle,
        );
        // The backend drains and returns at another address while the connection is being dialed.
        let restart_elsewhere = async {
            pools.drain(id);
            pools.open(id, "127.0.0.1:9".parse().expect("an address"), 5.0);
        };
        let (ended, ()) = tokio::join!(send, restart_elsewhere);
        assert_eq!(ended.outcome, Outcome::NotSent);
        let (mut stream, _) = listener
            .accept()
            .await
            .expect("the connection that was being dialed");
        assert_eq!(
            stream
                .read(&mut [0; 8])
                .await
                .expect("the connection closes"),
            0,
            "nothing was written to it"
        );
    });
}

/// Reads until the head of a request is complete.
async fn receive_head(stream: &mut TcpStream) {
    let mut received = Vec::new();
    while !received.windows(HEAD_END.len()).any(|end| end == HEAD_END) {
        let count = stream.read_buf(&mut received).await.expect("a request");
        assert!(count > 0, "the connection ended early");
    }
}

async fn serve(stream: &mut TcpStream, body: &str) {
    receive_until(stream, b"hello").await;
    let response = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream
        .write_all(response.as_bytes())
        .await
        .expect("a reader");
}

/// Runs a scenario on one thread, within a time limit that only a fault exceeds.
fn run_scenario<T>(scenario: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let local = tokio::task::LocalSet::new();
    let all = async { tokio::time::timeout(SCENARIO_TIMEOUT, scenario).await };
    runtime
        .block_on(local.run_until(all))
        .expect("the scenario ends in time")
}

fn reset(stream: TcpStream) {
    SockRef::from(&stream)
        .set_linger(Some(Duration::ZERO))
        .expect("a socket");
}
