//! The table of all known instances. Late records change nothing, and the table is bounded: tombstones are dropped after
//! [`TOMBSTONE_RETENTION`], and beyond [`MAX_INSTANCES`] the instance seen longest ago goes, tombstones first.

use crate::{InstanceRecord, InstanceState, Millis};
use std::collections::{BTreeMap, BTreeSet};

/// Instances in the table, tombstones included.
const MAX_INSTANCES: usize = 50_000;
/// For how long an expired or deregistered instance is remembered, so that late records of it change nothing.
const TOMBSTONE_RETENTION: Millis = 60_000.0;
/// Interval at which old tombstones are looked for.
const TOMBSTONE_SWEEP_INTERVAL: Millis = TOMBSTONE_RETENTION / 4.0;

/// One instance in the table.
#[derive(Clone, Debug)]
struct Instance {
    record: InstanceRecord,
    /// When any process last received a heartbeat or record of it.
    last_seen: Millis,
    /// When it has warmed up.
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

    /// Replaces the record by a later one. A deregistration may carry nothing but the id: then the rest of the record is kept, since
    /// proxies and operators are shown it.
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

    /// The record as it is to be sent now.
    fn current_record(&self, now: Millis) -> InstanceRecord {
        InstanceRecord {
            warmup_left_ms: (self.warm_at - now).max(0.0) as u32,
            ..self.record.clone()
        }
    }

    /// Marks it as expired. Returns the record to be sent.
    fn expire(&mut self, now: Millis) -> InstanceRecord {
        self.record.state = InstanceState::Expired.into();
        self.current_record(now)
    }
}

/// What a record has changed in a registry.
#[derive(Clone, Debug, PartialEq)]
pub enum Applied {
    /// Something that proxies have to know: the instance's record as it is now.
    Changed(InstanceRecord),
    /// Only a sign of life.
    Refreshed,
    /// Nothing: the registry knows this or a later record.
    Stale,
}

/// All known instances.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    instances: BTreeMap<String, Instance>,
    last_sweep: Millis,
}

impl Registry {
    /// Applies a record that a backend or another process has sent.
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

    /// The instance of this id says that it ends.
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

    /// Another process has received a heartbeat of this instance, with this sequence number.
    pub fn refresh(&mut self, now: Millis, id: &str, seq: u64) -> Applied {
        let Some(instance) = self.instances.get_mut(id) else {
            return Applied::Stale;
        };
        let state = instance.record.state();
        if seq < instance.record.seq || state == InstanceState::Deregistered {
            return Applied::Stale;
        }
        if seq > instance.record.seq && state == InstanceState::Expired {
            // Whether it serves or drains is not known from this; its next heartbeat says so.
            return Applied::Stale;
        }
        instance.record.seq = seq;
        instance.last_seen = now;
        Applied::Refreshed
    }

    /// The record of one instance; `None` if it is unknown.
    pub fn record(&self, now: Millis, id: &str) -> Option<InstanceRecord> {
        self.instances
            .get(id)
            .map(|instance| instance.current_record(now))
    }

    /// Expires the live instances that no process has seen for `timeout`. Returns their records. Drops old tombstones.
    pub fn expire(&mut self, now: Millis, timeout: Millis) -> Vec<InstanceRecord> {
        let expired = self.expire_where(now, |_, instance| instance.timed_out(now, timeout));
        self.drop_old_tombstones(now);
        expired
    }

    /// A process that knows all instances has sent `complete`, the ids of all of them: expires the live instances that it does not name
    /// and that no process has seen for `timeout`. Returns their records.
    pub fn reconcile(
        &mut self,
        now: Millis,
        complete: &BTreeSet<&str>,
        timeout: Millis,
    ) -> Vec<InstanceRecord> {
        self.expire_where(now, |id, instance| {
            instance.timed_out(now, timeout) && !complete.contains(id)
        })
    }

    /// Expires one instance, whatever its state: it turned out to have ended. Returns its record; `None` if it is unknown.
    pub fn mark_expired(&mut self, now: Millis, id: &str) -> Option<InstanceRecord> {
        let instance = self.instances.get_mut(id)?;
        Some(instance.expire(now))
    }

    /// Counts all instances as seen now: a process that was frozen or disconnected could not receive their heartbeats.
    pub fn restart_timeouts(&mut self, now: Millis) {
        self.instances
            .values_mut()
            .for_each(|instance| instance.last_seen = instance.last_seen.max(now));
    }

    /// The records of all instances, tombstones included, by id.
    pub fn records(&self, now: Millis) -> Vec<InstanceRecord> {
        self.instances
            .values()
            .map(|instance| instance.current_record(now))
            .collect()
    }

    /// Number of known instances, tombstones included.
    pub fn len(&self) -> usize {
        self.instances.len()
    }

    /// Whether no instance is known.
    pub fn is_empty(&self) -> bool {
        self.instances.is_empty()
    }

    /// Adds an instance. Returns the record to be sent.
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
        is_lost: impl Fn(&str, &Instance) -> bool,
    ) -> Vec<InstanceRecord> {
        let mut expired = Vec::new();
        for (id, instance) in &mut self.instances {
            if instance.is_live() && is_lost(id, instance) {
                expired.push(instance.expire(now));
            }
        }
        expired
    }

    fn drop_old_tombstones(&mut self, now: Millis) {
        if now - self.last_sweep <= TOMBSTONE_SWEEP_INTERVAL {
            return;
        }
        self.last_sweep = now;
        self.instances.retain(|_, instance| {
            instance.is_live() || !instance.timed_out(now, TOMBSTONE_RETENTION)
        });
    }

    /// Makes room for one more instance: the tombstone seen longest ago goes, or the live instance if there is no tombstone.
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
