//! What else a record tells: worth served, answers by kind, attempts, times, and what the front doors used.

use crate::trace_index::{ClientRequest, TraceIndex};
use hdrhistogram::Histogram;
use maplefall_event_trace::{EventKind, FailureReason, Millis};
use serde::Serialize;
use std::collections::BTreeMap;

/// Percentiles of the time from a first try to its served answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LatencyPercentiles {
    /// The median.
    pub p50_ms: Millis,
    /// The 90th percentile.
    pub p90_ms: Millis,
    /// The 99th percentile.
    pub p99_ms: Millis,
    /// The longest.
    #[serde(rename = "most_ms")]
    pub max_ms: Millis,
}

/// The figures of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Metrics {
    /// How long the record is.
    pub seconds: f64,
    /// First tries.
    pub requests: u64,
    /// Tries in all.
    #[serde(rename = "tries")]
    pub client_requests: u64,
    /// Tries that were served.
    pub served: u64,
    /// Tries that were refused with a word on when to come back, and without.
    #[serde(rename = "refused_with_advice")]
    pub rejected_with_retry_after: u64,
    /// Tries that were refused without one.
    #[serde(rename = "refused")]
    pub rejected_without_retry_after: u64,
    /// Tries that failed, by status.
    pub failed: BTreeMap<u16, u64>,
    /// Tries that no front door took.
    #[serde(rename = "not_taken")]
    pub not_accepted: u64,
    /// Tries whose connection was closed with nothing sent on.
    #[serde(rename = "closed_unsent")]
    pub closed_before_forwarding: u64,
    /// Tries with no whole answer.
    pub unanswered: u64,
    /// Worth served in time, over the worth asked for inside the quotas.
    #[serde(rename = "worth_share")]
    pub value_share: f64,
    /// The same for each plan, by name.
    #[serde(rename = "worth_by_plan")]
    pub value_by_plan: BTreeMap<String, f64>,
    /// Attempts that came whole, for each try that was sent on.
    #[serde(rename = "attempts_per_sent")]
    pub attempts_per_forwarded: f64,
    /// Times to a served answer.
    #[serde(rename = "times")]
    pub latency: LatencyPercentiles,
    /// Processor time of the front doors for each try, in microseconds.
    #[serde(rename = "cpu_us_per_try")]
    pub cpu_us_per_request: f64,
    /// Most memory that a front door took, in KiB.
    #[serde(rename = "memory_kib")]
    pub max_memory_kib: u64,
    /// Clients that sent what cannot be used, and how many of them were left with nothing.
    #[serde(rename = "rude")]
    pub malformed_clients: u64,
    /// Those.
    #[serde(rename = "rude_neglected")]
    pub malformed_clients_neglected: u64,
    /// Lateness of the stand-ins at the 99th percentile.
    #[serde(rename = "late_p99_ms")]
    pub lateness_p99_ms: Millis,
    /// Lateness at most.
    #[serde(rename = "late_most_ms")]
    pub lateness_max_ms: Millis,
    /// Actions of the stand-ins that were due at a time.
    pub actions: u64,
}

