//! Who may lend how much.

use crate::*;
use std::collections::{BTreeMap, BTreeSet};

/// Slots at most.
const MOST_SLOTS: usize = 31;
/// Addresses that a first start is told of at most: where it is told of fewer, there are no more exchanges than these.
const SEEDS: usize = 3;
/// Waits that are remembered as over at most. One that is forgotten is waited out again.
const MOST_WAITED: usize = 64;

/// One of the equal parts that the whole of every quota is cut into.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Slot {
    /// Who lends it; empty for nobody.
    #[prost(string, tag = "1")]
    pub owner: String,
    /// Index of the entry that gave it to its owner.
    #[prost(uint64, tag = "2")]
    pub since: u64,
    /// Whether another may have lent it before this owner.
    #[prost(bool, tag = "3")]
    pub used: bool,
}

/// Who owns which slot: a function of the agreed sequence of member sets, the same on every exchange.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Slots {
    /// All slots; their number never changes.
    #[prost(message, repeated, tag = "1")]
    pub all: Vec<Slot>,
}

impl Slots {
    /// The slots at the first start: enough for the fewest exchanges of which `losses` may be lost, and one for each of the first.
    /// `index` is the entry up to which the members are known, and `used` whether others may have lent before it.
    pub fn initial(members: &BTreeSet<String>, losses: u32, index: u64, used: bool) -> Slots {
        let fewest = if members.len() < SEEDS {
            0
        } else {
            (losses as usize).saturating_mul(2) + 1
        };
        let count = fewest.max(members.len()).clamp(1, MOST_SLOTS);
        let free = Slot {
            owner: String::new(),
            since: index,
            used,
        };
        let mut slots = Slots {
            all: vec![free; count],
        };
        slots.reassign(members, index);
        slots
    }

    /// The members that the entry at `index` has agreed on take the place of those before: slots of whoever is no member are free,
    /// and free ones go to members that own none, in the order of their names, first those that nobody has lent yet.
    pub fn reassign(&mut self, members: &BTreeSet<String>, index: u64) {
        for slot in self.all.iter_mut().filter(|slot| !slot.owner.is_empty()) {
            if !members.contains(&slot.owner) {
                (slot.owner, slot.used) = (String::new(), true);
            }
        }
        for member in members.iter().filter(|member| !member.is_empty()) {
            if self.owned_by(member).next().is_some() {
                continue;
            }
            let free = self.all.iter_mut().filter(|slot| slot.owner.is_empty());
            let Some(slot) = free.min_by_key(|slot| slot.used) else {
                return;
            };
            (slot.owner, slot.since) = (member.clone(), index);
        }
    }

    /// The slots of one owner.
    pub fn owned_by<'a>(&'a self, owner: &'a str) -> impl Iterator<Item = &'a Slot> {
        self.all.iter().filter(move |slot| slot.owner == owner)
    }

    /// One slot's part of the whole, in parts per million.
    pub fn slot_ppm(&self) -> u32 {
        WHOLE_QUOTA_PPM / self.all.len().max(1) as u32
    }
}

/// What has become of a slot of ours.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SlotEvent {
    /// It is ours by the entry of this index, to be lent at once.
    Owned(u64),
    /// It is ours by the entry of this index, to be lent after so many milliseconds.
    Waiting(u64, Millis),
    /// Its wait is over: this is to be written to disk, lest a later life waits again.
    WaitOver(u64),
    /// The one that the entry of this index gave us is no longer ours.
    Lost(u64),
}

/// What one exchange may lend.
#[derive(Clone, Debug)]
pub struct OwnedSlots {
    me: String,
    slots: Slots,
    /// Until when what earlier owners have lent may be out, by the entry that made a slot ours.
    waits: BTreeMap<u64, Millis>,
    /// Entries whose slots have been waited for.
    waited: BTreeSet<u64>,
}

impl OwnedSlots {
    /// What `me` may lend. `waited` is what [`Turn::Waited`] told in earlier lives with this disk.
    pub fn new(
        now: Millis,
        me: &str,
        slots: Slots,
        waited: BTreeSet<u64>,
    ) -> (OwnedSlots, Vec<SlotEvent>) {
        let mut shares = OwnedSlots {
            me: me.to_owned(),
            slots: Slots::default(),
            waits: BTreeMap::new(),
            waited,
        };
        let turns = shares.install(now, slots);
        (shares, turns)
    }

    /// The slots, as far as is agreed.
    pub fn slots(&self) -> &Slots {
        &self.slots
    }

    /// An entry has been agreed on that says who the members are.
    pub fn members_changed(
        &mut self,
        now: Millis,
        members: &BTreeSet<String>,
        index: u64,
    ) -> Vec<SlotEvent> {
        let mut slots = self.slots.clone();
        slots.reassign(members, index);
        self.install(now, slots)
    }

    /// These are the slots from now on.
    pub fn install(&mut self, now: Millis, slots: Slots) -> Vec<SlotEvent> {
        let before = std::mem::replace(&mut self.slots, slots);
        let mut turns = Vec::new();
        for slot in before.owned_by(&self.me) {
            if !self
                .slots
                .owned_by(&self.me)
                .any(|now| now.since == slot.since)
            {
                self.waits.remove(&slot.since);
                turns.push(SlotEvent::Lost(slot.since));
            }
        }
        for slot in self.slots.owned_by(&self.me) {
            if before
                .owned_by(&self.me)
                .any(|before| before.since == slot.since)
            {
                continue;
            }
            if !slot.used || self.waited.contains(&slot.since) {
                turns.push(SlotEvent::Owned(slot.since));
            } else {
                self.waits.insert(slot.since, now + TAKEOVER_DELAY);
                turns.push(SlotEvent::Waiting(slot.since, TAKEOVER_DELAY));
            }
        }
        turns
    }

    /// Waits that are over by now.
    pub fn tick(&mut self, now: Millis) -> Vec<SlotEvent> {
        let over: Vec<u64> = self
            .waits
            .iter()
            .filter(|(_, until)| now >= **until)
            .map(|(since, _)| *since)
            .collect();
        for since in &over {
            self.waits.remove(since);
            self.waited.insert(*since);
        }
        while self.waited.len() > MOST_WAITED {
            self.waited.pop_first();
        }
        over.into_iter().map(SlotEvent::WaitOver).collect()
    }

    /// What may be lent of every quota, in parts per million.
    pub fn limit(&self) -> u32 {
        let mine = self
            .slots
            .owned_by(&self.me)
            .filter(|slot| !self.waits.contains_key(&slot.since));
        self.slots.slot_ppm() * mine.count() as u32
    }
}
