//! What is counted in a run.

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
    /// First tries, and all tries.
    pub first_tries: u64,
    /// See above.
    pub tries: u64,
    /// Tries by their final answers.
    pub served: u64,
    /// See above.
    pub refused: u64,
    /// See above.
    pub failed: u64,
    /// Tries that a front door held when it was killed.
    pub lost: u64,
    /// Of what one door that sees all would let in, by worth: the part that was served in time.
    pub worth: f64,
    /// Worth sent on beyond quotas, as a part of the same worth.
    pub over: f64,
    /// Both by plan.
    pub worth_by_plan: Vec<f64>,
    /// See above.
    pub over_by_plan: Vec<f64>,
    /// The same, and units let in beyond quotas, by group of demand.
    pub worth_by_demand: Vec<f64>,
    /// See above.
    pub beyond_by_demand: Vec<f64>,
    /// Units let in beyond quotas, as a part of what that door would let in.
    pub beyond: f64,
    /// Tries turned away, by reason, and those of them that a door which sees all would have let in.
    pub refusals: BTreeMap<&'static str, u64>,
    /// See above.
    pub refused_with_room: BTreeMap<&'static str, u64>,
    /// First tries that were let in within their quotas and not served in time.
    pub late: u64,
    /// Tries sent on over a hard ceiling.
    pub over_ceiling: u64,
    /// Attempts to another zone, as a part of all.
    pub crossings: f64,
    /// Attempts for each first try.
    pub attempts: f64,
    /// Connections opened for each attempt.
    pub handshakes: f64,
    /// Attempts at backends that were dead.
    pub dead: u64,
    /// Cold backends that were pushed over.
    pub fell_over: u64,
    /// Attempts to a backend later than the grace after its drain was told.
    pub late_sends: u64,
    /// Answers beyond one for a try.
    pub doubled: u64,
    /// Unsafe requests that ran twice.
    pub ran_twice: u64,
    /// Time from a first try to its served answer, in milliseconds: median, and the 99th in a hundred.
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
    pub most_loaded: f64,
    /// See above.
    pub least_loaded: f64,
    /// Worth served in time in each second.
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
    pub fn quantile(&self, part: f64) -> f64 {
        if self.0.is_empty() {
            return 0.0;
        }
        self.0.value_at_quantile(part) as f64 / 1000.0
    }
}
