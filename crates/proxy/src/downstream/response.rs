//! Final responses as they are written to clients.

use super::request::RequestError;
use crate::core::LocalResponse;
use crate::forward::{BackendResponse, ATTEMPT_ID};
use hyper::body::Bytes;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use maplefall_downstream::retry_after_value;
use maplefall_policy::Millis;
use maplefall_upstream::BlockBody;

/// `Retry-After` of a request that was rejected for lack of memory for its body.
const OUT_OF_MEMORY_RETRY_AFTER: Millis = 200.0;

/// Converts a backend's response to the response to the client.
pub(super) fn backend_response(backend: BackendResponse) -> Response<BlockBody> {
    let mut response = Response::new(backend.body);
    *response.status_mut() = backend.status;
    *response.headers_mut() = backend.headers;
    response
}

/// Builds the proxy's own response, with the request's attempt id.
pub(super) fn local_response(
    local: &LocalResponse,
    attempt_id: Option<HeaderValue>,
) -> Response<BlockBody> {
    let mut response = Response::new(BlockBody::default());
    *response.status_mut() = StatusCode::from_u16(local.status).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Some(retry_after) = local.retry_after.and_then(retry_after_value) {
        response.headers_mut().insert(RETRY_AFTER, retry_after);
    }
    if let Some(attempt_id) = attempt_id {
        response.headers_mut().insert(ATTEMPT_ID, attempt_id);
    }
    response
}

/// Builds the response to a request that was not read; its body names the field at fault.
pub(super) fn error_response(
    error: &RequestError,
    attempt_id: Option<HeaderValue>,
) -> Response<BlockBody> {
    let is_unavailable = matches!(error, RequestError::OutOfMemory);
    let local = LocalResponse {
        status: error.status(),
        retry_after: is_unavailable.then_some(OUT_OF_MEMORY_RETRY_AFTER),
        prefer_backend_response: false,
    };
    let mut response = local_response(&local, attempt_id);
    *response.body_mut() = BlockBody::from(Bytes::from(format!("{error}\n")));
    response
}
