//! The model against closed forms of queueing theory, each within its confidence interval over fixed seeds, and each seen to fail
//! when the model is off by a tenth.

use maplefall_model::world::{Admission, ClassSpec, LoadBalancer, World};
use maplefall_model::{play, Outcome};

/// Normal quantile of the interval that a check may miss once in some thousand times.
const SURE: f64 = 3.3;
const SEEDS: u64 = 10;

/// Backends behind one proxy that lets all in, with no delays and nothing that gives up.
fn queueing(backends: usize, cores: usize, load: f64, work_ms: f64, cv: f64) -> World {
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

/// Whether the mean of a figure over the seeds fits what is expected.
fn fits(world: &World, figure: impl Fn(&Outcome) -> f64, expected: f64) -> bool {
    let figures: Vec<f64> = (1..=SEEDS).map(|seed| figure(&play(world, seed))).collect();
    let mean = figures.iter().sum::<f64>() / SEEDS as f64;
    let variance = figures.iter().map(|one| (one - mean).powi(2)).sum::<f64>() / (SEEDS - 1) as f64;
    let error = SURE * (variance / SEEDS as f64).sqrt();
    println!("{mean:.3} +-{error:.3}, {expected:.3} expected");
    (mean - expected).abs() <= error
}

/// Mean wait of M/G/1 (Pollaczek and Khinchine).
fn wait_of_one(load: f64, work: f64, cv: f64) -> f64 {
    load * work * (1.0 + cv * cv) / (2.0 * (1.0 - load))
}

/// Mean wait of M/M/c (Erlang C).
fn wait_of_many(cores: usize, load: f64, work: f64) -> f64 {
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
    let world = queueing(1, 1, 0.6, 10.0, 1.0);
    let expected = wait_of_one(0.6, 10.0, 1.0);
    assert!(fits(&world, |one| one.wait_ms, expected));
    // The same arrivals with work that takes a tenth longer.
    let mut slow = queueing(1, 1, 0.66, 11.0, 1.0);
    assert!(!fits(&slow, |one| one.wait_ms, expected));
    assert!(fits(&slow, |one| one.wait_ms, wait_of_one(0.66, 11.0, 1.0)));
    // A lost event: one request in so many rejected by a short queue.
    slow = World {
        queue: 6,
        ..queueing(1, 1, 0.6, 10.0, 1.0)
    };
    assert!(!fits(&slow, |one| one.wait_ms, expected));
}

#[test]
fn m_m_c_wait_matches_erlang_c() {
    for (cores, load) in [(2, 0.7), (4, 0.8), (16, 0.8)] {
        let world = queueing(1, cores, load, 20.0, 1.0);
        let expected = wait_of_many(cores, load, 20.0);
        assert!(fits(&world, |one| one.wait_ms, expected), "{cores} cores");
        assert!(
            !fits(&world, |one| one.wait_ms, expected * 1.2),
            "{cores} cores"
        );
    }
}

#[test]
fn m_g_1_wait_matches_pollaczek_khinchine() {
    for cv in [0.0, 0.5, 1.5] {
        let world = queueing(1, 1, 0.5, 10.0, cv);
        assert!(
            fits(&world, |one| one.wait_ms, wait_of_one(0.5, 10.0, cv)),
            "{cv}"
        );
    }
}

/// Several queues chosen by chance are several M/M/1.
#[test]
fn random_split_gives_independent_queues() {
    let world = queueing(8, 1, 0.6, 10.0, 1.0);
    assert!(fits(&world, |one| one.wait_ms, wait_of_one(0.6, 10.0, 1.0)));
    let better = World {
        load_balancer: LoadBalancer::LeastOutstanding,
        ..world.clone()
    };
    let [random, least] = [&world, &better].map(|world| play(world, 1).wait_ms);
    assert!(least < random / 3.0, "{least} {random}");
}

/// Little's law: requests in backends are arrivals a time, times their stay.
#[test]
fn littles_law_holds() {
    let world = queueing(4, 2, 0.7, 20.0, 1.0);
    for seed in 0..3 {
        let one = play(&world, seed);
        let rate = one.client_requests as f64 / (world.seconds * 1000.0);
        let expected = rate * one.sojourn_ms;
        // The last requests leave a little after the end.
        assert!(
            (one.in_backends / expected - 1.0).abs() < 0.01,
            "{} {expected}",
            one.in_backends
        );
        assert_eq!(one.served, one.client_requests);
    }
}

/// A token bucket lets in its burst and its rate, and nothing beyond.
#[test]
fn single_full_quota_admits_exactly_its_quota() {
    let mut world = queueing(8, 4, 0.5, 5.0, 0.0);
    world.plan = vec![maplefall_model::world::PlanSpec {
        share: 1.0,
        rate: 100.0,
        burst: 50.0,
        price: 1.0,
        max_open: 0,
        ceiling: 0.0,
    }];
    world.admission = Admission::FullQuota;
    let one = play(&world, 1);
    assert_eq!((one.over_quota_units, one.served_value), (0.0, 1.0));
    let most = 50.0 + 100.0 * world.seconds;
    assert!(
        one.served as f64 <= most && one.served as f64 > most * 0.98,
        "{} {most}",
        one.served
    );
    // Four proxies with a whole quota each admitted four times as much.
    let four = play(
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
