//! Client requests: validation, reading, admission and response.

use super::connection::ClientConnection;
use super::response::{backend_response, error_response, local_response};
use super::DownstreamServer;
use crate::core::{IncomingRequest, LocalResponse, Rejection};
use crate::driver::{ClientResponse, PendingResponse, Proxy};
use crate::forward::{tenant_header, ForwardedRequest, ATTEMPT_ID, TENANT, TIME_REMAINING};
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue, AUTHORIZATION, CONNECTION, HOST};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method, Request, Response, Uri};
use maplefall_downstream::{BodyDeadlines, ShutdownPhase};
use maplefall_policy::{Millis, RequestId};
use maplefall_upstream::BlockBody;
use std::rc::Rc;

/// Timeout for reading a body if the client does not state its remaining time.
const DEFAULT_BODY_TIMEOUT: Millis = 10_000.0;
/// Maximum time for reading a body, whatever the client states as its remaining time.
const MAX_BODY_TIMEOUT: Millis = 60_000.0;
/// Fraction of the time for reading a body for which it may wait for memory.
const MEMORY_WAIT_FRACTION: f64 = 0.5;
/// Maximum time for which a body may wait for memory, whatever the client states.
const MAX_MEMORY_WAIT: Millis = 5000.0;
/// Fraction of the client's remaining time for which a request may wait to be admitted.
const ADMISSION_WAIT_FRACTION: f64 = 0.1;
/// Maximum time after its receipt that a request may wait to be admitted, all repeats of `admit`
/// together. The constant of this name in `core/admission.rs`, for one wait for a configuration or
/// a backend, has the same value, so this limit ends such a wait first.
const MAX_ADMISSION_WAIT: Millis = 120.0;

/// The reason why a request is not read. `Display` is the body of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum RequestError {
    /// The request is invalid; names the invalid field.
    #[error("step=read field={0}")]
    Invalid(&'static str),
    /// The body is too long.
    #[error("step=read field=body")]
    BodyTooLong,
    /// The body did not arrive in time.
    #[error("step=read field=body")]
    BodyTimeout,
    /// There is currently no memory for the body.
    #[error("step=read field=room")]
    OutOfMemory,
}

impl RequestError {
    /// Returns the status code of the response.
    pub fn status(&self) -> u16 {
        match self {
            RequestError::Invalid(_) => 400,
            RequestError::BodyTooLong => 413,
            RequestError::BodyTimeout => 408,
            RequestError::OutOfMemory => 503,
        }
    }
}

/// The fields of a valid head that admission needs.
struct RequestHead {
    host: String,
    remaining: Option<Millis>,
    path: PathAndQuery,
}

impl RequestHead {
    fn validate(head: &Parts) -> Result<RequestHead, RequestError> {
        let host = single_header(&head.headers, &HOST)?
            .ok_or(RequestError::Invalid("host"))?
            .to_owned();
        let remaining = remaining_time(&head.headers)?;
        // Only the attempt id shows that a response belongs to this request; a backend would not
        // run a request without an attempt id.
        if single_header(&head.headers, &ATTEMPT_ID)?.is_none_or(str::is_empty) {
            return Err(RequestError::Invalid("x-attempt-id"));
        }
        // A request target that names another host than the `Host` header is ambiguous: the two
        // hosts may have different routes.
        if head
            .uri
            .authority()
            .is_some_and(|authority| !authority.as_str().eq_ignore_ascii_case(&host))
        {
            return Err(RequestError::Invalid("host"));
        }
        if head.method == Method::CONNECT {
            return Err(RequestError::Invalid("method"));
        }
        let path = head
            .uri
            .path_and_query()
            .cloned()
            .ok_or(RequestError::Invalid("path"))?;
        Ok(RequestHead {
            host,
            remaining,
            path,
        })
    }
}

fn remaining_time(headers: &HeaderMap) -> Result<Option<Millis>, RequestError> {
    let Some(text) = single_header(headers, &TIME_REMAINING)? else {
        return Ok(None);
    };
    match text.trim().parse::<f64>() {
        Ok(ms) if ms.is_finite() && ms > 0.0 => Ok(Some(ms)),
        _ => Err(RequestError::Invalid("x-time-remaining")),
    }
}

fn api_key(headers: &HeaderMap) -> Result<Option<String>, RequestError> {
    let key =
        single_header(headers, &AUTHORIZATION)?.and_then(|value| value.strip_prefix("Token "));
    Ok(key.map(|key| key.trim().to_owned()))
}

/// Returns the value of a header, which must occur at most once and be plain text.
fn single_header<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'a str>, RequestError> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (None, _) => Ok(None),
        (Some(value), None) => value
            .to_str()
            .map(Some)
            .map_err(|_| RequestError::Invalid("header")),
        _ => Err(RequestError::Invalid("header")),
    }
}

