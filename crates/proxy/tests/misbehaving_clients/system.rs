//! A proxy process with a controller and a backend on a thread of the test.

use crate::common::bulk;
use maplefall_node_settings::{Settings, SettingsFile};
use maplefall_test_servers::crowd::{Crowd, CrowdClient};
use maplefall_test_servers::measured_process::{
    send_once, send_until_answered, MeasuredProcess, ProcessLimits,
};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::oneshot;

const API_PORT: u16 = 8392;
const INTERNAL_PORT: u16 = 7592;
const FRONT_PORT: u16 = 8398;
const PROBE_PORT: u16 = 8394;
/// Interval between two heartbeats of the backend, well below that of the settings.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time for a crowd to write all that the proxy reads.
const SENDING_TIME: Duration = Duration::from_secs(10);

/// Held by the test that runs.
static TURN: Mutex<()> = Mutex::new(());
static NEXT_SYSTEM: AtomicU32 = AtomicU32::new(0);

/// The system under test.
pub struct TestSystem {
    proxy: MeasuredProcess,
    pub limits: ProcessLimits,
    pub front: SocketAddr,
    pub probe: SocketAddr,
    /// Dropped to end the controller, the backend and its heartbeats.
    stop: Option<oneshot::Sender<()>>,
    threads: Vec<JoinHandle<()>>,
    directory: PathBuf,
    _turn: MutexGuard<'static, ()>,
}

impl TestSystem {
    /// Starts a system with this configuration and waits until the proxy is ready.
    pub fn start(limits: ProcessLimits, configuration: &str) -> TestSystem {
        let turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
        let number = NEXT_SYSTEM.fetch_add(1, Ordering::Relaxed);
        let pid = std::process::id();
        // An address of its own for each system, so that nothing else has its ports.
        let ip = format!("127.{}.{}.{}", 64 + number, (pid >> 8) & 0xff, pid & 0xff);
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("misbehaving-clients-{pid}-{number}"));
        std::fs::create_dir_all(&directory).expect("a directory");
        let address = |port| -> SocketAddr { format!("{ip}:{port}").parse().expect("an address") };
        let (stop, stopped) = oneshot::channel();
        let (backend_sender, backend) = mpsc::channel();
        let settings = controller_settings(&ip, &directory);
        let servers = std::thread::spawn(move || run_servers(settings, &backend_sender, stopped));
        let backend = backend.recv().expect("the backend's address");
        let proxy = start_proxy(&ip, &directory, limits);
        let api = address(API_PORT);
        send_until_answered(api, 200, || call("config.amend", configuration));
        let heartbeats = std::thread::spawn(move || send_heartbeats(api, backend));
        let probe = address(PROBE_PORT);
        send_until_answered(probe, 200, || READINESS.to_vec());
        TestSystem {
            proxy,
            limits,
            front: address(FRONT_PORT),
            probe,
            stop: Some(stop),
            threads: vec![servers, heartbeats],
            directory,
            _turn: turn,
        }
    }

    /// Starts a crowd at the proxy's address for clients, and waits until it stands.
    pub fn crowd(&self, clients: Vec<CrowdClient>) -> Crowd {
        let crowd = Crowd::start(self.front, clients);
        crowd.wait_until_sent(SENDING_TIME);
        crowd
    }

    /// Sends a request until it is served.
    pub fn check_served(&self, request: &[u8]) {
        send_until_answered(self.front, 200, || request.to_vec());
    }

    /// Each of these requests is served beside a crowd and after it, and the proxy is within its
    /// limits.
    pub fn check_beside_and_after(mut self, crowd: Crowd, requests: &[Vec<u8>]) {
        for request in requests {
            self.check_served(request);
        }
        drop(crowd);
        for request in requests {
            self.check_served(request);
        }
        send_until_answered(self.probe, 200, || READINESS.to_vec());
        self.proxy.assert_within(self.limits);
    }
}

impl Drop for TestSystem {
    fn drop(&mut self) {
        self.stop.take();
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

const READINESS: &[u8] = b"GET /api/readiness HTTP/1.1\r\nHost: probe\r\n\r\n";

fn call(name: &str, body: &str) -> Vec<u8> {
    format!(
        "POST /api/rpc?call={name} HTTP/1.1\r\nHost: c.example\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

fn controller_settings(ip: &str, directory: &Path) -> PathBuf {
    let text = format!(
        "Node = \"core-1\"\nServes = [\"controller\"]\nIp = \"{ip}\"\nZone = \"z\"\nRegion = \"z\"\n\
         InternalPorts = [{INTERNAL_PORT}, {INTERNAL_PORT}]\nSeedAddrs = [\"{ip}:{API_PORT}\"]\n\
         Bootstrap = true\nQuorumMember = true\nDataDir = \"{}\"\n\
         [Bind]\nControl = \"{ip}:{API_PORT}\"\n[Tolerance]\nMachineLosses = 0\n",
        directory.join("data").display(),
    );
    let path = directory.join("controller.toml");
    std::fs::write(&path, text).expect("a file");
    path
}

fn start_proxy(ip: &str, directory: &Path, limits: ProcessLimits) -> MeasuredProcess {
    let text = format!(
        "Node = \"edge-1\"\nServes = [\"edge\"]\nIp = \"{ip}\"\nZone = \"z\"\nRegion = \"z\"\n\
         InternalPorts = [{INTERNAL_PORT}, {INTERNAL_PORT}]\nSeedAddrs = [\"{ip}:{API_PORT}\"]\n\
         Bootstrap = true\n[Bind]\nFrontHttp = \"{ip}:{FRONT_PORT}\"\nReadyProbe = \"{ip}:{PROBE_PORT}\"\n\
         [Limits]\nMemoryMb = {}\nFileLimit = {}\n",
        limits.memory_mb, limits.descriptors,
    );
    let path = directory.join("proxy.toml");
    std::fs::write(&path, text).expect("a file");
    let log = std::fs::File::create(directory.join("proxy.log")).expect("a file");
    MeasuredProcess::start(
        Command::new(env!("CARGO_BIN_EXE_maplefall-proxy"))
            .arg("run")
            .env("MAPLEFALL_CONFIG", path)
            .stdout(Stdio::null())
            .stderr(log),
    )
}

/// Runs the controller and the backend until `stopped` completes.
fn run_servers(
    settings: PathBuf,
    backend_sender: &mpsc::Sender<SocketAddr>,
    stopped: oneshot::Receiver<()>,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let local = tokio::task::LocalSet::new();
    runtime.block_on(local.run_until(async move {
        let address = bulk::listen(Rc::default()).await;
        backend_sender.send(address).expect("a waiting test");
        let file = SettingsFile::new(settings);
        let settings = Settings::load(file.path()).expect("settings");
        tokio::select! {
            result = maplefall_controller::net::run(settings, file, 1) => panic!("{result:?}"),
            _ = stopped => {}
        }
    }));
}

/// Sends the backend's heartbeats until the controller has ended.
fn send_heartbeats(api: SocketAddr, backend: SocketAddr) {
    let mut number = 0;
    loop {
        number += 1;
        let body = format!(
            r#"{{"Address":"{backend}","Details":{{"Service":"one","Version":"v1","Zone":"z","Capacity":512}},"Observed":{{"State":"in_loop","CallSeq":{number},"WarmupLeftS":0}}}}"#
        );
        if send_once(api, &call("instances.beat&of=i-1", &body)).is_none() {
            return;
        }
        std::thread::sleep(HEARTBEAT_INTERVAL);
    }
}
