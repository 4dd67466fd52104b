//! Controllers in one process. Their decisions are the real ones; messages between them are counted
//! and passed in memory instead of sent over sockets, and disk writes complete at once.

use crate::measure::thread_cpu_seconds;
use crate::synthetic;
use bytes::{Bytes, BytesMut};
use maplefall_control_messages::{decode_frame, Frame, Hello, PROTOCOL_VERSION};
use maplefall_controller::store::StoredState;
use maplefall_controller::{Call, CallResponse, Core, Output};
use maplefall_quota_lease::{Demand, LeaseClient, LeaseRequest};
use prost::Message;
use std::collections::{BTreeMap, VecDeque};

/// A number of messages, writes or log lines and their total size.
#[derive(Clone, Copy, Debug, Default)]
pub struct Flow {
    /// Number of messages, writes or lines.
    pub count: u64,
    /// Total bytes.
    pub bytes: u64,
}

impl Flow {
    fn add(&mut self, bytes: usize) {
        self.count += 1;
        self.bytes += bytes as u64;
    }
}

/// Counters of a controller.
#[derive(Clone, Debug, Default)]
pub struct ControllerStats {
    /// Seconds of processor time for each kind of input.
    pub cpu: BTreeMap<&'static str, f64>,
    /// Messages to proxies, by kind of frame.
    pub to_proxies: BTreeMap<&'static str, Flow>,
    /// Messages to other controllers, by kind of frame.
    pub to_peers: BTreeMap<&'static str, Flow>,
    /// Writes to disk.
    pub disk: Flow,
    /// Responses to callers: all, and the successful ones.
    pub responses: (u64, u64),
    /// Log lines.
    pub log_lines: Flow,
}

/// Returns the name of a frame's kind, by the protobuf field number in the byte after the 4-byte
/// length.
fn frame_kind(bytes: &Bytes) -> &'static str {
    match bytes.get(4).map(|byte| byte >> 3) {
        Some(1) => "hello",
        Some(2) => "tandem",
        Some(3) => "words",
        Some(4) => "heard",
        Some(5) => "alive",
        Some(6) => "plans",
        Some(7) => "report",
        Some(8) => "lent",
        Some(9) => "ping",
        Some(10) => "echo",
        Some(11) => "part",
        _ => "other",
    }
}

/// Difference between the numbers of successive connections of one proxy; later connections have
/// higher numbers. A connection number modulo this value is the index of the proxy.
const CONNECTION_STRIDE: u64 = 1 << 20;

/// A proxy reduced to its control messages, which it sends to each controller.
#[derive(Clone, Debug)]
struct SimulatedProxy {
    node: String,
    incarnation: u64,
    connected: bool,
    /// Number of the connection, the same at every controller.
    conn: u64,
    /// Leases held, with the same code as in a real proxy.
    lease_client: LeaseClient,
    /// For each controller: whether the next lease request is the first on this connection. The first
    /// one carries no demand.
    first_request: Vec<bool>,
}

/// Controllers and simulated proxies.
pub struct ControllerCluster {
    /// The controllers.
    pub controllers: Vec<Core>,
    /// IP addresses of the controllers.
    pub ips: Vec<String>,
    /// Counters of each controller since the last [`ControllerCluster::reset`].
    pub stats: Vec<ControllerStats>,
    /// Simulated time in milliseconds.
    pub now: f64,
    /// The highest configuration index sent to a proxy.
    pub config_index: u64,
    /// Frames sent to the watched proxies: proxy, controller, frame.
    pub watched_frames: Vec<(usize, usize, Bytes)>,
    /// Number of watched proxies, the ones with the lowest indexes.
    pub watched_count: usize,
    proxies: Vec<SimulatedProxy>,
    peer_messages: VecDeque<(usize, usize, Bytes)>,
    /// Lease requests that confirm decreased leases: proxy, controller, request.
    confirmations: VecDeque<(usize, usize, LeaseRequest)>,
    pending_writes: Vec<VecDeque<u64>>,
    call_count: u64,
}

