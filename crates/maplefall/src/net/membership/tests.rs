//! The limit on log lines.

use super::*;

/// Guards against a log that a peer fills: it is told so much in a span, and how much was left out.
#[test]
fn the_log_is_told_so_much_in_a_span_and_the_rest_is_counted() {
    let mut lines = LogLimit::default();
    let told = (0..10_000)
        .filter(|n| lines.admit(1e6 + f64::from(*n) / 10.0).is_some())
        .count();
    assert_eq!(told, MAX_LOG_LINES as usize);
    assert_eq!(lines.admit(1e6 + LOG_WINDOW), Some(10_000 - MAX_LOG_LINES));
    assert_eq!(lines.admit(1e6 + LOG_WINDOW), Some(0));
}
