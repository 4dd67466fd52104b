//! The fake etcd of a run: one member for each gateway, each with a separate prefix, since a
//! backend has a separate address for each gateway. Records what each gateway has learned from its
//! member.

use crate::script::MemberAct;
use crate::settings::prefix;
use maplefall_etcd_wire::{
    prefix_end, request_op, DeleteRangeRequest, Event, PutRequest, RangeRequest, RequestOp,
    TxnRequest,
};
use maplefall_event_trace::{EventKind, Health, Millis, Recorder};
use maplefall_test_servers::agent;
use maplefall_test_servers::etcd::store::Store;
use maplefall_test_servers::etcd::{Etcd, Known, Member};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Number of this source in the record; the agent is 0.
pub const SOURCE: u32 = 1;

/// A committed state of a backend.
#[derive(Clone, Copy, Debug)]
struct CommittedState {
    revision: i64,
    node: u32,
    health: Health,
    born: Option<Millis>,
}

/// All committed states, in order.
type Log = Arc<Mutex<Vec<CommittedState>>>;

/// The fake etcd of a run.
pub struct EtcdCluster {
    etcd: Etcd,
    members: Vec<Member>,
    log: Log,
    recorder: Recorder,
    unix_start: Millis,
    noise: u64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn key(gateway: usize, node: u32) -> Vec<u8> {
    format!("{}/members/{}", prefix(gateway), agent::host(node)).into_bytes()
}

/// Returns a backend's value in etcd (`docs/operators/membership.md`).
pub fn backend_value(address: SocketAddr, draining: bool, started_ms: f64) -> Value {
    let state_name = if draining { "draining" } else { "up" };
    json!({"address": address.to_string(), "zone": "z-1", "state": state_name, "started_ms": started_ms})
}

fn put(key: Vec<u8>, value: &Value) -> RequestOp {
    let put = PutRequest {
        key,
        value: value.to_string().into_bytes(),
        ..PutRequest::default()
    };
    RequestOp {
        request: Some(request_op::Request::Put(put)),
    }
}

impl EtcdCluster {
    /// Starts an etcd that holds the backends `0..backends`, each with state `up` and no start
    /// time, at the address that `address` returns for a gateway and a backend.
    ///
    /// # Errors
    /// Returns the I/O error of a listener.
    pub fn start(
        listeners: Vec<TcpListener>,
        backends: u32,
        address: impl Fn(usize, u32) -> SocketAddr,
        recorder: Recorder,
        unix_start: Millis,
    ) -> io::Result<EtcdCluster> {
        let log = Log::default();
        let updates = UpdateRecorder {
            log: log.clone(),
            recorder: recorder.clone(),
            unix_start,
            removed: Mutex::default(),
        };
        let etcd = Etcd::new(Store::new(0x6d61_706c), move |known| updates.observe(known));
        let mut cluster = EtcdCluster {
            etcd,
            members: Vec::new(),
            log,
            recorder,
            unix_start,
            noise: 0,
        };
        let gateways = listeners.len();
        for node in 0..backends {
            cluster.write(gateways, node, Health::Up, None, |gateway| {
                address(gateway, node)
            });
        }
        for (gateway, listener) in listeners.into_iter().enumerate() {
            cluster
                .members
                .push(cluster.etcd.member(gateway as u64, listener)?);
        }
        Ok(cluster)
    }

    /// Commits a backend's state for all gateways in one revision.
    pub fn write(
        &mut self,
        gateways: usize,
        node: u32,
        health: Health,
        born: Option<Millis>,
        address: impl Fn(usize) -> SocketAddr,
    ) {
        let mut success = Vec::new();
        for gateway in 0..gateways {
            if health == Health::Removed {
                let delete = DeleteRangeRequest {
                    key: key(gateway, node),
                    ..DeleteRangeRequest::default()
                };
                success.push(RequestOp {
                    request: Some(request_op::Request::DeleteRange(delete)),
                });
                continue;
            }
            let started_ms = born.map_or(0.0, |born| self.unix_start + born);
            let value = backend_value(address(gateway), health == Health::Draining, started_ms);
            success.push(put(key(gateway, node), &value));
        }
        let txn = TxnRequest {
            success,
            ..TxnRequest::default()
        };
        let log = &self.log;
        let recorder = &self.recorder;
        self.etcd.with(|store| {
            let before = store.revision();
            // Puts without a lease and removals are never refused.
            let _ = store.txn(&txn, before);
            recorder.record(EventKind::Committed { node, health });
            lock(log).push(CommittedState {
                revision: store.revision(),
                node,
                health,
                born,
            });
        });
    }

