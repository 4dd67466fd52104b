//! What it costs to find a method's route, by the trie, by a plain map tried from the longest pattern on, and by a list walked
//! whole: `cargo run --release -p maplefall-grpc --example routes`.

use maplefall_grpc::routes::{Plain, Routes};
use std::hint::black_box;
use std::time::Instant;

const LOOKUPS: usize = 200_000;

/// Nanoseconds for each look-up, the least of five runs.
fn time(paths: &[String], find: impl Fn(&str) -> Option<u32>) -> f64 {
    let run = || {
        let began = Instant::now();
        for path in paths.iter().cycle().take(LOOKUPS) {
            black_box(find(black_box(path)));
        }
        began.elapsed().as_secs_f64() * 1e9 / LOOKUPS as f64
    };
    (0..5).map(|_| run()).fold(f64::INFINITY, f64::min)
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
        let routes = Routes::new(table()).expect("good patterns");
        let plain = Plain::new(table());
        let paths: Vec<String> = (0..count)
            .map(|n| rows[n * 7919 % count].0.replace('*', "Other"))
            .collect();
        let list = |path: &str| {
            let hit = |pattern: &str| match pattern.strip_suffix('*') {
                Some(service) => path.starts_with(service),
                None => pattern == path,
            };
            rows.iter()
                .filter(|(pattern, _)| hit(pattern))
                .max_by_key(|(pattern, _)| pattern.len())
                .map(|(_, n)| *n)
        };
        for path in paths.iter().take(500) {
            assert_eq!(routes.find(path), plain.find(path), "{path}");
            assert_eq!(routes.find(path), list(path), "{path}");
        }
        let slow = if count <= 1_000 {
            format!("{:.0}", time(&paths, list))
        } else {
            "-".to_owned()
        };
        println!(
            "| {count} | {:.0} | {:.0} | {slow} |",
            time(&paths, |path| routes.find(path)),
            time(&paths, |path| plain.find(path))
        );
    }
}