impl DownstreamServer {
    /// Responds to one request.
    pub(super) async fn handle(
        &self,
        request: Request<Incoming>,
        connection: &ClientConnection,
    ) -> Response<BlockBody> {
        connection.head_received();
        let attempt_id = request.headers().get(ATTEMPT_ID).cloned();
        let result = self.process(request, connection).await;
        // After an invalid request, the bytes that follow on the connection cannot be trusted to be
        // a request.
        let close = result.is_err()
            || self.connections.is_saturated()
            || *self.phase.borrow() != ShutdownPhase::Serving;
        let mut response = match result {
            Ok(ClientResponse::Backend(response)) => backend_response(response),
            Ok(ClientResponse::Local(local)) => local_response(&local, attempt_id),
            Err(error) => error_response(&error, attempt_id),
        };
        if close {
            response
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        connection.response_ready(response.body().len());
        response
    }

    async fn process(
        &self,
        request: Request<Incoming>,
        connection: &ClientConnection,
    ) -> Result<ClientResponse, RequestError> {
        let received_at = self.proxy.clock.now();
        let (parts, body) = request.into_parts();
        let head = RequestHead::validate(&parts)?;
        let api_key = api_key(&parts.headers)?;
        let deadlines = self.body_deadlines(received_at, &head);
        let body = self
            .read_body(body, api_key.as_deref(), deadlines, connection)
            .await?;
        let incoming = IncomingRequest {
            host: &head.host,
            path: head.path.path(),
            api_key: api_key.as_deref(),
            remaining: head.remaining,
            received_at,
            is_repeated_admission: false,
        };
        let admitted = self
            .admit(incoming, &head.path, parts.method, parts.headers, body)
            .await;
        let pending = match admitted {
            Ok(pending) => pending,
            Err(local) => return Ok(ClientResponse::Local(local)),
        };
        let mut disconnect_guard = DisconnectGuard {
            proxy: &self.proxy,
            request: Some(pending.id),
        };
        let response = pending.response.await;
        disconnect_guard.request = None;
        Ok(response.unwrap_or(ClientResponse::Local(LocalResponse {
            status: 502,
            retry_after: None,
            prefer_backend_response: false,
        })))
    }

    fn body_deadlines(&self, received_at: Millis, head: &RequestHead) -> BodyDeadlines {
        let timeout = head.remaining.unwrap_or(DEFAULT_BODY_TIMEOUT);
        let timeout = timeout.min(MAX_BODY_TIMEOUT);
        let memory_wait = (timeout * MEMORY_WAIT_FRACTION).min(MAX_MEMORY_WAIT);
        let clock = &self.proxy.clock;
        BodyDeadlines {
            memory_wait: clock.instant(received_at + memory_wait),
            read: clock.instant(received_at + timeout),
        }
    }

    /// Admits a request. If a configuration, a backend or quota is missing, for example after a
    /// start, the request waits for it: within [`ADMISSION_WAIT_FRACTION`] of its remaining time,
    /// the client is not worse off than with a retry.
    async fn admit(
        &self,
        mut incoming: IncomingRequest<'_>,
        path: &PathAndQuery,
        method: Method,
        headers: HeaderMap,
        body: BlockBody,
    ) -> Result<PendingResponse, LocalResponse> {
        let max_wait = incoming.remaining.map_or(0.0, |ms| {
            (ms * ADMISSION_WAIT_FRACTION).min(MAX_ADMISSION_WAIT)
        });
        let wait_until = incoming.received_at + max_wait;
        let mut parts = Some((method, headers, body));
        loop {
            // The notification is created before the admission decision, so that a change that
            // follows the decision is not missed.
            let state_changed = self.proxy.state_changed.notified();
            let admitted = self.proxy.admit(&incoming, |admitted| {
                let (method, headers, body) = parts.take().unwrap_or_default();
                let mut request =
                    ForwardedRequest::new(method, Uri::from(path.clone()), headers, body);
                if let Some(tenant) = tenant_header(admitted) {
                    request.headers.insert(TENANT, tenant);
                }
                request.memory_tenant = admitted.tenant.clone();
                request
            });
            match admitted {
                Ok(pending) => return Ok(pending),
                Err(Rejection::Rejected(local)) => return Err(local),
                Err(Rejection::RejectedUnless(local, wait)) => {
                    incoming.is_repeated_admission = true;
                    let clock = &self.proxy.clock;
                    let deadline = clock.instant(wait_until.min(clock.now() + wait));
                    if tokio::time::timeout_at(deadline, state_changed)
                        .await
                        .is_err()
                    {
                        return Err(local);
                    }
                }
            }
        }
    }
}

/// Notifies the core when a client disconnects before its response.
struct DisconnectGuard<'a> {
    proxy: &'a Rc<Proxy>,
    request: Option<RequestId>,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if let Some(request) = self.request {
            self.proxy.client_disconnected(request);
        }
    }
}
