//! As much of the target scale as fits in one process: the real decisions of the controllers and of
//! one proxy, simulated proxies, and backends that send heartbeats. Messages and writes are counted
//! instead of sent to sockets or disks. One thread; simulated time.
//!
//! `cargo run --release -p maplefall-benches --example hollow -- --doors 550 --backends 19000 --routes 7700 --services 890`

use bytes::BytesMut;
use clap::Parser;
use maplefall_benches::cluster::{ControllerCluster, ControllerStats, Flow};
use maplefall_benches::measure::{process_status_bytes, thread_cpu_seconds};
use maplefall_benches::synthetic::{self, Size};
use maplefall_control_messages::{decode_frame, Frame, InstanceUpdates};
use maplefall_proxy::{Core as ProxyCore, Output as ProxyOutput};
use maplefall_service_registry::InstanceRecord;
use std::collections::BTreeMap;
use std::time::Instant;

/// Interval between two heartbeats of a backend.
const HEARTBEAT_MS: usize = 1500;
/// Length of a step; controllers are ticked once in each.
const STEP_MS: usize = 100;
/// Interval between two lease requests of a proxy.
const LEASE_REQUEST_MS: usize = 500;
/// Records in each message that announces the backends.
const RECORDS_PER_MESSAGE: usize = 1000;

/// Runs as much of the target scale as one machine allows.
#[derive(Parser)]
struct Args {
    /// Controllers.
    #[arg(long = "exchanges", default_value_t = 3)]
    controllers: usize,
    /// Proxies.
    #[arg(long = "doors", default_value_t = 550)]
    proxies: usize,
    /// Backends.
    #[arg(long, default_value_t = 19_000)]
    backends: usize,
    /// Routes.
    #[arg(long, default_value_t = 7_700)]
    routes: usize,
    /// Services.
    #[arg(long, default_value_t = 890)]
    services: usize,
    /// Tenants.
    #[arg(long, default_value_t = 50)]
    tenants: usize,
    /// Tenants with demand at each proxy.
    #[arg(long = "asked", default_value_t = 5)]
    demand_count: usize,
    /// Simulated seconds of the measurement in the steady state.
    #[arg(long, default_value_t = 6)]
    seconds: usize,
    /// Proxies that connect without a configuration.
    #[arg(long = "fresh", default_value_t = 5)]
    new_proxies: usize,
    /// Backends that start, and that stop, in each simulated second of the churn phase.
    #[arg(long, default_value_t = 5)]
    churn: usize,
    /// Stops simulating after this many seconds of processor time.
    #[arg(long, default_value_t = 600.0)]
    budget: f64,
}

struct Simulation {
    args: Args,
    cluster: ControllerCluster,
    /// Simulated milliseconds.
    elapsed_ms: usize,
    seq: u64,
    proxy: ProxyCore,
    proxy_cpu: f64,
    proxy_frames: BTreeMap<&'static str, Flow>,
    /// Backends below this index send no heartbeats.
    active_from: usize,
    /// Backends from this index on send no heartbeats either.
    active_until: usize,
}

impl Simulation {
    /// Advances the time, with lease requests, ticks and, if `heartbeats` is set, heartbeats.
    fn advance(&mut self, millis: usize, heartbeats: bool) {
        for _ in 0..millis / STEP_MS {
            if thread_cpu_seconds() > self.args.budget {
                return;
            }
            self.elapsed_ms += STEP_MS;
            let (slots, controller_count) =
                (HEARTBEAT_MS / STEP_MS, self.cluster.controllers.len());
            let slot = self.elapsed_ms / STEP_MS % slots;
            if heartbeats {
                self.seq += u64::from(slot == 0);
                let due: Vec<usize> = (0..self.active_until)
                    .skip(slot)
                    .step_by(slots)
                    .filter(|n| *n >= self.active_from)
                    .collect();
                for controller in 0..controller_count {
                    let due_here = due.iter().filter(|n| **n % controller_count == controller);
                    let services = self.args.services;
                    let seq = 10 + self.seq;
                    let bodies = due_here
                        .map(|n| {
                            (
                                synthetic::backend_id(*n),
                                synthetic::heartbeat_body(*n, services, seq, "in_loop"),
                            )
                        })
                        .collect();
                    self.cluster.send_heartbeats(controller, bodies);
                }
            }
            let turns = LEASE_REQUEST_MS / STEP_MS;
            let proxies = self.args.proxies;
            let turn = self.elapsed_ms / STEP_MS % turns;
            let requesting = (1..proxies).filter(|proxy| proxy % turns == turn);
            self.cluster
                .send_lease_requests(requesting, self.args.demand_count, self.args.tenants);
            if turn == 0 {
                let mut out = Vec::new();
                let (now, before) = (self.cluster.now, thread_cpu_seconds());
                self.proxy.tick(now, &mut out);
                self.proxy_cpu += thread_cpu_seconds() - before;
                self.forward_lease_requests(out);
            }
            self.cluster.step(STEP_MS as f64);
            self.deliver_frames();
        }
    }

