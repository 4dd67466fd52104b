//! Fault injection: lost, late, replayed and forged datagrams, partitions, restarts and floods.

mod simulation;
use maplefall_shared_counts::members::{Heartbeat, MemberState};
use maplefall_shared_counts::wire::{
    self, Head, Kind, MemberInfo, RejectReason, Seal, Section, Writer,
};
use maplefall_shared_counts::{DoorId, Life, Settings, TAIL};
use rand_core::RngCore;
use simulation::*;

/// Records random usage of eight customers at all running nodes, for a duration and at an interval
/// in milliseconds.
fn run_traffic(simulation: &mut Simulation, duration: f64, interval: f64) {
    let end = simulation.now + duration;
    while simulation.now < end {
        let index = (simulation.rng.next_u32() as usize) % simulation.nodes.len();
        if simulation.nodes[index].node.is_some() {
            let customer = 1 + u64::from(simulation.rng.next_u32() % 8);
            let units = 0.5 + 8.0 * uniform(&mut simulation.rng);
            simulation.record_usage(index, customer, units);
            if uniform(&mut simulation.rng) < 0.3 {
                // Part of the units is returned, as for a response with fewer units than estimated.
                simulation.record_usage(index, customer, -units * 0.4);
            }
        }
        simulation.run(interval);
    }
}

/// Guards against 30% loss, duplicates and reordering: totals never exceed the usage, and all nodes
/// converge once traffic ends.
#[test]
fn totals_never_exceed_usage_and_converge() {
    for seed in 0..6 {
        let mut simulation = Simulation::new(10, settings(), LOSSY, seed);
        simulation.run_until_all_alive(20_000.0);
        for _ in 0..10 {
            run_traffic(&mut simulation, 500.0, 10.0);
            simulation.assert_no_overcount();
        }
        let took = simulation.run_until_converged(20_000.0);
        println!("converged after {took} ms");
    }
}

/// Guards against delays far longer than gossip rounds.
#[test]
fn delays_of_seconds_only_postpone_counts() {
    let slow = Link {
        loss: 0.1,
        duplicated: 0.2,
        delay: (1000.0, 5000.0),
    };
    let mut simulation = Simulation::new(5, settings(), slow, 3);
    simulation.run_until_all_alive(90_000.0);
    run_traffic(&mut simulation, 5000.0, 20.0);
    simulation.assert_no_overcount();
    simulation.run_until_converged(90_000.0);
}

/// Guards the rejoin after a long partition: nothing is counted twice, and the node receives the
/// counts that it missed.
#[test]
fn a_node_is_counted_once_after_a_partition() {
    let mut simulation = Simulation::new(6, settings(), RELIABLE, 1);
    simulation.run_until_all_alive(10_000.0);
    run_traffic(&mut simulation, 1000.0, 10.0);
    for other in 0..5 {
        simulation.blocked.extend([(5, other), (other, 5)]);
    }
    run_traffic(&mut simulation, 40_000.0, 100.0);
    assert_eq!(simulation.alive(0), 4, "the partitioned node is not alive");
    assert!(simulation.check_converged().is_err());
    simulation.assert_no_overcount();
    simulation.blocked.clear();
    simulation.run_until_all_alive(20_000.0);
    simulation.run_until_converged(10_000.0);
}

/// Guards restarts: a node loses its counts and receives them from the others, as usage elsewhere.
#[test]
fn a_restarted_node_receives_the_counts_of_its_earlier_incarnation() {
    let mut simulation = Simulation::new(4, settings(), RELIABLE, 1);
    simulation.run_until_all_alive(10_000.0);
    simulation.record_usage(2, 9, 100.0);
    simulation.run_until_converged(10_000.0);
    simulation.start(2);
    assert_eq!(simulation.node(2).total(9), 0);
    simulation.run_until_converged(20_000.0);
    let now = simulation.clock(2);
    let update = simulation
        .node(2)
        .usage_update(now, 9)
        .expect("usage was received");
    assert_eq!(update.units, 100.0);
    assert_eq!(
        simulation
            .node(2)
            .usage_update(now, 9)
            .map(|update| update.units),
        Some(0.0),
        "reported once"
    );
    simulation.record_usage(2, 9, 7.0);
    simulation.run_until_converged(10_000.0);
    // The other nodes have the counts of both incarnations of the restarted node.
    let id = simulation.id(2);
    assert_eq!(simulation.node(0).total_of(id, 9), 107_000);
}

