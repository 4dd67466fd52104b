//! Who owns which slot, over any sequence of members.

use maplefall_quota_lease::{
    membership_lease_valid, OwnedSlots, Slot, SlotEvent, Slots, CLOCK_SKEW, LEASE_DURATION,
    MEMBERSHIP_LEASE, TAKEOVER_DELAY, WHOLE_QUOTA_PPM,
};
use quickcheck::quickcheck;
use std::collections::{BTreeMap, BTreeSet};

fn members(bits: u8) -> BTreeSet<String> {
    (0..8)
        .filter(|n| bits & (1 << n) != 0)
        .map(|n| format!("10.0.0.{n}"))
        .collect()
}

fn set(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn owners(slots: &Slots) -> Vec<&str> {
    slots.all.iter().map(|slot| slot.owner.as_str()).collect()
}

quickcheck! {
    /// Guards the whole: whatever the members were, each slot has one owner at most, who is a member; nobody who stays loses one; a
    /// member goes without only where none is free; the parts of all owners are the whole at most; and two exchanges
    /// that follow the same entries, one of them from a snapshot, agree.
    fn slots_follow_from_the_members(first: u8, losses: u8, changes: Vec<u8>, folded: usize) -> bool {
        let first = members(first);
        let mut slots = Slots::initial(&first, u32::from(losses % 4), 0, false);
        let mut other = None;
        let count = slots.all.len();
        for (index, bits) in changes.iter().enumerate() {
            let now = members(*bits);
            let before = slots.clone();
            slots.reassign(&now, index as u64 + 1);
            let again = other.get_or_insert_with(|| before.clone());
            if index == folded % (changes.len() + 1) {
                *again = before.clone();
            }
            again.reassign(&now, index as u64 + 1);
            let kept = |old: &Slot, new: &Slot| !now.contains(&old.owner) || old == new;
            let stays = before.all.iter().zip(&slots.all).all(|(old, new)| kept(old, new));
            let changed = before.all.iter().zip(&slots.all).filter(|(old, new)| old.owner != new.owner);
            // A slot that was anybody's is never taken for a new one.
            let marked = changed.clone().all(|(old, new)| old.owner.is_empty() || new.used);
            let all_members = slots.all.iter().all(|slot| slot.owner.is_empty() || now.contains(&slot.owner));
            let free = slots.all.iter().any(|slot| slot.owner.is_empty());
            let without = now.iter().any(|member| slots.owned_by(member).next().is_none());
            let sum: u32 = now.iter().map(|member| slots.slot_ppm() * slots.owned_by(member).count() as u32).sum();
            let good = stays && marked && all_members && !(free && without) && sum <= WHOLE_QUOTA_PPM;
            if !good || *again != slots || slots.all.len() != count {
                return false;
            }
        }
        true
    }

    /// Guards every moment: over any sequence of members, with each exchange hearing of it when it does and starting anew in between,
    /// no slot is lent by two at a time, if whoever does not hear stops as its lease says and its loans run out.
    fn no_slot_is_lent_twice(losses: u8, steps: Vec<(u8, u16, u8)>) -> bool {
        let first = members(0b111);
        let mut log = vec![first.clone()];
        let fold = |log: &[BTreeSet<String>]| {
            let mut slots = Slots::initial(&log[0], u32::from(losses % 3), 0, false);
            for (index, members) in log.iter().enumerate().skip(1) {
                slots.reassign(members, index as u64);
            }
            slots
        };
        let names: Vec<String> = (0..8).map(|n| format!("10.0.0.{n}")).collect();
        // Each with how many entries it knows, and when it was last in touch.
        let mut all: Vec<(OwnedSlots, usize, f64)> = names
            .iter()
            .map(|name| (OwnedSlots::new(0.0, name, fold(&log), BTreeSet::new()).0, 1, 0.0))
            .collect();
        // What was lent of each slot, by the entry and place that tell it, until when.
        let mut out: BTreeMap<(usize, String), f64> = BTreeMap::new();
        let mut now = 0.0;
        for (bits, wait, cut) in steps {
            now += f64::from(wait % 16_384);
            let next = members(bits | 1);
            if next != *log.last().unwrap_or(&first) {
                log.push(next);
            }
            for (n, (shares, known, contact)) in all.iter_mut().enumerate() {
                if cut & (1 << n) == 0 {
                    for (index, members) in log.iter().enumerate().skip(*known) {
                        shares.members_changed(now, members, index as u64);
                    }
                    *known = log.len();
                    *contact = now;
                }
                shares.tick(now);
                if !membership_lease_valid(now, *contact) || shares.limit() == 0 {
                    continue;
                }
                let part = shares.slots().slot_ppm();
                // As many as it may lend: those it owned from the first, or all.
                let mine: Vec<usize> =
                    (0..shares.slots().all.len()).filter(|at| shares.slots().all[*at].owner == names[n]).collect();
                if shares.limit() != part * mine.len() as u32 {
                    continue;
                }
                for at in mine {
                    let others = out.iter().filter(|((slot, who), until)| *slot == at && *who != names[n] && **until > now);
                    if others.count() > 0 {
                        return false;
                    }
                    out.insert((at, names[n].clone()), now + LEASE_DURATION + CLOCK_SKEW);
                }
            }
        }
        true
    }
}

/// Guards the first start with five: the three that are told of first own one slot of five each, and nobody ever takes one back.
#[test]
fn three_that_become_five_take_nothing_back() {
    let mut slots = Slots::initial(&set(&["a", "b", "c"]), 2, 0, false);
    assert_eq!(owners(&slots), ["a", "b", "c", "", ""]);
    slots.reassign(&set(&["a", "b", "c", "e"]), 7);
    slots.reassign(&set(&["a", "b", "c", "d", "e"]), 9);
    assert_eq!(owners(&slots), ["a", "b", "c", "e", "d"]);
    assert!(slots.all.iter().all(|slot| !slot.used));
    // A sixth owns none, until one goes.
    slots.reassign(&set(&["a", "b", "c", "d", "e", "f"]), 11);
    assert_eq!(slots.owned_by("f").count(), 0);
    slots.reassign(&set(&["a", "c", "d", "e", "f"]), 12);
    assert_eq!(owners(&slots), ["a", "f", "c", "e", "d"]);
    assert!(slots.all[1].used);
}

/// Guards small systems: where a first start is told of one or two, there are no more, and they lend all.
#[test]
fn fewer_than_three_lend_the_whole() {
    let slots = Slots::initial(&set(&["a"]), 1, 0, false);
    assert_eq!((slots.all.len(), slots.slot_ppm()), (1, WHOLE_QUOTA_PPM));
    let slots = Slots::initial(&set(&["a", "b"]), 1, 0, false);
    assert_eq!(
        (slots.all.len(), slots.slot_ppm()),
        (2, WHOLE_QUOTA_PPM / 2)
    );
}

/// Guards replacements: who comes after another lends nothing until all that the other can have lent has run out; a start before the wait is
/// over waits in full again, one after it does not.
#[test]
fn a_new_owner_waits_and_a_later_life_knows() {
    let first = Slots::initial(&set(&["a", "b", "c"]), 1, 0, false);
    let (mut d, turns) = OwnedSlots::new(0.0, "d", first.clone(), BTreeSet::new());
    assert!(turns.is_empty() && d.limit() == 0);
    let turns = d.members_changed(1000.0, &set(&["a", "c", "d"]), 5);
    assert_eq!(turns, [SlotEvent::Waiting(5, TAKEOVER_DELAY)]);
    const { assert!(TAKEOVER_DELAY > LEASE_DURATION + MEMBERSHIP_LEASE) };
    assert!(d.tick(999.0 + TAKEOVER_DELAY).is_empty());
    assert_eq!(d.limit(), 0);
    // A life that starts in the waiting time.
    let (mut again, turns) = OwnedSlots::new(20_000.0, "d", d.slots().clone(), BTreeSet::new());
    assert_eq!(turns, [SlotEvent::Waiting(5, TAKEOVER_DELAY)]);
    assert!(again.tick(1001.0 + TAKEOVER_DELAY).is_empty());
    assert_eq!(d.tick(1000.0 + TAKEOVER_DELAY), [SlotEvent::WaitOver(5)]);
    assert_eq!(d.limit(), WHOLE_QUOTA_PPM / 3);
    // A life that starts after it, with the word of it on its disk.
    let (later, turns) = OwnedSlots::new(0.0, "d", d.slots().clone(), BTreeSet::from([5]));
    assert_eq!(
        (turns, later.limit()),
        (vec![SlotEvent::Owned(5)], WHOLE_QUOTA_PPM / 3)
    );
    // Who was taken out and is taken in again waits again.
    let mut b = OwnedSlots::new(0.0, "b", first, BTreeSet::from([0])).0;
    assert_eq!(b.limit(), WHOLE_QUOTA_PPM / 3);
    assert_eq!(
        b.members_changed(10.0, &set(&["a", "c"]), 5),
        [SlotEvent::Lost(0)]
    );
    assert_eq!(
        b.members_changed(20.0, &set(&["a", "b", "c"]), 6),
        [SlotEvent::Waiting(6, TAKEOVER_DELAY)]
    );
    assert_eq!(b.limit(), 0);
}
