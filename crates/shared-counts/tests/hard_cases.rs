//! The failures that shared counts are meant for, each caused.

mod world;
use maplefall_shared_counts::members::State;
use maplefall_shared_counts::wire::Refused;
use maplefall_shared_counts::{Settings, TAIL};
use rand_core::RngCore;
use world::*;

/// Uses of eight customers at all doors that run, over so long.
fn traffic(world: &mut World, span: f64, every: f64) {
    let end = world.now + span;
    while world.now < end {
        let at = (world.rng.next_u32() as usize) % world.doors.len();
        if world.doors[at].node.is_some() {
            let customer = 1 + u64::from(world.rng.next_u32() % 8);
            let units = 0.5 + 8.0 * chance(&mut world.rng);
            world.used(at, customer, units);
            if chance(&mut world.rng) < 0.3 {
                // The answer told fewer units than the guess.
                world.used(at, customer, -units * 0.4);
            }
        }
        world.play(every);
    }
}

/// Loss of 30%, doubles, and delays by which datagrams pass one another: never over the truth, and equal once quiet.
#[test]
fn totals_are_never_over_the_truth_and_equal_once_all_is_quiet() {
    for seed in 0..6 {
        let mut world = World::new(10, settings(), ROUGH, seed);
        world.meet(20_000.0);
        for _ in 0..10 {
            traffic(&mut world, 500.0, 10.0);
            world.assert_never_over();
        }
        let took = world.settle(20_000.0);
        println!("equal after {took} ms");
    }
}

/// Delays of seconds, longer than rounds by far.
#[test]
fn delays_of_seconds_make_news_late_and_nothing_else() {
    let slow = Link {
        loss: 0.1,
        doubled: 0.2,
        delay: (1000.0, 5000.0),
    };
    let mut world = World::new(5, settings(), slow, 3);
    world.meet(90_000.0);
    traffic(&mut world, 5000.0, 20.0);
    world.assert_never_over();
    world.settle(90_000.0);
}

/// A door that was cut off for a long time and comes back counts nothing twice, and hears what it missed.
#[test]
fn a_door_back_from_silence_is_counted_once() {
    let mut world = World::new(6, settings(), CALM, 1);
    world.meet(10_000.0);
    traffic(&mut world, 1000.0, 10.0);
    for other in 0..5 {
        world.cut.extend([(5, other), (other, 5)]);
    }
    traffic(&mut world, 40_000.0, 100.0);
    assert_eq!(world.alive(0), 4, "the silent door is not waited for");
    assert!(world.all_equal().is_err());
    world.assert_never_over();
    world.cut.clear();
    world.meet(20_000.0);
    world.settle(10_000.0);
}

/// A door that restarts forgets what it has counted and hears it from the others, as use elsewhere.
#[test]
fn a_restarted_door_hears_of_its_own_earlier_life() {
    let mut world = World::new(4, settings(), CALM, 1);
    world.meet(10_000.0);
    world.used(2, 9, 100.0);
    world.settle(10_000.0);
    world.start(2);
    assert_eq!(world.node(2).total(9), 0);
    world.settle(20_000.0);
    let now = world.clock(2);
    let fact = world.node(2).fact(now, 9).expect("it was heard of");
    assert_eq!(fact.units, 100.0);
    assert_eq!(
        world.node(2).fact(now, 9).map(|fact| fact.units),
        Some(0.0),
        "told once"
    );
    world.used(2, 9, 7.0);
    world.settle(10_000.0);
    // Told by a life that is not the first: others have both.
    let id = world.id(2);
    assert_eq!(world.node(0).total_of(id, 9), 107_000);
}

