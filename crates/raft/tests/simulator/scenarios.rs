//! Sequences of faults, and checks of the recovery that must follow.

use super::{AfterShutdown, Cluster, CrashKind, Direction, Variant};
use maplefall_raft::Raft;
use std::collections::BTreeSet;

/// Number of faults in one run of [`run_with_faults`].
const FAULT_COUNT: usize = 14;
/// Maximum number of entries that a node may lag behind when recovery is checked.
const MAX_LAG: u64 = 20;

/// Runs a cluster with random faults, then without, and checks that it recovers and has lost no
/// acknowledged entry.
pub fn run_with_faults(seed: u64, size: usize, variant: Variant) -> Cluster {
    let mut cluster = Cluster::new(seed, size, variant);
    cluster.run(1000.0);
    for _ in 0..FAULT_COUNT {
        cluster.inject_fault();
        let duration = 50.0 + f64::from(cluster.draw(900));
        cluster.run(duration);
    }
    assert_recovers(&mut cluster, seed);
    cluster
}

/// Checks that without further faults commands are committed again, the members are the running
/// machines, and every node has all acknowledged entries.
pub fn assert_recovers(cluster: &mut Cluster, seed: u64) {
    cluster.heal_partitions();
    cluster.loss_rate = 0.0;
    cluster.run(7000.0);
    cluster.run_until_healthy(4000.0);
    let before = cluster.committed.len();
    for name in cluster.names.clone() {
        cluster.propose(&name);
    }
    cluster.run(500.0);
    if cluster.committed.len() <= before || !cluster.is_healthy() {
        cluster.print();
    }
    assert!(
        cluster.committed.len() > before,
        "seed {seed}: no command is committed after the faults"
    );
    assert!(
        cluster.is_healthy(),
        "seed {seed}: the members are not the running machines"
    );
    for name in cluster.nodes.keys() {
        assert_caught_up(cluster, name, seed);
    }
}

fn assert_caught_up(cluster: &Cluster, name: &str, seed: u64) {
    let node = &cluster.nodes[name];
    let (commit, last) = (node.commit_index(), cluster.last_committed());
    assert!(
        commit + MAX_LAG >= last,
        "seed {seed}: {name} has committed {commit} of {last} entries"
    );
    assert!(
        cluster.has_quorum_contact(name),
        "seed {seed}: {name} has no quorum contact after the faults"
    );
    let known: BTreeSet<u64> = node.committed.iter().map(|entry| entry.index).collect();
    for index in cluster.acknowledged.range(..=commit) {
        let is_compacted = node.disk.snapshot.index >= *index;
        assert!(
            is_compacted || known.contains(index),
            "seed {seed}: {name} lacks entry {index}"
        );
    }
}

impl Cluster {
    /// Injects one random fault.
    pub fn inject_fault(&mut self) {
        let (name, other) = (self.random_name(), self.random_name());
        let down = 50.0 + f64::from(self.draw(1500));
        match self.draw(15) {
            0 => self.crash(&name, CrashKind::ProcessExit, down),
            1 => self.crash(&name, CrashKind::PowerLoss, down),
            // Disks are lost only while the cluster is healthy: all members that lost their disks
            // before are repaired or replaced.
            2 if self.is_healthy() => self.lose_disks(down),
            3 => self.lose_power_everywhere(down),
            4 => self.block_one_direction(&name, &other),
            5 => self.partition(&name, Direction::Both),
            6 => self.stall_disk(&name, down),
            7 => self.shut_down(&name, AfterShutdown::Restart),
            8 if self.is_healthy() => self.fail_readded_member(),
            9 if self.is_healthy() => self.replace_machines(),
            13 if self.is_healthy() => self.partition_during_membership_change(),
            10 => self.freeze(&name, 2.0 * down),
            11 => self.partition(&name, Direction::Outgoing),
            12 => self.partition(&name, Direction::Incoming),
            _ => self.compact(&name),
        }
        if self.random_bool(0.3) {
            self.heal_partitions();
        }
    }

    /// Returns some of the members, `max_failures` at most.
    fn draw_failures(&mut self) -> Vec<String> {
        let count = 1 + self.draw(self.max_failures as u32) as usize;
        let start = self.draw(self.names.len() as u32) as usize;
        self.names_from(start, count)
    }

    /// Returns `count` names from a position on, wrapping around at the end.
    fn names_from(&self, start: usize, count: usize) -> Vec<String> {
        let names = self.names.iter().cycle().skip(start);
        names.take(count).cloned().collect()
    }

