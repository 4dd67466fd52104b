//! Heartbeats and deregistrations of backends: which proxies and peers are notified, and when a
//! call is acknowledged.
//!
//! A drain or deregistration of a backend is acknowledged once a majority of the controllers, this
//! one included, have persisted it. It then survives the simultaneous failure of any minority, and a
//! restart of all: every majority that comes back has its record, which is later than any other.

use super::event::Event;
use super::pending_calls::PendingCall;
use super::writes::WritePurpose;
use super::{CallResponse, Core, Millis, Output, QUORUM_TIMEOUT};
use crate::store::StoreRecord;
use bytes::Bytes;
use maplefall_control_messages::{encode_frame, Frame, Heartbeat, Heartbeats, InstanceUpdates};
use maplefall_service_registry::{Applied, InstanceRecord, InstanceState};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of instances whose deregistration is remembered as replicated; beyond it, a
/// repeated call replicates the deregistration again.
const MAX_REPLICATED_DEREGISTRATIONS: usize = 50_000;
/// Maximum number of acknowledgements to peers that wait for the disk.
const MAX_PENDING_PEER_ACKS: usize = 4096;
/// A controller that has been without quorum contact for longer than this, which is longer than an
/// election takes, acknowledges neither heartbeats nor deregistrations.
const UNACKNOWLEDGED_AFTER: Millis = 1500.0;

/// Deregistrations and their replication to a majority of the controllers.
pub(super) struct Deregistrations {
    /// Instances whose deregistration is persisted by a majority, this controller included.
    replicated: BTreeSet<String>,
    /// Deregistrations that are not yet replicated, by the number with which peers acknowledge
    /// them.
    pending: BTreeMap<u64, PendingDeregistration>,
    last_ack_number: u64,
    /// Number of acknowledgements to peers that wait for this controller's disk.
    pending_peer_acks: usize,
}

struct PendingDeregistration {
    id: String,
    call: PendingCall,
    is_persisted_here: bool,
    /// Peers that have persisted the deregistration.
    acknowledged_by: BTreeSet<String>,
}

impl Deregistrations {
    /// Creates a set without deregistrations. Acknowledgement numbers begin after `first_number`,
    /// which differs between starts, so that an acknowledgement meant for an earlier incarnation is
    /// not mistaken for one of this incarnation.
    pub(super) fn new(first_number: u64) -> Deregistrations {
        Deregistrations {
            replicated: BTreeSet::new(),
            pending: BTreeMap::new(),
            last_ack_number: first_number,
            pending_peer_acks: 0,
        }
    }

    /// Responds with unavailable to deregistration calls whose deadline has passed.
    pub(super) fn expire(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.pending
            .retain(|_, pending| pending.call.is_in_time(now, out));
    }
}

impl Core {
    pub(super) fn heartbeat(
        &mut self,
        now: Millis,
        call: u64,
        record: InstanceRecord,
        out: &mut Vec<Output>,
    ) {
        let id = record.id.clone();
        let seq = record.seq;
        let is_draining = record.state() == InstanceState::Draining;
        let applied = self.registry.apply(now, record);
        if applied != Applied::Stale {
            self.unsent_heartbeats.insert(id.clone(), seq);
        }
        self.acknowledge_instance(now, call, &id, applied, is_draining, out);
    }

    pub(super) fn deregister(&mut self, now: Millis, call: u64, id: &str, out: &mut Vec<Output>) {
        let applied = self.registry.deregister(now, id);
        self.acknowledge_instance(now, call, id, applied, true, out);
    }

    /// Responds to a backend. A controller that has been without quorum contact for long, or is not
    /// connected to a majority, applies what it receives but acknowledges nothing: a backend that
    /// sends its heartbeats to this controller alone would be declared lost by all others.
    fn acknowledge_instance(
        &mut self,
        now: Millis,
        call: u64,
        id: &str,
        applied: Applied,
        is_ending: bool,
        out: &mut Vec<Output>,
    ) {
        let changed = match applied {
            Applied::Changed(record) => {
                self.notify_proxies(vec![record.clone()], out);
                self.write_instances(vec![record.clone()], out);
                Some(record)
            }
            _ => None,
        };
        let is_partitioned = !self.contact.is_connected_to_quorum(self.raft.voters())
            || self.contact.lost_longer_than(now, UNACKNOWLEDGED_AFTER);
        let needs_no_quorum = !is_ending || self.deregistrations.replicated.contains(id);
        if is_partitioned || needs_no_quorum {
            let response = if is_partitioned {
                CallResponse::Unavailable
            } else {
                CallResponse::empty()
            };
            out.push(Output::Respond(call, response));
            if let Some(record) = changed {
                out.push(Output::SendToAllPeers(encode_instances(
                    vec![record],
                    false,
                    0,
                )));
            }
            return;
        }
        if let Some(record) = changed.or_else(|| self.registry.record(now, id)) {
            self.replicate_deregistration(now, call, record, out);
        }
    }

