//! Thousands of random schedules: `cargo bench -p maplefall-shared-counts --bench schedules [--
//! NODES RUNS]`. A failing schedule panics; the output contains its seed. `tests/properties.rs`
//! runs a few in CI.

#[path = "../tests/simulation/mod.rs"]
mod simulation;

use std::time::Instant;

fn main() {
    let arguments: Vec<usize> = std::env::args()
        .filter_map(|argument| argument.parse().ok())
        .collect();
    let table = match arguments[..] {
        [nodes, runs] => vec![(nodes, runs)],
        _ => vec![(3, 2000), (10, 200), (100, 4), (300, 1)],
    };
    for (nodes, runs) in table {
        let started_at = Instant::now();
        for seed in 0..runs {
            simulation::schedule(nodes, 40, 10_000 + seed as u64);
        }
        eprintln!(
            "{nodes} nodes: {runs} schedules passed, {:.1} s",
            started_at.elapsed().as_secs_f64()
        );
    }
}
