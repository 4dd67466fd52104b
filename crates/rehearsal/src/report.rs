//! The report as plain text.

use maplefall_invariants::{Evaluation, RuleResult, Verdict};
use std::fmt::Write;

fn verdict_text(verdict: Verdict) -> &'static str {
    match verdict {
        Verdict::Satisfied => "kept",
        Verdict::Violated => "BROKEN",
        Verdict::NotExercised => "not exercised",
    }
}

fn write_rule(text: &mut String, result: &RuleResult) {
    // Writing to a string does not fail.
    let margin = match result.margin {
        Some(margin) => format!("min {margin:.2} {}", result.margin_unit),
        None => String::new(),
    };
    let _ = writeln!(
        text,
        "  {} {:<27} {:<14} {:>6} tested  {margin}",
        result.rule,
        result.name,
        verdict_text(result.verdict),
        result.tested
    );
    for violation in result.violations.iter().take(3) {
        let lines: Vec<String> = violation.trace_lines.iter().map(usize::to_string).collect();
        let request = if violation.request.is_empty() {
            String::new()
        } else {
            format!(" {}", violation.request)
        };
        let _ = writeln!(
            text,
            "      {:.1} ms{request}: {} (lines {})",
            violation.at,
            violation.description,
            lines.join(", ")
        );
    }
    if result.violation_count > 3 {
        let _ = writeln!(text, "      and {} more", result.violation_count - 3);
    }
}

/// Formats the report of a run as plain text.
pub fn text(evaluation: &Evaluation) -> String {
    let metrics = &evaluation.metrics;
    let mut text = format!("{} (seed {})\n", evaluation.scenario, evaluation.seed);
    evaluation
        .rules
        .iter()
        .for_each(|result| write_rule(&mut text, result));
    let failed: Vec<String> = metrics
        .failed
        .iter()
        .map(|(status, n)| format!("{n} x {status}"))
        .collect();
    let failed = if failed.is_empty() {
        "none".to_owned()
    } else {
        failed.join(", ")
    };
    let plans: Vec<String> = metrics
        .value_by_plan
        .iter()
        .map(|(plan, share)| format!("{plan} {share:.2}"))
        .collect();
    let _ = writeln!(
        text,
        "  value served in time, inside quotas {:.3} ({})",
        metrics.value_share,
        plans.join(", ")
    );
    let _ = writeln!(
        text,
        "  {} requests, {} client attempts: {} served, {} rejected ({} with Retry-After), failed {failed}, {} not accepted, {} unanswered",
        metrics.requests,
        metrics.client_requests,
        metrics.served,
        metrics.rejected_without_retry_after + metrics.rejected_with_retry_after,
        metrics.rejected_with_retry_after,
        metrics.not_accepted,
        metrics.unanswered
    );
    let times = metrics.latency;
    let _ = writeln!(
        text,
        "  served after {:.0} ms at the median, p90 {:.0}, p99 {:.0}, at most {:.0}; {:.3} attempts per forwarded request",
        times.p50_ms, times.p90_ms, times.p99_ms, times.max_ms, metrics.attempts_per_forwarded
    );
    let _ = writeln!(
        text,
        "  gateways: {:.0} us of CPU per client attempt, {} KiB of memory at most",
        metrics.cpu_us_per_request, metrics.max_memory_kib
    );
    if metrics.malformed_clients > 0 {
        let _ = writeln!(
            text,
            "  malformed clients: {} of {} neglected",
            metrics.malformed_clients_neglected, metrics.malformed_clients
        );
    }
    let _ = writeln!(
        text,
        "  test servers late by {:.2} ms at p99, {:.1} at most, over {} actions",
        metrics.lateness_p99_ms, metrics.lateness_max_ms, metrics.actions
    );
    if let Some(reason) = &evaluation.invalid_reason {
        let _ = writeln!(text, "  VOID: {reason}");
    }
    text
}
