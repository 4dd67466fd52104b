//! Backends that send valid and mutated responses, split anywhere.

use crate::case::{ConnectionLog, EarlyResponse, TestCase};
use crate::common::http::{parse_request, ParseError};
use crate::common::random::Random;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// What a backend does with a connection after a response.
#[derive(Clone, Copy, PartialEq)]
enum ConnectionEnd {
    KeepOpen,
    Close,
    Reset,
}

/// Returns a valid response with this id; only a success has a seal.
fn valid_response(random: &mut Random, id: &str) -> Vec<u8> {
    let (status, headers) = random.one_of(&[
        ("200 OK", ""),
        ("200 OK", ""),
        (
            "200 OK",
            "Connection: keep-alive\r\nKeep-Alive: timeout=5\r\n",
        ),
        ("200 OK", ""),
        ("200 OK", "Server: x\r\n"),
        ("200 OK", ""),
        ("201 Created", ""),
        ("200", "Connection: close\r\n"),
        ("204 No Content", ""),
        ("404 Not Found", ""),
        ("500 Internal Server Error", ""),
        ("503 Service Unavailable", "X-Not-Executed: 1\r\n"),
        ("503 Service Unavailable", "X-Not-Executed: 1\r\n"),
        ("429 Too Many Requests", "X-Not-Executed: 1\r\n"),
        ("503 Service Unavailable", ""),
        ("429 Too Many Requests", ""),
        ("408 Request Timeout", ""),
        ("400 Bad Request", "X-Not-Executed: 1\r\n"),
    ]);
    let seal = if status.starts_with('2') {
        "X-Server-Seal: 3e1b.07\r\n"
    } else {
        ""
    };
    let body = format!("for {id}{}", "+".repeat(random.below(40)));
    let head = format!("HTTP/1.1 {status}\r\nX-Attempt-Id: {id}\r\n{seal}{headers}");
    if status.starts_with("204") {
        return format!("{head}\r\n").into_bytes();
    }
    if random.percent(65) {
        return format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes();
    }
    let mut text = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
    let mut remaining = body.as_str();
    while !remaining.is_empty() {
        let (piece, after_piece) = remaining.split_at(1 + random.below(remaining.len()));
        let extension = random.one_of(&["", "", ";a=b"]);
        text += &format!("{:x}{extension}\r\n{piece}\r\n", piece.len());
        remaining = after_piece;
    }
    text += random.one_of(&["0\r\n\r\n", "0\r\n\r\n", "0\r\nX-Late: 1\r\n\r\n"]);
    text.into_bytes()
}

