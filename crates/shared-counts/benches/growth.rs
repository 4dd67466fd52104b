//! Scaling of shared counts: bytes per second, CPU and counts per node, and the time until all
//! nodes have a count, by nodes and customers. `cargo bench -p maplefall-shared-counts --bench
//! growth [-- NODES CUSTOMERS]`; the default table takes a minute or two.

#[path = "../tests/simulation/mod.rs"]
mod simulation;

use maplefall_shared_counts::Settings;
use simulation::*;
use std::time::Instant;

/// Simulated seconds of traffic, after all nodes have discovered each other.
const SECONDS: f64 = 5.0;

fn main() {
    let arguments: Vec<usize> = std::env::args()
        .filter_map(|argument| argument.parse().ok())
        .collect();
    let table = match arguments[..] {
        [nodes, customers] => vec![(nodes, customers)],
        _ => vec![
            (10, 1000),
            (100, 1000),
            (300, 1000),
            (10, 100_000),
            (100, 100_000),
        ],
    };
    println!("nodes customers  met s  all equal ms (median, worst)  KB/s out  datagrams/s  CPU %  counts  staleness ms (median, worst)");
    for (nodes, customers) in table {
        measure(nodes, customers);
    }
}

fn measure(nodes: usize, customers: usize) {
    let settings = Settings {
        max_members: 1024,
        ..Settings::usual("quito", vec![7; 32])
    };
    let link = Link {
        loss: 0.01,
        duplicated: 0.0,
        delay: (0.2, 2.0),
    };
    let mut simulation = Simulation::new(nodes, settings, link, 1);
    let discovery_ms = simulation.run_until_all_alive(300_000.0);
    let total_sent = |simulation: &mut Simulation| {
        (0..nodes)
            .map(|index| simulation.node(index).stats.sent)
            .fold((0, 0), |sum, sent| {
                (sum.0 + sent.datagrams, sum.1 + sent.bytes)
            })
    };
    let before = total_sent(&mut simulation);
    let (started_at, start) = (Instant::now(), simulation.now);
    let mut ages = Vec::new();
    let (mut delays, mut pending, mut tracked_count) = (Vec::new(), Vec::new(), 0u64);
    // Two requests per second at each node, of customers drawn uniformly. Every tenth of a second a
    // new customer is tracked until all nodes have its count.
    while simulation.now - start < SECONDS * 1000.0 || !pending.is_empty() {
        if simulation.now - start < SECONDS * 1000.0 {
            let tracked = 1_000_000 + tracked_count;
            simulation.record_usage(tracked_count as usize % nodes, tracked, 1.0);
            pending.push((tracked, simulation.now));
            tracked_count += 1;
            for _ in 0..nodes / 5 {
                let index = (uniform(&mut simulation.rng) * nodes as f64) as usize;
                let customer = (uniform(&mut simulation.rng) * customers as f64) as u64;
                simulation.record_usage(index, customer, 3.0);
            }
        }
        for _ in 0..5 {
            simulation.run(20.0);
            pending.retain(|(tracked, used_at): &(u64, f64)| {
                let is_known = simulation
                    .nodes
                    .iter()
                    .all(|d| d.node.as_ref().is_some_and(|n| n.total(*tracked) == 1000));
                if is_known {
                    delays.push(simulation.now - used_at);
                }
                assert!(
                    simulation.now - used_at < 60_000.0,
                    "not all nodes have the count"
                );
                !is_known
            });
        }
        for index in 0..nodes {
            let now = simulation.clock(index);
            ages.push(now - simulation.node(index).freshness(now).0);
        }
    }
    let seconds = (simulation.now - start) / 1000.0;
    let cpu = started_at.elapsed().as_secs_f64() / seconds / nodes as f64 * 100.0;
    let after = total_sent(&mut simulation);
    let quantile = |list: &mut Vec<f64>, fraction: f64| {
        list.sort_by(f64::total_cmp);
        list[((list.len() - 1) as f64 * fraction) as usize]
    };
    let counts = (0..nodes)
        .map(|index| simulation.node(index).count_len())
        .max()
        .unwrap_or(0);
    println!(
        "{nodes:>5} {customers:>9} {:>6.1} {:>12.0} {:>8.0} {:>16.1} {:>12.1} {:>6.2} {:>7} {:>9.0} {:>8.0}",
        discovery_ms / 1000.0,
        quantile(&mut delays, 0.5),
        quantile(&mut delays, 1.0),
        (after.1 - before.1) as f64 / seconds / nodes as f64 / 1000.0,
        (after.0 - before.0) as f64 / seconds / nodes as f64,
        cpu,
        counts,
        quantile(&mut ages, 0.5),
        quantile(&mut ages, 1.0),
    );
}
