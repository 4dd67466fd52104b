//! Names of the protocol's headers, as the protocol page defines them.

use http::HeaderName;

/// Request id, unique for each request; a client's retry has a new id.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
/// Request class, which is also the first segment of the path.
pub const REQUEST_CLASS: HeaderName = HeaderName::from_static("request-class");
/// The sender's timeout, as decimal seconds.
pub const REQUEST_TIMEOUT: HeaderName = HeaderName::from_static("request-timeout");
/// Key by which backends deduplicate the attempts of a keyed request.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// The customer's plan.
pub const API_PLAN: HeaderName = HeaderName::from_static("api-plan");
/// Terms of the request: its `units`; `spread` (number) and `first` of the gateways that serve the
/// customer.
pub const API_TERMS: HeaderName = HeaderName::from_static("api-terms");
/// `1` in a response with status 503 or 504: the request was not started.
pub const NOT_STARTED: HeaderName = HeaderName::from_static("not-started");
/// The customer's usage of its quota over the last metered period, in percent.
pub const API_USAGE: HeaderName = HeaderName::from_static("api-usage");
/// Units that a served request actually took.
pub const API_CHARGE: HeaderName = HeaderName::from_static("api-charge");
/// A backend's load report.
pub const SERVER_LOAD: HeaderName = HeaderName::from_static("server-load");
