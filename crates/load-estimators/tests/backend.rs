//! Estimates of one backend, after sequences of attempts with known results.

use maplefall_load_estimators::{
    AttemptEnd, AttemptResult, BackendEstimator, EjectionChange, Finished, Millis, ServiceTime,
    ServiceTimePrior,
};

const TARGET: Millis = 1000.0;
const PRIOR: ServiceTimePrior = ServiceTimePrior {
    load: 1.0,
    per_unit: 10.0,
};

fn finish(
    estimator: &mut BackendEstimator<u32>,
    now: Millis,
    key: u32,
    class: usize,
    result: AttemptResult,
) -> Finished {
    let end = AttemptEnd {
        class,
        result,
        elapsed: 20.0,
    };
    estimator.finish(now, TARGET, PRIOR, &key, end)
}

#[test]
fn load_and_wait_follow_the_attempts_in_flight() {
    let mut estimator = BackendEstimator::new(0.0);
    assert!(estimator.is_idle());
    estimator.start(0.0, 1, 0, 2.0);
    estimator.start(0.0, 2, 0, 3.0);
    assert_eq!(estimator.load(), 5.0);
    assert_eq!(estimator.wait(PRIOR), 50.0);
    assert_eq!(estimator.expected_time(PRIOR, 1.0), 60.0);
    assert_eq!(estimator.attempt(&2).map(|attempt| attempt.load), Some(5.0));
    finish(&mut estimator, 10.0, 1, 0, AttemptResult::Cancelled);
    assert_eq!(estimator.load(), 3.0);
    assert!(estimator.attempt(&1).is_none());
}

#[test]
fn the_service_time_moves_from_the_prior_to_the_measured_time() {
    let mut estimator = BackendEstimator::new(0.0);
    assert_eq!(estimator.measured_time_per_unit(), None);
    assert_eq!(estimator.time_per_unit(PRIOR), 10.0);
    for key in 0..100 {
        estimator.start(0.0, key, 0, 1.0);
        let finished = finish(&mut estimator, 1.0, key, 0, AttemptResult::Served);
        assert_eq!(finished.measured_load, Some(1.0));
    }
    assert_eq!(estimator.measured_time_per_unit(), Some(20.0));
    let per_unit = estimator.time_per_unit(PRIOR);
    assert!((19.0..20.0).contains(&per_unit), "{per_unit}");
}

#[test]
fn errors_do_not_change_the_service_time() {
    let mut estimator = BackendEstimator::new(0.0);
    for (key, result) in [
        AttemptResult::Failed,
        AttemptResult::AtCapacity(0),
        AttemptResult::ConnectionRefused,
        AttemptResult::ConnectionBroken,
        AttemptResult::ConnectionReset,
        AttemptResult::NotSent,
    ]
    .into_iter()
    .enumerate()
    {
        estimator.start(0.0, key as u32, 0, 1.0);
        let finished = finish(&mut estimator, 1.0, key as u32, 0, result);
        assert_eq!(finished.measured_load, None, "{result:?}");
    }
    assert_eq!(estimator.measured_time_per_unit(), None);
}

#[test]
fn an_unresponsive_backend_is_overdue_after_three_expected_times() {
    let mut estimator = BackendEstimator::new(0.0);
    estimator.start(100.0, 1, 0, 1.0);
    assert_eq!(estimator.overdue(129.0, TARGET, PRIOR, 0), 0.0);
    assert_eq!(estimator.overdue(135.0, TARGET, PRIOR, 0), 5.0);
    let attempt = *estimator.attempt(&1).expect("attempt in flight");
    assert!(!estimator.is_overdue(130.0, &attempt, PRIOR));
    assert!(estimator.is_overdue(131.0, &attempt, PRIOR));
}

#[test]
fn an_unresponsive_class_counts_against_the_backend_for_that_class_only() {
    let mut estimator = BackendEstimator::new(0.0);
    estimator.start(0.0, 1, 0, 1.0);
    let finished = finish(&mut estimator, 500.0, 1, 0, AttemptResult::TimedOut);
    assert!(finished.was_unresponsive);
    assert_eq!(
        finished.measured_load, None,
        "its time is not a measurement"
    );
    assert!(estimator.health().is_class_unresponsive(500.0, TARGET, 0));
    assert!(!estimator.health().is_class_unresponsive(500.0, TARGET, 1));
    estimator.start(600.0, 2, 0, 1.0);
    assert!(estimator.overdue(900.0, TARGET, PRIOR, 0) > 0.0);
    assert_eq!(estimator.overdue(900.0, TARGET, PRIOR, 1), 0.0);
}

