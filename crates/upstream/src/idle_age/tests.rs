use super::*;

/// Guards the reuse of connections: failures of old connections prevent the reuse of those and
/// older ones, not of younger ones; an occasional failure prevents none; and ages that recover are
/// reused again.
#[test]
fn connections_are_not_reused_from_the_idle_age_at_which_they_break() {
    let [young, old, older] = [20, 200, 2000].map(Duration::from_millis);
    let (mut stats, start) = (IdleAgeStats::default(), Instant::now());
    for i in 0..20 {
        stats.record(start, young, i % 10 == 0);
        assert!(stats.allows_reuse(start, older), "a tenth broken");
    }
    for _ in 0..3 {
        stats.record(start, old, true);
        stats.record(start, old, false);
    }
    assert_eq!(
        [young, old, older].map(|age| stats.allows_reuse(start, age)),
        [true, false, false]
    );
    let later = start + Duration::from_secs(8);
    for _ in 0..10 {
        stats.record(later, old, false);
    }
    assert_eq!(
        [young, old, older].map(|age| stats.allows_reuse(later, age)),
        [true; 3]
    );
    // Without recent observations, connections are reused again too.
    assert!(stats.allows_reuse(start + Duration::from_secs(60), older));
}
