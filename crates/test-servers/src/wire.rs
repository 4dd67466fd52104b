//! An HTTP/1.1 connection that is read message by message and written byte by byte.

use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Maximum size of a message head, in bytes.
const MAX_HEAD: usize = 64 * 1024;
/// Maximum size of a body, in bytes.
const MAX_BODY: usize = 4 << 20;
/// Buffer space reserved for each read, in bytes; a typical request or response fits into one read.
const READ_SIZE: usize = 2048;
/// Maximum number of headers in a message.
const MAX_HEADERS: usize = 64;

/// A received request or response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Message {
    /// The method of a request; empty in a response.
    pub method: String,
    /// The target of a request; empty in a response.
    pub target: String,
    /// The status of a response; 0 in a request.
    pub status: u16,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body; only bodies with a `content-length` are supported.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of the first header with this name, which must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }

    /// Returns whether the message has `Connection: close`.
    pub fn closes(&self) -> bool {
        self.header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }

    /// Returns the field `name` of the target's query string.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query
            .split('&')
            .filter_map(|field| field.split_once('='))
            .find(|(known, _)| *known == name)
            .map(|f| f.1)
    }
}

/// Why no complete message was received.
#[derive(Debug)]
pub enum NoMessage {
    /// The peer closed the connection before the first byte of a message.
    Closed,
    /// The connection ended or broke within a message, after this many bytes.
    Truncated(usize),
    /// The bytes received are not a supported message.
    Malformed(&'static str),
}

/// A connection with a buffer of bytes that were read but not consumed yet.
#[derive(Debug)]
pub struct Link {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Link {
    /// Opens a connection.
    ///
    /// # Errors
    /// The operating system's error if the connection can't be established.
    pub async fn open(to: SocketAddr) -> io::Result<Link> {
        let stream = TcpStream::connect(to).await?;
        Ok(Link::over(stream))
    }

    /// Wraps a connection that was accepted.
    pub fn over(stream: TcpStream) -> Link {
        // If this fails, messages are delayed but still correct.
        let _ = stream.set_nodelay(true);
        Link {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Returns the number of bytes that were read but not consumed.
    pub fn pending(&self) -> usize {
        self.buffer.len()
    }

    /// Returns the bytes that were read but not consumed.
    pub fn pending_bytes(&self) -> &[u8] {
        &self.buffer
    }

    /// Writes all bytes.
    ///
    /// # Errors
    /// The operating system's error if the connection is broken.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Reads more bytes into the buffer; returns `false` if the peer has closed the connection.
    ///
    /// # Errors
    /// The operating system's error if the connection is broken.
    pub async fn more(&mut self) -> io::Result<bool> {
        self.buffer.reserve(READ_SIZE);
        Ok(self.stream.read_buf(&mut self.buffer).await? > 0)
    }

    /// Waits until the peer closes or the connection breaks, and discards what it still sends.
    pub async fn until_closed(&mut self) {
        let mut discarded = [0; 1024];
        while self
            .stream
            .read(&mut discarded)
            .await
            .is_ok_and(|count| count > 0)
        {}
    }

    /// Checks a connection on which no response is due: `None` while it is open and idle, otherwise
    /// whether bytes arrived (`true`) or it ended (`false`).
    pub fn poll_idle(&mut self) -> Option<bool> {
        if !self.buffer.is_empty() {
            return Some(true);
        }
        self.buffer.reserve(READ_SIZE);
        match self.stream.try_read_buf(&mut self.buffer) {
            Ok(count) => Some(count > 0),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => None,
            Err(_) => Some(false),
        }
    }

    /// Closes the connection with a TCP reset.
    pub fn reset(self) {
        // If the option can't be set, the connection is closed normally instead.
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(std::time::Duration::ZERO));
    }

    /// Returns the next complete message; bytes behind it stay in the buffer.
    ///
    /// # Errors
    /// Why no complete message was received.
    pub async fn message(&mut self) -> Result<Message, NoMessage> {
        loop {
            if let Some((mut message, head, length)) = parse(&self.buffer)? {
                while self.buffer.len() < head + length {
                    let more = self.more().await;
                    if !matches!(more, Ok(true)) {
                        return Err(NoMessage::Truncated(self.buffer.len()));
                    }
                }
                message.body = self.buffer[head..head + length].to_vec();
                self.buffer.drain(..head + length);
                return Ok(message);
            }
            match self.more().await {
                Ok(true) => {}
                _ if self.buffer.is_empty() => return Err(NoMessage::Closed),
                _ => return Err(NoMessage::Truncated(self.buffer.len())),
            }
        }
    }
}

/// Parses a message head. Returns the message without its body, the length of the head and the
/// length of the body; `None` while the head is incomplete.
pub fn parse(bytes: &[u8]) -> Result<Option<(Message, usize, usize)>, NoMessage> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut message = Message::default();
    let (status, headers) = if bytes.starts_with(b"HTTP/") {
        let mut head = httparse::Response::new(&mut headers);
        let status = head
            .parse(bytes)
            .map_err(|_| NoMessage::Malformed("malformed response head"))?;
        message.status = head.code.unwrap_or(0);
        (status, head.headers)
    } else {
        let mut head = httparse::Request::new(&mut headers);
        let status = head
            .parse(bytes)
            .map_err(|_| NoMessage::Malformed("malformed request head"))?;
        message.method = head.method.unwrap_or_default().to_owned();
        message.target = head.path.unwrap_or_default().to_owned();
        (status, head.headers)
    };
    let httparse::Status::Complete(head) = status else {
        let too_long = bytes.len() > MAX_HEAD;
        return if too_long {
            Err(NoMessage::Malformed("head too long"))
        } else {
            Ok(None)
        };
    };
    for header in headers {
        let value = String::from_utf8_lossy(header.value).trim().to_owned();
        message
            .headers
            .push((header.name.to_ascii_lowercase(), value));
    }
    let length = match message.header("content-length") {
        Some(text) => text
            .parse()
            .map_err(|_| NoMessage::Malformed("content-length is not a number"))?,
        None if message.header("transfer-encoding").is_some() => {
            return Err(NoMessage::Malformed("chunked body not supported"))
        }
        None => 0,
    };
    if length > MAX_BODY {
        return Err(NoMessage::Malformed("body too long"));
    }
    Ok(Some((message, head, length)))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_message_is_parsed_once_its_head_is_complete() {
        let text =
            b"POST /a/b?k=1f&u=2 HTTP/1.1\r\nRequest-Id: x\r\nContent-Length: 5\r\n\r\nhello";
        for length in 0..text.len() - 5 {
            assert!(matches!(parse(&text[..length]), Ok(None)), "{length}");
        }
        let (message, head, length) = parse(text).unwrap().unwrap();
        assert_eq!(
            (head + length, message.header("request-id")),
            (text.len(), Some("x"))
        );
        assert_eq!(
            (message.query("k"), message.query("u"), message.query("z")),
            (Some("1f"), Some("2"), None)
        );
        let (response, _, _) =
            parse(b"HTTP/1.1 429 X\r\nConnection: Close\r\nContent-Length: 0\r\n\r\n")
                .unwrap()
                .unwrap();
        assert!(response.closes() && response.status == 429);
    }

    #[test]
    fn malformed_messages_are_rejected() {
        for text in [
            "HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            "\u{1}\u{2}\u{3} nonsense\r\n\r\n",
        ] {
            assert!(
                matches!(parse(text.as_bytes()), Err(NoMessage::Malformed(_))),
                "{text:?}"
            );
        }
    }
}
