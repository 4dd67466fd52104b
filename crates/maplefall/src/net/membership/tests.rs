//! Tests of the limit on log lines.

use super::*;

/// Guards against a peer that floods the log: a bounded number of lines is logged in a window, and
/// the rest is counted.
#[test]
fn log_lines_are_limited_per_window_and_the_rest_is_counted() {
    let mut log_limit = LogLimit::default();
    let admitted = (0..10_000)
        .filter(|n| log_limit.admit(1e6 + f64::from(*n) / 10.0).is_some())
        .count();
    assert_eq!(admitted, MAX_LOG_LINES as usize);
    assert_eq!(
        log_limit.admit(1e6 + LOG_WINDOW),
        Some(10_000 - MAX_LOG_LINES)
    );
    assert_eq!(log_limit.admit(1e6 + LOG_WINDOW), Some(0));
}
