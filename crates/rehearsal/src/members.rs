//! Measures what a large list costs a gateway: one gateway of a fleet of any size, a fake etcd or
//! agent with many backends, and a rate of changes.

use crate::daemon::{gateway_address, is_ready, Files, GatewayProcess};
use crate::etcd_cluster::backend_value;
use crate::scenario::Scenario;
use crate::{script, settings};
use maplefall_etcd_wire::PutRequest;
use maplefall_event_trace::{Millis, Recorder};
use maplefall_protocol::{Health, Member};
use maplefall_test_servers::agent::{self, Agent, List};
use maplefall_test_servers::etcd::store::Store;
use maplefall_test_servers::etcd::Etcd;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::time::{Duration, Instant};

/// Maximum numbers of backends and of changes a second: the bound of the roster, and what one
/// machine sustains.
pub const MAX_BACKENDS: u32 = 20_000;

/// Source of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Teller {
    /// An etcd, over gRPC.
    Etcd,
    /// The platform's agent; the gateway starts with the agent's list.
    Agent,
}

/// Parameters of a measurement.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Source of the list.
    pub source: Teller,
    /// Number of gateways in the settings.
    pub gateways: u32,
    /// Number of backends in the list.
    pub backends: u32,
    /// Changes of their state a second.
    pub rate: u32,
    /// Duration.
    pub seconds: u32,
}

/// Result of a measurement.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// Time from the start of the process until it was ready.
    pub ready_ms: Millis,
    /// CPU time until then.
    pub ready_cpu_ms: Millis,
    /// Peak resident memory once it was ready, in KiB.
    pub ready_kib: u64,
    /// CPU time during the changes.
    pub cpu_ms: Millis,
    /// Number of changes written.
    pub changes: u64,
    /// Peak resident memory at the end, in KiB.
    pub end_kib: u64,
}

/// Returns a backend's address, unique to it, at which nothing listens.
fn address(node: u32) -> SocketAddr {
    let [_, b, c, d] = node.to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, 1 + b, c, d), 8080))
}

const STARTED_MS: Millis = 1_700_000_000_000.0;

fn put(node: u32, draining: bool) -> PutRequest {
    let value = backend_value(address(node), draining, STARTED_MS).to_string();
    let key = format!("{}/members/node-{node}", settings::prefix(0)).into_bytes();
    PutRequest {
        key,
        value: value.into_bytes(),
        ..PutRequest::default()
    }
}

fn member(node: u32, draining: bool) -> Member {
    let health = if draining {
        Health::Draining
    } else {
        Health::Up
    };
    Member {
        host: agent::host(node),
        dial: address(node),
        site: "uio-1".into(),
        block: 0,
        health,
        share: 1.0,
        born_ms: STARTED_MS,
    }
}

/// Maximum number of changes queued for the fake agent.
const MAX_QUEUED: usize = 1024;

/// Applies a change of a backend's state to the source.
type Change<'a> = dyn Fn(u32, bool) -> io::Result<()> + 'a;

