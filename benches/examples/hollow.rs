//! The target in one process, as far as it goes: real decisions of exchanges and of one door, hollow doors and backends that beat.
//! Nothing goes over sockets or to disks: it is counted. One thread; simulated time.
//!
//! `cargo run --release -p maplefall-benches --example hollow -- --doors 550 --backends 19000 --routes 7700 --services 890`

use bytes::BytesMut;
use clap::Parser;
use maplefall_benches::group::{Done, Flow, Group};
use maplefall_benches::made::{self, Size};
use maplefall_benches::measure::{cpu, status};
use maplefall_control_messages::{decode_frame, Frame, InstanceUpdates};
use maplefall_proxy::{Core as Door, Output as DoorOutput};
use maplefall_service_registry::InstanceRecord;
use std::collections::BTreeMap;
use std::time::Instant;

/// Between two beats of a backend, in milliseconds.
const BEAT: usize = 1500;
/// A step, in milliseconds: exchanges are ticked once in it.
const STEP: usize = 100;
/// Between two reports of a door, in milliseconds.
const REPORT: usize = 500;
/// Words in one message of those that make the backends known.
const AT_ONCE: usize = 1000;

/// As much of the target as one machine allows.
#[derive(Parser)]
struct Line {
    /// Exchanges.
    #[arg(long, default_value_t = 3)]
    exchanges: usize,
    /// Doors.
    #[arg(long, default_value_t = 550)]
    doors: usize,
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
    /// Tenants that ask something of each door.
    #[arg(long, default_value_t = 5)]
    asked: usize,
    /// Simulated seconds of calm that are measured.
    #[arg(long, default_value_t = 6)]
    seconds: usize,
    /// Doors that connect with nothing.
    #[arg(long, default_value_t = 5)]
    fresh: usize,
    /// Starts and ends of backends in each simulated second of the churn.
    #[arg(long, default_value_t = 5)]
    churn: usize,
    /// Ends once this much processor time is spent, in seconds.
    #[arg(long, default_value_t = 600.0)]
    budget: f64,
}

struct Run {
    line: Line,
    group: Group,
    /// Simulated milliseconds.
    at: usize,
    seq: u64,
    door: Door,
    door_cpu: f64,
    door_frames: BTreeMap<&'static str, Flow>,
    /// Backends below this number are silent.
    silent: usize,
    /// Backends at and above this number are silent, too.
    there: usize,
}

impl Run {
    /// Time passes, this many milliseconds: beats, reports, ticks.
    fn pass(&mut self, millis: usize, beats: bool) {
        for _ in 0..millis / STEP {
            if cpu() > self.line.budget {
                return;
            }
            self.at += STEP;
            let (slots, exchanges) = (BEAT / STEP, self.group.cores.len());
            let slot = self.at / STEP % slots;
            if beats {
                self.seq += u64::from(slot == 0);
                let due: Vec<usize> = (0..self.there)
                    .skip(slot)
                    .step_by(slots)
                    .filter(|n| *n >= self.silent)
                    .collect();
                for at in 0..exchanges {
                    let mine = due.iter().filter(|n| **n % exchanges == at);
                    let services = self.line.services;
                    let seq = 10 + self.seq;
                    let mine = mine
                        .map(|n| (made::backend(*n), made::beat(*n, services, seq, "in_loop")))
                        .collect();
                    self.group.beats(at, mine);
                }
            }
            let turns = REPORT / STEP;
            let doors = self.line.doors;
            let turn = self.at / STEP % turns;
            let reporting = (1..doors).filter(|door| door % turns == turn);
            self.group
                .reports(reporting, self.line.asked, self.line.tenants);
            if turn == 0 {
                let mut out = Vec::new();
                let (now, before) = (self.group.now, cpu());
                self.door.tick(now, &mut out);
                self.door_cpu += cpu() - before;
                self.say(out);
            }
            self.group.step(STEP as f64);
            self.listen();
        }
    }

