//! The gateway program as a child process.

use super::connections::Connection;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

/// The running program.
pub struct Program {
    pub child: Child,
    pub address: SocketAddr,
    pub log: BufReader<ChildStderr>,
    /// The configuration and the path of its file.
    pub config: Value,
    pub path: String,
}

static NEXT_FILE: AtomicU32 = AtomicU32::new(0);

/// Starts the program with a configuration file of this text; also returns the file's path.
pub fn spawn(config: &str, variables: &[(&str, &str)]) -> (Child, String) {
    let number = NEXT_FILE.fetch_add(1, Ordering::Relaxed);
    let path = format!(
        "{}/config-{}-{number}.json",
        env!("CARGO_TARGET_TMPDIR"),
        std::process::id()
    );
    std::fs::write(&path, config).expect("a file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_maplefall"));
    for name in [
        "BALANCER_NAME",
        "BALANCER_LISTEN",
        "BALANCER_DISCOVERY",
        "MAPLEFALL_SOURCES",
    ] {
        command.env_remove(name);
    }
    command
        .envs(variables.iter().copied())
        .env("BALANCER_CONFIG", &path)
        .stderr(Stdio::piped());
    (command.spawn().expect("the program starts"), path)
}

impl Program {
    pub fn start(settings: Value, discovery: SocketAddr, known: Value) -> Program {
        Program::start_with_socket_limit(256, settings, discovery, known)
    }

    /// Starts the program with this limit on sockets.
    pub fn start_with_socket_limit(
        socket_limit: u32,
        settings: Value,
        discovery: SocketAddr,
        known: Value,
    ) -> Program {
        Program::start_with_variables(&[], socket_limit, settings, discovery, known)
    }

    /// Starts the program with further environment variables.
    pub fn start_with_variables(
        extra_variables: &[(&str, &str)],
        socket_limit: u32,
        settings: Value,
        discovery: SocketAddr,
        known: Value,
    ) -> Program {
        let config = json!({
            "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": socket_limit}, "known": known, "settings": settings,
        });
        // As in production, the variable holds the same address as the file.
        let mut variables = vec![("BALANCER_DISCOVERY", config["discovery"].as_str().unwrap())];
        variables.extend_from_slice(extra_variables);
        let (mut child, path) = spawn(&config.to_string(), &variables);
        let log = BufReader::new(child.stderr.take().expect("a pipe"));
        // The child is owned before its first log line is parsed, so that it is killed if the line
        // holds no address.
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut program = Program {
            child,
            address,
            log,
            config,
            path,
        };
        let line = program.log_line();
        let parsed = line
            .trim()
            .rsplit(' ')
            .next()
            .and_then(|text| text.parse().ok());
        program.address = parsed.unwrap_or_else(|| panic!("no address in {line:?}"));
        program
    }

    pub fn client(&self) -> Connection {
        Connection::connect(self.address)
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        self.replace_config(config);
        self.signal("-HUP");
    }

    /// Replaces the configuration file atomically.
    pub fn replace_config(&self, config: &str) {
        let new_path = format!("{}.new", self.path);
        std::fs::write(&new_path, config).expect("a file");
        std::fs::rename(&new_path, &self.path).expect("a file replaced");
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill")
            .args([name, &id])
            .status()
            .expect("kill runs")
            .success());
    }

    /// Reads the next line of the program's log.
    pub fn log_line(&mut self) -> String {
        let mut line = String::new();
        self.log.read_line(&mut line).expect("a line");
        line
    }

    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("an exit")
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        // The program may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