/// Guards against a date that went back: the new incarnation takes a number above the earlier
/// one's, and no counts are lost or attributed to the wrong incarnation.
#[test]
fn an_incarnation_numbered_below_an_earlier_one_takes_a_larger_number() {
    let mut simulation = Simulation::new(4, settings(), RELIABLE, 1);
    simulation.nodes[3].date_offset = 3_600_000;
    simulation.start(3);
    simulation.run_until_all_alive(10_000.0);
    simulation.record_usage(3, 9, 100.0);
    simulation.run_until_converged(10_000.0);
    simulation.nodes[3].date_offset = 0;
    simulation.start(3);
    simulation.record_usage(3, 9, 5.0);
    simulation.run_until_converged(30_000.0);
    assert_eq!(simulation.node(3).stats.renumbered, 1);
    assert_eq!(simulation.node(0).total(9), 105_000);
    simulation.record_usage(3, 9, 1.0);
    simulation.run_until_converged(10_000.0);
}

/// Guards against two processes with the same name, which must not renumber each other for ever.
#[test]
fn two_nodes_with_the_same_name_renumber_a_bounded_number_of_times() {
    let mut simulation = Simulation::new(4, settings(), RELIABLE, 1);
    simulation.nodes[3].name = "d2".to_owned();
    simulation.nodes[3].date_offset = 5;
    simulation.start(3);
    simulation.run(20_000.0);
    let renumbered = simulation.node(2).stats.renumbered + simulation.node(3).stats.renumbered;
    assert!((1..=4).contains(&renumbered), "{renumbered}");
}

/// Guards against a partition of a minute, with usage on both sides.
#[test]
fn a_partition_heals() {
    let mut simulation = Simulation::new(8, settings(), RELIABLE, 2);
    simulation.run_until_all_alive(10_000.0);
    for left in 0..4 {
        for right in 4..8 {
            simulation.blocked.extend([(left, right), (right, left)]);
        }
    }
    run_traffic(&mut simulation, 60_000.0, 50.0);
    simulation.assert_no_overcount();
    assert_eq!((simulation.alive(0), simulation.alive(7)), (3, 3));
    let now = simulation.clock(0);
    assert_eq!(
        simulation.node(0).freshness(now).1,
        4,
        "only nodes that are alive are reported"
    );
    simulation.blocked.clear();
    simulation.run_until_all_alive(30_000.0);
    simulation.run_until_converged(10_000.0);
}

/// Guards against asymmetric links: heartbeats arrive through other nodes, and no node is
/// suspected.
#[test]
fn asymmetric_links_cause_no_suspicion() {
    let mut simulation = Simulation::new(6, settings(), RELIABLE, 4);
    simulation.run_until_all_alive(10_000.0);
    simulation.blocked.extend([(0, 1), (2, 3), (3, 4), (5, 0)]);
    for _ in 0..20 {
        run_traffic(&mut simulation, 1000.0, 50.0);
        assert!((0..6).all(|index| simulation.alive(index) == 5));
    }
    simulation.run_until_converged(10_000.0);
}

/// Guards a node that receives nothing while the others count a flood: once reconnected, it
/// receives all of it, once.
#[test]
fn a_node_far_behind_catches_up() {
    let mut simulation = Simulation::new(5, settings(), RELIABLE, 5);
    simulation.run_until_all_alive(10_000.0);
    for other in 0..4 {
        simulation.blocked.insert((other, 4));
    }
    for _ in 0..2000 {
        simulation.record_usage(1, 7, 8.0);
        let customer = 1000 + u64::from(simulation.rng.next_u32() % 400);
        simulation.record_usage(2, customer, 1.0);
    }
    simulation.run(5000.0);
    let now = simulation.clock(4);
    let staleness = now - simulation.node(4).freshness(now).0;
    assert!(
        staleness > 4000.0 || simulation.node(4).freshness(now).1 == 1,
        "its counts are known to be stale: {staleness} ms"
    );
    simulation.blocked.clear();
    simulation.run_until_converged(20_000.0);
    let now = simulation.clock(4);
    assert_eq!(
        simulation
            .node(4)
            .usage_update(now, 7)
            .map(|update| update.units),
        Some(16_000.0)
    );
}

