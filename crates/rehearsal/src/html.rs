//! The report as a self-contained HTML page: verdicts, a timeline of traffic, responses, failures
//! and margins, the metrics, and the evidence for each violation.

use maplefall_event_trace::{EventKind, FailureReason, Millis, Trace};
use maplefall_invariants::{Evaluation, RuleResult, Verdict, MARGIN_INTERVAL};
use std::fmt::Write;

const WIDTH: f64 = 1080.0;
const LEFT: f64 = 64.0;
const RIGHT: f64 = 16.0;
const TRAFFIC: f64 = 240.0;
const BAND: f64 = 16.0;
const MARGIN: f64 = 64.0;

/// Kinds of outcomes: name, colour.
const KINDS: [(&str, &str); 5] = [
    ("served", "#2f7d4f"),
    ("rejected", "#d9a521"),
    ("failed", "#c2572b"),
    ("not accepted", "#7a7f87"),
    ("no complete response", "#9b1c4a"),
];

const STYLE: &str = "body{font:15px/1.45 system-ui,sans-serif;color:#1d2126;background:#fff;max-width:1112px;margin:24px auto;\
padding:0 16px}h1{font-size:22px;margin:0 0 4px}h2{font-size:16px;margin:28px 0 8px}p{margin:4px 0}\
table{border-collapse:collapse;width:100%}th,td{text-align:left;padding:5px 10px 5px 0;border-bottom:1px solid #e3e6ea;\
vertical-align:top}th{font-weight:600;color:#555c66}td.n,th.n{text-align:right;font-variant-numeric:tabular-nums}\
.kept{color:#1f6b3f;font-weight:600}.broken{color:#a1123f;font-weight:700}.none{color:#6b7078}\
svg{width:100%;height:auto;display:block}svg text{font:12px system-ui,sans-serif;fill:#444b54}code{font-size:13px}";

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}

fn verdict_label(verdict: Verdict) -> (&'static str, &'static str) {
    match verdict {
        Verdict::Satisfied => ("kept", "kept"),
        Verdict::Violated => ("broken", "broken"),
        Verdict::NotExercised => ("none", "not exercised"),
    }
}

/// Counts in each interval of the run.
struct Timeline {
    from: Millis,
    to: Millis,
    requests: Vec<f64>,
    kinds: Vec<[f64; KINDS.len()]>,
    bands: Vec<(Millis, Millis, String)>,
}

impl Timeline {
    fn from_trace(record: &Trace) -> Timeline {
        let times = |wanted: fn(&EventKind) -> bool| {
            record
                .events
                .iter()
                .filter(move |event| wanted(&event.kind))
                .map(|event| event.at)
        };
        let from = times(|e| matches!(e, EventKind::RequestSent { .. }))
            .next()
            .unwrap_or(0.0);
        let to = times(|e| {
            matches!(
                e,
                EventKind::ResponseReceived { .. } | EventKind::RequestFailed { .. }
            )
        })
        .next_back()
        .unwrap_or(from)
        .max(from + MARGIN_INTERVAL);
        let count = ((to - from) / MARGIN_INTERVAL).ceil() as usize + 1;
        let mut timeline = Timeline {
            from,
            to,
            requests: vec![0.0; count],
            kinds: vec![[0.0; KINDS.len()]; count],
            bands: Vec::new(),
        };
        let mut open: Vec<(String, Millis)> = Vec::new();
        for event in &record.events {
            let at = (((event.at - from) / MARGIN_INTERVAL).max(0.0) as usize).min(count - 1);
            let kind = match &event.kind {
                EventKind::RequestSent { .. } => {
                    timeline.requests[at] += 1.0;
                    continue;
                }
                EventKind::Fault {
                    name,
                    is_start: true,
                } => {
                    open.push((name.clone(), event.at));
                    continue;
                }
                EventKind::Fault {
                    name,
                    is_start: false,
                } => {
                    if let Some(index) = open.iter().position(|(known, _)| known == name) {
                        let (name, since) = open.remove(index);
                        timeline.bands.push((since, event.at, name));
                    }
                    continue;
                }
                EventKind::ResponseReceived { status: 200, .. } => 0,
                EventKind::ResponseReceived {
                    status: 429 | 503, ..
                } => 1,
                EventKind::ResponseReceived { .. } => 2,
                EventKind::RequestFailed {
                    reason: FailureReason::NotAccepted,
                    ..
                } => 3,
                EventKind::RequestFailed { .. } => 4,
                _ => continue,
            };
            timeline.kinds[at][kind] += 1.0;
        }
        let rest = open.into_iter().map(|(name, since)| (since, to, name));
        timeline.bands.extend(rest);
        timeline.bands.sort_by(|a, b| a.0.total_cmp(&b.0));
        timeline
    }

