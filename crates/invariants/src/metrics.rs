//! Metrics of a run: value served, responses by kind, attempts, latency, and resources of the
//! proxies.

use crate::trace_index::{ClientRequest, TraceIndex};
use hdrhistogram::Histogram;
use maplefall_event_trace::{EventKind, FailureReason, Millis};
use serde::Serialize;
use std::collections::BTreeMap;

/// Percentiles of the time from an original request to the served response.
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
    /// Number of original requests, without retries by clients.
    pub requests: u64,
    /// Number of requests, including retries by clients.
    #[serde(rename = "tries")]
    pub client_requests: u64,
    /// Requests that were served.
    pub served: u64,
    /// Requests rejected with a `Retry-After`.
    #[serde(rename = "refused_with_advice")]
    pub rejected_with_retry_after: u64,
    /// Requests rejected without a `Retry-After`.
    #[serde(rename = "refused")]
    pub rejected_without_retry_after: u64,
    /// Requests with any other status, by status.
    pub failed: BTreeMap<u16, u64>,
    /// Requests that no proxy accepted.
    #[serde(rename = "not_taken")]
    pub not_accepted: u64,
    /// Requests whose connection was closed before anything was forwarded.
    #[serde(rename = "closed_unsent")]
    pub closed_before_forwarding: u64,
    /// Accepted requests that got no complete response.
    pub unanswered: u64,
    /// Value earned by served requests over the value offered within the quotas, 0 to 1.
    #[serde(rename = "worth_share")]
    pub value_share: f64,
    /// The same ratio for each plan, by the plan's name.
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
    /// Clients that sent malformed requests and got neither a response nor a close.
    #[serde(rename = "rude_neglected")]
    pub malformed_clients_neglected: u64,
    /// Lateness of the test servers at the 99th percentile.
    #[serde(rename = "late_p99_ms")]
    pub lateness_p99_ms: Millis,
    /// Maximum lateness of the test servers.
    #[serde(rename = "late_most_ms")]
    pub lateness_max_ms: Millis,
    /// Number of scheduled actions of the test servers.
    pub actions: u64,
}

/// Computes the metrics of a trace.
pub fn measure(index: &TraceIndex<'_>) -> Metrics {
    let mut metrics = Metrics::default();
    let events = &index.trace.events;
    metrics.seconds = events.last().map_or(0.0, |event| event.at / 1000.0);
    let mut cpu = 0.0;
    for event in events {
        match &event.kind {
            EventKind::ResourceUsage {
                cpu_ms, memory_kib, ..
            } => {
                cpu += cpu_ms;
                metrics.max_memory_kib = metrics.max_memory_kib.max(*memory_kib);
            }
            EventKind::Lateness {
                actions,
                p99_ms,
                max_ms,
                ..
            } => {
                (
                    metrics.actions,
                    metrics.lateness_p99_ms,
                    metrics.lateness_max_ms,
                ) = (*actions, *p99_ms, *max_ms);
            }
            EventKind::RequestFailed {
                reason: FailureReason::NotAccepted,
                ..
            } => metrics.not_accepted += 1,
            EventKind::ResponseReceived {
                status: 429 | 503,
                retry_after_ms,
                ..
            } => {
                let has_retry_after = u64::from(retry_after_ms.is_some());
                metrics.rejected_with_retry_after += has_retry_after;
                metrics.rejected_without_retry_after += 1 - has_retry_after;
            }
            EventKind::ResponseReceived { status: 200, .. } => metrics.served += 1,
            EventKind::ResponseReceived { status, .. } => {
                *metrics.failed.entry(*status).or_default() += 1
            }
            _ => {}
        }
    }
    for request in &index.requests {
        match request.failure {
            Some((_, FailureReason::Closed, _))
                if index.attempts_of(request.id).next().is_none() =>
            {
                metrics.closed_before_forwarding += 1;
            }
            Some((
                _,
                FailureReason::Closed | FailureReason::Truncated | FailureReason::TimedOut,
                _,
            )) => metrics.unanswered += 1,
            _ => {}
        }
    }
    metrics.client_requests = index.requests.len() as u64;
    metrics.malformed_clients = index.malformed_clients.len() as u64;
    metrics.malformed_clients_neglected = index
        .malformed_clients
        .iter()
        .filter(|(_, _, _, neglected, _)| *neglected)
        .count() as u64;
    let complete = index
        .attempts
        .iter()
        .filter(|attempt| attempt.complete)
        .count();
    metrics.attempts_per_forwarded = complete as f64 / index.complete_by_id.len().max(1) as f64;
    metrics.cpu_us_per_request = cpu * 1000.0 / metrics.client_requests.max(1) as f64;
    measure_value_and_latency(index, &mut metrics);
    metrics
}

