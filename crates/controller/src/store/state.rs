//! The durable state: what all records of the disk add up to.

use super::record::StoreRecord;
use maplefall_raft::PersistentState;
use maplefall_service_registry::{InstanceRecord, InstanceState};
use std::collections::{BTreeMap, BTreeSet};

/// Entries that are remembered as waited for, the latest; one that is forgotten is waited for once more.
const MAX_WAITED_SLOTS: usize = 64;

/// What is on the disk: records 1 to [`number`](StoredState::number), applied in order. The store in memory, a state file and a start
/// all use [`StoredState::apply`], so that they agree.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredState {
    /// The Raft state.
    pub raft: PersistentState,
    /// Proxies that may have a quota lease of this controller.
    pub leased_to: BTreeSet<String>,
    /// The last record of each backend instance that is neither expired nor deregistered, by instance id.
    pub instances: BTreeMap<String, InstanceRecord>,
    /// Whether `leased_to` names every proxy that may have a lease. `false` on a disk that came empty: leases of an earlier disk of
    /// this controller may still be in use.
    pub leased_to_complete: bool,
    /// Raft indices of entries whose quota slots were waited for, the latest 64.
    pub waited_slots: BTreeSet<u64>,
    /// Number of the last record, 0 on an empty disk.
    pub number: u64,
    /// Earlier content of this disk was corrupt and is quarantined: this controller has lost its disk.
    pub quarantined: bool,
}

impl StoredState {
    /// Applies the next record. One that was applied before is passed over: a segment that was removed after its compaction can come
    /// back with a loss of power.
    pub fn apply(&mut self, record: StoreRecord) {
        if record.number <= self.number {
            return;
        }
        self.number = record.number;
        if let Some(update) = record.raft {
            self.raft.apply(update);
        }
        for proxy in &record.released {
            self.leased_to.remove(proxy);
        }
        self.leased_to.extend(record.leased_to);
        self.leased_to_complete |= record.leased_to_complete;
        self.waited_slots.extend(record.waited_slots);
        while self.waited_slots.len() > MAX_WAITED_SLOTS {
            self.waited_slots.pop_first();
        }
        for instance in record.instances {
            self.apply_instance(instance);
        }
    }

    fn apply_instance(&mut self, instance: InstanceRecord) {
        match instance.state() {
            InstanceState::Expired | InstanceState::Deregistered => {
                self.instances.remove(&instance.id);
            }
            _ => {
                self.instances.insert(instance.id.clone(), instance);
            }
        }
    }

    /// Whether this controller may start a new cluster, where `configured` is what its settings say. Never after a quarantine: its
    /// cluster exists already, and a second one with the same members would vote on its own.
    pub fn may_bootstrap(&self, configured: bool) -> bool {
        configured && !self.quarantined
    }
}