    fn x(&self, at: Millis) -> f64 {
        let fraction = ((at - self.from) / (self.to - self.from)).clamp(0.0, 1.0);
        LEFT + fraction * (WIDTH - LEFT - RIGHT)
    }
}

/// Returns a round step that divides `span` into about `parts` parts.
fn step(span: f64, parts: f64) -> f64 {
    let rough = (span / parts).max(1e-9);
    let power = 10f64.powf(rough.log10().floor());
    let factor = [1.0, 2.0, 5.0, 10.0]
        .into_iter()
        .find(|factor| factor * power >= rough);
    factor.unwrap_or(10.0) * power
}

fn plot(record: &Trace, evaluation: &Evaluation) -> String {
    let timeline = Timeline::from_trace(record);
    let per_second = 1000.0 / MARGIN_INTERVAL;
    let tallest = timeline
        .requests
        .iter()
        .copied()
        .chain(timeline.kinds.iter().map(|kinds| kinds.iter().sum()));
    let tallest = tallest.fold(1.0, f64::max) * per_second;
    let bands = timeline.bands.len() as f64 * (BAND + 2.0);
    let margins: Vec<&RuleResult> = evaluation
        .rules
        .iter()
        .filter(|rule| !rule.margins.is_empty())
        .collect();
    let below = 12.0 + TRAFFIC + 26.0;
    let height = below + bands + 8.0 + margins.len() as f64 * (MARGIN + 30.0);
    let mut svg =
        format!("<svg viewBox=\"0 0 {WIDTH} {height:.0}\" role=\"img\" aria-label=\"timeline\">");
    // Writing to a string does not fail.
    let y = |rate: f64| 12.0 + TRAFFIC * (1.0 - rate / tallest);
    let grid = step(tallest, 4.0);
    let mut rate = 0.0;
    while rate <= tallest {
        let (left, right, at) = (LEFT, WIDTH - RIGHT, y(rate));
        let _ = write!(
            svg,
            "<line x1=\"{left}\" x2=\"{right}\" y1=\"{at:.1}\" y2=\"{at:.1}\" stroke=\"#e3e6ea\"/>\
             <text x=\"{:.0}\" y=\"{:.1}\" text-anchor=\"end\">{rate:.0}/s</text>",
            LEFT - 8.0,
            at + 4.0
        );
        rate += grid;
    }
    let bar_width =
        (timeline.x(timeline.from + MARGIN_INTERVAL) - timeline.x(timeline.from)).max(0.5);
    for (at, kinds) in timeline.kinds.iter().enumerate() {
        let x = timeline.x(timeline.from + at as f64 * MARGIN_INTERVAL);
        let mut sum = 0.0;
        for (count, (_, colour)) in kinds.iter().zip(KINDS) {
            let (top, bottom) = (y((sum + count) * per_second), y(sum * per_second));
            if *count > 0.0 {
                let _ = write!(
                    svg,
                    "<rect x=\"{x:.1}\" y=\"{top:.1}\" width=\"{bar_width:.2}\" height=\"{:.1}\" fill=\"{colour}\"/>",
                    bottom - top
                );
            }
            sum += count;
        }
    }
    let requests = timeline.requests.iter().enumerate().map(|(at, count)| {
        let x = timeline.x(timeline.from + (at as f64 + 0.5) * MARGIN_INTERVAL);
        format!("{x:.1},{:.1}", y(count * per_second))
    });
    let requests: Vec<String> = requests.collect();
    let _ = write!(
        svg,
        "<polyline points=\"{}\" fill=\"none\" stroke=\"#14304f\" stroke-width=\"1.4\"/>",
        requests.join(" ")
    );
    let seconds = step((timeline.to - timeline.from) / 1000.0, 10.0);
    let mut second = 0.0;
    while second * 1000.0 <= timeline.to - timeline.from {
        let x = timeline.x(timeline.from + second * 1000.0);
        let _ = write!(
            svg,
            "<text x=\"{x:.1}\" y=\"{:.1}\" text-anchor=\"middle\">{second:.0} s</text>",
            12.0 + TRAFFIC + 16.0
        );
        second += seconds;
    }
    for (at, (from, to, name)) in timeline.bands.iter().enumerate() {
        let (x, top) = (timeline.x(*from), below + at as f64 * (BAND + 2.0));
        let band_width = (timeline.x(*to) - x).max(3.0);
        // A name that does not fit to the right of its band is written to the left.
        let (text_x, anchor) = if x + band_width > WIDTH * 0.72 {
            (x - 5.0, "end")
        } else {
            (x + band_width + 5.0, "start")
        };
        let _ = write!(
            svg,
            "<rect x=\"{x:.1}\" y=\"{top:.1}\" width=\"{band_width:.1}\" height=\"{BAND}\" rx=\"2\" fill=\"#b9c4d6\"/>\
             <text x=\"{text_x:.1}\" y=\"{:.1}\" text-anchor=\"{anchor}\">{}</text>",
            top + 12.0,
            escape(name)
        );
    }
    for (at, result) in margins.iter().enumerate() {
        let top = below + bands + 30.0 + at as f64 * (MARGIN + 30.0);
        margin(&mut svg, &timeline, result, top);
    }
    svg.push_str("</svg>");
    svg
}