/// A date that went back gives a new life a smaller number than the old one's: it takes a larger one, and no count of either
/// is lost or taken for the other's.
#[test]
fn a_life_that_begins_before_its_predecessor_takes_a_new_number() {
    let mut world = World::new(4, settings(), CALM, 1);
    world.doors[3].date_ahead = 3_600_000;
    world.start(3);
    world.meet(10_000.0);
    world.used(3, 9, 100.0);
    world.settle(10_000.0);
    world.doors[3].date_ahead = 0;
    world.start(3);
    world.used(3, 9, 5.0);
    world.settle(30_000.0);
    assert_eq!(world.node(3).tally.renamed, 1);
    assert_eq!(world.node(0).total(9), 105_000);
    world.used(3, 9, 1.0);
    world.settle(10_000.0);
}

/// Two processes under one name do not number each other up for ever.
#[test]
fn two_doors_of_one_name_are_told_and_do_no_endless_harm() {
    let mut world = World::new(4, settings(), CALM, 1);
    world.doors[3].name = "d2".to_owned();
    world.doors[3].date_ahead = 5;
    world.start(3);
    world.play(20_000.0);
    let renamed = world.node(2).tally.renamed + world.node(3).tally.renamed;
    assert!((1..=4).contains(&renamed), "{renamed}");
}

/// Two halves that count apart for a minute and heal; a third of it is in epochs that are over by then.
#[test]
fn two_halves_heal() {
    let mut world = World::new(8, settings(), CALM, 2);
    world.meet(10_000.0);
    for left in 0..4 {
        for right in 4..8 {
            world.cut.extend([(left, right), (right, left)]);
        }
    }
    traffic(&mut world, 60_000.0, 50.0);
    world.assert_never_over();
    assert_eq!((world.alive(0), world.alive(7)), (3, 3));
    let now = world.clock(0);
    assert_eq!(world.node(0).news(now).1, 4, "what is not heard of is told");
    world.cut.clear();
    world.meet(30_000.0);
    world.settle(10_000.0);
}

/// A link that works one way alone accuses nobody: news goes round by others.
#[test]
fn one_way_links_accuse_nobody() {
    let mut world = World::new(6, settings(), CALM, 4);
    world.meet(10_000.0);
    world.cut.extend([(0, 1), (2, 3), (3, 4), (5, 0)]);
    for _ in 0..20 {
        traffic(&mut world, 1000.0, 50.0);
        assert!((0..6).all(|at| world.alive(at) == 5));
    }
    world.settle(10_000.0);
}

/// A flood past the quota at one door while another hears nothing: what it is told afterwards is all of it, once.
#[test]
fn one_far_behind_in_a_flood_catches_up() {
    let mut world = World::new(5, settings(), CALM, 5);
    world.meet(10_000.0);
    for other in 0..4 {
        world.cut.insert((other, 4));
    }
    for _ in 0..2000 {
        world.used(1, 7, 8.0);
        let crowd = 1000 + u64::from(world.rng.next_u32() % 400);
        world.used(2, crowd, 1.0);
    }
    world.play(5000.0);
    let now = world.clock(4);
    let behind = now - world.node(4).news(now).0;
    assert!(
        behind > 4000.0 || world.node(4).news(now).1 == 1,
        "its news is known to be old: {behind} ms"
    );
    world.cut.clear();
    world.settle(20_000.0);
    let now = world.clock(4);
    assert_eq!(
        world.node(4).fact(now, 7).map(|fact| fact.units),
        Some(16_000.0)
    );
}

/// Epochs end while datagrams are out, at each door at another time.
#[test]
fn epochs_end_while_datagrams_are_out() {
    let set = Settings {
        epoch: 1000.0,
        epochs_kept: 3,
        ..settings()
    };
    let mut world = World::new(6, set, ROUGH, 6);
    world.meet(20_000.0);
    for _ in 0..40 {
        traffic(&mut world, 250.0, 10.0);
        world.assert_never_over();
    }
    world.play(10_000.0);
    for at in 0..6 {
        assert_eq!(
            world.node(at).counts(),
            0,
            "all is over and forgotten at door {at}"
        );
        assert_eq!(world.node(at).total(1), 0);
    }
}

