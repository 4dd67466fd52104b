//! Headers of sub-requests and their responses: which headers of a request are sent to the service,
//! which of a response are used, and for how long a verdict may be cached. No I/O.

use http::header::{
    Entry, HeaderMap, HeaderName, HeaderValue, CACHE_CONTROL, CONNECTION, CONTENT_LENGTH, EXPECT,
    HOST, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{Method, Uri};
use maplefall_policy::Millis;
use std::net::IpAddr;

/// Headers that belong to one connection (RFC 9110, 7.6.1) or to the body, which is not forwarded.
const NOT_FORWARDED: [HeaderName; 8] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    HOST,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];
/// Headers that belong to one connection and for which the `http` crate has no constants.
const NOT_FORWARDED_TEXT: [&str; 3] = ["keep-alive", "proxy-connection", "proxy-authenticate"];
/// Headers that describe the request to the service, as other gateways send them (Traefik
/// ForwardAuth, Caddy `forward_auth`, oauth2-proxy).
const X_FORWARDED: [HeaderName; 5] = [
    HeaderName::from_static("x-forwarded-method"),
    HeaderName::from_static("x-forwarded-proto"),
    HeaderName::from_static("x-forwarded-host"),
    HeaderName::from_static("x-forwarded-uri"),
    HeaderName::from_static("x-forwarded-for"),
];

/// Which headers are sent to the service, to the backend and to the client.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Headers {
    /// Headers that identify the caller; the key of a check is made of them.
    pub credentials: Vec<HeaderName>,
    /// Headers of a pass that are forwarded to the backend; `onward` in the settings file. They are
    /// removed from clients' requests, so that no client can forge them.
    pub onward: Vec<HeaderName>,
    /// Maximum bytes of the names and values that are taken from a response.
    pub max_bytes: usize,
}

/// The headers to take from a response exceed [`Headers::max_bytes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLarge;

/// Properties of a request that are sent to the authentication service besides its headers.
#[derive(Clone, Copy, Debug)]
pub struct RequestContext<'a> {
    /// The request's method.
    pub method: &'a Method,
    /// The request's target.
    pub uri: &'a Uri,
    /// The host that the request names.
    pub host: &'a str,
    /// `http` or `https`.
    pub proto: &'static str,
    /// The client's address.
    pub peer: IpAddr,
}

impl Headers {
    /// Removes from a client's headers those that only the service or this gateway may set. Has to
    /// run before the request is processed in any other way.
    pub fn strip(&self, headers: &mut HeaderMap) {
        for name in self.onward.iter().chain(&X_FORWARDED) {
            headers.remove(name);
        }
    }

