//! Attempts over HTTP/1.1 against played backends.

use super::*;
use hyper::{Method, Uri};
use maplefall_settings::Links;
use socket2::SockRef;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Guards load reports: the values that the settings name are read, whatever stands between them.
#[test]
fn reads_a_load_report_by_its_names() {
    let names = vec!["depth".to_owned(), "load_share".to_owned()];
    let metrics = vec![Metric::Queue, Metric::Utilisation];
    let reading = ResponseReader {
        metric_names: names,
        metrics,
        max_units: 8.0,
        memory: ResponseMemory(Arc::default()),
    };
    let report = reading.parse_report("other=3, depth=2,load_share=0.61,broken");
    assert_eq!((report.queue, report.in_flight), (Some(2.0), None));
    assert!((report.utilisation.unwrap() - 0.61).abs() < 1e-6);
}

/// Longest time that a scenario may take.
const SCENARIO_TIMEOUT: Duration = Duration::from_secs(20);

fn pools() -> (Pools, ResponseReader) {
    let links = Links {
        dial_timeout: 20_000.0,
        idle_close: 600_000.0,
    };
    let reading = ResponseReader {
        metric_names: Vec::new(),
        metrics: Vec::new(),
        max_units: 8.0,
        memory: ResponseMemory(Arc::default()),
    };
    (Pools::new(links, 8), reading)
}

fn order() -> Order {
    let value = HeaderValue::from_static("id-1");
    Order {
        id: "id-1".into(),
        id_value: value.clone(),
        host: value,
        method: Method::POST,
        uri: Uri::from_static("/charge"),
        key: None,
        content_type: None,
        onward: Vec::new(),
        body: Bytes::from_static(b"hello"),
    }
}

/// Reads until the request has come up to its last byte but one, or whole.
async fn receive(stream: &mut TcpStream, to: &[u8]) {
    let mut got = Vec::new();
    while !got.ends_with(to) {
        assert!(
            stream.read_buf(&mut got).await.expect("a request") > 0,
            "ended"
        );
    }
}

/// Guards requests that must not run twice against connections that are dead unseen, kept or new: the reset
/// answers the bytes before the last, so nothing ran. A kept one has the next connection stand in for it
/// within the attempt; a new one ends it as never run.
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
            receive(&mut kept, b"hell").await;
            reset(kept);
            let (mut fresh, _) = listener.accept().await.expect("a connection in its place");
            serve(&mut fresh, "two").await;
            receive(&mut fresh, b"hell").await;
            reset(fresh);
            let (mut fresh, _) = listener.accept().await.expect("a connection in its place");
            receive(&mut fresh, b"hell").await;
            reset(fresh);
        });
        let ((pools, reading), order, id) = (pools(), order(), BackendId(1));
        pools.open(id, address, 0.0);
        let mut ends = Vec::new();
        for _ in 0..3 {
            ends.push(
                send_attempt(
                    &pools,
                    &reading,
                    id,
                    &order,
                    20_000.0,
                    SendMode::WithholdLastByteOnProvenConnection,
                    &AttemptHandle::default(),
                )
                .await,
            );
        }
        backend
            .await
            .expect("a backend that saw what it waited for");
        ends
    });
    let ends_seen: Vec<_> = ends
        .iter()
        .map(|end| (end.outcome, end.body.as_ref(), end.broken))
        .collect();
    assert_eq!(
        ends_seen,
        [
            (Outcome::Ok, &b"one"[..], 0),
            (Outcome::Ok, b"two", 1),
            (Outcome::ConnectFailed, b"", 2)
        ]
    );
}

/// Guards requests that must not run twice against connections that only look alive: where kept ones of some age
/// have taken a request and broken, such a request gets a new one, and others go on finding out.
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
                receive(&mut failing, b"hello").await;
                reset(failing);
            }
            let (mut old, _) = listener.accept().await.expect("a connection");
            serve(&mut old, "first").await;
            let (mut new, _) = listener.accept().await.expect("a new connection");
            serve(&mut new, "on a new one").await;
            serve(&mut new, "on a kept one").await;
            drop(old);
        });
        let ((pools, reading), order, id, line) =
            (pools(), order(), BackendId(1), AttemptHandle::default());
        pools.open(id, address, 0.0);
        let send =
            |send_mode| send_attempt(&pools, &reading, id, &order, 20_000.0, send_mode, &line);
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
            .expect("a backend that saw what it waited for");
    });
}

/// Guards drains against a wait for a connection that outlasts a life: by the time it is up the backend has drained and
/// has come back elsewhere, and who answers at the old address may get nothing.
#[test]
fn connection_dialed_for_an_earlier_instance_is_not_used() {
    run_scenario(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port");
        let address = listener.local_addr().expect("an address");
        let ((pools, reading), order, id, line) =
            (pools(), order(), BackendId(1), AttemptHandle::default());
        pools.open(id, address, 0.0);
        let send = send_attempt(
            &pools,
            &reading,
            id,
            &order,
            20_000.0,
            SendMode::Immediate,
            &line,
        );
        // While it is dialled.
        let move_on = async {
            pools.drain(id);
            pools.open(id, "127.0.0.1:9".parse().expect("an address"), 5.0);
        };
        let (ended, ()) = tokio::join!(send, move_on);
        assert_eq!(ended.outcome, Outcome::NotSent);
        let (mut stream, _) = listener
            .accept()
            .await
            .expect("the connection that was on its way");
        assert_eq!(
            stream.read(&mut [0; 8]).await.expect("an end"),
            0,
            "nothing was written to it"
        );
    });
}

async fn serve(stream: &mut TcpStream, body: &str) {
    receive(stream, b"hello").await;
    let answer = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(answer.as_bytes()).await.expect("a reader");
}

/// Plays a scenario on one thread, within a time that only a fault uses up.
fn run_scenario<T>(scenario: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let local = tokio::task::LocalSet::new();
    let all = async { tokio::time::timeout(SCENARIO_TIMEOUT, scenario).await };
    runtime
        .block_on(local.run_until(all))
        .expect("an end in time")
}

fn reset(stream: TcpStream) {
    SockRef::from(&stream)
        .set_linger(Some(Duration::ZERO))
        .expect("a socket");
}
