//! Controllers ([`Core`]) connected by a network without delay, and the leases that they grant to
//! proxies. Time advances only in [`LeaseCluster::run`].

#![allow(dead_code)]

use bytes::{Bytes, BytesMut};
use maplefall_control_messages::{decode_frame, Frame, Hello, PROTOCOL_VERSION};
use maplefall_controller::core::TICK;
use maplefall_controller::disk::Directory;
use maplefall_controller::store::{Store, StoreRecord, StoredState};
use maplefall_controller::{Call, Core, Output};
use maplefall_node_settings::Settings;
use maplefall_quota_lease::{LeaseGrant, LeaseRequest};
use std::collections::{BTreeMap, VecDeque};
use std::path::{Path, PathBuf};

/// An amendment that adds one tenant.
const AMEND: &str = r#"{"Upsert":{"Tenants":{"ColumnNames":["Name","ApiKeys","RatePerS","BurstSize","Version"],"DataRows":[["t",["k"],100,100,"00000001"]]}}}"#;

pub fn settings(ip: &str, seeds: &[&str], bootstrap: bool, max_losses: u32) -> Settings {
    let seeds: Vec<String> = seeds.iter().map(|ip| format!("\"{ip}:8381\"")).collect();
    let text = format!(
        "Node = \"core-{ip}\"\nIp = \"{ip}\"\nInternalPorts = [7560, 7575]\nSeedAddrs = [{}]\nBootstrap = {bootstrap}\n\
         QuorumMember = true\n[Tolerance]\nMachineLosses = {max_losses}\n",
        seeds.join(", ")
    );
    Settings::parse(&text, Path::new("local.toml")).expect("settings")
}

pub struct Node {
    core: Core,
    /// Records that were written but not yet reported as persisted.
    pending_writes: Vec<(u64, StoreRecord)>,
    /// Whether the disk is stalled, so that it reports nothing as persisted.
    pub is_disk_stalled: bool,
    pub stored_records: Vec<StoreRecord>,
    pub is_isolated: bool,
    grants: Vec<(u64, LeaseGrant)>,
    pub log_lines: Vec<String>,
    has_lease_requests: bool,
}

pub struct LeaseCluster {
    pub now: f64,
    pub nodes: BTreeMap<String, Node>,
    pub network: VecDeque<(String, String, Frame)>,
    /// Whether controllers answer queued lease requests.
    pub answers_lease_requests: bool,
}

fn decode(bytes: &Bytes) -> Frame {
    decode_frame(&mut BytesMut::from(bytes.as_ref()))
        .expect("a frame")
        .expect("a complete frame")
}

impl LeaseCluster {
    pub fn new(ips: &[&str], max_losses: u32) -> LeaseCluster {
        let mut cluster = LeaseCluster {
            now: 0.0,
            nodes: BTreeMap::new(),
            network: VecDeque::new(),
            answers_lease_requests: true,
        };
        for (n, ip) in ips.iter().enumerate() {
            cluster.start(
                &settings(ip, ips, true, max_losses),
                StoredState::default(),
                n as u64 + 7,
            );
        }
        cluster
    }

    pub fn start(&mut self, settings: &Settings, stored: StoredState, seed: u64) {
        let mut out = Vec::new();
        let core = Core::new(settings, self.now, seed, stored, &mut out);
        let node = Node {
            core,
            pending_writes: Vec::new(),
            is_disk_stalled: false,
            stored_records: Vec::new(),
            is_isolated: false,
            grants: Vec::new(),
            log_lines: Vec::new(),
            has_lease_requests: false,
        };
        let ip = settings.ip.to_string();
        self.nodes.insert(ip.clone(), node);
        self.handle_outputs(&ip, out);
        self.deliver_all();
    }

    fn handle_outputs(&mut self, ip: &str, out: Vec<Output>) {
        let others: Vec<String> = self
            .nodes
            .keys()
            .filter(|other| *other != ip)
            .cloned()
            .collect();
        let Some(node) = self.nodes.get_mut(ip) else {
            return;
        };
        for output in out {
            match output {
                Output::Write(number, record) => node
                    .pending_writes
                    .push((number, StoreRecord { number, ..*record })),
                Output::SendToPeer(to, bytes) => {
                    self.network.push_back((ip.to_owned(), to, decode(&bytes)))
                }
                Output::SendToAllPeers(bytes) => {
                    for to in &others {
                        self.network
                            .push_back((ip.to_owned(), to.clone(), decode(&bytes)));
                    }
                }
                Output::SendToProxy(connection, bytes) => {
                    if let Frame::LeaseGrant(grant) = decode(&bytes) {
                        node.grants.push((connection, grant));
                    }
                }
                Output::Respond(..) => {}
                Output::LeaseRequestsQueued => node.has_lease_requests = true,
                Output::Log(line) | Output::Debug(line) => node.log_lines.push(line),
            }
        }
    }

    pub fn drive(&mut self, ip: &str, step: impl FnOnce(&mut Core, f64, &mut Vec<Output>)) {
        let mut out = Vec::new();
        if let Some(node) = self.nodes.get_mut(ip) {
            step(&mut node.core, self.now, &mut out);
        }
        self.handle_outputs(ip, out);
        self.deliver_all();
    }

