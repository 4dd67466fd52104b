//! What goes to the service and what comes back of it: which headers of the caller are sent, which are taken from it, and
//! for how long its word may be kept. No I/O.

use http::header::{
    Entry, HeaderMap, HeaderName, HeaderValue, CACHE_CONTROL, CONNECTION, CONTENT_LENGTH, EXPECT,
    HOST, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{Method, Uri};
use maplefall_policy::Millis;
use std::net::IpAddr;

/// Headers that belong to one connection (RFC 9110, 7.6.1) or to a body that is not sent along.
const NOT_SENT: [HeaderName; 8] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    HOST,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];
/// More of the former, without names of their own in the library.
const NOT_SENT_TEXT: [&str; 3] = ["keep-alive", "proxy-connection", "proxy-authenticate"];
/// What the gateways in the field tell the service of the request (Traefik ForwardAuth, Caddy `forward_auth`, oauth2-proxy).
const FORWARDED: [HeaderName; 5] = [
    HeaderName::from_static("x-forwarded-method"),
    HeaderName::from_static("x-forwarded-proto"),
    HeaderName::from_static("x-forwarded-host"),
    HeaderName::from_static("x-forwarded-uri"),
    HeaderName::from_static("x-forwarded-for"),
];

/// Which headers go where.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Headers {
    /// Headers that say who the caller is: what a question's key is made of.
    pub credentials: Vec<HeaderName>,
    /// Headers of a pass that go on to the backend; a client's own are stripped, so that nobody can forge them.
    pub onward: Vec<HeaderName>,
    /// Bytes of names and values that are taken from an answer at most.
    pub max_bytes: usize,
}

/// The headers of an answer that count are larger than is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLarge;

/// The request as the service is told of it.
#[derive(Clone, Copy, Debug)]
pub struct RequestContext<'a> {
    /// Its method.
    pub method: &'a Method,
    /// Its target.
    pub uri: &'a Uri,
    /// The host that it names.
    pub host: &'a str,
    /// `http` or `https`.
    pub proto: &'static str,
    /// Where it comes from.
    pub peer: IpAddr,
}

impl Headers {
    /// Takes from a client's request what only the service or this gateway may say. Comes before anything else is done
    /// with it.
    pub fn strip(&self, headers: &mut HeaderMap) {
        for name in self.onward.iter().chain(&FORWARDED) {
            headers.remove(name);
        }
    }

    /// The parts of a question's key: each credential in its order, all of its values, or none.
    pub fn credentials<'a>(
        &'a self,
        headers: &'a HeaderMap,
    ) -> impl Iterator<Item = Option<Vec<u8>>> + 'a {
        self.credentials.iter().map(|name| {
            let mut values = headers.get_all(name).iter().peekable();
            values.peek()?;
            // Several values are told apart by their lengths.
            let mut part = Vec::new();
            for value in values {
                part.extend((value.len() as u64).to_be_bytes());
                part.extend(value.as_bytes());
            }
            Some(part)
        })
    }

    /// The headers of the sub-request: the caller's, but for those of its connection and body, and what the request is.
    pub fn sub_request(&self, headers: &HeaderMap, about: &RequestContext<'_>) -> HeaderMap {
        let mut sent = headers.clone();
        // Whatever the connection names is of the connection too.
        let named: Vec<HeaderName> = headers
            .get_all(CONNECTION)
            .iter()
            .filter_map(|value| value.to_str().ok())
            .flat_map(|value| value.split(','))
            .filter_map(|name| name.trim().parse().ok())
            .collect();
        for name in named.iter().chain(&NOT_SENT) {
            sent.remove(name);
        }
        for name in NOT_SENT_TEXT {
            sent.remove(name);
        }
        let peer = about.peer.to_string();
        let target = about
            .uri
            .path_and_query()
            .map_or("/", |target| target.as_str());
        for (name, value) in FORWARDED.iter().zip([
            about.method.as_str(),
            about.proto,
            about.host,
            target,
            &peer,
        ]) {
            // A host with bytes that no header may hold is not told; none of the others can have any.
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

    /// The headers of a pass that go on to the backend.
    ///
    /// # Errors
    /// If they are larger than is taken.
    pub fn headers_for_backend(
        &self,
        answer: &HeaderMap,
    ) -> Result<Vec<(HeaderName, HeaderValue)>, TooLarge> {
        let listed = self
            .onward
            .iter()
            .flat_map(|name| answer.get_all(name).iter().map(move |value| (name, value)));
        self.within(
            listed
                .map(|(name, value)| (name.clone(), value.clone()))
                .collect(),
        )
    }

    /// The headers of a denial that go back to the client: all but those of its connection, so that a redirect and a
    /// challenge pass through whole.
    ///
    /// # Errors
    /// If they are larger than is taken.
    pub fn headers_for_client(
        &self,
        answer: &HeaderMap,
    ) -> Result<Vec<(HeaderName, HeaderValue)>, TooLarge> {
        let of_connection =
            |name: &HeaderName| NOT_SENT.contains(name) || NOT_SENT_TEXT.contains(&name.as_str());
        let kept = answer.iter().filter(|(name, _)| !of_connection(name));
        self.within(
            kept.map(|(name, value)| (name.clone(), value.clone()))
                .collect(),
        )
    }

    fn within(
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

/// For how long an answer may be kept (RFC 9111, 5.2.2): its `max-age`, nothing with `no-store` or `no-cache`, `None` if it
/// does not say. What cannot be read is taken for nothing: a verdict that is kept for too long is the worse mistake.
pub fn cache_ttl(answer: &HeaderMap) -> Option<Millis> {
    let mut found: Option<Millis> = None;
    for value in answer.get_all(CACHE_CONTROL) {
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
                    // Of two that differ the shorter holds.
                    found = Some(found.unwrap_or(f64::INFINITY).min(seconds * 1000.0));
                }
                _ => {}
            }
        }
    }
    found
}

