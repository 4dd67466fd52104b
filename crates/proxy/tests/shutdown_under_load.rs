//! A shutdown while clients go on connecting (rule LOST).
//!
//! Guards against the following failure: a proxy of a zone of three was stopped while another one
//! was stopping. Fewer than half of the zone's proxies were ready, so the platform sent clients to
//! all three. The stopping proxy always had a request in flight, went on accepting until its grace
//! period was over, and broke the connections that it had accepted last: requests accepted 4.8 to
//! 5.6 s after SIGTERM, all broken 5.62 s after it. The connections always broke at `GraceS` less
//! the 0.4 s that are reserved for the exit of the process, and the log had `event=shutdown_timeout
//! open=N`.
//!
//! A second fault: a connection that was accepted late in a shutdown was closed at once if its
//! first request had not arrived in the same moment, thousands of them in a second and a half of
//! this test.
//!
//! A proxy that shuts down therefore accepts only what it can finish: no request whose deadline is
//! after the proxy's, and it waits a moment for the first request of a new connection.

mod common;

use common::slow_backend::{listen, read_response, run_local, send_request, SlowBackend};
use common::TestProxy;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// A route with a timeout of [`SHORTEST_TIMEOUT`], and `/long/` with one of 20 s.
const CONFIGURATION: &str = r#"{"Upsert":{"RouteTable":{"ColumnNames":["Name","Host","PathPrefix","RouteKind","TimeoutS","SetpointS","MaxAttempts","Version","Service"],"DataRows":[["r1","h.example","/once/","nonidempotent",0.4,0.2,1,"00000001","one"],["r2","h.example","/long/","nonidempotent",20,10,1,"00000001","one"]]},"Services":{"ColumnNames":["Name","HealthPath","Version"],"DataRows":[["one","/health","00000001"]]}}}"#;
const SHORTEST_TIMEOUT: Duration = Duration::from_millis(400);
const MAX_SOCKETS: usize = 4096;
/// Time that a backend takes for a request, so that several are in flight at any moment.
const WORK_TIME: Duration = Duration::from_millis(120);
const CLIENTS: usize = 8;
const DRAIN_DELAY: Duration = Duration::from_millis(100);
const GRACE: Duration = Duration::from_millis(1500);
const LATE_REQUEST: &str =
    "POST /once/late HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: late\r\nContent-Length: 0\r\n\r\n";

/// Results that the clients recorded.
#[derive(Default)]
struct ClientResults {
    /// Send time and status of each request that received a response.
    responses: RefCell<Vec<(Instant, u16)>>,
    /// Number of connections that ended without a response.
    closed_without_response: Cell<usize>,
    /// When a connection was refused first.
    refused_at: Cell<Option<Instant>>,
}

/// Sends one request after another, each on a new connection, until connections are refused.
async fn keep_connecting(address: SocketAddr, results: Rc<ClientResults>) {
    while let Ok(mut stream) = TcpStream::connect(address).await {
        let sent_at = Instant::now();
        match send_request(&mut stream, "/once/request").await {
            Ok(response) => results
                .responses
                .borrow_mut()
                .push((sent_at, response.status())),
            Err(_) => results
                .closed_without_response
                .set(results.closed_without_response.get() + 1),
        }
    }
    let refused_at = results.refused_at.get().unwrap_or_else(Instant::now);
    results.refused_at.set(Some(refused_at));
}

