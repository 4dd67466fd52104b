//! Membership changes: how soon after a repair or a replacement the next failure is tolerated, and
//! that no committed entry depends on a node that has shut down. Seeds are printed.

mod simulator;

use simulator::scenarios::assert_recovers;
use simulator::{AfterShutdown, Cluster, CrashKind, Direction, Variant, MAX_SHUTDOWN_DURATION};

/// The settling time after which the next failure must be tolerated, in milliseconds (`SettlingS`
/// of the requirements).
const MAX_SETTLING_TIME: f64 = 4000.0;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Repair {
    /// The machine loses its disk and restarts with an empty one.
    NewDisk,
    /// The machine is lost, and another is added at once.
    Crash,
    /// The machine begins to shut down, and another is added at once.
    Stop,
    /// The machine shuts down, and another is added once it has stopped.
    StopThenStart,
    /// Another machine is added, and runs for a while before the machine that it replaces shuts
    /// down.
    StartThenStop,
}

/// Begins the repair of a machine. Returns the name of the machine that replaces it, if there is
/// one.
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
            let replacement = cluster.add_machine();
            let duration = 100.0 + f64::from(cluster.draw(3000));
            cluster.run(duration);
            cluster.shut_down(old, AfterShutdown::Remove);
            return Some(replacement);
        }
    }
    Some(cluster.add_machine())
}

/// Runs until the repair is complete and the next failure is tolerated. Returns the time taken, or
/// `None` if this does not happen within 1000 steps of 10 ms.
fn time_until_tolerant(
    cluster: &mut Cluster,
    old: &str,
    replacement: Option<&String>,
) -> Option<f64> {
    let start = cluster.now;
    for _ in 0..1000 {
        cluster.run(10.0);
        let is_complete = replacement.is_none_or(|replacement| {
            let raft = cluster.nodes[replacement].raft.as_ref();
            !cluster.nodes.contains_key(old) && raft.is_some_and(|raft| raft.is_voter())
        });
        if is_complete && cluster.tolerates_next_failure() {
            return Some(cluster.now - start);
        }
    }
    None
}

/// Repairs one machine, then removes `max_failures` machines for good, and checks that the others
/// still acknowledge commands. Returns the time until the next failure is tolerated, from the start
/// of the new machine or, if later, from the stop of the old one.
fn repair_then_fail(seed: u64, size: usize, repair: Repair) -> f64 {
    let mut cluster = Cluster::new(seed, size, Variant::Correct);
    let duration = 1500.0 + f64::from(cluster.draw(1000));
    cluster.run(duration);
    assert!(
        cluster.is_healthy() && cluster.tolerates_next_failure(),
        "seed {seed}: the cluster is not healthy after a start without faults"
    );
    let old = if cluster.random_bool(0.4) {
        cluster.leader().unwrap_or_default()
    } else {
        cluster.random_name()
    };
    let replacement = begin_repair(&mut cluster, &old, repair);
    let Some(elapsed) = time_until_tolerant(&mut cluster, &old, replacement.as_ref()) else {
        cluster.print();
        panic!(
            "seed {seed}: the next failure is never tolerated after {repair:?} with {size} members"
        );
    };
    for _ in 0..cluster.max_failures {
        let name = cluster.random_name();
        cluster.remove_machine(&name);
    }
    let before = cluster.acknowledged.len();
    cluster.run(5000.0);
    if cluster.acknowledged.len() <= before {
        cluster.print();
    }
    assert!(
        cluster.acknowledged.len() > before,
        "seed {seed}: no command is acknowledged after the next failure"
    );
    cluster.add_machines(cluster.max_failures);
    assert_recovers(&mut cluster, seed);
    elapsed
}

/// The next failure after a repair is tolerated within the settling time (`SettlingS`).
#[test]
fn next_failure_is_tolerated_within_settling_time() {
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
                .map(|seed| repair_then_fail(seed, size, repair))
                .collect();
            times.sort_by(f64::total_cmp);
            let (median, max) = (times[times.len() / 2], times[times.len() - 1]);
            println!("{repair:?} with {size} members: {runs} runs, median {median:.0} ms, max {max:.0} ms");
            assert!(
                max < MAX_SETTLING_TIME,
                "{repair:?} with {size} members takes {max} ms"
            );
        }
    }
}

/// When a node that shuts down stops, all other nodes have the entries that it helped to commit,
/// including a node that lagged.
#[test]
fn no_committed_entry_depends_on_a_stopped_node() {
    for seed in 0..120 {
        println!("seed {seed}");
        let size = if seed % 3 == 0 { 5 } else { 3 };
        let mut cluster = Cluster::new(seed, size, Variant::Correct);
        cluster.proposal_rate = 0.05;
        cluster.run(1500.0);
        let leader = cluster.leader().unwrap_or_default();
        let lagging = cluster.first_follower().unwrap_or_default();
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

/// Runs until the machine stops. Unless it stopped because of the time limit, all other machines
/// must have all committed entries.
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
                "seed {seed}: {stopping} stopped with entry {committed} committed, but the log of {name} ends at {last}"
            );
        }
    }
}