#[cfg(test)]
mod tests {
    use super::*;

    fn map(lines: &[(&str, &str)]) -> HeaderMap {
        let mut map = HeaderMap::new();
        for (name, value) in lines {
            map.append(name.parse::<HeaderName>().unwrap(), value.parse().unwrap());
        }
        map
    }

    fn rules() -> Headers {
        Headers {
            credentials: vec!["authorization".parse().unwrap(), "cookie".parse().unwrap()],
            onward: vec!["remote-user".parse().unwrap()],
            max_bytes: 100,
        }
    }

    #[test]
    fn what_only_the_service_or_the_gateway_may_say_cannot_be_forged() {
        let mut headers = map(&[
            ("Remote-User", "admin"),
            ("remote-user", "root"),
            ("X-Forwarded-For", "10.0.0.1"),
            ("X-Forwarded-Uri", "/public"),
            ("Accept", "a"),
        ]);
        rules().strip(&mut headers);
        assert_eq!(
            headers.keys().map(HeaderName::as_str).collect::<Vec<_>>(),
            ["accept"]
        );
    }

    #[test]
    fn the_sub_request_has_the_callers_headers_and_tells_what_is_asked() {
        let headers = map(&[
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
        let about = RequestContext {
            method: &method,
            uri: &uri,
            host: "api.example",
            proto: "https",
            peer,
        };
        let sent = rules().sub_request(&headers, &about);
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
        let split = RequestContext {
            host: "a\r\nX-Admin: 1",
            ..about
        };
        let sent = rules().sub_request(&map(&[("x-forwarded-host", "b")]), &split);
        assert_eq!(sent.get("x-forwarded-host"), None);
    }

    #[test]
    fn only_listed_headers_go_on_and_a_challenge_comes_back_whole() {
        let answer = map(&[
            ("Remote-User", "ana"),
            ("X-Other", "1"),
            ("WWW-Authenticate", "Bearer"),
            ("WWW-Authenticate", "Basic"),
            ("Connection", "close"),
            ("Content-Length", "3"),
        ]);
        let onward = rules().headers_for_backend(&answer).unwrap();
        assert_eq!(
            onward
                .iter()
                .map(|(name, _)| name.as_str())
                .collect::<Vec<_>>(),
            ["remote-user"]
        );
        let back = rules().headers_for_client(&answer).unwrap();
        let names: Vec<&str> = back.iter().map(|(name, _)| name.as_str()).collect();
        assert_eq!(
            names,
            [
                "remote-user",
                "x-other",
                "www-authenticate",
                "www-authenticate"
            ]
        );
        let long = map(&[("Remote-User", &"x".repeat(100))]);
        assert_eq!(
            (
                rules().headers_for_backend(&long),
                rules().headers_for_client(&long)
            ),
            (Err(TooLarge), Err(TooLarge))
        );
    }

    #[test]
    fn credentials_that_differ_in_any_value_differ() {
        let rules = rules();
        let parts = |lines: &[(&str, &str)]| rules.credentials(&map(lines)).collect::<Vec<_>>();
        let lists = [
            parts(&[]),
            parts(&[("authorization", "")]),
            parts(&[("authorization", "ab")]),
            parts(&[("cookie", "ab")]),
            parts(&[("authorization", "a"), ("authorization", "b")]),
            parts(&[("authorization", "a, b")]),
        ];
        for (at, list) in lists.iter().enumerate() {
            assert!(
                lists[at + 1..].iter().all(|other| other != list),
                "{list:?}"
            );
        }
        assert_eq!(
            parts(&[("accept", "x"), ("cookie", "ab")]),
            lists[3],
            "nothing else counts"
        );
    }

    #[test]
    fn an_answer_is_kept_for_as_long_as_it_says_and_no_longer() {
        let kept = |lines: &[&str]| {
            cache_ttl(&map(&lines
                .iter()
                .map(|line| ("cache-control", *line))
                .collect::<Vec<_>>()))
        };
        assert_eq!(kept(&[]), None);
        assert_eq!(kept(&["public"]), None);
        assert_eq!(kept(&["private, max-age=30"]), Some(30_000.0));
        assert_eq!(kept(&["Max-Age=\"5\""]), Some(5000.0));
        assert_eq!(kept(&["max-age=30", "max-age=10"]), Some(10_000.0));
        for none in [
            "no-store",
            "max-age=30, no-cache",
            "max-age=-1",
            "max-age=soon",
            "max-age=99999999999",
        ] {
            assert_eq!(kept(&[none]), Some(0.0), "{none}");
        }
    }
}
