//! Drives [`Raft`] and carries out what it returns: applies committed entries, installs snapshots,
//! and compacts the log.

use super::event::Event;
use super::writes::WritePurpose;
use super::{Core, Millis, Output, ReplicatedState};
use crate::store::StoreRecord;
use maplefall_control_messages::{encode_frame, Frame};
use maplefall_gateway_config::{Change, ConfigState, Item, ItemKind};
use maplefall_quota_lease::Slots;
use maplefall_raft::{Entry, EntryKind, Message as RaftMessage, Raft, Ready, Snapshot};
use prost::Message;
use std::collections::BTreeSet;

impl Core {
    /// Passes an input to Raft, and carries out what Raft returns.
    pub(super) fn drive_raft<T>(
        &mut self,
        now: Millis,
        out: &mut Vec<Output>,
        input: impl FnOnce(&mut Raft, &mut Ready) -> T,
    ) -> T {
        let mut ready = Ready::default();
        let result = input(&mut self.raft, &mut ready);
        self.process_ready(now, ready, out);
        result
    }

    /// Carries out what Raft has returned. The order matters: state is written before the messages
    /// that depend on it are sent.
    pub(super) fn process_ready(&mut self, now: Millis, ready: Ready, out: &mut Vec<Output>) {
        for (number, update) in ready.writes {
            let record = StoreRecord {
                raft: Some(update),
                ..StoreRecord::default()
            };
            self.writes.write(record, WritePurpose::Raft(number), out);
        }
        for (to, message) in ready.messages {
            out.push(raft_message_output(to, message));
        }
        out.extend(ready.log_lines.into_iter().map(Output::Log));
        if let Some(snapshot) = ready.installed_snapshot {
            self.install_snapshot(now, &snapshot, out);
            self.distribute_config(now, out);
        }
        if !ready.committed_entries.is_empty() {
            self.apply_entries(now, ready.committed_entries, out);
        }
        for ticket in ready.confirmed_reads {
            if let Some((call, then)) = self.calls.read_confirmed(ticket) {
                self.read_confirmed(call, then, out);
            }
        }
        if ready.stepped_down {
            self.calls.leadership_lost(out);
        }
        self.log_leader_change(out);
        self.tick_leasing(now, out);
        self.update_quorum_contact(now, out);
        self.compact_log(now, out);
    }

    fn log_leader_change(&mut self, out: &mut Vec<Output>) {
        let leader = self.raft.leader();
        if self.logged_leader.as_deref() == leader {
            return;
        }
        let term = self.raft.term();
        out.push(Event::LeaderChanged { leader, term }.into());
        self.logged_leader = leader.map(str::to_owned);
    }

    /// Replaces the committed part of a long log by a snapshot (Raft paper, section 7).
    fn compact_log(&mut self, now: Millis, out: &mut Vec<Output>) {
        // Uncommitted entries cannot be compacted, however many there are.
        let uncommitted = self.raft.uncommitted().count();
        let is_long = self
            .compaction_threshold
            .is_some_and(|entries| self.raft.log_len() > entries + uncommitted);
        if is_long || self.raft.should_compact() {
            let slots = self.leasing.slots().slots();
            let state = ReplicatedState::capture(self.config.state(), slots).encode_to_vec();
            self.drive_raft(now, out, |raft, ready| raft.compact(state, ready));
        }
    }

    fn apply_entries(&mut self, now: Millis, entries: Vec<Entry>, out: &mut Vec<Output>) {
        for entry in entries {
            if entry.kind() == EntryKind::Command {
                self.apply_command(now, &entry, out);
            }
            self.calls.entry_committed(entry.index, entry.term, out);
            if entry.kind() == EntryKind::Membership {
                let members = entry.members.iter().map(|member| member.name.clone());
                let members: BTreeSet<String> = members.collect();
                let events = self
                    .leasing
                    .slots_mut()
                    .members_changed(now, &members, entry.index);
                self.slots_changed(events, out);
            }
        }
        self.distribute_config(now, out);
    }

    fn apply_command(&mut self, now: Millis, entry: &Entry, out: &mut Vec<Output>) {
        let change = Change::decode(entry.payload.as_slice()).ok();
        if let Some(change) = &change {
            let event = Event::Committed {
                index: entry.index,
                items: change.items.len(),
            };
            out.push(event.into());
        }
        let tenants = change.as_ref().map_or_else(Vec::new, |change| {
            let is_tenant = |item: &&Item| item.kind() == ItemKind::Tenant;
            change.items.iter().filter(is_tenant).cloned().collect()
        });
        self.config.apply(entry.index, change);
        self.set_quotas(now, &tenants);
    }

    /// Replaces the replicated state by that of a snapshot.
    pub(super) fn install_snapshot(
        &mut self,
        now: Millis,
        snapshot: &Snapshot,
        out: &mut Vec<Output>,
    ) {
        let state = ReplicatedState::decode(snapshot.state.as_ref()).unwrap_or_else(|error| {
            let event = Event::BadSnapshot {
                index: snapshot.index,
                error: &error,
            };
            out.push(event.into());
            ReplicatedState::default()
        });
        let slots = match state.owners {
            Some(slots) => slots,
            None => self.initial_slots(snapshot),
        };
        let events = self.leasing.slots_mut().install(now, slots);
        self.slots_changed(events, out);
        // The state in a snapshot is empty if no configuration has been committed since the first
        // start of the cluster; only the membership may have changed.
        if snapshot.state.is_empty() {
            return;
        }
        let config = ConfigState::restore(state.items, state.taken.unwrap_or_default());
        self.config.restore(config, snapshot.index);
        let tenants = self.config.state().active(ItemKind::Tenant);
        let tenants: Vec<Item> = tenants.cloned().collect();
        self.set_quotas(now, &tenants);
    }

    /// Returns the slots and their owners for a snapshot without slots: an empty snapshot of the
    /// first start of the cluster, or one written by an earlier version of the program. In the
    /// latter case other controllers may already have granted leases.
    fn initial_slots(&self, snapshot: &Snapshot) -> Slots {
        let members = snapshot.members.iter().map(|member| member.name.clone());
        let may_be_leased = !snapshot.state.is_empty();
        Slots::initial(
            &members.collect(),
            self.max_machine_losses,
            snapshot.index,
            may_be_leased,
        )
    }
}

/// An empty recipient name in a Raft message means all peers.
fn raft_message_output(to: String, message: RaftMessage) -> Output {
    let bytes = encode_frame(Frame::Raft(message));
    if to.is_empty() {
        Output::SendToAllPeers(bytes)
    } else {
        Output::SendToPeer(to, bytes)
    }
}
