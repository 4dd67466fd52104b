//! The played etcd of a rehearsal: one member for each front door, under a prefix of its own, since nodes have another
//! address for each; and what each front door knows by it, for the record.

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

/// Source of the list in the record: the agent is 0.
pub const SOURCE: u32 = 1;

/// A node's state as it was committed.
#[derive(Clone, Copy, Debug)]
struct Word {
    revision: i64,
    node: u32,
    health: Health,
    born: Option<Millis>,
}

/// All that was committed, in order.
type Log = Arc<Mutex<Vec<Word>>>;

/// The etcd of a rehearsal.
pub struct EtcdWorld {
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

fn key(door: usize, node: u32) -> Vec<u8> {
    format!("{}/members/{}", prefix(door), agent::host(node)).into_bytes()
}

/// What a node's value says (`docs/operators/membership.md`).
pub fn document(address: SocketAddr, draining: bool, started_ms: f64) -> Value {
    let state = if draining { "draining" } else { "up" };
    json!({"address": address.to_string(), "zone": "z-1", "state": state, "started_ms": started_ms})
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

impl EtcdWorld {
    /// An etcd that holds nodes `0..nodes`, each up since long ago at the address that `address` gives for a front door.
    ///
    /// # Errors
    /// What the system says of the listeners.
    pub fn start(
        listeners: Vec<TcpListener>,
        nodes: u32,
        address: impl Fn(usize, u32) -> SocketAddr,
        recorder: Recorder,
        unix_start: Millis,
    ) -> io::Result<EtcdWorld> {
        let log = Log::default();
        let seen = Seen {
            log: log.clone(),
            recorder: recorder.clone(),
            unix_start,
            gone: Mutex::default(),
        };
        let etcd = Etcd::new(Store::new(0x6d61_706c), move |known| seen.take(known));
        let mut world = EtcdWorld {
            etcd,
            members: Vec::new(),
            log,
            recorder,
            unix_start,
            noise: 0,
        };
        let doors = listeners.len();
        for node in 0..nodes {
            world.write(doors, node, Health::Up, None, |door| address(door, node));
        }
        for (door, listener) in listeners.into_iter().enumerate() {
            world
                .members
                .push(world.etcd.member(door as u64, listener)?);
        }
        Ok(world)
    }

    /// Commits a node's state for all front doors at one revision.
    pub fn write(
        &mut self,
        doors: usize,
        node: u32,
        health: Health,
        born: Option<Millis>,
        address: impl Fn(usize) -> SocketAddr,
    ) {
        let mut success = Vec::new();
        for door in 0..doors {
            if health == Health::Removed {
                let delete = DeleteRangeRequest {
                    key: key(door, node),
                    ..DeleteRangeRequest::default()
                };
                success.push(RequestOp {
                    request: Some(request_op::Request::DeleteRange(delete)),
                });
                continue;
            }
            let started_ms = born.map_or(0.0, |born| self.unix_start + born);
            let value = document(address(door), health == Health::Draining, started_ms);
            success.push(put(key(door, node), &value));
        }
        let txn = TxnRequest {
            success,
            ..TxnRequest::default()
        };
        let log = &self.log;
        let recorder = &self.recorder;
        self.etcd.with(|store| {
            let before = store.revision();
            // Puts on no lease and removals are never refused.
            let _ = store.txn(&txn, before);
            recorder.record(EventKind::Committed { node, health });
            lock(log).push(Word {
                revision: store.revision(),
                node,
                health,
                born,
            });
        });
    }

    /// Writes the value of one node for one front door anew, with nothing changed that means anything.
    pub fn noise(&mut self, lot: u32) {
        self.noise += 1;
        let all = RangeRequest {
            key: b"/door-".to_vec(),
            range_end: prefix_end(b"/door-"),
            ..Default::default()
        };
        self.etcd.with(|store| {
            let there = store.range(&all, store.revision()).unwrap_or_default().kvs;
            let Some(kv) = there.get(lot as usize % there.len().max(1)) else {
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
            // A put on no lease is never refused.
            let _ = store.put(&put);
        });
    }

    /// Compacts the history up to its last revision.
    pub fn compact(&self) {
        // Refused where nothing has been written since the last time.
        let _ = self.etcd.with(|store| store.compact(store.revision()));
    }

    /// Does something to a front door's member.
    pub fn act(&self, door: usize, act: MemberAct) {
        let Some(member) = self.members.get(door) else {
            return;
        };
        match act {
            MemberAct::Cut(cut) => member.cut(cut),
            MemberAct::Down(down) => member.down(down),
            MemberAct::Silent(silent) => member.silent(silent),
        }
    }
}

/// What front doors know, for the record.
struct Seen {
    log: Log,
    recorder: Recorder,
    unix_start: Millis,
    /// Nodes that a front door knows to be gone, so that each is noted once.
    gone: Mutex<BTreeSet<(u64, u32)>>,
}

impl Seen {
    fn take(&self, known: &Known) {
        match known {
            Known::Written { member, events } => {
                events
                    .iter()
                    .filter_map(|event| self.word(event))
                    .for_each(|word| self.note(*member, word));
            }
            Known::Claimed { member, revision } => {
                let mut last: BTreeMap<u32, Word> = BTreeMap::new();
                for word in lock(&self.log)
                    .iter()
                    .filter(|word| word.revision <= *revision)
                {
                    last.insert(word.node, *word);
                }
                last.into_values().for_each(|word| self.note(*member, word));
            }
        }
    }

    /// What an event says of a node; nothing, if it is noise.
    fn word(&self, event: &Event) -> Option<Word> {
        let kv = event.kv.as_ref()?;
        let node = agent::number(std::str::from_utf8(&kv.key).ok()?.rsplit('/').next()?)?;
        let revision = kv.mod_revision;
        if event.kind == Event::DELETE {
            return Some(Word {
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
        Some(Word {
            revision,
            node,
            health,
            born: started.map(|started| started - self.unix_start),
        })
    }

    fn note(&self, member: u64, word: Word) {
        let Word {
            node, health, born, ..
        } = word;
        if health == Health::Removed && !lock(&self.gone).insert((member, node)) {
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
