//! The configuration: the `BALANCER_*` variables and the JSON file that one of them names.
//!
//! Invariant: at the start a variable has precedence over the file's entry; on reload the file has, as variables of a running
//! process cannot change.

use maplefall_protocol::Members;
use maplefall_settings::{self as settings, ParsedSettings};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// Why a configuration cannot be used; each is one line.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The variable that names the file is not set.
    #[error("BALANCER_CONFIG is not set")]
    Missing,
    /// The file cannot be read.
    #[error("cannot read {path}: {error}")]
    Unreadable {
        /// The file.
        path: String,
        /// What the system said.
        error: std::io::Error,
    },
    /// The file is not what it should be.
    #[error("{path}: {error}")]
    Malformed {
        /// The file.
        path: String,
        /// Where and why.
        error: serde_json::Error,
    },
    /// An address is not one.
    #[error("{name}: {value:?} is not an address with a port")]
    Address {
        /// Whose address.
        name: &'static str,
        /// What stood there.
        value: String,
    },
    /// A figure is out of bounds.
    #[error("{0}")]
    Value(String),
}

/// Limits of the machine.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Limits {
    /// File descriptors of the process at most.
    pub sockets: usize,
    /// Memory of the process at most, in MiB; 32 by default.
    #[serde(default = "min_memory_mb")]
    pub memory_mb: usize,
}

/// The memory that every deployment has at least, in MiB.
pub fn min_memory_mb() -> usize {
    32
}

/// The file as it is deserialized.
#[derive(Debug, Deserialize)]
struct ConfigFile {
    #[serde(default)]
    name: String,
    #[serde(default)]
    listen: String,
    #[serde(default)]
    discovery: String,
    seed: String,
    limits: Limits,
    known: Option<Members>,
    settings: Value,
}

/// The configuration of a process.
#[derive(Debug)]
pub struct Config {
    /// Its name, for its log.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Addresses of discovery, the likeliest first; never empty.
    pub discovery: Vec<SocketAddr>,
    /// The seed of random numbers; new with each start.
    pub seed: u64,
    /// Limits of the machine.
    pub limits: Limits,
    /// The list of backends as this process last had it.
    pub known: Option<Members>,
    /// The settings, as they were parsed.
    pub parsed: ParsedSettings,
}

/// Descriptors that the process needs at least.
pub const MIN_SOCKETS: usize = 32;

impl Config {
    /// Reads the variables and the file. A variable has precedence over the file's entry.
    ///
    /// # Errors
    /// The first mistake.
    pub fn from_env() -> Result<Config, ConfigError> {
        let file = ConfigFile::read()?;
        let variable_or =
            |name: &str, otherwise: &str| std::env::var(name).unwrap_or(otherwise.to_owned());
        let (seed, parsed) = file.check()?;
        let mut discovery = vec![parse_address(
            "BALANCER_DISCOVERY",
            &variable_or("BALANCER_DISCOVERY", &file.discovery),
        )?];
        // After discovery has moved, one of the two may have the old address: the file's is used where the variable's does not
        // answer.
        if let Ok(other) = file.discovery.parse() {
            if !discovery.contains(&other) {
                discovery.push(other);
            }
        }
        Ok(Config {
            name: variable_or("BALANCER_NAME", &file.name),
            listen: parse_address(
                "BALANCER_LISTEN",
                &variable_or("BALANCER_LISTEN", &file.listen),
            )?,
            discovery,
            seed,
            limits: file.limits,
            known: file.known,
            parsed,
        })
    }

    /// The address of discovery by a file that was replaced while the process runs. The file has precedence over the variable
    /// here: a variable cannot change in a running process, so it has the old address.
    ///
    /// # Errors
    /// Any mistake in the file, also elsewhere in it.
    pub fn reload_discovery() -> Result<SocketAddr, ConfigError> {
        let file = ConfigFile::read()?;
        file.check()?;
        parse_address("discovery", &file.discovery)
    }
}

impl ConfigFile {
    /// Reads the file that the variable names.
    fn read() -> Result<ConfigFile, ConfigError> {
        let path = std::env::var("BALANCER_CONFIG").map_err(|_| ConfigError::Missing)?;
        let text = std::fs::read_to_string(&path).map_err(|error| ConfigError::Unreadable {
            path: path.clone(),
            error,
        })?;
        serde_json::from_str(&text).map_err(|error| ConfigError::Malformed { path, error })
    }

    /// The seed and the settings, if they and the limits are usable.
    fn check(&self) -> Result<(u64, ParsedSettings), ConfigError> {
        let seed = u64::from_str_radix(&self.seed, 16).map_err(|_| {
            ConfigError::Value(format!("seed: {:?} is not a hexadecimal number", self.seed))
        })?;
        if self.limits.sockets < MIN_SOCKETS {
            let text = format!(
                "limits.sockets: {} is under {MIN_SOCKETS}",
                self.limits.sockets
            );
            return Err(ConfigError::Value(text));
        }
        Ok((
            seed,
            settings::parse(&settings::to_lines(&self.settings)).map_err(ConfigError::Value)?,
        ))
    }
}

fn parse_address(name: &'static str, value: &str) -> Result<SocketAddr, ConfigError> {
    value.parse().map_err(|_| ConfigError::Address {
        name,
        value: value.to_owned(),
    })
}
