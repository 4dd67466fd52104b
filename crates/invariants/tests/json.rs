//! The JSON form of an evaluation, as written by `maplefall-rehearse judge --json`.

mod trace_builder;

use maplefall_event_trace::AttemptEnd;
use serde_json::Value;
use trace_builder::*;

fn keys(value: &Value) -> Vec<&str> {
    let object = value.as_object().expect("an object");
    let mut keys: Vec<&str> = object.keys().map(String::as_str).collect();
    keys.sort_unstable();
    keys
}

/// Guards readers of the JSON against renames in the code: the field names must be those of earlier
/// versions.
#[test]
fn an_evaluation_is_written_with_the_established_names() {
    let evaluation = TraceBuilder::default()
        .request(0.0, "a", UNSAFE)
        .attempt(5.0, 1, "a", 0)
        .ended(50.0, 1, AttemptEnd::Error)
        .response(60.0, "a", 429, None)
        .evaluate();
    let json = serde_json::to_value(&evaluation).expect("an evaluation is JSON");
    assert_eq!(
        keys(&json),
        ["figures", "rules", "scenario", "seed", "void"]
    );
    let rule = &json["rules"][1];
    assert_eq!(
        keys(rule),
        [
            "breaks",
            "findings",
            "margin",
            "margin_at",
            "margin_unit",
            "margins",
            "name",
            "rule",
            "tested",
            "tested_by",
            "verdict"
        ]
    );
    assert_eq!(rule["verdict"], "broken");
    assert_eq!(json["rules"][0]["verdict"], "kept");
    assert_eq!(json["rules"][4]["verdict"], "not_exercised");
    assert_eq!(
        keys(&rule["findings"][0]),
        ["at", "lines", "request", "text"]
    );
    let metrics = &json["figures"];
    assert_eq!(
        keys(metrics),
        [
            "actions",
            "attempts_per_sent",
            "closed_unsent",
            "cpu_us_per_try",
            "failed",
            "late_most_ms",
            "late_p99_ms",
            "memory_kib",
            "not_taken",
            "refused",
            "refused_with_advice",
            "requests",
            "rude",
            "rude_neglected",
            "seconds",
            "served",
            "times",
            "tries",
            "unanswered",
            "worth_by_plan",
            "worth_share"
        ]
    );
    assert_eq!(
        keys(&metrics["times"]),
        ["most_ms", "p50_ms", "p90_ms", "p99_ms"]
    );
}
