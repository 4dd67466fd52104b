//! Concurrency limits, backpressure and slow start.

use maplefall_load_estimators::{Backpressure, ConcurrencyLimit, SlowStart};

#[test]
fn integer_shares_are_always_available() {
    let mut limit = ConcurrencyLimit::new(0.0);
    for in_flight in 0..3 {
        assert!(limit.has_capacity(0.0, 3.0, 12.0, 1000.0), "{in_flight}");
        limit.in_flight += 1;
    }
    assert!(!limit.has_capacity(0.0, 3.0, 12.0, 1000.0));
}

#[test]
fn the_fraction_of_a_share_is_available_for_that_fraction_of_the_time() {
    let mut limit = ConcurrencyLimit::new(0.0);
    let (mut used, steps) = (0, 10_000);
    for step in 0..steps {
        limit.in_flight = 1;
        let now = f64::from(step);
        if limit.has_capacity(now, 1.25, 5.0, 1000.0) {
            limit.in_flight = 2;
            used += 1;
        }
        limit.advance(now + 1.0, 1.25, 1000.0);
    }
    let fraction = f64::from(used) / f64::from(steps);
    assert!((fraction - 0.25).abs() < 0.01, "{fraction}");
}

#[test]
fn a_share_below_one_is_bounded_by_the_total() {
    let mut limit = ConcurrencyLimit::new(0.0);
    for in_flight in 0..3 {
        assert!(limit.has_capacity(0.0, 0.25, 3.0, 1000.0), "{in_flight}");
        limit.in_flight += 1;
    }
    assert!(!limit.has_capacity(0.0, 0.25, 3.0, 1000.0));
}

#[test]
fn unlimited_shares_stay_finite() {
    let mut limit = ConcurrencyLimit::new(0.0);
    limit.advance(1e9, f64::INFINITY, 1000.0);
    assert!(limit.has_capacity(1e9, f64::INFINITY, 0.0, 1000.0));
}

#[test]
fn a_single_gateway_first_admits_all_and_one_of_many_only_a_fraction() {
    assert_eq!(Backpressure::new(1).admitted_fraction, 1.0);
    let many = Backpressure::new(1000).admitted_fraction;
    assert!((0.6..0.61).contains(&many), "{many}");
}

#[test]
fn slow_responses_lower_the_admitted_fraction_to_its_minimum_and_fast_ones_raise_it() {
    let mut backpressure = Backpressure::new(100);
    let mut now = 0.0;
    let mut record = |backpressure: &mut Backpressure, fraction| {
        for _ in 0..200 {
            now += 1000.0;
            backpressure.record_response(now, 1000.0, 100, fraction);
        }
        backpressure.admitted_fraction
    };
    assert_eq!(record(&mut backpressure, 1.0), 0.05);
    assert_eq!(backpressure.combined(), 0.95);
    assert_eq!(record(&mut backpressure, 0.0), 1.0);
    let stable = record(&mut backpressure, 0.25);
    assert!(stable > 0.99, "{stable}");
}

#[test]
fn pressure_follows_the_shortest_wait_beyond_half_of_the_maximum() {
    let mut backpressure = Backpressure::new(1);
    let mut now = 0.0;
    let mut record = |backpressure: &mut Backpressure, waits: &[f64]| {
        for _ in 0..100 {
            now += 1000.0;
            backpressure.record_waits(now, 1000.0, 400.0, waits.iter().copied());
        }
        backpressure.pressure
    };
    assert!(record(&mut backpressure, &[200.0, 900.0]) < 1e-9);
    assert!((record(&mut backpressure, &[300.0, 900.0]) - 0.5).abs() < 1e-9);
    assert!((record(&mut backpressure, &[900.0, 900.0]) - 1.0).abs() < 1e-9);
    assert!(record(&mut backpressure, &[]) < 1e-9);
}

#[test]
fn capacity_grows_linearly_in_slow_start() {
    let slow_start = SlowStart {
        initial: 0.2,
        duration: 1000.0,
    };
    assert_eq!(slow_start.capacity(5.0, None), 1.0);
    assert_eq!(slow_start.capacity(100.0, Some(100.0)), 0.2);
    assert!((slow_start.capacity(600.0, Some(100.0)) - 0.6).abs() < 1e-12);
    assert_eq!(slow_start.capacity(1100.0, Some(100.0)), 1.0);
    assert_eq!(slow_start.capacity(50.0, Some(100.0)), 0.2, "in the future");
    let instant = SlowStart {
        initial: 0.0,
        duration: 0.0,
    };
    assert_eq!(instant.capacity(2.0, Some(0.0)), 1.0);
}
