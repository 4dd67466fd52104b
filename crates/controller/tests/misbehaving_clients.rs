//! A controller process among clients that misbehave at its API: it stays within the memory and the
//! descriptors of its machine, and ordinary calls are answered while the crowd stands and
//! afterwards. One test at a time.
//!
//! Guards against the following failures: bodies of legal size were collected without any account,
//! small pieces kept a read buffer each, heads grew to 400 KiB, every reader of a large
//! configuration held a copy of it, and idle connections took more descriptors than `FileLimit`.

use maplefall_test_servers::crowd::{Crowd, CrowdClient, Framing};
use maplefall_test_servers::measured_process::{
    send_until_answered, MeasuredProcess, ProcessLimits,
};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Port of the controller's API.
const API_PORT: u16 = 8392;
/// Port for proxies and other controllers.
const INTERNAL_PORT: u16 = 7592;
/// Time for a crowd to write all that the controller reads.
const SENDING_TIME: Duration = Duration::from_secs(20);
const MIB: usize = 1 << 20;

/// Held by the test that runs.
static TURN: Mutex<()> = Mutex::new(());
static NEXT_CONTROLLER: AtomicU32 = AtomicU32::new(0);

/// A controller that is the only one of its system.
struct TestController {
    process: MeasuredProcess,
    limits: ProcessLimits,
    api: SocketAddr,
    internal: SocketAddr,
    _directory: TestDirectory,
    _turn: MutexGuard<'static, ()>,
}

/// A directory that is removed on drop.
struct TestDirectory(PathBuf);

impl Drop for TestDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

impl TestController {
    fn start(limits: ProcessLimits) -> TestController {
        let turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
        let number = NEXT_CONTROLLER.fetch_add(1, Ordering::Relaxed);
        let pid = std::process::id();
        // An address of its own for each controller, so that nothing else has its ports.
        let ip = format!("127.{}.{}.{}", 64 + number, (pid >> 8) & 0xff, pid & 0xff);
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("misbehaving-clients-{pid}-{number}"));
        std::fs::create_dir_all(&directory).expect("a directory");
        let settings = directory.join("settings.toml");
        std::fs::write(&settings, settings_text(&ip, &directory, limits)).expect("a file");
        let log = std::fs::File::create(directory.join("log")).expect("a file");
        let process = MeasuredProcess::start(
            Command::new(env!("CARGO_BIN_EXE_maplefall-controller"))
                .arg("run")
                .env("MAPLEFALL_CONFIG", &settings)
                .stdout(Stdio::null())
                .stderr(log),
        );
        let controller = TestController {
            process,
            limits,
            api: format!("{ip}:{API_PORT}").parse().expect("an address"),
            internal: format!("{ip}:{INTERNAL_PORT}").parse().expect("an address"),
            _directory: TestDirectory(directory),
            _turn: turn,
        };
        controller.read_config();
        controller
    }

    fn crowd(&self, size: usize, client: &CrowdClient) -> Crowd {
        let crowd = Crowd::start(self.api, vec![client.clone(); size]);
        crowd.wait_until_sent(SENDING_TIME);
        crowd
    }

    /// Starts a crowd at the port for proxies and other controllers.
    fn internal_crowd(&self, size: usize, client: &CrowdClient) -> Crowd {
        let crowd = Crowd::start(self.internal, vec![client.clone(); size]);
        crowd.wait_until_sent(SENDING_TIME);
        crowd
    }

    /// Returns the committed configuration.
    fn read_config(&self) -> Vec<u8> {
        send_until_answered(self.api, 200, || call("config.read", "")).body
    }

    /// Each kind of call is answered.
    fn check_ordinary_calls(&self) {
        self.read_config();
        send_until_answered(self.api, 200, || call("instances.beat&of=i-1", HEARTBEAT));
        send_until_answered(self.api, 200, || call("config.amend", CONFIGURATION));
    }

    /// Ordinary calls are answered beside a crowd and after it, and the process is within its
    /// limits.
    fn check_beside_and_after(mut self, crowd: Crowd) {
        self.check_ordinary_calls();
        drop(crowd);
        self.check_ordinary_calls();
        self.process.assert_within(self.limits);
    }
}

fn settings_text(ip: &str, directory: &std::path::Path, limits: ProcessLimits) -> String {
    format!(
        "Node = \"core-1\"\nServes = [\"controller\"]\nIp = \"{ip}\"\nZone = \"z\"\nRegion = \"z\"\n\
         InternalPorts = [{INTERNAL_PORT}, {INTERNAL_PORT}]\nSeedAddrs = [\"{ip}:{API_PORT}\"]\n\
         Bootstrap = true\nQuorumMember = true\nDataDir = \"{}\"\n\
         [Bind]\nControl = \"{ip}:{API_PORT}\"\n[Limits]\nMemoryMb = {}\nFileLimit = {}\n\
         [Tolerance]\nMachineLosses = 0\n",
        directory.join("data").display(),
        limits.memory_mb,
        limits.descriptors,
    )
}

const CONFIGURATION: &str = r#"{"Upsert":{"Services":{"ColumnNames":["Name","HealthPath","Version"],"DataRows":[["one","/health","00000001"]]}}}"#;
const HEARTBEAT: &str = r#"{"Address":"127.0.0.1:9092","Details":{"Service":"one","Version":"v1","Zone":"z","Capacity":4},"Observed":{"State":"in_loop","CallSeq":1,"WarmupLeftS":0}}"#;
const LIMITS: ProcessLimits = ProcessLimits {
    memory_mb: 64,
    descriptors: 400,
};

