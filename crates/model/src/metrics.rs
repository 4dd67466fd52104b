//! The figures of a run. Their outer names (`worth`, `refusals`, ...) are fixed, since users'
//! scripts read them; attributes keep them where a Rust name differs.

use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;

/// The outcome of a run, printed as one line of JSON; identical for the same world and seed.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Outcome {
    /// Name of the world.
    pub world: String,
    /// Seed of the run.
    pub seed: u64,
    /// Requests that clients made, without retries.
    #[serde(rename = "first_tries")]
    pub client_requests: u64,
    /// Requests at proxies, retries included.
    #[serde(rename = "tries")]
    pub proxy_requests: u64,
    /// Requests at proxies that were served.
    pub served: u64,
    /// Requests at proxies that were rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Requests at proxies that failed.
    pub failed: u64,
    /// Requests that were pending at a proxy when it stopped.
    pub lost: u64,
    /// Value served within the latency target, as a fraction of what one proxy that sees all
    /// requests would admit.
    #[serde(rename = "worth")]
    pub served_value: f64,
    /// Value forwarded over quotas, as a fraction of the same reference.
    #[serde(rename = "over")]
    pub over_quota_value: f64,
    /// `served_value` by plan.
    #[serde(rename = "worth_by_plan")]
    pub served_value_by_plan: Vec<f64>,
    /// `over_quota_value` by plan.
    #[serde(rename = "over_by_plan")]
    pub over_quota_value_by_plan: Vec<f64>,
    /// `served_value` by group of demand.
    #[serde(rename = "worth_by_demand")]
    pub served_value_by_demand: Vec<f64>,
    /// `over_quota_units` by group of demand.
    #[serde(rename = "beyond_by_demand")]
    pub over_quota_units_by_demand: Vec<f64>,
    /// Units admitted over quotas, as a fraction of the units that one proxy that sees all requests
    /// would admit.
    #[serde(rename = "beyond")]
    pub over_quota_units: f64,
    /// Rejected requests at proxies, by reason.
    #[serde(rename = "refusals")]
    pub rejections: BTreeMap<&'static str, u64>,
    /// Rejected requests that the customer's true quota would have covered, by reason.
    #[serde(rename = "refused_with_room")]
    pub rejected_within_quota: BTreeMap<&'static str, u64>,
    /// Client requests that were admitted within their quotas and not served.
    pub late: u64,
    /// Requests forwarded over a hard rate limit.
    #[serde(rename = "over_ceiling")]
    pub over_rate_limit: u64,
    /// Attempts to another zone, as a fraction of all attempts.
    #[serde(rename = "crossings")]
    pub cross_zone_attempts: f64,
    /// Attempts per client request.
    pub attempts: f64,
    /// Connections opened per attempt.
    pub handshakes: f64,
    /// Attempts that reached a backend whose process was down.
    pub dead: u64,
    /// Warming-up backends that failed from overload.
    #[serde(rename = "fell_over")]
    pub overload_failures: u64,
    /// Attempts sent to a backend after the grace period since its drain was announced.
    pub late_sends: u64,
    /// Responses to a request beyond the first.
    #[serde(rename = "doubled")]
    pub duplicate_responses: u64,
    /// Non-idempotent requests that were executed twice.
    #[serde(rename = "ran_twice")]
    pub executed_twice: u64,
    /// Median time from a client request to its served response, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the same time, in milliseconds.
    pub p99_ms: f64,
    /// Mean wait of a started job in a backend's waiting room, in milliseconds.
    pub wait_ms: f64,
    /// Mean number of requests in backends (for Little's law).
    pub in_backends: f64,
    /// Mean sojourn time in a backend, waiting and service together, in milliseconds.
    pub sojourn_ms: f64,
    /// Work of the most loaded backend, adjusted for its speed, as a multiple of the mean.
    #[serde(rename = "most_loaded")]
    pub max_load: f64,
    /// Work of the least loaded backend, adjusted for its speed, as a multiple of the mean.
    #[serde(rename = "least_loaded")]
    pub min_load: f64,
    /// Value served within the latency target, by the second of the client request.
    pub by_second: Vec<f64>,
    /// Number of events of the run.
    pub events: u64,
}

impl Outcome {
    /// Returns a figure by its outer name, for tables and comparisons; `refusals.slice` names an
    /// entry of a map, which counts as 0 if absent.
    pub fn field(&self, name: &str) -> Option<f64> {
        let fields = serde_json::to_value(self).ok()?;
        match name.split_once('.') {
            Some((table, row)) => Some(
                fields
                    .get(table)?
                    .as_object()?
                    .get(row)
                    .map_or(0.0, |v| v.as_f64().unwrap_or(0.0)),
            ),
            None => fields.get(name)?.as_f64(),
        }
    }
}

/// Histogram of times with three significant digits.
#[derive(Clone, Debug)]
pub struct LatencyHistogram(Histogram<u64>);

impl Default for LatencyHistogram {
    fn default() -> Self {
        // Bounds that the library accepts: three digits over up to an hour in microseconds.
        let histogram = Histogram::new_with_bounds(1, 3_600_000_000, 3);
        LatencyHistogram(histogram.unwrap_or_else(|_| unreachable!("fixed bounds")))
    }
}

impl LatencyHistogram {
    /// Records a time in milliseconds.
    pub fn add(&mut self, ms: f64) {
        self.0.saturating_record((ms * 1000.0).max(1.0) as u64);
    }

    /// Returns a quantile in milliseconds; 0 if nothing was recorded.
    pub fn quantile(&self, fraction: f64) -> f64 {
        if self.0.is_empty() {
            return 0.0;
        }
        self.0.value_at_quantile(fraction) as f64 / 1000.0
    }
}
