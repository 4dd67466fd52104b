//! Attempts over HTTP/1.1: sends a request to a backend, reads its response, and derives the
//! outcome.
//!
//! Invariant: a response is served only if its framing shows that it is complete, and all long
//! responses together take a bounded fraction of the memory.

use http_body_util::BodyExt;
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{HeaderName, HeaderValue, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use hyper::{HeaderMap, Request, Response, StatusCode};
use maplefall_policy::{BackendId, Millis, Outcome, Report, SendMode};
use maplefall_protocol::headers::{
    API_CHARGE, API_USAGE, IDEMPOTENCY_KEY, NOT_STARTED, REQUEST_ID, REQUEST_TIMEOUT, SERVER_LOAD,
};
use maplefall_protocol::{EndedAttempt, ForwardedRequest, MAX_BODY_BYTES};
use maplefall_settings::{self as settings, Metric, ParsedSettings};
use maplefall_upstream::{send_request, AttemptHandle, BlockBody, Pools, RequestOptions};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;

/// Maximum length of a response's body in bytes. Some backends send far more than the agreed 64
/// KiB, and their responses are valid; a response longer than this counts as broken.
const MAX_RESPONSE_BYTES: u64 = 1 << 20;
/// Long responses together may take this fraction (1/n) of the memory, from the first byte read to
/// the last one written.
const RESPONSE_MEMORY_DIVISOR: usize = 4;
/// A reported usage over this percentage is ignored.
pub const MAX_USAGE_PERCENT: f64 = 100_000.0;

/// The memory for long responses.
struct ResponseMemoryState {
    /// Number of bytes that are left.
    available: AtomicUsize,
    /// Whether a reservation failed since this was looked at.
    is_exhausted: AtomicBool,
}

/// The memory for long responses, shared by all that hold some of it.
#[derive(Clone)]
struct ResponseMemory(Arc<ResponseMemoryState>);

impl ResponseMemory {
    fn new(bytes: usize) -> ResponseMemory {
        ResponseMemory(Arc::new(ResponseMemoryState {
            available: AtomicUsize::new(bytes),
            is_exhausted: AtomicBool::new(false),
        }))
    }

    /// Reserves `length` bytes; `None` if fewer are left.
    fn reserve(&self, length: usize) -> Option<ReservedBody> {
        let available = self.0.available.load(Ordering::Relaxed);
        let Some(left) = available.checked_sub(length) else {
            self.0.is_exhausted.store(true, Ordering::Relaxed);
            return None;
        };
        self.0.available.store(left, Ordering::Relaxed);
        Some(ReservedBody {
            length,
            memory: self.clone(),
            body: Bytes::new(),
        })
    }
}

/// A long response with the memory reserved for it, which is released when the last reference to it
/// is dropped.
struct ReservedBody {
    length: usize,
    memory: ResponseMemory,
    body: Bytes,
}

impl AsRef<[u8]> for ReservedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

impl Drop for ReservedBody {
    fn drop(&mut self) {
        let available = &self.memory.0.available;
        available.fetch_add(self.length, Ordering::Relaxed);
    }
}

/// Reads the responses of backends.
pub struct ResponseReader {
    /// Names of the metrics in load reports.
    pub metric_names: Vec<String>,
    /// The metric of each name in `metric_names`.
    pub metrics: Vec<Metric>,
    /// Maximum units that a backend may charge for a request.
    pub max_units: f64,
    memory: ResponseMemory,
}

impl ResponseReader {
    /// Creates a reader with these settings, in a process that may use `memory` bytes.
    pub fn new(settings_file: &ParsedSettings, memory: usize) -> ResponseReader {
        ResponseReader {
            metric_names: settings_file.names.metrics.clone(),
            metrics: settings_file.metrics.clone(),
            max_units: settings_file.settings.max_units,
            memory: ResponseMemory::new(memory / RESPONSE_MEMORY_DIVISOR),
        }
    }

    /// Returns whether there was no memory for a long response since the last call.
    pub fn take_memory_exhausted(&self) -> bool {
        self.memory.0.is_exhausted.swap(false, Ordering::Relaxed)
    }

    fn parse_report(&self, text: &str) -> Report {
        let mut report = Report::default();
        for (name, value) in text
            .split(',')
            .filter_map(|field| field.trim().split_once('='))
        {
            let position = self.metric_names.iter().position(|known| known == name);
            if let (Some(position), Ok(value)) = (position, value.parse::<f32>()) {
                settings::set_metric(&mut report, self.metrics[position], value);
            }
        }
        report
    }
}

/// Builds the request to a backend, with the attempt's timeout in a header.
fn build_request(forwarded: &ForwardedRequest, timeout: Millis) -> Request<BlockBody> {
    let mut request = Request::new(BlockBody::from(forwarded.body.clone()));
    *request.method_mut() = forwarded.method.clone();
    *request.uri_mut() = forwarded.uri.clone();
    let headers = request.headers_mut();
    headers.insert(HOST, forwarded.host.clone());
    headers.insert(REQUEST_ID, forwarded.id_value.clone());
    if let Ok(seconds) = HeaderValue::try_from(format!("{:.3}", timeout / 1000.0)) {
        headers.insert(REQUEST_TIMEOUT, seconds);
    }
    if let Some(key) = &forwarded.key {
        headers.insert(IDEMPOTENCY_KEY, key.clone());
    }
    if let Some(kind) = &forwarded.content_type {
        headers.insert(hyper::header::CONTENT_TYPE, kind.clone());
    }
    for (name, value) in &forwarded.added_headers {
        headers.append(name.clone(), value.clone());
    }
    request
}

/// Runs one attempt to its end. `timeout` in milliseconds is sent in a header; the driver's timer
/// aborts the attempt.
pub async fn send_attempt(
    pools: &Pools,
    reader: &ResponseReader,
    backend: BackendId,
    forwarded: &ForwardedRequest,
    timeout: Millis,
    send_mode: SendMode,
    handle: &AttemptHandle,
) -> EndedAttempt {
    let result = send_request(
        pools,
        RequestOptions {
            backend,
            send_mode,
            timeout,
            body_bytes: forwarded.body.len(),
        },
        handle,
        |left| build_request(forwarded, left),
        async |response| read_response(reader, response).await,
        // A response names no request, so it is not certain which one an early response belongs to.
        // Only one that states that nothing was run is accepted.
        |ended: &EndedAttempt| ended.outcome == Outcome::Full,
    )
    .await;
    EndedAttempt {
        broken_connections: result.connections.broken,
        ..result.result.unwrap_or_else(EndedAttempt::without_response)
    }
}

/// Reads a complete response; `None` if the connection ends early or the end of the response cannot
/// be determined. A response without framing ends with its connection and may be truncated. After
/// 101 the connection uses another protocol.
async fn read_response(
    reader: &ResponseReader,
    response: Response<Incoming>,
) -> Option<EndedAttempt> {
    let (head, body) = response.into_parts();
    let has_framing =
        head.headers.contains_key(CONTENT_LENGTH) || head.headers.contains_key(TRANSFER_ENCODING);
    if !has_framing || head.status.is_informational() {
        return None;
    }
    let body = read_body(&reader.memory, body).await?;
    let outcome = outcome_of(head.status, &head.headers);
    Some(EndedAttempt {
        outcome,
        body: if outcome == Outcome::Ok {
            body
        } else {
            Bytes::new()
        },
        metered_usage: header_number(&head.headers, &API_USAGE, MAX_USAGE_PERCENT)
            .map(|percent| percent / 100.0),
        true_units: header_number(&head.headers, &API_CHARGE, reader.max_units),
        report: header_text(&head.headers, &SERVER_LOAD)
            .map(|text| reader.parse_report(text))
            .unwrap_or_default(),
        broken_connections: 0,
    })
}

/// Reads a body to its end, within the limits on one response and on all.
async fn read_body(memory: &ResponseMemory, mut body: Incoming) -> Option<Bytes> {
    let declared_length = body.size_hint().exact();
    if declared_length.is_some_and(|length| length > MAX_RESPONSE_BYTES) {
        return None;
    }
    // A chunked body declares no length: once it exceeds [`MAX_BODY_BYTES`], the maximum is
    // reserved.
    let max_length = usize::try_from(declared_length.unwrap_or(MAX_RESPONSE_BYTES)).ok()?;
    if declared_length.is_some() && max_length <= MAX_BODY_BYTES {
        return Some(body.collect().await.ok()?.to_bytes());
    }
    let mut reserved = None;
    let mut received = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        let length = received.len() + data.len();
        if length > max_length {
            return None;
        }
        if length > MAX_BODY_BYTES && reserved.is_none() {
            reserved = Some(memory.reserve(max_length)?);
        }
        received.extend_from_slice(&data);
    }
    let body = Bytes::from(received);
    Some(match reserved {
        Some(mut reserved) => {
            reserved.body = body;
            Bytes::from_owner(reserved)
        }
        None => body,
    })
}

/// The outcome of a complete response: 200 is served, and 503 or 504 with the header that no work
/// was started may be retried.
fn outcome_of(status: StatusCode, headers: &HeaderMap) -> Outcome {
    let unavailable = matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
    );
    match status {
        StatusCode::OK => Outcome::Ok,
        _ if unavailable && header_text(headers, &NOT_STARTED) == Some("1") => Outcome::Full,
        _ => Outcome::Error,
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .map(str::trim)
}

/// Returns the first value of a header that is a number from 0 to `max`. Other values are ignored:
/// they do not make a response unusable.
pub fn header_number(headers: &HeaderMap, name: &HeaderName, max: f64) -> Option<f64> {
    let mut values = headers
        .get_all(name)
        .iter()
        .filter_map(|value| value.to_str().ok()?.trim().parse().ok());
    values.find(|number: &f64| number.is_finite() && (0.0..=max).contains(number))
}

#[cfg(test)]
mod tests;
