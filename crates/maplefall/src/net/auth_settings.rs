//! The settings file of forward authentication (`MAPLEFALL_FORWARD_AUTH`, TOML; example:
//! `deploy/forward-auth.toml`): which callers are checked, by which servers, and which headers are
//! forwarded in both directions. Without the file no caller is checked.

use hyper::header::HeaderName;
use hyper::Uri;
use maplefall_forward_auth::headers::Headers;
use maplefall_forward_auth::Settings as GateSettings;
use maplefall_policy::{Idempotency, Millis};
use maplefall_settings::wire_value;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

/// The variable that names the settings file of forward authentication.
pub const VARIABLE: &str = "MAPLEFALL_FORWARD_AUTH";
/// Maximum number of servers of the authentication service.
const MAX_SERVERS: usize = 16;
/// Maximum number of headers in a list.
const MAX_HEADERS: usize = 32;

/// A part of the request that is in the key of a cached verdict, besides the credentials.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum KeyPart {
    /// The request class.
    Class,
    /// The customer's plan.
    Plan,
    /// The HTTP method.
    Method,
    /// The `host` header.
    Host,
    /// Path and query.
    Uri,
}

/// A server of the authentication service.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// The server's address.
    pub dial: SocketAddr,
    /// Path and query of a sub-request.
    pub target: Uri,
}

