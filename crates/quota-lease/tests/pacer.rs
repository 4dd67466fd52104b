//! The pacer: a bounded long-term rate, and no wait for occasional work.

use maplefall_quota_lease::Pacer;

/// Continuous work is done once per interval, plus the initial credit.
#[test]
fn steady_work_is_done_once_per_interval() {
    let mut pacer = Pacer::new(0.0, 100.0);
    let mut done = 0;
    for ms in 0..10_000 {
        let now = f64::from(ms);
        if pacer.is_due(now) {
            pacer.charge(now, 50.0);
            done += 1;
        }
        assert!(pacer.wait(now) <= 50.0);
    }
    assert!((200..=203).contains(&done), "{done} times in 10 s");
}

/// Idle time of any length accumulates no more than the maximum credit.
#[test]
fn idle_time_accumulates_a_bounded_credit() {
    let mut pacer = Pacer::new(0.0, 100.0);
    let now = 1e9;
    let mut done = 0;
    while pacer.is_due(now) {
        pacer.charge(now, 40.0);
        done += 1;
    }
    assert_eq!(done, 3);
    assert!((pacer.wait(now) - 20.0).abs() < 1e-6);
}
