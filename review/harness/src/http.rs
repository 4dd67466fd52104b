//! A plain HTTP/1.1 client for the stand-ins of clients, backends and the operator.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads a message whose body has a length; `None` at the end of the connection.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.start = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        message
            .headers
            .push((name.to_owned(), value.trim().to_owned()));
    }
    let length = message.header("content-length").unwrap_or("0");
    let length: usize = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Sends a request on a new connection and reads the answer.
pub fn exchange(
    to: SocketAddr,
    start: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    let mut text = format!("{start} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() || start.starts_with("POST") {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    read_message(&mut reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Calls a controller as the operator and backends do: follows 307 twice, and goes on to another
/// controller after a failure, a 5xx, a 408 or 429, or a second without an answer.
pub fn call(controllers: &[SocketAddr], first: usize, query: &str, body: &str) -> Option<Message> {
    for attempt in 0..20 {
        let mut to = controllers[(first + attempt) % controllers.len()];
        let mut target = format!("/api/rpc?{query}");
        for _ in 0..3 {
            let host = to.to_string();
            let headers = [
                ("Host", host.as_str()),
                ("Content-Type", "application/json"),
            ];
            let start = format!("POST {target}");
            match exchange(
                to,
                &start,
                &headers,
                body.as_bytes(),
                Duration::from_secs(1),
            ) {
                Ok(answer) if answer.status() == 307 => {
                    let location = answer.header("location").unwrap_or_default();
                    let rest = location.strip_prefix("http://").unwrap_or_default();
                    let (address, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
                    let Ok(address) = address.parse() else { break };
                    (to, target) = (address, path.to_owned());
                }
                Ok(answer) if answer.status() >= 500 || [408, 429].contains(&answer.status()) => {
                    break
                }
                Ok(answer) => return Some(answer),
                Err(_) => break,
            }
        }
        std::thread::sleep(Duration::from_millis(100 + 50 * attempt as u64));
    }
    None
}
