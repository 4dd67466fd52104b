//! Staleness: the reported value is correct (all usage up to the reported time is in the node's
//! totals), and never above
//! [`Settings::max_staleness`](maplefall_shared_counts::Settings::max_staleness), which must not be
//! too loose.

mod simulation;
use simulation::*;

/// Returns the maximum staleness observed with this many nodes, loss and delay, and the bound, in
/// milliseconds.
fn max_observed_staleness(nodes: usize, loss: f64, delay: (f64, f64), seed: u64) -> (f64, f64) {
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
    simulation.run_until_all_alive(120_000.0);
    simulation.run(2000.0);
    // The cumulative usage of one customer over time, in thousandths of a unit.
    let mut usage_history: Vec<(f64, i64)> = vec![(simulation.now, 0)];
    let mut worst: f64 = 0.0;
    let mut total = 0;
    while usage_history.len() < 250 {
        let index = (uniform(&mut simulation.rng) * nodes as f64) as usize;
        simulation.record_usage(index, 1, 3.0);
        total += 3000;
        usage_history.push((simulation.now, total));
        simulation.run(25.0);
        for index in 0..nodes {
            let known = simulation.node(index).total(1);
            assert!(known <= total, "node {index} counts {known} of {total}");
            let now = simulation.clock(index);
            let staleness = now - simulation.node(index).freshness(now).0;
            worst = worst.max(staleness);
            // The reported staleness assumes that datagrams took the shortest delay, and whole
            // milliseconds, so usage within that tolerance may be missing.
            let since = simulation.now - staleness - delay.0 - 2.0;
            let expected_len = usage_history.partition_point(|(when, _)| *when < since);
            let expected = usage_history[..expected_len]
                .last()
                .map_or(0, |(_, sum)| *sum);
            assert!(
                known >= expected,
                "node {index} reports a staleness of {staleness:.0} ms: {known} of {expected}"
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
    let mut tightest_ratio: f64 = 0.0;
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
            let (worst, bound) = max_observed_staleness(nodes, loss, delay, seed);
            assert!(worst <= bound, "{worst} ms, the bound is {bound} ms");
            tightest_ratio = tightest_ratio.max(worst / bound);
        }
    }
    assert!(
        tightest_ratio >= 1.0 / 3.0,
        "the worst seen is {tightest_ratio:.2} of the bound"
    );
}
