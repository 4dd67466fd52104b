//! Attempts: what goes on to a backend, what comes back, and what the end of an attempt means.

use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{HeaderName, HeaderValue, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use hyper::{HeaderMap, Request, Response, StatusCode};
use maplefall_policy::{BackendId, Care, Millis, Outcome, Report};
use maplefall_protocol::headers::{
    API_CHARGE, API_USAGE, IDEMPOTENCY_KEY, NOT_STARTED, REQUEST_ID, REQUEST_TIMEOUT, SERVER_LOAD,
};
use maplefall_protocol::{Ended, Order, LONGEST_BODY};
use maplefall_settings::{self as settings, Metric, Told};
use maplefall_upstream::{send_request, AttemptHandle, Pools};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Longest body of an answer at all. Backends are met that send far more than the agreed 64 KiB, and their good
/// answers are worth passing on; one that is said to be longer than this is none.
const MAX_RESPONSE_BYTES: u64 = 1 << 20;
/// Part of the memory that long answers may take together, from the first byte read to the last one written.
const RESPONSE_MEMORY_DIVISOR: usize = 4;
/// A use over this many percent of a rate is no figure to go by.
pub const MAX_USAGE_PERCENT: f64 = 100_000.0;

/// The memory that long answers may still take.
#[derive(Clone)]
struct ResponseMemory(Arc<AtomicUsize>);

impl ResponseMemory {
    /// Sets `length` bytes aside; `None` if there is no room for them.
    fn reserve(&self, length: usize) -> Option<ReservedBody> {
        let available = self.0.load(Ordering::Relaxed).checked_sub(length)?;
        self.0.store(available, Ordering::Relaxed);
        Some(ReservedBody {
            length,
            memory: self.clone(),
            body: Bytes::new(),
        })
    }
}

/// A long answer with the room that it takes, given back when the last byte of it is dropped.
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
        self.memory.0.fetch_add(self.length, Ordering::Relaxed);
    }
}

/// How answers are read.
pub struct ResponseReader {
    /// Names of their values.
    pub metric_names: Vec<String>,
    /// What the values are.
    pub metrics: Vec<Metric>,
    /// Most units of a request, by the settings.
    pub max_units: f64,
    memory: ResponseMemory,
}

impl ResponseReader {
    /// Reads as the settings tell, within `memory` bytes for all.
    pub fn new(settings_file: &Told, memory: usize) -> ResponseReader {
        ResponseReader {
            metric_names: settings_file.names.metrics.clone(),
            metrics: settings_file.metrics.clone(),
            max_units: settings_file.settings.max_units,
            memory: ResponseMemory(Arc::new(AtomicUsize::new(memory / RESPONSE_MEMORY_DIVISOR))),
        }
    }

    fn parse_report(&self, text: &str) -> Report {
        let mut report = Report::default();
        for (name, value) in text
            .split(',')
            .filter_map(|field| field.trim().split_once('='))
        {
            let position = self.metric_names.iter().position(|known| known == name);
            if let (Some(place), Ok(value)) = (position, value.parse::<f32>()) {
                settings::tell(&mut report, self.metrics[place], value);
            }
        }
        report
    }
}

// ---- Attempts ---------------------------------------------------------------------------------------

/// An order as it is written to a backend, which is told how long the front door will wait.
fn build_request(forwarded: &Order, timeout: Millis) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(forwarded.body.clone()));
    *request.method_mut() = forwarded.method.clone();
    *request.uri_mut() = forwarded.uri.clone();
    let headers = request.headers_mut();
    headers.insert(HOST, forwarded.host.clone());
    headers.insert(REQUEST_ID, forwarded.id_value.clone());
    if let Ok(limit) = HeaderValue::try_from(format!("{:.3}", timeout / 1000.0)) {
        headers.insert(REQUEST_TIMEOUT, limit);
    }
    if let Some(key) = &forwarded.key {
        headers.insert(IDEMPOTENCY_KEY, key.clone());
    }
    if let Some(kind) = &forwarded.content_type {
        headers.insert(hyper::header::CONTENT_TYPE, kind.clone());
    }
    for (name, value) in &forwarded.onward {
        headers.append(name.clone(), value.clone());
    }
    request
}

