//! Validation of a client's request before the decision module sees it. The checks are strict: a
//! request that a client of this service would not have written is rejected.

use hyper::body::{Body, Bytes, Incoming as IncomingBody};
use hyper::header::{HeaderName, CONTENT_TYPE, COOKIE, HOST, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, StatusCode, Uri};
use maplefall_downstream::{
    read_request_body, BodyDeadlines, BodyError, BodyMemory, BodyPolicy, RequestBody, Transfer,
};
use maplefall_policy::{ClassId, CustomerId, Idempotency, Millis, PlanId, Settings};
use maplefall_protocol::headers::{
    API_PLAN, API_TERMS, IDEMPOTENCY_KEY, REQUEST_CLASS, REQUEST_ID, REQUEST_TIMEOUT,
};
use maplefall_protocol::{ForwardedRequest, Incoming, MAX_BODY_BYTES};
use maplefall_settings::{wire_value, Names};
use std::rc::Rc;

/// Exclusive upper bound of customer numbers.
const CUSTOMER_ID_LIMIT: u64 = 1 << 33;
/// Maximum length of a request id and of an idempotency key, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Why a request is rejected before the decision module sees it.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// A header is missing, repeated or invalid.
    #[error("{0} is missing, repeated or cannot be read")]
    Header(HeaderName),
    /// Unknown class.
    #[error("unknown class")]
    Class,
    /// Unknown plan.
    #[error("unknown plan")]
    Plan,
    /// The path has characters other than graphic ASCII.
    #[error("the path cannot be read")]
    Path,
    /// The method does not match the class.
    #[error("the method does not go with the class")]
    Method,
    /// The body is truncated or malformed.
    #[error("the body cannot be read")]
    Body,
    /// The body has no `Content-Length`.
    #[error("a body must tell its length")]
    LengthRequired,
    /// The body is longer than [`MAX_BODY_BYTES`].
    #[error("the body is too long")]
    BodyTooLong,
    /// The body was not complete in time.
    #[error("the body did not come in time")]
    BodyTimeout,
    /// There is currently no memory for the body.
    #[error("there is no memory for the body")]
    OutOfMemory,
    /// The request id is in use, or was used recently.
    #[error("a request with this id has come before")]
    DuplicateId,
}

impl RequestError {
    /// Status of the response.
    pub fn status(&self) -> StatusCode {
        match self {
            RequestError::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::LengthRequired => StatusCode::LENGTH_REQUIRED,
            RequestError::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            RequestError::OutOfMemory => StatusCode::SERVICE_UNAVAILABLE,
            RequestError::DuplicateId => StatusCode::CONFLICT,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}

/// Parses and validates the head of a request whose first byte arrived at `first_byte_at`.
pub fn read_head(
    settings: &Settings,
    names: &Names,
    head: &Parts,
    first_byte_at: Millis,
) -> Result<Incoming, RequestError> {
    let headers = &head.headers;
    // If both framings are present, the library reads the chunks and silently drops the length, so
    // two hops may disagree on where the body ends (request smuggling). Clients of this service
    // send a length.
    if headers.contains_key(TRANSFER_ENCODING) {
        return Err(RequestError::LengthRequired);
    }
    let id = identifier_header(headers, &REQUEST_ID)?;
    let class = class(settings, names, head)?;
    let plan_name = wire_value(ascii_header(headers, &API_PLAN)?);
    let plan = names
        .plans
        .iter()
        .position(|name| *name == plan_name)
        .ok_or(RequestError::Plan)?;
    let timeout = parse_positive(ascii_header(headers, &REQUEST_TIMEOUT)?)
        .ok_or(RequestError::Header(REQUEST_TIMEOUT))?;
    // The timeout is limited to the deadline of the class.
    let timeout = (timeout * 1000.0).min(settings.classes[class].deadline);
    let terms = Terms::read(ascii_header(headers, &API_TERMS)?, settings)
        .ok_or(RequestError::Header(API_TERMS))?;
    let path = head.uri.path_and_query().ok_or(RequestError::Path)?;
    if !path.as_str().bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(RequestError::Path);
    }
    ascii_header(headers, &HOST)?;
    if headers.contains_key(IDEMPOTENCY_KEY) {
        identifier_header(headers, &IDEMPOTENCY_KEY)?;
    }
    Ok(Incoming {
        at: first_byte_at,
        deadline: first_byte_at + timeout,
        authorized: true,
        customer: customer(headers).ok_or(RequestError::Header(COOKIE))?,
        plan: PlanId(plan),
        class: ClassId(class),
        units: terms.units,
        gateways: terms.gateways,
        forwarded: ForwardedRequest {
            id: id.into(),
            id_value: headers[REQUEST_ID].clone(),
            host: headers[HOST].clone(),
            method: head.method.clone(),
            uri: Uri::from(path.clone()),
            key: headers.get(IDEMPOTENCY_KEY).cloned(),
            // An unreadable `content-type` does not make the body unusable; it is left out.
            content_type: ascii_header(headers, &CONTENT_TYPE)
                .ok()
                .and_then(|_| headers.get(CONTENT_TYPE).cloned()),
            added_headers: Vec::new(),
            body: Bytes::new(),
        },
    })
}

/// Returns the class; header, path and method must agree on it.
fn class(settings: &Settings, names: &Names, head: &Parts) -> Result<usize, RequestError> {
    let name = ascii_header(&head.headers, &REQUEST_CLASS)?;
    let plain_name = wire_value(name);
    let class = names
        .classes
        .iter()
        .position(|known| *known == plain_name)
        .ok_or(RequestError::Class)?;
    let rest = head
        .uri
        .path()
        .strip_prefix('/')
        .and_then(|path| path.strip_prefix(name));
    if !rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/')) {
        return Err(RequestError::Class);
    }
    let keyed = head.headers.contains_key(IDEMPOTENCY_KEY);
    let agrees = match settings.classes[class].idempotency {
        Idempotency::Idempotent => head.method == Method::GET && !keyed,
        Idempotency::Keyed { .. } => head.method == Method::POST && keyed,
        Idempotency::NonIdempotent => head.method == Method::POST && !keyed,
    };
    if agrees {
        Ok(class)
    } else {
        Err(RequestError::Method)
    }
}

