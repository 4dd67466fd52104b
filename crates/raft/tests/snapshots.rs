//! Folding, and states sent in parts: amortised, resumed, checked, and done while changes go on. Seeds are printed.

mod play;

use maplefall_raft::Raft;
use play::{calm, Fleet, Variant};

/// A fleet of three that has agreed on so many changes, one of them cut off since the first few; tells whom.
fn behind(seed: u64, changes: u64) -> (Fleet, String) {
    let mut fleet = Fleet::new(seed, 3, Variant::Right);
    (fleet.payload, fleet.folded_bytes, fleet.look) = (200, 200, 500);
    fleet.rate = 0.0;
    fleet.play(1500.0);
    let leader = fleet.leader().unwrap_or_default();
    let name = fleet
        .names
        .iter()
        .find(|name| **name != leader)
        .cloned()
        .unwrap_or_default();
    fleet.cut_off(&name, true, true);
    let start = fleet.acknowledged.len() as u64;
    while (fleet.acknowledged.len() as u64) < start + changes {
        let leader = fleet.leader().unwrap_or_default();
        (0..20).for_each(|_| fleet.propose(&leader));
        fleet.play(20.0);
    }
    // Long enough to be out of touch.
    fleet.play(1500.0);
    (fleet, name)
}

fn lacks(fleet: &Fleet, name: &str) -> u64 {
    let commit = fleet.nodes[name].tandem.as_ref().map_or(0, Raft::commit);
    fleet.truth.keys().next_back().copied().unwrap_or(0) - commit
}

/// Guards catching up: one that lacks hundreds or thousands of changes has them all in bounded time, while changes go on at 20 a second.
#[test]
fn one_far_behind_catches_up_while_changes_go_on() {
    for (changes, bound) in [(300, 1000.0), (3000, 1500.0), (30_000, 3000.0)] {
        let mut worst: f64 = 0.0;
        for seed in 0..if changes > 3000 { 2 } else { 5 } {
            let (mut fleet, name) = behind(seed, changes);
            let lacking = lacks(&fleet, &name);
            fleet.rate = 0.06;
            fleet.join();
            let start = fleet.now;
            let before = fleet.sent_to.get(&name).copied().unwrap_or_default();
            let touch = |fleet: &Fleet| {
                fleet.nodes[&name]
                    .tandem
                    .as_ref()
                    .is_some_and(|t| t.has_quorum_contact(fleet.now))
            };
            while (!touch(&fleet) || lacks(&fleet, &name) > 1) && fleet.now - start < 20_000.0 {
                fleet.play(1.0);
            }
            let after = fleet.sent_to.get(&name).copied().unwrap_or_default();
            let took = fleet.now - start;
            println!(
                "{changes} changes, seed {seed}: lacked {lacking}, in touch after {took:.0} ms, {} messages to it, {} KiB, folded {} times in all",
                after.0 - before.0,
                (after.1 - before.1) >> 10,
                fleet.folded,
            );
            worst = worst.max(took);
        }
        assert!(worst < bound, "{changes} changes take {worst} ms");
    }
}

/// Guards the disk and the processor: on a day of some hundred changes the log is folded, and folding costs no more than a fixed
/// part of what is written.
#[test]
fn the_log_is_folded_by_bytes_and_not_too_often() {
    for (changes, payload, folded_bytes) in [(600, 400, 20), (600, 400, 2000), (3000, 10, 1)] {
        let mut fleet = Fleet::new(7, 3, Variant::Right);
        (fleet.payload, fleet.folded_bytes, fleet.rate) = (payload, folded_bytes, 0.0);
        fleet.play(1500.0);
        while fleet.acknowledged.len() < changes {
            let leader = fleet.leader().unwrap_or_default();
            (0..5).for_each(|_| fleet.propose(&leader));
            fleet.play(20.0);
        }
        let longest = fleet
            .nodes
            .values()
            .map(|node| node.disk.log.len())
            .max()
            .unwrap_or(0);
        let each = fleet.folded / 3;
        println!("{changes} changes of {payload} bytes, {folded_bytes} bytes of state for each: folded {each} times each, longest log {longest}");
        assert!(each >= 1, "never folded");
        let written = fleet
            .nodes
            .values()
            .map(|node| node.disk.snapshot.state.len())
            .max()
            .unwrap_or(0);
        let most = 4 * (changes * (payload + 64)) / written.max(64 << 10) + 2;
        assert!(
            each as usize <= most,
            "folded {each} times for {changes} changes and a state of {written} bytes"
        );
    }
}

/// Guards states on their way: parts are lost, spoilt, late; whoever sends, takes or folds starts anew in the middle, with and without
/// loss of power; the lead goes to another; the state is folded anew meanwhile. What arrives is what was sent, and it arrives.
#[test]
fn a_state_arrives_whatever_happens_on_its_way() {
    let mut spoilt = 0;
    let mut received = 0;
    for seed in 0..20 {
        println!("seed {seed}");
        let mut fleet = Fleet::new(seed, 3, Variant::Right);
        // Some ten parts, and changes so long that few are kept in memory once they are folded.
        (fleet.payload, fleet.folded_bytes, fleet.look) = (50_000, 20_000, 50);
        fleet.rate = 0.05;
        fleet.play(3000.0);
        for _ in 0..3 {
            let name = fleet.any();
            let wiped = fleet.sound() && fleet.chance(0.5);
            if wiped {
                fleet.crash(&name, true, true, 100.0);
            } else {
                fleet.cut_off(&name, true, true);
            }
            fleet.play(2000.0);
            for name in fleet.names.clone() {
                fleet.fold(&name);
            }
            (fleet.spoilt, fleet.loss) = (0.25, 0.1);
            fleet.join();
            for _ in 0..3 {
                let span = f64::from(fleet.draw(60));
                fleet.play(span);
                let other = fleet.any();
                match fleet.draw(6) {
                    0 => fleet.crash(&name, false, false, 30.0),
                    1 => fleet.crash(&name, true, false, 30.0),
                    2 => fleet.crash(&other, true, false, 30.0),
                    3 => fleet.fold(&other),
                    4 => fleet.freeze(&other, 300.0),
                    _ => fleet.step(&other, |tandem, now, out| tandem.shut_down(now, out)),
                }
            }
            fleet.play(2500.0);
            // Whoever was told to leave starts anew.
            for name in fleet.names.clone() {
                if fleet.chance(0.3) {
                    fleet.crash(&name, false, false, 10.0);
                }
            }
            fleet.play(2500.0);
            (fleet.spoilt, fleet.loss) = (0.0, 0.02);
        }
        for name in fleet.names.clone() {
            fleet.crash(&name, true, false, 10.0);
        }
        calm(&mut fleet, seed);
        spoilt += fleet
            .notes
            .iter()
            .filter(|note| note.contains("event=snapshot_corrupt"))
            .count();
        received += fleet
            .notes
            .iter()
            .filter(|note| note.contains("event=snapshot_received"))
            .count();
    }
    println!("{received} states received, {spoilt} spoilt parts or wholes found");
    assert!(
        spoilt > 20 && received > 40,
        "{spoilt} spoilt, {received} received"
    );
}
