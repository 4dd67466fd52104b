use super::*;

#[test]
fn what_is_told_is_read_and_the_rest_defaulted() {
    let text = "fleet_size=3\nplans.count=1\nplans.0.per_second=2.5\nplans.0.cap_rate=5\nnew.key=x\n\
                grades.count=1\ngrades.0.idempotency=keyed\ngrades.0.group=zone\ngrades.0.memory_span=6000\n\
                report.names=depth,strange,concurrent\nregistry_mode=on_request";
    let Told {
        settings,
        metrics: order,
        ..
    } = parse(text).unwrap();
    assert_eq!((settings.gateways, settings.plans[0].rate), (3, 2.5));
    assert_eq!(
        settings.plans[0].ceiling,
        Some(Ceiling {
            rate: 5.0,
            burst: 0.0,
            slack: 0.0
        })
    );
    assert_eq!(
        settings.classes[0].effect,
        Effect::Keyed {
            group: Group::Zone,
            memory: 6000.0
        }
    );
    assert_eq!(settings.discovery, Discovery::OnRequest);
    assert_eq!(settings.max_attempts, Settings::default().max_attempts);
    let told = report(&order, &[4.0, 9.0, 6.0]);
    assert_eq!(
        (told.queue, told.in_flight, told.utilisation),
        (Some(4.0), Some(6.0), None)
    );
}

/// Guards operators against mending one mistake after the other: all are told at once.
#[test]
fn all_that_cannot_be_read_is_told_at_once() {
    let text =
        "tick=soon\nplans.count=1\nplans.0.per_second=much\ngrades.count=99999999999\nreport.via=post";
    let mistakes = parse_all(text).unwrap_err();
    let expected = [
        "settings: grades.count=99999999999 is over 4096",
        "settings: tick=soon cannot be read",
        "settings: plans.0.per_second=much cannot be read",
        "settings: report.via=post is not a known choice",
    ];
    let of = |text: &&str| mistakes.iter().filter(|mistake| mistake == text).count();
    assert_eq!(
        expected.iter().map(of).collect::<Vec<_>>(),
        [1, 1, 1, 1],
        "{mistakes:#?}"
    );
}

#[test]
fn what_cannot_be_read_is_named() {
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
fn nested_settings_become_the_facts_of_the_wire() {
    let value = serde_json::json!({
        "tick": 2.0, "zones": ["a b", "c"], "none": null, "report": {"names": []},
        "plans": [{"name": "x,y", "max_out": 2}], "policy_limits": {"cancel": true},
    });
    let text = facts(&value);
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
