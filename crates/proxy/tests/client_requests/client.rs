//! A client that pipelines messages, splits them anywhere, and may disconnect midway.

use crate::backend::echo;
use crate::common::http::{parse_response, ParseError};
use crate::common::random::Random;
use crate::message::{TestMessage, Validity};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Longest time that one response may take; only a fault uses it up.
const TIMEOUT: Duration = Duration::from_secs(30);

/// How often things happened.
#[derive(Default, Debug)]
pub struct Counts {
    pub requests: u64,
    pub served: u64,
    pub rejected: u64,
    pub local: u64,
    pub disconnected: u64,
}

/// How a client ends.
#[derive(Clone, Copy, PartialEq)]
enum ClientEnd {
    /// It reads all responses.
    ReadsAll,
    /// It closes its half once all is written, and reads all responses.
    HalfCloses,
    /// It disconnects after writing so many bytes.
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
        .flat_map(|random_message| random_message.bytes.clone())
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
    let (write_mode, pieces) = (random.below(6), text[..write_limit].to_vec());
    let resets_connection = random.percent(50);
    let write = async move {
        let mut remaining = &pieces[..];
        while !remaining.is_empty() {
            let size = match write_mode {
                0 if pieces.len() < 2000 => 1,
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
        // Otherwise it stays open until all responses are read.
        writer
    };
    let expected = messages
        .iter()
        .position(|random_message| random_message.validity != Validity::Proper)
        .map_or(messages.len(), |last| last + 1);
    let read = async {
        let (mut buffer, mut from, mut responses) = (Vec::new(), 0, Vec::new());
        loop {
            if matches!(end, ClientEnd::DisconnectsAfter(_)) {
                return Ok((responses, false));
            }
            // Variant 22 is no HEAD, whatever its method says: it was sent as CONNECT.
            let request = messages
                .get(responses.len())
                .filter(|random_message| random_message.variant != 22)
                .map_or("GET", |random_message| random_message.method);
            match parse_response(&buffer, from, request) {
                Ok((message, end)) => {
                    from = end;
                    responses.push(message);
                    continue;
                }
                Err(ParseError::Invalid(why)) => return Err(format!("invalid response: {why}")),
                Err(ParseError::Incomplete) => {}
            }
            if responses.len() == expected
                && expected == messages.len()
                && messages[expected - 1].validity == Validity::Proper
            {
                return Ok((responses, false));
            }
            let mut chunk = [0_u8; 16 << 10];
            let count = tokio::time::timeout(TIMEOUT, reader.read(&mut chunk)).await;
            match count
                .map_err(|_| format!("response {} of {expected} never arrived", responses.len()))?
            {
                Ok(count @ 1..) => buffer.extend_from_slice(&chunk[..count]),
                // A client that closed its half counts as disconnected, maybe after a 100 Continue.
                _ if from < buffer.len() && &buffer[from..] != b"HTTP/1.1 100 Continue\r\n\r\n" => {
                    return Err(format!(
                        "an incomplete response: {:?}",
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
    // A close that meets unread bytes may lose what was written before it.
    if end == ClientEnd::ReadsAll
        && responses.len() < expected
        && !(closed && messages[expected - 1].validity != Validity::Proper)
    {
        return Err(format!(
            "{} responses to {expected} requests",
            responses.len()
        ));
    }
    for (at, message) in responses.iter().enumerate() {
        let Some(random_message) = messages[..expected].get(at) else {
            return Err(format!(
                "a response behind the last: {} {:?}",
                message.start, message.headers
            ));
        };
        let (id, validity) = (
            &random_message.id,
            (random_message.validity, random_message.variant),
        );
        match message.all("x-attempt-id")[..] {
            [one] if one == id => {}
            [] | [""] if random_message.validity == Validity::Rejected => {}
            ref other => return Err(format!("{id} {validity:?}: response for {other:?}")),
        }
        match message.status() {
            200 if random_message.validity == Validity::Rejected => {
                return Err(format!("{id} {validity:?}: served"))
            }
            200 => {
                let body = echo(
                    random_message.method,
                    &random_message.path,
                    &random_message.body,
                );
                if message.body != body && random_message.method != "HEAD" {
                    return Err(format!(
                        "{id} {validity:?}: {:?}",
                        String::from_utf8_lossy(&message.body)
                    ));
                }
                counts.served += 1;
            }
            400..500 if random_message.validity == Validity::Rejected => counts.rejected += 1,
            502..505 if random_message.validity != Validity::Rejected => counts.local += 1,
            status => return Err(format!("{id} {validity:?}: {status}")),
        }
    }
    Ok(())
}
