//! Attempts of gRPC calls: sends a call to a backend and interprets the response.
//!
//! Invariant: an attempt ends once, and everything that the attempt reports to the call precedes
//! its end.

use super::connections::{Backends, CallGuard, Connection};
use super::proxied_call::ProxiedCall;
use crate::net::backends::{header_number, MAX_USAGE_PERCENT};
use h2::{client, RecvStream, SendStream};
use hyper::body::Bytes;
use hyper::header::{HeaderName, HeaderValue, TE};
use hyper::{HeaderMap, Method, Request, Uri, Version};
use maplefall_grpc::{timeout, Attempt, Call, End, Next};
use maplefall_policy::{BackendId, Millis, Outcome, SendMode};
use maplefall_protocol::headers::{API_CHARGE, API_USAGE, REQUEST_ID};
use maplefall_protocol::{EndedAttempt, ForwardedRequest};
use maplefall_upstream::{AttemptHandle, Clock, ConnectError, Pools};

/// The header `grpc-timeout`.
pub const GRPC_TIMEOUT: HeaderName = HeaderName::from_static("grpc-timeout");
/// Header with the number of earlier attempts of the call (gRFC A6).
const PREVIOUS_ATTEMPTS: HeaderName = HeaderName::from_static("grpc-previous-rpc-attempts");
/// Maximum time that a non-idempotent call waits for the response to a `PING`, as a fraction of the
/// attempt's timeout.
const PING_TIMEOUT_FRACTION: f64 = 0.25;
/// Maximum number of connections that one attempt uses if they break before anything is sent.
const MAX_CONNECTIONS_PER_ATTEMPT: usize = 3;

/// The parameters of an attempt.
pub struct AttemptContext<'a> {
    /// The addresses of backends, and whether they accept new requests.
    pub pools: &'a Pools,
    /// The clock of all decisions.
    pub clock: Clock,
    /// The request; only its id and the headers added by the authentication service are read.
    pub forwarded: &'a ForwardedRequest,
    /// The call.
    pub call: &'a ProxiedCall,
    /// Time limit of the attempt in milliseconds.
    pub timeout: Millis,
    /// How the call is protected against a connection that turns out to be broken.
    pub send_mode: SendMode,
    /// Handle by which the driver aborts the attempt.
    pub handle: &'a AttemptHandle,
    /// Notifies the decision module that there will be no further attempt.
    pub committed: &'a dyn Fn(),
}

impl Backends {
    /// Runs one attempt of a call to its end.
    pub async fn attempt(&self, to: BackendId, context: AttemptContext<'_>) -> EndedAttempt {
        let Ok(attempt_number) = context.call.begin_attempt() else {
            return EndedAttempt::without_response(Outcome::NotSent);
        };
        let deadline = context.clock.now() + context.timeout;
        let shape = context.call.shape();
        let mut attempt = Attempt::new(shape, deadline, context.call.deadline());
        let mut metadata = ResponseMetadata {
            max_units: self.max_units,
            ..ResponseMetadata::default()
        };
        let end = self
            .run_attempt(
                to,
                &context,
                attempt_number,
                deadline,
                &mut attempt,
                &mut metadata,
            )
            .await;
        let outcome = end.outcome;
        context
            .call
            .end_attempt(attempt_number, end, metadata.trailers);
        EndedAttempt {
            metered_usage: metadata.used,
            true_units: metadata.charge,
            ..EndedAttempt::without_response(outcome)
        }
    }