#[test]
fn a_timeout_at_a_responsive_backend_is_measured() {
    let mut estimator = BackendEstimator::new(0.0);
    estimator.start(0.0, 1, 0, 1.0);
    estimator.start(0.0, 2, 0, 1.0);
    finish(&mut estimator, 100.0, 2, 0, AttemptResult::Served);
    let finished = finish(&mut estimator, 110.0, 1, 0, AttemptResult::TimedOut);
    assert!(!finished.was_unresponsive);
    assert_eq!(finished.measured_load, Some(1.0));
}

#[test]
fn failures_eject_and_successes_restore() {
    let mut estimator = BackendEstimator::new(0.0);
    let changes = |estimator: &mut BackendEstimator<u32>, result| -> Vec<EjectionChange> {
        let finished = (0..12).map(|key| finish(estimator, 1.0, key, 0, result));
        finished.filter_map(|finished| finished.ejection).collect()
    };
    let ejected = changes(&mut estimator, AttemptResult::Failed);
    assert_eq!(ejected, [EjectionChange::Ejected]);
    assert!(estimator.health().is_suspect(1.0, TARGET));
    assert_eq!(estimator.health().suspect_since(), Some(1.0));
    let restored = changes(&mut estimator, AttemptResult::Served);
    assert_eq!(restored, [EjectionChange::Restored]);
}

#[test]
fn fault_scores_decay_without_results() {
    let mut estimator = BackendEstimator::new(0.0);
    finish(&mut estimator, 0.0, 1, 0, AttemptResult::ConnectionRefused);
    let score = |now| estimator.health().fault_score(now, TARGET, 0, 0);
    assert_eq!(score(0.0), 1.0);
    assert!((score(4.0 * TARGET) - 0.5).abs() < 1e-12);
    assert!(!estimator.health().is_suspect(20.0 * TARGET, TARGET));
}

#[test]
fn a_rejection_for_lack_of_capacity_counts_for_its_plan_only() {
    let mut estimator = BackendEstimator::new(0.0);
    finish(&mut estimator, 0.0, 1, 0, AttemptResult::AtCapacity(3));
    assert!(estimator.health().fault_score(0.0, TARGET, 3, 0) > 0.3);
    assert_eq!(estimator.health().fault_score(0.0, TARGET, 4, 0), 0.0);
    assert!(!estimator.health().is_suspect(0.0, TARGET));
}

#[test]
fn a_broken_connection_raises_the_fault_score_less_than_a_reset() {
    let score = |result| {
        let mut estimator = BackendEstimator::new(0.0);
        finish(&mut estimator, 0.0, 1, 0, result);
        estimator.health().fault_score(0.0, TARGET, 0, 0)
    };
    let broken = score(AttemptResult::ConnectionBroken);
    assert!(0.0 < broken && broken < score(AttemptResult::ConnectionReset));
    assert_eq!(score(AttemptResult::NotSent), 0.0);
    assert_eq!(score(AttemptResult::Cancelled), 0.0);
}

#[test]
fn a_reset_keeps_only_the_attempts_in_flight() {
    let mut estimator = BackendEstimator::new(0.0);
    estimator.start(0.0, 1, 0, 2.0);
    finish(&mut estimator, 0.0, 9, 0, AttemptResult::ConnectionRefused);
    estimator.reset(50.0);
    assert_eq!(estimator.load(), 2.0);
    assert_eq!(estimator.health().fault_score(50.0, TARGET, 0, 0), 0.0);
}

#[test]
fn the_prior_has_the_weight_of_one_attempt() {
    let mut service_time = ServiceTime::default();
    let default = service_time.prior(7.0);
    assert_eq!((default.load, default.per_unit), (1.0, 7.0));
    for _ in 0..1000 {
        service_time.record(1, 60.0, 3.0);
    }
    let prior = service_time.prior(7.0);
    assert!((prior.load - 3.0).abs() < 1e-9, "{}", prior.load);
    assert!((prior.per_unit - 20.0).abs() < 1e-9, "{}", prior.per_unit);
}
