//! Metrics of a run: value served, responses by kind, attempts, latency, and resources of the proxies.

use crate::trace_index::{ClientRequest, TraceIndex};
use hdrhistogram::Histogram;
use maplefall_event_trace::{EventKind, FailureReason, Millis};
use serde::Serialize;
use std::collections::BTreeMap;

/// Percentiles of the time from an original request to its served response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LatencyPercentiles {
    /// The median.
    pub p50_ms: Millis,
    /// The 90th percentile.
    pub p90_ms: Millis,
    /// The 99th percentile.
    pub p99_ms: Millis,
    /// The maximum.
    #[serde(rename = "most_ms")]
    pub max_ms: Millis,
}

/// The metrics of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Metrics {
    /// Length of the trace in seconds.
    pub seconds: f64,
    /// Original requests, without their retries.
    pub requests: u64,
    /// Requests with their retries.
    #[serde(rename = "tries")]
    pub client_requests: u64,
    /// Requests that were served.
    pub served: u64,
    /// Rejected with a `Retry-After`.
    #[serde(rename = "refused_with_advice")]
    pub rejected_with_retry_after: u64,
    /// Rejected without one.
    #[serde(rename = "refused")]
    pub rejected_without_retry_after: u64,
    /// Requests that failed, by status.
    pub failed: BTreeMap<u16, u64>,
    /// Requests that no proxy accepted.
    #[serde(rename = "not_taken")]
    pub not_accepted: u64,
    /// Requests whose connection was closed with nothing forwarded.
    #[serde(rename = "closed_unsent")]
    pub closed_before_forwarding: u64,
    /// Requests with no complete response.
    pub unanswered: u64,
    /// Value served within the latency target over the value offered within the quotas, 0 to 1.
    #[serde(rename = "worth_share")]
    pub value_share: f64,
    /// The same for each plan, by name.
    #[serde(rename = "worth_by_plan")]
    pub value_by_plan: BTreeMap<String, f64>,
    /// Complete attempts per forwarded request.
    #[serde(rename = "attempts_per_sent")]
    pub attempts_per_forwarded: f64,
    /// Latency of served requests.
    #[serde(rename = "times")]
    pub latency: LatencyPercentiles,
    /// Processor time of the proxies per request, in microseconds.
    #[serde(rename = "cpu_us_per_try")]
    pub cpu_us_per_request: f64,
    /// Maximum resident memory of a proxy, in KiB.
    #[serde(rename = "memory_kib")]
    pub max_memory_kib: u64,
    /// Clients that sent malformed requests.
    #[serde(rename = "rude")]
    pub malformed_clients: u64,
    /// Those of them that got neither a response nor a close.
    #[serde(rename = "rude_neglected")]
    pub malformed_clients_neglected: u64,
    /// Lateness of the test servers at the 99th percentile.
    #[serde(rename = "late_p99_ms")]
    pub lateness_p99_ms: Millis,
    /// Maximum lateness.
    #[serde(rename = "late_most_ms")]
    pub lateness_max_ms: Millis,
    /// Scheduled actions of the test servers.
    pub actions: u64,
}

/// Measures a trace.
pub fn measure(index: &TraceIndex<'_>) -> Metrics {
    let mut figures = Metrics::default();
    let lines = &index.trace.events;
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
    for request in &index.requests {
        match request.failure {
            Some((_, FailureReason::Closed, _))
                if index.attempts_of(request.id).next().is_none() =>
            {
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
    figures.client_requests = index.requests.len() as u64;
    figures.malformed_clients = index.malformed_clients.len() as u64;
    figures.malformed_clients_neglected = index
        .malformed_clients
        .iter()
        .filter(|(_, _, _, neglected, _)| *neglected)
        .count() as u64;
    let complete = index
        .attempts
        .iter()
        .filter(|attempt| attempt.complete)
        .count();
    figures.attempts_per_forwarded = complete as f64 / index.complete_by_id.len().max(1) as f64;
    figures.cpu_us_per_request = cpu * 1000.0 / figures.client_requests.max(1) as f64;
    measure_value_and_latency(index, &mut figures);
    figures
}

/// Value and latency; a client's retries belong to the original request.
fn measure_value_and_latency(index: &TraceIndex<'_>, figures: &mut Metrics) {
    let mut items: BTreeMap<u64, Vec<&ClientRequest<'_>>> = BTreeMap::new();
    for request in &index.requests {
        items
            .entry(request.original_request)
            .or_default()
            .push(request);
    }
    figures.requests = items.len() as u64;
    let mut order: Vec<&Vec<&ClientRequest<'_>>> = items.values().collect();
    order.sort_by(|a, b| a[0].sent_at.total_cmp(&b[0].sent_at));
    let mut stores: BTreeMap<u64, (f64, Millis)> = BTreeMap::new();
    let mut value: BTreeMap<usize, (f64, f64)> = BTreeMap::new();
    let denied = crate::credentials::denied_customers(index);
    // Three significant digits are enough, and the table stays small.
    let mut times = Histogram::<u64>::new_with_bounds(1, 600_000_000, 3).ok();
    for tries in order {
        let first = tries[0];
        let (Some(class), Some(plan)) = (index.class(first), index.plan(first)) else {
            continue;
        };
        let served = tries
            .iter()
            .filter_map(|request| request.response)
            .find(|answer| answer.status == 200);
        let took = served.map(|answer| answer.at - first.sent_at);
        if let (Some(took), Some(times)) = (took, &mut times) {
            times.saturating_record((took.max(0.0) * 1000.0) as u64);
        }
        // A caller without a valid credential has no claim on a response.
        if denied
            .get(&first.customer)
            .is_some_and(|(from, _)| *from <= first.sent_at)
        {
            continue;
        }
        // Offered value is what a single proxy that saw all original requests would admit.
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
        let sums = value.entry(first.plan).or_default();
        (sums.0, sums.1) = (sums.0 + got, sums.1 + full);
    }
    let sum = value
        .values()
        .fold((0.0, 0.0), |sum, plan| (sum.0 + plan.0, sum.1 + plan.1));
    let share = |(got, full): (f64, f64)| if full > 0.0 { got / full } else { 0.0 };
    figures.value_share = share(sum);
    for (plan, sums) in value {
        figures
            .value_by_plan
            .insert(index.trace.header.plans[plan].name.clone(), share(sums));
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
