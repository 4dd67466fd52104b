//! A simulated network of nodes that share counts: loss, duplicates, delays and partitions are data, and a seed determines a run. The
//! true usage is recorded beside it.
#![allow(dead_code)]

use maplefall_shared_counts::node::{Node, Start};
use maplefall_shared_counts::{DoorId, Settings};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The most datagrams that are recorded.
const MAX_RECORDED: usize = 4096;

/// What the network does to a datagram; the delay is uniform, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Link {
    pub loss: f64,
    pub duplicated: f64,
    pub delay: (f64, f64),
}

pub const RELIABLE: Link = Link {
    loss: 0.0,
    duplicated: 0.0,
    delay: (0.2, 2.0),
};
pub const LOSSY: Link = Link {
    loss: 0.3,
    duplicated: 0.1,
    delay: (1.0, 300.0),
};

pub struct SimulatedNode {
    pub name: String,
    pub node: Option<Node>,
    /// How far its clock is ahead of the simulation's, in milliseconds, and its rate.
    pub clock_offset: f64,
    pub clock_rate: f64,
    /// How far its date is ahead, in milliseconds.
    pub date_offset: i64,
}

pub struct Simulation {
    pub now: f64,
    pub settings: Settings,
    pub link: Link,
    pub nodes: Vec<SimulatedNode>,
    /// Pairs of sender and receiver between which no datagram passes.
    pub blocked: BTreeSet<(usize, usize)>,
    /// Thousandths of units that were used, and returned, by node and customer.
    pub truth: BTreeMap<(usize, u64), (i64, i64)>,
    queue: BTreeMap<(u64, u64), (usize, usize, Vec<u8>)>,
    order: u64,
    pub rng: Pcg64Mcg,
    pub delivered: u64,
    /// The first datagrams that were delivered, for replays.
    pub recorded: Vec<(usize, usize, Vec<u8>)>,
}

pub fn address(at: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (at >> 8) as u8, at as u8], 7946))
}

pub fn settings() -> Settings {
    Settings {
        epoch: 600_000.0,
        ..Settings::usual("quito", vec![7; 32])
    }
}

impl Simulation {
    pub fn new(nodes: usize, settings: Settings, link: Link, seed: u64) -> Simulation {
        println!("simulation of {nodes} nodes, seed {seed}");
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let nodes = (0..nodes)
            .map(|at| SimulatedNode {
                name: format!("d{at}"),
                node: None,
                // Clocks differ by hours, and by a thousandth in their rate; they are never compared.
                clock_offset: uniform(&mut rng) * 1e7,
                clock_rate: 1.0 + 0.002 * (uniform(&mut rng) - 0.5),
                date_offset: 0,
            })
            .collect();
        let mut simulation = Simulation {
            now: 0.0,
            settings,
            link,
            nodes,
            blocked: BTreeSet::new(),
            truth: BTreeMap::new(),
            queue: BTreeMap::new(),
            order: 0,
            rng,
            delivered: 0,
            recorded: Vec::new(),
        };
        for at in 0..simulation.nodes.len() {
            simulation.start(at);
        }
        simulation
    }

    pub fn clock(&self, at: usize) -> f64 {
        self.nodes[at].clock_offset + self.now * self.nodes[at].clock_rate
    }

    /// Starts a node, or restarts it without its state.
    pub fn start(&mut self, at: usize) {
        let seed = self.rng.next_u64();
        let now = self.clock(at);
        let simulated = &mut self.nodes[at];
        let start = Start {
            name: simulated.name.clone(),
            address: address(at),
            seeds: vec![address(0), address(1)],
            date: (1_700_000_000_000 + self.now as i64 + simulated.date_offset) as u64,
            seed,
        };
        simulated.node = Some(Node::new(self.settings.clone(), start, now));
    }

    pub fn stop(&mut self, at: usize) {
        self.nodes[at].node = None;
    }

    pub fn node(&mut self, at: usize) -> &mut Node {
        self.nodes[at].node.as_mut().expect("the node runs")
    }

    pub fn record_usage(&mut self, at: usize, customer: u64, units: f64) {
        let now = self.clock(at);
        let milli = (units * 1000.0).round() as i64;
        let truth = self.truth.entry((at, customer)).or_default();
        if milli > 0 {
            truth.0 += milli;
        } else {
            truth.1 -= milli;
        }
        self.node(at).record_usage(now, customer, units);
        self.send_outputs(at);
    }

    /// Sends the datagrams of a node.
    pub fn send_outputs(&mut self, at: usize) {
        while let Some(output) = self.nodes[at].node.as_mut().and_then(Node::poll) {
            let octets = match output.to.ip() {
                std::net::IpAddr::V4(ip) => ip.octets(),
                std::net::IpAddr::V6(_) => continue,
            };
            let to = usize::from(octets[2]) << 8 | usize::from(octets[3]);
            if to >= self.nodes.len() || self.blocked.contains(&(at, to)) {
                continue;
            }
            if uniform(&mut self.rng) < self.link.loss {
                continue;
            }
            let datagrams = if uniform(&mut self.rng) < self.link.duplicated {
                2
            } else {
                1
            };
            for _ in 0..datagrams {
                let (min, max) = self.link.delay;
                let due = self.now + min + (max - min) * uniform(&mut self.rng);
                self.order += 1;
                self.queue.insert(
                    ((due * 1000.0) as u64, self.order),
                    (at, to, output.bytes.clone()),
                );
            }
        }
    }

    pub fn deliver(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let now = self.clock(to);
        if let Some(node) = self.nodes[to].node.as_mut() {
            self.delivered += 1;
            node.receive(now, address(from), bytes);
            self.send_outputs(to);
        }
    }