    /// The parts of a check's key: for each header that identifies the caller, in order, all its
    /// values, or `None` if the request lacks the header.
    pub fn credentials<'a>(
        &'a self,
        headers: &'a HeaderMap,
    ) -> impl Iterator<Item = Option<Vec<u8>>> + 'a {
        self.credentials.iter().map(|name| {
            let mut values = headers.get_all(name).iter().peekable();
            values.peek()?;
            // The length before each value distinguishes several values from a single one.
            let mut part = Vec::new();
            for value in values {
                part.extend((value.len() as u64).to_be_bytes());
                part.extend(value.as_bytes());
            }
            Some(part)
        })
    }

    /// The headers of the sub-request: the client's without those of its connection and body, and
    /// those that describe the request.
    pub fn sub_request(&self, headers: &HeaderMap, context: &RequestContext<'_>) -> HeaderMap {
        let mut sent = headers.clone();
        // Headers that `Connection` names belong to the connection too.
        let named_by_connection: Vec<HeaderName> = headers
            .get_all(CONNECTION)
            .iter()
            .filter_map(|value| value.to_str().ok())
            .flat_map(|value| value.split(','))
            .filter_map(|name| name.trim().parse().ok())
            .collect();
        for name in named_by_connection.iter().chain(&NOT_FORWARDED) {
            sent.remove(name);
        }
        for name in NOT_FORWARDED_TEXT {
            sent.remove(name);
        }
        let peer = context.peer.to_string();
        let target = context
            .uri
            .path_and_query()
            .map_or("/", |target| target.as_str());
        for (name, value) in X_FORWARDED.iter().zip([
            context.method.as_str(),
            context.proto,
            context.host,
            target,
            &peer,
        ]) {
            // A host with bytes that are invalid in a header is left out; the other values contain
            // no such bytes.
            match (HeaderValue::from_str(value), sent.entry(name)) {
                (Ok(value), entry) => {
                    entry_insert(entry, value);
                }
                (Err(_), Entry::Occupied(entry)) => {
                    entry.remove();
                }
                (Err(_), Entry::Vacant(_)) => {}
            }
        }
        sent
    }

    /// The headers of a pass that are forwarded to the backend.
    ///
    /// # Errors
    /// [`TooLarge`] if they exceed the maximum.
    pub fn headers_for_backend(
        &self,
        response: &HeaderMap,
    ) -> Result<Vec<(HeaderName, HeaderValue)>, TooLarge> {
        let listed = self.onward.iter().flat_map(|name| {
            response
                .get_all(name)
                .iter()
                .map(move |value| (name, value))
        });
        self.check_size(
            listed
                .map(|(name, value)| (name.clone(), value.clone()))
                .collect(),
        )
    }

    /// The headers of a denial that are sent to the client: all but those of the service's
    /// connection, so that redirects and challenges reach the client unchanged.
    ///
    /// # Errors
    /// [`TooLarge`] if they exceed the maximum.
    pub fn headers_for_client(
        &self,
        response: &HeaderMap,
    ) -> Result<Vec<(HeaderName, HeaderValue)>, TooLarge> {
        let is_of_connection = |name: &HeaderName| {
            NOT_FORWARDED.contains(name) || NOT_FORWARDED_TEXT.contains(&name.as_str())
        };
        let kept = response.iter().filter(|(name, _)| !is_of_connection(name));
        self.check_size(
            kept.map(|(name, value)| (name.clone(), value.clone()))
                .collect(),
        )
    }

    fn check_size(
        &self,
        headers: Vec<(HeaderName, HeaderValue)>,
    ) -> Result<Vec<(HeaderName, HeaderValue)>, TooLarge> {
        let bytes: usize = headers
            .iter()
            .map(|(name, value)| name.as_str().len() + value.len())
            .sum();
        match bytes <= self.max_bytes {
            true => Ok(headers),
            false => Err(TooLarge),
        }
    }
}

fn entry_insert(entry: Entry<'_, HeaderValue>, value: HeaderValue) {
    match entry {
        Entry::Occupied(mut entry) => {
            entry.insert(value);
        }
        Entry::Vacant(entry) => {
            entry.insert(value);
        }
    }
}

/// For how long a response may be cached (RFC 9111, 5.2.2): its `max-age`, 0 with `no-store` or
/// `no-cache`, `None` without any of them. A malformed value counts as 0, since caching a verdict
/// for too long is worse than not caching it.
pub fn cache_ttl(response: &HeaderMap) -> Option<Millis> {
    let mut ttl: Option<Millis> = None;
    for value in response.get_all(CACHE_CONTROL) {
        let Ok(text) = value.to_str() else {
            return Some(0.0);
        };
        for directive in text.split(',') {
            let (name, value) = directive.split_once('=').unwrap_or((directive, ""));
            match name.trim().to_ascii_lowercase().as_str() {
                "no-store" | "no-cache" => return Some(0.0),
                "max-age" => {
                    let seconds = value
                        .trim()
                        .trim_matches('"')
                        .parse::<u32>()
                        .map_or(0.0, f64::from);
                    // Of several `max-age` values the shortest applies.
                    ttl = Some(ttl.unwrap_or(f64::INFINITY).min(seconds * 1000.0));
                }
                _ => {}
            }
        }
    }
    ttl
}

#[cfg(test)]
mod tests {
    use super::*;

    fn header_map(lines: &[(&str, &str)]) -> HeaderMap {
        let mut map = HeaderMap::new();
        for (name, value) in lines {
            map.append(name.parse::<HeaderName>().unwrap(), value.parse().unwrap());
        }
        map
    }

    fn header_rules() -> Headers {
        Headers {
            credentials: vec!["authorization".parse().unwrap(), "cookie".parse().unwrap()],
            onward: vec!["remote-user".parse().unwrap()],
            max_bytes: 100,
        }
    }

    #[test]
    fn strip_removes_headers_that_a_client_could_forge() {
        let mut headers = header_map(&[
            ("Remote-User", "admin"),
            ("remote-user", "root"),
            ("X-Forwarded-For", "10.0.0.1"),
            ("X-Forwarded-Uri", "/public"),
            ("Accept", "a"),
        ]);
        header_rules().strip(&mut headers);
        assert_eq!(
            headers.keys().map(HeaderName::as_str).collect::<Vec<_>>(),
            ["accept"]
        );
    }

