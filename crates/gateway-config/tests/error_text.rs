//! Tests of the bodies of error responses, which operators' tools parse.

use maplefall_gateway_config::{ConfigError, ItemKind};

/// Guards against changes of the text and the status of each error.
#[test]
fn each_error_has_its_text_and_status() {
    let malformed = ConfigError::Malformed {
        field: "body",
        reason: "no \"object\"".into(),
    };
    let invalid_field = ConfigError::InvalidField {
        kind: ItemKind::Tenant,
        name: "t\"1".into(),
        version: 0xab,
        field: "RatePerS",
        reason: "none".into(),
    };
    let unknown_service = ConfigError::UnknownService {
        route: "r1".into(),
        version: 9,
        service: "s1".into(),
    };
    let duplicate_route = ConfigError::DuplicateRoute {
        route: "r1".into(),
        version: 9,
        other: "r2".into(),
    };
    let duplicate_key = ConfigError::DuplicateKey {
        tenant: "t1".into(),
        version: 9,
        other: "t2".into(),
    };
    let version_conflict = ConfigError::VersionConflict {
        kind: ItemKind::Limits,
        name: String::new(),
        version: u32::MAX,
    };
    for (error, text, status, permanent) in [
        (
            malformed,
            r#"step=read field=body why="no \"object\"""#,
            400,
            true,
        ),
        (
            invalid_field,
            r#"step=check list=Tenants item="t\"1" version=000000ab field=RatePerS why="none""#,
            400,
            true,
        ),
        (
            unknown_service,
            r#"step=join list=RouteTable item="r1" version=00000009 field=Service unknown="s1" why="unknown service""#,
            400,
            false,
        ),
        (
            duplicate_route,
            r#"step=join list=RouteTable item="r1" version=00000009 field=PathPrefix same_as="r2" why="host and prefix of another route""#,
            400,
            false,
        ),
        (
            duplicate_key,
            r#"step=join list=Tenants item="t1" version=00000009 field=ApiKeys same_as="t2" why="key of another tenant""#,
            400,
            false,
        ),
        (
            version_conflict,
            r#"step=join list=Limits item="" version=ffffffff why="taken with another content""#,
            409,
            false,
        ),
    ] {
        assert_eq!(error.to_string(), text);
        assert_eq!((error.status(), error.is_permanent()), (status, permanent));
    }
}
