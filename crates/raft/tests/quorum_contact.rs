//! Quorum contact is proven, never assumed: a node that was frozen, partitioned off or deposed, or
//! that lags, does not report it. Seeds are printed; the checks after each input are in
//! `simulator/checks.rs`.

mod simulator;

use simulator::scenarios::assert_recovers;
use simulator::{Cluster, Direction, Variant, QUORUM_CONTACT_TIMEOUT};

/// Creates a cluster of five members for each `every`-th seed, otherwise of three.
fn cluster_of_three_or_five(seed: u64, every: u64) -> Cluster {
    let size = if seed % every == 0 { 5 } else { 3 };
    Cluster::new(seed, size, Variant::Correct)
}

/// A leader that resumes after a freeze, with old responses in its sockets, steps down at its first
/// input of any kind. None of these responses restores its leadership or proves contact.
#[test]
fn frozen_leader_steps_down_before_it_processes_old_responses() {
    let mut reads = 0;
    for seed in 0..60 {
        println!("seed {seed}");
        let mut cluster = cluster_of_three_or_five(seed, 3);
        cluster.proposal_rate = 0.05;
        cluster.run(1500.0);
        for _ in 0..6 {
            let name = if cluster.random_bool(0.7) {
                cluster.leader().unwrap_or_default()
            } else {
                cluster.random_name()
            };
            if name.is_empty() {
                cluster.run(500.0);
                continue;
            }
            // Some responses to this read and this proposal arrive while the node is frozen.
            cluster.read(&name);
            cluster.propose(&name);
            let before = f64::from(cluster.draw(4));
            let frozen = QUORUM_CONTACT_TIMEOUT + f64::from(cluster.draw(3000));
            cluster.run(before);
            cluster.freeze(&name, frozen);
            let after = f64::from(cluster.draw(1500));
            cluster.run(frozen + after);
        }
        assert_recovers(&mut cluster, seed);
        reads += cluster.confirmed_reads;
    }
    println!("{reads} reads confirmed");
    assert!(reads > 500, "only {reads} reads were confirmed");
}

/// Contact is dated to the request, not to the time at which the response is read: a leader freezes
/// for less than a second, is partitioned off meanwhile, and reads earlier responses when it
/// resumes. It must report no contact a second after the partition.
#[test]
fn responses_read_late_prove_no_later_contact() {
    for seed in 0..60 {
        println!("seed {seed}");
        let mut cluster = cluster_of_three_or_five(seed, 3);
        cluster.proposal_rate = 0.05;
        cluster.run(1500.0);
        for _ in 0..4 {
            let name = cluster.leader().unwrap_or_else(|| cluster.names[0].clone());
            let frozen = 500.0 + f64::from(cluster.draw(490));
            cluster.propose(&name);
            cluster.freeze(&name, frozen);
            cluster.run(6.0);
            cluster.partition(&name, Direction::Both);
            cluster.run(2500.0);
            cluster.heal_partitions();
            cluster.run(1500.0);
        }
        assert_recovers(&mut cluster, seed);
    }
}

/// A node that is partitioned off for twenty seconds, in one or both directions, reports no contact
/// after a second, confirms no reads, and regains contact soon after the partition.
#[test]
fn partitioned_node_loses_contact_within_a_second_and_regains_it() {
    let mut durations: Vec<f64> = Vec::new();
    for seed in 0..48 {
        println!("seed {seed}");
        let mut cluster = cluster_of_three_or_five(seed, 4);
        cluster.run(1500.0);
        let name = if seed % 2 == 0 {
            cluster.leader().unwrap_or_default()
        } else {
            cluster.random_name()
        };
        let directions = [Direction::Both, Direction::Outgoing, Direction::Incoming];
        cluster.partition(&name, directions[seed as usize % 3]);
        let acknowledged = cluster.acknowledged.len();
        // Contact is checked after each input during the partition.
        cluster.run(20_000.0);
        assert!(
            cluster.acknowledged.len() > acknowledged,
            "seed {seed}: the other members acknowledge no commands"
        );
        cluster.heal_partitions();
        let start = cluster.now;
        while cluster.now - start < 4000.0 && !cluster.has_quorum_contact(&name) {
            cluster.run(10.0);
        }
        durations.push(cluster.now - start);
        assert_recovers(&mut cluster, seed);
    }
    durations.sort_by(f64::total_cmp);
    let median = durations[durations.len() / 2];
    let max = durations[durations.len() - 1];
    println!("contact regained after a partition: median {median:.0} ms, max {max:.0} ms");
    assert!(max < 3000.0, "contact regained only after {max} ms");
}

/// A lagging node reports no contact until it has caught up: large entries arrive in several
/// messages, and contact is checked after the input of each.
#[test]
fn lagging_node_has_no_quorum_contact() {
    for seed in 0..6 {
        println!("seed {seed}");
        let mut cluster = Cluster::new(seed, 3, Variant::Correct);
        cluster.payload_bytes = 400 << 10;
        cluster.run(1500.0);
        for _ in 0..2 {
            let name = cluster.random_name();
            cluster.partition(&name, Direction::Both);
            cluster.run(2000.0);
            cluster.heal_partitions();
            cluster.run(1000.0);
            for name in cluster.names.clone() {
                cluster.compact(&name);
            }
        }
        cluster.payload_bytes = 8;
        assert_recovers(&mut cluster, seed);
    }
}

/// Without faults, with or without proposals, every node has contact all the time and the leader
/// does not change.
#[test]
fn contact_and_leader_are_stable_without_faults() {
    let mut max_contact_age: f64 = 0.0;
    for (seed, rate) in [(1, 0.0), (2, 0.001), (3, 0.01), (4, 0.1), (5, 0.5)] {
        let mut cluster = Cluster::new(seed, 5, Variant::Correct);
        (cluster.loss_rate, cluster.proposal_rate) = (0.0, rate);
        cluster.run(3000.0);
        let leader = cluster.leader();
        for _ in 0..20_000 {
            cluster.run(1.0);
            for (name, node) in &cluster.nodes {
                let raft = node.raft.as_ref().expect("a running node");
                max_contact_age =
                    max_contact_age.max(cluster.now - raft.last_quorum_contact(cluster.now));
                assert!(
                    raft.has_quorum_contact(cluster.now),
                    "rate {rate}: {name} has no quorum contact at {}",
                    cluster.now
                );
            }
        }
        assert_eq!(cluster.leader(), leader, "rate {rate}: the leader changed");
    }
    println!(
        "maximum age of the last contact without faults: {max_contact_age:.0} ms, with one message in fifty delayed by 300 ms"
    );
}