/// Returns a valid response with one mutation, or without any.
fn mutated_response(random: &mut Random, id: &str, earlier_id: &str) -> (Vec<u8>, ConnectionEnd) {
    let mut bytes = valid_response(random, id);
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let with = |from: &str, to: &str| text.replacen(from, to, 1).into_bytes();
    let mut connection_end = if random.percent(5) {
        ConnectionEnd::Close
    } else {
        ConnectionEnd::KeepOpen
    };
    let id_header = format!("X-Attempt-Id: {id}\r\n");
    match random.below(220) {
        0 => bytes = with(&id_header, &format!("X-Attempt-Id: {earlier_id}\r\n")),
        1 => bytes = with(&id_header, ""),
        2 => {
            bytes = with(
                &id_header,
                &format!("{id_header}X-Attempt-Id: {earlier_id}\r\n"),
            )
        }
        3 => bytes = with("X-Server-Seal: 3e1b.07\r\n", ""),
        4 => {
            bytes.truncate(random.below(bytes.len()));
            connection_end = random.one_of(&[ConnectionEnd::Close, ConnectionEnd::Reset]);
        }
        5 => bytes = b"\x16\x03\x01 none of your business\r\n\r\n".to_vec(),
        6 => bytes.extend_from_slice(b"and more"),
        7 => bytes.extend(valid_response(random, earlier_id)),
        8 => bytes.extend(bytes.clone()),
        9 => {
            let chunk = valid_response(random, earlier_id);
            bytes.extend_from_slice(&chunk[..random.below(chunk.len())]);
        }
        10 => bytes = with("Content-Length: ", "Content-Length: 1"),
        11 => bytes = with("Content-Length: ", "Content-Length: +"),
        12 => bytes = with("\r\n\r\n", "\r\nContent-Length: 3\r\n\r\n"),
        13 => bytes = with("\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\n"),
        14 => {
            bytes = with(
                "Transfer-Encoding: chunked",
                "Transfer-Encoding: gzip, chunked",
            )
        }
        15 => {
            let framing = if text.contains("Content-Length") {
                "Content-Length"
            } else {
                "Transfer-Encoding"
            };
            bytes = with(framing, "X-Was");
            connection_end = ConnectionEnd::Close;
        }
        16 => {
            bytes = with("Transfer-Encoding: chunked", "Transfer-Encoding: identity");
            connection_end = random.one_of(&[ConnectionEnd::Close, ConnectionEnd::KeepOpen]);
        }
        17 => bytes = with("\r\n\r\n", "\r\nContent-Encoding: gzip\r\n\r\n"),
        18 => bytes = with("\r\n\r\n", "\r\n folded\r\n\r\n"),
        19 => bytes = with("X-Attempt-Id:", "X-Attempt-Id :"),
        20 => bytes = text.replace("\r\n", "\n").into_bytes(),
        21 => {
            bytes = with(
                "HTTP/1.1 ",
                &"HTTP/1.1 100 Continue\r\n\r\n".repeat(1 + random.below(30)),
            )
        }
        22 => {
            bytes = with(
                "HTTP/1.1",
                "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1",
            )
        }
        23 => bytes = with("HTTP/1.1 2", "HTTP/1.1 7"),
        24 => bytes = with("HTTP/1.1", "HTTP/1.0"),
        25 => {
            bytes = with(
                "HTTP/1.1",
                "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\nHTTP/1.1",
            )
        }
        26 => {
            bytes = with(
                "\r\n\r\n",
                "\r\nConnection: X-Server-Seal, X-Attempt-Id\r\n\r\n",
            )
        }
        27 => bytes = with("HTTP/1.1 ", "\r\n\r\nHTTP/1.1 "),
        28..32 => {
            let at = random.below(bytes.len());
            bytes[at] ^= 1 << random.below(8);
        }
        32 | 33 => {
            bytes.clear();
            connection_end = random.one_of(&[ConnectionEnd::Close, ConnectionEnd::Reset]);
        }
        _ => {}
    }
    (bytes, connection_end)
}

/// Returns whether the head of a request is complete.
fn has_head(bytes: &[u8]) -> bool {
    bytes.windows(4).any(|end| end == b"\r\n\r\n")
}

/// A backend's side of a connection.
struct BackendConnection {
    stream: TcpStream,
    case: Rc<TestCase>,
    log: Rc<RefCell<ConnectionLog>>,
}

impl BackendConnection {
    async fn write(&mut self, bytes: &[u8], random: &mut Random) -> bool {
        let write_mode = random.below(16);
        let mut remaining = bytes;
        while !remaining.is_empty() {
            let size = match write_mode {
                0 => 1,
                1..5 => 1 + random.below(remaining.len()),
                _ => remaining.len(),
            };
            let (piece, after_piece) = remaining.split_at(size);
            remaining = after_piece;
            if self.stream.write_all(piece).await.is_err() {
                return false;
            }
            {
                let mut log = self.log.borrow_mut();
                log.written.extend_from_slice(piece);
                let end = log.written.len();
                log.write_times.push((self.case.now(), end));
            }
            tokio::task::yield_now().await;
        }
        true
    }

