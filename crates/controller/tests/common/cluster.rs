//! A cluster of controllers ([`Core`]) in one process, with simulated time that advances only in
//! [`Cluster::run`]. Links can be blocked in either direction and healed, connections time out
//! within their bound, writes take time, disks can stall, and processes can pause.

#![allow(dead_code)]

use bytes::{Bytes, BytesMut};
use maplefall_control_messages::{
    decode_frame, ConfigUpdate, Frame, Hello, InstanceUpdates, PROTOCOL_VERSION,
};
use maplefall_control_transport::liveness::{PING_INTERVAL, PONG_TIMEOUT};
use maplefall_controller::core::TICK;
use maplefall_controller::store::{StoreRecord, StoredState};
use maplefall_controller::{Call, CallResponse, Core, Output};
use maplefall_node_settings::Settings;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Maximum time after one direction of a link is blocked until both ends notice that the connection
/// is lost.
pub const CONNECTION_TIMEOUT: f64 = PONG_TIMEOUT + PING_INTERVAL;
/// Time without messages from a quorum after which a controller detects that it has lost contact.
pub const QUORUM_TIMEOUT: f64 = 1000.0;
/// Time that tests allow in addition to a timeout, for delays, ticks and elections.
pub const TOLERANCE: f64 = 300.0;
/// Delay of a frame between controllers, in milliseconds, the unit of all times in this file.
const NETWORK_DELAY: f64 = 1.0;
const DISK_DELAY: f64 = 2.0;
pub const HEARTBEAT_INTERVAL: f64 = 1500.0;

pub fn ip(node: usize) -> String {
    format!("10.0.0.{}", node + 1)
}

fn settings(node: usize, size: usize) -> Settings {
    let seeds: Vec<String> = (0..size)
        .map(|node| format!("\"{}:8080\"", ip(node)))
        .collect();
    let text = format!(
        "Node = \"core-{node}\"\nRole = \"exchange\"\nMachineClass = \"core\"\nServes = [\"controller\"]\nIp = \"{}\"\nZone = \"a\"\n\
         Region = \"r\"\nInternalPorts = [7000,7010]\nSeedAddrs = [{}]\nBootstrap = true\nQuorumMember = true\nDataDir = \"/tmp\"\n\
         HeartbeatS = 1.5\nActiveLaws = [\"base\"]\nBounds = []\n[Zones]\na = \"r\"\n[Bind]\nControl = \"{}:8080\"\n",
        ip(node),
        seeds.join(","),
        ip(node)
    );
    Settings::parse(&text, std::path::Path::new("test")).expect("settings")
}

pub fn frame(bytes: &Bytes) -> Frame {
    decode_frame(&mut BytesMut::from(bytes.as_ref()))
        .expect("a frame")
        .expect("a complete frame")
}

pub struct Node {
    pub core: Core,
    /// The writes that are not yet persisted, each with the time at which it will be persisted.
    pub pending_writes: VecDeque<(StoreRecord, f64)>,
    /// What is on the disk.
    pub disk: StoredState,
    pub is_disk_stalled: bool,
    pub is_paused: bool,
    last_tick: f64,
}

impl Node {
    fn new(core: Core, disk: StoredState, now: f64) -> Node {
        Node {
            core,
            pending_writes: VecDeque::new(),
            disk,
            is_disk_stalled: false,
            is_paused: false,
            last_tick: now,
        }
    }
}

pub struct Cluster {
    pub now: f64,
    pub nodes: Vec<Node>,
    pub network: VecDeque<(f64, usize, usize, Bytes)>,
    /// Blocked directions of links `(from, to)`, each with the time since which it is blocked.
    pub blocked_links: BTreeMap<(usize, usize), f64>,
    /// Pairs of controllers whose connection has timed out.
    disconnected: BTreeSet<(usize, usize)>,
    pub responses: BTreeMap<u64, CallResponse>,
    pub last_call: u64,
    /// Frames sent to proxies: controller, connection, time, frame.
    to_proxies: Vec<(usize, u64, f64, Frame)>,
    last_proxy: u64,
    log_lines: Vec<(f64, usize, String)>,
}

