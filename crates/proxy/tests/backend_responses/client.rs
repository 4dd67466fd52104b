//! Clients that send one request at a time.

use crate::case::{SentRequest, TestCase};
use crate::common::http::{parse_response, ParseError};
use crate::common::random::Random;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Maximum time of one response; reached only on a failure.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Times that a client allows for a response, in milliseconds: the usual one, and a short one
/// within which backends may not respond.
const CLIENT_TIMEOUTS: [u64; 2] = [1000, 40];

/// Sends requests one after the other on persistent connections; some clients disconnect before the
/// response.
pub async fn run_client(
    case: Rc<TestCase>,
    proxy_address: SocketAddr,
    mut random: Random,
    name: String,
) -> Result<(), String> {
    let mut idle_connection: Option<TcpStream> = None;
    for number in 0..2 + random.below(5) {
        let id = format!("{name}-{number}");
        let at_most_once = random.percent(60);
        let method = random.one_of(&["GET", "POST", "POST", "PUT", "HEAD"]);
        let max_body = if random.percent(8) { 400 << 10 } else { 64 };
        let body = if ["GET", "HEAD"].contains(&method) {
            0
        } else {
            random.below(max_body)
        };
        let sent = SentRequest {
            method,
            path: format!(
                "/{}/{id}?q={number}",
                if at_most_once { "once" } else { "safe" }
            ),
            body: (0..body).map(|at| b"abcdefgh"[(at + number) % 8]).collect(),
            at_most_once,
            time: case.now(),
        };
        let timeout = if random.percent(4) {
            CLIENT_TIMEOUTS[1]
        } else {
            CLIENT_TIMEOUTS[0]
        };
        let mut bytes = format!(
            "{method} {} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {id}\r\nX-Time-Remaining: {timeout}\r\n",
            sent.path
        )
        .into_bytes();
        if body > 0 {
            bytes.extend(format!("Content-Length: {body}\r\n").into_bytes());
        }
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(&sent.body);
        case.sent.borrow_mut().insert(id.clone(), sent);
        let mut stream = match idle_connection.take().filter(|_| random.percent(85)) {
            Some(stream) => stream,
            None => TcpStream::connect(proxy_address)
                .await
                .map_err(|error| format!("no connection: {error}"))?,
        };
        if stream.write_all(&bytes).await.is_err() {
            continue;
        }
        if random.percent(3) {
            for _ in 0..random.below(20) {
                tokio::task::yield_now().await;
            }
            continue;
        }
        let mut buffer = Vec::new();
        let received = loop {
            let mut chunk = [0_u8; 16 << 10];
            let read = tokio::time::timeout(TIMEOUT, stream.read(&mut chunk));
            let count = read
                .await
                .map_err(|_| format!("{id}: no response"))?
                .unwrap_or(0);
            buffer.extend_from_slice(&chunk[..count]);
            match parse_response(&buffer, 0, method) {
                Ok((received, end)) if end == buffer.len() => break Some(received),
                Ok((_, end)) => {
                    return Err(format!(
                        "{id}: {} bytes after the response",
                        buffer.len() - end
                    ))
                }
                Err(ParseError::Invalid(reason)) => {
                    return Err(format!("{id}: invalid response: {reason}"))
                }
                Err(ParseError::Incomplete) if count == 0 && buffer.is_empty() => break None,
                Err(ParseError::Incomplete) if count == 0 => {
                    return Err(format!("{id}: incomplete response"))
                }
                Err(ParseError::Incomplete) => {}
            }
        };
        if let Some(received) = received {
            if !received.closes() {
                idle_connection = Some(stream);
            }
            case.received.borrow_mut().push((id, received));
        }
    }
    Ok(())
}
