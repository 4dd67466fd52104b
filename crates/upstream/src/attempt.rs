//! One exchange of a request and its answer with a backend.

use crate::pool::{AttemptHandle, ConnectError, Pools};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::{Request, Response};
use maplefall_policy::{BackendId, Care, Millis, Outcome};
use std::time::Instant;

/// How an exchange ended.
pub struct AttemptResult<A> {
    /// The answer, or what the lack of one means.
    pub result: Result<A, Outcome>,
    /// Connections that had come up and broke under it.
    pub broken_connections: u32,
}

/// What [`send_request`] has to know of an attempt besides the request itself.
#[derive(Clone, Copy, Debug)]
pub struct RequestOptions {
    /// The backend to send to.
    pub backend: BackendId,
    /// How to guard the request against a connection that breaks.
    pub care: Care,
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
    let begun = Instant::now();
    let mut broken = 0;
    let over = |broken, outcome| AttemptResult {
        result: Err(outcome),
        broken_connections: broken,
    };
    let Some(dial) = pools.dial_address(options.backend) else {
        return over(0, Outcome::NotSent);
    };
    loop {
        let pooled = pools.take_idle(options.backend, options.care, handle);
        let idle = pooled
            .as_ref()
            .map(|connection| connection.idle(Instant::now()));
        let mut connection = match pooled {
            Some(connection) => connection,
            None => match pools.connect(dial).await {
                Ok(connection) => connection,
                Err(ConnectError::LocalLimit) => return over(broken, Outcome::NotSent),
                // Refused: that says more than what broke before.
                Err(ConnectError::Unreachable) => return over(0, Outcome::ConnectFailed),
            },
        };
        // The wait for a connection may have outlasted the backend's place in the list, or its life: what is up by that name
        // now may listen elsewhere, and who listened here may be leaving.
        if pools.dial_address(options.backend) != Some(dial) {
            return over(broken, Outcome::NotSent);
        }
        handle.attach_socket(&connection.wire);
        connection
            .wire
            .begin_request(options.body_bytes, options.care != Care::Usual);
        let left = options.timeout - begun.elapsed().as_secs_f64() * 1000.0;
        let sent = match connection.sender.ready().await {
            Ok(()) => connection
                .sender
                .send_request(build_request(left.max(1.0)))
                .await
                .ok(),
            Err(_) => None,
        };
        if let Some(idle) = idle {
            pools.record_reuse(idle, sent.is_none());
        }
        let answer = match sent {
            Some(answer) => read_response(answer).await,
            None => None,
        };
        let whole = connection.wire.fully_written();
        // What is answered before it was written whole was answered unseen, and its connection is of no more use.
        if let Some(answer) = answer.filter(|answer| whole || is_unread(answer)) {
            if whole {
                pools.put_back(options.backend, dial, connection);
            }
            return AttemptResult {
                result: Ok(answer),
                broken_connections: broken,
            };
        }
        broken += 1;
        // A connection from the pool that broke before the request was whole tells little of the backend, and
        // nothing ran: the next one stands in. Each turn takes one out of the pool, so this ends.
        if !whole && idle.is_some() {
            continue;
        }
        // Only what was written whole may have run.
        return over(
            broken,
            if whole {
                Outcome::Reset
            } else {
                Outcome::ConnectFailed
            },
        );
    }
}
