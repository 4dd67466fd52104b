//! Changes of members: how soon after a repair or a replacement the next loss is tolerated, and that nothing depends on
//! a node that has shut down. Seeds are printed.

mod simulator;

use simulator::scenarios::assert_recovers;
use simulator::{AfterShutdown, Cluster, CrashKind, Direction, Variant, MAX_SHUTDOWN_DURATION};

/// `SettlingS` of the users' rules, in milliseconds.
const SETTLING: f64 = 4000.0;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Repair {
    /// The disk is lost, the machine comes back.
    NewDisk,
    /// The machine is lost, another comes at once.
    Crash,
    /// The machine shuts down, another comes at once.
    Stop,
    /// The machine shuts down, another comes once it has stopped.
    StopThenStart,
    /// Another comes, and is there for a while before the machine shuts down.
    StartThenStop,
}

/// Does the repair of a machine; returns the name of the machine that replaces it, if one does.
fn begin_repair(cluster: &mut Cluster, old: &str, repair: Repair) -> Option<String> {
    match repair {
        Repair::NewDisk => {
            cluster.crash(old, CrashKind::DiskLoss, 300.0);
            cluster.run(301.0);
            return None;
        }
        Repair::Crash => cluster.remove_machine(old),
        Repair::Stop => cluster.shut_down(old, AfterShutdown::Remove),
        Repair::StopThenStart => {
            cluster.shut_down(old, AfterShutdown::Remove);
            while cluster.nodes.contains_key(old) {
                cluster.run(1.0);
            }
        }
        Repair::StartThenStop => {
            let newcomer = cluster.add_machine();
            let duration = 100.0 + f64::from(cluster.draw(3000));
            cluster.run(duration);
            cluster.shut_down(old, AfterShutdown::Remove);
            return Some(newcomer);
        }
    }
    Some(cluster.add_machine())
}

/// Runs until the repair is complete and the next loss is tolerated; returns how long that takes, if it ever does.
fn time_until_tolerant(cluster: &mut Cluster, old: &str, newcomer: Option<&String>) -> Option<f64> {
    let start = cluster.now;
    for _ in 0..1000 {
        cluster.run(10.0);
        let is_complete = newcomer.is_none_or(|newcomer| {
            let raft = cluster.nodes[newcomer].raft.as_ref();
            !cluster.nodes.contains_key(old) && raft.is_some_and(|raft| raft.is_voter())
        });
        if is_complete && cluster.tolerates_next_failure() {
            return Some(cluster.now - start);
        }
    }
    None
}

/// Repairs one machine, then loses as many as may be lost at once, for good, and checks that the others go on. Returns
/// how long after the start of the new machine, or the end of the old one where that is later, the next loss is
/// tolerated.
fn repair_then_lose(seed: u64, size: usize, repair: Repair) -> f64 {
    let mut cluster = Cluster::new(seed, size, Variant::Right);
    let duration = 1500.0 + f64::from(cluster.draw(1000));
    cluster.run(duration);
    assert!(
        cluster.is_healthy() && cluster.tolerates_next_failure(),
        "seed {seed}: not healthy after a start without faults"
    );
    let old = if cluster.chance(0.4) {
        cluster.leader().unwrap_or_default()
    } else {
        cluster.any_name()
    };
    let newcomer = begin_repair(&mut cluster, &old, repair);
    let Some(elapsed) = time_until_tolerant(&mut cluster, &old, newcomer.as_ref()) else {
        cluster.print();
        panic!("seed {seed}: after {repair:?} of {size} the next loss is never tolerated");
    };
    for _ in 0..cluster.max_failures {
        let name = cluster.any_name();
        cluster.remove_machine(&name);
    }
    let before = cluster.acknowledged.len();
    cluster.run(5000.0);
    if cluster.acknowledged.len() <= before {
        cluster.print();
    }
    assert!(
        cluster.acknowledged.len() > before,
        "seed {seed}: nothing is acknowledged after the next loss"
    );
    cluster.add_machines(cluster.max_failures);
    assert_recovers(&mut cluster, seed);
    elapsed
}

/// Guards the next loss after a repair: it is tolerated well within `SettlingS`.
#[test]
fn next_loss_is_tolerated_within_settling_time() {
    for repair in [
        Repair::NewDisk,
        Repair::Crash,
        Repair::Stop,
        Repair::StopThenStart,
        Repair::StartThenStop,
    ] {
        for size in [3, 5, 7] {
            let runs = if size == 3 { 50 } else { 20 };
            let mut times: Vec<f64> = (0..runs)
                .map(|seed| repair_then_lose(seed, size, repair))
                .collect();
            times.sort_by(f64::total_cmp);
            let (median, max) = (times[times.len() / 2], times[times.len() - 1]);
            println!("{repair:?} of {size}: {runs} runs, median {median:.0} ms, max {max:.0} ms");
            assert!(max < SETTLING, "{repair:?} of {size} takes {max} ms");
        }
    }
}

/// Guards what was committed with the help of a node that shuts down: when it stops, all others have it, also one that
/// lagged.
#[test]
fn no_committed_entry_depends_on_a_stopped_node() {
    for seed in 0..120 {
        println!("seed {seed}");
        let size = if seed % 3 == 0 { 5 } else { 3 };
        let mut cluster = Cluster::new(seed, size, Variant::Right);
        cluster.proposal_rate = 0.05;
        cluster.run(1500.0);
        let leader = cluster.leader().unwrap_or_default();
        let lagging = cluster.any_follower().unwrap_or_default();
        let stopping = if seed % 2 == 0 {
            leader
        } else {
            let mut names = cluster.names.iter();
            let other = names.find(|name| **name != leader && **name != lagging);
            other.cloned().unwrap_or_default()
        };
        cluster.partition(&lagging, Direction::Both);
        let duration = 300.0 + f64::from(cluster.draw(600));
        cluster.run(duration);
        cluster.heal_partitions();
        let duration = f64::from(cluster.draw(250));
        cluster.run(duration);
        cluster.shut_down(&stopping, AfterShutdown::Remove);
        assert_released_when_all_have_committed(&mut cluster, &stopping, seed);
        cluster.add_machine();
        assert_recovers(&mut cluster, seed);
    }
}

/// Runs until the machine stops. If it was released, and not stopped for taking too long, all others have all that was
/// committed.
fn assert_released_when_all_have_committed(cluster: &mut Cluster, stopping: &str, seed: u64) {
    let start = cluster.now;
    while cluster.nodes.contains_key(stopping) {
        let committed = cluster.last_committed();
        cluster.run(1.0);
        let has_stopped = !cluster.nodes.contains_key(stopping);
        if !has_stopped || cluster.now - start >= MAX_SHUTDOWN_DURATION {
            continue;
        }
        for (name, node) in &cluster.nodes {
            let last = node.disk.last_index();
            assert!(
                last >= committed,
                "seed {seed}: {stopping} stops, {committed} is committed, {name} has {last}"
            );
        }
    }
}
