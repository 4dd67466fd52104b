//! Routes, tenants, services and limits as typed values, read from items.
//!
//! Reading an item also checks it in isolation: an item that [`check`] accepts can be read later
//! without an error.

use crate::error::ConfigError;
use crate::field_reader::{non_negative_number, FieldReader};
use crate::item::{Item, ItemKind};
use crate::json::Json;

/// Maximum `TimeoutS`, in seconds.
const MAX_TIMEOUT_S: f64 = 600.0;

const MILLIS_PER_SECOND: f64 = 1000.0;

/// A route. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name of the route.
    pub name: String,
    /// The host of the route's requests, in lower case.
    pub host: String,
    /// The path prefix of the route's requests.
    pub prefix: String,
    /// Whether the route's requests are idempotent, that is, may run more than once (`RouteKind`
    /// `safe`).
    pub idempotent: bool,
    /// The time limit for the response to a request (`TimeoutS`).
    pub timeout: f64,
    /// The latency target, within which a response earns its full value (`SetpointS`); the timeout
    /// by default.
    pub latency_target: f64,
    /// The route's priority; 0, the default, is the highest.
    pub priority: u32,
    /// Maximum number of backends that one request is sent to, 1 by default.
    pub max_attempts: u32,
    /// Whether the route's requests need no API key.
    pub public: bool,
    /// The services that the route's requests are forwarded to; at least one, with a positive sum
    /// of weights.
    pub destinations: Vec<Destination>,
}

/// One service of a route's traffic split.
#[derive(Clone, Debug, PartialEq)]
pub struct Destination {
    /// The name of the service.
    pub service: String,
    /// The weight of the service, relative to those of the route's other destinations; not
    /// negative.
    pub weight: f64,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// The name of the tenant.
    pub name: String,
    /// The API keys of the tenant.
    pub keys: Vec<String>,
    /// The tenant's priority, which takes precedence over that of the route; 0, the default, is the
    /// highest.
    pub priority: u32,
    /// The tenant's rate limit in requests per second; 0, the default, is no limit.
    pub rate: f64,
    /// Number of requests by which a burst may exceed the tenant's rate limit.
    pub burst: f64,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The name of the service.
    pub name: String,
    /// Maximum number of connections that one backend accepts from all callers together; unlimited
    /// by default.
    pub conn_limit: u32,
}

/// Limits on the size and duration of client requests. Times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// The size limit of a request head in bytes, 16 KiB by default.
    pub header_bytes: usize,
    /// The size limit of a request body in bytes, 64 MiB by default.
    pub body_bytes: usize,
    /// The time limit for receiving a request head, 3 s by default.
    pub header_timeout: f64,
    /// The time limit for an idle connection between requests, 15 s by default.
    pub idle_timeout: f64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            header_bytes: 16 << 10,
            body_bytes: 64 << 20,
            header_timeout: 3000.0,
            idle_timeout: 15_000.0,
        }
    }
}

/// Checks that an item is valid, regardless of other items.
///
/// # Errors
/// Returns [`ConfigError::InvalidField`] if a field is invalid.
pub(crate) fn check(item: &Item) -> Result<(), ConfigError> {
    if item.dropped {
        return Ok(());
    }
    match item.kind() {
        ItemKind::Route => Route::from_item(item).map(|_| ()),
        ItemKind::Tenant => Tenant::from_item(item).map(|_| ()),
        ItemKind::Service => Service::from_item(item).map(|_| ()),
        ItemKind::Limits => Limits::from_item(item).map(|_| ()),
    }
}

impl Route {
    /// Reads a route.
    ///
    /// # Errors
    /// Returns [`ConfigError::InvalidField`] if a field is invalid.
    pub fn from_item(item: &Item) -> Result<Route, ConfigError> {
        let fields = FieldReader::new(item)?;
        let prefix = read_path_prefix(&fields)?;
        let idempotent = read_idempotent(&fields)?;
        let timeout_s = read_timeout_s(&fields)?;
        let max_attempts = fields.integer("MaxAttempts")?.unwrap_or(1);
        if max_attempts == 0 {
            return Err(fields.invalid("MaxAttempts", "nought"));
        }
        let destinations = read_destinations(&fields)?;
        let host = fields.string("Host")?.to_ascii_lowercase();
        let latency_target_s = fields
            .number("SetpointS")?
            .filter(|seconds| *seconds > 0.0)
            .unwrap_or(timeout_s);
        Ok(Route {
            name: item.name.clone(),
            host,
            prefix,
            idempotent,
            timeout: timeout_s * MILLIS_PER_SECOND,
            latency_target: latency_target_s * MILLIS_PER_SECOND,
            priority: fields.integer("Priority")?.unwrap_or(0),
            max_attempts,
            public: fields.boolean("Public")?,
            destinations,
        })
    }
}

fn read_path_prefix(fields: &FieldReader<'_>) -> Result<String, ConfigError> {
    let prefix = fields.string("PathPrefix")?;
    if !prefix.starts_with('/') {
        return Err(fields.invalid("PathPrefix", "does not begin with a slash"));
    }
    Ok(prefix)
}

