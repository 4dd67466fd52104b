//! Usage of quotas: metered usage, shared balances and the map that stores them.

use maplefall_load_estimators::{
    clamp_or, EvictingMap, MeteredUsage, SharedBalance, SharedBalances, Usage, UsageReport,
};
use quickcheck::quickcheck;

fn report(units: f64, error: f64, coverage: f64) -> UsageReport {
    UsageReport {
        units,
        as_of: 0.0,
        error,
        coverage,
    }
}

#[test]
fn metered_usage_decays_and_keeps_its_ratio() {
    let lambda = std::f64::consts::LN_2 / 100.0;
    let mut metered = MeteredUsage::new(0.0);
    let usage = Usage {
        requested: 30.0,
        allowed: 10.0,
    };
    metered.record(50.0, lambda, usage);
    assert_eq!(metered.elapsed(80.0), 30.0);
    let recent = metered.recent(150.0, lambda);
    assert!((recent.requested - 15.0).abs() < 1e-9);
    assert!((recent.ratio() - 3.0).abs() < 1e-9);
}

#[test]
fn a_balance_is_bounded_by_the_error_of_the_last_report() {
    let mut balance = SharedBalance::full(0.0, 100.0);
    balance.record(0.0, 100.0, report(30.0, 20.0, 1.0));
    balance.draw(10.0);
    let bounds = balance.bounds(5.0, 5.0).expect("a recent report");
    assert_eq!((bounds.min, bounds.max), (40.0, 60.0));
    assert_eq!(balance.bounds(5.1, 5.0), None, "the report is too old");
}

#[test]
fn only_the_fraction_of_gateways_that_report_refills_a_balance() {
    let mut balance = SharedBalance::full(0.0, 100.0);
    balance.record(0.0, 100.0, report(80.0, 0.0, 0.5));
    balance.refill(1000.0, 20.0, 100.0);
    let bounds = balance.bounds(1000.0, 1000.0).expect("a recent report");
    assert_eq!(bounds.max, 30.0);
}

#[test]
fn balances_without_reports_are_unknown_and_idle_ones_are_evicted() {
    let mut balances = SharedBalances::default();
    assert_eq!(balances.bounds(0.0, 1, 10.0, 50.0, 1e9), None);
    balances.draw(1, 5.0);
    assert!(balances.is_empty());
    balances.record(0.0, 1, 10.0, 50.0, report(20.0, 0.0, 1.0));
    balances.draw(1, 5.0);
    let bounds = balances.bounds(0.0, 1, 10.0, 50.0, 1e9);
    assert_eq!(bounds.map(|bounds| bounds.max), Some(25.0));
    balances.evict(99.0, 10.0, 100.0);
    assert_eq!(balances.len(), 1);
    balances.evict(105.0, 10.0, 100.0);
    assert_eq!(balances.len(), 1, "the last sweep is too recent");
    balances.evict(109.0, 10.0, 100.0);
    assert!(balances.is_empty());
}

#[test]
fn a_map_is_swept_once_per_interval() {
    let mut map = EvictingMap::default();
    map.insert("old", 1);
    map.insert("new", 2);
    assert_eq!(map.sweep(0.0, 10.0, |value| *value > 1), 1);
    map.insert("old", 1);
    assert_eq!(map.sweep(9.0, 10.0, |value| *value > 1), 0);
    assert_eq!(map.len(), 2);
    assert_eq!(map.sweep(10.0, 10.0, |value| *value > 1), 1);
    assert_eq!(map.get("new"), Some(&2));
}

quickcheck! {
    fn a_report_with_any_numbers_keeps_a_balance_in_bounds(
        units: f64,
        as_of: f64,
        error: f64,
        coverage: f64
    ) -> bool {
        let report = UsageReport { units, as_of, error, coverage };
        let mut balance = SharedBalance::full(0.0, 100.0);
        balance.record(10.0, 100.0, report);
        balance.refill(20.0, 5.0, 100.0);
        balance
            .bounds(20.0, f64::INFINITY)
            .is_some_and(|bounds| bounds.max.abs() <= 100.0 && bounds.min <= bounds.max)
    }

    fn clamped_numbers_are_in_range(value: f64, min: i8, max: i8) -> bool {
        let (min, max) = (f64::from(min), f64::from(max));
        let clamped = clamp_or(value, min, max, min);
        min <= clamped && clamped <= max.max(min)
    }
}
