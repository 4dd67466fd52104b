//! What a large list costs a front door: one daemon, a played etcd with many nodes, and so many changes a second.

use crate::daemon::{healthy, own_address, Door, Files};
use crate::etcd_world::document;
use crate::scenario::Scenario;
use crate::{script, settings};
use maplefall_etcd_wire::PutRequest;
use maplefall_record::Millis;
use maplefall_stand_ins::etcd::store::Store;
use maplefall_stand_ins::etcd::Etcd;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::time::{Duration, Instant};

/// Most nodes and changes a second: the roster's bound, and what one machine bears.
pub const MOST: u32 = 20_000;

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Nodes under the prefix.
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

fn put(node: u32, draining: bool) -> PutRequest {
    let [_, b, c, d] = node.to_be_bytes();
    let address = SocketAddr::from((Ipv4Addr::new(127, 1 + b, c, d), 8080));
    let value = document(address, draining, 1_700_000_000_000.0).to_string();
    let key = format!("{}/members/node-{node}", settings::prefix(0)).into_bytes();
    PutRequest { key, value: value.into_bytes(), ..PutRequest::default() }
}

/// Plays it.
///
/// # Errors
/// What the system says, or that the daemon did not become ready.
pub fn play(daemon: &Path, folder: &Path, load: Load) -> io::Result<Cost> {
    std::fs::create_dir_all(folder)?;
    let text = "version = 1\ntitle = \"members\"\nseconds = 2\n[fleet]\ndoors = 1\nsources = \"etcd\"\n";
    let scenario =
        Scenario::read("members", text).map_err(|_| io::Error::other("the scenario of this command"))?;
    let drawn = script::draw(&scenario, 1);
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let mut files = Files::new(folder, 0);
    let sources = settings::sources(scenario.sources, listener.local_addr()?, 0).unwrap_or_default();
    let path = folder.join("sources.toml");
    std::fs::write(&path, sources)?;
    files.sources = Some(path);
    let listen = own_address(std::process::id(), 0, 0);
    // No agent is among the sources; a place is named all the same.
    let nobody = SocketAddr::from(([127, 0, 0, 1], 9));
    files.write(&settings::config(&scenario, &drawn, 0, listen, nobody, None, 1).to_string())?;
    let mut store = Store::new(7);
    for node in 0..load.nodes {
        store.put(&put(node, false)).map_err(|refused| io::Error::other(refused.0))?;
    }
    let etcd = Etcd::new(store, |_| {});
    let (started, writing) = (etcd.clone(), etcd);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_io().enable_time().build()?;
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    std::thread::scope(|scope| {
        let serving = scope.spawn(move || {
            runtime.block_on(async move {
                let _member = started.member(0, listener)?;
                // Told, or nobody is left to tell it.
                let _ = stopped.await;
                io::Result::Ok(())
            })
        });
        let cost = measure(daemon, &files, listen, nobody, &writing, load);
        drop(stop);
        serving.join().unwrap_or_else(|_| Err(io::Error::other("the played etcd ended early")))?;
        cost
    })
}

fn measure(
    daemon: &Path,
    files: &Files,
    listen: SocketAddr,
    nobody: SocketAddr,
    etcd: &Etcd,
    load: Load,
) -> io::Result<Cost> {
    let begun = Instant::now();
    let mut door = Door::start(daemon, files, 0, listen, nobody, None)?;
    while !healthy(listen) {
        if begun.elapsed() > Duration::from_secs(20) || door.ended().is_some() {
            return Err(io::Error::other(format!("the daemon is not ready: {}", files.last_line())));
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
            let put = put(node, changes % 2 == 0);
            etcd.with(|store| store.put(&put).map(drop)).map_err(|refused| io::Error::other(refused.0))?;
            changes += 1;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    std::thread::sleep(Duration::from_millis(500));
    let (cpu_ms, end_kib) = door.used();
    door.terminate();
    Ok(Cost { ready_ms, ready_cpu_ms, ready_kib, cpu_ms: cpu_ms - ready_cpu_ms, changes, end_kib })
}
