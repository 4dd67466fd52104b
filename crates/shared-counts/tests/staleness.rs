//! Staleness: what a node reports is true (all usage until then is in its totals), and it is never above
//! [`Settings::max_staleness`](maplefall_shared_counts::Settings::max_staleness), which is not too loose.

mod simulation;
use simulation::*;

/// The greatest staleness with this many nodes, loss and delay, and the bound, in milliseconds.
fn greatest_staleness(nodes: usize, loss: f64, delay: (f64, f64), seed: u64) -> (f64, f64) {
    let settings = settings();
    let bound = settings.max_staleness(nodes, loss, delay.1);
    let mut simulation = Simulation::new(
        nodes,
        settings,
        Link {
            loss,
            duplicated: 0.05,
            delay,
        },
        seed,
    );
    simulation.run_until_met(120_000.0);
    simulation.run(2000.0);
    // The total usage of one customer over time, in thousandths of a unit.
    let mut used: Vec<(f64, i64)> = vec![(simulation.now, 0)];
    let mut worst: f64 = 0.0;
    let mut total = 0;
    while used.len() < 250 {
        let at = (uniform(&mut simulation.rng) * nodes as f64) as usize;
        simulation.record_usage(at, 1, 3.0);
        total += 3000;
        used.push((simulation.now, total));
        simulation.run(25.0);
        for at in 0..nodes {
            let known = simulation.node(at).total(1);
            assert!(known <= total, "node {at} counts {known} of {total}");
            let now = simulation.clock(at);
            let staleness = now - simulation.node(at).freshness(now).0;
            worst = worst.max(staleness);
            // Counts are assumed to have come with the shortest delay, and times are in whole milliseconds.
            let since = simulation.now - staleness - delay.0 - 2.0;
            let expected_len = used.partition_point(|(when, _)| *when < since);
            let expected = used[..expected_len].last().map_or(0, |(_, sum)| *sum);
            assert!(
                known >= expected,
                "node {at} reports a staleness of {staleness:.0} ms: {known} of {expected}"
            );
        }
    }
    println!(
        "{nodes} nodes, loss {loss}, delay {delay:?}: worst {worst:.0} ms, bound {bound:.0} ms"
    );
    (worst, bound)
}

#[test]
fn staleness_is_within_its_bound_and_the_bound_is_tight() {
    let mut nearest: f64 = 0.0;
    for (nodes, loss, delay) in [
        (3, 0.01, (0.2, 2.0)),
        (10, 0.01, (0.2, 2.0)),
        (10, 0.3, (0.2, 2.0)),
        (10, 0.3, (50.0, 500.0)),
        (30, 0.01, (0.2, 2.0)),
        (30, 0.3, (0.2, 100.0)),
        (100, 0.01, (0.2, 2.0)),
    ] {
        for seed in 0..if nodes < 100 { 2 } else { 1 } {
            let (worst, bound) = greatest_staleness(nodes, loss, delay, seed);
            assert!(worst <= bound, "{worst} ms, the bound is {bound} ms");
            nearest = nearest.max(worst / bound);
        }
    }
    assert!(
        nearest >= 1.0 / 3.0,
        "the worst seen is {nearest:.2} of the bound"
    );
}
