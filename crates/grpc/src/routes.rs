//! Which class a method belongs to: a trie over the words of `/package.Service/Method`, the longest match first.

use std::collections::BTreeMap;

/// Most routes of a table.
pub const MOST_ROUTES: usize = 65_536;
/// Longest path that is looked at, in bytes.
const LONGEST_PATH: usize = 1024;

/// Why a pattern cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Wrong {
    /// It has none of the four forms.
    #[error("{0:?}: /package.Service/Method, /package.Service/*, /package.* or * was expected")]
    Pattern(String),
    /// It stands there twice.
    #[error("{0:?} stands there twice")]
    Twice(String),
    /// There are too many.
    #[error("{0} routes; {MOST_ROUTES} at most were expected")]
    TooMany(usize),
}

/// A part of a service's name, and what lies below it.
#[derive(Clone, Debug)]
struct Node<R> {
    /// Longer names, and methods: both sorted.
    words: Vec<(Box<str>, usize)>,
    methods: Vec<(Box<str>, R)>,
    /// For all methods of the service of this name.
    service: Option<R>,
    /// For all services below this name.
    package: Option<R>,
}

impl<R> Node<R> {
    fn new() -> Node<R> {
        Node {
            words: Vec::new(),
            methods: Vec::new(),
            service: None,
            package: None,
        }
    }
}

/// Routes, found by a method's path in as many steps as it has words, however many routes there are.
#[derive(Clone, Debug)]
pub struct Routes<R> {
    nodes: Vec<Node<R>>,
}

/// What a pattern is for.
enum Form<'a> {
    Method(&'a str, &'a str),
    Service(&'a str),
    Package(&'a str),
    All,
}

fn form(pattern: &str) -> Option<Form<'_>> {
    if pattern == "*" {
        return Some(Form::All);
    }
    let rest = pattern.strip_prefix('/')?;
    if let Some(package) = rest.strip_suffix(".*") {
        return good_service(package).then_some(Form::Package(package));
    }
    let (service, method) = rest.split_once('/')?;
    match method {
        _ if !good_service(service) => None,
        "*" => Some(Form::Service(service)),
        _ => good_word(method).then_some(Form::Method(service, method)),
    }
}

fn good_word(word: &str) -> bool {
    !word.is_empty()
        && word
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || byte == b'_')
}

fn good_service(service: &str) -> bool {
    service.split('.').all(good_word)
}

impl<R: Copy> Routes<R> {
    /// A table of these patterns.
    ///
    /// # Errors
    /// Every pattern that cannot be used.
    pub fn new<'a>(rows: impl IntoIterator<Item = (&'a str, R)>) -> Result<Routes<R>, Vec<Wrong>> {
        let mut routes = Routes {
            nodes: vec![Node::new()],
        };
        let mut wrong = Vec::new();
        let mut count = 0;
        for (pattern, route) in rows {
            count += 1;
            if count > MOST_ROUTES {
                continue;
            }
            let Some(form) = form(pattern) else {
                wrong.push(Wrong::Pattern(pattern.to_owned()));
                continue;
            };
            let fresh = match form {
                Form::All => routes.nodes[0].package.replace(route).is_none(),
                Form::Package(name) => {
                    let at = routes.grow(name);
                    routes.nodes[at].package.replace(route).is_none()
                }
                Form::Service(name) => {
                    let at = routes.grow(name);
                    routes.nodes[at].service.replace(route).is_none()
                }
                Form::Method(name, method) => {
                    let at = routes.grow(name);
                    let methods = &mut routes.nodes[at].methods;
                    match methods.binary_search_by(|(known, _)| (**known).cmp(method)) {
                        Ok(_) => false,
                        Err(place) => {
                            methods.insert(place, (method.into(), route));
                            true
                        }
                    }
                }
            };
            if !fresh {
                wrong.push(Wrong::Twice(pattern.to_owned()));
            }
        }
        if count > MOST_ROUTES {
            wrong.push(Wrong::TooMany(count));
        }
        if wrong.is_empty() {
            Ok(routes)
        } else {
            Err(wrong)
        }
    }

    /// The node of a service's or package's name, made where there is none.
    fn grow(&mut self, name: &str) -> usize {
        let mut at = 0;
        for word in name.split('.') {
            at = match self.nodes[at]
                .words
                .binary_search_by(|(known, _)| (**known).cmp(word))
            {
                Ok(place) => self.nodes[at].words[place].1,
                Err(place) => {
                    let new = self.nodes.len();
                    self.nodes.push(Node::new());
                    self.nodes[at].words.insert(place, (word.into(), new));
                    new
                }
            };
        }
        at
    }

    /// The route of a method's path: that of the method before that of its service, then of the nearest package.
    pub fn find(&self, path: &str) -> Option<R> {
        if path.len() > LONGEST_PATH {
            return None;
        }
        let (service, method) = path.strip_prefix('/')?.split_once('/')?;
        if method.is_empty() || method.contains('/') {
            return None;
        }
        let mut node = self.nodes.first()?;
        let mut best = node.package;
        let mut words = service.split('.').peekable();
        while let Some(word) = words.next() {
            let Ok(place) = node
                .words
                .binary_search_by(|(known, _)| (**known).cmp(word))
            else {
                return best;
            };
            node = &self.nodes[node.words[place].1];
            // A package's route is for what lies below it, not for a service of its name.
            if words.peek().is_some() {
                best = node.package.or(best);
            }
        }
        let exact = node
            .methods
            .binary_search_by(|(known, _)| (**known).cmp(method))
            .ok();
        exact
            .map(|place| node.methods[place].1)
            .or(node.service)
            .or(best)
    }
}

