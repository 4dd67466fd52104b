//! Method routes: a trie over the segments of `/package.Service/Method` between dots and slashes
//! (path form: `PROTOCOL-HTTP2.md`, "Requests"), in which the longest match wins.
//!
//! Patterns, from the most to the least specific: `/package.Service/Method`, `/package.Service/*`,
//! `/package.*` and `*`. Invariant: [`Routes::find`] agrees with [`PatternMap::find`], the
//! reference implementation.

use std::collections::BTreeMap;

/// Maximum number of routes in a table; [`Routes::new`] reports a larger table as an error.
pub const MAX_ROUTES: usize = 65_536;
/// Maximum length of a path in bytes; a longer path has no route.
const MAX_PATH_BYTES: usize = 1024;

/// Error in a route table.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RouteError {
    /// The pattern has none of the four forms.
    #[error("{0:?}: /package.Service/Method, /package.Service/*, /package.* or * was expected")]
    InvalidPattern(String),
    /// The pattern is given twice.
    #[error("{0:?} stands there twice")]
    Duplicate(String),
    /// The table has this many patterns, more than [`MAX_ROUTES`].
    #[error("{0} routes; {MAX_ROUTES} at most were expected")]
    TooManyRoutes(usize),
}

/// A node of the trie, for a prefix of a service's name.
#[derive(Clone, Debug)]
struct Node<R> {
    /// Indexes of the nodes that are one segment longer, sorted by that segment.
    children: Vec<(Box<str>, usize)>,
    /// Routes of single methods of the service with this name, sorted by method.
    methods: Vec<(Box<str>, R)>,
    /// Route of all methods of the service with this name.
    service: Option<R>,
    /// Route of all services below the package with this name.
    package: Option<R>,
}

impl<R> Node<R> {
    fn new() -> Node<R> {
        Node {
            children: Vec::new(),
            methods: Vec::new(),
            service: None,
            package: None,
        }
    }
}

/// A route table. A look-up takes one step per segment of the path, however many routes there are.
#[derive(Clone, Debug)]
pub struct Routes<R> {
    /// Nodes of the trie; the root is at index 0.
    nodes: Vec<Node<R>>,
}