/// Counts them.
pub fn measure(view: &TraceIndex<'_>) -> Metrics {
    let mut figures = Metrics::default();
    let lines = &view.trace.events;
    figures.seconds = lines.last().map_or(0.0, |line| line.at / 1000.0);
    let mut cpu = 0.0;
    for line in lines {
        match &line.kind {
            EventKind::ResourceUsage {
                cpu_ms, memory_kib, ..
            } => {
                cpu += cpu_ms;
                figures.max_memory_kib = figures.max_memory_kib.max(*memory_kib);
            }
            EventKind::Lateness {
                actions,
                p99_ms,
                max_ms: most_ms,
                ..
            } => {
                (
                    figures.actions,
                    figures.lateness_p99_ms,
                    figures.lateness_max_ms,
                ) = (*actions, *p99_ms, *most_ms);
            }
            EventKind::RequestFailed {
                reason: FailureReason::NotAccepted,
                ..
            } => figures.not_accepted += 1,
            EventKind::ResponseReceived {
                status: 429 | 503,
                retry_after_ms,
                ..
            } => {
                let with = u64::from(retry_after_ms.is_some());
                figures.rejected_with_retry_after += with;
                figures.rejected_without_retry_after += 1 - with;
            }
            EventKind::ResponseReceived { status: 200, .. } => figures.served += 1,
            EventKind::ResponseReceived { status, .. } => {
                *figures.failed.entry(*status).or_default() += 1
            }
            _ => {}
        }
    }
    for one in &view.requests {
        match one.failure {
            Some((_, FailureReason::Closed, _)) if view.attempts_of(one.id).next().is_none() => {
                figures.closed_before_forwarding += 1;
            }
            Some((
                _,
                FailureReason::Closed | FailureReason::Truncated | FailureReason::TimedOut,
                _,
            )) => figures.unanswered += 1,
            _ => {}
        }
    }
    figures.client_requests = view.requests.len() as u64;
    figures.malformed_clients = view.malformed_clients.len() as u64;
    figures.malformed_clients_neglected = view
        .malformed_clients
        .iter()
        .filter(|(_, _, _, neglected, _)| *neglected)
        .count() as u64;
    let whole = view
        .attempts
        .iter()
        .filter(|attempt| attempt.complete)
        .count();
    figures.attempts_per_forwarded = whole as f64 / view.complete_by_id.len().max(1) as f64;
    figures.cpu_us_per_request = cpu * 1000.0 / figures.client_requests.max(1) as f64;
    measure_value_and_latency(view, &mut figures);
    figures
}

/// Worth and times: a client's retries belong to its first try.
fn measure_value_and_latency(view: &TraceIndex<'_>, figures: &mut Metrics) {
    let mut items: BTreeMap<u64, Vec<&ClientRequest<'_>>> = BTreeMap::new();
    for one in &view.requests {
        items.entry(one.original_request).or_default().push(one);
    }
    figures.requests = items.len() as u64;
    let mut order: Vec<&Vec<&ClientRequest<'_>>> = items.values().collect();
    order.sort_by(|a, b| a[0].sent_at.total_cmp(&b[0].sent_at));
    let mut stores: BTreeMap<u64, (f64, Millis)> = BTreeMap::new();
    let mut worth: BTreeMap<usize, (f64, f64)> = BTreeMap::new();
    let denied = crate::credentials::denied_customers(view);
    // One figure of three digits is enough, and the table stays small.
    let mut times = Histogram::<u64>::new_with_bounds(1, 600_000_000, 3).ok();
    for tries in order {
        let first = tries[0];
        let (Some(class), Some(plan)) = (view.class(first), view.plan(first)) else {
            continue;
        };
        let served = tries
            .iter()
            .filter_map(|one| one.response)
            .find(|answer| answer.status == 200);
        let took = served.map(|answer| answer.at - first.sent_at);
        if let (Some(took), Some(times)) = (took, &mut times) {
            times.saturating_record((took.max(0.0) * 1000.0) as u64);
        }
        // Nobody owes anything to a caller that does not pass.
        if denied
            .get(&first.customer)
            .is_some_and(|(from, _)| *from <= first.sent_at)
        {
            continue;
        }
        // Offered is what one front door that saw all first tries would let in.
        let (level, at) = stores
            .entry(first.customer)
            .or_insert((plan.burst, first.sent_at));
        *level = (*level + plan.rate * (first.sent_at - *at) / 1000.0).min(plan.burst);
        *at = first.sent_at;
        if *level < first.units {
            continue;
        }
        *level -= first.units;
        let full = class.value * plan.value_factor * first.units;
        let got = match took {
            Some(took) if took <= class.latency_target_ms => full,
            Some(_) => full * class.late_value_factor,
            None => 0.0,
        };
        let sums = worth.entry(first.plan).or_default();
        (sums.0, sums.1) = (sums.0 + got, sums.1 + full);
    }
    let sum = worth
        .values()
        .fold((0.0, 0.0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
    let share = |(got, full): (f64, f64)| if full > 0.0 { got / full } else { 0.0 };
    figures.value_share = share(sum);
    for (plan, sums) in worth {
        figures
            .value_by_plan
            .insert(view.trace.header.plans[plan].name.clone(), share(sums));
    }
    if let Some(times) = times {
        let at = |part| times.value_at_quantile(part) as f64 / 1000.0;
        figures.latency = LatencyPercentiles {
            p50_ms: at(0.5),
            p90_ms: at(0.9),
            p99_ms: at(0.99),
            max_ms: times.max() as f64 / 1000.0,
        };
    }
}