/// The same by a plain map of patterns, tried from the longest on: what the trie is measured against, and tested by.
#[derive(Clone, Debug, Default)]
pub struct Plain<R>(BTreeMap<String, R>);

impl<R: Copy> Plain<R> {
    /// A table of patterns that [`Routes`] can use.
    pub fn new<'a>(rows: impl IntoIterator<Item = (&'a str, R)>) -> Plain<R> {
        Plain(
            rows.into_iter()
                .map(|(pattern, route)| (pattern.to_owned(), route))
                .collect(),
        )
    }

    /// The route of a method's path.
    pub fn find(&self, path: &str) -> Option<R> {
        let (service, method) = path.strip_prefix('/')?.split_once('/')?;
        if method.is_empty() || method.contains('/') || path.len() > LONGEST_PATH {
            return None;
        }
        let mut tried = vec![path.to_owned(), format!("/{service}/*")];
        let mut package = service;
        while let Some((shorter, _)) = package.rsplit_once('.') {
            tried.push(format!("/{shorter}.*"));
            package = shorter;
        }
        tried.push("*".to_owned());
        tried
            .iter()
            .find_map(|pattern| self.0.get(pattern).copied())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn the_longest_match_is_taken() {
        let rows = [
            ("*", 0),
            ("/lot.*", 1),
            ("/lot.Session/*", 2),
            ("/lot.Session/Charge", 3),
            ("/lot.v2.*", 4),
        ];
        let routes = Routes::new(rows).unwrap();
        let found = [
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
        for (path, route) in found {
            assert_eq!(routes.find(path), route, "{path}");
        }
    }

    #[test]
    fn each_pattern_that_cannot_be_used_is_told() {
        let rows = [
            "/a.B/C", "/a.B/C", "a.B/C", "/a..B/C", "/a.B/", "/a.*/C", "/a.B/C*", "/*", "", "/a.B",
        ];
        let wrong = Routes::new(rows.map(|row| (row, 0))).unwrap_err();
        assert_eq!(wrong.len(), 9, "{wrong:?}");
        assert_eq!(wrong[0], Wrong::Twice("/a.B/C".to_owned()));
        let many: Vec<String> = (0..=MOST_ROUTES).map(|n| format!("/a.B/C{n}")).collect();
        let wrong = Routes::new(many.iter().map(|row| (row.as_str(), 0))).unwrap_err();
        assert_eq!(wrong, [Wrong::TooMany(MOST_ROUTES + 1)]);
    }

    proptest! {
        /// The trie finds what the plain map finds.
        #[test]
        fn it_finds_what_a_plain_map_finds(patterns in proptest::collection::btree_set("\\*|/[ab](\\.[ab]){0,2}(/[cd*]|\\.\\*)", 0..20), paths in proptest::collection::vec("/[ab](\\.[ab]){0,3}/[cde]", 1..20)) {
            let rows = || patterns.iter().map(String::as_str).zip(0..);
            let (routes, plain) = (Routes::new(rows()).unwrap(), Plain::new(rows()));
            for path in paths {
                prop_assert_eq!(routes.find(&path), plain.find(&path), "{}", path);
            }
        }
    }
}
