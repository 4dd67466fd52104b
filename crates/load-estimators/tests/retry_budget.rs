//! The retry budget of a gateway, and that a fleet of them stays within the budget of all.

use maplefall_load_estimators::{RetryBudget, RetryLimits};
use quickcheck::quickcheck;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

const WINDOW_MS: f64 = 10_000.0;
const SHARE: f64 = 0.2;

/// Guards gateways of a large fleet: each one's part of the slack is less than a retry, so that none ever retried (more than 128
/// proxies with a slack of 214, more than 37 with 62).
#[test]
fn a_gateway_whose_part_of_the_slack_is_below_one_retry_makes_retries() {
    let limits = RetryLimits {
        share: SHARE,
        depth: 0.1,
        window: WINDOW_MS,
    };
    let mut budget = RetryBudget::new(0.0);
    let mut retries = 0;
    // Five requests a second, for a minute.
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
fn what_is_earned_beyond_the_depth_expires_with_the_window() {
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

/// Guards small fleets and the program in service: with a depth of a retry and more, or without a window, the budget is what it was.
#[test]
fn a_whole_depth_is_earned_at_the_full_share() {
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
        // What is saved does not expire.
        let later = 100.0 * WINDOW_MS;
        for _ in 0..2 {
            assert!(budget.has_retry(later));
            budget.spend(later);
        }
        assert!(!budget.has_retry(later));
    }
}

#[test]
fn without_a_window_less_than_a_retry_is_never_enough() {
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
struct Played {
    requests: Vec<f64>,
    retries: Vec<f64>,
}

/// Gateways that get requests in bursts, and at drawn moments use up all retries that they have.
fn play(seed: u64, gateways: usize, limits: RetryLimits) -> Played {
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut fleet = vec![RetryBudget::new(0.0); gateways];
    let mut played = Played {
        requests: Vec::new(),
        retries: Vec::new(),
    };
    let mut now = 1e9;
    for _ in 0..400 {
        now += f64::from(rng.next_u32() % 1500);
        let burst = rng.next_u32() % 40;
        let is_strike = rng.next_u32() % 4 == 0;
        for budget in &mut fleet {
            for _ in 0..burst {
                budget.earn(now, limits);
                played.requests.push(now);
            }
            while is_strike && budget.has_retry(now) {
                budget.spend(now);
                played.retries.push(now);
            }
        }
    }
    played
}

fn count(times: &[f64], from: f64, to: f64) -> f64 {
    let at = |limit: f64| times.partition_point(|time| *time <= limit);
    (at(to) - at(from)) as f64
}

/// The users' rule BUDGET: in no window more retries than the share of the requests of that window, the one before it or the one half
/// a window before it, whichever has the most, and the slack.
fn most_over_budget(played: &Played, slack: f64) -> f64 {
    let ends = played.retries.iter();
    ends.map(|end| {
        let requests_until = |end: f64| count(&played.requests, end - WINDOW_MS, end);
        let most = [0.0, 0.5, 1.0]
            .map(|windows| requests_until(end - windows * WINDOW_MS))
            .into_iter()
            .fold(0.0, f64::max);
        count(&played.retries, end - WINDOW_MS, *end) - SHARE * most - slack
    })
    .fold(f64::NEG_INFINITY, f64::max)
}

quickcheck! {
    /// Guards the fleet's budget: however many gateways there are, and whenever they use what they have saved.
    fn a_fleet_stays_within_its_budget(seed: u64, size: u8) -> bool {
        let gateways = 1 + usize::from(size % 60);
        let slack = 0.6 * 20.0;
        let limits = RetryLimits {
            share: SHARE,
            depth: slack / gateways as f64,
            window: WINDOW_MS,
        };
        let played = play(seed, gateways, limits);
        !played.retries.is_empty() && most_over_budget(&played, slack) <= 1e-6
    }
}

/// Guards the property above: gateways that earn twice as much break it.
#[test]
fn a_fleet_that_earns_the_full_share_and_saves_is_found() {
    let limits = RetryLimits {
        share: 2.0 * SHARE,
        depth: 0.2,
        window: WINDOW_MS,
    };
    let found = (0..20).any(|seed| most_over_budget(&play(seed, 60, limits), 12.0) > 0.0);
    assert!(found);
}