    /// Delivers the frames sent to the real proxy.
    fn deliver_frames(&mut self) {
        for (proxy, controller, bytes) in std::mem::take(&mut self.cluster.watched_frames) {
            if proxy > 0 {
                continue;
            }
            let ip = self.cluster.ips[controller].clone();
            let (now, before) = (self.cluster.now, thread_cpu_seconds());
            let mut out = Vec::new();
            let mut frame_kind = "other";
            if let Ok(Some(frame)) = decode_frame(&mut BytesMut::from(bytes.as_ref())) {
                frame_kind = match frame {
                    Frame::InstanceUpdates(_) => "words",
                    Frame::ConfigUpdate(_) => "plans",
                    Frame::LeaseGrant(_) => "lent",
                    Frame::Ping(_) | Frame::Pong(_) => "liveness",
                    _ => "other",
                };
                self.proxy.receive(now, &ip, frame, &mut out);
            }
            self.proxy_cpu += thread_cpu_seconds() - before;
            let flow = self.proxy_frames.entry(frame_kind).or_default();
            flow.count += 1;
            flow.bytes += bytes.len() as u64;
            self.forward_lease_requests(out);
        }
    }

    fn forward_lease_requests(&mut self, out: Vec<ProxyOutput>) {
        for output in out {
            if let ProxyOutput::SendToController(ip, Frame::LeaseRequest(request)) = output {
                if let Some(controller) = self.cluster.ips.iter().position(|known| *known == ip) {
                    self.cluster.send_lease_request(0, controller, request);
                }
            }
        }
    }

    fn reset(&mut self) {
        self.cluster.reset();
        self.proxy_cpu = 0.0;
        self.proxy_frames.clear();
    }

    /// Prints the counters since the last reset, divided by `seconds`.
    fn print_stats(&self, label: &str, seconds: f64) {
        for (controller, stats) in self.cluster.stats.iter().enumerate() {
            print_controller_stats(&format!("{label} exchange={controller}"), stats, seconds);
        }
        let flows = flows(&self.proxy_frames, seconds);
        println!(
            "{label} door cpu_ms_s={:.3} {flows}",
            1e3 * self.proxy_cpu / seconds
        );
    }
}

fn flows(flows: &BTreeMap<&'static str, Flow>, seconds: f64) -> String {
    let one = |(label, flow): (&&str, &Flow)| {
        format!(
            "{label}={:.1}/s,{:.0}B/s",
            flow.count as f64 / seconds,
            flow.bytes as f64 / seconds
        )
    };
    flows.iter().map(one).collect::<Vec<_>>().join(" ")
}

fn print_controller_stats(label: &str, stats: &ControllerStats, seconds: f64) {
    let spent: f64 = stats.cpu.values().sum();
    let cpu_by_kind: Vec<String> = stats
        .cpu
        .iter()
        .map(|(kind, cpu)| format!("{kind}:{:.1}", 1e3 * cpu / seconds))
        .collect();
    println!(
        "{label} cpu_ms_s={:.1} ({}) doors[{}] peers[{}] disk={:.1}/s,{:.0}B/s answers={:.0}/s",
        1e3 * spent / seconds,
        cpu_by_kind.join(" "),
        flows(&stats.to_proxies, seconds),
        flows(&stats.to_peers, seconds),
        stats.disk.count as f64 / seconds,
        stats.disk.bytes as f64 / seconds,
        stats.responses.0 as f64 / seconds,
    );
}

fn print_memory(label: &str) {
    println!(
        "memory after={label} rss_mb={} cpu_s={:.0}",
        process_status_bytes("VmRSS") >> 20,
        thread_cpu_seconds()
    );
}