/// Guards epochs that end while datagrams are in flight, at each node at another time.
#[test]
fn epochs_end_while_datagrams_are_in_flight() {
    let settings = Settings {
        epoch: 1000.0,
        epochs_kept: 3,
        ..settings()
    };
    let mut simulation = Simulation::new(6, settings, LOSSY, 6);
    simulation.run_until_all_alive(20_000.0);
    for _ in 0..40 {
        run_traffic(&mut simulation, 250.0, 10.0);
        simulation.assert_no_overcount();
    }
    simulation.run(10_000.0);
    for index in 0..6 {
        assert_eq!(
            simulation.node(index).count_len(),
            0,
            "all epochs have expired at node {index}"
        );
        assert_eq!(simulation.node(index).total(1), 0);
    }
}

/// Guards the simultaneous start of a hundred nodes with two of them as seeds.
#[test]
fn a_hundred_nodes_start_together() {
    let mut simulation = Simulation::new(100, settings(), RELIABLE, 7);
    let took = simulation.run_until_all_alive(60_000.0);
    println!("all nodes alive after {took} ms");
    let unsent: u64 = (0..100)
        .map(|index| simulation.node(index).stats.unsent)
        .sum();
    assert_eq!(unsent, 0, "no node reaches its rate limit");
    run_traffic(&mut simulation, 1000.0, 10.0);
    println!(
        "converged after {} ms",
        simulation.run_until_converged(20_000.0)
    );
}

/// Guards against a hundred thousand customers with a single use each: the table stays within its
/// limit, returning customers get a count, and nothing is lost from the total.
#[test]
fn customers_with_a_single_use_do_not_fill_the_table() {
    let settings = Settings {
        max_tracked_customers: 256,
        ..settings()
    };
    let mut simulation = Simulation::new(2, settings, RELIABLE, 8);
    simulation.run_until_all_alive(10_000.0);
    let mut total_used = 0;
    for customer in 0..100_000u64 {
        let now = simulation.clock(0);
        simulation
            .node(0)
            .record_usage(now, 1_000_000 + customer, 1.0);
        total_used += 1000;
        // This customer begins after thousands of others that use less.
        if customer >= 50_000 && customer % 50 == 0 {
            simulation.node(0).record_usage(now, 42, 8.0);
            total_used += 8000;
        }
    }
    let node = simulation.node(0);
    assert!(node.count_len() <= 257, "{}", node.count_len());
    let counted = node.total(42);
    assert!(
        counted >= 8_000_000 - 512_000,
        "of 8,000 units of a heavy customer {counted} thousandths are counted"
    );
    let sum: i64 = (0..100_000u64)
        .map(|customer| node.total(1_000_000 + customer))
        .sum();
    assert_eq!(
        sum + counted + node.total(TAIL),
        total_used,
        "the tail counts all customers without a count of their own"
    );
}

/// Guards saturation: a count stays at its largest value, and the saturated changes are counted.
#[test]
fn a_count_stays_at_its_largest_value() {
    let mut simulation = Simulation::new(2, settings(), RELIABLE, 9);
    simulation.run_until_all_alive(10_000.0);
    for _ in 0..3 {
        let now = simulation.clock(0);
        simulation.node(0).record_usage(now, 5, 1e300);
        simulation.node(0).record_usage(now, 5, -1e300);
        simulation.node(0).record_usage(now, 6, 6e11);
    }
    simulation.run(5000.0);
    assert!(simulation.node(0).stats.saturated >= 6);
    assert_eq!(simulation.node(0).total(5), 0);
    let (here, there) = (simulation.node(0).total(6), simulation.node(1).total(6));
    assert_eq!((here, there), (1 << 50, 1 << 50));
    let now = simulation.clock(0);
    simulation.node(0).record_usage(now, 7, f64::NAN);
    simulation.node(0).record_usage(now, 7, f64::INFINITY);
    assert_eq!(simulation.node(0).total(7), 0);
}

/// Guards against replayed datagrams, immediate or late, to any node and to a later incarnation:
/// they change nothing.
#[test]
fn replays_change_nothing() {
    let mut simulation = Simulation::new(3, settings(), RELIABLE, 10);
    simulation.run_until_all_alive(10_000.0);
    run_traffic(&mut simulation, 1000.0, 10.0);
    simulation.run_until_converged(10_000.0);
    let recorded = std::mem::take(&mut simulation.recorded);
    let before: Vec<_> = (0..3)
        .map(|index| {
            (1..9)
                .map(|c| simulation.node(index).total(c))
                .collect::<Vec<_>>()
        })
        .collect();
    for (from, to, bytes) in &recorded {
        simulation.deliver(*from, *to, bytes);
        simulation.deliver(*from, (*to + 1) % 3, bytes);
    }
    let after: Vec<_> = (0..3)
        .map(|index| {
            (1..9)
                .map(|c| simulation.node(index).total(c))
                .collect::<Vec<_>>()
        })
        .collect();
    assert_eq!(before, after);
    let rejected = &simulation.node(1).stats.rejected;
    assert!(
        rejected[&RejectReason::Repeated] > 0 && rejected[&RejectReason::Unproven] > 0,
        "{rejected:?}"
    );
    // A later incarnation of the receiver has another nonce.
    simulation.start(1);
    for (from, to, bytes) in recorded.iter().filter(|(_, to, _)| *to == 1) {
        let now = simulation.clock(1);
        simulation.node(1).receive(now, address(*from), bytes);
        assert_eq!(*to, 1);
    }
    assert_eq!(
        simulation.alive(1),
        0,
        "datagrams to an earlier incarnation make no node known"
    );
    assert_eq!(simulation.node(1).count_len(), 0);
}

