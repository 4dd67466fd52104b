//! Tests of the settings file of forward authentication.

use super::*;

fn classes() -> (Vec<String>, Vec<Idempotency>) {
    (
        vec!["consulta".to_owned(), "cobro".to_owned()],
        vec![Idempotency::Idempotent, Idempotency::NonIdempotent],
    )
}

/// Guards the shipped example: a copy of it must be valid.
#[test]
fn shipped_example_is_valid() {
    let text = include_str!("../../../../../deploy/forward-auth.toml");
    assert!(
        is_auth_file(text) && !is_auth_file(include_str!("../../../../../deploy/sources.toml"))
    );
    let settings = parse(text, None).unwrap();
    assert_eq!(
        (settings.servers.len(), settings.servers[0].target.path()),
        (2, "/oauth2/auth")
    );
}

#[test]
fn classes_are_off_closed_or_open_and_non_idempotent_classes_are_never_open() {
    let (names, idempotency) = classes();
    let text = |modes: &str| {
        format!("servers = [\"http://127.0.0.1:1/a\"]\ncredentials = [\"authorization\"]\nclasses = {modes}\n")
    };
    let settings = parse(
        &text("{ consulta = \"open\" }"),
        Some((&names, &idempotency)),
    )
    .unwrap();
    assert_eq!(
        (settings.checked, settings.gate.fail_open),
        (vec![true, false], vec![true, false])
    );
    let wrong = parse(&text("{ cobro = \"open\" }"), Some((&names, &idempotency))).unwrap_err();
    assert!(wrong[0].contains("never fails open"), "{wrong:?}");
    let wrong = parse(&text("{ pago = \"closed\" }"), Some((&names, &idempotency))).unwrap_err();
    assert!(
        wrong[0].contains("classes.pago: one of consulta, cobro"),
        "{wrong:?}"
    );
}

#[test]
fn reports_all_errors_with_their_fields() {
    let text = "servers = [\"https://a/b\", \"127.0.0.1:3\"]\nclasses = {}\ncredentials = []\n\
                onward = [\"host\", \"a b\"]\nshare = 2.0\npause_ms = [5, 1]\nanswer_bytes = 1\nidle_close_ms = 1\n";
    let found = parse(text, None).unwrap_err();
    let begins = [
        "servers.0:",
        "servers.1:",
        "credentials:",
        "onward.1:",
        "onward: host",
        "share:",
        "pause:",
        "answer_bytes:",
        "idle_close_ms:",
    ];
    for begin in begins {
        assert!(
            found.iter().any(|line| line.starts_with(begin)),
            "{begin} {found:#?}"
        );
    }
    assert_eq!(found.len(), begins.len(), "{found:#?}");
    assert!(parse("server = 3", None).unwrap_err()[0].contains("unknown field"));
}
