//! One front door as a process: started, watched, signalled and ended. Only processes started here are ever touched.

use maplefall_event_trace::Millis;
use rustix::process::{kill_process, Pid, Signal};
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

/// Clock ticks a second in the system's process table, on every Linux that Rust builds for.
const TICKS: f64 = 100.0;

/// A running front door. Dropped, it is killed.
pub struct Door {
    child: Child,
    used: (Millis, u64),
}

/// Where a front door's files are.
#[derive(Clone, Debug)]
pub struct Files {
    /// Its configuration.
    pub config: PathBuf,
    /// Its log.
    pub log: PathBuf,
    /// Its file of sources, where it has one.
    pub sources: Option<PathBuf>,
    /// Its file of forward authentication, where callers are checked.
    pub forward_auth: Option<PathBuf>,
    /// Its file of shared counts, where front doors share them.
    pub shared_counts: Option<PathBuf>,
}

impl Files {
    /// The files of a front door in this folder.
    pub fn new(folder: &Path, door: usize) -> Files {
        Files {
            config: folder.join(format!("door-{door}.json")),
            log: folder.join(format!("door-{door}.log")),
            sources: None,
            forward_auth: None,
            shared_counts: None,
        }
    }

    /// The last line of the log.
    pub fn last_line(&self) -> String {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().last().unwrap_or("nothing").to_owned()
    }

    /// Replaces the configuration, whole at any moment.
    ///
    /// # Errors
    /// What the system says.
    pub fn write(&self, config: &str) -> io::Result<()> {
        let fresh = self.config.with_extension("new");
        std::fs::write(&fresh, config)?;
        std::fs::rename(&fresh, &self.config)
    }
}

impl Door {
    /// Starts the daemon with its configuration; its log goes on behind that of an earlier life.
    ///
    /// # Errors
    /// What the system says where it does not start.
    pub fn start(
        daemon: &Path,
        files: &Files,
        door: usize,
        listen: SocketAddr,
        discovery: SocketAddr,
        breakage: Option<&str>,
    ) -> io::Result<Door> {
        let log = File::options().create(true).append(true).open(&files.log)?;
        let mut command = Command::new(daemon);
        command
            .env("BALANCER_NAME", format!("door-{door}"))
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
        Ok(Door {
            child: command.spawn()?,
            used: (0.0, 0),
        })
    }

    fn signal(&self, signal: Signal) {
        // One that has ended by itself is found by `ended`.
        if let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Tells it to stop.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Tells it to read its configuration again.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Kills it outright and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// How it ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Looks up what it has used so far: processor time, and the most memory in KiB. The last figures stay once it
    /// has ended.
    pub fn used(&mut self) -> (Millis, u64) {
        let table =
            |file: &str| std::fs::read_to_string(format!("/proc/{}/{file}", self.child.id()));
        if let Ok(stat) = table("stat") {
            // The name in brackets may hold anything; what counts stands behind it.
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
            self.used.0 = self.used.0.max((ticks(11) + ticks(12)) * 1000.0 / TICKS);
        }
        if let Ok(status) = table("status") {
            let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
            let kib = line
                .and_then(|line| line.split_whitespace().next()?.parse().ok())
                .unwrap_or(0);
            self.used.1 = self.used.1.max(kib);
        }
        self.used
    }
}

impl Drop for Door {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The variable that names a breakage to a daemon that was built to be broken; the released one knows nothing of it.
pub const BREAKAGE: &str = "MAPLEFALL_BREAKAGE";

/// The variable that names a file of sources.
const SOURCES: &str = "MAPLEFALL_SOURCES";

/// The variable that names a file of forward authentication.
const FORWARD_AUTH: &str = "MAPLEFALL_FORWARD_AUTH";

/// The variable that names a file of shared counts.
const SHARED_COUNTS: &str = "MAPLEFALL_SHARED_COUNTS";

/// Where a front door listens: an address that belongs to this process, play and door alone, at a host that no outgoing
/// connection takes its port at (those come from 127.0.0.1) and a port that the system hands to nobody. It is worked out
/// and never tried: a socket opened to find a free port lives on in whatever process is being begun just then, and the
/// daemon would find the port in use.
pub fn own_address(process: u32, play: u32, door: usize) -> SocketAddr {
    let host = Ipv4Addr::new(
        127,
        64 + (play % 128) as u8,
        (process % 250) as u8 + 1,
        door as u8 + 1,
    );
    // Up to 4 million processes differ here; the system's own choice begins at 32768.
    let port = 10_000 + (process / 250) % 20_000;
    SocketAddr::from((host, port as u16))
}

/// Whether a front door answers its readiness check with 200.
pub fn healthy(door: SocketAddr) -> bool {
    let ask = || -> io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&door, Duration::from_millis(200))?;
        stream.set_read_timeout(Some(Duration::from_millis(500)))?;
        stream.write_all(b"GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
        let mut answer = [0; 12];
        stream.read_exact(&mut answer)?;
        Ok(answer.ends_with(b" 200"))
    };
    ask().unwrap_or(false)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards plays side by side against each other: no two front doors of two plays, of one process or of two, are given
    /// one address, and none that the system could hand to somebody else.
    #[test]
    fn every_front_door_has_an_address_of_its_own() {
        let mut once = std::collections::BTreeSet::new();
        let mut count = 0;
        for process in [1, 2, 250, 251, 70_000, 70_250, 4_194_303] {
            for play in 0..128 {
                for door in 0..8 {
                    let address = own_address(process, play, door);
                    assert!(
                        address.ip().is_loopback() && address.port() < 32_768,
                        "{address}"
                    );
                    once.insert(address);
                    count += 1;
                }
            }
        }
        assert_eq!(once.len(), count);
    }
}
