//! Test beds: fake services behind the program, and calls to it.

use crate::sockets::{member, members, settings, Program};
use maplefall_test_servers::grpc::{Call, Client, Fault, Final, Service};
use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

pub const TEST_TIMEOUT: Duration = Duration::from_secs(120);

pub const READ: &str = "/lots.v1.Sessions/Balance";

pub const EXTEND: &str = "/lots.v1.Sessions/Extend";

pub const CHARGE: &str = "/lots.v1.Sessions/Charge";

pub const WATCH: &str = "/lots.v1.Sessions/Watch";

pub const WATCH_CHARGE: &str = "/lots.v1.Sessions/WatchCharge";

pub const REPORT: &str = "/lots.v1.Meters/Report";

pub const UPLOAD: &str = "/lots.v1.Meters/Upload";

pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        tokio::time::timeout(TEST_TIMEOUT, test)
            .await
            .expect("the test ends within its timeout");
    });
}

pub fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

pub struct TestBed {
    pub services: Vec<Rc<Service>>,
    pub addresses: Vec<SocketAddr>,
    pub program: Program,
    /// The address that accepts gRPC calls.
    pub grpc: SocketAddr,
}

impl TestBed {
    pub fn attempts(&self, id: &str) -> usize {
        self.services
            .iter()
            .map(|service| service.attempts(id).len())
            .sum()
    }

    pub fn ran(&self, id: &str) -> usize {
        let seen = self
            .services
            .iter()
            .flat_map(|service| service.attempts(id));
        seen.filter(|seen| seen.ran).count()
    }

    pub fn faults(&self, faults: &[(Fault, f64)]) {
        self.services
            .iter()
            .for_each(|service| service.faults(faults));
    }

    pub async fn client(&self) -> Client {
        Client::open(self.grpc).await.unwrap()
    }
}

/// Starts a gateway with this many fake services and these further lines in its gRPC file.
pub fn test_bed(count: usize, lines: &str) -> TestBed {
    test_bed_with(count, lines, &[], settings_without_quota())
}

pub fn settings_without_quota() -> serde_json::Value {
    let mut settings = settings();
    settings["plans"][0]["per_second"] = serde_json::json!(1e6);
    settings["plans"][0]["peak_units"] = serde_json::json!(1e6);
    settings
}

pub fn test_bed_with(
    count: usize,
    lines: &str,
    extra_variables: &[(&str, &str)],
    settings: serde_json::Value,
) -> TestBed {
    let listeners: Vec<TcpListener> = (0..count).map(|_| listener()).collect();
    let addresses: Vec<SocketAddr> = listeners
        .iter()
        .map(|listener| listener.local_addr().unwrap())
        .collect();
    let services: Vec<Rc<Service>> = (0..count as u64).map(Service::new).collect();
    for (service, listener) in services.iter().zip(listeners) {
        tokio::task::spawn_local(service.clone().serve(listener));
    }
    let (program, grpc) = start(&addresses, lines, extra_variables, settings);
    TestBed {
        services,
        addresses,
        program,
        grpc,
    }
}

pub fn start(
    addresses: &[SocketAddr],
    lines: &str,
    extra_variables: &[(&str, &str)],
    settings: serde_json::Value,
) -> (Program, SocketAddr) {
    let hosts: Vec<serde_json::Value> = addresses
        .iter()
        .enumerate()
        .map(|(n, address)| member(&format!("s-{n}"), *address, "up"))
        .collect();
    // No discovery agent listens at this address; the gateway needs only the list that it starts
    // with.
    let no_agent: SocketAddr = "127.0.0.1:9".parse().unwrap();
    start_known(
        lines,
        extra_variables,
        settings,
        no_agent,
        members(7, true, &hosts),
    )
}

/// Starts a gateway with this list of backends and this discovery address.
pub fn start_known(
    lines: &str,
    extra_variables: &[(&str, &str)],
    settings: serde_json::Value,
    discovery: SocketAddr,
    known: serde_json::Value,
) -> (Program, SocketAddr) {
    static NEXT_FILE: AtomicU32 = AtomicU32::new(0);
    let number = NEXT_FILE.fetch_add(1, Ordering::Relaxed);
    let path = format!(
        "{}/grpc-{}-{number}.toml",
        env!("CARGO_TARGET_TMPDIR"),
        std::process::id()
    );
    let mut text = format!("listen = \"127.0.0.1:0\"\n{lines}\n");
    let routes = [
        (READ, "read", "unary"),
        (EXTEND, "extend", "unary"),
        (CHARGE, "charge", "unary"),
        (WATCH, "read", "server-stream"),
        (WATCH_CHARGE, "charge", "server-stream"),
        (REPORT, "read", "bidi"),
        (UPLOAD, "read", "client-stream"),
        ("/etcdserverpb.KV/*", "read", "unary"),
        ("/etcdserverpb.Watch/*", "read", "bidi"),
    ];
    for (method, class, shape) in routes {
        text.push_str(&format!(
            "[[route]]\nmethod = \"{method}\"\nclass = \"{class}\"\nshape = \"{shape}\"\n"
        ));
    }
    std::fs::write(&path, text).unwrap();
    let mut variables = vec![("MAPLEFALL_GRPC", path.as_str())];
    variables.extend_from_slice(extra_variables);
    let mut program = Program::start_with_variables(&variables, 1024, settings, discovery, known);
    let line = program.log_line();
    let grpc = line
        .trim()
        .rsplit(' ')
        .next()
        .and_then(|text| text.parse().ok());
    (
        program,
        grpc.unwrap_or_else(|| panic!("no address in {line:?}")),
    )
}

pub fn call(id: &str, path: &str, timeout: &str) -> Call {
    let call = Call::new(id, path, "wide", timeout);
    if path == EXTEND {
        call.with("idempotency-key", &format!("key-{id}"))
    } else {
        call
    }
}

pub async fn send_call(bed: &TestBed, id: &str, path: &str) -> Final {
    bed.client().await.call(&call(id, path, "8S")).await
}
