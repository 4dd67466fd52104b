//! What a change costs: `cargo run --release -p maplefall-membership --example churn`. So many nodes of two sources, then a
//! flood of changes to one node after the other; prints the time for each, by the number of nodes: it must hardly grow.

use maplefall_membership::{Event, Roster, SourceSettings};
use maplefall_protocol::{Health, Member, Members};
use std::time::Instant;

const CHANGES: u64 = 10_000;

fn main() {
    println!(
        "{:>6} {:>12} {:>14}",
        "nodes", "us a change", "ms whole list"
    );
    for nodes in [50u64, 500, 5_000, 20_000] {
        let node = |i: u64, health| Member {
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
        let mut roster = Roster::new(vec![
            SourceSettings::trusted("agent"),
            SourceSettings::trusted("etcd"),
        ]);
        let hosts: Vec<Member> = (0..nodes).map(|i| node(i, Health::Up)).collect();
        let begun = Instant::now();
        for source in 0..2 {
            let members = Members {
                seq: 1,
                whole: true,
                hosts: hosts.clone(),
            };
            roster.take(
                0.0,
                Event::Snapshot {
                    source,
                    members,
                    unread: Vec::new(),
                },
            );
        }
        let whole = begun.elapsed().as_secs_f64() * 1e3 / 2.0;
        let begun = Instant::now();
        let mut told = 0;
        for i in 0..CHANGES {
            let health = if (i / nodes) % 2 == 0 {
                Health::Draining
            } else {
                Health::Up
            };
            let members = Members {
                seq: 2 + i,
                whole: false,
                hosts: vec![node(i % nodes, health)],
            };
            told += roster
                .take(0.0, Event::Change { source: 1, members })
                .changes
                .len();
        }
        let each = begun.elapsed().as_secs_f64() * 1e6 / CHANGES as f64;
        assert!(told > 0, "nothing was told");
        println!("{nodes:>6} {each:>12.2} {whole:>14.2}");
    }
}
