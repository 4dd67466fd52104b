//! Clients that send what cannot be used: each is owed an error or a close within its time, and never an answer made
//! for somebody else.

use crate::hash;
use crate::wire::{Link, NoMessage};
use maplefall_event_trace::{EventKind, Millis, Recorder};
use std::net::SocketAddr;
use std::time::Duration;

/// What they send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Bytes that are no HTTP.
    Noise,
    /// A head that does not end.
    EndlessHead,
    /// A length below nought.
    NegativeLength,
    /// A length of 60 MB.
    HugeLength,
    /// A length and chunks.
    TwoFramings,
    /// A class that does not exist.
    UnknownClass,
    /// A plan that does not exist.
    UnknownPlan,
    /// Units that are no number.
    Units,
    /// A set with no front door.
    Spread,
    /// A deadline that is no number.
    Deadline,
    /// No id.
    NoId,
    /// Half a request, and nothing more.
    Half,
    /// Nothing at all.
    Silent,
}

/// All of them.
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

/// Time within which such a client is owed an error or a close (later-work page: 3 s), in milliseconds.
pub const OWED: Millis = 3000.0;

impl Kind {
    /// What it is called in reports.
    pub fn name(self) -> String {
        format!("{self:?}")
    }

    /// What is sent, for a service with such a safe class and plan.
    pub fn text(self, id: &str, class: &str, plan: &str) -> Vec<u8> {
        let of = |id: &str, class: &str, plan: &str, wait: &str, terms: &str, more: &str| {
            format!(
                "GET /{class}/v1 HTTP/1.1\r\nHost: service.internal\r\n{id}Request-Class: {class}\r\n\
                 Api-Plan: {plan}\r\nCookie: client=00000000000000ff\r\nRequest-Timeout: {wait}\r\n\
                 Api-Terms: {terms}\r\n{more}\r\n"
            )
        };
        let (own, terms) = (format!("Request-Id: {id}\r\n"), "units=1,spread=1,first=0");
        let text = match self {
            Kind::Noise => "\u{1}\u{2}\u{7f}~~~ no request at all ~~~\r\n\r\n".to_owned(),
            Kind::EndlessHead => {
                let lines: String = (0..1500)
                    .map(|i| format!("X-Filler-{i}: {i:040}\r\n"))
                    .collect();
                let head = of(&own, class, plan, "1.0", terms, &lines);
                head.trim_end().to_owned()
            }
            Kind::NegativeLength => of(&own, class, plan, "1.0", terms, "Content-Length: -5\r\n"),
            Kind::HugeLength => of(
                &own,
                class,
                plan,
                "1.0",
                terms,
                "Content-Length: 60000000\r\n",
            ),
            Kind::TwoFramings => {
                let more = "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n";
                of(&own, class, plan, "1.0", terms, more) + "0\r\n\r\n"
            }
            Kind::UnknownClass => of(&own, "nothing", plan, "1.0", terms, ""),
            Kind::UnknownPlan => of(&own, class, "nobody", "1.0", terms, ""),
            Kind::Units => of(&own, class, plan, "1.0", "units=many,spread=1,first=0", ""),
            Kind::Spread => of(&own, class, plan, "1.0", "units=1,spread=0,first=0", ""),
            Kind::Deadline => of(&own, class, plan, "soon", terms, ""),
            Kind::NoId => of("", class, plan, "1.0", terms, ""),
            Kind::Half => of(&own, class, plan, "1.0", terms, "")
                .split_at(60)
                .0
                .to_owned(),
            Kind::Silent => String::new(),
        };
        text.into_bytes()
    }
}

/// One such client: connects, sends, and waits for what it is owed.
pub async fn run(
    recorder: &Recorder,
    door: SocketAddr,
    kind: Kind,
    lot: u64,
    class: &str,
    plan: &str,
) {
    let id = format!("{:016x}", hash(&format!("rude/{lot}")));
    let Ok(mut link) = Link::open(door).await else {
        return;
    };
    // It may have been closed already: then it has what it is owed.
    let _ = link.write(&kind.text(&id, class, plan)).await;
    let limit = Duration::from_secs_f64(OWED / 1000.0);
    let (status, neglected) = match tokio::time::timeout(limit, link.message()).await {
        Ok(Ok(answer)) => (Some(answer.status), false),
        Ok(Err(NoMessage::Garbage(_))) => (None, false),
        Ok(Err(_)) => (None, false),
        Err(_) => (None, true),
    };
    recorder.record(EventKind::MalformedClient {
        kind: kind.name(),
        status,
        neglected,
    });
}
