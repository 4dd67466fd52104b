//! Header names of the protocol page.

use http::HeaderName;

/// Names a request; new with every request, also with a client's retry.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
/// The class, which is also the first part of the path.
pub const REQUEST_CLASS: HeaderName = HeaderName::from_static("request-class");
/// How long the sender will wait, in seconds with decimals.
pub const REQUEST_TIMEOUT: HeaderName = HeaderName::from_static("request-timeout");
/// The key by which backends drop repeats of a keyed request.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// The customer's plan.
pub const API_PLAN: HeaderName = HeaderName::from_static("api-plan");
/// `units` of the request, and `spread` and `first` of the customer's set of front doors.
pub const API_TERMS: HeaderName = HeaderName::from_static("api-terms");
/// `1` with 503 or 504: the request never ran.
pub const NOT_STARTED: HeaderName = HeaderName::from_static("not-started");
/// The customer's use of its quota over the last metered period, in percent.
pub const API_USAGE: HeaderName = HeaderName::from_static("api-usage");
/// The true units of a served request.
pub const API_CHARGE: HeaderName = HeaderName::from_static("api-charge");
/// A backend's load report.
pub const SERVER_LOAD: HeaderName = HeaderName::from_static("server-load");
