//! Sequences of faults, and the recovery that has to follow.

use super::{AfterShutdown, Cluster, CrashKind, Direction, Variant};
use maplefall_raft::Raft;
use std::collections::BTreeSet;

/// Faults in one run of [`run_with_faults`].
const FAULTS: usize = 14;
/// A node may be this many entries behind when recovery is checked.
const MAX_LAG: u64 = 20;

/// Runs a cluster with random faults, then without, and checks that it recovers and has lost nothing.
pub fn run_with_faults(seed: u64, size: usize, variant: Variant) -> Cluster {
    let mut cluster = Cluster::new(seed, size, variant);
    cluster.run(1000.0);
    for _ in 0..FAULTS {
        cluster.inject_fault();
        let duration = 50.0 + f64::from(cluster.draw(900));
        cluster.run(duration);
    }
    assert_recovers(&mut cluster, seed);
    cluster
}

/// Without further faults: commands are committed again, the members are the machines that run, and every node has all
/// that was acknowledged.
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
        "seed {seed}: nothing is committed after the faults"
    );
    assert!(
        cluster.is_healthy(),
        "seed {seed}: the members are not the machines that run"
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
        "seed {seed}: {name} is at {commit} of {last}"
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
            "seed {seed}: {name} lacks {index}"
        );
    }
}

impl Cluster {
    /// One random fault.
    pub fn inject_fault(&mut self) {
        let (name, other) = (self.any_name(), self.any_name());
        let down = 50.0 + f64::from(self.draw(1500));
        match self.draw(15) {
            0 => self.crash(&name, CrashKind::ProcessExit, down),
            1 => self.crash(&name, CrashKind::PowerLoss, down),
            // Disks are lost only while all that were lost before are replaced.
            2 if self.is_healthy() => self.lose_disks(down),
            3 => self.lose_power_everywhere(down),
            4 => self.block_one_direction(&name, &other),
            5 => self.partition(&name, Direction::Both),
            6 => self.stall_disk(&name, down),
            7 => self.shut_down(&name, AfterShutdown::Restart),
            8 if self.is_healthy() => self.lose_readmitted_member(),
            9 if self.is_healthy() => self.replace_machines(),
            13 if self.is_healthy() => self.partition_during_membership_change(),
            10 => self.freeze(&name, 2.0 * down),
            11 => self.partition(&name, Direction::Outgoing),
            12 => self.partition(&name, Direction::Incoming),
            _ => self.compact(&name),
        }
        if self.chance(0.3) {
            self.heal_partitions();
        }
    }

    /// Some of the members, `max_failures` at most.
    fn draw_failures(&mut self) -> Vec<String> {
        let count = 1 + self.draw(self.max_failures as u32) as usize;
        let start = self.draw(self.names.len() as u32) as usize;
        self.names_from(start, count)
    }

    /// So many names from a position on, in a circle.
    fn names_from(&self, start: usize, count: usize) -> Vec<String> {
        let names = self.names.iter().cycle().skip(start);
        names.take(count).cloned().collect()
    }

    fn crash_all(&mut self, names: &[String], kind: CrashKind, down: f64) {
        for name in names {
            self.crash(name, kind, down);
        }
    }

    /// Some lose their disks, maybe while another lags, and maybe all others lose power.
    fn lose_disks(&mut self, down: f64) {
        let wiped = self.draw_failures();
        if self.chance(0.5) {
            let lagging = self.any_name();
            self.partition(&lagging, Direction::Both);
            let duration = 300.0 + f64::from(self.draw(600));
            self.run(duration);
            self.run_until_acknowledged();
            self.heal_partitions();
        }
        self.crash_all(&wiped, CrashKind::DiskLoss, down);
        if self.chance(0.5) {
            let mut others = self.names.clone();
            others.retain(|name| !wiped.contains(name));
            self.crash_all(&others, CrashKind::PowerLoss, down);
        }
    }

    fn lose_power_everywhere(&mut self, down: f64) {
        if self.chance(0.5) {
            self.run_until_acknowledged();
        }
        let all = self.names.clone();
        self.crash_all(&all, CrashKind::PowerLoss, down);
    }

    /// One loses its disk and becomes a member again; then a majority depends on it while a third lags: it loses power,
    /// and the other that has all is down for a while.
    pub fn lose_readmitted_member(&mut self) {
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
        if self.chance(0.5) {
            self.crash(complete, CrashKind::PowerLoss, 2500.0);
        }
        self.heal_partitions();
        self.run(2000.0);
    }

    /// Some machines go for good, by a crash or a planned stop, and others come in their place, before, at once or
    /// later.
    pub fn replace_machines(&mut self) {
        let leaving = self.draw_failures();
        let comes_first = self.chance(0.3);
        if comes_first {
            self.add_machines(leaving.len());
            let duration = f64::from(self.draw(2500));
            self.run(duration);
        }
        for name in &leaving {
            if self.chance(0.5) {
                self.remove_machine(name);
            } else {
                self.shut_down(name, AfterShutdown::Remove);
            }
        }
        if !comes_first {
            let duration = f64::from(self.draw(1500));
            self.run(duration);
            self.add_machines(leaving.len());
        }
    }

    pub fn add_machines(&mut self, count: usize) {
        for _ in 0..count {
            self.add_machine();
        }
    }

    /// One member is silent while a new machine is there. At the moment at which the leader changes the members, it is
    /// left with the new one alone, and those that were members before are among themselves.
    pub fn partition_during_membership_change(&mut self) {
        let Some(leader) = self.leader() else { return };
        let isolated = self.any_name();
        if isolated == leader {
            return;
        }
        self.heal_partitions();
        let mut others = self.names.clone();
        others.retain(|name| *name != leader);
        let newcomer = self.add_machine();
        self.block_between(&isolated, &leader);
        for other in &others {
            self.block_between(other, &newcomer);
        }
        self.run_until_proposed(&leader, &newcomer);
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

    /// Runs until the leader's log names the newcomer as a member, 4 s at most.
    fn run_until_proposed(&mut self, leader: &str, newcomer: &str) {
        for _ in 0..4000 {
            let node = self.nodes.get(leader);
            let voters = node.and_then(|node| node.raft.as_ref()).map(Raft::voters);
            if voters.is_some_and(|voters| voters.contains(newcomer)) {
                break;
            }
            self.run(1.0);
        }
    }
}
