//! Log compaction, and snapshots sent in chunks: the cost is amortised, transfers are resumed and
//! checked, and commands are committed meanwhile. Seeds are printed.

mod simulator;

use simulator::scenarios::assert_recovers;
use simulator::{Cluster, CrashKind, Direction, Variant};

/// Creates a cluster of three that has committed `commands` commands, and returns it with the name
/// of a node that was partitioned off before most of them.
fn cluster_with_lagging_node(seed: u64, commands: u64) -> (Cluster, String) {
    let mut cluster = Cluster::new(seed, 3, Variant::Correct);
    cluster.payload_bytes = 200;
    cluster.state_bytes_per_entry = 200;
    cluster.check_interval = 500;
    cluster.proposal_rate = 0.0;
    cluster.run(1500.0);
    let name = cluster.first_follower().unwrap_or_default();
    cluster.partition(&name, Direction::Both);
    let end = cluster.acknowledged.len() as u64 + commands;
    while (cluster.acknowledged.len() as u64) < end {
        propose_to_leader(&mut cluster, 20);
        cluster.run(20.0);
    }
    // Run long enough for the partitioned node to lose quorum contact.
    cluster.run(1500.0);
    (cluster, name)
}

fn propose_to_leader(cluster: &mut Cluster, count: usize) {
    let leader = cluster.leader().unwrap_or_default();
    for _ in 0..count {
        cluster.propose(&leader);
    }
}

/// Returns the number of committed entries that the node does not know to be committed.
fn lag(cluster: &Cluster, name: &str) -> u64 {
    cluster.last_committed() - cluster.nodes[name].commit_index()
}

fn count_events(cluster: &Cluster, event: &str) -> usize {
    let lines = cluster.log_lines.iter();
    lines.filter(|line| line.contains(event)).count()
}

/// A node that lacks hundreds or thousands of commands receives them in bounded time, while 20
/// commands per second are committed.
#[test]
fn lagging_node_catches_up_in_bounded_time() {
    for (commands, bound) in [(300, 1000.0), (3000, 1500.0), (30_000, 3000.0)] {
        let mut max_elapsed: f64 = 0.0;
        for seed in 0..if commands > 3000 { 2 } else { 5 } {
            let (mut cluster, name) = cluster_with_lagging_node(seed, commands);
            let initial_lag = lag(&cluster, &name);
            cluster.proposal_rate = 0.06;
            cluster.heal_partitions();
            let start = cluster.now;
            let before = cluster.traffic_to(&name);
            while (!cluster.has_quorum_contact(&name) || lag(&cluster, &name) > 1)
                && cluster.now - start < 20_000.0
            {
                cluster.run(1.0);
            }
            let after = cluster.traffic_to(&name);
            let elapsed = cluster.now - start;
            println!(
                "{commands} commands, seed {seed}: initial lag {initial_lag}, caught up after {elapsed:.0} ms, {} messages to it, {} KiB, {} compactions in all",
                after.messages - before.messages,
                (after.bytes - before.bytes) >> 10,
                cluster.compactions,
            );
            max_elapsed = max_elapsed.max(elapsed);
        }
        assert!(
            max_elapsed < bound,
            "{commands} commands take {max_elapsed} ms"
        );
    }
}

/// Several hundred commands lead to a compaction, and compaction writes no more than a fixed
/// multiple of the other writes, which bounds the load on disk and processor.
#[test]
fn log_is_compacted_by_bytes_and_not_too_often() {
    for (commands, payload_bytes, state_bytes_per_entry) in
        [(600, 400, 20), (600, 400, 2000), (3000, 10, 1)]
    {
        let mut cluster = Cluster::new(7, 3, Variant::Correct);
        cluster.payload_bytes = payload_bytes;
        cluster.state_bytes_per_entry = state_bytes_per_entry;
        cluster.proposal_rate = 0.0;
        cluster.run(1500.0);
        while cluster.acknowledged.len() < commands {
            propose_to_leader(&mut cluster, 5);
            cluster.run(20.0);
        }
        let disks = || cluster.nodes.values().map(|node| &node.disk);
        let max_log_len = disks().map(|disk| disk.log.len()).max().unwrap_or(0);
        let state_bytes = disks().map(|disk| disk.snapshot.state.len()).max();
        let state_bytes = state_bytes.unwrap_or(0);
        let compactions = cluster.compactions / 3;
        println!("{commands} commands of {payload_bytes} bytes, {state_bytes_per_entry} bytes of state for each: {compactions} compactions a node, longest log {max_log_len}");
        assert!(compactions >= 1, "never compacted");
        let max = 4 * (commands * (payload_bytes + 64)) / state_bytes.max(64 << 10) + 2;
        assert!(
            compactions as usize <= max,
            "{compactions} compactions for {commands} commands and a state of {state_bytes} bytes"
        );
    }
}