/// Quota units of a request, and the number of gateways that its customer's requests are spread
/// over.
pub struct Terms {
    /// Quota units.
    pub units: f64,
    /// Number of gateways.
    pub gateways: f64,
}

impl Terms {
    /// Parses the quota units and the number of gateways in a header; `None` for values beyond the
    /// limits in the settings, which the decision module would clamp and serve.
    pub fn read(text: &str, settings: &Settings) -> Option<Terms> {
        let gateway_limit = settings.gateways.max(1);
        let (mut units, mut gateways, mut first) = (None, None, None);
        for field in text.split(',') {
            let (name, value) = field.trim().split_once('=')?;
            let repeated = match name {
                "units" => {
                    let max_units = settings.max_units.max(1.0) * (1.0 + 1e-6);
                    units
                        .replace(parse_positive(value).filter(|units| *units <= max_units)?)
                        .is_some()
                }
                "spread" => gateways
                    .replace(parse_integer(value).filter(|n| (1..=gateway_limit).contains(n))?)
                    .is_some(),
                "first" => first
                    .replace(parse_integer(value).filter(|n| *n < gateway_limit)?)
                    .is_some(),
                _ => false,
            };
            if repeated {
                return None;
            }
        }
        first?;
        Some(Terms {
            units: units?,
            gateways: f64::from(gateways?),
        })
    }
}

/// Returns the value of a header that is present exactly once and is plain ASCII.
pub fn ascii_header<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Result<&'a str, RequestError> {
    let mut values = headers.get_all(name).iter();
    let value = values.next().and_then(|value| value.to_str().ok());
    match (value, values.next()) {
        (Some(value), None) => Ok(value.trim()),
        _ => Err(RequestError::Header(name.clone())),
    }
}

/// Returns a header whose value is an identifier: 1 to [`MAX_NAME_BYTES`] bytes without spaces.
pub fn identifier_header<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Result<&'a str, RequestError> {
    let value = ascii_header(headers, name)?;
    let valid = (1..=MAX_NAME_BYTES).contains(&value.len())
        && value.bytes().all(|byte| byte.is_ascii_graphic());
    valid
        .then_some(value)
        .ok_or_else(|| RequestError::Header(name.clone()))
}

fn parse_positive(text: &str) -> Option<f64> {
    text.parse()
        .ok()
        .filter(|number: &f64| number.is_finite() && *number > 0.0)
}

/// Parses an integer, also one written with decimals.
fn parse_integer(text: &str) -> Option<u32> {
    let number: f64 = text.parse().ok()?;
    (number >= 0.0 && number.fract() == 0.0 && number <= f64::from(u32::MAX))
        .then_some(number as u32)
}

/// Returns the customer of the cookie `client`, which must be present exactly once.
pub fn customer(headers: &HeaderMap) -> Option<CustomerId> {
    let cookies = ascii_header(headers, &COOKIE).ok()?;
    let mut names = cookies
        .split(';')
        .filter_map(|cookie| cookie.trim().strip_prefix("client="));
    let name = names.next()?;
    let hex = name.len() == 16 && name.bytes().all(|byte| byte.is_ascii_hexdigit());
    let number = u64::from_str_radix(name, 16)
        .ok()
        .filter(|number| hex && *number < CUSTOMER_ID_LIMIT)?;
    names.next().is_none().then_some(CustomerId(number))
}

impl From<BodyError> for RequestError {
    fn from(error: BodyError) -> RequestError {
        match error {
            BodyError::Invalid => RequestError::Body,
            BodyError::TooLong => RequestError::BodyTooLong,
            BodyError::Timeout => RequestError::BodyTimeout,
            BodyError::OutOfMemory => RequestError::OutOfMemory,
        }
    }
}

/// Reads a body in memory of `memory`. `now` returns the time of `transfer`.
pub async fn read_body(
    body: IncomingBody,
    method: &Method,
    memory: &Rc<BodyMemory>,
    deadlines: BodyDeadlines,
    transfer: &Transfer,
    now: impl Fn() -> Millis,
) -> Result<RequestBody, RequestError> {
    if method == Method::GET && !body.is_end_stream() {
        return Err(RequestError::Method);
    }
    let policy = BodyPolicy {
        memory,
        tenant: None,
        max_bytes: MAX_BODY_BYTES,
        deadlines,
        is_contiguous: true,
    };
    Ok(read_request_body(body, policy, transfer, now).await?)
}
