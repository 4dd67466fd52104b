//! The model against closed forms of queueing theory, each within its confidence interval over
//! fixed seeds; each check was seen to fail with the model off by a tenth.

use maplefall_model::world::{Admission, ClassSpec, LoadBalancer, World};
use maplefall_model::{simulate, Outcome};

/// Quantile of the normal distribution for an interval that a correct check misses about once in a
/// thousand times.
const Z_QUANTILE: f64 = 3.3;
const SEEDS: u64 = 10;

/// Returns a world of backends behind one proxy that admits everything, without delays or client
/// timeouts.
fn queueing_world(backends: usize, cores: usize, load: f64, work_ms: f64, cv: f64) -> World {
    let class = ClassSpec {
        share: 1.0,
        work_ms,
        cv,
        latency_target_ms: 1e6,
        client_timeout_ms: 1e7,
        value: 1.0,
        effect: "safe".to_owned(),
    };
    World {
        seconds: 300.0,
        proxies: 1,
        backends,
        cores,
        queue: 1_000_000,
        speed_cv: 0.0,
        delay_ms: [0.0, 0.0],
        handshake_ms: 0.0,
        customers: 1,
        load,
        units: 1.0,
        max_units: 1.0,
        usage: 0.0,
        retries: 0,
        load_balancer: LoadBalancer::Random,
        admission: Admission::None,
        class: vec![class],
        ..World::default()
    }
}

/// Whether the mean of a figure over the seeds is within its confidence interval of the expected
/// value.
fn fits(world: &World, figure: impl Fn(&Outcome) -> f64, expected: f64) -> bool {
    let figures: Vec<f64> = (1..=SEEDS)
        .map(|seed| figure(&simulate(world, seed)))
        .collect();
    let mean = figures.iter().sum::<f64>() / SEEDS as f64;
    let variance = figures
        .iter()
        .map(|figure| (figure - mean).powi(2))
        .sum::<f64>()
        / (SEEDS - 1) as f64;
    let error = Z_QUANTILE * (variance / SEEDS as f64).sqrt();
    println!("{mean:.3} +-{error:.3}, {expected:.3} expected");
    (mean - expected).abs() <= error
}

/// Returns the mean wait of M/G/1 (Pollaczek-Khinchine formula).
fn m_g_1_wait(load: f64, work: f64, cv: f64) -> f64 {
    load * work * (1.0 + cv * cv) / (2.0 * (1.0 - load))
}

/// Returns the mean wait of M/M/c (Erlang C formula).
fn m_m_c_wait(cores: usize, load: f64, work: f64) -> f64 {
    let offered = load * cores as f64;
    let mut term = 1.0;
    let mut sum = 1.0;
    for k in 1..cores {
        term *= offered / k as f64;
        sum += term;
    }
    let last = term * offered / cores as f64 / (1.0 - load);
    last / (sum + last) * work / (cores as f64 * (1.0 - load))
}

#[test]
fn m_m_1_wait_matches_theory_and_ten_percent_error_is_detected() {
    let world = queueing_world(1, 1, 0.6, 10.0, 1.0);
    let expected = m_g_1_wait(0.6, 10.0, 1.0);
    assert!(fits(&world, |outcome| outcome.wait_ms, expected));
    // The same arrivals with a service time that is a tenth longer.
    let mut slow = queueing_world(1, 1, 0.66, 11.0, 1.0);
    assert!(!fits(&slow, |outcome| outcome.wait_ms, expected));
    assert!(fits(
        &slow,
        |outcome| outcome.wait_ms,
        m_g_1_wait(0.66, 11.0, 1.0)
    ));
    // Lost events: a short queue rejects some of the requests.
    slow = World {
        queue: 6,
        ..queueing_world(1, 1, 0.6, 10.0, 1.0)
    };
    assert!(!fits(&slow, |outcome| outcome.wait_ms, expected));
}

#[test]
fn m_m_c_wait_matches_erlang_c() {
    for (cores, load) in [(2, 0.7), (4, 0.8), (16, 0.8)] {
        let world = queueing_world(1, cores, load, 20.0, 1.0);
        let expected = m_m_c_wait(cores, load, 20.0);
        assert!(
            fits(&world, |outcome| outcome.wait_ms, expected),
            "{cores} cores"
        );
        assert!(
            !fits(&world, |outcome| outcome.wait_ms, expected * 1.2),
            "{cores} cores"
        );
    }
}

#[test]
fn m_g_1_wait_matches_pollaczek_khinchine() {
    for cv in [0.0, 0.5, 1.5] {
        let world = queueing_world(1, 1, 0.5, 10.0, cv);
        assert!(
            fits(&world, |outcome| outcome.wait_ms, m_g_1_wait(0.5, 10.0, cv)),
            "{cv}"
        );
    }
}

/// A Poisson process that is split at random over several queues gives independent M/M/1 queues.
#[test]
fn random_split_gives_independent_queues() {
    let world = queueing_world(8, 1, 0.6, 10.0, 1.0);
    assert!(fits(
        &world,
        |outcome| outcome.wait_ms,
        m_g_1_wait(0.6, 10.0, 1.0)
    ));
    let better = World {
        load_balancer: LoadBalancer::LeastOutstanding,
        ..world.clone()
    };
    let [random, least] = [&world, &better].map(|world| simulate(world, 1).wait_ms);
    assert!(least < random / 3.0, "{least} {random}");
}

/// Little's law: the mean number of requests in backends is the arrival rate times the mean sojourn
/// time.
#[test]
fn littles_law_holds() {
    let world = queueing_world(4, 2, 0.7, 20.0, 1.0);
    for seed in 0..3 {
        let outcome = simulate(&world, seed);
        let rate = outcome.client_requests as f64 / (world.seconds * 1000.0);
        let expected = rate * outcome.sojourn_ms;
        // The last requests leave a little after the horizon.
        assert!(
            (outcome.in_backends / expected - 1.0).abs() < 0.01,
            "{} {expected}",
            outcome.in_backends
        );
        assert_eq!(outcome.served, outcome.client_requests);
    }
}

/// A token bucket admits its burst and its rate, and nothing more.
#[test]
fn single_full_quota_admits_exactly_its_quota() {
    let mut world = queueing_world(8, 4, 0.5, 5.0, 0.0);
    world.plan = vec![maplefall_model::world::PlanSpec {
        share: 1.0,
        rate: 100.0,
        burst: 50.0,
        price: 1.0,
        max_in_flight: 0,
        rate_limit_factor: 0.0,
    }];
    world.admission = Admission::FullQuota;
    let outcome = simulate(&world, 1);
    assert_eq!((outcome.over_quota_units, outcome.served_value), (0.0, 1.0));
    let max_served = 50.0 + 100.0 * world.seconds;
    assert!(
        outcome.served as f64 <= max_served && outcome.served as f64 > max_served * 0.98,
        "{} {max_served}",
        outcome.served
    );
    // Four proxies that each enforce a full quota admit four times as much.
    let four = simulate(
        &World {
            proxies: 4,
            ..world
        },
        1,
    );
    assert!(
        (2.9..3.1).contains(&four.over_quota_units),
        "{}",
        four.over_quota_units
    );
}
