//! What a process of the system is told: its settings file, read and checked. Named after the main distribution frame,
//! where every line of a telephone exchange is joined.
//!
//! Fields that are not known are ignored, so that a newer platform can start an older program.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

/// The variable that holds the path of the settings file.
pub const PATH_VARIABLE: &str = "MAPLEFALL_CONFIG";
/// Where it lies if nothing is told.
pub const DEFAULT_PATH: &str = "/etc/maplefall/local.toml";

/// Why a settings file cannot be used.
#[derive(Debug)]
pub enum Error {
    /// It could not be read.
    Read(PathBuf, std::io::Error),
    /// It is no TOML, or a field has the wrong type or is missing.
    Parse(PathBuf, toml::de::Error),
    /// A field says what cannot be.
    Field(PathBuf, &'static str, String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Read(path, error) => {
                write!(f, "step=read file={} error={error:?}", path.display())
            }
            Error::Parse(path, error) => {
                write!(
                    f,
                    "step=parse file={} error={:?}",
                    path.display(),
                    error.to_string()
                )
            }
            Error::Field(path, field, value) => {
                write!(
                    f,
                    "step=check file={} field={field} value={value:?}",
                    path.display()
                )
            }
        }
    }
}

impl std::error::Error for Error {}

/// The file as it is written. Times are seconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct File {
    node: String,
    #[serde(default)]
    role: String,
    #[serde(default)]
    serves: Vec<String>,
    ip: IpAddr,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    region: String,
    internal_ports: Vec<u16>,
    #[serde(default)]
    seed_addrs: Vec<SocketAddr>,
    #[serde(default)]
    bootstrap: bool,
    #[serde(default)]
    quorum_member: bool,
    data_dir: Option<PathBuf>,
    #[serde(default = "default_heartbeat")]
    heartbeat_s: f64,
    #[serde(default)]
    active_laws: Vec<String>,
    #[serde(default)]
    bounds: Vec<String>,
    #[serde(default)]
    zones: BTreeMap<String, String>,
    #[serde(default)]
    bind: Bind,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    tolerance: Tolerance,
}

fn default_heartbeat() -> f64 {
    1.5
}

/// The addresses of the services of a role.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct Bind {
    /// Clients.
    pub front_http: Option<SocketAddr>,
    /// The platform's question whether it is ready.
    pub ready_probe: Option<SocketAddr>,
    /// Backends and the operator.
    pub control: Option<SocketAddr>,
}

/// What the machine gives to a process.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct Limits {
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Descriptors, 200 of them for files.
    pub file_limit: usize,
    /// Disk, in MB; nought where there is none.
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

/// What may be lost at once.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct Tolerance {
    /// Machines that count for a majority.
    pub machine_losses: u32,
    /// Zones.
    pub zones: u32,
    /// Regions.
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

/// Figures of the rules. What is not told has the figure of the users' first deployments.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Seconds for which a machine must be in touch before it counts.
    pub contact_s: f64,
    /// Seconds within which an operator's call is acknowledged.
    pub ack_s: f64,
    /// Seconds after an acknowledged `decaying` in which sends still may arrive.
    pub drain_s: f64,
    /// Seconds from SIGTERM to SIGKILL.
    pub grace_s: f64,
    /// Seconds from an acknowledgement until all doors go by it.
    pub converge_s: f64,
    /// Seconds after its end in which a backend's address is given to no other.
    pub reuse_delay_s: f64,
    /// Repeats for each request.
    pub retry_budget_ratio: f64,
    /// Seconds over which repeats are counted.
    pub retry_window_s: f64,
    /// Repeats in a window on top.
    pub retry_slack: f64,
    /// Seconds over which quotas are counted.
    pub quota_window_s: f64,
    /// Part of a quota by which it may be passed.
    pub quota_overshoot: f64,
    /// Requests by which it may be passed besides.
    pub quota_slack: f64,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            contact_s: 3.0,
            ack_s: 5.0,
            drain_s: 2.5,
            grace_s: 6.0,
            converge_s: 2.5,
            reuse_delay_s: 2.0,
            retry_budget_ratio: 0.2,
            retry_window_s: 10.0,
            retry_slack: 62.0,
            quota_window_s: 5.0,
            quota_overshoot: 0.1,
            quota_slack: 20.0,
        }
    }
}