    /// Sends the call on a connection and reads the response. If a connection breaks before
    /// anything is sent, the next one is tried.
    async fn run_attempt(
        &self,
        to: BackendId,
        context: &AttemptContext<'_>,
        attempt_number: u32,
        deadline: Millis,
        attempt: &mut Attempt,
        metadata: &mut ResponseMetadata,
    ) -> End {
        let end = |end: Option<End>| end.unwrap_or_else(|| ALREADY_ENDED.clone());
        for _ in 0..MAX_CONNECTIONS_PER_ATTEMPT {
            let guard = match self.connection(to, context.pools).await {
                Ok(connection) => CallGuard::new(connection),
                Err(ConnectError::LocalLimit) => return NOT_SENT.clone(),
                Err(ConnectError::Unreachable) => return end(attempt.unreachable()),
            };
            let connection = guard.connection();
            if context.send_mode != SendMode::Immediate
                && !connection
                    .is_alive(context.timeout * PING_TIMEOUT_FRACTION)
                    .await
            {
                connection.close_to_new_calls();
                continue;
            }
            let Ok(mut sender) = connection.sender().ready().await else {
                connection.close_to_new_calls();
                continue;
            };
            // While the attempt waited for the connection, the backend may have been removed or
            // restarted at another address.
            if context.pools.dial_address(to) != Some(connection.address()) {
                return NOT_SENT.clone();
            }
            let time_left = deadline - context.clock.now();
            let Some(request) = build_request(context, time_left, attempt_number) else {
                return NOT_SENT.clone();
            };
            let no_body = context.call.upload_ends_at(0);
            let Ok((response, upload)) = sender.send_request(request, no_body) else {
                connection.close_to_new_calls();
                continue;
            };
            attempt.sent();
            context.handle.record_multiplexed_send();
            let mut upload = std::pin::pin!(send_upload(context, upload, no_body));
            let mut response = std::pin::pin!(read_response(
                context,
                connection,
                attempt_number,
                attempt,
                metadata,
                response
            ));
            let mut uploading = true;
            return loop {
                tokio::select! {
                    ended = &mut response => break end(ended),
                    () = &mut upload, if uploading => uploading = false,
                }
            };
        }
        end(attempt.unreachable())
    }
}

/// The end of an attempt that sent nothing.
const NOT_SENT: &End = &End {
    outcome: Outcome::NotSent,
    code: maplefall_grpc::Code::Unavailable,
    reason: "not sent",
};
/// Returned by an attempt whose end has been reported already: each attempt reports one end.
const ALREADY_ENDED: &End = &End {
    outcome: Outcome::Reset,
    code: maplefall_grpc::Code::Internal,
    reason: "over",
};

/// The customer's usage from response headers and trailers, and the trailers.
#[derive(Default)]
struct ResponseMetadata {
    trailers: HeaderMap,
    used: Option<f64>,
    charge: Option<f64>,
    max_units: f64,
}

impl ResponseMetadata {
    /// Reads the usage and the charge; the first value of each is kept.
    fn read_usage(&mut self, headers: &HeaderMap) {
        let used =
            header_number(headers, &API_USAGE, MAX_USAGE_PERCENT).map(|percent| percent / 100.0);
        self.used = self.used.or(used);
        self.charge = self
            .charge
            .or(header_number(headers, &API_CHARGE, self.max_units));
    }
}

/// Builds the request to a backend, with the remaining time as its timeout.
fn build_request(
    context: &AttemptContext<'_>,
    time_left: Millis,
    attempt_number: u32,
) -> Option<Request<()>> {
    let call = context.call;
    let uri = Uri::builder()
        .scheme("http")
        .authority(call.authority.as_str())
        .path_and_query(call.path.clone())
        .build()
        .ok()?;
    let mut request = Request::new(());
    *request.method_mut() = Method::POST;
    *request.uri_mut() = uri;
    *request.version_mut() = Version::HTTP_2;
    let headers = request.headers_mut();
    *headers = call.metadata.clone();
    headers.insert(TE, HeaderValue::from_static("trailers"));
    headers.insert(REQUEST_ID, context.forwarded.id_value.clone());
    headers.insert(
        GRPC_TIMEOUT,
        HeaderValue::try_from(timeout::format(time_left)).ok()?,
    );
    if attempt_number > 0 {
        headers.insert(PREVIOUS_ATTEMPTS, HeaderValue::from(attempt_number));
    }
    for (name, value) in &context.forwarded.added_headers {
        headers.append(name.clone(), value.clone());
    }
    Some(request)
}

