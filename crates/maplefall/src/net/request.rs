//! Validation: what a client's request must look like before the decision module sees it. Nothing here is lenient: what is
//! forwarded is what a client of this service would have written, and anything else is rejected.

use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Bytes, Incoming as IncomingBody};
use hyper::header::{HeaderName, CONTENT_TYPE, COOKIE, HOST, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, StatusCode, Uri};
use maplefall_policy::{ClassId, CustomerId, Idempotency, Millis, PlanId, Settings};
use maplefall_protocol::headers::{
    API_PLAN, API_TERMS, IDEMPOTENCY_KEY, REQUEST_CLASS, REQUEST_ID, REQUEST_TIMEOUT,
};
use maplefall_protocol::{Incoming, Order, LONGEST_BODY};
use maplefall_settings::{plain, Names};

/// Numbers of customers are below this.
const CUSTOMER_ID_LIMIT: u64 = 1 << 33;
/// Bytes of a request's id, and of an idempotency key, at most.
const MAX_NAME_BYTES: usize = 128;

/// Why a request is rejected before the decision module sees it.
#[derive(Debug, thiserror::Error)]
pub enum Bad {
    /// A header is missing, repeated or not what it should be.
    #[error("{0} is missing, repeated or cannot be read")]
    Header(HeaderName),
    /// No such class.
    #[error("unknown class")]
    Class,
    /// No such plan.
    #[error("unknown plan")]
    Plan,
    /// The path holds what is not plain ASCII.
    #[error("the path cannot be read")]
    Path,
    /// Method and class do not agree.
    #[error("the method does not go with the class")]
    Method,
    /// The body broke off or is no body.
    #[error("the body cannot be read")]
    Body,
    /// The body has no `Content-Length`.
    #[error("a body must tell its length")]
    Unmeasured,
    /// The body is over [`LONGEST_BODY`].
    #[error("the body is too long")]
    TooLong,
    /// The body took too long.
    #[error("the body did not come in time")]
    Slow,
    /// The id is in use, or was a moment ago.
    #[error("a request with this id has come before")]
    Twice,
}

impl Bad {
    /// What the client is answered.
    pub fn status(&self) -> StatusCode {
        match self {
            Bad::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Bad::Unmeasured => StatusCode::LENGTH_REQUIRED,
            Bad::Slow => StatusCode::REQUEST_TIMEOUT,
            Bad::Twice => StatusCode::CONFLICT,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}

/// Reads the head of a request whose first byte came at `first`.
pub fn read_head(
    settings: &Settings,
    names: &Names,
    head: &Parts,
    first: Millis,
) -> Result<Incoming, Bad> {
    let headers = &head.headers;
    // Where both framings are given, the library goes by the chunks and drops the length without a word; what one
    // hop takes for the body another takes for the next request. Clients of this service tell the length.
    if headers.contains_key(TRANSFER_ENCODING) {
        return Err(Bad::Unmeasured);
    }
    let id = name(headers, &REQUEST_ID)?;
    let class = class(settings, names, head)?;
    let plan_name = plain(text(headers, &API_PLAN)?);
    let plan = names
        .plans
        .iter()
        .position(|name| *name == plan_name)
        .ok_or(Bad::Plan)?;
    let timeout =
        parse_positive(text(headers, &REQUEST_TIMEOUT)?).ok_or(Bad::Header(REQUEST_TIMEOUT))?;
    // No client waits for longer than its class allows.
    let timeout = (timeout * 1000.0).min(settings.classes[class].deadline);
    let terms = Terms::read(text(headers, &API_TERMS)?, settings).ok_or(Bad::Header(API_TERMS))?;
    let path = head.uri.path_and_query().ok_or(Bad::Path)?;
    if !path.as_str().bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(Bad::Path);
    }
    text(headers, &HOST)?;
    if headers.contains_key(IDEMPOTENCY_KEY) {
        name(headers, &IDEMPOTENCY_KEY)?;
    }
    Ok(Incoming {
        at: first,
        deadline: first + timeout,
        authorized: true,
        customer: customer(headers).ok_or(Bad::Header(COOKIE))?,
        plan: PlanId(plan),
        class: ClassId(class),
        units: terms.units,
        gateways: terms.gateways,
        order: Order {
            id: id.into(),
            id_value: headers[REQUEST_ID].clone(),
            host: headers[HOST].clone(),
            method: head.method.clone(),
            uri: Uri::from(path.clone()),
            key: headers.get(IDEMPOTENCY_KEY).cloned(),
            // One that is odd says nothing about the body: it is left out.
            content_type: text(headers, &CONTENT_TYPE)
                .ok()
                .and_then(|_| headers.get(CONTENT_TYPE).cloned()),
            onward: Vec::new(),
            body: Bytes::new(),
        },
    })
}

/// The class, which header, path and method must agree on.
fn class(settings: &Settings, names: &Names, head: &Parts) -> Result<usize, Bad> {
    let name = text(&head.headers, &REQUEST_CLASS)?;
    let plain_name = plain(name);
    let class = names
        .classes
        .iter()
        .position(|known| *known == plain_name)
        .ok_or(Bad::Class)?;
    let rest = head
        .uri
        .path()
        .strip_prefix('/')
        .and_then(|path| path.strip_prefix(name));
    if !rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/')) {
        return Err(Bad::Class);
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
        Err(Bad::Method)
    }
}

