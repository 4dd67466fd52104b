//! What a large list costs a front door: one daemon of a fleet of any size, a played etcd or agent with many nodes, and so many
//! changes a second.

use crate::daemon::{healthy, own_address, Door, Files};
use crate::etcd_world::document;
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

/// Most nodes and changes a second: the roster's bound, and what one machine bears.
pub const MOST: u32 = 20_000;

/// Who tells of the nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Teller {
    /// An etcd, over gRPC.
    Etcd,
    /// The platform's agent; the front door starts with the list that it has.
    Agent,
}

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Who tells of the nodes.
    pub teller: Teller,
    /// Front doors that the settings name.
    pub doors: u32,
    /// Nodes in the list.
    pub nodes: u32,
    /// Changes of their state a second.
    pub rate: u32,
    /// For how long.
    pub seconds: u32,
}

/// What it cost.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// From the start of the process until it was ready.
    pub ready_ms: Millis,
    /// Processor time until then.
    pub ready_cpu_ms: Millis,
    /// Largest resident memory, once it was ready, in KiB.
    pub ready_kib: u64,
    /// Processor time while changes came.
    pub cpu_ms: Millis,
    /// Changes that were written.
    pub changes: u64,
    /// Largest resident memory at the end, in KiB.
    pub end_kib: u64,
}

/// Where a node listens: an address of its own, at which nobody is.
fn address(node: u32) -> SocketAddr {
    let [_, b, c, d] = node.to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, 1 + b, c, d), 8080))
}

const BORN: Millis = 1_700_000_000_000.0;

fn put(node: u32, draining: bool) -> PutRequest {
    let value = document(address(node), draining, BORN).to_string();
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
        born_ms: BORN,
    }
}

/// Changes that wait for the played agent at most.
const WAITING: usize = 1024;

/// Takes a change of a node's state to whoever tells of it.
type Change<'a> = dyn Fn(u32, bool) -> io::Result<()> + 'a;

/// Plays it.
///
/// # Errors
/// What the system says, or that the daemon did not become ready.
pub fn play(daemon: &Path, folder: &Path, load: Load) -> io::Result<Cost> {
    std::fs::create_dir_all(folder)?;
    let sources = if load.teller == Teller::Etcd {
        "etcd"
    } else {
        "agent"
    };
    let text = format!(
        "version = 1\ntitle = \"members\"\nseconds = 2\n[fleet]\ndoors = 1\nsources = \"{sources}\"\n"
    );
    let scenario = Scenario::read("members", &text)
        .map_err(|_| io::Error::other("the scenario of this command"))?;
    let drawn = script::draw(&scenario, 1);
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let told_at = listener.local_addr()?;
    let mut files = Files::new(folder, 0);
    if let Some(sources) = settings::sources(scenario.sources, told_at, 0) {
        let path = folder.join("sources.toml");
        std::fs::write(&path, sources)?;
        files.sources = Some(path);
    }
    let listen = own_address(std::process::id(), 0, 0);
    let list = List::new((0..load.nodes).map(|node| member(node, false)));
    let known = (load.teller == Teller::Agent).then(|| list.snapshot());
    let mut config = settings::config(&scenario, &drawn, 0, listen, told_at, known.as_ref(), 1);
    config["settings"]["fleet_size"] = load.doors.into();
    files.write(&config.to_string())?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build()?;
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let played = |change: &Change<'_>| measure(daemon, &files, listen, told_at, change, load);
    let early = |_| Err(io::Error::other("whoever tells of the nodes ended early"));
    match load.teller {
        Teller::Etcd => {
            let mut store = Store::new(7);
            for node in 0..load.nodes {
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
                        // Told, or nobody is left to tell it.
                        let _ = stopped.await;
                        io::Result::Ok(())
                    })
                });
                let cost = played(&change);
                drop(stop);
                serving.join().unwrap_or_else(early)?;
                cost
            })
        }
        Teller::Agent => {
            let (say, mut said) = tokio::sync::mpsc::channel::<Member>(WAITING);
            let change = |node, draining| {
                say.blocking_send(member(node, draining))
                    .map_err(io::Error::other)
            };
            listener.set_nonblocking(true)?;
            std::thread::scope(|scope| {
                let serving = scope.spawn(move || {
                    let local = tokio::task::LocalSet::new();
                    runtime.block_on(local.run_until(async move {
                        let agent = Agent::new(0, list, Recorder::new(), 0.0);
                        agent.listen(listener, Duration::ZERO);
                        let tell = async {
                            while let Some(member) = said.recv().await {
                                agent.update(&member);
                            }
                        };
                        tokio::select! {
                            () = tell => {}
                            _ = stopped => {}
                        }
                    }));
                    io::Result::Ok(())
                });
                let cost = played(&change);
                drop(stop);
                serving.join().unwrap_or_else(early)?;
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
    let begun = Instant::now();
    let mut door = Door::start(daemon, files, 0, listen, discovery, None)?;
    while !healthy(listen) {
        if begun.elapsed() > Duration::from_secs(20) || door.ended().is_some() {
            return Err(io::Error::other(format!(
                "the daemon is not ready: {}",
                files.last_line()
            )));
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    let ready_ms = begun.elapsed().as_secs_f64() * 1000.0;
    std::thread::sleep(Duration::from_millis(500));
    let (ready_cpu_ms, ready_kib) = door.used();
    let mut rng = Pcg32::seed_from_u64(1);
    let begun = Instant::now();
    let mut changes = 0u64;
    let most = u64::from(load.rate) * u64::from(load.seconds);
    while changes < most {
        let due = (begun.elapsed().as_secs_f64() * f64::from(load.rate)) as u64;
        while changes < due.min(most) {
            let node = rng.next_u32() % load.nodes.max(1);
            change(node, changes % 2 == 0)?;
            changes += 1;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    std::thread::sleep(Duration::from_millis(500));
    let (cpu_ms, end_kib) = door.used();
    door.terminate();
    Ok(Cost {
        ready_ms,
        ready_cpu_ms,
        ready_kib,
        cpu_ms: cpu_ms - ready_cpu_ms,
        changes,
        end_kib,
    })
}
