//! Measures the time of a route look-up in the trie, in a map of patterns and in a scanned list:
//! `cargo run --release -p maplefall-grpc --example routes`.

use maplefall_grpc::routes::{PatternMap, Routes};
use std::hint::black_box;
use std::time::Instant;

/// Look-ups per run.
const LOOKUPS: usize = 200_000;
/// Runs per measurement.
const RUNS: usize = 5;
/// Maximum number of routes for which the list is measured.
const MAX_LIST_ROUTES: usize = 1_000;

/// Nanoseconds per look-up, the minimum of [`RUNS`] runs.
fn nanos_per_lookup(paths: &[String], find: impl Fn(&str) -> Option<u32>) -> f64 {
    let run = || {
        let start = Instant::now();
        for path in paths.iter().cycle().take(LOOKUPS) {
            black_box(find(black_box(path)));
        }
        start.elapsed().as_secs_f64() * 1e9 / LOOKUPS as f64
    };
    (0..RUNS).map(|_| run()).fold(f64::INFINITY, f64::min)
}

fn main() {
    println!("| routes | trie ns | plain map ns | list ns |\n| --- | --- | --- | --- |");
    for count in [10usize, 100, 1_000, 10_000, 60_000] {
        let entries: Vec<(String, u32)> = (0..count)
            .map(|n| match n % 10 {
                0 => (format!("/lots.city{}.v1.Area{n}/*", n / 100), n as u32),
                _ => (
                    format!("/lots.city{}.v1.Area{}/Method{n}", n / 100, n / 10),
                    n as u32,
                ),
            })
            .collect();
        let table = || {
            entries
                .iter()
                .map(|(pattern, route)| (pattern.as_str(), *route))
        };
        let routes = Routes::new(table()).expect("valid patterns");
        let map = PatternMap::new(table());
        let paths: Vec<String> = (0..count)
            .map(|n| entries[n * 7919 % count].0.replace('*', "Other"))
            .collect();
        let list = |path: &str| {
            let matches = |pattern: &str| match pattern.strip_suffix('*') {
                Some(prefix) => path.starts_with(prefix),
                None => pattern == path,
            };
            entries
                .iter()
                .filter(|(pattern, _)| matches(pattern))
                .max_by_key(|(pattern, _)| pattern.len())
                .map(|(_, n)| *n)
        };
        for path in paths.iter().take(500) {
            assert_eq!(routes.find(path), map.find(path), "{path}");
            assert_eq!(routes.find(path), list(path), "{path}");
        }
        let list_nanos = if count <= MAX_LIST_ROUTES {
            format!("{:.0}", nanos_per_lookup(&paths, list))
        } else {
            "-".to_owned()
        };
        println!(
            "| {count} | {:.0} | {:.0} | {list_nanos} |",
            nanos_per_lookup(&paths, |path| routes.find(path)),
            nanos_per_lookup(&paths, |path| map.find(path))
        );
    }
}
