//! `maplefall check` on configurations.

use super::*;

/// Guards the shipped example: a copy of it must be a valid configuration.
#[test]
fn shipped_example_has_no_errors() {
    let text = include_str!("../../../../../deploy/example.json");
    assert_eq!(config_errors(text), Vec::<String>::new());
}

#[test]
fn reports_all_errors_at_once_with_their_paths() {
    let text = r#"{"listen": "here", "seed": "xyz", "limits": {"sockets": 3},
        "known": {"seq": 1, "whole": true, "hosts": [
            {"host": "a", "dial": "127.0.0.1:1", "health": "up"}, {"host": "b", "dial": "b:1", "health": "up"}]},
        "settings": {"tick": "soon", "plans": [{"name": "x", "per_second": "much"}]}}"#;
    let found = config_errors(text);
    let begins = [
        "listen:",
        "seed:",
        "limits.sockets:",
        "known.hosts.1:",
        "settings: tick=",
        "settings: plans.0.",
    ];
    for begin in begins {
        assert!(
            found.iter().any(|line| line.starts_with(begin)),
            "{begin} {found:#?}"
        );
    }
    assert_eq!(found.len(), begins.len(), "{found:#?}");
}

#[test]
fn reports_settings_that_cannot_be_intended() {
    let with = |settings: Value| {
        let text =
            serde_json::json!({"seed": "1f", "limits": {"sockets": 64}, "settings": settings});
        config_errors(&text.to_string())
    };
    let class = |aim: f64| serde_json::json!({"name": "c", "aim": aim, "give_up": 1000.0});
    let plan =
        |burst: f64| serde_json::json!({"name": "p", "per_second": 1.0, "peak_units": burst});
    let settings = |aim: f64, burst: f64| {
        serde_json::json!({"grades": [class(aim)], "plans": [plan(burst)], "extra": {"max_units": 8},
            "policy_limits": {"send_cap": 3}})
    };
    assert_eq!(with(settings(500.0, 8.0)), Vec::<String>::new());
    assert!(
        with(settings(2000.0, 8.0))[0].contains("grades.0.aim: 2000 is over its give_up of 1000")
    );
    assert!(with(settings(500.0, 7.0))[0]
        .contains("plans.0.peak_units: 7 is under extra.max_units of 8"));
    assert_eq!(with(serde_json::json!({})).len(), 2);
    assert!(config_errors("[]")[0].contains("an object was expected"));
    assert!(config_errors("{")[0].contains("not JSON"));
}
