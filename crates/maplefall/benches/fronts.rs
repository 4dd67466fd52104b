//! Cost of a request to the gateway for each protocol, alternating on one machine: `cargo
//! bench -p maplefall --bench fronts`.
//!
//! One gateway process at a time; test backends and clients run in the benchmark's process.
//! Measures the gateway's CPU time and writes for each request, its memory, and the clients'
//! latency. `ROUNDS` and `REQUESTS` (environment) set the numbers of rounds and of requests per
//! client. `STRACE=1` counts system calls (slower), `--features count-allocations` counts
//! allocations.

#[path = "../tests/sockets/mod.rs"]
mod sockets;

use hdrhistogram::Histogram;
use maplefall_test_servers::auth::Auth;
use maplefall_test_servers::grpc::{Call, Client, Service};
use maplefall_test_servers::wire::Link;
use sockets::{member, members, settings, Program};
use std::cell::Cell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};

const CLIENTS: usize = 8;
/// Requests of each client before the measurement.
const WARM_UP: usize = 50;

/// The protocol of requests and their handling.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Profile {
    Http,
    /// Callers are checked, all with one credential, whose verdict is cached.
    AuthWarm,
    /// Callers are checked, with a new credential for each request.
    AuthMiss,
    Grpc,
    GrpcStream,
    /// Calls go to the test service without the gateway, to measure the cost of the test client and
    /// test service alone.
    GrpcDirect,
}

const PROFILES: [Profile; 6] = [
    Profile::Http,
    Profile::AuthWarm,
    Profile::AuthMiss,
    Profile::Grpc,
    Profile::GrpcStream,
    Profile::GrpcDirect,
];

struct Measured {
    cpu_us: f64,
    writes: f64,
    /// Allocations per request, with those of the start and the warm-up; zero in a build that does
    /// not count allocations.
    allocations: f64,
    /// System calls; zero unless `STRACE` is set.
    syscalls: f64,
    rss_kib: f64,
    p50_us: u64,
    p99_us: u64,
    /// Requests without a successful response.
    not_served: usize,
}

fn number(name: &str, default: usize) -> usize {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a port")
}

/// CPU time in microseconds (proc(5), `stat`: in ticks of 10 ms).
fn cpu_time_us(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).expect("a process");
    let fields: Vec<&str> = text
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace()
        .collect();
    let ticks = |at: usize| fields[at].parse::<f64>().expect("ticks");
    (ticks(11) + ticks(12)) * 10_000.0
}

/// Returns the value of a field in a file of `/proc/PID` that has a name and a number per line.
fn proc_field(pid: u32, file: &str, name: &str) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/{file}")).expect("a process");
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(name))
        .expect("the field");
    line.trim_start_matches(':')
        .split_whitespace()
        .next()
        .and_then(|text| text.parse().ok())
        .expect("a number")
}

/// Counts the system calls of a process until stopped (strace(1), which must be installed).
struct Strace {
    child: std::process::Child,
    path: String,
}

impl Strace {
    fn start(pid: u32) -> Strace {
        let path = format!("{}/strace-{pid}.txt", env!("CARGO_TARGET_TMPDIR"));
        let child = std::process::Command::new("strace")
            .args(["-c", "-f", "-o", &path, "-p", &pid.to_string()])
            .stderr(std::process::Stdio::null())
            .spawn()
            .expect("strace is installed");
        while proc_field(pid, "status", "TracerPid") == 0.0 {
            std::thread::sleep(Duration::from_millis(5));
        }
        Strace { child, path }
    }

    /// Stops strace and returns the number of system calls.
    fn stop(mut self) -> f64 {
        let id = self.child.id().to_string();
        std::process::Command::new("kill")
            .args(["-INT", &id])
            .status()
            .expect("kill runs");
        self.child.wait().expect("strace exits");
        let text = std::fs::read_to_string(&self.path).expect("strace's report");
        let total = text
            .lines()
            .rev()
            .find(|line| line.trim_end().ends_with("total"))
            .expect("a total");
        total
            .split_whitespace()
            .nth(3)
            .and_then(|calls| calls.parse().ok())
            .expect("a number")
    }
}