/// Carries out one attempt and tells how it ended.
pub async fn send_attempt(
    pools: &Pools,
    reader: &ResponseReader,
    backend: BackendId,
    forwarded: &Order,
    timeout: Millis,
    care: Care,
    handle: &AttemptHandle,
) -> Ended {
    let result = send_request(
        pools,
        backend,
        (care, timeout),
        handle,
        (forwarded.body.len(), |left| build_request(forwarded, left)),
        async |answer| read_response(reader, answer).await,
        |ended: &Ended| ended.outcome == Outcome::Full,
    )
    .await;
    Ended {
        broken: result.broken_connections,
        ..result.result.unwrap_or_else(Ended::of)
    }
}

/// Reads a whole answer; `None` if the connection ends before it does, or if nobody could tell that it is whole: an
/// answer that ends with its connection may have been cut. After 101 the connection speaks something else.
async fn read_response(reader: &ResponseReader, answer: Response<Incoming>) -> Option<Ended> {
    let (head, body) = answer.into_parts();
    let has_framing =
        head.headers.contains_key(CONTENT_LENGTH) || head.headers.contains_key(TRANSFER_ENCODING);
    if !has_framing || head.status.is_informational() {
        return None;
    }
    let body = read_body(&reader.memory, body).await?;
    let outcome_of = outcome(head.status, &head.headers);
    Some(Ended {
        outcome: outcome_of,
        body: if outcome_of == Outcome::Ok {
            body
        } else {
            Bytes::new()
        },
        used: header_number(&head.headers, &API_USAGE, MAX_USAGE_PERCENT)
            .map(|percent| percent / 100.0),
        charge: header_number(&head.headers, &API_CHARGE, reader.max_units),
        report: text(&head.headers, &SERVER_LOAD)
            .map(|header_text| reader.parse_report(header_text))
            .unwrap_or_default(),
        broken: 0,
    })
}

/// Reads a body to its end, within the bounds on one answer and on all.
async fn read_body(memory: &ResponseMemory, mut body: Incoming) -> Option<Bytes> {
    let declared_length = body.size_hint().exact();
    if declared_length.is_some_and(|length| length > MAX_RESPONSE_BYTES) {
        return None;
    }
    // In chunks no length is told: once it proves long, the whole bound is set aside.
    let max_length = usize::try_from(declared_length.unwrap_or(MAX_RESPONSE_BYTES)).ok()?;
    if declared_length.is_some() && max_length <= LONGEST_BODY {
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
        if length > LONGEST_BODY && reserved.is_none() {
            reserved = Some(memory.reserve(max_length)?);
        }
        received.extend_from_slice(&data);
    }
    let body = Bytes::from(received);
    Some(match reserved {
        Some(mut share) => {
            share.body = body;
            Bytes::from_owner(share)
        }
        None => body,
    })
}

fn outcome(status: StatusCode, headers: &HeaderMap) -> Outcome {
    let unavailable = matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
    );
    match status {
        StatusCode::OK => Outcome::Ok,
        _ if unavailable && text(headers, &NOT_STARTED) == Some("1") => Outcome::Full,
        _ => Outcome::Error,
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .map(str::trim)
}

/// The first figure under this name that can be read and makes sense. One that does not spoils no answer.
pub fn header_number(headers: &HeaderMap, name: &HeaderName, max: f64) -> Option<f64> {
    let mut values = headers
        .get_all(name)
        .iter()
        .filter_map(|value| value.to_str().ok()?.trim().parse().ok());
    values.find(|number: &f64| number.is_finite() && (0.0..=max).contains(number))
}

#[cfg(test)]
mod tests;