    /// Persists records, answers lease requests and delivers frames until nothing is pending.
    pub fn deliver_all(&mut self) {
        loop {
            let writing = self
                .nodes
                .iter()
                .find(|(_, node)| !node.is_disk_stalled && !node.pending_writes.is_empty());
            if let Some(ip) = writing.map(|(ip, _)| ip.clone()) {
                let mut out = Vec::new();
                if let Some(node) = self.nodes.get_mut(&ip) {
                    let pending_writes = std::mem::take(&mut node.pending_writes);
                    let last = pending_writes.last().map_or(0, |(number, _)| *number);
                    node.stored_records
                        .extend(pending_writes.into_iter().map(|(_, record)| record));
                    node.core.persisted(self.now, last, &mut out);
                }
                self.handle_outputs(&ip, out);
                continue;
            }
            if let Some((ip, out)) = self.answer_lease_request() {
                self.handle_outputs(&ip, out);
                continue;
            }
            let Some((from, to, frame)) = self.network.pop_front() else {
                return;
            };
            let is_isolated = |ip: &str| self.nodes.get(ip).is_none_or(|node| node.is_isolated);
            if is_isolated(&from) || is_isolated(&to) {
                continue;
            }
            let mut out = Vec::new();
            if let Some(node) = self.nodes.get_mut(&to) {
                node.core
                    .receive_from_peer(self.now, &from, frame, &mut out);
            }
            self.handle_outputs(&to, out);
        }
    }

    /// Lets one controller answer a queued lease request; returns its address and outputs.
    fn answer_lease_request(&mut self) -> Option<(String, Vec<Output>)> {
        let waiting = self
            .nodes
            .iter_mut()
            .filter(|_| self.answers_lease_requests)
            .find(|(_, node)| node.has_lease_requests);
        let (ip, node) = waiting?;
        let mut out = Vec::new();
        node.has_lease_requests = node.core.answer_lease_request(self.now, &mut out);
        Some((ip.clone(), out))
    }

    pub fn run(&mut self, ms: f64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += TICK;
            for ip in self.nodes.keys().cloned().collect::<Vec<_>>() {
                self.drive(&ip, |core, now, out| core.tick(now, out));
            }
        }
    }

    pub fn connect_proxy(&mut self, ip: &str, connection: u64, node: &str, incarnation: u64) {
        let hello = Hello {
            version: PROTOCOL_VERSION,
            ip: "10.1.0.1".to_owned(),
            node: node.to_owned(),
            incarnation,
            is_controller: false,
            config_index: 0,
            may_have_missed_updates: false,
        };
        self.drive(ip, |core, now, out| {
            core.proxy_connected(now, connection, &hello, out)
        });
    }

    pub fn request_lease(
        &mut self,
        ip: &str,
        connection: u64,
        request: LeaseRequest,
    ) -> Vec<LeaseGrant> {
        self.take_grants(ip, connection);
        self.drive(ip, |core, now, out| {
            core.receive_from_proxy(now, connection, Frame::LeaseRequest(request), out)
        });
        self.take_grants(ip, connection)
    }

    /// Takes the grants that were sent to a proxy since the last call.
    pub fn take_grants(&mut self, ip: &str, connection: u64) -> Vec<LeaseGrant> {
        let Some(node) = self.nodes.get_mut(ip) else {
            return Vec::new();
        };
        let (own, others) = std::mem::take(&mut node.grants)
            .into_iter()
            .partition(|(to, _)| *to == connection);
        node.grants = others;
        let own: Vec<(u64, LeaseGrant)> = own;
        own.into_iter().map(|(_, grants)| grants).collect()
    }

    /// Commits a configuration with one tenant.
    pub fn add_tenant(&mut self) {
        for ip in self.nodes.keys().cloned().collect::<Vec<_>>() {
            self.drive(&ip, |core, now, out| {
                core.call(
                    now,
                    1,
                    Call::Amend(Bytes::from_static(AMEND.as_bytes())),
                    out,
                );
            });
        }
        self.run(500.0);
    }
}

pub fn granted_ppm(grants: &[LeaseGrant]) -> Vec<u32> {
    grants
        .iter()
        .flat_map(|grants| &grants.leases)
        .map(|lease| lease.ppm)
        .collect()
}

/// A temporary directory that is removed on drop.
pub struct TemporaryDirectory(PathBuf);

impl TemporaryDirectory {
    pub fn new(name: &str) -> TemporaryDirectory {
        let name = format!("maplefall-{name}-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        let _ = std::fs::remove_dir_all(&path);
        TemporaryDirectory(path)
    }

    /// Writes the records that the store in the directory lacks; returns the state found when it is
    /// reopened.
    pub fn persist(&self, mut records: Vec<StoreRecord>) -> StoredState {
        let (mut store, found) = self.open();
        records.retain(|record| record.number > found.number);
        store.write(records).expect("written");
        store.close().expect("closed");
        self.open().1
    }

    fn open(&self) -> (Store<Directory>, StoredState) {
        Store::open(Directory::new(&self.0)).expect("a disk")
    }
}

impl Drop for TemporaryDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
