//! Attempts of calls: what is sent to a backend, and what its response means.
//!
//! Invariant: an attempt ends once, and what the call is told of it comes before its end.

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
use maplefall_protocol::{Ended, Order};
use maplefall_upstream::{AttemptHandle, Clock, ConnectError, Pools};

/// `grpc-timeout`.
pub const GRPC_TIMEOUT: HeaderName = HeaderName::from_static("grpc-timeout");
/// How many attempts of the call there were before this one (gRFC A6).
const PREVIOUS_ATTEMPTS: HeaderName = HeaderName::from_static("grpc-previous-rpc-attempts");
/// How long a call that must not run twice waits for the answer to a `PING` at most, as a fraction of its timeout.
const PING_TIMEOUT_FRACTION: f64 = 0.25;
/// Connections that one attempt uses at most, where they break before anything is sent.
const MAX_CONNECTIONS_PER_ATTEMPT: usize = 3;

/// What an attempt needs.
pub struct AttemptContext<'a> {
    /// Which backends take new work, and where they are.
    pub pools: &'a Pools,
    /// The clock.
    pub clock: Clock,
    /// The request; only its id and the headers that the authentication service added are read.
    pub forwarded: &'a Order,
    /// The call.
    pub call: &'a ProxiedCall,
    /// How long the attempt may take, in milliseconds.
    pub timeout: Millis,
    /// What is done lest a broken connection takes it along.
    pub send_mode: SendMode,
    /// What the driver aborts the attempt by.
    pub handle: &'a AttemptHandle,
    /// Notifies the decision module that there will be no further attempt.
    pub committed: &'a dyn Fn(),
}

impl Backends {
    /// Runs one attempt to its end.
    pub async fn attempt(&self, to: BackendId, context: AttemptContext<'_>) -> Ended {
        let Ok(attempt_number) = context.call.begin_attempt() else {
            return Ended::of(Outcome::NotSent);
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
        Ended {
            used: metadata.used,
            charge: metadata.charge,
            ..Ended::of(outcome)
        }
    }

    /// Sends the call on a connection and reads the response. Where a connection breaks before anything is sent, the next one
    /// takes its place.
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
                connection.mark_closed();
                continue;
            }
            let Ok(mut sender) = connection.sender().ready().await else {
                connection.mark_closed();
                continue;
            };
            // While this waited, the backend may have been removed or started again elsewhere.
            if context.pools.dial_address(to) != Some(connection.address()) {
                return NOT_SENT.clone();
            }
            let time_left = deadline - context.clock.now();
            let Some(request) = build_request(context, time_left, attempt_number) else {
                return NOT_SENT.clone();
            };
            let no_body = context.call.upload_ends_at(0);
            let Ok((response, upload)) = sender.send_request(request, no_body) else {
                connection.mark_closed();
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

/// The end of an attempt of which nothing was sent.
const NOT_SENT: &End = &End {
    outcome: Outcome::NotSent,
    code: maplefall_grpc::Code::Unavailable,
    why: "not sent",
};
/// The end where the attempt has reported its end before: it does so once, and its end is taken once.
const ALREADY_ENDED: &End = &End {
    outcome: Outcome::Reset,
    code: maplefall_grpc::Code::Internal,
    why: "over",
};

/// What heads and trailers say of the customer's usage, and the trailers.
#[derive(Default)]
struct ResponseMetadata {
    trailers: HeaderMap,
    used: Option<f64>,
    charge: Option<f64>,
    max_units: f64,
}

impl ResponseMetadata {
    /// Reads the usage and the charge; the first value of each counts.
    fn read_usage(&mut self, headers: &HeaderMap) {
        let used =
            header_number(headers, &API_USAGE, MAX_USAGE_PERCENT).map(|percent| percent / 100.0);
        self.used = self.used.or(used);
        self.charge = self
            .charge
            .or(header_number(headers, &API_CHARGE, self.max_units));
    }
}

/// The request to a backend, with the time that is left as its timeout.
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
    for (name, value) in &context.forwarded.onward {
        headers.append(name.clone(), value.clone());
    }
    Some(request)
}

/// Sends what the client uploads, as far as the backend's flow control takes it.
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
                    // The library wakes for an increase of the capacity only, not for what there is.
                    let capacity = match upload.capacity() {
                        0 => match std::future::poll_fn(|cx| upload.poll_capacity(cx)).await {
                            Some(Ok(capacity)) => capacity,
                            // The backend takes no more: its response says why.
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
                context.call.mark_sent(index);
            }
            Next::End => {
                let _ = upload.send_data(Bytes::new(), true);
                return;
            }
            // No attempt begins at a call that is committed.
            Next::Wait | Next::Gone => return,
        }
    }
}

/// Reads the response; `None` if its end has been reported.
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
        // Where the stream is over there is no window left to open.
        let _ = body.flow_control().release_capacity(length);
    }
    match body.trailers().await {
        Ok(Some(trailers)) => {
            metadata.read_usage(&trailers);
            let end = attempt.trailers(now(), &trailers);
            metadata.trailers = trailers;
            end
        }
        Ok(None) => attempt.ended_bare(),
        Err(error) => transport_error(attempt, connection, now(), &error),
    }
}

/// What an error of the transport means for an attempt.
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
    connection.mark_closed();
    if error.is_go_away() && error.is_remote() {
        attempt.unprocessed()
    } else {
        attempt.lost()
    }
}
