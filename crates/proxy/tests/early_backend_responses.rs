//! Backends that begin to work on a request, or respond to it, before they have read its long body.
//! Such a request may have run, so a non-idempotent one is not sent again (rule TWICE) and its
//! client gets no status that promises that it has not run (rule REFUSED).

mod common;

use common::http::{parse_request, Message};
use common::listener::listen_with;
use common::slow_backend::{read_response, run_local};
use common::TestProxy;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Length of a request body: more than the kernel buffers on the way to a backend that does not
/// read.
const LONG_BODY_BYTES: usize = 32 << 20;
/// The remaining time of a request that its backend never responds to, in milliseconds.
const SHORT_REMAINING_MS: u64 = 400;
const LONG_REMAINING_MS: u64 = 20_000;
/// Number of concurrent requests that leave idle connections to all backends.
const POOLED_CONNECTIONS: usize = 16;

const SUCCESS: &str = "200 OK\r\nX-Server-Seal: s";
const FAILURE: &str = "500 Internal Server Error";
const NOT_EXECUTED: &str = "503 Service Unavailable\r\nX-Not-Executed: 1";

/// What a backend does with a request of which it has the head and part of the body.
#[derive(Clone, Copy, Debug, PartialEq)]
enum EarlyAction {
    /// Sends a response with this status line and these headers, and reads nothing more.
    Respond(&'static str),
    /// Resets the connection.
    Reset,
    /// Keeps the connection open and does nothing.
    Hang,
}

/// A backend that acts early on as many requests as `actions` has entries, and serves all others
/// once they are complete.
#[derive(Default)]
struct EarlyBackend {
    actions: RefCell<VecDeque<EarlyAction>>,
    /// Number of requests whose work began.
    runs: Cell<usize>,
}

impl EarlyBackend {
    async fn listen(self: Rc<Self>) -> SocketAddr {
        listen_with(move |stream| self.clone().serve(stream)).await
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        let (mut buffer, mut chunk) = (Vec::new(), vec![0_u8; 64 << 10]);
        while let Ok(count @ 1..) = stream.read(&mut chunk).await {
            buffer.extend_from_slice(&chunk[..count]);
            if has_long_body(&buffer) && buffer.len() < LONG_BODY_BYTES {
                if let Some(action) = self.actions.borrow_mut().pop_front() {
                    self.act_early(stream, &buffer, action);
                    return;
                }
                continue;
            }
            let Ok((request, end)) = parse_request(&buffer, 0) else {
                continue;
            };
            buffer.drain(..end);
            self.runs.set(self.runs.get() + 1);
            let id = request.single("x-attempt-id").unwrap_or_default();
            let _ = stream.write_all(&response(SUCCESS, id)).await;
        }
    }

    /// Begins to work on an incomplete request; the connection stays open until the test's end
    /// unless the action resets it.
    fn act_early(&self, mut stream: TcpStream, buffer: &[u8], action: EarlyAction) {
        self.runs
            .set(self.runs.get() + usize::from(action != EarlyAction::Respond(NOT_EXECUTED)));
        let head = String::from_utf8_lossy(buffer);
        let id = head
            .lines()
            .find_map(|line| line.strip_prefix("x-attempt-id: "))
            .unwrap_or_default()
            .to_owned();
        tokio::task::spawn_local(async move {
            match action {
                EarlyAction::Respond(status) => {
                    let _ = stream.write_all(&response(status, &id)).await;
                }
                EarlyAction::Reset => {
                    let socket = socket2::SockRef::from(&stream);
                    let _ = socket.set_linger(Some(Duration::ZERO));
                    return;
                }
                EarlyAction::Hang => {}
            }
            std::future::pending::<()>().await;
        });
    }
}

/// Returns whether these bytes are the beginning of a request with a long body.
fn has_long_body(bytes: &[u8]) -> bool {
    let head = &bytes[..bytes.len().min(4096)];
    String::from_utf8_lossy(head).contains(&format!("content-length: {LONG_BODY_BYTES}\r\n"))
        && head.windows(4).any(|end| end == b"\r\n\r\n")
}

fn response(status_and_headers: &str, id: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status_and_headers}\r\nX-Attempt-Id: {id}\r\nContent-Length: 2\r\n\r\nok")
        .into_bytes()
}

