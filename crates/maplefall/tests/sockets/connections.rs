//! Listeners and connections that a test plays by hand.

use super::TEST_TIMEOUT;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Instant;

/// A listener on a port of its own.
pub struct Listener(pub TcpListener);

impl Listener {
    pub fn new() -> Listener {
        Listener(TcpListener::bind("127.0.0.1:0").expect("a port"))
    }

    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().expect("an address")
    }

    /// The next connection that the front door opens here.
    pub fn accept(&self) -> Connection {
        wait_for("a connection", || self.try_accept())
    }

    /// The next connection, or nothing if the front door says something to `client` first.
    pub fn accept_or(&self, client: &Connection) -> Option<Connection> {
        wait_for("a connection or an answer", || match self.try_accept() {
            Some(wire) => Some(Some(wire)),
            None => client.speaks().then_some(None),
        })
    }

    /// The next call whose first line is this. Others are ended: a front door asks again, beside a call that is open, where
    /// a test has been slow to answer.
    pub fn asked(&self, first: &str) -> Connection {
        let first = format!("GET /catalog/members{first} HTTP/1.1");
        loop {
            let mut wire = self.accept();
            if wire.read().first == first {
                return wire;
            }
        }
    }

    /// The next connection, if there is one.
    pub fn try_accept(&self) -> Option<Connection> {
        self.0.set_nonblocking(true).unwrap();
        match self.0.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).unwrap();
                Some(Connection::new(stream))
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => None,
            Err(error) => panic!("{error}"),
        }
    }

    /// Whether a connection is waiting to be accepted.
    pub fn called(&self) -> bool {
        self.try_accept().is_some()
    }
}

/// A place whose waiting line is full with the connections that come along: a further one hangs until these
/// have been accepted.
pub fn listener_with_full_backlog() -> (Listener, Vec<TcpStream>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .build()
        .expect("a runtime");
    let listener = runtime.block_on(async {
        let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
        socket.bind("127.0.0.1:0".parse().unwrap()).expect("a port");
        socket
            .listen(1)
            .expect("a listener")
            .into_std()
            .expect("a listener")
    });
    let place = Listener(listener);
    // The system lets in one more than it is told.
    let fillers = (0..2)
        .map(|_| TcpStream::connect(place.address()).expect("room for two"))
        .collect();
    (place, fillers)
}

/// An address that refuses connections; while the socket is held, nobody else gets its port.
pub fn refusing_address() -> (SocketAddr, tokio::net::TcpSocket) {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().unwrap()).expect("a port");
    (socket.local_addr().expect("an address"), socket)
}

/// Whether somebody has asked for a connection to this address and has no answer yet.
pub fn has_pending_connect(address: SocketAddr) -> bool {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the system's table of sockets");
    let port = format!(":{:04X}", address.port());
    let asked = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        fields.len() > 3 && fields[2].ends_with(&port) && fields[3] == "02"
    };
    table.lines().any(asked)
}

/// Looks again and again until there is something.
pub fn wait_for<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + TEST_TIMEOUT;
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(Instant::now() < end, "{what} was due");
        std::thread::yield_now();
    }
}

/// A message as it came: its first line, its headers, its body.
#[derive(Debug)]
pub struct Message {
    pub first: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .expect("a status")
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }
}

/// One end of a connection.
pub struct Connection {
    pub reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Connection {
            reader: BufReader::new(stream),
        }
    }

    pub fn to(address: SocketAddr) -> Connection {
        Connection::new(TcpStream::connect(address).expect("the front door accepts"))
    }

    pub fn write(&mut self, bytes: impl AsRef<[u8]>) {
        self.reader
            .get_mut()
            .write_all(bytes.as_ref())
            .expect("the other end reads");
    }

    /// The next whole message.
    pub fn read(&mut self) -> Message {
        let mut line = String::new();
        self.reader.read_line(&mut line).expect("a first line");
        assert!(
            !line.is_empty(),
            "the connection ended where a message was due"
        );
        let first = line.trim_end().to_owned();
        let mut headers = HashMap::new();
        loop {
            line.clear();
            self.reader.read_line(&mut line).expect("a header");
            let Some((name, value)) = line.trim_end().split_once(':') else {
                break;
            };
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
        let length = headers
            .get("content-length")
            .map_or(0, |text| text.parse().expect("a length"));
        let mut body = vec![0; length];
        self.reader.read_exact(&mut body).expect("a whole body");
        Message {
            first,
            headers,
            body,
        }
    }

    /// Answers with a status, further header lines and a body.
    pub fn answer(&mut self, status: u16, headers: &str, body: &str) {
        self.write(format!(
            "HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}",
            body.len()
        ));
    }

    /// Whether the other end has said something, or closed.
    pub fn speaks(&self) -> bool {
        let stream = self.reader.get_ref();
        stream.set_nonblocking(true).unwrap();
        let spoke = stream.peek(&mut [0]).is_ok();
        stream.set_nonblocking(false).unwrap();
        spoke
    }

    /// Waits until the other end says something or closes; tells whether it said something.
    pub fn says_something(&self) -> bool {
        wait_for("a word or an end", || self.speaks().then_some(()));
        matches!(self.reader.get_ref().peek(&mut [0]), Ok(1..))
    }

    /// Waits until this end or the other hears something; tells whether this one did.
    pub fn speaks_before(&self, other: &Connection) -> bool {
        wait_for("a word on one of two connections", || match self.speaks() {
            true => Some(true),
            false => other.speaks().then_some(false),
        })
    }

    /// Waits until the other end has closed, with nothing more said.
    pub fn expect_end(&mut self) {
        let mut rest = Vec::new();
        match self.reader.read_to_end(&mut rest) {
            Ok(_) => assert_eq!(String::from_utf8_lossy(&rest), ""),
            Err(error) => assert_eq!(error.kind(), ErrorKind::ConnectionReset, "{error}"),
        }
    }
}
