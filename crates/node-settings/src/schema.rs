//! The layout of the settings file: the names of all fields, their types and defaults.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

/// The contents of the file before validation; see [`Settings`](crate::Settings) for the meaning of
/// the fields.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct RawSettings {
    pub(crate) node: String,
    #[serde(default)]
    pub(crate) role: String,
    #[serde(default)]
    pub(crate) serves: Vec<String>,
    pub(crate) ip: IpAddr,
    #[serde(default)]
    pub(crate) zone: String,
    #[serde(default)]
    pub(crate) region: String,
    pub(crate) internal_ports: Vec<u16>,
    #[serde(default)]
    pub(crate) seed_addrs: Vec<SocketAddr>,
    #[serde(default)]
    pub(crate) bootstrap: bool,
    #[serde(default)]
    pub(crate) quorum_member: bool,
    pub(crate) data_dir: Option<PathBuf>,
    #[serde(default = "default_heartbeat_s")]
    pub(crate) heartbeat_s: f64,
    #[serde(default)]
    pub(crate) active_laws: Vec<String>,
    #[serde(default)]
    pub(crate) bounds: Vec<String>,
    #[serde(default)]
    pub(crate) zones: BTreeMap<String, String>,
    #[serde(default)]
    pub(crate) bind: Bind,
    #[serde(default)]
    pub(crate) limits: Limits,
    #[serde(default)]
    pub(crate) tolerance: Tolerance,
}

fn default_heartbeat_s() -> f64 {
    1.5
}

/// Table `Bind`: the addresses on which a process listens. A service that the process does not
/// provide has no address, which is the default.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct Bind {
    /// `FrontHttp`: requests of clients (proxy).
    pub front_http: Option<SocketAddr>,
    /// `ReadyProbe`: readiness checks by the platform.
    pub ready_probe: Option<SocketAddr>,
    /// `Control`: calls by backends and operators (controller).
    pub control: Option<SocketAddr>,
}

/// Table `Limits`: resources of the machine that the process may use.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct Limits {
    /// `MemoryMb`: memory, in MB; 256 by default.
    pub memory_mb: u64,
    /// `FileLimit`: file descriptors, sockets included; 1024 by default.
    pub file_limit: usize,
    /// `DiskMb`: disk space, in MB; zero, the default, means no disk.
    pub disk_mb: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            memory_mb: 256,
            file_limit: 1024,
            disk_mb: 0,
        }
    }
}

/// Table `Tolerance`: how many simultaneous losses the system must survive.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct Tolerance {
    /// `MachineLosses`: losses of voters; 1 by default.
    pub machine_losses: u32,
    /// `Zones`: losses of zones; 0 by default.
    pub zones: u32,
    /// `RegionLosses`: losses of regions; 0 by default.
    pub region_losses: u32,
}

impl Default for Tolerance {
    fn default() -> Tolerance {
        Tolerance {
            machine_losses: 1,
            zones: 0,
            region_losses: 0,
        }
    }
}