/// A hundred doors that start in the same instant, with two of them as seeds.
#[test]
fn a_hundred_doors_start_together() {
    let mut world = World::new(100, settings(), CALM, 7);
    let took = world.meet(60_000.0);
    println!("all know all after {took} ms");
    let held_back: u64 = (0..100).map(|at| world.node(at).tally.held_back).sum();
    assert_eq!(held_back, 0, "no door comes to the bounds of its rate");
    traffic(&mut world, 1000.0, 10.0);
    println!("equal after {} ms", world.settle(20_000.0));
}

/// A hundred thousand customers that come once: the table stays within its bound, those who come again are told, and
/// nothing is lost from the whole.
#[test]
fn one_shot_customers_do_not_fill_the_table() {
    let set = Settings {
        most_told: 256,
        ..settings()
    };
    let mut world = World::new(2, set, CALM, 8);
    world.meet(10_000.0);
    let mut all = 0;
    for customer in 0..100_000u64 {
        let now = world.clock(0);
        world.node(0).used(now, 1_000_000 + customer, 1.0);
        all += 1000;
        // It comes when hundreds have come before it that used less.
        if customer >= 50_000 && customer % 50 == 0 {
            world.node(0).used(now, 42, 8.0);
            all += 8000;
        }
    }
    let node = world.node(0);
    assert!(node.counts() <= 257, "{}", node.counts());
    let told = node.total(42);
    assert!(
        told >= 8_000_000 - 512_000,
        "of 8,000 units of a heavy customer {told} thousandths are told"
    );
    let sum: i64 = (0..100_000u64)
        .map(|customer| node.total(1_000_000 + customer))
        .sum();
    assert_eq!(
        sum + told + node.total(TAIL),
        all,
        "the tail holds what has no count of its own"
    );
}

/// Counts that come to their width stay there, and say so.
#[test]
fn a_count_at_its_width_stays_there() {
    let mut world = World::new(2, settings(), CALM, 9);
    world.meet(10_000.0);
    for _ in 0..3 {
        let now = world.clock(0);
        world.node(0).used(now, 5, 1e300);
        world.node(0).used(now, 5, -1e300);
        world.node(0).used(now, 6, 6e11);
    }
    world.play(5000.0);
    assert!(world.node(0).tally.full_counts >= 6);
    assert_eq!(world.node(0).total(5), 0);
    let (here, there) = (world.node(0).total(6), world.node(1).total(6));
    assert_eq!((here, there), (1 << 50, 1 << 50));
    let now = world.clock(0);
    world.node(0).used(now, 7, f64::NAN);
    world.node(0).used(now, 7, f64::INFINITY);
    assert_eq!(world.node(0).total(7), 0);
}

/// Datagrams that come again, at once or minutes later, to whomever and to a door's later life, change nothing.
#[test]
fn replays_change_nothing() {
    let mut world = World::new(3, settings(), CALM, 10);
    world.meet(10_000.0);
    traffic(&mut world, 1000.0, 10.0);
    world.settle(10_000.0);
    let kept = std::mem::take(&mut world.kept);
    let before: Vec<_> = (0..3)
        .map(|at| (1..9).map(|c| world.node(at).total(c)).collect::<Vec<_>>())
        .collect();
    for (from, to, bytes) in &kept {
        world.deliver(*from, *to, bytes);
        world.deliver(*from, (*to + 1) % 3, bytes);
    }
    let after: Vec<_> = (0..3)
        .map(|at| (1..9).map(|c| world.node(at).total(c)).collect::<Vec<_>>())
        .collect();
    assert_eq!(before, after);
    let refused = &world.node(1).tally.refused;
    assert!(
        refused[&Refused::Repeated] > 0 && refused[&Refused::Unproven] > 0,
        "{refused:?}"
    );
    // A later life of the receiver has another nonce.
    world.start(1);
    for (from, to, bytes) in kept.iter().filter(|(_, to, _)| *to == 1) {
        let now = world.clock(1);
        world.node(1).receive(now, address(*from), bytes);
        assert_eq!(*to, 1);
    }
    assert_eq!(
        world.alive(1),
        0,
        "what was sent to an earlier life makes nobody known"
    );
    assert_eq!(world.node(1).counts(), 0);
}

