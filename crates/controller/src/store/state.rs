//! The durable state: the result of applying all records on the disk.

use super::record::StoreRecord;
use maplefall_raft::PersistentState;
use maplefall_service_registry::InstanceRecord;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Number of latest log entries whose quota slots are remembered as waited for before leasing them;
/// the slots of a forgotten entry are waited for once more.
const MAX_WAITED_SLOTS: usize = 64;

/// Maximum number of instances whose end is remembered; beyond it, the one that ended first is
/// forgotten. More than all backends of a deployment that end within a minute.
const MAX_TOMBSTONES: usize = 4096;

/// The state on the disk: records 1 to [`number`](StoredState::number), applied in order. The store
/// in memory, state files and recovery all use [`StoredState::apply`], so that they agree.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredState {
    /// The Raft state.
    pub raft: PersistentState,
    /// Proxies that may hold a quota lease of this controller.
    pub leased_to: BTreeSet<String>,
    /// The last record of each backend instance that is neither expired nor deregistered, by
    /// instance id.
    pub instances: BTreeMap<String, InstanceRecord>,
    /// The last record of the latest 4096 instances that have expired or were deregistered, in the
    /// order of their ends. A controller that was down meanwhile has such an instance as live on its
    /// disk; the tombstone overrides that record after a restart, too.
    pub tombstones: VecDeque<InstanceRecord>,
    /// Whether `leased_to` contains every proxy that may hold a lease. `false` at first on a disk
    /// that was empty, because leases granted with an earlier disk of this controller may still be
    /// in use.
    pub leased_to_complete: bool,
    /// Raft indices of the entries whose quota slots this controller has waited for before leasing
    /// them; the latest 64.
    pub waited_slots: BTreeSet<u64>,
    /// Number of the last record; 0 on an empty disk.
    pub number: u64,
    /// Whether earlier content of this disk was corrupt and is quarantined: this controller has
    /// lost its disk.
    pub quarantined: bool,
}

impl StoredState {
    /// Applies the next record. A record that was applied before is skipped: a segment that was
    /// removed after its compaction can reappear after a power loss.
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
        self.instances.remove(&instance.id);
        self.tombstones
            .retain(|tombstone| tombstone.id != instance.id);
        if instance.state().is_live() {
            self.instances.insert(instance.id.clone(), instance);
            return;
        }
        self.tombstones.push_back(instance);
        if self.tombstones.len() > MAX_TOMBSTONES {
            self.tombstones.pop_front();
        }
    }

    /// Returns whether this controller may bootstrap a new cluster, if its settings say so
    /// (`configured`). Never after a quarantine: its cluster already exists, and a second one with
    /// the same members would vote independently.
    pub fn may_bootstrap(&self, configured: bool) -> bool {
        configured && !self.quarantined
    }
}
