//! Owners of slots and takeover delays, after any sequence of member sets.

use maplefall_quota_lease::{
    membership_lease_valid, OwnedSlots, Slot, SlotEvent, Slots, CLOCK_SKEW, FULL_QUOTA_PPM,
    LEASE_DURATION, MEMBERSHIP_LEASE, TAKEOVER_DELAY,
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
    /// Guards the total of a quota. After any sequence of member sets, a slot has at most one
    /// owner, which is a member; no remaining member loses its slot; a member has no slot only if
    /// none is free; the slots of all owners add up to at most the full quota; and two controllers
    /// that apply the same entries, one of them from a snapshot, compute the same owners.
    fn owners_are_a_function_of_the_member_sets(first: u8, losses: u8, changes: Vec<u8>, snapshot_at: usize) -> bool {
        let first = members(first);
        let mut slots = Slots::initial(&first, u32::from(losses % 4), 0, false);
        let mut from_snapshot = None;
        let count = slots.all.len();
        for (index, bits) in changes.iter().enumerate() {
            let current = members(*bits);
            let previous = slots.clone();
            slots.reassign(&current, index as u64 + 1);
            let replica = from_snapshot.get_or_insert_with(|| previous.clone());
            if index == snapshot_at % (changes.len() + 1) {
                *replica = previous.clone();
            }
            replica.reassign(&current, index as u64 + 1);
            let is_kept = |old: &Slot, new: &Slot| !current.contains(&old.owner) || old == new;
            let all_kept = previous.all.iter().zip(&slots.all).all(|(old, new)| is_kept(old, new));
            let changed = previous.all.iter().zip(&slots.all).filter(|(old, new)| old.owner != new.owner);
            // A slot that had an owner never counts as unused again.
            let marked_used = changed.clone().all(|(old, new)| old.owner.is_empty() || new.used);
            let owners_are_members = slots.all.iter().all(|slot| slot.owner.is_empty() || current.contains(&slot.owner));
            let any_free = slots.all.iter().any(|slot| slot.owner.is_empty());
            let any_without_slot = current.iter().any(|member| slots.owned_by(member).next().is_none());
            let sum: u32 = current.iter().map(|member| slots.slot_ppm() * slots.owned_by(member).count() as u32).sum();
            let valid = all_kept && marked_used && owners_are_members && !(any_free && any_without_slot) && sum <= FULL_QUOTA_PPM;
            if !valid || *replica != slots || slots.all.len() != count {
                return false;
            }
        }
        true
    }

    /// Guards against double leases. With any sequence of member sets, which each controller
    /// applies while it is connected, no slot is leased by two controllers at the same time,
    /// provided that a partitioned controller stops leasing when its membership lease ends, and its
    /// leases expire.
    fn no_slot_is_leased_by_two_controllers(losses: u8, steps: Vec<(u8, u16, u8)>) -> bool {
        let first = members(0b111);
        let mut log = vec![first.clone()];
        let apply_all = |log: &[BTreeSet<String>]| {
            let mut slots = Slots::initial(&log[0], u32::from(losses % 3), 0, false);
            for (index, members) in log.iter().enumerate().skip(1) {
                slots.reassign(members, index as u64);
            }
            slots
        };
        let names: Vec<String> = (0..8).map(|controller| format!("10.0.0.{controller}")).collect();
        // Each controller, with the number of entries it has applied and the time of its last
        // contact.
        let mut controllers: Vec<(OwnedSlots, usize, f64)> = names
            .iter()
            .map(|name| (OwnedSlots::new(0.0, name, apply_all(&log), BTreeSet::new()).0, 1, 0.0))
            .collect();
        // Time at which the leases of each slot by each controller expire.
        let mut leases: BTreeMap<(usize, String), f64> = BTreeMap::new();
        let mut now = 0.0;
        for (members_bits, elapsed, partitioned) in steps {
            now += f64::from(elapsed % 16_384);
            let next_members = members(members_bits | 1);
            if next_members != *log.last().unwrap_or(&first) {
                log.push(next_members);
            }
            for (controller, (owned, applied, contact)) in controllers.iter_mut().enumerate() {
                if partitioned & (1 << controller) == 0 {
                    for (index, members) in log.iter().enumerate().skip(*applied) {
                        owned.members_changed(now, members, index as u64);
                    }
                    *applied = log.len();
                    *contact = now;
                }
                owned.tick(now);
                if !membership_lease_valid(now, *contact) || owned.limit() == 0 {
                    continue;
                }
                let slot_size = owned.slots().slot_ppm();
                // A controller that may not lease all of its slots is skipped: the limit does not
                // tell which slots still wait for the takeover delay.
                let own_slots: Vec<usize> =
                    (0..owned.slots().all.len()).filter(|slot_index| owned.slots().all[*slot_index].owner == names[controller]).collect();
                if owned.limit() != slot_size * own_slots.len() as u32 {
                    continue;
                }
                for slot_index in own_slots {
                    let other_leases = leases.iter().filter(|((slot, controller_name), until)| *slot == slot_index && *controller_name != names[controller] && **until > now);
                    if other_leases.count() > 0 {
                        return false;
                    }
                    leases.insert((slot_index, names[controller].clone()), now + LEASE_DURATION + CLOCK_SKEW);
                }
            }
        }
        true
    }
}