    /// The real door hears what it was told.
    fn listen(&mut self) {
        for (door, at, bytes) in std::mem::take(&mut self.group.watched) {
            if door > 0 {
                continue;
            }
            let ip = self.group.ips[at].clone();
            let (now, before) = (self.group.now, cpu());
            let mut out = Vec::new();
            let mut what = "other";
            if let Ok(Some(frame)) = decode_frame(&mut BytesMut::from(bytes.as_ref())) {
                what = match frame {
                    Frame::InstanceUpdates(_) => "words",
                    Frame::ConfigUpdate(_) => "plans",
                    Frame::LeaseGrant(_) => "lent",
                    Frame::Ping(_) | Frame::Pong(_) => "liveness",
                    _ => "other",
                };
                self.door.receive(now, &ip, frame, &mut out);
            }
            self.door_cpu += cpu() - before;
            let flow = self.door_frames.entry(what).or_default();
            flow.count += 1;
            flow.bytes += bytes.len() as u64;
            self.say(out);
        }
    }

    fn say(&mut self, out: Vec<DoorOutput>) {
        for output in out {
            if let DoorOutput::SendToController(ip, Frame::LeaseRequest(report)) = output {
                if let Some(at) = self.group.ips.iter().position(|known| *known == ip) {
                    self.group.report(0, at, report);
                }
            }
        }
    }

    fn reset(&mut self) {
        self.group.reset();
        self.door_cpu = 0.0;
        self.door_frames.clear();
    }

    /// What was done since the last reset, for each second of these.
    fn tell(&self, what: &str, seconds: f64) {
        for (at, done) in self.group.done.iter().enumerate() {
            tell_done(&format!("{what} exchange={at}"), done, seconds);
        }
        let flows = flows(&self.door_frames, seconds);
        println!(
            "{what} door cpu_ms_s={:.3} {flows}",
            1e3 * self.door_cpu / seconds
        );
    }
}

fn flows(flows: &BTreeMap<&'static str, Flow>, seconds: f64) -> String {
    let one = |(what, flow): (&&str, &Flow)| {
        format!(
            "{what}={:.1}/s,{:.0}B/s",
            flow.count as f64 / seconds,
            flow.bytes as f64 / seconds
        )
    };
    flows.iter().map(one).collect::<Vec<_>>().join(" ")
}

fn tell_done(what: &str, done: &Done, seconds: f64) {
    let spent: f64 = done.cpu.values().sum();
    let parts: Vec<String> = done
        .cpu
        .iter()
        .map(|(kind, cpu)| format!("{kind}:{:.1}", 1e3 * cpu / seconds))
        .collect();
    println!(
        "{what} cpu_ms_s={:.1} ({}) doors[{}] peers[{}] disk={:.1}/s,{:.0}B/s answers={:.0}/s",
        1e3 * spent / seconds,
        parts.join(" "),
        flows(&done.doors, seconds),
        flows(&done.peers, seconds),
        done.disk.count as f64 / seconds,
        done.disk.bytes as f64 / seconds,
        done.answers.0 as f64 / seconds,
    );
}

fn memory(what: &str) {
    println!(
        "memory after={what} rss_mb={} cpu_s={:.0}",
        status("VmRSS") >> 20,
        cpu()
    );
}

