//! Tests of the settings file of shared counts.

use super::*;

/// Guards the shipped example: a copy of it must be valid.
#[test]
fn shipped_example_is_valid() {
    let text = include_str!("../../../../../deploy/shared-counts.toml");
    assert!(
        is_counts_file(text) && !is_counts_file(include_str!("../../../../../deploy/grpc.toml"))
    );
    let settings = parse(text, None).unwrap();
    assert_eq!((settings.seeds.len(), settings.sharing.key.len()), (2, 32));
}

#[test]
fn reports_all_errors_with_their_fields() {
    let text =
        "cluster = \"\"\ngossip = \"0.0.0.0:7946\"\nseeds = [\"a\", \"127.0.0.1:0\"]\nkey = \"zz\"\n\
                interval_ms = 0\nepochs_kept = 1\nmost_members = 1000000\nsuspect_phi = nan\n";
    let found = parse(text, None).unwrap_err();
    let begins = [
        "seeds.0:",
        "seeds.1:",
        "advertise:",
        "key:",
        "interval_ms:",
        "epochs_kept:",
        "most_members:",
        "suspect_phi:",
        "cluster:",
    ];
    for begin in begins {
        assert!(
            found.iter().any(|line| line.starts_with(begin)),
            "{begin} {found:#?}"
        );
    }
    assert_eq!(found.len(), begins.len(), "{found:#?}");
    let no_key = parse(
        "cluster = \"a\"\ngossip = \"127.0.0.1:1\"\nseeds = []\n",
        None,
    )
    .unwrap_err();
    assert!(no_key[0].contains("either key or key_file"), "{no_key:?}");
    assert!(parse("gossip = 3", None).is_err());
}
