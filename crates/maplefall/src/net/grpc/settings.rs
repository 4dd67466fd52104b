//! The settings file of gRPC proxying (`MAPLEFALL_GRPC`, TOML; example: `deploy/grpc.toml`): the
//! listener, and the class of each method. Without the file there is no gRPC listener.

use maplefall_grpc::routes::{RouteError, Routes};
use maplefall_grpc::Shape;
use maplefall_policy::{ClassId, Millis};
use maplefall_settings::wire_value;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

/// The variable that names the settings file of gRPC proxying.
pub const VARIABLE: &str = "MAPLEFALL_GRPC";

/// The handling of a method's calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Route {
    /// The class of the calls.
    pub class: ClassId,
    /// Whether client and backend send one message or many.
    pub shape: Shape,
    /// Quota units of a call whose client names none.
    pub units: f64,
}

/// The settings for accepting and proxying calls.
#[derive(Clone, Debug)]
pub struct GrpcSettings {
    /// Address for clients.
    pub listen: SocketAddr,
    /// Maximum number of clients' connections; 32 by default.
    pub connections: usize,
    /// Maximum number of calls on one connection, on either side; 64 by default.
    pub streams: u32,
    /// Maximum number of calls over all connections; 512 by default.
    pub calls: usize,
    /// Maximum number of connections to backends; 32 by default.
    pub backend_connections: usize,
    /// Maximum bytes of a client's messages, and of a response, that are buffered for one call; 64
    /// KiB by default.
    pub max_buffered_bytes: usize,
    /// Time without a call after which a connection is closed, in milliseconds; 60,000 by default.
    pub idle: Millis,
    /// The route of each method.
    pub routes: Routes<Route>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct GrpcFile {
    listen: String,
    connections: Option<usize>,
    streams: Option<u32>,
    calls: Option<usize>,
    backend_connections: Option<usize>,
    held_bytes: Option<usize>,
    idle_ms: Option<Millis>,
    #[serde(default, rename = "route")]
    routes: Vec<RouteEntry>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RouteEntry {
    method: String,
    class: String,
    #[serde(default)]
    shape: ShapeName,
    units: Option<f64>,
}

#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum ShapeName {
    #[default]
    Unary,
    ServerStream,
    ClientStream,
    Bidi,
}

/// Reads the settings file that [`VARIABLE`] names, for classes of these names; `None` if the
/// variable is not set.
///
/// # Errors
/// All errors, one per line.
pub fn from_env(classes: &[String]) -> Result<Option<GrpcSettings>, String> {
    let Some(path) = std::env::var_os(VARIABLE) else {
        return Ok(None);
    };
    read(Path::new(&path), Some(classes))
        .map(Some)
        .map_err(|found| found.join("\n"))
}

/// Reads a settings file. Without the classes' names, any name of a class is accepted.
///
/// # Errors
/// All errors, each with the file's name and the field.
pub fn read(path: &Path, classes: Option<&[String]>) -> Result<GrpcSettings, Vec<String>> {
    let named = |text: String| format!("{}: {text}", path.display());
    let text = std::fs::read_to_string(path).map_err(|error| vec![named(error.to_string())])?;
    parse(&text, classes).map_err(|found| found.into_iter().map(named).collect())
}

/// Returns whether a text is a settings file of gRPC.
pub fn is_grpc_file(text: &str) -> bool {
    text.parse::<toml::Table>()
        .is_ok_and(|table| table.contains_key("listen"))
}

fn parse(text: &str, classes: Option<&[String]>) -> Result<GrpcSettings, Vec<String>> {
    let file: GrpcFile =
        toml::from_str(text).map_err(|error| vec![error.to_string().trim_end().to_owned()])?;
    let mut errors = Vec::new();
    let listen = file.listen.parse::<SocketAddr>();
    if listen.is_err() {
        errors.push(format!(
            "listen: an address with a port was expected, not {:?}",
            file.listen
        ));
    }
    let mut within = |field: &str, value: f64, min: f64, max: f64| {
        if !(min..=max).contains(&value) {
            errors.push(format!(
                "{field}: a number from {min} to {max} was expected"
            ));
        }
    };
    let connections = file.connections.unwrap_or(32);
    let streams = file.streams.unwrap_or(64);
    let calls = file.calls.unwrap_or(512);
    let backend_connections = file.backend_connections.unwrap_or(32);
    let max_buffered_bytes = file.held_bytes.unwrap_or(64 * 1024);
    let idle = file.idle_ms.unwrap_or(60_000.0);
    within("connections", connections as f64, 1.0, 65_536.0);
    within("streams", f64::from(streams), 1.0, 65_536.0);
    within("calls", calls as f64, 1.0, 65_536.0);
    within(
        "backend_connections",
        backend_connections as f64,
        1.0,
        65_536.0,
    );
    within("held_bytes", max_buffered_bytes as f64, 1024.0, 4_194_304.0);
    within("idle_ms", idle, 100.0, 86_400_000.0);
    if file.routes.is_empty() {
        errors.push("route: at least one [[route]] was expected".to_owned());
    }
    let mut routes = Vec::new();
    for (at, entry) in file.routes.iter().enumerate() {
        let known = classes.map(|known| {
            known
                .iter()
                .position(|known| *known == wire_value(&entry.class))
        });
        if let (Some(None), Some(known)) = (known, classes) {
            errors.push(format!(
                "route.{at}.class: one of {} was expected, not {:?}",
                known.join(", "),
                entry.class
            ));
        }
        let units = entry.units.unwrap_or(1.0);
        if !(units > 0.0 && units.is_finite()) {
            errors.push(format!("route.{at}.units: a number over 0 was expected"));
        }
        let shape = match entry.shape {
            ShapeName::Unary => Shape::Unary,
            ShapeName::ServerStream => Shape::ServerStream,
            ShapeName::ClientStream => Shape::ClientStream,
            ShapeName::Bidi => Shape::Bidi,
        };
        routes.push((
            entry.method.as_str(),
            Route {
                class: ClassId(known.flatten().unwrap_or(at)),
                shape,
                units,
            },
        ));
    }
    let routes = Routes::new(routes);
    if let Err(wrong) = &routes {
        errors.extend(
            wrong
                .iter()
                .map(|wrong: &RouteError| format!("route: {wrong}")),
        );
    }
    match (listen, routes) {
        (Ok(listen), Ok(routes)) if errors.is_empty() => Ok(GrpcSettings {
            listen,
            connections,
            streams,
            calls,
            backend_connections,
            max_buffered_bytes,
            idle,
            routes,
        }),
        _ => Err(errors),
    }
}

#[cfg(test)]
mod tests;