/// Sends a request on a new connection and returns the response.
async fn call(address: SocketAddr, id: &str, body_bytes: usize, remaining_ms: u64) -> Message {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let head = format!(
        "POST /once/a HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {id}\r\nX-Time-Remaining: {remaining_ms}\r\nContent-Length: {body_bytes}\r\n\r\n"
    );
    stream
        .write_all(head.as_bytes())
        .await
        .expect("the proxy reads the head");
    stream
        .write_all(&vec![b'b'; body_bytes])
        .await
        .expect("the proxy reads the body");
    read_response(&mut stream).await.expect("a response")
}

/// Sends a non-idempotent request with a long body to two backends that act early on the first
/// request each; `pooled`: on connections that have carried a request before. Returns the status
/// that the client got, and how often the request ran.
async fn run_case(action: EarlyAction, pooled: bool, remaining_ms: u64) -> (u16, usize) {
    let backends = [Rc::<EarlyBackend>::default(), Rc::default()];
    let addresses = [
        backends[0].clone().listen().await,
        backends[1].clone().listen().await,
    ];
    let proxy = TestProxy::start(1, &addresses).await;
    if pooled {
        let address = proxy.address;
        let calls: Vec<_> = (0..POOLED_CONNECTIONS)
            .map(|number| {
                tokio::task::spawn_local(async move {
                    call(address, &format!("p{number}"), 2, LONG_REMAINING_MS).await
                })
            })
            .collect();
        for call in calls {
            call.await.expect("a response");
        }
    }
    for backend in &backends {
        backend.actions.borrow_mut().push_back(action);
        backend.runs.set(0);
    }
    let response = call(proxy.address, "long", LONG_BODY_BYTES, remaining_ms).await;
    let runs = backends.iter().map(|backend| backend.runs.get()).sum();
    (response.status(), runs)
}

/// Guards against a second run (rule TWICE): a non-idempotent request whose backend responded
/// before it had the complete body was sent again, and the response dropped.
#[test]
fn an_early_response_is_forwarded_and_the_request_is_not_sent_again() {
    for (action, status) in [(SUCCESS, 200), (FAILURE, 500)] {
        for pooled in [false, true] {
            run_local(async move {
                let case = EarlyAction::Respond(action);
                let end = run_case(case, pooled, LONG_REMAINING_MS).await;
                assert_eq!(end, (status, 1), "{case:?} pooled={pooled}");
            });
        }
    }
}

/// Guards against a second run and a false promise (rules TWICE and REFUSED): a connection that
/// breaks after the head, while the body is being written, says nothing about whether the request
/// has run.
#[test]
fn a_request_whose_connection_breaks_during_its_body_may_have_run() {
    for pooled in [false, true] {
        run_local(async move {
            let end = run_case(EarlyAction::Reset, pooled, LONG_REMAINING_MS).await;
            assert_eq!(end, (502, 1), "pooled={pooled}");
        });
    }
}

/// Guards against a false promise (rule REFUSED): a request whose deadline passes while its body is
/// being written may have run.
#[test]
fn a_request_that_times_out_during_its_body_may_have_run() {
    run_local(async {
        let (status, runs) = run_case(EarlyAction::Hang, false, SHORT_REMAINING_MS).await;
        assert_eq!(runs, 1);
        assert!([502, 504].contains(&status), "status {status}");
    });
}

/// Guards against a lost request: one whose backend states early that it did not run it is sent to
/// another backend.
#[test]
fn a_request_that_was_turned_away_early_is_sent_again() {
    run_local(async {
        let backends = [Rc::<EarlyBackend>::default(), Rc::default()];
        let addresses = [
            backends[0].clone().listen().await,
            backends[1].clone().listen().await,
        ];
        let proxy = TestProxy::start(1, &addresses).await;
        let action = EarlyAction::Respond(NOT_EXECUTED);
        for backend in &backends {
            backend.actions.borrow_mut().push_back(action);
        }
        let response = call(proxy.address, "long", LONG_BODY_BYTES, LONG_REMAINING_MS).await;
        let runs: usize = backends.iter().map(|backend| backend.runs.get()).sum();
        assert_eq!((response.status(), runs), (200, 1));
    });
}
