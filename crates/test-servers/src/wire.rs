//! One HTTP/1.1 connection, message by message and byte by byte.

use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Longest head that is read.
const LONGEST_HEAD: usize = 64 * 1024;
/// Longest body that is read.
const LONGEST_BODY: usize = 4 << 20;
/// Bytes for which there is room at each read: a usual request or answer comes in one.
const READ: usize = 2048;
/// Most headers of a message.
const MOST_HEADERS: usize = 64;

/// A message as it came.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Message {
    /// The method of a request, empty in an answer.
    pub method: String,
    /// The target of a request, empty in an answer.
    pub target: String,
    /// The status of an answer, 0 in a request.
    pub status: u16,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// The first header of this name, which is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }

    /// Whether the other end closes after it.
    pub fn closes(&self) -> bool {
        self.header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }

    /// The field `name` of the target's query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query
            .split('&')
            .filter_map(|field| field.split_once('='))
            .find(|(known, _)| *known == name)
            .map(|f| f.1)
    }
}

/// Why no whole message came.
#[derive(Debug)]
pub enum NoMessage {
    /// The other end closed before the first byte of one.
    Closed,
    /// The connection ended or broke within one; so many bytes had come.
    Cut(usize),
    /// What came is no message.
    Garbage(&'static str),
}

/// A connection with what has been read of it and not used yet.
#[derive(Debug)]
pub struct Link {
    stream: TcpStream,
    read: Vec<u8>,
}

impl Link {
    /// Opens a connection.
    ///
    /// # Errors
    /// What the system says where none comes up.
    pub async fn open(to: SocketAddr) -> io::Result<Link> {
        let stream = TcpStream::connect(to).await?;
        Ok(Link::over(stream))
    }

    /// A connection that was accepted.
    pub fn over(stream: TcpStream) -> Link {
        // Without it messages are late, not wrong.
        let _ = stream.set_nodelay(true);
        Link {
            stream,
            read: Vec::new(),
        }
    }

    /// Bytes that have been read and not used.
    pub fn pending(&self) -> usize {
        self.read.len()
    }

    /// What has been read and not used, as it came.
    pub fn pending_bytes(&self) -> &[u8] {
        &self.read
    }

    /// Writes all of this.
    ///
    /// # Errors
    /// What the system says where the connection is broken.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Reads some more; `false` at the other end's close.
    ///
    /// # Errors
    /// What the system says where the connection is broken.
    pub async fn more(&mut self) -> io::Result<bool> {
        self.read.reserve(READ);
        Ok(self.stream.read_buf(&mut self.read).await? > 0)
    }

    /// Waits until the other end closes or the connection breaks, and drops what it still says.
    pub async fn until_closed(&mut self) {
        let mut rest = [0; 1024];
        while self
            .stream
            .read(&mut rest)
            .await
            .is_ok_and(|count| count > 0)
        {}
    }

    /// What the connection is at, where no answer is due: `None` while it is open and silent, else whether bytes came.
    pub fn unasked(&mut self) -> Option<bool> {
        if !self.read.is_empty() {
            return Some(true);
        }
        self.read.reserve(READ);
        match self.stream.try_read_buf(&mut self.read) {
            Ok(count) => Some(count > 0),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => None,
            Err(_) => Some(false),
        }
    }

    /// Breaks the connection so that the other end reads a reset.
    pub fn reset(self) {
        // Where the system refuses, the end is an ordinary close: milder, and as final.
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(std::time::Duration::ZERO));
    }

    /// The next whole message; what comes behind it stays.
    ///
    /// # Errors
    /// Why none came.
    pub async fn message(&mut self) -> Result<Message, NoMessage> {
        loop {
            if let Some((mut message, head, length)) = parse(&self.read)? {
                while self.read.len() < head + length {
                    let more = self.more().await;
                    if !matches!(more, Ok(true)) {
                        return Err(NoMessage::Cut(self.read.len()));
                    }
                }
                message.body = self.read[head..head + length].to_vec();
                self.read.drain(..head + length);
                return Ok(message);
            }
            match self.more().await {
                Ok(true) => {}
                _ if self.read.is_empty() => return Err(NoMessage::Closed),
                _ => return Err(NoMessage::Cut(self.read.len())),
            }
        }
    }
}

/// The head of a message, how long it is, and how long its body; `None` while it is not whole.
pub fn parse(bytes: &[u8]) -> Result<Option<(Message, usize, usize)>, NoMessage> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut message = Message::default();
    let (status, headers) = if bytes.starts_with(b"HTTP/") {
        let mut head = httparse::Response::new(&mut headers);
        let status = head
            .parse(bytes)
            .map_err(|_| NoMessage::Garbage("no head of an answer"))?;
        message.status = head.code.unwrap_or(0);
        (status, head.headers)
    } else {
        let mut head = httparse::Request::new(&mut headers);
        let status = head
            .parse(bytes)
            .map_err(|_| NoMessage::Garbage("no head of a request"))?;
        message.method = head.method.unwrap_or_default().to_owned();
        message.target = head.path.unwrap_or_default().to_owned();
        (status, head.headers)
    };
    let httparse::Status::Complete(head) = status else {
        let long = bytes.len() > LONGEST_HEAD;
        return if long {
            Err(NoMessage::Garbage("a head without end"))
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
            .map_err(|_| NoMessage::Garbage("a length that is no number"))?,
        None if message.header("transfer-encoding").is_some() => {
            return Err(NoMessage::Garbage("a body in chunks"))
        }
        None => 0,
    };
    if length > LONGEST_BODY {
        return Err(NoMessage::Garbage("a body without end"));
    }
    Ok(Some((message, head, length)))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_message_is_read_once_its_head_is_whole() {
        let text =
            b"POST /a/b?k=1f&u=2 HTTP/1.1\r\nRequest-Id: x\r\nContent-Length: 5\r\n\r\nhello";
        for cut in 0..text.len() - 5 {
            assert!(matches!(parse(&text[..cut]), Ok(None)), "{cut}");
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
        let (answer, _, _) =
            parse(b"HTTP/1.1 429 X\r\nConnection: Close\r\nContent-Length: 0\r\n\r\n")
                .unwrap()
                .unwrap();
        assert!(answer.closes() && answer.status == 429);
    }

    #[test]
    fn what_is_no_message_is_told() {
        for text in [
            "HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            "\u{1}\u{2}\u{3} nonsense\r\n\r\n",
        ] {
            assert!(
                matches!(parse(text.as_bytes()), Err(NoMessage::Garbage(_))),
                "{text:?}"
            );
        }
    }
}