    fn end(self, connection_end: ConnectionEnd) {
        if connection_end == ConnectionEnd::Reset {
            let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

async fn serve_connection(mut connection: BackendConnection, mut random: Random) {
    let (mut buffer, mut earlier_id) = (Vec::new(), "0-0-0".to_owned());
    let mut sends_unsolicited = false;
    loop {
        let mut chunk = [0_u8; 16 << 10];
        let Ok(count @ 1..) = connection.stream.read(&mut chunk).await else {
            return;
        };
        let started = buffer.is_empty();
        let had_head = has_head(&buffer);
        buffer.extend_from_slice(&chunk[..count]);
        let head_completed = has_head(&buffer) && !had_head;
        if std::mem::take(&mut sends_unsolicited) {
            let unsolicited = valid_response(&mut random, &earlier_id);
            connection.write(&unsolicited, &mut random).await;
        }
        let (request, end) = match parse_request(&buffer, 0) {
            Ok(request) => request,
            Err(ParseError::Invalid(reason)) => {
                panic!("the proxy wrote an invalid request: {reason}")
            }
            Err(ParseError::Incomplete) => {
                if !(started || head_completed) || !random.percent(15) {
                    continue;
                }
                // The request is incomplete: either the last byte of its head is missing, or only the
                // bytes of one write have arrived.
                let text = String::from_utf8_lossy(&buffer);
                let id = text
                    .lines()
                    .find_map(|line| line.strip_prefix("x-attempt-id: "))
                    .unwrap_or("none");
                {
                    let mut log = connection.log.borrow_mut();
                    let written = log.written.len();
                    log.early_responses.push(EarlyResponse {
                        id: id.to_owned(),
                        from: written,
                        had_head: has_head(&buffer),
                    });
                }
                let (bytes, connection_end) = match random.below(6) {
                    0 => (Vec::new(), ConnectionEnd::Close),
                    1 => (Vec::new(), ConnectionEnd::Reset),
                    2 => (valid_response(&mut random, id), ConnectionEnd::KeepOpen),
                    3 => (
                        valid_response(&mut random, &earlier_id),
                        ConnectionEnd::KeepOpen,
                    ),
                    4 => (b"HTTP/1.1 1".to_vec(), ConnectionEnd::KeepOpen),
                    _ => (valid_response(&mut random, id), ConnectionEnd::Close),
                };
                if !connection.write(&bytes, &mut random).await
                    || connection_end != ConnectionEnd::KeepOpen
                {
                    return connection.end(connection_end);
                }
                continue;
            }
        };
        buffer.drain(..end);
        let id = request.single("x-attempt-id").unwrap_or("none").to_owned();
        let may_not_respond = request
            .single("x-time-remaining")
            .and_then(|ms| ms.parse::<u64>().ok())
            .unwrap_or(0)
            < 50;
        {
            let mut log = connection.log.borrow_mut();
            let written = log.written.len();
            log.requests.push((request, written));
        }
        if may_not_respond && random.percent(60) {
            continue;
        }
        let (bytes, connection_end) = mutated_response(&mut random, &id, &earlier_id);
        if !connection.write(&bytes, &mut random).await || connection_end != ConnectionEnd::KeepOpen
        {
            return connection.end(connection_end);
        }
        // Sends unsolicited bytes, soon or just as the next request arrives, or closes the
        // connection, which may coincide with the next request.
        match random.below(40) {
            0 | 1 => {
                for _ in 0..random.below(30) {
                    tokio::task::yield_now().await;
                }
                let unsolicited = if random.percent(30) {
                    b"x".to_vec()
                } else {
                    valid_response(&mut random, &id)
                };
                connection.write(&unsolicited, &mut random).await;
            }
            2 => sends_unsolicited = true,
            3 => {
                for _ in 0..random.below(30) {
                    tokio::task::yield_now().await;
                }
                return connection
                    .end(random.one_of(&[ConnectionEnd::Close, ConnectionEnd::Reset]));
            }
            _ => {}
        }
        earlier_id = id;
    }
}

/// Starts a backend on a loopback port.
pub async fn start_backend(
    case: Rc<TestCase>,
    seed: u64,
) -> (SocketAddr, tokio::task::AbortHandle) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let task = tokio::task::spawn_local(async move {
        for number in 0.. {
            let Ok((stream, _)) = listener.accept().await else {
                return;
            };
            let _ = stream.set_nodelay(true);
            let log = Rc::new(RefCell::new(ConnectionLog::default()));
            case.logs.borrow_mut().push(log.clone());
            let random = Random::new(seed ^ (number << 32));
            tokio::task::spawn_local(serve_connection(
                BackendConnection {
                    stream,
                    case: case.clone(),
                    log,
                },
                random,
            ));
        }
    });
    (address, task.abort_handle())
}