impl Bounds {
    /// Reads `name=value` texts; a name that is not known is passed over, a figure that cannot be read is an error.
    fn read(texts: &[String]) -> Result<Bounds, String> {
        let mut bounds = Bounds::default();
        for text in texts.iter().flat_map(|text| text.split(',')) {
            let Some((name, value)) = text.trim().split_once('=') else {
                continue;
            };
            let field = match name.trim() {
                "ContactS" => &mut bounds.contact_s,
                "AckS" => &mut bounds.ack_s,
                "DrainS" => &mut bounds.drain_s,
                "GraceS" => &mut bounds.grace_s,
                "ConvergeS" => &mut bounds.converge_s,
                "ReuseDelayS" => &mut bounds.reuse_delay_s,
                "RetryBudgetRatio" => &mut bounds.retry_budget_ratio,
                "RetryWindowS" => &mut bounds.retry_window_s,
                "RetrySlack" => &mut bounds.retry_slack,
                "QuotaWindowS" => &mut bounds.quota_window_s,
                "QuotaOvershoot" => &mut bounds.quota_overshoot,
                "QuotaSlack" => &mut bounds.quota_slack,
                _ => continue,
            };
            let figure = value
                .trim()
                .parse()
                .ok()
                .filter(|x: &f64| x.is_finite() && *x >= 0.0);
            *field = figure.ok_or_else(|| text.to_owned())?;
        }
        Ok(bounds)
    }
}

/// What a process is told.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The machine's name.
    pub node: String,
    /// Its role.
    pub role: String,
    /// Who may call it from outside.
    pub serves: Vec<String>,
    /// Its address.
    pub ip: IpAddr,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// First and last port for what processes say among themselves.
    pub internal_ports: (u16, u16),
    /// Addresses of some that serve `controller`.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time.
    pub bootstrap: bool,
    /// Whether the machine counts for a majority.
    pub quorum_member: bool,
    /// Where its disk is, if it has one.
    pub data_dir: Option<PathBuf>,
    /// Seconds between two beats of a backend.
    pub heartbeat_s: f64,
    /// Parts of the rules in force.
    pub active_laws: Vec<String>,
    /// Their figures.
    pub bounds: Bounds,
    /// The region of each zone.
    pub zones: BTreeMap<String, String>,
    /// Where to listen.
    pub bind: Bind,
    /// What the machine gives.
    pub limits: Limits,
    /// What may be lost at once.
    pub tolerance: Tolerance,
}

impl Settings {
    /// Where the settings file is: by the variable, or where it usually lies.
    pub fn path() -> PathBuf {
        std::env::var_os(PATH_VARIABLE).map_or_else(|| PathBuf::from(DEFAULT_PATH), PathBuf::from)
    }

    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Settings, Error> {
        let text =
            std::fs::read_to_string(path).map_err(|error| Error::Read(path.into(), error))?;
        Settings::read(&text, path)
    }