/// Plots a rule's margin: the minimum of each interval. The rule is violated below zero.
fn margin(svg: &mut String, timeline: &Timeline, result: &RuleResult, top: f64) {
    let max = result
        .margins
        .iter()
        .map(|(_, margin)| *margin)
        .fold(f64::MIN, f64::max)
        .max(1e-9);
    let min = result
        .margins
        .iter()
        .map(|(_, margin)| *margin)
        .fold(0.0, f64::min);
    let y = |margin: f64| top + MARGIN * (1.0 - (margin - min) / (max - min));
    let zero = y(0.0);
    let _ = write!(
        svg,
        "<text x=\"{LEFT}\" y=\"{:.1}\">rule {}, {}: {}</text>\
         <line x1=\"{LEFT}\" x2=\"{}\" y1=\"{zero:.1}\" y2=\"{zero:.1}\" stroke=\"#a1123f\" stroke-dasharray=\"4 3\"/>\
         <text x=\"{:.0}\" y=\"{:.1}\" text-anchor=\"end\">0</text>\
         <text x=\"{:.0}\" y=\"{:.1}\" text-anchor=\"end\">{max:.3}</text>",
        top - 6.0,
        result.rule,
        escape(result.name),
        escape(result.margin_unit),
        WIDTH - RIGHT,
        LEFT - 8.0,
        zero + 4.0,
        LEFT - 8.0,
        top + 8.0
    );
    for (at, margin) in &result.margins {
        let colour = if *margin < 0.0 { "#a1123f" } else { "#14304f" };
        let _ = write!(
            svg,
            "<circle cx=\"{:.1}\" cy=\"{:.1}\" r=\"2\" fill=\"{colour}\"/>",
            timeline.x(at + MARGIN_INTERVAL / 2.0),
            y(*margin)
        );
    }
}