/// Sends the client's upload, as far as the backend's flow control permits.
async fn send_upload(context: &AttemptContext<'_>, mut upload: SendStream<Bytes>, no_body: bool) {
    if no_body {
        return;
    }
    let mut index = 0;
    loop {
        match context.call.next_upload(index, context.committed).await {
            Next::Chunk(mut chunk) => {
                while !chunk.is_empty() {
                    upload.reserve_capacity(chunk.len());
                    // `poll_capacity` wakes for an increase of the capacity only, not for capacity
                    // that is there already.
                    let capacity = match upload.capacity() {
                        0 => match std::future::poll_fn(|cx| upload.poll_capacity(cx)).await {
                            Some(Ok(capacity)) => capacity,
                            // The backend accepts no more data; its response gives the reason.
                            _ => return,
                        },
                        capacity => capacity,
                    };
                    if upload
                        .send_data(chunk.split_to(capacity.min(chunk.len())), false)
                        .is_err()
                    {
                        return;
                    }
                }
                index += 1;
                context.call.record_sent(index);
            }
            Next::End => {
                let _ = upload.send_data(Bytes::new(), true);
                return;
            }
            // Chunks are dropped only once a call is committed, and no attempt begins after that.
            Next::Wait | Next::Dropped => return,
        }
    }
}

/// Reads the response; `None` if its end has been reported already.
async fn read_response(
    context: &AttemptContext<'_>,
    connection: &Connection,
    attempt_number: u32,
    attempt: &mut Attempt,
    metadata: &mut ResponseMetadata,
    response: client::ResponseFuture,
) -> Option<End> {
    let now = || context.clock.now();
    let response = match response.await {
        Ok(response) => response,
        Err(error) => return transport_error(attempt, connection, now(), &error),
    };
    connection.record_activity();
    let (head, mut body): (_, RecvStream) = response.into_parts();
    metadata.read_usage(&head.headers);
    if let Some(end) = attempt.head(
        now(),
        head.status.as_u16(),
        &head.headers,
        body.is_end_stream(),
    ) {
        metadata.trailers = head.headers;
        return Some(end);
    }
    context
        .call
        .update(|call, outputs| call.head(attempt_number, head.headers, outputs));
    while let Some(data) = body.data().await {
        let data = match data {
            Ok(data) => data,
            Err(error) => return transport_error(attempt, connection, now(), &error),
        };
        connection.record_activity();
        if let Some(end) = attempt.data(&data) {
            return Some(end);
        }
        let length = data.len();
        if context
            .call
            .update(|call: &mut Call, outputs| call.data(attempt_number, data, outputs))
        {
            (context.committed)();
        }
        context.call.wait_for_capacity().await;
        // Releasing capacity fails if the stream is over and has no window left to open.
        let _ = body.flow_control().release_capacity(length);
    }
    match body.trailers().await {
        Ok(Some(trailers)) => {
            metadata.read_usage(&trailers);
            let end = attempt.trailers(now(), &trailers);
            metadata.trailers = trailers;
            end
        }
        Ok(None) => attempt.ended_without_status(),
        Err(error) => transport_error(attempt, connection, now(), &error),
    }
}

/// Reports a transport error to the attempt and returns the attempt's end.
fn transport_error(
    attempt: &mut Attempt,
    connection: &Connection,
    now: Millis,
    error: &h2::Error,
) -> Option<End> {
    if error.is_reset() && error.is_remote() {
        let reason = error.reason().map_or(0, u32::from);
        return attempt.reset(now, reason);
    }
    connection.close_to_new_calls();
    if error.is_go_away() && error.is_remote() {
        attempt.unprocessed()
    } else {
        attempt.lost()
    }
}