    /// Sends the record of a deregistered instance to all peers, and responds to the call once a
    /// majority has persisted the record.
    fn replicate_deregistration(
        &mut self,
        now: Millis,
        call: u64,
        record: InstanceRecord,
        out: &mut Vec<Output>,
    ) {
        let deregistrations = &mut self.deregistrations;
        deregistrations.last_ack_number += 1;
        let ack_number = deregistrations.last_ack_number;
        let pending = PendingDeregistration {
            id: record.id.clone(),
            call: PendingCall::new(call, now + QUORUM_TIMEOUT),
            is_persisted_here: self.writes.is_empty(),
            acknowledged_by: BTreeSet::new(),
        };
        deregistrations.pending.insert(ack_number, pending);
        if !self.writes.is_empty() {
            // Any pending write may contain the record of the instance, even if this deregistration
            // call did not change the record.
            self.writes
                .after_all(WritePurpose::Deregistration(ack_number));
        }
        out.push(Output::SendToAllPeers(encode_instances(
            vec![record],
            false,
            ack_number,
        )));
        self.acknowledge_if_replicated(ack_number, out);
    }

    /// Handles the notification that a deregistration is persisted by this controller.
    pub(super) fn deregistration_persisted(&mut self, ack_number: u64, out: &mut Vec<Output>) {
        if let Some(pending) = self.deregistrations.pending.get_mut(&ack_number) {
            pending.is_persisted_here = true;
        }
        self.acknowledge_if_replicated(ack_number, out);
    }

    /// Handles a peer's acknowledgement that it has persisted a deregistration.
    pub(super) fn peer_persisted(&mut self, peer: &str, ack_number: u64, out: &mut Vec<Output>) {
        if let Some(pending) = self.deregistrations.pending.get_mut(&ack_number) {
            pending.acknowledged_by.insert(peer.to_owned());
            self.acknowledge_if_replicated(ack_number, out);
        }
    }

    /// Acknowledges a deregistration if a majority has persisted it.
    fn acknowledge_if_replicated(&mut self, ack_number: u64, out: &mut Vec<Output>) {
        let voters = self.raft.voters();
        let Some(pending) = self.deregistrations.pending.get(&ack_number) else {
            return;
        };
        let on_peers = pending
            .acknowledged_by
            .iter()
            .filter(|peer| voters.contains(*peer))
            .count();
        let replicas = on_peers + usize::from(voters.contains(&self.ip));
        if !pending.is_persisted_here || replicas < voters.len() / 2 + 1 {
            return;
        }
        let Some(pending) = self.deregistrations.pending.remove(&ack_number) else {
            return;
        };
        if self.deregistrations.replicated.len() < MAX_REPLICATED_DEREGISTRATIONS {
            self.deregistrations.replicated.insert(pending.id);
        }
        pending.call.respond(CallResponse::empty(), out);
    }

    /// Handles instance records from a peer, which may request an acknowledgement once they are
    /// persisted.
    pub(super) fn receive_instances(
        &mut self,
        now: Millis,
        peer: &str,
        updates: InstanceUpdates,
        out: &mut Vec<Output>,
    ) {
        let mut changed = Vec::new();
        for record in updates.records {
            let was_known = self.registry.contains(&record.id);
            if let Applied::Changed(record) = self.registry.apply(now, record) {
                if !was_known && record.state().is_live() {
                    let record = &record;
                    out.push(Event::BackendLearned { record, peer }.into());
                }
                changed.push(record);
            }
        }
        if !changed.is_empty() {
            self.write_instances(changed.clone(), out);
        }
        self.notify_proxies(changed, out);
        if updates.ack_number != 0 {
            self.acknowledge_to_peer(peer, updates.ack_number, out);
        }
    }

    /// Acknowledges instance records to a peer once all pending writes are persisted: even a record
    /// that changed nothing when it was received may be part of a pending write.
    fn acknowledge_to_peer(&mut self, peer: &str, ack_number: u64, out: &mut Vec<Output>) {
        if self.writes.is_empty() {
            return send_peer_ack(peer, ack_number, out);
        }
        // While `MAX_PENDING_PEER_ACKS` acknowledgements wait for the disk, no further one is sent,
        // and the deregistration call that waits for it at the peer expires.
        if self.deregistrations.pending_peer_acks < MAX_PENDING_PEER_ACKS {
            self.deregistrations.pending_peer_acks += 1;
            self.writes.after_all(WritePurpose::PeerInstances {
                peer: peer.to_owned(),
                ack_number,
            });
        }
    }

    /// Handles the notification that records from a peer are persisted.
    pub(super) fn peer_instances_persisted(
        &mut self,
        peer: &str,
        ack_number: u64,
        out: &mut Vec<Output>,
    ) {
        self.deregistrations.pending_peer_acks -= 1;
        send_peer_ack(peer, ack_number, out);
    }

