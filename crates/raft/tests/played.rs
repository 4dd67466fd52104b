//! Whatever happens, what one node has agreed on every node agrees on, and nothing that was agreed on is ever lost. After every step,
//! what a start would read from the synced records holds what the node has told others, and what the node holds in memory is what all
//! its records, synced or not, amount to. Seeds are printed; the same seed plays the same.

mod play;

use play::{day, Fleet, Variant};

/// Guards what is acknowledged against any mix of losses that the deployments allow at once.
#[test]
fn what_is_agreed_on_is_never_lost_nor_another() {
    for seed in 0..150 {
        println!("seed {seed}");
        day(seed, if seed % 4 == 0 { 5 } else { 3 }, Variant::Right);
    }
}

/// The same with seven members, three of which may be lost at once.
#[test]
fn what_seven_agree_on_is_never_lost_nor_another() {
    for seed in 1000..1030 {
        println!("seed {seed}");
        day(seed, 7, Variant::Right);
    }
}

/// Guards the next loss after a repair: a node that counts again has on its disk what it says it has.
#[test]
fn what_rests_on_a_readmitted_node_outlives_its_loss_of_power() {
    for seed in 0..40 {
        println!("seed {seed}");
        let mut fleet = Fleet::new(seed, 3, Variant::Right);
        fleet.play(2500.0);
        for _ in 0..6 {
            fleet.rests_on_readmitted();
        }
    }
}

fn breaks(variant: Variant) -> usize {
    let hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(|_| {}));
    let broken = (0..100)
        .filter(|seed| std::panic::catch_unwind(|| day(*seed, 3, variant)).is_err())
        .count();
    std::panic::set_hook(hook);
    println!("{variant:?}: {broken} of 100 days broken");
    broken
}

/// The play finds what it is meant to find: a node that forgot its promises and counts, what counts unsynced, and a change of the
/// members that is agreed on by those after alone.
#[test]
fn wrong_variants_are_found() {
    for variant in [Variant::WipedVotes, Variant::Unsynced, Variant::NewAlone] {
        assert!(breaks(variant) > 0, "{variant:?} is not found");
    }
}
