//! The cluster: its machines, the passing of time, and the inputs to the nodes.

use super::node::{Node, Shutdown};
use super::{AfterShutdown, CrashKind, Variant, MAX_SHUTDOWN_DURATION};
use maplefall_raft::{Config, Entry, Message, Raft, Ready};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet};

/// Minimum duration of a graceful shutdown, in milliseconds.
const MIN_SHUTDOWN_DURATION: f64 = 400.0;
/// Milliseconds between ticks of a node.
const TICK_INTERVAL: u64 = 100;
/// Probability of a read in each millisecond.
const READ_RATE: f64 = 0.01;

pub struct Cluster {
    pub rng: Pcg32,
    /// Milliseconds since the start.
    pub now: f64,
    /// Names of all machines that run or will run again.
    pub names: Vec<String>,
    initial_names: Vec<String>,
    /// Number of machines that may be lost at the same time.
    pub max_failures: usize,
    pub nodes: BTreeMap<String, Node>,
    pub in_flight: Vec<InFlight>,
    /// Blocked links, as pairs of sender and receiver.
    pub blocked_links: BTreeSet<(String, String)>,
    /// Probability that a message is lost.
    pub loss_rate: f64,
    /// All entries that were ever committed, by index.
    pub committed: BTreeMap<u64, CommittedEntry>,
    /// The established leader of each term.
    pub leaders: BTreeMap<u64, String>,
    /// Indexes of the commands that a leader has acknowledged to a caller as committed.
    pub acknowledged: BTreeSet<u64>,
    pub last_proposal: u64,
    pub variant: Variant,
    /// Probability of a proposal in each millisecond.
    pub proposal_rate: f64,
    pub payload_bytes: usize,
    /// Bytes of the encoded state for each entry in it.
    pub state_bytes_per_entry: usize,
    /// Probability that a snapshot chunk is corrupted by the network.
    pub corruption_rate: f64,
    /// Number of inputs between two checks of a node's state, which are slow for long logs.
    pub check_interval: u64,
    pub inputs: u64,
    pub compactions: u64,
    /// Traffic that was sent to each node.
    pub traffic: BTreeMap<String, Traffic>,
    pub messages_sent: u64,
    pub confirmed_reads: u64,
    /// Log lines of all nodes, each prefixed with its time and node.
    pub log_lines: Vec<String>,
    machines_added: u64,
}

/// A message that the network has not delivered yet.
pub struct InFlight {
    pub arrives_at: f64,
    pub from: String,
    pub to: String,
    pub message: Message,
}

/// An entry that some node has committed, and the time of its first commit.
#[derive(Debug)]
pub struct CommittedEntry {
    pub entry: Entry,
    pub committed_at: f64,
}

/// Number of messages, and bytes of entries and snapshots in them.
#[derive(Clone, Copy, Default)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
}

impl Cluster {
    /// Creates a cluster of `size` initial members and starts them.
    pub fn new(seed: u64, size: usize, variant: Variant) -> Cluster {
        let names: Vec<String> = (1..=size).map(|n| format!("10.0.0.{n}")).collect();
        let mut cluster = Cluster {
            rng: Pcg32::seed_from_u64(seed),
            now: 0.0,
            names: names.clone(),
            initial_names: names.clone(),
            max_failures: (size - 1) / 2,
            nodes: BTreeMap::new(),
            in_flight: Vec::new(),
            blocked_links: BTreeSet::new(),
            loss_rate: 0.02,
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            acknowledged: BTreeSet::new(),
            last_proposal: 0,
            variant,
            proposal_rate: 0.01,
            payload_bytes: 8,
            state_bytes_per_entry: 1,
            corruption_rate: 0.0,
            check_interval: 1,
            inputs: 0,
            compactions: 0,
            traffic: BTreeMap::new(),
            messages_sent: 0,
            confirmed_reads: 0,
            log_lines: Vec::new(),
            machines_added: 0,
        };
        for name in &names {
            cluster.set_up_machine(name, true);
        }
        cluster
    }

    // ---- Random draws -------------------------------------------------------------------------------

    /// Returns a random number below `bound`.
    pub fn draw(&mut self, bound: u32) -> u32 {
        self.rng.next_u32() % bound
    }

