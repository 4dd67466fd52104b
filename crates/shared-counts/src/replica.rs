//! The local copy of the counts of one incarnation of a node, and the deltas that bring it to other
//! nodes.
//!
//! Invariant: each change at the source gives its count the next version, and a replica has all
//! versions up to [`Replica::complete_version`] and possibly some later ones. One number therefore
//! states what a replica is missing, and a delta in the order of versions can be truncated anywhere
//! (Scuttlebutt: van Renesse et al., "Efficient Reconciliation and Flow Control for Anti-Entropy
//! Protocols", 2008).

use crate::{Count, Customer, Epoch};
use std::collections::BTreeMap;

/// A count with the version of its last change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionedCount {
    /// The version: the number of the change at the source.
    pub version: u64,
    /// The epoch of the source that the count belongs to.
    pub epoch: Epoch,
    /// The customer.
    pub customer: Customer,
    /// The count.
    pub count: Count,
}

/// The increase of a count by a join, in thousandths of a unit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Increase {
    /// Thousandths of units taken that the join added to the count.
    pub taken: u64,
    /// Thousandths of units returned that the join added to the count.
    pub returned: u64,
}

/// Counts of one incarnation, in the order of their versions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Delta {
    /// The delta contains every count with a version above `after` and at most `up_to`. Both are 0
    /// if the delta contains only some counts, as rumours do.
    pub after: u64,
    /// The last version of the range that the delta contains.
    pub up_to: u64,
    /// The counts.
    pub counts: Vec<VersionedCount>,
}

/// The local copy of the counts of one incarnation of a node.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    counts: BTreeMap<(Epoch, Customer), (u64, Count)>,
    by_version: BTreeMap<u64, (Epoch, Customer)>,
    complete_version: u64,
    /// The first epoch that has not expired.
    first_epoch: Epoch,
}

impl Replica {
    /// Returns the version up to which all changes are known, but for those of expired epochs.
    pub fn complete_version(&self) -> u64 {
        self.complete_version
    }

    /// Returns the number of counts.
    pub fn len(&self) -> usize {
        self.counts.len()
    }

    /// Returns whether there are no counts.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    /// Returns the count of a customer in an epoch.
    pub fn get(&self, epoch: Epoch, customer: Customer) -> Option<Count> {
        self.counts.get(&(epoch, customer)).map(|(_, count)| *count)
    }

    /// Returns the count of a customer in an epoch, with its version.
    pub fn get_versioned(&self, epoch: Epoch, customer: Customer) -> Option<VersionedCount> {
        let (version, count) = *self.counts.get(&(epoch, customer))?;
        Some(VersionedCount {
            version,
            epoch,
            customer,
            count,
        })
    }

    /// Returns all counts, by epoch and customer.
    pub fn counts(&self) -> impl Iterator<Item = (Epoch, Customer, Count)> + '_ {
        self.counts
            .iter()
            .map(|((epoch, customer), (_, count))| (*epoch, *customer, *count))
    }

    /// Returns the usage of a customer in all kept epochs, in thousandths of a unit.
    pub fn total(&self, customer: Customer) -> i64 {
        self.epochs()
            .iter()
            .filter_map(|epoch| self.get(*epoch, customer))
            .map(Count::net)
            .sum()
    }

    /// Returns the epochs with counts. There are few of them, so the map is searched for each
    /// instead of iterated.
    fn epochs(&self) -> Vec<Epoch> {
        let mut epochs = Vec::new();
        let mut from = 0;
        while let Some(((epoch, _), _)) = self.counts.range((from, 0)..).next() {
            epochs.push(*epoch);
            let Some(next) = epoch.checked_add(1) else {
                break;
            };
            from = next;
        }
        epochs
    }

    /// Records a change at the source itself, in thousandths of a unit. Returns `None` if the count
    /// is saturated.
    pub fn change(
        &mut self,
        epoch: Epoch,
        customer: Customer,
        milli: i64,
    ) -> Option<VersionedCount> {
        self.complete_version += 1;
        let version = self.complete_version;
        let (old_version, count) = self
            .counts
            .entry((epoch, customer))
            .or_insert((version, Count::default()));
        let complete = count.add(milli);
        let count = *count;
        if *old_version != version {
            self.by_version.remove(old_version);
        }
        *old_version = version;
        self.by_version.insert(version, (epoch, customer));
        complete.then_some(VersionedCount {
            version,
            epoch,
            customer,
            count,
        })
    }

    /// Joins a received count. Returns its increase, or `None` if it is not newer than the known
    /// one.
    ///
    /// # Errors
    /// [`CapacityReached`] if the count is unknown here and `has_capacity` is false.
    pub fn join(
        &mut self,
        received: &VersionedCount,
        has_capacity: bool,
    ) -> Result<Option<Increase>, CapacityReached> {
        if received.epoch < self.first_epoch {
            return Ok(None);
        }
        let key = (received.epoch, received.customer);
        let known = self.counts.get(&key).copied();
        if known.is_some_and(|(version, _)| version >= received.version) {
            return Ok(None);
        }
        if known.is_none() && !has_capacity {
            return Err(CapacityReached);
        }
        if let Some((old_version, _)) = known {
            self.by_version.remove(&old_version);
        }
        let (_, before) = known.unwrap_or_default();
        let joined = before.join(received.count);
        self.counts.insert(key, (received.version, joined));
        self.by_version.insert(received.version, key);
        Ok(Some(Increase {
            taken: joined.taken - before.taken,
            returned: joined.returned - before.returned,
        }))
    }

    /// Records that a delta from one version to another was joined in full. The complete version
    /// does not rise if the delta begins after it, since changes in between may be missing.
    pub fn complete_up_to(&mut self, after: u64, up_to: u64) {
        if after <= self.complete_version {
            self.complete_version = self.complete_version.max(up_to);
        }
    }

    /// Returns the counts that a replica complete up to `after` is missing, as long as `fits`
    /// accepts them.
    pub fn delta(&self, after: u64, mut fits: impl FnMut(&VersionedCount) -> bool) -> Delta {
        let mut delta = Delta {
            after,
            up_to: after,
            counts: Vec::new(),
        };
        if after >= self.complete_version {
            return delta;
        }
        for (version, (epoch, customer)) in self.by_version.range(after + 1..=self.complete_version)
        {
            let Some((_, count)) = self.counts.get(&(*epoch, *customer)) else {
                continue;
            };
            let versioned = VersionedCount {
                version: *version,
                epoch: *epoch,
                customer: *customer,
                count: *count,
            };
            if !fits(&versioned) {
                return delta;
            }
            delta.up_to = *version;
            delta.counts.push(versioned);
        }
        delta.up_to = self.complete_version;
        delta
    }

    /// Drops all epochs before this one; returns how many counts were dropped.
    pub fn expire_before(&mut self, first_epoch: Epoch) -> usize {
        self.first_epoch = self.first_epoch.max(first_epoch);
        let kept = self.counts.split_off(&(self.first_epoch, 0));
        let expired = std::mem::replace(&mut self.counts, kept);
        for (version, _) in expired.values() {
            self.by_version.remove(version);
        }
        expired.len()
    }
}

/// The received count is unknown here, and the maximum number of counts is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CapacityReached;