impl Cluster {
    pub fn new(size: usize, seed: u64) -> Cluster {
        let mut cluster = Cluster {
            now: 0.0,
            nodes: Vec::new(),
            network: VecDeque::new(),
            blocked_links: BTreeMap::new(),
            disconnected: BTreeSet::new(),
            responses: BTreeMap::new(),
            last_call: 0,
            to_proxies: Vec::new(),
            last_proxy: 0,
            log_lines: Vec::new(),
        };
        for node in 0..size {
            let mut out = Vec::new();
            let core = Core::new(
                &settings(node, size),
                0.0,
                seed * 16 + node as u64 + 1,
                StoredState::default(),
                &mut out,
            );
            let disk = StoredState::default();
            cluster.nodes.push(Node::new(core, disk, 0.0));
            cluster.handle_outputs(node, out);
        }
        for (a, b) in cluster.pairs() {
            cluster.set_connected(a, b, true);
        }
        cluster
    }

    fn pairs(&self) -> Vec<(usize, usize)> {
        let nodes = 0..self.nodes.len();
        nodes
            .clone()
            .flat_map(|a| nodes.clone().map(move |b| (a, b)))
            .filter(|(a, b)| a < b)
            .collect()
    }

    pub fn set_connected(&mut self, a: usize, b: usize, is_connected: bool) {
        for (node, peer) in [(a, b), (b, a)] {
            if is_connected {
                self.drive(node, |core, now, out| {
                    core.peer_connected(now, &ip(peer), out)
                });
            } else {
                self.nodes[node].core.peer_disconnected(&ip(peer));
            }
        }
    }

