//! The decision logic of a controller, without I/O: [`Core`] takes inputs, each with the current
//! time, and returns [`Output`]s.
//!
//! Design: `docs/design/control.md` and the `control-*.md` files beside it. Modules:
//!
//! - `replication`: drives Raft, applies committed entries and compacts the log;
//! - `operator_calls`, `pending_calls`, `uncommitted_changes`: the operator's calls;
//! - `replicated_config`, `config_distribution`: the committed configuration and its distribution
//!   to proxies;
//! - `instances`, `heartbeat`: heartbeats and deregistrations of backends;
//! - `lease_requests`, `leasing`: queued lease requests of proxies, and the leases granted to them;
//! - `token_requests`: requests for single tokens of quotas that are too small to be leased to all
//!   proxies;
//! - `quorum_contact`: whether this controller is in contact with a quorum;
//! - `proxies`, `writes`: connections of proxies, and writes that are not yet persisted;
//! - `event`: log events.

mod config_distribution;
mod event;
mod heartbeat;
mod instances;
mod lease_requests;
mod leasing;
mod operator_calls;
mod pending_calls;
mod proxies;
mod quorum_contact;
mod replicated_config;
mod replicated_state;
mod replication;
mod token_requests;
mod uncommitted_changes;
mod writes;

pub use lease_requests::{MAX_LEASE_CREDIT, MAX_LEASE_LOAD};
pub use replicated_state::ReplicatedState;

use crate::store::StoredState;
use bytes::Bytes;
use event::Event;
use heartbeat::parse_heartbeat;
use instances::Deregistrations;
use leasing::{LeaseHolders, Leasing};
use maplefall_control_messages::Frame;
use maplefall_gateway_config::ConfigError;
use maplefall_node_settings::{Bounds, Settings};
use maplefall_quota_lease::{LeaseServer, OwnedSlots, Slots};
use maplefall_raft::{Config, Raft, Ready};
use maplefall_service_registry::Registry;
use pending_calls::PendingCalls;
use proxies::ProxyConnection;
use quorum_contact::QuorumContact;
use replicated_config::ReplicatedConfig;
use std::collections::{BTreeMap, BTreeSet};
use uncommitted_changes::UncommittedChanges;
use writes::{PendingWrites, WritePurpose};

/// Milliseconds on the monotonic clock.
pub type Millis = f64;

/// The interval at which the driver calls [`Core::tick`].
pub const TICK: Millis = 100.0;
/// The interval at which a controller sends the heartbeats that it received from backends to its
/// peers.
const HEARTBEAT_BROADCAST_INTERVAL: Millis = 500.0;
/// Maximum time that a call waits for a leader; clients stop waiting for the response after one
/// second.
const LEADER_TIMEOUT: Millis = 700.0;
/// Maximum time that a call waits for a majority.
const QUORUM_TIMEOUT: Millis = 900.0;
/// Number of heartbeats that a backend may miss before it is declared lost.
const MAX_MISSED_HEARTBEATS: f64 = 4.0;
/// A gap between two ticks longer than this shows that the process was suspended.
const MIN_PROCESS_PAUSE: Millis = 1000.0;

/// A call of a backend or of the operator.
#[derive(Clone, Debug)]
pub enum Call {
    /// `instances.beat`: a heartbeat of the backend with this id, with the body of the call.
    Heartbeat(String, Bytes),
    /// `instances.leave`: the backend with this id is deregistered.
    Deregister(String),
    /// `config.amend`: the operator changes items of the configuration.
    Amend(Bytes),
    /// `config.read`: the operator reads the configuration.
    ReadConfig,
}

/// The response to a [`Call`].
#[derive(Clone, Debug, PartialEq)]
pub enum CallResponse {
    /// Status 200 with a JSON body.
    Ok(String),
    /// A 4xx status with the reason; no part of the call has been applied.
    Rejected(u16, String),
    /// Status 307: a redirect to the controller at this address.
    Redirect(String),
    /// Status 503: the outcome is unknown to this controller; another controller may know it.
    Unavailable,
}

