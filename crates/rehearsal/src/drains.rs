//! The table of drain times.

use maplefall_event_trace::Millis;
use maplefall_invariants::drain_times::DrainTime;

/// Returns the smallest value that at least this fraction of a sorted list does not exceed.
fn quantile(sorted: &[Millis], fraction: f64) -> Millis {
    let rank = (sorted.len() as f64 * fraction).ceil() as usize;
    sorted
        .get(rank.saturating_sub(1))
        .copied()
        .unwrap_or(f64::NAN)
}

/// Formats the median, the 99th percentile and the maximum of `times`.
fn summary(times: impl Iterator<Item = Millis>) -> String {
    let mut times: Vec<Millis> = times.collect();
    if times.is_empty() {
        return format!("{:>22}", "-");
    }
    times.sort_by(f64::total_cmp);
    let max = times.last().copied().unwrap_or(f64::NAN);
    format!(
        "{:>6.1} {:>7.1} {:>7.1}",
        quantile(&times, 0.5),
        quantile(&times, 0.99),
        max
    )
}

/// Header of the table.
pub const HEAD: &str = "scenario          drains  at doors | had to tell to telling | commit to learning ms  | commit to last new work | learning to last new work\n\
                        \u{20}                                |   p50     p99    most |    p50     p99    most |    p50     p99    most |    p50     p99    most";

/// Formats the row of a scenario.
pub fn row(name: &str, times: &[DrainTime]) -> String {
    let mut nodes: Vec<u32> = times.iter().map(|time| time.node).collect();
    nodes.sort_unstable();
    nodes.dedup();
    format!(
        "{name:<18}{:>6} {:>9} | {} | {} | {} | {}",
        nodes.len(),
        times.len(),
        summary(times.iter().filter_map(|time| time.watch_delay)),
        summary(times.iter().filter_map(|time| time.notification_delay)),
        summary(
            times
                .iter()
                .filter_map(|time| time.until_quiet_after_commit)
        ),
        summary(times.iter().map(|time| time.until_quiet_after_notification)),
    )
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn quantiles_are_measured_values() {
        let times: Vec<Millis> = (1..=200).map(f64::from).collect();
        assert_eq!(
            (quantile(&times, 0.5), quantile(&times, 0.99)),
            (100.0, 198.0)
        );
        assert_eq!(
            summary([5.0].into_iter())
                .split_whitespace()
                .collect::<Vec<_>>(),
            ["5.0", "5.0", "5.0"]
        );
        assert_eq!(summary(std::iter::empty()).trim(), "-");
    }
}