/// The settings of forward authentication.
#[derive(Clone, Debug, PartialEq)]
pub struct AuthSettings {
    /// The servers of the service.
    pub servers: Vec<Server>,
    /// For each class, whether its callers are checked.
    pub checked: Vec<bool>,
    /// Settings of the checks: budgets, retries and the cache.
    pub gate: GateSettings,
    /// The headers that are forwarded in each direction.
    pub headers: Headers,
    /// The parts of the key of a cached verdict besides the credentials.
    pub key: Vec<KeyPart>,
    /// The protocol of clients' requests, as reported to the service: `http` or `https`.
    pub proto: &'static str,
    /// Idle time after which the service closes a connection.
    pub idle_close: Millis,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct AuthFile {
    servers: Vec<String>,
    classes: BTreeMap<String, Mode>,
    credentials: Vec<String>,
    #[serde(default)]
    onward: Vec<String>,
    key: Option<Vec<KeyPart>>,
    proto: Option<Proto>,
    share: Option<f64>,
    room_ms: Option<Millis>,
    limit_ms: Option<Millis>,
    tries: Option<u32>,
    most_out: Option<usize>,
    most_waiting: Option<usize>,
    failures: Option<u32>,
    pause_ms: Option<[Millis; 2]>,
    keep_ms: Option<[Millis; 2]>,
    cache_bytes: Option<usize>,
    answer_bytes: Option<usize>,
    idle_close_ms: Option<Millis>,
}

#[derive(Clone, Copy, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
enum Mode {
    /// Callers of the class are not checked.
    Off,
    /// Callers of the class are checked, and rejected if the service cannot be queried.
    Closed,
    /// Callers of the class are checked, and admitted if the service cannot be queried.
    Open,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Proto {
    Http,
    Https,
}

/// Reads the settings file that [`VARIABLE`] names, for classes of these names and idempotency;
/// `None` if the variable is not set.
///
/// # Errors
/// All errors, one per line.
pub fn from_env(
    classes: &[String],
    idempotency: &[Idempotency],
) -> Result<Option<AuthSettings>, String> {
    let Some(path) = std::env::var_os(VARIABLE) else {
        return Ok(None);
    };
    read(Path::new(&path), Some((classes, idempotency)))
        .map(Some)
        .map_err(|found| found.join("\n"))
}

/// Reads a settings file. Without the classes, the file's entries on classes are accepted as they
/// are.
///
/// # Errors
/// All errors, each with the file's name and the field.
pub fn read(
    path: &Path,
    classes: Option<(&[String], &[Idempotency])>,
) -> Result<AuthSettings, Vec<String>> {
    let named = |text: String| format!("{}: {text}", path.display());
    let text = std::fs::read_to_string(path).map_err(|error| vec![named(error.to_string())])?;
    parse(&text, classes).map_err(|found| found.into_iter().map(named).collect())
}

/// Returns whether a text is a settings file of forward authentication rather than one of sources.
pub fn is_auth_file(text: &str) -> bool {
    text.parse::<toml::Table>()
        .is_ok_and(|table| table.contains_key("servers"))
}

fn parse(
    text: &str,
    classes: Option<(&[String], &[Idempotency])>,
) -> Result<AuthSettings, Vec<String>> {
    let file: AuthFile =
        toml::from_str(text).map_err(|error| vec![error.to_string().trim_end().to_owned()])?;
    let mut errors = Vec::new();
    let mut servers = Vec::new();
    if !(1..=MAX_SERVERS).contains(&file.servers.len()) {
        errors.push(format!(
            "servers: a list of 1 to {MAX_SERVERS} of http://IP:PORT/PATH was expected"
        ));
    }
    for (at, server) in file.servers.iter().enumerate() {
        match parse_server(server) {
            Some(server) => servers.push(server),
            None => errors.push(format!(
                "servers.{at}: http://IP:PORT/PATH was expected, not {server:?}"
            )),
        }
    }
    let mut names = |list: &[String], field: &str, min: usize| {
        if !(min..=MAX_HEADERS).contains(&list.len()) {
            errors.push(format!(
                "{field}: a list of {min} to {MAX_HEADERS} names of headers was expected"
            ));
        }
        let mut names = Vec::new();
        for (at, name) in list.iter().enumerate() {
            match name.parse::<HeaderName>() {
                Ok(name) => names.push(name),
                Err(_) => errors.push(format!(
                    "{field}.{at}: the name of a header was expected, not {name:?}"
                )),
            }
        }
        names
    };
    let credentials = names(&file.credentials, "credentials", 1);
    let onward = names(&file.onward, "onward", 0);
    if let Some(duplicate) = onward.iter().find(|name| credentials.contains(name)) {
        errors.push(format!(
            "onward: {duplicate} is a credential; what the service sets is stripped from requests"
        ));
    }
    let request_headers = [
        "host",
        "request-id",
        "request-timeout",
        "idempotency-key",
        "content-type",
        "content-length",
    ];
    let hop_by_hop = [
        "connection",
        "transfer-encoding",
        "te",
        "trailer",
        "upgrade",
        "keep-alive",
    ];
    for name in onward.iter().filter(|name| {
        request_headers
            .iter()
            .chain(&hop_by_hop)
            .any(|reserved| reserved == &name.as_str())
    }) {
        errors.push(format!(
            "onward: {name} belongs to the request itself and cannot be set by the service"
        ));
    }
    let count = classes.map_or(file.classes.len(), |(names, _)| names.len());
    let mut modes = vec![Mode::Off; count];
    for (at, (name, mode)) in file.classes.iter().enumerate() {
        match classes {
            Some((known, _)) => match known.iter().position(|known| *known == wire_value(name)) {
                Some(class) => modes[class] = *mode,
                None => errors.push(format!(
                    "classes.{name}: one of {} was expected",
                    known.join(", ")
                )),
            },
            None => modes[at] = *mode,
        }
    }
    let defaults = GateSettings::defaults(servers.len().max(1), count);
    let gate = GateSettings {
        share: file.share.unwrap_or(defaults.share),
        reserved_time: file.room_ms.unwrap_or(defaults.reserved_time),
        check_timeout: file.limit_ms.unwrap_or(defaults.check_timeout),
        max_attempts: file.tries.unwrap_or(defaults.max_attempts),
        max_in_flight: file.most_out.unwrap_or(defaults.max_in_flight),
        max_waiting: file.most_waiting.unwrap_or(defaults.max_waiting),
        failures: file.failures.unwrap_or(defaults.failures),
        backoff: file.pause_ms.unwrap_or(defaults.backoff),
        max_ttl: file.keep_ms.unwrap_or(defaults.max_ttl),
        cache_bytes: file.cache_bytes.unwrap_or(defaults.cache_bytes),
        fail_open: modes.iter().map(|mode| *mode == Mode::Open).collect(),
        ..defaults
    };
    let idempotency = classes.map_or(&[][..], |(_, idempotency)| idempotency);
    for wrong in gate.mistakes(idempotency) {
        errors.push(format!("{}: {} was expected", wrong.field, wrong.expected));
    }
    let answer_bytes = file.answer_bytes.unwrap_or(16 * 1024);
    if !(256..=64 * 1024).contains(&answer_bytes) {
        errors.push("answer_bytes: a whole number from 256 to 65536 was expected".to_owned());
    }
    let idle_close = file.idle_close_ms.unwrap_or(5000.0);
    if !(100.0..=600_000.0).contains(&idle_close) {
        errors.push("idle_close_ms: a number from 100 to 600000 was expected".to_owned());
    }
    let settings = AuthSettings {
        servers,
        checked: modes.iter().map(|mode| *mode != Mode::Off).collect(),
        gate,
        headers: Headers {
            credentials,
            onward,
            max_bytes: answer_bytes,
        },
        key: file.key.unwrap_or(vec![KeyPart::Class, KeyPart::Plan]),
        proto: match file.proto {
            Some(Proto::Https) => "https",
            Some(Proto::Http) | None => "http",
        },
        idle_close,
    };
    match errors.is_empty() {
        true => Ok(settings),
        false => Err(errors),
    }
}

/// Parses a server's URL; names are not resolved.
fn parse_server(text: &str) -> Option<Server> {
    let uri: Uri = text.parse().ok()?;
    let dial = uri.authority()?.as_str().parse().ok()?;
    let target = uri.path_and_query()?.clone();
    (uri.scheme_str() == Some("http")).then(|| Server {
        dial,
        target: Uri::from(target),
    })
}

#[cfg(test)]
mod tests;
