//! Measures the cost of a change: `cargo run --release -p maplefall-membership --example churn`.
//!
//! Two sources with the same backends send changes of one backend after the other. The time per
//! change is printed by the number of backends; it should hardly grow with that number.

use maplefall_membership::{EndpointList, Event, SourceSettings};
use maplefall_protocol::{Health, Member, Members};
use std::time::Instant;

const CHANGES: u64 = 10_000;

fn main() {
    println!(
        "{:>8} {:>12} {:>14}",
        "backends", "us/change", "ms/snapshot"
    );
    for backends in [50u64, 500, 5_000, 20_000] {
        let backend = |i: u64, health| Member {
            host: format!("n{i}"),
            dial: format!("127.{}.{}.{}:80", i >> 16, (i >> 8) & 255, i & 255)
                .parse()
                .expect("an address"),
            site: "z".into(),
            block: 0,
            health,
            share: 1.0,
            born_ms: 1.0,
        };
        let mut endpoints = EndpointList::new(vec![
            SourceSettings::trusted("agent"),
            SourceSettings::trusted("etcd"),
        ]);
        let hosts: Vec<Member> = (0..backends).map(|i| backend(i, Health::Up)).collect();
        let started_at = Instant::now();
        for source in 0..2 {
            let members = Members {
                seq: 1,
                whole: true,
                hosts: hosts.clone(),
            };
            endpoints.apply_event(
                0.0,
                Event::Snapshot {
                    source,
                    members,
                    unreadable: Vec::new(),
                },
            );
        }
        let snapshot = started_at.elapsed().as_secs_f64() * 1e3 / 2.0;
        let started_at = Instant::now();
        let mut changes = 0;
        for i in 0..CHANGES {
            let health = if (i / backends) % 2 == 0 {
                Health::Draining
            } else {
                Health::Up
            };
            let members = Members {
                seq: 2 + i,
                whole: false,
                hosts: vec![backend(i % backends, health)],
            };
            changes += endpoints
                .apply_event(0.0, Event::Change { source: 1, members })
                .changes
                .len();
        }
        let per_change = started_at.elapsed().as_secs_f64() * 1e6 / CHANGES as f64;
        assert!(changes > 0, "no change was returned");
        println!("{backends:>8} {per_change:>12.2} {snapshot:>14.2}");
    }
}
