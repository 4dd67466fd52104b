//! The retry budget of one gateway, and that a fleet of gateways stays within the fleet's budget.

use maplefall_load_estimators::{RetryBudget, RetryLimits};
use quickcheck::quickcheck;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

const WINDOW_MS: f64 = 10_000.0;
const SHARE: f64 = 0.2;

/// Guards gateways of a large fleet: each gateway's share of the slack (retries that the fleet may
/// use without any request) was less than one retry, so that no gateway ever retried (more than 128
/// proxies with a slack of 214, more than 37 with a slack of 62).
#[test]
fn a_gateway_with_a_slack_of_less_than_one_retry_makes_retries() {
    let limits = RetryLimits {
        share: SHARE,
        depth: 0.1,
        window: WINDOW_MS,
    };
    let mut budget = RetryBudget::new(0.0);
    let mut retries = 0;
    // Five requests a second arrive, for a minute.
    for request in 0..300 {
        let now = f64::from(request) * 200.0;
        budget.earn(now, limits);
        if budget.has_retry(now) {
            budget.spend(now);
            retries += 1;
        }
    }
    assert!((25..=30).contains(&retries), "{retries}");
}

#[test]
fn retries_earned_beyond_the_depth_expire_with_the_window() {
    let limits = RetryLimits {
        share: SHARE,
        depth: 0.5,
        window: WINDOW_MS,
    };
    let mut budget = RetryBudget::new(0.0);
    for _ in 0..100 {
        budget.earn(1000.0, limits);
    }
    assert!(budget.has_retry(1000.0 + 0.8 * WINDOW_MS));
    assert!(!budget.has_retry(1000.0 + 1.1 * WINDOW_MS));
}

/// Guards small fleets: with a depth of one retry or more, with or without a window, retries are
/// earned at the full rate `share` per request and do not expire.
#[test]
fn a_depth_of_one_retry_or_more_is_earned_at_the_full_share() {
    for window in [0.0, WINDOW_MS] {
        let limits = RetryLimits {
            share: SHARE,
            depth: 2.0,
            window,
        };
        let mut budget = RetryBudget::new(0.0);
        for _ in 0..4 {
            budget.earn(0.0, limits);
        }
        assert!(!budget.has_retry(0.0));
        for _ in 0..100 {
            budget.earn(0.0, limits);
        }
        // Retries within the depth do not expire.
        let later = 100.0 * WINDOW_MS;
        for _ in 0..2 {
            assert!(budget.has_retry(later));
            budget.spend(later);
        }
        assert!(!budget.has_retry(later));
    }
}

#[test]
fn without_a_window_a_depth_of_less_than_one_retry_allows_none() {
    let limits = RetryLimits {
        share: SHARE,
        depth: 0.9,
        window: 0.0,
    };
    let mut budget = RetryBudget::new(0.0);
    for _ in 0..1000 {
        budget.earn(0.0, limits);
    }
    assert!(!budget.has_retry(0.0));
}

/// Requests and retries of a fleet, each at a time in milliseconds.
struct Traffic {
    requests: Vec<f64>,
    retries: Vec<f64>,
}

/// Runs gateways that get requests in bursts, and at random times use all of their available
/// retries.
fn run_fleet(seed: u64, gateways: usize, limits: RetryLimits) -> Traffic {
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut fleet = vec![RetryBudget::new(0.0); gateways];
    let mut traffic = Traffic {
        requests: Vec::new(),
        retries: Vec::new(),
    };
    let mut now = 1e9;
    for _ in 0..400 {
        now += f64::from(rng.next_u32() % 1500);
        let burst = rng.next_u32() % 40;
        let uses_retries = rng.next_u32() % 4 == 0;
        for budget in &mut fleet {
            for _ in 0..burst {
                budget.earn(now, limits);
                traffic.requests.push(now);
            }
            while uses_retries && budget.has_retry(now) {
                budget.spend(now);
                traffic.retries.push(now);
            }
        }
    }
    traffic
}

fn count(times: &[f64], from: f64, to: f64) -> f64 {
    let at = |limit: f64| times.partition_point(|time| *time <= limit);
    (at(to) - at(from)) as f64
}

/// The maximum number of retries in a window beyond the fleet's budget (requirement BUDGET). The
/// budget is `SHARE` times the requests of that window, of the one before it or of the one half a
/// window before it, whichever has the most requests, plus `slack` retries that need no request.
fn max_excess(traffic: &Traffic, slack: f64) -> f64 {
    let ends = traffic.retries.iter();
    ends.map(|end| {
        let requests_until = |end: f64| count(&traffic.requests, end - WINDOW_MS, end);
        let max_requests = [0.0, 0.5, 1.0]
            .map(|windows| requests_until(end - windows * WINDOW_MS))
            .into_iter()
            .fold(0.0, f64::max);
        count(&traffic.retries, end - WINDOW_MS, *end) - SHARE * max_requests - slack
    })
    .fold(f64::NEG_INFINITY, f64::max)
}

quickcheck! {
    /// Guards the fleet's budget, for any number of gateways and any times at which they use their
    /// accumulated retries.
    fn a_fleet_stays_within_its_budget(seed: u64, size: u8) -> bool {
        let gateways = 1 + usize::from(size % 60);
        let slack = 0.6 * 20.0;
        let limits = RetryLimits {
            share: SHARE,
            depth: slack / gateways as f64,
            window: WINDOW_MS,
        };
        let traffic = run_fleet(seed, gateways, limits);
        !traffic.retries.is_empty() && max_excess(&traffic, slack) <= 1e-6
    }
}

/// Guards the test of the fleet's budget against passing vacuously: gateways that earn twice as
/// many retries must exceed the budget.
#[test]
fn a_fleet_that_earns_twice_its_share_exceeds_the_budget() {
    let limits = RetryLimits {
        share: 2.0 * SHARE,
        depth: 0.2,
        window: WINDOW_MS,
    };
    let is_exceeded = (0..20).any(|seed| max_excess(&run_fleet(seed, 60, limits), 12.0) > 0.0);
    assert!(is_exceeded);
}