    /// Kills a controller: its connections end and what its disk has not persisted is lost.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].is_paused = true;
        self.nodes[node].pending_writes.clear();
        self.network
            .retain(|(_, from, to, _)| *from != node && *to != node);
        for peer in (0..self.nodes.len()).filter(|peer| *peer != node) {
            self.nodes[peer].core.peer_disconnected(&ip(node));
        }
    }

    /// Starts these controllers, which were killed, from their disks, and connects them to all that
    /// run.
    pub fn start(&mut self, nodes: &[usize]) {
        let size = self.nodes.len();
        for node in nodes {
            let disk = self.nodes[*node].disk.clone();
            let (seed, mut out) = (self.now as u64 * 16 + *node as u64 + 1, Vec::new());
            let core = Core::new(
                &settings(*node, size),
                self.now,
                seed,
                disk.clone(),
                &mut out,
            );
            self.nodes[*node] = Node::new(core, disk, self.now);
            self.handle_outputs(*node, out);
        }
        for (a, b) in self.pairs() {
            let is_new = nodes.contains(&a) || nodes.contains(&b);
            if is_new && !self.nodes[a].is_paused && !self.nodes[b].is_paused {
                self.set_connected(a, b, true);
            }
        }
    }

    pub fn drive(&mut self, node: usize, step: impl FnOnce(&mut Core, f64, &mut Vec<Output>)) {
        let mut out = Vec::new();
        step(&mut self.nodes[node].core, self.now, &mut out);
        self.handle_outputs(node, out);
    }

    fn handle_outputs(&mut self, node: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Write(number, record) => {
                    let record = StoreRecord { number, ..*record };
                    self.nodes[node]
                        .pending_writes
                        .push_back((record, self.now + DISK_DELAY));
                }
                Output::SendToPeer(to, bytes) => {
                    let to = (0..self.nodes.len()).find(|node| ip(*node) == to);
                    to.into_iter()
                        .for_each(|to| self.send(node, to, bytes.clone()));
                }
                Output::SendToAllPeers(bytes) => {
                    (0..self.nodes.len()).for_each(|to| self.send(node, to, bytes.clone()));
                }
                Output::SendToProxy(connection, bytes) => {
                    self.to_proxies
                        .push((node, connection, self.now, frame(&bytes)))
                }
                Output::LeaseRequestsQueued => {
                    self.drive(
                        node,
                        |core, now, out| {
                            while core.answer_lease_request(now, out) {}
                        },
                    );
                }
                Output::Respond(call, response) => {
                    assert!(
                        self.responses.insert(call, response).is_none(),
                        "call {call} got two responses"
                    );
                }
                Output::Log(line) | Output::Debug(line) => {
                    self.log_lines.push((self.now, node, line))
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, bytes: Bytes) {
        if from != to {
            self.network
                .push_back((self.now + NETWORK_DELAY, from, to, bytes));
        }
    }

    /// Advances the time by `duration` milliseconds, in steps of one.
    pub fn run(&mut self, duration: f64) {
        let until = self.now + duration;
        while self.now < until {
            self.now += 1.0;
            self.update_connections();
            self.deliver_frames();
            for node in 0..self.nodes.len() {
                self.persist_writes(node);
                self.tick(node);
            }
        }
    }

    /// Closes connections over blocked links after their timeout, and opens them again once the
    /// links are healed.
    fn update_connections(&mut self) {
        if self.blocked_links.is_empty() && self.disconnected.is_empty() {
            return;
        }
        for pair in self.pairs() {
            let blocked_since = [pair, (pair.1, pair.0)]
                .iter()
                .filter_map(|direction| self.blocked_links.get(direction))
                .copied()
                .reduce(f64::min);
            match blocked_since {
                Some(since)
                    if self.now - since >= CONNECTION_TIMEOUT && self.disconnected.insert(pair) =>
                {
                    self.set_connected(pair.0, pair.1, false)
                }
                None if self.disconnected.remove(&pair) => self.set_connected(pair.0, pair.1, true),
                _ => {}
            }
        }
    }

    fn deliver_frames(&mut self) {
        while self.network.front().is_some_and(|(at, ..)| *at <= self.now) {
            let Some((_, from, to, bytes)) = self.network.pop_front() else {
                break;
            };
            let pair = (from.min(to), from.max(to));
            // Frames to a paused process are lost: its connections have timed out by the time it
            // resumes.
            let is_lost = self.blocked_links.contains_key(&(from, to))
                || self.disconnected.contains(&pair)
                || self.nodes[to].is_paused;
            if !is_lost {
                self.drive(to, |core, now, out| {
                    core.receive_from_peer(now, &ip(from), frame(&bytes), out)
                });
            }
        }
    }

    fn persist_writes(&mut self, node: usize) {
        while !self.nodes[node].is_disk_stalled
            && self.nodes[node]
                .pending_writes
                .front()
                .is_some_and(|(_, at)| *at <= self.now)
        {
            let Some((record, _)) = self.nodes[node].pending_writes.pop_front() else {
                break;
            };
            let number = record.number;
            self.nodes[node].disk.apply(record);
            self.drive(node, |core, now, out| core.persisted(now, number, out));
        }
    }

    fn tick(&mut self, node: usize) {
        if !self.nodes[node].is_paused && self.now - self.nodes[node].last_tick >= TICK {
            self.nodes[node].last_tick = self.now;
            self.drive(node, |core, now, out| core.tick(now, out));
        }
    }

    pub fn call(&mut self, node: usize, call: Call) -> u64 {
        self.last_call += 1;
        let number = self.last_call;
        self.drive(node, |core, now, out| core.call(now, number, call, out));
        number
    }

    pub fn heartbeat(&mut self, node: usize, id: &str, state: &str, seq: u64) -> u64 {
        let body = format!(
            "{{\"Id\":\"{id}\",\"Address\":\"10.1.0.1:80\",\"Details\":{{\"Service\":\"s\",\"Zone\":\"a\",\"Capacity\":4}},\
             \"Observed\":{{\"State\":\"{state}\",\"CallSeq\":{seq},\"WarmupLeftS\":0}}}}"
        );
        self.call(node, Call::Heartbeat(id.to_owned(), body.into()))
    }

    pub fn is_ok(&self, call: u64) -> bool {
        matches!(self.responses.get(&call), Some(CallResponse::Ok(_)))
    }

    /// Sends an amendment that sets a tenant to this version; returns the number of the call.
    pub fn amend(&mut self, node: usize, version: u64) -> u64 {
        let body = AMEND.replace("VERSION", &format!("{version:08}"));
        self.call(node, Call::Amend(body.into()))
    }

    /// Returns the leader: the controller that commits an amendment with this version.
    pub fn find_leader(&mut self, version: u64) -> usize {
        for _ in 0..40 {
            for node in 0..self.nodes.len() {
                let call = self.amend(node, version);
                self.run(50.0);
                if self.is_ok(call) {
                    return node;
                }
                let response = self.responses.get(&call);
                assert!(
                    !matches!(response, Some(CallResponse::Rejected(..))),
                    "rejected: {response:?}"
                );
            }
        }
        panic!("no leader");
    }

    pub fn connect_proxy(&mut self, node: usize, index: u64) -> u64 {
        self.connect_proxy_that(node, index, false)
    }

    /// Connects a proxy that may or may not have missed updates.
    pub fn connect_proxy_that(
        &mut self,
        node: usize,
        index: u64,
        may_have_missed_updates: bool,
    ) -> u64 {
        self.last_proxy += 1;
        let connection = self.last_proxy;
        let hello = Hello {
            version: PROTOCOL_VERSION,
            ip: "10.9.0.1".into(),
            node: format!("proxy-{connection}"),
            incarnation: 1,
            is_controller: false,
            config_index: index,
            may_have_missed_updates,
        };
        self.drive(node, |core, now, out| {
            core.proxy_connected(now, connection, &hello, out)
        });
        connection
    }

    /// Returns the configurations that were sent to a proxy, with their times.
    pub fn config_updates(&self, connection: u64) -> Vec<(f64, &ConfigUpdate)> {
        let frames = self
            .to_proxies
            .iter()
            .filter(|(_, to, ..)| *to == connection);
        frames
            .filter_map(|(_, _, at, frame)| match frame {
                Frame::ConfigUpdate(updates) if updates.index > 0 => Some((*at, updates)),
                _ => None,
            })
            .collect()
    }

    pub fn instance_updates(&self, connection: u64) -> Vec<&InstanceUpdates> {
        let frames = self
            .to_proxies
            .iter()
            .filter(|(_, to, ..)| *to == connection);
        frames
            .filter_map(|(.., frame)| match frame {
                Frame::InstanceUpdates(updates) => Some(updates),
                _ => None,
            })
            .collect()
    }

    pub fn partition(&mut self, node: usize, outgoing: bool, incoming: bool) {
        for other in (0..self.nodes.len()).filter(|other| *other != node) {
            if outgoing {
                self.blocked_links.insert((node, other), self.now);
            }
            if incoming {
                self.blocked_links.insert((other, node), self.now);
            }
        }
    }

    pub fn heal(&mut self) {
        self.blocked_links.clear();
    }

    pub fn count_logged(&self, node: usize, text: &str) -> usize {
        self.log_lines
            .iter()
            .filter(|(_, at, line)| *at == node && line.contains(text))
            .count()
    }
}

const AMEND: &str = r#"{"Upsert":{"Tenants":{"ColumnNames":["Name","ApiKeys","Priority","RatePerS","BurstSize","Version"],
"DataRows":[["t",["k1k1k1k1k1k1k1k1k1k1"],0,94,94,"VERSION"]]}},"Remove":{}}"#;