    /// Rewrites the value of one backend for one gateway without a change of its state.
    pub fn noise(&mut self, random: u32) {
        self.noise += 1;
        let all = RangeRequest {
            key: b"/door-".to_vec(),
            range_end: prefix_end(b"/door-"),
            ..Default::default()
        };
        self.etcd.with(|store| {
            let entries = store.range(&all, store.revision()).unwrap_or_default().kvs;
            let Some(kv) = entries.get(random as usize % entries.len().max(1)) else {
                return;
            };
            let Ok(mut value) = serde_json::from_slice::<Value>(&kv.value) else {
                return;
            };
            value["noise"] = json!(self.noise);
            let put = PutRequest {
                key: kv.key.clone(),
                value: value.to_string().into_bytes(),
                ..PutRequest::default()
            };
            // A put without a lease is never refused.
            let _ = store.put(&put);
        });
    }

    /// Compacts the history up to its last revision.
    pub fn compact(&self) {
        // Refused if nothing has been written since the last compaction.
        let _ = self.etcd.with(|store| store.compact(store.revision()));
    }

    /// Applies an action to a gateway's member.
    pub fn act(&self, gateway: usize, act: MemberAct) {
        let Some(member) = self.members.get(gateway) else {
            return;
        };
        match act {
            MemberAct::Cut(cut) => member.cut(cut),
            MemberAct::Down(down) => member.down(down),
            MemberAct::Silent(silent) => member.silent(silent),
        }
    }
}

/// Records what gateways learn from etcd.
struct UpdateRecorder {
    log: Log,
    recorder: Recorder,
    unix_start: Millis,
    /// Backends whose removal a gateway has learned, so that each removal is recorded once.
    removed: Mutex<BTreeSet<(u64, u32)>>,
}

impl UpdateRecorder {
    fn observe(&self, known: &Known) {
        match known {
            Known::Written { member, events } => {
                events
                    .iter()
                    .filter_map(|event| self.state(event))
                    .for_each(|state| self.record_update(*member, state));
            }
            Known::Claimed { member, revision } => {
                let mut last: BTreeMap<u32, CommittedState> = BTreeMap::new();
                for state in lock(&self.log)
                    .iter()
                    .filter(|state| state.revision <= *revision)
                {
                    last.insert(state.node, *state);
                }
                last.into_values()
                    .for_each(|state| self.record_update(*member, state));
            }
        }
    }

    /// Returns the state of a backend in an event; `None` for a rewrite without a change of state.
    fn state(&self, event: &Event) -> Option<CommittedState> {
        let kv = event.kv.as_ref()?;
        let node = agent::number(std::str::from_utf8(&kv.key).ok()?.rsplit('/').next()?)?;
        let revision = kv.mod_revision;
        if event.kind == Event::DELETE {
            return Some(CommittedState {
                revision,
                node,
                health: Health::Removed,
                born: None,
            });
        }
        let value: Value = serde_json::from_slice(&kv.value).ok()?;
        if value.get("noise").is_some() {
            return None;
        }
        let health = if value["state"] == "draining" {
            Health::Draining
        } else {
            Health::Up
        };
        let started = value["started_ms"]
            .as_f64()
            .filter(|started| *started > 0.0);
        Some(CommittedState {
            revision,
            node,
            health,
            born: started.map(|started| started - self.unix_start),
        })
    }

    fn record_update(&self, member: u64, state: CommittedState) {
        let CommittedState {
            node, health, born, ..
        } = state;
        if health == Health::Removed && !lock(&self.removed).insert((member, node)) {
            return;
        }
        self.recorder.record(EventKind::NodeUpdate {
            proxy: member as u32,
            node,
            health,
            started_at: born,
            source: SOURCE,
            version: 0,
        });
    }
}
