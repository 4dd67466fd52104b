//! Clients that send malformed or incomplete requests. Each must receive an error or a close within
//! [`RESPONSE_LIMIT_MS`], and never a response to another request.

use crate::hash;
use crate::wire::{Link, NoMessage};
use maplefall_event_trace::{EventKind, Millis, Recorder};
use std::net::SocketAddr;
use std::time::Duration;

/// What a malformed client sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Bytes that are not HTTP.
    Noise,
    /// A head without an end.
    EndlessHead,
    /// A negative `Content-Length`.
    NegativeLength,
    /// A `Content-Length` of 60 MB.
    HugeLength,
    /// Both `Content-Length` and `Transfer-Encoding: chunked`.
    TwoFramings,
    /// An unknown request class.
    UnknownClass,
    /// An unknown plan.
    UnknownPlan,
    /// A number of units that is not a number.
    Units,
    /// A gateway set of size 0.
    Spread,
    /// A timeout that is not a number.
    Deadline,
    /// No request id.
    NoId,
    /// The first 60 bytes of a request, and nothing more.
    Half,
    /// Nothing at all.
    Silent,
}

/// All kinds.
pub const ALL: [Kind; 13] = [
    Kind::Noise,
    Kind::EndlessHead,
    Kind::NegativeLength,
    Kind::HugeLength,
    Kind::TwoFramings,
    Kind::UnknownClass,
    Kind::UnknownPlan,
    Kind::Units,
    Kind::Spread,
    Kind::Deadline,
    Kind::NoId,
    Kind::Half,
    Kind::Silent,
];

/// Time within which such a client must receive an error or a close (later-work page: 3 s), in
/// milliseconds.
pub const RESPONSE_LIMIT_MS: Millis = 3000.0;

impl Kind {
    /// Returns the name used in the event trace.
    pub fn name(self) -> String {
        format!("{self:?}")
    }

    /// Returns the bytes to send to a service that has this idempotent class and this plan.
    pub fn request(self, id: &str, class: &str, plan: &str) -> Vec<u8> {
        let request = |id: &str,
                       class: &str,
                       plan: &str,
                       timeout: &str,
                       terms: &str,
                       extra: &str| {
            format!(
                "GET /{class}/v1 HTTP/1.1\r\nHost: service.internal\r\n{id}Request-Class: {class}\r\n\
                 Api-Plan: {plan}\r\nCookie: client=00000000000000ff\r\nRequest-Timeout: {timeout}\r\n\
                 Api-Terms: {terms}\r\n{extra}\r\n"
            )
        };
        let (id_header, terms) = (format!("Request-Id: {id}\r\n"), "units=1,spread=1,first=0");
        let text = match self {
            Kind::Noise => "\u{1}\u{2}\u{7f}~~~ no request at all ~~~\r\n\r\n".to_owned(),
            Kind::EndlessHead => {
                let lines: String = (0..1500)
                    .map(|i| format!("X-Filler-{i}: {i:040}\r\n"))
                    .collect();
                let head = request(&id_header, class, plan, "1.0", terms, &lines);
                head.trim_end().to_owned()
            }
            Kind::NegativeLength => request(
                &id_header,
                class,
                plan,
                "1.0",
                terms,
                "Content-Length: -5\r\n",
            ),
            Kind::HugeLength => request(
                &id_header,
                class,
                plan,
                "1.0",
                terms,
                "Content-Length: 60000000\r\n",
            ),
            Kind::TwoFramings => {
                let extra = "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n";
                request(&id_header, class, plan, "1.0", terms, extra) + "0\r\n\r\n"
            }
            Kind::UnknownClass => request(&id_header, "nothing", plan, "1.0", terms, ""),
            Kind::UnknownPlan => request(&id_header, class, "nobody", "1.0", terms, ""),
            Kind::Units => request(
                &id_header,
                class,
                plan,
                "1.0",
                "units=many,spread=1,first=0",
                "",
            ),
            Kind::Spread => request(
                &id_header,
                class,
                plan,
                "1.0",
                "units=1,spread=0,first=0",
                "",
            ),
            Kind::Deadline => request(&id_header, class, plan, "soon", terms, ""),
            Kind::NoId => request("", class, plan, "1.0", terms, ""),
            Kind::Half => request(&id_header, class, plan, "1.0", terms, "")
                .split_at(60)
                .0
                .to_owned(),
            Kind::Silent => String::new(),
        };
        text.into_bytes()
    }
}

/// Runs one such client: connects, sends, waits for an error or a close, and records the result.
pub async fn run(
    recorder: &Recorder,
    gateway: SocketAddr,
    kind: Kind,
    number: u64,
    class: &str,
    plan: &str,
) {
    let id = format!("{:016x}", hash(&format!("rude/{number}")));
    let Ok(mut link) = Link::open(gateway).await else {
        return;
    };
    // The connection may have been closed already, which is a valid reaction.
    let _ = link.write(&kind.request(&id, class, plan)).await;
    let limit = Duration::from_secs_f64(RESPONSE_LIMIT_MS / 1000.0);
    let (status, neglected) = match tokio::time::timeout(limit, link.message()).await {
        Ok(Ok(response)) => (Some(response.status), false),
        Ok(Err(NoMessage::Malformed(_))) => (None, false),
        Ok(Err(_)) => (None, false),
        Err(_) => (None, true),
    };
    recorder.record(EventKind::MalformedClient {
        kind: kind.name(),
        status,
        neglected,
    });
}
