//! The table of all known instances. Late records are ignored, and the table is bounded: tombstones
//! are removed after [`TOMBSTONE_RETENTION`], and beyond [`MAX_INSTANCES`] the least recently seen
//! instance is evicted, tombstones first.

use crate::{InstanceRecord, InstanceState, Millis};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of instances in the table, including tombstones.
const MAX_INSTANCES: usize = 50_000;
/// Time for which an expired or deregistered instance is kept, so that its late records are
/// ignored.
const TOMBSTONE_RETENTION: Millis = 60_000.0;
/// Interval between sweeps for old tombstones.
const TOMBSTONE_SWEEP_INTERVAL: Millis = TOMBSTONE_RETENTION / 4.0;

/// One instance in the table.
#[derive(Clone, Debug)]
struct Instance {
    record: InstanceRecord,
    /// When any process last received a heartbeat or record of the instance.
    last_seen: Millis,
    /// When the instance has warmed up.
    warm_at: Millis,
}

impl Instance {
    fn new(now: Millis, record: InstanceRecord) -> Instance {
        Instance {
            last_seen: now,
            warm_at: now + f64::from(record.warmup_left_ms),
            record,
        }
    }

    /// Replaces the record with a later one. A deregistration may contain only the id; the rest of
    /// the record is then kept, since it is shown to proxies and operators.
    fn replace_record(&mut self, now: Millis, record: InstanceRecord) {
        self.last_seen = now;
        self.warm_at = now + f64::from(record.warmup_left_ms);
        if record.state() == InstanceState::Deregistered && record.service.is_empty() {
            self.record.state = InstanceState::Deregistered.into();
            self.record.seq = record.seq;
        } else {
            self.record = record;
        }
    }

    fn is_live(&self) -> bool {
        self.record.state().is_live()
    }

    fn timed_out(&self, now: Millis, timeout: Millis) -> bool {
        now - self.last_seen >= timeout
    }

    /// Returns the record to send now, with the remaining warm-up time.
    fn current_record(&self, now: Millis) -> InstanceRecord {
        InstanceRecord {
            warmup_left_ms: (self.warm_at - now).max(0.0) as u32,
            ..self.record.clone()
        }
    }

    /// Marks the instance as expired. Returns the record to send.
    fn expire(&mut self, now: Millis) -> InstanceRecord {
        self.record.state = InstanceState::Expired.into();
        self.current_record(now)
    }
}

/// The effect of a record on a registry.
#[derive(Clone, Debug, PartialEq)]
pub enum Applied {
    /// A change that is relevant to proxies, with the current record of the instance.
    Changed(InstanceRecord),
    /// No change that is relevant to proxies: the instance is still alive.
    Refreshed,
    /// No change: the registry has this record or a later one.
    Stale,
}

/// The live instances that were missing from a complete list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reconciled {
    /// The records of those that expired.
    pub expired: Vec<InstanceRecord>,
    /// The ids of those that were seen too recently to expire.
    pub kept: Vec<String>,
}

/// The table of all known instances.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    instances: BTreeMap<String, Instance>,
    last_sweep: Millis,
}

impl Registry {
    /// Applies a record from a backend or another process.
    pub fn apply(&mut self, now: Millis, record: InstanceRecord) -> Applied {
        let Some(instance) = self.instances.get_mut(&record.id) else {
            return Applied::Changed(self.insert(now, record));
        };
        if record.order() <= instance.record.order() {
            if record.order() == instance.record.order() {
                instance.last_seen = now;
            }
            return Applied::Stale;
        }
        let changed = !instance.record.is_equivalent(&record);
        instance.replace_record(now, record);
        if changed {
            Applied::Changed(instance.current_record(now))
        } else {
            Applied::Refreshed
        }
    }

    /// Deregisters the instance of this id, at its own request.
    pub fn deregister(&mut self, now: Millis, id: &str) -> Applied {
        let known = self
            .instances
            .get(id)
            .map(|instance| instance.record.clone());
        let record = known.unwrap_or_else(|| InstanceRecord {
            id: id.to_owned(),
            ..InstanceRecord::default()
        });
        self.apply(
            now,
            InstanceRecord {
                state: InstanceState::Deregistered.into(),
                seq: record.seq + 1,
                ..record
            },
        )
    }

