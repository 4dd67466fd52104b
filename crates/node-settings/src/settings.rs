//! The validated settings of a process.

use crate::bounds::InvalidBound;
use crate::schema::RawSettings;
use crate::{Bind, Bounds, Limits, SettingsError, Tolerance};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

/// The environment variable that contains the path of the settings file.
pub const PATH_VARIABLE: &str = "MAPLEFALL_CONFIG";
/// The path of the settings file if [`PATH_VARIABLE`] is not set.
pub const DEFAULT_PATH: &str = "/etc/maplefall/local.toml";

/// The settings of a process. The comment of each field begins with its name in the file; fields
/// without a default are required.
#[derive(Clone, Debug)]
pub struct Settings {
    /// `Node`: name of the machine, not empty.
    pub node: String,
    /// `Role`: role of the machine; empty by default.
    pub role: String,
    /// `Serves`: the services that the machine offers, such as `edge` or `controller`; empty by
    /// default.
    pub serves: Vec<String>,
    /// `Ip`: IP address of the machine.
    pub ip: IpAddr,
    /// `Zone`: zone of the machine; empty by default.
    pub zone: String,
    /// `Region`: region of the machine; empty by default.
    pub region: String,
    /// `InternalPorts`: first and last port for connections between processes of the system.
    pub internal_ports: (u16, u16),
    /// `SeedAddrs`: addresses of some controllers; empty by default.
    pub seeds: Vec<SocketAddr>,
    /// `Bootstrap`: whether the system starts for the first time; false by default.
    pub bootstrap: bool,
    /// `QuorumMember`: whether the machine is a voter; false by default.
    pub quorum_member: bool,
    /// `DataDir`: directory for persistent state; none by default.
    pub data_dir: Option<PathBuf>,
    /// `HeartbeatS`: seconds between two heartbeats of a backend, above zero; 1.5 by default.
    pub heartbeat_s: f64,
    /// `ActiveLaws`: names of the users' rules in force; empty by default.
    pub active_laws: Vec<String>,
    /// `Bounds`: numeric limits of the users' rules.
    pub bounds: Bounds,
    /// `Zones`: the region of each zone; empty by default.
    pub zones: BTreeMap<String, String>,
    /// `Bind`: addresses to listen on.
    pub bind: Bind,
    /// `Limits`: resources of the machine.
    pub limits: Limits,
    /// `Tolerance`: losses that the system must survive.
    pub tolerance: Tolerance,
}

impl Settings {
    /// Returns the path of the settings file: the value of [`PATH_VARIABLE`], or [`DEFAULT_PATH`].
    pub fn path() -> PathBuf {
        std::env::var_os(PATH_VARIABLE).map_or_else(|| PathBuf::from(DEFAULT_PATH), PathBuf::from)
    }

    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] if the file cannot be read or parsed, or a field is invalid.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|error| SettingsError::Read {
            path: path.into(),
            error,
        })?;
        Settings::parse(&text, path)
    }

    /// Parses and validates the text of a settings file; `path` is only used in errors.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] if the text cannot be parsed or a field is invalid.
    pub fn parse(text: &str, path: &Path) -> Result<Settings, SettingsError> {
        let raw: RawSettings = toml::from_str(text).map_err(|error| SettingsError::Parse {
            path: path.into(),
            error,
        })?;
        validate(raw).map_err(|invalid| SettingsError::InvalidField {
            path: path.into(),
            field: invalid.field,
            value: invalid.value,
        })
    }
}

/// A field with an invalid value.
struct InvalidField {
    field: &'static str,
    value: String,
}

impl From<InvalidBound> for InvalidField {
    fn from(invalid: InvalidBound) -> InvalidField {
        InvalidField {
            field: "Bounds",
            value: invalid.0,
        }
    }
}

fn validate(raw: RawSettings) -> Result<Settings, InvalidField> {
    Ok(Settings {
        internal_ports: validate_ports(&raw.internal_ports)?,
        heartbeat_s: validate_heartbeat(raw.heartbeat_s)?,
        node: validate_node(raw.node)?,
        bounds: Bounds::parse(&raw.bounds)?,
        role: raw.role,
        serves: raw.serves,
        ip: raw.ip,
        zone: raw.zone,
        region: raw.region,
        seeds: raw.seed_addrs,
        bootstrap: raw.bootstrap,
        quorum_member: raw.quorum_member,
        data_dir: raw.data_dir,
        active_laws: raw.active_laws,
        zones: raw.zones,
        bind: raw.bind,
        limits: raw.limits,
        tolerance: raw.tolerance,
    })
}

fn validate_ports(ports: &[u16]) -> Result<(u16, u16), InvalidField> {
    match *ports {
        [first, last] if first > 0 && first <= last => Ok((first, last)),
        _ => Err(InvalidField {
            field: "InternalPorts",
            value: format!("{ports:?}"),
        }),
    }
}

fn validate_heartbeat(heartbeat_s: f64) -> Result<f64, InvalidField> {
    if heartbeat_s.is_finite() && heartbeat_s > 0.0 {
        return Ok(heartbeat_s);
    }
    Err(InvalidField {
        field: "HeartbeatS",
        value: heartbeat_s.to_string(),
    })
}

fn validate_node(node: String) -> Result<String, InvalidField> {
    if node.is_empty() {
        return Err(InvalidField {
            field: "Node",
            value: node,
        });
    }
    Ok(node)
}
