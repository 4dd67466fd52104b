//! A client's request: what the decision module reads, and what is forwarded to a backend.

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Method, Uri};
use maplefall_policy::{ClassId, CustomerId, Millis, PlanId};
use std::rc::Rc;

/// A client's request, received completely and validated.
#[derive(Debug)]
pub struct Incoming {
    /// When its last byte was received, in milliseconds of the process's clock.
    pub at: Millis,
    /// When the client gives up, on the same clock.
    pub deadline: Millis,
    /// Whether the caller needs no (further) authorization check.
    pub authorized: bool,
    /// The tenant.
    pub customer: CustomerId,
    /// The tenant's plan.
    pub plan: PlanId,
    /// Request class.
    pub class: ClassId,
    /// Quota units that it takes; an estimate until the response brings the actual ones.
    pub units: f64,
    /// Number of gateways that serve the tenant.
    pub gateways: f64,
    /// What is forwarded to a backend.
    pub order: Order,
}

/// The request as it is forwarded, the same with every attempt.
#[derive(Clone, Debug)]
pub struct Order {
    /// Request id as text.
    pub id: Rc<str>,
    /// Request id as the header value that was received.
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
    pub onward: Vec<(HeaderName, HeaderValue)>,
    /// Complete body, at most [`LONGEST_BODY`](crate::LONGEST_BODY) bytes.
    pub body: Bytes,
}
