//! The owners of slots. Every quota is divided into the same number of equal slots, and a slot's
//! owner is the only controller that may lease it.
//!
//! Invariant: the owners are a function of the committed sequence of member sets alone, so every
//! controller that has applied the same entries computes the same owners
//! (`docs/design/control-leases.md`).

use crate::*;
use std::collections::BTreeSet;

/// Maximum number of slots of a quota. Controllers beyond that number own none.
const MAX_SLOTS: usize = 31;
/// Maximum number of controllers in the settings of a first start: if the settings name fewer, the
/// system has no other controllers.
const MAX_SEED_CONTROLLERS: usize = 3;

/// One of the equal parts of every quota.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Slot {
    /// Address of the controller that may lease the slot; empty for none.
    #[prost(string, tag = "1")]
    pub owner: String,
    /// Index of the log entry that assigned the slot to its owner.
    #[prost(uint64, tag = "2")]
    pub since: u64,
    /// Whether another controller may have leased the slot before its owner.
    #[prost(bool, tag = "3")]
    pub used: bool,
}

/// The slots of every quota and their owners.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Slots {
    /// All slots. Their number is fixed at the first start.
    #[prost(message, repeated, tag = "1")]
    pub all: Vec<Slot>,
}

impl Slots {
    /// Returns the slots at the first start: 2 × `losses` + 1, the minimum number of controllers
    /// that tolerate this many losses, and at least one for each of the first `members`. `index` is
    /// the entry up to which the members are known, and `used` whether other controllers may have
    /// leased slots before that entry.
    pub fn initial(members: &BTreeSet<String>, losses: u32, index: u64, used: bool) -> Slots {
        let min_count = if members.len() < MAX_SEED_CONTROLLERS {
            0
        } else {
            (losses as usize).saturating_mul(2) + 1
        };
        let count = min_count.max(members.len()).clamp(1, MAX_SLOTS);
        let unowned = Slot {
            owner: String::new(),
            since: index,
            used,
        };
        let mut slots = Slots {
            all: vec![unowned; count],
        };
        slots.reassign(members, index);
        slots
    }

    /// Applies the entry at `index`, which sets the members. Slots whose owner is no longer a
    /// member become free. Free slots are assigned to members without a slot, in the order of their
    /// addresses; slots that were never leased are assigned first.
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

    /// The slots of one controller.
    pub fn owned_by<'a>(&'a self, owner: &'a str) -> impl Iterator<Item = &'a Slot> {
        self.all.iter().filter(move |slot| slot.owner == owner)
    }

    /// The size of one slot, in ppm of the quota.
    pub fn slot_ppm(&self) -> u32 {
        FULL_QUOTA_PPM / self.all.len().max(1) as u32
    }
}