    /// Runs for this many milliseconds.
    pub fn run(&mut self, duration: f64) {
        let end = self.now + duration;
        while self.now < end {
            let next = (self.now + 5.0).min(end);
            while let Some((&(due, order), _)) = self.queue.first_key_value() {
                if due as f64 / 1000.0 > next {
                    break;
                }
                self.now = self.now.max(due as f64 / 1000.0);
                let (from, to, bytes) = self
                    .queue
                    .remove(&(due, order))
                    .expect("the datagram is queued");
                if self.recorded.len() < MAX_RECORDED {
                    self.recorded.push((from, to, bytes.clone()));
                }
                self.deliver(from, to, &bytes);
            }
            self.now = next;
            for at in 0..self.nodes.len() {
                let now = self.clock(at);
                if let Some(node) = self.nodes[at].node.as_mut() {
                    if node.due() <= now {
                        node.tick(now);
                        self.send_outputs(at);
                    }
                }
            }
        }
    }

    /// What a customer has used at all nodes: all that was taken, and that less what was returned.
    pub fn true_usage(&self, customer: u64) -> (i64, i64) {
        self.truth
            .iter()
            .filter(|((_, user), _)| *user == customer)
            .fold((0, 0), |(taken, net), (_, (used, returned))| {
                (taken + used, net + used - returned)
            })
    }

    pub fn customers(&self) -> BTreeSet<u64> {
        self.truth.keys().map(|(_, customer)| *customer).collect()
    }

    /// Asserts that no node counts more than was used.
    pub fn assert_never_over_truth(&mut self) {
        for customer in self.customers() {
            let (taken, _) = self.true_usage(customer);
            for at in 0..self.nodes.len() {
                if let Some(node) = &self.nodes[at].node {
                    let total = node.total(customer);
                    assert!(
                        total <= taken,
                        "node {at} counts {total} of customer {customer}, {taken} were used"
                    );
                }
            }
        }
    }

    /// Checks that all nodes have all counts.
    pub fn check_equal(&self) -> Result<(), String> {
        for customer in self.customers() {
            let (_, net) = self.true_usage(customer);
            for (at, simulated) in self.nodes.iter().enumerate() {
                if let Some(node) = &simulated.node {
                    let total = node.total(customer);
                    if total != net {
                        return Err(format!(
                            "node {at} counts {total} of customer {customer}, {net} are used"
                        ));
                    }
                }
            }
        }
        Ok(())
    }

    /// Runs until all nodes have all counts; returns how long that took, in milliseconds.
    pub fn run_until_equal(&mut self, max_duration: f64) -> f64 {
        let started_at = self.now;
        loop {
            let equal = self.check_equal();
            if equal.is_ok() {
                return self.now - started_at;
            }
            assert!(
                self.now - started_at < max_duration,
                "after {max_duration} ms: {equal:?}"
            );
            self.run(100.0);
        }
    }

    /// How many others are alive for a node.
    pub fn alive(&self, at: usize) -> usize {
        let node = self.nodes[at].node.as_ref().expect("the node runs");
        node.members()
            .filter(|m| m.state == maplefall_shared_counts::members::MemberState::Alive)
            .count()
    }

    /// Runs until for every node all others that run are alive; returns how long that took, in milliseconds.
    pub fn run_until_met(&mut self, max_duration: f64) -> f64 {
        let started_at = self.now;
        let running = self
            .nodes
            .iter()
            .filter(|simulated| simulated.node.is_some())
            .count();
        loop {
            let indexes = (0..self.nodes.len()).filter(|at| self.nodes[*at].node.is_some());
            let fewest = indexes.map(|at| self.alive(at)).min().unwrap_or(0);
            if fewest + 1 >= running {
                return self.now - started_at;
            }
            assert!(
                self.now - started_at < max_duration,
                "after {max_duration} ms a node has {fewest} others alive of {}",
                running - 1
            );
            self.run(100.0);
        }
    }

    pub fn id(&self, at: usize) -> DoorId {
        DoorId::of(&self.nodes[at].name)
    }
}

pub fn uniform(rng: &mut Pcg64Mcg) -> f64 {
    f64::from(rng.next_u32()) / 4_294_967_296.0
}

/// A random schedule: partitions that come and heal, loss, duplicates, delays and usage everywhere. No node ever counts more than was
/// used, and all are equal once it is quiet.
pub fn schedule(nodes: usize, steps: usize, seed: u64) {
    let lossy = Link {
        loss: 0.2,
        duplicated: 0.1,
        delay: (0.5, 80.0),
    };
    let settings = Settings {
        forget_after: 20_000_000.0,
        ..settings()
    };
    let mut simulation = Simulation::new(nodes, settings, lossy, seed);
    simulation.run_until_met(60_000.0);
    for _ in 0..steps {
        let at = (uniform(&mut simulation.rng) * nodes as f64) as usize;
        match (uniform(&mut simulation.rng) * 12.0) as u32 {
            0 => {
                let other = (uniform(&mut simulation.rng) * nodes as f64) as usize;
                simulation.blocked.insert((at, other));
            }
            1 => simulation.blocked.clear(),
            _ => {
                let customer = (uniform(&mut simulation.rng) * 5.0) as u64;
                let units = 6.0 * uniform(&mut simulation.rng);
                simulation.record_usage(at, customer, units);
                simulation.record_usage(at, customer, -0.3 * units);
            }
        }
        simulation.run(10.0);
        simulation.assert_never_over_truth();
    }
    simulation.blocked.clear();
    simulation.link = RELIABLE;
    simulation.run_until_equal(120_000.0);
}
