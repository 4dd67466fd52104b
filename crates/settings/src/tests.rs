use super::*;
use maplefall_policy::{DedupScope, Discovery, Idempotency, RateLimit, Settings};

#[test]
fn missing_settings_take_their_defaults() {
    let text = "fleet_size=3\nplans.count=1\nplans.0.per_second=2.5\nplans.0.cap_rate=5\nnew.key=x\n\
                grades.count=1\ngrades.0.idempotency=keyed\ngrades.0.group=zone\ngrades.0.memory_span=6000\n\
                report.names=depth,strange,concurrent\nregistry_mode=on_request";
    let ParsedSettings {
        settings, metrics, ..
    } = parse(text).unwrap();
    assert_eq!((settings.gateways, settings.plans[0].rate), (3, 2.5));
    assert_eq!(
        settings.plans[0].rate_limit,
        Some(RateLimit {
            rate: 5.0,
            burst: 0.0,
            slack: 0.0
        })
    );
    assert_eq!(
        settings.classes[0].idempotency,
        Idempotency::Keyed {
            scope: DedupScope::Zone,
            window: 6000.0
        }
    );
    assert_eq!(settings.discovery, Discovery::OnRequest);
    assert_eq!(settings.max_attempts, Settings::default().max_attempts);
    let report = super::report(&metrics, &[4.0, 9.0, 6.0]);
    assert_eq!(
        (report.queue, report.in_flight, report.utilisation),
        (Some(4.0), Some(6.0), None)
    );
}

/// Guards against errors that come up one after the other: all must be reported together.
#[test]
fn all_invalid_values_are_reported_together() {
    let text =
        "tick=soon\nplans.count=1\nplans.0.per_second=much\ngrades.count=99999999999\nreport.via=post";
    let errors = parse_all(text).unwrap_err();
    let expected = [
        "settings: grades.count=99999999999 is over 4096",
        "settings: tick=soon cannot be read",
        "settings: plans.0.per_second=much cannot be read",
        "settings: report.via=post is not a known choice",
    ];
    let occurrences = |text: &&str| errors.iter().filter(|error| error == text).count();
    assert_eq!(
        expected.iter().map(occurrences).collect::<Vec<_>>(),
        [1, 1, 1, 1],
        "{errors:#?}"
    );
}

#[test]
fn errors_name_the_path() {
    assert_eq!(
        parse("tick=soon").unwrap_err(),
        "settings: tick=soon cannot be read"
    );
    assert_eq!(
        parse("registry_mode=maybe").unwrap_err(),
        "settings: registry_mode=maybe is not a known choice"
    );
    assert!(parse("extra.meter=NaN")
        .unwrap_err()
        .contains("extra.meter"));
}

#[test]
fn nested_settings_become_path_value_lines() {
    let value = serde_json::json!({
        "tick": 2.0, "zones": ["a b", "c"], "none": null, "report": {"names": []},
        "plans": [{"name": "x,y", "max_out": 2}], "policy_limits": {"cancel": true},
    });
    let text = to_lines(&value);
    let mut lines: Vec<&str> = text.lines().collect();
    lines.sort_unstable();
    let expected = [
        "plans.0.max_out=2",
        "plans.0.name=x_y",
        "plans.count=1",
        "policy_limits.cancel=true",
        "report.names=",
        "tick=2.0",
        "zones=a_b,c",
    ];
    assert_eq!(lines, expected);
}