/// Whoever has recorded a door's datagrams cannot keep it alive by sending them again.
#[test]
fn a_dead_door_is_not_kept_alive_by_replays() {
    let mut world = World::new(3, settings(), CALM, 13);
    world.meet(10_000.0);
    world.play(2000.0);
    world.stop(2);
    let kept: Vec<_> = world
        .kept
        .iter()
        .filter(|(from, to, _)| (*from, *to) == (2, 0))
        .cloned()
        .collect();
    assert!(kept.len() > 10);
    for _ in 0..40 {
        world.play(500.0);
        for (from, to, bytes) in &kept {
            world.deliver(*from, *to, bytes);
        }
    }
    assert_eq!(world.alive(0), 1);
}

/// A door that restarts again and again leaves no more than two earlier lives behind at the others.
#[test]
fn a_door_that_restarts_all_the_time_leaves_a_bounded_trace() {
    let mut world = World::new(3, settings(), CALM, 14);
    for _ in 0..8 {
        world.meet(20_000.0);
        world.used(2, 5, 1.0);
        world.play(2000.0);
        world.start(2);
    }
    world.meet(20_000.0);
    let now = world.clock(0);
    let most = world
        .node(0)
        .show(now, 5)
        .members
        .iter()
        .map(|member| member.former)
        .max();
    assert_eq!(most, Some(2));
    assert!(world.node(0).total(5) <= 8000);
}

/// Another cluster, another key, another version, cut, changed: nothing changes, and each is counted by its reason.
#[test]
fn foreign_forged_and_cut_datagrams_are_counted_and_change_nothing() {
    let mut world = World::new(2, settings(), CALM, 11);
    world.meet(10_000.0);
    world.used(0, 5, 3.0);
    world.settle(10_000.0);
    let (from, to, whole) = world.kept.last().cloned().expect("something was sent");
    let counts = world.node(to).counts();
    let refused = |world: &mut World, bytes: &[u8]| {
        let before = world.node(to).tally.refused.clone();
        let now = world.clock(to);
        world.node(to).receive(now, address(from), bytes);
        let after = world.node(to).tally.refused.clone();
        after
            .into_iter()
            .find(|(why, count)| before.get(why).copied().unwrap_or(0) < *count)
            .map(|(why, _)| why)
    };
    assert_eq!(refused(&mut world, &[]), Some(Refused::Cut));
    assert_eq!(refused(&mut world, &whole[..5]), Some(Refused::Cut));
    assert_eq!(
        refused(&mut world, &whole[..whole.len() - 1]),
        Some(Refused::Forged)
    );
    assert_eq!(refused(&mut world, &vec![0; 1500]), Some(Refused::TooLong));
    assert_eq!(
        refused(&mut world, b"GET / HTTP/1.1"),
        Some(Refused::Foreign)
    );
    let mut changed = whole.clone();
    changed[4] = 2;
    assert_eq!(refused(&mut world, &changed), Some(Refused::OtherVersion));
    for at in 14..whole.len() {
        let mut changed = whole.clone();
        changed[at] ^= 0x10;
        assert_eq!(
            refused(&mut world, &changed),
            Some(Refused::Forged),
            "byte {at}"
        );
    }
    let other = World::new(
        1,
        Settings {
            cluster: "cuenca".to_owned(),
            ..settings()
        },
        CALM,
        1,
    );
    let mut other = other;
    other.doors[0].node.as_mut().expect("it runs").tick(1e9);
    let foreign = other.node(0).poll().map(|output| output.bytes);
    assert_eq!(
        foreign.and_then(|bytes| refused(&mut world, &bytes)),
        Some(Refused::OtherCluster)
    );
    assert_eq!(world.node(to).counts(), counts);
    let plain = world.node(to).show(0.0, 5).plain();
    assert!(
        plain.contains("Forged") && plain.contains("OtherCluster"),
        "{plain}"
    );
}

