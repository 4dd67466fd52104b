//! Parsing of lines, by examples and with random entries.

use maplefall_discovery_agent::{parse_line, Line, ListUpdate, MAX_NAME_BYTES};
use maplefall_protocol::Health::{self, Draining, Removed, Up};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use serde_json::{json, Value};

fn entry(host: &str, health: &str, born_ms: f64) -> Value {
    json!({"host": host, "dial": "10.1.0.18:9000", "site": "a", "class": "m2", "block": 3, "health": health,
           "share": 1.0, "born_ms": born_ms})
}

fn parse(hosts: &[Value]) -> ListUpdate {
    let text = json!({"seq": 9, "whole": true, "hosts": hosts}).to_string();
    match parse_line(text.as_bytes()) {
        Ok(Line::Update(update)) => update,
        other => panic!("{other:?} from {text}"),
    }
}

fn states(update: &ListUpdate) -> Vec<(&str, Health)> {
    update
        .members
        .hosts
        .iter()
        .map(|member| (member.host.as_str(), member.health))
        .collect()
}

/// Returns the readable fields of the rejected entries.
fn partial_entries(update: &ListUpdate) -> Vec<(&str, Option<Health>)> {
    let partial = update
        .rejected
        .iter()
        .filter_map(|rejected| rejected.partial.as_ref());
    partial
        .map(|entry| (entry.host.as_str(), entry.stop))
        .collect()
}

/// An invalid entry does not cost the others of its line, and its stop is used if it can be read.
#[test]
fn an_invalid_entry_does_not_invalidate_others() {
    let invalid_entry = |field: &str, value: Value, health: &str| {
        let mut entry = entry("bad", health, 0.0);
        entry[field] = value;
        entry
    };
    let invalid_values = [
        ("dial", json!("nowhere")),
        ("dial", json!(7)),
        ("block", json!(-1)),
        ("share", json!("much")),
        ("share", json!(-0.5)),
        ("born_ms", json!("today")),
        ("born_ms", json!(-5.0)),
        ("site", json!(["a"])),
    ];
    for (field, value) in invalid_values {
        for (health, stop) in [
            ("up", None),
            ("draining", Some(Draining)),
            ("removed", Some(Removed)),
        ] {
            let invalid = invalid_entry(field, value.clone(), health);
            let update = parse(&[
                entry("a", "up", 0.0),
                invalid.clone(),
                entry("b", "draining", 0.0),
            ]);
            assert_eq!(states(&update), [("a", Up), ("b", Draining)], "{invalid}");
            assert_eq!(partial_entries(&update), [("bad", stop)], "{invalid}");
            assert!(!update.rejected[0].reason.is_empty());
        }
    }
}

/// Nothing is used of an entry without a usable name.
#[test]
fn an_entry_without_a_name_is_rejected() {
    for nameless in [
        json!(null),
        json!(3),
        json!({}),
        json!({"host": 5, "health": "draining"}),
        entry("", "up", 0.0),
    ] {
        let update = parse(&[nameless.clone(), entry("a", "up", 0.0)]);
        assert_eq!(states(&update), [("a", Up)], "{nameless}");
        assert_eq!(
            (update.rejected.len(), partial_entries(&update).len()),
            (1, 0),
            "{nameless}"
        );
    }
    let long = "x".repeat(MAX_NAME_BYTES + 1);
    assert_eq!(
        partial_entries(&parse(&[entry(&long, "draining", 0.0)])),
        []
    );
    // An unknown state is not a stop.
    assert_eq!(
        partial_entries(&parse(&[entry("a", "resting", 0.0)])),
        [("a", None)]
    );
}

/// A name that occurs more than once in a line gets one entry.
#[test]
fn of_duplicate_entries_the_latest_start_and_the_strongest_stop_is_used() {
    let update = parse(&[
        entry("a", "up", 5.0),
        entry("a", "draining", 5.0),
        entry("b", "removed", 5.0),
        entry("b", "up", 6.0),
        entry("c", "removed", 5.0),
        entry("c", "draining", 5.0),
    ]);
    assert_eq!(
        states(&update),
        [("a", Draining), ("b", Up), ("c", Removed)]
    );
}

/// Empty and malformed lines are not updates.
#[test]
fn empty_lines_are_heartbeats_and_malformed_ones_errors() {
    for empty in ["", " ", "\r"] {
        assert_eq!(parse_line(empty.as_bytes()).unwrap(), Line::Heartbeat);
    }
    let malformed = [
        "{",
        "[]",
        "7",
        "{\"seq\":1}",
        "{\"seq\":-1,\"whole\":true,\"hosts\":[]}",
        "{\"seq\":1,\"whole\":true,\"hosts\":{}}",
        "{\"seq\":1,\"whole\":\"yes\",\"hosts\":[]}",
        "\u{fffd}",
    ];
    for text in malformed {
        assert!(
            parse_line(text.as_bytes())
                .unwrap_err()
                .to_string()
                .starts_with("unreadable line: "),
            "{text}"
        );
    }
}

/// Generates any value in place of an entry.
fn any_entry() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        any::<u64>().prop_map(Value::from),
        "[a-z:.0-9]{0,12}".prop_map(Value::from),
    ];
    prop_oneof![
        leaf.clone(),
        (
            proptest::sample::select(vec![
                "host", "dial", "site", "block", "health", "share", "born_ms"
            ]),
            leaf
        )
            .prop_map(|(field, value)| {
                let mut entry = entry("bad", "draining", 1.0);
                entry[field] = value;
                entry
            }),
    ]
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(38), failure_persistence: None, ..Config::default() })]

    /// Valid entries are used unchanged beside any others, and each other entry is either rejected
    /// or valid.
    #[test]
    fn valid_entries_are_used_whatever_the_others_are(
        others in proptest::collection::vec(any_entry(), 0..6), index in 0usize..6,
    ) {
        let valid = [entry("a", "up", 3.0), entry("b", "draining", 0.0)];
        let mut hosts = others.clone();
        hosts.insert(index.min(hosts.len()), valid[0].clone());
        hosts.push(valid[1].clone());
        let update = parse(&hosts);
        prop_assert!(states(&update).contains(&("a", Up)) && states(&update).contains(&("b", Draining)));
        prop_assert!(update.members.hosts.len() + update.rejected.len() <= hosts.len());
        for member in &update.members.hosts {
            prop_assert!(member.share >= 0.0 && member.born_ms >= 0.0 && !member.host.is_empty());
        }
    }

    /// Any bytes are either parsed as a line or rejected with an error.
    #[test]
    fn any_bytes_are_parsed_or_rejected(text in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = parse_line(&text);
    }
}
