//! Safety under any mix of faults: committed entries are never lost or replaced, and every node's
//! disk has the entries that the node has acknowledged. The checks after each input are in
//! `simulator/checks.rs`. Seeds are printed; the same seed gives the same run.

mod simulator;

use simulator::scenarios::run_with_faults;
use simulator::{Cluster, Variant};

/// Acknowledged commands survive any mix of simultaneous failures that the deployments allow.
#[test]
fn committed_entries_are_never_lost_or_replaced() {
    for seed in 0..150 {
        println!("seed {seed}");
        run_with_faults(seed, if seed % 4 == 0 { 5 } else { 3 }, Variant::Correct);
    }
}

/// Acknowledged commands survive with seven members, three of which may fail at the same time.
#[test]
fn committed_entries_of_seven_members_are_never_lost_or_replaced() {
    for seed in 1000..1030 {
        println!("seed {seed}");
        run_with_faults(seed, 7, Variant::Correct);
    }
}

/// A member that was re-added after a disk loss has persisted the entries that it has acknowledged,
/// so that the next failure loses none.
#[test]
fn acknowledged_entries_of_a_readded_member_survive_power_loss() {
    for seed in 0..40 {
        println!("seed {seed}");
        let mut cluster = Cluster::new(seed, 3, Variant::Correct);
        cluster.run(2500.0);
        for _ in 0..6 {
            cluster.fail_readded_member();
        }
    }
}

/// Returns the number of runs, out of 100, in which the checks find a violation.
fn violations(variant: Variant) -> usize {
    let hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(|_| {}));
    let violations = (0..100)
        .filter(|seed| std::panic::catch_unwind(|| run_with_faults(*seed, 3, variant)).is_err())
        .count();
    std::panic::set_hook(hook);
    println!("{variant:?}: violations in {violations} of 100 runs");
    violations
}

/// The simulator detects a node that votes again after it has lost its votes, writes that count
/// before they are synced, and a membership change that the new members alone commit.
#[test]
fn violations_of_incorrect_variants_are_detected() {
    for variant in [
        Variant::ReusedIdentity,
        Variant::UnsyncedWrites,
        Variant::NewMajorityAlone,
    ] {
        assert!(
            violations(variant) > 0,
            "no violation detected with {variant:?}"
        );
    }
}