impl ControllerCluster {
    /// Starts controllers with empty state, connects them and runs 3 simulated seconds, enough to
    /// elect a leader.
    pub fn new(controller_count: usize) -> ControllerCluster {
        let ips: Vec<String> = (1..=controller_count)
            .map(|n| format!("10.0.0.{n}"))
            .collect();
        let mut cluster = ControllerCluster {
            controllers: Vec::new(),
            stats: vec![ControllerStats::default(); controller_count],
            now: 0.0,
            config_index: 0,
            watched_frames: Vec::new(),
            watched_count: 0,
            proxies: Vec::new(),
            peer_messages: VecDeque::new(),
            confirmations: VecDeque::new(),
            pending_writes: vec![VecDeque::new(); controller_count],
            call_count: 0,
            ips,
        };
        for n in 0..controller_count {
            let settings = synthetic::settings(&format!("core-{n}"), &cluster.ips[n], &cluster.ips);
            let mut out = Vec::new();
            cluster.controllers.push(Core::new(
                &settings,
                0.0,
                7 + n as u64,
                StoredState::default(),
                &mut out,
            ));
            cluster.apply_outputs(n, out);
        }
        for controller in 0..controller_count {
            for other in (0..controller_count).filter(|other| *other != controller) {
                let ip = cluster.ips[other].clone();
                cluster.drive(controller, "connect", |core, now, out| {
                    core.peer_connected(now, &ip, out)
                });
            }
        }
        cluster.run_until_idle();
        for _ in 0..30 {
            cluster.step(100.0);
        }
        cluster
    }

    /// Resets the counters.
    pub fn reset(&mut self) {
        self.stats
            .iter_mut()
            .for_each(|stats| *stats = ControllerStats::default());
    }

    /// Passes inputs of one kind to a controller and carries out its outputs.
    pub fn drive(
        &mut self,
        controller: usize,
        label: &'static str,
        step: impl FnOnce(&mut Core, f64, &mut Vec<Output>),
    ) {
        let mut out = Vec::new();
        let before = thread_cpu_seconds();
        step(&mut self.controllers[controller], self.now, &mut out);
        *self.stats[controller].cpu.entry(label).or_default() += thread_cpu_seconds() - before;
        self.apply_outputs(controller, out);
    }

    fn apply_outputs(&mut self, controller: usize, out: Vec<Output>) {
        for output in out {
            let stats = &mut self.stats[controller];
            match output {
                Output::Write(number, stored) => {
                    stats.disk.add(stored.encoded_len());
                    self.pending_writes[controller].push_back(number);
                }
                Output::SendToPeer(ip, bytes) => {
                    if let Some(to) = self.ips.iter().position(|known| *known == ip) {
                        stats
                            .to_peers
                            .entry(frame_kind(&bytes))
                            .or_default()
                            .add(bytes.len());
                        self.peer_messages.push_back((controller, to, bytes));
                    }
                }
                Output::SendToAllPeers(bytes) => {
                    for to in (0..self.ips.len()).filter(|to| *to != controller) {
                        stats
                            .to_peers
                            .entry(frame_kind(&bytes))
                            .or_default()
                            .add(bytes.len());
                        self.peer_messages
                            .push_back((controller, to, bytes.clone()));
                    }
                }
                Output::SendToProxy(conn, bytes) => {
                    let label = frame_kind(&bytes);
                    stats.to_proxies.entry(label).or_default().add(bytes.len());
                    self.deliver_to_proxy(
                        controller,
                        (conn % CONNECTION_STRIDE) as usize,
                        label,
                        bytes,
                    );
                }
                Output::Respond(_, response) => {
                    stats.responses.0 += 1;
                    stats.responses.1 += u64::from(matches!(response, CallResponse::Ok(_)));
                }
                Output::LeaseRequestsQueued => {
                    self.drive(controller, "reports", |core, now, out| {
                        while core.answer_lease_request(now, out) {}
                    })
                }
                Output::Log(line) | Output::Debug(line) => stats.log_lines.add(line.len()),
            }
        }
    }

