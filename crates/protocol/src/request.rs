//! A client's request: as the decisions see it, and as it goes on to a backend.

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Method, Uri};
use maplefall_policy::{ClassId, CustomerId, Millis, PlanId};
use std::rc::Rc;

/// A client's request, read whole and found well formed.
#[derive(Debug)]
pub struct Incoming {
    /// When its last byte came.
    pub at: Millis,
    /// When its client stops waiting.
    pub deadline: Millis,
    /// Whether its caller needs no check.
    pub checked: bool,
    /// Its owner.
    pub customer: CustomerId,
    /// Its owner's plan.
    pub plan: PlanId,
    /// Its class.
    pub class: ClassId,
    /// Units that it takes.
    pub units: f64,
    /// Front doors in its owner's set.
    pub spread: f64,
    /// What goes on to a backend.
    pub order: Order,
}

/// What goes on to a backend, the same with every attempt.
#[derive(Clone, Debug)]
pub struct Order {
    /// The id on the wire.
    pub id: Rc<str>,
    /// The id as it came.
    pub id_value: HeaderValue,
    /// The host that the client named.
    pub host: HeaderValue,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The key of a keyed request.
    pub key: Option<HeaderValue>,
    /// The content type, if the client named one.
    pub content_type: Option<HeaderValue>,
    /// Headers that the caller's check brought.
    pub onward: Vec<(HeaderName, HeaderValue)>,
    /// The body.
    pub body: Bytes,
}
