//! The JSON form of endpoint lists. Guards against renamed fields and changed defaults on the wire.

use maplefall_protocol::{Health, Member, Members};

#[test]
fn endpoint_list_has_the_published_field_names() {
    let list = Members {
        seq: 7,
        whole: true,
        hosts: vec![Member {
            host: "a".to_owned(),
            dial: "127.0.0.1:80".parse().unwrap(),
            site: "z".to_owned(),
            block: 3,
            health: Health::Up,
            share: 0.5,
            born_ms: 1.5,
        }],
    };
    let text = r#"{"seq":7,"whole":true,"hosts":[{"host":"a","dial":"127.0.0.1:80","site":"z","block":3,"health":"up","share":0.5,"born_ms":1.5}]}"#;
    assert_eq!(serde_json::to_string(&list).unwrap(), text);
    assert_eq!(serde_json::from_str::<Members>(text).unwrap(), list);
}

#[test]
fn omitted_fields_take_their_defaults() {
    let member: Member =
        serde_json::from_str(r#"{"host":"a","dial":"[::1]:80","health":"draining"}"#).unwrap();
    assert_eq!((member.site.as_str(), member.block), ("", 0));
    assert_eq!((member.share, member.born_ms), (1.0, 0.0));
    assert_eq!(member.health, Health::Draining);
}

#[test]
fn states_are_in_lower_case() {
    for (health, text) in [
        (Health::Up, "\"up\""),
        (Health::Draining, "\"draining\""),
        (Health::Removed, "\"removed\""),
    ] {
        assert_eq!(serde_json::to_string(&health).unwrap(), text);
    }
}
