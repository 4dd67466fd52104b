//! A client's request: what the decision module reads, and what is forwarded to a backend.

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Method, Uri};
use maplefall_policy::{ClassId, CustomerId, Millis, PlanId};
use std::rc::Rc;

/// A client's request, received completely and validated.
#[derive(Debug)]
pub struct Incoming {
    /// When the last byte was received, in milliseconds of the process's clock.
    pub at: Millis,
    /// When the client gives up, in milliseconds of the process's clock.
    pub deadline: Millis,
    /// Whether the caller needs no further authorization check.
    pub authorized: bool,
    /// The customer whose quota the request uses.
    pub customer: CustomerId,
    /// The customer's plan.
    pub plan: PlanId,
    /// Request class.
    pub class: ClassId,
    /// Units that the request takes from the quota; an estimate until the response reports the
    /// actual number.
    pub units: f64,
    /// Number of gateways that serve the customer.
    pub gateways: f64,
    /// The request as it is forwarded to a backend.
    pub forwarded: ForwardedRequest,
}

/// A request as it is forwarded, identical in every attempt.
#[derive(Clone, Debug)]
pub struct ForwardedRequest {
    /// Request id as text.
    pub id: Rc<str>,
    /// Request id as the received header value.
    pub id_value: HeaderValue,
    /// `host` of the client's request.
    pub host: HeaderValue,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Idempotency key of a keyed request.
    pub key: Option<HeaderValue>,
    /// `content-type`, if the client sent one.
    pub content_type: Option<HeaderValue>,
    /// Headers added by the authorization check.
    pub added_headers: Vec<(HeaderName, HeaderValue)>,
    /// Complete body, at most [`MAX_BODY_BYTES`](crate::MAX_BODY_BYTES) bytes.
    pub body: Bytes,
}
