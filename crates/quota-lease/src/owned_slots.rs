//! The slots that one controller owns, and the time from which it may lease each of them.
//!
//! Invariant: a slot that another controller may have leased is not leased for [`TAKEOVER_DELAY`]
//! after its new owner has applied the entry that made it the owner
//! (`docs/design/control-leases.md`).

use crate::*;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of completed takeover delays that are kept. The oldest is dropped first, and the
/// takeover delay of its slot then starts again after a restart.
const MAX_COMPLETED_DELAYS: usize = 64;

/// A change of a slot that this controller owns or has owned. Slots are identified by the index of
/// the log entry that made this controller the owner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SlotEvent {
    /// The slot is owned since the entry with this index, and may be leased from now on.
    Owned(u64),
    /// The slot is owned since the entry with this index, and may be leased after this many
    /// milliseconds.
    Waiting(u64, Millis),
    /// The takeover delay of the slot that the entry with this index assigned is over. The caller
    /// persists the index, so that the next incarnation does not wait again.
    WaitCompleted(u64),
    /// The slot that the entry with this index assigned to this controller has another owner or
    /// none.
    Lost(u64),
}

/// The slots that one controller owns.
#[derive(Clone, Debug)]
pub struct OwnedSlots {
    /// Address of this controller.
    owner: String,
    slots: Slots,
    /// End of each takeover delay in progress, by the entry that made this controller the owner.
    waiting_until: BTreeMap<u64, Millis>,
    /// Entries whose slots have completed their takeover delay.
    completed: BTreeSet<u64>,
}

impl OwnedSlots {
    /// Returns the slots of the controller at the address `owner`, with their first events.
    /// `completed` are the indexes of all [`SlotEvent::WaitCompleted`] that earlier incarnations
    /// have persisted.
    pub fn new(
        now: Millis,
        owner: &str,
        slots: Slots,
        completed: BTreeSet<u64>,
    ) -> (OwnedSlots, Vec<SlotEvent>) {
        let mut owned = OwnedSlots {
            owner: owner.to_owned(),
            slots: Slots::default(),
            waiting_until: BTreeMap::new(),
            completed,
        };
        let events = owned.install(now, slots);
        (owned, events)
    }

    /// All slots, as of the last entry applied.
    pub fn slots(&self) -> &Slots {
        &self.slots
    }

    /// Applies the committed entry at `index`, which changes the members.
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

    /// Replaces all slots, for example by those of a snapshot. A slot counts as unchanged if the
    /// entry that assigned it to this controller is the same.
    pub fn install(&mut self, now: Millis, slots: Slots) -> Vec<SlotEvent> {
        let previous = std::mem::replace(&mut self.slots, slots);
        let mut events = self.remove_lost(&previous);
        events.extend(self.add_gained(now, &previous));
        events
    }

    /// Completes the takeover delays that have ended by `now`.
    pub fn tick(&mut self, now: Millis) -> Vec<SlotEvent> {
        let ended: Vec<u64> = self
            .waiting_until
            .iter()
            .filter(|(_, until)| now >= **until)
            .map(|(since, _)| *since)
            .collect();
        for since in &ended {
            self.waiting_until.remove(since);
            self.completed.insert(*since);
        }
        while self.completed.len() > MAX_COMPLETED_DELAYS {
            self.completed.pop_first();
        }
        ended.into_iter().map(SlotEvent::WaitCompleted).collect()
    }

    /// The share of every quota that this controller may lease now, in ppm.
    pub fn limit(&self) -> u32 {
        let leasable = self
            .slots
            .owned_by(&self.owner)
            .filter(|slot| !self.waiting_until.contains_key(&slot.since));
        self.slots.slot_ppm() * leasable.count() as u32
    }

    fn remove_lost(&mut self, previous: &Slots) -> Vec<SlotEvent> {
        let mut events = Vec::new();
        for slot in previous.owned_by(&self.owner) {
            if !owns_since(&self.slots, &self.owner, slot.since) {
                self.waiting_until.remove(&slot.since);
                events.push(SlotEvent::Lost(slot.since));
            }
        }
        events
    }

    fn add_gained(&mut self, now: Millis, previous: &Slots) -> Vec<SlotEvent> {
        let mut events = Vec::new();
        for slot in self.slots.owned_by(&self.owner) {
            if owns_since(previous, &self.owner, slot.since) {
                continue;
            }
            if !slot.used || self.completed.contains(&slot.since) {
                events.push(SlotEvent::Owned(slot.since));
            } else {
                self.waiting_until.insert(slot.since, now + TAKEOVER_DELAY);
                events.push(SlotEvent::Waiting(slot.since, TAKEOVER_DELAY));
            }
        }
        events
    }
}

fn owns_since(slots: &Slots, owner: &str, since: u64) -> bool {
    slots.owned_by(owner).any(|slot| slot.since == since)
}
