//! The endpoint of the platform's readiness probe: `GET /api/readiness` responds with 200 while the
//! proxy can serve new clients, 503 otherwise.

use crate::driver::Proxy;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use maplefall_downstream::{CloseNotification, ConnectionGuard, ConnectionTable};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Backoff after a failed accept.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout for reading the head of a probe.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of connections; beyond it the oldest one is closed.
const MAX_CONNECTIONS: usize = 8;
/// Maximum number of bytes that a connection buffers in each direction.
const MAX_BUFFER_BYTES: usize = 8 << 10;

/// A connection of the platform.
struct ProbeConnection {
    opened_at: Instant,
    close: Notify,
}

/// Responds to probes for as long as the process runs.
pub async fn serve(proxy: Rc<Proxy>, listener: TcpListener) {
    let connections = ConnectionTable::new(MAX_CONNECTIONS, CloseNotification::Waiting);
    loop {
        wait_for_capacity(&connections).await;
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
            continue;
        };
        let guard = connections.insert(ProbeConnection {
            opened_at: Instant::now(),
            close: Notify::new(),
        });
        tokio::task::spawn_local(serve_connection(proxy.clone(), stream, guard));
    }
}

async fn wait_for_capacity(connections: &ConnectionTable<ProbeConnection>) {
    connections
        .wait_for_capacity(
            |open| open.min_by_key(|connection| connection.opened_at).cloned(),
            |connection| connection.close.notify_one(),
        )
        .await;
}

async fn serve_connection(
    proxy: Rc<Proxy>,
    stream: TcpStream,
    guard: ConnectionGuard<ProbeConnection>,
) {
    let service = service_fn(|request: Request<Incoming>| {
        let status = status(&proxy, request.uri().path());
        async move {
            let mut response = Response::new(Full::<Bytes>::default());
            *response.status_mut() = status;
            Ok::<_, Infallible>(response)
        }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(hyper_util::rt::TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .max_buf_size(MAX_BUFFER_BYTES)
        .serve_connection(hyper_util::rt::TokioIo::new(stream), service);
    // A probe whose connection breaks is not logged.
    tokio::select! {
        _ = connection => {}
        () = guard.state().close.notified() => {}
    }
}

fn status(proxy: &Proxy, path: &str) -> StatusCode {
    match path {
        "/api/readiness" if proxy.with_core(|core| core.ready()) => StatusCode::OK,
        "/api/readiness" => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    }
}
