//! How shared counts grow: bytes a second, CPU and counts held for each door, and how long until all know, by doors and
//! customers. `cargo bench -p maplefall-shared-counts --bench growth [-- DOORS CUSTOMERS]`; a minute or two without.

#[path = "../tests/world/mod.rs"]
mod world;

use maplefall_shared_counts::Settings;
use std::time::Instant;
use world::*;

/// Simulated seconds of traffic, after all have met.
const SECONDS: f64 = 5.0;

fn main() {
    let words: Vec<usize> = std::env::args()
        .filter_map(|word| word.parse().ok())
        .collect();
    let table = match words[..] {
        [doors, customers] => vec![(doors, customers)],
        _ => vec![
            (10, 1000),
            (100, 1000),
            (300, 1000),
            (10, 100_000),
            (100, 100_000),
        ],
    };
    println!("doors customers  met s  all know ms (median, worst)  KB/s out  datagrams/s  CPU %  counts  news ms (median, worst)");
    for (doors, customers) in table {
        row(doors, customers);
    }
}

fn row(doors: usize, customers: usize) {
    let set = Settings {
        most_members: 1024,
        ..Settings::usual("quito", vec![7; 32])
    };
    let link = Link {
        loss: 0.01,
        doubled: 0.0,
        delay: (0.2, 2.0),
    };
    let mut world = World::new(doors, set, link, 1);
    let met = world.meet(300_000.0);
    let tally = |world: &mut World| {
        (0..doors)
            .map(|at| world.node(at).tally.sent)
            .fold((0, 0), |sum, sent| (sum.0 + sent.0, sum.1 + sent.1))
    };
    let before = tally(&mut world);
    let (begun, start) = (Instant::now(), world.now);
    let mut ages = Vec::new();
    let (mut late, mut pending, mut marks) = (Vec::new(), Vec::new(), 0u64);
    // Two requests a second at each door, of customers drawn evenly; each tenth of a second one is followed on its way.
    while world.now - start < SECONDS * 1000.0 || !pending.is_empty() {
        if world.now - start < SECONDS * 1000.0 {
            let marked = 1_000_000 + marks;
            world.used(marks as usize % doors, marked, 1.0);
            pending.push((marked, world.now));
            marks += 1;
            for _ in 0..doors / 5 {
                let at = (chance(&mut world.rng) * doors as f64) as usize;
                let customer = (chance(&mut world.rng) * customers as f64) as u64;
                world.used(at, customer, 3.0);
            }
        }
        for _ in 0..5 {
            world.play(20.0);
            pending.retain(|(marked, told): &(u64, f64)| {
                let known = world
                    .doors
                    .iter()
                    .all(|d| d.node.as_ref().is_some_and(|n| n.total(*marked) == 1000));
                if known {
                    late.push(world.now - told);
                }
                assert!(world.now - told < 60_000.0, "never known by all");
                !known
            });
        }
        for at in 0..doors {
            let now = world.clock(at);
            ages.push(now - world.node(at).news(now).0);
        }
    }
    let seconds = (world.now - start) / 1000.0;
    let cpu = begun.elapsed().as_secs_f64() / seconds / doors as f64 * 100.0;
    let after = tally(&mut world);
    let pick = |list: &mut Vec<f64>, part: f64| {
        list.sort_by(f64::total_cmp);
        list[((list.len() - 1) as f64 * part) as usize]
    };
    let counts = (0..doors)
        .map(|at| world.node(at).counts())
        .max()
        .unwrap_or(0);
    println!(
        "{doors:>5} {customers:>9} {:>6.1} {:>12.0} {:>8.0} {:>16.1} {:>12.1} {:>6.2} {:>7} {:>9.0} {:>8.0}",
        met / 1000.0,
        pick(&mut late, 0.5),
        pick(&mut late, 1.0),
        (after.1 - before.1) as f64 / seconds / doors as f64 / 1000.0,
        (after.0 - before.0) as f64 / seconds / doors as f64,
        cpu,
        counts,
        pick(&mut ages, 0.5),
        pick(&mut ages, 1.0),
    );
}
