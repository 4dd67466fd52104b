//! One attempt of a request: on a pooled connection if there is one, else on a new one.

use crate::attempt_handle::AttemptHandle;
use crate::connection::{ConnectError, Connection};
use crate::pool::Pools;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::{Request, Response};
use maplefall_policy::{BackendId, Millis, Outcome, SendMode};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How an attempt ended.
pub struct AttemptResult<A> {
    /// The response, or what the lack of one means.
    pub result: Result<A, Outcome>,
    /// Established connections that broke during the attempt.
    pub broken_connections: u32,
}

impl<A> AttemptResult<A> {
    fn failed(outcome: Outcome, broken_connections: u32) -> AttemptResult<A> {
        AttemptResult {
            result: Err(outcome),
            broken_connections,
        }
    }
}

/// What [`send_request`] has to know of an attempt besides the request itself.
#[derive(Clone, Copy, Debug)]
pub struct RequestOptions {
    /// The backend to send to.
    pub backend: BackendId,
    /// How to guard the request against a connection that breaks.
    pub send_mode: SendMode,
    /// The client's remaining time, in milliseconds from now. It is handed to the request's builder and does not end the attempt.
    pub timeout: Millis,
    /// Length of the request's body.
    pub body_bytes: usize,
}

/// Sends one request to a backend and reads the response. A pooled connection that breaks before the request was completely
/// written is replaced by the next one. `build_request` makes the request, given the remaining milliseconds; `read_response`
/// reads a response, `None` if it is incomplete or not valid; `is_unread` tells a response which says that the request was not
/// processed.
pub async fn send_request<A>(
    pools: &Pools,
    options: RequestOptions,
    handle: &AttemptHandle,
    build_request: impl Fn(Millis) -> Request<Full<Bytes>>,
    read_response: impl AsyncFn(Response<Incoming>) -> Option<A>,
    is_unread: impl Fn(&A) -> bool,
) -> AttemptResult<A> {
    let started = Instant::now();
    let mut broken_connections = 0;
    let Some(address) = pools.dial_address(options.backend) else {
        return AttemptResult::failed(Outcome::NotSent, 0);
    };
    loop {
        let (mut connection, pooled_idle) =
            match take_or_connect(pools, &options, handle, address).await {
                Ok(connection) => connection,
                Err(ConnectError::LocalLimit) => {
                    return AttemptResult::failed(Outcome::NotSent, broken_connections);
                }
                // The backend refuses connections: that says more than the ones that broke before.
                Err(ConnectError::Unreachable) => {
                    return AttemptResult::failed(Outcome::ConnectFailed, 0);
                }
            };
        // While the connection was established the backend may have been removed or replaced: another instance may have its
        // address now, or it may be draining.
        if pools.dial_address(options.backend) != Some(address) {
            return AttemptResult::failed(Outcome::NotSent, broken_connections);
        }
        handle.attach_socket(&connection.socket);
        connection
            .socket
            .begin_request(options.body_bytes, options.send_mode != SendMode::Immediate);
        let remaining = options.timeout - started.elapsed().as_secs_f64() * 1000.0;
        let sent = send_on(&mut connection, || build_request(remaining.max(1.0))).await;
        if let Some(idle) = pooled_idle {
            pools.record_reuse(idle, sent.is_none());
        }
        let response = match sent {
            Some(response) => read_response(response).await,
            None => None,
        };
        let fully_written = connection.socket.fully_written();
        // A response that came before the request was completely written is to no request of ours, unless it says that the request
        // was not processed; the connection cannot be reused in either case.
        if let Some(response) = response.filter(|response| fully_written || is_unread(response)) {
            if fully_written {
                pools.put_back(options.backend, address, connection);
            }
            return AttemptResult {
                result: Ok(response),
                broken_connections,
            };
        }
        broken_connections += 1;
        // A pooled connection that broke before the request was completely written says little about the backend, and nothing has
        // run: the next connection is tried. Each iteration takes one out of the pool, so this ends.
        if !fully_written && pooled_idle.is_some() {
            continue;
        }
        let outcome = if fully_written {
            Outcome::Reset
        } else {
            Outcome::ConnectFailed
        };
        return AttemptResult::failed(outcome, broken_connections);
    }
}

/// A pooled connection with how long it has been idle, or a new one.
async fn take_or_connect(
    pools: &Pools,
    options: &RequestOptions,
    handle: &AttemptHandle,
    address: SocketAddr,
) -> Result<(Connection, Option<Duration>), ConnectError> {
    if let Some(connection) = pools.take_idle(options.backend, options.send_mode, handle) {
        let idle = connection.idle(Instant::now());
        return Ok((connection, Some(idle)));
    }
    Ok((pools.connect(address).await?, None))
}

/// Writes a request and waits for the head of the response; `None` if the connection breaks before.
async fn send_on(
    connection: &mut Connection,
    build_request: impl FnOnce() -> Request<Full<Bytes>>,
) -> Option<Response<Incoming>> {
    connection.sender.ready().await.ok()?;
    connection.sender.send_request(build_request()).await.ok()
}
