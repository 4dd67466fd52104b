use super::*;

/// Guards the reuse of connections: failures of old connections count against those and older ones, not against younger; an
/// occasional break counts against none; and ages that recover are reused again.
#[test]
fn ages_at_which_connections_break_are_distinguished_from_those_that_survive() {
    let [young, old, older] = [20, 200, 2000].map(Duration::from_millis);
    let (mut stats, start) = (IdleAgeStats::default(), Instant::now());
    for i in 0..20 {
        stats.record(start, young, i % 10 == 0);
        assert!(stats.survives(start, older), "a tenth broken");
    }
    for _ in 0..3 {
        stats.record(start, old, true);
        stats.record(start, old, false);
    }
    assert_eq!(
        [young, old, older].map(|age| stats.survives(start, age)),
        [true, false, false]
    );
    let later = start + Duration::from_secs(8);
    for _ in 0..10 {
        stats.record(later, old, false);
    }
    assert_eq!(
        [young, old, older].map(|age| stats.survives(later, age)),
        [true; 3]
    );
    // Without observations they are tried again too.
    assert!(stats.survives(start + Duration::from_secs(60), older));
}