fn main() {
    let line = Line::parse();
    let started = Instant::now();
    let size = Size {
        routes: line.routes,
        tenants: line.tenants,
        services: line.services,
    };
    let mut group = Group::new(line.exchanges);
    group.watch = 1;
    // The configuration, and what a change of one route costs with nobody there.
    group.reset();
    let calls = made::calls(size);
    let many = calls.len();
    let all = calls.into_iter().all(|call| group.amend(call).0);
    tell_done(
        &format!("config calls={many} done={all} leader"),
        &group.done[0],
        1.0,
    );
    memory("config");
    let settings = made::settings("edge-zone-0-0", "10.1.0.0", &group.ips.clone());
    let mut run = Run {
        door: Door::new(&settings, 1000),
        group,
        at: 0,
        seq: 0,
        door_cpu: 0.0,
        door_frames: BTreeMap::new(),
        silent: 0,
        there: line.backends,
        line,
    };
    // The real door connects with nothing, the hollow ones hold the configuration: what it costs to tell it is measured below.
    run.group.connect(0, 0);
    let ips = run.group.ips.clone();
    let mut out = Vec::new();
    for ip in &ips {
        run.door.controller_connected(run.group.now, ip, &mut out);
    }
    run.say(out);
    run.listen();
    run.reset();
    let index = run.group.index;
    (1..run.line.doors).for_each(|door| run.group.connect(door, index));
    run.tell("connect_all_up_to_date", 1.0);
    run.reset();
    let before = run.at;
    run.pass(8000, false);
    run.tell("first_loans", (run.at - before).max(STEP) as f64 / 1000.0);
    memory("doors");
    // The backends become known, as from another exchange.
    run.reset();
    let services = run.line.services;
    let ip = run.group.ips[1].clone();
    for from in (0..run.line.backends).step_by(AT_ONCE) {
        let to = (from + AT_ONCE).min(run.line.backends);
        let words: Vec<InstanceRecord> = (from..to).map(|n| made::word(n, services, 1)).collect();
        for at in 0..run.group.cores.len() {
            let words = InstanceUpdates {
                records: words.clone(),
                complete: false,
                ack_number: 0,
            };
            let ip = ip.clone();
            run.group.drive(at, "words", |core, now, out| {
                core.receive_from_peer(now, &ip, Frame::InstanceUpdates(words), out)
            });
        }
        run.group.pump();
        run.listen();
    }
    run.tell("backends_become_known", 1.0);
    memory("backends");
    // Beats, until all have beaten once.
    run.pass(BEAT, true);
    run.reset();
    let before = run.at;
    let seconds = run.line.seconds;
    run.pass(1000 * seconds, true);
    run.tell("calm", (run.at - before).max(STEP) as f64 / 1000.0);
    memory("calm");
    // One route changes.
    run.reset();
    let (done, leader) = run.group.amend(made::call(0..1, 0..0, 0..0, services, 8));
    run.listen();
    println!("change done={done} leader={leader}");
    run.tell("change", 1.0);
    // Doors that connect with nothing.
    run.reset();
    let fresh = run.line.fresh;
    for door in 1..=fresh {
        run.group.disconnect(door);
        run.group.connect(door, 0);
    }
    run.tell("fresh_door", fresh as f64);
    // Backends start and end.
    run.reset();
    let (before, mut last) = (run.at, 0);
    for _ in 0..3 {
        let exchanges = run.group.cores.len();
        for k in 0..run.line.churn {
            let ends = last;
            last += 1;
            let at = k % exchanges;
            let seq = 1000 + run.seq;
            let beat = |n: usize, state: &str| {
                vec![(made::backend(n), made::beat(n, services, seq, state))]
            };
            run.group.beats(at, beat(ends, "decaying"));
            run.group.pump();
            run.group.leaves(at, vec![made::backend(ends)]);
            run.group
                .beats((at + 1) % exchanges, beat(run.there + ends, "in_loop"));
            run.group.pump();
        }
        run.silent = last;
        run.pass(1000, true);
    }
    run.tell(
        &format!("churn per_s={}", run.line.churn),
        (run.at - before).max(STEP) as f64 / 1000.0,
    );
    // One backend in eight falls silent.
    run.silent = run.line.backends / 8;
    run.pass(5000, true);
    run.reset();
    run.pass(2500, true);
    run.tell("zone_lost all_in_2.5s", 1.0);
    memory("zone_lost");
    println!(
        "whole wall_s={:.0} cpu_s={:.0} simulated_s={} stopped={}",
        started.elapsed().as_secs_f64(),
        cpu(),
        run.at / 1000,
        cpu() > run.line.budget
    );
}
