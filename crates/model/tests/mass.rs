//! The full fleet without sockets: 300 proxies with the decision module and 200 backends, on
//! `worlds/mass.toml`. Seven in ten proxies are killed at once, six in ten backends are replaced
//! within 7 s, a zone is lost and comes back warming up, endpoint lists arrive late and customers
//! flood.
//!
//! More seeds: `maplefall-model run worlds/mass.toml --seeds 20 --jobs 8`.

use maplefall_model::world::{Admission, LoadBalancer, World};
use maplefall_model::{simulate, Outcome};

fn world(name: &str, faults: usize) -> World {
    let text = std::fs::read_to_string(format!(
        "{}/../../worlds/{name}.toml",
        env!("CARGO_MANIFEST_DIR")
    ));
    let world = World::read(&text.expect("a world file")).expect("a world");
    assert_eq!(
        (world.proxies, world.backends, world.faults.len()),
        (300, 200, faults),
        "size of the world in the file"
    );
    world
}

fn mass_world() -> World {
    world("mass", 4)
}

/// Returns the counts of broken invariants: duplicate responses, non-idempotent requests executed
/// twice, sends after the grace period of a drain, warming-up backends that failed from overload,
/// and requests over a hard rate limit.
fn violations(outcome: &Outcome) -> [u64; 5] {
    [
        outcome.duplicate_responses,
        outcome.executed_twice,
        outcome.late_sends,
        outcome.overload_failures,
        outcome.over_rate_limit,
    ]
}

/// The invariants hold over the sum of all proxies, and enough value is served.
#[test]
fn invariants_hold_with_three_hundred_proxies() {
    let world = mass_world();
    for seed in [1, 2] {
        println!("seed {seed}");
        let outcome = simulate(&world, seed);
        assert_eq!(violations(&outcome), [0; 5], "seed {seed}");
        assert_eq!(
            outcome.proxy_requests,
            outcome.served + outcome.rejected + outcome.failed + outcome.lost,
            "seed {seed}"
        );
        assert!(
            outcome.dead > 0 && outcome.served_value > 0.4,
            "seed {seed}: {} {}",
            outcome.dead,
            outcome.served_value
        );
        assert!(
            outcome.over_quota_units < 0.35,
            "seed {seed}: {}",
            outcome.over_quota_units
        );
    }
}

/// Guards against checks that cannot fail: proxies that admit everything and always send to one
/// backend break rate limits and overload warming-up backends.
#[test]
fn baseline_fleet_breaks_invariants() {
    let world = World {
        load_balancer: LoadBalancer::Aperture(1),
        admission: Admission::None,
        load: 0.9,
        ..mass_world()
    };
    let outcome = simulate(&world, 1);
    assert!(
        outcome.overload_failures > 0 && outcome.over_rate_limit > 0,
        "{:?}",
        violations(&outcome)
    );
}

/// Drains are respected whatever happens to a proxy or its agent: stopped, killed, moved to an
/// agent that lags, with a watch whose remote end is dead, or with an agent that never responds to
/// calls made while it was suspended. The real follower and membership process the agents'
/// messages. The test was seen to fail if a message of any version was accepted, and if second
/// calls were made only once per heartbeat.
#[test]
fn drains_are_respected_through_proxy_and_agent_faults() {
    let world = world("leaving", 7);
    for seed in [1, 2] {
        println!("seed {seed}");
        let outcome = simulate(&world, seed);
        assert_eq!(violations(&outcome), [0; 5], "seed {seed}");
        assert!(
            outcome.served_value > 0.4,
            "seed {seed}: {}",
            outcome.served_value
        );
    }
}
