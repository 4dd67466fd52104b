//! What is taken of a line, by hand and at random.

use maplefall_discovery_agent::{line, Line, Word, MAX_NAME_BYTES};
use maplefall_protocol::Health::{self, Draining, Removed, Up};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use serde_json::{json, Value};

fn entry(host: &str, health: &str, born_ms: f64) -> Value {
    json!({"host": host, "dial": "10.1.0.18:9000", "site": "a", "class": "m2", "block": 3, "health": health,
           "share": 1.0, "born_ms": born_ms})
}

fn word(hosts: &[Value]) -> Word {
    let text = json!({"seq": 9, "whole": true, "hosts": hosts}).to_string();
    match line(text.as_bytes()) {
        Ok(Line::Word(word)) => word,
        other => panic!("{other:?} from {text}"),
    }
}

fn states(word: &Word) -> Vec<(&str, Health)> {
    word.members
        .hosts
        .iter()
        .map(|member| (member.host.as_str(), member.health))
        .collect()
}

/// What is left of the entries that were passed over.
fn left(word: &Word) -> Vec<(&str, Option<Health>)> {
    let left = word
        .passed_over
        .iter()
        .filter_map(|rejected| rejected.partial.as_ref());
    left.map(|spoilt| (spoilt.host.as_str(), spoilt.stop))
        .collect()
}

/// Guards the list against one bad entry: the others are taken, and a stop is taken from whatever still tells one.
#[test]
fn one_spoilt_entry_spoils_no_other() {
    let spoil = |field: &str, value: Value, health: &str| {
        let mut spoilt = entry("bad", health, 0.0);
        spoilt[field] = value;
        spoilt
    };
    let ways = [
        ("dial", json!("nowhere")),
        ("dial", json!(7)),
        ("block", json!(-1)),
        ("share", json!("much")),
        ("share", json!(-0.5)),
        ("born_ms", json!("today")),
        ("born_ms", json!(-5.0)),
        ("site", json!(["a"])),
    ];
    for (field, value) in ways {
        for (health, stop) in [
            ("up", None),
            ("draining", Some(Draining)),
            ("removed", Some(Removed)),
        ] {
            let bad = spoil(field, value.clone(), health);
            let word = word(&[
                entry("a", "up", 0.0),
                bad.clone(),
                entry("b", "draining", 0.0),
            ]);
            assert_eq!(states(&word), [("a", Up), ("b", Draining)], "{bad}");
            assert_eq!(left(&word), [("bad", stop)], "{bad}");
            assert!(!word.passed_over[0].reason.is_empty());
        }
    }
}

#[test]
fn an_entry_without_a_readable_name_is_passed_over_whole() {
    for nameless in [
        json!(null),
        json!(3),
        json!({}),
        json!({"host": 5, "health": "draining"}),
        entry("", "up", 0.0),
    ] {
        let word = word(&[nameless.clone(), entry("a", "up", 0.0)]);
        assert_eq!(states(&word), [("a", Up)], "{nameless}");
        assert_eq!(
            (word.passed_over.len(), left(&word).len()),
            (1, 0),
            "{nameless}"
        );
    }
    let long = "x".repeat(MAX_NAME_BYTES + 1);
    assert_eq!(left(&word(&[entry(&long, "draining", 0.0)])), []);
    // A state that nobody knows says nothing of the backend.
    assert_eq!(left(&word(&[entry("a", "resting", 0.0)])), [("a", None)]);
}

#[test]
fn a_name_that_stands_twice_in_a_line_holds_by_its_latest_start_and_its_strongest_stop() {
    let word = word(&[
        entry("a", "up", 5.0),
        entry("a", "draining", 5.0),
        entry("b", "removed", 5.0),
        entry("b", "up", 6.0),
        entry("c", "removed", 5.0),
        entry("c", "draining", 5.0),
    ]);
    assert_eq!(states(&word), [("a", Draining), ("b", Up), ("c", Removed)]);
}

#[test]
fn what_is_no_line_is_told_and_an_empty_one_says_that_nothing_changed() {
    for empty in ["", " ", "\r"] {
        assert_eq!(line(empty.as_bytes()).unwrap(), Line::Heartbeat);
    }
    let no_lines = [
        "{",
        "[]",
        "7",
        "{\"seq\":1}",
        "{\"seq\":-1,\"whole\":true,\"hosts\":[]}",
        "{\"seq\":1,\"whole\":true,\"hosts\":{}}",
        "{\"seq\":1,\"whole\":\"yes\",\"hosts\":[]}",
        "\u{fffd}",
    ];
    for text in no_lines {
        assert!(
            line(text.as_bytes())
                .unwrap_err()
                .to_string()
                .starts_with("unreadable line: "),
            "{text}"
        );
    }
}

/// Any value where an entry should be.
fn anything() -> impl Strategy<Value = Value> {
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

    /// Whatever stands beside them, good entries are taken as they are, and each other one is passed over or usable.
    #[test]
    fn good_entries_are_taken_whatever_stands_beside_them(
        others in proptest::collection::vec(anything(), 0..6), at in 0usize..6,
    ) {
        let good = [entry("a", "up", 3.0), entry("b", "draining", 0.0)];
        let mut hosts = others.clone();
        hosts.insert(at.min(hosts.len()), good[0].clone());
        hosts.push(good[1].clone());
        let word = word(&hosts);
        prop_assert!(states(&word).contains(&("a", Up)) && states(&word).contains(&("b", Draining)));
        prop_assert!(word.members.hosts.len() + word.passed_over.len() <= hosts.len());
        for member in &word.members.hosts {
            prop_assert!(member.share >= 0.0 && member.born_ms >= 0.0 && !member.host.is_empty());
        }
    }

    /// Bytes of any kind end in a line or an error, never in a panic.
    #[test]
    fn any_bytes_are_a_line_or_an_error(text in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = line(&text);
    }
}