    /// Records a heartbeat of this instance, with this sequence number, that another process has
    /// received.
    pub fn refresh(&mut self, now: Millis, id: &str, seq: u64) -> Applied {
        let Some(instance) = self.instances.get_mut(id) else {
            return Applied::Stale;
        };
        let state = instance.record.state();
        if seq < instance.record.seq || state == InstanceState::Deregistered {
            return Applied::Stale;
        }
        if seq > instance.record.seq && state == InstanceState::Expired {
            // The sequence number does not show whether the instance is serving or draining; its
            // next heartbeat does.
            return Applied::Stale;
        }
        instance.record.seq = seq;
        instance.last_seen = now;
        Applied::Refreshed
    }

    /// Returns whether an instance is known, live or not.
    pub fn contains(&self, id: &str) -> bool {
        self.instances.contains_key(id)
    }

    /// Returns the current record of one instance; `None` if it is unknown.
    pub fn record(&self, now: Millis, id: &str) -> Option<InstanceRecord> {
        self.instances
            .get(id)
            .map(|instance| instance.current_record(now))
    }

    /// Expires the live instances that no process has seen for `timeout`, and removes old
    /// tombstones. Returns the records of the expired instances.
    pub fn expire(&mut self, now: Millis, timeout: Millis) -> Vec<InstanceRecord> {
        let expired = self.expire_where(now, |_, instance| instance.timed_out(now, timeout));
        self.remove_old_tombstones(now);
        expired
    }

    /// Expires the live instances that are missing from `complete` and that no process has seen for
    /// `timeout`. `complete` are the ids sent by a process that knows all instances.
    pub fn reconcile(
        &mut self,
        now: Millis,
        complete: &BTreeSet<&str>,
        timeout: Millis,
    ) -> Reconciled {
        let expired = self.expire_where(now, |id, instance| {
            instance.timed_out(now, timeout) && !complete.contains(id)
        });
        let kept = self
            .instances
            .iter()
            .filter(|(id, instance)| instance.is_live() && !complete.contains(id.as_str()))
            .map(|(id, _)| id.clone())
            .collect();
        Reconciled { expired, kept }
    }

    /// Expires one instance, regardless of its state, after it was found to have ended. Returns its
    /// record; `None` if it is unknown.
    pub fn mark_expired(&mut self, now: Millis, id: &str) -> Option<InstanceRecord> {
        let instance = self.instances.get_mut(id)?;
        Some(instance.expire(now))
    }

    /// Restarts the timeouts of all instances: a process that was frozen or disconnected could not
    /// receive their heartbeats.
    pub fn restart_timeouts(&mut self, now: Millis) {
        self.instances
            .values_mut()
            .for_each(|instance| instance.last_seen = instance.last_seen.max(now));
    }

    /// Returns the records of all instances, including tombstones, in the order of their ids.
    pub fn records(&self, now: Millis) -> Vec<InstanceRecord> {
        self.instances
            .values()
            .map(|instance| instance.current_record(now))
            .collect()
    }

    /// Returns the number of known instances, including tombstones.
    pub fn len(&self) -> usize {
        self.instances.len()
    }

    /// Returns whether no instance is known.
    pub fn is_empty(&self) -> bool {
        self.instances.is_empty()
    }

    /// Adds an instance. Returns the record to send.
    fn insert(&mut self, now: Millis, record: InstanceRecord) -> InstanceRecord {
        let instance = Instance::new(now, record);
        let record = instance.current_record(now);
        self.evict_if_full();
        self.instances.insert(record.id.clone(), instance);
        record
    }

    fn expire_where(
        &mut self,
        now: Millis,
        should_expire: impl Fn(&str, &Instance) -> bool,
    ) -> Vec<InstanceRecord> {
        let mut expired = Vec::new();
        for (id, instance) in &mut self.instances {
            if instance.is_live() && should_expire(id, instance) {
                expired.push(instance.expire(now));
            }
        }
        expired
    }

    fn remove_old_tombstones(&mut self, now: Millis) {
        if now - self.last_sweep <= TOMBSTONE_SWEEP_INTERVAL {
            return;
        }
        self.last_sweep = now;
        self.instances.retain(|_, instance| {
            instance.is_live() || !instance.timed_out(now, TOMBSTONE_RETENTION)
        });
    }

    /// Evicts one instance if the table is full: the least recently seen tombstone, or the least
    /// recently seen live instance if there is no tombstone.
    fn evict_if_full(&mut self) {
        if self.instances.len() < MAX_INSTANCES {
            return;
        }
        let oldest = self
            .instances
            .iter()
            .min_by(|(_, a), (_, b)| {
                let tombstones_first = a.is_live().cmp(&b.is_live());
                tombstones_first.then(a.last_seen.total_cmp(&b.last_seen))
            })
            .map(|(id, _)| id.clone());
        if let Some(id) = oldest {
            self.instances.remove(&id);
        }
    }
}