impl CallResponse {
    /// A 200 response with an empty JSON object.
    fn empty() -> CallResponse {
        CallResponse::Ok("{}".to_owned())
    }

    fn rejected(error: &ConfigError) -> CallResponse {
        CallResponse::Rejected(error.status(), error.to_string())
    }
}

/// An action for the driver. Outputs are carried out in the order in which they were returned.
#[derive(Debug)]
pub enum Output {
    /// Write this record to disk. Once it is persisted, the driver passes its number to
    /// [`Core::persisted`].
    Write(u64, Box<crate::store::StoreRecord>),
    /// Send a frame to the controller at this address.
    SendToPeer(String, Bytes),
    /// Send a frame to every other controller.
    SendToAllPeers(Bytes),
    /// Send a frame on the proxy connection with this number.
    SendToProxy(u64, Bytes),
    /// Respond to the call with this number.
    Respond(u64, CallResponse),
    /// Lease requests have been queued: the driver calls [`Core::answer_lease_request`] until none
    /// is left. Inputs that cannot wait take precedence.
    LeaseRequestsQueued,
    /// Write a log line.
    Log(String),
    /// Write a log line at debug level.
    Debug(String),
}

/// The state machine of one controller.
pub struct Core {
    /// This controller's address, which is also its name among the voters.
    ip: String,
    started_at: Millis,
    last_tick: Millis,
    last_heartbeat_broadcast: Millis,
    is_stopping: bool,
    /// A backend that has sent no heartbeat for longer than this is declared lost.
    instance_timeout: Millis,
    /// Number of machines that may fail at once. At the first start of the cluster, the number of
    /// slots into which every quota is divided follows from it.
    max_machine_losses: u32,
    /// Number of entries after which the log is compacted even if Raft does not request it; set by
    /// tests.
    compaction_threshold: Option<usize>,
    raft: Raft,
    /// The leader in the last `leader_changed` log line.
    logged_leader: Option<String>,
    contact: QuorumContact,
    writes: PendingWrites,
    config: ReplicatedConfig,
    uncommitted: UncommittedChanges,
    calls: PendingCalls,
    registry: Registry,
    /// Sequence numbers of the heartbeats received since the last broadcast to the peers, by
    /// instance id.
    unsent_heartbeats: BTreeMap<String, u64>,
    deregistrations: Deregistrations,
    proxies: BTreeMap<u64, ProxyConnection>,
    /// The latest connection of each proxy, by the proxy's name.
    connections_by_node: BTreeMap<String, u64>,
    leasing: Leasing,
    bounds: Bounds,
}

