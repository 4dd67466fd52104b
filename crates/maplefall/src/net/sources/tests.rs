//! Tests of the settings file of sources.

use super::*;

/// Guards the shipped example: a copy of it must be valid.
#[test]
fn shipped_example_names_an_agent_and_an_etcd() {
    let list = parse(include_str!("../../../../../deploy/sources.toml"))
        .unwrap()
        .list;
    assert_eq!(list[0].kind, SourceKind::Agent);
    let SourceKind::Etcd { access, follow } = &list[1].kind else {
        panic!("{list:?}")
    };
    assert_eq!(
        (access.endpoints.len(), follow.prefix.as_str()),
        (3, "/maplefall")
    );
    assert!(list.iter().all(|source| source.settings.authoritative));
}

#[test]
fn reports_all_errors_with_their_fields() {
    let text = "[[source]]\nkind = \"agent\"\nprefix = \"/x\"\nbelieved_part = 2\n\
                [[source]]\nkind = \"etcd\"\nendpoints = [\"ftp://a\"]\nuser = \"u\"\nretry_ms = [5, 1]\n\
                [[source]]\nkind = \"agent\"\n[[source]]\nkind = \"file\"\n";
    let found = parse(text).unwrap_err();
    let begins = [
        "source.0.believed_part:",
        "source.0.prefix: this belongs",
        "source.1.prefix:",
        "source.1.endpoints: http://HOST:PORT",
        "source.1.user:",
        "source.1.retry_ms:",
        "source.2.name:",
        "source.2.kind:",
        "source.3.path:",
    ];
    assert_eq!(found.len(), begins.len(), "{found:#?}");
    for begin in begins {
        assert!(
            found.iter().any(|line| line.starts_with(begin)),
            "{begin} {found:#?}"
        );
    }
    let many = vec!["\"http://127.0.0.1:1\""; MAX_ENDPOINTS + 1].join(", ");
    let text = format!("[[source]]\nkind = \"etcd\"\nprefix = \"/x\"\nendpoints = [{many}]\n");
    assert!(parse(&text).unwrap_err()[0].contains("1 to 16"));
    // A node file is never authoritative, whatever its entry says.
    let list = parse("[[source]]\nkind = \"file\"\npath = \"x\"\nauthoritative = true\n")
        .unwrap()
        .list;
    assert!(!list[0].settings.authoritative);
    assert!(parse("").unwrap_err()[0].contains("1 to 8"));
    assert!(parse("[[source]]\nkind = \"zookeeper\"").unwrap_err()[0].contains("line 2"));
    assert!(
        parse("[[source]]\nkind = \"agent\"\nendpoint = 3").unwrap_err()[0].contains("endpoint")
    );
}

#[cfg(not(feature = "tls"))]
#[test]
fn https_needs_a_build_with_tls() {
    let text = "[[source]]\nkind = \"etcd\"\nprefix = \"/x\"\nendpoints = [\"https://a:1\"]\n";
    assert!(parse(text).unwrap_err()[0].contains("feature tls"));
}
