//! What goes on to a backend, and what of its answer is passed on.

use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{
    HeaderName, HeaderValue, AUTHORIZATION, CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, EXPECT,
    HOST, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use maplefall_policy::{Millis, Outcome};

/// The id of a try.
pub const ATTEMPT_ID: HeaderName = HeaderName::from_static("x-attempt-id");
/// Milliseconds that the client will wait.
pub const TIME_REMAINING: HeaderName = HeaderName::from_static("x-time-remaining");
/// The backend that is meant.
pub const TARGET: HeaderName = HeaderName::from_static("x-target-instance");
/// Whose request it is.
pub const TENANT: HeaderName = HeaderName::from_static("x-tenant");
/// The backend's stamp on its answers.
pub const SEAL: HeaderName = HeaderName::from_static("x-server-seal");
/// The backend has not run it.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-not-executed");

/// Longest answer of a backend.
const LONGEST_ANSWER: usize = 16 << 20;

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 8] = [
    CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    HeaderName::from_static("proxy-authorization"),
];

/// A request as it goes on.
#[derive(Debug)]
pub struct ForwardedRequest {
    /// Its method.
    pub method: Method,
    /// Path and query, as they came.
    pub uri: Uri,
    /// What is passed on.
    pub headers: HeaderMap,
    /// Its id.
    pub id: Option<HeaderValue>,
    /// All of its body.
    pub body: Bytes,
}

/// A backend's answer.
#[derive(Debug)]
pub struct BackendResponse {
    /// Its status.
    pub status: StatusCode,
    /// What is passed on.
    pub headers: HeaderMap,
    /// All of its body.
    pub body: Bytes,
    /// What it means.
    pub outcome: Outcome,
    /// Somebody else is there.
    pub wrong_instance: bool,
}

/// Takes out what concerns one connection only, by name or because `Connection` says so.
pub fn end_to_end(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        // Neither side may have taken out what the other goes by.
        if ![HOST, ATTEMPT_ID, SEAL, NOT_EXECUTED].contains(&name) {
            headers.remove(name);
        }
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Whether an answer with this status promises that the request has not run and never will.
pub fn promises(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// The value of a header that stands there exactly once.
fn single<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|_| values.next().is_none())
}

/// Whether the end of an answer's body shows: by one way of framing and no other. One that ends with its connection may have been
/// cut, one that is coded is not the backend's, and one that is framed in two ways has two ends.
fn framed(method: &Method, status: StatusCode, headers: &HeaderMap) -> bool {
    let bodiless = *method == Method::HEAD
        || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    match (
        headers.contains_key(CONTENT_LENGTH),
        headers.contains_key(TRANSFER_ENCODING),
    ) {
        (false, false) => bodiless,
        (true, false) => single(headers, &CONTENT_LENGTH).is_some(),
        (false, true) => single(headers, &TRANSFER_ENCODING)
            .is_some_and(|coding| coding.as_bytes().eq_ignore_ascii_case(b"chunked")),
        (true, true) => false,
    }
}

impl ForwardedRequest {
    /// What of a client's request goes on; the tenant is put in once it is known.
    pub fn new(method: Method, uri: Uri, mut headers: HeaderMap, body: Bytes) -> ForwardedRequest {
        end_to_end(&mut headers);
        for name in [
            AUTHORIZATION,
            TENANT,
            TARGET,
            TIME_REMAINING,
            CONTENT_LENGTH,
            EXPECT,
        ] {
            headers.remove(name);
        }
        let id = headers.get(ATTEMPT_ID).cloned();
        ForwardedRequest {
            method,
            uri,
            headers,
            id,
            body,
        }
    }

    /// The request for one backend, which is told how long the client waits.
    pub fn request(&self, instance: &str, left: Millis) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let headers = request.headers_mut();
        if let Ok(instance) = HeaderValue::from_str(instance) {
            headers.insert(TARGET, instance);
        }
        headers.insert(TIME_REMAINING, HeaderValue::from(left.max(1.0) as u64));
        request
    }

    /// Reads an answer; `None` if it does not come whole, or is not the answer to this.
    pub async fn read(&self, answer: Response<Incoming>) -> Option<BackendResponse> {
        let (head, body) = answer.into_parts();
        let headers = &head.headers;
        // An answer to somebody else's question may come where this one's should; a success without the seal, or coded on the
        // way, is not the backend's; and nobody gives a status beyond the known classes.
        let mine = self.id.is_some() && single(headers, &ATTEMPT_ID) == self.id.as_ref();
        let success = head.status.is_success();
        let sealed = !success || single(headers, &SEAL).is_some();
        if !framed(&self.method, head.status, headers)
            || !mine
            || !sealed
            || !(200..600).contains(&head.status.as_u16())
            || headers.contains_key(CONTENT_ENCODING)
        {
            return None;
        }
        if body.size_hint().lower() > LONGEST_ANSWER as u64 {
            return None;
        }
        let body = Limited::new(body, LONGEST_ANSWER)
            .collect()
            .await
            .ok()?
            .to_bytes();
        let not_run =
            headers.contains_key(NOT_EXECUTED) || head.status == StatusCode::MISDIRECTED_REQUEST;
        let outcome = match head.status {
            _ if not_run && !success => Outcome::Full,
            status if status.is_server_error() => Outcome::Error,
            // Without the word that it has not run, such an answer promises nothing.
            StatusCode::TOO_MANY_REQUESTS | StatusCode::REQUEST_TIMEOUT => Outcome::Error,
            _ => Outcome::Ok,
        };
        let mut headers = head.headers;
        end_to_end(&mut headers);
        headers.remove(CONTENT_LENGTH);
        let stranger = head.status == StatusCode::MISDIRECTED_REQUEST;
        Some(BackendResponse {
            status: head.status,
            headers,
            body,
            outcome,
            wrong_instance: stranger,
        })
    }
}