    /// Sends a newly connected peer all instances, since it may have missed any of them, and the
    /// pending deregistrations.
    pub(super) fn send_all_instances_to_peer(
        &self,
        now: Millis,
        peer: &str,
        out: &mut Vec<Output>,
    ) {
        let records = encode_instances(self.registry.records(now), false, 0);
        out.push(Output::SendToPeer(peer.to_owned(), records));
        for (ack_number, pending) in &self.deregistrations.pending {
            if let Some(record) = self.registry.record(now, &pending.id) {
                let records = encode_instances(vec![record], false, *ack_number);
                out.push(Output::SendToPeer(peer.to_owned(), records));
            }
        }
    }

    /// Sends the peers the heartbeats received since the last broadcast.
    pub(super) fn broadcast_heartbeats(&mut self, out: &mut Vec<Output>) {
        let heartbeats = std::mem::take(&mut self.unsent_heartbeats)
            .into_iter()
            .map(|(id, seq)| Heartbeat { id, seq })
            .collect();
        let frame = Frame::Heartbeats(Heartbeats { heartbeats });
        out.push(Output::SendToAllPeers(encode_frame(frame)));
    }

    /// Declares backends lost that have sent no heartbeat for too long. Without quorum contact this
    /// is skipped, since heartbeats may not have reached this controller.
    pub(super) fn expire_instances(&mut self, now: Millis, out: &mut Vec<Output>) {
        if !self.contact.lasts_longer_than(now, self.instance_timeout) {
            return;
        }
        let expired = self.registry.expire(now, self.instance_timeout);
        for record in &expired {
            out.push(Event::BackendExpired(record).into());
        }
        if !expired.is_empty() {
            self.write_instances(expired.clone(), out);
        }
        self.notify_proxies(expired, out);
    }

    fn write_instances(&mut self, instances: Vec<InstanceRecord>, out: &mut Vec<Output>) {
        let record = StoreRecord {
            instances,
            ..StoreRecord::default()
        };
        self.writes.write(record, WritePurpose::Background, out);
    }

    /// Logs changed instance records and sends them to all proxies.
    fn notify_proxies(&mut self, changed: Vec<InstanceRecord>, out: &mut Vec<Output>) {
        if changed.is_empty() {
            return;
        }
        for record in &changed {
            match record.state() {
                InstanceState::Draining => out.push(Event::BackendDraining(record).into()),
                InstanceState::Deregistered => out.push(Event::BackendDeregistered(record).into()),
                _ => {}
            }
        }
        let bytes = encode_instances(changed, false, 0);
        for connection in self.proxies.keys() {
            self.send_to_proxy(*connection, bytes.clone(), out);
        }
    }

    /// Returns whether this controller has received heartbeats for long enough to know every
    /// backend.
    fn has_all_instances(&self, now: Millis) -> bool {
        now - self.started_at > self.instance_timeout
            && self.contact.lasts_longer_than(now, self.instance_timeout)
    }

    /// Sends all instances to the proxies that have no complete list of instances yet.
    pub(super) fn send_complete_instance_lists(&mut self, now: Millis, out: &mut Vec<Output>) {
        if !self.has_all_instances(now) {
            return;
        }
        let incomplete: Vec<u64> = self
            .proxies
            .iter()
            .filter(|(_, proxy)| !proxy.has_complete_instances)
            .map(|(connection, _)| *connection)
            .collect();
        self.send_all_instances(now, &incomplete, out);
    }

    /// Sends proxies all serving and draining instances, and the tombstones to those that may have
    /// missed an end; each list is encoded once. A controller without quorum contact sends nothing:
    /// the instances may come from its disk, and other controllers may know that some of them have
    /// ended.
    pub(super) fn send_all_instances(
        &mut self,
        now: Millis,
        connections: &[u64],
        out: &mut Vec<Output>,
    ) {
        if connections.is_empty() || !self.has_quorum_contact(now) {
            return;
        }
        let complete = self.has_all_instances(now);
        let all = self.registry.records(now);
        let mut live = all.clone();
        live.retain(|record| record.state().is_live());
        let with_tombstones = encode_instances(all, complete, 0);
        let without_tombstones = encode_instances(live, complete, 0);
        for connection in connections {
            let Some(proxy) = self.proxies.get_mut(connection) else {
                continue;
            };
            proxy.has_complete_instances = complete;
            let list = if proxy.needs_tombstones {
                &with_tombstones
            } else {
                &without_tombstones
            };
            out.push(Output::SendToProxy(*connection, list.clone()));
        }
    }
}

fn send_peer_ack(peer: &str, ack_number: u64, out: &mut Vec<Output>) {
    out.push(Output::SendToPeer(
        peer.to_owned(),
        encode_frame(Frame::InstancesPersisted(ack_number)),
    ));
}

/// Encodes a frame with instance records. A peer acknowledges them with `ack_number`, which is zero
/// if no acknowledgement is requested.
fn encode_instances(records: Vec<InstanceRecord>, complete: bool, ack_number: u64) -> Bytes {
    encode_frame(Frame::InstanceUpdates(InstanceUpdates {
        records,
        complete,
        ack_number,
    }))
}