async fn http_backend(listener: TcpListener) {
    listener.set_nonblocking(true).expect("a listener");
    let listener = tokio::net::TcpListener::from_std(listener).expect("a listener");
    while let Ok((stream, _)) = listener.accept().await {
        tokio::task::spawn_local(async move {
            let mut link = Link::over(stream);
            while link.message().await.is_ok() {
                if link
                    .write(b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok")
                    .await
                    .is_err()
                {
                    return;
                }
            }
        });
    }
}

fn write_file(name: &str, text: &str) -> String {
    let path = format!(
        "{}/{name}-{}.toml",
        env!("CARGO_TARGET_TMPDIR"),
        std::process::id()
    );
    std::fs::write(&path, text).expect("a file");
    path
}

async fn measure(profile: Profile, per_client: usize, round: usize) -> Measured {
    let grpc = matches!(
        profile,
        Profile::Grpc | Profile::GrpcStream | Profile::GrpcDirect
    );
    let mut hosts = Vec::new();
    for n in 0..2 {
        let listener = listener();
        hosts.push(member(
            &format!("s-{n}"),
            listener.local_addr().expect("an address"),
            "up",
        ));
        if grpc {
            tokio::task::spawn_local(Service::new(n).serve(listener));
        } else {
            tokio::task::spawn_local(http_backend(listener));
        }
    }
    let mut variables = Vec::new();
    let auth = Auth::new(1);
    if matches!(profile, Profile::AuthWarm | Profile::AuthMiss) {
        let listener = listener();
        let address = listener.local_addr().expect("an address");
        tokio::task::spawn_local(auth.clone().serve(listener));
        auth.grant("ana", &["Remote-User: ana", "Cache-Control: max-age=600"]);
        // Unknown callers pass too: only the cost of the check is measured.
        auth.deny_with(204, &[]);
        let text = format!(
            "servers = [\"http://{address}/auth\"]\ncredentials = [\"authorization\"]\n[classes]\nread = \"closed\"\n"
        );
        variables.push(("MAPLEFALL_FORWARD_AUTH", write_file("auth", &text)));
    }
    if grpc {
        let text = "listen = \"127.0.0.1:0\"\n[[route]]\nmethod = \"/lots.v1.Sessions/Balance\"\nclass = \"read\"\n\
                    [[route]]\nmethod = \"/lots.v1.Sessions/Watch\"\nclass = \"read\"\nshape = \"server-stream\"\n";
        variables.push(("MAPLEFALL_GRPC", write_file("grpc", text)));
    }
    let variables: Vec<(&str, &str)> = variables
        .iter()
        .map(|(name, path)| (*name, path.as_str()))
        .collect();
    let mut settings = settings();
    settings["plans"][0]["per_second"] = serde_json::json!(1e6);
    settings["plans"][0]["peak_units"] = serde_json::json!(1e6);
    let unused_address: SocketAddr = "127.0.0.1:9".parse().expect("an address");
    let mut program = Program::start_with_variables(
        &variables,
        1024,
        settings,
        unused_address,
        members(7, true, &hosts),
    );
    let address = match grpc {
        true => program
            .log_line()
            .trim()
            .rsplit(' ')
            .next()
            .and_then(|text| text.parse().ok())
            .expect("an address"),
        false => program.address,
    };
    let address = match profile {
        Profile::GrpcDirect => hosts[0]["dial"]
            .as_str()
            .and_then(|text| text.parse().ok())
            .expect("an address"),
        _ => address,
    };
    let pid = program.child.id();
    let not_served = Rc::new(Cell::new(0));
    let mut spent = [0.0; 2];
    let mut syscalls = 0.0;
    let mut waits = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("bounds");
    for (part, count) in [WARM_UP, per_client].into_iter().enumerate() {
        let strace = (part > 0 && std::env::var_os("STRACE").is_some()).then(|| Strace::start(pid));
        let before = [cpu_time_us(pid), proc_field(pid, "io", "syscw")];
        let mut clients = tokio::task::JoinSet::new();
        for client in 0..CLIENTS {
            let not_served = not_served.clone();
            clients.spawn_local(async move {
                let mut waits = Vec::with_capacity(count);
                let open = if grpc {
                    Some(Client::open(address).await.expect("a connection"))
                } else {
                    None
                };
                let mut link = Link::open(address).await.expect("a connection");
                for n in 0..count {
                    let id = format!("{round}-{part}-{client}-{n}");
                    let began = Instant::now();
                    let good = match (&open, profile) {
                        (Some(open), _) => {
                            let path = match profile {
                                Profile::GrpcStream => "/lots.v1.Sessions/Watch",
                                _ => "/lots.v1.Sessions/Balance",
                            };
                            open.call(&Call::new(&id, path, "wide", "8S")).await.code() == Some(0)
                        }
                        (None, profile) => {
                            let credential = if profile == Profile::AuthMiss {
                                id.as_str()
                            } else {
                                "ana"
                            };
                            let text = sockets::request_of(&id, "read", "wide", "8");
                            let text = text.replacen(
                                "\r\n",
                                &format!("\r\nAuthorization: {credential}\r\n"),
                                1,
                            );
                            link.write(text.as_bytes()).await.expect("a connection");
                            link.message().await.expect("an answer").status == 200
                        }
                    };
                    waits.push(began.elapsed());
                    not_served.set(not_served.get() + usize::from(!good));
                }
                waits
            });
        }
        while let Some(client) = clients.join_next().await {
            for wait in client.expect("a client") {
                waits.saturating_record(wait.as_micros() as u64);
            }
        }
        let after = [cpu_time_us(pid), proc_field(pid, "io", "syscw")];
        if let Some(strace) = strace {
            syscalls = strace.stop() / (CLIENTS * per_client) as f64;
        }
        if part == 0 {
            waits.reset();
            not_served.set(0);
        } else {
            for (spent, (after, before)) in spent.iter_mut().zip(after.iter().zip(before)) {
                *spent = (after - before) / (CLIENTS * per_client) as f64;
            }
        }
    }
    let rss_kib = proc_field(pid, "status", "VmRSS");
    let mut allocations = 0.0;
    if cfg!(feature = "count-allocations") {
        program.terminate();
        while allocations == 0.0 {
            let line = program.log_line();
            assert!(!line.is_empty(), "the program reports its allocations");
            let allocated = line
                .strip_prefix("allocations ")
                .and_then(|rest| rest.split(' ').next()?.parse::<f64>().ok());
            allocations = allocated.unwrap_or(0.0) / (CLIENTS * (per_client + WARM_UP)) as f64;
        }
    }
    Measured {
        cpu_us: spent[0],
        writes: spent[1],
        allocations,
        syscalls,
        rss_kib,
        p50_us: waits.value_at_quantile(0.5),
        p99_us: waits.value_at_quantile(0.99),
        not_served: not_served.get(),
    }
}

fn main() {
    let (rounds, per_client) = (number("ROUNDS", 5), number("REQUESTS", 1500));
    println!("{CLIENTS} clients, {per_client} requests each, {rounds} rounds, alternating; medians (min to max)");
    let mut all: Vec<Vec<Measured>> = PROFILES.iter().map(|_| Vec::new()).collect();
    for round in 0..rounds {
        for (at, profile) in PROFILES.iter().enumerate() {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("a runtime");
            let local = tokio::task::LocalSet::new();
            let measured = local.block_on(&runtime, async {
                tokio::time::timeout(
                    Duration::from_secs(120),
                    measure(*profile, per_client, round),
                )
                .await
            });
            all[at].push(measured.expect("in time"));
        }
    }
    println!("| front | CPU us | writes | p50 us | p99 us | memory KiB | allocations | system calls | not served |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (profile, runs) in PROFILES.iter().zip(&all) {
        let column = |of: &dyn Fn(&Measured) -> f64, digits: usize| {
            let mut values: Vec<f64> = runs.iter().map(of).collect();
            values.sort_by(f64::total_cmp);
            let (first, last) = (values[0], values[values.len() - 1]);
            format!(
                "{:.digits$} ({first:.digits$} to {last:.digits$})",
                values[values.len() / 2]
            )
        };
        println!(
            "| {profile:?} | {} | {} | {} | {} | {} | {} | {} | {} |",
            column(&|m| m.cpu_us, 0),
            column(&|m| m.writes, 2),
            column(&|m| m.p50_us as f64, 0),
            column(&|m| m.p99_us as f64, 0),
            column(&|m| m.rss_kib, 0),
            column(&|m| m.allocations, 1),
            column(&|m| m.syscalls, 2),
            runs.iter().map(|m| m.not_served).sum::<usize>()
        );
    }
}
