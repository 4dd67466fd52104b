use super::*;
use proptest::prelude::*;

#[test]
fn longest_match_wins() {
    let entries = [
        ("*", 0),
        ("/lot.*", 1),
        ("/lot.Session/*", 2),
        ("/lot.Session/Charge", 3),
        ("/lot.v2.*", 4),
    ];
    let routes = Routes::new(entries).unwrap();
    let expected = [
        ("/lot.Session/Charge", Some(3)),
        ("/lot.Session/Start", Some(2)),
        ("/lot.Other/Charge", Some(1)),
        ("/lot.v2.Session/Charge", Some(4)),
        ("/lot/Charge", Some(0)),
        ("/lots.Session/Charge", Some(0)),
        ("/lot.Session/Charge/More", None),
        ("/lot.Session", None),
        ("/lot.Session/", None),
        ("lot.Session/Charge", None),
    ];
    for (path, route) in expected {
        assert_eq!(routes.find(path), route, "{path}");
    }
}

#[test]
fn every_invalid_pattern_is_reported() {
    let entries = [
        "/a.B/C", "/a.B/C", "a.B/C", "/a..B/C", "/a.B/", "/a.*/C", "/a.B/C*", "/*", "", "/a.B",
    ];
    let errors = Routes::new(entries.map(|pattern| (pattern, 0))).unwrap_err();
    assert_eq!(errors.len(), 9, "{errors:?}");
    assert_eq!(errors[0], RouteError::Duplicate("/a.B/C".to_owned()));
    let too_many: Vec<String> = (0..=MAX_ROUTES).map(|n| format!("/a.B/C{n}")).collect();
    let errors = Routes::new(too_many.iter().map(|pattern| (pattern.as_str(), 0))).unwrap_err();
    assert_eq!(errors, [RouteError::TooManyRoutes(MAX_ROUTES + 1)]);
}

proptest! {
    /// Guards against a trie that finds another route than the reference implementation.
    #[test]
    fn trie_finds_what_the_pattern_map_finds(patterns in proptest::collection::btree_set("\\*|/[ab](\\.[ab]){0,2}(/[cd*]|\\.\\*)", 0..20), paths in proptest::collection::vec("/[ab](\\.[ab]){0,3}/[cde]", 1..20)) {
        let entries = || patterns.iter().map(String::as_str).zip(0..);
        let (routes, map) = (Routes::new(entries()).unwrap(), PatternMap::new(entries()));
        for path in paths {
            prop_assert_eq!(routes.find(&path), map.find(&path), "{}", path);
        }
    }
}