fn main() {
    let args = Args::parse();
    let started = Instant::now();
    let size = Size {
        routes: args.routes,
        tenants: args.tenants,
        services: args.services,
    };
    let mut cluster = ControllerCluster::new(args.controllers);
    cluster.watched_count = 1;
    // Sets up the configuration before any proxy connects.
    cluster.reset();
    let calls = synthetic::config_calls(size);
    let call_count = calls.len();
    let all_accepted = calls.into_iter().all(|call| cluster.amend(call).0);
    print_controller_stats(
        &format!("config calls={call_count} done={all_accepted} leader"),
        &cluster.stats[0],
        1.0,
    );
    print_memory("config");
    let settings = synthetic::settings("edge-zone-0-0", "10.1.0.0", &cluster.ips.clone());
    let mut sim = Simulation {
        proxy: ProxyCore::new(&settings, 1000),
        cluster,
        elapsed_ms: 0,
        seq: 0,
        proxy_cpu: 0.0,
        proxy_frames: BTreeMap::new(),
        active_from: 0,
        active_until: args.backends,
        args,
    };
    // The real proxy connects without a configuration, the simulated ones with the current one; the
    // cost of sending the configuration is measured below.
    sim.cluster.connect_proxy(0, 0);
    let ips = sim.cluster.ips.clone();
    let mut out = Vec::new();
    for ip in &ips {
        sim.proxy
            .controller_connected(sim.cluster.now, ip, &mut out);
    }
    sim.forward_lease_requests(out);
    sim.deliver_frames();
    sim.reset();
    let index = sim.cluster.config_index;
    (1..sim.args.proxies).for_each(|proxy| sim.cluster.connect_proxy(proxy, index));
    sim.print_stats("connect_all_up_to_date", 1.0);
    sim.reset();
    let before = sim.elapsed_ms;
    sim.advance(8000, false);
    sim.print_stats(
        "first_loans",
        (sim.elapsed_ms - before).max(STEP_MS) as f64 / 1000.0,
    );
    print_memory("doors");
    // The controllers receive all backends as if from another controller.
    sim.reset();
    let services = sim.args.services;
    let ip = sim.cluster.ips[1].clone();
    for from in (0..sim.args.backends).step_by(RECORDS_PER_MESSAGE) {
        let to = (from + RECORDS_PER_MESSAGE).min(sim.args.backends);
        let records: Vec<InstanceRecord> = (from..to)
            .map(|n| synthetic::instance_record(n, services, 1))
            .collect();
        for controller in 0..sim.cluster.controllers.len() {
            let update = InstanceUpdates {
                records: records.clone(),
                complete: false,
                ack_number: 0,
            };
            let ip = ip.clone();
            sim.cluster.drive(controller, "words", |core, now, out| {
                core.receive_from_peer(now, &ip, Frame::InstanceUpdates(update), out)
            });
        }
        sim.cluster.run_until_idle();
        sim.deliver_frames();
    }
    sim.print_stats("backends_become_known", 1.0);
    print_memory("backends");
    // Runs until every backend has sent a heartbeat.
    sim.advance(HEARTBEAT_MS, true);
    sim.reset();
    let before = sim.elapsed_ms;
    let seconds = sim.args.seconds;
    sim.advance(1000 * seconds, true);
    sim.print_stats(
        "calm",
        (sim.elapsed_ms - before).max(STEP_MS) as f64 / 1000.0,
    );
    print_memory("calm");
    // One route changes.
    sim.reset();
    let (accepted, leader) =
        sim.cluster
            .amend(synthetic::upsert_body(0..1, 0..0, 0..0, services, 8));
    sim.deliver_frames();
    println!("change done={accepted} leader={leader}");
    sim.print_stats("change", 1.0);
    // Proxies connect without a configuration.
    sim.reset();
    let new_proxies = sim.args.new_proxies;
    for proxy in 1..=new_proxies {
        sim.cluster.disconnect_proxy(proxy);
        sim.cluster.connect_proxy(proxy, 0);
    }
    sim.print_stats("fresh_door", new_proxies as f64);
    // Backends start and stop.
    sim.reset();
    let (before, mut stopped_count) = (sim.elapsed_ms, 0);
    for _ in 0..3 {
        let controller_count = sim.cluster.controllers.len();
        for k in 0..sim.args.churn {
            let stopped = stopped_count;
            stopped_count += 1;
            let controller = k % controller_count;
            let seq = 1000 + sim.seq;
            let heartbeat = |n: usize, state: &str| {
                vec![(
                    synthetic::backend_id(n),
                    synthetic::heartbeat_body(n, services, seq, state),
                )]
            };
            sim.cluster
                .send_heartbeats(controller, heartbeat(stopped, "decaying"));
            sim.cluster.run_until_idle();
            sim.cluster
                .deregister(controller, vec![synthetic::backend_id(stopped)]);
            sim.cluster.send_heartbeats(
                (controller + 1) % controller_count,
                heartbeat(sim.active_until + stopped, "in_loop"),
            );
            sim.cluster.run_until_idle();
        }
        sim.active_from = stopped_count;
        sim.advance(1000, true);
    }
    sim.print_stats(
        &format!("churn per_s={}", sim.args.churn),
        (sim.elapsed_ms - before).max(STEP_MS) as f64 / 1000.0,
    );
    // One backend in eight stops sending heartbeats.
    sim.active_from = sim.args.backends / 8;
    sim.advance(5000, true);
    sim.reset();
    sim.advance(2500, true);
    sim.print_stats("zone_lost all_in_2.5s", 1.0);
    print_memory("zone_lost");
    println!(
        "whole wall_s={:.0} cpu_s={:.0} simulated_s={} stopped={}",
        started.elapsed().as_secs_f64(),
        thread_cpu_seconds(),
        sim.elapsed_ms / 1000,
        thread_cpu_seconds() > sim.args.budget
    );
}