/// Guards against replayed datagrams of a stopped node, which must not keep it alive.
#[test]
fn a_stopped_node_is_not_kept_alive_by_replays() {
    let mut simulation = Simulation::new(3, settings(), RELIABLE, 13);
    simulation.run_until_all_alive(10_000.0);
    simulation.run(2000.0);
    simulation.stop(2);
    let recorded: Vec<_> = simulation
        .recorded
        .iter()
        .filter(|(from, to, _)| (*from, *to) == (2, 0))
        .cloned()
        .collect();
    assert!(recorded.len() > 10);
    for _ in 0..40 {
        simulation.run(500.0);
        for (from, to, bytes) in &recorded {
            simulation.deliver(*from, *to, bytes);
        }
    }
    assert_eq!(simulation.alive(0), 1);
}

/// Guards against frequent restarts: the others keep at most two earlier incarnations.
#[test]
fn frequent_restarts_keep_a_bounded_number_of_incarnations() {
    let mut simulation = Simulation::new(3, settings(), RELIABLE, 14);
    for _ in 0..8 {
        simulation.run_until_all_alive(20_000.0);
        simulation.record_usage(2, 5, 1.0);
        simulation.run(2000.0);
        simulation.start(2);
    }
    simulation.run_until_all_alive(20_000.0);
    let now = simulation.clock(0);
    let max_former = simulation
        .node(0)
        .status(now, 5)
        .members
        .iter()
        .map(|member| member.former)
        .max();
    assert_eq!(max_former, Some(2));
    assert!(simulation.node(0).total(5) <= 8000);
}

/// Guards against datagrams of another cluster, key or version, truncated or altered: each is
/// counted by its reason and changes nothing.
#[test]
fn foreign_forged_and_truncated_datagrams_are_rejected() {
    let mut simulation = Simulation::new(2, settings(), RELIABLE, 11);
    simulation.run_until_all_alive(10_000.0);
    simulation.record_usage(0, 5, 3.0);
    simulation.run_until_converged(10_000.0);
    let (from, to, valid) = simulation
        .recorded
        .last()
        .cloned()
        .expect("a datagram was sent");
    let counts = simulation.node(to).count_len();
    let reject_reason = |simulation: &mut Simulation, bytes: &[u8]| {
        let before = simulation.node(to).stats.rejected.clone();
        let now = simulation.clock(to);
        simulation.node(to).receive(now, address(from), bytes);
        let after = simulation.node(to).stats.rejected.clone();
        after
            .into_iter()
            .find(|(reason, count)| before.get(reason).copied().unwrap_or(0) < *count)
            .map(|(reason, _)| reason)
    };
    assert_eq!(reject_reason(&mut simulation, &[]), Some(RejectReason::Cut));
    assert_eq!(
        reject_reason(&mut simulation, &valid[..5]),
        Some(RejectReason::Cut)
    );
    assert_eq!(
        reject_reason(&mut simulation, &valid[..valid.len() - 1]),
        Some(RejectReason::Forged)
    );
    assert_eq!(
        reject_reason(&mut simulation, &vec![0; 1500]),
        Some(RejectReason::TooLong)
    );
    assert_eq!(
        reject_reason(&mut simulation, b"GET / HTTP/1.1"),
        Some(RejectReason::Foreign)
    );
    let mut changed = valid.clone();
    changed[4] = 2;
    assert_eq!(
        reject_reason(&mut simulation, &changed),
        Some(RejectReason::OtherVersion)
    );
    for index in 14..valid.len() {
        let mut changed = valid.clone();
        changed[index] ^= 0x10;
        assert_eq!(
            reject_reason(&mut simulation, &changed),
            Some(RejectReason::Forged),
            "byte {index}"
        );
    }
    let mut other = Simulation::new(
        1,
        Settings {
            cluster: "cuenca".to_owned(),
            ..settings()
        },
        RELIABLE,
        1,
    );
    other.nodes[0]
        .node
        .as_mut()
        .expect("the node is running")
        .tick(1e9);
    let foreign = other.node(0).poll().map(|output| output.bytes);
    assert_eq!(
        foreign.and_then(|bytes| reject_reason(&mut simulation, &bytes)),
        Some(RejectReason::OtherCluster)
    );
    assert_eq!(simulation.node(to).count_len(), counts);
    let text = simulation.node(to).status(0.0, 5).plain();
    assert!(
        text.contains("Forged") && text.contains("OtherCluster"),
        "{text}"
    );
}