/// Runs a measurement.
///
/// # Errors
/// Returns an I/O error, also if the gateway did not become ready.
pub fn run(daemon: &Path, directory: &Path, load: Load) -> io::Result<Cost> {
    std::fs::create_dir_all(directory)?;
    let sources = if load.source == Teller::Etcd {
        "etcd"
    } else {
        "agent"
    };
    let text = format!(
        "version = 1\ntitle = \"members\"\nseconds = 2\n[fleet]\ndoors = 1\nsources = \"{sources}\"\n"
    );
    let scenario = Scenario::read("members", &text)
        .map_err(|_| io::Error::other("the scenario of this command"))?;
    let script = script::draw(&scenario, 1);
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let source_address = listener.local_addr()?;
    let mut files = Files::new(directory, 0);
    if let Some(sources) = settings::sources(scenario.sources, source_address, 0) {
        let path = directory.join("sources.toml");
        std::fs::write(&path, sources)?;
        files.sources = Some(path);
    }
    let listen = gateway_address(std::process::id(), 0, 0);
    let list = List::new((0..load.backends).map(|node| member(node, false)));
    let known = (load.source == Teller::Agent).then(|| list.snapshot());
    let mut config = settings::config(
        &scenario,
        &script,
        0,
        listen,
        source_address,
        known.as_ref(),
        1,
    );
    config["settings"]["fleet_size"] = load.gateways.into();
    files.write(&config.to_string())?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build()?;
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let run_measurement =
        |change: &Change<'_>| measure(daemon, &files, listen, source_address, change, load);
    let ended_early = |_| Err(io::Error::other("the source of the list ended early"));
    match load.source {
        Teller::Etcd => {
            let mut store = Store::new(7);
            for node in 0..load.backends {
                store
                    .put(&put(node, false))
                    .map_err(|refused| io::Error::other(refused.0))?;
            }
            let etcd = Etcd::new(store, |_| {});
            let started = etcd.clone();
            let change = |node, draining| {
                let put = put(node, draining);
                etcd.with(|store| store.put(&put).map(drop))
                    .map_err(|refused| io::Error::other(refused.0))
            };
            std::thread::scope(|scope| {
                let serving = scope.spawn(move || {
                    runtime.block_on(async move {
                        let _member = started.member(0, listener)?;
                        // Ends on the signal, or when its sender is dropped.
                        let _ = stopped.await;
                        io::Result::Ok(())
                    })
                });
                let cost = run_measurement(&change);
                drop(stop);
                serving.join().unwrap_or_else(ended_early)?;
                cost
            })
        }
        Teller::Agent => {
            let (sender, mut receiver) = tokio::sync::mpsc::channel::<Member>(MAX_QUEUED);
            let change = |node, draining| {
                sender
                    .blocking_send(member(node, draining))
                    .map_err(io::Error::other)
            };
            listener.set_nonblocking(true)?;
            std::thread::scope(|scope| {
                let serving = scope.spawn(move || {
                    let local = tokio::task::LocalSet::new();
                    runtime.block_on(local.run_until(async move {
                        let agent = Agent::new(0, list, Recorder::new(), 0.0);
                        agent.listen(listener, Duration::ZERO);
                        let apply_changes = async {
                            while let Some(member) = receiver.recv().await {
                                agent.update(&member);
                            }
                        };
                        tokio::select! {
                            () = apply_changes => {}
                            _ = stopped => {}
                        }
                    }));
                    io::Result::Ok(())
                });
                let cost = run_measurement(&change);
                drop(stop);
                serving.join().unwrap_or_else(ended_early)?;
                cost
            })
        }
    }
}

fn measure(
    daemon: &Path,
    files: &Files,
    listen: SocketAddr,
    discovery: SocketAddr,
    change: &Change<'_>,
    load: Load,
) -> io::Result<Cost> {
    let started_at = Instant::now();
    let mut gateway = GatewayProcess::start(daemon, files, 0, listen, discovery, None)?;
    while !is_ready(listen) {
        if started_at.elapsed() > Duration::from_secs(20) || gateway.exit_status().is_some() {
            return Err(io::Error::other(format!(
                "the daemon is not ready: {}",
                files.last_line()
            )));
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    let ready_ms = started_at.elapsed().as_secs_f64() * 1000.0;
    std::thread::sleep(Duration::from_millis(500));
    let (ready_cpu_ms, ready_kib) = gateway.resource_usage();
    let mut rng = Pcg32::seed_from_u64(1);
    let started_at = Instant::now();
    let mut changes = 0u64;
    let total = u64::from(load.rate) * u64::from(load.seconds);
    while changes < total {
        let due = (started_at.elapsed().as_secs_f64() * f64::from(load.rate)) as u64;
        while changes < due.min(total) {
            let node = rng.next_u32() % load.backends.max(1);
            change(node, changes % 2 == 0)?;
            changes += 1;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    std::thread::sleep(Duration::from_millis(500));
    let (cpu_ms, end_kib) = gateway.resource_usage();
    gateway.terminate();
    Ok(Cost {
        ready_ms,
        ready_cpu_ms,
        ready_kib,
        cpu_ms: cpu_ms - ready_cpu_ms,
        changes,
        end_kib,
    })
}
