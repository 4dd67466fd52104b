//! The report as one page that needs nothing but itself: verdicts, a timeline of traffic, answers, failures and margins,
//! the figures, and what proves each break.

use maplefall_event_trace::{EventKind, FailureReason, Millis, Trace};
use maplefall_invariants::{Evaluation, RuleResult, Verdict, MARGIN_INTERVAL};
use std::fmt::Write;

const WIDTH: f64 = 1080.0;
const LEFT: f64 = 64.0;
const RIGHT: f64 = 16.0;
const TRAFFIC: f64 = 240.0;
const BAND: f64 = 16.0;
const MARGIN: f64 = 64.0;

/// Kinds of answers: name, colour.
const KINDS: [(&str, &str); 5] = [
    ("served", "#2f7d4f"),
    ("refused", "#d9a521"),
    ("failed", "#c2572b"),
    ("not taken", "#7a7f87"),
    ("no whole answer", "#9b1c4a"),
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

fn word(verdict: Verdict) -> (&'static str, &'static str) {
    match verdict {
        Verdict::Satisfied => ("kept", "kept"),
        Verdict::Violated => ("broken", "broken"),
        Verdict::NotExercised => ("none", "not exercised"),
    }
}

/// What happened in each stretch of time.
struct Timeline {
    from: Millis,
    to: Millis,
    asked: Vec<f64>,
    kinds: Vec<[f64; KINDS.len()]>,
    bands: Vec<(Millis, Millis, String)>,
}

impl Timeline {
    fn of(record: &Trace) -> Timeline {
        let times = |wanted: fn(&EventKind) -> bool| {
            record
                .events
                .iter()
                .filter(move |line| wanted(&line.kind))
                .map(|line| line.at)
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
        let mut line = Timeline {
            from,
            to,
            asked: vec![0.0; count],
            kinds: vec![[0.0; KINDS.len()]; count],
            bands: Vec::new(),
        };
        let mut open: Vec<(String, Millis)> = Vec::new();
        for seen in &record.events {
            let at = (((seen.at - from) / MARGIN_INTERVAL).max(0.0) as usize).min(count - 1);
            let kind = match &seen.kind {
                EventKind::RequestSent { .. } => {
                    line.asked[at] += 1.0;
                    continue;
                }
                EventKind::Fault {
                    name,
                    is_start: true,
                } => {
                    open.push((name.clone(), seen.at));
                    continue;
                }
                EventKind::Fault {
                    name,
                    is_start: false,
                } => {
                    if let Some(place) = open.iter().position(|(known, _)| known == name) {
                        let (name, since) = open.remove(place);
                        line.bands.push((since, seen.at, name));
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
            line.kinds[at][kind] += 1.0;
        }
        let rest = open.into_iter().map(|(name, since)| (since, to, name));
        line.bands.extend(rest);
        line.bands.sort_by(|a, b| a.0.total_cmp(&b.0));
        line
    }

    fn x(&self, at: Millis) -> f64 {
        let part = ((at - self.from) / (self.to - self.from)).clamp(0.0, 1.0);
        LEFT + part * (WIDTH - LEFT - RIGHT)
    }
}

/// A round step that divides a span in about so many parts.
fn step(span: f64, parts: f64) -> f64 {
    let rough = (span / parts).max(1e-9);
    let power = 10f64.powf(rough.log10().floor());
    let whole = [1.0, 2.0, 5.0, 10.0]
        .into_iter()
        .find(|whole| whole * power >= rough);
    whole.unwrap_or(10.0) * power
}

fn plot(record: &Trace, judgement: &Evaluation) -> String {
    let line = Timeline::of(record);
    let per_second = 1000.0 / MARGIN_INTERVAL;
    let tallest = line
        .asked
        .iter()
        .copied()
        .chain(line.kinds.iter().map(|kinds| kinds.iter().sum()));
    let tallest = tallest.fold(1.0, f64::max) * per_second;
    let bands = line.bands.len() as f64 * (BAND + 2.0);
    let margins: Vec<&RuleResult> = judgement
        .rules
        .iter()
        .filter(|rule| !rule.margins.is_empty())
        .collect();
    let below = 12.0 + TRAFFIC + 26.0;
    let height = below + bands + 8.0 + margins.len() as f64 * (MARGIN + 30.0);
    let mut svg =
        format!("<svg viewBox=\"0 0 {WIDTH} {height:.0}\" role=\"img\" aria-label=\"timeline\">");
    // A string takes any text; the errors are those of a writer that can fail.
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
    let wide = (line.x(line.from + MARGIN_INTERVAL) - line.x(line.from)).max(0.5);
    for (at, kinds) in line.kinds.iter().enumerate() {
        let x = line.x(line.from + at as f64 * MARGIN_INTERVAL);
        let mut sum = 0.0;
        for (count, (_, colour)) in kinds.iter().zip(KINDS) {
            let (top, bottom) = (y((sum + count) * per_second), y(sum * per_second));
            if *count > 0.0 {
                let _ = write!(
                    svg,
                    "<rect x=\"{x:.1}\" y=\"{top:.1}\" width=\"{wide:.2}\" height=\"{:.1}\" fill=\"{colour}\"/>",
                    bottom - top
                );
            }
            sum += count;
        }
    }
    let asked = line.asked.iter().enumerate().map(|(at, count)| {
        let x = line.x(line.from + (at as f64 + 0.5) * MARGIN_INTERVAL);
        format!("{x:.1},{:.1}", y(count * per_second))
    });
    let asked: Vec<String> = asked.collect();
    let _ = write!(
        svg,
        "<polyline points=\"{}\" fill=\"none\" stroke=\"#14304f\" stroke-width=\"1.4\"/>",
        asked.join(" ")
    );
    let seconds = step((line.to - line.from) / 1000.0, 10.0);
    let mut second = 0.0;
    while second * 1000.0 <= line.to - line.from {
        let x = line.x(line.from + second * 1000.0);
        let _ = write!(
            svg,
            "<text x=\"{x:.1}\" y=\"{:.1}\" text-anchor=\"middle\">{second:.0} s</text>",
            12.0 + TRAFFIC + 16.0
        );
        second += seconds;
    }
    for (at, (from, to, name)) in line.bands.iter().enumerate() {
        let (x, top) = (line.x(*from), below + at as f64 * (BAND + 2.0));
        let wide = (line.x(*to) - x).max(3.0);
        // A name that finds no room behind its band stands before it.
        let (text_x, anchor) = if x + wide > WIDTH * 0.72 {
            (x - 5.0, "end")
        } else {
            (x + wide + 5.0, "start")
        };
        let _ = write!(
            svg,
            "<rect x=\"{x:.1}\" y=\"{top:.1}\" width=\"{wide:.1}\" height=\"{BAND}\" rx=\"2\" fill=\"#b9c4d6\"/>\
             <text x=\"{text_x:.1}\" y=\"{:.1}\" text-anchor=\"{anchor}\">{}</text>",
            top + 12.0,
            escape(name)
        );
    }
    for (at, ruling) in margins.iter().enumerate() {
        let top = below + bands + 30.0 + at as f64 * (MARGIN + 30.0);
        margin(&mut svg, &line, ruling, top);
    }
    svg.push_str("</svg>");
    svg
}

/// One rule's margin: the least of each stretch, from nought, where the rule breaks, up.
fn margin(svg: &mut String, line: &Timeline, ruling: &RuleResult, top: f64) {
    let most = ruling
        .margins
        .iter()
        .map(|(_, margin)| *margin)
        .fold(f64::MIN, f64::max)
        .max(1e-9);
    let least = ruling
        .margins
        .iter()
        .map(|(_, margin)| *margin)
        .fold(0.0, f64::min);
    let y = |margin: f64| top + MARGIN * (1.0 - (margin - least) / (most - least));
    let nought = y(0.0);
    let _ = write!(
        svg,
        "<text x=\"{LEFT}\" y=\"{:.1}\">rule {}, {}: {}</text>\
         <line x1=\"{LEFT}\" x2=\"{}\" y1=\"{nought:.1}\" y2=\"{nought:.1}\" stroke=\"#a1123f\" stroke-dasharray=\"4 3\"/>\
         <text x=\"{:.0}\" y=\"{:.1}\" text-anchor=\"end\">0</text>\
         <text x=\"{:.0}\" y=\"{:.1}\" text-anchor=\"end\">{most:.3}</text>",
        top - 6.0,
        ruling.rule,
        escape(ruling.name),
        escape(ruling.margin_unit),
        WIDTH - RIGHT,
        LEFT - 8.0,
        nought + 4.0,
        LEFT - 8.0,
        top + 8.0
    );
    for (at, margin) in &ruling.margins {
        let colour = if *margin < 0.0 { "#a1123f" } else { "#14304f" };
        let _ = write!(
            svg,
            "<circle cx=\"{:.1}\" cy=\"{:.1}\" r=\"2\" fill=\"{colour}\"/>",
            line.x(at + MARGIN_INTERVAL / 2.0),
            y(*margin)
        );
    }
}

/// The whole page.
pub fn page(record: &Trace, judgement: &Evaluation) -> String {
    let figures = &judgement.metrics;
    let name = escape(&judgement.scenario);
    let (class, said) = match (&judgement.invalid_reason, judgement.has_violations()) {
        (_, true) => ("broken", "a rule was broken".to_owned()),
        (Some(void), _) => ("none", format!("void: {}", escape(void))),
        (None, false) => (
            "kept",
            "every rule that was put to the test held".to_owned(),
        ),
    };
    let mut page = format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{name} (seed {seed})</title>\
         <meta name=\"viewport\" content=\"width=device-width\"><style>{STYLE}</style>\
         <h1>{name}, seed {seed}</h1><p class=\"{class}\">{said}</p>",
        seed = judgement.seed
    );
    page.push_str(
        "<h2>Rules</h2><table><tr><th>rule<th>verdict<th class=n>tested<th>by<th>least margin</tr>",
    );
    for ruling in &judgement.rules {
        let (class, word) = word(ruling.verdict);
        let margin = ruling
            .margin
            .map(|least| format!("{least:.2} {}", escape(ruling.margin_unit)));
        let _ = write!(
            page,
            "<tr><td>{} {}<td class=\"{class}\">{word}<td class=n>{}<td>{}<td>{}</tr>",
            ruling.rule,
            escape(ruling.name),
            ruling.tested,
            escape(ruling.tested_by),
            margin.unwrap_or_default()
        );
    }
    page.push_str("</table>");
    for ruling in judgement
        .rules
        .iter()
        .filter(|ruling| ruling.violation_count > 0)
    {
        let _ = write!(
            page,
            "<h2>Rule {}, {}: {} breaks</h2><table><tr><th class=n>ms<th>request<th>what<th>lines</tr>",
            ruling.rule,
            escape(ruling.name),
            ruling.violation_count
        );
        for finding in &ruling.violations {
            let lines: Vec<String> = finding.trace_lines.iter().map(usize::to_string).collect();
            let _ = write!(
                page,
                "<tr><td class=n>{:.1}<td><code>{}</code><td>{}<td>{}</tr>",
                finding.at,
                escape(&finding.request),
                escape(&finding.description),
                lines.join(", ")
            );
        }
        page.push_str("</table>");
    }
    page.push_str("<h2>Timeline</h2><p>");
    let _ = write!(
        page,
        "<span style=\"color:#14304f\">&#9473;</span> tries asked &nbsp;"
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
    page.push_str(&plot(record, judgement));
    page.push_str("<h2>Figures</h2><table>");
    let failed: Vec<String> = figures
        .failed
        .iter()
        .map(|(status, n)| format!("{n} x {status}"))
        .collect();
    let plans: Vec<String> = figures
        .value_by_plan
        .iter()
        .map(|(plan, share)| format!("{} {share:.3}", escape(plan)))
        .collect();
    let times = figures.latency;
    let rows = [
        (
            "worth served in time, inside quotas",
            format!("{:.3} ({})", figures.value_share, plans.join(", ")),
        ),
        (
            "requests, tries",
            format!("{}, {}", figures.requests, figures.client_requests),
        ),
        ("served", figures.served.to_string()),
        (
            "refused, with and without a word on when to come back",
            format!(
                "{}, {}",
                figures.rejected_with_retry_after, figures.rejected_without_retry_after
            ),
        ),
        ("failed", failed.join(", ")),
        (
            "not taken; closed with nothing sent on; no whole answer",
            format!(
                "{}; {}; {}",
                figures.not_accepted, figures.closed_before_forwarding, figures.unanswered
            ),
        ),
        (
            "time to a served answer, ms",
            format!(
                "p50 {:.0}, p90 {:.0}, p99 {:.0}, most {:.0}",
                times.p50_ms, times.p90_ms, times.p99_ms, times.max_ms
            ),
        ),
        (
            "attempts for each request sent on",
            format!("{:.3}", figures.attempts_per_forwarded),
        ),
        (
            "CPU of the front doors for each try",
            format!("{:.0} us", figures.cpu_us_per_request),
        ),
        (
            "most memory of a front door",
            format!("{} KiB", figures.max_memory_kib),
        ),
        (
            "bad clients, of them neglected",
            format!(
                "{}, {}",
                figures.malformed_clients, figures.malformed_clients_neglected
            ),
        ),
        (
            "the stand-ins' own lateness, ms",
            format!(
                "p99 {:.2}, most {:.1}, over {} actions",
                figures.lateness_p99_ms, figures.lateness_max_ms, figures.actions
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
    fn a_page_needs_nothing_but_itself_and_escapes_what_it_shows() {
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
    fn steps_are_round() {
        assert_eq!(
            [step(100.0, 4.0), step(23.0, 10.0), step(0.7, 4.0)],
            [50.0, 5.0, 0.2]
        );
    }
}