/// A door with the key that invents a thousand others fills no more than the bound, and those that show no life are gone.
#[test]
fn invented_doors_stay_within_the_bound_and_are_forgotten() {
    use maplefall_shared_counts::members::Beat;
    use maplefall_shared_counts::wire::{Card, Head, Kind, Seal, Section, Writer};
    use maplefall_shared_counts::{DoorId, Life};
    let set = Settings {
        most_members: 64,
        gone_after: 5000.0,
        forget_after: 5000.0,
        ..settings()
    };
    let mut world = World::new(3, set.clone(), CALM, 12);
    world.meet(10_000.0);
    let seal = Seal::new(&set.cluster, &set.key);
    // The liar is door 2: it has the nonce of door 0, as door 0 hands it to all that it speaks to.
    let (from, _, bytes) = world
        .kept
        .iter()
        .rev()
        .find(|(from, to, _)| (*from, *to) == (0, 2))
        .cloned()
        .expect("they have spoken");
    assert_eq!(from, 0);
    let (head, _) = maplefall_shared_counts::wire::read(&seal, &bytes).expect("it is whole");
    let liar = world.node(2).life();
    let date = liar.incarnation;
    // One that was last heard of an hour ago is gone wherever that was.
    let life = Life {
        door: DoorId::of("z"),
        incarnation: date,
    };
    let beat = Beat {
        life,
        time: 1,
        version: 0,
        age: 3_600_000,
    };
    let mut writer = Writer::new(
        &seal,
        &Head {
            kind: Kind::Gossip,
            from: liar,
            number: 900_000,
            nonce: 77,
            echo: head.nonce,
        },
        1200,
    );
    assert!(writer.add(&Section::Cards(vec![Card {
        beat,
        address: address(9),
        name: "z".to_owned()
    }])));
    let bytes = writer.seal(&seal);
    world.deliver(2, 0, &bytes);
    assert!(world.node(0).members().all(|member| member.name != "z"));
    for lie in 0..1000u64 {
        let name = format!("x{lie}");
        let life = Life {
            door: DoorId::of(&name),
            incarnation: date,
        };
        let beat = Beat {
            life,
            time: 1,
            version: 0,
            age: 0,
        };
        let head = Head {
            kind: Kind::Gossip,
            from: liar,
            number: 1_000_000 + lie,
            nonce: 77,
            echo: head.nonce,
        };
        let mut writer = Writer::new(&seal, &head, 1200);
        assert!(writer.add(&Section::Cards(vec![Card {
            beat,
            address: address(9),
            name
        }])));
        let bytes = writer.seal(&seal);
        world.deliver(2, 0, &bytes);
    }
    assert_eq!(world.node(0).members().count(), 63);
    assert!(world.node(0).tally.refused[&Refused::NoMember] > 900);
    assert_eq!(world.alive(0), 2, "nobody is alive who shows no life");
    // An absurd one: a life of the day after tomorrow.
    let life = Life {
        door: DoorId::of("y"),
        incarnation: date + 2 * 86_400_000,
    };
    let beat = Beat {
        life,
        time: 1,
        version: 0,
        age: 0,
    };
    let lie = Head {
        kind: Kind::Gossip,
        from: liar,
        number: 2_000_000,
        nonce: 77,
        echo: head.nonce,
    };
    let mut writer = Writer::new(&seal, &lie, 1200);
    assert!(writer.add(&Section::Cards(vec![Card {
        beat,
        address: address(9),
        name: "y".to_owned()
    }])));
    let bytes = writer.seal(&seal);
    world.deliver(2, 0, &bytes);
    assert_eq!(world.node(0).tally.refused[&Refused::Absurd], 1);
    // Others may have heard of some and tell them on; each is known once, shows no life and is forgotten for good.
    world.play(60_000.0);
    let states: Vec<State> = world.node(0).members().map(|member| member.state).collect();
    assert_eq!(states, [State::Alive; 2], "the invented ones are forgotten");
}