impl Core {
    /// Creates a controller from the state `stored` on its disk. `seed` is its only source of
    /// randomness.
    pub fn new(
        settings: &Settings,
        now: Millis,
        seed: u64,
        stored: StoredState,
        out: &mut Vec<Output>,
    ) -> Core {
        let ip = settings.ip.to_string();
        let snapshot = stored.raft.snapshot.clone();
        // At the first start of the cluster no proxy holds a lease. A disk that is empty for
        // another reason may belong to a controller that has granted leases, whose holders are
        // unknown.
        let is_first_start = stored.raft.is_empty() && settings.bootstrap;
        let holders_complete = stored.leased_to_complete || is_first_start;
        let known_holders = holders_complete.then(|| stored.leased_to.clone());
        let mut ready = Ready::default();
        let raft = new_raft(settings, &ip, now, seed, stored.raft, &mut ready);
        let server = LeaseServer::new(now, (seed as u32).max(1), 0, known_holders);
        let (slots, _) = OwnedSlots::new(now, &ip, Slots::default(), stored.waited_slots);
        let holders = LeaseHolders::new(now, stored.leased_to, holders_complete);
        let mut core = Core {
            started_at: now,
            last_tick: now,
            last_heartbeat_broadcast: now,
            is_stopping: false,
            instance_timeout: instance_timeout(settings),
            max_machine_losses: settings.tolerance.machine_losses,
            compaction_threshold: None,
            raft,
            logged_leader: None,
            contact: QuorumContact::new(&ip, now),
            writes: PendingWrites::new(stored.number),
            config: ReplicatedConfig::default(),
            uncommitted: UncommittedChanges::default(),
            calls: PendingCalls::default(),
            registry: Registry::default(),
            unsent_heartbeats: BTreeMap::new(),
            deregistrations: Deregistrations::new(seed & 0xffff_ffff),
            proxies: BTreeMap::new(),
            connections_by_node: BTreeMap::new(),
            leasing: Leasing::new(slots, server, holders),
            bounds: settings.bounds,
            ip,
        };
        let restored = Event::InstancesRestored {
            live: stored.instances.len(),
            tombstones: stored.tombstones.len(),
        };
        out.push(restored.into());
        let instances = stored.instances.into_values();
        for record in instances.chain(stored.tombstones) {
            core.registry.apply(now, record);
        }
        if is_first_start {
            core.record_complete_lease_holders(out);
            let first = core.raft.persistent_state().snapshot.clone();
            core.install_snapshot(now, &first, out);
        } else if !snapshot.members.is_empty() {
            core.install_snapshot(now, &snapshot, out);
        }
        core.process_ready(now, ready, out);
        core
    }

    /// Returns the number of proxy records visited by lease requests since the start, a measure of
    /// the work done for leases.
    pub fn visited_lease_records(&self) -> u64 {
        self.leasing.server().visited_clients()
    }

    /// Returns the addresses of the voting controllers.
    pub fn voters(&self) -> &BTreeSet<String> {
        self.raft.voters()
    }

    /// Returns whether this controller is the Raft leader.
    pub fn is_leader(&self) -> bool {
        self.raft.is_leader()
    }

    /// Sets the number of entries after which the log is compacted, for tests for which the default
    /// is too high.
    pub fn set_compaction_threshold(&mut self, entries: usize) {
        self.compaction_threshold = Some(entries);
    }

    /// Advances the time; the driver calls this every [`TICK`].
    pub fn tick(&mut self, now: Millis, out: &mut Vec<Output>) {
        let duration = now - self.last_tick;
        if duration > MIN_PROCESS_PAUSE {
            out.push(Event::ProcessPaused { duration }.into());
            self.lose_quorum_contact(now, out);
        }
        self.last_tick = now;
        self.drive_raft(now, out, |raft, ready| raft.tick(now, ready));
        self.update_quorum_contact(now, out);
        self.expire_calls(now, out);
        self.tick_leasing(now, out);
        if now - self.last_heartbeat_broadcast < HEARTBEAT_BROADCAST_INTERVAL {
            return;
        }
        self.last_heartbeat_broadcast = now;
        self.broadcast_heartbeats(out);
        self.expire_instances(now, out);
        self.send_complete_instance_lists(now, out);
    }

    /// Handles the notification that all writes up to this number are persisted.
    pub fn persisted(&mut self, now: Millis, number: u64, out: &mut Vec<Output>) {
        while let Some(purpose) = self.writes.pop_persisted(number) {
            match purpose {
                WritePurpose::Background => {}
                WritePurpose::Raft(number) => {
                    self.drive_raft(now, out, |raft, ready| raft.persisted(now, number, ready));
                }
                WritePurpose::LeaseHolder(node) => self.lease_holder_persisted(&node, out),
                WritePurpose::Deregistration(ack_number) => {
                    self.deregistration_persisted(ack_number, out);
                }
                WritePurpose::PeerInstances { peer, ack_number } => {
                    self.peer_instances_persisted(&peer, ack_number, out);
                }
            }
        }
    }

    /// Handles a new connection to a peer. Frames sent on an earlier connection may be lost, so all
    /// instances are sent again.
    pub fn peer_connected(&mut self, now: Millis, ip: &str, out: &mut Vec<Output>) {
        self.contact.peer_connected(ip);
        self.send_all_instances_to_peer(now, ip, out);
    }

