//! What one life of one door has counted, as far as it is known here, and the deltas by which it is passed on.
//!
//! Each change at the door gives its count the next version. Whoever holds a replica knows all versions up to
//! [`Replica::known`] and may hold some later ones, so one number says what it lacks, and a delta in the order of versions
//! can be cut anywhere (Scuttlebutt: van Renesse et al., "Efficient Reconciliation and Flow Control for Anti-Entropy
//! Protocols", 2008).

use crate::{Count, Customer, Epoch};
use std::collections::BTreeMap;

/// A count with the version at which it last changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Versioned {
    /// When, in changes of its door.
    pub version: u64,
    /// Of which stretch of its door's time.
    pub epoch: Epoch,
    /// Whose use.
    pub customer: Customer,
    /// How much.
    pub count: Count,
}

/// What changed here by something that was heard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// More taken, in thousandths of a unit.
    pub taken: u64,
    /// More returned.
    pub returned: u64,
}

/// Some of the counts of one life, in the order of their versions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Delta {
    /// It holds every count whose version is after this ...
    pub after: u64,
    /// ... up to this; both are nought where it holds just some.
    pub up_to: u64,
    /// The counts.
    pub counts: Vec<Versioned>,
}

/// What is known of one life of one door.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    counts: BTreeMap<(Epoch, Customer), (u64, Count)>,
    order: BTreeMap<u64, (Epoch, Customer)>,
    /// Everything up to this version is known, but for epochs that are over.
    known: u64,
    /// Epochs before this one are over.
    first: Epoch,
}

impl Replica {
    /// All changes up to this one are known.
    pub fn known(&self) -> u64 {
        self.known
    }

    /// Counts held.
    pub fn len(&self) -> usize {
        self.counts.len()
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    /// A count, if it is held.
    pub fn get(&self, epoch: Epoch, customer: Customer) -> Option<Count> {
        self.counts.get(&(epoch, customer)).map(|(_, count)| *count)
    }

    /// All counts, by epoch and customer.
    pub fn counts(&self) -> impl Iterator<Item = (Epoch, Customer, Count)> + '_ {
        self.counts
            .iter()
            .map(|((epoch, customer), (_, count))| (*epoch, *customer, *count))
    }

    /// What a customer has used in all epochs that are held, in thousandths of a unit.
    pub fn total(&self, customer: Customer) -> i64 {
        let epochs = self.epochs();
        epochs
            .iter()
            .filter_map(|epoch| self.get(*epoch, customer))
            .map(Count::net)
            .sum()
    }

    /// Epochs of which anything is held: there are few, so they are stepped through.
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

    /// Counts a change at the door itself; `None` where the count has come to its width.
    pub fn change(&mut self, epoch: Epoch, customer: Customer, milli: i64) -> Option<Versioned> {
        self.known += 1;
        let version = self.known;
        let (old, count) = self
            .counts
            .entry((epoch, customer))
            .or_insert((version, Count::default()));
        let whole = count.add(milli);
        let count = *count;
        if *old != version {
            self.order.remove(old);
        }
        *old = version;
        self.order.insert(version, (epoch, customer));
        whole.then_some(Versioned {
            version,
            epoch,
            customer,
            count,
        })
    }

    /// Takes in one count that was heard; what it changed, or `None` where it is no news. A count that is new here needs
    /// `room`.
    pub fn join(&mut self, heard: &Versioned, room: bool) -> Result<Option<Change>, NoRoom> {
        if heard.epoch < self.first {
            return Ok(None);
        }
        let key = (heard.epoch, heard.customer);
        let before = self.counts.get(&key).copied();
        if before.is_some_and(|(version, _)| version >= heard.version) {
            return Ok(None);
        }
        if before.is_none() && !room {
            return Err(NoRoom);
        }
        let (old, was) = before.unwrap_or_default();
        let now = was.join(heard.count);
        if before.is_some() {
            self.order.remove(&old);
        }
        self.counts.insert(key, (heard.version, now));
        self.order.insert(heard.version, key);
        Ok(Some(Change {
            taken: now.taken - was.taken,
            returned: now.returned - was.returned,
        }))
    }

    /// Everything up to a version has been heard, by a delta that began at or before what was known.
    pub fn heard_all(&mut self, after: u64, up_to: u64) {
        if after <= self.known {
            self.known = self.known.max(up_to);
        }
    }

    /// What somebody lacks who knows everything up to `after`, as long as `fits` takes it.
    pub fn delta(&self, after: u64, mut fits: impl FnMut(&Versioned) -> bool) -> Delta {
        let mut delta = Delta {
            after,
            up_to: after,
            counts: Vec::new(),
        };
        if after >= self.known {
            return delta;
        }
        for (version, (epoch, customer)) in self.order.range(after + 1..=self.known) {
            let Some((_, count)) = self.counts.get(&(*epoch, *customer)) else {
                continue;
            };
            let told = Versioned {
                version: *version,
                epoch: *epoch,
                customer: *customer,
                count: *count,
            };
            if !fits(&told) {
                return delta;
            }
            delta.up_to = *version;
            delta.counts.push(told);
        }
        delta.up_to = self.known;
        delta
    }

    /// A count as it would be told.
    pub fn told(&self, epoch: Epoch, customer: Customer) -> Option<Versioned> {
        let (version, count) = *self.counts.get(&(epoch, customer))?;
        Some(Versioned {
            version,
            epoch,
            customer,
            count,
        })
    }

    /// Drops all epochs before this one; how many counts went.
    pub fn forget_before(&mut self, first: Epoch) -> usize {
        self.first = self.first.max(first);
        let kept = self.counts.split_off(&(self.first, 0));
        let gone = std::mem::replace(&mut self.counts, kept);
        for (version, _) in gone.values() {
            self.order.remove(version);
        }
        gone.len()
    }
}

/// A count was heard for which there is no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoRoom;
