//! Requests as they are forwarded to backends, and backends' responses as they are forwarded to
//! clients. A response is forwarded only if it is certain to be complete and to belong to the
//! request's own attempt.

use crate::core::AdmittedRequest;
use crate::response_body::read_response_body;
use hyper::body::Incoming;
use hyper::header::{
    HeaderName, HeaderValue, AUTHORIZATION, CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, EXPECT,
    HOST, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use maplefall_downstream::{BodyMemory, MemoryTenant};
use maplefall_policy::{Millis, Outcome};
use maplefall_upstream::BlockBody;
use std::rc::Rc;

/// The id of the client's attempt, which the response repeats.
pub const ATTEMPT_ID: HeaderName = HeaderName::from_static("x-attempt-id");
/// The client's remaining time, in milliseconds.
pub const TIME_REMAINING: HeaderName = HeaderName::from_static("x-time-remaining");
/// The id of the backend instance that the request is meant for.
pub const TARGET: HeaderName = HeaderName::from_static("x-target-instance");
/// The tenant's name.
pub const TENANT: HeaderName = HeaderName::from_static("x-tenant");
/// The backend's seal on its successful responses.
pub const SEAL: HeaderName = HeaderName::from_static("x-server-seal");
/// States that the backend has not run the request.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-not-executed");

/// Hop-by-hop headers, which concern one connection only.
const HOP_BY_HOP: [HeaderName; 8] = [
    CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    HeaderName::from_static("proxy-authorization"),
];

/// A request as it is forwarded.
#[derive(Debug)]
pub struct ForwardedRequest {
    /// The method.
    pub method: Method,
    /// Path and query, as received.
    pub uri: Uri,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The value of [`ATTEMPT_ID`].
    pub attempt_id: Option<HeaderValue>,
    /// The complete body.
    pub body: BlockBody,
    /// The tenant that the memory for the response is held for.
    pub memory_tenant: MemoryTenant,
}

/// A backend's response.
#[derive(Debug)]
pub struct BackendResponse {
    /// The status code.
    pub status: StatusCode,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: BlockBody,
    /// The outcome of the attempt, which decides on retries.
    pub outcome: Outcome,
    /// Whether another instance listens at the address (status 421).
    pub wrong_instance: bool,
}

/// Removes hop-by-hop headers: those known by name and those that `Connection` lists.
fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed {
        // A `Connection` header of a client or a backend must not remove headers that the other
        // side relies on.
        if ![HOST, ATTEMPT_ID, SEAL, NOT_EXECUTED].contains(&name) {
            headers.remove(name);
        }
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Returns whether a response with this status implies that the request has not run and never will.
pub fn status_implies_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Returns the value of a header that occurs exactly once.
fn single_header<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|_| values.next().is_none())
}

/// Returns whether the end of a response's body is unambiguous: defined by one kind of framing and
/// no other. A body that ends with its connection may be truncated, and one with two kinds of
/// framing has two possible ends.
fn is_framed(method: &Method, status: StatusCode, headers: &HeaderMap) -> bool {
    let has_no_body = *method == Method::HEAD
        || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    match (
        headers.contains_key(CONTENT_LENGTH),
        headers.contains_key(TRANSFER_ENCODING),
    ) {
        (false, false) => has_no_body,
        (true, false) => single_header(headers, &CONTENT_LENGTH).is_some(),
        (false, true) => single_header(headers, &TRANSFER_ENCODING)
            .is_some_and(|coding| coding.as_bytes().eq_ignore_ascii_case(b"chunked")),
        (true, true) => false,
    }
}

impl ForwardedRequest {
    /// Creates the request to forward from a client's request, without hop-by-hop headers and those
    /// that concern only the proxy. The tenant is inserted once it is known.
    pub fn new(
        method: Method,
        uri: Uri,
        mut headers: HeaderMap,
        body: BlockBody,
    ) -> ForwardedRequest {
        remove_hop_by_hop(&mut headers);
        for name in [
            AUTHORIZATION,
            TENANT,
            TARGET,
            TIME_REMAINING,
            CONTENT_LENGTH,
            EXPECT,
        ] {
            headers.remove(name);
        }
        let attempt_id = headers.get(ATTEMPT_ID).cloned();
        ForwardedRequest {
            method,
            uri,
            headers,
            attempt_id,
            body,
            memory_tenant: None,
        }
    }

    /// Builds the request for one backend instance, with the client's remaining time.
    pub fn to_backend(&self, instance: &str, remaining: Millis) -> Request<BlockBody> {
        let mut request = Request::new(self.body.clone());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let headers = request.headers_mut();
        if let Ok(instance) = HeaderValue::from_str(instance) {
            headers.insert(TARGET, instance);
        }
        headers.insert(TIME_REMAINING, HeaderValue::from(remaining.max(1.0) as u64));
        request
    }

    /// Reads a response. Returns `None` if it is not certain to be complete and to belong to this
    /// request.
    pub async fn read_response(
        &self,
        response: Response<Incoming>,
        memory: &Rc<BodyMemory>,
    ) -> Option<BackendResponse> {
        let (head, body) = response.into_parts();
        let headers = &head.headers;
        // The response to another request may arrive instead of this one's. A success without the
        // seal, or encoded on the way, is not the backend's own, and no backend sends a status
        // outside the known classes.
        let has_attempt_id = self.attempt_id.is_some()
            && single_header(headers, &ATTEMPT_ID) == self.attempt_id.as_ref();
        let is_success = head.status.is_success();
        let is_sealed = !is_success || single_header(headers, &SEAL).is_some();
        if !is_framed(&self.method, head.status, headers)
            || !has_attempt_id
            || !is_sealed
            || !(200..600).contains(&head.status.as_u16())
            || headers.contains_key(CONTENT_ENCODING)
        {
            return None;
        }
        let body = read_response_body(body, memory, self.memory_tenant.clone()).await?;
        let wrong_instance = head.status == StatusCode::MISDIRECTED_REQUEST;
        let not_run = wrong_instance || headers.contains_key(NOT_EXECUTED);
        let outcome = match head.status {
            _ if not_run && !is_success => Outcome::Full,
            status if status.is_server_error() => Outcome::Error,
            // Without [`NOT_EXECUTED`], these statuses do not guarantee that the request has not
            // run.
            StatusCode::TOO_MANY_REQUESTS | StatusCode::REQUEST_TIMEOUT => Outcome::Error,
            _ => Outcome::Ok,
        };
        let mut headers = head.headers;
        remove_hop_by_hop(&mut headers);
        headers.remove(CONTENT_LENGTH);
        Some(BackendResponse {
            status: head.status,
            headers,
            body,
            outcome,
            wrong_instance,
        })
    }
}

/// Returns the value of [`TENANT`] for an admitted request.
pub fn tenant_header(admitted: &AdmittedRequest) -> Option<HeaderValue> {
    admitted
        .tenant
        .as_ref()
        .and_then(|tenant| HeaderValue::from_str(tenant).ok())
}