fn call(name: &str, body: &str) -> Vec<u8> {
    let head = call_head(name, &format!("Content-Length: {}", body.len()));
    format!("{head}{body}").into_bytes()
}

fn call_head(name: &str, framing: &str) -> String {
    format!("POST /api/rpc?call={name} HTTP/1.1\r\nHost: c.example\r\n{framing}\r\n\r\n")
}

/// A client that announces a body and holds its last byte back.
fn held_call(name: &str, body_bytes: usize) -> CrowdClient {
    let head = call_head(name, &format!("Content-Length: {body_bytes}"));
    CrowdClient::new(head).with_content(body_bytes - 1)
}

/// A configuration change of this length, most of which is white space.
fn long_amendment(length: usize) -> Vec<u8> {
    let (end, rest) = ("}", CONFIGURATION.len());
    let mut body = CONFIGURATION[..rest - end.len()].to_owned();
    body.extend(std::iter::repeat_n(' ', length - rest));
    body.push_str(end);
    call("config.amend", &body)
}

#[test]
fn controller_long_calls_held_short_of_their_end() {
    let controller = TestController::start(LIMITS);
    // In the calm, a single long call is served.
    send_until_answered(controller.api, 200, || long_amendment(16 * MIB));
    let crowd = controller.crowd(20, &held_call("config.amend", 30 * MIB));
    controller.check_beside_and_after(crowd);
}

#[test]
fn controller_calls_of_medium_length_held_short_of_their_end() {
    let controller = TestController::start(LIMITS);
    let crowd = controller.crowd(40, &held_call("config.amend", 4 * MIB));
    send_until_answered(controller.api, 200, || long_amendment(MIB));
    controller.check_beside_and_after(crowd);
}

#[test]
fn controller_long_calls_in_small_chunks_without_an_end() {
    let controller = TestController::start(LIMITS);
    let client = CrowdClient::new(call_head("config.amend", "Transfer-Encoding: chunked"))
        .with_content(2_000_000)
        .in_pieces(Framing::Chunked, 500, Duration::from_millis(1));
    let crowd = controller.crowd(8, &client);
    controller.check_beside_and_after(crowd);
}

#[test]
fn controller_long_calls_in_chunks_without_an_end() {
    let controller = TestController::start(LIMITS);
    let client = CrowdClient::new(call_head("config.amend", "Transfer-Encoding: chunked"))
        .with_content(30 * MIB)
        .in_pieces(Framing::Chunked, 64 << 10, Duration::ZERO);
    let crowd = controller.crowd(20, &client);
    controller.check_beside_and_after(crowd);
}

#[test]
fn controller_heartbeats_held_short_of_their_end() {
    let controller = TestController::start(LIMITS);
    let crowd = controller.crowd(300, &held_call("instances.beat&of=i-2", 60_000));
    controller.check_beside_and_after(crowd);
}

#[test]
fn controller_long_heads_without_an_end() {
    let controller = TestController::start(LIMITS);
    let opening = "POST /api/rpc?call=config.read HTTP/1.1\r\nHost: c.example\r\nX-Long: ";
    let client = CrowdClient::new(opening).with_content(380_000);
    let crowd = controller.crowd(300, &client);
    controller.check_beside_and_after(crowd);
}

#[test]
fn controller_more_idle_connections_than_descriptors() {
    let controller = TestController::start(LIMITS);
    let crowd = controller.crowd(800, &CrowdClient::new(""));
    controller.check_beside_and_after(crowd);
}

#[test]
fn controller_a_long_configuration_that_nobody_reads() {
    let limits = ProcessLimits {
        memory_mb: 128,
        ..LIMITS
    };
    let controller = TestController::start(limits);
    let rows: Vec<String> = (0..8000)
        .map(|number| {
            let path = "p".repeat(500);
            format!(r#"["s-{number}","/{path}","00000001"]"#)
        })
        .collect();
    let configuration = format!(
        r#"{{"Upsert":{{"Services":{{"ColumnNames":["Name","HealthPath","Version"],"DataRows":[{}]}}}}}}"#,
        rows.join(",")
    );
    send_until_answered(controller.api, 200, || call("config.amend", &configuration));
    assert!(controller.read_config().len() > 4_000_000);
    let reader = CrowdClient::new(call_head("config.read", "Content-Length: 0"));
    let crowd = controller.crowd(60, &reader);
    let slow_crowd = controller.crowd(60, &reader.reading_slowly());
    controller.check_ordinary_calls();
    drop(slow_crowd);
    controller.check_beside_and_after(crowd);
}

/// The length prefix of a frame of 48 MiB.
const LONG_FRAME_PREFIX: &str = "\x03\0\0\0";

#[test]
fn controller_long_frames_before_a_hello() {
    let controller = TestController::start(LIMITS);
    let client = CrowdClient::new(LONG_FRAME_PREFIX).with_content(40 * MIB);
    let crowd = controller.internal_crowd(20, &client);
    controller.check_beside_and_after(crowd);
}

#[test]
fn controller_more_idle_internal_connections_than_descriptors() {
    let controller = TestController::start(LIMITS);
    let crowd = controller.internal_crowd(800, &CrowdClient::new(""));
    controller.check_beside_and_after(crowd);
}