/// Injects one fault while a snapshot transfer may be in progress.
fn inject_transfer_fault(cluster: &mut Cluster, receiver: &str) {
    let other = cluster.random_name();
    match cluster.draw(6) {
        0 => cluster.crash(receiver, CrashKind::ProcessExit, 30.0),
        1 => cluster.crash(receiver, CrashKind::PowerLoss, 30.0),
        2 => cluster.crash(&other, CrashKind::PowerLoss, 30.0),
        3 => cluster.compact(&other),
        4 => cluster.freeze(&other, 300.0),
        _ => cluster.input(&other, |raft, now, ready| raft.shut_down(now, ready)),
    }
}

/// Makes a node lag or lose its disk, compacts the logs of all nodes, and injects faults into the
/// snapshot transfer that follows.
fn transfer_with_faults(cluster: &mut Cluster) {
    let receiver = cluster.random_name();
    let loses_disk = cluster.is_healthy() && cluster.random_bool(0.5);
    if loses_disk {
        cluster.crash(&receiver, CrashKind::DiskLoss, 100.0);
    } else {
        cluster.partition(&receiver, Direction::Both);
    }
    cluster.run(2000.0);
    for name in cluster.names.clone() {
        cluster.compact(&name);
    }
    (cluster.corruption_rate, cluster.loss_rate) = (0.25, 0.1);
    cluster.heal_partitions();
    for _ in 0..3 {
        let duration = f64::from(cluster.draw(60));
        cluster.run(duration);
        inject_transfer_fault(cluster, &receiver);
    }
    cluster.run(2500.0);
    // Some nodes restart, since the faults may have shut them down.
    for name in cluster.names.clone() {
        if cluster.random_bool(0.3) {
            cluster.crash(&name, CrashKind::ProcessExit, 10.0);
        }
    }
    cluster.run(2500.0);
    (cluster.corruption_rate, cluster.loss_rate) = (0.0, 0.02);
}

/// Snapshots are installed intact although chunks are lost, corrupted and delayed, sender and
/// receiver restart during the transfer with and without power loss, the leader changes, and logs
/// are compacted meanwhile.
#[test]
fn snapshot_arrives_intact_despite_faults() {
    let mut corrupt = 0;
    let mut received = 0;
    for seed in 0..20 {
        println!("seed {seed}");
        let mut cluster = Cluster::new(seed, 3, Variant::Correct);
        // The sizes give about ten chunks for each snapshot, and entries so large that few stay in
        // memory after compaction.
        cluster.payload_bytes = 50_000;
        cluster.state_bytes_per_entry = 20_000;
        cluster.check_interval = 50;
        cluster.proposal_rate = 0.05;
        cluster.run(3000.0);
        for _ in 0..3 {
            transfer_with_faults(&mut cluster);
        }
        for name in cluster.names.clone() {
            cluster.crash(&name, CrashKind::PowerLoss, 10.0);
        }
        assert_recovers(&mut cluster, seed);
        corrupt += count_events(&cluster, "event=snapshot_corrupt");
        received += count_events(&cluster, "event=snapshot_received");
    }
    println!("{received} snapshots received, {corrupt} corrupt chunks or states found");
    assert!(
        corrupt > 20 && received > 40,
        "{corrupt} corrupt, {received} received"
    );
}