    fn deliver_to_proxy(
        &mut self,
        controller: usize,
        proxy_index: usize,
        label: &'static str,
        bytes: Bytes,
    ) {
        if proxy_index < self.watched_count {
            self.watched_frames
                .push((proxy_index, controller, bytes.clone()));
        }
        let Some(proxy) = self.proxies.get_mut(proxy_index) else {
            return;
        };
        if label == "lent" {
            if let Ok(Some(Frame::LeaseGrant(grant))) =
                decode_frame(&mut BytesMut::from(bytes.as_ref()))
            {
                // Decreased leases are confirmed at once.
                if proxy.connected
                    && proxy
                        .lease_client
                        .handle_grant(self.now, &self.ips[controller], &grant)
                        .decreased
                {
                    let request = proxy.lease_client.next_request(
                        self.now,
                        &self.ips[controller],
                        Vec::new(),
                    );
                    self.confirmations
                        .push_back((proxy_index, controller, request));
                }
            }
        } else if label == "plans" && (self.config_index == 0 || proxy_index == 0) {
            if let Ok(Some(Frame::ConfigUpdate(update))) =
                decode_frame(&mut BytesMut::from(bytes.as_ref()))
            {
                self.config_index = self.config_index.max(update.index);
            }
        }
    }

    /// Completes writes and delivers messages until none is pending.
    pub fn run_until_idle(&mut self) {
        loop {
            for controller in 0..self.controllers.len() {
                if let Some(number) = self.pending_writes[controller].pop_back() {
                    self.pending_writes[controller].clear();
                    self.drive(controller, "disk", |core, now, out| {
                        core.persisted(now, number, out)
                    });
                }
            }
            if let Some((proxy_index, controller, request)) = self.confirmations.pop_front() {
                self.send_lease_request(proxy_index, controller, request);
                continue;
            }
            match self.peer_messages.pop_front() {
                Some((from, to, bytes)) => {
                    let ip = self.ips[from].clone();
                    let mut buffer = BytesMut::from(bytes.as_ref());
                    self.drive(to, "peers", |core, now, out| {
                        if let Ok(Some(frame)) = decode_frame(&mut buffer) {
                            core.receive_from_peer(now, &ip, frame, out);
                        }
                    });
                }
                None if self.pending_writes.iter().all(VecDeque::is_empty) => return,
                None => {}
            }
        }
    }

    /// Advances the time and ticks every controller once.
    pub fn step(&mut self, millis: f64) {
        self.now += millis;
        for controller in 0..self.controllers.len() {
            self.drive(controller, "tick", |core, now, out| core.tick(now, out));
        }
        self.run_until_idle();
    }

    /// Sends an operator's call to the controllers in turn until one, the leader, accepts it. Returns
    /// whether the call succeeded, and the leader.
    pub fn amend(&mut self, body: String) -> (bool, usize) {
        let body = Bytes::from(body);
        let mut controller = 0;
        for _ in 0..self.controllers.len() {
            let successes = self.stats[controller].responses.1;
            self.call_count += 1;
            let (number, body) = (self.call_count, body.clone());
            self.drive(controller, "amend", |core, now, out| {
                core.call(now, number, Call::Amend(body), out)
            });
            self.run_until_idle();
            if self.stats[controller].responses.1 > successes {
                return (true, controller);
            }
            controller = (controller + 1) % self.controllers.len();
        }
        (false, controller)
    }

    /// Sends heartbeats of backends to a controller.
    pub fn send_heartbeats(&mut self, controller: usize, heartbeats: Vec<(String, Bytes)>) {
        let first_call = self.call_count;
        self.call_count += heartbeats.len() as u64;
        self.drive(controller, "beats", |core, now, out| {
            for (n, (id, body)) in heartbeats.into_iter().enumerate() {
                core.call(now, first_call + n as u64, Call::Heartbeat(id, body), out);
            }
        });
    }