    /// Returns true with this probability.
    pub fn random_bool(&mut self, probability: f64) -> bool {
        f64::from(self.rng.next_u32()) / 4_294_967_296.0 < probability
    }

    /// Returns the name of a random machine.
    pub fn random_name(&mut self) -> String {
        self.names[self.rng.next_u32() as usize % self.names.len()].clone()
    }

    // ---- Machines -----------------------------------------------------------------------------------

    fn set_up_machine(&mut self, name: &str, is_initial: bool) {
        self.nodes.insert(name.to_owned(), Node::new(is_initial));
        self.extend_partitions_to(name);
        self.start(name);
    }

    /// Sets up a machine at a new address; returns its name.
    pub fn add_machine(&mut self) -> String {
        self.machines_added += 1;
        let name = format!("10.0.1.{}", self.machines_added);
        self.names.push(name.clone());
        self.set_up_machine(&name, false);
        name
    }

    fn start(&mut self, name: &str) {
        let seed = u64::from(self.rng.next_u32()) << 32 | u64::from(self.rng.next_u32());
        let mut ready = Ready::default();
        let (now, variant) = (self.now, self.variant);
        let initial_names = self.initial_names.clone();
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        node.reset_process();
        if variant == Variant::ReusedIdentity && node.disk.is_empty() {
            node.is_initial = true;
        }
        let config = Config {
            initial_members: node.is_initial.then_some(initial_names.as_slice()),
            voter: true,
            max_failures: self.max_failures,
            interchangeable: true,
            skip_joint_quorum: variant == Variant::NewMajorityAlone,
        };
        let disk = node.disk.clone();
        node.raft = Some(Raft::new(name, now, seed, disk, &config, &mut ready));
        node.is_initial = false;
        self.process_ready(name, ready);
    }

    // ---- Time ---------------------------------------------------------------------------------------

    /// Runs the cluster for `duration` milliseconds, in steps of one.
    pub fn run(&mut self, duration: f64) {
        let end = self.now + duration;
        while self.now < end {
            self.now += 1.0;
            for name in self.names.clone() {
                self.run_node(&name);
            }
            self.deliver();
            if self.random_bool(self.proposal_rate) {
                let name = self.random_name();
                self.propose(&name);
            }
            if self.random_bool(READ_RATE) {
                let name = self.random_name();
                self.read(&name);
            }
        }
    }

    fn run_node(&mut self, name: &str) {
        let now = self.now;
        let node = &self.nodes[name];
        if node.raft.is_none() && now >= node.down_until {
            self.start(name);
        }
        if self.nodes[name].frozen_until > now || self.finish_shutdown(name) {
            return;
        }
        self.resume_if_frozen(name);
        self.sync_due_writes(name);
        if (now as u64) % TICK_INTERVAL == 0 {
            self.input(name, |raft, now, ready| raft.tick(now, ready));
        }
    }

    /// Stops a machine that is shutting down once its node was released or the time limit has
    /// passed. Returns whether the machine has stopped.
    fn finish_shutdown(&mut self, name: &str) -> bool {
        let node = &self.nodes[name];
        let Some(Shutdown { since, after }) = node.shutdown else {
            return false;
        };
        let elapsed = self.now - since;
        let raft = node.raft.as_ref();
        let may_stop = raft.is_none_or(|raft| raft.may_stop(self.now));
        let is_released = elapsed >= MIN_SHUTDOWN_DURATION && may_stop;
        if !is_released && elapsed < MAX_SHUTDOWN_DURATION {
            return false;
        }
        match after {
            AfterShutdown::Restart => {
                let down = 100.0 + f64::from(self.draw(800));
                self.crash(name, CrashKind::ProcessExit, down);
            }
            AfterShutdown::Remove => self.remove_machine(name),
        }
        true
    }

    fn sync_due_writes(&mut self, name: &str) {
        let now = self.now;
        while let Some(node) = self.nodes.get_mut(name) {
            if node.raft.is_none() {
                break;
            }
            let Some(write) = node.take_due_write(now) else {
                break;
            };
            node.disk.apply(write.update);
            self.input(name, |raft, now, ready| {
                raft.persisted(now, write.number, ready);
            });
        }
    }
}
