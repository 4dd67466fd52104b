//! Tests of the settings file of gRPC.

use super::*;

/// Guards the shipped example: it must be valid.
#[test]
fn shipped_example_is_valid() {
    let text = include_str!("../../../../../../deploy/grpc.toml");
    assert!(
        is_grpc_file(text) && !is_grpc_file(include_str!("../../../../../../deploy/sources.toml"))
    );
    assert!(!is_grpc_file(include_str!(
        "../../../../../../deploy/forward-auth.toml"
    )));
    let classes = ["consulta", "extension", "cobro"].map(str::to_owned);
    let settings = parse(text, Some(&classes)).unwrap();
    let route = settings.routes.find("/lots.v1.Sessions/Charge").unwrap();
    assert_eq!((route.class, route.shape), (ClassId(2), Shape::Unary));
    assert!(parse(text, None).is_ok());
}

#[test]
fn reports_all_errors_with_their_fields() {
    let text =
        "listen = \"here\"\nstreams = 0\nheld_bytes = 5\nidle_ms = nan\n[[route]]\nmethod = \"/a.B/C\"\n\
                class = \"pago\"\nunits = 0\n[[route]]\nmethod = \"a\"\nclass = \"cobro\"\n[[route]]\n\
                method = \"/a.B/C\"\nclass = \"cobro\"\n";
    let found = parse(text, Some(&["cobro".to_owned()])).unwrap_err();
    let begins = [
        "listen:",
        "streams:",
        "held_bytes:",
        "idle_ms:",
        "route.0.class: one of cobro",
        "route.0.units:",
        "route: \"a\":",
        "route: \"/a.B/C\" stands there twice",
    ];
    for begin in begins {
        assert!(
            found.iter().any(|line| line.starts_with(begin)),
            "{begin} {found:#?}"
        );
    }
    assert_eq!(found.len(), begins.len(), "{found:#?}");
    assert!(parse("listen = \"127.0.0.1:1\"", None).unwrap_err()[0].starts_with("route:"));
    assert!(parse("listen = \"a\"\nshape = 1", None).unwrap_err()[0].contains("unknown field"));
}