    /// Deregisters backends at a controller.
    pub fn deregister(&mut self, controller: usize, ids: Vec<String>) {
        let first_call = self.call_count;
        self.call_count += ids.len() as u64;
        self.drive(controller, "beats", |core, now, out| {
            for (n, id) in ids.into_iter().enumerate() {
                core.call(now, first_call + n as u64, Call::Deregister(id), out);
            }
        });
    }

    /// Connects a proxy that holds the configuration of this index to all controllers.
    pub fn connect_proxy(&mut self, proxy_index: usize, config_index: u64) {
        let controller_count = self.controllers.len();
        while self.proxies.len() <= proxy_index {
            let node = format!(
                "edge-zone-{}-{}",
                self.proxies.len() % 8,
                self.proxies.len()
            );
            let incarnation = 1000 + self.proxies.len() as u64;
            let conn = self.proxies.len() as u64;
            let lease_client = LeaseClient::new(incarnation);
            self.proxies.push(SimulatedProxy {
                node,
                incarnation,
                connected: false,
                conn,
                lease_client,
                first_request: vec![true; controller_count],
            });
        }
        let proxy = &mut self.proxies[proxy_index];
        proxy.connected = true;
        proxy.conn += CONNECTION_STRIDE;
        proxy.first_request.fill(true);
        self.ips
            .iter()
            .for_each(|ip| proxy.lease_client.connected(ip));
        let conn = proxy.conn;
        let hello = Hello {
            version: PROTOCOL_VERSION,
            ip: format!("10.1.{}.{}", proxy_index / 256, proxy_index % 256),
            node: proxy.node.clone(),
            incarnation: proxy.incarnation,
            is_controller: false,
            config_index,
            may_have_missed_updates: false,
        };
        for controller in 0..controller_count {
            self.drive(controller, "connect", |core, now, out| {
                core.proxy_connected(now, conn, &hello, out)
            });
        }
    }

    /// Closes all connections of a proxy.
    pub fn disconnect_proxy(&mut self, proxy_index: usize) {
        let proxy = &mut self.proxies[proxy_index];
        proxy.connected = false;
        let conn = proxy.conn;
        for controller in 0..self.controllers.len() {
            self.drive(controller, "connect", |core, _, out| {
                core.proxy_disconnected(conn, out)
            });
        }
    }

    /// Returns the next lease request of a proxy to a controller, with demand for `demand_count`
    /// tenants; `None` while the proxy is disconnected.
    fn next_lease_request(
        &mut self,
        proxy_index: usize,
        controller: usize,
        demand_count: usize,
        tenants: usize,
    ) -> Option<LeaseRequest> {
        let proxy = self
            .proxies
            .get_mut(proxy_index)
            .filter(|proxy| proxy.connected)?;
        let is_first = std::mem::take(&mut proxy.first_request[controller]);
        let demand = |n: usize| Demand {
            tenant: synthetic::tenant_name((proxy_index * 7 + n) % tenants.max(1)),
            milli_rps: 2000,
            starved: false,
        };
        let demand = if is_first {
            Vec::new()
        } else {
            (0..demand_count.min(tenants)).map(demand).collect()
        };
        Some(
            proxy
                .lease_client
                .next_request(self.now, &self.ips[controller], demand),
        )
    }

    /// Sends a lease request of each of these proxies to every controller.
    pub fn send_lease_requests(
        &mut self,
        indexes: impl Iterator<Item = usize>,
        demand_count: usize,
        tenants: usize,
    ) {
        for proxy_index in indexes {
            for controller in 0..self.controllers.len() {
                let Some(request) =
                    self.next_lease_request(proxy_index, controller, demand_count, tenants)
                else {
                    continue;
                };
                self.send_lease_request(proxy_index, controller, request);
            }
        }
    }

    /// Sends a lease request of a proxy to a controller.
    pub fn send_lease_request(
        &mut self,
        proxy_index: usize,
        controller: usize,
        request: LeaseRequest,
    ) {
        let Some(conn) = self.proxies.get(proxy_index).map(|proxy| proxy.conn) else {
            return;
        };
        self.drive(controller, "reports", |core, now, out| {
            core.receive_from_proxy(now, conn, Frame::LeaseRequest(request), out)
        });
    }
}
