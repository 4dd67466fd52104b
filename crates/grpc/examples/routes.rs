//! Time of a route look-up in the trie, in a map of patterns and in a list that is scanned: `cargo run --release -p maplefall-grpc --example routes`.

use maplefall_grpc::routes::{PatternMap, Routes};
use std::hint::black_box;
use std::time::Instant;

/// Look-ups of a run.
const LOOKUPS: usize = 200_000;
/// Runs of a measurement.
const RUNS: usize = 5;
/// Routes beyond which the list is not measured.
const MAX_LIST_ROUTES: usize = 1_000;

/// Nanoseconds a look-up, the least of [`RUNS`] runs.
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
        let rows: Vec<(String, u32)> = (0..count)
            .map(|n| match n % 10 {
                0 => (format!("/lots.city{}.v1.Area{n}/*", n / 100), n as u32),
                _ => (
                    format!("/lots.city{}.v1.Area{}/Method{n}", n / 100, n / 10),
                    n as u32,
                ),
            })
            .collect();
        let table = || {
            rows.iter()
                .map(|(pattern, route)| (pattern.as_str(), *route))
        };
        let routes = Routes::new(table()).expect("valid patterns");
        let map = PatternMap::new(table());
        let paths: Vec<String> = (0..count)
            .map(|n| rows[n * 7919 % count].0.replace('*', "Other"))
            .collect();
        let list = |path: &str| {
            let matches = |pattern: &str| match pattern.strip_suffix('*') {
                Some(prefix) => path.starts_with(prefix),
                None => pattern == path,
            };
            rows.iter()
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
