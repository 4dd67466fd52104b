//! One attempt of a request, on a pooled connection if there is one, else on a new one.

use crate::attempt_handle::AttemptHandle;
use crate::block_body::BlockBody;
use crate::connection::{ConnectError, Connection};
use crate::pool::Pools;
use hyper::body::Incoming;
use hyper::{Request, Response};
use maplefall_policy::{BackendId, Millis, Outcome, SendMode};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How an attempt ended.
pub struct AttemptResult<A> {
    /// The response, or the outcome of an attempt without one.
    pub result: Result<A, Outcome>,
    /// What was seen on the attempt's connections.
    pub connections: ConnectionCounts,
}

/// What was seen on the connections of one attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Number of established connections that broke.
    pub broken: u32,
    /// Number of responses that were read before the request was completely written.
    pub early_responses: u32,
}

impl<A> AttemptResult<A> {
    fn failed(outcome: Outcome, connections: ConnectionCounts) -> AttemptResult<A> {
        AttemptResult {
            result: Err(outcome),
            connections,
        }
    }
}

/// The parameters of [`send_request`] other than the request itself.
#[derive(Clone, Copy, Debug)]
pub struct RequestOptions {
    /// The backend to send to.
    pub backend: BackendId,
    /// How to guard the request against a connection that breaks.
    pub send_mode: SendMode,
    /// The client's remaining time, in milliseconds from now. It is passed to `build_request` and
    /// does not end the attempt.
    pub timeout: Millis,
    /// Length of the request's body.
    pub body_bytes: usize,
}

/// Sends one request to a backend and reads the response. A pooled connection that breaks before
/// the request's head was completely written is replaced by the next one. `build_request` creates
/// the request from the remaining milliseconds; `read_response` reads a response and returns `None`
/// if it is incomplete or invalid; `accepts_early` returns whether a response that arrived before
/// the request was completely written is certain to belong to it.
pub async fn send_request<A>(
    pools: &Pools,
    options: RequestOptions,
    handle: &AttemptHandle,
    build_request: impl Fn(Millis) -> Request<BlockBody>,
    read_response: impl AsyncFn(Response<Incoming>) -> Option<A>,
    accepts_early: impl Fn(&A) -> bool,
) -> AttemptResult<A> {
    let started = Instant::now();
    let mut connections = ConnectionCounts::default();
    let Some(address) = pools.dial_address(options.backend) else {
        return AttemptResult::failed(Outcome::NotSent, connections);
    };
    loop {
        let (mut connection, pooled_idle) =
            match take_or_connect(pools, &options, handle, address).await {
                Ok(connection) => connection,
                Err(ConnectError::LocalLimit) => {
                    return AttemptResult::failed(Outcome::NotSent, connections);
                }
                // A failure to connect shows more about the backend than the connections that broke
                // before, so these are not reported.
                Err(ConnectError::Unreachable) => {
                    connections.broken = 0;
                    return AttemptResult::failed(Outcome::ConnectFailed, connections);
                }
            };
        // While the connection was being established, the backend may have been removed, may have
        // begun to drain, or may have been replaced by another instance at its address.
        if pools.dial_address(options.backend) != Some(address) {
            return AttemptResult::failed(Outcome::NotSent, connections);
        }
        handle.attach_socket(&connection.socket);
        connection
            .socket
            .begin_request(options.body_bytes, options.send_mode != SendMode::Immediate);
        let remaining = options.timeout - started.elapsed().as_secs_f64() * 1000.0;
        let sent = send_on_connection(&mut connection, || build_request(remaining.max(1.0))).await;
        if let Some(idle) = pooled_idle {
            pools.record_reuse(idle, sent.is_none());
        }
        let response = match sent {
            Some(response) => read_response(response).await,
            None => None,
        };
        let fully_written = connection.socket.fully_written();
        connections.early_responses += u32::from(response.is_some() && !fully_written);
        // After an early response the rest of the body is still due, so the connection is closed.
        if let Some(response) = response.filter(|response| fully_written || accepts_early(response))
        {
            if fully_written {
                pools.put_back(options.backend, address, connection);
            }
            return AttemptResult {
                result: Ok(response),
                connections,
            };
        }
        connections.broken += 1;
        // A pooled connection that broke before the head was completely written says little about
        // the backend, and the request has not run, so the next connection is tried. Each iteration
        // removes a connection from the pool, so the loop ends.
        let may_have_run = connection.socket.may_have_run();
        if !may_have_run && pooled_idle.is_some() {
            continue;
        }
        let outcome = if may_have_run {
            Outcome::Reset
        } else {
            Outcome::ConnectFailed
        };
        return AttemptResult::failed(outcome, connections);
    }
}

/// Returns a pooled connection and how long it has been idle, or a new connection.
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

/// Writes a request and waits for the head of the response. Returns `None` if the connection breaks
/// first.
async fn send_on_connection(
    connection: &mut Connection,
    build_request: impl FnOnce() -> Request<BlockBody>,
) -> Option<Response<Incoming>> {
    connection.sender.ready().await.ok()?;
    connection.sender.send_request(build_request()).await.ok()
}