/// Computes value and latency; a client's retries count towards the original request.
fn measure_value_and_latency(index: &TraceIndex<'_>, metrics: &mut Metrics) {
    let mut by_original: BTreeMap<u64, Vec<&ClientRequest<'_>>> = BTreeMap::new();
    for request in &index.requests {
        by_original
            .entry(request.original_request)
            .or_default()
            .push(request);
    }
    metrics.requests = by_original.len() as u64;
    let mut originals: Vec<&Vec<&ClientRequest<'_>>> = by_original.values().collect();
    originals.sort_by(|a, b| a[0].sent_at.total_cmp(&b[0].sent_at));
    let mut buckets: BTreeMap<u64, (f64, Millis)> = BTreeMap::new();
    let mut value: BTreeMap<usize, (f64, f64)> = BTreeMap::new();
    let denied = crate::credentials::denied_customers(index);
    // Three significant digits are precise enough and keep the table small.
    let mut histogram = Histogram::<u64>::new_with_bounds(1, 600_000_000, 3).ok();
    for client_requests in originals {
        let first = client_requests[0];
        let (Some(class), Some(plan)) = (index.class(first), index.plan(first)) else {
            continue;
        };
        let served = client_requests
            .iter()
            .filter_map(|request| request.response)
            .find(|response| response.status == 200);
        let elapsed = served.map(|response| response.at - first.sent_at);
        if let (Some(elapsed), Some(histogram)) = (elapsed, &mut histogram) {
            histogram.saturating_record((elapsed.max(0.0) * 1000.0) as u64);
        }
        // A caller without a valid credential offers no value.
        if denied
            .get(&first.customer)
            .is_some_and(|(from, _)| *from <= first.sent_at)
        {
            continue;
        }
        // The offered value is what a single proxy that received all original requests would admit.
        let (level, at) = buckets
            .entry(first.customer)
            .or_insert((plan.burst, first.sent_at));
        *level = (*level + plan.rate * (first.sent_at - *at) / 1000.0).min(plan.burst);
        *at = first.sent_at;
        if *level < first.units {
            continue;
        }
        *level -= first.units;
        let offered = class.value * plan.value_factor * first.units;
        let earned = match elapsed {
            Some(elapsed) if elapsed <= class.latency_target_ms => offered,
            Some(_) => offered * class.late_value_factor,
            None => 0.0,
        };
        let totals = value.entry(first.plan).or_default();
        (totals.0, totals.1) = (totals.0 + earned, totals.1 + offered);
    }
    let sum = value
        .values()
        .fold((0.0, 0.0), |sum, plan| (sum.0 + plan.0, sum.1 + plan.1));
    let share = |(earned, offered): (f64, f64)| if offered > 0.0 { earned / offered } else { 0.0 };
    metrics.value_share = share(sum);
    for (plan, totals) in value {
        metrics
            .value_by_plan
            .insert(index.trace.header.plans[plan].name.clone(), share(totals));
    }
    if let Some(histogram) = histogram {
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        metrics.latency = LatencyPercentiles {
            p50_ms: at(0.5),
            p90_ms: at(0.9),
            p99_ms: at(0.99),
            max_ms: histogram.max() as f64 / 1000.0,
        };
    }
}