    fn crash_all(&mut self, names: &[String], kind: CrashKind, down: f64) {
        for name in names {
            self.crash(name, kind, down);
        }
    }

    /// Makes some members lose their disks, sometimes while another one lags, and sometimes with a
    /// power loss of all others.
    fn lose_disks(&mut self, down: f64) {
        let wiped = self.draw_failures();
        if self.random_bool(0.5) {
            let lagging = self.random_name();
            self.partition(&lagging, Direction::Both);
            let duration = 300.0 + f64::from(self.draw(600));
            self.run(duration);
            self.run_until_acknowledged();
            self.heal_partitions();
        }
        self.crash_all(&wiped, CrashKind::DiskLoss, down);
        if self.random_bool(0.5) {
            let mut others = self.names.clone();
            others.retain(|name| !wiped.contains(name));
            self.crash_all(&others, CrashKind::PowerLoss, down);
        }
    }

    fn lose_power_everywhere(&mut self, down: f64) {
        if self.random_bool(0.5) {
            self.run_until_acknowledged();
        }
        let all = self.names.clone();
        self.crash_all(&all, CrashKind::PowerLoss, down);
    }

    /// Makes a member lose its disk and waits until it is a member again. Then a third member lags,
    /// so that a majority depends on the re-added member; the re-added member loses power, and
    /// sometimes the only other up-to-date member is down for a while.
    pub fn fail_readded_member(&mut self) {
        let start = self.draw(self.names.len() as u32) as usize;
        let names = self.names_from(start, 3);
        let [wiped, complete, lagging] = names.as_slice() else {
            return;
        };
        self.heal_partitions();
        self.crash(wiped, CrashKind::DiskLoss, 60.0);
        self.run_until_healthy(6000.0);
        self.partition(lagging, Direction::Both);
        let duration = 400.0 + f64::from(self.draw(2500));
        self.run(duration);
        let down = f64::from(self.draw(200));
        self.crash(wiped, CrashKind::PowerLoss, down);
        if self.random_bool(0.5) {
            self.crash(complete, CrashKind::PowerLoss, 2500.0);
        }
        self.heal_partitions();
        self.run(2000.0);
    }

    /// Removes some machines for good, by a crash or a graceful shutdown, and adds others in their
    /// place: before the removal, at once or later.
    pub fn replace_machines(&mut self) {
        let removed_names = self.draw_failures();
        let adds_first = self.random_bool(0.3);
        if adds_first {
            self.add_machines(removed_names.len());
            let duration = f64::from(self.draw(2500));
            self.run(duration);
        }
        for name in &removed_names {
            if self.random_bool(0.5) {
                self.remove_machine(name);
            } else {
                self.shut_down(name, AfterShutdown::Remove);
            }
        }
        if !adds_first {
            let duration = f64::from(self.draw(1500));
            self.run(duration);
            self.add_machines(removed_names.len());
        }
    }

    pub fn add_machines(&mut self, count: usize) {
        for _ in 0..count {
            self.add_machine();
        }
    }

    /// Isolates a member from the leader while a new machine is added. As soon as the leader
    /// proposes the membership change, the leader is left with the new machine alone, and the other
    /// previous members are connected only to each other.
    pub fn partition_during_membership_change(&mut self) {
        let Some(leader) = self.leader() else { return };
        let isolated = self.random_name();
        if isolated == leader {
            return;
        }
        self.heal_partitions();
        let mut others = self.names.clone();
        others.retain(|name| *name != leader);
        let new_machine = self.add_machine();
        self.block_between(&isolated, &leader);
        for other in &others {
            self.block_between(other, &new_machine);
        }
        self.run_until_proposed(&leader, &new_machine);
        for other in &others {
            self.block_between(other, &leader);
        }
        for _ in 0..40 {
            self.run(100.0);
            self.propose(&leader);
        }
        self.heal_partitions();
        if self.run_until_healthy(8000.0) {
            self.remove_machine(&isolated);
        }
    }

    /// Runs until the new machine is a member in the leader's log, for 4 s at most.
    fn run_until_proposed(&mut self, leader: &str, new_machine: &str) {
        for _ in 0..4000 {
            let node = self.nodes.get(leader);
            let voters = node.and_then(|node| node.raft.as_ref()).map(Raft::voters);
            if voters.is_some_and(|voters| voters.contains(new_machine)) {
                break;
            }
            self.run(1.0);
        }
    }
}
