//! The report on a terminal.

use maplefall_invariants::{Evaluation, RuleResult, Verdict};
use std::fmt::Write;

fn word(verdict: Verdict) -> &'static str {
    match verdict {
        Verdict::Satisfied => "kept",
        Verdict::Violated => "BROKEN",
        Verdict::NotExercised => "not exercised",
    }
}

fn rule(text: &mut String, ruling: &RuleResult) {
    // A string takes any text; the errors are those of a writer that can fail.
    let margin = match ruling.margin {
        Some(margin) => format!("least {margin:.2} {}", ruling.margin_unit),
        None => String::new(),
    };
    let _ = writeln!(
        text,
        "  {} {:<27} {:<14} {:>6} tested  {margin}",
        ruling.rule,
        ruling.name,
        word(ruling.verdict),
        ruling.tested
    );
    for finding in ruling.violations.iter().take(3) {
        let lines: Vec<String> = finding.trace_lines.iter().map(usize::to_string).collect();
        let request = if finding.request.is_empty() {
            String::new()
        } else {
            format!(" {}", finding.request)
        };
        let _ = writeln!(
            text,
            "      {:.1} ms{request}: {} (lines {})",
            finding.at,
            finding.description,
            lines.join(", ")
        );
    }
    if ruling.violation_count > 3 {
        let _ = writeln!(text, "      and {} more", ruling.violation_count - 3);
    }
}

/// The report of one run, in plain text.
pub fn text(judgement: &Evaluation) -> String {
    let figures = &judgement.metrics;
    let mut text = format!("{} (seed {})\n", judgement.scenario, judgement.seed);
    judgement
        .rules
        .iter()
        .for_each(|ruling| rule(&mut text, ruling));
    let failed: Vec<String> = figures
        .failed
        .iter()
        .map(|(status, n)| format!("{n} x {status}"))
        .collect();
    let failed = if failed.is_empty() {
        "none".to_owned()
    } else {
        failed.join(", ")
    };
    let plans: Vec<String> = figures
        .value_by_plan
        .iter()
        .map(|(plan, share)| format!("{plan} {share:.2}"))
        .collect();
    let _ = writeln!(
        text,
        "  worth served in time, inside quotas {:.3} ({})",
        figures.value_share,
        plans.join(", ")
    );
    let _ = writeln!(
        text,
        "  {} requests, {} tries: {} served, {} refused ({} with advice), failed {failed}, {} not taken, {} unanswered",
        figures.requests,
        figures.client_requests,
        figures.served,
        figures.rejected_without_retry_after + figures.rejected_with_retry_after,
        figures.rejected_with_retry_after,
        figures.not_accepted,
        figures.unanswered
    );
    let times = figures.latency;
    let _ = writeln!(
        text,
        "  served after {:.0} ms at the median, p90 {:.0}, p99 {:.0}, at most {:.0}; {:.3} attempts a request sent on",
        times.p50_ms, times.p90_ms, times.p99_ms, times.max_ms, figures.attempts_per_forwarded
    );
    let _ = writeln!(
        text,
        "  front doors: {:.0} us of CPU a try, {} KiB of memory at most",
        figures.cpu_us_per_request, figures.max_memory_kib
    );
    if figures.malformed_clients > 0 {
        let _ = writeln!(
            text,
            "  bad clients: {} of {} neglected",
            figures.malformed_clients_neglected, figures.malformed_clients
        );
    }
    let _ = writeln!(
        text,
        "  stand-ins late by {:.2} ms at p99, {:.1} at most, over {} actions",
        figures.lateness_p99_ms, figures.lateness_max_ms, figures.actions
    );
    if let Some(void) = &judgement.invalid_reason {
        let _ = writeln!(text, "  VOID: {void}");
    }
    text
}