/// Guards requests that a stopping proxy accepts: a request is in flight, and clients keep
/// connecting; each of them receives its response before the shutdown ends, and the proxy goes on
/// accepting while there is time.
///
/// The request in flight is held until connections are refused: a proxy that is idle for a moment
/// refuses them at once, and clients alone would leave it idle whenever the machine pauses the test
/// and their requests then end together.
#[test]
fn a_stopping_proxy_completes_every_request_it_accepts() {
    run_local(async {
        let backend = Rc::new(SlowBackend::default());
        backend.work_time.set(WORK_TIME);
        let backends = [listen(backend.clone()).await];
        let proxy = TestProxy::with_configuration(1, &backends, MAX_SOCKETS, CONFIGURATION).await;
        let address = proxy.address;
        let held_request = tokio::task::spawn_local(async move {
            let mut stream = TcpStream::connect(address).await.expect("a connection");
            send_request(&mut stream, "/long/held").await
        });
        backend.request_held.notified().await;
        let results = Rc::new(ClientResults::default());
        let clients: Vec<_> = (0..CLIENTS)
            .map(|_| tokio::task::spawn_local(keep_connecting(address, results.clone())))
            .collect();
        while backend.received.get() < 2 * CLIENTS {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let shutdown_started_at = Instant::now();
        let deadline = shutdown_started_at + GRACE;
        let server = proxy.server.clone();
        let shutdown = tokio::task::spawn_local(async move {
            server.shut_down_by(DRAIN_DELAY, deadline).await;
        });
        for client in clients {
            client.await.expect("a client");
        }
        backend.release.notify_one();
        let response = held_request.await.expect("a client").expect("a response");
        assert_eq!(response.status(), 200);
        shutdown.await.expect("a shutdown");
        assert!(
            !proxy.proxy.with_core(|core| core.has_pending_requests()),
            "accepted requests are pending when the process ends"
        );
        assert!(
            Instant::now() < deadline,
            "the shutdown took all of its time"
        );
        let responses = results.responses.borrow();
        let served_after_drain_delay = responses
            .iter()
            .filter(|(sent_at, status)| {
                *sent_at > shutdown_started_at + DRAIN_DELAY && *status == 200
            })
            .count();
        assert!(
            served_after_drain_delay > 0,
            "the proxy served nothing after the drain delay"
        );
        let refused_at = results.refused_at.get().expect("a refused connection");
        assert!(
            refused_at >= deadline - SHORTEST_TIMEOUT,
            "the proxy stopped accepting too early"
        );
        assert_eq!(
            results.closed_without_response.get(),
            0,
            "connections without a response"
        );
    });
}

/// Guards requests that are still being read: one that arrives completely during the shutdown, and
/// whose deadline is after the proxy's (its route has 20 s), is rejected at once with a status that
/// implies that it has not run.
#[test]
fn a_request_that_may_outlast_the_process_is_rejected() {
    run_local(async {
        let backend = Rc::new(SlowBackend::default());
        let backends = [listen(backend.clone()).await];
        let proxy = TestProxy::start(1, &backends).await;
        let address = proxy.address;
        let held_request = tokio::task::spawn_local(async move {
            let mut stream = TcpStream::connect(address).await.expect("a connection");
            send_request(&mut stream, "/once/held").await
        });
        backend.request_held.notified().await;
        let mut slow_client = TcpStream::connect(address).await.expect("a connection");
        let (first_line, rest) = LATE_REQUEST.split_at(LATE_REQUEST.find("Host").unwrap_or(0));
        slow_client
            .write_all(first_line.as_bytes())
            .await
            .expect("a part of the request is sent");
        let server = proxy.server.clone();
        let shutdown = tokio::task::spawn_local(async move {
            let deadline = Instant::now() + GRACE;
            server.shut_down_by(DRAIN_DELAY, deadline).await;
        });
        tokio::time::sleep(2 * DRAIN_DELAY).await;
        slow_client
            .write_all(rest.as_bytes())
            .await
            .expect("a part of the request is sent");
        let response = read_response(&mut slow_client).await.expect("a response");
        assert_eq!((response.status(), response.closes()), (503, true));
        assert!(response.single("retry-after").is_some());
        assert_eq!(backend.received.get(), 1, "the late request was forwarded");
        backend.release.notify_one();
        let response = held_request.await.expect("a client").expect("a response");
        assert_eq!(response.status(), 200);
        shutdown.await.expect("a shutdown");
    });
}