/// A parsed pattern.
enum Pattern<'a> {
    Method { service: &'a str, method: &'a str },
    Service(&'a str),
    Package(&'a str),
    All,
}

impl<'a> Pattern<'a> {
    fn parse(pattern: &'a str) -> Option<Pattern<'a>> {
        if pattern == "*" {
            return Some(Pattern::All);
        }
        let rest = pattern.strip_prefix('/')?;
        if let Some(package) = rest.strip_suffix(".*") {
            return is_service_name(package).then_some(Pattern::Package(package));
        }
        let (service, method) = rest.split_once('/')?;
        match method {
            _ if !is_service_name(service) => None,
            "*" => Some(Pattern::Service(service)),
            _ => is_identifier(method).then_some(Pattern::Method { service, method }),
        }
    }
}

fn is_identifier(name: &str) -> bool {
    !name.is_empty()
        && name
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || byte == b'_')
}

fn is_service_name(service: &str) -> bool {
    service.split('.').all(is_identifier)
}

/// Service and method of a path; `None` if the path is malformed or too long.
fn split_path(path: &str) -> Option<(&str, &str)> {
    if path.len() > MAX_PATH_BYTES {
        return None;
    }
    let (service, method) = path.strip_prefix('/')?.split_once('/')?;
    (!method.is_empty() && !method.contains('/')).then_some((service, method))
}

/// Position of `name` in a sorted list, or the position where `name` would be inserted.
fn search<T>(sorted: &[(Box<str>, T)], name: &str) -> Result<usize, usize> {
    sorted.binary_search_by(|(entry, _)| (**entry).cmp(name))
}

impl<R: Copy> Routes<R> {
    /// Builds the table from pairs of a pattern and its route.
    ///
    /// # Errors
    /// Every invalid and every duplicate pattern, and a table of more than [`MAX_ROUTES`].
    pub fn new<'a>(
        entries: impl IntoIterator<Item = (&'a str, R)>,
    ) -> Result<Routes<R>, Vec<RouteError>> {
        let mut routes = Routes {
            nodes: vec![Node::new()],
        };
        let mut errors = Vec::new();
        let mut count = 0;
        for (pattern, route) in entries {
            count += 1;
            if count > MAX_ROUTES {
                continue;
            }
            let Some(parsed) = Pattern::parse(pattern) else {
                errors.push(RouteError::InvalidPattern(pattern.to_owned()));
                continue;
            };
            if !routes.insert(parsed, route) {
                errors.push(RouteError::Duplicate(pattern.to_owned()));
            }
        }
        if count > MAX_ROUTES {
            errors.push(RouteError::TooManyRoutes(count));
        }
        if errors.is_empty() {
            Ok(routes)
        } else {
            Err(errors)
        }
    }

    /// Inserts a route; returns `false` if the pattern has a route already.
    fn insert(&mut self, pattern: Pattern<'_>, route: R) -> bool {
        match pattern {
            Pattern::All => self.nodes[0].package.replace(route).is_none(),
            Pattern::Package(name) => {
                let node = self.find_or_insert_node(name);
                self.nodes[node].package.replace(route).is_none()
            }
            Pattern::Service(name) => {
                let node = self.find_or_insert_node(name);
                self.nodes[node].service.replace(route).is_none()
            }
            Pattern::Method { service, method } => {
                let node = self.find_or_insert_node(service);
                let methods = &mut self.nodes[node].methods;
                let Err(position) = search(methods, method) else {
                    return false;
                };
                methods.insert(position, (method.into(), route));
                true
            }
        }
    }

    /// Index of the node for the name of a service or a package.
    fn find_or_insert_node(&mut self, name: &str) -> usize {
        let mut node = 0;
        for segment in name.split('.') {
            node = match search(&self.nodes[node].children, segment) {
                Ok(position) => self.nodes[node].children[position].1,
                Err(position) => {
                    let child = self.nodes.len();
                    self.nodes.push(Node::new());
                    self.nodes[node]
                        .children
                        .insert(position, (segment.into(), child));
                    child
                }
            };
        }
        node
    }

    /// The route of a method's path: the method's own, else that of its service, else that of the
    /// nearest package. `None` if there is none, and for a path that is malformed or longer than
    /// 1024 bytes.
    pub fn find(&self, path: &str) -> Option<R> {
        let (service, method) = split_path(path)?;
        let mut node = self.nodes.first()?;
        let mut package_route = node.package;
        let mut segments = service.split('.').peekable();
        while let Some(segment) = segments.next() {
            let Ok(position) = search(&node.children, segment) else {
                return package_route;
            };
            node = &self.nodes[node.children[position].1];
            // A package's route applies to the services below the package, not to a service with
            // the package's name.
            if segments.peek().is_some() {
                package_route = node.package.or(package_route);
            }
        }
        let method_route = search(&node.methods, method)
            .ok()
            .map(|position| node.methods[position].1);
        method_route.or(node.service).or(package_route)
    }
}

/// Reference implementation of the table: a map in which the patterns that match a path are looked
/// up, the most specific first. Tests compare its results with the trie's, and `examples/routes.rs`
/// compares the speed.
#[derive(Clone, Debug, Default)]
pub struct PatternMap<R>(BTreeMap<String, R>);

impl<R: Copy> PatternMap<R> {
    /// A table of patterns that [`Routes`] accepts; the patterns are not validated here.
    pub fn new<'a>(entries: impl IntoIterator<Item = (&'a str, R)>) -> PatternMap<R> {
        PatternMap(
            entries
                .into_iter()
                .map(|(pattern, route)| (pattern.to_owned(), route))
                .collect(),
        )
    }

    /// The route of a method's path, with the same result as [`Routes::find`].
    pub fn find(&self, path: &str) -> Option<R> {
        let (service, _) = split_path(path)?;
        let mut candidates = vec![path.to_owned(), format!("/{service}/*")];
        let mut package = service;
        while let Some((parent, _)) = package.rsplit_once('.') {
            candidates.push(format!("/{parent}.*"));
            package = parent;
        }
        candidates.push("*".to_owned());
        candidates
            .iter()
            .find_map(|pattern| self.0.get(pattern).copied())
    }
}

#[cfg(test)]
mod tests;
