//! The figures of a run. Outside names (`worth`, `refusals`, ...) are read by users' scripts and stay; attributes keep them.

use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;

/// What came of a run. One line of JSON; the same for the same world and seed.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Outcome {
    /// The world's name.
    pub world: String,
    /// The seed.
    pub seed: u64,
    /// Client requests.
    #[serde(rename = "first_tries")]
    pub client_requests: u64,
    /// Requests at proxies, retries included.
    #[serde(rename = "tries")]
    pub proxy_requests: u64,
    /// Requests at proxies by their final answers.
    pub served: u64,
    /// See above.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// See above.
    pub failed: u64,
    /// Requests that were pending at a proxy when it was stopped.
    pub lost: u64,
    /// Value served within the latency target, as a fraction of what one proxy that sees all requests would admit.
    #[serde(rename = "worth")]
    pub served_value: f64,
    /// Value forwarded beyond quotas, as a fraction of the same.
    #[serde(rename = "over")]
    pub over_quota_value: f64,
    /// Both by plan.
    #[serde(rename = "worth_by_plan")]
    pub served_value_by_plan: Vec<f64>,
    /// See above.
    #[serde(rename = "over_by_plan")]
    pub over_quota_value_by_plan: Vec<f64>,
    /// The same, and units admitted beyond quotas, by group of demand.
    #[serde(rename = "worth_by_demand")]
    pub served_value_by_demand: Vec<f64>,
    /// See above.
    #[serde(rename = "beyond_by_demand")]
    pub over_quota_units_by_demand: Vec<f64>,
    /// Units admitted beyond quotas, as a fraction of the units that such a proxy would admit.
    #[serde(rename = "beyond")]
    pub over_quota_units: f64,
    /// Rejected requests at proxies, by reason.
    #[serde(rename = "refusals")]
    pub rejections: BTreeMap<&'static str, u64>,
    /// Those of them that the customer's true quota would have covered.
    #[serde(rename = "refused_with_room")]
    pub rejected_within_quota: BTreeMap<&'static str, u64>,
    /// Client requests that were admitted within their quotas and not served in time.
    pub late: u64,
    /// Requests forwarded over a hard ceiling.
    pub over_ceiling: u64,
    /// Attempts to another zone, as a part of all.
    #[serde(rename = "crossings")]
    pub cross_zone_attempts: f64,
    /// Attempts for each client request.
    pub attempts: f64,
    /// Connections opened for each attempt.
    pub handshakes: f64,
    /// Attempts at backends that were dead.
    pub dead: u64,
    /// Cold backends that were pushed over.
    #[serde(rename = "fell_over")]
    pub overload_failures: u64,
    /// Attempts to a backend later than the grace after its drain was announced.
    pub late_sends: u64,
    /// Answers beyond one for a try.
    #[serde(rename = "doubled")]
    pub duplicate_answers: u64,
    /// Unsafe requests that ran twice.
    #[serde(rename = "ran_twice")]
    pub executed_twice: u64,
    /// Time from a client request to its served answer, in milliseconds: median, and the 99th in a hundred.
    pub p50_ms: f64,
    /// See above.
    pub p99_ms: f64,
    /// Mean time in a backend's waiting room, and requests in backends on average (for Little's law).
    pub wait_ms: f64,
    /// See above.
    pub in_backends: f64,
    /// Mean time in a backend, waiting and work together.
    pub sojourn_ms: f64,
    /// Work of the busiest and of the idlest backend, as multiples of the mean.
    #[serde(rename = "most_loaded")]
    pub max_load: f64,
    /// See above.
    #[serde(rename = "least_loaded")]
    pub min_load: f64,
    /// Value served in time in each second.
    pub by_second: Vec<f64>,
    /// Events played.
    pub events: u64,
}

impl Outcome {
    /// A field by its name, for tables and comparisons; `refusals.slice` is one of a table, 0 where it has none such.
    pub fn field(&self, name: &str) -> Option<f64> {
        let whole = serde_json::to_value(self).ok()?;
        match name.split_once('.') {
            Some((table, row)) => Some(
                whole
                    .get(table)?
                    .as_object()?
                    .get(row)
                    .map_or(0.0, |v| v.as_f64().unwrap_or(0.0)),
            ),
            None => whole.get(name)?.as_f64(),
        }
    }
}

/// Times, kept to three digits.
#[derive(Clone, Debug)]
pub struct Times(Histogram<u64>);

impl Default for Times {
    fn default() -> Self {
        // Bounds that the library takes: three digits over up to an hour of microseconds.
        let histogram = Histogram::new_with_bounds(1, 3_600_000_000, 3);
        Times(histogram.unwrap_or_else(|_| unreachable!("fixed bounds")))
    }
}

impl Times {
    /// Adds a time in milliseconds.
    pub fn add(&mut self, ms: f64) {
        self.0.saturating_record((ms * 1000.0).max(1.0) as u64);
    }

    /// The time within which this part of them lies, in milliseconds; 0 where there is none.
    pub fn quantile(&self, fraction: f64) -> f64 {
        if self.0.is_empty() {
            return 0.0;
        }
        self.0.value_at_quantile(fraction) as f64 / 1000.0
    }
}