/// Guards the first start with five controllers: each of the first three controllers owns one of
/// five slots, and keeps it when the others join.
#[test]
fn growing_from_three_to_five_reassigns_no_slot() {
    let mut slots = Slots::initial(&set(&["a", "b", "c"]), 2, 0, false);
    assert_eq!(owners(&slots), ["a", "b", "c", "", ""]);
    slots.reassign(&set(&["a", "b", "c", "e"]), 7);
    slots.reassign(&set(&["a", "b", "c", "d", "e"]), 9);
    assert_eq!(owners(&slots), ["a", "b", "c", "e", "d"]);
    assert!(slots.all.iter().all(|slot| !slot.used));
    // A sixth controller owns no slot until another one is removed.
    slots.reassign(&set(&["a", "b", "c", "d", "e", "f"]), 11);
    assert_eq!(slots.owned_by("f").count(), 0);
    slots.reassign(&set(&["a", "c", "d", "e", "f"]), 12);
    assert_eq!(owners(&slots), ["a", "f", "c", "e", "d"]);
    assert!(slots.all[1].used);
}

/// Guards small systems: if the settings name one or two controllers, there are no other
/// controllers, and the named ones lease the full quota.
#[test]
fn fewer_than_three_controllers_own_the_full_quota() {
    let slots = Slots::initial(&set(&["a"]), 1, 0, false);
    assert_eq!((slots.all.len(), slots.slot_ppm()), (1, FULL_QUOTA_PPM));
    let slots = Slots::initial(&set(&["a", "b"]), 1, 0, false);
    assert_eq!((slots.all.len(), slots.slot_ppm()), (2, FULL_QUOTA_PPM / 2));
}

/// Guards replacements: a new owner leases nothing until every lease by the previous owner has
/// expired. A restart during the takeover delay starts the delay again, a later restart does not.
#[test]
fn a_new_owner_waits_for_the_takeover_delay_once() {
    let first = Slots::initial(&set(&["a", "b", "c"]), 1, 0, false);
    let (mut d, events) = OwnedSlots::new(0.0, "d", first.clone(), BTreeSet::new());
    assert!(events.is_empty() && d.limit() == 0);
    let events = d.members_changed(1000.0, &set(&["a", "c", "d"]), 5);
    assert_eq!(events, [SlotEvent::Waiting(5, TAKEOVER_DELAY)]);
    const { assert!(TAKEOVER_DELAY > LEASE_DURATION + MEMBERSHIP_LEASE) };
    assert!(d.tick(999.0 + TAKEOVER_DELAY).is_empty());
    assert_eq!(d.limit(), 0);
    // A restart during the takeover delay.
    let (mut restarted, events) =
        OwnedSlots::new(20_000.0, "d", d.slots().clone(), BTreeSet::new());
    assert_eq!(events, [SlotEvent::Waiting(5, TAKEOVER_DELAY)]);
    assert!(restarted.tick(1001.0 + TAKEOVER_DELAY).is_empty());
    assert_eq!(
        d.tick(1000.0 + TAKEOVER_DELAY),
        [SlotEvent::WaitCompleted(5)]
    );
    assert_eq!(d.limit(), FULL_QUOTA_PPM / 3);
    // A restart after the takeover delay, with the end of the delay persisted.
    let (restarted_later, events) =
        OwnedSlots::new(0.0, "d", d.slots().clone(), BTreeSet::from([5]));
    assert_eq!(
        (events, restarted_later.limit()),
        (vec![SlotEvent::Owned(5)], FULL_QUOTA_PPM / 3)
    );
    // A member that is removed and added again waits for the takeover delay again.
    let mut b = OwnedSlots::new(0.0, "b", first, BTreeSet::from([0])).0;
    assert_eq!(b.limit(), FULL_QUOTA_PPM / 3);
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