/// Returns the page.
pub fn page(record: &Trace, evaluation: &Evaluation) -> String {
    let metrics = &evaluation.metrics;
    let name = escape(&evaluation.scenario);
    let (class, summary) = match (&evaluation.invalid_reason, evaluation.has_violations()) {
        (_, true) => ("broken", "a rule was broken".to_owned()),
        (Some(reason), _) => ("none", format!("void: {}", escape(reason))),
        (None, false) => ("kept", "every exercised rule held".to_owned()),
    };
    let mut page = format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{name} (seed {seed})</title>\
         <meta name=\"viewport\" content=\"width=device-width\"><style>{STYLE}</style>\
         <h1>{name}, seed {seed}</h1><p class=\"{class}\">{summary}</p>",
        seed = evaluation.seed
    );
    page.push_str(
        "<h2>Rules</h2><table><tr><th>rule<th>verdict<th class=n>tested<th>by<th>min margin</tr>",
    );
    for result in &evaluation.rules {
        let (class, label) = verdict_label(result.verdict);
        let margin = result
            .margin
            .map(|margin| format!("{margin:.2} {}", escape(result.margin_unit)));
        let _ = write!(
            page,
            "<tr><td>{} {}<td class=\"{class}\">{label}<td class=n>{}<td>{}<td>{}</tr>",
            result.rule,
            escape(result.name),
            result.tested,
            escape(result.tested_by),
            margin.unwrap_or_default()
        );
    }
    page.push_str("</table>");
    for result in evaluation
        .rules
        .iter()
        .filter(|result| result.violation_count > 0)
    {
        let _ = write!(
            page,
            "<h2>Rule {}, {}: {} violations</h2><table><tr><th class=n>ms<th>request<th>what<th>lines</tr>",
            result.rule,
            escape(result.name),
            result.violation_count
        );
        for violation in &result.violations {
            let lines: Vec<String> = violation.trace_lines.iter().map(usize::to_string).collect();
            let _ = write!(
                page,
                "<tr><td class=n>{:.1}<td><code>{}</code><td>{}<td>{}</tr>",
                violation.at,
                escape(&violation.request),
                escape(&violation.description),
                lines.join(", ")
            );
        }
        page.push_str("</table>");
    }
    page.push_str("<h2>Timeline</h2><p>");
    let _ = write!(
        page,
        "<span style=\"color:#14304f\">&#9473;</span> client attempts &nbsp;"
    );
    for (kind, colour) in KINDS {
        let _ = write!(
            page,
            "<span style=\"color:{colour}\">&#9632;</span> {kind} &nbsp;"
        );
    }
    let _ = write!(
        page,
        "(a bar is {MARGIN_INTERVAL} ms; failures as bands below; margins last)</p>"
    );
    page.push_str(&plot(record, evaluation));
    page.push_str("<h2>Figures</h2><table>");
    let failed: Vec<String> = metrics
        .failed
        .iter()
        .map(|(status, n)| format!("{n} x {status}"))
        .collect();
    let plans: Vec<String> = metrics
        .value_by_plan
        .iter()
        .map(|(plan, share)| format!("{} {share:.3}", escape(plan)))
        .collect();
    let times = metrics.latency;
    let rows = [
        (
            "value served in time, inside quotas",
            format!("{:.3} ({})", metrics.value_share, plans.join(", ")),
        ),
        (
            "requests, client attempts",
            format!("{}, {}", metrics.requests, metrics.client_requests),
        ),
        ("served", metrics.served.to_string()),
        (
            "rejected, with and without Retry-After",
            format!(
                "{}, {}",
                metrics.rejected_with_retry_after, metrics.rejected_without_retry_after
            ),
        ),
        ("failed", failed.join(", ")),
        (
            "not accepted; closed before forwarding; no complete response",
            format!(
                "{}; {}; {}",
                metrics.not_accepted, metrics.closed_before_forwarding, metrics.unanswered
            ),
        ),
        (
            "latency of served requests, ms",
            format!(
                "p50 {:.0}, p90 {:.0}, p99 {:.0}, max {:.0}",
                times.p50_ms, times.p90_ms, times.p99_ms, times.max_ms
            ),
        ),
        (
            "attempts per forwarded request",
            format!("{:.3}", metrics.attempts_per_forwarded),
        ),
        (
            "CPU of the gateways per client attempt",
            format!("{:.0} us", metrics.cpu_us_per_request),
        ),
        (
            "peak memory of a gateway",
            format!("{} KiB", metrics.max_memory_kib),
        ),
        (
            "malformed clients, of them neglected",
            format!(
                "{}, {}",
                metrics.malformed_clients, metrics.malformed_clients_neglected
            ),
        ),
        (
            "lateness of the test servers, ms",
            format!(
                "p99 {:.2}, max {:.1}, over {} actions",
                metrics.lateness_p99_ms, metrics.lateness_max_ms, metrics.actions
            ),
        ),
    ];
    for (name, value) in rows {
        let _ = write!(page, "<tr><td>{name}<td>{value}</tr>");
    }
    page.push_str("</table></html>\n");
    page
}

#[cfg(test)]
mod tests {
    use super::*;
    use maplefall_event_trace::{Event, Header, Rules, VERSION};

    #[test]
    fn page_is_self_contained_and_escapes_its_texts() {
        let rules = Rules::platform(100.0);
        let header = Header {
            version: VERSION,
            scenario: "<b>x</b>".into(),
            seed: 1,
            proxies: 1,
            classes: Vec::new(),
            plans: Vec::new(),
            rules,
        };
        let failure = |at, begins| Event {
            at,
            kind: EventKind::Fault {
                name: "a & b".into(),
                is_start: begins,
            },
        };
        let record = Trace {
            header,
            events: vec![failure(5.0, true), failure(900.0, false)],
        };
        let page = page(&record, &maplefall_invariants::evaluate(&record));
        assert!(
            page.contains("&lt;b&gt;x&lt;/b&gt;")
                && page.contains("a &amp; b")
                && !page.contains("<b>")
        );
        for outside in ["http://", "https://", "src=", "@import", "url("] {
            assert!(!page.contains(outside), "{outside}");
        }
    }

    #[test]
    fn steps_are_round_numbers() {
        assert_eq!(
            [step(100.0, 4.0), step(23.0, 10.0), step(0.7, 4.0)],
            [50.0, 5.0, 0.2]
        );
    }
}