    /// Handles the end of the connection to a peer. Instances that the peer may have missed are
    /// sent on its next connection; Raft resends log entries until they are acknowledged.
    pub fn peer_disconnected(&mut self, ip: &str) {
        self.contact.peer_disconnected(ip);
    }

    /// Handles a frame from a peer.
    pub fn receive_from_peer(
        &mut self,
        now: Millis,
        ip: &str,
        frame: Frame,
        out: &mut Vec<Output>,
    ) {
        match frame {
            Frame::Raft(message) => {
                if self.raft.voters().contains(ip) {
                    self.contact.raft_message_from(now, ip);
                }
                self.drive_raft(now, out, |raft, ready| raft.step(now, ip, message, ready));
            }
            Frame::InstanceUpdates(updates) => self.receive_instances(now, ip, updates, out),
            Frame::InstancesPersisted(ack_number) => self.peer_persisted(ip, ack_number, out),
            Frame::Heartbeats(heartbeats) => {
                for heartbeat in heartbeats.heartbeats {
                    self.registry.refresh(now, &heartbeat.id, heartbeat.seq);
                }
            }
            _ => {}
        }
    }

    /// Handles a call. The response is returned as [`Output::Respond`] with this number.
    pub fn call(&mut self, now: Millis, number: u64, call: Call, out: &mut Vec<Output>) {
        match call {
            Call::Heartbeat(id, body) => match parse_heartbeat(&id, &body) {
                Ok(record) => self.heartbeat(now, number, record, out),
                Err(field) => {
                    let reason = format!("step=read field={field} backend={id}");
                    out.push(Event::BadHeartbeat { reason: &reason }.into());
                    out.push(Output::Respond(number, CallResponse::Rejected(400, reason)));
                }
            },
            Call::Deregister(id) => self.deregister(now, number, &id, out),
            Call::Amend(body) => self.amend(now, number, body, out),
            Call::ReadConfig => self.read_config(now, number, out),
        }
    }

    /// Applies changed settings. Only the heartbeat interval takes effect; all other settings
    /// require a restart.
    pub fn reload(&mut self, settings: &Settings) {
        self.instance_timeout = instance_timeout(settings);
    }

    /// Begins a graceful shutdown: leadership is transferred, and committed entries are replicated
    /// so that none depends on this controller alone.
    pub fn shut_down(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.is_stopping = true;
        self.drive_raft(now, out, |raft, ready| raft.shut_down(now, ready));
        for (pending, _) in self.calls.take_awaiting_leader() {
            pending.respond(CallResponse::Unavailable, out);
        }
    }

    /// Returns whether the graceful shutdown may end: no committed entry depends on this controller
    /// alone.
    pub fn may_stop(&self, now: Millis) -> bool {
        self.raft.may_stop(now)
    }
}

fn instance_timeout(settings: &Settings) -> Millis {
    MAX_MISSED_HEARTBEATS * settings.heartbeat_s * 1000.0
}

fn new_raft(
    settings: &Settings,
    ip: &str,
    now: Millis,
    seed: u64,
    stored: maplefall_raft::PersistentState,
    ready: &mut Ready,
) -> Raft {
    let mut initial_members: Vec<String> = settings
        .seeds
        .iter()
        .map(|seed| seed.ip().to_string())
        .collect();
    if initial_members.is_empty() {
        initial_members.push(ip.to_owned());
    }
    let tolerance = &settings.tolerance;
    let config = Config {
        initial_members: settings.bootstrap.then_some(initial_members.as_slice()),
        voter: settings.quorum_member,
        max_failures: tolerance.machine_losses as usize,
        interchangeable: tolerance.zones == 0 && tolerance.region_losses == 0,
        ..Config::default()
    };
    Raft::new(ip, now, seed, stored, &config, ready)
}
