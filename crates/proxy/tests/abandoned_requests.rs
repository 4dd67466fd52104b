//! Requests whose clients disconnect before the response (rule GONE): an attempt of an idempotent
//! request is cancelled, a request that is not completely written never reaches its backend, and a
//! non-idempotent request that a backend has received is left to finish.

mod common;

use common::http::parse_request;
use common::listener::listen_with;
use common::slow_backend::run_local;
use common::TestProxy;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The time that a backend may still work on a request after its client has disconnected (rule
/// GONE).
const MAX_WORK_AFTER_DISCONNECT: Duration = Duration::from_millis(500);
/// Length of a request body: more than the kernel buffers on the way to a backend that does not
/// read.
const LONG_BODY_BYTES: usize = 32 << 20;

/// A backend that never responds.
#[derive(Default)]
struct UnresponsiveBackend {
    /// Notified when the first bytes of a request have arrived.
    request_started: Notify,
    /// Notified when a complete request has arrived.
    request_received: Notify,
    /// Notified when the connection has ended.
    connection_ended: Notify,
    /// Number of complete requests that have arrived.
    received: Cell<usize>,
    /// Delays reading after the first bytes until notified; `None` for no delay.
    resume_reading: Option<Notify>,
}

impl UnresponsiveBackend {
    /// Starts the backend on a loopback port.
    async fn listen(self: Rc<Self>) -> SocketAddr {
        listen_with(move |stream| self.clone().read_requests(stream)).await
    }

    async fn read_requests(self: Rc<Self>, mut stream: TcpStream) {
        let (mut buffer, mut chunk) = (Vec::new(), vec![0_u8; 64 << 10]);
        while let Ok(count @ 1..) = stream.read(&mut chunk).await {
            let is_first = buffer.is_empty();
            buffer.extend_from_slice(&chunk[..count]);
            if is_first {
                self.request_started.notify_one();
                if let Some(resume_reading) = &self.resume_reading {
                    resume_reading.notified().await;
                }
            }
            if buffer.len() < LONG_BODY_BYTES / 2 || buffer.len() >= LONG_BODY_BYTES {
                if let Ok((_, end)) = parse_request(&buffer, 0) {
                    buffer.drain(..end);
                    self.received.set(self.received.get() + 1);
                    self.request_received.notify_one();
                }
            }
        }
        self.connection_ended.notify_one();
    }
}

/// Sends a request and returns its connection.
async fn send_request(proxy: &TestProxy, path: &str, body_bytes: usize) -> TcpStream {
    let mut stream = TcpStream::connect(proxy.address)
        .await
        .expect("a connection");
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a\r\nContent-Length: {body_bytes}\r\n\r\n"
    );
    stream
        .write_all(head.as_bytes())
        .await
        .expect("the proxy reads the head");
    stream
        .write_all(&vec![b'b'; body_bytes])
        .await
        .expect("the proxy reads the body");
    stream
}

/// Waits until the proxy has no request whose client waits for a response.
async fn wait_until_no_client_waits(proxy: &TestProxy) {
    while proxy.proxy.with_core(|core| core.has_pending_requests()) {
        tokio::task::yield_now().await;
    }
}

/// Guards against work that nobody waits for (rule GONE): with slow backends and disconnecting
/// clients, every attempt used to continue until the backend's response. Also checked during a
/// shutdown, when clients keep their connections until the end.
#[test]
fn an_idempotent_request_is_cancelled_when_its_client_disconnects() {
    for shutting_down in [false, true] {
        run_local(async move {
            let backend = Rc::new(UnresponsiveBackend::default());
            let proxy = TestProxy::start(1, &[backend.clone().listen().await]).await;
            let client = send_request(&proxy, "/patient/a", 2).await;
            backend.request_received.notified().await;
            if shutting_down {
                let (server, deadline) = (proxy.server.clone(), Instant::now());
                let deadline = deadline + common::slow_backend::TIMEOUT;
                tokio::task::spawn_local(async move {
                    server.shut_down_by(Duration::ZERO, deadline).await;
                });
                tokio::task::yield_now().await;
            }
            drop(client);
            let ended = backend.connection_ended.notified();
            let in_time = tokio::time::timeout(MAX_WORK_AFTER_DISCONNECT, ended).await;
            assert!(in_time.is_ok(), "shutting_down={shutting_down}");
            assert_eq!(backend.received.get(), 1, "the request was sent again");
        });
    }
}

/// Guards non-idempotent requests: the backend may have run one halfway, so the attempt is not
/// cancelled.
#[test]
fn a_non_idempotent_request_continues_after_its_client_disconnects() {
    run_local(async {
        let backend = Rc::new(UnresponsiveBackend::default());
        let proxy = TestProxy::start(1, &[backend.clone().listen().await]).await;
        let client = send_request(&proxy, "/once/a", 2).await;
        backend.request_received.notified().await;
        drop(client);
        wait_until_no_client_waits(&proxy).await;
        let ended = backend.connection_ended.notified();
        let wait_result = tokio::time::timeout(MAX_WORK_AFTER_DISCONNECT, ended).await;
        assert!(wait_result.is_err(), "the attempt was cancelled");
    });
}

/// Guards against side effects that nobody waits for: a request that was not completely written
/// when its client disconnected has not run and never will.
#[test]
fn a_partially_written_request_is_not_completed_after_its_client_disconnects() {
    for path in ["/patient/long", "/once/long"] {
        run_local(async move {
            let backend = Rc::new(UnresponsiveBackend {
                resume_reading: Some(Notify::new()),
                ..UnresponsiveBackend::default()
            });
            let proxy = TestProxy::start(1, &[backend.clone().listen().await]).await;
            let client = send_request(&proxy, path, LONG_BODY_BYTES).await;
            backend.request_started.notified().await;
            drop(client);
            wait_until_no_client_waits(&proxy).await;
            backend
                .resume_reading
                .as_ref()
                .expect("a backend that delays reading")
                .notify_one();
            backend.connection_ended.notified().await;
            assert_eq!(backend.received.get(), 0, "{path} was received completely");
        });
    }
}
