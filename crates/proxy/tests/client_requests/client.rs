//! A client that pipelines messages, splits them anywhere, and sometimes disconnects midway.

use crate::backend::echo;
use crate::common::http::{parse_response, ParseError};
use crate::common::random::Random;
use crate::message::{TestMessage, Validity};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Maximum time of one response; reached only on a failure.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Totals over all connections.
#[derive(Default, Debug)]
pub struct Counts {
    pub requests: u64,
    pub served: u64,
    pub rejected: u64,
    pub local: u64,
    pub disconnected: u64,
}

/// How a client ends its connection.
#[derive(Clone, Copy, PartialEq)]
enum ClientEnd {
    /// Reads all responses.
    ReadsAll,
    /// Half-closes once everything is written, and reads all responses.
    HalfCloses,
    /// Disconnects after writing this number of bytes.
    DisconnectsAfter(usize),
}

/// Writes the messages on one connection and checks the responses.
pub async fn run_client(
    seed: u64,
    proxy_address: SocketAddr,
    messages: &[TestMessage],
    counts: &RefCell<Counts>,
) -> Result<(), String> {
    let mut random = Random::new(seed ^ 1 << 40);
    let text: Vec<u8> = messages
        .iter()
        .flat_map(|sent| sent.bytes.clone())
        .collect();
    let end = match random.below(10) {
        0 => ClientEnd::DisconnectsAfter(random.below(text.len() + 1)),
        1 => ClientEnd::HalfCloses,
        _ => ClientEnd::ReadsAll,
    };
    let stream = TcpStream::connect(proxy_address)
        .await
        .map_err(|error| format!("no connection: {error}"))?;
    let _ = stream.set_nodelay(true);
    let (mut reader, mut writer) = stream.into_split();
    let write_limit = if let ClientEnd::DisconnectsAfter(write_limit) = end {
        write_limit
    } else {
        text.len()
    };
    let (write_mode, written_part) = (random.below(6), text[..write_limit].to_vec());
    let resets_connection = random.percent(50);
    let write = async move {
        let mut remaining = &written_part[..];
        while !remaining.is_empty() {
            let size = match write_mode {
                0 if written_part.len() < 2000 => 1,
                0..3 => 1 + random.below(remaining.len()),
                _ => remaining.len(),
            };
            if writer.write_all(&remaining[..size]).await.is_err() {
                break;
            }
            remaining = &remaining[size..];
            for _ in 0..random.below(4) {
                tokio::task::yield_now().await;
            }
        }
        if end == ClientEnd::HalfCloses {
            let _ = writer.shutdown().await;
        }
        // Unless the client disconnects or half-closes, the connection stays open until all
        // responses are read.
        writer
    };
    let expected = messages
        .iter()
        .position(|sent| sent.validity != Validity::Valid)
        .map_or(messages.len(), |last| last + 1);
    let read = async {
        let (mut buffer, mut from, mut responses) = (Vec::new(), 0, Vec::new());
        loop {
            if matches!(end, ClientEnd::DisconnectsAfter(_)) {
                return Ok((responses, false));
            }
            // Message variant 22 is sent as CONNECT, so its response may have a body even if
            // `method` is HEAD.
            let request = messages
                .get(responses.len())
                .filter(|sent| sent.variant != 22)
                .map_or("GET", |sent| sent.method);
            match parse_response(&buffer, from, request) {
                Ok((response, end)) => {
                    from = end;
                    responses.push(response);
                    continue;
                }
                Err(ParseError::Invalid(reason)) => {
                    return Err(format!("invalid response: {reason}"))
                }
                Err(ParseError::Incomplete) => {}
            }
            if responses.len() == expected
                && expected == messages.len()
                && messages[expected - 1].validity == Validity::Valid
            {
                return Ok((responses, false));
            }
            let mut chunk = [0_u8; 16 << 10];
            let count = tokio::time::timeout(TIMEOUT, reader.read(&mut chunk)).await;
            match count
                .map_err(|_| format!("response {} of {expected} never arrived", responses.len()))?
            {
                Ok(count @ 1..) => buffer.extend_from_slice(&chunk[..count]),
                // The proxy may treat a half-closed client as disconnected, possibly after a 100
                // Continue.
                _ if from < buffer.len() && &buffer[from..] != b"HTTP/1.1 100 Continue\r\n\r\n" => {
                    return Err(format!(
                        "incomplete response: {:?}",
                        String::from_utf8_lossy(&buffer[from..])
                    ));
                }
                _ => return Ok((responses, true)),
            }
        }
    };
    let (writer, read) = tokio::join!(write, read);
    let (responses, closed) = read?;
    if let ClientEnd::DisconnectsAfter(_) = end {
        if resets_connection {
            let _ = socket2::SockRef::from(writer.as_ref()).set_linger(Some(Duration::ZERO));
        }
        counts.borrow_mut().disconnected += 1;
        return Ok(());
    }
    let mut counts = counts.borrow_mut();
    counts.requests += messages.len() as u64;
    // Closing a connection with unread bytes may lose responses that were written before.
    if end == ClientEnd::ReadsAll
        && responses.len() < expected
        && !(closed && messages[expected - 1].validity != Validity::Valid)
    {
        return Err(format!(
            "{} responses to {expected} requests",
            responses.len()
        ));
    }
    for (at, response) in responses.iter().enumerate() {
        let Some(sent) = messages[..expected].get(at) else {
            return Err(format!(
                "a response after the last request: {} {:?}",
                response.start, response.headers
            ));
        };
        let (id, validity) = (&sent.id, (sent.validity, sent.variant));
        match response.all("x-attempt-id")[..] {
            [response_id] if response_id == id => {}
            [] | [""] if sent.validity == Validity::Rejected => {}
            ref other_ids => return Err(format!("{id} {validity:?}: response for {other_ids:?}")),
        }
        match response.status() {
            200 if sent.validity == Validity::Rejected => {
                return Err(format!("{id} {validity:?}: was served"))
            }
            200 => {
                let body = echo(sent.method, &sent.path, &sent.body);
                if response.body != body && sent.method != "HEAD" {
                    return Err(format!(
                        "{id} {validity:?}: wrong body {:?}",
                        String::from_utf8_lossy(&response.body)
                    ));
                }
                counts.served += 1;
            }
            400..500 if sent.validity == Validity::Rejected => counts.rejected += 1,
            502..505 if sent.validity != Validity::Rejected => counts.local += 1,
            status => return Err(format!("{id} {validity:?}: unexpected status {status}")),
        }
    }
    Ok(())
}