    /// Reads and checks the text of a settings file; `path` is for errors.
    pub fn read(text: &str, path: &Path) -> Result<Settings, Error> {
        let file: File = toml::from_str(text).map_err(|error| Error::Parse(path.into(), error))?;
        let wrong = |field, value: String| Error::Field(path.into(), field, value);
        let internal_ports = match file.internal_ports[..] {
            [first, last] if first > 0 && first <= last => (first, last),
            _ => return Err(wrong("InternalPorts", format!("{:?}", file.internal_ports))),
        };
        if !(file.heartbeat_s.is_finite() && file.heartbeat_s > 0.0) {
            return Err(wrong("HeartbeatS", file.heartbeat_s.to_string()));
        }
        if file.node.is_empty() {
            return Err(wrong("Node", file.node));
        }
        let bounds = Bounds::read(&file.bounds).map_err(|text| wrong("Bounds", text))?;
        Ok(Settings {
            node: file.node,
            role: file.role,
            serves: file.serves,
            ip: file.ip,
            zone: file.zone,
            region: file.region,
            internal_ports,
            seeds: file.seed_addrs,
            bootstrap: file.bootstrap,
            quorum_member: file.quorum_member,
            data_dir: file.data_dir,
            heartbeat_s: file.heartbeat_s,
            active_laws: file.active_laws,
            bounds,
            zones: file.zones,
            bind: file.bind,
            limits: file.limits,
            tolerance: file.tolerance,
        })
    }
}

/// A settings file that is looked at now and then: it may change with no signal.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    seen: Option<(std::time::SystemTime, u64)>,
}

impl SettingsFile {
    /// The file as it is now.
    pub fn new(path: PathBuf) -> SettingsFile {
        let mut watched = SettingsFile { path, seen: None };
        watched.changed();
        watched
    }

    /// Where it lies.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Whether it is another than when it was last looked at. One that is not there just now has not changed.
    pub fn changed(&mut self) -> bool {
        let Ok(data) = std::fs::metadata(&self.path) else {
            return false;
        };
        let Ok(modified) = data.modified() else {
            return false;
        };
        let now = Some((modified, data.len()));
        std::mem::replace(&mut self.seen, now) != now
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const DOOR: &str = r#"
Node = "edge-a-1"
Serves = ["edge"]
Ip = "10.1.0.37"
Zone = "a"
InternalPorts = [7560,7575]
SeedAddrs = ["10.1.0.40:8381"]
Bootstrap = true
HeartbeatS = 1.5
Bounds = ["DrainS=1.25","RevocationStrict=false","Unheard=7"]
Later = { x = 1 }
[Bind]
FrontHttp = "10.1.0.37:8388"
[Limits]
MemoryMb = 260
CpuShare = 0.2
"#;

    /// Guards a platform that says more than is known, and bounds that are not told.
    #[test]
    fn unknown_fields_are_passed_over_and_missing_bounds_have_their_defaults() {
        let settings = Settings::read(DOOR, Path::new("x")).expect("settings");
        assert_eq!(
            (settings.bounds.drain_s, settings.bounds.grace_s),
            (1.25, 6.0)
        );
        assert_eq!(
            (settings.limits.memory_mb, settings.limits.file_limit),
            (260, 1024)
        );
        assert_eq!(settings.bind.front_http.map(|a| a.port()), Some(8388));
    }

    /// Guards a file that changes with no signal, or is away for a moment while it is written anew.
    #[test]
    fn a_file_that_changes_is_noticed_once() {
        let path = std::env::temp_dir().join(format!("maplefall-watched-{}", std::process::id()));
        std::fs::write(&path, DOOR).expect("a file");
        let mut watched = SettingsFile::new(path.clone());
        assert!(!watched.changed());
        std::fs::write(&path, format!("{DOOR}\n# longer")).expect("a file");
        assert!(watched.changed() && !watched.changed());
        std::fs::remove_file(&path).expect("a file");
        assert!(!watched.changed());
    }

    /// Guards the operator: what cannot be used is told with its field, not guessed at.
    #[test]
    fn what_cannot_be_used_is_told_with_its_field() {
        for (from, to, field) in [
            ("[7560,7575]", "[7575]", "InternalPorts"),
            ("HeartbeatS = 1.5", "HeartbeatS = 0", "HeartbeatS"),
            ("DrainS=1.25", "DrainS=soon", "Bounds"),
            ("Node = \"edge-a-1\"", "Node = \"\"", "Node"),
        ] {
            let error = Settings::read(&DOOR.replace(from, to), Path::new("x")).expect_err(to);
            assert!(error.to_string().contains(field), "{error}");
        }
    }
}
