//! The endpoint of the platform's readiness probe: `GET /api/readiness` responds with 200 while the
//! proxy can serve new clients, 503 otherwise.

use crate::driver::Proxy;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Backoff after a failed accept.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout for reading the head of a probe.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Responds to probes for as long as the process runs.
pub async fn serve(proxy: Rc<Proxy>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
            continue;
        };
        tokio::task::spawn_local(serve_connection(proxy.clone(), stream));
    }
}

async fn serve_connection(proxy: Rc<Proxy>, stream: TcpStream) {
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
        .serve_connection(hyper_util::rt::TokioIo::new(stream), service);
    // A probe whose connection breaks is not logged.
    let _ = connection.await;
}

fn status(proxy: &Proxy, path: &str) -> StatusCode {
    match path {
        "/api/readiness" if proxy.with_core(|core| core.ready()) => StatusCode::OK,
        "/api/readiness" => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    }
}