/// What a request takes from its customer's quota, and over how many proxies its customer's requests are spread.
pub struct Terms {
    /// Units.
    pub units: f64,
    /// Proxies.
    pub gateways: f64,
}

impl Terms {
    /// Reads the header; `None` for figures beyond the settings, which the decision module would clamp and serve.
    pub fn read(text: &str, settings: &Settings) -> Option<Terms> {
        let proxies = settings.gateways.max(1);
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
                    .replace(parse_integer(value).filter(|n| (1..=proxies).contains(n))?)
                    .is_some(),
                "first" => first
                    .replace(parse_integer(value).filter(|n| *n < proxies)?)
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

/// The value of a header that stands there once and is plain ASCII.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<&'a str, Bad> {
    let mut values = headers.get_all(name).iter();
    let value = values.next().and_then(|value| value.to_str().ok());
    match (value, values.next()) {
        (Some(value), None) => Ok(value.trim()),
        _ => Err(Bad::Header(name.clone())),
    }
}

/// A header that names something: neither empty nor long, and no spaces.
pub fn name<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<&'a str, Bad> {
    let value = text(headers, name)?;
    let good = (1..=MAX_NAME_BYTES).contains(&value.len())
        && value.bytes().all(|byte| byte.is_ascii_graphic());
    good.then_some(value)
        .ok_or_else(|| Bad::Header(name.clone()))
}

fn parse_positive(text: &str) -> Option<f64> {
    text.parse()
        .ok()
        .filter(|number: &f64| number.is_finite() && *number > 0.0)
}

/// An integer, also where it is written with decimals.
fn parse_integer(text: &str) -> Option<u32> {
    let number: f64 = text.parse().ok()?;
    (number >= 0.0 && number.fract() == 0.0 && number <= f64::from(u32::MAX))
        .then_some(number as u32)
}

/// The customer that the one cookie `client` names.
pub fn customer(headers: &HeaderMap) -> Option<CustomerId> {
    let line = text(headers, &COOKIE).ok()?;
    let mut names = line
        .split(';')
        .filter_map(|one| one.trim().strip_prefix("client="));
    let name = names.next()?;
    let hex = name.len() == 16 && name.bytes().all(|byte| byte.is_ascii_hexdigit());
    let number = u64::from_str_radix(name, 16)
        .ok()
        .filter(|number| hex && *number < CUSTOMER_ID_LIMIT)?;
    names.next().is_none().then_some(CustomerId(number))
}

/// Reads a body that has to be there by `end`.
pub async fn read_body(
    body: IncomingBody,
    method: &Method,
    end: tokio::time::Instant,
) -> Result<Bytes, Bad> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    if method == Method::GET {
        return Err(Bad::Method);
    }
    if body.size_hint().lower() > LONGEST_BODY as u64 {
        return Err(Bad::TooLong);
    }
    let read = tokio::time::timeout_at(end, Limited::new(body, LONGEST_BODY).collect()).await;
    match read.map_err(|_| Bad::Slow)? {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Bad::TooLong),
        Err(_) => Err(Bad::Body),
    }
}