    #[test]
    fn sub_request_has_the_clients_headers_and_describes_the_request() {
        let headers = header_map(&[
            ("Authorization", "Bearer a"),
            ("Content-Length", "5"),
            ("Transfer-Encoding", "chunked"),
            ("Connection", "close, x-hop"),
            ("X-Hop", "1"),
            ("Keep-Alive", "3"),
            ("X-Forwarded-Uri", "/public"),
        ]);
        let (method, uri): (Method, Uri) = (Method::POST, "/cobro/7?lot=3".parse().unwrap());
        let peer = "192.0.2.7".parse().unwrap();
        let context = RequestContext {
            method: &method,
            uri: &uri,
            host: "api.example",
            proto: "https",
            peer,
        };
        let sent = header_rules().sub_request(&headers, &context);
        let mut lines: Vec<String> = sent
            .iter()
            .map(|(name, value)| format!("{name}: {}", value.to_str().unwrap()))
            .collect();
        lines.sort();
        let expected = [
            "authorization: Bearer a",
            "x-forwarded-for: 192.0.2.7",
            "x-forwarded-host: api.example",
            "x-forwarded-method: POST",
            "x-forwarded-proto: https",
            "x-forwarded-uri: /cobro/7?lot=3",
        ];
        assert_eq!(lines, expected);
        let malformed_host = RequestContext {
            host: "a\r\nX-Admin: 1",
            ..context
        };
        let sent =
            header_rules().sub_request(&header_map(&[("x-forwarded-host", "b")]), &malformed_host);
        assert_eq!(sent.get("x-forwarded-host"), None);
    }

    #[test]
    fn backend_gets_only_listed_headers_and_client_gets_the_whole_challenge() {
        let response = header_map(&[
            ("Remote-User", "ana"),
            ("X-Other", "1"),
            ("WWW-Authenticate", "Bearer"),
            ("WWW-Authenticate", "Basic"),
            ("Connection", "close"),
            ("Content-Length", "3"),
        ]);
        let for_backend = header_rules().headers_for_backend(&response).unwrap();
        assert_eq!(
            for_backend
                .iter()
                .map(|(name, _)| name.as_str())
                .collect::<Vec<_>>(),
            ["remote-user"]
        );
        let for_client = header_rules().headers_for_client(&response).unwrap();
        let names: Vec<&str> = for_client.iter().map(|(name, _)| name.as_str()).collect();
        assert_eq!(
            names,
            [
                "remote-user",
                "x-other",
                "www-authenticate",
                "www-authenticate"
            ]
        );
        let long = header_map(&[("Remote-User", &"x".repeat(100))]);
        assert_eq!(
            (
                header_rules().headers_for_backend(&long),
                header_rules().headers_for_client(&long)
            ),
            (Err(TooLarge), Err(TooLarge))
        );
    }

    #[test]
    fn different_values_of_credentials_have_different_parts() {
        let rules = header_rules();
        let parts =
            |lines: &[(&str, &str)]| rules.credentials(&header_map(lines)).collect::<Vec<_>>();
        let lists = [
            parts(&[]),
            parts(&[("authorization", "")]),
            parts(&[("authorization", "ab")]),
            parts(&[("cookie", "ab")]),
            parts(&[("authorization", "a"), ("authorization", "b")]),
            parts(&[("authorization", "a, b")]),
        ];
        for (index, list) in lists.iter().enumerate() {
            assert!(
                lists[index + 1..].iter().all(|other| other != list),
                "{list:?}"
            );
        }
        assert_eq!(
            parts(&[("accept", "x"), ("cookie", "ab")]),
            lists[3],
            "other headers do not count"
        );
    }

    #[test]
    fn ttl_follows_cache_control_and_is_zero_when_malformed() {
        let ttl = |lines: &[&str]| {
            cache_ttl(&header_map(
                &lines
                    .iter()
                    .map(|line| ("cache-control", *line))
                    .collect::<Vec<_>>(),
            ))
        };
        assert_eq!(ttl(&[]), None);
        assert_eq!(ttl(&["public"]), None);
        assert_eq!(ttl(&["private, max-age=30"]), Some(30_000.0));
        assert_eq!(ttl(&["Max-Age=\"5\""]), Some(5000.0));
        assert_eq!(ttl(&["max-age=30", "max-age=10"]), Some(10_000.0));
        for not_cacheable in [
            "no-store",
            "max-age=30, no-cache",
            "max-age=-1",
            "max-age=soon",
            "max-age=99999999999",
        ] {
            assert_eq!(ttl(&[not_cacheable]), Some(0.0), "{not_cacheable}");
        }
    }
}