/// A node with the cluster's key that sends datagrams about nodes that do not exist.
struct RogueNode {
    seal: Seal,
    sender: Life,
    /// The receiver's nonce.
    echo: u64,
}

impl RogueNode {
    /// Returns a datagram about a node whose last heartbeat has this age in milliseconds.
    fn datagram_about(&self, number: u64, name: &str, incarnation: u64, age: u64) -> Vec<u8> {
        let head = Head {
            kind: Kind::Gossip,
            from: self.sender,
            number,
            nonce: 77,
            echo: self.echo,
        };
        let source = Life {
            door: DoorId::of(name),
            incarnation,
        };
        let member = MemberInfo {
            heartbeat: Heartbeat {
                source,
                uptime: 1,
                version: 0,
                age,
            },
            address: address(9),
            name: name.to_owned(),
        };
        let mut writer = Writer::new(&self.seal, &head, 1200);
        assert!(writer.add(&Section::Members(vec![member])));
        writer.seal(&self.seal)
    }
}

/// Guards against a node with the key that fabricates a thousand members: the limit on members
/// holds, and those without heartbeats are forgotten.
#[test]
fn fabricated_members_stay_within_the_limit_and_are_forgotten() {
    let settings = Settings {
        max_members: 64,
        gone_after: 5000.0,
        forget_after: 5000.0,
        ..settings()
    };
    let mut simulation = Simulation::new(3, settings.clone(), RELIABLE, 12);
    simulation.run_until_all_alive(10_000.0);
    let seal = Seal::new(&settings.cluster, &settings.key);
    // Node 2 sends the fabricated datagrams. It has the nonce of node 0, which node 0 sends to
    // every node that it contacts.
    let (from, _, bytes) = simulation
        .recorded
        .iter()
        .rev()
        .find(|(from, to, _)| (*from, *to) == (0, 2))
        .cloned()
        .expect("node 0 has contacted node 2");
    assert_eq!(from, 0);
    let (head, _) = wire::read(&seal, &bytes).expect("it is valid");
    let sender = simulation.node(2).incarnation();
    let rogue = RogueNode {
        seal,
        sender,
        echo: head.nonce,
    };
    let date = sender.incarnation;
    // A node whose last heartbeat is an hour old is gone at every node.
    let bytes = rogue.datagram_about(900_000, "z", date, 3_600_000);
    simulation.deliver(2, 0, &bytes);
    assert!(simulation
        .node(0)
        .members()
        .all(|member| member.name != "z"));
    for index in 0..1000u64 {
        let bytes = rogue.datagram_about(1_000_000 + index, &format!("x{index}"), date, 0);
        simulation.deliver(2, 0, &bytes);
    }
    assert_eq!(simulation.node(0).members().count(), 63);
    assert!(simulation.node(0).stats.rejected[&RejectReason::NoMember] > 900);
    assert_eq!(
        simulation.alive(0),
        2,
        "no node is alive without heartbeats"
    );
    // An incarnation that starts two days ahead is out of range.
    let bytes = rogue.datagram_about(2_000_000, "y", date + 2 * 86_400_000, 0);
    simulation.deliver(2, 0, &bytes);
    assert_eq!(simulation.node(0).stats.rejected[&RejectReason::Absurd], 1);
    // Other nodes may have received and forwarded some of the fabricated members; without
    // heartbeats all of them are forgotten for good.
    simulation.run(60_000.0);
    let states: Vec<MemberState> = simulation
        .node(0)
        .members()
        .map(|member| member.state)
        .collect();
    assert_eq!(
        states,
        [MemberState::Alive; 2],
        "the fabricated members are forgotten"
    );
}
