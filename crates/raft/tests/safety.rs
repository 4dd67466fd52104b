//! Safety under any mix of faults: what is committed is never lost nor replaced, and every node's disk has what the
//! node has acknowledged. What is checked after each input is in `simulator/checks.rs`. Seeds are printed; the same
//! seed gives the same run.

mod simulator;

use simulator::scenarios::run_with_faults;
use simulator::{Cluster, Variant};

/// Guards acknowledged commands against any mix of losses that the deployments allow at once.
#[test]
fn committed_entries_are_never_lost_or_replaced() {
    for seed in 0..150 {
        println!("seed {seed}");
        run_with_faults(seed, if seed % 4 == 0 { 5 } else { 3 }, Variant::Right);
    }
}

/// The same with seven members, three of which may be lost at once.
#[test]
fn committed_entries_of_seven_members_are_never_lost_or_replaced() {
    for seed in 1000..1030 {
        println!("seed {seed}");
        run_with_faults(seed, 7, Variant::Right);
    }
}

/// Guards the next loss after a repair: a member that was readmitted has on its disk what it has acknowledged.
#[test]
fn acknowledged_entries_of_a_readmitted_member_survive_power_loss() {
    for seed in 0..40 {
        println!("seed {seed}");
        let mut cluster = Cluster::new(seed, 3, Variant::Right);
        cluster.run(2500.0);
        for _ in 0..6 {
            cluster.lose_readmitted_member();
        }
    }
}

/// In how many of 100 runs the checks find a violation.
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

/// Guards the simulator: it detects a node that votes again after it has lost its votes, writes that count before they
/// are synced, and a change of members that the new ones alone commit.
#[test]
fn wrong_variants_are_detected() {
    for variant in [
        Variant::WipedVotes,
        Variant::Unsynced,
        Variant::NewMajorityAlone,
    ] {
        assert!(violations(variant) > 0, "{variant:?} is not detected");
    }
}
