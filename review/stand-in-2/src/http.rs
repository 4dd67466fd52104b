//! As much of HTTP/1.1 as the stand-ins need: requests and answers with a length.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request's head.
pub struct Head {
    pub first_line: String,
    pub headers: HashMap<String, Vec<u8>>,
    /// The part of the body that arrived with the head.
    pub begun: Vec<u8>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<String> {
        self.headers.get(name).map(|value| String::from_utf8_lossy(value).into_owned())
    }

    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn length(&self) -> usize {
        self.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// A complete answer.
pub struct Answer {
    pub status: u16,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

fn find_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(4).position(|four| four == b"\r\n\r\n").map(|at| at + 4)
}

fn parse_lines(head: &[u8]) -> (String, HashMap<String, Vec<u8>>) {
    let mut lines = head.split(|byte| *byte == b'\n').map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    let first = String::from_utf8_lossy(lines.next().unwrap_or(b"")).into_owned();
    let mut headers = HashMap::new();
    for line in lines {
        if let Some(colon) = line.iter().position(|byte| *byte == b':') {
            let name = String::from_utf8_lossy(&line[..colon]).to_ascii_lowercase();
            headers.insert(name, line[colon + 1..].trim_ascii().to_vec());
        }
    }
    (first, headers)
}

/// Reads a request's head; `rest` is empty before and after, since no caller sends two requests at
/// once.
pub fn read_head(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Option<Head> {
    let mut bytes = std::mem::take(rest);
    let mut part = [0; 4096];
    loop {
        if let Some(end) = find_end(&bytes) {
            let begun = bytes.split_off(end);
            let (first_line, headers) = parse_lines(&bytes);
            return Some(Head { first_line, headers, begun });
        }
        match stream.read(&mut part) {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend_from_slice(&part[..count]),
        }
    }
}

/// Reads the whole body of a request. Returns whether it arrived.
pub fn read_body(stream: &mut TcpStream, head: &Head) -> bool {
    read_rest(stream, head.length().saturating_sub(head.begun.len()))
}

/// Reads this many bytes. Returns whether they arrived.
pub fn read_rest(stream: &mut TcpStream, mut left: usize) -> bool {
    let mut part = vec![0; 65536];
    while left > 0 {
        let most = left.min(part.len());
        match stream.read(&mut part[..most]) {
            Ok(0) | Err(_) => return false,
            Ok(count) => left -= count,
        }
    }
    true
}

/// Writes an answer. Returns whether it was written.
pub fn answer(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> bool {
    let head = format!("HTTP/1.1 {status} Status\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}

/// Sends a request on a new connection and reads the answer; `None` without a complete answer
/// within `limit`.
pub fn exchange(address: &str, head: &[u8], body: &[u8], limit: Duration) -> Option<Answer> {
    let end = Instant::now() + limit;
    let address: SocketAddr = address.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_write_timeout(Some(limit)).ok()?;
    stream.write_all(head).ok()?;
    // A server may answer before it has read the body.
    let _ = stream.write_all(body);
    read_answer(&mut stream, end)
}

/// Reads an answer with a length.
pub fn read_answer(stream: &mut TcpStream, end: Instant) -> Option<Answer> {
    let mut bytes = Vec::new();
    let mut part = vec![0; 65536];
    let mut head_end = None;
    loop {
        head_end = head_end.or_else(|| find_end(&bytes));
        if let Some(at) = head_end {
            let (first, headers) = parse_lines(&bytes[..at]);
            let text = |value: &Vec<u8>| String::from_utf8_lossy(value).into_owned();
            let headers: HashMap<String, String> =
                headers.iter().map(|(name, value)| (name.clone(), text(value))).collect();
            let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
            if bytes.len() >= at + length {
                let status = first.split(' ').nth(1)?.parse().ok()?;
                return Some(Answer { status, headers, body: bytes[at..at + length].to_vec() });
            }
        }
        let left = end.checked_duration_since(Instant::now())?;
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1)))).ok()?;
        match stream.read(&mut part) {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend_from_slice(&part[..count]),
        }
    }
}
