//! The scheduling delay that a process expects.

use maplefall_load_estimators::SchedulingDelay;

#[test]
fn the_largest_delay_counts_and_decays() {
    let mut delay = SchedulingDelay::default();
    assert_eq!(delay.current(0.0), 0.0);
    delay.record(140.0, 100.0);
    // A smaller delay does not replace the largest one, nor does a timer that runs in time or
    // early.
    delay.record(150.0, 145.0);
    delay.record(150.0, 150.0);
    delay.record(150.0, 151.0);
    assert_eq!(delay.current(140.0), 40.0);
    assert!((delay.current(1140.0) - 20.0).abs() < 1e-9);
    delay.record(1140.0, 1115.0);
    assert_eq!(delay.current(1140.0), 25.0);
    assert!(delay.current(11_140.0) < 0.1);
}
