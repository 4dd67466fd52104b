//! Random schedules by the thousand: `cargo bench -p maplefall-shared-counts --bench schedules [-- DOORS MANY]`. Each holds or panics
//! with its seed; a few are played in CI (`tests/laws.rs`).

#[path = "../tests/world/mod.rs"]
mod world;

use std::time::Instant;

fn main() {
    let words: Vec<usize> = std::env::args()
        .filter_map(|word| word.parse().ok())
        .collect();
    let table = match words[..] {
        [doors, many] => vec![(doors, many)],
        _ => vec![(3, 2000), (10, 200), (100, 4), (300, 1)],
    };
    for (doors, many) in table {
        let begun = Instant::now();
        for seed in 0..many {
            world::schedule(doors, 40, 10_000 + seed as u64);
        }
        eprintln!(
            "{doors} doors: {many} schedules held, {:.1} s",
            begun.elapsed().as_secs_f64()
        );
    }
}
