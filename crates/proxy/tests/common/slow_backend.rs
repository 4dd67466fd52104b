//! A backend that holds requests until it is notified, and a client for it.

use super::http::{parse_request, parse_response, Message, ParseError};
use super::listener::listen_with;
use std::cell::Cell;
use std::future::Future;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Maximum time of a test; reached only on a failure.
pub const TIMEOUT: Duration = Duration::from_secs(30);

/// A backend that responds to requests with `held` in their path once `release` is notified, and to
/// all others after `work_time`.
#[derive(Default)]
pub struct SlowBackend {
    /// Number of requests received so far.
    pub received: Cell<usize>,
    /// Notified when a request is held.
    pub request_held: Notify,
    /// Releases a held request.
    pub release: Notify,
    /// Time that the backend takes for each request.
    pub work_time: Cell<Duration>,
}

/// Starts the backend on a loopback port.
pub async fn listen(backend: Rc<SlowBackend>) -> SocketAddr {
    listen_with(move |stream| serve(backend.clone(), stream)).await
}

async fn serve(backend: Rc<SlowBackend>, mut stream: TcpStream) {
    let (mut buffer, mut chunk) = (Vec::new(), [0_u8; 4096]);
    while let Ok(count @ 1..) = stream.read(&mut chunk).await {
        buffer.extend_from_slice(&chunk[..count]);
        let Ok((request, end)) = parse_request(&buffer, 0) else {
            continue;
        };
        buffer.drain(..end);
        backend.received.set(backend.received.get() + 1);
        if request.start.contains("held") {
            backend.request_held.notify_one();
            backend.release.notified().await;
        }
        tokio::time::sleep(backend.work_time.get()).await;
        let id = request.single("x-attempt-id").unwrap_or_default();
        let text = format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: s\r\nContent-Length: 2\r\n\r\nok");
        let _ = stream.write_all(text.as_bytes()).await;
    }
}

/// Sends a request to a proxy and reads the response.
pub async fn send_request(stream: &mut TcpStream, path: &str) -> std::io::Result<Message> {
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a{path}\r\nContent-Length: 0\r\n\r\n"
    );
    stream.write_all(text.as_bytes()).await?;
    read_response(stream).await
}

/// Reads the response to a POST.
pub async fn read_response(stream: &mut TcpStream) -> std::io::Result<Message> {
    let (mut buffer, mut chunk) = (Vec::new(), [0_u8; 4096]);
    loop {
        match parse_response(&buffer, 0, "POST") {
            Ok((message, _)) => return Ok(message),
            Err(ParseError::Invalid(why)) => panic!("not a response: {why}"),
            Err(ParseError::Incomplete) => {}
        }
        match stream.read(&mut chunk).await? {
            0 => return Err(ErrorKind::UnexpectedEof.into()),
            count => buffer.extend_from_slice(&chunk[..count]),
        }
    }
}

/// Runs a test on one thread, for at most [`TIMEOUT`].
pub fn run_local(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let local = tokio::task::LocalSet::new();
    let result = local.run_until(async { tokio::time::timeout(TIMEOUT, test).await });
    runtime.block_on(result).expect("the test timed out");
}
