//! What a controller decides, without I/O: [`Core`] takes inputs with their time and returns [`Output`]s.
//!
//! Design: `docs/design/control.md` and the `control-*.md` beside it. One module a concern:
//!
//! - `replication`: drives raft, applies what is committed, compacts the log;
//! - `operator_calls`, `pending_calls`, `uncommitted_changes`: the operator's calls;
//! - `replicated_config`, `config_distribution`: the committed configuration and the proxies that follow it;
//! - `instances`, `heartbeat`: heartbeats and deregistrations of backends;
//! - `lease_requests`, `leasing`: lease requests of proxies, which wait for one another, and what they are granted;
//! - `token_requests`: single tokens of quotas that are too small to be leased to all proxies;
//! - `quorum_contact`: whether this controller is cut off;
//! - `proxies`, `writes`: connections and writes that are under way;
//! - `event`: what is logged.

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

/// Milliseconds on the steady clock.
pub type Millis = f64;

/// How often [`Core::tick`] wants to be called.
pub const TICK: Millis = 100.0;
/// How often controllers send one another the heartbeats that they have received.
const HEARTBEAT_BROADCAST_INTERVAL: Millis = 500.0;
/// Longest time that a call waits for a leader: callers move on after a second.
const LEADER_TIMEOUT: Millis = 700.0;
/// Longest time that a call waits for a majority.
const QUORUM_TIMEOUT: Millis = 900.0;
/// Heartbeats that a backend may miss before it is declared lost.
const MAX_MISSED_HEARTBEATS: f64 = 4.0;
/// A gap between ticks that shows that this process was not running.
const MIN_PROCESS_PAUSE: Millis = 1000.0;

/// What a caller asks.
#[derive(Clone, Debug)]
pub enum Call {
    /// `instances.beat`: heartbeat of the backend with this id, and its body.
    Heartbeat(String, Bytes),
    /// `instances.leave`: the backend with this id ends.
    Deregister(String),
    /// `config.amend`: the operator changes items.
    Amend(Bytes),
    /// `config.read`: the operator reads the configuration.
    ReadConfig,
}

/// What a caller is answered.
#[derive(Clone, Debug, PartialEq)]
pub enum CallResponse {
    /// 200 with a JSON body.
    Ok(String),
    /// A 4xx with the reason: nothing of the call is in force.
    Rejected(u16, String),
    /// 307 to the controller at this address.
    Redirect(String),
    /// 503: the outcome is unknown here, another controller may know it.
    Unavailable,
}

impl CallResponse {
    /// A 200 without content.
    fn empty() -> CallResponse {
        CallResponse::Ok("{}".to_owned())
    }

    fn rejected(error: &ConfigError) -> CallResponse {
        CallResponse::Rejected(error.status(), error.to_string())
    }
}

/// What the driver is to do, in this order.
#[derive(Debug)]
pub enum Output {
    /// Write this record; its number is passed to [`Core::persisted`] once it is on disk.
    Write(u64, Box<crate::store::StoreRecord>),
    /// Send a frame to the controller at this address.
    SendToPeer(String, Bytes),
    /// Send a frame to every other controller.
    SendToAllPeers(Bytes),
    /// Send a frame on the proxy's connection of this number.
    SendToProxy(u64, Bytes),
    /// Answer the call of this number.
    Respond(u64, CallResponse),
    /// There are lease requests to be answered: [`Core::answer_lease_request`] is to be called until there are none. Inputs that cannot
    /// wait go first.
    LeaseRequestsQueued,
    /// A line for the log.
    Log(String),
    /// A line for the log at its debug level.
    Debug(String),
}

/// The state machine of one controller.
pub struct Core {
    /// This controller's address, which is its name among the voters.
    ip: String,
    started_at: Millis,
    last_tick: Millis,
    last_heartbeat_broadcast: Millis,
    is_stopping: bool,
    /// A backend that is silent for longer is declared lost.
    instance_timeout: Millis,
    /// Machines that may fail at once: the number of slots that quotas are cut into at the first start follows from it.
    max_machine_losses: u32,
    /// Entries after which the log is compacted even if raft does not ask for it: for tests.
    compact_after: Option<usize>,
    raft: Raft,
    /// The leader that was logged last.
    known_leader: Option<String>,
    contact: QuorumContact,
    writes: PendingWrites,
    config: ReplicatedConfig,
    uncommitted: UncommittedChanges,
    calls: PendingCalls,
    registry: Registry,
    /// Sequence numbers of the heartbeats that this controller received since it last sent them to its peers.
    unsent_heartbeats: BTreeMap<String, u64>,
    deregistrations: Deregistrations,
    proxies: BTreeMap<u64, ProxyConnection>,
    /// The latest connection of each proxy, by its name.
    connections_by_node: BTreeMap<String, u64>,
    leasing: Leasing,
    bounds: Bounds,
}

impl Core {
    /// A controller that found `stored` on its disk. `seed` is its only source of randomness.
    pub fn new(
        settings: &Settings,
        now: Millis,
        seed: u64,
        stored: StoredState,
        out: &mut Vec<Output>,
    ) -> Core {
        let ip = settings.ip.to_string();
        let snapshot = stored.raft.snapshot.clone();
        // The first disk of all has leased nothing; another that came empty may have.
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
            compact_after: None,
            raft,
            known_leader: None,
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
        for record in stored.instances.into_values() {
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

    /// Records of proxies that lease requests have made this controller look at since its start: what its work for leases grows with.
    pub fn visited_lease_records(&self) -> u64 {
        self.leasing.server().visited_clients()
    }

    /// Addresses of the controllers that vote.
    pub fn voters(&self) -> &BTreeSet<String> {
        self.raft.voters()
    }

    /// Whether this controller leads the others.
    pub fn is_leader(&self) -> bool {
        self.raft.is_leader()
    }

    /// Compacts the log after this many entries, where the usual number is too many for a test.
    pub fn set_compaction_threshold(&mut self, entries: usize) {
        self.compact_after = Some(entries);
    }

    /// Time passes; to be called every [`TICK`].
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
        self.complete_proxies_instances(now, out);
    }

    /// All writes up to this number are on disk.
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

    /// There is a new connection to a peer: what went to it before may be lost, so all instances are sent again.
    pub fn peer_connected(&mut self, now: Millis, ip: &str, out: &mut Vec<Output>) {
        self.contact.peer_connected(ip);
        self.send_all_instances_to_peer(now, ip, out);
    }

    /// The connection to a peer has ended. What it may have missed is sent on the next one; log entries are sent again until they
    /// are acknowledged.
    pub fn peer_disconnected(&mut self, ip: &str) {
        self.contact.peer_disconnected(ip);
    }

    /// A peer has sent a frame.
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

    /// A caller asks something; the answer bears this number.
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

    /// The settings file has changed. The interval of heartbeats is taken over; all else takes a restart.
    pub fn reload(&mut self, settings: &Settings) {
        self.instance_timeout = instance_timeout(settings);
    }

    /// A planned stop begins: another controller is to lead, and nothing committed is to rest on this one alone.
    pub fn shut_down(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.is_stopping = true;
        self.drive_raft(now, out, |raft, ready| raft.shut_down(now, ready));
        for (pending, _) in self.calls.take_awaiting_leader() {
            pending.respond(CallResponse::Unavailable, out);
        }
    }

    /// Whether a planned stop may end: nothing that was committed rests on this controller alone.
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
