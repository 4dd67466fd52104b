//! Contact is proven, not assumed: who was frozen, cut off or deposed, or is behind, knows it. Seeds are printed; what every step is
//! checked for stands in `play`.

mod play;

use play::{calm, Fleet, Variant, ALONE};

/// Guards against a leader that thaws with old answers in its sockets: its first input of any kind ends its lead, and none of those
/// answers makes it one again, or puts it in touch.
#[test]
fn a_frozen_node_that_thaws_knows_nothing_of_now() {
    let mut reads = 0;
    for seed in 0..60 {
        println!("seed {seed}");
        let mut fleet = Fleet::new(seed, if seed % 3 == 0 { 5 } else { 3 }, Variant::Right);
        fleet.rate = 0.05;
        fleet.play(1500.0);
        for _ in 0..6 {
            let name = if fleet.chance(0.7) {
                fleet.leader().unwrap_or_default()
            } else {
                fleet.any()
            };
            if name.is_empty() {
                fleet.play(500.0);
                continue;
            }
            // Some of what it asked is answered while it is frozen.
            fleet.read(&name);
            fleet.propose(&name);
            let (before, span) = (
                f64::from(fleet.draw(4)),
                ALONE + f64::from(fleet.draw(3000)),
            );
            fleet.play(before);
            fleet.freeze(&name, span);
            let rest = f64::from(fleet.draw(1500));
            fleet.play(span + rest);
        }
        calm(&mut fleet, seed);
        reads += fleet.confirmed_reads;
    }
    println!("{reads} reads confirmed");
    assert!(reads > 500, "only {reads} reads were confirmed");
}

/// Guards against the time at which an answer is read: one that freezes for less than a second and is cut off meanwhile finds answers
/// of before in its sockets. They prove what they proved then, so it is out of touch a second after the cut, not after it has read them.
#[test]
fn answers_that_are_read_late_prove_nothing_of_then() {
    for seed in 0..60 {
        println!("seed {seed}");
        let mut fleet = Fleet::new(seed, if seed % 3 == 0 { 5 } else { 3 }, Variant::Right);
        fleet.rate = 0.05;
        fleet.play(1500.0);
        for _ in 0..4 {
            let name = fleet.leader().unwrap_or_else(|| fleet.names[0].clone());
            let span = 500.0 + f64::from(fleet.draw(490));
            fleet.propose(&name);
            fleet.freeze(&name, span);
            fleet.play(6.0);
            fleet.cut_off(&name, true, true);
            fleet.play(2500.0);
            fleet.join();
            fleet.play(1500.0);
        }
        calm(&mut fleet, seed);
    }
}

/// Guards the letter's twenty seconds: one that is cut off, both ways or one, says within a second that it is out of touch, confirms
/// nothing, and is in touch again soon after.
#[test]
fn one_that_is_cut_off_is_out_of_touch_within_a_second() {
    let mut back: Vec<f64> = Vec::new();
    for seed in 0..48 {
        println!("seed {seed}");
        let mut fleet = Fleet::new(seed, if seed % 4 == 0 { 5 } else { 3 }, Variant::Right);
        fleet.play(1500.0);
        let name = if seed % 2 == 0 {
            fleet.leader().unwrap_or_default()
        } else {
            fleet.any()
        };
        let (says, hears) = [(true, true), (true, false), (false, true)][seed as usize % 3];
        fleet.cut_off(&name, says, hears);
        let acknowledged = fleet.acknowledged.len();
        // Each step of these asks whether it says that it is in touch.
        fleet.play(20_000.0);
        assert!(
            fleet.acknowledged.len() > acknowledged,
            "seed {seed}: the others do not go on"
        );
        fleet.join();
        let start = fleet.now;
        let touch = |fleet: &Fleet| {
            fleet.nodes[&name]
                .tandem
                .as_ref()
                .is_some_and(|t| t.has_quorum_contact(fleet.now))
        };
        while fleet.now - start < 4000.0 && !touch(&fleet) {
            fleet.play(10.0);
        }
        back.push(fleet.now - start);
        calm(&mut fleet, seed);
    }
    back.sort_by(f64::total_cmp);
    let (median, most) = (back[back.len() / 2], back[back.len() - 1]);
    println!("in touch again after a cut: median {median:.0} ms, most {most:.0} ms");
    assert!(most < 3000.0, "in touch again only after {most} ms");
}

/// Guards against one that is behind and hands on what it has: long changes come in several messages, and until the last of them
/// it is out of touch. Every step asks.
#[test]
fn one_that_is_behind_is_out_of_touch() {
    for seed in 0..6 {
        println!("seed {seed}");
        let mut fleet = Fleet::new(seed, 3, Variant::Right);
        fleet.payload = 400 << 10;
        fleet.play(1500.0);
        for _ in 0..2 {
            let name = fleet.any();
            fleet.cut_off(&name, true, true);
            fleet.play(2000.0);
            fleet.join();
            fleet.play(1000.0);
            for name in fleet.names.clone() {
                fleet.fold(&name);
            }
        }
        fleet.payload = 8;
        calm(&mut fleet, seed);
    }
}

/// Guards against words of being alone that are not true: in calm times, with or without changes, nobody is out of touch at any moment
/// and nobody ceases to lead.
#[test]
fn in_calm_times_all_are_in_touch_all_the_while() {
    let mut oldest: f64 = 0.0;
    for (seed, rate) in [(1, 0.0), (2, 0.001), (3, 0.01), (4, 0.1), (5, 0.5)] {
        let mut fleet = Fleet::new(seed, 5, Variant::Right);
        (fleet.loss, fleet.rate) = (0.0, rate);
        fleet.play(3000.0);
        let leader = fleet.leader();
        for _ in 0..20_000 {
            fleet.play(1.0);
            for (name, node) in &fleet.nodes {
                let tandem = node.tandem.as_ref().expect("a node");
                oldest = oldest.max(fleet.now - tandem.last_quorum_contact(fleet.now));
                assert!(
                    tandem.has_quorum_contact(fleet.now),
                    "rate {rate}: {name} is out of touch at {}",
                    fleet.now
                );
            }
        }
        assert_eq!(fleet.leader(), leader, "rate {rate}: another leads");
    }
    println!(
        "the oldest contact in calm times: {oldest:.0} ms ago, where one message in fifty is 300 ms late"
    );
}
