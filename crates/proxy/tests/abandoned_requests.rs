//! Requests whose clients leave before the response (GONE): what may be repeated ends with its client, what has not reached a
//! backend never does, and what may run once at most is left to end.

mod common;

use common::http::parse_request;
use common::slow_backend::run_local;
use common::TestProxy;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::Instant;

/// A backend may still be at work this long after its client has left (the users' rule GONE).
const MAX_WORK_AFTER_CLIENT: Duration = Duration::from_millis(500);
/// More than the kernel buffers on the way to a backend that does not read.
const LONG_BODY_BYTES: usize = 32 << 20;

/// A backend that never responds.
#[derive(Default)]
struct SilentBackend {
    /// Notified when the first bytes of a request have arrived.
    request_begun: Notify,
    /// Notified when a whole request has arrived.
    request_read: Notify,
    /// Notified when the connection has ended.
    connection_ended: Notify,
    /// Whole requests that have arrived.
    received: Cell<usize>,
    /// It reads no further than the first bytes until this is notified; `None` if it does not wait.
    read_on: Option<Notify>,
}

impl SilentBackend {
    /// Serves the backend on a loopback port.
    async fn listen(self: Rc<Self>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::task::spawn_local(self.clone().read(stream));
            }
        });
        address
    }

    async fn read(self: Rc<Self>, mut stream: TcpStream) {
        let (mut buffer, mut chunk) = (Vec::new(), vec![0_u8; 64 << 10]);
        while let Ok(count @ 1..) = stream.read(&mut chunk).await {
            let is_first = buffer.is_empty();
            buffer.extend_from_slice(&chunk[..count]);
            if is_first {
                self.request_begun.notify_one();
                if let Some(read_on) = &self.read_on {
                    read_on.notified().await;
                }
            }
            if buffer.len() < LONG_BODY_BYTES / 2 || buffer.len() >= LONG_BODY_BYTES {
                if let Ok((_, end)) = parse_request(&buffer, 0) {
                    buffer.drain(..end);
                    self.received.set(self.received.get() + 1);
                    self.request_read.notify_one();
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

/// Returns once the proxy knows that no client waits for a response.
async fn all_clients_gone(proxy: &TestProxy) {
    while proxy.proxy.with_core(|core| core.has_pending_requests()) {
        tokio::task::yield_now().await;
    }
}

/// Guards the work of backends (GONE). Seen by the users, and on a day with slow backends and clients that leave: every attempt
/// went on until its response. Also while the proxy shuts down, when clients keep their connections to the end.
#[test]
fn a_repeatable_request_ends_with_its_client() {
    for shutting_down in [false, true] {
        run_local(async move {
            let backend = Rc::new(SilentBackend::default());
            let proxy = TestProxy::start(1, &[backend.clone().listen().await]).await;
            let client = send_request(&proxy, "/patient/a", 2).await;
            backend.request_read.notified().await;
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
            let in_time = tokio::time::timeout(MAX_WORK_AFTER_CLIENT, ended).await;
            assert!(in_time.is_ok(), "shutting_down={shutting_down}");
            assert_eq!(backend.received.get(), 1, "it is not sent again");
        });
    }
}

/// Guards what is not idempotent: a backend that is at work on it may be halfway through, so it is left to end.
#[test]
fn a_request_that_may_run_once_only_is_left_to_its_backend() {
    run_local(async {
        let backend = Rc::new(SilentBackend::default());
        let proxy = TestProxy::start(1, &[backend.clone().listen().await]).await;
        let client = send_request(&proxy, "/once/a", 2).await;
        backend.request_read.notified().await;
        drop(client);
        all_clients_gone(&proxy).await;
        let ended = backend.connection_ended.notified();
        let too_soon = tokio::time::timeout(MAX_WORK_AFTER_CLIENT, ended).await;
        assert!(too_soon.is_err(), "the attempt was broken off");
    });
}

/// Guards against effects that nobody waits for: a request that was not completely written when its client left has not run, and
/// never will.
#[test]
fn an_unwritten_request_never_reaches_its_backend_once_its_client_has_left() {
    for path in ["/patient/long", "/once/long"] {
        run_local(async move {
            let backend = Rc::new(SilentBackend {
                read_on: Some(Notify::new()),
                ..SilentBackend::default()
            });
            let proxy = TestProxy::start(1, &[backend.clone().listen().await]).await;
            let client = send_request(&proxy, path, LONG_BODY_BYTES).await;
            backend.request_begun.notified().await;
            drop(client);
            all_clients_gone(&proxy).await;
            backend.read_on.as_ref().expect("it waits").notify_one();
            backend.connection_ended.notified().await;
            assert_eq!(backend.received.get(), 0, "{path} was received whole");
        });
    }
}
