//! A gateway process: starts, monitors, signals and ends it. Only processes started here are
//! signalled.

use maplefall_event_trace::Millis;
use rustix::process::{kill_process, Pid, Signal};
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

/// Clock ticks a second in `/proc`, on every Linux that Rust supports.
const TICKS: f64 = 100.0;

/// A running gateway process; dropping it kills the process.
pub struct GatewayProcess {
    child: Child,
    resource_usage: (Millis, u64),
}

/// Paths of a gateway's files.
#[derive(Clone, Debug)]
pub struct Files {
    /// Configuration.
    pub config: PathBuf,
    /// Log.
    pub log: PathBuf,
    /// File of sources, if used.
    pub sources: Option<PathBuf>,
    /// File of forward authentication, if callers are authenticated.
    pub forward_auth: Option<PathBuf>,
    /// File of shared counts, if gateways share them.
    pub shared_counts: Option<PathBuf>,
}

impl Files {
    /// Returns the paths of a gateway's files in `directory`.
    pub fn new(directory: &Path, index: usize) -> Files {
        Files {
            config: directory.join(format!("door-{index}.json")),
            log: directory.join(format!("door-{index}.log")),
            sources: None,
            forward_auth: None,
            shared_counts: None,
        }
    }

    /// Returns the last line of the log.
    pub fn last_line(&self) -> String {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().last().unwrap_or("nothing").to_owned()
    }

    /// Replaces the configuration atomically.
    ///
    /// # Errors
    /// Returns the I/O error.
    pub fn write(&self, config: &str) -> io::Result<()> {
        let temporary = self.config.with_extension("new");
        std::fs::write(&temporary, config)?;
        std::fs::rename(&temporary, &self.config)
    }
}

impl GatewayProcess {
    /// Starts the program with its configuration. The log is appended to that of earlier instances.
    ///
    /// # Errors
    /// Returns the I/O error if the process does not start.
    pub fn start(
        daemon: &Path,
        files: &Files,
        index: usize,
        listen: SocketAddr,
        discovery: SocketAddr,
        breakage: Option<&str>,
    ) -> io::Result<GatewayProcess> {
        let log = File::options().create(true).append(true).open(&files.log)?;
        let mut command = Command::new(daemon);
        command
            .env("BALANCER_NAME", format!("door-{index}"))
            .env("BALANCER_LISTEN", listen.to_string())
            .env("BALANCER_DISCOVERY", discovery.to_string())
            .env("BALANCER_CONFIG", &files.config)
            .env_remove(BREAKAGE)
            .env_remove(SOURCES)
            .env_remove(FORWARD_AUTH)
            .env_remove(SHARED_COUNTS)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        if let Some(sources) = &files.sources {
            command.env(SOURCES, sources);
        }
        if let Some(forward_auth) = &files.forward_auth {
            command.env(FORWARD_AUTH, forward_auth);
        }
        if let Some(shared_counts) = &files.shared_counts {
            command.env(SHARED_COUNTS, shared_counts);
        }
        if let Some(breakage) = breakage {
            command.env(BREAKAGE, breakage);
        }
        Ok(GatewayProcess {
            child: command.spawn()?,
            resource_usage: (0.0, 0),
        })
    }

    fn signal(&self, signal: Signal) {
        // `exit_status` finds a process that has ended by itself.
        if let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Sends SIGTERM, which stops the gateway gracefully.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Sends SIGHUP, which makes the gateway reload its configuration.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns the exit status if the process has ended.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Returns the CPU time and the peak memory in KiB used so far; after the end, the last figures
    /// read.
    pub fn resource_usage(&mut self) -> (Millis, u64) {
        let table =
            |file: &str| std::fs::read_to_string(format!("/proc/{}/{file}", self.child.id()));
        if let Ok(stat) = table("stat") {
            // The name in brackets may hold any character; the fields follow the last bracket.
            let fields: Vec<&str> = stat
                .rsplit(')')
                .next()
                .unwrap_or_default()
                .split_whitespace()
                .collect();
            let ticks = |at: usize| {
                fields
                    .get(at)
                    .and_then(|text| text.parse::<f64>().ok())
                    .unwrap_or(0.0)
            };
            self.resource_usage.0 = self
                .resource_usage
                .0
                .max((ticks(11) + ticks(12)) * 1000.0 / TICKS);
        }
        if let Ok(status) = table("status") {
            let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
            let kib = line
                .and_then(|line| line.split_whitespace().next()?.parse().ok())
                .unwrap_or(0);
            self.resource_usage.1 = self.resource_usage.1.max(kib);
        }
        self.resource_usage
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Variable that names a breakage to a program built with the feature `breakages`; the released one
/// ignores it.
pub const BREAKAGE: &str = "MAPLEFALL_BREAKAGE";

/// Variable that names the file of sources.
const SOURCES: &str = "MAPLEFALL_SOURCES";

/// Variable that names the file of forward authentication.
const FORWARD_AUTH: &str = "MAPLEFALL_FORWARD_AUTH";

/// Variable that names the file of shared counts.
const SHARED_COUNTS: &str = "MAPLEFALL_SHARED_COUNTS";

/// Returns a gateway's listening address, unique to this process, run and gateway. No outgoing
/// connection uses the host (those come from 127.0.0.1), and the system does not assign the port.
/// The address is computed instead of probed: a socket opened to find a free port is inherited by
/// any process that is being started at that moment, and the gateway would find the port in use.
pub fn gateway_address(process: u32, run: u32, index: usize) -> SocketAddr {
    let host = Ipv4Addr::new(
        127,
        64 + (run % 128) as u8,
        (process % 250) as u8 + 1,
        index as u8 + 1,
    );
    // Distinct for up to 4 million processes; the system assigns ports from 32768 on.
    let port = 10_000 + (process / 250) % 20_000;
    SocketAddr::from((host, port as u16))
}

/// Returns whether a gateway answers its readiness check with 200.
pub fn is_ready(gateway: SocketAddr) -> bool {
    let check = || -> io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&gateway, Duration::from_millis(200))?;
        stream.set_read_timeout(Some(Duration::from_millis(500)))?;
        stream.write_all(b"GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
        let mut response = [0; 12];
        stream.read_exact(&mut response)?;
        Ok(response.ends_with(b" 200"))
    };
    check().unwrap_or(false)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards concurrent runs against each other: no two gateways of two runs, of one process or of
    /// two, get the same address, nor one that the system could assign to another program.
    #[test]
    fn every_gateway_has_a_unique_address() {
        let mut addresses = std::collections::BTreeSet::new();
        let mut count = 0;
        for process in [1, 2, 250, 251, 70_000, 70_250, 4_194_303] {
            for run in 0..128 {
                for index in 0..8 {
                    let address = gateway_address(process, run, index);
                    assert!(
                        address.ip().is_loopback() && address.port() < 32_768,
                        "{address}"
                    );
                    addresses.insert(address);
                    count += 1;
                }
            }
        }
        assert_eq!(addresses.len(), count);
    }
}