fn read_idempotent(fields: &FieldReader<'_>) -> Result<bool, ConfigError> {
    match fields.string("RouteKind")?.as_str() {
        "safe" => Ok(true),
        "nonidempotent" => Ok(false),
        other => Err(fields.invalid("RouteKind", format!("unknown kind {other}"))),
    }
}

fn read_timeout_s(fields: &FieldReader<'_>) -> Result<f64, ConfigError> {
    let timeout_s = fields
        .number("TimeoutS")?
        .filter(|seconds| *seconds > 0.0)
        .ok_or_else(|| fields.invalid("TimeoutS", "none"))?;
    if timeout_s > MAX_TIMEOUT_S {
        return Err(fields.invalid("TimeoutS", "over ten minutes"));
    }
    Ok(timeout_s)
}

/// Reads the destinations of a route: those of its traffic split, or its only service.
fn read_destinations(fields: &FieldReader<'_>) -> Result<Vec<Destination>, ConfigError> {
    match fields.get("TrafficSplit") {
        Some(split) => read_traffic_split(fields, split),
        None => Ok(vec![Destination {
            service: fields.string("Service")?,
            weight: 1.0,
        }]),
    }
}

fn read_traffic_split(
    fields: &FieldReader<'_>,
    split: &Json,
) -> Result<Vec<Destination>, ConfigError> {
    let invalid = |reason: &str| fields.invalid("TrafficSplit", reason);
    if fields.get("Service").is_some() {
        return Err(invalid("stands beside Service"));
    }
    let entries = split.as_array().ok_or_else(|| invalid("no list"))?;
    let mut destinations = Vec::with_capacity(entries.len());
    for entry in entries.iter() {
        let entry = entry.as_object().ok_or_else(|| invalid("no object"))?;
        let service = entry
            .get("Service")
            .and_then(Json::as_string)
            .map(|text| text.as_str())
            .filter(|text| !text.is_empty())
            .ok_or_else(|| invalid("a share without a Service"))?;
        let weight = entry
            .get("Weight")
            .and_then(non_negative_number)
            .ok_or_else(|| invalid("a Weight that is none or below nought"))?;
        destinations.push(Destination {
            service: service.to_owned(),
            weight,
        });
    }
    let total: f64 = destinations
        .iter()
        .map(|destination| destination.weight)
        .sum();
    if total <= 0.0 {
        return Err(invalid("no weight above nought"));
    }
    Ok(destinations)
}

impl Tenant {
    /// Reads a tenant.
    ///
    /// # Errors
    /// Returns [`ConfigError::InvalidField`] if a field is invalid.
    pub fn from_item(item: &Item) -> Result<Tenant, ConfigError> {
        let fields = FieldReader::new(item)?;
        Ok(Tenant {
            name: item.name.clone(),
            keys: read_api_keys(&fields)?,
            priority: fields.integer("Priority")?.unwrap_or(0),
            rate: fields.number("RatePerS")?.unwrap_or(0.0),
            burst: fields.number("BurstSize")?.unwrap_or(0.0),
        })
    }
}

fn read_api_keys(fields: &FieldReader<'_>) -> Result<Vec<String>, ConfigError> {
    let Some(list) = fields.get("ApiKeys") else {
        return Ok(Vec::new());
    };
    let list = list
        .as_array()
        .ok_or_else(|| fields.invalid("ApiKeys", "no list"))?;
    list.iter()
        .map(|key| {
            key.as_string()
                .map(|key| key.as_str().to_owned())
                .filter(|key| !key.is_empty())
                .ok_or_else(|| fields.invalid("ApiKeys", "a key that is no text"))
        })
        .collect()
}

impl Service {
    /// Reads a service.
    ///
    /// # Errors
    /// Returns [`ConfigError::InvalidField`] if a field is invalid.
    pub fn from_item(item: &Item) -> Result<Service, ConfigError> {
        let fields = FieldReader::new(item)?;
        Ok(Service {
            name: item.name.clone(),
            conn_limit: fields.integer("ConnLimit")?.unwrap_or(u32::MAX),
        })
    }
}

impl Limits {
    /// Reads the limits; missing fields have their defaults.
    ///
    /// # Errors
    /// Returns [`ConfigError::InvalidField`] if a field is invalid.
    pub fn from_item(item: &Item) -> Result<Limits, ConfigError> {
        let fields = FieldReader::new(item)?;
        let default = Limits::default();
        let bytes = |field, default: usize| -> Result<usize, ConfigError> {
            Ok(fields.integer(field)?.map_or(default, |n| n as usize))
        };
        let millis = |field, default: f64| -> Result<f64, ConfigError> {
            let seconds = fields.number(field)?;
            Ok(seconds.map_or(default, |seconds| seconds * MILLIS_PER_SECOND))
        };
        Ok(Limits {
            header_bytes: bytes("HeaderBytes", default.header_bytes)?,
            body_bytes: bytes("BodyBytes", default.body_bytes)?,
            header_timeout: millis("HeaderS", default.header_timeout)?,
            idle_timeout: millis("IdleS", default.idle_timeout)?,
        })
    }
}
