//! A simulated network of nodes with configurable loss, duplication, delays and partitions. A seed
//! determines a run. The true usage is recorded for comparison.
#![allow(dead_code)]

use maplefall_shared_counts::node::{Node, Start};
use maplefall_shared_counts::{DoorId, Settings};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The maximum number of recorded datagrams.
const MAX_RECORDED: usize = 4096;

/// The faults of the network. Loss and duplication are probabilities; the delay is uniform, in
/// milliseconds.
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
    /// The offset of the node's clock from the simulation's, in milliseconds, and its rate.
    pub clock_offset: f64,
    pub clock_rate: f64,
    /// The offset of the node's date, in milliseconds.
    pub date_offset: i64,
}

pub struct Simulation {
    pub now: f64,
    pub settings: Settings,
    pub link: Link,
    pub nodes: Vec<SimulatedNode>,
    /// Pairs of sender and receiver whose datagrams are dropped.
    pub blocked: BTreeSet<(usize, usize)>,
    /// Units taken and returned, in thousandths, by node and customer.
    pub recorded_usage: BTreeMap<(usize, u64), (i64, i64)>,
    queue: BTreeMap<(u64, u64), (usize, usize, Vec<u8>)>,
    order: u64,
    pub rng: Pcg64Mcg,
    pub delivered: u64,
    /// The first delivered datagrams (sender, receiver, bytes), for replays.
    pub recorded: Vec<(usize, usize, Vec<u8>)>,
}

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (index >> 8) as u8, index as u8], 7946))
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
            .map(|index| SimulatedNode {
                name: format!("d{index}"),
                node: None,
                // The nodes' clocks differ by hours, and by up to a thousandth in their rate; nodes
                // never compare them.
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
            recorded_usage: BTreeMap::new(),
            queue: BTreeMap::new(),
            order: 0,
            rng,
            delivered: 0,
            recorded: Vec::new(),
        };
        for index in 0..simulation.nodes.len() {
            simulation.start(index);
        }
        simulation
    }

    pub fn clock(&self, index: usize) -> f64 {
        self.nodes[index].clock_offset + self.now * self.nodes[index].clock_rate
    }

    /// Starts a node, or restarts it without its state.
    pub fn start(&mut self, index: usize) {
        let seed = self.rng.next_u64();
        let now = self.clock(index);
        let simulated = &mut self.nodes[index];
        let start = Start {
            name: simulated.name.clone(),
            address: address(index),
            seeds: vec![address(0), address(1)],
            date: (1_700_000_000_000 + self.now as i64 + simulated.date_offset) as u64,
            seed,
        };
        simulated.node = Some(Node::new(self.settings.clone(), start, now));
    }

    pub fn stop(&mut self, index: usize) {
        self.nodes[index].node = None;
    }

    pub fn node(&mut self, index: usize) -> &mut Node {
        self.nodes[index]
            .node
            .as_mut()
            .expect("the node is running")
    }

    pub fn record_usage(&mut self, index: usize, customer: u64, units: f64) {
        let now = self.clock(index);
        let milli = (units * 1000.0).round() as i64;
        let recorded = self.recorded_usage.entry((index, customer)).or_default();
        if milli > 0 {
            recorded.0 += milli;
        } else {
            recorded.1 -= milli;
        }
        self.node(index).record_usage(now, customer, units);
        self.send_outputs(index);
    }

    /// Puts the queued datagrams of a node on the network.
    pub fn send_outputs(&mut self, index: usize) {
        while let Some(output) = self.nodes[index].node.as_mut().and_then(Node::poll) {
            let octets = match output.to.ip() {
                std::net::IpAddr::V4(ip) => ip.octets(),
                std::net::IpAddr::V6(_) => continue,
            };
            let to = usize::from(octets[2]) << 8 | usize::from(octets[3]);
            if to >= self.nodes.len() || self.blocked.contains(&(index, to)) {
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
                    (index, to, output.bytes.clone()),
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

    /// Runs the simulation for this many milliseconds.
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
            for index in 0..self.nodes.len() {
                let now = self.clock(index);
                if let Some(node) = self.nodes[index].node.as_mut() {
                    if node.due() <= now {
                        node.tick(now);
                        self.send_outputs(index);
                    }
                }
            }
        }
    }

    /// Returns the usage of a customer at all nodes: the units taken, and the net after returns.
    pub fn true_usage(&self, customer: u64) -> (i64, i64) {
        self.recorded_usage
            .iter()
            .filter(|((_, other), _)| *other == customer)
            .fold((0, 0), |(taken, net), (_, (used, returned))| {
                (taken + used, net + used - returned)
            })
    }

    pub fn customers(&self) -> BTreeSet<u64> {
        self.recorded_usage
            .keys()
            .map(|(_, customer)| *customer)
            .collect()
    }

    /// Asserts that no node counts more than the true usage.
    pub fn assert_no_overcount(&mut self) {
        for customer in self.customers() {
            let (taken, _) = self.true_usage(customer);
            for index in 0..self.nodes.len() {
                if let Some(node) = &self.nodes[index].node {
                    let total = node.total(customer);
                    assert!(
                        total <= taken,
                        "node {index} counts {total} of customer {customer}, {taken} were used"
                    );
                }
            }
        }
    }

    /// Checks that all nodes have all counts.
    pub fn check_converged(&self) -> Result<(), String> {
        for customer in self.customers() {
            let (_, net) = self.true_usage(customer);
            for (index, simulated) in self.nodes.iter().enumerate() {
                if let Some(node) = &simulated.node {
                    let total = node.total(customer);
                    if total != net {
                        return Err(format!(
                            "node {index} counts {total} of customer {customer}, {net} are used"
                        ));
                    }
                }
            }
        }
        Ok(())
    }

    /// Runs until all nodes have all counts; returns the duration in milliseconds.
    pub fn run_until_converged(&mut self, max_duration: f64) -> f64 {
        let started_at = self.now;
        loop {
            let equal = self.check_converged();
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

    /// Returns the number of peers that are alive according to this node.
    pub fn alive(&self, index: usize) -> usize {
        let node = self.nodes[index]
            .node
            .as_ref()
            .expect("the node is running");
        node.members()
            .filter(|m| m.state == maplefall_shared_counts::members::MemberState::Alive)
            .count()
    }

    /// Runs until every running node considers all other running nodes alive; returns the duration
    /// in milliseconds.
    pub fn run_until_all_alive(&mut self, max_duration: f64) -> f64 {
        let started_at = self.now;
        let running = self
            .nodes
            .iter()
            .filter(|simulated| simulated.node.is_some())
            .count();
        loop {
            let indexes = (0..self.nodes.len()).filter(|index| self.nodes[*index].node.is_some());
            let fewest = indexes.map(|index| self.alive(index)).min().unwrap_or(0);
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

    pub fn id(&self, index: usize) -> DoorId {
        DoorId::of(&self.nodes[index].name)
    }
}

pub fn uniform(rng: &mut Pcg64Mcg) -> f64 {
    f64::from(rng.next_u32()) / 4_294_967_296.0
}

/// Runs a random schedule of partitions that form and heal, loss, duplicates, delays and usage at
/// all nodes. No node may ever count more than the true usage, and all must converge after the
/// network has healed.
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
    simulation.run_until_all_alive(60_000.0);
    for _ in 0..steps {
        let index = (uniform(&mut simulation.rng) * nodes as f64) as usize;
        match (uniform(&mut simulation.rng) * 12.0) as u32 {
            0 => {
                let other = (uniform(&mut simulation.rng) * nodes as f64) as usize;
                simulation.blocked.insert((index, other));
            }
            1 => simulation.blocked.clear(),
            _ => {
                let customer = (uniform(&mut simulation.rng) * 5.0) as u64;
                let units = 6.0 * uniform(&mut simulation.rng);
                simulation.record_usage(index, customer, units);
                simulation.record_usage(index, customer, -0.3 * units);
            }
        }
        simulation.run(10.0);
        simulation.assert_no_overcount();
    }
    simulation.blocked.clear();
    simulation.link = RELIABLE;
    simulation.run_until_converged(120_000.0);
}
